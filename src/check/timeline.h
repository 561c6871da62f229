/* Timeline files of all processes, merged in the order of timestamps.  */
#ifndef WY_CHECK_TIMELINE_H
#define WY_CHECK_TIMELINE_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

enum wy_check_error
{
  WY_CHECK_EOPEN = -1001,
  WY_CHECK_EMALFORMED = -1002,
  WY_CHECK_ETRUNCATED = -1003,
  WY_CHECK_EEMPTY = -1004
};

struct wy_event
{
  uint64_t hlc; /* hybrid logical clock: ms << 16 | counter */
  uint64_t seq; /* number within the incarnation, from 1 */
  const char *process;
  const char *incarnation;
  const char *name;
  json_t *fields; /* all fields of the line */
};

struct wy_timeline
{
  GPtrArray *events; /* struct wy_event, in the order of their timestamps */
};

int wy_timeline_load (struct wy_timeline *t, const char *const *paths,
                      size_t n, GString *error);
int wy_timeline_parse (struct wy_timeline *t, const char *name,
                       const char *text, size_t size_bytes, GString *error);
int wy_timeline_finish (struct wy_timeline *t, GString *error);
void wy_timeline_init (struct wy_timeline *t);
void wy_timeline_free (struct wy_timeline *t);
const char *wy_event_text (const struct wy_event *e, const char *key);
int64_t wy_event_number (const struct wy_event *e, const char *key,
                         int64_t fallback);
int64_t wy_event_ms (const struct wy_event *e);

#endif
