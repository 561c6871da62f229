/* Equal requests that run one at a time at this entry, and what is known of
   requests since targets crash.  */
#ifndef WY_GATE_ISOLATION_H
#define WY_GATE_ISOLATION_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#define WY_ISOLATION_ANSWERED_MAX 1024

struct wy_answered_request
{
  uint64_t fingerprint; /* 0: free slot */
  int64_t at_ms;
};

/* Zero-initialized.  */
struct wy_isolation
{
  GHashTable
      *crash_seen_ms;    /* service to time of the last crash; NULL: none */
  int64_t last_crash_ms; /* of any service; 0: none */
  GHashTable *running;   /* fingerprint to number of requests; NULL: none */
  struct wy_answered_request answered[WY_ISOLATION_ANSWERED_MAX]; /* ring */
  uint32_t next_answered;
};

void wy_isolation_crash_seen (struct wy_isolation *i, const char *service,
                              int64_t now_ms);
bool wy_isolation_has_crashed (const struct wy_isolation *i,
                               const char *service, int64_t now_ms);
void wy_isolation_begin (struct wy_isolation *i, uint64_t fingerprint);
void wy_isolation_end (struct wy_isolation *i, uint64_t fingerprint);
bool wy_isolation_is_running (const struct wy_isolation *i,
                              uint64_t fingerprint);
void wy_isolation_note_answer (struct wy_isolation *i, uint64_t fingerprint,
                               int64_t now_ms);
bool wy_isolation_was_answered (const struct wy_isolation *i,
                                uint64_t fingerprint, int64_t now_ms);

#endif
