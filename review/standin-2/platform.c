/* A stand-in of the users' platform: its store of rows and objects, plain
   servers and model replicas, in one process on loopback.

   Usage: platform KEY=VALUE...
     record=FILE   what the servers were sent, ran and answered
     ports=FILE    written when all listen: "store PORT" and "ID PORT" lines
     config=FILE   the value of op/config
     plain=N       servers of the service "desk"
     models=N      replicas of the service "engines"
     bytes=N       body of a plain server's answer
     work_ms=N     time that a plain server works
     event_ms=N    time between two events of a replica
     data_bytes=N  data of an event
     events=N      events of an item; 0: 8 to 12
     spoil=N       every Nth answer of half of the replicas has one wrong byte
                   (0: none)
     spoil_head=N  the same, but the byte is that of Weight-Versions
     fail=N        each item fails on its first N runs with 500
     extra=N       every Nth answer of 6 in 10 servers is followed by a second
                   copy, which arrives late: at the point where the next answer
                   on that connection is expected (0: none)
     shed_id=N     1: a server that is full echoes the Attempt-Id; 0: it
                   answers as `fleetbench wire` shows it, without
   Answers are spoilt, or sent twice, for 5 s at a time with 1 s between, from the
   first request on.  The store is linearizable and keeps its whole history.  */
#include "common.h"

#include <glib.h>
#include <jansson.h>

static const char *record_path;
static const char *ports_path;
static const char *config_path;
static int n_plain;
static int n_models;
static size_t plain_bytes = 800;
static int work_ms = 25;
static int event_ms = 20;
static int data_bytes = 120;
static int item_events;
static int spoil_every;
static int spoil_head_every;
static int fail_first;
static int extra_every;
static int shed_id = 1;

/* The store.  */

struct row
{
  char *table;
  char *part;
  char *key;
  char *value; /* base64; NULL: removed */
  int64_t version;
};

static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed;
static GPtrArray *rows;
static GHashTable *objects;
static int64_t store_version;

static struct row *
find_row (const char *table, const char *part, const char *key)
{
  for (guint i = 0; i < rows->len; i++)
    {
      struct row *r = g_ptr_array_index (rows, i);

      if (!strcmp (r->key, key) && !strcmp (r->part, part)
          && !strcmp (r->table, table))
        return r;
    }
  return NULL;
}

/* Set a row to VALUE, in base64; NULL removes it.  */
static void
set_row (const char *table, const char *part, const char *key,
         const char *value)
{
  struct row *r = find_row (table, part, key);

  if (!r)
    {
      if (!value)
        return;
      r = g_new0 (struct row, 1);
      r->table = g_strdup (table);
      r->part = g_strdup (part);
      r->key = g_strdup (key);
      g_ptr_array_add (rows, r);
    }
  g_free (r->value);
  r->value = g_strdup (value);
  r->version = store_version;
}

static void
put_text (const char *table, const char *key, const char *text)
{
  char *value = g_base64_encode ((const guchar *)text, strlen (text));

  pthread_mutex_lock (&store_lock);
  store_version++;
  set_row (table, "", key, value);
  pthread_cond_broadcast (&store_changed);
  pthread_mutex_unlock (&store_lock);
  g_free (value);
}

static json_t *
row_json (const struct row *r)
{
  json_t *o = json_pack ("{s:s, s:s, s:s, s:I}", "table", r->table, "part",
                         r->part, "key", r->key, "rowVersion",
                         (json_int_t)r->version);

  if (r->value)
    json_object_set_new (o, "value", json_string (r->value));
  else
    json_object_set_new (o, "deleted", json_true ());
  return o;
}

static char *
query (const char *target, const char *name)
{
  const char *p = strchr (target, '?');
  size_t n = strlen (name);

  while (p)
    {
      p++;
      if (!strncmp (p, name, n) && p[n] == '=')
        {
          const char *v = p + n + 1;

          return g_uri_unescape_segment (v, v + strcspn (v, "&"), NULL);
        }
      p = strchr (p, '&');
    }
  return NULL;
}

/* Answer with DOC and what every answer about rows has.  Consumes DOC.  */
static bool
answer_doc (int fd, int status, json_t *doc, int64_t version)
{
  char *text;
  bool ok;

  json_object_set_new (doc, "rowVersion", json_integer (version));
  json_object_set_new (doc, "nowMs", json_integer (now_ms ()));
  text = json_dumps (doc, JSON_COMPACT);
  ok = respond (fd, status, "Content-Type: application/json\r\n", text,
                strlen (text));
  free (text);
  json_decref (doc);
  return ok;
}

