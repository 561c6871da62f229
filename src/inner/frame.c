/* Codec of the frames.

   A single function per kind lists its fields; it is used to count, pack and
   read them, so that encoding and decoding always match.  Additional fields at
   the end of a frame are skipped, so that processes of two releases can
   communicate during a deployment.  Missing fields are an error.  */
#include "inner/frame.h"

#include <string.h>

#include "inner/frame_fields.h"
#include "inner/frame_scan.h"

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
hello_fields (struct wy_field_codec *c, struct wy_frame_hello *h)
{
  wy_field_name (c, &h->process);
  wy_field_name (c, &h->incarnation);
  wy_field_name (c, &h->availability_zone);
  wy_field_bytes (c, &h->nonce);
  wy_field_u32 (c, &h->protocol);
}

static void
proof_fields (struct wy_field_codec *c, struct wy_frame_proof *p)
{
  wy_field_u32 (c, &p->key_number);
  wy_field_bytes (c, &p->nonce);
  wy_field_bytes (c, &p->mac);
  wy_field_name (c, &p->process);
  wy_field_name (c, &p->incarnation);
  wy_field_name (c, &p->availability_zone);
}

static void
load_fields (struct wy_field_codec *c, struct wy_target_load *l)
{
  wy_field_u32 (c, &l->running);
  wy_field_u32 (c, &l->queued_interactive);
  wy_field_u32 (c, &l->queued_rollout);
  wy_field_i64 (c, &l->kv_used_tokens);
  wy_field_i64 (c, &l->kv_total_tokens);
  wy_field_u32 (c, &l->completed_milli_per_s);
  wy_field_i64 (c, &l->version);
  wy_field_i64 (c, &l->staged_version);
  wy_field_bool (c, &l->leaving);
  wy_field_bool (c, &l->target_up);
  wy_field_u32 (c, &l->age_ms);
  wy_field_u32 (c, &l->running_rollout);
  wy_field_u32 (c, &l->streams_max);
  wy_field_u32 (c, &l->caller_wait_ms);
  wy_field_u32 (c, &l->us_per_token);
  wy_field_u32 (c, &l->weights_port);
}

static void
ping_fields (struct wy_field_codec *c, struct wy_frame_ping *p)
{
  wy_field_u64 (c, &p->seq);
  wy_field_u64 (c, &p->timestamp);
  wy_field_i64 (c, &p->config_revision);
  wy_field_i64 (c, &p->config_confirmed_ms);
  wy_field_bool (c, &p->has_load);
  if (p->has_load)
    load_fields (c, &p->load);
  wy_field_prefixes (c, &p->prefixes, &p->n_prefixes);
}

static void
submit_fields (struct wy_field_codec *c, struct wy_frame_submit *s)
{
  wy_field_name (c, &s->id);
  wy_field_name (c, &s->name);
  wy_field_bool (c, &s->is_model);
  s->request_class = wy_field_enum (
      c, s->request_class, WY_REQUEST_INTERACTIVE, WY_REQUEST_ROLLOUT);
  wy_field_bool (c, &s->non_idempotent);
  wy_field_i64 (c, &s->issued_ms);
  wy_field_i64 (c, &s->sent_ms);
  wy_field_u32 (c, &s->deadline_ms);
  wy_field_u32 (c, &s->attempt);
  wy_field_u64 (c, &s->fingerprint);
  wy_field_bool (c, &s->suspect);
  wy_field_u64 (c, &s->prefix);
  wy_field_u32 (c, &s->prompt_tokens);
  wy_field_u32 (c, &s->max_tokens);
  wy_field_u32 (c, &s->predicted_tokens);
  wy_field_i64 (c, &s->min_version);
  wy_field_name (c, &s->trainer);
  wy_field_u32 (c, &s->worth_milli);
  wy_field_i64 (c, &s->config_revision);
  wy_field_name (c, &s->method);
  wy_field_bytes (c, &s->path);
  wy_field_bytes (c, &s->body);
  wy_field_headers (c, &s->headers, &s->n_headers);
}

static void
end_fields (struct wy_field_codec *c, struct wy_frame_end *e)
{
  wy_field_name (c, &e->id);
  wy_field_name (c, &e->run);
  e->result = wy_field_enum (c, e->result, 0, WY_RUN_TIMED_OUT);
  e->ran = wy_field_enum (c, e->ran, WY_RAN_NO, WY_RAN_YES);
  wy_field_u64 (c, &e->total_bytes);
  wy_field_u64 (c, &e->digest);
  wy_field_u32 (c, &e->tokens);
  wy_field_name (c, &e->finish);
  wy_field_segments (c, &e->segments, &e->n_segments);
}

static void
order_fields (struct wy_field_codec *c, struct wy_frame_order *o)
{
  wy_field_name (c, &o->order);
  wy_field_name (c, &o->lease);
  wy_field_i64 (c, &o->fence);
  o->kind = wy_field_enum (c, o->kind, WY_ORDER_STAGE, WY_ORDER_UNBLOCK);
  wy_field_name (c, &o->model);
  wy_field_i64 (c, &o->version);
  wy_field_name (c, &o->source);
  wy_field_u64 (c, &o->fingerprint);
}

