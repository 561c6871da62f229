/* Pauses reading from peers while the memory of the process is short.  */
#ifndef WY_H1_READ_PAUSE_H
#define WY_H1_READ_PAUSE_H

#include "base/memory_account.h"
#include "h1/client.h"

/* A call whose response is passed on to a reader or stored.  */
struct wy_read_source
{
  struct wy_h1_call *call;
  const struct wy_h1_request *reader; /* NULL: the data is stored */
  size_t stored_bytes;
  bool listed; /* among the sources that have received data */
  bool paused;
  uint64_t turn; /* in which it may be read although the level forbids it */
  void (*on_resume) (void *ctx);
  void *ctx;
  GList link;        /* in the list of sources */
  GList paused_link; /* in the list of paused ones */
};

struct wy_read_pauses;

struct wy_read_pauses *wy_read_pauses_new (uv_loop_t *loop,
                                           struct wy_memory_account *memory);
void wy_read_pauses_free (struct wy_read_pauses *p);
uint32_t wy_read_pauses_count (const struct wy_read_pauses *p);
void wy_read_source_received (struct wy_read_pauses *p,
                              struct wy_read_source *s);
void wy_read_source_end (struct wy_read_pauses *p, struct wy_read_source *s);

#endif
