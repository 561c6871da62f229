/* Invariant on requests that crash the replicas that run them: once every
   entry must know of one, it may reach replicas a few times more, which were
   under way.  */
#include "check/invariants.h"

enum
{
  LATE_RUNS_MAX = 3
};

static const struct wy_event *
event_after (GPtrArray *crashes, uint64_t hlc, guint skip)
{
  for (guint i = 0; crashes && i < crashes->len; i++)
    {
      const struct wy_event *e = g_ptr_array_index (crashes, i);

      if (e->hlc > hlc && skip-- == 0)
        return e;
    }
  return NULL;
}

void
wy_verify_crashes (struct wy_check *c)
{
  GHashTable *crashes = wy_check_index (c, "replica.crashed", "digest");

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      const struct wy_event *known = c->timeline->events->pdata[i];
      const char *digest = wy_event_text (known, "digest");
      const struct wy_event *late;

      if (!wy_event_is (known, "crash.known"))
        continue;
      late = event_after (wy_check_lookup (crashes, digest), known->hlc,
                          LATE_RUNS_MAX);
      if (late)
        wy_check_violation (c, "crashes", known, late,
                            "a request known to crash replicas, with the "
                            "digest %s, reached them more than %d times",
                            digest, LATE_RUNS_MAX);
    }
  g_hash_table_destroy (crashes);
}
