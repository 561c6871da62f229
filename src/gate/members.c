/* The entries that are alive.

   Each entry writes a row of its own some times a second, and the others see
   it change.  There is no lease: a job's writes carry its row's version as a
   condition, so an entry wrongly taken for gone can do no harm, it only
   loses its jobs.  Silence is counted from answer to answer of the store, else
   an outage would make everybody gone at once.  */
#include "gate/members_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/id.h"
#include "gate/crash_rows.h"
#include "platform/replica_wire.h"
#include "rows/watch.h"
#include "trace/note.h"

enum
{
  /* Parts of the table that heartbeats are spread over.  A part takes some
     hundred writes a second; and whoever starts reads each part, so with one
     for each entry all reads of a start of all would grow with the square of
     their number.  */
  PARTS = 16,
  PART_SIZE_BYTES = 8,
  BEAT_MS = 500,
  TICK_MS = 200,
  /* Answers of the store come some times a second.  Where one comes so long
     after the one before it, the store was away, or this process stood
     still.  */
  AWAY_MS = 1100,
  WATCH_GAP_MS = 250
};

static void
copy (json_t *doc, const char *key, char *out)
{
  const char *v = json_string_value (json_object_get (doc, key));

  g_strlcpy (out, v ? v : "", WY_MEMBERS_NAME_SIZE_BYTES);
}

static void
changed (struct wy_members *m)
{
  m->o.env->entries = wy_members_alive (m);
  if (m->o.on_change)
    m->o.on_change (m->o.ctx);
}

static void
learn_crashes (struct wy_members *m, const struct member *e,
               const json_t *list)
{
  uint32_t n;

  if (!strcmp (e->node, m->o.env->node))
    return;
  n = wy_crash_rows_learn (&m->o.env->crashes, list,
                           wy_clock_mono_ms (m->o.env->clock));
  if (n)
    wy_note ("request.held_back", "node=%s requests=%u", e->node, n);
}

static void
free_member (gpointer p)
{
  struct member *e = p;

  json_decref (e->busy);
  g_free (e);
}

static int64_t
window_of (json_t *v)
{
  return json_is_integer (v) ? json_integer_value (v) : -1;
}

static void
on_row (void *ctx, const struct wy_row *row)
{
  struct wy_members *m = ctx;
  struct member *e;
  struct member was = { 0 };
  json_t *doc;
  const char *address;

  if (row->deleted)
    {
      g_hash_table_remove (m->by_node, row->key);
      changed (m);
      return;
    }
  doc = json_loadb (row->value, row->size_bytes, 0, NULL);
  e = g_hash_table_lookup (m->by_node, row->key);
  if (e)
    was = *e;
  else
    {
      e = g_new0 (struct member, 1);
      g_strlcpy (e->node, row->key, sizeof e->node);
      g_hash_table_insert (m->by_node, e->node, e);
    }
  copy (doc, "holder", e->holder);
  address = json_string_value (json_object_get (doc, "address"));
  e->has_address = address && wy_address_parse (address, &e->address);
  e->cpu_share = json_number_value (json_object_get (doc, "cpu_share"));
  e->draining = json_is_true (json_object_get (doc, "draining"));
  e->leaving = json_is_true (json_object_get (doc, "leaving"));
  e->relayed = json_is_true (json_object_get (doc, "relayed"));
  e->silent_ms = 0;
  e->usage_complete = window_of (json_object_get (doc, "usage_complete"));
  json_decref (e->busy);
  e->busy = json_incref (json_object_get (doc, "busy"));
  e->epoch_ms = json_integer_value (json_object_get (doc, "epoch_ms"));
  learn_crashes (m, e, json_object_get (doc, "crashed"));
  json_decref (doc);
  if (strcmp (was.holder, e->holder) != 0 || was.leaving != e->leaving
      || was.silent_ms >= WY_MEMBERS_GONE_AFTER_MS)
    {
      /* Those of the first reading are told of together.  */
      if (wy_watch_is_synced (m->watch))
        wy_note ("entry.seen", "node=%s holder=%s leaving=%d silent_ms=%lld",
                 e->node, e->holder, e->leaving, (long long)was.silent_ms);
      changed (m);
    }
}

/* The store, or this process, was away, and the others' beats with it: they
   have their whole time to be heard of again.  Counted on from before, all of
   them would be gone some beats after an outage, and their jobs be taken over
   all at once.  */
static void
count_anew (struct wy_members *m)
{
  GHashTableIter it;
  gpointer p;

  g_hash_table_iter_init (&it, m->by_node);
  while (g_hash_table_iter_next (&it, NULL, &p))
    if (((struct member *)p)->silent_ms < WY_MEMBERS_GONE_AFTER_MS)
      ((struct member *)p)->silent_ms = 0;
}

static void
on_tick (uv_timer_t *t)
{
  struct wy_members *m = t->data;
  int64_t age_ms = wy_watch_age_ms (m->watch);
  int64_t answered_ms = wy_clock_mono_ms (m->o.env->clock) - age_ms;
  int64_t passed_ms = answered_ms - m->counted_ms;
  bool any = false;
  GHashTableIter it;
  gpointer p;

  wy_busy_sample (m->busy, m->o.env);
  if (age_ms < 0 || passed_ms <= 0)
    return;
  wy_members_learn_epoch (m);
  m->counted_ms = answered_ms;
  if (passed_ms > AWAY_MS)
    {
      count_anew (m);
      return;
    }
  g_hash_table_iter_init (&it, m->by_node);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      struct member *e = p;
      bool was_gone = e->silent_ms >= WY_MEMBERS_GONE_AFTER_MS;

      e->silent_ms += passed_ms;
      if (was_gone || e->silent_ms < WY_MEMBERS_GONE_AFTER_MS)
        continue;
      any = true;
      wy_note ("entry.gone",
               "node=%s holder=%s silent_ms=%lld list_age_ms=%lld", e->node,
               e->holder, (long long)e->silent_ms, (long long)age_ms);
    }
  if (any)
    changed (m);
}