static gint
by_key (gconstpointer a, gconstpointer b)
{
  return strcmp ((*(struct row *const *)a)->key,
                 (*(struct row *const *)b)->key);
}

static gint
by_version (gconstpointer a, gconstpointer b)
{
  int64_t x = (*(struct row *const *)a)->version;
  int64_t y = (*(struct row *const *)b)->version;

  return x < y ? -1 : x > y;
}

static gint
by_text (gconstpointer a, gconstpointer b)
{
  return strcmp (*(char *const *)a, *(char *const *)b);
}

static bool
rows_get (struct request *q)
{
  char *table = query (q->target, "table");
  char *part = query (q->target, "part");
  char *from = query (q->target, "from");
  char *to = query (q->target, "to");
  char *limit = query (q->target, "limit");
  size_t max = limit ? strtoul (limit, NULL, 10) : 500;
  GPtrArray *found = g_ptr_array_new ();
  json_t *list = json_array ();
  json_t *doc;
  size_t bytes = 0;
  guint n = 0;
  int64_t version;
  bool ok;

  if (max == 0 || max > 500)
    max = 500;
  pthread_mutex_lock (&store_lock);
  for (guint i = 0; i < rows->len; i++)
    {
      struct row *r = g_ptr_array_index (rows, i);

      if (r->value && !strcmp (r->table, table)
          && !strcmp (r->part, part ? part : "")
          && (!from || strcmp (r->key, from) >= 0)
          && (!to || strcmp (r->key, to) < 0))
        g_ptr_array_add (found, r);
    }
  g_ptr_array_sort (found, by_key);
  for (; n < found->len && n < max; n++)
    {
      const struct row *r = g_ptr_array_index (found, n);

      bytes += strlen (r->value);
      if (n && bytes > 1000000)
        break;
      json_array_append_new (list, row_json (r));
    }
  version = store_version;
  pthread_mutex_unlock (&store_lock);
  doc = json_pack ("{s:o, s:b}", "rows", list, "morePages", n < found->len);
  ok = answer_doc (q->fd, 200, doc, version);
  g_ptr_array_free (found, TRUE);
  g_free (table);
  g_free (part);
  g_free (from);
  g_free (to);
  g_free (limit);
  return ok;
}

static bool
rows_parts (struct request *q)
{
  char *table = query (q->target, "table");
  char *after = query (q->target, "after");
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  GPtrArray *parts = g_ptr_array_new ();
  json_t *list = json_array ();
  guint n = 0;
  int64_t version;
  bool more;
  bool ok;

  pthread_mutex_lock (&store_lock);
  for (guint i = 0; i < rows->len; i++)
    {
      struct row *r = g_ptr_array_index (rows, i);

      if (r->value && !strcmp (r->table, table)
          && (!after || strcmp (r->part, after) > 0)
          && g_hash_table_add (seen, r->part))
        g_ptr_array_add (parts, r->part);
    }
  g_ptr_array_sort (parts, by_text);
  for (; n < parts->len && n < 1000; n++)
    json_array_append_new (list, json_string (g_ptr_array_index (parts, n)));
  more = n < parts->len;
  version = store_version;
  pthread_mutex_unlock (&store_lock);
  ok = answer_doc (q->fd, 200,
                   json_pack ("{s:o, s:b}", "parts", list, "morePages", more),
                   version);
  g_ptr_array_free (parts, TRUE);
  g_hash_table_destroy (seen);
  g_free (table);
  g_free (after);
  return ok;
}

static bool
rows_feed (struct request *q)
{
  char *table = query (q->target, "table");
  char *after_text = query (q->target, "after");
  char *wait_text = query (q->target, "waitMs");
  int64_t after = after_text ? strtoll (after_text, NULL, 10) : 0;
  int64_t until = now_ms () + (wait_text ? strtoll (wait_text, NULL, 10) : 0);
  GPtrArray *found = g_ptr_array_new ();
  json_t *list = json_array ();
  int64_t version;
  bool ok;

  pthread_mutex_lock (&store_lock);
  for (;;)
    {
      struct timespec t = { until / 1000, until % 1000 * 1000000 };

      for (guint i = 0; i < rows->len; i++)
        {
          struct row *r = g_ptr_array_index (rows, i);

          if (r->version > after && !strcmp (r->table, table))
            g_ptr_array_add (found, r);
        }
      if (found->len || now_ms () >= until)
        break;
      pthread_cond_timedwait (&store_changed, &store_lock, &t);
    }
  g_ptr_array_sort (found, by_version);
  for (guint i = 0; i < found->len; i++)
    json_array_append_new (list, row_json (g_ptr_array_index (found, i)));
  version = store_version;
  pthread_mutex_unlock (&store_lock);
  ok = answer_doc (q->fd, 200, json_pack ("{s:o}", "rows", list), version);
  g_ptr_array_free (found, TRUE);
  g_free (table);
  g_free (after_text);
  g_free (wait_text);
  return ok;
}

