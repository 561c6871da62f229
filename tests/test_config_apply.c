/* Configuration documents, plan and apply over HTTP, and the feed.  */
#include <criterion/criterion.h>
#include <string.h>

#include "config/apply.h"
#include "config/feed.h"
#include "http/client.h"
#include "support/fake_table.h"

#define TRUST_MS 60000

struct entry
{
  struct wy_store *store;
  struct wy_config_feed *feed;
  struct wy_config_service *service;
  struct wy_http_server *server;
  uint32_t changes;
};

struct fixture
{
  uv_loop_t loop;
  struct fake_table *table;
  struct wy_http_client *http;
  struct entry entry[2];
  bool acknowledged;
  uint32_t responses;
  int status;
  json_t *body;
};

static void
on_request (struct wy_http_exchange *ex, void *ctx)
{
  if (!wy_config_handle_request (((struct entry *)ctx)->service, ex))
    wy_http_respond (ex, 404, "text/plain", "", 0);
}

static void
on_change (void *ctx, const struct wy_document *d, int64_t revision)
{
  ((struct entry *)ctx)->changes++;
}

static bool
is_acknowledged (void *ctx, const struct wy_service_config *before,
                 const struct wy_service_config *after)
{
  return ((struct fixture *)ctx)->acknowledged;
}

static void
entry_init (struct fixture *w, int i)
{
  struct entry *e = &w->entry[i];
  const struct wy_store_options s = { .loop = &w->loop,
                                      .clock = wy_clock_system (),
                                      .table = w->table->address,
                                      .objects = w->table->address,
                                      .seed = (uint64_t)i + 1 };
  struct wy_config_feed_options f = { .loop = &w->loop,
                                      .clock = wy_clock_system (),
                                      .seed = (uint64_t)i + 1,
                                      .interval_ms = 20,
                                      .on_change = on_change,
                                      .ctx = e };
  struct wy_config_service_options c = { .clock = wy_clock_system (),
                                         .roster_trust_ms = TRUST_MS,
                                         .acknowledged = is_acknowledged,
                                         .ctx = w };
  const struct wy_http_server_options h = { .loop = &w->loop,
                                            .host = "127.0.0.1",
                                            .body_limit_bytes = 1 << 20,
                                            .on_request = on_request,
                                            .ctx = e };

  cr_assert_eq (wy_store_new (&e->store, &s), 0);
  f.store = c.store = e->store;
  e->feed = wy_config_feed_new (&f);
  c.feed = e->feed;
  e->service = wy_config_service_new (&c);
  cr_assert_eq (wy_http_server_new (&e->server, &h), 0);
}

static void
entry_free (struct entry *e)
{
  wy_config_feed_free (e->feed);
  wy_store_free (e->store);
  wy_config_service_free (e->service);
  wy_http_server_free (e->server);
}

static void
fixture_init (struct fixture *w)
{
  memset (w, 0, sizeof *w);
  uv_loop_init (&w->loop);
  w->table = fake_table_new (&w->loop);
  w->http = wy_http_client_new (&w->loop, 10000);
  entry_init (w, 0);
  entry_init (w, 1);
}

static void
fixture_free (struct fixture *w)
{
  entry_free (&w->entry[0]);
  entry_free (&w->entry[1]);
  json_decref (w->body);
  drain_loop (&w->loop);
  fake_table_free (w->table);
  wy_http_client_free (w->http);
}

static void
on_response (void *ctx, const struct wy_http_response *r)
{
  struct fixture *w = ctx;

  w->responses++;
  /* Of two responses keep the one with the higher status, the rejection.  */
  if (w->responses > 1 && r->status < w->status)
    return;
  w->status = r->err ? r->err : r->status;
  json_decref (w->body);
  w->body = json_loadb (r->body, r->size_bytes, 0, NULL);
}

static void
start_call (struct fixture *w, int i, const char *path, const char *body)
{
  const struct wy_http_call_options o
      = { .method = body ? "POST" : "GET",
          .host = "127.0.0.1",
          .port = wy_http_server_port (w->entry[i].server),
          .path = path,
          .body = body,
          .body_size_bytes = body ? strlen (body) : 0 };

  wy_http_fetch (w->http, &o, on_response, w);
}

