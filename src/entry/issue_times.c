/* Issue times for idempotency keys that don't encode one.

   At-most-once execution relies on the issue time of a key: a restarted target
   rejects requests issued before its start, since an earlier incarnation may
   have run them.  For a key without a time, such as "filing-17", it can't tell
   whether an earlier incarnation ran it, and would respond `unknown' for the
   full cold window after each start.

   While the table service is up, the first entry that receives such a key
   writes a row with an issue time.  Retries through any entry find that row
   and use the same time.  While the service is down or slow the request is
   sent on without a time and the cold window applies; requests are served
   either way.

   A key that ran during an outage has no row, and after the outage it must not
   look new.  Therefore, as long as such keys may still be retried, new rows
   are dated before the outage, so that only a target that has been up all the
   time, and has a complete record, accepts them.  The last outage is stored in
   a row as well, for entries that start later.  */
#include "entry/issue_times.h"

#include <string.h>

#include <jansson.h>

#include "entry/dispatch.h"
#include "store/client.h"

#define PREFIX "issue/"
#define OUTAGE_KEY "issue-outage"

enum
{
  /* Limit for writing the row, so that a slow store doesn't delay callers;
     after it the key goes without a time.  */
  STORE_BUDGET_MS = 300,
  /* Time within which callers retry, equal to the cold window of the
     targets.  */
  WINDOW_MS = 15 * 60 * WY_MS_PER_S,
  /* Rows matter only within the window; they are deleted after twice that
     time.  */
  KEEP_MS = 2 * WINDOW_MS,
  /* Greatest clock difference between instances.  */
  SKEW_MS = 500
};

struct written_row
{
  char *key;
  int64_t at_ms; /* wall clock */
};

struct wy_issue_times
{
  struct wy_entry *entry;
  GQueue written; /* struct written_row, oldest first */
  /* The last outage, wall clock; 0: none is known.  */
  int64_t outage_from_ms;
  int64_t outage_to_ms;
  int64_t down_since_ms; /* start of the current outage; 0: none */
  bool outage_known;     /* the row of the last outage has been read */
  bool reading;
};

struct issue_lookup
{
  struct wy_issue_times *rows;
  char *id;
  char *key;
  int64_t issued_ms;
};

static int64_t
wall_ms (const struct wy_issue_times *s)
{
  return wy_clock_wall_ms (s->entry->clock);
}

/* Create the issue times of E's keys.  */
struct wy_issue_times *
wy_issue_times_new (struct wy_entry *e)
{
  struct wy_issue_times *s = g_new0 (struct wy_issue_times, 1);

  s->entry = e;
  g_queue_init (&s->written);
  return s;
}

static void
written_free (gpointer p)
{
  struct written_row *w = p;

  g_free (w->key);
  g_free (w);
}

/* Free S; the store must be freed before.  */
void
wy_issue_times_free (struct wy_issue_times *s)
{
  if (!s)
    return;
  g_queue_clear_full (&s->written, written_free);
  g_free (s);
}

static void
ignore_result (void *ctx, const struct wy_store_result *r)
{
}

static void
on_outage_row (void *ctx, const struct wy_store_result *r)
{
  struct wy_issue_times *s = ctx;
  const struct wy_store_row *row;
  int64_t from;
  int64_t to;

  s->reading = false;
  if (r->err)
    return;
  s->outage_known = true;
  row = wy_store_find_row (r, OUTAGE_KEY);
  if (!row || !row->value)
    return;
  from = json_integer_value (json_object_get (row->value, "from_ms"));
  to = json_integer_value (json_object_get (row->value, "to_ms"));
  if (to > s->outage_to_ms)
    {
      s->outage_from_ms = from;
      s->outage_to_ms = to;
    }
}

static void
read_outage (struct wy_issue_times *s)
{
  static const char *const keys[] = { OUTAGE_KEY };
  struct wy_store_read r = { .cause = "issue", .keys = keys, .n_keys = 1 };

  s->reading = true;
  wy_store_read (s->entry->store, &r, on_outage_row, s);
}

static void
write_outage (struct wy_issue_times *s)
{
  char op[WY_ID_SIZE_BYTES];
  json_t *value
      = json_pack ("{s:I, s:I}", "from_ms", (json_int_t)s->outage_from_ms,
                   "to_ms", (json_int_t)s->outage_to_ms);
  struct wy_store_write write = { OUTAGE_KEY, value };
  struct wy_store_txn t
      = { .cause = "issue", .op = op, .writes = &write, .n_writes = 1 };

  wy_id_new (s->entry->clock, op);
  wy_store_txn (s->entry->store, &t, ignore_result, NULL);
  json_decref (value);
}

