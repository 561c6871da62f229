/* Plan and apply of configuration documents.

   A plan names the revision that it was made on, by its digest.  Applying
   reads the current revision, checks that the digest still belongs to it, and
   writes the next one on the condition that nobody else has.  Of two
   operators at the same moment one is told what the other changed.  An
   operator whose answer was lost applies the same plan again and is told the
   revision it has become.  */
#include "config/apply.h"

#include <inttypes.h>
#include <string.h>

#include <glib.h>

#include "base/id.h"
#include "config/apply_request.h"
#include "config/service_members.h"
#include "http/json.h"

/* Plan and apply as O says.  */
struct wy_config_service *
wy_config_service_new (const struct wy_config_service_options *o)
{
  struct wy_config_service *s = g_malloc0 (sizeof *s);

  s->o = *o;
  return s;
}

/* Free S; no request may be under way.  */
void
wy_config_service_free (struct wy_config_service *s)
{
  g_free (s);
}

static void
on_applied (void *ctx, const struct wy_store_result *r)
{
  struct wy_config_job *j = ctx;
  const struct wy_config_service_options *o = &j->service->o;
  int64_t revision = j->base + 1;

  if (r->err == WY_STORE_ECONFLICT)
    {
      wy_config_conflict (j, wy_store_find_row (r, WY_CONFIG_CURRENT));
      return;
    }
  if (r->err)
    {
      wy_config_store_problem (j, r);
      return;
    }
  wy_trace_event (o->trace, "config.accepted", "{s:I, s:s}", "revision",
                  (json_int_t)revision, "digest", j->digest);
  if (o->feed)
    wy_config_feed_offer (o->feed, revision, wy_clock_wall_ms (o->clock),
                          j->text, strlen (j->text));
  if (j->ex)
    wy_http_respond_json (
        j->ex, WY_STATUS_OK,
        json_pack ("{s:I}", "revision", (json_int_t)revision));
  wy_config_job_free (j);
}

/* Write the next revision.  Its own row is written once and is there for
   settling a lost answer also when another revision has followed.  */
static void
write_revision (struct wy_config_job *j)
{
  json_t *document = wy_document_json (j->after);
  json_t *value
      = json_pack ("{s:I, s:s, s:s, s:O}", "revision", (json_int_t)j->base + 1,
                   "digest", j->digest, "op", j->op, "document", document);
  struct wy_store_condition conditions[]
      = { { WY_CONFIG_CURRENT, j->base_rev }, { j->rev_key, 0 } };
  struct wy_store_write writes[]
      = { { WY_CONFIG_CURRENT, value }, { j->rev_key, value } };
  struct wy_store_txn txn = { .cause = "apply",
                              .op = j->op,
                              .conditions = conditions,
                              .n_conditions = G_N_ELEMENTS (conditions),
                              .writes = writes,
                              .n_writes = G_N_ELEMENTS (writes) };

  j->text = json_dumps (document, JSON_COMPACT | JSON_SORT_KEYS);
  wy_store_txn (j->service->o.store, &txn, on_applied, j);
  json_decref (value);
  json_decref (document);
}

static void
answer_plan (struct wy_config_job *j, const char *digest)
{
  json_t *body = wy_config_diff (j->before, j->after);

  json_object_set_new (body, "digest", json_string (digest));
  json_object_set_new (body, "base", json_integer (j->base));
  if (j->ex)
    wy_http_respond_json (j->ex, WY_STATUS_OK, body);
  else
    json_decref (body);
  wy_config_job_free (j);
}

