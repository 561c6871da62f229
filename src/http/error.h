/* Errors of the http package.  */
#ifndef WY_HTTP_ERROR_H
#define WY_HTTP_ERROR_H

enum wy_http_error
{
  WY_HTTP_EBIND = -101,
  WY_HTTP_ECONNECT = -102,    /* nothing was sent */
  WY_HTTP_EINCOMPLETE = -103, /* ended before the response was complete */
  WY_HTTP_ETIMEOUT = -104,
  WY_HTTP_EMALFORMED = -105 /* not an HTTP/1.1 response */
};

#endif