static void
frame_fields (struct wy_field_codec *c, struct wy_frame *f)
{
  wy_field_u64 (c, &f->timestamp);
  switch (f->kind)
    {
    case WY_FRAME_HELLO:
    case WY_FRAME_WELCOME:
      hello_fields (c, &f->u.hello);
      break;
    case WY_FRAME_CHALLENGE:
    case WY_FRAME_PROOF:
      proof_fields (c, &f->u.proof);
      break;
    case WY_FRAME_PING:
    case WY_FRAME_PONG:
      ping_fields (c, &f->u.ping);
      break;
    case WY_FRAME_SUBMIT:
      submit_fields (c, &f->u.submit);
      break;
    case WY_FRAME_RESUME:
    case WY_FRAME_CANCEL:
    case WY_FRAME_ACK:
    case WY_FRAME_ACCEPTED:
    case WY_FRAME_QUERY:
      wy_field_name (c, &f->u.resume.id);
      wy_field_name (c, &f->u.resume.run);
      wy_field_u64 (c, &f->u.resume.offset_bytes);
      break;
    case WY_FRAME_REFUSED:
      wy_field_name (c, &f->u.refused.id);
      f->u.refused.ran
          = wy_field_enum (c, f->u.refused.ran, WY_RAN_NO, WY_RAN_YES);
      f->u.refused.reason = wy_field_enum (c, f->u.refused.reason,
                                           WY_REFUSED_BUSY, WY_REFUSED_LOST);
      wy_field_u32 (c, &f->u.refused.retry_after_ms);
      break;
    case WY_FRAME_HEAD:
      wy_field_name (c, &f->u.head.id);
      wy_field_name (c, &f->u.head.run);
      wy_field_u32 (c, &f->u.head.status);
      wy_field_headers (c, &f->u.head.headers, &f->u.head.n_headers);
      break;
    case WY_FRAME_CHUNK:
      wy_field_name (c, &f->u.chunk.id);
      wy_field_name (c, &f->u.chunk.run);
      wy_field_u64 (c, &f->u.chunk.offset_bytes);
      wy_field_bytes (c, &f->u.chunk.data);
      break;
    case WY_FRAME_END:
    case WY_FRAME_OUTCOME:
      end_fields (c, &f->u.end);
      break;
    case WY_FRAME_ORDER:
      order_fields (c, &f->u.order);
      break;
    case WY_FRAME_ORDERED:
      wy_field_name (c, &f->u.ordered.order);
      wy_field_i32 (c, &f->u.ordered.result);
      wy_field_i64 (c, &f->u.ordered.version);
      wy_field_i64 (c, &f->u.ordered.highest_fence);
      break;
    case WY_FRAME_CONFIG:
      wy_field_i64 (c, &f->u.config.revision);
      wy_field_i64 (c, &f->u.config.confirmed_ms);
      wy_field_bytes (c, &f->u.config.json);
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

/* Append F, preceded by its length, to OUT.  */
void
wy_frame_encode (const struct wy_frame *f, GByteArray *out)
{
  struct wy_frame copy = *f;
  msgpack_packer packer;
  struct wy_field_codec c = { .mode = WY_FIELD_COUNT };
  guint start = out->len;
  uint32_t n;

  frame_fields (&c, &copy);
  g_byte_array_set_size (out, start + LENGTH_SIZE_BYTES);
  msgpack_packer_init (&packer, out, append);
  msgpack_pack_array (&packer, c.n + 1);
  msgpack_pack_int (&packer, (int)f->kind);
  c.mode = WY_FIELD_PACK;
  c.packer = &packer;
  frame_fields (&c, &copy);
  n = out->len - start - LENGTH_SIZE_BYTES;
  for (uint32_t i = 0; i < LENGTH_SIZE_BYTES; i++)
    out->data[start + i] = (uint8_t)(n >> (8 * (LENGTH_SIZE_BYTES - 1 - i)));
}

/* Create an arena for decoded frames.  */
struct wy_frame_arena *
wy_frame_arena_new (void)
{
  struct wy_frame_arena *a = g_malloc0 (sizeof *a);

  msgpack_unpacked_init (&a->unpacked);
  if (!msgpack_zone_init (&a->lists, ARENA_CHUNK_BYTES))
    g_error ("out of memory");
  return a;
}

/* Free A and the frame decoded last into it.  */
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
  struct wy_field_codec c = { .mode = WY_FIELD_READ, .zone = &a->lists };
  uint32_t kind = 0;

  if (!wy_frame_scan (p, n))
    return WY_INNER_EMALFORMED;
  if (msgpack_unpack_next (&a->unpacked, p, n, &off) != MSGPACK_UNPACK_SUCCESS
      || a->unpacked.data.type != MSGPACK_OBJECT_ARRAY)
    return WY_INNER_EMALFORMED;
  c.at = a->unpacked.data.via.array.ptr;
  c.left = a->unpacked.data.via.array.size;
  kind = wy_field_enum (&c, kind, WY_FRAME_HELLO, WY_FRAME_LEAVING);
  if (c.failed)
    return WY_INNER_EMALFORMED;
  out->kind = kind;
  frame_fields (&c, out);
  return c.failed ? WY_INNER_EMALFORMED : (int64_t)n + LENGTH_SIZE_BYTES;
}

/* Decode the frame at the start of the N bytes at P into OUT.  Returns the
   size of the frame in bytes, WY_INNER_ETRUNCATED if more bytes are needed,
   WY_INNER_ETOOBIG or WY_INNER_EMALFORMED.  OUT points into A and P, and is
   valid until either changes or A is used for the next frame.  */
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
