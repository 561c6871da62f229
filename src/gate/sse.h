/* Parser for server-sent events (text/event-stream).  */
#ifndef WY_GATE_SSE_H
#define WY_GATE_SSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/* Limit of one event.  Bytes that are no events may come without end.  */
#define WY_SSE_EVENT_MAX_BYTES 1048576

struct wy_sse_event
{
  const char *raw; /* the event as received, with its blank line */
  size_t raw_n;
  int64_t id;       /* -1: none */
  const char *data; /* its data fields, joined by line feeds */
  size_t data_n;
  bool has_version;
  int64_t version; /* of the weights from this event on; -1: not given, or no
                      number */
};

struct wy_sse_parser
{
  GString *partial_event; /* bytes of an incomplete event */
  size_t scanned_bytes;   /* of these, in which no event ends */
  GString *data;          /* of the event being parsed */
  int64_t last_id;        /* -1: none yet */
};

void wy_sse_init (struct wy_sse_parser *e);
void wy_sse_clear (struct wy_sse_parser *e);
bool wy_sse_has_partial (const struct wy_sse_parser *e);
bool wy_sse_is_too_long (const struct wy_sse_parser *e);
void wy_sse_feed (struct wy_sse_parser *e, const char *p, size_t n,
                  void (*on_event) (void *ctx, const struct wy_sse_event *ev),
                  void *ctx);

#endif
