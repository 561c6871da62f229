/* Small helpers of the inner protocol.  */
#include <string.h>

#include "inner/frame.h"

/* The bytes of TEXT without its NUL; empty for NULL.  */
struct wy_bytes
wy_bytes_of (const char *text)
{
  struct wy_bytes b = { text ? text : "", 0 };

  b.n = (uint32_t)strlen (b.p);
  return b;
}

/* A copy of B, followed by a NUL; freed with g_free.  */
char *
wy_bytes_dup (struct wy_bytes b)
{
  char *copy = g_malloc ((gsize)b.n + 1);

  if (b.n)
    memcpy (copy, b.p, b.n);
  copy[b.n] = '\0';
  return copy;
}

/* Tell whether B is exactly TEXT.  */
bool
wy_bytes_equal (struct wy_bytes b, const char *text)
{
  return strlen (text) == b.n && (b.n == 0 || !memcmp (b.p, text, b.n));
}

/* A short stable name for R, for timelines.  */
const char *
wy_refusal_reason_name (enum wy_refusal_reason r)
{
  switch (r)
    {
    case WY_REFUSED_BUSY:
      return "busy";
    case WY_REFUSED_LEAVING:
      return "leaving";
    case WY_REFUSED_SUSPECT:
      return "suspect";
    case WY_REFUSED_NOT_HOME:
      return "not_home";
    case WY_REFUSED_TOO_OLD:
      return "too_old";
    case WY_REFUSED_TOO_NEW:
      return "too_new";
    case WY_REFUSED_UNKNOWN_NAME:
      return "unknown_name";
    case WY_REFUSED_BAD_REQUEST:
      return "bad_request";
    case WY_REFUSED_FULL:
      return "full";
    case WY_REFUSED_NO_CONFIG:
      return "no_config";
    case WY_REFUSED_VERSION:
      return "version";
    case WY_REFUSED_LOST:
      return "lost";
    }
  return "unknown";
}

/* Text for an error of the package.  */
const char *
wy_inner_strerror (int err)
{
  switch (err)
    {
    case 0:
      return "closed on this side";
    case WY_INNER_ETRUNCATED:
      return "frame truncated";
    case WY_INNER_ETOOBIG:
      return "frame too big";
    case WY_INNER_EMALFORMED:
      return "frame malformed";
    case WY_INNER_EAUTH:
      return "key not proved";
    case WY_INNER_ECLOSED:
      return "closed by the peer";
    case WY_INNER_ESILENT:
      return "peer silent";
    case WY_INNER_EPROTOCOL:
      return "other protocol version";
    case WY_INNER_ECONNECT:
      return "cannot connect";
    case WY_INNER_EBIND:
      return "cannot listen";
    case WY_INNER_EBACKLOG:
      return "peer takes too little";
    default:
      return "unknown error";
    }
}