static const char *
text_of (json_t *o, const char *key)
{
  const char *v = json_string_value (json_object_get (o, key));

  return v ? v : "";
}

static bool
rows_tx (struct request *q)
{
  json_t *doc = json_loadb (q->body, q->body_n, 0, NULL);
  json_t *current = json_array ();
  bool holds = true;
  int64_t version;
  json_t *o;
  size_t i;

  if (!doc)
    {
      json_decref (current);
      return respond (q->fd, 400, "", "", 0);
    }
  sleep_ms (4);
  pthread_mutex_lock (&store_lock);
  json_array_foreach (json_object_get (doc, "expectedRevision"), i, o)
  {
    const struct row *r
        = find_row (text_of (o, "table"), text_of (o, "part"),
                    text_of (o, "key"));
    int64_t have = r && r->value ? r->version : 0;

    if (have != json_integer_value (json_object_get (o, "rowVersion")))
      holds = false;
    if (have)
      json_array_append_new (current, row_json (r));
  }
  if (holds)
    {
      store_version++;
      json_array_foreach (json_object_get (doc, "writes"), i, o)
          set_row (text_of (o, "table"), text_of (o, "part"),
                   text_of (o, "key"), text_of (o, "value"));
      json_array_foreach (json_object_get (doc, "remove"), i, o)
          set_row (text_of (o, "table"), text_of (o, "part"),
                   text_of (o, "key"), NULL);
      pthread_cond_broadcast (&store_changed);
    }
  version = store_version;
  pthread_mutex_unlock (&store_lock);
  json_decref (doc);
  if (holds)
    {
      json_decref (current);
      return answer_doc (q->fd, 200, json_object (), version);
    }
  return answer_doc (q->fd, 412, json_pack ("{s:o}", "rows", current),
                     version);
}

static bool
blob (struct request *q)
{
  const char *name = strrchr (q->target, '/') + 1;
  bool ok;

  sleep_ms (10);
  pthread_mutex_lock (&store_lock);
  if (!strcmp (q->method, "PUT"))
    {
      bool exists = g_hash_table_contains (objects, name);

      if (!exists)
        g_hash_table_insert (objects, g_strdup (name),
                             g_bytes_new (q->body, q->body_n));
      pthread_mutex_unlock (&store_lock);
      return respond (q->fd, exists ? 412 : 200, "", "", 0);
    }
  if (!strcmp (q->method, "DELETE"))
    {
      bool existed = g_hash_table_remove (objects, name);

      pthread_mutex_unlock (&store_lock);
      return respond (q->fd, existed ? 200 : 404, "", "", 0);
    }
  {
    GBytes *b = g_hash_table_lookup (objects, name);
    gsize n = 0;
    const void *p = b ? g_bytes_get_data (b, &n) : "";

    if (b)
      g_bytes_ref (b);
    pthread_mutex_unlock (&store_lock);
    ok = respond (q->fd, b ? 200 : 404, "", p, n);
    if (b)
      g_bytes_unref (b);
  }
  return ok;
}

static bool
on_store (void *ctx, struct request *q)
{
  if (g_str_has_prefix (q->target, "/api/rows-get"))
    return rows_get (q);
  if (g_str_has_prefix (q->target, "/api/rows-parts"))
    return rows_parts (q);
  if (g_str_has_prefix (q->target, "/api/rows-feed"))
    return rows_feed (q);
  if (g_str_has_prefix (q->target, "/api/rows-tx"))
    return rows_tx (q);
  if (g_str_has_prefix (q->target, "/api/blob-"))
    return blob (q);
  return respond (q->fd, 404, "", "", 0);
}

/* Servers.  */

struct server
{
  char id[32];
  const char *service;
  bool is_model;
  bool spoils;
  bool sends_twice;
  int port;
  int slots;
  int running;
  int answers;
  int64_t model_version;
  int64_t orders;
  int64_t born_ms;
  pthread_mutex_t lock;
};

