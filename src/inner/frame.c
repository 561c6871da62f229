/* Codec of the frames.

   Each kind is described once, by a function that walks its fields; the same
   walk counts them, packs them and reads them back, so that the two
   directions can't drift apart.  A frame may carry more fields than this
   build knows: they are skipped, so that processes of two releases can speak
   to each other while a deployment is under way.  Missing fields are an
   error.  */
#include "inner/frame.h"

#include <string.h>

#include "inner/frame_scan.h"
#include "inner/frame_fields.h"

enum
{
  LENGTH_SIZE_BYTES = 4,
  ARENA_CHUNK_BYTES = 4096
};

struct wy_frame_arena
{
  msgpack_unpacked unpacked;
  msgpack_zone lists;
};

static void
walk_hello (struct wy_walk *w, struct wy_frame_hello *h)
{
  wy_walk_name (w, &h->process);
  wy_walk_name (w, &h->incarnation);
  wy_walk_name (w, &h->availability_zone);
  wy_walk_bytes (w, &h->nonce);
  wy_walk_u32 (w, &h->protocol);
}

static void
walk_proof (struct wy_walk *w, struct wy_frame_proof *p)
{
  wy_walk_u32 (w, &p->key_number);
  wy_walk_bytes (w, &p->nonce);
  wy_walk_bytes (w, &p->mac);
  wy_walk_name (w, &p->process);
  wy_walk_name (w, &p->incarnation);
  wy_walk_name (w, &p->availability_zone);
}

static void
walk_load (struct wy_walk *w, struct wy_target_load *l)
{
  wy_walk_u32 (w, &l->running);
  wy_walk_u32 (w, &l->queued_interactive);
  wy_walk_u32 (w, &l->queued_rollout);
  wy_walk_i64 (w, &l->kv_used_tokens);
  wy_walk_i64 (w, &l->kv_total_tokens);
  wy_walk_u32 (w, &l->drain_milli_per_s);
  wy_walk_i64 (w, &l->version);
  wy_walk_i64 (w, &l->staged_version);
  wy_walk_bool (w, &l->leaving);
  wy_walk_bool (w, &l->target_up);
  wy_walk_u32 (w, &l->age_ms);
  wy_walk_u32 (w, &l->running_rollout);
  wy_walk_u32 (w, &l->streams_max);
  wy_walk_u32 (w, &l->caller_wait_ms);
  wy_walk_u32 (w, &l->us_per_token);
  wy_walk_u32 (w, &l->weights_port);
}

static void
walk_ping (struct wy_walk *w, struct wy_frame_ping *p)
{
  wy_walk_u64 (w, &p->seq);
  wy_walk_u64 (w, &p->timestamp);
  wy_walk_i64 (w, &p->config_revision);
  wy_walk_i64 (w, &p->config_confirmed_ms);
  wy_walk_bool (w, &p->has_load);
  if (p->has_load)
    walk_load (w, &p->load);
  wy_walk_prefixes (w, &p->prefixes, &p->n_prefixes);
}

static void
walk_submit (struct wy_walk *w, struct wy_frame_submit *s)
{
  wy_walk_name (w, &s->id);
  wy_walk_name (w, &s->name);
  wy_walk_bool (w, &s->is_model);
  s->request_class = wy_walk_choice (
      w, s->request_class, WY_REQUEST_INTERACTIVE, WY_REQUEST_ROLLOUT);
  wy_walk_bool (w, &s->non_idempotent);
  wy_walk_i64 (w, &s->issued_ms);
  wy_walk_i64 (w, &s->sent_ms);
  wy_walk_u32 (w, &s->deadline_ms);
  wy_walk_u32 (w, &s->attempt);
  wy_walk_u64 (w, &s->fingerprint);
  wy_walk_bool (w, &s->suspect);
  wy_walk_u64 (w, &s->prefix);
  wy_walk_u32 (w, &s->prompt_tokens);
  wy_walk_u32 (w, &s->max_tokens);
  wy_walk_u32 (w, &s->predicted_tokens);
  wy_walk_i64 (w, &s->min_version);
  wy_walk_name (w, &s->trainer);
  wy_walk_u32 (w, &s->worth_milli);
  wy_walk_i64 (w, &s->config_revision);
  wy_walk_name (w, &s->method);
  wy_walk_bytes (w, &s->path);
  wy_walk_bytes (w, &s->body);
  wy_walk_headers (w, &s->headers, &s->n_headers);
}