static bool
one_response (void *ctx)
{
  return ((struct fixture *)ctx)->responses >= 1;
}

static bool
two_responses (void *ctx)
{
  return ((struct fixture *)ctx)->responses >= 2;
}

static int
call (struct fixture *w, int i, const char *path, const char *body)
{
  w->responses = 0;
  start_call (w, i, path, body);
  cr_assert (run_until (&w->loop, one_response, w));
  return w->status;
}

/* Plan DOCUMENT at entry I.  Returns the body of the request that applies it;
   the caller frees it.  */
static char *
plan (struct fixture *w, int i, const char *document)
{
  char *body = g_strdup_printf ("{\"document\":%s}", document);
  char *apply;

  cr_assert_eq (call (w, i, "/v1/plan", body), 200);
  apply = g_strdup_printf (
      "{\"document\":%s,\"digest\":\"%s\"}", document,
      json_string_value (json_object_get (w->body, "digest")));
  g_free (body);
  return apply;
}

static int
apply (struct fixture *w, int i, const char *document)
{
  char *body = plan (w, i, document);
  int status = call (w, i, "/v1/apply", body);

  g_free (body);
  return status;
}

static json_int_t
revision (struct fixture *w)
{
  return json_integer_value (json_object_get (w->body, "revision"));
}

static bool
changes_mention (struct fixture *w, const char *text)
{
  char *changes = json_dumps (json_object_get (w->body, "changes"), 0);
  bool found = changes && strstr (changes, text);

  free (changes);
  return found;
}

static const char *const EMPTY = "{}";
static const char *const MODEL = "{\"models\":[{\"name\":\"m\"}]}";
static const char *const DRAIN = "{\"drained\":[\"engine-7\"]}";
static const char *const PORTAL
    = "{\"services\":[{\"name\":\"portal\",\"members\":[\"a\",\"b\"]}]}";
static const char *const PORTAL_MOVED
    = "{\"services\":[{\"name\":\"portal\",\"members\":[\"b\",\"c\"]}]}";
static const char *const PORTAL_AGAIN
    = "{\"services\":[{\"name\":\"portal\",\"members\":[\"c\",\"d\"]}]}";

static bool
both_at_1 (void *ctx)
{
  struct fixture *w = ctx;

  return wy_config_feed_revision (w->entry[0].feed) == 1
         && wy_config_feed_revision (w->entry[1].feed) == 1;
}

Test (config, plan_lists_changes_and_apply_reaches_all_entries)
{
  struct fixture w;

  fixture_init (&w);
  cr_assert_eq (apply (&w, 0, DRAIN), 200);
  cr_assert_eq (revision (&w), 1);
  cr_assert (run_until (&w.loop, both_at_1, &w));
  cr_assert (wy_document_is_drained (wy_config_feed_document (w.entry[1].feed),
                                     "engine-7"));
  cr_assert_eq (call (&w, 1, "/v1/config", NULL), 200);
  cr_assert_eq (revision (&w), 1);
  g_free (plan (&w, 1, EMPTY));
  cr_assert (changes_mention (&w, "- drained engine-7"));
  fixture_free (&w);
}

/* Two operators plan on the same revision and apply at the same time.  Without
   the conditional write one would undo the other's change unknowingly.  */
Test (config, second_of_two_operators_gets_the_changes_of_the_first)
{
  struct fixture w;
  char *a;
  char *b;

  fixture_init (&w);
  a = plan (&w, 0, MODEL);
  b = plan (&w, 1, DRAIN);
  w.responses = 0;
  start_call (&w, 0, "/v1/apply", a);
  start_call (&w, 1, "/v1/apply", b);
  cr_assert (run_until (&w.loop, two_responses, &w));
  cr_assert_eq (w.status, 409);
  cr_assert (changes_mention (&w, "+ model m")
             || changes_mention (&w, "+ drained engine-7"));
  cr_assert (run_until (&w.loop, both_at_1, &w));
  cr_assert_null (fake_table_get (w.table, "config/rev/2"));
  g_free (a);
  g_free (b);
  fixture_free (&w);
}

/* The change is written and the response of the store is lost.  The operator
   must not get an error for a change that was applied.  */
