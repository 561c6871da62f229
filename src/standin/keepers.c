/* Stand-in of callers that keep their connections: some use them again after
   seconds, others read long answers slowly.  What happens to a request is
   recorded, so that a driver can tell whether an entry that was only told to
   stop has cut it off.  */
#include <stdio.h>
#include <string.h>

#include "base/id.h"
#include "decide/attempt.h"
#include "h1/client.h"
#include "standin/kinds.h"
#include "standin/platform.h"

enum
{
  KEEPERS = 4, /* at each entry; the last one reads slowly */
  CONNECT_TIMEOUT_MS = 500,
  IDLE_TIMEOUT_MS = 20000,
  PAUSE_MIN_MS = 300,
  PAUSE_MAX_MS = 6000,
  READER_PAUSE_MAX_MS = 1000,
  LARGE_BODY_BYTES = 600000,
  RESPONSE_LIMIT_BYTES = LARGE_BODY_BYTES * 2,
  READ_STEP_MS = 40,
  READ_BYTES_PER_MS = 300,
  ID_SIZE_BYTES = 48,
  DIGEST_SIZE_BYTES = 20,
  STATUS_UNAVAILABLE = 503,
  MS_PER_S = 1000
};

struct settings
{
  struct wy_standin_settings common;
  GPtrArray *ports;
  int64_t seconds;
};

static const struct wy_setting table[] = {
  { "ports", WY_SETTING_LIST, offsetof (struct settings, ports), NULL, 0, 0,
    NULL, NULL, "ports of entries on this machine, for callers" },
  { "seconds", WY_SETTING_INTEGER, offsetof (struct settings, seconds), "10",
    0, 86400, NULL, "s", "how long requests are sent" },
};

/* A caller with one connection, to one entry.  */
struct keeper
{
  uint32_t entry; /* index of its port */
  struct sockaddr_in address;
  bool reads_slowly;
  struct wy_h1_client *client;
  struct wy_h1_call *call; /* NULL: between two requests */
  uv_timer_t timer;        /* the next request, or the next read */
  char id[ID_SIZE_BYTES];
  int status; /* 0: no response yet */
  bool told;  /* when to return */
  GString *body;
};

static struct
{
  const struct wy_standin *standin;
  struct wy_rng rng;
  uint64_t until_ms;
  uint32_t sent;
} keepers;

static void begin (struct keeper *k);

static void
on_timer (uv_timer_t *t)
{
  struct keeper *k = t->data;

  if (k->call)
    wy_h1_call_resume (k->call);
  else
    begin (k);
}

static void
on_head (void *ctx, const struct wy_h1_response *r)
{
  struct keeper *k = ctx;

  k->status = r->status;
  k->told = wy_h1_head_get (r->head, "Retry-After") != NULL;
}

static void
on_data (void *ctx, const char *p, size_t n)
{
  struct keeper *k = ctx;

  g_string_append_len (k->body, p, (gssize)n);
  if (!k->reads_slowly)
    return;
  wy_h1_call_pause (k->call);
  uv_timer_start (&k->timer, on_timer,
                  MAX (n / READ_BYTES_PER_MS, (size_t)READ_STEP_MS), 0);
}

static void
record (const struct keeper *k, int err)
{
  char digest[DIGEST_SIZE_BYTES];
  int status = err ? 0 : k->status;

  snprintf (digest, sizeof digest, "%016llx",
            (unsigned long long)wy_hash64 (k->body->str, k->body->len, 0));
  wy_trace_event (keepers.standin->trace, "caller.got",
                  "{s:s, s:s, s:i, s:s, s:s}", "key", k->id, "req", k->id,
                  "status", status, "ran",
                  wy_attempt_status_implies_not_run (status) ? "no" : "",
                  "digest", digest);
  if (!err && status == STATUS_UNAVAILABLE && !k->told)
    wy_trace_event (keepers.standin->trace, "keeper.not_told", "{s:s, s:i}",
                    "req", k->id, "entry", (int)k->entry);
  if (err)
    wy_trace_event (
        keepers.standin->trace, k->status ? "keeper.cut" : "keeper.unanswered",
        "{s:s, s:i, s:i, s:I}", "req", k->id, "entry", (int)k->entry, "err",
        err, "bytes", (json_int_t)k->body->len);
}

