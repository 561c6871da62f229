/* Pauses reading from peers while the memory of the process is short.

   A source is paused after a read, when the level of the account is raised and
   too much of its data is held here; the peer's further data then stays in the
   kernel and, by the window of its connection, at the peer.  A stream is
   paused for a reader that is behind.  Data that is stored until it is
   complete is freed only by reading on, so of those sources the oldest is read
   for one turn at a time: memory is freed even if stored data alone holds the
   level.  */
#include "h1/read_pause.h"

enum
{
  /* A source is paused when it holds more than this at level PAUSE_READING,
     and a quarter of it at each further level.  500 readers that are behind by
     64 KB hold 32 MB, more than half of the budget of an entry of 120 MB.  */
  BEHIND_BYTES = 65536,
  LEVEL_SHIFT = 2,
  /* Paused sources are checked at this interval, which is also the length of a
     turn.  */
  TURN_MS = 50,
  /* Under level SHED a turn lasts until memory has been freed since it began,
     but at most this many times as long: silent readers are closed after 2 s,
     and until then each complete response adds to what they hold.  */
  SHED_TURN_CHECKS = 20
};

struct wy_read_pauses
{
  struct wy_memory_account *memory;
  GQueue sources;             /* struct wy_read_source, of running calls */
  GQueue paused;              /* of these */
  enum wy_memory_level level; /* when all sources were last checked */
  uint64_t turn;
  int64_t turn_total_bytes; /* in the account when it began */
  uint32_t turn_checks;     /* since then */
  uv_timer_t timer;
};

static size_t
held_bytes (const struct wy_read_source *s)
{
  return s->reader ? wy_h1_held_bytes (s->reader) : s->stored_bytes;
}

static bool
must_pause (const struct wy_read_pauses *p, const struct wy_read_source *s)
{
  enum wy_memory_level level = wy_memory_account_level (p->memory);

  if (level < (s->reader ? WY_MEMORY_PAUSE_READING : WY_MEMORY_REJECT_NEW))
    return false;
  return held_bytes (s) > (size_t)BEHIND_BYTES
         >> (LEVEL_SHIFT * (level - WY_MEMORY_PAUSE_READING));
}

static void
resume (struct wy_read_pauses *p, struct wy_read_source *s)
{
  g_queue_unlink (&p->paused, &s->paused_link);
  s->paused = false;
  wy_h1_call_resume (s->call);
  s->on_resume (s->ctx);
}

static bool
turn_is_over (struct wy_read_pauses *p)
{
  return wy_memory_account_level (p->memory) < WY_MEMORY_SHED
         || p->memory->total_bytes < p->turn_total_bytes
         || ++p->turn_checks >= SHED_TURN_CHECKS;
}

/* Give the next turn to the oldest paused source with stored data, whose
   deadline is likely the next.  The one that had the last turn is paused again
   if it received data, so a silent peer does not keep the turn.  */
static void
give_turn (struct wy_read_pauses *p)
{
  if (!turn_is_over (p))
    return;
  p->turn++;
  p->turn_checks = 0;
  p->turn_total_bytes = p->memory->total_bytes;
  for (GList *l = p->sources.head; l; l = l->next)
    {
      struct wy_read_source *s = l->data;

      if (!s->paused || s->reader)
        continue;
      s->turn = p->turn;
      resume (p, s);
      return;
    }
}

static void
on_timer (uv_timer_t *t)
{
  struct wy_read_pauses *p = t->data;
  GList *next;

  p->level = wy_memory_account_level (p->memory);
  for (GList *l = p->paused.head; l; l = next)
    {
      next = l->next;
      if (!must_pause (p, l->data))
        resume (p, l->data);
    }
  give_turn (p);
  if (p->paused.length == 0)
    uv_timer_stop (&p->timer);
}

static void
pause_if_needed (struct wy_read_pauses *p, struct wy_read_source *s)
{
  if (s->paused || !must_pause (p, s) || s->turn == p->turn)
    return;
  s->paused = true;
  s->paused_link.data = s;
  wy_h1_call_pause (s->call);
  g_queue_push_tail_link (&p->paused, &s->paused_link);
  if (p->paused.length == 1)
    uv_timer_start (&p->timer, on_timer, TURN_MS, TURN_MS);
}

/* S has received data: pause it if needed.  When the level has risen, check
   all sources before they are read again: 500 of them would exceed the budget
   with one more read each.  */
void
wy_read_source_received (struct wy_read_pauses *p, struct wy_read_source *s)
{
  enum wy_memory_level level;

  if (!p)
    return;
  if (!s->listed)
    {
      s->listed = true;
      s->link.data = s;
      g_queue_push_tail_link (&p->sources, &s->link);
    }
  level = wy_memory_account_level (p->memory);
  if (level > p->level)
    for (GList *l = p->sources.head; l; l = l->next)
      pause_if_needed (p, l->data);
  else if (level)
    pause_if_needed (p, s);
  p->level = level;
}

/* The call of S has ended or is about to be cancelled.  */
void
wy_read_source_end (struct wy_read_pauses *p, struct wy_read_source *s)
{
  if (s->paused)
    g_queue_unlink (&p->paused, &s->paused_link);
  if (s->listed)
    g_queue_unlink (&p->sources, &s->link);
  s->paused = false;
  s->listed = false;
}

/* Number of paused sources.  */
uint32_t
wy_read_pauses_count (const struct wy_read_pauses *p)
{
  return p ? p->paused.length : 0;
}

/* Create the pauses of a process with the account MEMORY.  */
struct wy_read_pauses *
wy_read_pauses_new (uv_loop_t *loop, struct wy_memory_account *memory)
{
  struct wy_read_pauses *p = g_new0 (struct wy_read_pauses, 1);

  p->memory = memory;
  p->turn = 1; /* sources start with 0 */
  g_queue_init (&p->sources);
  g_queue_init (&p->paused);
  uv_timer_init (loop, &p->timer);
  p->timer.data = p;
  return p;
}

static void
on_timer_closed (uv_handle_t *h)
{
  g_free (h->data);
}

/* Free P; no source may be paused.  */
void
wy_read_pauses_free (struct wy_read_pauses *p)
{
  uv_close ((uv_handle_t *)&p->timer, on_timer_closed);
}
