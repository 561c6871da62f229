/* Permits to run a request under which one replica has crashed.

   All entries that know the same directory agree on the entry that gives them.
   If it doesn't respond, the next in the order is asked; so while entries are
   cut off from each other, each part of them gives its own.  A permit that is
   not released, since its entry has died, expires.  */
#include "gate/suspect_peers_state.h"

#include <string.h>

#include "gate/peer_call.h"
#include "gate/suspect_list.h"
#include "trace/json_log.h"

enum
{
  /* Entries that are asked one after the other, for equal parts of the
     time.  */
  GIVERS_MAX = 3,
  RELEASE_TIMEOUT_MS = 400,
  /* After the end of the run, for the answer of the probe and a late
     release.  */
  DURATION_MARGIN_MS = 1000,
  RELEASE_POLL_MS = 10
};

struct wy_permit
{
  struct wy_suspect_peers *peers;
  struct wy_permit_options o;
  uint64_t token;
  struct wy_member_peer givers[GIVERS_MAX];
  size_t n_givers;
  size_t at; /* the giver that is being asked, or has given it */
  enum wy_permit_state state;
  struct wy_peer_call *call;
  int64_t asked_ms;
  uv_timer_t release_timer;
};

static const char *const state_names[]
    = { "none", "pending", "granted", "busy", "blocked", "unreached" };

static int64_t
now_ms_of (const struct wy_suspect_peers *s)
{
  return wy_clock_mono_ms (s->env->clock);
}

/* Whether an equal request was answered recently and no crash is known.  */
static bool
is_harmless (const struct wy_suspect_peers *s, uint64_t fingerprint)
{
  struct wy_gate_env *env = s->env;
  int64_t now_ms = now_ms_of (s);

  return wy_suspects_crashes (&env->crashes.suspects, fingerprint, now_ms) == 0
         && wy_isolation_was_answered (&env->isolation, fingerprint, now_ms);
}

/* Decide on a request for a permit.  */
static enum wy_permit_state
give (struct wy_suspect_peers *s, uint64_t fingerprint, uint64_t token,
      int64_t duration_ms)
{
  int64_t now_ms = now_ms_of (s);

  if (wy_crash_tracker_is_blocked (&s->env->crashes, fingerprint, now_ms))
    return WY_PERMIT_BLOCKED;
  if (is_harmless (s, fingerprint))
    return WY_PERMIT_GRANTED;
  return wy_run_permits_take (&s->permits, fingerprint, token, duration_ms,
                              now_ms)
             ? WY_PERMIT_GRANTED
             : WY_PERMIT_BUSY;
}

/* Respond to another entry that asks for a permit, and tell it what is known
   of the request.  */
json_t *
wy_permit_on_ask (struct wy_suspect_peers *s, const json_t *doc)
{
  struct wy_crash_tracker *w = &s->env->crashes;
  uint64_t f = wy_suspect_parse_hex (json_object_get (doc, "fingerprint"));
  uint64_t token = wy_suspect_parse_hex (json_object_get (doc, "token"));
  enum wy_permit_state state;

  wy_suspect_list_hear (w, json_object_get (doc, "crashed"), now_ms_of (s));
  state
      = f && token
            ? give (s, f, token,
                    json_integer_value (json_object_get (doc, "duration_ms")))
            : WY_PERMIT_BUSY;
  return json_pack ("{s:s, s:o}", "state", state_names[state], "crashed",
                    wy_suspect_list_encode_one (w, f, now_ms_of (s)));
}

/* Handle the release of a permit by another entry, which tells of the crash
   that its run has caused, if any, or that it was answered.  */
json_t *
wy_permit_on_release (struct wy_suspect_peers *s, const json_t *doc)
{
  uint64_t f = wy_suspect_parse_hex (json_object_get (doc, "fingerprint"));

  wy_suspect_list_hear (&s->env->crashes, json_object_get (doc, "crashed"),
                        now_ms_of (s));
  if (json_is_true (json_object_get (doc, "answered")))
    wy_isolation_note_answer (&s->env->isolation, f, now_ms_of (s));
  wy_run_permits_release (
      &s->permits, f, wy_suspect_parse_hex (json_object_get (doc, "token")));
  return json_object ();
}

static void
set_state (struct wy_permit *p, enum wy_permit_state state)
{
  char *label = wy_metrics_label ("outcome", state_names[state]);

  p->state = state;
  ++*wy_metrics_family_counter (p->peers->env->count.run_permits, label);
  g_free (label);
  if (state != WY_PERMIT_BUSY)
    wy_json_log ("run.permit",
                 "id=%s fingerprint=%016llx outcome=%s asked=%zu ms=%lld",
                 p->o.id, (unsigned long long)p->o.fingerprint,
                 state_names[state], MIN (p->at + 1, p->n_givers),
                 (long long)(now_ms_of (p->peers) - p->asked_ms));
}

static void ask_next (struct wy_permit *p);

