/* Equal requests that run one at a time at this entry.

   An entry that sees targets crash does not know the cause: the entry at which
   the request ran may have died with the targets.  The request may come to
   this one next, from several callers at once.  So for some time after a crash
   a request waits while an equal one runs.  One that has failed in this time
   and comes again may wait at all entries for the targets to return, so it is
   known by its fingerprint.  Other requests are not affected.  */
#include "gate/isolation.h"

enum
{
  /* Crashed targets return within a few seconds.  */
  ALERT_MS = 10000,
  FAILED_MAX = 4096
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
  if (i->failed && !wy_isolation_is_alert (i, now_ms))
    g_hash_table_remove_all (i->failed);
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

/* A request with FINGERPRINT has failed shortly after a target crashed.  */
void
wy_isolation_failed (struct wy_isolation *i, uint64_t fingerprint)
{
  gint64 key = (gint64)fingerprint;

  if (!i->failed)
    i->failed = new_table ();
  if (g_hash_table_size (i->failed) < FAILED_MAX)
    g_hash_table_add (i->failed, g_memdup2 (&key, sizeof key));
}

/* Whether a request with FINGERPRINT has failed since targets crash.  */
bool
wy_isolation_has_failed (const struct wy_isolation *i, uint64_t fingerprint)
{
  gint64 key = (gint64)fingerprint;

  return i->failed && g_hash_table_contains (i->failed, &key);
}
