/* Codec of the frames: a round trip of every kind, and invalid input.  */
#include <criterion/criterion.h>
#include <string.h>

#include <msgpack.h>

#include "inner/frame.h"

static const struct wy_header_pair headers[]
    = { { { "content-type", 12 }, { "text/plain", 10 } },
        { { "x-empty", 7 }, { "", 0 } } };
static const struct wy_segment segments[] = { { 7, 0, 10 }, { 8, 10, 25 } };
static const uint64_t prefixes[] = { 1, UINT64_MAX, 42 };

static struct wy_frame
sample (enum wy_frame_kind kind)
{
  struct wy_frame f = { .kind = kind };
  struct wy_bytes id = wy_bytes_of ("0190-id");

  switch (kind)
    {
    case WY_FRAME_HELLO:
    case WY_FRAME_WELCOME:
      f.u.hello = (struct wy_frame_hello){ wy_bytes_of ("entry-1"),
                                           wy_bytes_of ("inc"),
                                           wy_bytes_of ("richmond"),
                                           { "\0nonce", 6 },
                                           1 };
      break;
    case WY_FRAME_CHALLENGE:
    case WY_FRAME_PROOF:
      f.u.proof = (struct wy_frame_proof){
        2, { "n\0", 2 }, { "mac", 3 }, wy_bytes_of ("agent-1"), id, id
      };
      break;
    case WY_FRAME_PING:
    case WY_FRAME_PONG:
      f.u.ping = (struct wy_frame_ping){ .seq = UINT64_MAX,
                                         .timestamp = 5,
                                         .config_revision = 9,
                                         .config_confirmed_ms = -1,
                                         .has_load = kind == WY_FRAME_PONG,
                                         .prefixes = prefixes,
                                         .n_prefixes = 3 };
      if (f.u.ping.has_load)
        f.u.ping.load = (struct wy_target_load){ 1,  2,  3,    4000,  5000, 6,
                                                 7,  8,  true, false, 9,    10,
                                                 11, 12, 13,   14 };
      break;
    case WY_FRAME_SUBMIT:
      f.u.submit
          = (struct wy_frame_submit){ .id = id,
                                      .name = wy_bytes_of ("portal"),
                                      .is_model = true,
                                      .request_class = WY_REQUEST_ROLLOUT,
                                      .non_idempotent = true,
                                      .issued_ms = INT64_MAX,
                                      .sent_ms = 6,
                                      .deadline_ms = UINT32_MAX,
                                      .attempt = 2,
                                      .fingerprint = 77,
                                      .suspect = true,
                                      .prefix = 88,
                                      .prompt_tokens = 10,
                                      .max_tokens = 20,
                                      .predicted_tokens = 15,
                                      .min_version = 3,
                                      .trainer = wy_bytes_of ("levels"),
                                      .worth_milli = 1000,
                                      .config_revision = 4,
                                      .method = wy_bytes_of ("POST"),
                                      .path = wy_bytes_of ("/filings?x=1"),
                                      .body = { "a\0b", 3 },
                                      .headers = headers,
                                      .n_headers = 2 };
      break;
    case WY_FRAME_RESUME:
    case WY_FRAME_CANCEL:
    case WY_FRAME_ACK:
    case WY_FRAME_ACCEPTED:
    case WY_FRAME_QUERY:
      f.u.resume
          = (struct wy_frame_resume){ id, wy_bytes_of ("run"), 1ULL << 40 };
      break;
    case WY_FRAME_REFUSED:
      f.u.refused = (struct wy_frame_refused){ id, WY_RAN_UNKNOWN,
                                               WY_REFUSED_TOO_OLD, 250 };
      break;
    case WY_FRAME_HEAD:
      f.u.head
          = (struct wy_frame_head){ id, wy_bytes_of ("run"), 200, headers, 2 };
      break;
    case WY_FRAME_CHUNK:
      f.u.chunk = (struct wy_frame_chunk){
        id, wy_bytes_of ("run"), 65536, { "data\0", 5 }
      };
      break;
    case WY_FRAME_END:
    case WY_FRAME_OUTCOME:
      f.u.end = (struct wy_frame_end){ id,
                                       wy_bytes_of ("run"),
                                       WY_RUN_CRASHED,
                                       WY_RAN_YES,
                                       100,
                                       UINT64_MAX - 1,
                                       25,
                                       wy_bytes_of ("stop"),
                                       segments,
                                       2 };
      break;
    case WY_FRAME_ORDER:
      f.u.order = (struct wy_frame_order){ id,
                                           wy_bytes_of ("rollout"),
                                           12,
                                           WY_ORDER_UNBLOCK,
                                           wy_bytes_of ("model"),
                                           9,
                                           wy_bytes_of ("127.0.0.1:1"),
                                           5 };
      break;
    case WY_FRAME_ORDERED:
      f.u.ordered = (struct wy_frame_ordered){ id, INT32_MIN, 9, 12 };
      break;
    case WY_FRAME_CONFIG:
      f.u.config = (struct wy_frame_config){ 3, 4, wy_bytes_of ("{}") };
      break;
    case WY_FRAME_LEAVING:
      break;
    }
  return f;
}

