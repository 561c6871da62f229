/* The users' side of a small deployment: the store, the operator, replicas and
   clients, and the check of one rule.

   yard CASE DIR: writes the ports to DIR/ports, waits for DIR/started, plays
   the case, writes DIR/record.txt and exits with 1 if the rule was broken, 0
   if it held, 2 if the case could not run.  With TROUBLE=0 in the environment
   the disruption is left out.  */
#define _GNU_SOURCE
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base.h"
#include "store.h"

enum
{
  GATES = 7,
  ZONES = 3,
  HEARTBEAT_MS = 1200,
  READY_MAX_MS = 10000,
  STEP_MS = 2,
  REQUESTS_MAX = 40000
};

/* What a case consists of.  Times in ms.  */
struct plan
{
  const char *rule;
  const char *service;
  const char *second; /* another service of the same kind; NULL: none */
  const char *kind;   /* of the routes */
  bool resumable;
  bool is_model;
  int replicas; /* of each service */
  int slots;
  int queue;
  int target_latency;
  int attempts;
  int time_limit; /* of a client */
  int work;       /* plain replica: mean; the rest varies by half */
  int events;     /* of a stream */
  int first_event;
  int event_gap;
  double per_s; /* new requests */
  int clump;    /* besides, so many at a time, give or take a quarter */
  int clump_ms; /* between the clumps */
  int length;
  const char *trouble;
  int troubled; /* replicas of each service */
  int window;   /* of trouble */
  int pause;    /* between two windows */
  double share; /* of answers or requests */
  int slower;   /* times */
};

static const struct plan plans[] = {
  { .rule = "TWICE",
    .service = "order-desk",
    .second = "ledger-desk",
    .kind = "unsafe",
    .replicas = 2,
    .slots = 6,
    .queue = 4,
    .target_latency = 150,
    .attempts = 3,
    .time_limit = 2000,
    .work = 40,
    .per_s = 72,
    .clump = 48,
    .clump_ms = 200,
    .length = 100000,
    .trouble = "garble extra late",
    .troubled = 1,
    .window = 5000,
    .pause = 1000,
    .share = 0.03 },
  { .rule = "ORDER",
    .service = "advice-lm",
    .kind = "streaming",
    .resumable = true,
    .is_model = true,
    .replicas = 7,
    .slots = 8,
    .queue = 24,
    .target_latency = 400,
    .attempts = 3,
    .time_limit = 12000,
    .events = 20,
    .first_event = 55,
    .event_gap = 25,
    .per_s = 10,
    .length = 40000,
    .trouble = "srv_grey errors",
    .troubled = 1,
    .window = 6500,
    .pause = 3000,
    .share = 0.4 },
  { .rule = "ORDER",
    .service = "advice-lm",
    .kind = "streaming",
    .resumable = true,
    .is_model = true,
    .replicas = 7,
    .slots = 8,
    .queue = 24,
    .target_latency = 400,
    .attempts = 3,
    .time_limit = 12000,
    .events = 4,
    .first_event = 55,
    .event_gap = 25,
    .per_s = 12,
    .length = 50000,
    .trouble = "srv_slow",
    .troubled = 1,
    .window = 6500,
    .pause = 3000,
    .slower = 4 },
};

static const struct plan *plan;
static int case_number;
static bool trouble;

struct replica
{
  int number; /* in its service */
  const char *service;
  char id[32];
  uint16_t port;
  pthread_mutex_t lock;
  pthread_cond_t freed;
  int running;
  int waiting;
};

static struct replica replicas[16];

/* What became of one client attempt, by its Attempt-Id.  */
struct request
{
  char id[24];
  int begun;  /* runs at replicas */
  int status; /* 0: no answer */
  int number;
  bool broke_rule;
};

static struct request requests[REQUESTS_MAX];
static int n_requests;
static int n_clients;
static pthread_mutex_t requests_lock = PTHREAD_MUTEX_INITIALIZER;
static uint16_t callers[GATES];
static uint16_t ready[GATES];
static int64_t traffic_ms;
static int next_run;
static bool ending;

static double
chance (void)
{
  return (double)random () / RAND_MAX;
}

