/* Finds out whether replicas crashed under interrupted runs, and logs what the
   crash tracker concludes, so that the log shows when and why a request was
   blocked.

   The list of replicas shows a crash seconds late, and not at all while the
   store is away; the replica may have returned by then.  So an interrupted run
   makes the entry connect to the replica: a port that refuses connections
   belongs to a process that has ended.  A refusal may also come from the
   network between, so the list has the last word once it is known to be up to
   date.  */
#include "gate/crash_watch.h"

#include "trace/json_log.h"

enum
{
  /* A list that the store has not confirmed for this long may be out of date.
   */
  LIST_CURRENT_MS = 3000
};

static void
log_crash (const struct wy_crash_event *ev)
{
  wy_json_log ("run.crashed",
               "fingerprint=%016llx crashes=%u running=%u age_ms=%lld "
               "blocked=%d",
               (unsigned long long)ev->fingerprint, ev->crashes, ev->running,
               (long long)ev->age_ms, ev->is_blocked);
}

static void
on_crash (void *ctx, const struct wy_crash_event *ev)
{
  struct wy_gate_env *env = ctx;

  if (ev->is_remote && ev->is_blocked)
    wy_json_log ("request.blocked", "fingerprint=%016llx crashes=%u",
                 (unsigned long long)ev->fingerprint, ev->crashes);
  else if (ev->is_remote)
    wy_json_log ("suspect.heard", "fingerprint=%016llx crashes=%u",
                 (unsigned long long)ev->fingerprint, ev->crashes);
  else if (ev->is_refuted)
    wy_json_log ("crash.refuted", "fingerprint=%016llx crashes=%u",
                 (unsigned long long)ev->fingerprint, ev->crashes);
  else
    {
      (*env->count.run_crashes)++;
      log_crash (ev);
    }
}

/* Start tracking crashes in ENV.  */
void
wy_crash_watch_init (struct wy_gate_env *env)
{
  wy_crash_tracker_init (&env->crashes);
  env->crashes.on_crash = on_crash;
  env->crashes.ctx = env;
}

/* INCARNATION of G has ended, as EVIDENCE shows.  Returns whether a run had
   been interrupted there.  */
static bool
count_crash (struct wy_gate_env *env, const struct wy_target *g,
             uint64_t incarnation, const char *evidence)
{
  struct wy_crash_counts n = wy_crash_tracker_target_crashed (
      &env->crashes, incarnation, wy_clock_mono_ms (env->clock));

  wy_isolation_crash_seen (&env->isolation, g->info.service,
                           wy_clock_mono_ms (env->clock));
  if (n.counted == 0)
    return false;
  wy_json_log ("target.crashed", "id=%s evidence=%s runs=%u", g->info.id,
               evidence, n.counted);
  if (n.blocked)
    wy_json_log ("request.held_back", "target=%s requests=%u", g->info.id,
                 n.blocked);
  if (env->on_suspects_changed)
    env->on_suspects_changed (env->suspects_ctx);
  return true;
}

/* A connection to G was refused.  G has crashed if a run there was interrupted
   shortly before, unless it had announced that it leaves.  */
void
wy_crash_watch_refused (struct wy_gate_env *env, struct wy_target *g)
{
  if (!g->info.draining && count_crash (env, g, g->incarnation, "refused"))
    wy_target_process_ended (g);
}

/* The process of G has ended without announcing it, as the list shows: it was
   removed or has restarted.  */
void
wy_crash_watch_target_ended (struct wy_gate_env *env, struct wy_target *g)
{
  if (count_crash (env, g, g->incarnation, "list"))
    g->crashed_incarnation = g->incarnation;
}

/* A connection opened only to find out whether its target has crashed.  */
struct probe
{
  struct wy_gate_env *env;
  struct wy_target *target;
  uint64_t incarnation;
  struct wy_h1_call *call;
};