static json_t *
encode (const struct wy_permit *p)
{
  return json_pack ("{s:o, s:o, s:I, s:o, s:b}", "fingerprint",
                    wy_suspect_json_hex (p->o.fingerprint), "token",
                    wy_suspect_json_hex (p->token), "duration_ms",
                    (json_int_t)p->o.duration_ms, "crashed",
                    wy_suspect_list_encode_one (&p->peers->env->crashes,
                                                p->o.fingerprint,
                                                now_ms_of (p->peers)),
                    "answered", is_harmless (p->peers, p->o.fingerprint));
}

/* Release the permit that the present giver has given, or may give late.  */
static void
release (const struct wy_permit *p)
{
  struct wy_suspect_peers *s = p->peers;
  const struct wy_member_peer *giver = &p->givers[p->at];
  json_t *doc;
  struct wy_peer_call_options o = { .env = s->env,
                                    .address = giver->address,
                                    .target = WY_PERMIT_RELEASE_TARGET,
                                    .timeout_ms = RELEASE_TIMEOUT_MS };

  if (giver->is_self)
    {
      wy_run_permits_release (&s->permits, p->o.fingerprint, p->token);
      return;
    }
  o.doc = doc = encode (p);
  wy_peer_call_start (&o);
  json_decref (doc);
}

static void
on_response (void *ctx, const json_t *doc)
{
  struct wy_permit *p = ctx;
  const char *state = json_string_value (json_object_get (doc, "state"));

  p->call = NULL;
  if (!state)
    {
      release (p);
      p->at++;
      ask_next (p);
    }
  else
    {
      wy_suspect_list_hear (&p->peers->env->crashes,
                            json_object_get (doc, "crashed"),
                            now_ms_of (p->peers));
      set_state (p, !strcmp (state, state_names[WY_PERMIT_GRANTED])
                        ? WY_PERMIT_GRANTED
                    : !strcmp (state, state_names[WY_PERMIT_BLOCKED])
                        ? WY_PERMIT_BLOCKED
                        : WY_PERMIT_BUSY);
    }
  if (p->state != WY_PERMIT_PENDING)
    p->o.on_state (p->o.ctx);
}

/* Ask the next entry in the order.  */
static void
ask_next (struct wy_permit *p)
{
  struct wy_suspect_peers *s = p->peers;
  struct wy_peer_call_options o = { .env = s->env,
                                    .target = WY_PERMIT_ASK_TARGET,
                                    .on_end = on_response,
                                    .ctx = p };
  int64_t left_ms = p->asked_ms + p->o.timeout_ms - now_ms_of (s);
  json_t *doc;

  if (p->at == p->n_givers || left_ms <= 0)
    {
      set_state (p, WY_PERMIT_UNREACHED);
      return;
    }
  if (p->givers[p->at].is_self)
    {
      set_state (p, give (s, p->o.fingerprint, p->token, p->o.duration_ms));
      return;
    }
  o.address = p->givers[p->at].address;
  o.timeout_ms = (uint32_t)MIN (left_ms, p->o.timeout_ms / GIVERS_MAX);
  o.doc = doc = encode (p);
  p->call = wy_peer_call_start (&o);
  json_decref (doc);
}

/* Ask for a permit as described by O.  It is to be ended with
   wy_permit_end.  */
struct wy_permit *
wy_permit_ask (struct wy_suspect_peers *s, const struct wy_permit_options *o)
{
  struct wy_permit *p = g_new0 (struct wy_permit, 1);

  p->peers = s;
  p->o = *o;
  p->state = WY_PERMIT_PENDING;
  p->o.duration_ms += DURATION_MARGIN_MS;
  p->asked_ms = now_ms_of (s);
  p->token = wy_rng_u64 (&s->env->rng) | 1;
  p->n_givers = wy_members_first_for (s->members, o->fingerprint, p->givers,
                                      GIVERS_MAX);
  uv_timer_init (s->env->loop, &p->release_timer);
  p->release_timer.data = p;
  ask_next (p);
  return p;
}

/* The state of P.  */
enum wy_permit_state
wy_permit_state (const struct wy_permit *p)
{
  return p->state;
}

static void
on_closed (uv_handle_t *h)
{
  g_free (h->data);
}

static void
on_release_timer (uv_timer_t *t)
{
  struct wy_permit *p = t->data;

  if (wy_crash_tracker_is_open (&p->peers->env->crashes, p->o.fingerprint,
                                now_ms_of (p->peers)))
    return;
  release (p);
  uv_close ((uv_handle_t *)t, on_closed);
}

/* The run for which P was asked has ended, or won't start.  Unless it was
   answered, the permit is released once it is known whether the replica has
   crashed, and what others have told has arrived.  */
void
wy_permit_end (struct wy_permit *p)
{
  if (!p)
    return;
  p->o.id = "";
  if (p->call)
    wy_peer_call_cancel (p->call);
  p->call = NULL;
  if (p->state == WY_PERMIT_GRANTED || p->state == WY_PERMIT_PENDING)
    uv_timer_start (&p->release_timer, on_release_timer,
                    is_harmless (p->peers, p->o.fingerprint) ? 0
                                                             : RELEASE_POLL_MS,
                    RELEASE_POLL_MS);
  else
    uv_close ((uv_handle_t *)&p->release_timer, on_closed);
}
