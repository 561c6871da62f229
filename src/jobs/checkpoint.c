/* Text of unfinished items, kept in the store.

   Rows of each item, in the part of its model for a later job and in the part
   of its job for who takes that over: written by the entry that runs the job,
   read by the one that takes it over or accepts the next.  The rows are a help
   only: lost ones cost the time to make the text again.  */
#include "jobs/checkpoint.h"

#include <string.h>

#include "jobs/text_rows.h"
#include "trace/json_log.h"

enum
{
  /* A transaction of the store takes 100 entries and 1 MB in base64.  */
  BATCH_ROWS = 90,
  BATCH_BYTES = 500000,
  /* Rows that nobody took in this time belong to a trainer that is gone.  */
  KEEP_MS = 60000,
  /* Less text than this is made again sooner than it is stored.  */
  EVENTS_MIN = 5,
  /* Events that an item has gained when they are stored for whoever may take
     its job over.  */
  KEPT_EVENTS = 3
};

struct wy_carry
{
  struct wy_gate_env *env;
  char *part;
  GHashTable *texts; /* struct wy_kept_text by item */
  GPtrArray *keys;   /* of rows to remove: taken, or too old */
  char *from;
  void (*on_read) (void *ctx, struct wy_carry *c);
  void *ctx;
};

/* Text of a job that is being stored, in one or more calls.  */
struct wy_carry_write
{
  struct wy_owned *job; /* NULL: it was dropped meanwhile */
  uint32_t calls;
  bool failed;
};

static void
free_text (gpointer p)
{
  wy_kept_text_free (p);
}

static bool
has_whole_text (const struct wy_item *i)
{
  return i->state == WY_ITEM_SCORING || i->state == WY_ITEM_ENDED;
}

static bool
may_be_kept (const struct wy_item *i)
{
  return i->state != WY_ITEM_LISTED && !(i->result && i->result->given_up);
}

/* Whether the text of I has grown enough to be stored for who takes its job
   over.  A whole one that is not listed is stored at once.  */
static bool
has_grown (const struct wy_item *i)
{
  if (!may_be_kept (i))
    return false;
  return has_whole_text (i) ? !i->kept_whole
                            : i->last_event - i->kept_event >= KEPT_EVENTS;
}

/* Whether the text of I is worth storing for a later job, which asks for newer
   weights than this one did; with RUNNING only if it may have grown.  */
static bool
is_worth_keeping (const struct wy_item *i, bool running)
{
  if (!may_be_kept (i) || (running && !i->run && !has_whole_text (i)))
    return false;
  for (guint k = 0; k < i->versions->len; k++)
    if (g_array_index (i->versions, int64_t, k) <= i->job->spec->min_version)
      return false;
  return i->last_event >= EVENTS_MIN && i->last_event > i->carried_event;
}

static void
on_written (void *ctx, const struct wy_rows_result *r)
{
}

static void
free_write (struct wy_carry_write *w)
{
  if (w->job)
    w->job->keeping = NULL;
  g_free (w);
}

/* What was sent is stored; or it may not be, and is sent again.  */
static void
settle (struct wy_item *i, bool failed)
{
  if (!failed)
    {
      i->kept_bytes = i->sent_bytes;
      return;
    }
  i->sent_bytes = i->kept_bytes;
  i->kept_event = -1;
  i->kept_whole = false;
}

static void
on_kept (void *ctx, const struct wy_rows_result *r)
{
  struct wy_carry_write *w = ctx;

  w->failed = w->failed || r->err;
  if (--w->calls)
    return;
  for (uint32_t k = 0; w->job && k < w->job->n_items; k++)
    settle (&w->job->items[k], w->failed);
  free_write (w);
}

/* The job O is dropped: what is being stored for it ends without it.  */
void
wy_carry_detach (struct wy_owned *o)
{
  if (o->keeping)
    o->keeping->job = NULL;
  o->keeping = NULL;
}

/* Send the rows WRITES; W: the write that they belong to, or NULL.  */
static void
send_rows (struct wy_owned *o, const char *part, GArray *writes,
           struct wy_carry_write *w)
{
  struct wy_rows_tx tx = { .partition = part };

