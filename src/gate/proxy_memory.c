/* Forwarded requests while memory is short: paused responses, rejections.  */
#include "gate/proxy_state.h"

enum
{
  /* What a request in progress occupies here besides its body and its
     response: its state, the call to a replica and the call's head.  */
  REQUEST_BYTES = 4096
};

/* Count BYTES for P in the memory account, in place of what was counted.  */
static void
count_bytes (struct wy_proxy_request *p, uint32_t bytes)
{
  wy_memory_account_add (&p->env->memory, WY_MEMORY_TO_REPLICAS,
                         (int64_t)bytes - (int64_t)p->counted_bytes);
  p->counted_bytes = bytes;
}

/* P has been admitted.  */
void
wy_proxy_count_memory (struct wy_proxy_request *p)
{
  count_bytes (p, REQUEST_BYTES);
}

/* P ends.  */
void
wy_proxy_uncount_memory (struct wy_proxy_request *p)
{
  count_bytes (p, 0);
}

/* The time of the pause does not count as silence of the target.  */
static void
on_read_resumed (void *ctx)
{
  struct wy_proxy_attempt *t = ctx;

  t->last_received_ms = wy_proxy_now_ms (t->p);
}

/* Prepare T's source before its call starts.  */
void
wy_proxy_init_source (struct wy_proxy_attempt *t)
{
  t->source.on_resume = on_read_resumed;
  t->source.ctx = t;
}

/* T has received data that is stored, or passed on to READER.  */
void
wy_proxy_pause_if_behind (struct wy_proxy_attempt *t,
                          const struct wy_h1_request *reader)
{
  t->source.call = t->call;
  t->source.reader = reader;
  t->source.stored_bytes = t->response->body->len;
  wy_read_source_received (t->p->env->read_pauses, &t->source);
}

/* Whether a response to P is not read for lack of memory.  */
bool
wy_proxy_is_paused (const struct wy_proxy_request *p)
{
  for (size_t i = 0; i < WY_PROXY_ATTEMPTS_MAX; i++)
    if (p->running[i].target && p->running[i].source.paused)
      return true;
  return false;
}

/* Whether P is rejected for lack of memory.  */
bool
wy_proxy_is_over_memory (const struct wy_proxy_request *p)
{
  size_t body_size_bytes;

  wy_h1_body (p->request, &body_size_bytes);
  return wy_memory_account_rejects (&p->env->memory, body_size_bytes > 0);
}
