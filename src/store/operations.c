/* Operations on the table service and the object store: builds the calls and
   queues them.  */
#include <stdlib.h>
#include <string.h>

#include "store/call.h"

/* For all attempts of one call: two that time out and a third.  */
#define TOTAL_TIMEOUT_MS 20000

/* Create a call of KIND, which is in no queue yet.  */
struct wy_store_call *
wy_store_call_new (struct wy_store *s, enum wy_store_call_kind kind,
                   const char *cause)
{
  struct wy_store_call *c = g_malloc0 (sizeof *c);

  c->store = s;
  c->kind = kind;
  c->cause = cause;
  c->link.data = c;
  c->body = g_string_new (NULL);
  c->response = g_string_new (NULL);
  c->deadline_ms = wy_clock_mono_ms (s->o.clock) + TOTAL_TIMEOUT_MS;
  return c;
}

static void
enqueue (struct wy_store_call *c, uint32_t budget_ms, bool urgent)
{
  struct wy_store *s = c->store;

  if (budget_ms)
    c->deadline_ms = wy_clock_mono_ms (s->o.clock) + budget_ms;
  wy_retry_request (&s->retry_budget);
  if (s->breaker.is_open)
    c->local_err = WY_STORE_EUNAVAILABLE;
  else if (s->waiting.length >= s->o.queue_limit && !urgent)
    c->local_err = WY_STORE_ELIMIT;
  if (urgent)
    g_queue_push_head_link (&s->waiting, &c->link);
  else
    g_queue_push_tail_link (&s->waiting, &c->link);
  wy_store_wake (s);
}

static void
set_body (struct wy_store_call *c, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);

  g_string_assign (c->body, text);
  free (text);
  json_decref (json);
}

/* Carry out T, which is copied.  ON_DONE gets 0, WY_STORE_ECONFLICT with the
   rows whose conditions failed, WY_STORE_EUNKNOWN if T may have been carried
   out, or another error if it was not.  */
void
wy_store_txn (struct wy_store *s, const struct wy_store_txn *t,
              void (*on_done) (void *ctx, const struct wy_store_result *r),
              void *ctx)
{
  struct wy_store_call *c = wy_store_call_new (s, WY_STORE_CALL_TXN, t->cause);
  json_t *conditions = json_array ();
  json_t *writes = json_array ();

  for (size_t i = 0; i < t->n_conditions; i++)
    json_array_append_new (
        conditions, json_pack ("{s:s, s:I}", "key", t->conditions[i].key,
                               "rev", (json_int_t)t->conditions[i].rev));
  for (size_t i = 0; i < t->n_writes; i++)
    json_array_append_new (writes,
                           json_pack ("{s:s, s:O?}", "key", t->writes[i].key,
                                      "value", t->writes[i].value));
  c->path = g_strdup ("/txn");
  c->op = g_strdup (t->op);
  c->on_done = on_done;
  c->ctx = ctx;
  set_body (
      c, json_pack ("{s:o, s:o}", "conditions", conditions, "writes", writes));
  enqueue (c, t->total_timeout_ms, t->urgent);
}

/* Read the rows of the keys or of the prefix in R.  Absent rows may be missing
   from the result.  */
void
wy_store_read (struct wy_store *s, const struct wy_store_read *r,
               void (*on_done) (void *ctx, const struct wy_store_result *r),
               void *ctx)
{
  struct wy_store_call *c
      = wy_store_call_new (s, WY_STORE_CALL_READ, r->cause);
  json_t *keys = json_array ();

  for (size_t i = 0; i < r->n_keys; i++)
    json_array_append_new (keys, json_string (r->keys[i]));
  c->path = g_strdup ("/read");
  c->on_done = on_done;
  c->ctx = ctx;
  if (r->prefix)
    set_body (c, json_pack ("{s:s}", "prefix", r->prefix));
  else
    set_body (c, json_pack ("{s:O}", "keys", keys));
  json_decref (keys);
  enqueue (c, r->total_timeout_ms, r->urgent);
}

/* Store the SIZE_BYTES at P as object KEY.  The operation is idempotent: it is
   sent again when a response is lost.  */
void
wy_store_put_object (struct wy_store *s, const char *cause, const char *key,
                     const void *p, size_t size_bytes,
                     void (*on_done) (void *ctx,
                                      const struct wy_store_result *r),
                     void *ctx)
{
  struct wy_store_call *c = wy_store_call_new (s, WY_STORE_CALL_PUT, cause);

  c->path = g_strdup_printf ("/objects/%s", key);
  g_string_append_len (c->body, p, (gssize)size_bytes);
  c->on_done = on_done;
  c->ctx = ctx;
  enqueue (c, 0, false);
}

/* Read object KEY.  ON_DONE gets WY_STORE_ENOTFOUND if there is none.  */
void
wy_store_get_object (struct wy_store *s, const char *cause, const char *key,
                     void (*on_done) (void *ctx,
                                      const struct wy_store_result *r),
                     void *ctx)
{
  struct wy_store_call *c = wy_store_call_new (s, WY_STORE_CALL_GET, cause);

  c->path = g_strdup_printf ("/objects/%s", key);
  c->on_done = on_done;
  c->ctx = ctx;
  enqueue (c, 0, false);
}

/* The row KEY of R, or NULL if it is absent.  */
const struct wy_store_row *
wy_store_find_row (const struct wy_store_result *r, const char *key)
{
  for (size_t i = 0; i < r->n_rows; i++)
    if (!strcmp (r->rows[i].key, key) && r->rows[i].value)
      return &r->rows[i];
  return NULL;
}
