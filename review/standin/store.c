/* The store: PROTOCOL.md, "The platform's metadata store".  Rows lie in one
   list, every call takes one lock.  */
#define _GNU_SOURCE
#include "store.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base.h"

enum
{
  PAGE_ROWS = 500,
  PAGE_BYTES = 1000000,
  ROWS_MAX = 200000
};

struct row
{
  char *table;
  char *part;
  char *key;
  char *value; /* base64; NULL: removed */
  int64_t version;
};

struct object
{
  char *name;
  char *data;
  size_t n;
};

static struct row *rows;
static size_t n_rows;
static struct object *objects;
static size_t n_objects;
static int64_t version = 1;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;

static struct row *
find (const char *table, const char *part, const char *key)
{
  for (size_t i = 0; i < n_rows; i++)
    if (!strcmp (rows[i].key, key) && !strcmp (rows[i].part, part)
        && !strcmp (rows[i].table, table))
      return &rows[i];
  return NULL;
}

static void
set (const char *table, const char *part, const char *key, const char *value)
{
  struct row *r = find (table, part, key);

  if (!r)
    {
      if (!value)
        return;
      if (n_rows == ROWS_MAX)
        quit (2, "the store is full");
      r = &rows[n_rows++];
      r->table = strdup (table);
      r->part = strdup (part);
      r->key = strdup (key);
      r->value = NULL;
    }
  free (r->value);
  r->value = value ? strdup (value) : NULL;
  r->version = version;
}

static char *
base64 (const char *text)
{
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                               "abcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t n = strlen (text);
  char *out = malloc (n * 4 / 3 + 8);
  char *p = out;

  for (size_t i = 0; i < n; i += 3)
    {
      uint32_t a = (uint8_t)text[i];
      uint32_t b = i + 1 < n ? (uint8_t)text[i + 1] : 0;
      uint32_t c = i + 2 < n ? (uint8_t)text[i + 2] : 0;
      uint32_t v = a << 16 | b << 8 | c;

      *p++ = digits[v >> 18];
      *p++ = digits[v >> 12 & 63];
      *p++ = i + 1 < n ? digits[v >> 6 & 63] : '=';
      *p++ = i + 2 < n ? digits[v & 63] : '=';
    }
  *p = '\0';
  return out;
}

/* Write a row of the operator's or the replicas'.  */
void
store_put (const char *table, const char *key, const char *text)
{
  char *value = base64 (text);

  pthread_mutex_lock (&lock);
  version++;
  set (table, "", key, value);
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
  free (value);
}

static json_t *
row_json (const struct row *r)
{
  json_t *o
      = json_pack ("{s:s, s:s, s:s, s:I}", "table", r->table, "part", r->part,
                   "key", r->key, "rowVersion", (json_int_t)r->version);

  if (r->value)
    json_object_set_new (o, "value", json_string (r->value));
  else
    json_object_set_new (o, "deleted", json_true ());
  return o;
}

static void
answer_json (struct conn *c, int status, json_t *o)
{
  char *text;

  json_object_set_new (o, "nowMs", json_integer (now_ms ()));
  text = json_dumps (o, JSON_COMPACT);
  answer (c, status, "Content-Type: application/json\r\n", text,
          strlen (text));
  free (text);
  json_decref (o);
}

static const char *
text_of (json_t *o, const char *key)
{
  const char *v = json_string_value (json_object_get (o, key));

  return v ? v : "";
}

static void
transact (struct conn *c, const struct message *m)
{
  json_t *doc = json_loadb (m->body, m->body_n, 0, NULL);
  json_t *found = json_array ();
  bool failed = false;
  json_t *o;
  size_t i;
  json_t *out;

  pthread_mutex_lock (&lock);
  json_array_foreach (json_object_get (doc, "expectedRevision"), i, o)
  {
    struct row *r
        = find (text_of (o, "table"), text_of (o, "part"), text_of (o, "key"));
    int64_t have = r && r->value ? r->version : 0;

    failed = failed
             || have != json_integer_value (json_object_get (o, "rowVersion"));
    if (have)
      json_array_append_new (found, row_json (r));
  }
  if (!failed)
    {
      version++;
      json_array_foreach (json_object_get (doc, "writes"), i, o)
          set (text_of (o, "table"), text_of (o, "part"), text_of (o, "key"),
               text_of (o, "value"));
      json_array_foreach (json_object_get (doc, "remove"), i, o) set (
          text_of (o, "table"), text_of (o, "part"), text_of (o, "key"), NULL);
      pthread_cond_broadcast (&changed);
    }
  out = json_pack ("{s:I}", "rowVersion", (json_int_t)version);
  pthread_mutex_unlock (&lock);
  if (failed)
    json_object_set (out, "rows", found);
  json_decref (found);
  json_decref (doc);
  answer_json (c, failed ? 412 : 200, out);
}

