/* Settings of a process: a YAML mapping, validated against a table.  */
#ifndef WY_CONFIG_SETTINGS_H
#define WY_CONFIG_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

enum wy_config_error
{
  WY_CONFIG_EOPEN = -401,
  WY_CONFIG_ESYNTAX = -402,
  WY_CONFIG_EVALUE = -403,
  WY_CONFIG_ECONFLICT = -404,
  WY_CONFIG_ESTORE = -405
};

enum wy_setting_kind
{
  WY_SETTING_STRING,  /* char * */
  WY_SETTING_INTEGER, /* int64_t */
  WY_SETTING_REAL,    /* double */
  WY_SETTING_BOOL,    /* bool */
  WY_SETTING_CHOICE,  /* int64_t, index into choices */
  WY_SETTING_LIST     /* GPtrArray * of char * */
};

struct wy_setting
{
  const char *key;
  enum wy_setting_kind kind;
  size_t offset;             /* of the field in the settings struct */
  const char *default_value; /* NULL: the key must be given */
  double min;                /* for numbers, both inclusive */
  double max;
  const char *const *choices; /* ends with NULL */
  const char *unit;
  const char *help;
};

/* Table rows for the field NAME of TYPE; the key is the name of the field.  */
#define WY_STRING_ROW(type, name, default_value, help)                        \
  {                                                                           \
#name, WY_SETTING_STRING, offsetof(type, name), default_value, 0, 0,      \
        NULL, NULL, help                                                      \
  }
#define WY_INTEGER_ROW(type, name, default_value, min, max, unit, help)       \
  {                                                                           \
#name, WY_SETTING_INTEGER, offsetof(type, name), default_value, min, max, \
        NULL, unit, help                                                      \
  }

int wy_settings_parse (const char *path, const char *text, size_t size_bytes,
                       const struct wy_setting *table, size_t n, void *out,
                       GString *errors);
int wy_settings_load (const char *path, const struct wy_setting *table,
                      size_t n, void *out, GString *errors);
void wy_settings_free (const struct wy_setting *table, size_t n, void *out);
void wy_settings_describe (const struct wy_setting *table, size_t n,
                           GString *out);

#endif