static void
walk_end (struct wy_walk *w, struct wy_frame_end *e)
{
  wy_walk_name (w, &e->id);
  wy_walk_name (w, &e->run);
  e->result = wy_walk_choice (w, e->result, 0, WY_RUN_TIMED_OUT);
  e->ran = wy_walk_choice (w, e->ran, WY_RAN_NO, WY_RAN_YES);
  wy_walk_u64 (w, &e->total_bytes);
  wy_walk_u64 (w, &e->digest);
  wy_walk_u32 (w, &e->tokens);
  wy_walk_name (w, &e->finish);
  wy_walk_segments (w, &e->segments, &e->n_segments);
}

static void
walk_order (struct wy_walk *w, struct wy_frame_order *o)
{
  wy_walk_name (w, &o->order);
  wy_walk_name (w, &o->lease);
  wy_walk_i64 (w, &o->fence);
  o->kind = wy_walk_choice (w, o->kind, WY_ORDER_STAGE, WY_ORDER_UNBLOCK);
  wy_walk_name (w, &o->model);
  wy_walk_i64 (w, &o->version);
  wy_walk_name (w, &o->source);
  wy_walk_u64 (w, &o->fingerprint);
}

static void
walk_frame (struct wy_walk *w, struct wy_frame *f)
{
  wy_walk_u64 (w, &f->timestamp);
  switch (f->kind)
    {
    case WY_FRAME_HELLO:
    case WY_FRAME_WELCOME:
      walk_hello (w, &f->u.hello);
      break;
    case WY_FRAME_CHALLENGE:
    case WY_FRAME_PROOF:
      walk_proof (w, &f->u.proof);
      break;
    case WY_FRAME_PING:
    case WY_FRAME_PONG:
      walk_ping (w, &f->u.ping);
      break;
    case WY_FRAME_SUBMIT:
      walk_submit (w, &f->u.submit);
      break;
    case WY_FRAME_RESUME:
    case WY_FRAME_CANCEL:
    case WY_FRAME_ACK:
    case WY_FRAME_ACCEPTED:
    case WY_FRAME_QUERY:
      wy_walk_name (w, &f->u.resume.id);
      wy_walk_name (w, &f->u.resume.run);
      wy_walk_u64 (w, &f->u.resume.offset_bytes);
      break;
    case WY_FRAME_REFUSED:
      wy_walk_name (w, &f->u.refused.id);
      f->u.refused.ran
          = wy_walk_choice (w, f->u.refused.ran, WY_RAN_NO, WY_RAN_YES);
      f->u.refused.reason = wy_walk_choice (w, f->u.refused.reason,
                                            WY_REFUSED_BUSY, WY_REFUSED_LOST);
      wy_walk_u32 (w, &f->u.refused.retry_after_ms);
      break;
    case WY_FRAME_HEAD:
      wy_walk_name (w, &f->u.head.id);
      wy_walk_name (w, &f->u.head.run);
      wy_walk_u32 (w, &f->u.head.status);
      wy_walk_headers (w, &f->u.head.headers, &f->u.head.n_headers);
      break;
    case WY_FRAME_CHUNK:
      wy_walk_name (w, &f->u.chunk.id);
      wy_walk_name (w, &f->u.chunk.run);
      wy_walk_u64 (w, &f->u.chunk.offset_bytes);
      wy_walk_bytes (w, &f->u.chunk.data);
      break;
    case WY_FRAME_END:
    case WY_FRAME_OUTCOME:
      walk_end (w, &f->u.end);
      break;
    case WY_FRAME_ORDER:
      walk_order (w, &f->u.order);
      break;
    case WY_FRAME_ORDERED:
      wy_walk_name (w, &f->u.ordered.order);
      wy_walk_i32 (w, &f->u.ordered.result);
      wy_walk_i64 (w, &f->u.ordered.version);
      wy_walk_i64 (w, &f->u.ordered.highest_fence);
      break;
    case WY_FRAME_CONFIG:
      wy_walk_i64 (w, &f->u.config.revision);
      wy_walk_i64 (w, &f->u.config.confirmed_ms);
      wy_walk_bytes (w, &f->u.config.json);
      break;
    case WY_FRAME_LEAVING:
      break;
    }
}

