/* Stand-in of a whole platform in one process, for the demo.  The instances
   of the service run beside it and are killed by the demo's script.  */
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
  char *report;
};

static const struct wy_setting table[] = {
  { "gates", WY_SETTING_LIST, offsetof (struct settings, gates), NULL, 0, 0,
    NULL, "host:port", "callers' addresses of the entries" },
  { "seconds", WY_SETTING_NUMBER, offsetof (struct settings, seconds), "15", 1,
    3600, NULL, "s", "how long callers and trainer go on" },
  { "report", WY_SETTING_TEXT, offsetof (struct settings, report), "", 0, 0,
    NULL, NULL, "file of the report; written at the end" },
};

enum
{
  BEAT_MS = 400,
  SLOTS = 8,
  EVENT_MS = 15,
  LOAD_MS = 150,
  /* Faults, from the start of the load.  */
  ENGINE_SILENT_FROM_S = 4,
  ENGINE_SILENT_TO_S = 6,
  STORE_SILENT_FROM_S = 8,
  STORE_SILENT_TO_S = 10,
  LOST_WRITES = 5,
  CONFIG_SIZE_BYTES = 2048,
  CALL_IDLE_MS = 5000,
  CALL_CONNECT_MS = 500
};

static struct wy_platform platform;
static uv_timer_t beat;
static uint64_t began_ms;

/* Note that a promise was broken.  */
void
wy_platform_violation (struct wy_platform *p, const char *fmt, ...)
{
  va_list ap;

  va_start (ap, fmt);
  g_ptr_array_add (p->books.violations, g_strdup_vprintf (fmt, ap));
  va_end (ap);
}

/* The digest of N bytes at P, as the timeline tells it.  */
void
wy_platform_digest (const char *p, size_t n,
                    char out[WY_PLATFORM_DIGEST_SIZE_BYTES])
{
  snprintf (out, WY_PLATFORM_DIGEST_SIZE_BYTES, "%016llx",
            (unsigned long long)wy_hash64 (p, n, 0));
}

/* Name VERSION of the model, as a trainer does.  */
void
wy_platform_name_version (struct wy_platform *p, int64_t version)
{
  char value[128];

  snprintf (value, sizeof value, "{\"model\":\"%s\",\"version\":%lld}",
            WY_PLATFORM_MODEL, (long long)version);
  wy_platform_store_put (p->store, "op", "", "version/" WY_PLATFORM_MODEL,
                         value);
}

static void
write_config (struct wy_platform *p)
{
  char value[CONFIG_SIZE_BYTES];

  snprintf (value, sizeof value,
            "{\"version\":1,\"routes\":["
            "{\"name\":\"steps\",\"host\":\"%s\",\"prefix\":\"%s\","
            "\"kind\":\"rollout\",\"service\":\"engines\",\"attempts\":3,"
            "\"timeoutMs\":10000,\"retentionS\":60,\"resultDeadlineMs\":7500},"
            "{\"name\":\"desk\",\"host\":\"%s\",\"prefix\":\"%s\","
            "\"kind\":\"safe\",\"service\":\"desks\",\"attempts\":2,"
            "\"timeoutMs\":2000,\"targetLatencyMs\":150}],"
            "\"services\":[{\"name\":\"engines\",\"connectionLimit\":200,"
            "\"engine\":{\"slots\":%d,\"models\":[{\"name\":\"%s\"}]}},"
            "{\"name\":\"desks\",\"connectionLimit\":100}],"
            "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,"
            "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
            WY_PLATFORM_HOST, WY_PLATFORM_JOBS, WY_PLATFORM_HOST,
            WY_PLATFORM_CALLS, SLOTS, WY_PLATFORM_MODEL);
  wy_platform_store_put (p->store, "op", "", "config", value);
}

static void
list_replica (struct wy_platform *p, const struct wy_platform_replica *r,
              const char *service, const char *id)
{
  char *entry = wy_platform_replica_entry (r, service, "ready");

  wy_platform_store_put (p->store, "servers", "", id, entry);
  g_free (entry);
}

static void
list_all (struct wy_platform *p)
{
  char id[32];

  for (int i = 0; i < WY_PLATFORM_ENGINES; i++)
    {
      snprintf (id, sizeof id, "engine-%d", i);
      list_replica (p, p->engines[i], "engines", id);
    }
  for (int i = 0; i < WY_PLATFORM_DESKS; i++)
    {
      snprintf (id, sizeof id, "desk-%d", i);
      list_replica (p, p->desks[i], "desks", id);
    }
}

static void
set_faults (struct wy_platform *p, uint64_t age_s)
{
  struct wy_platform_store_faults *store = wy_platform_store_faults (p->store);
  struct wy_platform_replica_faults *engine
      = wy_platform_replica_faults (p->engines[0]);

  engine->silent = age_s >= ENGINE_SILENT_FROM_S && age_s < ENGINE_SILENT_TO_S;
  if (age_s == ENGINE_SILENT_FROM_S)
    store->lose = LOST_WRITES;
  store->silent = age_s >= STORE_SILENT_FROM_S && age_s < STORE_SILENT_TO_S;
  if (age_s == STORE_SILENT_TO_S)
    store->forget_history = true;
}

