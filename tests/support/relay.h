/* A TCP relay that can make open connections silent.  */
#ifndef WY_TEST_RELAY_H
#define WY_TEST_RELAY_H

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

struct relay;

struct relay *relay_start (uv_loop_t *loop, uint16_t to_port);
uint16_t relay_port (const struct relay *r);
/* Discard from now on what comes from the dialling side or from the listening
   side of the connections open now.  Later connections work.  */
void relay_discard (struct relay *r, bool from_dialler, bool from_listener);
void relay_stop (struct relay *r);
void relay_free (struct relay *r);

#endif
