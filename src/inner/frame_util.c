/* Helpers for the fields of frames, and names of their constants.  */
#include <string.h>

#include "inner/frame.h"

/* Return the bytes of TEXT without its NUL; none if TEXT is NULL.  */
struct wy_bytes
wy_bytes_of (const char *text)
{
  struct wy_bytes b = { text ? text : "", 0 };

  b.n = (uint32_t)strlen (b.p);
  return b;
}

/* Return a NUL-terminated copy of B.  Must be freed with g_free.  */
char *
wy_bytes_dup (struct wy_bytes b)
{
  char *copy = g_malloc ((gsize)b.n + 1);

  if (b.n)
    memcpy (copy, b.p, b.n);
  copy[b.n] = '\0';
  return copy;
}

/* Whether B equals TEXT.  */
bool
wy_bytes_equal (struct wy_bytes b, const char *text)
{
  return strlen (text) == b.n && (b.n == 0 || !memcmp (b.p, text, b.n));
}

/* Return the name of R in timelines.  */
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

/* Return a description of ERR, an enum wy_inner_error or 0.  */
const char *
wy_inner_strerror (int err)
{
  switch (err)
    {
    case 0:
      return "closed locally";
    case WY_INNER_ETRUNCATED:
      return "frame truncated";
    case WY_INNER_ETOOBIG:
      return "frame too large";
    case WY_INNER_EMALFORMED:
      return "frame malformed";
    case WY_INNER_EAUTH:
      return "authentication failed";
    case WY_INNER_ECLOSED:
      return "closed by the peer";
    case WY_INNER_ETIMEDOUT:
      return "peer timed out";
    case WY_INNER_EPROTOCOL:
      return "unsupported protocol version";
    case WY_INNER_ECONNECT:
      return "cannot connect";
    case WY_INNER_EBIND:
      return "cannot listen";
    case WY_INNER_EBACKLOG:
      return "peer reads too slowly";
    default:
      return "unknown error";
    }
}
