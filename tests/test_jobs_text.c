/* Partial texts as rows of the store, as read by the entry that takes a job
   over.  */
#include <criterion/criterion.h>
#include <string.h>

#include "jobs/text_rows.h"

enum
{
  ROW_BYTES = 200
};

static GArray *writes;

static void
add_rows (uint64_t text_id, const char *text, size_t from, int64_t last_event)
{
  static const int64_t versions[] = { 4, 5 };
  struct wy_text_state s = { .text_id = text_id,
                             .versions = versions,
                             .n_versions = 2,
                             .last_event = last_event,
                             .at_ms = 7 };

  wy_text_rows_add (writes, "t", "item", text, from, strlen (text), &s,
                    ROW_BYTES);
}

static gint
by_key (gconstpointer a, gconstpointer b)
{
  return strcmp (((const struct wy_row *)a)->key,
                 ((const struct wy_row *)b)->key);
}

/* Return the text as read from the store: the newest value of each key, in the
   order of the keys, without the write LOST (-1: all).  */
static struct wy_saved_text *
read_back (int lost)
{
  GArray *rows = g_array_new (FALSE, TRUE, sizeof (struct wy_row));
  struct wy_saved_text *t;

  for (guint k = 0; k < writes->len; k++)
    {
      const struct wy_row_write *w
          = &g_array_index (writes, struct wy_row_write, k);
      struct wy_row r
          = { .key = w->key, .value = w->value, .size_bytes = w->size_bytes };

      for (guint o = 0; o < rows->len; o++)
        if (!strcmp (g_array_index (rows, struct wy_row, o).key, w->key))
          g_array_remove_index (rows, o--);
      if ((int)k != lost)
        g_array_append_val (rows, r);
    }
  g_array_sort (rows, by_key);
  t = wy_text_rows_join ((const struct wy_row *)rows->data, rows->len);
  g_array_free (rows, TRUE);
  return t;
}

static void
start (void)
{
  writes = g_array_new (FALSE, FALSE, sizeof (struct wy_row_write));
}

static void
stop (void)
{
  wy_text_rows_clear (writes);
  g_array_free (writes, TRUE);
}

TestSuite (text_rows, .init = start, .fini = stop);

/* An entry stores a text in three writes and crashes.  Its successor must
   continue after all of it, with the versions that generated it.  */
Test (text_rows, pieces_are_joined)
{
  struct wy_saved_text *t;

  add_rows (9, "one", 0, 0);
  add_rows (9, "one\ntwo", 3, 1);
  add_rows (9, "one\ntwo\n\"three\"", 7, 2);
  t = read_back (-1);
  cr_assert_not_null (t);
  cr_expect_str_eq (t->text->str, "one\ntwo\n\"three\"");
  cr_expect_str_eq (t->item, "item");
  cr_expect_eq (t->last_event, 2);
  cr_expect_eq (t->text_id, 9);
  cr_expect_eq (t->versions->len, 2);
  cr_expect_eq (g_array_index (t->versions, int64_t, 1), 5);
  wy_saved_text_free (t);
}

/* One of the writes is lost.  The text must end at the gap: a text with a gap
   would reach the trainer.  */
Test (text_rows, text_ends_at_a_gap)
{
  struct wy_saved_text *t;

  add_rows (9, "one", 0, 0);
  add_rows (9, "one\ntwo", 3, 1);
  add_rows (9, "one\ntwo\nthree", 7, 2);
  t = read_back (1);
  cr_assert_not_null (t);
  cr_expect_str_eq (t->text->str, "one");
  cr_expect_eq (t->last_event, 0);
  wy_saved_text_free (t);
}

/* A text was discarded because other weights continued it, and generated
   again.  Rows of the first text follow those of the second.  Joined, they
   would be a text that no replica generated, with the wrong versions.  */
Test (text_rows, rows_of_a_discarded_text)
{
  struct wy_saved_text *t;

  add_rows (9, "old1", 0, 0);
  add_rows (9, "old1\nold2", 4, 1);
  add_rows (8, "new1", 0, 0);
  t = read_back (-1);
  cr_assert_not_null (t);
  cr_expect_str_eq (t->text->str, "new1");
  cr_expect_eq (t->text_id, 8);
  cr_expect_eq (t->last_event, 0);
  wy_saved_text_free (t);
}

/* A long text takes several rows, split between characters.  If the last row
   is lost, it is unknown with which event the others end, so they must not be
   used.  */
Test (text_rows, long_text_takes_several_rows)
{
  GString *text = g_string_new (NULL);
  struct wy_saved_text *t;

  for (int i = 0; i < 150; i++)
    g_string_append (text, "\xc3\xa4");
  add_rows (9, text->str, 0, 3);
  cr_expect_geq (writes->len, 3);
  t = read_back (-1);
  cr_assert_not_null (t);
  cr_expect_str_eq (t->text->str, text->str);
  wy_saved_text_free (t);
  cr_expect_null (read_back ((int)writes->len - 1));
  g_string_free (text, TRUE);
}

/* A replica sends bytes that are no UTF-8.  They can't be stored, but must not
   block the entry, and the text before them must be kept.  */
Test (text_rows, bytes_that_are_no_utf8)
{
  char text[1000];
  struct wy_saved_text *t;

  memset (text, 0x80, sizeof text);
  memcpy (text, "one", 3);
  text[sizeof text - 1] = '\0';
  add_rows (9, "one", 0, 0);
  add_rows (9, text, 3, 1);
  t = read_back (-1);
  cr_assert_not_null (t);
  cr_expect_str_eq (t->text->str, "one");
  wy_saved_text_free (t);
}
