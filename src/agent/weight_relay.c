/* Relay of weights.

   The weight store is rate-limited, so only a few agents fetch a version from
   it and the others fetch it from those.  The engine reads weights through its
   agent, which caches parts, up to weights_cache_bytes, for repeated reads of
   the engine and for other agents.  An evicted part is fetched again.  */
#include "agent/weight_relay.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agent/links.h"
#include "http/error.h"

enum
{
  STATUS_OK = 200,
  STATUS_NOT_FOUND = 404,
  STATUS_BAD_GATEWAY = 502,
  FETCH_TIMEOUT_MS = 20000,
  CONNECTIONS_MAX = 256,
  REQUEST_LIMIT_BYTES = 4096
};

#define PREFIX "/weights/"

struct part
{
  char *url; /* path and query */
  GString *bytes;
  GList link;
};

struct address
{
  char *host;
  uint16_t port;
};

struct wy_weight_relay
{
  struct wy_agent *agent;
  struct wy_http_server *server;
  struct address store;
  GHashTable *sources; /* struct address by "MODEL/VERSION" */
  GHashTable *parts;   /* struct part by url */
  GQueue order;        /* struct part, oldest first */
  size_t size_bytes;
  GHashTable *fetches; /* struct fetch by url */
};

/* One call to the source, and the requests that wait for it.  */
struct fetch
{
  struct wy_weight_relay *relay;
  char *url;
  GPtrArray *waiting; /* struct wy_http_exchange */
};

static void
address_free (void *p)
{
  struct address *x = p;

  g_free (x->host);
  g_free (x);
}

/* Parse HOST:PORT into OUT.  */
static bool
parse_address (const char *text, struct address *out)
{
  const char *colon = strrchr (text, ':');
  char *end;
  unsigned long port;

  if (!colon || colon == text)
    return false;
  port = strtoul (colon + 1, &end, 10);
  if (*end || port == 0 || port > UINT16_MAX)
    return false;
  out->host = g_strndup (text, (gsize)(colon - text));
  out->port = (uint16_t)port;
  return true;
}

static void
cache_part (struct wy_weight_relay *w, const char *url,
            const struct wy_http_response *response)
{
  struct part *p;
  size_t limit = (size_t)w->agent->s->weights_cache_bytes;

  if (response->size_bytes > limit || g_hash_table_contains (w->parts, url))
    return;
  while (w->order.head && w->size_bytes + response->size_bytes > limit)
    {
      p = w->order.head->data;
      g_queue_unlink (&w->order, &p->link);
      g_hash_table_remove (w->parts, p->url);
      w->size_bytes -= p->bytes->len;
      g_string_free (p->bytes, TRUE);
      g_free (p->url);
      g_free (p);
    }
  p = g_new0 (struct part, 1);
  p->url = g_strdup (url);
  p->bytes = g_string_new_len (response->body, (gssize)response->size_bytes);
  p->link.data = p;
  g_hash_table_insert (w->parts, p->url, p);
  g_queue_push_tail_link (&w->order, &p->link);
  w->size_bytes += response->size_bytes;
}

static void
on_fetched (void *ctx, const struct wy_http_response *response)
{
  struct fetch *f = ctx;
  struct wy_weight_relay *w = f->relay;
  int status = response->err ? STATUS_BAD_GATEWAY : response->status;

  g_hash_table_remove (w->fetches, f->url);
  if (status == STATUS_OK)
    cache_part (w, f->url, response);
  for (guint i = 0; i < f->waiting->len; i++)
    {
      wy_http_on_abort (f->waiting->pdata[i], NULL, NULL);
      wy_http_respond (f->waiting->pdata[i], status,
                       "application/octet-stream",
                       response->err ? "" : response->body,
                       response->err ? 0 : response->size_bytes);
    }
  g_ptr_array_free (f->waiting, TRUE);
  g_free (f->url);
  g_free (f);
}

static void
on_abort (struct wy_http_exchange *ex, void *ctx)
{
  g_ptr_array_remove (((struct fetch *)ctx)->waiting, ex);
}

/* Return where URL is fetched from: the source given in the order for its
   version, or the weight store.  */
