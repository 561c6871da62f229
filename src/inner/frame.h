/* Frames exchanged by the processes of the system: a length of four bytes,
   big-endian, followed by one msgpack array.  */
#ifndef WY_INNER_FRAME_H
#define WY_INNER_FRAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#define WY_FRAME_SIZE_LIMIT_BYTES (16U << 20)
#define WY_MAC_SIZE_BYTES 32
#define WY_NONCE_SIZE_BYTES 32
#define WY_NAME_SIZE_LIMIT_BYTES 256 /* of identifiers and names */

enum wy_inner_error
{
  WY_INNER_ETRUNCATED = -201, /* more bytes are needed */
  WY_INNER_ETOOBIG = -202,
  WY_INNER_EMALFORMED = -203,
  WY_INNER_EAUTH = -204,
  WY_INNER_ECLOSED = -205,
  WY_INNER_ETIMEDOUT = -206,
  WY_INNER_EPROTOCOL = -207, /* the peer uses another protocol version */
  WY_INNER_ECONNECT = -208,
  WY_INNER_EBIND = -209,
  WY_INNER_EBACKLOG = -210 /* the peer reads too slowly */
};

enum wy_frame_kind
{
  WY_FRAME_HELLO = 1,
  WY_FRAME_CHALLENGE,
  WY_FRAME_PROOF,
  WY_FRAME_WELCOME,
  WY_FRAME_PING,
  WY_FRAME_PONG,
  WY_FRAME_SUBMIT,
  WY_FRAME_RESUME,
  WY_FRAME_CANCEL,
  WY_FRAME_ACK,
  WY_FRAME_ACCEPTED,
  WY_FRAME_REFUSED,
  WY_FRAME_HEAD,
  WY_FRAME_CHUNK,
  WY_FRAME_END,
  WY_FRAME_QUERY,
  WY_FRAME_OUTCOME,
  WY_FRAME_ORDER,
  WY_FRAME_ORDERED,
  WY_FRAME_CONFIG,
  WY_FRAME_LEAVING
};

/* What is known about the execution of a request.  */
enum wy_ran
{
  WY_RAN_NO,      /* proven not to have run */
  WY_RAN_UNKNOWN, /* may have run */
  WY_RAN_YES
};

enum wy_request_class
{
  WY_REQUEST_INTERACTIVE,
  WY_REQUEST_ROLLOUT
};

enum wy_refusal_reason
{
  WY_REFUSED_BUSY = 1, /* can't meet the deadline, or the target is down */
  WY_REFUSED_LEAVING,  /* accepts no new work */
  WY_REFUSED_SUSPECT,  /* crashed too many targets */
  WY_REFUSED_NOT_HOME, /* another target is the home of the key */
  WY_REFUSED_TOO_OLD,  /* may have run before this incarnation */
  WY_REFUSED_TOO_NEW,  /* issue time is in the future */
  WY_REFUSED_UNKNOWN_NAME,
  WY_REFUSED_BAD_REQUEST,
  WY_REFUSED_FULL,      /* memory is full of retained results */
  WY_REFUSED_NO_CONFIG, /* configuration unknown or too old */
  WY_REFUSED_VERSION,   /* weight version not served here */
  WY_REFUSED_LOST       /* the request is unknown here */
};

enum wy_run_result
{
  WY_RUN_DONE = 1,
  WY_RUN_FAILED,  /* the target responded with an error */
  WY_RUN_CRASHED, /* the target failed during the run */
  WY_RUN_CANCELLED,
  WY_RUN_TIMED_OUT
};

enum wy_order_kind
{
  WY_ORDER_STAGE = 1, /* fetch a weight version */
  WY_ORDER_ACTIVATE,
  WY_ORDER_DRAIN,
  WY_ORDER_UNDRAIN,
  WY_ORDER_UNBLOCK /* remove the block of a fingerprint */
};

/* Bytes inside a decoded frame; not owned, not NUL-terminated.  */
struct wy_bytes
{
  const char *p;
  uint32_t n;
};

struct wy_header_pair
{
  struct wy_bytes name;
  struct wy_bytes value;
};

/* Tokens FROM up to, but not including, TO were generated with VERSION.  */
struct wy_segment
{
  int64_t version;
  uint32_t from;
  uint32_t to;
};

struct wy_frame_hello
{
  struct wy_bytes process;
  struct wy_bytes incarnation;
  struct wy_bytes availability_zone;
  struct wy_bytes nonce;
  uint32_t protocol;
};

struct wy_frame_proof /* CHALLENGE and PROOF */
{
  uint32_t key_number;
  struct wy_bytes nonce;
  struct wy_bytes mac;
  struct wy_bytes process;
  struct wy_bytes incarnation;
  struct wy_bytes availability_zone;
};

/* Load of a target as known to its agent.  */
struct wy_target_load
{
  uint32_t running;
  uint32_t queued_interactive;
  uint32_t queued_rollout;
  int64_t kv_used_tokens;
  int64_t kv_total_tokens;
  uint32_t completed_milli_per_s; /* requests completed per 1000 s */
  int64_t version;                /* weight version in force; 0: none */
  int64_t staged_version;
  bool leaving;
  bool target_up;
  uint32_t age_ms;          /* of the target's load report */
  uint32_t running_rollout; /* included in running */
  uint32_t streams_max;     /* limit of concurrent streams */
  uint32_t caller_wait_ms;  /* expected wait of a caller that arrives now */
  uint32_t us_per_token;    /* at the current number of streams; 0: unknown */
  uint32_t weights_port;    /* port of the agent's weight relay */
};

