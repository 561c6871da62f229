/* Planning and applying of configuration documents.

   The digest of a plan covers the document and the revision the plan is based
   on.  Apply reads the current revision, compares the digest, and writes the
   next revision on the condition that no other has been written meanwhile.
   Of two operators who apply at the same time, one gets 409 and what the other
   changed.  An operator who lost the response applies the same plan again and
   gets the revision it was stored as.  */
#include "config/apply.h"

#include <inttypes.h>
#include <string.h>

#include <glib.h>

#include "base/id.h"
#include "config/apply_request.h"
#include "config/service_members.h"
#include "http/json.h"

/* Create a service that plans and applies documents with the options O.  */
struct wy_config_service *
wy_config_service_new (const struct wy_config_service_options *o)
{
  struct wy_config_service *s = g_malloc0 (sizeof *s);

  s->o = *o;
  return s;
}

/* Free S; no request may be in progress.  */
void
wy_config_service_free (struct wy_config_service *s)
{
  g_free (s);
}

static void
on_applied (void *ctx, const struct wy_store_result *r)
{
  struct wy_config_request *req = ctx;
  const struct wy_config_service_options *o = &req->service->o;
  int64_t revision = req->base + 1;

  if (r->err == WY_STORE_ECONFLICT)
    {
      wy_config_respond_conflict (
          req, wy_store_find_row (r, WY_CONFIG_CURRENT_KEY));
      return;
    }
  if (r->err)
    {
      wy_config_respond_store_error (req, r);
      return;
    }
  wy_trace_event (o->trace, "config.accepted", "{s:I, s:s}", "revision",
                  (json_int_t)revision, "digest", req->digest);
  if (o->feed)
    wy_config_feed_offer (o->feed, revision, wy_clock_wall_ms (o->clock),
                          req->text, strlen (req->text));
  if (req->ex)
    wy_http_respond_json (
        req->ex, WY_STATUS_OK,
        json_pack ("{s:I}", "revision", (json_int_t)revision));
  wy_config_request_free (req);
}

/* Write the next revision, to the row of the current one and to a row of its
   own.  The latter is never overwritten: by it the store client finds out
   whether a call whose response was lost took effect, even after further
   revisions.  */
static void
write_revision (struct wy_config_request *req)
{
  json_t *document = wy_document_json (req->after);
  json_t *value = json_pack ("{s:I, s:s, s:s, s:O}", "revision",
                             (json_int_t)req->base + 1, "digest", req->digest,
                             "op", req->op, "document", document);
  struct wy_store_condition conditions[]
      = { { WY_CONFIG_CURRENT_KEY, req->base_rev }, { req->rev_key, 0 } };
  struct wy_store_write writes[]
      = { { WY_CONFIG_CURRENT_KEY, value }, { req->rev_key, value } };
  struct wy_store_txn txn = { .cause = "apply",
                              .op = req->op,
                              .conditions = conditions,
                              .n_conditions = G_N_ELEMENTS (conditions),
                              .writes = writes,
                              .n_writes = G_N_ELEMENTS (writes) };

  req->text = json_dumps (document, JSON_COMPACT | JSON_SORT_KEYS);
  wy_store_txn (req->service->o.store, &txn, on_applied, req);
  json_decref (value);
  json_decref (document);
}

static void
respond_plan (struct wy_config_request *req, const char *digest)
{
  json_t *body = wy_config_diff (req->before, req->after);

  json_object_set_new (body, "digest", json_string (digest));
  json_object_set_new (body, "base", json_integer (req->base));
  if (req->ex)
    wy_http_respond_json (req->ex, WY_STATUS_OK, body);
  else
    json_decref (body);
  wy_config_request_free (req);
}

static void
apply (struct wy_config_request *req, const struct wy_store_row *row)
{
  char digest[WY_CONFIG_DIGEST_SIZE_BYTES];
  const char *applied
      = row ? json_string_value (json_object_get (row->value, "digest"))
            : NULL;
  GString *why;

  if (applied && !strcmp (applied, req->digest))
    {
      if (req->ex)
        wy_http_respond_json (
            req->ex, WY_STATUS_OK,
            json_pack ("{s:I}", "revision", (json_int_t)req->base));
      wy_config_request_free (req);
      return;
    }
  wy_document_digest (req->after, req->base, digest);
  if (strcmp (digest, req->digest) != 0)
    {
      wy_config_respond_stale_plan (req);
      return;
    }
  why = g_string_new (NULL);
  if (wy_service_members_schedule (&req->service->o, req->before, req->after,
                                   why))
    wy_config_respond_problem (
        req, WY_STATUS_CONFLICT, "An earlier change has not taken effect yet",
        why->str, req->service->o.roster_trust_ms, NULL);
  else
    {
      g_snprintf (req->rev_key, sizeof req->rev_key, "config/rev/%" PRId64,
                  req->base + 1);
      wy_id_new (req->service->o.clock, req->op);
      write_revision (req);
    }
  g_string_free (why, TRUE);
}

