/* Incarnations of processes in a timeline.  */
#ifndef WY_CHECK_INCARNATIONS_H
#define WY_CHECK_INCARNATIONS_H

#include <stdbool.h>

#include "check/check.h"

struct wy_lives;

struct wy_lives *wy_lives_new (const struct wy_timeline *t);
void wy_lives_free (struct wy_lives *l);
bool wy_lives_ended (const struct wy_lives *l, const struct wy_event *e);
bool wy_lives_killed (const struct wy_lives *l, const char *incarnation);
bool wy_lives_any_killed (const struct wy_lives *l, const char *role);
char *wy_event_life (const struct wy_event *e);
char *wy_event_life_key (const struct wy_event *e, const char *key);

#endif