static void
watch_outage (struct wy_issue_times *s)
{
  bool down = wy_store_is_down (s->entry->store);

  if (down && !s->down_since_ms)
    s->down_since_ms = wall_ms (s);
  if (down || !s->down_since_ms)
    return;
  s->outage_from_ms = s->down_since_ms;
  s->outage_to_ms = wall_ms (s);
  s->down_since_ms = 0;
  write_outage (s);
}

static void
delete_row (struct wy_issue_times *s, const char *key)
{
  char op[WY_ID_SIZE_BYTES];
  const struct wy_store_write write = { key, NULL };
  const struct wy_store_txn t
      = { .cause = "issue", .op = op, .writes = &write, .n_writes = 1 };

  wy_id_new (s->entry->clock, op);
  wy_store_txn (s->entry->store, &t, ignore_result, NULL);
}

/* Deletes at most one row per sweep: as fast as rows are written, without a
   burst of writes after a long outage.  */
static void
delete_old (struct wy_issue_times *s)
{
  struct written_row *w = g_queue_peek_head (&s->written);

  if (!w || w->at_ms >= wall_ms (s) - KEEP_MS)
    return;
  g_queue_pop_head (&s->written);
  delete_row (s, w->key);
  written_free (w);
}

/* Periodic check: detect the start and end of outages, and delete old
   rows.  */
void
wy_issue_times_sweep (struct wy_issue_times *s)
{
  watch_outage (s);
  if (s->down_since_ms)
    return;
  if (!s->outage_known && !s->reading)
    read_outage (s);
  delete_old (s);
}

/* Whether R needs an issue time and the store can record one now.  */
bool
wy_issue_times_should_assign (const struct wy_request *r)
{
  const struct wy_issue_times *s = r->entry->issue_times;

  return s && r->non_idempotent && r->key[0] && r->issued_ms == 0
         && s->outage_known && !s->down_since_ms
         && !wy_store_is_down (s->entry->store);
}

static void
lookup_free (struct issue_lookup *a)
{
  g_free (a->id);
  g_free (a->key);
  g_free (a);
}

static void
remember_written (struct wy_issue_times *s, const char *key)
{
  struct written_row *w = g_new0 (struct written_row, 1);

  w->key = g_strdup (key);
  w->at_ms = wall_ms (s);
  g_queue_push_tail (&s->written, w);
}

static void
on_row (void *ctx, const struct wy_store_result *r)
{
  struct issue_lookup *a = ctx;
  struct wy_entry *e = a->rows->entry;
  struct wy_request *q = g_hash_table_lookup (e->requests, a->id);
  const struct wy_store_row *row = wy_store_find_row (r, a->key);
  int64_t issued = 0;

  if (!r->err)
    {
      issued = a->issued_ms;
      remember_written (a->rows, a->key);
    }
  else if (r->err == WY_STORE_ECONFLICT && row && row->value)
    issued = json_integer_value (json_object_get (row->value, "issued_ms"));
  if (q && q->issue_lookup == a && !e->stopped)
    {
      q->issue_lookup = NULL;
      q->issued_ms = issued;
      wy_dispatch (q);
    }
  lookup_free (a);
}

/* The issue time for a key received for the first time now.  */
static int64_t
time_for_new_key (const struct wy_issue_times *s)
{
  int64_t now = wall_ms (s);

  if (s->outage_to_ms && now < s->outage_to_ms + WINDOW_MS)
    return s->outage_from_ms - SKEW_MS;
  return now;
}

/* Look up or assign the issue time of R, then dispatch R, if need be without
   one.  */
void
wy_issue_times_assign (struct wy_issue_times *s, struct wy_request *r)
{
  struct issue_lookup *a = g_new0 (struct issue_lookup, 1);
  char op[WY_ID_SIZE_BYTES];
  struct wy_store_condition condition;
  struct wy_store_write write;
  struct wy_store_txn t = { .cause = "issue",
                            .op = op,
                            .conditions = &condition,
                            .n_conditions = 1,
                            .writes = &write,
                            .n_writes = 1,
                            .total_timeout_ms = STORE_BUDGET_MS };

  a->rows = s;
  a->id = g_strdup (r->id);
  a->key = g_strconcat (PREFIX, r->id, NULL);
  a->issued_ms = time_for_new_key (s);
  wy_id_new (s->entry->clock, op);
  condition = (struct wy_store_condition){ a->key, 0 };
  write.key = a->key;
  write.value = json_pack ("{s:I, s:s}", "issued_ms", (json_int_t)a->issued_ms,
                           "op", op);
  r->issue_lookup = a;
  wy_store_txn (s->entry->store, &t, on_row, a);
  json_decref (write.value);
}
