/* Issue times of keys that tell none.

   At most once rests on the issue time of a key: a target that was restarted
   shuts out what was issued before its start, since an earlier incarnation
   may have run it.  A key that carries no time, such as "filing-17", can't be
   told from one that ran before, and would be answered `unknown' for the
   length of the cold window after each start of its target.

   While the table service is up, the first entry to see such a key writes a
   row that gives it an issue time; a resend through any entry finds that row
   and so the same time.  While the service is down or slow the key goes on
   without one, and the cold window holds; filings go on either way.

   A key that ran during an outage has no row.  Met after it, it must not look
   new: until such keys are no longer sent again, a new row is dated before
   the outage, so that only a target that has been up all the time, and
   remembers, takes it.  The last outage is kept in a row too, for entries
   that start later.  */
#include "entry/issue_times.h"

#include <string.h>

#include <jansson.h>

#include "entry/dispatch.h"
#include "store/client.h"

#define PREFIX "issue/"
#define OUTAGE_KEY "issue-outage"

enum
{
  /* A caller must not wait for a slow store: beyond this the key goes without
     a time.  */
  BUDGET_MS = 300,
  /* The window in which callers send again, as the targets' cold window.  */
  WINDOW_MS = 15 * 60 * WY_MS_PER_S,
  /* Rows are of use within the window only, and deleted after it.  */
  KEEP_MS = 2 * WINDOW_MS,
  /* Clocks of instances differ by up to this.  */
  SKEW_MS = 500
};

struct written
{
  char *key;
  int64_t at_ms; /* wall time */
};

struct wy_issue_rows
{
  struct wy_entry *entry;
  GQueue written; /* struct written, oldest first */
  /* The last outage, by the wall clock; 0: none is known.  */
  int64_t outage_from_ms;
  int64_t outage_to_ms;
  int64_t down_since_ms; /* of the one that lasts; 0: none does */
  bool outage_known;     /* the row has been read */
  bool reading;
};

struct ask
{
  struct wy_issue_rows *rows;
  char *id;
  char *key;
  int64_t issued_ms;
};

static int64_t
wall_ms (const struct wy_issue_rows *s)
{
  return wy_clock_wall_ms (s->entry->clock);
}

/* Rows of E's keys.  */
struct wy_issue_rows *
wy_issue_rows_new (struct wy_entry *e)
{
  struct wy_issue_rows *s = g_new0 (struct wy_issue_rows, 1);

  s->entry = e;
  g_queue_init (&s->written);
  return s;
}

static void
written_free (gpointer p)
{
  struct written *w = p;

  g_free (w->key);
  g_free (w);
}

/* Free S, after the store.  */
void
wy_issue_rows_free (struct wy_issue_rows *s)
{
  if (!s)
    return;
  g_queue_clear_full (&s->written, written_free);
  g_free (s);
}

static void
on_nothing (void *ctx, const struct wy_store_result *r)
{
}

