/* The directory of entries in the store: writes the row of this entry and
   watches the rows of the others.

   There is no lease: a job's writes are conditional on the version of its row,
   so an entry wrongly marked as failed can do no harm; it only loses its jobs
   and rewrites its row.  Writes to the directory are conditional on the row's
   version too, so a delayed write has no effect.  */
#include "gate/members_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/id.h"
#include "gate/suspect_list.h"
#include "platform/replica_wire.h"
#include "trace/json_log.h"

enum
{
  /* Short, since changes are rare and failures must be observed quickly.  */
  WATCH_INTERVAL_MS = 100,
  /* The row is rewritten when its epoch is off by more.  */
  EPOCH_TOLERANCE_MS = 50
};

static void
copy_string (json_t *doc, const char *key, char *out)
{
  const char *v = json_string_value (json_object_get (doc, key));

  g_strlcpy (out, v ? v : "", WY_MEMBERS_NAME_SIZE_BYTES);
}

/* Store the name of the partition of the directory and of the addresses that
   holds POSITION in OUT.  */
void
wy_members_partition (uint64_t position,
                      char out[WY_MEMBERS_PARTITION_SIZE_BYTES])
{
  snprintf (out, WY_MEMBERS_PARTITION_SIZE_BYTES, "%u",
            (unsigned)(position % WY_MEMBERS_PARTITIONS));
}

/* Store the key of addresses and heartbeats for POSITION in OUT.  Keys sort
   like positions.  */
void
wy_members_key (uint64_t position, char out[WY_MEMBERS_KEY_SIZE_BYTES])
{
  snprintf (out, WY_MEMBERS_KEY_SIZE_BYTES, "%016llx",
            (unsigned long long)position);
}

/* Update the state derived from the directory, once per batch of rows.  */
static void
on_update (uv_timer_t *t)
{
  struct wy_members *m = t->data;

  m->ring_is_stale = true;
  wy_members_update_epoch (m);
  m->o.env->entries = wy_members_count_alive (m);
  if (m->o.on_change)
    m->o.on_change (m->o.ctx);
}

static void
schedule_update (struct wy_members *m)
{
  if (!uv_is_active ((uv_handle_t *)&m->update_timer))
    uv_timer_start (&m->update_timer, on_update, 0, 0);
}

/* Merge the suspects in the row of E.  Those in a row of a previous process of
   this entry would be lost once the row is rewritten.  */
static void
merge_suspects (struct wy_members *m, const struct member *e)
{
  int64_t now_ms = wy_clock_mono_ms (m->o.env->clock);
  uint32_t n;

  if (!strcmp (e->node, m->o.env->node))
    {
      if (strcmp (e->holder, m->o.env->holder) != 0)
        wy_suspect_list_adopt (&m->o.env->crashes, e->crashed, now_ms);
      return;
    }
  n = wy_suspect_list_merge (&m->o.env->crashes, e->crashed, now_ms);
  if (n)
    wy_json_log ("request.held_back", "node=%s requests=%u", e->node, n);
}

static void
free_member (gpointer p)
{
  struct member *e = p;

  json_decref (e->crashed);
  g_free (e);
}

static struct member *
member_for (struct wy_members *m, const char *node)
{
  struct member *e = g_hash_table_lookup (m->by_node, node);

  if (e)
    return e;
  e = g_new0 (struct member, 1);
  g_strlcpy (e->node, node, sizeof e->node);
  e->position = wy_hash64 (e->node, strlen (e->node), 0);
  g_hash_table_insert (m->by_node, e->node, e);
  return e;
}

static void
decode_row (struct member *e, json_t *doc)
{
  const char *address = json_string_value (json_object_get (doc, "address"));

  copy_string (doc, "holder", e->holder);
  e->has_address = address && wy_address_parse (address, &e->address);
  e->cpu_share = json_number_value (json_object_get (doc, "cpu_share"));
  e->draining = json_is_true (json_object_get (doc, "draining"));
  e->leaving = json_is_true (json_object_get (doc, "leaving"));
  e->relayed = json_is_true (json_object_get (doc, "relayed"));
  e->failed = json_is_true (json_object_get (doc, "failed"));
  e->epoch_ms = json_integer_value (json_object_get (doc, "epoch_ms"));
  json_decref (e->crashed);
  e->crashed = json_incref (json_object_get (doc, "crashed"));
}

static void
log_change (const struct wy_members *m, const struct member *before,
            const struct member *e)
{
  /* Rows of the initial read are not logged one by one.  */
  if (!wy_watch_is_synced (m->watch))
    return;
  if (e->failed && !before->failed)
    wy_json_log ("entry.gone", "node=%s holder=%s version=%lld", e->node,
                 e->holder, (long long)e->row_version);
  else if (strcmp (before->holder, e->holder) != 0
           || before->leaving != e->leaving || before->failed != e->failed)
    wy_json_log ("entry.seen", "node=%s holder=%s leaving=%d version=%lld",
                 e->node, e->holder, e->leaving, (long long)e->row_version);
}

