/* Results as rows: split, read page by page and joined again.  Staleness that
   jobs allow, as published by entries.  */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "jobs/staleness.h"
#include "jobs/result_rows.h"
#include "support/platform_fixture.h"

enum
{
  ROW_BYTES = 40,
  RESULTS = 5,
  ENTRIES = 40
};

static void
free_result (gpointer p)
{
  wy_result_free (p);
}

/* Return the rows of RESULTS results with texts of different lengths.  */
static GArray *
make_rows (void)
{
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (struct wy_result_row));

  for (int i = 0; i < RESULTS; i++)
    {
      char id[16];
      struct wy_result *r;
      char *value;

      g_snprintf (id, sizeof id, "it-%d", i);
      r = wy_result_new (id);
      for (int k = 0; k < i * 37; k++)
        g_string_append_c (r->text, 'x');
      wy_result_add_version (r, 3);
      wy_result_add_version (r, 4);
      wy_result_add_version (r, 3);
      cr_assert_eq (wy_result_encode (r, &value), 0);
      wy_result_split (value, (uint64_t)i, ROW_BYTES, rows);
      g_free (value);
      wy_result_free (r);
    }
  return rows;
}

static void
free_rows (GArray *rows)
{
  for (guint i = 0; i < rows->len; i++)
    g_free (g_array_index (rows, struct wy_result_row, i).value);
  g_array_free (rows, TRUE);
}

/* Read ROWS from the key FROM on, up to PAGE rows, as the store would.  */
static guint
page_of (const GArray *rows, const char *from, guint page, struct wy_row *out,
         struct wy_rows_result *r)
{
  guint n = 0;

  memset (r, 0, sizeof *r);
  for (guint i = 0; i < rows->len; i++)
    {
      const struct wy_result_row *row
          = &g_array_index (rows, struct wy_result_row, i);

      if (from && strcmp (row->key, from) < 0)
        continue;
      if (n == page)
        {
          r->has_more = true;
          break;
        }
      out[n].key = row->key;
      out[n].value = row->value;
      out[n++].size_bytes = row->size_bytes;
    }
  r->rows = out;
  r->n = n;
  return n;
}

/* Pages of the store end wherever they are full, even within a result.  A
   reader must get each result complete and once, for any page size.  */
Test (results, complete_for_any_page_size)
{
  GArray *rows = make_rows ();
  struct wy_row buffer[64];

  cr_assert_leq (rows->len, G_N_ELEMENTS (buffer));
  /* A page holds at least the rows of one result.  */
  for (guint page = 8; page <= rows->len; page++)
    {
      GPtrArray *out = g_ptr_array_new_with_free_func (free_result);
      char *from = NULL;

      do
        {
          struct wy_rows_result r;

          page_of (rows, from, page, buffer, &r);
          wy_result_join (&r, out);
          g_free (from);
          from = wy_result_next_from (&r, out->len);
        }
      while (from);
      cr_assert_eq (out->len, RESULTS, "page of %u", page);
      for (guint i = 0; i < out->len; i++)
        {
          const struct wy_result *res = g_ptr_array_index (out, i);

          cr_expect_eq (res->text->len, (size_t)i * 37);
          cr_expect_eq (strlen (res->text->str), (size_t)i * 37);
          cr_expect_eq (res->versions->len, 2);
        }
      g_ptr_array_free (out, TRUE);
    }
  free_rows (rows);
}

Test (results, malformed_results)
{
  static const char *const texts[] = { "", "{", "[]", "{\"text\":\"a\"}" };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    cr_expect_null (wy_result_decode (texts[i], strlen (texts[i])));
}

/* Entries publish how many versions a model's jobs may lag behind the newest.
   The least valid value applies; without any, every version must be loaded, or
   a job might find no replica with weights that it allows.  */
