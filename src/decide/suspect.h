/* Requests that crash the targets that run them.  */
#ifndef WY_DECIDE_SUSPECT_H
#define WY_DECIDE_SUSPECT_H

#include <stdbool.h>
#include <stdint.h>

#define WY_SUSPECTS_MAX 1024
#define WY_SUSPECT_CRASHES_MAX 2
#define WY_CLEARED_MAX 32

enum wy_suspicion
{
  WY_SUSPICION_NONE,
  WY_SUSPICION_ISOLATE, /* run it only while nothing else runs on the target */
  WY_SUSPICION_REFUSE,  /* two targets crashed while they ran it */
};

struct wy_suspect
{
  uint64_t fingerprint; /* 0: free slot */
  /* Incarnations that crashed under it.  The entries that share targets by
     agents use the target itself.  */
  uint64_t target[WY_SUSPECT_CRASHES_MAX];
  int64_t at_ms[WY_SUSPECT_CRASHES_MAX];
  bool is_verified[WY_SUSPECT_CRASHES_MAX];
  uint32_t crashes;          /* number of different incarnations */
  uint32_t isolated_crashes; /* when nothing else was running */
  int64_t seen_ms;           /* last crash or last report by another entry */
  bool is_remote;            /* known only from another entry */
  /* When another entry told of it directly; 0: the store has it, or this entry
     has seen it itself.  */
  int64_t told_ms;
  uint32_t unstored_rounds; /* since then */
};

/* A request that is no longer suspect.  */
struct wy_cleared
{
  uint64_t fingerprint; /* 0: free slot */
  int64_t at_ms;
};

struct wy_suspects
{
  struct wy_suspect slot[WY_SUSPECTS_MAX];
  uint32_t n;
  struct wy_cleared cleared[WY_CLEARED_MAX]; /* ring buffer */
  uint32_t next_cleared;
};

uint64_t wy_fingerprint (const char *key, const void *body,
                         uint64_t size_bytes);
void wy_suspects_init (struct wy_suspects *s);
uint32_t wy_suspects_record_crash (struct wy_suspects *s, uint64_t fingerprint,
                                   uint64_t target, uint32_t running,
                                   int64_t now_ms);
void wy_suspects_clear_lasting (struct wy_suspects *s, uint64_t fingerprint,
                                int64_t now_ms);
bool wy_suspects_hear (struct wy_suspects *s, const struct wy_suspect *other,
                       int64_t now_ms);
void wy_suspects_stored (struct wy_suspects *s, const struct wy_suspect *other,
                         int64_t now_ms);
uint64_t wy_suspects_next_unstored (struct wy_suspects *s, int64_t age_ms,
                                    int64_t now_ms);
uint32_t wy_suspects_await_stored (struct wy_suspects *s, uint64_t fingerprint,
                                   int64_t now_ms);
void wy_suspects_adopt (struct wy_suspects *s, uint64_t fingerprint,
                        int64_t now_ms);
uint32_t
wy_suspects_verify (struct wy_suspects *s, uint32_t slot, int64_t age_ms,
                    bool (*is_running) (const void *ctx, uint64_t target),
                    const void *ctx, int64_t now_ms);
void wy_suspects_clear (struct wy_suspects *s, uint64_t fingerprint);
uint32_t wy_suspects_crashes (struct wy_suspects *s, uint64_t fingerprint,
                              int64_t now_ms);
enum wy_suspicion wy_suspects_check (struct wy_suspects *s,
                                     uint64_t fingerprint, int64_t now_ms);
uint32_t wy_suspects_merge (struct wy_suspects *s,
                            const struct wy_suspect *other, int64_t now_ms);

#endif
