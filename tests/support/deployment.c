/* A small deployment of real programs: table, instance list, three engines,
   three services, their agents, and two entries.  */
#include "deployment.h"

#include <criterion/criterion.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/clock.h"

enum
{
  READY_MAX_MS = 20000,
  POLL_MS = 20,
  HLC_COUNTER_BITS = 16
};

static void
driver_event (struct test_deployment *d, const char *event, const char *fields)
{
  int64_t now_ms = wy_clock_wall_ms (wy_clock_system ());

  g_string_append_printf (
      d->driver,
      "{\"hlc\":%lld,\"proc\":\"driver\",\"inc\":\"d\",\"seq\":%u,"
      "\"ev\":\"%s\"%s}\n",
      (long long)now_ms << HLC_COUNTER_BITS, ++d->driver_seq, event, fields);
}

/* Hard links keep the timelines when the files of a program are removed.  */
static void
keep_timeline (struct test_deployment *d, int program)
{
  char *path = g_strdup_printf ("%s/%u.jsonl", d->dir, d->n_timelines++);

  cr_assert_eq (link (d->proc[program].timeline, path), 0);
  g_free (path);
}

static void
start_program (struct test_deployment *d, int program, const char *name,
               const char *kind, char *settings)
{
  cr_assert_eq (wy_proc_start (&d->proc[program], name, kind, settings), 0,
                "%s", settings);
  d->running[program] = true;
  if (kind == NULL || strcmp (kind, "table") != 0)
    keep_timeline (d, program);
  g_free (settings);
}

static void
start_service_agent (struct test_deployment *d, int i)
{
  start_program (
      d, DEPLOYMENT_SERVICE_AGENT + i, "wyagentd", NULL,
      g_strdup_printf (
          "name: portal-%d\navailability_zone: z%d\nkey_1: 1:k\n"
          "target_kind: service\ntarget_name: portal\ntarget_port: %u\n"
          "orphan_grace_ms: 500\nlog_level: error\n",
          i, i, wy_proc_port (&d->proc[DEPLOYMENT_SERVICE + i], "http")));
}

static void
start_targets (struct test_deployment *d)
{
  for (int i = 0; i < DEPLOYMENT_TARGETS; i++)
    {
      start_program (
          d, DEPLOYMENT_ENGINE + i, "wystandin", "engine",
          g_strdup_printf ("name: engine-%d\nmodel: m\ntoken_base_us: 2000\n",
                           i));
      start_program (d, DEPLOYMENT_SERVICE + i, "wystandin", "service",
                     g_strdup_printf ("name: service-%d\n", i));
      start_program (
          d, DEPLOYMENT_MODEL_AGENT + i, "wyagentd", NULL,
          g_strdup_printf (
              "name: model-%d\navailability_zone: z%d\nkey_1: 1:k\n"
              "target_kind: model\ntarget_name: m\ntarget_port: %u\n"
              "orphan_grace_ms: 500\nlog_level: error\n",
              i, i, wy_proc_port (&d->proc[DEPLOYMENT_ENGINE + i], "http")));
      start_service_agent (d, i);
    }
}

static void
post (uint16_t port, const char *path, const char *body)
{
  int status;
  char *text = wy_fetch_text (port, "POST", path, body, NULL, &status);

  cr_assert_eq (status, 200, "%s: %d %s", path, status, text);
  g_free (text);
}

static void
publish_instances (struct test_deployment *d)
{
  GString *s = g_string_new ("{\"instances\":[");

  for (int i = 0; i < 2 * DEPLOYMENT_TARGETS; i++)
    g_string_append_printf (
        s,
        "%s{\"id\":\"%s-%d\",\"role\":\"agent\",\"host\":\"127.0.0.1\","
        "\"port\":%u,\"availability_zone\":\"z%d\",\"region\":\"r\","
        "\"state\":\"live\",\"serves\":\"%s\",\"kind\":\"%s\"}",
        i ? "," : "", i < DEPLOYMENT_TARGETS ? "model" : "portal",
        i % DEPLOYMENT_TARGETS,
        wy_proc_port (&d->proc[DEPLOYMENT_MODEL_AGENT + i], "inner"),
        i % DEPLOYMENT_TARGETS, i < DEPLOYMENT_TARGETS ? "m" : "portal",
        i < DEPLOYMENT_TARGETS ? "model" : "service");
  g_string_append (s, "]}");
  post (d->list, "/control/instances", s->str);
  g_string_free (s, TRUE);
}

