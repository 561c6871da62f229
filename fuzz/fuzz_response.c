/* The reader of responses on arbitrary bytes, which a server on loopback
   sends.  No data may come before a head, no status that is not final, nothing
   after the end; and the check must not depend on how the bytes are split.
   Bit 0 of the first byte selects HEAD.  */
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "h1/client.h"
#include "standin/scripted.h"

enum
{
  STATUS_MIN = 200,
  STATUS_MAX = 599,
  TIMEOUT_MS = 5000
};

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

struct result
{
  int status; /* 0: no head */
  bool ended;
  int err;
};

static uv_loop_t loop;
static struct wy_h1_client *client;
static struct wy_scripted *server;

static void
on_head (void *ctx, const struct wy_h1_response *r)
{
  struct result *a = ctx;

  if (a->status || a->ended || r->status < STATUS_MIN
      || r->status > STATUS_MAX)
    abort ();
  if (!wy_h1_head_has_valid_names (r->head))
    abort ();
  a->status = r->status;
}

static void
on_data (void *ctx, const char *p, size_t n)
{
  const struct result *a = ctx;

  if (a->status == 0 || a->ended)
    abort ();
}

static void
on_end (void *ctx, int err)
{
  struct result *a = ctx;

  if (a->ended || (err == 0 && a->status == 0))
    abort ();
  a->ended = true;
  a->err = err;
}

static void
init (void)
{
  struct wy_h1_client_options o = { .loop = &loop,
                                    .connect_timeout_ms = TIMEOUT_MS,
                                    .idle_timeout_ms = TIMEOUT_MS };
  struct wy_scripted_options s = { .loop = &loop };

  signal (SIGPIPE, SIG_IGN);
  uv_loop_init (&loop);
  client = wy_h1_client_new (&o);
  server = wy_scripted_new (&s);
  if (!server)
    abort ();
}

static void
check_splits (const char *p, size_t n, bool to_head)
{
  struct wy_h1_response_check whole;
  struct wy_h1_response_check bytewise;
  size_t sound;
  size_t i = 0;

  wy_h1_response_check_init (&whole, to_head);
  wy_h1_response_check_init (&bytewise, to_head);
  sound = wy_h1_response_check_feed (&whole, p, n);
  while (i < n && wy_h1_response_check_feed (&bytewise, p + i, 1) == 1)
    i++;
  if (i != sound || whole.fault != bytewise.fault
      || whole.state != bytewise.state)
    abort ();
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct result a = { 0 };
  bool to_head = size && data[0] & 1;
  struct wy_h1_call_options k = { .method = to_head ? "HEAD" : "GET",
                                  .target = "/",
                                  .new_connection = true,
                                  .on_head = on_head,
                                  .on_data = on_data,
                                  .on_end = on_end,
                                  .ctx = &a };

  if (size < 2)
    return 0;
  if (!client)
    init ();
  check_splits ((const char *)data + 1, size - 1, to_head);
  server->o.response = (struct wy_scripted_response){
    .text = (const char *)data + 1, .n = size - 1, .ends = true
  };
  uv_ip4_addr ("127.0.0.1", server->port, &k.address);
  wy_h1_call_start (client, &k);
  while (!a.ended)
    uv_run (&loop, UV_RUN_ONCE);
  wy_h1_client_close_idle (client, &k.address);
  while (server->handles > 1)
    uv_run (&loop, UV_RUN_ONCE);
  uv_run (&loop, UV_RUN_NOWAIT);
  return 0;
}