  for (guint at = 0; at < writes->len; at += tx.n_writes)
    {
      size_t size = 0;

      tx.writes = &g_array_index (writes, struct wy_row_write, at);
      tx.n_writes = 0;
      while (at + tx.n_writes < writes->len && tx.n_writes < BATCH_ROWS)
        {
          size += tx.writes[tx.n_writes].size_bytes;
          if (tx.n_writes && size > BATCH_BYTES)
            break;
          tx.n_writes++;
        }
      if (w)
        w->calls++;
      wy_rows_tx (o->env->rows, &tx, w ? on_kept : on_written, w);
    }
}

static void
add_text (struct wy_item *i, GArray *writes, size_t from_bytes)
{
  struct wy_text_state s
      = { .versions = (const int64_t *)i->versions->data,
          .n_versions = i->versions->len,
          .last_event = i->last_event,
          .whole = has_whole_text (i),
          .at_ms = wy_rows_store_now_ms (i->job->env->rows) };

  while (i->text_id == 0)
    i->text_id = wy_rng_u64 (&i->job->env->rng);
  s.text_id = i->text_id;
  wy_text_rows_add (writes, WY_CARRY_TABLE, i->spec->id, i->text->str,
                    from_bytes, i->text->len, &s, i->job->row_bytes);
}

static void
log_kept (const struct wy_owned *o, uint32_t items, const char *purpose)
{
  if (items)
    wy_json_log ("job.text_kept", "id=%s items=%u for=%s", o->record->id,
                 items, purpose);
}

/* Store what the texts of O have gained for who takes it over.  One write is
   under way at a time, since each goes on where the one before it ended.  */
void
wy_carry_keep (struct wy_owned *o)
{
  GArray *writes;
  uint32_t n = 0;

  if (o->keeping)
    return;
  writes = g_array_new (FALSE, FALSE, sizeof (struct wy_row_write));
  for (uint32_t k = 0; k < o->n_items; k++)
    {
      struct wy_item *i = &o->items[k];

      if (!has_grown (i))
        continue;
      add_text (i, writes, i->kept_bytes);
      i->sent_bytes = i->text->len;
      i->kept_event = i->last_event;
      i->kept_whole = has_whole_text (i);
      n++;
    }
  if (writes->len)
    {
      o->keeping = g_new0 (struct wy_carry_write, 1);
      o->keeping->job = o;
      send_rows (o, o->record->id, writes, o->keeping);
    }
  wy_text_rows_clear (writes);
  g_array_free (writes, TRUE);
  log_kept (o, n, "takeover");
}

/* Store the text of O's unfinished items for a later job; with RUNNING only
   what goes on still.  */
void
wy_carry_save (struct wy_owned *o, bool running)
{
  GArray *writes = g_array_new (FALSE, FALSE, sizeof (struct wy_row_write));
  uint32_t n = 0;

  for (uint32_t k = 0; k < o->n_items; k++)
    {
      struct wy_item *i = &o->items[k];

      if (!is_worth_keeping (i, running))
        continue;
      add_text (i, writes, 0);
      i->carried_event = i->last_event;
      n++;
    }
  send_rows (o, o->spec->model, writes, NULL);
  wy_text_rows_clear (writes);
  g_array_free (writes, TRUE);
  log_kept (o, n, "later_job");
}

static bool
same_item (const struct wy_row *a, const struct wy_row *b)
{
  size_t n = wy_text_item_size (a->key);

  return n == wy_text_item_size (b->key) && !strncmp (a->key, b->key, n);
}

/* Take in the items whose rows are all in R; returns the key of the first row
   that is not, or NULL.  */
static const char *
join (struct wy_carry *c, const struct wy_rows_result *r)
{
  size_t i = 0;

  while (i < r->n)
    {
      size_t first = i;
      struct wy_kept_text *t;

      while (i < r->n && same_item (&r->rows[first], &r->rows[i]))
        i++;
      if (i == r->n && r->has_more && first > 0)
        return r->rows[first].key;
      t = wy_text_rows_join (&r->rows[first], i - first);
      for (size_t k = first; k < i; k++)
        g_ptr_array_add (t && r->store_now_ms - t->at_ms <= KEEP_MS ? t->keys
                                                                    : c->keys,
                         g_strdup (r->rows[k].key));
      if (t)
        g_hash_table_replace (c->texts, t->item, t);
    }
  return NULL;
}

