/* Equal requests that run one at a time at this entry.  */
#ifndef WY_GATE_ISOLATION_H
#define WY_GATE_ISOLATION_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* How requests with one fingerprint have ended shortly after a crash.  */
enum wy_isolation_outcome
{
  WY_ISOLATION_UNKNOWN,
  WY_ISOLATION_FAILED,
  WY_ISOLATION_ANSWERED /* any of them: it doesn't crash targets */
};

/* Zero-initialized.  */
struct wy_isolation
{
  int64_t crash_seen_ms; /* of any target; 0: none */
  GHashTable *running;   /* fingerprint to number of requests; NULL: none */
  /* Fingerprints to enum wy_isolation_outcome, since targets crash; NULL:
     none.  */
  GHashTable *outcomes;
};

void wy_isolation_crash_seen (struct wy_isolation *i, int64_t now_ms);
bool wy_isolation_is_alert (const struct wy_isolation *i, int64_t now_ms);
void wy_isolation_begin (struct wy_isolation *i, uint64_t fingerprint);
void wy_isolation_end (struct wy_isolation *i, uint64_t fingerprint);
void wy_isolation_ended (struct wy_isolation *i, uint64_t fingerprint,
                         enum wy_isolation_outcome outcome);
enum wy_isolation_outcome wy_isolation_outcome (const struct wy_isolation *i,
                                                uint64_t fingerprint);
bool wy_isolation_is_running (const struct wy_isolation *i,
                              uint64_t fingerprint);

#endif
