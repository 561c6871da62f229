/* The verify function of each invariant, and the helpers they share.  */
#ifndef WY_CHECK_INVARIANTS_H
#define WY_CHECK_INVARIANTS_H

#include <stdbool.h>

#include "check/check.h"

void wy_check_violation (struct wy_check *c, const char *invariant,
                         const struct wy_event *a, const struct wy_event *b,
                         const char *fmt, ...)
    __attribute__ ((format (printf, 5, 6)));
bool wy_event_is (const struct wy_event *e, const char *name);
GHashTable *wy_check_index (const struct wy_check *c, const char *name,
                            const char *key);
GPtrArray *wy_check_lookup (GHashTable *index, const char *value);
GHashTable *wy_check_keys (const struct wy_check *c, const char *name,
                           char *(*key_of) (const struct wy_event *e));
char *wy_check_step_key (const struct wy_event *e);
bool wy_check_has (const struct wy_check *c, const char *name);

void wy_verify_attribution (struct wy_check *c);
void wy_verify_staleness (struct wy_check *c);
void wy_verify_delivery (struct wy_check *c);
void wy_verify_whole_answer (struct wy_check *c);
void wy_verify_not_run (struct wy_check *c);
void wy_verify_at_most_once (struct wy_check *c);
void wy_verify_leaving (struct wy_check *c);
void wy_verify_graceful_stop (struct wy_check *c);
void wy_verify_configuration (struct wy_check *c);
void wy_verify_fencing (struct wy_check *c);
void wy_verify_accounts (struct wy_check *c);
void wy_verify_order (struct wy_check *c);
void wy_verify_course (struct wy_check *c);
void wy_verify_results (struct wy_check *c);
void wy_verify_scores (struct wy_check *c);
void wy_verify_crashes (struct wy_check *c);

#endif
