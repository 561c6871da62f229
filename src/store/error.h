/* Errors of the store client.  */
#ifndef WY_STORE_ERROR_H
#define WY_STORE_ERROR_H

enum wy_store_error
{
  WY_STORE_ECONFLICT = -501,    /* a condition failed; nothing was written */
  WY_STORE_EUNAVAILABLE = -502, /* not carried out: no response, or outage */
  WY_STORE_EUNKNOWN = -503,     /* may have been carried out */
  WY_STORE_ELIMIT = -504,       /* not carried out: too many calls */
  WY_STORE_ERESPONSE = -505,    /* the response is malformed or unexpected */
  WY_STORE_ENOTFOUND = -506,    /* no such object */
  WY_STORE_EADDRESS = -507      /* not "host:port" */
};

const char *wy_store_strerror (int err);

#endif