/* Whether REPLICA is disrupted now.  */
static bool
is_troubled (const struct replica *r)
{
  int64_t t = now_ms () - traffic_ms;

  return trouble && traffic_ms && r->number < plan->troubled
         && t % (plan->window + plan->pause) >= plan->pause;
}

static int
count_replicas (void)
{
  return plan->second ? 2 * plan->replicas : plan->replicas;
}

static struct request *
request_of (const char *id)
{
  for (int i = n_requests - 1; id && i >= 0; i--)
    if (!strcmp (requests[i].id, id))
      return &requests[i];
  return NULL;
}

static void
count_run (const char *id)
{
  struct request *q;

  pthread_mutex_lock (&requests_lock);
  q = request_of (id);
  if (q)
    q->begun++;
  pthread_mutex_unlock (&requests_lock);
}

/* Take a slot, waiting for one in the queue if there is room.  */
static bool
admit (struct replica *r, struct conn *c, bool *gone)
{
  bool ok = false;

  *gone = false;
  pthread_mutex_lock (&r->lock);
  if (r->running >= plan->slots && r->waiting >= plan->queue)
    {
      pthread_mutex_unlock (&r->lock);
      return false;
    }
  r->waiting++;
  while (r->running >= plan->slots && !*gone)
    {
      pthread_mutex_unlock (&r->lock);
      sleep_ms (STEP_MS);
      *gone = conn_is_closed (c);
      pthread_mutex_lock (&r->lock);
    }
  r->waiting--;
  if (!*gone)
    {
      r->running++;
      ok = true;
    }
  pthread_mutex_unlock (&r->lock);
  return ok;
}

static void
leave (struct replica *r)
{
  pthread_mutex_lock (&r->lock);
  r->running--;
  pthread_mutex_unlock (&r->lock);
}

/* Head fields of an answer of R to the request ID.  */
static char *
answer_fields (struct replica *r, const char *id, const char *more)
{
  char *out;

  pthread_mutex_lock (&r->lock);
  if (asprintf (&out,
                "Attempt-Id: %s\r\nServer-Load: %d,%d,%d\r\n"
                "Content-Type: text/plain\r\n%s",
                id, r->running, r->waiting, plan->slots, more)
      < 0)
    quit (2, "no memory");
  pthread_mutex_unlock (&r->lock);
  return out;
}

/* Send an answer.  A garbling replica keeps a copy of some answers and sends
   that again where the next answer on the connection is expected.  */
static bool
send_answer (struct replica *r, struct conn *c, const char *id, int status,
             const char *more, const char *body)
{
  char *fields = answer_fields (r, id, more);
  bool ok = answer (c, status, fields, body, strlen (body));

  if (case_number == 1 && is_troubled (r) && chance () < plan->share)
    {
      int n = asprintf (&c->extra,
                        "HTTP/1.1 %d X\r\n%sKeep-Alive: timeout=15\r\n"
                        "Content-Length: %zu\r\n\r\n%s",
                        status, fields, strlen (body), body);

      c->extra_n = (size_t)n;
      record ("replica %s: will send a second answer %d to %s", r->id, status,
              id);
    }
  free (fields);
  return ok;
}

static bool
send_extra (struct replica *r, struct conn *c, const char *id)
{
  bool ok;

  if (!c->extra)
    return true;
  record ("replica %s: second answer sent, at the request %s", r->id, id);
  ok = conn_write (c, c->extra, c->extra_n);
  free (c->extra);
  c->extra = NULL;
  return ok;
}

/* A plain request.  False: the connection is of no more use.  */
static bool
run_plain (struct replica *r, struct conn *c, const char *id)
{
  char body[96];
  char stamp[96];
  bool gone;
  int64_t until;
  int run;

  if (!admit (r, c, &gone))
    {
      if (gone)
        return false;
      record ("replica %s: %s answered 503 Not-Executed", r->id, id);
      return send_answer (r, c, id, 503, "Not-Executed: 1\r\n", "");
    }
  run = __sync_add_and_fetch (&next_run, 1);
  record ("replica %s: %s run %d began", r->id, id, run);
  count_run (id);
  until = now_ms () + (int64_t)(plan->work * (0.5 + chance ()));
  while (now_ms () < until && !gone)
    {
      sleep_ms (STEP_MS);
      gone = conn_is_closed (c);
    }
  leave (r);
  record ("replica %s: %s run %d %s", r->id, id, run,
          gone ? "dropped, the connection closed" : "answered 200");
  if (gone)
    return false;
  snprintf (stamp, sizeof stamp, "Response-Stamp: %s.%d\r\n", r->id, run);
  snprintf (body, sizeof body, "done by run %d of %s", run, r->id);
  return send_answer (r, c, id, 200, stamp, body);
}

