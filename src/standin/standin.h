/* Common part of all stand-ins: settings, server, faults, start and stop.  */
#ifndef WY_STANDIN_STANDIN_H
#define WY_STANDIN_STANDIN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "base/clock.h"
#include "base/rng.h"
#include "config/settings.h"
#include "http/client.h"
#include "http/server.h"
#include "standin/faults.h"
#include "trace/trace.h"

/* First member of the settings of every kind.  */
struct wy_standin_settings
{
  char *name;
  char *host;
  int64_t port;
  char *ports_file;
  char *timeline;
  char *availability_zone;
  int64_t seed;
};

struct wy_standin;
struct wy_standin_call;

struct wy_standin_kind
{
  const char *name;
  const char *summary;
  /* Settings of the kind; the common ones precede them.  */
  const struct wy_setting *table;
  size_t n;
  size_t settings_size_bytes;
  int (*start) (struct wy_standin *s);
  /* Handles a request; NULL for a kind that serves none.  */
  void (*on_request) (struct wy_standin *s, struct wy_standin_call *c);
  /* Called on SIGTERM; calls wy_standin_quit when done.  NULL: quit at once.
   */
  void (*on_stop) (struct wy_standin *s);
};

struct wy_standin
{
  const struct wy_standin_kind *kind;
  const void *settings; /* struct of the kind */
  const struct wy_standin_settings *common;
  uv_loop_t *loop;
  const struct wy_clock *clock;
  struct wy_trace *trace;
  bool failed; /* sets the exit code */
  struct wy_http_server *server;
  struct wy_http_client *client;
  struct wy_rng rng;
  struct wy_standin_faults faults;
  GHashTable *calls; /* open struct wy_standin_call */
  uv_signal_t stop_signal;
  bool stopping;
  void *state; /* of the kind */
};

/* One request.  The kind must end each call exactly once, by
   wy_standin_respond_json, wy_standin_respond or wy_standin_stream_end, even
   if DISCONNECTED is set.  */
struct wy_standin_call
{
  struct wy_standin *standin;
  struct wy_http_exchange *ex; /* invalid once disconnected */
  bool disconnected;           /* the caller has closed the connection */
  bool silent; /* the fault "silent" hit it: writes are discarded */
  bool ended;
  bool streaming;
  void (*on_disconnect) (struct wy_standin_call *c, void *ctx);
  void *disconnect_ctx;
};
int wy_standin_main (const struct wy_standin_kind *kind, int argc,
                     char **argv);
void wy_standin_quit (struct wy_standin *s);
int64_t wy_standin_now_ms (const struct wy_standin *s);
struct wy_standin_fault *
wy_standin_active_fault (struct wy_standin *s, enum wy_standin_fault_kind k);

void wy_standin_on_request (struct wy_http_exchange *ex, void *ctx);
bool wy_standin_matches (const struct wy_standin_call *c, const char *method,
                         const char *path);
const char *wy_standin_path_after (const struct wy_standin_call *c,
                                   const char *prefix);
int64_t wy_standin_query_number (const struct wy_standin_call *c,
                                 const char *key, int64_t fallback);
json_t *wy_standin_body_json (const struct wy_standin_call *c);
void wy_standin_respond_json (struct wy_standin_call *c, int status,
                              json_t *body);
void wy_standin_respond (struct wy_standin_call *c, int status,
                         const char *content_type, const void *p, size_t n);
void wy_standin_reject_rate (struct wy_standin_call *c);
void wy_standin_stream_begin (struct wy_standin_call *c, int status,
                              const char *content_type);
void wy_standin_stream_write (struct wy_standin_call *c, const char *p,
                              size_t n);
void wy_standin_stream_end (struct wy_standin_call *c);

/* A token bucket of one second's worth of units.  */
struct wy_standin_rate_limit
{
  double rate;  /* units per second at the last call */
  double units; /* available */
  int64_t at_ms;
};

bool wy_standin_rate_limit_take (struct wy_standin_rate_limit *r, double rate,
                                 double n, int64_t now_ms);
bool wy_standin_parse_address (const char *text, char **host, uint16_t *port);

#endif