/* Encoding a decoded frame must give the same bytes; with the checks of single
   fields below this shows that no field is lost or swapped.  */
Test (frame, every_kind_round_trip)
{
  struct wy_frame_arena *a = wy_frame_arena_new ();

  for (int kind = WY_FRAME_HELLO; kind <= WY_FRAME_LEAVING; kind++)
    {
      struct wy_frame f = sample ((enum wy_frame_kind)kind);
      struct wy_frame got;
      GByteArray *first = g_byte_array_new ();
      GByteArray *second = g_byte_array_new ();

      wy_frame_encode (&f, first);
      cr_assert_eq (wy_frame_decode (a, first->data, first->len, &got),
                    first->len, "kind %d", kind);
      cr_assert_eq (got.kind, kind);
      wy_frame_encode (&got, second);
      cr_assert_eq (second->len, first->len, "kind %d", kind);
      cr_assert_eq (memcmp (first->data, second->data, first->len), 0);
      g_byte_array_unref (first);
      g_byte_array_unref (second);
    }
  wy_frame_arena_free (a);
}

Test (frame, fields_keep_their_values)
{
  struct wy_frame_arena *a = wy_frame_arena_new ();
  GByteArray *out = g_byte_array_new ();
  struct wy_frame f = sample (WY_FRAME_SUBMIT);
  struct wy_frame got;
  const struct wy_frame_submit *s = &got.u.submit;

  wy_frame_encode (&f, out);
  cr_assert_gt (wy_frame_decode (a, out->data, out->len, &got), 0);
  cr_assert (wy_bytes_equal (s->name, "portal"));
  cr_assert (s->is_model && s->non_idempotent && s->suspect);
  cr_assert_eq (s->request_class, WY_REQUEST_ROLLOUT);
  cr_assert_eq (s->issued_ms, INT64_MAX);
  cr_assert_eq (s->deadline_ms, UINT32_MAX);
  cr_assert_eq (s->fingerprint, 77);
  cr_assert_eq (s->body.n, 3);
  cr_assert_eq (memcmp (s->body.p, "a\0b", 3), 0);
  cr_assert_eq (s->n_headers, 2);
  cr_assert (wy_bytes_equal (s->headers[0].value, "text/plain"));
  cr_assert_eq (s->headers[1].value.n, 0);

  f = sample (WY_FRAME_END);
  g_byte_array_set_size (out, 0);
  wy_frame_encode (&f, out);
  cr_assert_gt (wy_frame_decode (a, out->data, out->len, &got), 0);
  cr_assert_eq (got.u.end.result, WY_RUN_CRASHED);
  cr_assert_eq (got.u.end.n_segments, 2);
  cr_assert_eq (got.u.end.segments[1].version, 8);
  cr_assert_eq (got.u.end.segments[1].from, 10);
  cr_assert_eq (got.u.end.segments[1].to, 25);
  wy_frame_arena_free (a);
}