/* Replace the row of this entry, which another process has written or removed;
   VERSION is its current version, 0 if removed.  A pending write fails on its
   condition and is retried.  */
static void
rewrite_row (struct wy_members *m, int64_t version)
{
  if (m->pending_row)
    return;
  m->own_version = version;
  g_clear_pointer (&m->stored_row, g_free);
  wy_members_write_row (m);
}

static void
remove_row (struct wy_members *m, const struct wy_row *row)
{
  const struct member *e = g_hash_table_lookup (m->by_node, row->key);

  if (!e || strcmp (e->partition, row->partition) != 0)
    return;
  g_hash_table_remove (m->by_node, row->key);
  schedule_update (m);
  if (strcmp (row->key, m->o.env->node) != 0)
    return;
  m->address_written = false;
  rewrite_row (m, 0);
}

static void
on_row (void *ctx, const struct wy_row *row)
{
  struct wy_members *m = ctx;
  struct member *e;
  struct member before;
  json_t *doc;

  if (row->deleted)
    {
      remove_row (m, row);
      return;
    }
  e = member_for (m, row->key);
  if (row->version < e->row_version)
    return;
  before = *e;
  doc = json_loadb (row->value, row->size_bytes, 0, NULL);
  e->row_version = row->version;
  g_strlcpy (e->partition, row->partition, sizeof e->partition);
  decode_row (e, doc);
  if (e->failed && !before.failed)
    e->failed_since_ms = wy_clock_mono_ms (m->o.env->clock);
  merge_suspects (m, e);
  json_decref (doc);
  log_change (m, &before, e);
  schedule_update (m);
  /* Another entry has marked this one as failed, or the row is that of a
     previous process.  */
  if (!strcmp (e->node, m->o.env->node) && row->version > m->own_version
      && (e->failed || strcmp (e->holder, m->o.env->holder) != 0))
    rewrite_row (m, row->version);
}

static int64_t
update_published_epoch (struct wy_members *m)
{
  int64_t store_ms = wy_rows_store_now_ms (m->o.env->rows);
  int64_t epoch_ms;

  if (!store_ms)
    return m->published_epoch_ms;
  epoch_ms = wy_clock_wall_ms (m->o.env->clock) - store_ms;
  if (llabs (epoch_ms - m->published_epoch_ms) > EPOCH_TOLERANCE_MS)
    m->published_epoch_ms = epoch_ms;
  return m->published_epoch_ms;
}

/* The row of this entry, without values that change with each heartbeat.  */
static char *
row_text (struct wy_members *m)
{
  struct wy_gate_env *env = m->o.env;
  json_t *doc = json_pack (
      "{s:s, s:s, s:b, s:b, s:b, s:f}", "holder", env->holder, "address",
      m->o.address, "draining", m->draining, "leaving", m->leaving, "relayed",
      !wy_rows_is_direct (env->rows), "cpu_share", m->o.cpu_share);
  int64_t epoch_ms = update_published_epoch (m);
  char *text;

  if (epoch_ms)
    json_object_set_new (doc, "epoch_ms", json_integer (epoch_ms));
  if (wy_crash_tracker_has_suspects (&env->crashes))
    {
      json_t *list = wy_suspect_list_encode (&env->crashes,
                                             wy_clock_mono_ms (env->clock));

      /* Suspects that others have seen don't change the row.  */
      if (json_array_size (list))
        json_object_set (doc, "crashed", list);
      json_decref (list);
    }
  text = json_dumps (doc, JSON_COMPACT);
  json_decref (doc);
  return text;
}

/* Log that the row being written is in the store, if it has suspects: from
   here on they outlive this process.  */
static void
log_suspects_stored (const struct wy_members *m, int64_t version)
{
  json_t *doc = json_loads (m->pending_row, 0, NULL);
  size_t n = json_array_size (json_object_get (doc, "crashed"));

  if (n)
    wy_json_log ("suspects.stored", "suspects=%zu version=%lld", n,
                 (long long)version);
  json_decref (doc);
}

static void
set_stored_row (struct wy_members *m, int64_t version)
{
  log_suspects_stored (m, version);
  m->own_version = version;
  m->address_written = true;
  g_free (m->stored_row);
  m->stored_row = g_steal_pointer (&m->pending_row);
  wy_members_write_row (m);
}

/* Adopt the suspects in ROW, which a previous process of this entry may have
   written.  */
