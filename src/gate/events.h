/* Cuts a stream of events (text/event-stream) into whole events.  */
#ifndef WY_GATE_EVENTS_H
#define WY_GATE_EVENTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

struct wy_event
{
  const char *raw; /* the event with its blank line */
  size_t raw_n;
  int64_t id;       /* -1: none */
  const char *data; /* its data lines, joined by line feeds */
  size_t data_n;
  int64_t version; /* of the weights from here on; -1: not told */
};

struct wy_events
{
  GString *held; /* of an event not yet whole */
  GString *data;
  int64_t last_id; /* -1: none yet */
};

void wy_events_init (struct wy_events *e);
void wy_events_clear (struct wy_events *e);
void wy_events_reset (struct wy_events *e);
bool wy_events_in_midst (const struct wy_events *e);
void wy_events_feed (struct wy_events *e, const char *p, size_t n,
                     void (*on_event) (void *ctx, const struct wy_event *ev),
                     void *ctx);

#endif
