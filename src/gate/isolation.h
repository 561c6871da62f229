/* Equal requests that run one at a time at this entry.  */
#ifndef WY_GATE_ISOLATION_H
#define WY_GATE_ISOLATION_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* Zero-initialized.  */
struct wy_isolation
{
  int64_t crash_seen_ms; /* of any target; 0: none */
  GHashTable *running;   /* fingerprint to number of requests; NULL: none */
  GHashTable *failed;    /* fingerprints; NULL: none */
};

void wy_isolation_crash_seen (struct wy_isolation *i, int64_t now_ms);
bool wy_isolation_is_alert (const struct wy_isolation *i, int64_t now_ms);
void wy_isolation_begin (struct wy_isolation *i, uint64_t fingerprint);
void wy_isolation_end (struct wy_isolation *i, uint64_t fingerprint);
void wy_isolation_failed (struct wy_isolation *i, uint64_t fingerprint);
bool wy_isolation_has_failed (const struct wy_isolation *i,
                              uint64_t fingerprint);
bool wy_isolation_is_running (const struct wy_isolation *i,
                              uint64_t fingerprint);

#endif