static bool
send_chunk (struct conn *c, const char *text)
{
  char out[512];
  int n = snprintf (out, sizeof out, "%zx\r\n%s\r\n", strlen (text), text);

  return conn_write (c, out, (size_t)n);
}

static bool
wait_open (struct conn *c, int ms)
{
  int64_t until = now_ms () + ms;

  while (now_ms () < until)
    {
      if (conn_is_closed (c))
        return false;
      sleep_ms (STEP_MS);
    }
  return !conn_is_closed (c);
}

static bool
stream_events (struct replica *r, struct conn *c, const char *id, int run,
               int after)
{
  char text[512];
  int slower = case_number == 3 && is_troubled (r) ? plan->slower : 1;

  if (!wait_open (c, plan->first_event * slower))
    return false;
  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Stamp: %s.%d\r\n"
            "Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n"
            "Server-Load: %d,0,%d\r\nKeep-Alive: timeout=15\r\n"
            "Transfer-Encoding: chunked\r\n\r\n",
            id, r->id, run, r->running, plan->slots);
  if (!conn_write (c, text, strlen (text)))
    return false;
  for (int k = after + 1; k <= plan->events; k++)
    {
      snprintf (text, sizeof text,
                "id: %d\ndata: run %d after %d piece %d\n\n", k, run, after,
                k);
      if (!send_chunk (c, text))
        return false;
      if (k < plan->events && !wait_open (c, plan->event_gap * slower))
        return false;
    }
  return conn_write (c, "0\r\n\r\n", 5);
}

/* A request for tokens.  Event ids begin with 1.  */
static bool
run_stream (struct replica *r, struct conn *c, const struct message *m,
            const char *id)
{
  const char *last = message_field (m, "Last-Event-Id");
  int after = last ? atoi (last) : 0;
  bool gone;
  bool ok;
  int run;

  if (case_number == 2 && is_troubled (r) && chance () < plan->share)
    {
      record ("replica %s: %s after %d answered 500", r->id, id, after);
      return send_answer (r, c, id, 500, "Response-Stamp: error\r\n", "error");
    }
  if (!admit (r, c, &gone))
    return !gone && send_answer (r, c, id, 503, "Not-Executed: 1\r\n", "");
  run = __sync_add_and_fetch (&next_run, 1);
  record ("replica %s: %s run %d began after %d%s", r->id, id, run, after,
          is_troubled (r) ? " (disrupted replica)" : "");
  count_run (id);
  ok = stream_events (r, c, id, run, after);
  leave (r);
  record ("replica %s: %s run %d %s", r->id, id, run,
          ok ? "complete" : "dropped, the connection closed");
  return ok;
}

static bool
report (struct replica *r, struct conn *c)
{
  char body[512];

  pthread_mutex_lock (&r->lock);
  snprintf (body, sizeof body,
            "{\"stage\":\"both\",\"models\":[{\"name\":\"m0\",\"version\":1,"
            "\"adapters\":[]}],\"busy\":false,\"sequence\":0,\"waiting\":%d,"
            "\"running\":%d,\"kvCacheUsed\":0,\"kvCacheTotal\":100000,"
            "\"handles\":0}",
            r->waiting, r->running);
  pthread_mutex_unlock (&r->lock);
  return answer (c, 200, "Content-Type: application/json\r\n", body,
                 strlen (body));
}

static bool
health (struct replica *r, struct conn *c)
{
  char field[64];

  snprintf (field, sizeof field, "Instance-Id: %s\r\n", r->id);
  return answer (c, 200, field, NULL, 0);
}

