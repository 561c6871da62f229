/* Stand-in of a complete platform in one process, for the demo and for tests
   with random faults.  The entries of the service run as other processes,
   which the scripts kill.  */
#include "standin/platform.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/id.h"
#include "standin/kinds.h"

struct settings
{
  struct wy_standin_settings common;
  GPtrArray *gates;
  int64_t seconds;
  int64_t chance_s;
  int64_t step_limit_s;
  int64_t crash_s;
  GPtrArray *addresses;
  char *report;
};

static const struct wy_setting table[] = {
  { "gates", WY_SETTING_LIST, offsetof (struct settings, gates), NULL, 0, 0,
    NULL, "host:port", "callers' addresses of the entries" },
  { "seconds", WY_SETTING_INTEGER, offsetof (struct settings, seconds), "15",
    1, 3600, NULL, "s", "how long callers and trainer go on" },
  { "chance_s", WY_SETTING_INTEGER, offsetof (struct settings, chance_s), "0",
    0, 86400, NULL, "s",
    "how long faults come by chance, from the seed; 0: a fixed course" },
  { "step_limit_s", WY_SETTING_INTEGER,
    offsetof (struct settings, step_limit_s), "12", 1, 3600, NULL, "s",
    "a step without all its results by then is lost" },
  { "crash_s", WY_SETTING_INTEGER, offsetof (struct settings, crash_s), "0", 0,
    3600, NULL, "s",
    "for how long a request that crashes replicas is sent at the end" },
  { "addresses", WY_SETTING_LIST, offsetof (struct settings, addresses), NULL,
    0, 0, NULL, "host:port",
    "where engines, then desks, are listed; empty: where they listen" },
  { "report", WY_SETTING_STRING, offsetof (struct settings, report), "", 0, 0,
    NULL, NULL, "file of the report; written at the end" },
};

enum
{
  UPDATE_MS = 400,
  /* From a crash until the row lapses; in the crash phase as long as three
     heartbeats of a real platform.  */
  LAPSE_MS = 3 * UPDATE_MS,
  LAPSE_LATE_MS = 3600,
  /* Time to recover after the last random fault.  */
  RECOVERY_MS = 4000,
  EVENT_MS = 15,
  LOAD_MS = 150,
  CALL_IDLE_MS = 5000,
  CALL_CONNECT_MS = 500
};

static struct wy_platform platform;
static uv_timer_t update_timer;
static uint64_t started_at_ms;

/* Record the violation of a guarantee, formatted as by printf.  */
void
wy_platform_violation (struct wy_platform *p, const char *fmt, ...)
{
  va_list ap;

  va_start (ap, fmt);
  g_ptr_array_add (p->stats.violations, g_strdup_vprintf (fmt, ap));
  va_end (ap);
}

/* Format the digest of the N bytes at P as the timeline does.  */
void
wy_platform_digest (const char *p, size_t n,
                    char out[WY_PLATFORM_DIGEST_SIZE_BYTES])
{
  snprintf (out, WY_PLATFORM_DIGEST_SIZE_BYTES, "%016llx",
            (unsigned long long)wy_hash64 (p, n, 0));
}

/* Announce VERSION of the model, as a trainer does.  */
void
wy_platform_announce_version (struct wy_platform *p, int64_t version)
{
  char value[128];

  snprintf (value, sizeof value, "{\"model\":\"%s\",\"version\":%lld}",
            WY_PLATFORM_MODEL, (long long)version);
  wy_platform_store_put (p->store, "op", "", "version/" WY_PLATFORM_MODEL,
                         value);
}

static void
write_replica_row (struct wy_platform *p, const struct wy_platform_replica *r,
                   const char *service, const char *id, const char *address)
{
  char *value = wy_platform_replica_row_value (r, service, "ready", address);

  wy_platform_store_put (p->store, "servers", "", id, value);
  g_free (value);
}

/* Return the address under which replica I is listed, or NULL for the one it
   listens on.  */
static const char *
listed_address (const struct wy_platform *p, int i)
{
  const struct settings *s = p->standin->settings;

  /* A proxy would accept connections to a desk that is down.  */
  if (p->in_crash_phase && i >= WY_PLATFORM_ENGINES)
    return NULL;
  return (guint)i < s->addresses->len ? g_ptr_array_index (s->addresses, i)
                                      : NULL;
}

