/* Responses to plan and apply requests.  */
#include "config/apply_request.h"

#include <inttypes.h>

#include <glib.h>

#include "http/json.h"

/* Free REQ.  */
void
wy_config_request_free (struct wy_config_request *req)
{
  wy_document_free (req->after);
  wy_document_free (req->before);
  g_free (req->digest);
  g_free (req->text);
  g_free (req);
}

/* Respond with a problem and free REQ.  Takes the reference to MEMBERS.  */
void
wy_config_respond_problem (struct wy_config_request *req, int status,
                           const char *title, const char *detail,
                           uint32_t retry_after_ms, json_t *members)
{
  struct wy_http_problem p
      = { status, title, detail, retry_after_ms, members };

  if (req->ex)
    wy_http_respond_problem (req->ex, &p);
  else
    json_decref (members);
  wy_config_request_free (req);
}

/* Respond that the store is unavailable, or that the outcome of the write is
   unknown, and free REQ.  */
void
wy_config_respond_store_error (struct wy_config_request *req,
                               const struct wy_store_result *r)
{
  bool unknown = r->err == WY_STORE_EUNKNOWN;

  wy_config_respond_problem (
      req, WY_STATUS_UNAVAILABLE,
      unknown ? "The change may have been applied"
              : "The store is unavailable",
      unknown ? "Apply the same plan again: if it was applied, the "
                "response is its revision."
              : wy_store_strerror (r->err),
      r->retry_after_ms, NULL);
}

static json_t *
string_list (GPtrArray *texts)
{
  json_t *list = json_array ();

  for (guint i = 0; i < texts->len; i++)
    json_array_append_new (list, json_string (texts->pdata[i]));
  g_ptr_array_free (texts, TRUE);
  return list;
}

/* The changes from A to B and their effects, as lists of lines for the
   operator.  */
json_t *
wy_config_diff (const struct wy_document *a, const struct wy_document *b)
{
  GPtrArray *changes = g_ptr_array_new_with_free_func (g_free);
  GPtrArray *effects = g_ptr_array_new_with_free_func (g_free);

  wy_document_diff (a, b, changes, effects);
  return json_pack ("{s:o, s:o}", "changes", string_list (changes), "effects",
                    string_list (effects));
}

/* Parse the document of the config row ROW; without a row, an empty document
   of revision 0.  Returns 0 or an error of wy_document_parse.  */
int
wy_config_parse_row (const struct wy_store_row *row, struct wy_document **out,
                     int64_t *revision)
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

/* Respond that another change was applied first, with its changes: ROW, the
   current one, against the base of the plan.  Frees REQ.  */
void
wy_config_respond_conflict (struct wy_config_request *req,
                            const struct wy_store_row *row)
{
  struct wy_document *current = NULL;
  int64_t revision;
  json_t *members;

  if (!row || wy_config_parse_row (row, &current, &revision))
    {
      wy_config_respond_problem (req, WY_STATUS_CONFLICT,
                                 "Another change was applied first", NULL, 0,
                                 NULL);
      return;
    }
  members = wy_config_diff (req->before, current);
  json_object_set_new (members, "revision", json_integer (revision));
  wy_document_free (current);
  wy_config_respond_problem (
      req, WY_STATUS_CONFLICT, "Another change was applied first",
      "Make a new plan on the current revision.", 0, members);
}

static void
on_earlier_revision (void *ctx, const struct wy_store_result *r)
{
  struct wy_config_request *req = ctx;
  struct wy_document *earlier = NULL;
  int64_t revision;
  json_t *members = NULL;

  if (r->err)
    {
      wy_config_respond_store_error (req, r);
      return;
    }
  if (!wy_config_parse_row (wy_store_find_row (r, req->rev_key), &earlier,
                            &revision))
    members = wy_config_diff (earlier, req->before);
  else
    members = json_object ();
  json_object_set_new (members, "revision", json_integer (req->base));
  wy_document_free (earlier);
  wy_config_respond_problem (
      req, WY_STATUS_CONFLICT, "The plan does not match the current revision",
      "Another change was applied first, or the document is "
      "not the planned one; make a new plan.",
      0, members);
}

/* Respond that the digest does not match the current revision, with what has
   changed since the revision the plan is based on, or with the last change if
   the request does not name that revision.  Frees REQ.  */
void
wy_config_respond_stale_plan (struct wy_config_request *req)
{
  int64_t since = req->plan_base >= 0 && req->plan_base < req->base
                      ? req->plan_base
                      : req->base - 1;
  const char *keys[] = { req->rev_key };
  const struct wy_store_read read
      = { .cause = "plan", .keys = keys, .n_keys = 1 };

  g_snprintf (req->rev_key, sizeof req->rev_key, "config/rev/%" PRId64, since);
  wy_store_read (req->service->o.store, &read, on_earlier_revision, req);
}
