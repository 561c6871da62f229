/* What entries tell each other directly of requests that crash replicas.

   The list in an entry's directory row reaches the others only after the store
   has it.  The entry may die before that, or the store may be away, and each
   of the others would run the request again.  So a crash is sent to the other
   entries at once; those responsible for the request write it to their own
   rows if the row of the sender does not show it soon.  */
#include "gate/suspect_peers_state.h"

#include <stdlib.h>
#include <string.h>

#include "gate/peer_call.h"
#include "gate/suspect_list.h"
#include "trace/json_log.h"

#define TOLD_TARGET "/suspects/told"
#define ALL_TARGET "/suspects/all"

enum
{
  /* Minimum interval between two messages.  */
  TELL_INTERVAL_MS = 20,
  /* Several requests that ran beside a crash are cleared in one message.  */
  CLEARED_DELAY_MS = 50,
  TIMEOUT_MS = 400,
  CLEARED_MAX = 64,
  /* Entries that one which has started asks for all suspects.  */
  ASKED_MAX = 3
};

/* Another entry has responded with suspects that this one may not know.  */
static void
on_response (void *ctx, const json_t *doc)
{
  struct wy_suspect_peers *s = ctx;

  wy_suspect_list_hear (&s->env->crashes, json_object_get (doc, "crashed"),
                        wy_clock_mono_ms (s->env->clock));
}

static void
send_to (struct wy_suspect_peers *s, const struct sockaddr_in *a, size_t n,
         const json_t *doc)
{
  for (size_t i = 0; i < n; i++)
    {
      struct wy_peer_call_options o = { .env = s->env,
                                        .address = a[i],
                                        .target = TOLD_TARGET,
                                        .doc = doc,
                                        .timeout_ms = TIMEOUT_MS,
                                        .on_end = on_response,
                                        .ctx = s };

      wy_peer_call_start (&o);
    }
}

/* Send DOC, of which this entry has just heard, to those that its sender has
   not sent it to.  */
static void
pass_on (struct wy_suspect_peers *s, const json_t *doc)
{
  struct sockaddr_in a[WY_MEMBERS_FAN_OUT_MAX];
  bool is_complete;
  size_t n = wy_members_fan_out (s->members, a, &is_complete);

  if (!is_complete)
    send_to (s, a, n, doc);
}

static json_t *
encode_cleared (struct wy_suspect_peers *s)
{
  json_t *list = json_array ();

  for (guint i = 0; i < s->cleared->len; i++)
    json_array_append_new (
        list, wy_suspect_json_hex (g_array_index (s->cleared, uint64_t, i)));
  g_array_set_size (s->cleared, 0);
  return list;
}

static void
on_tell (uv_timer_t *t)
{
  struct wy_suspect_peers *s = t->data;
  struct wy_gate_env *env = s->env;
  int64_t now_ms = wy_clock_mono_ms (env->clock);
  json_t *crashed = wy_suspect_list_encode (&env->crashes, now_ms);
  json_t *cleared = encode_cleared (s);
  struct sockaddr_in a[WY_MEMBERS_FAN_OUT_MAX];
  bool is_complete;
  size_t n = wy_members_fan_out (s->members, a, &is_complete);
  json_t *doc;

  s->told_ms = now_ms;
  if (n)
    wy_json_log ("suspects.told", "suspects=%zu cleared=%zu entries=%zu",
                 json_array_size (crashed), json_array_size (cleared), n);
  doc = json_pack ("{s:s, s:o, s:o}", "holder", env->holder, "crashed",
                   crashed, "cleared", cleared);
  send_to (s, a, n, doc);
  json_decref (doc);
}

static void
schedule (struct wy_suspect_peers *s, int64_t delay_ms)
{
  int64_t now_ms = wy_clock_mono_ms (s->env->clock);
  int64_t due_ms = MAX (
      delay_ms, s->told_ms ? s->told_ms + TELL_INTERVAL_MS - now_ms : 0);

  if (uv_is_active ((uv_handle_t *)&s->tell_timer)
      && (int64_t)uv_timer_get_due_in (&s->tell_timer) <= due_ms)
    return;
  uv_update_time (s->env->loop);
  uv_timer_start (&s->tell_timer, on_tell, (uint64_t)due_ms, 0);
}

/* Tell the other entries of the requests that crashed replicas here.  */
void
wy_suspect_peers_tell (struct wy_suspect_peers *s)
{
  schedule (s, 0);
}

/* The request with FINGERPRINT, which was suspect, got a response.  Let the
   other entries know.  */
void
wy_suspect_peers_cleared (struct wy_suspect_peers *s, uint64_t fingerprint)
{
  if (s->cleared->len == CLEARED_MAX)
    return;
  g_array_append_val (s->cleared, fingerprint);
  schedule (s, CLEARED_DELAY_MS);
}

/* Clear the requests of LIST that are suspect here.  One that is blocked stays
   so.  Returns whether there were any.  */
