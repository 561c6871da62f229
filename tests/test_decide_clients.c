/* Which clients give way when memory or descriptors run short, and how many
   connections are accepted.  */
#include <criterion/criterion.h>

#include "decide/client_shedding.h"

enum
{
  UNREAD_BYTES = 65536
};

/* A crowd takes all connections of a listener.  Each row names who gives way
   and who stays; with the order reversed, ordinary clients would pay.  */
Test (decide_clients, descriptors)
{
  static const struct
  {
    const char *load;
    struct wy_client_view goes;
    struct wy_client_view stays;
  } rows[] = {
    { "silent crowd beside idle clients that were served",
      { .state = WY_CLIENT_WAITING, .state_ms = 10 },
      { .state = WY_CLIENT_WAITING, .has_served = true, .state_ms = 9000 } },
    { "older silent connection before one that has just connected",
      { .state = WY_CLIENT_WAITING, .state_ms = 500 },
      { .state = WY_CLIENT_WAITING, .state_ms = 1 } },
    { "head a byte at a time beside an ordinary upload",
      { .state = WY_CLIENT_RECEIVING, .state_ms = 4000 },
      { .state = WY_CLIENT_RECEIVING, .state_ms = 20 } },
    { "idle client before one that sends its next request",
      { .state = WY_CLIENT_WAITING, .has_served = true, .state_ms = 1 },
      { .state = WY_CLIENT_RECEIVING, .has_served = true, .state_ms = 3000 } },
    { "longest idle first",
      { .state = WY_CLIENT_WAITING, .has_served = true, .state_ms = 3000 },
      { .state = WY_CLIENT_WAITING, .has_served = true, .state_ms = 2999 } },
    { "unread responses beside a silent connection",
      { .state = WY_CLIENT_WAITING,
        .has_served = true,
        .unread_ms = 2500,
        .silent_ms = 2500 },
      { .state = WY_CLIENT_WAITING, .state_ms = 60000 } },
    { "closed with its response unread",
      { .state = WY_CLIENT_CLOSING, .state_ms = 1500, .unread_ms = 1500 },
      { .state = WY_CLIENT_WAITING, .state_ms = 60000 } },
    { "stream never read beside one that is read slowly",
      { .state = WY_CLIENT_IN_PROGRESS, .silent_ms = 2000, .unread_ms = 2000 },
      { .state = WY_CLIENT_IN_PROGRESS, .unread_ms = 60000 } },
  };

  for (size_t i = 0; i < sizeof rows / sizeof *rows; i++)
    {
      uint64_t goes = wy_client_rank_for_descriptor (&rows[i].goes);

      cr_expect_gt (goes, 0, "%s", rows[i].load);
      cr_expect_gt (goes, wy_client_rank_for_descriptor (&rows[i].stays), "%s",
                    rows[i].load);
    }
}

/* A connection whose close would lose a response that is due is kept, however
   many others want its place.  */
Test (decide_clients, descriptors_kept)
{
  static const struct wy_client_view rows[]
      = { { .state = WY_CLIENT_IN_PROGRESS, .state_ms = 60000 },
          { .state = WY_CLIENT_IN_PROGRESS,
            .state_ms = 60000,
            .unread_ms = 60000,
            .silent_ms = 1500 },
          { .state = WY_CLIENT_WAITING,
            .has_served = true,
            .unread_ms = 1800,
            .silent_ms = 1500 } };

  for (size_t i = 0; i < sizeof rows / sizeof *rows; i++)
    cr_expect_eq (wy_client_rank_for_descriptor (&rows[i]), 0, "row %zu", i);
}

/* Memory is short.  Each row: what a connection holds and for how long, and
   the lowest level at which it gives way; without the first levels, ordinary
   requests would be rejected for incomplete ones.  */
Test (decide_clients, memory_levels)
{
  static const struct
  {
    const char *load;
    struct wy_client_view view;
    enum wy_memory_level level; /* WY_MEMORY_LEVELS: it never does */
  } rows[] = {
    { "upload one byte short",
      { .state = WY_CLIENT_RECEIVING, .held_bytes = 60000, .state_ms = 1000 },
      WY_MEMORY_PAUSE_READING },
    { "upload that is slower than usual",
      { .state = WY_CLIENT_RECEIVING, .held_bytes = 60000, .state_ms = 300 },
      WY_MEMORY_REJECT_NEW },
    { "upload that has just begun",
      { .state = WY_CLIENT_RECEIVING, .held_bytes = 60000, .state_ms = 5 },
      WY_MEMORY_SHED },
    { "silent reader",
      { .state = WY_CLIENT_IN_PROGRESS,
        .held_bytes = 4096,
        .unread_ms = 2000,
        .silent_ms = 2000 },
      WY_MEMORY_SHED },
    { "reader that stays far behind",
      { .state = WY_CLIENT_WAITING, .held_bytes = 4096, .unread_ms = 10000 },
      WY_MEMORY_SHED },
    { "slow reader",
      { .state = WY_CLIENT_WAITING, .held_bytes = 400000, .unread_ms = 3000 },
      WY_MEMORY_LEVELS },
    { "idle connection without buffers",
      { .state = WY_CLIENT_WAITING, .state_ms = 60000 },
      WY_MEMORY_LEVELS },
    { "request in progress",
      { .state = WY_CLIENT_IN_PROGRESS, .held_bytes = 500, .state_ms = 60000 },
      WY_MEMORY_LEVELS },
  };

  for (size_t i = 0; i < sizeof rows / sizeof *rows; i++)
    for (int l = WY_MEMORY_NORMAL; l < WY_MEMORY_LEVELS; l++)
      cr_expect_eq (wy_client_rank_for_memory (&rows[i].view, l) > 0,
                    l >= (int)rows[i].level, "%s at %s", rows[i].load,
                    wy_memory_level_name (l));
}

