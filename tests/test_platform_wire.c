/* Decoders of the platform's data: valid input, and malformed input of each
   kind.  */
#include <criterion/criterion.h>
#include <string.h>

#include "platform/config_wire.h"
#include "platform/job_wire.h"
#include "platform/replica_wire.h"
#include "platform/request_wire.h"
#include "platform/store_wire.h"

#define ENTRY(service, address, state, slots)                                 \
  "{\"service\":" service ",\"address\":" address ",\"zone\":\"z\","          \
  "\"state\":" state ",\"slots\":" slots "}"

#define ENTRY_BORN(born)                                                      \
  "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","            \
  "\"state\":\"ready\",\"slots\":4,\"born\":" born "}"

/* Other systems write list entries too.  An invalid one must be no replica,
   and its invalid field must be named.  */
Test (wire, replica_entries)
{
  static const struct
  {
    const char *text;
    const char *wrong;
  } rows[] = {
    { ENTRY ("\"s\"", "\"10.0.0.1:80\"", "\"ready\"", "4"), NULL },
    { ENTRY ("\"s\"", "\"10.0.0.1:80\"", "\"draining\"", "4"), NULL },
    { ENTRY ("\"s\"", "\"10.0.0.1:80\"", "\"resting\"", "4"), "state" },
    { ENTRY ("\"s\"", "\"10.0.0.1:80\"", "7", "4"), "state" },
    { ENTRY ("\"s\"", "\"10.0.0.1:80\"", "\"ready\"", "\"4\""), "slots" },
    { ENTRY ("\"s\"", "\"10.0.0.1:80\"", "\"ready\"", "0"), "slots" },
    { ENTRY ("\"s\"", "\"10.0.0.1\"", "\"ready\"", "4"), "address" },
    { ENTRY ("\"s\"", "\"10.0.0.1:99999\"", "\"ready\"", "4"), "address" },
    { ENTRY ("\"s\"", "\"host:80\"", "\"ready\"", "4"), "address" },
    { ENTRY ("{}", "\"10.0.0.1:80\"", "\"ready\"", "4"), "service" },
    { ENTRY ("\"\"", "\"10.0.0.1:80\"", "\"ready\"", "4"), "service" },
    { ENTRY_BORN ("17"), NULL },
    { ENTRY_BORN ("\"17\""), "born" },
    { ENTRY_BORN ("17.5"), "born" },
    { ENTRY_BORN ("null"), "born" },
    { "{", "json" },
    { "[]", "json" },
    { "\xff\xfe", "json" },
    { "", "json" },
  };

  for (size_t i = 0; i < sizeof rows / sizeof *rows; i++)
    {
      struct wy_replica r;
      const char *wrong
          = wy_replica_decode ("i-1", rows[i].text, strlen (rows[i].text), &r);

      cr_expect (g_strcmp0 (wrong, rows[i].wrong) == 0, "row %zu: %s", i,
                 wrong ? wrong : "valid");
    }
}