static bool
clear_suspects (struct wy_suspect_peers *s, const json_t *list)
{
  struct wy_crash_tracker *w = &s->env->crashes;
  int64_t now_ms = wy_clock_mono_ms (s->env->clock);
  bool any = false;

  for (size_t i = 0; i < json_array_size (list); i++)
    {
      uint64_t f = wy_suspect_parse_hex (json_array_get (list, i));

      if (wy_suspects_check (&w->suspects, f, now_ms) != WY_SUSPICION_ISOLATE)
        continue;
      wy_suspects_clear_lasting (&w->suspects, f, now_ms);
      any = true;
    }
  return any;
}

static json_t *
on_told (struct wy_suspect_peers *s, const json_t *doc)
{
  const char *holder = json_string_value (json_object_get (doc, "holder"));
  const json_t *crashed = json_object_get (doc, "crashed");
  int64_t now_ms = wy_clock_mono_ms (s->env->clock);
  bool is_new = wy_suspect_list_hear (&s->env->crashes, crashed, now_ms);

  is_new |= clear_suspects (s, json_object_get (doc, "cleared"));
  if (is_new)
    {
      wy_json_log ("suspects.heard", "holder=%s", holder ? holder : "");
      pass_on (s, doc);
    }
  return json_pack (
      "{s:o}", "crashed",
      wy_suspect_list_encode_unknown (&s->env->crashes, crashed, now_ms));
}

static json_t *
on_all (struct wy_suspect_peers *s, const json_t *doc)
{
  return json_pack ("{s:o}", "crashed",
                    wy_suspect_list_encode_all (
                        &s->env->crashes, wy_clock_mono_ms (s->env->clock)));
}

static void
on_all_response (void *ctx, const json_t *doc)
{
  struct wy_suspect_peers *s = ctx;
  const json_t *list = json_object_get (doc, "crashed");

  if (!list)
    return;
  s->has_all = true;
  wy_json_log ("suspects.read", "suspects=%zu", json_array_size (list));
  wy_suspect_list_merge (&s->env->crashes, list,
                         wy_clock_mono_ms (s->env->clock));
}

/* The directory has changed.  An entry that has started asks others for the
   suspects that they know, until one has responded: rows have room for the
   newest only.  */
void
wy_suspect_peers_members_changed (struct wy_suspect_peers *s)
{
  struct sockaddr_in a[ASKED_MAX];
  json_t *doc;
  size_t n;

  if (s->has_all || !wy_members_are_known (s->members))
    return;
  doc = json_object ();
  n = wy_members_peer_addresses (s->members, a, ASKED_MAX);
  for (size_t i = 0; i < n; i++)
    {
      struct wy_peer_call_options o = { .env = s->env,
                                        .address = a[i],
                                        .target = ALL_TARGET,
                                        .doc = doc,
                                        .timeout_ms = TIMEOUT_MS,
                                        .on_end = on_all_response,
                                        .ctx = s };

      wy_peer_call_start (&o);
    }
  json_decref (doc);
}

/* Handle R if it is a message of another entry on suspects.  Returns false if
   it is another request.  */
bool
wy_suspect_peers_handle (struct wy_suspect_peers *s, struct wy_h1_request *r)
{
  static const struct
  {
    const char *target;
    json_t *(*handle) (struct wy_suspect_peers *s, const json_t *doc);
  } targets[] = { { TOLD_TARGET, on_told },
                  { ALL_TARGET, on_all },
                  { WY_PERMIT_ASK_TARGET, wy_permit_on_ask },
                  { WY_PERMIT_RELEASE_TARGET, wy_permit_on_release } };
  static const struct wy_h1_header type
      = { "Content-Type", "application/json" };

  for (size_t i = 0; i < G_N_ELEMENTS (targets); i++)
    if (!strcmp (wy_h1_target (r), targets[i].target))
      {
        size_t n;
        const char *body = wy_h1_body (r, &n);
        json_t *doc = json_loadb (body, n, 0, NULL);
        json_t *response = targets[i].handle (s, doc);
        char *text = json_dumps (response, JSON_COMPACT);

        wy_h1_respond (r, 200, &type, 1, text, strlen (text));
        free (text);
        json_decref (response);
        json_decref (doc);
        return true;
      }
  return false;
}

/* Start exchanging suspects with the entries that MEMBERS knows.  */
struct wy_suspect_peers *
wy_suspect_peers_new (struct wy_gate_env *env, struct wy_members *members)
{
  struct wy_suspect_peers *s = g_new0 (struct wy_suspect_peers, 1);

  s->env = env;
  s->members = members;
  s->cleared = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  uv_timer_init (env->loop, &s->tell_timer);
  s->tell_timer.data = s;
  return s;
}

/* Stop.  The memory of S isn't freed, since calls may be in progress.  */
void
wy_suspect_peers_free (struct wy_suspect_peers *s)
{
  uv_close ((uv_handle_t *)&s->tell_timer, NULL);
}
