/* The trainers' interface.  Inside the package only.  */
#ifndef WY_YARD_TRAINER_API_H
#define WY_YARD_TRAINER_API_H

#include "base/id.h"
#include "http/json.h"
#include "yard/step_row.h"
#include "yard/yard.h"

/* One call of a trainer under way.  */
struct wy_trainer_call
{
  struct wy_yard *owner;
  struct wy_store *store;
  struct wy_trace *trace;
  const struct wy_clock *clock;
  struct wy_http_exchange *ex; /* NULL: the trainer has gone */
  char *yard;
  char *trainer;
  int64_t step;
  uint32_t bound_max; /* of the yard */
  char *step_key;
  char *current_key;
  char *floor_key;
  char op[WY_ID_SIZE_BYTES];
  struct wy_step_row row;
  bool has_row;
  int64_t current; /* newest published version, 0: none */
  int64_t current_rev;
  int64_t floor;
  int64_t floor_rev;
  json_t *body;  /* as sent by the trainer */
  json_t *batch; /* as read from the object store */
  int64_t version;
  char *version_key;
};

void wy_yard_changed (struct wy_yard *y, const char *yard,
                      const char *trainer);
bool wy_yard_serves (const struct wy_yard *y, const char *yard,
                     const char *trainer, uint32_t *bound);
const struct wy_yard_options *wy_yard_options_of (const struct wy_yard *y);

void wy_trainer_submit (struct wy_trainer_call *c);
void wy_trainer_batch (struct wy_trainer_call *c);
void wy_trainer_ack (struct wy_trainer_call *c);
void wy_trainer_publish (struct wy_trainer_call *c);

void wy_trainer_answer (struct wy_trainer_call *c, int status, json_t *body);
void wy_trainer_problem (struct wy_trainer_call *c, int status,
                         const char *title, const char *detail);
void wy_trainer_store_problem (struct wy_trainer_call *c,
                               const struct wy_store_result *r);
void wy_trainer_wait (struct wy_trainer_call *c);
int wy_trainer_take_rows (struct wy_trainer_call *c,
                          const struct wy_store_result *r);
void wy_trainer_read (struct wy_trainer_call *c,
                      void (*on_done) (void *ctx,
                                       const struct wy_store_result *r));
void wy_trainer_write_step (struct wy_trainer_call *c, const char *cause,
                            bool at_current,
                            void (*on_done) (void *ctx,
                                             const struct wy_store_result *r));

#endif
