/* Checkpoints: partial text of unfinished items in the store.

   The rows of an item are in the partition of its job, for a takeover, and in
   the partition of its model, for a later job.  The entry that runs the job
   writes them; the one that takes it over or accepts the next job reads them.
   Losing rows costs only the time to generate the text again.  */
#include "jobs/checkpoint.h"

#include <string.h>

#include "jobs/text_rows.h"
#include "trace/json_log.h"

enum
{
  /* A transaction of the store takes 100 operations and 1 MB in base64.  */
  BATCH_ROWS = 90,
  BATCH_BYTES = 500000,
  /* Rows that no job has used after this time belong to a trainer that has
     stopped.  */
  MAX_AGE_MS = 60000,
  /* Text in one checkpoint.  It is held several times while it is written, so
     long texts follow in later checkpoints.  */
  CHECKPOINT_BYTES = 2 << 20,
  /* The same from level PAUSE_READING of the memory account on.  */
  SHORT_CHECKPOINT_BYTES = BATCH_BYTES,
  /* Less text than this is faster to generate again than to store.  */
  NEXT_JOB_EVENTS_MIN = 5,
  /* New events of an item after which its text is stored for a takeover.  */
  TAKEOVER_EVENTS_MIN = 3
};

struct wy_checkpoint
{
  struct wy_gate_env *env;
  char *partition;
  GHashTable *texts; /* struct wy_saved_text by item */
  GPtrArray *keys;   /* of rows to remove: used or too old */
  char *from;
  void (*on_read) (void *ctx, struct wy_checkpoint *c);
  void *ctx;
};

/* A checkpoint being written, in one or more transactions.  */
struct wy_checkpoint_write
{
  struct wy_active_job *job; /* NULL: the job was closed meanwhile */
  uint32_t calls;
  bool failed;
};

static void
free_text (gpointer p)
{
  wy_saved_text_free (p);
}

static bool
has_complete_text (const struct wy_item *i)
{
  return i->state == WY_ITEM_SCORING || i->state == WY_ITEM_UNLISTED;
}

static bool
may_be_saved (const struct wy_item *i)
{
  return i->state != WY_ITEM_LISTED && !(i->result && i->result->given_up);
}

/* Return whether the text of I has grown enough to be stored for a takeover.
   A complete text that is not listed yet is stored at once.  */
static bool
has_grown (const struct wy_item *i)
{
  if (!may_be_saved (i))
    return false;
  return has_complete_text (i)
             ? !i->saved_complete
             : i->last_event - i->saved_event >= TAKEOVER_EVENTS_MIN;
}

/* Return whether the text of I is worth storing for a later job, which will
   require newer weights than this one; with RUNNING, only if the text may have
   grown.  */
static bool
is_worth_saving (const struct wy_item *i, bool running)
{
  if (!may_be_saved (i) || (running && !i->run && !has_complete_text (i)))
    return false;
  for (guint k = 0; k < i->versions->len; k++)
    if (g_array_index (i->versions, int64_t, k) <= i->job->spec->min_version)
      return false;
  return i->last_event >= NEXT_JOB_EVENTS_MIN
         && i->last_event > i->next_job_event;
}

static void
on_written (void *ctx, const struct wy_rows_result *r)
{
}

static void
free_write (struct wy_checkpoint_write *w)
{
  if (w->job)
    w->job->checkpoint_write = NULL;
  g_free (w);
}

/* Update I after its write: what was sent is stored, or is sent again if
   FAILED.  */
static void
update_saved (struct wy_item *i, bool failed)
{
  if (!failed)
    {
      i->saved_bytes = i->sent_bytes;
      return;
    }
  i->sent_bytes = i->saved_bytes;
  i->saved_event = -1;
  i->saved_complete = false;
}

static void
on_saved (void *ctx, const struct wy_rows_result *r)
{
  struct wy_checkpoint_write *w = ctx;

  w->failed = w->failed || r->err;
  if (--w->calls)
    return;
  for (uint32_t k = 0; w->job && k < w->job->n_items; k++)
    update_saved (&w->job->items[k], w->failed);
  free_write (w);
}

/* Detach O, which is being closed, from its checkpoint write.  */
void
wy_checkpoint_detach (struct wy_active_job *o)
{
  if (o->checkpoint_write)
    o->checkpoint_write->job = NULL;
  o->checkpoint_write = NULL;
}

/* Write WRITES to PARTITION in as many transactions as needed.  W is the
   checkpoint write they belong to, or NULL.  */
