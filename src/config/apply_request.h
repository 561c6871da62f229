/* State of a plan or apply request.  Private to src/config.  */
#ifndef WY_CONFIG_APPLY_REQUEST_H
#define WY_CONFIG_APPLY_REQUEST_H

#include "base/id.h"
#include "config/apply.h"

#define WY_CONFIG_CURRENT_KEY "config/current"

#define WY_CONFIG_REV_KEY_SIZE_BYTES 40

struct wy_config_service
{
  struct wy_config_service_options o;
};

struct wy_config_request
{
  struct wy_config_service *service;
  struct wy_http_exchange *ex; /* NULL: the operator has disconnected */
  bool is_apply;               /* else only a plan */
  struct wy_document *after;
  struct wy_document *before; /* at revision base */
  int64_t base;
  int64_t base_rev;  /* row revision in the store */
  char *digest;      /* of the plan, as given in the request */
  int64_t plan_base; /* base revision given in the request; -1: none */
  char op[WY_ID_SIZE_BYTES];
  char rev_key[WY_CONFIG_REV_KEY_SIZE_BYTES];
  char *text; /* JSON of the new document */
};

void wy_config_request_free (struct wy_config_request *req);
void wy_config_respond_problem (struct wy_config_request *req, int status,
                                const char *title, const char *detail,
                                uint32_t retry_after_ms, json_t *members);
void wy_config_respond_store_error (struct wy_config_request *req,
                                    const struct wy_store_result *r);
json_t *wy_config_diff (const struct wy_document *a,
                        const struct wy_document *b);
int wy_config_parse_row (const struct wy_store_row *row,
                         struct wy_document **out, int64_t *revision);
void wy_config_respond_conflict (struct wy_config_request *req,
                                 const struct wy_store_row *row);
void wy_config_respond_stale_plan (struct wy_config_request *req);

#endif
