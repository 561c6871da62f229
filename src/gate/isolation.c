/* Equal requests that run one at a time at this entry.

   An entry that sees targets crash does not know the cause: the entry at which
   the request ran may have died with the targets.  The request may come to
   this one next, from several callers at once.  It fails or waits here until
   the targets have returned, and is never answered, so for some time after a
   crash it is known how requests have ended, by their fingerprints.  */
#include "gate/isolation.h"

enum
{
  /* Crashed targets return within a few seconds.  */
  ALERT_MS = 10000,
  OUTCOMES_MAX = 4096
};

static GHashTable *
new_table (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
}

/* A target has crashed.  */
void
wy_isolation_crash_seen (struct wy_isolation *i, int64_t now_ms)
{
  if (i->outcomes && !wy_isolation_is_alert (i, now_ms))
    g_hash_table_remove_all (i->outcomes);
  i->crash_seen_ms = now_ms;
}

/* Whether a target has crashed recently.  */
bool
wy_isolation_is_alert (const struct wy_isolation *i, int64_t now_ms)
{
  return i->crash_seen_ms && now_ms - i->crash_seen_ms < ALERT_MS;
}

/* A request with FINGERPRINT starts to run.  */
void
wy_isolation_begin (struct wy_isolation *i, uint64_t fingerprint)
{
  gint64 key = (gint64)fingerprint;
  guint n;

  if (!i->running)
    i->running = new_table ();
  n = GPOINTER_TO_UINT (g_hash_table_lookup (i->running, &key));
  g_hash_table_replace (i->running, g_memdup2 (&key, sizeof key),
                        GUINT_TO_POINTER (n + 1));
}

/* A request with FINGERPRINT that started to run has ended.  */
void
wy_isolation_end (struct wy_isolation *i, uint64_t fingerprint)
{
  gint64 key = (gint64)fingerprint;
  guint n = GPOINTER_TO_UINT (g_hash_table_lookup (i->running, &key));

  if (n > 1)
    g_hash_table_replace (i->running, g_memdup2 (&key, sizeof key),
                          GUINT_TO_POINTER (n - 1));
  else
    g_hash_table_remove (i->running, &key);
}

/* Whether a request with FINGERPRINT is running.  */
bool
wy_isolation_is_running (const struct wy_isolation *i, uint64_t fingerprint)
{
  gint64 key = (gint64)fingerprint;

  return i->running && g_hash_table_contains (i->running, &key);
}

/* A request with FINGERPRINT has ended with OUTCOME shortly after a target
   crashed.  */
void
wy_isolation_ended (struct wy_isolation *i, uint64_t fingerprint,
                    enum wy_isolation_outcome outcome)
{
  gint64 key = (gint64)fingerprint;

  if (!i->outcomes)
    i->outcomes = new_table ();
  if (wy_isolation_outcome (i, fingerprint) == WY_ISOLATION_ANSWERED
      || (g_hash_table_size (i->outcomes) >= OUTCOMES_MAX
          && !g_hash_table_contains (i->outcomes, &key)))
    return;
  g_hash_table_replace (i->outcomes, g_memdup2 (&key, sizeof key),
                        GUINT_TO_POINTER (outcome));
}

/* How requests with FINGERPRINT have ended since targets crash.  */
enum wy_isolation_outcome
wy_isolation_outcome (const struct wy_isolation *i, uint64_t fingerprint)
{
  gint64 key = (gint64)fingerprint;

  return i->outcomes
             ? GPOINTER_TO_UINT (g_hash_table_lookup (i->outcomes, &key))
             : WY_ISOLATION_UNKNOWN;
}
