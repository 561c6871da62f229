/* Operator of the platform stand-in: writes the configuration, changes it
   periodically and calls the routes it adds to check that each change is in
   force.  */
#include "standin/platform.h"

#include <stdio.h>

/* Each version adds an access key and removes the previous one.  */
#define KEY_FORMAT "rolling-%u"

enum
{
  CHANGE_MS = 900,
  PROBE_MS = 150,
  /* Time after which a written change must be in force.  */
  PROPAGATION_MAX_MS = 3000,
  VERSIONS_MAX = 512,
  TIMEOUT_MIN_MS = 1500,
  TIMEOUT_STEP_MS = 100,
  TIMEOUT_STEPS = 10,
  STATUS_OK = 200,
  STATUS_NOT_FOUND = 404,
  STATUS_UNAUTHORIZED = 401,
  KEY_SIZE_BYTES = 24
};

static struct
{
  struct wy_platform *platform;
  uint32_t version;
  uint64_t written_ms[VERSIONS_MAX + 1];
  uv_timer_t change;
  uv_timer_t probe;
  uint32_t probes;
} op;

/* Format the prefix of the route that version V adds and the next removes.  */
static void
format_prefix (uint32_t v, char out[32])
{
  snprintf (out, 32, "/added-%u/", v);
}

static void
write_config (struct wy_platform *p)
{
  GString *s = g_string_new (NULL);
  uint32_t v = ++op.version;
  char prefix[32];

  format_prefix (v, prefix);
  g_string_append_printf (
      s,
      "{\"version\":%u,\"routes\":["
      "{\"name\":\"steps\",\"host\":\"%s\",\"prefix\":\"%s\","
      "\"kind\":\"rollout\",\"service\":\"engines\",\"attempts\":%d,"
      "\"timeoutMs\":10000,\"retentionS\":60,\"resultDeadlineMs\":7500},"
      "{\"name\":\"desk\",\"host\":\"%s\",\"prefix\":\"%s\","
      "\"kind\":\"safe\",\"service\":\"desks\",\"attempts\":2,"
      "\"timeoutMs\":%u,\"targetLatencyMs\":150},"
      "{\"name\":\"talk\",\"host\":\"%s\",\"prefix\":\"%s\","
      "\"kind\":\"streaming\",\"resumable\":true,\"service\":\"talkers\","
      "\"attempts\":3,\"timeoutMs\":4000,\"targetLatencyMs\":100},"
      "{\"name\":\"once\",\"host\":\"%s\",\"prefix\":\"%s\","
      "\"kind\":\"unsafe\",\"service\":\"desks\",\"attempts\":2,"
      "\"timeoutMs\":2000,\"targetLatencyMs\":150},",
      v, WY_PLATFORM_HOST, WY_PLATFORM_JOBS, WY_PLATFORM_STEP_ATTEMPTS,
      WY_PLATFORM_HOST, WY_PLATFORM_CALLS,
      TIMEOUT_MIN_MS + TIMEOUT_STEP_MS * (v % TIMEOUT_STEPS), WY_PLATFORM_HOST,
      WY_PLATFORM_STREAMS, WY_PLATFORM_HOST, WY_PLATFORM_ONCE);
  g_string_append_printf (
      s,
      "{\"name\":\"added\",\"host\":\"%s\",\"prefix\":\"%s\","
      "\"kind\":\"safe\",\"service\":\"desks\",\"attempts\":2,"
      "\"timeoutMs\":2000,\"targetLatencyMs\":150}],"
      "\"services\":[{\"name\":\"engines\",\"connectionLimit\":200,"
      "\"engine\":{\"slots\":%d,\"models\":[{\"name\":\"%s\"}]}},"
      "{\"name\":\"desks\",\"connectionLimit\":100},"
      "{\"name\":\"talkers\",\"connectionLimit\":100}],"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,"
      "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
      "\"tenants\":[{\"name\":\"%s\",\"accessKeys\":[\"%s\",\"" KEY_FORMAT
      "\"]},{\"name\":\"%s\",\"accessKeys\":[\"%s\"]}]}",
      WY_PLATFORM_HOST, prefix, WY_PLATFORM_SLOTS, WY_PLATFORM_MODEL,
      WY_PLATFORM_OFFICE, WY_PLATFORM_OFFICE_KEY, v, WY_PLATFORM_BANK,
      WY_PLATFORM_BANK_KEY);
  wy_platform_store_put (p->store, "op", "", "config", s->str);
  op.written_ms[v] = uv_now (p->standin->loop);
  g_string_free (s, TRUE);
}

static void
on_change (uv_timer_t *t)
{
  if (!op.platform->ending && op.version < VERSIONS_MAX)
    write_config (op.platform);
}

/* Only the newest version has its route, so a missing route or key after
   PROPAGATION_MAX_MS means that the change has not arrived or was reverted.
 */
static void
on_probe_end (struct wy_platform_call *c, int err)
{
  if (!err && c->faults_over && c->number == op.version
      && (c->status == STATUS_NOT_FOUND || c->status == STATUS_UNAUTHORIZED))
    wy_platform_violation (c->platform,
                           "config version %u is not in force: status %d",
                           c->number, c->status);
}

/* The access key of the previous version must be rejected.  */
static void
on_old_key_probe_end (struct wy_platform_call *c, int err)
{
  if (!err && c->faults_over && c->number == op.version
      && c->status == STATUS_OK)
    wy_platform_violation (c->platform,
                           "a key removed by config version %u is accepted",
                           c->number);
}

static void
on_probe (uv_timer_t *t)
{
  struct wy_platform *p = op.platform;
  uint32_t v = op.version;
  uint64_t age_ms = uv_now (t->loop) - op.written_ms[v];
  struct wy_platform_call *c;
  char prefix[32];
  char target[40];
  char id[40];
  char key[KEY_SIZE_BYTES];
  bool old_key = op.probes % 2 && v > 1;

  if (p->ending || age_ms < PROPAGATION_MAX_MS)
    return;
  format_prefix (v, prefix);
  snprintf (target, sizeof target, "%sx", prefix);
  snprintf (id, sizeof id, WY_PLATFORM_PROBE_ID "%u", op.probes++);
  snprintf (key, sizeof key, KEY_FORMAT, old_key ? v - 1 : v);
  c = wy_platform_call_with_key (p, "POST", target, id, "probe", key);
  c->number = v;
  c->faults_over = p->faults_over;
  c->on_done = old_key ? on_old_key_probe_end : on_probe_end;
}

/* Write the first configuration and, while there are random faults, change it
   periodically.  After them the last one stays, so that it can be checked.  */
void
wy_platform_operator_start (struct wy_platform *p)
{
  op.platform = p;
  write_config (p);
  if (!p->random_faults_ms)
    return;
  uv_timer_init (p->standin->loop, &op.change);
  uv_timer_start (&op.change, on_change, CHANGE_MS, CHANGE_MS);
  uv_timer_init (p->standin->loop, &op.probe);
  uv_timer_start (&op.probe, on_probe, PROBE_MS, PROBE_MS);
}

/* Stop changing the configuration.  */
void
wy_platform_operator_stop_changes (struct wy_platform *p)
{
  if (p->random_faults_ms)
    uv_timer_stop (&op.change);
}
