/* Acknowledgements of delivered responses.

   An agent discards a response once it is acknowledged.  For a non-idempotent
   request with a key the acknowledgement is delayed: if the response is lost
   between entry and caller, the caller sends the request again, and only the
   agent that still holds the response can return it.  */
#include "entry/acks.h"

#include "entry/peers.h"

enum
{
  /* Callers that got no response retry within seconds.  At 100 requests per
     second with responses of 1 KB an agent holds 3 MB for it.  */
  ACK_DELAY_MS = 30000
};

struct deferred_ack
{
  char *target;
  char *id;
  char *run;
  uint64_t offset_bytes;
  int64_t due_ms;
};

static void
send_ack (struct wy_peer *p, const char *id, const char *run,
          uint64_t offset_bytes)
{
  struct wy_frame f = { .kind = WY_FRAME_ACK };

  f.u.resume.id = wy_bytes_of (id);
  f.u.resume.run = wy_bytes_of (run);
  f.u.resume.offset_bytes = offset_bytes;
  wy_peer_send (p, &f);
}

/* Acknowledge the response of R, which was delivered completely.  */
void
wy_ack_response (struct wy_request *r)
{
  struct wy_entry *e = r->entry;
  struct deferred_ack *a;

  if (!r->peer || !r->run)
    return;
  if (!r->non_idempotent || !r->key[0] || r->peer->leaving || e->stopping)
    {
      send_ack (r->peer, r->id, r->run, r->offset_bytes);
      return;
    }
  a = g_malloc0 (sizeof *a);
  a->target = g_strdup (r->peer->id);
  a->id = g_strdup (r->id);
  a->run = g_strdup (r->run);
  a->offset_bytes = r->offset_bytes;
  a->due_ms = wy_clock_mono_ms (e->clock) + ACK_DELAY_MS;
  g_queue_push_tail (&e->deferred_acks, a);
}

static void
send_deferred (struct wy_entry *e, struct deferred_ack *a)
{
  struct wy_peer *p = g_hash_table_lookup (e->peers, a->target);

  if (p)
    send_ack (p, a->id, a->run, a->offset_bytes);
  g_free (a->target);
  g_free (a->id);
  g_free (a->run);
  g_free (a);
}

/* Send the delayed acknowledgements that are due.  */
void
wy_acks_sweep (struct wy_entry *e, int64_t now_ms)
{
  struct deferred_ack *a;

  while ((a = g_queue_peek_head (&e->deferred_acks)) && now_ms >= a->due_ms)
    send_deferred (e, g_queue_pop_head (&e->deferred_acks));
}

/* Send all delayed acknowledgements to P, or to every target when P is NULL.
   A target that shuts down waits for them.  */
void
wy_acks_flush (struct wy_entry *e, const struct wy_peer *p)
{
  GList *next;

  for (GList *l = e->deferred_acks.head; l; l = next)
    {
      struct deferred_ack *a = l->data;

      next = l->next;
      if (p && !g_str_equal (a->target, p->id))
        continue;
      g_queue_delete_link (&e->deferred_acks, l);
      send_deferred (e, a);
    }
}