Test (config, lost_store_response_of_apply_is_resolved)
{
  struct fixture w;
  char *body;

  fixture_init (&w);
  body = plan (&w, 0, MODEL);
  w.table->lose_responses = 1;
  cr_assert_eq (call (&w, 0, "/v1/apply", body), 200);
  cr_assert_eq (revision (&w), 1);
  cr_assert_eq (call (&w, 1, "/v1/apply", body), 200, "applied again");
  cr_assert_eq (revision (&w), 1);
  cr_assert_null (fake_table_get (w.table, "config/rev/2"));
  g_free (body);
  fixture_free (&w);
}

Test (config, stale_plan_is_rejected)
{
  struct fixture w;
  char *old;

  fixture_init (&w);
  old = plan (&w, 0, MODEL);
  cr_assert_eq (apply (&w, 1, DRAIN), 200);
  cr_assert_eq (call (&w, 0, "/v1/apply", old), 409);
  cr_assert (changes_mention (&w, "+ drained engine-7"));
  cr_assert_eq (revision (&w), 1);
  g_free (old);
  fixture_free (&w);
}

/* The store is down.  An operator gets 503, and the configuration in force
   stays.  */
Test (config, store_outage_keeps_configuration_in_force)
{
  struct fixture w;
  char *body;

  fixture_init (&w);
  cr_assert_eq (apply (&w, 0, DRAIN), 200);
  body = plan (&w, 0, EMPTY);
  w.table->down = true;
  cr_assert_eq (call (&w, 0, "/v1/apply", body), 503);
  run_for (&w.loop, 300);
  cr_assert_eq (wy_config_feed_revision (w.entry[0].feed), 1);
  cr_assert_eq (call (&w, 0, "/v1/config", NULL), 200);
  cr_assert_eq (revision (&w), 1);
  g_free (body);
  fixture_free (&w);
}

/* A peer that was suspended offers an old revision, or a response of the store
   is delayed.  A process that returned to the old document would send work to
   targets that must not run it any more.  */
Test (config, feed_revision_never_decreases)
{
  struct fixture w;
  struct wy_config_feed *f;

  fixture_init (&w);
  cr_assert_eq (apply (&w, 0, DRAIN), 200);
  f = w.entry[0].feed;
  cr_assert_eq (wy_config_feed_offer (f, 5, 1, MODEL, strlen (MODEL)), 0);
  cr_assert_eq (wy_config_feed_revision (f), 5);
  cr_assert_eq (wy_config_feed_offer (f, 4, 2, EMPTY, strlen (EMPTY)),
                WY_CONFIG_ECONFLICT);
  run_for (&w.loop, 200);
  cr_assert_eq (wy_config_feed_revision (f), 5);
  cr_assert_not_null (wy_document_model (wy_config_feed_document (f), "m"));
  cr_assert_neq (wy_config_feed_offer (f, 6, 3, "{", 1), 0);
  cr_assert_eq (wy_config_feed_revision (f), 5);
  fixture_free (&w);
}

static const json_t *
portal (struct fixture *w)
{
  const json_t *document = json_object_get (
      fake_table_get (w->table, "config/current"), "document");

  return json_array_get (json_object_get (document, "services"), 0);
}

/* The members of a service change.  While some entries have the old list and
   some the new one, a request could have two homes and run twice.  */
Test (config, change_of_members_takes_effect_after_the_trust_time)
{
  struct fixture w;
  int64_t now = wy_clock_wall_ms (wy_clock_system ());

  fixture_init (&w);
  cr_assert_eq (apply (&w, 0, PORTAL), 200);
  cr_assert_eq (
      json_integer_value (json_object_get (portal (&w), "effective_ms")), 0);
  cr_assert_eq (apply (&w, 0, PORTAL_MOVED), 200);
  cr_assert_geq (
      json_integer_value (json_object_get (portal (&w), "effective_ms")),
      now + TRUST_MS);
  cr_assert_str_eq (json_string_value (json_array_get (
                        json_object_get (portal (&w), "previous"), 0)),
                    "a");
  cr_assert_eq (apply (&w, 0, PORTAL_AGAIN), 409,
                "a second change before the first is in effect");
  fixture_free (&w);
}

