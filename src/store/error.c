/* Error texts of the store client.  */
#include "store/error.h"

/* The text of ERR, for logs and responses.  */
const char *
wy_store_strerror (int err)
{
  switch (err)
    {
    case 0:
      return "ok";
    case WY_STORE_ECONFLICT:
      return "a condition of the transaction failed";
    case WY_STORE_EUNAVAILABLE:
      return "the store is unavailable";
    case WY_STORE_EUNKNOWN:
      return "the write may have been carried out";
    case WY_STORE_ELIMIT:
      return "too many calls to the store";
    case WY_STORE_ERESPONSE:
      return "unexpected response from the store";
    case WY_STORE_ENOTFOUND:
      return "no such object";
    case WY_STORE_EADDRESS:
      return "the store address is not host:port";
    default:
      return "unknown store error";
    }
}