Test (staleness, least_valid_applies)
{
  static const char two[] = "{\"lag\":2,\"at_ms\":100000}";
  static const char one[] = "{\"lag\":1,\"at_ms\":100000}";
  static const char stale[] = "{\"lag\":0,\"at_ms\":1000}";
  struct wy_row rows[]
      = { { .key = "n1", .value = two, .size_bytes = sizeof two - 1 },
          { .key = "n2", .value = stale, .size_bytes = sizeof stale - 1 },
          { .key = "n3", .value = one, .size_bytes = sizeof one - 1 } };
  struct wy_rows_result r = { .rows = rows, .n = 3, .store_now_ms = 110000 };

  cr_expect_eq (wy_staleness_allowed (&r), 1);
  r.n = 1;
  cr_expect_eq (wy_staleness_allowed (&r), 2);
  r.store_now_ms = 10000000;
  cr_expect_eq (wy_staleness_allowed (&r), 0);
  r.n = 0;
  cr_expect_eq (wy_staleness_allowed (&r), 0);
}

/* Guards against one row per entry: every orderer would read all of them for
   each version.  */
Test (staleness, rows_do_not_grow_with_entries)
{
  static struct platform_fixture w;
  char node[16];
  struct wy_staleness *staleness[ENTRIES];

  platform_fixture_init (&w);
  platform_fixture_add_env (&w, node);
  for (int i = 0; i < ENTRIES; i++)
    {
      snprintf (node, sizeof node, "e%d", i);
      staleness[i] = wy_staleness_new (&w.env);
      wy_staleness_version_announced (staleness[i], "m", 5);
      wy_staleness_job_accepted (staleness[i], "m", 4);
      platform_fixture_run_ms (&w, 5);
    }
  platform_fixture_run_ms (&w, 100);
  cr_expect_eq (wy_platform_store_row_count (w.store, WY_STALENESS_TABLE, "m"),
                1);
  for (int i = 0; i < ENTRIES; i++)
    wy_staleness_free (staleness[i]);
  platform_fixture_free (&w);
}

/* Guards against results that nobody can read since a row before them is
   empty.  */
Test (results, empty_row_keeps_its_position)
{
  GArray *rows = make_rows ();
  GPtrArray *out = g_ptr_array_new_with_free_func (free_result);
  struct wy_row buffer[64];
  struct wy_rows_result r;

  g_array_index (rows, struct wy_result_row, 0).size_bytes = 0;
  for (guint i = 1; i < rows->len; i++)
    if (!strncmp (g_array_index (rows, struct wy_result_row, i).key,
                  "0000000000", 10))
      g_array_index (rows, struct wy_result_row, i).size_bytes = 0;
  page_of (rows, NULL, rows->len, buffer, &r);
  buffer[0].version = 7;
  wy_result_join (&r, out);
  cr_assert_eq (out->len, RESULTS);
  cr_expect_null (out->pdata[0]);
  cr_expect_not_null (out->pdata[1]);
  cr_expect_eq (wy_result_row_version (&r, 0), 7);
  cr_expect_eq (wy_result_row_version (&r, RESULTS), 0);
  g_ptr_array_free (out, TRUE);
  free_rows (rows);
}

/* Guards against a row that is written empty, or a text that is cut, because a
   byte of a result can't be JSON.  */
Test (results, bytes_that_are_no_text)
{
  static const struct
  {
    const char *bytes;
    size_t n;
  } texts[] = {
    { "a\0b", 3 }, { "a\xff", 2 }, { "\xc0", 1 }, { "\xed\xa0\x80", 3 }
  };
  struct wy_result *r = wy_result_new ("it-0");
  char *value = NULL;

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      g_string_truncate (r->text, 0);
      g_string_append_len (r->text, texts[i].bytes, (gssize)texts[i].n);
      cr_expect_eq (wy_result_encode (r, &value), WY_RESULT_ENOTEXT);
    }
  g_string_assign (r->text, "\xc3\xa9\xf0\x9f\x99\x82");
  cr_expect_eq (wy_result_encode (r, &value), 0);
  g_free (value);
  r->score = g_strdup ("\xff");
  cr_expect_eq (wy_result_encode (r, &value), WY_RESULT_ENOTEXT);
  wy_result_free (r);
}
