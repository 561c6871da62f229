/* Incarnations of processes in a timeline.  */
#ifndef WY_CHECK_INCARNATIONS_H
#define WY_CHECK_INCARNATIONS_H

#include <stdbool.h>

#include "check/check.h"

struct wy_incarnations;

struct wy_incarnations *wy_incarnations_new (const struct wy_timeline *t);
void wy_incarnations_free (struct wy_incarnations *l);
bool wy_incarnations_stopped (const struct wy_incarnations *l,
                              const struct wy_event *e);
bool wy_incarnations_killed (const struct wy_incarnations *l,
                             const char *incarnation);
bool wy_incarnations_role_killed (const struct wy_incarnations *l,
                                  const char *role);
char *wy_event_incarnation (const struct wy_event *e);
char *wy_event_incarnation_field (const struct wy_event *e, const char *key);

#endif