/* A frame arrives in pieces of any size: every truncated frame asks for more
   bytes.  */
Test (frame, truncated_frame_asks_for_more)
{
  struct wy_frame_arena *a = wy_frame_arena_new ();
  GByteArray *out = g_byte_array_new ();
  struct wy_frame f = sample (WY_FRAME_SUBMIT);
  struct wy_frame got;

  wy_frame_encode (&f, out);
  for (size_t n = 0; n < out->len; n++)
    cr_assert_eq (wy_frame_decode (a, out->data, n, &got),
                  WY_INNER_ETRUNCATED);
  wy_frame_arena_free (a);
}

/* A newer release adds a field at the end of a frame.  Processes of the older
   release must still understand it while both run.  */
Test (frame, unknown_last_field_is_skipped)
{
  struct wy_frame_arena *a = wy_frame_arena_new ();
  /* REFUSED with one additional field.  */
  const uint8_t b[] = { 0, 0, 0, 10, 0x97, 12, 0, 0xc4, 1, 'a', 0, 1, 5, 99 };
  struct wy_frame got;

  cr_assert_eq (wy_frame_decode (a, b, sizeof b, &got), sizeof b);
  cr_assert (wy_bytes_equal (got.u.refused.id, "a"));
  cr_assert_eq (got.u.refused.reason, WY_REFUSED_BUSY);
  cr_assert_eq (got.u.refused.retry_after_ms, 5);
  wy_frame_arena_free (a);
}

struct malformed
{
  const char *what;
  uint8_t bytes[24];
  size_t n;
  int64_t want;
};

/* Malformed frames, sent by a faulty or malicious peer.  */
Test (frame, malformed_frames)
{
  static const struct malformed table[] = {
    { "length above the limit", { 1, 0, 0, 1 }, 4, WY_INNER_ETOOBIG },
    { "empty frame", { 0, 0, 0, 0 }, 4, WY_INNER_EMALFORMED },
    { "not an array", { 0, 0, 0, 1, 5 }, 5, WY_INNER_EMALFORMED },
    { "empty array", { 0, 0, 0, 1, 0x90 }, 5, WY_INNER_EMALFORMED },
    { "kind 0", { 0, 0, 0, 3, 0x92, 0, 0 }, 7, WY_INNER_EMALFORMED },
    { "kind above the last",
      { 0, 0, 0, 3, 0x92, 22, 0 },
      7,
      WY_INNER_EMALFORMED },
    { "negative kind", { 0, 0, 0, 3, 0x92, 0xff, 0 }, 7, WY_INNER_EMALFORMED },
    { "no stamp", { 0, 0, 0, 2, 0x91, 21 }, 6, WY_INNER_EMALFORMED },
    { "array of 2^32 - 1 elements",
      { 0, 0, 0, 6, 0xdd, 0xff, 0xff, 0xff, 0xff, 21 },
      10,
      WY_INNER_EMALFORMED },
    { "list of 2^32 - 1 elements",
      { 0, 0, 0, 8, 0x93, 21, 0, 0xdd, 0xff, 0xff, 0xff, 0xff },
      12,
      WY_INNER_EMALFORMED },
    { "string longer than the frame",
      { 0, 0, 0, 8, 0x93, 16, 0, 0xc6, 0xff, 0xff, 0xff, 0xff },
      12,
      WY_INNER_EMALFORMED },
    { "nested too deep",
      { 0, 0, 0, 6, 0x93, 21, 0, 0x91, 0x91, 0 },
      10,
      WY_INNER_EMALFORMED },
    { "map", { 0, 0, 0, 4, 0x93, 21, 0, 0x80 }, 8, WY_INNER_EMALFORMED },
    { "nil", { 0, 0, 0, 4, 0x93, 21, 0, 0xc0 }, 8, WY_INNER_EMALFORMED },
    { "extension",
      { 0, 0, 0, 6, 0x93, 21, 0, 0xd4, 1, 1 },
      10,
      WY_INNER_EMALFORMED },
    { "bytes after the array",
      { 0, 0, 0, 4, 0x92, 21, 0, 7 },
      8,
      WY_INNER_EMALFORMED },
    { "field missing",
      { 0, 0, 0, 8, 0x95, 12, 0, 0xc4, 1, 97, 0, 1 },
      12,
      WY_INNER_EMALFORMED },
    { "number where a string belongs",
      { 0, 0, 0, 7, 0x96, 12, 0, 3, 0, 1, 5 },
      11,
      WY_INNER_EMALFORMED },
    { "rejection with an unknown reason",
      { 0, 0, 0, 9, 0x96, 12, 0, 0xc4, 1, 97, 0, 100, 5 },
      13,
      WY_INNER_EMALFORMED },
    { "identifier with a NUL",
      { 0, 0, 0, 10, 0x96, 12, 0, 0xc4, 2, 97, 0, 0, 1, 5 },
      14,
      WY_INNER_EMALFORMED },
  };
  struct wy_frame_arena *a = wy_frame_arena_new ();

  for (size_t i = 0; i < sizeof table / sizeof *table; i++)
    {
      struct wy_frame got;

      cr_expect_eq (wy_frame_decode (a, table[i].bytes, table[i].n, &got),
                    table[i].want, "%s", table[i].what);
    }
  wy_frame_arena_free (a);
}