/* Whether answers are spoilt, or sent twice, at this time.  */
static bool
in_spell (void)
{
  static int64_t first_ms;

  if (!first_ms)
    first_ms = now_ms ();
  return (now_ms () - first_ms) % 6000 < 5000;
}

static struct server servers[64];
static int n_servers;

static pthread_mutex_t runs_lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *runs_of; /* number of runs by item */

static void
write_server_row (struct server *s)
{
  char text[512];

  g_snprintf (text, sizeof text,
              "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":"
              "\"z0\",\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\","
              "\"coldRemainingMs\":0,\"stage\":\"both\",\"models\":[%s",
              s->service, s->port, s->slots,
              s->is_model ? "{\"name\":\"m0\",\"version\":" : "");
  if (s->is_model)
    g_snprintf (text + strlen (text), sizeof text - strlen (text),
                "%lld,\"adapters\":[]}", (long long)s->model_version);
  g_snprintf (text + strlen (text), sizeof text - strlen (text),
              "],\"sequence\":%lld,\"born\":%lld}", (long long)s->orders,
              (long long)s->born_ms);
  put_text ("servers", s->id, text);
}

static void *
beat_main (void *arg)
{
  for (;;)
    {
      for (int i = 0; i < n_servers; i++)
        write_server_row (&servers[i]);
      sleep_ms (1200);
    }
  return NULL;
}

/* Take a slot; false if all are taken.  */
static bool
take_slot (struct server *s)
{
  bool ok;

  pthread_mutex_lock (&s->lock);
  ok = s->running < s->slots;
  s->running += ok;
  pthread_mutex_unlock (&s->lock);
  return ok;
}

static int
leave_slot (struct server *s)
{
  int n;

  pthread_mutex_lock (&s->lock);
  s->running--;
  n = ++s->answers;
  pthread_mutex_unlock (&s->lock);
  return n;
}

/* A second copy of an answer, sent at the point where the next one on its
   connection is expected.  */
static __thread char *pending_copy;

static void
send_pending_copy (struct server *s, int fd, const char *id)
{
  if (!pending_copy)
    return;
  record ("server %s sends a late second copy where the answer to %s is "
          "expected: %.28s",
          s->id, id, pending_copy);
  write_all (fd, pending_copy, strlen (pending_copy));
  free (pending_copy);
  pending_copy = NULL;
}

/* Whether the answer number N of S is sent twice.  */
static bool
is_sent_twice (const struct server *s, int n)
{
  return extra_every && s->sends_twice && in_spell () && n % extra_every == 0;
}

static bool
shed (struct server *s, struct request *q, const char *id)
{
  char fields[320];
  int n;

  pthread_mutex_lock (&s->lock);
  n = ++s->answers;
  pthread_mutex_unlock (&s->lock);
  if (shed_id)
    g_snprintf (fields, sizeof fields,
                "Not-Executed: 1\r\nAttempt-Id: %s\r\n", id);
  else
    g_snprintf (fields, sizeof fields, "Not-Executed: 1\r\n");
  record ("server %s is full: %s status=503 twice=%d", s->id, id,
          is_sent_twice (s, n));
  if (is_sent_twice (s, n))
    pending_copy = g_strdup_printf (
        "HTTP/1.1 503 X\r\n%sContent-Length: 0\r\n\r\n", fields);
  return respond (q->fd, 503, fields, "", 0);
}

static bool
run_plain (struct server *s, struct request *q, const char *id)
{
  char fields[512];
  char *body = malloc (plain_bytes + 1);
  bool ok;

  for (size_t i = 0; i < plain_bytes; i++)
    body[i] = (char)('a' + (i * 7 + i / 26) % 26);
  sleep_ms (work_ms);
  g_snprintf (fields, sizeof fields,
              "Attempt-Id: %s\r\nResponse-Stamp: stamp-%s\r\nServer-Load: "
              "%d,0,%d\r\nKeep-Alive: timeout=30\r\n",
              id, id, s->running - 1, s->slots);
  leave_slot (s);
  record ("server %s answers %s status=200 bytes=%zu", s->id, id,
          plain_bytes);
  ok = respond (q->fd, 200, fields, body, plain_bytes);
  free (body);
  return ok;
}

/* The number of events of the item ID.  */
static int
events_of (const char *id)
{
  return item_events ? item_events : 8 + (int)(g_str_hash (id) % 5);
}

