/* Prints the fields of a timeline event as JSON.  */
#ifndef WY_TRACE_JSON_FIELDS_H
#define WY_TRACE_JSON_FIELDS_H

#include <stdarg.h>
#include <stdint.h>

#include <glib.h>

void wy_json_fields_string (GString *out, const char *key, const char *value);
void wy_json_fields_integer (GString *out, const char *key, int64_t value);
void wy_json_fields_pack (GString *out, const char *fmt, va_list ap);

#endif
