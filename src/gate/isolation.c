/* Equal requests that run one at a time at this entry, and what is known of
   requests since targets crash.

   An entry that sees a target end does not know the cause: the entry at which
   the request ran may have died with the target.  So for some time after a
   crash requests for that service run with care, unless an equal one was
   answered: a request that crashes targets never is.  */
#include "gate/isolation.h"

enum
{
  /* Crashed targets return within a few seconds.  */
  ALERT_MS = 10000
};

static bool
is_recent (int64_t at_ms, int64_t now_ms)
{
  return at_ms && now_ms - at_ms < ALERT_MS;
}

/* A target of SERVICE has crashed.  */
void
wy_isolation_crash_seen (struct wy_isolation *i, const char *service,
                         int64_t now_ms)
{
  int64_t *seen_ms = g_new (int64_t, 1);

  if (!i->crash_seen_ms)
    i->crash_seen_ms
        = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  *seen_ms = now_ms;
  g_hash_table_replace (i->crash_seen_ms, g_strdup (service), seen_ms);
  i->last_crash_ms = now_ms;
}

/* Whether a target of SERVICE has crashed recently.  */
bool
wy_isolation_has_crashed (const struct wy_isolation *i, const char *service,
                          int64_t now_ms)
{
  const int64_t *seen_ms;

  if (!is_recent (i->last_crash_ms, now_ms))
    return false;
  seen_ms = g_hash_table_lookup (i->crash_seen_ms, service);
  return seen_ms && is_recent (*seen_ms, now_ms);
}

/* A request with FINGERPRINT starts to run.  */
void
wy_isolation_begin (struct wy_isolation *i, uint64_t fingerprint)
{
  gint64 key = (gint64)fingerprint;
  guint n;

  if (!i->running)
    i->running
        = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
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

/* A request with FINGERPRINT was answered.  */
void
wy_isolation_note_answer (struct wy_isolation *i, uint64_t fingerprint,
                          int64_t now_ms)
{
  struct wy_answered_request *a = &i->answered[i->next_answered];

  i->next_answered = (i->next_answered + 1) % WY_ISOLATION_ANSWERED_MAX;
  a->fingerprint = fingerprint;
  a->at_ms = now_ms;
}

/* Whether a request with FINGERPRINT was answered recently.  */
bool
wy_isolation_was_answered (const struct wy_isolation *i, uint64_t fingerprint,
                           int64_t now_ms)
{
  for (uint32_t k = 0; k < WY_ISOLATION_ANSWERED_MAX; k++)
    if (i->answered[k].fingerprint == fingerprint
        && is_recent (i->answered[k].at_ms, now_ms))
      return true;
  return false;
}