static void
on_desk_crash (void *ctx, struct wy_platform_replica *r)
{
  struct wy_platform *p = ctx;
  struct wy_platform_lapse *l = p->lapses;

  for (int i = 0; i < WY_PLATFORM_DESKS && p->desks[i] != r; i++)
    l++;
  g_strlcpy (l->id, wy_platform_replica_id (r), sizeof l->id);
  l->due_ms = uv_now (p->standin->loop)
              + (p->in_crash_phase ? LAPSE_LATE_MS : LAPSE_MS);
}

/* Remove the rows of desks that crashed a while ago and have not returned
   under their ids.  */
static void
remove_lapsed_rows (struct wy_platform *p)
{
  for (int i = 0; i < WY_PLATFORM_DESKS; i++)
    {
      struct wy_platform_lapse *l = &p->lapses[i];

      if (!*l->id || uv_now (p->standin->loop) < l->due_ms)
        continue;
      if (wy_platform_replica_is_down (p->desks[i])
          || strcmp (l->id, wy_platform_replica_id (p->desks[i])) != 0)
        wy_platform_store_delete (p->store, "servers", "", l->id);
      *l->id = '\0';
    }
}

static void
write_replica_rows (struct wy_platform *p)
{
  char id[32];

  for (int i = 0; i < WY_PLATFORM_ENGINES; i++)
    {
      snprintf (id, sizeof id, "engine-%d", i);
      write_replica_row (p, p->engines[i], "engines", id,
                         listed_address (p, i));
    }
  for (int i = 0; i < WY_PLATFORM_DESKS; i++)
    {
      if (wy_platform_replica_is_down (p->desks[i]))
        continue;
      write_replica_row (p, p->desks[i], "desks",
                         wy_platform_replica_id (p->desks[i]),
                         listed_address (p, WY_PLATFORM_ENGINES + i));
    }
  for (int i = 0; i < WY_PLATFORM_TALKERS; i++)
    write_replica_row (
        p, p->streams.replicas[i], "talkers",
        wy_platform_replica_id (p->streams.replicas[i]),
        listed_address (p, WY_PLATFORM_ENGINES + WY_PLATFORM_DESKS + i));
}

static int
write_report (const struct wy_platform *p)
{
  const struct settings *s = p->standin->settings;
  const struct wy_platform_stats *stats = &p->stats;
  json_t *list = json_array ();
  json_t *doc;
  int err = 0;

  for (guint i = 0; i < stats->violations->len; i++)
    json_array_append_new (
        list, json_string (g_ptr_array_index (stats->violations, i)));
  doc = json_pack (
      "{s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, "
      "s:i, s:i, s:o}",
      "usage_windows", (int)wy_platform_duties_window_count (p->duties),
      "calm_sent", (int)stats->sent_after_faults, "calm_answered",
      (int)stats->answered_after_faults, "sent", (int)stats->sent, "answered",
      (int)stats->answered, "refused", (int)stats->rejected, "failed",
      (int)stats->failed, "retries", (int)stats->retries, "steps",
      (int)stats->steps, "results", (int)stats->results, "streams",
      (int)p->streams.sent, "streams_complete", (int)p->streams.complete,
      "streams_resumed", (int)p->streams.resumed, "calm_streams",
      (int)p->streams.calm_sent, "calm_streams_complete",
      (int)p->streams.calm_complete, "once", (int)p->streams.once_sent,
      "violations", list);
  if (*s->report)
    err = json_dump_file (doc, s->report, JSON_INDENT (2));
  json_decref (doc);
  return err;
}

static void
on_update_timer (uv_timer_t *t)
{
  struct wy_platform *p = t->data;
  const struct settings *s = p->standin->settings;
  uint64_t age_ms = uv_now (t->loop) - started_at_ms;

  write_replica_rows (p);
  remove_lapsed_rows (p);
  wy_platform_update_faults (p, age_ms);
  p->faults_over
      = p->random_faults_ms && age_ms >= p->random_faults_ms + RECOVERY_MS;
  if (p->random_faults_ms && age_ms >= p->random_faults_ms)
    wy_platform_operator_stop_changes (p);
  if (s->crash_s && !p->in_crash_phase
      && age_ms >= (uint64_t)s->seconds * WY_MS_PER_S)
    wy_platform_crasher_begin_phase (p);
  if (!p->ending
      && age_ms >= (uint64_t)(s->seconds + s->crash_s) * WY_MS_PER_S)
    p->ending = true; /* the trainer ends its step, then checks all steps */
}

