/* One plan or apply under way.  Inside the package only.  */
#ifndef WY_CONFIG_APPLY_REQUEST_H
#define WY_CONFIG_APPLY_REQUEST_H

#include "base/id.h"
#include "config/apply.h"

#define WY_CONFIG_CURRENT "config/current"

#define WY_CONFIG_REV_KEY_SIZE_BYTES 40

struct wy_config_service
{
  struct wy_config_service_options o;
};

/* One plan or apply under way.  */
struct wy_config_job
{
  struct wy_config_service *service;
  struct wy_http_exchange *ex; /* NULL: the operator has gone */
  bool apply;
  struct wy_document *after;
  struct wy_document *before; /* at revision base */
  int64_t base;
  int64_t base_rev;   /* of the row */
  char *digest;       /* that the operator confirms */
  int64_t planned_on; /* revision, -1: not named */
  char op[WY_ID_SIZE_BYTES];
  char rev_key[WY_CONFIG_REV_KEY_SIZE_BYTES];
  char *text; /* of the new document */
};

void wy_config_job_free (struct wy_config_job *j);
void wy_config_problem (struct wy_config_job *j, int status, const char *title,
                        const char *detail, uint32_t retry_after_ms,
                        json_t *members);
void wy_config_store_problem (struct wy_config_job *j,
                              const struct wy_store_result *r);
json_t *wy_config_diff (const struct wy_document *a,
                        const struct wy_document *b);
int wy_config_row_document (const struct wy_store_row *row,
                            struct wy_document **out, int64_t *revision);
void wy_config_conflict (struct wy_config_job *j,
                         const struct wy_store_row *row);
void wy_config_explain (struct wy_config_job *j);

#endif