static void
on_outage_row (void *ctx, const struct wy_store_result *r)
{
  struct wy_issue_rows *s = ctx;
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
read_outage (struct wy_issue_rows *s)
{
  static const char *const keys[] = { OUTAGE_KEY };
  struct wy_store_read r = { .cause = "issue", .keys = keys, .n_keys = 1 };

  s->reading = true;
  wy_store_read (s->entry->store, &r, on_outage_row, s);
}

static void
write_outage (struct wy_issue_rows *s)
{
  char op[WY_ID_SIZE_BYTES];
  json_t *value
      = json_pack ("{s:I, s:I}", "from_ms", (json_int_t)s->outage_from_ms,
                   "to_ms", (json_int_t)s->outage_to_ms);
  struct wy_store_write write = { OUTAGE_KEY, value };
  struct wy_store_txn t
      = { .cause = "issue", .op = op, .writes = &write, .n_writes = 1 };

  wy_id_new (s->entry->clock, op);
  wy_store_txn (s->entry->store, &t, on_nothing, NULL);
  json_decref (value);
}

static void
watch_outage (struct wy_issue_rows *s)
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
delete_row (struct wy_issue_rows *s, const char *key)
{
  char op[WY_ID_SIZE_BYTES];
  const struct wy_store_write write = { key, NULL };
  const struct wy_store_txn t
      = { .cause = "issue", .op = op, .writes = &write, .n_writes = 1 };

  wy_id_new (s->entry->clock, op);
  wy_store_txn (s->entry->store, &t, on_nothing, NULL);
}

/* One row a sweep: as fast as rows can come, and no burst of writes after a
   long outage.  */
static void
delete_old (struct wy_issue_rows *s)
{
  struct written *w = g_queue_peek_head (&s->written);

  if (!w || w->at_ms >= wall_ms (s) - KEEP_MS)
    return;
  g_queue_pop_head (&s->written);
  delete_row (s, w->key);
  written_free (w);
}

/* Look for the beginning and end of outages and for rows to delete.  */
void
wy_issue_rows_sweep (struct wy_issue_rows *s)
{
  watch_outage (s);
  if (s->down_since_ms)
    return;
  if (!s->outage_known && !s->reading)
    read_outage (s);
  delete_old (s);
}

/* Whether R can be given an issue time: it needs one, and the store is there
   to keep it.  */
bool
wy_issue_rows_wanted (const struct wy_request *r)
{
  const struct wy_issue_rows *s = r->entry->issue_rows;

  return s && r->non_idempotent && r->key[0] && r->issued_ms == 0
         && s->outage_known && !s->down_since_ms
         && !wy_store_is_down (s->entry->store);
}

static void
ask_free (struct ask *a)
{
  g_free (a->id);
  g_free (a->key);
  g_free (a);
}

static void
note_written (struct wy_issue_rows *s, const char *key)
{
  struct written *w = g_new0 (struct written, 1);

  w->key = g_strdup (key);
  w->at_ms = wall_ms (s);
  g_queue_push_tail (&s->written, w);
}

static void
on_row (void *ctx, const struct wy_store_result *r)
{
  struct ask *a = ctx;
  struct wy_entry *e = a->rows->entry;
  struct wy_request *q = g_hash_table_lookup (e->requests, a->id);
  const struct wy_store_row *row = wy_store_find_row (r, a->key);
  int64_t issued = 0;

  if (!r->err)
    {
      issued = a->issued_ms;
      note_written (a->rows, a->key);
    }
  else if (r->err == WY_STORE_ECONFLICT && row && row->value)
    issued = json_integer_value (json_object_get (row->value, "issued_ms"));
  if (q && q->issue_ask == a && !e->stopped)
    {
      q->issue_ask = NULL;
      q->issued_ms = issued;
      wy_dispatch (q);
    }
  ask_free (a);
}

/* The time for a key that is first met now.  */
static int64_t
time_of_new (const struct wy_issue_rows *s)
{
  int64_t now = wall_ms (s);

  if (s->outage_to_ms && now < s->outage_to_ms + WINDOW_MS)
    return s->outage_from_ms - SKEW_MS;
  return now;
}

/* Give R an issue time, or leave it without, and send it on then.  */
void
wy_issue_rows_ask (struct wy_issue_rows *s, struct wy_request *r)
{
  struct ask *a = g_new0 (struct ask, 1);
  char op[WY_ID_SIZE_BYTES];
  struct wy_store_condition condition;
  struct wy_store_write write;
  struct wy_store_txn t = { .cause = "issue",
                            .op = op,
                            .conditions = &condition,
                            .n_conditions = 1,
                            .writes = &write,
                            .n_writes = 1,
                            .total_timeout_ms = BUDGET_MS };

  a->rows = s;
  a->id = g_strdup (r->id);
  a->key = g_strconcat (PREFIX, r->id, NULL);
  a->issued_ms = time_of_new (s);
  wy_id_new (s->entry->clock, op);
  condition = (struct wy_store_condition){ a->key, 0 };
  write.key = a->key;
  write.value = json_pack ("{s:I, s:s}", "issued_ms", (json_int_t)a->issued_ms,
                           "op", op);
  r->issue_ask = a;
  wy_store_txn (s->entry->store, &t, on_row, a);
  json_decref (write.value);
}
