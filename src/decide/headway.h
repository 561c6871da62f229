/* Whether a run of an item gets on, or is better off on another target.  */
#ifndef WY_DECIDE_HEADWAY_H
#define WY_DECIDE_HEADWAY_H

#include <stdint.h>

enum wy_headway
{
  WY_HEADWAY_SOUND,
  WY_HEADWAY_STALLED, /* no event for too long */
  WY_HEADWAY_SLOW     /* events come, but too slowly */
};

struct wy_headway_options
{
  uint32_t n_events;
  int64_t silent_ms;      /* since the last event, or the start */
  double event_ms;        /* that the last event took; 0: not known */
  double event_before_ms; /* the same of the one before it */
  double typical_ms;      /* of an event at most targets; 0: not known */
};

/* A target is sound enough to take a moved run over if its events take no
   longer than this many usual ones.  */
#define WY_HEADWAY_SOUND_FACTOR 1.3

enum wy_headway wy_headway_of (const struct wy_headway_options *o);

#endif