static int
append (void *data, const char *p, size_t n)
{
  g_byte_array_append (data, (const guint8 *)p, (guint)n);
  return 0;
}

/* Append F, length first, to OUT.  */
void
wy_frame_encode (const struct wy_frame *f, GByteArray *out)
{
  struct wy_frame copy = *f;
  msgpack_packer packer;
  struct wy_walk w = { .mode = WY_WALK_COUNT };
  guint start = out->len;
  uint32_t n;

  walk_frame (&w, &copy);
  g_byte_array_set_size (out, start + LENGTH_SIZE_BYTES);
  msgpack_packer_init (&packer, out, append);
  msgpack_pack_array (&packer, w.n + 1);
  msgpack_pack_int (&packer, (int)f->kind);
  w.mode = WY_WALK_PACK;
  w.packer = &packer;
  walk_frame (&w, &copy);
  n = out->len - start - LENGTH_SIZE_BYTES;
  for (uint32_t i = 0; i < LENGTH_SIZE_BYTES; i++)
    out->data[start + i] = (uint8_t)(n >> (8 * (LENGTH_SIZE_BYTES - 1 - i)));
}

/* Make the memory that frames are decoded into.  */
struct wy_frame_arena *
wy_frame_arena_new (void)
{
  struct wy_frame_arena *a = g_malloc0 (sizeof *a);

  msgpack_unpacked_init (&a->unpacked);
  if (!msgpack_zone_init (&a->lists, ARENA_CHUNK_BYTES))
    g_error ("out of memory");
  return a;
}

/* Free A and with it what was decoded last.  */
void
wy_frame_arena_free (struct wy_frame_arena *a)
{
  if (!a)
    return;
  msgpack_unpacked_destroy (&a->unpacked);
  msgpack_zone_destroy (&a->lists);
  g_free (a);
}

static int64_t
decode_body (struct wy_frame_arena *a, const char *p, uint32_t n,
             struct wy_frame *out)
{
  size_t off = 0;
  struct wy_walk w = { .mode = WY_WALK_READ, .zone = &a->lists };
  uint32_t kind = 0;

  if (!wy_frame_scan (p, n))
    return WY_INNER_EMALFORMED;
  if (msgpack_unpack_next (&a->unpacked, p, n, &off) != MSGPACK_UNPACK_SUCCESS
      || a->unpacked.data.type != MSGPACK_OBJECT_ARRAY)
    return WY_INNER_EMALFORMED;
  w.at = a->unpacked.data.via.array.ptr;
  w.left = a->unpacked.data.via.array.size;
  kind = wy_walk_choice (&w, kind, WY_FRAME_HELLO, WY_FRAME_LEAVING);
  if (w.bad)
    return WY_INNER_EMALFORMED;
  out->kind = kind;
  walk_frame (&w, out);
  return w.bad ? WY_INNER_EMALFORMED : (int64_t)n + LENGTH_SIZE_BYTES;
}

/* Decode the frame at the start of the N bytes at P into OUT.  Returns the
   bytes it takes, or WY_INNER_ETRUNCATED when more are needed,
   WY_INNER_ETOOBIG or WY_INNER_EMALFORMED.  OUT points into A and P and is
   valid until either changes; A forgets what it held before.  */
int64_t
wy_frame_decode (struct wy_frame_arena *a, const void *p, size_t n,
                 struct wy_frame *out)
{
  const uint8_t *b = p;
  uint32_t size = 0;

  if (n < LENGTH_SIZE_BYTES)
    return WY_INNER_ETRUNCATED;
  for (uint32_t i = 0; i < LENGTH_SIZE_BYTES; i++)
    size = size << 8 | b[i];
  if (size > WY_FRAME_SIZE_LIMIT_BYTES)
    return WY_INNER_ETOOBIG;
  if (n - LENGTH_SIZE_BYTES < size)
    return WY_INNER_ETRUNCATED;
  msgpack_zone_clear (&a->lists);
  memset (out, 0, sizeof *out);
  return decode_body (a, (const char *)b + LENGTH_SIZE_BYTES, size, out);
}
