/* Queue of events in virtual time.  */
#ifndef WY_BENCH_EVENTS_H
#define WY_BENCH_EVENTS_H

#include <stdbool.h>
#include <stdint.h>

struct wb_event
{
  double at_ms;
  uint64_t seq; /* orders events of the same time by insertion */
  uint32_t kind;
  uint32_t index;
  uint64_t arg;
};

struct wb_events
{
  struct wb_event *e;
  uint32_t n;
  uint32_t cap;
  uint64_t seq;
};

void wb_events_add (struct wb_events *q, double at_ms, uint32_t kind,
                    uint32_t index, uint64_t arg);
bool wb_events_next (struct wb_events *q, struct wb_event *out);
void wb_events_free (struct wb_events *q);

#endif
