/* Settings loader: errors name the file, line and key.  */
#include <criterion/criterion.h>
#include <stdio.h>
#include <unistd.h>

#include "config/settings.h"

struct sample
{
  char *name;
  int64_t limit_ms;
  double share;
  bool on;
  int64_t mode;
  GPtrArray *peers;
};

static const char *const modes[] = { "idle", "staleness", NULL };
static const struct wy_setting table[] = {
  { "name", WY_SETTING_STRING, offsetof (struct sample, name), NULL, 0, 0,
    NULL, NULL, "" },
  { "limit_ms", WY_SETTING_INTEGER, offsetof (struct sample, limit_ms), "100",
    1, 1000, NULL, "ms", "" },
  { "share", WY_SETTING_REAL, offsetof (struct sample, share), "0.5", 0, 1,
    NULL, NULL, "" },
  { "on", WY_SETTING_BOOL, offsetof (struct sample, on), "false", 0, 0, NULL,
    NULL, "" },
  { "mode", WY_SETTING_CHOICE, offsetof (struct sample, mode), "idle", 0, 0,
    modes, NULL, "" },
  { "peers", WY_SETTING_LIST, offsetof (struct sample, peers), NULL, 0, 0,
    NULL, NULL, "" },
};

static int
load (const char *text, struct sample *out, GString *errors)
{
  char path[] = "/tmp/wy-settings-XXXXXX";
  int fd = mkstemp (path);
  int err;

  cr_assert_geq (fd, 0);
  cr_assert_eq (write (fd, text, strlen (text)), (ssize_t)strlen (text));
  close (fd);
  err = wy_settings_load (path, table, G_N_ELEMENTS (table), out, errors);
  unlink (path);
  return err;
}

Test (settings, values_and_defaults)
{
  struct sample s = { 0 };
  GString *errors = g_string_new (NULL);

  cr_assert_eq (
      load ("name: a\nmode: staleness\non: true\npeers: [x, y]\n", &s, errors),
      0);
  cr_assert_str_eq (s.name, "a");
  cr_assert_eq (s.limit_ms, 100);
  cr_assert_float_eq (s.share, 0.5, 1e-9);
  cr_assert (s.on);
  cr_assert_eq (s.mode, 1);
  cr_assert_eq (s.peers->len, 2U);
  wy_settings_free (table, G_N_ELEMENTS (table), &s);
  g_string_free (errors, TRUE);
}

Test (settings, errors_name_line_and_key)
{
  static const struct
  {
    const char *text;
    const char *message;
  } cases[] = {
    { "limit_ms: 5\n", ":1: name: missing" },
    { "name: a\nlimit_ms: 5000\n", ":2: limit_ms: invalid value, a whole "
                                   "number from 1 to 1000 is allowed" },
    { "name: a\nlimit_ms: 5x\n", ":2: limit_ms: invalid value" },
    { "name: a\n\nmode: fast\n",
      ":3: mode: invalid value, one of idle, staleness is allowed" },
    { "name: a\nshare: 2\n", ":2: share: invalid value" },
    { "name: a\non: maybe\n", ":2: on: invalid value" },
    { "name: a\nnam: b\n", ":2: nam: unknown key" },
    { "name: a\nname: b\n", ":2: name: given twice" },
    { "name: a\npeers: [[x]]\n", ":2: peers: invalid value" },
    { "- a\n", ":1: ?: not a mapping" },
    { "name: [a\n", "YAML is allowed" },
    { "", "not a mapping" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct sample s = { 0 };
      GString *errors = g_string_new (NULL);

      cr_assert_lt (load (cases[i].text, &s, errors), 0, "%s", cases[i].text);
      cr_assert (strstr (errors->str, cases[i].message), "%s gave %s",
                 cases[i].text, errors->str);
      wy_settings_free (table, G_N_ELEMENTS (table), &s);
      g_string_free (errors, TRUE);
    }
}