/* The decoded parameter NAME of TARGET; NULL if it has none.  */
static char *
parameter (const char *target, const char *name, char *out, size_t size)
{
  const char *p = strchr (target, '?');
  size_t n = strlen (name);
  size_t k = 0;

  for (; p; p = strchr (p, '&'))
    {
      p++;
      if (strncmp (p, name, n) != 0 || p[n] != '=')
        continue;
      for (p += n + 1; *p && *p != '&' && k + 1 < size; p++)
        {
          unsigned v;

          if (*p == '%' && sscanf (p + 1, "%2x", &v) == 1)
            {
              out[k++] = (char)v;
              p += 2;
            }
          else
            out[k++] = *p;
        }
      out[k] = '\0';
      return out;
    }
  return NULL;
}

static int
by_key (const void *a, const void *b)
{
  return strcmp ((*(struct row *const *)a)->key,
                 (*(struct row *const *)b)->key);
}

static int
by_version (const void *a, const void *b)
{
  int64_t x = (*(struct row *const *)a)->version;
  int64_t y = (*(struct row *const *)b)->version;

  return x < y ? -1 : x > y;
}

static void
get (struct conn *c, const char *target)
{
  char t[512], p[512], f[512], u[512], l[32];
  const char *table = parameter (target, "table", t, sizeof t);
  const char *part = parameter (target, "part", p, sizeof p);
  const char *from = parameter (target, "from", f, sizeof f);
  const char *to = parameter (target, "to", u, sizeof u);
  size_t limit = parameter (target, "limit", l, sizeof l)
                     ? strtoul (l, NULL, 10)
                     : PAGE_ROWS;
  struct row **found;
  size_t n = 0;
  size_t k = 0;
  size_t size = 0;
  json_t *list = json_array ();
  json_t *out;

  pthread_mutex_lock (&lock);
  found = malloc ((n_rows + 1) * sizeof *found);
  for (size_t i = 0; table && i < n_rows; i++)
    if (rows[i].value && !strcmp (rows[i].table, table)
        && !strcmp (rows[i].part, part ? part : "")
        && (!from || strcmp (rows[i].key, from) >= 0)
        && (!to || strcmp (rows[i].key, to) < 0))
      found[n++] = &rows[i];
  qsort (found, n, sizeof *found, by_key);
  for (; k < n && k < limit && k < PAGE_ROWS; k++)
    {
      size += strlen (found[k]->value);
      if (k && size > PAGE_BYTES)
        break;
      json_array_append_new (list, row_json (found[k]));
    }
  out = json_pack ("{s:o, s:b, s:I}", "rows", list, "morePages", k < n,
                   "rowVersion", (json_int_t)version);
  pthread_mutex_unlock (&lock);
  free (found);
  answer_json (c, 200, out);
}

static void
parts (struct conn *c, const char *target)
{
  char t[512], a[512];
  const char *table = parameter (target, "table", t, sizeof t);
  const char *after = parameter (target, "after", a, sizeof a);
  json_t *seen = json_object ();
  json_t *list = json_array ();
  json_t *out;

  pthread_mutex_lock (&lock);
  for (size_t i = 0; table && i < n_rows; i++)
    if (rows[i].value && !strcmp (rows[i].table, table)
        && (!after || strcmp (rows[i].part, after) > 0)
        && !json_object_get (seen, rows[i].part))
      {
        json_object_set_new (seen, rows[i].part, json_true ());
        json_array_append_new (list, json_string (rows[i].part));
      }
  out = json_pack ("{s:o, s:b, s:I}", "parts", list, "morePages", 0,
                   "rowVersion", (json_int_t)version);
  pthread_mutex_unlock (&lock);
  json_decref (seen);
  answer_json (c, 200, out);
}