static void read_page (struct wy_carry *c);

static void
on_page (void *ctx, const struct wy_rows_result *r)
{
  struct wy_carry *c = ctx;
  const char *rest;

  rest = r->err ? NULL : join (c, r);
  g_free (c->from);
  c->from = g_strdup (rest);
  if (c->from)
    read_page (c);
  else
    c->on_read (c->ctx, c);
}

static void
read_page (struct wy_carry *c)
{
  struct wy_rows_range range
      = { .table = WY_CARRY_TABLE, .partition = c->part, .from = c->from };

  wy_rows_get (c->env->rows, &range, on_page, c);
}

/* Read what is kept in PART: for a model's next job under its name, for who
   takes a job over under the job's.  ON_READ takes the value over.  */
void
wy_carry_read (struct wy_gate_env *env, const char *part,
               void (*on_read) (void *ctx, struct wy_carry *c), void *ctx)
{
  struct wy_carry *c = g_new0 (struct wy_carry, 1);

  c->env = env;
  c->part = g_strdup (part);
  c->texts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_text);
  c->keys = g_ptr_array_new_with_free_func (g_free);
  c->on_read = on_read;
  c->ctx = ctx;
  read_page (c);
}

/* Free C, which may be NULL.  */
void
wy_carry_free (struct wy_carry *c)
{
  if (!c)
    return;
  g_hash_table_destroy (c->texts);
  g_ptr_array_free (c->keys, TRUE);
  g_free (c->part);
  g_free (c->from);
  g_free (c);
}

static bool
fits (const struct wy_kept_text *t, const struct wy_job_spec *spec)
{
  if (t->versions->len == 0)
    return false;
  for (guint k = 0; k < t->versions->len; k++)
    if (g_array_index (t->versions, int64_t, k) < spec->min_version)
      return false;
  return true;
}

/* Go on with I from T; HERE tells that T lies in the part of I's job, where
   the rest of it will follow.  */
static void
take (struct wy_item *i, const struct wy_kept_text *t, bool here)
{
  g_string_assign (i->text, t->text->str);
  g_array_set_size (i->versions, 0);
  g_array_append_vals (i->versions, t->versions->data, t->versions->len);
  i->last_event = t->last_event;
  i->text_id = t->text_id;
  if (here)
    {
      i->kept_bytes = t->text->len;
      i->sent_bytes = t->text->len;
      i->kept_event = t->last_event;
      i->kept_whole = t->whole;
    }
  if (t->whole)
    wy_item_text_whole (i);
}

static void
remove_rows (struct wy_carry *c)
{
  struct wy_row_ref refs[BATCH_ROWS];
  struct wy_rows_tx tx = { .partition = c->part, .removals = refs };

  for (guint k = 0; k < c->keys->len && k < BATCH_ROWS; k++)
    {
      refs[k].table = WY_CARRY_TABLE;
      refs[k].key = g_ptr_array_index (c->keys, k);
      tx.n_removals++;
    }
  if (tx.n_removals)
    wy_rows_tx (c->env->rows, &tx, on_written, NULL);
}

/* Give the items of O the text that C has of them.  Returns their number. Rows
   of the job itself stay until it is removed.  */
uint32_t
wy_carry_apply (struct wy_carry *c, struct wy_owned *o)
{
  bool here = !strcmp (c->part, o->record->id);
  uint32_t n = 0;

  for (uint32_t k = 0; k < o->n_items; k++)
    {
      struct wy_item *i = &o->items[k];
      const struct wy_kept_text *t
          = g_hash_table_lookup (c->texts, i->spec->id);

      if (!t || i->state != WY_ITEM_WAITING || !fits (t, o->spec))
        continue;
      take (i, t, here);
      for (guint r = 0; r < t->keys->len; r++)
        g_ptr_array_add (c->keys, g_strdup (g_ptr_array_index (t->keys, r)));
      n++;
    }
  if (!here)
    remove_rows (c);
  return n;
}
