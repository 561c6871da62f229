/* All orders in which the runs of a resumable stream can go on, fail and be
   cancelled, with a hedge, resumptions and responses that do not continue the
   stream.

   A state holds the runs, the decision's own state and what the caller has.
   Each step is one that a replica, the entry's timers or the caller can take
   next; all reachable states are visited.  */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "decide/stream_runs.h"

enum
{
  EVENTS = 3, /* of a whole text */
  RUNS_MAX = 3,
  AT_ONCE_MAX = 2,
  /* Enough for the longest order; a deeper one would be a loop.  */
  DEPTH_MAX = 64
};

/* How a replica answers a run.  */
enum behaviour
{
  SOUND,        /* continues after the event that it was asked for */
  IGNORES_ID,   /* begins at the first event */
  LEAVES_OUT,   /* leaves out the event after the one that it was asked for */
  REPEATS,      /* sends its first event twice */
  NO_EVENTS,    /* a complete 200 without events */
  OTHER_STATUS, /* a complete response with another status */
  N_BEHAVIOURS
};

enum phase
{
  UNUSED,
  RUNNING,
  ENDED
};

struct run
{
  struct wy_stream_run r;
  uint8_t phase;
  uint8_t behaviour;
  uint8_t next_event; /* of its text */
  uint8_t in_event;   /* a part of it has been sent */
  uint8_t has_repeated;
};

enum outcome
{
  OPEN,
  COMPLETE,
  BROKEN_OFF,
  FAILED, /* before it began */
  LEFT    /* by the caller */
};

struct state
{
  struct wy_stream s;
  struct run runs[RUNS_MAX];
  uint8_t n_runs;
  uint8_t outcome;
  /* What the caller has: of each event the run that wrote it.  */
  uint8_t text[2 * EVENTS];
  uint8_t text_event[2 * EVENTS];
  uint8_t n_text;
};

static GHashTable *visited; /* GBytes of struct state */
static const char *order[DEPTH_MAX];
static uint32_t n_violations;
static uint32_t n_completed;
static uint32_t n_resumed; /* complete streams of several runs */

static void visit (const struct state *st, uint32_t depth);

static void
violation (const char *rule, uint32_t depth)
{
  GString *text = g_string_new (rule);

  for (uint32_t i = 0; i < depth; i++)
    g_string_append_printf (text, "%s %s", i ? "," : ":", order[i]);
  if (n_violations++ < 3)
    cr_log_error ("%s", text->str);
  g_string_free (text, TRUE);
}

static uint32_t
count_running (const struct state *st)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < st->n_runs; i++)
    n += st->runs[i].phase == RUNNING;
  return n;
}

/* The caller has the events 1, 2, ..., and where the run changes, the new one
   is sound and was asked to continue after the event before.  */
static void
check_text (const struct state *st, uint32_t depth)
{
  for (uint32_t i = 0; i < st->n_text; i++)
    {
      const struct run *u = &st->runs[st->text[i]];

      if (st->text_event[i] != i + 1)
        violation ("an event is missing or comes again", depth);
      if (i && st->text[i] != st->text[i - 1]
          && ((u->behaviour != SOUND && u->behaviour != REPEATS)
              || u->r.after_event != (int64_t)st->text_event[i - 1]
              || st->text[i] < st->text[i - 1]))
        violation ("events of two runs are joined", depth);
    }
}

static void
check (const struct state *st, uint32_t depth)
{
  check_text (st, depth);
  if (st->s.begun && count_running (st) > 1)
    violation ("a run beside the owner", depth);
  if (st->outcome == COMPLETE && st->n_text < EVENTS)
    violation ("an incomplete stream ends as complete", depth);
  if (st->outcome != OPEN && count_running (st))
    violation ("a run goes on after the end", depth);
}

static void
end_run (struct state *st, struct run *u)
{
  u->phase = ENDED;
  wy_stream_run_ended (&st->s, &u->r);
}

static void
end_response (struct state *st, enum outcome outcome)
{
  for (uint32_t i = 0; i < st->n_runs; i++)
    if (st->runs[i].phase == RUNNING)
      end_run (st, &st->runs[i]);
  st->outcome = outcome;
}

/* U has failed: the response goes on if another run may be started.  */
static void
fail_run (struct state *st, struct run *u)
{
  end_run (st, u);
  if (count_running (st))
    return;
  if (st->n_runs == RUNS_MAX)
    end_response (st, st->s.begun ? BROKEN_OFF : FAILED);
  else if (st->s.begun && !wy_stream_may_be_resumed (&st->s))
    end_response (st, BROKEN_OFF);
}

static void
pass (struct state *st, const struct run *u, uint8_t event)
{
  if (st->n_text == G_N_ELEMENTS (st->text))
    return;
  st->text[st->n_text] = (uint8_t)(u->r.number - 1);
  st->text_event[st->n_text++] = event;
}