static void
on_current (void *ctx, const struct wy_store_result *r)
{
  struct wy_config_request *req = ctx;
  const struct wy_store_row *row
      = wy_store_find_row (r, WY_CONFIG_CURRENT_KEY);
  char digest[WY_CONFIG_DIGEST_SIZE_BYTES];

  if (r->err)
    {
      wy_config_respond_store_error (req, r);
      return;
    }
  if (wy_config_parse_row (row, &req->before, &req->base))
    {
      wy_config_respond_problem (req, WY_STATUS_CONFLICT,
                                 "The stored configuration is invalid", NULL,
                                 0, NULL);
      return;
    }
  req->base_rev = row ? row->rev : 0;
  if (req->is_apply)
    {
      apply (req, row);
      return;
    }
  wy_document_digest (req->after, req->base, digest);
  respond_plan (req, digest);
}

static void
on_abort (struct wy_http_exchange *ex, void *ctx)
{
  ((struct wy_config_request *)ctx)->ex = NULL;
}

static void
start_request (struct wy_config_service *s, struct wy_http_exchange *ex,
               bool is_apply)
{
  static const char *const keys[] = { WY_CONFIG_CURRENT_KEY };
  struct wy_store_read read = { .cause = "plan", .keys = keys, .n_keys = 1 };
  struct wy_config_request *req = g_malloc0 (sizeof *req);
  GString *errors = g_string_new (NULL);
  size_t n;
  const char *body = wy_http_body (ex, &n);
  json_t *json = json_loadb (body, n, JSON_REJECT_DUPLICATES, NULL);
  const char *digest = json_string_value (json_object_get (json, "digest"));
  const json_t *base = json_object_get (json, "base");

  req->service = s;
  req->ex = ex;
  req->is_apply = is_apply;
  req->plan_base = json_is_integer (base) ? json_integer_value (base) : -1;
  req->digest = g_strdup (digest ? digest : "");
  if (!json_is_object (json) || !json_object_get (json, "document")
      || (is_apply && !digest))
    wy_config_respond_problem (
        req, WY_STATUS_BAD_REQUEST, "Bad request",
        is_apply ? "The body must be {\"document\", \"digest\"}."
                 : "The body must be {\"document\"}.",
        0, NULL);
  else if (wy_document_parse (&req->after, json_object_get (json, "document"),
                              errors))
    wy_config_respond_problem (req, WY_STATUS_UNPROCESSABLE,
                               "Invalid document", errors->str, 0, NULL);
  else
    {
      wy_http_on_abort (ex, on_abort, req);
      wy_store_read (s->o.store, &read, on_current, req);
    }
  g_string_free (errors, TRUE);
  json_decref (json);
}

static void
respond_current (struct wy_config_service *s, struct wy_http_exchange *ex)
{
  const struct wy_config_feed *f = s->o.feed;
  const char *text = wy_config_feed_text (f);
  json_t *document = text ? json_loads (text, 0, NULL) : json_object ();

  wy_http_respond_json (ex, WY_STATUS_OK,
                        json_pack ("{s:I, s:I, s:o}", "revision",
                                   (json_int_t)wy_config_feed_revision (f),
                                   "confirmed_ms",
                                   (json_int_t)wy_config_feed_confirmed_ms (f),
                                   "document", document));
}

/* Handle EX if it is for /v1/config (GET), /v1/plan or /v1/apply (POST).
   Returns whether it was.  */
bool
wy_config_handle_request (struct wy_config_service *s,
                          struct wy_http_exchange *ex)
{
  const char *path = wy_http_path (ex);
  bool post = !strcmp (wy_http_method (ex), "POST");
  struct wy_http_problem p = { .status = WY_STATUS_METHOD_NOT_ALLOWED,
                               .title = "Method not allowed" };

  if (!strcmp (path, "/v1/config"))
    {
      if (!strcmp (wy_http_method (ex), "GET"))
        respond_current (s, ex);
      else
        wy_http_respond_problem (ex, &p);
      return true;
    }
  if (strcmp (path, "/v1/plan") != 0 && strcmp (path, "/v1/apply") != 0)
    return false;
  if (post)
    start_request (s, ex, !strcmp (path, "/v1/apply"));
  else
    wy_http_respond_problem (ex, &p);
  return true;
}
