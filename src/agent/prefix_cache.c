/* Prompt prefixes in the engine's cache.

   The engine reports cache events late and omits some, so the list is only a
   hint for placement.  */
#include "agent/prefix_cache.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

enum
{
  CACHE_TIMEOUT_MS = 2000,
  HEX_BASE = 16
};

static void
remove_prefix (struct wy_target *t, uint64_t prefix)
{
  for (uint32_t i = 0; i < t->n_prefixes; i++)
    if (t->prefixes[i] == prefix)
      {
        t->n_prefixes--;
        memmove (&t->prefixes[i], &t->prefixes[i + 1],
                 (t->n_prefixes - i) * sizeof *t->prefixes);
        return;
      }
}

/* Append PREFIX.  The oldest prefix is removed if the list is full.  */
static void
add_prefix (struct wy_target *t, uint64_t prefix)
{
  remove_prefix (t, prefix);
  if (t->n_prefixes == WY_AGENT_PREFIXES_MAX)
    remove_prefix (t, t->prefixes[0]);
  t->prefixes[t->n_prefixes++] = prefix;
}

static void
apply_event (struct wy_target *t, const json_t *event)
{
  const char *kind = json_string_value (json_object_get (event, "kind"));
  const char *text = json_string_value (json_object_get (event, "prefix"));
  char *end;
  uint64_t prefix;

  if (!kind || !text)
    return;
  prefix = strtoull (text, &end, HEX_BASE);
  if (*end || end == text)
    return;
  if (!strcmp (kind, "stored"))
    add_prefix (t, prefix);
  else
    remove_prefix (t, prefix);
}

static void
on_events (void *ctx, const struct wy_http_response *response)
{
  struct wy_agent *a = ctx;
  json_t *body = response->err ? NULL
                               : json_loadb (response->body,
                                             response->size_bytes, 0, NULL);
  json_t *event;
  size_t i;

  a->target.cache_polling = false;
  json_array_foreach (json_object_get (body, "events"), i, event)
      apply_event (&a->target, event);
  if (json_is_integer (json_object_get (body, "next")))
    a->target.cache_seq = json_integer_value (json_object_get (body, "next"));
  json_decref (body);
}

/* Request the cache events since the last poll.  */
void
wy_agent_prefix_cache_poll (struct wy_agent *a)
{
  const struct wy_agent_settings *s = a->s;
  char path[64];
  struct wy_http_call_options o = { .method = "GET",
                                    .host = s->target_host,
                                    .port = (uint16_t)s->target_port,
                                    .path = path,
                                    .timeout_ms = CACHE_TIMEOUT_MS };

  if (a->target.cache_polling || s->target_kind != WY_TARGET_MODEL)
    return;
  a->target.cache_polling = true;
  snprintf (path, sizeof path, "/control/cache-events?after=%lld",
            (long long)a->target.cache_seq);
  wy_http_fetch (a->client, &o, on_events, a);
}
