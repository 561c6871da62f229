/* Prompt prefixes that the engine has cached.

   The engine tells of them late and leaves some out, so the list is a hint
   for placement and nothing depends on it.  */
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
drop (struct wy_target *t, uint64_t prefix)
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

/* Put PREFIX behind the others; the oldest goes when there is no room.  */
static void
add (struct wy_target *t, uint64_t prefix)
{
  drop (t, prefix);
  if (t->n_prefixes == WY_AGENT_PREFIXES_MAX)
    drop (t, t->prefixes[0]);
  t->prefixes[t->n_prefixes++] = prefix;
}

static void
take_event (struct wy_target *t, const json_t *event)
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
    add (t, prefix);
  else
    drop (t, prefix);
}

static void
on_events (void *ctx, const struct wy_http_response *answer)
{
  struct wy_agent *a = ctx;
  json_t *body = answer->err
                     ? NULL
                     : json_loadb (answer->body, answer->size_bytes, 0, NULL);
  json_t *event;
  size_t i;

  a->target.cache_polling = false;
  json_array_foreach (json_object_get (body, "events"), i, event)
      take_event (&a->target, event);
  if (json_is_integer (json_object_get (body, "next")))
    a->target.cache_seq = json_integer_value (json_object_get (body, "next"));
  json_decref (body);
}

/* Ask for the events since the last.  */
void
wy_agent_cache_poll (struct wy_agent *a)
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