static bool
on_replica_request (struct replica *r, struct conn *c, const struct message *m)
{
  const char *id = message_field (m, "Attempt-Id");
  const char *target = message_field (m, "Target-Instance");

  if (!strcmp (m->line[1], "/health"))
    return health (r, c);
  if (!strcmp (m->line[1], "/api/report"))
    return report (r, c);
  if (!id)
    return answer (c, 400, "Not-Executed: 1\r\n", NULL, 0);
  if (target && strcmp (target, r->id) != 0)
    return answer (c, 421, "Not-Executed: 1\r\n", NULL, 0);
  if (!send_extra (r, c, id))
    return false;
  return plan->is_model ? run_stream (r, c, m, id) : run_plain (r, c, id);
}

static void
on_replica_connection (void *ctx, struct conn *c)
{
  struct message m;
  bool ok = true;

  while (ok && message_read_head (c, &m) && message_read_body (c, &m, false))
    {
      ok = on_replica_request (ctx, c, &m);
      message_clear (&m);
    }
  message_clear (&m);
}

static void
register_replica (const struct replica *r, int sequence)
{
  char text[512];

  snprintf (
      text, sizeof text,
      "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z%d\","
      "\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\","
      "\"coldRemainingMs\":0,\"stage\":\"both\",\"models\":[%s],"
      "\"sequence\":%d}",
      r->service, r->port, r->number * ZONES / plan->replicas, plan->slots,
      plan->is_model ? "{\"name\":\"m0\",\"version\":1,\"adapters\":[]}" : "",
      sequence);
  store_put ("servers", r->id, text);
}

static void *
run_heartbeats (void *arg)
{
  (void)arg;
  for (int n = 1;; n++)
    {
      for (int i = 0; i < count_replicas (); i++)
        register_replica (&replicas[i], n);
      sleep_ms (HEARTBEAT_MS);
    }
  return NULL;
}

static void
start_replicas (void)
{
  for (int i = 0; i < count_replicas (); i++)
    {
      struct replica *r = &replicas[i];

      r->number = i % plan->replicas;
      r->service = i < plan->replicas ? plan->service : plan->second;
      snprintf (r->id, sizeof r->id, "i-%08x", 0x7f3a9100 + i);
      pthread_mutex_init (&r->lock, NULL);
      pthread_cond_init (&r->freed, NULL);
      r->port = serve (on_replica_connection, r);
      register_replica (r, 0);
    }
  start_thread (run_heartbeats, NULL);
}

/* The route to SERVICE, whose prefix is the path /SERVICE/.  */
static int
route_text (char *out, size_t size, const char *service)
{
  return snprintf (
      out, size,
      "{\"name\":\"r-%s\",\"host\":\"desk.example\",\"prefix\":\"/%s/\","
      "\"kind\":\"%s\",\"timeoutMs\":10000,\"targetLatencyMs\":%d,"
      "\"priority\":1,\"service\":\"%s\",\"attempts\":%d%s}",
      service, service, plan->kind, plan->target_latency, service,
      plan->attempts,
      plan->resumable ? ",\"sticky\":true,\"resumable\":true" : "");
}

static int
service_text (char *out, size_t size, const char *service)
{
  return snprintf (
      out, size,
      "{\"name\":\"%s\",\"healthPath\":\"/health\",\"connectionLimit\":150,"
      "\"protocol\":\"h1\",\"tls\":false%s}",
      service,
      plan->is_model
          ? ",\"engine\":{\"slots\":8,\"kvCacheTokens\":100000,\"models\":[{"
            "\"name\":\"m0\"}]}"
          : "");
}

static void
write_config (void)
{
  char routes[1024];
  char services[1024];
  char text[4096];
  int r = route_text (routes, sizeof routes, plan->service);
  int s = service_text (services, sizeof services, plan->service);

  if (plan->second)
    {
      routes[r++] = services[s++] = ',';
      route_text (routes + r, sizeof routes - (size_t)r, plan->second);
      service_text (services + s, sizeof services - (size_t)s, plan->second);
    }
  snprintf (text, sizeof text,
            "{\"version\":7,\"routes\":[%s],\"services\":[%s],\"limits\":{"
            "\"maxHeaderBytes\":16384,\"maxBodyBytes\":33554432,"
            "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
            routes, services);
  store_put ("op", "config", text);
}