Test (wire, configuration)
{
  static const char good[]
      = "{\"version\":7,\"routes\":["
        "{\"name\":\"a\",\"host\":\"h\",\"prefix\":\"/a/\",\"kind\":\"safe\","
        "\"service\":\"s\",\"attempts\":2,\"timeoutMs\":900},"
        "{\"name\":\"b\",\"host\":\"h\",\"prefix\":\"/a/b/\","
        "\"kind\":\"new-kind\",\"trafficSplit\":"
        "[{\"service\":\"s\",\"weight\":90},{\"service\":\"t\","
        "\"weight\":10}]}],"
        "\"services\":[{\"name\":\"s\",\"connectionLimit\":9,"
        "\"engine\":{\"slots\":4,\"models\":[{\"name\":\"m\"}]}}],"
        "\"limits\":{\"maxBodyBytes\":5}}";
  static const char no_service[]
      = "{\"version\":7,\"routes\":[{\"host\":\"h\",\"prefix\":\"/\","
        "\"kind\":\"safe\"}]}";
  static const char *const bad[] = { "",
                                     "{}",
                                     "{\"version\":\"7\"}",
                                     "{\"version\":7,\"routes\":[{}]}",
                                     no_service,
                                     "{\"version\":7,\"services\":[{}]}" };
  const char *why;
  struct wy_routing *r = wy_config_decode (good, strlen (good), &why);
  const struct wy_route *t;

  cr_assert_not_null (r, "%s", why);
  cr_expect_eq (r->version, 7);
  cr_expect_eq (r->body_limit_bytes, 5);
  t = wy_routing_match (r, "h", "/a/b/c");
  cr_assert_not_null (t);
  /* Requests of an unknown kind are not repeated.  */
  cr_expect_eq (t->kind, WY_ROUTE_NON_IDEMPOTENT);
  cr_expect_eq (t->splits->len, 2);
  cr_expect_eq (t->attempts, 1);
  cr_expect_eq (wy_routing_service (r, "s")->slots, 4);
  wy_routing_free (r);
  for (size_t i = 0; i < sizeof bad / sizeof *bad; i++)
    cr_expect_null (wy_config_decode (bad[i], strlen (bad[i]), &why),
                    "row %zu", i);
}

Test (wire, named_versions)
{
  struct wy_requested_version v;
  static const char good[] = "{\"model\":\"m\",\"version\":3}";
  static const char bad[] = "{\"model\":\"m\",\"version\":\"3\"}";

  cr_expect (wy_requested_version_decode (good, strlen (good), &v));
  cr_expect_eq (v.version, 3);
  cr_expect_not (wy_requested_version_decode (bad, strlen (bad), &v));
  cr_expect_eq (wy_operator_row_kind ("config"), WY_OPERATOR_CONFIG);
  cr_expect_eq (wy_operator_row_kind ("version/m"), WY_OPERATOR_VERSION);
  cr_expect_eq (wy_operator_row_kind ("other"), WY_OPERATOR_OTHER);
}

/* A header field of a job item with a line break would add a field, or a
   request, on the connection to the replica.  */
Test (wire, item_fields_cannot_inject)
{
  static const char job[]
      = "{\"items\":[{\"id\":\"a\",\"path\":\"/p/\",\"headers\":{"
        "\"Model\":\"m\",\"X\":\"1\\r\\nEvil: 1\",\"Y\\r\\nEvil\":\"1\"}}]}";
  const char *why;
  struct wy_job_spec *s = wy_job_decode (job, strlen (job), &why);
  const struct wy_item_spec *i;

  cr_assert_not_null (s);
  i = g_ptr_array_index (s->items, 0);
  cr_expect_eq (i->fields->len, 1);
  wy_job_spec_free (s);
}

/* An item may have a scorer.  An invalid one must not be ignored: the item
   would be listed without a score, which the submitter takes for one.  */