static int
write_ports (struct wy_platform *p)
{
  char *path = g_strconcat (p->standin->common->ports_file, ".platform", NULL);
  GString *text = g_string_new (NULL);
  gboolean ok;

  g_string_append_printf (text, "store %u\n",
                          wy_platform_store_port (p->store));
  g_string_append_printf (text, "duties %u\n",
                          wy_platform_duties_port (p->duties));
  for (int i = 0; i < WY_PLATFORM_DESKS; i++)
    g_string_append_printf (text, "desk-%d %u\n", i,
                            wy_platform_replica_port (p->desks[i]));
  for (int i = 0; i < WY_PLATFORM_ENGINES; i++)
    g_string_append_printf (text, "engine-%d %u\n", i,
                            wy_platform_replica_port (p->engines[i]));
  for (int i = 0; i < WY_PLATFORM_TALKERS; i++)
    g_string_append_printf (text, "talker-%d %u\n", i,
                            wy_platform_replica_port (p->streams.replicas[i]));
  ok = g_file_set_contents (path, text->str, (gssize)text->len, NULL);
  g_string_free (text, TRUE);
  g_free (path);
  return ok ? 0 : -1;
}

static void
on_run (void *ctx, const char *replica, const char *request, const char *body,
        size_t n)
{
  struct wy_platform *p = ctx;
  char digest[WY_PLATFORM_DIGEST_SIZE_BYTES];

  if (wy_platform_is_crashing (body, n))
    wy_platform_crasher_ran (p, request, replica, body, n);
  wy_platform_streams_ran (p, request);
  wy_platform_digest (body, n, digest);
  wy_trace_event (p->standin->trace, "replica.ran", "{s:s, s:s, s:s}", "req",
                  request, "replica", replica, "digest", digest);
}

/* Check that requests run for the callers' organisation and items for the
   trainer's, and that no access key reaches a replica.  */
static void
on_caller (void *ctx, const char *request, const char *organisation,
           const char *key)
{
  struct wy_platform *p = ctx;
  bool is_caller = g_str_has_prefix (request, WY_PLATFORM_CALL_ID)
                   || g_str_has_prefix (request, WY_PLATFORM_PROBE_ID)
                   || g_str_has_prefix (request, WY_PLATFORM_ONCE_ID);

  if (key)
    wy_platform_violation (p, "%s: the replica received the access key",
                           request);
  if (!organisation
      || strcmp (organisation,
                 is_caller ? WY_PLATFORM_OFFICE : WY_PLATFORM_BANK)
             != 0)
    wy_platform_violation (p, "%s ran for organisation \"%s\"", request,
                           organisation ? organisation : "");
}

static void
on_stream_end (void *ctx, const char *replica, const char *request)
{
  const struct wy_platform *p = ctx;

  wy_trace_event (p->standin->trace, "text.whole", "{s:s, s:s}", "item",
                  request, "replica", replica);
}

static void
on_response (void *ctx, const char *replica, const char *request, int status,
             const char *stamp)
{
  const struct wy_platform *p = ctx;

  wy_trace_event (p->standin->trace, "replica.answered",
                  "{s:s, s:s, s:i, s:s}", "req", request, "replica", replica,
                  "status", status, "mark", stamp);
}

static struct wy_platform_replica *
new_replica (struct wy_platform *p, const char *id, const char *model)
{
  struct wy_platform_replica_options o = { .loop = p->standin->loop,
                                           .on_run = on_run,
                                           .on_caller = on_caller,
                                           .on_stream_end = on_stream_end,
                                           .on_response = on_response,
                                           .on_crash = on_desk_crash,
                                           .ctx = p,
                                           .id = g_strdup (id),
                                           .slots = WY_PLATFORM_SLOTS,
                                           .events = WY_PLATFORM_EVENTS,
                                           .event_ms = EVENT_MS,
                                           .model = model };
  struct wy_platform_replica *r = wy_platform_replica_new (&o);

  if (r)
    wy_platform_replica_faults (r)->order_load_ms = LOAD_MS;
  return r;
}

