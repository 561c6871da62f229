/* Text of unfinished items, kept in the store.

   A row each item, in the part of its model for a later job and in the part of
   its job for who takes that over: written by the entry that runs the
   job, read and removed by the one that takes it over or accepts the next. The
   rows are a help only: a lost one costs the time to make the text again, so
   nothing here is settled or retried.  */
#include "jobs/carry.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "jobs/result_rows.h"
#include "trace/note.h"

enum
{
  /* A transaction of the store takes 100 entries and 1 MB in base64.  */
  BATCH_ROWS = 90,
  BATCH_BYTES = 500000,
  /* Rows that nobody took in this time belong to a trainer that is gone.  */
  KEEP_MS = 60000,
  /* Less text than this is made again sooner than it is stored.  */
  EVENTS_MIN = 5,
  /* Events that an item has gained when it is stored again for whoever may
     take its job over: about a second of work.  */
  CHECKPOINT_EVENTS = 24,
  CHUNK_DIGITS = 6 /* ".00001" */
};

struct entry
{
  char *id;
  char *text;
  GArray *versions;
  int64_t last_event;
  bool complete;
  int64_t at_ms;
};

struct wy_carry
{
  struct wy_gate_env *env;
  char *part;
  GHashTable *entries; /* struct entry by id */
  GPtrArray *keys;     /* of rows to remove: taken, or too old */
  char *from;
  void (*on_read) (void *ctx, struct wy_carry *c);
  void *ctx;
};

static void
free_entry (gpointer p)
{
  struct entry *e = p;

  g_free (e->id);
  g_free (e->text);
  g_array_free (e->versions, TRUE);
  g_free (e);
}

static bool
has_whole_text (const struct wy_item *i)
{
  return i->state == WY_ITEM_SCORING || i->state == WY_ITEM_ENDED;
}

/* Whether the text of I has grown enough to be stored for PURPOSE.  A later
   job asks for newer weights than this one did.  */
static bool
is_worth_keeping (const struct wy_item *i, enum wy_carry_for purpose)
{
  if (i->state == WY_ITEM_LISTED || (i->result && i->result->given_up))
    return false;
  switch (purpose)
    {
    case WY_CARRY_SAME_JOB:
      if (i->state == WY_ITEM_SCORING)
        return i->last_event > i->checkpoint_event;
      return i->run
             && i->last_event - MAX (i->checkpoint_event, 0)
                    >= CHECKPOINT_EVENTS;
    case WY_CARRY_LATER_RUNNING:
      if (!i->run && !has_whole_text (i))
        return false;
      break;
    case WY_CARRY_LATER_JOB:
      break;
    }
  for (guint k = 0; k < i->versions->len; k++)
    if (g_array_index (i->versions, int64_t, k) <= i->job->spec->min_version)
      return false;
  return i->last_event >= EVENTS_MIN && i->last_event > i->carried_event;
}

static char *
encode (const struct wy_item *i, int64_t now_ms)
{
  json_t *versions = json_array ();
  json_t *doc;
  char *text;
  char *out;

  for (guint k = 0; k < i->versions->len; k++)
    json_array_append_new (
        versions, json_integer (g_array_index (i->versions, int64_t, k)));
  doc = json_pack ("{s:s, s:o, s:I, s:b, s:I}", "text", i->text->str,
                   "versions", versions, "last", (json_int_t)i->last_event,
                   "complete", has_whole_text (i), "at_ms",
                   (json_int_t)now_ms);
  text = doc ? json_dumps (doc, JSON_COMPACT) : NULL;
  out = g_strdup (text);
  free (text);
  json_decref (doc);
  return out;
}

static void
on_written (void *ctx, const struct wy_rows_result *r)
{
}

static void
write_rows (struct wy_owned *o, const char *part, GArray *writes)
{
  struct wy_rows_tx tx = { .part = part,
                           .writes = (const struct wy_row_write *)writes->data,
                           .n_writes = writes->len };

  if (writes->len)
    wy_rows_tx (o->env->rows, &tx, on_written, NULL);
  for (guint k = 0; k < writes->len; k++)
    {
      struct wy_row_write *w = &g_array_index (writes, struct wy_row_write, k);

      g_free ((char *)w->key);
      g_free ((void *)w->value);
    }
  g_array_set_size (writes, 0);
}

static void
add_rows (GArray *writes, const char *id, const char *value, size_t row_bytes)
{
  size_t n = strlen (value);
  uint32_t rows = wy_result_row_count (n, row_bytes);

  for (uint32_t k = 0; k < rows; k++)
    {
      size_t at = (size_t)k * row_bytes;
      size_t size = MIN (n - at, row_bytes);
      struct wy_row_write w = { .table = WY_CARRY_TABLE,
                                .key = g_strdup_printf ("%s.%05u", id, k),
                                .value = g_memdup2 (value + at, size),
                                .size_bytes = size };

      g_array_append_val (writes, w);
    }
}