static void
write_ports (const char *dir, uint16_t store)
{
  char path[512];
  FILE *f;

  snprintf (path, sizeof path, "%s/ports.tmp", dir);
  f = fopen (path, "w");
  if (!f)
    quit (2, "cannot write the ports");
  fprintf (f, "STORE=%u\nGATES=%d\nSERVICE=%s\n", store, GATES, plan->service);
  for (int i = 0; i < GATES; i++)
    {
      callers[i] = reserve_port ();
      ready[i] = reserve_port ();
      fprintf (
          f, "CALLERS[%d]=%u\nREADY[%d]=%u\nPEERS[%d]=%u\nMETRICS[%d]=%u\n", i,
          callers[i], i, ready[i], i, reserve_port (), i, reserve_port ());
    }
  for (int i = 0; plan->is_model && i < plan->replicas; i++)
    fprintf (f, "TARGET[%d]=%u\nSIDE_METRICS[%d]=%u\n", i, replicas[i].port, i,
             reserve_port ());
  fclose (f);
  {
    char final[512];

    snprintf (final, sizeof final, "%s/ports", dir);
    rename (path, final);
  }
}

static bool
is_ready (uint16_t port)
{
  static const char text[]
      = "GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n";
  struct conn c;
  struct message m;
  bool ok;
  int fd = connect_to (port, 1000);

  if (fd < 0)
    return false;
  conn_init (&c, fd);
  ok = conn_write (&c, text, sizeof text - 1) && message_read_head (&c, &m)
       && atoi (m.line[1]) == 200;
  message_clear (&m);
  conn_clear (&c);
  return ok;
}

static void
await_gates (const char *dir)
{
  char path[512];
  int64_t from = now_ms ();

  snprintf (path, sizeof path, "%s/started", dir);
  while (access (path, F_OK))
    {
      if (now_ms () - from > READY_MAX_MS)
        quit (2, "the gates were not started");
      sleep_ms (20);
    }
  for (int i = 0; i < GATES; i++)
    while (!is_ready (ready[i]))
      {
        if (now_ms () - from > READY_MAX_MS)
          quit (2, "a gate is not ready");
        sleep_ms (50);
      }
}

static struct request *
new_request (void)
{
  struct request *q = NULL;

  pthread_mutex_lock (&requests_lock);
  if (n_requests < REQUESTS_MAX)
    {
      q = &requests[n_requests];
      q->number = n_requests;
      snprintf (q->id, sizeof q->id, "%08lx%08x", random () & 0xffffffffUL,
                n_requests++);
    }
  pthread_mutex_unlock (&requests_lock);
  return q;
}

static bool
send_request (struct conn *c, const struct request *q, int time_left)
{
  char text[1024];
  int n = snprintf (
      text, sizeof text,
      "POST /%s/%d HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: %s\r\n"
      "Deadline-Milliseconds: %d\r\n%sContent-Type: text/plain\r\n"
      "Content-Length: 20\r\n\r\nbody of the request\n",
      plan->second && q->number % 2 ? plan->second : plan->service, q->number,
      q->id, time_left,
      plan->is_model ? "Model: m0\r\nToken-Counts: 40,200\r\n"
                       "Prompt-Prefix: 9c2e41:40\r\n"
                     : "");

  return conn_write (c, text, (size_t)n);
}

static void
break_rule (struct request *q, const char *what)
{
  record ("RULE BROKEN: %s: %s", q->id, what);
  q->broke_rule = true;
}

/* One client attempt at a plain route.  Return the status, 0 for none, and set
 *AFTER_MS to the Retry-After field.  */
static int
attempt_plain (int gate, int time_left, int *after_ms)
{
  struct request *q = new_request ();
  struct conn c;
  struct message m;
  const char *after;
  int status = 0;
  int fd = connect_to (callers[gate], time_left);

  if (fd < 0 || !q)
    return 0;
  conn_init (&c, fd);
  record ("client: %s sent to gate %d", q->id, gate);
  if (send_request (&c, q, time_left) && message_read_head (&c, &m)
      && message_read_body (&c, &m, true))
    {
      status = atoi (m.line[1]);
      after = message_field (&m, "Retry-After");
      *after_ms = after ? (int)(atof (after) * 1000) : 0;
      record ("client: %s answered %d", q->id, status);
    }
  else
    record ("client: %s not answered", q->id);
  q->status = status;
  message_clear (&m);
  conn_clear (&c);
  return status;
}