static bool
start_replicas (struct wy_platform *p)
{
  char id[32];
  bool ok = true;

  for (int i = 0; i < WY_PLATFORM_ENGINES; i++)
    {
      snprintf (id, sizeof id, "engine-%d", i);
      p->engines[i] = new_replica (p, id, WY_PLATFORM_MODEL);
      ok = ok && p->engines[i];
    }
  for (int i = 0; i < WY_PLATFORM_DESKS; i++)
    {
      snprintf (id, sizeof id, "desk-%d", i);
      p->desks[i] = new_replica (p, id, NULL);
      ok = ok && p->desks[i];
    }
  return ok && wy_platform_streams_open (p);
}

static void
read_gates (struct wy_platform *p, const struct settings *s)
{
  p->gates = g_array_new (FALSE, FALSE, sizeof (struct sockaddr_in));
  for (guint i = 0; i < s->gates->len; i++)
    {
      struct sockaddr_in a;
      char *host = NULL;
      uint16_t port;

      if (wy_standin_parse_address (g_ptr_array_index (s->gates, i), &host,
                                    &port)
          && !uv_ip4_addr (host, port, &a))
        g_array_append_val (p->gates, a);
      g_free (host);
    }
}

static int
start (struct wy_standin *s)
{
  struct wy_platform *p = &platform;
  struct wy_platform_store_options store = { .loop = s->loop };
  struct wy_h1_client_options http = { .loop = s->loop,
                                       .connect_timeout_ms = CALL_CONNECT_MS,
                                       .idle_timeout_ms = CALL_IDLE_MS };

  p->standin = s;
  p->stats.violations = g_ptr_array_new_with_free_func (g_free);
  p->client = wy_h1_client_new (&http);
  p->store = wy_platform_store_new (&store);
  p->duties = wy_platform_duties_new (s->loop, 0);
  if (!p->store || !p->duties || !start_replicas (p) || write_ports (p))
    return -1;
  read_gates (p, s->settings);
  p->random_faults_ms
      = (uint64_t)(((const struct settings *)s->settings)->chance_s
                   * WY_MS_PER_S);
  p->step_limit_ms
      = (uint64_t)(((const struct settings *)s->settings)->step_limit_s
                   * WY_MS_PER_S);
  wy_rng_seed (&p->spoil_rng, (uint64_t)s->common->seed + 1);
  wy_platform_operator_start (p);
  write_replica_rows (p);
  started_at_ms = uv_now (s->loop);
  uv_timer_init (s->loop, &update_timer);
  update_timer.data = p;
  uv_timer_start (&update_timer, on_update_timer, UPDATE_MS, UPDATE_MS);
  wy_platform_callers_start (p);
  wy_platform_streams_start (p);
  if (p->random_faults_ms)
    wy_platform_crasher_start (p);
  wy_platform_trainer_start (p);
  return 0;
}

static void
on_stop (struct wy_standin *s)
{
  wy_standin_quit (s);
}

/* Write the report and end the process, after the trainer's final check.  */
void
wy_platform_finish (struct wy_platform *p)
{
  const GPtrArray *duty_violations = wy_platform_duties_violations (p->duties);

  for (guint i = 0; i < duty_violations->len; i++)
    wy_platform_violation (
        p, "%s", (const char *)g_ptr_array_index (duty_violations, i));
  if (wy_platform_duties_window_count (p->duties) == 0)
    wy_platform_violation (p, "usage: no window was reported");
  p->standin->failed = write_report (p) || p->stats.violations->len > 0;
  wy_standin_quit (p->standin);
}

const struct wy_standin_kind wy_standin_platform
    = { .name = "platform",
        .summary = "A platform: store, replicas, operator, trainer, callers.",
        .table = table,
        .n = G_N_ELEMENTS (table),
        .settings_size_bytes = sizeof (struct settings),
        .start = start,
        .on_stop = on_stop };