/* Store the text of O's items that serves PURPOSE and was not stored yet.  */
void
wy_carry_save (struct wy_owned *o, enum wy_carry_for purpose)
{
  GArray *writes = g_array_new (FALSE, FALSE, sizeof (struct wy_row_write));
  const char *part
      = purpose == WY_CARRY_SAME_JOB ? o->record->id : o->spec->model;
  int64_t now_ms = wy_rows_store_now_ms (o->env->rows);
  size_t size = 0;
  uint32_t n = 0;

  for (uint32_t k = 0; k < o->n_items; k++)
    {
      const struct wy_item *i = &o->items[k];
      char *value;

      if (!is_worth_keeping (i, purpose))
        continue;
      value = encode (i, now_ms);
      if (!value)
        continue;
      if (purpose == WY_CARRY_SAME_JOB)
        o->items[k].checkpoint_event = i->last_event;
      else
        o->items[k].carried_event = i->last_event;
      size += strlen (value);
      if (writes->len >= BATCH_ROWS / 2 || size > BATCH_BYTES)
        {
          write_rows (o, part, writes);
          size = strlen (value);
        }
      add_rows (writes, i->spec->id, value, o->row_bytes);
      g_free (value);
      n++;
    }
  write_rows (o, part, writes);
  g_array_free (writes, TRUE);
  if (n)
    wy_note ("job.text_kept", "id=%s items=%u for=%s", o->record->id, n,
             purpose == WY_CARRY_SAME_JOB ? "takeover" : "later_job");
}

static struct entry *
decode (const char *id, const GString *value)
{
  json_t *doc = json_loadb (value->str, value->len, 0, NULL);
  const char *text = json_string_value (json_object_get (doc, "text"));
  struct entry *e = NULL;
  json_t *v;
  size_t i;

  if (text)
    {
      e = g_new0 (struct entry, 1);
      e->id = g_strdup (id);
      e->text = g_strdup (text);
      e->versions = g_array_new (FALSE, FALSE, sizeof (int64_t));
      e->last_event = json_integer_value (json_object_get (doc, "last"));
      e->complete = json_is_true (json_object_get (doc, "complete"));
      e->at_ms = json_integer_value (json_object_get (doc, "at_ms"));
      json_array_foreach (json_object_get (doc, "versions"), i, v)
      {
        int64_t version = json_integer_value (v);

        g_array_append_val (e->versions, version);
      }
    }
  json_decref (doc);
  return e;
}

static size_t
id_size (const char *key)
{
  size_t n = strlen (key);

  return n > CHUNK_DIGITS ? n - CHUNK_DIGITS : n;
}

static bool
same_item (const struct wy_row *a, const struct wy_row *b)
{
  size_t n = id_size (a->key);

  return n == id_size (b->key) && !strncmp (a->key, b->key, n);
}

/* Take in the items whose rows are all in R; returns the key of the first row
   that is not, or NULL.  */
static const char *
join (struct wy_carry *c, const struct wy_rows_result *r)
{
  GString *value = g_string_new (NULL);
  const char *rest = NULL;
  size_t i = 0;

  while (i < r->n && !rest)
    {
      size_t first = i;
      struct entry *e;
      char *id;

      g_string_truncate (value, 0);
      for (; i < r->n && same_item (&r->rows[first], &r->rows[i]); i++)
        g_string_append_len (value, r->rows[i].value,
                             (gssize)r->rows[i].size_bytes);
      if (i == r->n && r->more && first > 0)
        {
          rest = r->rows[first].key;
          break;
        }
      id = g_strndup (r->rows[first].key, id_size (r->rows[first].key));
      e = decode (id, value);
      if (e)
        g_hash_table_replace (c->entries, e->id, e);
      for (size_t k = first; k < i; k++)
        if (!e || r->now_ms - e->at_ms > KEEP_MS)
          g_ptr_array_add (c->keys, g_strdup (r->rows[k].key));
      g_free (id);
    }
  g_string_free (value, TRUE);
  return rest;
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
      = { .table = WY_CARRY_TABLE, .part = c->part, .from = c->from };

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
  c->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_entry);
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
  g_hash_table_destroy (c->entries);
  g_ptr_array_free (c->keys, TRUE);
  g_free (c->part);
  g_free (c->from);
  g_free (c);
}

static bool
fits (const struct entry *e, const struct wy_job_spec *spec)
{
  if (e->versions->len == 0)
    return false;
  for (guint k = 0; k < e->versions->len; k++)
    if (g_array_index (e->versions, int64_t, k) < spec->min_version)
      return false;
  return true;
}

static void
take (struct wy_carry *c, struct wy_item *i, const struct entry *e)
{
  size_t n = strlen (e->text);
  uint32_t chunks = wy_result_row_count (n, i->job->row_bytes) + 1;

  g_string_assign (i->text, e->text);
  g_array_set_size (i->versions, 0);
  g_array_append_vals (i->versions, e->versions->data, e->versions->len);
  i->last_event = e->last_event;
  for (uint32_t k = 0; k < chunks; k++)
    g_ptr_array_add (c->keys, g_strdup_printf ("%s.%05u", e->id, k));
  if (e->complete)
    wy_item_text_whole (i);
}

static void
remove_rows (struct wy_carry *c)
{
  struct wy_row_ref refs[BATCH_ROWS];
  struct wy_rows_tx tx = { .part = c->part, .removals = refs };

  for (guint k = 0; k < c->keys->len && k < BATCH_ROWS; k++)
    {
      refs[k].table = WY_CARRY_TABLE;
      refs[k].key = g_ptr_array_index (c->keys, k);
      tx.n_removals++;
    }
  if (tx.n_removals)
    wy_rows_tx (c->env->rows, &tx, on_written, NULL);
}

/* Give the items of O the text that C has of them.  Returns their number.  */
uint32_t
wy_carry_apply (struct wy_carry *c, struct wy_owned *o)
{
  uint32_t n = 0;

  for (uint32_t k = 0; k < o->n_items; k++)
    {
      struct wy_item *i = &o->items[k];
      const struct entry *e = g_hash_table_lookup (c->entries, i->spec->id);

      if (!e || i->state != WY_ITEM_WAITING || !fits (e, o->spec))
        continue;
      take (c, i, e);
      n++;
    }
  remove_rows (c);
  return n;
}
