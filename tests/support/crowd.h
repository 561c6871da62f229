/* Clients that send and read as no ordinary client does: many connections to
   one address, driven by a timer on the loop of the test.  */
#ifndef WY_TESTS_CROWD_H
#define WY_TESTS_CROWD_H

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

struct crowd_options
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

struct crowd;

struct crowd *crowd_new (const struct crowd_options *o);
uint32_t crowd_open (const struct crowd *c);
uint64_t crowd_sent_bytes (const struct crowd *c);
void crowd_stop_sending (struct crowd *c);
void crowd_free (struct crowd *c);

#endif
