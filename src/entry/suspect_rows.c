/* Suspect fingerprints of all entries, shared through the table service.

   Row "suspects/FINGERPRINT/ENTRY" holds the targets whose crash ENTRY
   observed.  Each entry writes only its own rows, so that two entries that
   observe a crash at the same time don't overwrite each other; readers merge
   the rows.  To clear a fingerprint an entry deletes the rows of all entries,
   and the others discard it at their next read.  Each entry reads four times a
   second; writes are as rare as crashes.  */
#include "entry/suspect_rows.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "store/client.h"
#include "trace/log.h"

#define PREFIX "suspects/"

enum
{
  /* A caller whose request was blocked at one entry retries at another at
     once; that one must have read the rows by then, or a third target
     crashes.  */
  READ_MS = 250,
  HEX = 16,
  /* Entries whose rows of one fingerprint are deleted in one transaction.  */
  WRITES_MAX = 64,
  FINGERPRINT_CHARS = 16
};

struct wy_suspect_rows
{
  struct wy_entry *entry;
  GHashTable *keys; /* rows at the last read: key of the row -> itself */
  int64_t next_read_ms;
  bool reading;
  bool closing;
};

/* Create the shared suspects of E.  */
struct wy_suspect_rows *
wy_suspect_rows_new (struct wy_entry *e)
{
  struct wy_suspect_rows *s = g_malloc0 (sizeof *s);

  s->entry = e;
  s->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return s;
}

static void
release (struct wy_suspect_rows *s)
{
  g_hash_table_destroy (s->keys);
  g_free (s);
}

/* Free S, at once or when the read in progress has ended.  */
void
wy_suspect_rows_free (struct wy_suspect_rows *s)
{
  if (!s)
    return;
  s->closing = true;
  if (!s->reading)
    release (s);
}

static uint64_t
fingerprint_of (const char *key)
{
  return strtoull (key + strlen (PREFIX), NULL, HEX);
}

static void
merge_row (struct wy_suspect_rows *s, const struct wy_store_row *row)
{
  const json_t *targets = json_object_get (row->value, "targets");
  struct wy_suspect x = { .fingerprint = fingerprint_of (row->key) };
  const char *target;

  for (size_t i = 0; i < json_array_size (targets); i++)
    {
      target = json_string_value (json_array_get (targets, i));
      if (target && x.crashes < WY_SUSPECT_CRASHES_MAX)
        x.target[x.crashes++] = strtoull (target, NULL, HEX);
    }
  if (x.fingerprint && x.crashes)
    wy_suspects_merge (&s->entry->suspects, &x,
                       wy_clock_mono_ms (s->entry->clock));
}

static bool
has_rows (GHashTable *keys, const char *key)
{
  GHashTableIter i;
  gpointer other;
  size_t n = strlen (PREFIX) + FINGERPRINT_CHARS;

  g_hash_table_iter_init (&i, keys);
  while (g_hash_table_iter_next (&i, &other, NULL))
    if (!strncmp (other, key, n))
      return true;
  return false;
}

/* Clear the fingerprints whose rows were there at the last read and are gone:
   another entry cleared them.  */
static void
clear_deleted (struct wy_suspect_rows *s, GHashTable *now)
{
  GHashTableIter i;
  gpointer key;

  g_hash_table_iter_init (&i, s->keys);
  while (g_hash_table_iter_next (&i, &key, NULL))
    if (!has_rows (now, key))
      wy_suspects_clear (&s->entry->suspects, fingerprint_of (key));
}

static void
on_read (void *ctx, const struct wy_store_result *r)
{
  struct wy_suspect_rows *s = ctx;
  GHashTable *now;

  s->reading = false;
  if (s->closing)
    {
      release (s);
      return;
    }
  if (r->err)
    return;
  now = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (size_t i = 0; i < r->n_rows; i++)
    if (r->rows[i].value)
      g_hash_table_add (now, g_strdup (r->rows[i].key));
  clear_deleted (s, now);
  for (size_t i = 0; i < r->n_rows; i++)
    if (r->rows[i].value)
      merge_row (s, &r->rows[i]);
  g_hash_table_destroy (s->keys);
  s->keys = now;
}

/* Read the rows now, unless a read is in progress.  */
void
wy_suspect_rows_read (struct wy_suspect_rows *s)
{
  struct wy_store_read read = { .cause = "suspects", .prefix = PREFIX };

  if (s->reading)
    return;
  s->reading = true;
  wy_store_read (s->entry->store, &read, on_read, s);
}

/* A target went down: another entry may have written rows about its requests.
   Read at the next sweep.  */
void
wy_suspect_rows_read_soon (struct wy_suspect_rows *s)
{
  s->next_read_ms = 0;
}

/* Periodic check: read the rows when that is due.  */
void
wy_suspect_rows_sweep (struct wy_suspect_rows *s, int64_t now_ms)
{
  uint32_t half = READ_MS / 2;

  if (now_ms < s->next_read_ms)
    return;
  s->next_read_ms = now_ms + half + wy_rng_below (&s->entry->rng, READ_MS);
  wy_suspect_rows_read (s);
}

static void
on_written (void *ctx, const struct wy_store_result *r)
{
  if (r->err)
    wy_log (WY_LOG_WARN, "suspects.not_written", "err=%d", r->err);
}

static void
write_rows (struct wy_suspect_rows *s, const struct wy_store_write *writes,
            size_t n, const char *op)
{
  struct wy_store_txn t
      = { .cause = "suspects", .op = op, .writes = writes, .n_writes = n };

  wy_store_txn (s->entry->store, &t, on_written, NULL);
}

static void
write_own (struct wy_suspect_rows *s, const struct wy_suspect *x)
{
  struct wy_entry *e = s->entry;
  json_t *targets = json_array ();
  char op[WY_ID_SIZE_BYTES];
  char text[FINGERPRINT_CHARS + 1];
  char *key = g_strdup_printf (PREFIX "%016" PRIx64 "/%s", x->fingerprint,
                               e->s->name);
  struct wy_store_write w = { .key = key };

  wy_id_new (e->clock, op);
  for (uint32_t i = 0; i < x->crashes; i++)
    {
      g_snprintf (text, sizeof text, "%016" PRIx64, x->target[i]);
      json_array_append_new (targets, json_string (text));
    }
  w.value = json_pack ("{s:s, s:o}", "op", op, "targets", targets);
  write_rows (s, &w, 1, op);
  json_decref (w.value);
  g_free (key);
}

static void
delete_all (struct wy_suspect_rows *s, uint64_t fingerprint)
{
  struct wy_store_write w[WRITES_MAX] = { 0 };
  char op[WY_ID_SIZE_BYTES];
  size_t n = 0;
  GHashTableIter i;
  gpointer key;

  g_hash_table_iter_init (&i, s->keys);
  while (n < WRITES_MAX && g_hash_table_iter_next (&i, &key, NULL))
    if (fingerprint_of (key) == fingerprint)
      w[n++].key = key;
  wy_id_new (s->entry->clock, op);
  if (n > 0)
    write_rows (s, w, n, op);
}

/* This entry's record of FINGERPRINT has changed: write it, or delete the rows
   if it was cleared.  */
void
wy_suspect_rows_changed (struct wy_suspect_rows *s, uint64_t fingerprint)
{
  const struct wy_suspects *all = &s->entry->suspects;

  for (uint32_t i = 0; i < WY_SUSPECTS_MAX; i++)
    if (all->slot[i].fingerprint == fingerprint)
      {
        write_own (s, &all->slot[i]);
        return;
      }
  delete_all (s, fingerprint);
}