static void
on_probe_end (void *ctx, int err)
{
  struct probe *b = ctx;
  struct wy_target *g = b->target;

  g->is_probed = false;
  if (err && wy_h1_call_was_refused (b->call)
      && b->incarnation == g->incarnation)
    wy_crash_watch_refused (b->env, g);
  wy_crash_tracker_verdict (&b->env->crashes, b->incarnation);
  wy_target_unref (b->env->targets, g);
  g_free (b);
}

static void
start_probe (struct wy_gate_env *env, struct wy_target *g)
{
  struct wy_h1_call_options o = { .address = g->info.address,
                                  .method = "GET",
                                  .target = "/",
                                  .connect_only = true,
                                  .on_end = on_probe_end };
  struct probe *b;

  if (g->is_probed || !g->listed)
    return;
  b = g_new0 (struct probe, 1);
  b->env = env;
  b->target = g;
  b->incarnation = g->incarnation;
  wy_target_ref (g);
  g->is_probed = true;
  (*env->count.crash_probes)++;
  o.ctx = b;
  b->call = wy_h1_call_start (env->http, &o);
}

/* Whether it is being found out if R's target has crashed under it.  */
static bool
is_being_probed (const struct wy_crash_watch_run *r)
{
  return r->target->is_probed && r->incarnation == r->target->incarnation;
}

/* Record the interrupted run R, and find out whether its target has crashed.
 */
void
wy_crash_watch_run_interrupted (struct wy_gate_env *env,
                                const struct wy_crash_watch_run *r)
{
  int64_t now_ms = wy_clock_mono_ms (env->clock);
  struct wy_target *g = r->target;

  (*env->count.runs_interrupted)++;
  wy_json_log ("run.interrupted",
               "id=%s fingerprint=%016llx target=%s ms=%lld", r->id,
               (unsigned long long)r->fingerprint, g->info.id,
               (long long)(now_ms - r->started_ms));
  wy_crash_tracker_run_interrupted (&env->crashes, r->fingerprint,
                                    r->incarnation, now_ms);
  if (r->incarnation == g->crashed_incarnation)
    count_crash (env, g, r->incarnation, "known");
  else if (r->incarnation == g->incarnation)
    start_probe (env, g);
  if (!is_being_probed (r))
    wy_crash_tracker_verdict (&env->crashes, r->incarnation);
}

/* Record the run R, which this entry has cancelled.  */
void
wy_crash_watch_run_cancelled (struct wy_gate_env *env,
                              const struct wy_crash_watch_run *r)
{
  int64_t now_ms = wy_clock_mono_ms (env->clock);

  wy_json_log ("run.cancelled", "id=%s fingerprint=%016llx target=%s ms=%lld",
               r->id, (unsigned long long)r->fingerprint, r->target->info.id,
               (long long)(now_ms - r->started_ms));
  wy_crash_tracker_run_cancelled (&env->crashes, r->fingerprint,
                                  r->incarnation, now_ms);
  if (r->incarnation == r->target->crashed_incarnation)
    count_crash (env, r->target, r->incarnation, "known");
}

static bool
is_listed (const void *targets, uint64_t incarnation)
{
  return wy_targets_has_incarnation (targets, incarnation);
}

/* Check suspicions against the list of targets, which the store confirmed
   LIST_AGE_MS ago; -1: not yet.  */
void
wy_crash_watch_check_list (struct wy_gate_env *env, int64_t list_age_ms)
{
  int64_t now_ms = wy_clock_mono_ms (env->clock);

  if (list_age_ms < 0 || list_age_ms > LIST_CURRENT_MS)
    env->list_current_since_ms = 0;
  else if (env->list_current_since_ms == 0)
    env->list_current_since_ms = now_ms;
  else if (now_ms - env->list_current_since_ms >= WY_CRASH_CONFIRM_MS)
    wy_crash_tracker_verify (&env->crashes, is_listed, env->targets, now_ms);
}