static void
on_end (void *ctx, int err)
{
  struct keeper *k = ctx;
  uint32_t max_ms = k->reads_slowly ? READER_PAUSE_MAX_MS : PAUSE_MAX_MS;

  k->call = NULL;
  uv_timer_stop (&k->timer);
  /* Without a connection nothing was sent.  */
  record (k, err == WY_H1_ECONNECT ? 0 : err);
  if (uv_now (k->timer.loop) < keepers.until_ms)
    uv_timer_start (
        &k->timer, on_timer,
        PAUSE_MIN_MS + wy_rng_below (&keepers.rng, max_ms - PAUSE_MIN_MS), 0);
}

static void
begin (struct keeper *k)
{
  struct wy_h1_header fields[]
      = { { "Host", WY_PLATFORM_HOST },
          { "Authorization", "Bearer " WY_PLATFORM_OFFICE_KEY },
          { "Deadline-Milliseconds", "2000" },
          { "Attempt-Id", k->id } };
  struct wy_h1_call_options o = { .address = k->address,
                                  .method = "POST",
                                  .target = WY_PLATFORM_CALLS "x",
                                  .id = k->id,
                                  .fields = fields,
                                  .n_fields = G_N_ELEMENTS (fields),
                                  .has_body = true,
                                  .response_limit_bytes = RESPONSE_LIMIT_BYTES,
                                  .on_head = on_head,
                                  .on_data = on_data,
                                  .on_end = on_end,
                                  .ctx = k };
  GString *body = g_string_new (NULL);

  snprintf (k->id, sizeof k->id, WY_PLATFORM_CALL_ID "kept-%u",
            keepers.sent++);
  g_string_append (body, k->id);
  if (k->reads_slowly)
    {
      gsize at = body->len;

      g_string_set_size (body, LARGE_BODY_BYTES);
      memset (body->str + at, 'x', body->len - at);
    }
  o.body = body->str;
  o.body_size_bytes = body->len;
  k->status = 0;
  k->told = false;
  g_string_truncate (k->body, 0);
  wy_trace_event (keepers.standin->trace, "caller.sent", "{s:s}", "key",
                  k->id);
  k->call = wy_h1_call_start (k->client, &o);
  g_string_free (body, TRUE);
}

static void
add_keeper (uint32_t entry, uint16_t port, bool reads_slowly)
{
  struct wy_h1_client_options o = { .loop = keepers.standin->loop,
                                    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                                    .idle_timeout_ms = IDLE_TIMEOUT_MS };
  struct keeper *k = g_new0 (struct keeper, 1);

  k->entry = entry;
  uv_ip4_addr ("127.0.0.1", port, &k->address);
  k->reads_slowly = reads_slowly;
  k->client = wy_h1_client_new (&o);
  k->body = g_string_new (NULL);
  uv_timer_init (o.loop, &k->timer);
  k->timer.data = k;
  uv_timer_start (&k->timer, on_timer, PAUSE_MIN_MS, 0);
}

static int
start (struct wy_standin *s)
{
  const struct settings *o = s->settings;

  keepers.standin = s;
  wy_rng_seed (&keepers.rng, (uint64_t)s->common->seed);
  keepers.until_ms = uv_now (s->loop) + (uint64_t)o->seconds * MS_PER_S;
  for (guint i = 0; i < o->ports->len; i++)
    for (int n = 0; n < KEEPERS; n++)
      add_keeper (i, (uint16_t)g_ascii_strtoull (o->ports->pdata[i], NULL, 10),
                  n == KEEPERS - 1);
  return o->ports->len ? 0 : -1;
}

const struct wy_standin_kind wy_standin_keepers
    = { .name = "keepers",
        .summary = "Callers that keep connections and read slowly.",
        .table = table,
        .n = G_N_ELEMENTS (table),
        .settings_size_bytes = sizeof (struct settings),
        .start = start };