static const struct address *
source_of (const struct wy_weight_relay *w, const char *url)
{
  const char *name = url + strlen (PREFIX);
  const char *slash = strchr (name, '/');
  size_t n = slash ? strcspn (slash + 1, "/?") : 0;
  char *key = slash ? g_strndup (name, (gsize)(slash + 1 - name) + n) : NULL;
  const struct address *x = key ? g_hash_table_lookup (w->sources, key) : NULL;

  g_free (key);
  return x ? x : &w->store;
}

static void
fetch (struct wy_weight_relay *w, const char *url, struct wy_http_exchange *ex)
{
  struct fetch *f = g_hash_table_lookup (w->fetches, url);
  const struct address *from = source_of (w, url);
  struct wy_http_call_options o = { .method = "GET",
                                    .host = from->host,
                                    .port = from->port,
                                    .path = url,
                                    .timeout_ms = FETCH_TIMEOUT_MS };

  if (!f)
    {
      f = g_new0 (struct fetch, 1);
      f->relay = w;
      f->url = g_strdup (url);
      f->waiting = g_ptr_array_new ();
      g_hash_table_insert (w->fetches, f->url, f);
      wy_http_fetch (w->agent->client, &o, on_fetched, f);
    }
  g_ptr_array_add (f->waiting, ex);
  wy_http_on_abort (ex, on_abort, f);
}

static void
on_request (struct wy_http_exchange *ex, void *ctx)
{
  struct wy_weight_relay *w = ctx;
  const char *query = wy_http_query (ex);
  char *url = g_strconcat (wy_http_path (ex), *query ? "?" : "", query, NULL);
  const struct part *p = g_hash_table_lookup (w->parts, url);

  if (strcmp (wy_http_method (ex), "GET") != 0
      || !g_str_has_prefix (url, PREFIX) || !source_of (w, url)->host)
    wy_http_respond (ex, STATUS_NOT_FOUND, "text/plain", "", 0);
  else if (p)
    wy_http_respond (ex, STATUS_OK, "application/octet-stream", p->bytes->str,
                     p->bytes->len);
  else
    fetch (w, url, ex);
  g_free (url);
}

/* Open the port of the relay.  Returns 0 or a negative error code.  */
int
wy_agent_weight_relay_start (struct wy_agent *a)
{
  struct wy_weight_relay *w = g_new0 (struct wy_weight_relay, 1);
  int system_error = 0;
  struct wy_http_server_options o = { .loop = a->loop,
                                      .host = a->s->host,
                                      .port = (uint16_t)a->s->weights_port,
                                      .body_limit_bytes = REQUEST_LIMIT_BYTES,
                                      .connection_limit = CONNECTIONS_MAX,
                                      .on_request = on_request,
                                      .ctx = w,
                                      .system_error = &system_error };

  w->agent = a;
  a->weight_relay = w;
  w->sources
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, address_free);
  w->parts = g_hash_table_new (g_str_hash, g_str_equal);
  w->fetches = g_hash_table_new (g_str_hash, g_str_equal);
  g_queue_init (&w->order);
  if (*a->s->weights_url && !parse_address (a->s->weights_url, &w->store))
    return WY_AGENT_EADDRESS;
  if (!wy_http_server_new (&w->server, &o))
    return 0;
  wy_agent_listen_failed (a, "weights_port", o.port, system_error);
  return WY_AGENT_ELISTEN;
}

/* Return the port of the relay.  */
uint16_t
wy_agent_weights_port (const struct wy_agent *a)
{
  return wy_http_server_port (a->weight_relay->server);
}

/* Return the address from which the engine fetches the version of O: this
   relay, which fetches it from the source given in O or from the store.  NULL
   if neither is known.  Must be freed by the caller.  */
char *
wy_agent_weight_relay_source (struct wy_agent *a,
                              const struct wy_frame_order *o)
{
  struct wy_weight_relay *w = a->weight_relay;
  struct address *x = g_new0 (struct address, 1);
  char *source = wy_bytes_dup (o->source);
  char *model;

  if (o->kind == WY_ORDER_STAGE && parse_address (source, x))
    {
      model = wy_bytes_dup (o->model);
      g_hash_table_replace (
          w->sources,
          g_strdup_printf ("%s/%" G_GINT64_FORMAT, model, o->version), x);
      g_free (model);
    }
  else
    {
      g_free (x);
      x = NULL;
    }
  g_free (source);
  if (o->kind != WY_ORDER_STAGE || (!x && !w->store.host))
    return NULL;
  return g_strdup_printf ("%s:%u", a->s->host, wy_agent_weights_port (a));
}
