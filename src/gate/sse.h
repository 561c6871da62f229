/* Cuts a stream of events (text/event-stream) into whole events.  */
#ifndef WY_GATE_SSE_H
#define WY_GATE_SSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

struct wy_sse_event
{
  const char *raw; /* the event with its blank line */
  size_t raw_n;
  int64_t id;       /* -1: none */
  const char *data; /* its data lines, joined by line feeds */
  size_t data_n;
  int64_t version; /* of the weights from here on; -1: not told */
};

struct wy_sse_parser
{
  GString *partial_event; /* of an event not yet whole */
  GString *data;
  int64_t last_id; /* -1: none yet */
};

void wy_sse_init (struct wy_sse_parser *e);
void wy_sse_clear (struct wy_sse_parser *e);
void wy_sse_reset (struct wy_sse_parser *e);
bool wy_sse_has_partial (const struct wy_sse_parser *e);
void wy_sse_feed (struct wy_sse_parser *e, const char *p, size_t n,
                  void (*on_event) (void *ctx, const struct wy_sse_event *ev),
                  void *ctx);

#endif