static void
adopt_own_row (struct wy_members *m, const struct wy_row *row)
{
  json_t *doc = json_loadb (row->value, row->size_bytes, 0, NULL);
  const char *holder = json_string_value (json_object_get (doc, "holder"));

  if (holder && strcmp (holder, m->o.env->holder) != 0)
    wy_suspect_list_adopt (&m->o.env->crashes,
                           json_object_get (doc, "crashed"),
                           wy_clock_mono_ms (m->o.env->clock));
  json_decref (doc);
}

static void
on_row_written (void *ctx, const struct wy_rows_result *r)
{
  struct wy_members *m = ctx;
  const struct wy_row *current
      = r->err == WY_ROWS_ECONFLICT && r->n ? r->rows : NULL;

  if (!r->err)
    set_stored_row (m, r->version);
  else if (current && current->size_bytes == strlen (m->pending_row)
           && !memcmp (current->value, m->pending_row, current->size_bytes))
    /* An earlier attempt was applied although its response was lost.  */
    set_stored_row (m, current->version);
  else
    {
      g_clear_pointer (&m->pending_row, g_free);
      if (r->err != WY_ROWS_ECONFLICT)
        return;
      if (current)
        adopt_own_row (m, current);
      m->own_version = current ? current->version : 0;
      wy_members_write_row (m);
    }
}

/* Write the row of this entry if it differs from the stored one.  The first
   write includes the address, for processes that don't watch the directory. */
void
wy_members_write_row (struct wy_members *m)
{
  char partition[WY_MEMBERS_PARTITION_SIZE_BYTES];
  char key[WY_MEMBERS_KEY_SIZE_BYTES];
  char *text;
  struct wy_row_ref condition = { .table = WY_MEMBERS_TABLE,
                                  .key = m->o.env->node,
                                  .version = m->own_version };
  struct wy_row_write writes[2]
      = { { .table = WY_MEMBERS_TABLE, .key = m->o.env->node },
          { .table = WY_ADDRESSES_TABLE,
            .key = key,
            .value = m->o.address,
            .size_bytes = strlen (m->o.address) } };
  struct wy_rows_tx tx = { .partition = partition,
                           .conditions = &condition,
                           .n_conditions = 1,
                           .writes = writes,
                           .n_writes = m->address_written ? 1 : 2 };

  if (m->pending_row)
    return;
  text = row_text (m);
  if (m->stored_row && !strcmp (m->stored_row, text))
    {
      free (text);
      return;
    }
  wy_members_partition (m->position, partition);
  wy_members_key (m->position, key);
  m->pending_row = g_strdup (text);
  free (text);
  writes[0].value = m->pending_row;
  writes[0].size_bytes = strlen (m->pending_row);
  wy_rows_tx (m->o.env->rows, &tx, on_row_written, m);
}

/* Start writing to and watching the directory with the options O.  */
struct wy_members *
wy_members_new (const struct wy_members_options *o)
{
  struct wy_members *m = g_new0 (struct wy_members, 1);
  struct wy_watch_options w = { .loop = o->env->loop,
                                .clock = o->env->clock,
                                .rows = o->env->rows,
                                .table = WY_MEMBERS_TABLE,
                                .all_partitions = true,
                                .min_interval_ms = WATCH_INTERVAL_MS,
                                .seed = o->seed,
                                .on_row = on_row,
                                .ctx = m };

  m->o = *o;
  m->position = wy_hash64 (o->env->node, strlen (o->env->node), 0);
  m->usage_complete = -1;
  m->by_node
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_member);
  m->busy_slots
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  m->unknown_holders
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  uv_timer_init (o->env->loop, &m->update_timer);
  m->update_timer.data = m;
  m->watch = wy_watch_new (&w);
  wy_members_start_heartbeats (m);
  return m;
}

/* Stop.  The memory of M isn't freed, since store calls that refer to it may
   be in progress.  */
void
wy_members_free (struct wy_members *m)
{
  wy_members_watch_load (m, false);
  wy_watch_free (m->watch);
  uv_close ((uv_handle_t *)&m->update_timer, NULL);
  wy_members_stop_heartbeats (m);
}

/* Publish the suspects that this entry has seen itself, if they have changed.
   Another entry may get the request at any moment.  */
void
wy_members_publish_suspects (struct wy_members *m)
{
  wy_members_write_row (m);
}

/* Announce that this entry accepts no new jobs.  */
void
wy_members_set_draining (struct wy_members *m)
{
  m->draining = true;
  wy_members_write_row (m);
}

/* Announce that this entry is about to stop, so that other entries take over
   its jobs.  */
void
wy_members_set_leaving (struct wy_members *m)
{
  m->leaving = true;
  wy_members_write_row (m);
}
