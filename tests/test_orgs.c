/* Organisations, their access keys, and authorization by them.  */
#include <criterion/criterion.h>
#include <string.h>

#include "platform/config_wire.h"
#include "platform/request_wire.h"

static void
read_fields (const char *const *values, size_t n, struct wy_request_info *out)
{
  static struct wy_h1_head h;

  wy_h1_head_init (&h);
  wy_h1_head_append_url (&h, "/x", 2);
  for (size_t i = 0; i < n; i++)
    {
      wy_h1_head_append_name (&h, "authorization", 13);
      wy_h1_head_append_value (&h, values[i], strlen (values[i]));
    }
  wy_request_parse_head (&h, out);
}

Test (orgs, credentials)
{
  static const struct
  {
    const char *values[2];
    size_t n;
    enum wy_credential credential;
    const char *key;
  } rows[] = {
    { { NULL }, 0, WY_CREDENTIAL_NONE, NULL },
    { { "Bearer k1" }, 1, WY_CREDENTIAL_KEY, "k1" },
    { { "bearer   k1" }, 1, WY_CREDENTIAL_KEY, "k1" },
    { { "Bearer " }, 1, WY_CREDENTIAL_MALFORMED, NULL },
    { { "Bearer" }, 1, WY_CREDENTIAL_MALFORMED, NULL },
    { { "Basic k1" }, 1, WY_CREDENTIAL_MALFORMED, NULL },
    { { "Bearer k1", "Bearer k1" }, 2, WY_CREDENTIAL_MULTIPLE, NULL },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct wy_request_info info;

      read_fields (rows[i].values, rows[i].n, &info);
      cr_expect_eq (info.credential, rows[i].credential, "row %zu", i);
      if (rows[i].key)
        cr_expect_str_eq (info.key, rows[i].key, "row %zu", i);
      else
        cr_expect_null (info.key, "row %zu", i);
    }
}

/* Each combination of key, route and configuration has one result.  */
Test (access, truth_table)
{
  enum key
  {
    NONE,
    MALFORMED,
    SEVERAL,
    UNKNOWN,
    KNOWN
  };
  static const struct
  {
    enum key key;
    enum wy_route_access route;
    enum wy_access fresh;
    enum wy_access stale;
  } rows[] = {
    { NONE, WY_ROUTE_ACCESS_PUBLIC, WY_ACCESS_ALLOW, WY_ACCESS_ALLOW },
    { MALFORMED, WY_ROUTE_ACCESS_PUBLIC, WY_ACCESS_ALLOW, WY_ACCESS_ALLOW },
    { SEVERAL, WY_ROUTE_ACCESS_PUBLIC, WY_ACCESS_ALLOW, WY_ACCESS_ALLOW },
    { UNKNOWN, WY_ROUTE_ACCESS_PUBLIC, WY_ACCESS_ALLOW, WY_ACCESS_ALLOW },
    { KNOWN, WY_ROUTE_ACCESS_PUBLIC, WY_ACCESS_ALLOW, WY_ACCESS_ALLOW },
    { NONE, WY_ROUTE_ACCESS_KEY_REQUIRED, WY_ACCESS_UNAUTHORIZED,
      WY_ACCESS_CONFIG_STALE },
    { MALFORMED, WY_ROUTE_ACCESS_KEY_REQUIRED, WY_ACCESS_UNAUTHORIZED,
      WY_ACCESS_CONFIG_STALE },
    { SEVERAL, WY_ROUTE_ACCESS_KEY_REQUIRED, WY_ACCESS_UNAUTHORIZED,
      WY_ACCESS_CONFIG_STALE },
    { UNKNOWN, WY_ROUTE_ACCESS_KEY_REQUIRED, WY_ACCESS_UNAUTHORIZED,
      WY_ACCESS_CONFIG_STALE },
    { KNOWN, WY_ROUTE_ACCESS_KEY_REQUIRED, WY_ACCESS_ALLOW, WY_ACCESS_ALLOW },
    { NONE, WY_ROUTE_ACCESS_UNKNOWN, WY_ACCESS_UNAUTHORIZED,
      WY_ACCESS_CONFIG_STALE },
    { MALFORMED, WY_ROUTE_ACCESS_UNKNOWN, WY_ACCESS_UNAUTHORIZED,
      WY_ACCESS_CONFIG_STALE },
    { SEVERAL, WY_ROUTE_ACCESS_UNKNOWN, WY_ACCESS_UNAUTHORIZED,
      WY_ACCESS_CONFIG_STALE },
    { UNKNOWN, WY_ROUTE_ACCESS_UNKNOWN, WY_ACCESS_UNAUTHORIZED,
      WY_ACCESS_CONFIG_STALE },
    { KNOWN, WY_ROUTE_ACCESS_UNKNOWN, WY_ACCESS_NO_ROUTE,
      WY_ACCESS_CONFIG_STALE },
  };
  struct wy_orgs *orgs = wy_orgs_new ();
  struct wy_org *acme = wy_orgs_add (orgs, "acme");

  wy_orgs_add_key (orgs, acme, "good");
  for (size_t i = 0; i < 2 * G_N_ELEMENTS (rows); i++)
    {
      bool fresh = i % 2 == 0;
      enum key key = rows[i / 2].key;
      struct wy_access_query q
          = { .orgs = orgs,
              .credential
              = key >= UNKNOWN ? WY_CREDENTIAL_KEY : (enum wy_credential)key,
              .key = key == KNOWN     ? "good"
                     : key == UNKNOWN ? "bad"
                                      : NULL,
              .route = rows[i / 2].route,
              .config_is_current = fresh };
      const struct wy_org *org;

      cr_expect_eq (wy_access_check (&q, &org),
                    fresh ? rows[i / 2].fresh : rows[i / 2].stale, "row %zu",
                    i / 2);
      cr_expect_eq (org, key == KNOWN ? acme : NULL, "row %zu", i / 2);
    }
  wy_orgs_free (orgs);
}

