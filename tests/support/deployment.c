/* A small yard of real programs: table, list, three engines, three services,
   their agents, two entries.  */
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
  STAMP_COUNTER_BITS = 16
};

static void
driver_event (struct test_deployment *y, const char *event, const char *fields)
{
  int64_t now_ms = wy_clock_wall_ms (wy_clock_system ());

  g_string_append_printf (
      y->driver,
      "{\"hlc\":%lld,\"proc\":\"driver\",\"inc\":\"d\",\"seq\":%u,"
      "\"ev\":\"%s\"%s}\n",
      (long long)now_ms << STAMP_COUNTER_BITS, ++y->driver_seq, event, fields);
}

/* A second name keeps the timeline when the program's files are removed.  */
static void
keep_timeline (struct test_deployment *y, int program)
{
  char *path = g_strdup_printf ("%s/%u.jsonl", y->dir, y->n_timelines++);

  cr_assert_eq (link (y->proc[program].timeline, path), 0);
  g_free (path);
}

static void
run (struct test_deployment *y, int program, const char *name,
     const char *kind, char *settings)
{
  cr_assert_eq (wy_proc_start (&y->proc[program], name, kind, settings), 0,
                "%s", settings);
  y->running[program] = true;
  if (kind == NULL || strcmp (kind, "table") != 0)
    keep_timeline (y, program);
  g_free (settings);
}

static void
start_service_agent (struct test_deployment *y, int i)
{
  run (y, DEPLOYMENT_SERVICE_AGENT + i, "wyagentd", NULL,
       g_strdup_printf (
           "name: portal-%d\navailability_zone: z%d\nkey_1: 1:k\n"
           "target_kind: service\ntarget_name: portal\ntarget_port: %u\n"
           "orphan_grace_ms: 500\nlog_level: error\n",
           i, i, wy_proc_port (&y->proc[DEPLOYMENT_SERVICE + i], "http")));
}

static void
start_targets (struct test_deployment *y)
{
  for (int i = 0; i < DEPLOYMENT_TARGETS; i++)
    {
      run (y, DEPLOYMENT_ENGINE + i, "wystandin", "engine",
           g_strdup_printf ("name: engine-%d\nmodel: m\ntoken_base_us: 2000\n",
                            i));
      run (y, DEPLOYMENT_SERVICE + i, "wystandin", "service",
           g_strdup_printf ("name: service-%d\n", i));
      run (y, DEPLOYMENT_MODEL_AGENT + i, "wyagentd", NULL,
           g_strdup_printf (
               "name: model-%d\navailability_zone: z%d\nkey_1: 1:k\n"
               "target_kind: model\ntarget_name: m\ntarget_port: %u\n"
               "orphan_grace_ms: 500\nlog_level: error\n",
               i, i, wy_proc_port (&y->proc[DEPLOYMENT_ENGINE + i], "http")));
      start_service_agent (y, i);
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
list_targets (struct test_deployment *y)
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
        wy_proc_port (&y->proc[DEPLOYMENT_MODEL_AGENT + i], "inner"),
        i % DEPLOYMENT_TARGETS, i < DEPLOYMENT_TARGETS ? "m" : "portal",
        i < DEPLOYMENT_TARGETS ? "model" : "service");
  g_string_append (s, "]}");
  post (y->list, "/control/instances", s->str);
  g_string_free (s, TRUE);
}

/* Start the agent of service I again, after it was killed.  */
void
deployment_restart_agent (struct test_deployment *y, int i)
{
  start_service_agent (y, i);
  list_targets (y);
}

/* Start entry I, again if it was killed.  */
void
deployment_start_entry (struct test_deployment *y, uint32_t i)
{
  run (y, DEPLOYMENT_ENTRY + (int)i, "wyentryd", NULL,
       g_strdup_printf (
           "name: entry-%u\navailability_zone: z0\nkey_1: 1:k\n"
           "table: 127.0.0.1:%u\nobjects: 127.0.0.1:%u\n"
           "list: 127.0.0.1:%u\noperator_token: op\nlog_level: error\n",
           i, y->table, y->table, y->list));
  y->entry[i] = wy_proc_port (&y->proc[DEPLOYMENT_ENTRY + i], "http");
}

static bool
all_up (const struct test_deployment *y, uint32_t i)
{
  static const struct wy_http_header_field operator[] = {
    { "authorization", "Bearer op" }, { NULL, NULL }
  };
  int status;
  char *text = wy_fetch_text (y->entry[i], "GET", "/v1/status",
                              "", operator, & status);
  int up = 0;

  for (const char *p = text; p && (p = strstr (p, "\"state\":\"up\"")); p++)
    up++;
  g_free (text);
  return up == 2 * DEPLOYMENT_TARGETS;
}

/* Wait until entry I is ready and sees all targets that are up.  */
void
deployment_wait_ready (struct test_deployment *y, uint32_t i)
{
  int status = 0;

  for (int ms = 0; status != 200 || !all_up (y, i); ms += POLL_MS)
    {
      cr_assert_lt (ms, READY_MAX_MS, "entry %u is not ready: %d", i, status);
      wy_sleep_ms (POLL_MS);
      g_free (
          wy_fetch_text (y->entry[i], "GET", "/readyz", "", NULL, &status));
    }
}