static void
feed (struct conn *c, const char *target)
{
  char t[512], a[64], w[64];
  const char *table = parameter (target, "table", t, sizeof t);
  int64_t after = parameter (target, "after", a, sizeof a) ? atoll (a) : 0;
  int64_t wait = parameter (target, "waitMs", w, sizeof w) ? atoll (w) : 0;
  int64_t until = now_ms () + wait;
  struct row **found = NULL;
  size_t n = 0;
  json_t *list = json_array ();
  json_t *out;

  pthread_mutex_lock (&lock);
  for (;;)
    {
      struct timespec at;

      found = realloc (found, (n_rows + 1) * sizeof *found);
      for (size_t i = 0; table && i < n_rows; i++)
        if (rows[i].version > after && !strcmp (rows[i].table, table))
          found[n++] = &rows[i];
      if (n || now_ms () >= until)
        break;
      clock_gettime (CLOCK_REALTIME, &at);
      at.tv_nsec += 20000000;
      at.tv_sec += at.tv_nsec / 1000000000;
      at.tv_nsec %= 1000000000;
      pthread_cond_timedwait (&changed, &lock, &at);
    }
  qsort (found, n, sizeof *found, by_version);
  for (size_t i = 0; i < n; i++)
    json_array_append_new (list, row_json (found[i]));
  out = json_pack ("{s:o, s:I}", "rows", list, "rowVersion",
                   (json_int_t)version);
  pthread_mutex_unlock (&lock);
  free (found);
  answer_json (c, 200, out);
}

static struct object *
find_object (const char *name)
{
  for (size_t i = 0; i < n_objects; i++)
    if (objects[i].data && !strcmp (objects[i].name, name))
      return &objects[i];
  return NULL;
}

static void
put_object (struct conn *c, const char *name, const struct message *m)
{
  int status = 412;

  pthread_mutex_lock (&lock);
  if (!find_object (name))
    {
      objects = realloc (objects, (n_objects + 1) * sizeof *objects);
      objects[n_objects].name = strdup (name);
      objects[n_objects].data = malloc (m->body_n + 1);
      memcpy (objects[n_objects].data, m->body, m->body_n);
      objects[n_objects++].n = m->body_n;
      status = 200;
    }
  pthread_mutex_unlock (&lock);
  answer_json (c, status, json_object ());
}

static void
get_object (struct conn *c, const char *name)
{
  struct object *o;
  char *copy = NULL;
  size_t n = 0;

  pthread_mutex_lock (&lock);
  o = find_object (name);
  if (o)
    {
      n = o->n;
      copy = malloc (n + 1);
      memcpy (copy, o->data, n);
    }
  pthread_mutex_unlock (&lock);
  answer (c, copy ? 200 : 404, "Content-Type: application/octet-stream\r\n",
          copy, n);
  free (copy);
}

static void
drop_object (struct conn *c, const char *name)
{
  struct object *o;

  pthread_mutex_lock (&lock);
  o = find_object (name);
  if (o)
    {
      free (o->data);
      o->data = NULL;
    }
  pthread_mutex_unlock (&lock);
  answer_json (c, o ? 200 : 404, json_object ());
}

static bool
is_call (const struct message *m, const char *method, const char *path)
{
  return !strcmp (m->line[0], method)
         && !strncmp (m->line[1], path, strlen (path));
}

static void
on_connection (void *ctx, struct conn *c)
{
  struct message m;

  (void)ctx;
  while (message_read_head (c, &m) && message_read_body (c, &m, false))
    {
      const char *t = m.line[1];

      if (is_call (&m, "POST", "/api/rows-tx"))
        transact (c, &m);
      else if (is_call (&m, "GET", "/api/rows-get"))
        get (c, t);
      else if (is_call (&m, "GET", "/api/rows-parts"))
        parts (c, t);
      else if (is_call (&m, "GET", "/api/rows-feed"))
        feed (c, t);
      else if (is_call (&m, "PUT", "/api/blob-put/"))
        put_object (c, t + strlen ("/api/blob-put/"), &m);
      else if (is_call (&m, "GET", "/api/blob-get/"))
        get_object (c, t + strlen ("/api/blob-get/"));
      else if (is_call (&m, "DELETE", "/api/blob-drop/"))
        drop_object (c, t + strlen ("/api/blob-drop/"));
      else
        answer_json (c, 404, json_object ());
      message_clear (&m);
    }
  message_clear (&m);
}

uint16_t
store_start (void)
{
  rows = calloc (ROWS_MAX, sizeof *rows);
  return serve (on_connection, NULL);
}