/* Of those that may give way for memory, who costs most goes first.  */
Test (decide_clients, memory_order)
{
  static const struct wy_client_view crowd = { .state = WY_CLIENT_RECEIVING,
                                               .held_bytes = 13000,
                                               .state_ms = 1500 };
  static const struct wy_client_view large
      = { .state = WY_CLIENT_RECEIVING, .held_bytes = 500000, .state_ms = 20 };
  static const struct wy_client_view silent = { .state = WY_CLIENT_IN_PROGRESS,
                                                .held_bytes = UNREAD_BYTES,
                                                .unread_ms = 2000,
                                                .silent_ms = 2000 };
  static const struct wy_client_view behind = { .state = WY_CLIENT_WAITING,
                                                .held_bytes = UNREAD_BYTES,
                                                .unread_ms = 20000 };

  cr_expect_gt (wy_client_rank_for_memory (&crowd, WY_MEMORY_SHED),
                wy_client_rank_for_memory (&large, WY_MEMORY_SHED));
  cr_expect_gt (wy_client_rank_for_memory (&silent, WY_MEMORY_SHED),
                wy_client_rank_for_memory (&behind, WY_MEMORY_SHED));
}

/* Unfinished bodies fill the room of bodies, and ordinary uploads would be
   rejected for as long as they stay.  */
Test (decide_clients, body_room)
{
  static const struct wy_client_view unfinished = {
    .state = WY_CLIENT_RECEIVING, .held_bytes = 60000, .state_ms = 1000
  };
  static const struct wy_client_view ordinary = { .state = WY_CLIENT_RECEIVING,
                                                  .held_bytes = 500000,
                                                  .state_ms = 100 };
  static const struct wy_client_view busy
      = { .state = WY_CLIENT_IN_PROGRESS, .held_bytes = 1, .state_ms = 9000 };

  cr_expect_gt (wy_client_rank_for_body (&unfinished), 0);
  cr_expect_eq (wy_client_rank_for_body (&ordinary), 0);
  cr_expect_eq (wy_client_rank_for_body (&busy), 0);
}

/* Responses are left unread by many at a time: what each may leave shrinks as
   memory gets short.  */
Test (decide_clients, unread_limit)
{
  static const uint32_t limits[WY_MEMORY_LEVELS]
      = { UNREAD_BYTES, UNREAD_BYTES / 16, UNREAD_BYTES / 256,
          UNREAD_BYTES / 4096 };

  for (int l = WY_MEMORY_NORMAL; l < WY_MEMORY_LEVELS; l++)
    cr_expect_eq (wy_client_unread_limit (UNREAD_BYTES, l), limits[l], "%d",
                  l);
}

/* Listeners that took all descriptors would leave none for calls to replicas
   and to the store.  Each row: descriptors, memory budget, callers'
   connections.  */
Test (decide_clients, shares)
{
  static const struct
  {
    int64_t budget_bytes;
    uint32_t descriptors;
    uint32_t callers;
  } rows[] = { { INT64_C (252706816), 8200, 3072 },
               { INT64_C (47185920), 3075, 1152 },
               { INT64_C (47185920), 256, 96 },
               { INT64_C (47185920), 1U << 20, 5760 },
               { 0, 4096, 1536 },
               { INT64_C (2097152), 16, 1 } };

  for (size_t i = 0; i < sizeof rows / sizeof *rows; i++)
    {
      struct wy_client_shares s;

      wy_client_shares (rows[i].descriptors, rows[i].budget_bytes, &s);
      cr_expect_eq (s.callers, rows[i].callers, "row %zu: %u", i, s.callers);
      cr_expect_geq (rows[i].descriptors,
                     2 * s.callers + s.peers + s.readiness + s.metrics,
                     "row %zu", i);
      cr_expect (s.peers && s.readiness && s.metrics, "row %zu", i);
    }
}
