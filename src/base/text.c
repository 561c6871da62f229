/* Bytes from outside that are to be kept as text.  */
#include "base/text.h"

#include <glib.h>

/* Return whether the N bytes at P can be stored and sent as a JSON string that
   each reader takes whole: UTF-8 without a zero byte, at which readers that
   keep no length would end it.  */
bool
wy_text_is_valid (const char *p, size_t n)
{
  return g_utf8_validate_len (p, n, NULL);
}
