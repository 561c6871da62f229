/* Frame decoder on arbitrary bytes.  A decoded frame must encode, and decode
   again to the same length and kind.  */
#include <stdlib.h>

#include "inner/frame.h"

int LLVMFuzzerTestOneInput (const uint8_t *p, size_t n);

int
LLVMFuzzerTestOneInput (const uint8_t *p, size_t n)
{
  struct wy_frame_arena *a = wy_frame_arena_new ();
  struct wy_frame_arena *b = wy_frame_arena_new ();
  struct wy_frame f;
  struct wy_frame again;

  if (wy_frame_decode (a, p, n, &f) > 0)
    {
      GByteArray *out = g_byte_array_new ();

      wy_frame_encode (&f, out);
      if (wy_frame_decode (b, out->data, out->len, &again) != out->len
          || again.kind != f.kind)
        abort ();
      g_byte_array_unref (out);
    }
  wy_frame_arena_free (a);
  wy_frame_arena_free (b);
  return 0;
}
