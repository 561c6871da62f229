/* Targets from the instance list.

   The list lags and has outages, so it is only a hint.  A target that itself
   reports that it is leaving counts as leaving before the list shows it.  A
   target that is no longer listed gets no new work and is removed once its
   requests have ended.  While the list is unavailable the last one stays in
   use.  */
#include "entry/instance_list.h"

#include <string.h>

#include "entry/peers.h"
#include "entry/pool.h"
#include "entry/reports.h"
#include "entry/subset.h"
#include "trace/log.h"

enum
{
  STATUS_OK = 200,
  STATUS_NOT_MODIFIED = 304,
  /* Bytes of the list that an entry may read per second on average.  A node
     has 4 KB/s for all control traffic, and a list of thousands of instances
     has half a megabyte.  Targets report urgent changes themselves.  */
  LIST_BYTES_PER_S = 1000,
  PORT_MAX = 65535
};

static const char *
text_of (const json_t *j, const char *key)
{
  const char *s = json_string_value (json_object_get (j, key));

  return s ? s : "";
}

static bool
has_moved (const struct wy_peer *p, const char *host, json_int_t port)
{
  return strcmp (p->host, host) != 0 || p->port != port;
}

/* P has a new address: a new instance of the target.  */
static void
move_peer (struct wy_peer *p, const char *host, uint16_t port)
{
  g_free (p->host);
  p->host = g_strdup (host);
  p->port = port;
  p->failed_dials = 0;
  p->next_dial_ms = 0;
  if (p->conn)
    wy_conn_close (p->conn);
}

static void
apply_instance (struct wy_entry *e, const json_t *j)
{
  const char *id = text_of (j, "id");
  const char *host = text_of (j, "host");
  const char *serves = text_of (j, "serves");
  json_int_t port = json_integer_value (json_object_get (j, "port"));
  bool is_model = !strcmp (text_of (j, "kind"), "model");
  struct wy_peer *p = g_hash_table_lookup (e->peers, id);

  if (!strcmp (text_of (j, "role"), "entry"))
    e->entries_listed++;
  if (strcmp (text_of (j, "role"), "agent") != 0 || !*id || !*serves
      || port < 1 || port > PORT_MAX)
    return;
  if (!p)
    {
      p = wy_peer_new (e, id, host, (uint16_t)port,
                       text_of (j, "availability_zone"),
                       wy_pool_get_or_create (e, serves, is_model));
      g_hash_table_insert (e->peers, p->id, p);
    }
  else if (has_moved (p, host, port))
    move_peer (p, host, (uint16_t)port);
  p->listed = true;
  p->list_leaving = !strcmp (text_of (j, "state"), "leaving");
}

static void
choose_subset (struct wy_entry *e, const struct wy_pool *l,
               const GPtrArray *peers)
{
  struct wy_subset_item *items = g_new0 (struct wy_subset_item, peers->len);
  size_t n = 0;

  for (guint i = 0; i < peers->len; i++)
    {
      const struct wy_peer *p = peers->pdata[i];

      if (p->pool != l || !p->listed || p->list_leaving)
        continue;
      items[n].id = p->id;
      items[n++].availability_zone = p->availability_zone;
    }
  wy_subset_choose (e->s->name, items, n, (size_t)e->s->subset_size);
  for (size_t i = 0; i < n; i++)
    wy_peer_set_subset (g_hash_table_lookup (e->peers, items[i].id),
                        items[i].chosen);
  g_free (items);
}

/* Stop giving work to targets that are no longer listed, and remove them once
   they are idle.  */
static void
remove_unlisted (struct wy_entry *e, const GPtrArray *peers)
{
  for (guint i = 0; i < peers->len; i++)
    {
      struct wy_peer *p = peers->pdata[i];

      wy_peer_set_leaving (p, !p->listed || p->list_leaving
                                  || p->reported_leaving);
      if (p->listed || p->requests.length > 0)
        continue;
      if (p->keep_connected)
        wy_peer_disconnect (p);
      else if (!p->conn)
        g_hash_table_remove (e->peers, p->id);
    }
}