static void
send_rows (struct wy_active_job *o, const char *partition, GArray *writes,
           struct wy_checkpoint_write *w)
{
  struct wy_rows_tx tx = { .partition = partition };

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
      wy_rows_tx (o->env->rows, &tx, w ? on_saved : on_written, w);
    }
}

static void
add_text (struct wy_item *i, GArray *writes, size_t from_bytes)
{
  struct wy_text_state s
      = { .versions = (const int64_t *)i->versions->data,
          .n_versions = i->versions->len,
          .last_event = i->last_event,
          .complete = has_complete_text (i),
          .at_ms = wy_rows_store_now_ms (i->job->env->rows) };

  while (i->text_id == 0)
    i->text_id = wy_rng_u64 (&i->job->env->rng);
  s.text_id = i->text_id;
  wy_text_rows_add (writes, WY_CHECKPOINT_TABLE, i->spec->id, i->text->str,
                    from_bytes, i->text->len, &s, i->job->row_bytes);
}

static void
log_saved (const struct wy_active_job *o, uint32_t items, const char *purpose)
{
  if (items)
    wy_json_log ("job.text_kept", "id=%s items=%u for=%s", o->record->id,
                 items, purpose);
}

static size_t
max_checkpoint_bytes (const struct wy_active_job *o)
{
  return wy_memory_account_level (&o->env->memory) == WY_MEMORY_NORMAL
             ? CHECKPOINT_BYTES
             : SHORT_CHECKPOINT_BYTES;
}

/* Store the text that the items of O have gained, for a takeover.  Only one
   such write is in progress at a time, since each starts where the previous
   one ended.  */
void
wy_checkpoint_write_for_takeover (struct wy_active_job *o)
{
  GArray *writes;
  size_t bytes = 0;
  uint32_t first = o->checkpoint_next;
  uint32_t n = 0;

  if (o->checkpoint_write)
    return;
  o->checkpoint_next = 0;
  writes = g_array_new (FALSE, FALSE, sizeof (struct wy_row_write));
  for (uint32_t k = 0; k < o->n_items; k++)
    {
      uint32_t at = (first + k) % o->n_items;
      struct wy_item *i = &o->items[at];

      if (!has_grown (i))
        continue;
      if (bytes >= max_checkpoint_bytes (o))
        {
          o->checkpoint_next = at;
          break;
        }
      bytes += i->text->len - i->saved_bytes;
      add_text (i, writes, i->saved_bytes);
      i->sent_bytes = i->text->len;
      i->saved_event = i->last_event;
      i->saved_complete = has_complete_text (i);
      n++;
    }
  if (writes->len)
    {
      o->checkpoint_write = g_new0 (struct wy_checkpoint_write, 1);
      o->checkpoint_write->job = o;
      send_rows (o, o->record->id, writes, o->checkpoint_write);
    }
  wy_text_rows_clear (writes);
  g_array_free (writes, TRUE);
  log_saved (o, n, "takeover");
}

/* Store the text of the unfinished items of O for a later job; with RUNNING,
   only that of items that are still running.  */
void
wy_checkpoint_write_for_next_job (struct wy_active_job *o, bool running)
{
  GArray *writes = g_array_new (FALSE, FALSE, sizeof (struct wy_row_write));
  size_t bytes = 0;
  uint32_t n = 0;

  for (uint32_t k = 0; k < o->n_items; k++)
    {
      struct wy_item *i = &o->items[k];

      if (!is_worth_saving (i, running))
        continue;
      if (bytes >= max_checkpoint_bytes (o))
        break;
      bytes += i->text->len;
      add_text (i, writes, 0);
      i->next_job_event = i->last_event;
      n++;
    }
  send_rows (o, o->spec->model, writes, NULL);
  wy_text_rows_clear (writes);
  g_array_free (writes, TRUE);
  log_saved (o, n, "later_job");
}

static bool
same_item (const struct wy_row *a, const struct wy_row *b)
{
  size_t n = wy_text_key_item_bytes (a->key);

  return n == wy_text_key_item_bytes (b->key) && !strncmp (a->key, b->key, n);
}

/* Add the items whose rows are all in R to C.  Return the key of the first row
   that has to be read again, or NULL.  */
