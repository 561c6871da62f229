/* Text of unfinished items as rows: what whoever takes a job over finds.  */
#include <criterion/criterion.h>
#include <string.h>

#include "jobs/text_rows.h"

enum
{
  ROW_BYTES = 200
};

static GArray *writes;

static void
keep (uint64_t text_id, const char *text, size_t from, int64_t last_event)
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

/* The rows as the store gives them: the newest value of each key, in the order
   of the keys, but for the write LOST.  */
static struct wy_kept_text *
read_back (int lost)
{
  GArray *rows = g_array_new (FALSE, TRUE, sizeof (struct wy_row));
  struct wy_kept_text *t;

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

/* An entry has stored a text in three writes and dies.  The next one goes on
   behind all of it, with the versions that made it.  */
Test (text_rows, pieces_make_the_text)
{
  struct wy_kept_text *t;

  keep (9, "one", 0, 0);
  keep (9, "one\ntwo", 3, 1);
  keep (9, "one\ntwo\n\"three\"", 7, 2);
  t = read_back (-1);
  cr_assert_not_null (t);
  cr_expect_str_eq (t->text->str, "one\ntwo\n\"three\"");
  cr_expect_str_eq (t->item, "item");
  cr_expect_eq (t->last_event, 2);
  cr_expect_eq (t->text_id, 9);
  cr_expect_eq (t->versions->len, 2);
  cr_expect_eq (g_array_index (t->versions, int64_t, 1), 5);
  wy_kept_text_free (t);
}

/* One of the writes was lost.  What follows the gap does not fit, and a text
   with a hole in it would reach the trainer: it ends before the gap.  */
Test (text_rows, a_gap_ends_it)
{
  struct wy_kept_text *t;

  keep (9, "one", 0, 0);
  keep (9, "one\ntwo", 3, 1);
  keep (9, "one\ntwo\nthree", 7, 2);
  t = read_back (1);
  cr_assert_not_null (t);
  cr_expect_str_eq (t->text->str, "one");
  cr_expect_eq (t->last_event, 0);
  wy_kept_text_free (t);
}

/* A text was dropped, since other weights went on with it, and made anew. Rows
   of the first making lie behind those of the second.  Joined, they would be a
   text that no replica made, under versions that did not make it.  */
Test (text_rows, another_making_does_not_fit)
{
  struct wy_kept_text *t;

  keep (9, "old1", 0, 0);
  keep (9, "old1\nold2", 4, 1);
  keep (8, "new1", 0, 0);
  t = read_back (-1);
  cr_assert_not_null (t);
  cr_expect_str_eq (t->text->str, "new1");
  cr_expect_eq (t->text_id, 8);
  cr_expect_eq (t->last_event, 0);
  wy_kept_text_free (t);
}

/* A long text takes several rows, cut between its characters.  If the last of
   them is lost, nothing tells with which event the others end.  */
Test (text_rows, a_long_text_takes_rows)
{
  GString *text = g_string_new (NULL);
  struct wy_kept_text *t;

  for (int i = 0; i < 150; i++)
    g_string_append (text, "\xc3\xa4");
  keep (9, text->str, 0, 3);
  cr_expect_geq (writes->len, 3);
  t = read_back (-1);
  cr_assert_not_null (t);
  cr_expect_str_eq (t->text->str, text->str);
  wy_kept_text_free (t);
  cr_expect_null (read_back ((int)writes->len - 1));
  g_string_free (text, TRUE);
}

/* A replica sends bytes that are no characters.  They can't be kept, but must
   not hold up the entry, and the text before them is kept.  */
Test (text_rows, bytes_that_are_no_characters)
{
  char text[1000];
  struct wy_kept_text *t;

  memset (text, 0x80, sizeof text);
  memcpy (text, "one", 3);
  text[sizeof text - 1] = '\0';
  keep (9, "one", 0, 0);
  keep (9, text, 3, 1);
  t = read_back (-1);
  cr_assert_not_null (t);
  cr_expect_str_eq (t->text->str, "one");
  wy_kept_text_free (t);
}