/* Start all and wait until both entries are ready.  */
void
deployment_start (struct test_deployment *y)
{
  static const char document[]
      = "{\"conditions\":[],\"writes\":[{\"key\":\"config/current\","
        "\"value\":{\"revision\":1,\"digest\":\"d\",\"op\":\"o\","
        "\"document\":{\"models\":[{\"name\":\"m\"}],\"services\":[{"
        "\"name\":\"portal\",\"members\":[\"portal-0\",\"portal-1\","
        "\"portal-2\"],\"previous\":[],\"effective_ms\":0}],\"yards\":[],"
        "\"drained\":[],\"unblocked\":[]}}}]}";

  memset (y, 0, sizeof *y);
  y->dir = g_dir_make_tmp ("wy-yard-XXXXXX", NULL);
  y->driver = g_string_new (NULL);
  driver_event (y, "process.start",
                ",\"role\":\"driver\",\"availability_zone\":\"z0\"");
  run (y, DEPLOYMENT_TABLE, "wystandin", "table", g_strdup ("name: table"));
  run (y, DEPLOYMENT_LIST, "wystandin", "list",
       g_strdup ("name: list\nlag_ms: 50\n"));
  y->table = wy_proc_port (&y->proc[DEPLOYMENT_TABLE], "http");
  y->list = wy_proc_port (&y->proc[DEPLOYMENT_LIST], "http");
  start_targets (y);
  list_targets (y);
  post (y->table, "/txn", document);
  driver_event (y, "config.accepted", ",\"revision\":1,\"digest\":\"given\"");
  for (uint32_t i = 0; i < DEPLOYMENT_ENTRIES; i++)
    deployment_start_entry (y, i);
  for (uint32_t i = 0; i < DEPLOYMENT_ENTRIES; i++)
    deployment_wait_ready (y, i);
}

static const char *
name_of (int program, char *buf, size_t n)
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

/* Note that PROGRAM dies unplanned.  */
static void
note_death (struct test_deployment *y, int program)
{
  char name[16];
  char fields[64];

  g_snprintf (fields, sizeof fields, ",\"kind\":\"kill\",\"target\":\"%s\"",
              name_of (program, name, sizeof name));
  driver_event (y, "fault.injected", fields);
}

/* Kill PROGRAM at once.  */
void
deployment_kill (struct test_deployment *y, int program)
{
  note_death (y, program);
  wy_proc_kill (&y->proc[program], SIGKILL);
  wy_proc_wait (&y->proc[program]);
  y->running[program] = false;
}

/* Give PROGRAM, a stand-in, the fault that the JSON text FAULT says.  */
void
deployment_inject_fault (const struct test_deployment *y, int program,
                         const char *fault)
{
  post (wy_proc_port (&y->proc[program], "http"), "/fault", fault);
}

static void
end_program (struct test_deployment *y, int program)
{
  int rc;

  if (!y->running[program])
    return;
  wy_proc_kill (&y->proc[program], SIGTERM);
  rc = wy_proc_wait (&y->proc[program]);
  /* The stand-in's code for a crash it was told to have.  */
  if (rc == 86)
    note_death (y, program);
  else
    cr_assert_eq (rc, 0, "program %d: %d", program, rc);
}

/* End all programs, entries first, and prove the promises from their
   timelines.  */
void
deployment_stop_and_check (struct test_deployment *y)
{
  const char *bin = getenv ("WY_BIN");
  char *command;
  char *path = g_build_filename (y->dir, "driver.jsonl", NULL);

  for (int i = DEPLOYMENT_PROGRAMS - 1; i >= 0; i--)
    end_program (y, i);
  driver_event (y, "process.stop", ",\"cut\":0");
  g_file_set_contents (path, y->driver->str, (gssize)y->driver->len, NULL);
  command = g_strdup_printf ("%s/wyctl check %s/*.jsonl && rm -r %s",
                             bin ? bin : "build/bin", y->dir, y->dir);
  cr_assert_eq (system (command), 0, "%s", command); /* NOLINT(cert-env33-c) */
  g_free (command);
  g_free (path);
  g_free (y->dir);
  g_string_free (y->driver, TRUE);
}

/* POST BODY to PATH of ENTRY.  */
char *
deployment_post (const struct test_deployment *y, uint32_t entry,
                 const char *path, const char *body,
                 const struct wy_http_header_field *headers, int *status)
{
  return wy_fetch_text (y->entry[entry], "POST", path, body, headers, status);
}

/* How many EVENTs PROGRAM has written.  */
size_t
deployment_count_events (const struct test_deployment *y, int program,
                         const char *event)
{
  json_t *list = wy_proc_events (&y->proc[program], event);
  size_t n = json_array_size (list);

  json_decref (list);
  return n;
}