/* Gate I is in the zone I % ZONES.  Clumps come from the clients
   of the other zones, single requests from those of zone 0.  */
static int
gate_of_client (bool of_clump)
{
  int gate;

  do
    gate = (int)(random () % GATES);
  while ((gate % ZONES != 0) != of_clump);
  return gate;
}

/* Retries once, after a promise only, with an Attempt-Id of its own.  */
static void
be_plain_client (bool of_clump)
{
  int64_t from = now_ms ();
  int gate = gate_of_client (of_clump);
  int after_ms = 0;
  int status = attempt_plain (gate, plan->time_limit, &after_ms);
  int64_t left = plan->time_limit - (now_ms () - from);

  if (status != 503 && status != 429)
    return;
  if (after_ms > left / 3)
    after_ms = (int)(left / 3);
  sleep_ms (after_ms);
  left -= after_ms;
  if (left > 100)
    attempt_plain (gate_of_client (of_clump), (int)left, &after_ms);
}

/* What a client has seen of a stream.  */
struct seen
{
  int run;   /* of the last piece */
  int piece; /* its number */
  int runs[8];
  int n_runs;
};

static bool
has_seen_run (const struct seen *s, int run)
{
  for (int i = 0; i < s->n_runs; i++)
    if (s->runs[i] == run)
      return true;
  return false;
}

/* A piece has arrived.  The pieces must be 1, 2, 3, ... and those of one run,
   or of a run that was asked to go on after the piece before.  */
static void
check_piece (struct request *q, struct seen *s, const char *data)
{
  char what[256];
  int run;
  int after;
  int piece;

  if (sscanf (data, "run %d after %d piece %d", &run, &after, &piece) != 3)
    {
      snprintf (what, sizeof what, "ORDER: no piece of a replica: %s", data);
      break_rule (q, what);
      return;
    }
  record ("client: %s piece %d of run %d", q->id, piece, run);
  if (piece != s->piece + 1)
    {
      snprintf (what, sizeof what, "ORDER: piece %d comes after piece %d",
                piece, s->piece);
      break_rule (q, what);
    }
  else if (run != s->run && s->n_runs
           && (has_seen_run (s, run) || after != s->piece))
    {
      snprintf (what, sizeof what,
                "ORDER: piece %d is of run %d, which was asked to go on after "
                "%d, and joined to piece %d of run %d",
                piece, run, after, s->piece, s->run);
      break_rule (q, what);
    }
  if (!has_seen_run (s, run) && s->n_runs < 8)
    s->runs[s->n_runs++] = run;
  s->run = run;
  s->piece = piece;
}

/* Read the chunks of a stream.  Return whether it ended as complete.  */
static bool
read_stream (struct conn *c, struct request *q, struct seen *s)
{
  char line[256];
  char *text = calloc (1, 1);
  size_t n = 0;
  bool complete = false;

  while (!complete && conn_line (c, line, sizeof line))
    {
      size_t k = strtoul (line, NULL, 16);
      char *end;

      text = realloc (text, n + k + 1);
      if (!conn_bytes (c, text + n, k) || !conn_line (c, line, sizeof line))
        break;
      n += k;
      text[n] = '\0';
      complete = k == 0;
      while ((end = strstr (text, "\n\n")))
        {
          char *data = strstr (text, "data: ");

          *end = '\0';
          check_piece (q, s, data && data < end ? data + 6 : text);
          n -= (size_t)(end + 2 - text);
          memmove (text, end + 2, n + 1);
        }
    }
  free (text);
  return complete;
}

static void
be_stream_client (void)
{
  struct request *q = new_request ();
  struct seen s = { 0 };
  struct conn c;
  struct message m;
  int gate = (int)(random () % GATES);
  int fd = connect_to (callers[gate], plan->time_limit);
  bool complete = false;
  char what[96];

  if (fd < 0 || !q)
    return;
  conn_init (&c, fd);
  record ("client: %s sent to gate %d", q->id, gate);
  if (send_request (&c, q, plan->time_limit) && message_read_head (&c, &m))
    {
      q->status = atoi (m.line[1]);
      record ("client: %s answer begins, status %d", q->id, q->status);
      if (q->status == 200)
        {
          complete = read_stream (&c, q, &s);
          record ("client: %s answer ends %s, %d of %d pieces", q->id,
                  complete ? "as complete" : "broken off", s.piece,
                  plan->events);
        }
    }
  if (complete && s.piece < plan->events)
    {
      snprintf (what, sizeof what,
                "ORDER: the stream ended as complete after piece %d of %d",
                s.piece, plan->events);
      break_rule (q, what);
    }
  if (!complete)
    q->status = 0;
  message_clear (&m);
  conn_clear (&c);
}

