/* Settings loader: any bytes must give valid settings or an error message.  */
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include "config/settings.h"

struct fields
{
  char *name;
  int64_t limit_ms;
  double share;
  bool on;
  GPtrArray *peers;
};

static const struct wy_setting table[] = {
  { "name", WY_SETTING_STRING, offsetof (struct fields, name), NULL, 0, 0,
    NULL, NULL, "" },
  { "limit_ms", WY_SETTING_INTEGER, offsetof (struct fields, limit_ms), "1", 1,
    1000, NULL, "ms", "" },
  { "share", WY_SETTING_REAL, offsetof (struct fields, share), "0.5", 0, 1,
    NULL, NULL, "" },
  { "on", WY_SETTING_BOOL, offsetof (struct fields, on), "false", 0, 0, NULL,
    NULL, "" },
  { "peers", WY_SETTING_LIST, offsetof (struct fields, peers), NULL, 0, 0,
    NULL, NULL, "" },
};

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct fields f = { 0 };
  GString *errors = g_string_new (NULL);
  int err = wy_settings_parse ("f", (const char *)data, size, table,
                               G_N_ELEMENTS (table), &f, errors);

  if ((err == 0) != (errors->len == 0))
    abort ();
  if (!err && (!f.name || f.limit_ms < 1 || f.limit_ms > 1000))
    abort ();
  wy_settings_free (table, G_N_ELEMENTS (table), &f);
  g_string_free (errors, TRUE);
  return 0;
}
