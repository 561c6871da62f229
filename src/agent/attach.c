/* Attachments of connections to runs.

   A connection can attach to a run at any offset of its output: the connection
   that submitted the request, a later one of the same entry, or one of another
   entry to which the caller has sent the request again.  Output is sent no
   faster than the connection accepts it, so that the replay of a large result
   doesn't exceed the limit of unsent bytes, which would close the connection
   on every replay.  */
#include "agent/attach.h"

#include "agent/run.h"

enum
{
  CHUNK_SIZE_BYTES = 65536,
  /* Above this number of unsent bytes nothing more is sent to a connection.  A
     few chunks keep it busy; more would only use memory.  */
  UNSENT_LIMIT_BYTES = 4 * CHUNK_SIZE_BYTES
};

static void
send_head (struct wy_attachment *at)
{
  const struct wy_run *r = at->run;
  guint n = r->response_headers->len / 2;
  struct wy_header_pair *pairs = g_new (struct wy_header_pair, n + 1);
  struct wy_frame f = { .kind = WY_FRAME_HEAD };

  for (guint i = 0; i < n; i++)
    {
      gpointer *pair = &r->response_headers->pdata[(size_t)2 * i];

      pairs[i].name = wy_bytes_of (pair[0]);
      pairs[i].value = wy_bytes_of (pair[1]);
    }
  f.u.head.id = wy_bytes_of (r->id);
  f.u.head.run = wy_bytes_of (r->run);
  f.u.head.status = (uint32_t)r->status;
  f.u.head.headers = pairs;
  f.u.head.n_headers = n;
  at->head_sent = true;
  wy_conn_send (at->link->conn, &f);
  g_free (pairs);
}

static void
send_chunk (struct wy_attachment *at)
{
  const struct wy_run *r = at->run;
  size_t left = r->output->len - at->offset_bytes;
  struct wy_frame f = { .kind = WY_FRAME_CHUNK };

  f.u.chunk.id = wy_bytes_of (r->id);
  f.u.chunk.run = wy_bytes_of (r->run);
  f.u.chunk.offset_bytes = at->offset_bytes;
  f.u.chunk.data.p = (const char *)r->output->data + at->offset_bytes;
  f.u.chunk.data.n = (uint32_t)MIN (left, CHUNK_SIZE_BYTES);
  at->offset_bytes += f.u.chunk.data.n;
  wy_conn_send (at->link->conn, &f);
}

static void
send_end (struct wy_attachment *at)
{
  struct wy_frame f;

  wy_agent_run_outcome (at->run, WY_FRAME_END, &f);
  wy_conn_send (at->link->conn, &f);
}

static bool
has_room (struct wy_link *l)
{
  if (wy_conn_unsent_bytes (l->conn) < UNSENT_LIMIT_BYTES)
    return true;
  l->blocked = true;
  return false;
}

/* Detach AT from its run and its connection, and free it.  */
void
wy_agent_detach (struct wy_attachment *at)
{
  struct wy_run *r = at->run;

  g_queue_unlink (&r->attached, &at->run_link);
  g_queue_unlink (&at->link->attached, &at->link_link);
  g_free (at);
  if (r->attached.length == 0)
    r->detached_ms = wy_agent_now_ms (r->agent);
}

/* Send AT the output it hasn't received, as far as its connection accepts
   it.  */
static void
send_pending (struct wy_attachment *at)
{
  const struct wy_run *r = at->run;

  if (!wy_conn_is_ready (at->link->conn))
    return;
  if (r->status && !at->head_sent)
    send_head (at);
  while (at->offset_bytes < r->output->len)
    {
      if (!wy_conn_is_ready (at->link->conn) || !has_room (at->link))
        return;
      send_chunk (at);
    }
  if (r->phase != WY_PHASE_ENDED)
    return;
  send_end (at);
  /* Not every entry acknowledges: one whose caller has disconnected, or that
     retries elsewhere after a crash, doesn't.  Detaching starts the retention
     time of the result, so that it is discarded eventually.  */
  wy_agent_detach (at);
}

/* Send new output of R to all connections attached to it.  */
void
wy_agent_flush_run (struct wy_run *r)
{
  GList *next;

  for (GList *l = r->attached.head; l; l = next)
    {
      next = l->next;
      send_pending (l->data);
    }
}

/* Continue sending on L, which accepts bytes again.  */
void
wy_agent_flush_link (struct wy_link *l)
{
  GList *next;

  if (!l->blocked)
    return;
  l->blocked = false;
  for (GList *i = l->attached.head; i; i = next)
    {
      next = i->next;
      send_pending (i->data);
    }
}

static void
detach_from (struct wy_run *r, const struct wy_link *l)
{
  for (GList *i = r->attached.head; i; i = i->next)
    {
      struct wy_attachment *at = i->data;

      if (at->link != l)
        continue;
      wy_agent_detach (at);
      return;
    }
}

/* Attach L to R.  Output is sent from OFFSET_BYTES on, which must not be
   beyond the end of the output so far.  Replaces an earlier attachment of L to
   R.  */
void
wy_agent_attach (struct wy_run *r, struct wy_link *l, uint64_t offset_bytes)
{
  struct wy_attachment *at = g_new0 (struct wy_attachment, 1);

  detach_from (r, l);
  at->run = r;
  at->link = l;
  at->offset_bytes = offset_bytes;
  at->run_link.data = at;
  at->link_link.data = at;
  g_queue_push_tail_link (&r->attached, &at->run_link);
  g_queue_push_tail_link (&l->attached, &at->link_link);
  send_pending (at);
}