static void *
run_client (void *arg)
{
  if (plan->is_model)
    be_stream_client ();
  else
    be_plain_client (arg);
  __sync_sub_and_fetch (&n_clients, 1);
  return NULL;
}

static void *
run_trouble (void *arg)
{
  bool was = false;

  (void)arg;
  while (!ending)
    {
      bool is = is_troubled (&replicas[0]);

      if (is != was)
        record ("disruption: %s %s, %d of %d replicas of each service",
                plan->trouble, is ? "begins" : "ends", plan->troubled,
                plan->replicas);
      was = is;
      sleep_ms (10);
    }
  return NULL;
}

/* Start a client; of a clump if ARG is not NULL.  */
static void
start_client (void *arg)
{
  __sync_add_and_fetch (&n_clients, 1);
  start_thread (run_client, arg);
}

static void
play (void)
{
  static char of_clump;
  int64_t next = now_ms ();
  int64_t next_clump = next;

  traffic_ms = next;
  start_thread (run_trouble, NULL);
  while (now_ms () - traffic_ms < plan->length)
    {
      while (next <= now_ms ())
        {
          next += (int64_t)(1000 / plan->per_s * 2 * chance ()) + 1;
          start_client (NULL);
        }
      if (plan->clump && next_clump <= now_ms ())
        {
          int n = (int)(plan->clump * (0.75 + 0.5 * chance ()));

          next_clump += plan->clump_ms;
          for (int i = 0; i < n; i++)
            start_client (&of_clump);
        }
      sleep_ms (1);
    }
  ending = true;
  for (int i = 0; i < 300 && n_clients > 0; i++)
    sleep_ms (50);
  /* Runs that a replica begins after the answer.  */
  sleep_ms (1000);
}

static void
judge (void)
{
  int answered = 0;
  int promised = 0;
  int broken = 0;
  char text[256];

  pthread_mutex_lock (&requests_lock);
  for (int i = 0; i < n_requests; i++)
    {
      struct request *q = &requests[i];
      bool promise = q->status == 503 || q->status == 429 || q->status == 408
                     || q->status == 421;

      answered += q->status == 200;
      promised += promise;
      if (case_number == 1 && q->begun > 1)
        break_rule (q, "TWICE: began to run more than once");
      if (case_number == 1 && promise && q->begun)
        record ("REFUSED: %s: was answered %d and ran", q->id, q->status);
      broken += q->broke_rule;
    }
  pthread_mutex_unlock (&requests_lock);
  snprintf (text, sizeof text,
            "%s: broken by %d of %d requests; %d answered 200, %d refused",
            plan->rule, broken, n_requests, answered, promised);
  if (answered < n_requests / 3)
    quit (2, "too few requests were answered");
  quit (broken ? 1 : 0, text);
}

int
main (int argc, char **argv)
{
  const char *t = getenv ("TROUBLE");
  char path[512];

  if (argc != 3)
    return 2;
  case_number = atoi (argv[1]);
  if (case_number < 1 || case_number > (int)(sizeof plans / sizeof *plans))
    return 2;
  plan = &plans[case_number - 1];
  trouble = !t || strcmp (t, "0") != 0;
  srandom ((unsigned)getpid ());
  snprintf (path, sizeof path, "%s/record.txt", argv[2]);
  record_open (path);
  record ("case %d, rule %s, disruption %s", case_number, plan->rule,
          trouble ? plan->trouble : "none");
  {
    uint16_t store = store_start ();

    write_config ();
    start_replicas ();
    write_ports (argv[2], store);
  }
  await_gates (argv[2]);
  sleep_ms (1500);
  play ();
  judge ();
}
