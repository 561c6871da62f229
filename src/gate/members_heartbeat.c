/* Heartbeats: writes that of this entry, reads those of its successors on the
   ring and marks the directory rows of entries that have failed.

   If every entry read the heartbeats of all entries, the load on the store
   would grow with the square of their number.  Rows are keyed by position on
   the ring, so that one range read returns neighbours.  */
#include "gate/members_state.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "decide/ring.h"
#include "gate/suspect_list.h"
#include "trace/json_log.h"

enum
{
  HEARTBEAT_MS = 500,
  POLL_MS = 250,
  /* The top bits of a position select one of 64 partitions, each of which
     accepts a few hundred writes per second: enough for several thousand
     entries.  */
  PARTITION_SHIFT = 58,
  PARTITION_SIZE_BYTES = 4,
  /* Polls between scans for expired rows.  */
  EXPIRY_POLLS = 20,
  /* How long the row of a failed entry is kept.  */
  FAILED_RETENTION_MS = 60000,
  /* A suspect of which another entry has told is in that entry's row within
     this time, if it lives and reaches the store.  */
  UNSTORED_MAX_MS = 500,
  /* Entries that publish it otherwise, and twice as many each time that these
     have not: they may have died or not have heard.  */
  ADOPTERS = 3,
  ADOPTER_DOUBLINGS_MAX = 16
};

static unsigned
partition_of (uint64_t position)
{
  return (unsigned)(position >> PARTITION_SHIFT);
}

static void
on_heartbeat_written (void *ctx, const struct wy_rows_result *r)
{
  ((struct wy_members *)ctx)->writing_heartbeat = false;
}

static void
write_heartbeat (struct wy_members *m)
{
  char partition[PARTITION_SIZE_BYTES];
  char key[WY_MEMBERS_KEY_SIZE_BYTES];
  struct wy_row_write w = { .table = WY_HEARTBEATS_TABLE, .key = key };
  struct wy_rows_tx tx
      = { .partition = partition, .writes = &w, .n_writes = 1 };
  json_t *doc = json_pack ("{s:s, s:I}", "holder", m->o.env->holder, "beat",
                           (json_int_t)++m->heartbeats);
  json_t *busy = wy_busy_slots_encode (m->busy_slots);
  char *value;

  if (busy)
    json_object_set_new (doc, "busy", busy);
  if (m->usage_complete >= 0)
    json_object_set_new (doc, "usage_complete",
                         json_integer (m->usage_complete));
  g_snprintf (partition, sizeof partition, "%u", partition_of (m->position));
  wy_members_key (m->position, key);
  value = json_dumps (doc, JSON_COMPACT);
  json_decref (doc);
  w.value = value;
  w.size_bytes = strlen (value);
  m->writing_heartbeat = true;
  wy_rows_tx (m->o.env->rows, &tx, on_heartbeat_written, m);
  free (value);
}

static void
on_heartbeat_timer (uv_timer_t *t)
{
  struct wy_members *m = t->data;

  if (!m->writing_heartbeat)
    write_heartbeat (m);
  wy_members_write_row (m);
}

struct mark_request
{
  struct wy_members *members;
  char node[WY_MEMBERS_NAME_SIZE_BYTES];
  json_t *crashed; /* suspects that the row loses by the mark; NULL: none */
};

static struct successor *
find_successor (struct wy_members *m, const char *node)
{
  for (uint32_t i = 0; i < m->n_successors; i++)
    if (!strcmp (m->successors[i].node, node))
      return &m->successors[i];
  return NULL;
}

static void
on_marked (void *ctx, const struct wy_rows_result *r)
{
  struct mark_request *k = ctx;
  struct successor *w = find_successor (k->members, k->node);

  if (w)
    w->mark_pending = false;
  /* The write may have been applied although its response was lost.  */
  if (r->err != WY_ROWS_ECONFLICT && k->crashed)
    {
      struct wy_gate_env *env = k->members->o.env;

      wy_suspect_list_adopt (&env->crashes, k->crashed,
                             wy_clock_mono_ms (env->clock));
      wy_members_write_row (k->members);
    }
  json_decref (k->crashed);
  g_free (k);
}

/* Mark the directory row of W as failed, unless the row has changed meanwhile.
   SILENT_MS is the time since the last observed heartbeat.  */
static void
mark_failed (struct wy_members *m, struct successor *w, int64_t silent_ms)
{
  const struct member *e = g_hash_table_lookup (m->by_node, w->node);
  struct wy_row_ref condition = { .table = WY_MEMBERS_TABLE, .key = w->node };
  struct wy_row_write write = { .table = WY_MEMBERS_TABLE, .key = w->node };
  struct wy_rows_tx tx = { .conditions = &condition,
                           .n_conditions = 1,
                           .writes = &write,
                           .n_writes = 1 };
  struct mark_request *k;
  json_t *doc;
  char *value;

  if (!e || e->failed || w->mark_pending)
    return;
  wy_json_log ("entry.silent", "node=%s holder=%s silent_ms=%lld version=%lld",
               e->node, e->holder, (long long)silent_ms,
               (long long)e->row_version);
  doc = json_pack ("{s:s, s:b}", "holder", e->holder, "failed", 1);
  value = json_dumps (doc, JSON_COMPACT);
  json_decref (doc);
  k = g_new0 (struct mark_request, 1);
  k->members = m;
  g_strlcpy (k->node, e->node, sizeof k->node);
  k->crashed = json_incref (e->crashed);
  tx.partition = e->partition;
  condition.version = e->row_version;
  write.value = value;
  write.size_bytes = strlen (value);
  w->mark_pending = true;
  wy_rows_tx (m->o.env->rows, &tx, on_marked, k);
  free (value);
}

