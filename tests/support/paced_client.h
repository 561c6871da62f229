/* A raw client, which sends requests on one connection and reads at a given
   pace.  */
#ifndef WY_TESTS_PACED_CLIENT_H
#define WY_TESTS_PACED_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

struct paced_client
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  uv_write_t write;
  uv_timer_t pace;
  uint32_t step_bytes; /* in each step; 0: as fast as it comes */
  uint32_t room_bytes; /* that may be read in this step */
  const char *text;
  GString *got;
  char buffer[65536];
  bool ended; /* by the peer */
};

struct paced_client *paced_client_new (uv_loop_t *loop, uint16_t port,
                                       const char *text, uint32_t bytes_per_s);
void paced_client_send (struct paced_client *c, const char *text);
void paced_client_stop_reading (struct paced_client *c);

#endif