/* A list whose length isn't a multiple of the fields of its items, or which
   exceeds the limit.  */
Test (frame, odd_and_too_long_lists)
{
  struct wy_frame_arena *a = wy_frame_arena_new ();
  GByteArray *out = g_byte_array_new ();
  struct wy_header_pair *many = g_new0 (struct wy_header_pair, 257);
  struct wy_frame f = sample (WY_FRAME_HEAD);
  struct wy_frame got;
  const uint8_t odd[] = { 0,   0,    0, 14,  0x96, 13,  0,    0xc4, 1,
                          'a', 0xc4, 1, 'r', 0xcc, 200, 0x91, 0xc4, 0 };

  cr_assert_eq (wy_frame_decode (a, odd, sizeof odd, &got),
                WY_INNER_EMALFORMED);
  f.u.head.headers = many;
  f.u.head.n_headers = 257;
  wy_frame_encode (&f, out);
  cr_assert_eq (wy_frame_decode (a, out->data, out->len, &got),
                WY_INNER_EMALFORMED);
  f.u.head.n_headers = 256;
  g_byte_array_set_size (out, 0);
  wy_frame_encode (&f, out);
  cr_assert_eq (wy_frame_decode (a, out->data, out->len, &got), out->len);
  wy_frame_arena_free (a);
  g_free (many);
}

/* Each bit of a valid frame is flipped in turn.  The result must be a frame or
   an error, and a frame must be encodable again.  */
Test (frame, flipped_bits)
{
  struct wy_frame_arena *a = wy_frame_arena_new ();
  GByteArray *out = g_byte_array_new ();
  GByteArray *again = g_byte_array_new ();
  struct wy_frame f = sample (WY_FRAME_SUBMIT);
  uint32_t errors = 0;

  wy_frame_encode (&f, out);
  for (guint i = 0; i < out->len; i++)
    for (int bit = 0; bit < 8; bit++)
      {
        struct wy_frame got;
        int64_t n;

        out->data[i] ^= (guint8)(1 << bit);
        n = wy_frame_decode (a, out->data, out->len, &got);
        cr_assert (n < 0 || (n > 0 && n <= out->len));
        errors += n < 0;
        g_byte_array_set_size (again, 0);
        if (n > 0)
          wy_frame_encode (&got, again);
        out->data[i] ^= (guint8)(1 << bit);
      }
  cr_assert_gt (errors, 100);
  wy_frame_arena_free (a);
}
