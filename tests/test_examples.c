/* The example settings and documents must load with the tables of the
   programs, so that they stay up to date.  */
#include <criterion/criterion.h>
#include <string.h>

#include "agent/settings.h"
#include "config/document.h"
#include "config/template.h"
#include "entry/settings.h"
#include "gate/settings.h"
#include "orders/settings.h"

static void
load (const char *path, const struct wy_setting *table, size_t n, void *out)
{
  GString *errors = g_string_new (NULL);

  cr_assert_eq (wy_settings_load (path, table, n, out, errors), 0, "%s",
                errors->str);
  g_string_free (errors, TRUE);
}

static struct wy_document *
load_document (const char *path)
{
  GString *errors = g_string_new (NULL);
  struct wy_document *d;
  char *text;
  gsize size;

  cr_assert (g_file_get_contents (path, &text, &size, NULL), "%s", path);
  cr_assert_eq (wy_document_parse_text (&d, text, size, errors), 0, "%s",
                errors->str);
  g_free (text);
  g_string_free (errors, TRUE);
  return d;
}

/* The target of the agent's example must be in the document.  */
static void
check_agent (const char *path, const struct wy_document *d)
{
  struct wy_agent_settings a = { 0 };

  load (path, wy_agent_settings_table, WY_AGENT_SETTINGS_COUNT, &a);
  cr_assert (wy_document_service (d, a.target_name)
             || wy_document_model (d, a.target_name));
  wy_settings_free (wy_agent_settings_table, WY_AGENT_SETTINGS_COUNT, &a);
}

static void
check_deployment (const char *dir, const char *service_agent, const char *yard,
                  enum wy_yard_weighs weighs)
{
  struct wy_entry_settings e = { 0 };
  char *path = g_build_filename (dir, "document.json", NULL);
  struct wy_document *d = load_document (path);
  const struct wy_yard_config *y = wy_document_yard (d, yard);

  cr_assert_not_null (y);
  cr_assert_eq (y->weighs, weighs);
  cr_assert_not_null (wy_document_model (d, y->model));
  g_free (path);
  path = g_build_filename (dir, "wyentryd.yaml", NULL);
  load (path, wy_entry_settings_table, wy_entry_settings_count, &e);
  cr_assert_gt (e.default_deadline_ms, 0);
  wy_settings_free (wy_entry_settings_table, wy_entry_settings_count, &e);
  g_free (path);
  path = g_build_filename (dir, "wyagentd-engine.yaml", NULL);
  check_agent (path, d);
  g_free (path);
  path = g_build_filename (dir, service_agent, NULL);
  check_agent (path, d);
  g_free (path);
  wy_document_free (d);
}

Test (examples, claims_survey)
{
  check_deployment ("examples/claims-survey", "wyagentd-portal.yaml",
                    "claims-survey", WY_WEIGHS_STALENESS);
}

Test (examples, carde_review)
{
  check_deployment ("examples/carde-review", "wyagentd-desk.yaml",
                    "carde-overdraft-review", WY_WEIGHS_IDLE);
}

static bool
template_is_valid (const char *path, const char *text,
                   const struct wy_setting *table, size_t n, void *out,
                   GString *errors)
{
  char *sample = wy_template_fill_samples (path, text, table, n, errors);
  bool valid = sample
               && !wy_settings_parse (path, sample, strlen (sample), table, n,
                                      out, errors);

  g_free (sample);
  return valid;
}

static void
check_template (const char *path, const struct wy_setting *table, size_t n,
                void *out)
{
  GString *errors = g_string_new (NULL);
  char *text = NULL;

  cr_assert (g_file_get_contents (path, &text, NULL, NULL), "%s", path);
  cr_expect (template_is_valid (path, text, table, n, out, errors), "%s",
             errors->str);
  g_free (text);
  g_string_free (errors, TRUE);
}

/* The templates in deploy/ must fit the tables of the programs.  */
Test (examples, deployed_templates_are_valid)
{
  static struct wy_gate_settings gate;
  static struct wy_orders_settings orders;

  check_template ("deploy/gate.yaml", wy_gate_settings_table,
                  wy_gate_settings_count, &gate);
  check_template ("deploy/orderer.yaml", wy_orders_settings_table,
                  wy_orders_settings_count, &orders);
}

/* With a faulty template deployed, none of hundreds of machines would start.
   The check before deployment must find each error and name its line.  */
Test (examples, template_errors)
{
  static const struct
  {
    const char *text;
    const char *error;
  } rows[] = {
    { "name: \"{{node}\"\n", "t:1: name: placeholder not closed" },
    { "name: \"{{}}\"\n", "t:1: name: placeholder not closed" },
    { "seeds: [{{#seeds}}\"{{.}}\"]\n", "t:1: seeds: placeholder not closed" },
    { "seeds: [\"{{.}}\"{{/seeds}}]\n", "t:1: seeds: placeholder not closed" },
    { "name: \"{{node}}\"\nspeed: {{x}}\n", "t:2: speed: unknown key" },
    { "name: \"{{node}}\"\ngrace_s: fast\n", "t:2: grace_s: invalid value" },
    { "name: \"{{node}}\"\n", "callers_address: missing" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct wy_gate_settings gate = { 0 };
      GString *errors = g_string_new (NULL);

      cr_expect_not (
          template_is_valid ("t", rows[i].text, wy_gate_settings_table,
                             wy_gate_settings_count, &gate, errors));
      cr_expect_not_null (strstr (errors->str, rows[i].error), "%s: %s",
                          rows[i].text, errors->str);
      wy_settings_free (wy_gate_settings_table, wy_gate_settings_count, &gate);
      g_string_free (errors, TRUE);
    }
}
