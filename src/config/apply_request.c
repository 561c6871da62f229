/* One plan or apply under way: its answers.  */
#include "config/apply_request.h"

#include <inttypes.h>

#include <glib.h>

#include "http/json.h"

/* Free J.  */
void
wy_config_job_free (struct wy_config_job *j)
{
  wy_document_free (j->after);
  wy_document_free (j->before);
  g_free (j->digest);
  g_free (j->text);
  g_free (j);
}

/* Answer with a problem and free J; MEMBERS is taken.  */
void
wy_config_problem (struct wy_config_job *j, int status, const char *title,
                   const char *detail, uint32_t retry_after_ms,
                   json_t *members)
{
  struct wy_http_problem p
      = { status, title, detail, retry_after_ms, members };

  if (j->ex)
    wy_http_respond_problem (j->ex, &p);
  else
    json_decref (members);
  wy_config_job_free (j);
}

/* Answer that the store could not be asked, or that the outcome is not known,
   and free J.  */
void
wy_config_store_problem (struct wy_config_job *j,
                         const struct wy_store_result *r)
{
  bool unknown = r->err == WY_STORE_EUNKNOWN;

  wy_config_problem (
      j, WY_STATUS_UNAVAILABLE,
      unknown ? "The change may have been applied"
              : "The store can't be asked",
      unknown ? "Apply the same plan again: when it was applied, the "
                "answer is its revision."
              : wy_store_strerror (r->err),
      r->retry_after_ms, NULL);
}

static json_t *
lines (GPtrArray *texts)
{
  json_t *list = json_array ();

  for (guint i = 0; i < texts->len; i++)
    json_array_append_new (list, json_string (texts->pdata[i]));
  g_ptr_array_free (texts, TRUE);
  return list;
}

/* The changes from A to B and their effects, as the operator reads them.  */
json_t *
wy_config_diff (const struct wy_document *a, const struct wy_document *b)
{
  GPtrArray *changes = g_ptr_array_new_with_free_func (g_free);
  GPtrArray *effects = g_ptr_array_new_with_free_func (g_free);

  wy_document_diff (a, b, changes, effects);
  return json_pack ("{s:o, s:o}", "changes", lines (changes), "effects",
                    lines (effects));
}

/* The document in a config row; an empty one when there is none.  */
int
wy_config_row_document (const struct wy_store_row *row,
                        struct wy_document **out, int64_t *revision)
{
  json_t *none = json_object ();
  int err;

  *revision = 0;
  if (row)
    *revision = json_integer_value (json_object_get (row->value, "revision"));
  err = wy_document_parse (
      out, row ? json_object_get (row->value, "document") : none, NULL);
  json_decref (none);
  return err;
}

/* Tell the operator what came first: what ROW changed against the base.  */
void
wy_config_conflict (struct wy_config_job *j, const struct wy_store_row *row)
{
  struct wy_document *winner = NULL;
  int64_t revision;
  json_t *members;

  if (!row || wy_config_row_document (row, &winner, &revision))
    {
      wy_config_problem (j, WY_STATUS_CONFLICT, "Another change came first",
                         NULL, 0, NULL);
      return;
    }
  members = wy_config_diff (j->before, winner);
  json_object_set_new (members, "revision", json_integer (revision));
  wy_document_free (winner);
  wy_config_problem (j, WY_STATUS_CONFLICT, "Another change came first",
                     "Make a new plan on the current revision.", 0, members);
}

static void
on_earlier (void *ctx, const struct wy_store_result *r)
{
  struct wy_config_job *j = ctx;
  struct wy_document *earlier = NULL;
  int64_t revision;
  json_t *members = NULL;

  if (r->err)
    {
      wy_config_store_problem (j, r);
      return;
    }
  if (!wy_config_row_document (wy_store_find_row (r, j->rev_key), &earlier,
                               &revision))
    members = wy_config_diff (earlier, j->before);
  else
    members = json_object ();
  json_object_set_new (members, "revision", json_integer (j->base));
  wy_document_free (earlier);
  wy_config_problem (j, WY_STATUS_CONFLICT, "The plan is not of this revision",
                     "Another change came first, or the document is not the "
                     "planned one; make a new plan.",
                     0, members);
}

/* The digest does not fit the current revision: tell the operator what has
   changed since the revision of the plan, or by the last change when the
   operator does not name it.  */
void
wy_config_explain (struct wy_config_job *j)
{
  int64_t since = j->planned_on >= 0 && j->planned_on < j->base ? j->planned_on
                                                                : j->base - 1;
  const char *keys[] = { j->rev_key };
  const struct wy_store_read read
      = { .cause = "plan", .keys = keys, .n_keys = 1 };

  g_snprintf (j->rev_key, sizeof j->rev_key, "config/rev/%" PRId64, since);
  wy_store_read (j->service->o.store, &read, on_earlier, j);
}