/* The data of event K of the item ID.  */
static int
event_data (const char *id, int k, char *out, size_t size)
{
  int n = g_snprintf (out, (gulong)size, "event %d of %s ", k, id);

  while (n < data_bytes)
    {
      out[n] = (char)('a' + (n + k) % 26);
      n++;
    }
  out[n] = '\0';
  return n;
}

static bool
gone (int fd)
{
  char c;
  ssize_t k = recv (fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);

  return k == 0 || (k < 0 && errno != EAGAIN && errno != EINTR);
}

static bool
run_item (struct server *s, struct request *q, const char *id)
{
  char fields[512];
  char text[64];
  char head[1024];
  int64_t after
      = field (q->head, "Last-Event-Id", text, sizeof text) ? atoll (text) : 0;
  int events = events_of (id);
  int run;
  int n;
  bool spoils;
  bool extra;

  pthread_mutex_lock (&runs_lock);
  run = GPOINTER_TO_INT (g_hash_table_lookup (runs_of, id)) + 1;
  g_hash_table_replace (runs_of, g_strdup (id), GINT_TO_POINTER (run));
  pthread_mutex_unlock (&runs_lock);
  record ("server %s runs %s run=%d after=%lld", s->id, id, run,
          (long long)after);
  g_snprintf (fields, sizeof fields,
              "Attempt-Id: %s\r\nResponse-Stamp: stamp-%s-%d\r\nServer-Load: "
              "%d,0,%d\r\nKeep-Alive: timeout=30\r\n",
              id, id, run, s->running, s->slots);
  if (run <= fail_first)
    {
      sleep_ms (event_ms * 3);
      n = leave_slot (s);
      extra = is_sent_twice (s, n);
      if (gone (q->fd))
        {
          record ("server %s lost the caller of %s", s->id, id);
          return false;
        }
      record ("server %s answers %s status=500 extra=%d", s->id, id, extra);
      if (extra)
        pending_copy = g_strdup_printf (
            "HTTP/1.1 500 X\r\n%sContent-Length: 0\r\n\r\n", fields);
      return respond (q->fd, 500, fields, "", 0);
    }
  n = g_snprintf (head, sizeof head,
                  "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n"
                  "Weight-Versions: %lld\r\nTransfer-Encoding: chunked\r\n\r\n",
                  fields, (long long)s->model_version);
  if (s->spoils && spoil_head_every && in_spell ()
      && (s->answers + s->running) % spoil_head_every == 0)
    {
      char *version = strstr (head, "Weight-Versions: ") + 17;

      *version = (char)(*version | 0x80);
      record ("server %s spoils the byte of Weight-Versions of %s", s->id, id);
    }
  if (!write_all (q->fd, head, (size_t)n))
    {
      leave_slot (s);
      return false;
    }
  pthread_mutex_lock (&s->lock);
  spoils = s->spoils && spoil_every && in_spell ()
           && (s->answers + s->running) % spoil_every == 0;
  pthread_mutex_unlock (&s->lock);
  for (int k = (int)after + 1; k <= events; k++)
    {
      char data[2048];
      char event[2200];
      char chunk[2400];
      int e;
      int c;

      sleep_ms (event_ms);
      event_data (id, k, data, sizeof data);
      if (spoils && k == events / 2 + 1)
        {
          data[60] = (char)(data[60] | 0x80);
          record ("server %s spoils one byte of event %d of %s", s->id, k, id);
        }
      e = g_snprintf (event, sizeof event, "id: %d\ndata: %s\n\n", k, data);
      c = g_snprintf (chunk, sizeof chunk, "%x\r\n%s\r\n", e, event);
      if (gone (q->fd) || !write_all (q->fd, chunk, (size_t)c))
        {
          leave_slot (s);
          record ("server %s lost the caller of %s", s->id, id);
          return false;
        }
    }
  leave_slot (s);
  record ("server %s answers %s status=200 events=%d spoilt=%d", s->id, id,
          events, spoils);
  return write_all (q->fd, "0\r\n\r\n", 5);
}

static bool
report (struct server *s, struct request *q)
{
  char text[512];

  g_snprintf (text, sizeof text,
              "{\"stage\":\"both\",\"models\":[{\"name\":\"m0\",\"version\":"
              "%lld,\"adapters\":[]}],\"busy\":false,\"sequence\":%lld,"
              "\"waiting\":0,\"running\":%d,\"born\":%lld}",
              (long long)s->model_version, (long long)s->orders, s->running,
              (long long)s->born_ms);
  return respond (q->fd, 200, "Content-Type: application/json\r\n", text,
                  strlen (text));
}