/* Apply LIST, a response of the instance list.  */
void
wy_instance_list_apply (struct wy_entry *e, const json_t *list)
{
  const json_t *instances = json_object_get (list, "instances");
  json_int_t as_of = json_integer_value (json_object_get (list, "as_of_ms"));
  GPtrArray *peers;
  GHashTableIter i;
  gpointer value;

  /* A delayed response must not override a later one.  */
  if (!json_is_array (instances) || as_of < e->list_as_of_ms)
    return;
  e->list_as_of_ms = as_of;
  e->list_known = true;
  e->list_received_ms = wy_clock_mono_ms (e->clock);
  g_hash_table_iter_init (&i, e->peers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    ((struct wy_peer *)value)->listed = false;
  e->entries_listed = 0;
  for (size_t k = 0; k < json_array_size (instances); k++)
    apply_instance (e, json_array_get (instances, k));
  if (e->store)
    wy_store_set_pollers (e->store, e->entries_listed);
  peers = wy_peers_all (e);
  g_hash_table_iter_init (&i, e->pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    choose_subset (e, value, peers);
  remove_unlisted (e, peers);
  g_ptr_array_unref (peers);
}

static void
schedule_read (struct wy_entry *e, size_t size_bytes)
{
  uint64_t wait_ms = (uint64_t)size_bytes * WY_MS_PER_S / LIST_BYTES_PER_S;
  uint32_t half = (uint32_t)e->s->list_poll_ms / 2;

  if (wait_ms > 2 * (uint64_t)half)
    half = (uint32_t)(wait_ms / 2);
  /* With jitter, so that the entries don't poll at the same time.  */
  uv_timer_start (&e->list_timer, e->list_timer.timer_cb,
                  half + wy_rng_below (&e->rng, 2 * half + 1), 0);
}

static void
keep_etag (struct wy_entry *e, const char *etag)
{
  g_free (e->list_etag);
  e->list_etag = g_strdup (etag);
}

static void
on_list (void *ctx, const struct wy_http_response *a)
{
  struct wy_entry *e = ctx;
  bool same = !a->err && a->status == STATUS_NOT_MODIFIED;
  json_t *j = NULL;
  bool failed;

  e->list_call = NULL;
  if (!a->err && a->status == STATUS_OK)
    j = json_loadb (a->body, a->size_bytes, 0, NULL);
  if (j)
    {
      wy_instance_list_apply (e, j);
      keep_etag (e, a->etag);
    }
  else if (same)
    e->list_received_ms = wy_clock_mono_ms (e->clock);
  failed = !j && !same;
  if (failed)
    ++*e->counters.list_failed;
  /* Logged only on changes, not at each failed read of a long outage.  */
  if (failed != e->list_failing)
    wy_log (WY_LOG_WARN, failed ? "list.failed" : "list.back",
            "err=%d status=%d", a->err, a->status);
  e->list_failing = failed;
  json_decref (j);
  if (!e->stopped)
    schedule_read (e, failed ? 0 : a->size_bytes);
}

static void
on_timer (uv_timer_t *t)
{
  struct wy_entry *e = t->data;
  const struct wy_http_header_field known = { "if-none-match", e->list_etag };
  struct wy_http_call_options o
      = { .method = "GET",
          .host = e->list_host,
          .port = e->list_port,
          .path = "/instances",
          .headers = &known,
          .n_headers = e->list_etag ? 1 : 0,
          .timeout_ms = (uint32_t)e->s->list_poll_ms };

  e->list_call = wy_http_fetch (e->client, &o, on_list, e);
}

/* Start polling the instance list.  */
void
wy_instance_list_start (struct wy_entry *e)
{
  uv_timer_init (e->loop, &e->list_timer);
  e->list_timer.data = e;
  uv_timer_start (&e->list_timer, on_timer, 0, 0);
}

/* Stop polling the instance list.  */
void
wy_instance_list_stop (struct wy_entry *e)
{
  uv_timer_stop (&e->list_timer);
  if (e->list_call)
    wy_http_call_cancel (e->list_call);
  e->list_call = NULL;
}