/* Restart the agent of service I after a kill.  */
void
deployment_restart_agent (struct test_deployment *d, int i)
{
  start_service_agent (d, i);
  publish_instances (d);
}

/* Start entry I, also after a kill.  */
void
deployment_start_entry (struct test_deployment *d, uint32_t i)
{
  start_program (
      d, DEPLOYMENT_ENTRY + (int)i, "wyentryd", NULL,
      g_strdup_printf (
          "name: entry-%u\navailability_zone: z0\nkey_1: 1:k\n"
          "table: 127.0.0.1:%u\nobjects: 127.0.0.1:%u\n"
          "list: 127.0.0.1:%u\noperator_token: op\nlog_level: error\n%s",
          i, d->table, d->table, d->list,
          d->entry_settings ? d->entry_settings : ""));
  d->entry[i] = wy_proc_port (&d->proc[DEPLOYMENT_ENTRY + i], "http");
}

static bool
all_targets_up (const struct test_deployment *d, uint32_t i)
{
  static const struct wy_http_header_field operator[] = {
    { "authorization", "Bearer op" }, { NULL, NULL }
  };
  int status;
  char *text = wy_fetch_text (d->entry[i], "GET", "/v1/status",
                              "", operator, & status);
  int up = 0;

  for (const char *p = text; p && (p = strstr (p, "\"state\":\"up\"")); p++)
    up++;
  g_free (text);
  return up == 2 * DEPLOYMENT_TARGETS;
}

/* Wait until entry I is ready and reports all targets as up.  */
void
deployment_wait_ready (struct test_deployment *d, uint32_t i)
{
  int status = 0;

  for (int ms = 0; status != 200 || !all_targets_up (d, i); ms += POLL_MS)
    {
      cr_assert_lt (ms, READY_MAX_MS, "entry %u is not ready: %d", i, status);
      wy_sleep_ms (POLL_MS);
      g_free (
          wy_fetch_text (d->entry[i], "GET", "/readyz", "", NULL, &status));
    }
}

/* Start all programs and wait until both entries are ready.  */
void
deployment_start (struct test_deployment *d)
{
  deployment_start_with (d, NULL);
}

/* The same with further lines ENTRY_SETTINGS in the settings of the entries;
   NULL: none.  */
void
deployment_start_with (struct test_deployment *d, const char *entry_settings)
{
  static const char document[]
      = "{\"conditions\":[],\"writes\":[{\"key\":\"config/current\","
        "\"value\":{\"revision\":1,\"digest\":\"d\",\"op\":\"o\","
        "\"document\":{\"models\":[{\"name\":\"m\"}],\"services\":[{"
        "\"name\":\"portal\",\"members\":[\"portal-0\",\"portal-1\","
        "\"portal-2\"],\"previous\":[],\"effective_ms\":0}],\"yards\":[],"
        "\"drained\":[],\"unblocked\":[]}}}]}";

  memset (d, 0, sizeof *d);
  d->entry_settings = entry_settings;
  d->dir = g_dir_make_tmp ("wy-yard-XXXXXX", NULL);
  d->driver = g_string_new (NULL);
  driver_event (d, "process.start",
                ",\"role\":\"driver\",\"availability_zone\":\"z0\"");
  start_program (d, DEPLOYMENT_TABLE, "wystandin", "table",
                 g_strdup ("name: table"));
  start_program (d, DEPLOYMENT_LIST, "wystandin", "list",
                 g_strdup ("name: list\nlag_ms: 50\n"));
  d->table = wy_proc_port (&d->proc[DEPLOYMENT_TABLE], "http");
  d->list = wy_proc_port (&d->proc[DEPLOYMENT_LIST], "http");
  start_targets (d);
  publish_instances (d);
  post (d->table, "/txn", document);
  driver_event (d, "config.accepted", ",\"revision\":1,\"digest\":\"given\"");
  for (uint32_t i = 0; i < DEPLOYMENT_ENTRIES; i++)
    deployment_start_entry (d, i);
  for (uint32_t i = 0; i < DEPLOYMENT_ENTRIES; i++)
    deployment_wait_ready (d, i);
}