static void
on_beat_written (void *ctx, const struct wy_rows_result *r)
{
  ((struct wy_members *)ctx)->writing = false;
}

static void
write_beat (struct wy_members *m)
{
  struct wy_row_write w = { .table = WY_MEMBERS_TABLE, .key = m->o.env->node };
  char part[PART_SIZE_BYTES];
  struct wy_rows_tx tx = { .part = part, .writes = &w, .n_writes = 1 };
  json_t *doc = json_pack (
      "{s:s, s:s, s:b, s:b, s:b, s:f, s:I}", "holder", m->o.env->holder,
      "address", m->o.address, "draining", m->draining, "leaving", m->leaving,
      "relayed", !wy_rows_is_direct (m->o.env->rows), "cpu_share",
      m->o.cpu_share, "beat", (json_int_t)++m->beats);
  int64_t store_ms = wy_rows_store_now_ms (m->o.env->rows);
  json_t *busy = wy_busy_encode (m->busy);
  char *value;

  snprintf (part, sizeof part, "%u",
            (unsigned)(wy_hash64 (w.key, strlen (w.key), 0) % PARTS));
  if (wy_crash_watch_any (&m->o.env->crashes))
    json_object_set_new (
        doc, "crashed",
        wy_crash_rows_encode (&m->o.env->crashes,
                              wy_clock_mono_ms (m->o.env->clock)));
  if (busy)
    json_object_set_new (doc, "busy", busy);
  if (store_ms)
    json_object_set_new (
        doc, "epoch_ms",
        json_integer (wy_clock_wall_ms (m->o.env->clock) - store_ms));
  if (m->usage_complete >= 0)
    json_object_set_new (doc, "usage_complete",
                         json_integer (m->usage_complete));
  value = json_dumps (doc, JSON_COMPACT);
  json_decref (doc);
  w.value = value;
  w.size_bytes = strlen (value);
  m->writing = true;
  wy_rows_tx (m->o.env->rows, &tx, on_beat_written, m);
  free (value);
}

static void
on_address_written (void *ctx, const struct wy_rows_result *r)
{
  struct wy_members *m = ctx;

  m->writing_address = false;
  m->address_written = r->err == 0;
}

/* Tell the processes that follow no heartbeats where calls are passed on.  */
static void
write_address (struct wy_members *m)
{
  struct wy_row_write w = { .table = WY_ADDRESSES_TABLE,
                            .key = m->o.env->node,
                            .value = m->o.address,
                            .size_bytes = strlen (m->o.address) };
  struct wy_rows_tx tx = { .part = "", .writes = &w, .n_writes = 1 };

  m->writing_address = true;
  wy_rows_tx (m->o.env->rows, &tx, on_address_written, m);
}

static void
on_beat (uv_timer_t *t)
{
  struct wy_members *m = t->data;

  if (!m->writing)
    write_beat (m);
  if (!m->address_written && !m->writing_address)
    write_address (m);
}

/* Start telling and following heartbeats as O says.  */
struct wy_members *
wy_members_new (const struct wy_members_options *o)
{
  struct wy_members *m = g_new0 (struct wy_members, 1);
  struct wy_watch_options w = { .loop = o->env->loop,
                                .clock = o->env->clock,
                                .rows = o->env->rows,
                                .table = WY_MEMBERS_TABLE,
                                .all_parts = true,
                                .gap_ms = WATCH_GAP_MS,
                                .seed = o->seed,
                                .on_row = on_row,
                                .ctx = m };

  m->o = *o;
  m->usage_complete = -1;
  m->by_node
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_member);
  m->busy = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  m->unseen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  m->watch = wy_watch_new (&w);
  uv_timer_init (o->env->loop, &m->beat);
  m->beat.data = m;
  uv_timer_start (&m->beat, on_beat, 0, BEAT_MS);
  uv_timer_init (o->env->loop, &m->tick);
  m->tick.data = m;
  uv_timer_start (&m->tick, on_tick, TICK_MS, TICK_MS);
  return m;
}

/* Stop.  The memory of M stays, since a call of it may be under way.  */
void
wy_members_free (struct wy_members *m)
{
  wy_watch_free (m->watch);
  uv_close ((uv_handle_t *)&m->beat, NULL);
  uv_close ((uv_handle_t *)&m->tick, NULL);
}

/* Tell the others, with the next heartbeat, that the usage counted here is in
   the store for all windows up to WINDOW.  */
void
wy_members_tell_usage (struct wy_members *m, int64_t window)
{
  m->usage_complete = window;
}

/* Tell the others that this entry takes no new jobs.  */
void
wy_members_drain (struct wy_members *m)
{
  m->draining = true;
  write_beat (m);
}

/* Tell the others that this entry is about to stop.  */
void
wy_members_leave (struct wy_members *m)
{
  m->leaving = true;
  write_beat (m);
}