/* A read of the heartbeats of one partition from position FIRST to LAST, both
   inclusive.  */
struct heartbeat_read
{
  struct wy_members *members;
  uint64_t first;
  uint64_t last;
};

static int64_t
version_at (const struct wy_rows_result *r, uint64_t position)
{
  char key[WY_MEMBERS_KEY_SIZE_BYTES];

  wy_members_key (position, key);
  for (size_t i = 0; i < r->n; i++)
    if (!strcmp (r->rows[i].key, key))
      return r->rows[i].version;
  return 0;
}

static void
on_heartbeats_read (void *ctx, const struct wy_rows_result *r)
{
  struct heartbeat_read *b = ctx;
  struct wy_members *m = b->members;
  int64_t now_ms = wy_clock_mono_ms (m->o.env->clock);

  m->pending_reads--;
  for (uint32_t i = 0; !r->err && i < m->n_monitored; i++)
    {
      struct successor *w = &m->successors[i];
      struct wy_liveness *l = &m->liveness[i];

      if (w->position < b->first || w->position > b->last)
        continue;
      wy_liveness_observe (l, now_ms, version_at (r, w->position));
      if (wy_liveness_has_failed (l))
        mark_failed (m, w, l->silent_ms);
    }
  if (!r->err)
    m->last_read_ms = now_ms;
  g_free (b);
}

static void
read_heartbeats (struct wy_members *m, uint64_t first, uint64_t last)
{
  struct heartbeat_read *b = g_new0 (struct heartbeat_read, 1);
  char partition[PARTITION_SIZE_BYTES];
  char from[WY_MEMBERS_KEY_SIZE_BYTES];
  char to[WY_MEMBERS_KEY_SIZE_BYTES + 1];
  struct wy_rows_range range = { .table = WY_HEARTBEATS_TABLE,
                                 .partition = partition,
                                 .from = from,
                                 .to = to };

  b->members = m;
  b->first = first;
  b->last = last;
  g_snprintf (partition, sizeof partition, "%u", partition_of (first));
  wy_members_key (first, from);
  wy_members_key (last, to);
  g_strlcat (to, "0", sizeof to);
  m->pending_reads++;
  wy_rows_get (m->o.env->rows, &range, on_heartbeats_read, b);
}

/* Read the heartbeats of the monitored entries, one range per partition.  */
static void
read_monitored (struct wy_members *m)
{
  bool done[WY_MEMBERS_SUCCESSORS_MAX] = { false };

  m->n_monitored = (uint32_t)wy_ring_monitored (m->liveness, m->n_successors,
                                                WY_MEMBERS_MONITORED_MIN);
  for (uint32_t i = 0; i < m->n_monitored; i++)
    {
      uint64_t first = m->successors[i].position;
      uint64_t last = first;

      if (done[i])
        continue;
      for (uint32_t k = i; k < m->n_monitored; k++)
        if (partition_of (m->successors[k].position) == partition_of (first))
          {
            done[k] = true;
            first = MIN (first, m->successors[k].position);
            last = MAX (last, m->successors[k].position);
          }
      read_heartbeats (m, first, last);
    }
}

static gint
compare_positions (gconstpointer a, gconstpointer b)
{
  uint64_t x = (*(struct member *const *)a)->position;
  uint64_t y = (*(struct member *const *)b)->position;

  return x < y ? -1 : x > y;
}

/* The entries that are alive, ordered by position; their number is stored in
   N.  The caller frees the list with g_free.  */
struct member **
wy_members_ring (const struct wy_members *m, size_t *n)
{
  GPtrArray *all = g_ptr_array_new ();
  GHashTableIter it;
  gpointer p;

  g_hash_table_iter_init (&it, m->by_node);
  while (g_hash_table_iter_next (&it, NULL, &p))
    if (wy_member_is_alive (p))
      g_ptr_array_add (all, p);
  g_ptr_array_sort (all, compare_positions);
  *n = all->len;
  return (struct member **)g_ptr_array_free (all, FALSE);
}

/* Recompute the successors of this entry and keep the state of those that
   remain.  */