static int
write_report (const struct wy_platform *p)
{
  const struct settings *s = p->standin->settings;
  const struct wy_platform_books *b = &p->books;
  json_t *list = json_array ();
  json_t *doc;
  int err = 0;

  for (guint i = 0; i < b->violations->len; i++)
    json_array_append_new (list,
                           json_string (g_ptr_array_index (b->violations, i)));
  doc = json_pack ("{s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:o}", "sent",
                   (int)b->sent, "answered", (int)b->answered, "refused",
                   (int)b->refused, "failed", (int)b->failed, "retries",
                   (int)b->retries, "steps", (int)b->steps, "results",
                   (int)b->results, "violations", list);
  if (*s->report)
    err = json_dump_file (doc, s->report, JSON_INDENT (2));
  json_decref (doc);
  return err;
}

static void
on_beat (uv_timer_t *t)
{
  struct wy_platform *p = t->data;
  const struct settings *s = p->standin->settings;
  uint64_t age_s = (uv_now (t->loop) - began_ms) / WY_MS_PER_S;

  list_all (p);
  set_faults (p, age_s);
  if (!p->ending && age_s >= (uint64_t)s->seconds)
    p->ending = true; /* the trainer ends its step, then checks all */
}

static int
write_ports (struct wy_platform *p)
{
  char *path = g_strconcat (p->standin->common->ports_file, ".platform", NULL);
  FILE *f = fopen (path, "w");

  g_free (path);
  if (!f)
    return -1;
  fprintf (f, "store %u\n", wy_platform_store_port (p->store));
  for (int i = 0; i < WY_PLATFORM_ENGINES; i++)
    fprintf (f, "engine-%d %u\n", i, wy_platform_replica_port (p->engines[i]));
  return fclose (f);
}

static void
on_run (void *ctx, const char *replica, const char *request, const char *body,
        size_t n)
{
  const struct wy_platform *p = ctx;
  char digest[WY_PLATFORM_DIGEST_SIZE_BYTES];

  wy_platform_digest (body, n, digest);
  wy_trace_event (p->standin->trace, "replica.ran", "{s:s, s:s, s:s}", "req",
                  request, "replica", replica, "digest", digest);
}

static struct wy_platform_replica *
new_replica (struct wy_platform *p, const char *id, const char *model)
{
  struct wy_platform_replica_options o = { .loop = p->standin->loop,
                                           .on_run = on_run,
                                           .ctx = p,
                                           .id = g_strdup (id),
                                           .slots = SLOTS,
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
  return ok;
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

      if (wy_standin_address (g_ptr_array_index (s->gates, i), &host, &port)
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
  p->books.violations = g_ptr_array_new_with_free_func (g_free);
  p->client = wy_h1_client_new (&http);
  p->store = wy_platform_store_new (&store);
  if (!p->store || !start_replicas (p) || write_ports (p))
    return -1;
  read_gates (p, s->settings);
  write_config (p);
  list_all (p);
  began_ms = uv_now (s->loop);
  uv_timer_init (s->loop, &beat);
  beat.data = p;
  uv_timer_start (&beat, on_beat, BEAT_MS, BEAT_MS);
  wy_platform_callers_start (p);
  wy_platform_trainer_start (p);
  return 0;
}

static void
on_stop (struct wy_standin *s)
{
  wy_standin_quit (s);
}

/* The trainer has checked all: write the report and end.  */
void
wy_platform_finish (struct wy_platform *p)
{
  p->standin->failed = write_report (p) || p->books.violations->len > 0;
  wy_standin_quit (p->standin);
}

static void
on_head (void *ctx, const struct wy_h1_answer *a)
{
  struct wy_platform_call *c = ctx;
  const char *after = wy_h1_head_get (a->head, "Retry-After");

  c->status = a->status;
  c->retry_after_s = after ? g_ascii_strtod (after, NULL) : 0;
}

static void
on_data (void *ctx, const char *bytes, size_t n)
{
  g_string_append_len (((struct wy_platform_call *)ctx)->body, bytes,
                       (gssize)n);
}

static void
on_end (void *ctx, int err)
{
  struct wy_platform_call *c = ctx;

  c->on_done (c, err);
  g_string_free (c->body, TRUE);
  g_free (c);
}

/* Call one entry after the other.  on_done and ctx are to be set by the
   caller of this.  */
struct wy_platform_call *
wy_platform_call (struct wy_platform *p, const char *method,
                  const char *target, const char *id, const char *body)
{
  struct wy_platform_call *c = g_new0 (struct wy_platform_call, 1);
  struct wy_h1_pair fields[] = { { "Host", WY_PLATFORM_HOST },
                                 { "Wait-Milliseconds", "500" },
                                 { "Deadline-Milliseconds", "2000" },
                                 { "Attempt-Id", id } };
  struct wy_h1_call_options o
      = { .address = g_array_index (p->gates, struct sockaddr_in,
                                    p->next_gate++ % p->gates->len),
          .method = method,
          .target = target,
          .fields = fields,
          .n_fields = id ? 4 : 2,
          .body = body,
          .body_size_bytes = body ? strlen (body) : 0,
          .on_head = on_head,
          .on_data = on_data,
          .on_end = on_end,
          .ctx = c };

  c->platform = p;
  c->body = g_string_new (NULL);
  wy_h1_call_start (p->client, &o);
  return c;
}

const struct wy_standin_kind wy_standin_platform
    = { .name = "platform",
        .summary = "A platform: store, replicas, operator, trainer, callers.",
        .table = table,
        .n = G_N_ELEMENTS (table),
        .settings_size_bytes = sizeof (struct settings),
        .start = start,
        .on_stop = on_stop };