static void
receive_event (struct state *st, struct run *u)
{
  uint8_t event = u->next_event++;

  u->in_event = false;
  if (u->behaviour == REPEATS && !u->has_repeated)
    {
      u->has_repeated = true;
      u->next_event--;
    }
  switch (wy_stream_on_event (&st->s, &u->r, event, true))
    {
    case WY_STREAM_BEGIN:
      for (uint32_t i = 0; i < st->n_runs; i++)
        if (st->runs[i].phase == RUNNING && &st->runs[i] != u)
          end_run (st, &st->runs[i]);
      pass (st, u, event);
      return;
    case WY_STREAM_PASS:
      pass (st, u, event);
      return;
    case WY_STREAM_DROP:
      return;
    case WY_STREAM_ABORT_RUN:
      fail_run (st, u);
      return;
    }
}

static void
receive_end (struct state *st, struct run *u)
{
  struct wy_stream_end e = { .has_events = u->behaviour != OTHER_STATUS,
                             .in_event = u->in_event,
                             .has_length = true };

  switch (wy_stream_on_end (&st->s, &u->r, &e))
    {
    case WY_STREAM_END:
      end_response (st, COMPLETE);
      return;
    case WY_STREAM_WHOLE:
      /* The replica's own response to a request that has no other.  */
      end_response (st, FAILED);
      return;
    case WY_STREAM_FAILED:
      fail_run (st, u);
      return;
    }
}

static void
start_run (struct state *st, enum behaviour behaviour)
{
  struct run *u = &st->runs[st->n_runs++];

  wy_stream_run_started (&st->s, st->n_runs, &u->r);
  u->phase = RUNNING;
  u->behaviour = (uint8_t)behaviour;
  u->next_event = (uint8_t)(u->r.after_event < 0 ? 1 : u->r.after_event + 1);
  if (behaviour == IGNORES_ID)
    u->next_event = 1;
  if (behaviour == LEAVES_OUT && u->r.after_event >= 0)
    u->next_event++;
}

static bool
sends_events (const struct run *u)
{
  return u->behaviour != NO_EVENTS && u->behaviour != OTHER_STATUS;
}

#define STEP(NAME, ACTION)                                                    \
  do                                                                          \
    {                                                                         \
      struct state next = *st;                                                \
      struct run *u = &next.runs[i];                                          \
      (void)u;                                                                \
      ACTION;                                                                 \
      order[depth] = NAME;                                                    \
      visit (&next, depth + 1);                                               \
    }                                                                         \
  while (0)

static void
run_steps (const struct state *st, uint32_t i, uint32_t depth)
{
  const struct run *now = &st->runs[i];

  if (now->phase != RUNNING)
    return;
  if (sends_events (now) && now->next_event <= EVENTS)
    {
      if (!now->in_event)
        STEP ("part", u->in_event = true);
      STEP ("event", receive_event (&next, u));
    }
  else
    STEP ("end", receive_end (&next, u));
  if (now->in_event)
    STEP ("end inside an event", receive_end (&next, u));
  STEP ("reset", fail_run (&next, u));
}

static void
start_steps (const struct state *st, uint32_t depth)
{
  static const char *const names[N_BEHAVIOURS]
      = { "run",
          "run that ignores the id",
          "run that leaves an event out",
          "run that repeats an event",
          "run without events",
          "run with another status" };
  uint32_t n = count_running (st);
  uint32_t i = 0;

  if (st->n_runs == RUNS_MAX || n >= AT_ONCE_MAX
      || !wy_stream_may_start_run (&st->s, n > 0))
    return;
  for (uint32_t b = 0; b < N_BEHAVIOURS; b++)
    STEP (names[b], start_run (&next, (enum behaviour)b));
}

static void
visit (const struct state *st, uint32_t depth)
{
  GBytes *key = g_bytes_new (st, sizeof *st);
  uint32_t i = 0;

  cr_assert_lt (depth, DEPTH_MAX);
  if (!g_hash_table_add (visited, key))
    return;
  check (st, depth);
  n_completed += st->outcome == COMPLETE;
  n_resumed
      += st->outcome == COMPLETE && st->text[0] != st->text[st->n_text - 1];
  if (st->outcome != OPEN)
    return;
  start_steps (st, depth);
  for (i = 0; i < st->n_runs; i++)
    run_steps (st, i, depth);
  i = 0;
  STEP ("caller leaves", end_response (&next, LEFT));
}

/* Guards against a caller who gets events of two runs, an event twice or not
   at all, or an incomplete stream that ends as complete.  */
Test (stream_model, all_orders)
{
  struct state st;

  memset (&st, 0, sizeof st);
  visited = g_hash_table_new_full (g_bytes_hash, g_bytes_equal,
                                   (GDestroyNotify)g_bytes_unref, NULL);
  wy_stream_init (&st.s, true, -1);
  visit (&st, 0);
  cr_log_info ("%u states, %u with a complete stream, %u of several runs",
               g_hash_table_size (visited), n_completed, n_resumed);
  cr_expect_eq (n_violations, 0, "%u violations", n_violations);
  cr_expect_gt (n_completed, 0);
  cr_expect_gt (n_resumed, 0);
  g_hash_table_destroy (visited);
}