static void
update_successors (struct wy_members *m)
{
  struct successor previous[WY_MEMBERS_SUCCESSORS_MAX];
  struct wy_liveness previous_liveness[WY_MEMBERS_SUCCESSORS_MAX];
  uint32_t n_previous = m->n_successors;
  size_t at[WY_MEMBERS_SUCCESSORS_MAX];
  size_t n;
  struct member **ring = wy_members_ring (m, &n);
  uint64_t *positions = g_new (uint64_t, n + 1);

  for (size_t i = 0; i < n; i++)
    positions[i] = ring[i]->position;
  memcpy (previous, m->successors, sizeof previous);
  memcpy (previous_liveness, m->liveness, sizeof previous_liveness);
  memset (m->successors, 0, sizeof m->successors);
  memset (m->liveness, 0, sizeof m->liveness);
  m->n_successors = (uint32_t)wy_ring_successors (
      positions, n, m->position, WY_MEMBERS_SUCCESSORS_MAX, at);
  for (uint32_t i = 0; i < m->n_successors; i++)
    {
      struct successor *w = &m->successors[i];

      g_strlcpy (w->node, ring[at[i]]->node, sizeof w->node);
      w->position = ring[at[i]]->position;
      for (uint32_t k = 0; k < n_previous; k++)
        if (previous[k].position == w->position)
          {
            *w = previous[k];
            m->liveness[i] = previous_liveness[k];
          }
    }
  m->ring_is_stale = false;
  g_free (positions);
  g_free (ring);
}

static void
on_removed (void *ctx, const struct wy_rows_result *r)
{
}

/* Remove the directory and address rows of E.  */
static void
remove_member (struct wy_members *m, const struct member *e)
{
  char key[WY_MEMBERS_KEY_SIZE_BYTES];
  struct wy_row_ref condition = { .table = WY_MEMBERS_TABLE,
                                  .key = e->node,
                                  .version = e->row_version };
  struct wy_row_ref removals[2]
      = { condition, { .table = WY_ADDRESSES_TABLE, .key = key } };
  struct wy_rows_tx tx = { .partition = e->partition,
                           .conditions = &condition,
                           .n_conditions = 1,
                           .removals = removals,
                           .n_removals = 2 };

  wy_members_key (e->position, key);
  wy_json_log ("entry.removed", "node=%s holder=%s", e->node, e->holder);
  wy_rows_tx (m->o.env->rows, &tx, on_removed, m);
}

/* Remove expired rows of failed entries.  Each row is removed by the one entry
   that ranks first for it.  */
static void
remove_expired (struct wy_members *m)
{
  int64_t now_ms = wy_clock_mono_ms (m->o.env->clock);
  GHashTableIter it;
  gpointer p;

  g_hash_table_iter_init (&it, m->by_node);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      const struct member *e = p;

      if (e->failed && now_ms - e->failed_since_ms >= FAILED_RETENTION_MS
          && wy_members_rank (m, e->node) == 0)
        remove_member (m, e);
    }
}

/* Publish suspects that other entries told of directly and whose rows still
   don't show them: these entries may have died.  */
static void
adopt_unstored (struct wy_members *m)
{
  struct wy_gate_env *env = m->o.env;
  struct wy_suspects *s = &env->crashes.suspects;
  int64_t now_ms = wy_clock_mono_ms (env->clock);
  uint64_t f;

  while ((f = wy_suspects_next_unstored (s, UNSTORED_MAX_MS, now_ms)))
    {
      uint32_t round = wy_suspects_await_stored (s, f, now_ms);

      if (wy_members_rank_for (m, f)
          >= (uint32_t)ADOPTERS << MIN (round, ADOPTER_DOUBLINGS_MAX))
        continue;
      wy_json_log ("suspect.adopted", "fingerprint=%016llx",
                   (unsigned long long)f);
      wy_suspects_adopt (s, f, now_ms);
    }
}

static void
on_poll (uv_timer_t *t)
{
  struct wy_members *m = t->data;

  adopt_unstored (m);
  wy_busy_slots_sample (m->busy_slots, m->o.env);
  if (!wy_watch_is_synced (m->watch) || m->pending_reads)
    return;
  if (m->ring_is_stale)
    update_successors (m);
  read_monitored (m);
  if (++m->polls % EXPIRY_POLLS == 0)
    remove_expired (m);
}

/* Start writing and reading heartbeats.  */
void
wy_members_start_heartbeats (struct wy_members *m)
{
  uv_loop_t *loop = m->o.env->loop;

  m->ring_is_stale = true;
  uv_timer_init (loop, &m->heartbeat_timer);
  m->heartbeat_timer.data = m;
  uv_timer_start (&m->heartbeat_timer, on_heartbeat_timer, 0, HEARTBEAT_MS);
  uv_timer_init (loop, &m->poll_timer);
  m->poll_timer.data = m;
  uv_timer_start (&m->poll_timer, on_poll, POLL_MS, POLL_MS);
}

/* Stop writing and reading heartbeats.  */
void
wy_members_stop_heartbeats (struct wy_members *m)
{
  uv_close ((uv_handle_t *)&m->heartbeat_timer, NULL);
  uv_close ((uv_handle_t *)&m->poll_timer, NULL);
}
