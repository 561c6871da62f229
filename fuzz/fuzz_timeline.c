/* Timeline parser and checker: any bytes must be rejected or checked.  An
   accepted timeline has events.  */
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include "check/check.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct wy_timeline t;
  GString *error = g_string_new (NULL);
  int err;

  wy_timeline_init (&t);
  err = wy_timeline_parse (&t, "t", (const char *)data, size, error);
  if (!err)
    err = wy_timeline_finish (&t, error);
  if ((err == 0) != (error->len == 0))
    abort ();
  if (!err)
    {
      struct wy_check c;

      if (t.events->len == 0)
        abort ();
      wy_check_run (&c, &t);
      wy_check_free (&c);
    }
  wy_timeline_free (&t);
  g_string_free (error, TRUE);
  return 0;
}