struct wy_frame_ping /* PING and PONG */
{
  uint64_t seq;
  uint64_t timestamp; /* of the sender's timeline */
  int64_t config_revision;
  int64_t config_confirmed_ms; /* wall-clock time of the last confirmation */
  bool has_load;
  struct wy_target_load load;
  const uint64_t *prefixes; /* hashes of cached prompt prefixes */
  uint32_t n_prefixes;
};

struct wy_frame_submit
{
  struct wy_bytes id;
  struct wy_bytes name; /* model or service */
  bool is_model;
  enum wy_request_class request_class;
  bool non_idempotent;
  int64_t issued_ms;    /* wall-clock time in the key; 0: none */
  int64_t sent_ms;      /* wall-clock time of this attempt; 0: unknown */
  uint32_t deadline_ms; /* time left; 0: no deadline */
  uint32_t attempt;
  uint64_t fingerprint;
  bool suspect; /* must run alone */
  uint64_t prefix;
  uint32_t prompt_tokens;
  uint32_t max_tokens;
  uint32_t predicted_tokens;
  int64_t min_version; /* 0: any */
  struct wy_bytes trainer;
  uint32_t worth_milli;
  int64_t config_revision;
  struct wy_bytes method;
  struct wy_bytes path;
  struct wy_bytes body;
  const struct wy_header_pair *headers;
  uint32_t n_headers;
};

struct wy_frame_resume /* RESUME, CANCEL, ACK, QUERY, ACCEPTED */
{
  struct wy_bytes id;
  struct wy_bytes run;
  uint64_t offset_bytes;
};

struct wy_frame_refused
{
  struct wy_bytes id;
  enum wy_ran ran;
  enum wy_refusal_reason reason;
  uint32_t retry_after_ms;
};

struct wy_frame_head
{
  struct wy_bytes id;
  struct wy_bytes run; /* identifier of this run */
  uint32_t status;
  const struct wy_header_pair *headers;
  uint32_t n_headers;
};

struct wy_frame_chunk
{
  struct wy_bytes id;
  struct wy_bytes run;
  uint64_t offset_bytes;
  struct wy_bytes data;
};

struct wy_frame_end /* END and OUTCOME */
{
  struct wy_bytes id;
  struct wy_bytes run;
  enum wy_run_result result; /* 0 in an OUTCOME: not ended */
  enum wy_ran ran;
  uint64_t total_bytes;
  uint64_t digest; /* XXH64 of the complete body */
  uint32_t tokens;
  struct wy_bytes finish; /* "stop", "length" */
  const struct wy_segment *segments;
  uint32_t n_segments;
};

struct wy_frame_order
{
  struct wy_bytes order;
  struct wy_bytes lease; /* lease that fence belongs to; empty: none */
  int64_t fence;
  enum wy_order_kind kind;
  struct wy_bytes model;
  int64_t version;
  struct wy_bytes source; /* "host:port" to fetch from; empty: weight store */
  uint64_t fingerprint;
};

/* Results of orders.  */
enum wy_order_result
{
  WY_ORDER_OK = 0,
  WY_ORDER_EFENCE = -221,       /* a higher fencing token is known */
  WY_ORDER_ECONFIRM = -222,     /* no token known: check the lease, repeat */
  WY_ORDER_ETARGET = -223,      /* the target failed or rejected it */
  WY_ORDER_EUNREACHABLE = -224, /* the target is unreachable */
  WY_ORDER_EINVALID = -225
};

struct wy_frame_ordered
{
  struct wy_bytes order;
  int32_t result;  /* enum wy_order_result */
  int64_t version; /* in force after the order */
  int64_t highest_fence;
};

struct wy_frame_config
{
  int64_t revision;
  int64_t confirmed_ms;
  struct wy_bytes json;
};

/* A frame.  The member of u is selected by kind.  */
struct wy_frame
{
  enum wy_frame_kind kind;
  uint64_t timestamp; /* of the sender's timeline; set by the connection */
  union
  {
    struct wy_frame_hello hello; /* HELLO, WELCOME */
    struct wy_frame_proof proof; /* CHALLENGE, PROOF */
    struct wy_frame_ping ping;   /* PING, PONG */
    struct wy_frame_submit submit;
    struct wy_frame_resume resume; /* RESUME CANCEL ACK QUERY ACCEPTED */
    struct wy_frame_refused refused;
    struct wy_frame_head head;
    struct wy_frame_chunk chunk;
    struct wy_frame_end end; /* END, OUTCOME */
    struct wy_frame_order order;
    struct wy_frame_ordered ordered;
    struct wy_frame_config config; /* CONFIG; LEAVING has no fields */
  } u;
};

void wy_frame_encode (const struct wy_frame *f, GByteArray *out);

/* Memory that a decoded frame points into.  */
struct wy_frame_arena;
struct wy_frame_arena *wy_frame_arena_new (void);
void wy_frame_arena_free (struct wy_frame_arena *a);
int64_t wy_frame_decode (struct wy_frame_arena *a, const void *p, size_t n,
                         struct wy_frame *out);

struct wy_bytes wy_bytes_of (const char *text);
char *wy_bytes_dup (struct wy_bytes b);
bool wy_bytes_equal (struct wy_bytes b, const char *text);
const char *wy_inner_strerror (int err);
const char *wy_refusal_reason_name (enum wy_refusal_reason r);

#endif