Test (config, acknowledged_change_of_members_takes_effect_at_once)
{
  struct fixture w;

  fixture_init (&w);
  w.acknowledged = true;
  cr_assert_eq (apply (&w, 0, PORTAL), 200);
  cr_assert_eq (apply (&w, 0, PORTAL_MOVED), 200);
  cr_assert_leq (
      json_integer_value (json_object_get (portal (&w), "effective_ms")),
      wy_clock_wall_ms (wy_clock_system ()));
  cr_assert_eq (apply (&w, 0, PORTAL_AGAIN), 200);
  fixture_free (&w);
}

/* A service is removed and at once added again with other members.  An entry
   that was suspended during both changes would send a request to its old
   home.  */
Test (config, service_with_members_can_not_be_removed)
{
  struct fixture w;

  fixture_init (&w);
  w.acknowledged = true;
  cr_assert_eq (apply (&w, 0, PORTAL), 200);
  cr_assert_eq (apply (&w, 0, EMPTY), 409);
  cr_assert_eq (
      apply (&w, 0, "{\"services\":[{\"name\":\"portal\",\"members\":[]}]}"),
      200);
  cr_assert_eq (apply (&w, 0, EMPTY), 200);
  fixture_free (&w);
}

/* An unrelated change, in a document without effective_ms, must not make a
   pending change of members take effect early.  */
Test (config, unrelated_change_keeps_effective_time_of_members)
{
  struct fixture w;
  json_int_t effective;

  fixture_init (&w);
  cr_assert_eq (apply (&w, 0, PORTAL), 200);
  cr_assert_eq (apply (&w, 0, PORTAL_MOVED), 200);
  effective
      = json_integer_value (json_object_get (portal (&w), "effective_ms"));
  cr_assert_eq (apply (&w, 1,
                       "{\"services\":[{\"name\":\"portal\",\"members\":["
                       "\"b\",\"c\"]}],\"drained\":[\"x\"]}"),
                200);
  cr_assert_eq (
      json_integer_value (json_object_get (portal (&w), "effective_ms")),
      effective);
  cr_assert_eq (json_array_size (json_object_get (portal (&w), "previous")),
                2);
  fixture_free (&w);
}

Test (config, invalid_documents_are_rejected_with_reasons)
{
  static const struct
  {
    const char *document;
    const char *reason;
  } cases[] = {
    { "{\"modells\":[]}", "unknown key \"modells\"" },
    { "{\"models\":[{\"name\":\"a b\"}]}", "models: name" },
    { "{\"models\":[{\"name\":\"m\"},{\"name\":\"m\"}]}", "is listed twice" },
    { "{\"yards\":[{\"name\":\"y\",\"model\":\"x\",\"staleness_bound\":1}]}",
      "no model \"x\"" },
    { "{\"models\":[{\"name\":\"m\"}],\"yards\":[{\"name\":\"y\",\"model\":"
      "\"m\"}]}",
      "staleness_bound" },
    { "{\"drained\":[\"a\",\"a\"]}", "is listed twice" },
    { "[]", "must be an object" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct wy_document *d = NULL;
      GString *errors = g_string_new (NULL);

      cr_assert_eq (wy_document_parse_text (&d, cases[i].document,
                                            strlen (cases[i].document),
                                            errors),
                    WY_CONFIG_EVALUE, "case %zu", i);
      cr_assert_not_null (strstr (errors->str, cases[i].reason),
                          "case %zu: %s", i, errors->str);
      g_string_free (errors, TRUE);
    }
}

Test (config, digest_covers_base_revision_and_not_effective_times)
{
  struct wy_document *a;
  struct wy_document *b;
  char x[WY_CONFIG_DIGEST_SIZE_BYTES];
  char y[WY_CONFIG_DIGEST_SIZE_BYTES];
  static const char text[]
      = "{\"services\":[{\"effective_ms\":5,\"previous\":[\"z\"],"
        "\"members\":[\"b\",\"a\"],\"name\":\"portal\"}],\"drained\":[]}";

  cr_assert_eq (wy_document_parse_text (&a, PORTAL, strlen (PORTAL), NULL), 0);
  cr_assert_eq (wy_document_parse_text (&b, text, strlen (text), NULL), 0);
  wy_document_digest (a, 1, x);
  wy_document_digest (b, 1, y);
  cr_assert_str_eq (x, y);
  wy_document_digest (b, 2, y);
  cr_assert_str_neq (x, y);
  wy_document_free (a);
  wy_document_free (b);
}