static const char *
add_texts (struct wy_checkpoint *c, const struct wy_rows_result *r)
{
  size_t i = 0;

  while (i < r->n)
    {
      size_t first = i;
      struct wy_saved_text *t;

      while (i < r->n && same_item (&r->rows[first], &r->rows[i]))
        i++;
      if (i == r->n && r->has_more && first > 0)
        return r->rows[first].key;
      t = wy_text_rows_join (&r->rows[first], i - first);
      for (size_t k = first; k < i; k++)
        g_ptr_array_add (
            t && r->store_now_ms - t->at_ms <= MAX_AGE_MS ? t->keys : c->keys,
            g_strdup (r->rows[k].key));
      if (t)
        g_hash_table_replace (c->texts, t->item, t);
    }
  return NULL;
}

static void read_page (struct wy_checkpoint *c);

static void
on_page (void *ctx, const struct wy_rows_result *r)
{
  struct wy_checkpoint *c = ctx;
  const char *rest;

  rest = r->err ? NULL : add_texts (c, r);
  g_free (c->from);
  c->from = g_strdup (rest);
  if (c->from)
    read_page (c);
  else
    c->on_read (c->ctx, c);
}

static void
read_page (struct wy_checkpoint *c)
{
  struct wy_rows_range range = { .table = WY_CHECKPOINT_TABLE,
                                 .partition = c->partition,
                                 .from = c->from };

  wy_rows_get (c->env->rows, &range, on_page, c);
}

/* Read the checkpoints in PARTITION: the model's name for a new job, the job's
   id for a takeover.  ON_READ owns the struct it gets.  */
void
wy_checkpoint_read (struct wy_gate_env *env, const char *partition,
                    void (*on_read) (void *ctx, struct wy_checkpoint *c),
                    void *ctx)
{
  struct wy_checkpoint *c = g_new0 (struct wy_checkpoint, 1);

  c->env = env;
  c->partition = g_strdup (partition);
  c->texts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_text);
  c->keys = g_ptr_array_new_with_free_func (g_free);
  c->on_read = on_read;
  c->ctx = ctx;
  read_page (c);
}

/* Free C, which may be NULL.  */
void
wy_checkpoint_free (struct wy_checkpoint *c)
{
  if (!c)
    return;
  g_hash_table_destroy (c->texts);
  g_ptr_array_free (c->keys, TRUE);
  g_free (c->partition);
  g_free (c->from);
  g_free (c);
}

static bool
is_usable (const struct wy_saved_text *t, const struct wy_job_spec *spec)
{
  if (t->versions->len == 0)
    return false;
  for (guint k = 0; k < t->versions->len; k++)
    if (g_array_index (t->versions, int64_t, k) < spec->min_version)
      return false;
  return true;
}

/* Restore I from T.  Its text is stored anew under an id of its own: the entry
   that stored T may still write, and its rows must not be joined with those of
   this one.  */
static void
resume_item (struct wy_item *i, const struct wy_saved_text *t)
{
  g_string_assign (i->text, t->text->str);
  wy_item_count_memory (i);
  g_array_set_size (i->versions, 0);
  g_array_append_vals (i->versions, t->versions->data, t->versions->len);
  i->last_event = t->last_event;
  if (t->complete)
    wy_item_text_complete (i);
}

static void
remove_rows (struct wy_checkpoint *c)
{
  struct wy_row_ref refs[BATCH_ROWS];
  struct wy_rows_tx tx = { .partition = c->partition, .removals = refs };

  for (guint k = 0; k < c->keys->len && k < BATCH_ROWS; k++)
    {
      refs[k].table = WY_CHECKPOINT_TABLE;
      refs[k].key = g_ptr_array_index (c->keys, k);
      tx.n_removals++;
    }
  if (tx.n_removals)
    wy_rows_tx (c->env->rows, &tx, on_written, NULL);
}

/* Restore the items of O from C and return how many were restored.  The rows
   of the job's own partition stay until the job is removed.  */
uint32_t
wy_checkpoint_apply (struct wy_checkpoint *c, struct wy_active_job *o)
{
  bool same_job = !strcmp (c->partition, o->record->id);
  uint32_t n = 0;

  for (uint32_t k = 0; k < o->n_items; k++)
    {
      struct wy_item *i = &o->items[k];
      const struct wy_saved_text *t
          = g_hash_table_lookup (c->texts, i->spec->id);

      if (!t || i->state != WY_ITEM_WAITING || !is_usable (t, o->spec))
        continue;
      resume_item (i, t);
      for (guint r = 0; r < t->keys->len; r++)
        g_ptr_array_add (c->keys, g_strdup (g_ptr_array_index (t->keys, r)));
      n++;
    }
  if (!same_job)
    remove_rows (c);
  return n;
}
