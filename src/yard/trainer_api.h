/* HTTP interface for trainers.  Internal to this module.  */
#ifndef WY_YARD_TRAINER_API_H
#define WY_YARD_TRAINER_API_H

#include "base/id.h"
#include "http/json.h"
#include "yard/step_row.h"
#include "yard/yard.h"

/* One pending request of a trainer.  */
struct wy_trainer_request
{
  struct wy_yard *owner;
  struct wy_store *store;
  struct wy_trace *trace;
  const struct wy_clock *clock;
  struct wy_http_exchange *ex; /* NULL: the trainer has disconnected */
  char *yard;
  char *trainer;
  int64_t step;
  uint32_t bound_max; /* staleness bound of the yard */
  char *step_key;
  char *current_key;
  char *floor_key;
  char op[WY_ID_SIZE_BYTES];
  struct wy_step_row row;
  bool has_row;
  int64_t current; /* newest published version; 0: none */
  int64_t current_rev;
  int64_t floor; /* highest step whose row has been deleted */
  int64_t floor_rev;
  json_t *body;  /* of the request */
  json_t *batch; /* from the object store */
  int64_t version;
  char *version_key;
};

void wy_yard_row_changed (struct wy_yard *y, const char *yard,
                          const char *trainer);
bool wy_yard_is_configured (const struct wy_yard *y, const char *yard,
                            const char *trainer, uint32_t *bound);
const struct wy_yard_options *wy_yard_options_of (const struct wy_yard *y);

void wy_trainer_submit (struct wy_trainer_request *c);
void wy_trainer_batch (struct wy_trainer_request *c);
void wy_trainer_ack (struct wy_trainer_request *c);
void wy_trainer_publish (struct wy_trainer_request *c);

void wy_trainer_respond (struct wy_trainer_request *c, int status,
                         json_t *body);
void wy_trainer_respond_problem (struct wy_trainer_request *c, int status,
                                 const char *title, const char *detail);
void wy_trainer_respond_store_error (struct wy_trainer_request *c,
                                     const struct wy_store_result *r);
void wy_trainer_respond_pending (struct wy_trainer_request *c);
int wy_trainer_parse_rows (struct wy_trainer_request *c,
                           const struct wy_store_result *r);
void wy_trainer_read_rows (struct wy_trainer_request *c,
                           void (*on_done) (void *ctx,
                                            const struct wy_store_result *r));
void wy_trainer_write_step (struct wy_trainer_request *c, const char *cause,
                            bool at_current,
                            void (*on_done) (void *ctx,
                                             const struct wy_store_result *r));

#endif