static bool
on_server (void *ctx, struct request *q)
{
  struct server *s = ctx;
  char id[256];
  char target[64];
  bool has_id = field (q->head, "Attempt-Id", id, sizeof id);

  if (!strcmp (q->target, "/api/report"))
    return report (s, q);
  if (!strcmp (q->target, "/health"))
    return respond (q->fd, 200, "", "", 0);
  if (field (q->head, "Target-Instance", target, sizeof target)
      && strcmp (target, s->id) != 0)
    return respond (q->fd, 421, "", "", 0);
  if (!has_id)
    return respond (q->fd, 400, "Not-Executed: 1\r\n", "", 0);
  send_pending_copy (s, q->fd, id);
  if (!take_slot (s))
    return shed (s, q, id);
  if (s->is_model)
    return run_item (s, q, id);
  record ("server %s runs %s", s->id, id);
  return run_plain (s, q, id);
}

static void
add_server (const char *kind, int i, const char *service, bool is_model)
{
  struct server *s = &servers[n_servers++];

  g_snprintf (s->id, sizeof s->id, "i-%s%d", kind, i);
  s->service = service;
  s->is_model = is_model;
  s->spoils = is_model && i % 2 == 1;
  s->sends_twice = i % 5 < 3;
  s->slots = is_model ? 16 : 6;
  s->model_version = 1;
  s->born_ms = g_get_real_time () / 1000;
  pthread_mutex_init (&s->lock, NULL);
  s->port = listen_free (on_server, s);
}

static void
parse (int argc, char **argv)
{
  for (int i = 1; i < argc; i++)
    {
      char *v = strchr (argv[i], '=');

      if (!v)
        exit (2);
      *v++ = '\0';
      if (!strcmp (argv[i], "record"))
        record_path = v;
      else if (!strcmp (argv[i], "ports"))
        ports_path = v;
      else if (!strcmp (argv[i], "config"))
        config_path = v;
      else if (!strcmp (argv[i], "plain"))
        n_plain = atoi (v);
      else if (!strcmp (argv[i], "models"))
        n_models = atoi (v);
      else if (!strcmp (argv[i], "bytes"))
        plain_bytes = strtoul (v, NULL, 10);
      else if (!strcmp (argv[i], "work_ms"))
        work_ms = atoi (v);
      else if (!strcmp (argv[i], "event_ms"))
        event_ms = atoi (v);
      else if (!strcmp (argv[i], "data_bytes"))
        data_bytes = MIN (atoi (v), 2000);
      else if (!strcmp (argv[i], "events"))
        item_events = atoi (v);
      else if (!strcmp (argv[i], "spoil"))
        spoil_every = atoi (v);
      else if (!strcmp (argv[i], "spoil_head"))
        spoil_head_every = atoi (v);
      else if (!strcmp (argv[i], "fail"))
        fail_first = atoi (v);
      else if (!strcmp (argv[i], "shed_id"))
        shed_id = atoi (v);
      else if (!strcmp (argv[i], "extra"))
        extra_every = atoi (v);
      else
        {
          fprintf (stderr, "platform: unknown key %s\n", argv[i]);
          exit (2);
        }
    }
}

int
main (int argc, char **argv)
{
  pthread_condattr_t a;
  char *config;
  FILE *f;
  int store;

  signal (SIGPIPE, SIG_IGN);
  parse (argc, argv);
  record_open (record_path);
  pthread_condattr_init (&a);
  pthread_condattr_setclock (&a, CLOCK_MONOTONIC);
  pthread_cond_init (&store_changed, &a);
  rows = g_ptr_array_new ();
  objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                   (GDestroyNotify)g_bytes_unref);
  runs_of = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  if (!g_file_get_contents (config_path, &config, NULL, NULL))
    {
      fprintf (stderr, "platform: no %s\n", config_path);
      return 2;
    }
  put_text ("op", "config", config);
  store = listen_free (on_store, NULL);
  for (int i = 0; i < n_plain; i++)
    add_server ("desk", i, "desk", false);
  for (int i = 0; i < n_models; i++)
    add_server ("engine", i, "engines", true);
  for (int i = 0; i < n_servers; i++)
    write_server_row (&servers[i]);
  f = fopen (ports_path, "w");
  fprintf (f, "store %d\n", store);
  for (int i = 0; i < n_servers; i++)
    fprintf (f, "%s %d\n", servers[i].id, servers[i].port);
  fprintf (f, "end 0\n");
  fclose (f);
  start_thread (beat_main, NULL);
  pause ();
  return 0;
}
