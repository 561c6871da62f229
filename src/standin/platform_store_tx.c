/* Transactions of the stand-in of the platform's store.  */
#include "standin/platform_store_state.h"

#include <string.h>

enum
{
  ROW_LIMIT_BYTES = 65536,
  TX_ENTRIES_MAX = 100
};

struct delayed_tx
{
  struct wy_platform_store *store;
  json_t *doc;
  uv_timer_t timer;
};

static const char *
text (json_t *o, const char *key)
{
  const char *v = json_string_value (json_object_get (o, key));

  return v ? v : "";
}

static json_t *
failed_conditions (const struct wy_platform_store *s, json_t *doc)
{
  json_t *out = json_array ();
  bool failed = false;
  json_t *c;
  size_t i;

  json_array_foreach (json_object_get (doc, "expectedRevision"), i, c)
  {
    const struct wy_platform_row *r = wy_platform_store_find (
        s, text (c, "table"), text (c, "part"), text (c, "key"));
    int64_t expected = json_integer_value (json_object_get (c, "rowVersion"));
    bool exists = r && !r->deleted;

    failed = failed || (exists ? r->version : 0) != expected;
    if (exists)
      json_array_append_new (out, wy_platform_store_row_json (r));
  }
  if (failed)
    return out;
  json_decref (out);
  return NULL;
}

/* Return why DOC is no valid transaction, or NULL if it is one.  */
static const char *
invalid (json_t *doc)
{
  json_t *w;
  size_t i;
  size_t n = json_array_size (json_object_get (doc, "writes"))
             + json_array_size (json_object_get (doc, "expectedRevision"))
             + json_array_size (json_object_get (doc, "remove"));

  if (!json_is_object (doc) || n > TX_ENTRIES_MAX)
    return "entries";
  json_array_foreach (json_object_get (doc, "writes"), i,
                      w) if (!*text (w, "key")
                             || strlen (text (w, "value"))
                                    > ROW_LIMIT_BYTES) return "row";
  return NULL;
}

/* Perform the transaction DOC.  Return 200, or 412 if a condition failed, with
   the existing rows that the conditions name in *OUT.  */
static int
perform (struct wy_platform_store *s, json_t *doc, json_t **out)
{
  json_t *w;
  size_t i;

  *out = failed_conditions (s, doc);
  if (*out)
    return 412;
  s->version++;
  json_array_foreach (json_object_get (doc, "writes"), i, w)
      wy_platform_store_set (s, text (w, "table"), text (w, "part"),
                             text (w, "key"), text (w, "value"));
  json_array_foreach (json_object_get (doc, "remove"), i,
                      w) if (wy_platform_store_find (s, text (w, "table"),
                                                     text (w, "part"),
                                                     text (w, "key")))
      wy_platform_store_set (s, text (w, "table"), text (w, "part"),
                             text (w, "key"), NULL);
  return 200;
}

static void
on_delay_closed (uv_handle_t *h)
{
  g_free (h->data);
}

static void
on_delay_end (uv_timer_t *t)
{
  struct delayed_tx *l = t->data;
  json_t *rows;

  perform (l->store, l->doc, &rows);
  json_decref (rows);
  json_decref (l->doc);
  uv_close ((uv_handle_t *)t, on_delay_closed);
}

static void
perform_delayed (struct wy_platform_store *s, json_t *doc)
{
  struct delayed_tx *l = g_new0 (struct delayed_tx, 1);

  l->store = s;
  l->doc = json_incref (doc);
  uv_timer_init (s->loop, &l->timer);
  l->timer.data = l;
  uv_timer_start (&l->timer, on_delay_end, s->faults.delay_tx_ms, 0);
}

/* Handle the transaction R, subject to the injected faults.  */
void
wy_platform_store_transact (struct wy_platform_store *s,
                            struct wy_h1_request *r)
{
  size_t n;
  const char *body = wy_h1_body (r, &n);
  json_t *doc = json_loadb (body, n, 0, NULL);
  json_t *rows = NULL;
  int status;

  if (invalid (doc))
    wy_platform_store_respond (s, r, 400, NULL);
  else if (s->faults.delay_tx)
    {
      s->faults.delay_tx--;
      perform_delayed (s, doc);
      wy_h1_abort (r);
    }
  else
    {
      status = perform (s, doc, &rows);
      if (s->faults.lose_response)
        {
          s->faults.lose_response--;
          json_decref (rows);
          wy_h1_abort (r);
        }
      else
        wy_platform_store_respond (
            s, r, status, rows ? json_pack ("{s:o}", "rows", rows) : NULL);
    }
  json_decref (doc);
}