Test (wire, scorers)
{
  static const struct
  {
    const char *scorer;
    const char *why; /* NULL: the job is valid */
  } rows[] = {
    { "{\"id\":\"s\",\"host\":\"h\",\"path\":\"/p\",\"body\":\"aGk=\"}",
      NULL },
    { "{\"id\":\"s\",\"host\":\"h\",\"path\":\"/p\"}", NULL },
    { "null", NULL },
    { "7", "scorer" },
    { "[]", "scorer" },
    { "{}", "scorer" },
    { "{\"id\":\"s\",\"host\":\"h\",\"path\":7}", "scorer" },
    { "{\"id\":\"s\",\"host\":\"h\",\"path\":\"p\"}", "scorer" },
    { "{\"id\":\"s\",\"host\":\"h\\r\\nX: 1\",\"path\":\"/p\"}", "scorer" },
    { "{\"id\":\"s\",\"host\":\"h\",\"path\":\"/p HTTP/1.1\"}", "scorer" },
    { "{\"id\":\"s\",\"host\":\"h\",\"path\":\"/p\",\"body\":\"a?b=\"}",
      "scorer" },
    { "{\"id\":\"s\",\"host\":\"h\",\"path\":\"/p\",\"body\":\"aGk\"}",
      "scorer" },
    { "{\"id\":\"s\",\"host\":\"h\",\"path\":\"/p\",\"body\":{}}", "scorer" },
  };

  for (size_t k = 0; k < G_N_ELEMENTS (rows); k++)
    {
      char *job = g_strdup_printf (
          "{\"items\":[{\"id\":\"a\",\"path\":\"/p/\",\"scorer\":%s}]}",
          rows[k].scorer);
      const char *why = NULL;
      struct wy_job_spec *s = wy_job_decode (job, strlen (job), &why);

      cr_expect_str_eq (why ? why : "", rows[k].why ? rows[k].why : "", "%s",
                        rows[k].scorer);
      cr_expect_eq (s == NULL, rows[k].why != NULL, "%s", rows[k].scorer);
      if (s && k == 0)
        {
          const struct wy_item_spec *i = g_ptr_array_index (s->items, 0);

          cr_assert_not_null (i->scorer);
          cr_expect_str_eq (i->scorer->id, "s");
          cr_expect_str_eq (i->scorer->path, "/p");
          cr_expect_eq (i->scorer->body_size_bytes, 2);
          cr_expect (!memcmp (i->scorer->body, "hi", 2));
        }
      wy_job_spec_free (s);
      g_free (job);
    }
}

Test (wire, job_calls)
{
  static const struct
  {
    const char *method;
    const char *target;
    enum wy_job_call_kind kind;
  } rows[] = {
    { "GET", "/api/lots/j?after=3", WY_JOB_CALL_RESULTS },
    { "DELETE", "/api/lots/j", WY_JOB_CALL_DELETE },
    { "GET", "/api/items/j?id=i", WY_JOB_CALL_ITEM_BODY },
    { "GET", "/api/items/j", WY_JOB_CALL_NONE },
    { "POST", "/api/lots/j", WY_JOB_CALL_NONE },
    { "GET", "/api/lots/", WY_JOB_CALL_NONE },
    { "GET", "/other", WY_JOB_CALL_NONE },
  };
  struct wy_h1_head head;
  struct wy_job_call call;

  wy_h1_head_init (&head);
  for (size_t i = 0; i < sizeof rows / sizeof *rows; i++)
    {
      wy_job_call_parse (rows[i].method, rows[i].target, &head, &call);
      cr_expect_eq (call.kind, rows[i].kind, "row %zu", i);
    }
  wy_job_call_parse ("GET", "/api/lots/j?after=12", &head, &call);
  cr_expect_eq (call.after, 12);
  wy_h1_head_clear (&head);
}

static void
append_field (struct wy_h1_head *h, const char *name, const char *value)
{
  wy_h1_head_append_name (h, name, strlen (name));
  wy_h1_head_append_value (h, value, strlen (value));
}

static struct wy_response_info
parse_load (const char *load)
{
  struct wy_h1_head h;
  struct wy_response_info info;

  wy_h1_head_init (&h);
  wy_h1_head_append_url (&h, "/x", 2);
  append_field (&h, "Server-Load", load);
  wy_response_parse_head (200, &h, &info);
  wy_h1_head_clear (&h);
  return info;
}

/* Some replicas report a fourth figure with their load.  One without it, or
   with one that can't be read, must not lose the other three.  */
Test (wire, reported_load)
{
  static const struct
  {
    const char *text;
    uint32_t percent;
  } loads[] = { { "5,2,6", 0 },
                { "5,2,6,130", 130 },
                { "5,2,6,", 0 },
                { "5,2,6,-1", 0 },
                { "5,2,6,1x", 0 },
                { "5,2,6,80,1", 80 },
                { "5,2,6,99999999999", 0 } };

  for (size_t k = 0; k < G_N_ELEMENTS (loads); k++)
    {
      struct wy_response_info info = parse_load (loads[k].text);

      cr_expect (info.has_load && info.running == 5 && info.waiting == 2
                     && info.slots == 6,
                 "%s", loads[k].text);
      cr_expect_eq (info.percent, loads[k].percent, "%s", loads[k].text);
    }
  cr_expect_not (parse_load ("5,2").has_load);
}