static void
apply (struct wy_config_job *j, const struct wy_store_row *row)
{
  char digest[WY_CONFIG_DIGEST_SIZE_BYTES];
  const char *applied
      = row ? json_string_value (json_object_get (row->value, "digest"))
            : NULL;
  GString *why;

  if (applied && !strcmp (applied, j->digest))
    {
      if (j->ex)
        wy_http_respond_json (
            j->ex, WY_STATUS_OK,
            json_pack ("{s:I}", "revision", (json_int_t)j->base));
      wy_config_job_free (j);
      return;
    }
  wy_document_digest (j->after, j->base, digest);
  if (strcmp (digest, j->digest) != 0)
    {
      wy_config_explain (j);
      return;
    }
  why = g_string_new (NULL);
  if (wy_roster_settle (&j->service->o, j->before, j->after, why))
    wy_config_problem (j, WY_STATUS_CONFLICT, "An earlier change is under way",
                       why->str, j->service->o.roster_trust_ms, NULL);
  else
    {
      g_snprintf (j->rev_key, sizeof j->rev_key, "config/rev/%" PRId64,
                  j->base + 1);
      wy_id_new (j->service->o.clock, j->op);
      write_revision (j);
    }
  g_string_free (why, TRUE);
}

static void
on_current (void *ctx, const struct wy_store_result *r)
{
  struct wy_config_job *j = ctx;
  const struct wy_store_row *row = wy_store_find_row (r, WY_CONFIG_CURRENT);
  char digest[WY_CONFIG_DIGEST_SIZE_BYTES];

  if (r->err)
    {
      wy_config_store_problem (j, r);
      return;
    }
  if (wy_config_row_document (row, &j->before, &j->base))
    {
      wy_config_problem (j, WY_STATUS_CONFLICT,
                         "The current configuration is invalid", NULL, 0,
                         NULL);
      return;
    }
  j->base_rev = row ? row->rev : 0;
  if (j->apply)
    {
      apply (j, row);
      return;
    }
  wy_document_digest (j->after, j->base, digest);
  answer_plan (j, digest);
}

static void
on_abort (struct wy_http_exchange *ex, void *ctx)
{
  ((struct wy_config_job *)ctx)->ex = NULL;
}

static void
begin (struct wy_config_service *s, struct wy_http_exchange *ex, bool is_apply)
{
  static const char *const keys[] = { WY_CONFIG_CURRENT };
  struct wy_store_read read = { .cause = "plan", .keys = keys, .n_keys = 1 };
  struct wy_config_job *j = g_malloc0 (sizeof *j);
  GString *errors = g_string_new (NULL);
  size_t n;
  const char *body = wy_http_body (ex, &n);
  json_t *json = json_loadb (body, n, JSON_REJECT_DUPLICATES, NULL);
  const char *digest = json_string_value (json_object_get (json, "digest"));
  const json_t *base = json_object_get (json, "base");

  j->service = s;
  j->ex = ex;
  j->apply = is_apply;
  j->planned_on = json_is_integer (base) ? json_integer_value (base) : -1;
  j->digest = g_strdup (digest ? digest : "");
  if (!json_is_object (json) || !json_object_get (json, "document")
      || (is_apply && !digest))
    wy_config_problem (j, WY_STATUS_BAD_REQUEST, "Bad request",
                       is_apply
                           ? "The body must be {\"document\", \"digest\"}."
                           : "The body must be {\"document\"}.",
                       0, NULL);
  else if (wy_document_parse (&j->after, json_object_get (json, "document"),
                              errors))
    wy_config_problem (j, WY_STATUS_UNPROCESSABLE, "Invalid document",
                       errors->str, 0, NULL);
  else
    {
      wy_http_on_abort (ex, on_abort, j);
      wy_store_read (s->o.store, &read, on_current, j);
    }
  g_string_free (errors, TRUE);
  json_decref (json);
}

static void
give_current (struct wy_config_service *s, struct wy_http_exchange *ex)
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

/* Answer EX when it is GET /v1/config, POST /v1/plan or POST /v1/apply;
   whether it is.  */
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
        give_current (s, ex);
      else
        wy_http_respond_problem (ex, &p);
      return true;
    }
  if (strcmp (path, "/v1/plan") != 0 && strcmp (path, "/v1/apply") != 0)
    return false;
  if (post)
    begin (s, ex, !strcmp (path, "/v1/apply"));
  else
    wy_http_respond_problem (ex, &p);
  return true;
}
