/* The two rows of a lease.  */
#include "lease/rows.h"

#include <string.h>

/* Parse R, the result of wy_lease_rows_read, into OUT.  */
void
wy_lease_rows_parse (const struct wy_lease *l, const struct wy_store_result *r,
                     struct wy_lease_row *out)
{
  const struct wy_store_row *row = wy_store_find_row (r, l->key);
  const struct wy_store_row *token_row = wy_store_find_row (r, l->token_key);

  memset (out, 0, sizeof *out);
  if (row)
    {
      const char *holder
          = json_string_value (json_object_get (row->value, "holder"));

      out->rev = row->rev;
      out->ttl_ms = (uint32_t)json_integer_value (
          json_object_get (row->value, "ttl_ms"));
      out->released = json_is_true (json_object_get (row->value, "released"));
      out->own = holder && !strcmp (holder, l->holder);
    }
  if (token_row)
    {
      out->token_rev = token_row->rev;
      out->fencing_token
          = json_integer_value (json_object_get (token_row->value, "fence"));
    }
}

static json_t *
row_value (struct wy_lease *l, bool released)
{
  return json_pack ("{s:s, s:I, s:b, s:s}", "holder", l->holder, "ttl_ms",
                    (json_int_t)l->state.ttl_ms, "released", released, "op",
                    l->op);
}

/* Write the lease row as RELEASED or held.  When ACQUIRE, also write the row
   of the fencing token, with the next token.  */
void
wy_lease_rows_write (struct wy_lease *l, bool acquire, bool released,
                     void (*on_done) (void *ctx,
                                      const struct wy_store_result *r))
{
  const struct wy_lease_row *row = &l->state.row;
  json_t *value;
  json_t *token;

  wy_id_new (l->o.clock, l->op);
  value = row_value (l, released);
  token = json_pack ("{s:I, s:s, s:s}", "fence",
                     (json_int_t)row->fencing_token + 1, "holder", l->holder,
                     "op", l->op);
  {
    struct wy_store_condition conditions[]
        = { { l->key, row->rev }, { l->token_key, row->token_rev } };
    struct wy_store_write writes[]
        = { { l->key, value }, { l->token_key, token } };
    struct wy_store_txn txn = { .cause = "lease",
                                .op = l->op,
                                .conditions = conditions,
                                .n_conditions = acquire ? 2 : 1,
                                .writes = writes,
                                .n_writes = acquire ? 2 : 1,
                                .total_timeout_ms = WY_LEASE_TTL_MAX_MS,
                                .urgent = true };

    wy_store_txn (l->o.store, &txn, on_done, l);
  }
  json_decref (value);
  json_decref (token);
}

/* Read both rows.  */
void
wy_lease_rows_read (struct wy_lease *l,
                    void (*on_done) (void *ctx,
                                     const struct wy_store_result *r))
{
  const char *keys[] = { l->key, l->token_key };
  struct wy_store_read r = { .cause = "lease",
                             .keys = keys,
                             .n_keys = 2,
                             .total_timeout_ms = WY_LEASE_TTL_MAX_MS,
                             .urgent = true };

  wy_store_read (l->o.store, &r, on_done, l);
}