/* Guards against each event that must not reach the caller, one a row.  */
Test (stream_model, events)
{
  static const struct
  {
    const char *what;
    struct wy_stream s;
    struct wy_stream_run r;
    int64_t id;
    bool has_data;
    enum wy_stream_event_step step;
  } rows[] = {
    { "first event of the first run",
      { true, false, true, 0, -1 },
      { 1, -1, 0, -1, -1 },
      1,
      true,
      WY_STREAM_BEGIN },
    { "first event of the caller's resumption",
      { true, false, true, 0, 7 },
      { 1, 7, 0, -1, -1 },
      8,
      true,
      WY_STREAM_BEGIN },
    { "the caller's resumption leaves one out",
      { true, false, true, 0, 7 },
      { 1, 7, 0, -1, -1 },
      9,
      true,
      WY_STREAM_ABORT_RUN },
    { "next event of the owner",
      { true, true, true, 1, 3 },
      { 1, -1, 3, 1, 3 },
      4,
      true,
      WY_STREAM_PASS },
    { "the owner repeats an event",
      { true, true, true, 1, 3 },
      { 1, -1, 3, 1, 3 },
      3,
      true,
      WY_STREAM_ABORT_RUN },
    { "event of another run than the owner",
      { true, true, true, 1, 3 },
      { 2, 3, 0, -1, -1 },
      4,
      true,
      WY_STREAM_ABORT_RUN },
    { "resumption with the next event",
      { true, true, true, 0, 3 },
      { 2, 3, 0, -1, -1 },
      4,
      true,
      WY_STREAM_PASS },
    { "resumption from the beginning",
      { true, true, true, 0, 3 },
      { 2, 3, 0, -1, -1 },
      1,
      true,
      WY_STREAM_ABORT_RUN },
    { "resumption without an id",
      { true, true, true, 0, 3 },
      { 2, 3, 0, -1, -1 },
      -1,
      true,
      WY_STREAM_ABORT_RUN },
    { "comment of the owner",
      { true, true, true, 1, 3 },
      { 1, -1, 3, 1, 3 },
      -1,
      false,
      WY_STREAM_PASS },
    { "comment before the first event",
      { true, false, true, 0, -1 },
      { 1, -1, 0, -1, -1 },
      -1,
      false,
      WY_STREAM_DROP },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct wy_stream s = rows[i].s;
      struct wy_stream_run r = rows[i].r;

      cr_expect_eq (wy_stream_on_event (&s, &r, rows[i].id, rows[i].has_data),
                    rows[i].step, "%s", rows[i].what);
    }
}

/* Guards against each response that ends a stream which it does not complete,
   one a row.  */
Test (stream_model, ends)
{
  static const struct
  {
    const char *what;
    struct wy_stream s;
    struct wy_stream_run r;
    struct wy_stream_end e;
    enum wy_stream_end_step step;
  } rows[] = {
    { "end of the owner",
      { true, true, true, 1, 3 },
      { 1, -1, 3, 1, 3 },
      { true, false, true },
      WY_STREAM_END },
    { "end of the owner, by its connection",
      { true, true, true, 1, 3 },
      { 1, -1, 3, 1, 3 },
      { true, false, false },
      WY_STREAM_END },
    { "end of the owner inside an event",
      { true, true, true, 1, 3 },
      { 1, -1, 3, 1, 3 },
      { true, true, true },
      WY_STREAM_FAILED },
    { "end of another run than the owner",
      { true, true, true, 1, 3 },
      { 2, 1, 2, 2, 3 },
      { true, false, true },
      WY_STREAM_FAILED },
    { "resumption without events",
      { true, true, true, 0, 3 },
      { 2, 3, 0, -1, -1 },
      { true, false, true },
      WY_STREAM_FAILED },
    { "resumption with another status",
      { true, true, true, 0, 3 },
      { 2, 3, 0, -1, -1 },
      { false, false, true },
      WY_STREAM_FAILED },
    { "no event at all",
      { true, false, true, 0, -1 },
      { 1, -1, 0, -1, -1 },
      { true, false, true },
      WY_STREAM_WHOLE },
    { "no event at all, and no length",
      { true, false, true, 0, -1 },
      { 1, -1, 0, -1, -1 },
      { true, false, false },
      WY_STREAM_FAILED },
    { "another status",
      { true, false, true, 0, -1 },
      { 1, -1, 0, -1, -1 },
      { false, false, true },
      WY_STREAM_WHOLE },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    cr_expect_eq (wy_stream_on_end (&rows[i].s, &rows[i].r, &rows[i].e),
                  rows[i].step, "%s", rows[i].what);
}
