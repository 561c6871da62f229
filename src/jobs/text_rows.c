/* Partial texts as rows.

   A text only grows at its end, so only the new part is written; rewriting a
   complete text of ninety events after every few events would add up to some
   hundred kilobytes.  A piece is appended only at the byte where the previous
   one ends and only under the same text id, so what remains in the store of a
   discarded text, or comes late from an entry that had the item before, is
   never taken for the rest of the next one.  */
#include "jobs/text_rows.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

enum
{
  OFFSET_SUFFIX_BYTES = 11, /* ".0000000000" */
  TEXT_ID_SIZE_BYTES = 17,
  CHARACTER_BYTES = 4 /* maximum in UTF-8 */
};

static char *
encode (const char *bytes, size_t n, const struct wy_text_state *s, bool last)
{
  char id[TEXT_ID_SIZE_BYTES];
  json_t *doc = json_object ();
  char *text;
  char *out;

  snprintf (id, sizeof id, "%016llx", (unsigned long long)s->text_id);
  json_object_set_new (doc, "text", json_stringn (bytes, n));
  json_object_set_new (doc, "id", json_string (id));
  json_object_set_new (doc, "at_ms", json_integer (s->at_ms));
  if (last)
    {
      json_t *versions = json_array ();

      for (uint32_t k = 0; k < s->n_versions; k++)
        json_array_append_new (versions, json_integer (s->versions[k]));
      json_object_set_new (doc, "versions", versions);
      json_object_set_new (doc, "last", json_integer (s->last_event));
      json_object_set_new (doc, "whole", json_boolean (s->complete));
    }
  text = json_dumps (doc, JSON_COMPACT);
  json_decref (doc);
  out = g_strdup (text);
  free (text);
  return out;
}

/* Return the start of the character that contains the byte at AT, or AT if the
   bytes there are no UTF-8.  */
static size_t
character_start (const char *text, size_t at, size_t from)
{
  size_t start = at;

  while (start > from && at - start < CHARACTER_BYTES
         && ((unsigned char)text[start] & 0xc0) == 0x80)
    start--;
  return start > from && at - start < CHARACTER_BYTES ? start : at;
}

/* Append rows (struct wy_row_write of TABLE) to WRITES with the bytes of TEXT
   from FROM_BYTES to TO_BYTES, its end.  The last row has STATE.  The keys and
   values are copies.  */
void
wy_text_rows_add (GArray *writes, const char *table, const char *item,
                  const char *text, size_t from_bytes, size_t to_bytes,
                  const struct wy_text_state *state, size_t row_bytes)
{
  size_t at = from_bytes;

  do
    {
      /* Escaped characters take more bytes.  */
      size_t end = MIN (to_bytes, at + row_bytes / 2);
      struct wy_row_write w = { .table = table };

      end = end < to_bytes ? character_start (text, end, at) : end;
      w.value = encode (text + at, end - at, state, end == to_bytes);
      w.key = g_strdup_printf ("%s.%010zu", item, at);
      w.size_bytes = strlen (w.value);
      g_array_append_val (writes, w);
      at = end;
    }
  while (at < to_bytes);
}

/* Free what wy_text_rows_add has added to WRITES.  */
void
wy_text_rows_clear (GArray *writes)
{
  for (guint k = 0; k < writes->len; k++)
    {
      struct wy_row_write *w = &g_array_index (writes, struct wy_row_write, k);

      g_free ((char *)w->key);
      g_free ((void *)w->value);
    }
  g_array_set_size (writes, 0);
}

/* Return how many bytes of KEY are the item's id.  */
size_t
wy_text_key_item_bytes (const char *key)
{
  size_t n = strlen (key);

  return n > OFFSET_SUFFIX_BYTES ? n - OFFSET_SUFFIX_BYTES : n;
}

static void
decode_state (struct wy_saved_text *t, json_t *doc)
{
  json_t *v;
  size_t k;

  t->last_event = json_integer_value (json_object_get (doc, "last"));
  t->complete = json_is_true (json_object_get (doc, "whole"));
  g_array_set_size (t->versions, 0);
  json_array_foreach (json_object_get (doc, "versions"), k, v)
  {
    int64_t version = json_integer_value (v);

    g_array_append_val (t->versions, version);
  }
}

static struct wy_saved_text *
saved_text_new (const char *key)
{
  struct wy_saved_text *t = g_new0 (struct wy_saved_text, 1);

  t->item = g_strndup (key, wy_text_key_item_bytes (key));
  t->text = g_string_new (NULL);
  t->versions = g_array_new (FALSE, FALSE, sizeof (int64_t));
  t->keys = g_ptr_array_new_with_free_func (g_free);
  t->last_event = -1;
  return t;
}

/* Append the piece in ROW to T if it belongs there. *EVENT_END_BYTES is the
   length up to which the text is known to end with an event.  */
static void
append_piece (struct wy_saved_text *t, const struct wy_row *row,
              size_t *event_end_bytes)
{
  const char *at = row->key + wy_text_key_item_bytes (row->key) + 1;
  json_t *doc = json_loadb (row->value, row->size_bytes, 0, NULL);
  const char *text = json_string_value (json_object_get (doc, "text"));
  const char *id = json_string_value (json_object_get (doc, "id"));
  uint64_t text_id = id ? g_ascii_strtoull (id, NULL, 16) : 0;

  if (text && text_id && g_ascii_strtoull (at, NULL, 10) == t->text->len
      && (t->text->len == 0 || text_id == t->text_id))
    {
      t->text_id = text_id;
      t->at_ms = json_integer_value (json_object_get (doc, "at_ms"));
      g_string_append (t->text, text);
      if (json_object_get (doc, "last"))
        {
          decode_state (t, doc);
          *event_end_bytes = t->text->len;
        }
    }
  json_decref (doc);
}

/* Return the text in the N rows ROWS of one item, which are in the order of
   their keys, up to the first gap; NULL if there is none.  */
struct wy_saved_text *
wy_text_rows_join (const struct wy_row *rows, size_t n)
{
  struct wy_saved_text *t = saved_text_new (rows[0].key);
  size_t event_end_bytes = 0;

  for (size_t k = 0; k < n; k++)
    append_piece (t, &rows[k], &event_end_bytes);
  g_string_truncate (t->text, event_end_bytes);
  if (t->last_event >= 0)
    return t;
  wy_saved_text_free (t);
  return NULL;
}

/* Free T, which may be NULL.  */
void
wy_saved_text_free (struct wy_saved_text *t)
{
  if (!t)
    return;
  g_free (t->item);
  g_string_free (t->text, TRUE);
  g_array_free (t->versions, TRUE);
  g_ptr_array_free (t->keys, TRUE);
  g_free (t);
}