/* A deployment without organisations requires no key and ignores any sent.  */
Test (access, without_organisations)
{
  struct wy_access_query q = { .credential = WY_CREDENTIAL_KEY,
                               .key = "any",
                               .route = WY_ROUTE_ACCESS_KEY_REQUIRED };
  const struct wy_org *org;

  cr_expect_eq (wy_access_check (&q, &org), WY_ACCESS_ALLOW);
  cr_expect_null (org);
  q.route = WY_ROUTE_ACCESS_UNKNOWN;
  cr_expect_eq (wy_access_check (&q, &org), WY_ACCESS_CONFIG_STALE);
  q.config_is_current = true;
  cr_expect_eq (wy_access_check (&q, &org), WY_ACCESS_NO_ROUTE);
}

static struct wy_routing *
decode (const char *orgs)
{
  char *text = g_strdup_printf ("{\"version\":1,\"routes\":[],"
                                "\"services\":[]%s}",
                                orgs);
  const char *why;
  struct wy_routing *r = wy_config_decode (text, strlen (text), &why);

  g_free (text);
  return r;
}

Test (orgs, configuration)
{
  struct wy_routing *r = decode ("");
  const struct wy_org *org;

  cr_expect_null (r->orgs);
  wy_routing_free (r);
  r = decode (",\"tenants\":[]");
  cr_expect_not_null (r->orgs);
  cr_expect_eq (wy_orgs_key_count (r->orgs), 0);
  wy_routing_free (r);
  r = decode (",\"tenants\":[{\"name\":\"a\",\"accessKeys\":[\"k1\",\"k2\"],"
              "\"priority\":1},{\"name\":\"b\",\"accessKeys\":[\"k3\",7]},"
              "{\"accessKeys\":[\"k4\"]},"
              "{\"name\":\"x\\r\\nOther: 1\",\"accessKeys\":[\"k4\"]}]");
  cr_expect_eq (wy_orgs_count (r->orgs), 2);
  cr_expect_eq (wy_orgs_key_count (r->orgs), 3);
  org = wy_orgs_find_key (r->orgs, "k2");
  cr_expect_str_eq (org->name, "a");
  cr_expect_eq (org->priority, 1);
  org = wy_orgs_find_key (r->orgs, "k3");
  cr_expect_str_eq (org->name, "b");
  cr_expect_eq (org->priority, UINT32_MAX);
  cr_expect_null (wy_orgs_find_key (r->orgs, "k4"));
  cr_expect_null (wy_orgs_find_key (r->orgs, "k"));
  wy_routing_free (r);
}

/* Guards against a caller that chooses its organisation by a header field, and
   against its key being forwarded to a replica.  */
Test (orgs, forwarded_fields)
{
  struct wy_h1_header own[] = { { "tenant", "victim" },
                                { "authorization", "Bearer secret" },
                                { "X-Own", "1" } };
  struct wy_forward_info f = { .time_left_ms = -1,
                               .after_event = -1,
                               .has_orgs = true,
                               .organisation = "acme" };
  GArray *out = g_array_new (FALSE, FALSE, sizeof (struct wy_h1_header));
  GString *text = g_string_new (NULL);

  wy_request_item_fields (own, G_N_ELEMENTS (own), &f, out);
  wy_h1_write_fields (text, (const struct wy_h1_header *)out->data, out->len);
  cr_expect_str_eq (text->str, "X-Own: 1\r\nTenant: acme\r\n");
  f.organisation = NULL;
  g_array_set_size (out, 0);
  g_string_truncate (text, 0);
  wy_request_item_fields (own, G_N_ELEMENTS (own), &f, out);
  wy_h1_write_fields (text, (const struct wy_h1_header *)out->data, out->len);
  cr_expect_str_eq (text->str, "X-Own: 1\r\n");
  g_string_free (text, TRUE);
  g_array_free (out, TRUE);
}
