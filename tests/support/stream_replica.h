/* A replica whose responses are scripts: one per request, step by step, down
   to parts of an event and responses without a length.  */
#ifndef WY_TESTS_STREAM_REPLICA_H
#define WY_TESTS_STREAM_REPLICA_H

#include <stdint.h>

#include <uv.h>

enum
{
  STREAM_STEPS_MAX = 16,
  STREAM_RUNS_MAX = 8
};

/* What a step sends.  Events N have the id N and the data "NAME RUN N", where
   RUN counts the requests that reached the replica.  */
enum stream_step_kind
{
  STREAM_OVER,         /* no further step; the connection stays open */
  STREAM_HEAD,         /* head of a stream of events, in chunks */
  STREAM_UNSIZED_HEAD, /* the same without chunks: ends with the connection */
  STREAM_TEXT,         /* TEXT as it is */
  STREAM_CHUNK,        /* TEXT in a chunk */
  STREAM_EVENTS,       /* events FROM to TO, each in a chunk of its own */
  STREAM_PART,         /* the first half of event FROM */
  STREAM_REST,         /* its second half */
  STREAM_END,          /* the last chunk */
  STREAM_CLOSE,
  STREAM_RESET
};

struct stream_step
{
  enum stream_step_kind kind;
  uint32_t wait_ms; /* before the step */
  int64_t from;
  int64_t to;
  const char *text;
};

struct stream_script
{
  struct stream_step steps[STREAM_STEPS_MAX];
};

struct stream_replica;

struct stream_replica_options
{
  uv_loop_t *loop;
  const char *name; /* in the data of events */
  /* Of each request in turn; the last one that has steps is repeated.  */
  const struct stream_script *scripts;
  uint32_t n_scripts;
};

struct stream_replica *
stream_replica_new (const struct stream_replica_options *o);
void stream_replica_free (struct stream_replica *r);
struct sockaddr_in stream_replica_address (const struct stream_replica *r);
uint32_t stream_replica_runs (const struct stream_replica *r);
uint32_t stream_replica_open_runs (const struct stream_replica *r);
int64_t stream_replica_resumed_after (const struct stream_replica *r,
                                      uint32_t run);

#endif
