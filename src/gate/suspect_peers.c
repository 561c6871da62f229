/* What entries tell each other directly of requests that crash replicas.

   The list in an entry's directory row reaches the others only after the store
   has it.  The entry may die before that, or the store may be away, and each
   of the others would run the request again.  So a crash is sent to the other
   entries at once; those responsible for the request write it to their own
   rows if the row of the sender does not show it soon.  */
#include "gate/suspect_peers.h"

#include <stdlib.h>
#include <string.h>

#include "gate/peer_call.h"
#include "gate/suspect_list.h"
#include "trace/json_log.h"

#define TOLD_TARGET "/suspects/told"

enum
{
  /* Minimum interval between two messages.  */
  TELL_INTERVAL_MS = 20,
  TIMEOUT_MS = 400
};

struct wy_suspect_peers
{
  struct wy_gate_env *env;
  struct wy_members *members;
  uv_timer_t tell_timer;
  int64_t told_ms; /* time of the last message; 0: none */
};

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
                                        .timeout_ms = TIMEOUT_MS };

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

static void
on_tell (uv_timer_t *t)
{
  struct wy_suspect_peers *s = t->data;
  struct wy_gate_env *env = s->env;
  int64_t now_ms = wy_clock_mono_ms (env->clock);
  json_t *crashed = wy_suspect_list_encode (&env->crashes, now_ms);
  struct sockaddr_in a[WY_MEMBERS_FAN_OUT_MAX];
  bool is_complete;
  size_t n = wy_members_fan_out (s->members, a, &is_complete);
  json_t *doc;

  s->told_ms = now_ms;
  if (n)
    wy_json_log ("suspects.told", "suspects=%zu entries=%zu",
                 json_array_size (crashed), n);
  doc = json_pack ("{s:s, s:o}", "holder", env->holder, "crashed", crashed);
  send_to (s, a, n, doc);
  json_decref (doc);
}

static void
schedule (struct wy_suspect_peers *s)
{
  int64_t now_ms = wy_clock_mono_ms (s->env->clock);
  int64_t due_ms
      = s->told_ms ? MAX (s->told_ms + TELL_INTERVAL_MS - now_ms, 0) : 0;

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
  schedule (s);
}

static json_t *
on_told (struct wy_suspect_peers *s, const json_t *doc)
{
  const char *holder = json_string_value (json_object_get (doc, "holder"));
  bool is_new = wy_suspect_list_hear (&s->env->crashes,
                                      json_object_get (doc, "crashed"),
                                      wy_clock_mono_ms (s->env->clock));

  if (is_new)
    {
      wy_json_log ("suspects.heard", "holder=%s", holder ? holder : "");
      pass_on (s, doc);
    }
  return json_object ();
}

/* Handle R if it is a message of another entry on suspects.  Returns false if
   it is another request.  */
bool
wy_suspect_peers_handle (struct wy_suspect_peers *s, struct wy_h1_request *r)
{
  static const struct wy_h1_header type
      = { "Content-Type", "application/json" };

  json_t *response;
  const char *body;
  json_t *doc;
  char *text;
  size_t n;

  if (strcmp (wy_h1_target (r), TOLD_TARGET) != 0)
    return false;
  body = wy_h1_body (r, &n);
  doc = json_loadb (body, n, 0, NULL);
  response = on_told (s, doc);
  text = json_dumps (response, JSON_COMPACT);
  wy_h1_respond (r, 200, &type, 1, text, strlen (text));
  free (text);
  json_decref (response);
  json_decref (doc);
  return true;
}

/* Start exchanging suspects with the entries that MEMBERS knows.  */
struct wy_suspect_peers *
wy_suspect_peers_new (struct wy_gate_env *env, struct wy_members *members)
{
  struct wy_suspect_peers *s = g_new0 (struct wy_suspect_peers, 1);

  s->env = env;
  s->members = members;
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