static const char *
process_name (int program, char *buf, size_t n)
{
  const char *kind = "engine";
  int first = DEPLOYMENT_ENGINE;

  if (program >= DEPLOYMENT_ENTRY)
    {
      kind = "entry";
      first = DEPLOYMENT_ENTRY;
    }
  else if (program >= DEPLOYMENT_SERVICE_AGENT)
    {
      kind = "portal";
      first = DEPLOYMENT_SERVICE_AGENT;
    }
  else if (program >= DEPLOYMENT_MODEL_AGENT)
    {
      kind = "model";
      first = DEPLOYMENT_MODEL_AGENT;
    }
  g_snprintf (buf, n, "%s-%d", kind, program - first);
  return buf;
}

/* Record in the driver's timeline that PROGRAM ended unplanned.  */
static void
record_crash (struct test_deployment *d, int program)
{
  char name[16];
  char fields[64];

  g_snprintf (fields, sizeof fields, ",\"kind\":\"kill\",\"target\":\"%s\"",
              process_name (program, name, sizeof name));
  driver_event (d, "fault.injected", fields);
}

/* Kill PROGRAM with SIGKILL.  */
void
deployment_kill (struct test_deployment *d, int program)
{
  record_crash (d, program);
  wy_proc_kill (&d->proc[program], SIGKILL);
  wy_proc_wait (&d->proc[program]);
  d->running[program] = false;
}

/* Inject into PROGRAM, a stand-in, the fault described by the JSON text
   FAULT.  */
void
deployment_inject_fault (const struct test_deployment *d, int program,
                         const char *fault)
{
  post (wy_proc_port (&d->proc[program], "http"), "/fault", fault);
}

static void
stop_program (struct test_deployment *d, int program)
{
  int rc;

  if (!d->running[program])
    return;
  wy_proc_kill (&d->proc[program], SIGTERM);
  rc = wy_proc_wait (&d->proc[program]);
  /* Exit code of a stand-in after an injected crash.  */
  if (rc == 86)
    record_crash (d, program);
  else
    cr_assert_eq (rc, 0, "program %d: %d", program, rc);
}

/* Stop all programs, entries first, and check the invariants on their
   timelines.  */
void
deployment_stop_and_check (struct test_deployment *d)
{
  const char *bin = getenv ("WY_BIN");
  char *command;
  char *path = g_build_filename (d->dir, "driver.jsonl", NULL);

  for (int i = DEPLOYMENT_PROGRAMS - 1; i >= 0; i--)
    stop_program (d, i);
  driver_event (d, "process.stop", ",\"cut\":0");
  g_file_set_contents (path, d->driver->str, (gssize)d->driver->len, NULL);
  command = g_strdup_printf ("%s/wyctl check %s/*.jsonl && rm -r %s",
                             bin ? bin : "build/bin", d->dir, d->dir);
  cr_assert_eq (system (command), 0, "%s", command); /* NOLINT(cert-env33-c) */
  g_free (command);
  g_free (path);
  g_free (d->dir);
  g_string_free (d->driver, TRUE);
}

/* POST BODY to PATH of ENTRY.  The caller frees the response.  */
char *
deployment_post (const struct test_deployment *d, uint32_t entry,
                 const char *path, const char *body,
                 const struct wy_http_header_field *headers, int *status)
{
  return wy_fetch_text (d->entry[entry], "POST", path, body, headers, status);
}

/* The number of events EVENT in the timeline of PROGRAM.  */
size_t
deployment_count_events (const struct test_deployment *d, int program,
                         const char *event)
{
  json_t *list = wy_proc_events (&d->proc[program], event);
  size_t n = json_array_size (list);

  json_decref (list);
  return n;
}
