/* Clients that send and read as no ordinary client does: many connections to
   one address, driven by a timer on the loop of the test.  */
#ifndef WY_STANDIN_CROWD_H
#define WY_STANDIN_CROWD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

#include "base/rng.h"

struct wy_crowd_options
{
  uv_loop_t *loop;
  uint16_t port;
  uint32_t connections;
  const char *once;    /* sent first; NULL: nothing */
  uint32_t once_bytes; /* 0: its length as a string */
  const char *again;   /* sent repeatedly after that; NULL: nothing */
  uint32_t again_bytes;
  uint32_t sent_max_bytes;  /* a connection */
  uint32_t chunk_bytes;     /* a connection and step; 0: as much as it takes */
  uint32_t read_step_bytes; /* a connection and step; 0: reads nothing */
  uint32_t opened_max;      /* connections, those opened again included */
  bool half_close;          /* shut down the sending side when all is sent */
  bool reopen;              /* close each when all is sent, and open another */
};

struct wy_crowd;

struct wy_crowd *wy_crowd_new (const struct wy_crowd_options *o);
uint32_t wy_crowd_open (const struct wy_crowd *c);
uint64_t wy_crowd_sent_bytes (const struct wy_crowd *c);
void wy_crowd_stop_sending (struct wy_crowd *c);
void wy_crowd_free (struct wy_crowd *c);

GString *wy_crowd_draw (struct wy_crowd_options *o, struct wy_rng *rng);

#endif