/* Hop-by-hop fields are not forwarded, and the entry's fields replace the
   caller's, so that a caller cannot choose the replica.  */
Test (wire, forwarded_header_fields)
{
  struct wy_h1_head h;
  struct wy_forward_info f
      = { .replica = "i-1", .time_left_ms = 40, .after_event = -1 };
  GArray *out = g_array_new (FALSE, FALSE, sizeof (struct wy_h1_header));
  GString *text = g_string_new (NULL);

  wy_h1_head_init (&h);
  wy_h1_head_append_url (&h, "/x", 2);
  append_field (&h, "Host", "h");
  append_field (&h, "Attempt-Id", "a");
  append_field (&h, "Connection", "keep-alive");
  append_field (&h, "Transfer-Encoding", "chunked");
  append_field (&h, "target-instance", "i-9");
  append_field (&h, "Deadline-Milliseconds", "900");
  append_field (&h, "X-Own", "1");
  wy_request_forward_fields (&h, &f, out);
  wy_h1_write_fields (text, (const struct wy_h1_header *)out->data, out->len);
  cr_expect_str_eq (text->str, "Host: h\r\nAttempt-Id: a\r\nX-Own: 1\r\n"
                               "Target-Instance: i-1\r\n"
                               "Deadline-Milliseconds: 40\r\n");
  g_string_free (text, TRUE);
  g_array_free (out, TRUE);
  wy_h1_head_clear (&h);
}

/* The outcome of a store call by its response: done, not done, unknown.  */
Test (wire, store_responses)
{
  static const struct
  {
    const char *body;
    int status;
    int err;
  } rows[] = {
    { "{\"rows\":[],\"rowVersion\":3,\"nowMs\":9}", 200, 0 },
    { "garbage", 200, WY_ROWS_EMALFORMED },
    { "{\"rows\":[]}", 412, WY_ROWS_ECONFLICT },
    { "", 410, WY_ROWS_ECOMPACTED },
    { "", 429, WY_ROWS_EREFUSED },
    { "", 503, WY_ROWS_EREFUSED },
    { "", 403, WY_ROWS_EREFUSED },
    { "", 504, WY_ROWS_EUNKNOWN },
    { "", 507, WY_ROWS_EFULL },
  };

  for (size_t i = 0; i < sizeof rows / sizeof *rows; i++)
    {
      struct wy_rows_result r = { 0 };
      struct wy_store_response *response
          = wy_store_decode_response (WY_STORE_TX, rows[i].status,
                                      rows[i].body, strlen (rows[i].body), &r);

      cr_expect_eq (r.err, rows[i].err, "row %zu: %d", i, r.err);
      wy_store_response_free (response);
    }
}

/* One invalid row must not hide the others.  */
Test (wire, invalid_row_is_skipped)
{
  static const char body[]
      = "{\"rows\":[{\"key\":\"a\",\"value\":\"MQ==\",\"rowVersion\":1},"
        "{\"value\":1},7,{\"key\":\"b\",\"value\":\"!!\",\"rowVersion\":2}],"
        "\"morePages\":false,\"rowVersion\":2,\"nowMs\":1}";
  struct wy_rows_result r = { 0 };
  struct wy_store_response *response
      = wy_store_decode_response (WY_STORE_GET, 200, body, strlen (body), &r);

  cr_expect_eq (r.n, 2);
  cr_expect_str_eq (r.rows[0].key, "a");
  cr_expect_eq (memcmp (r.rows[0].value, "1", 1), 0);
  cr_expect_str_eq (r.rows[1].key, "b");
  wy_store_response_free (response);
}
