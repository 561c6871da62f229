/* Internals of an exchange.  Private to src/http.  */
#ifndef WY_HTTP_EXCHANGE_H
#define WY_HTTP_EXCHANGE_H

#include <glib.h>
#include <h2o.h>

#include "http/server.h"

struct wy_http_exchange
{
  h2o_generator_t generator; /* must stay first */
  h2o_req_t *req;
  struct wy_http_server *server;
  GList link;
  char *method;
  char *path;
  char *query;
  GString *pending; /* written, not yet passed to h2o */
  bool started;
  bool sending;
  bool ended;
  bool aborted;
  void (*on_abort) (struct wy_http_exchange *ex, void *ctx);
  void *abort_ctx;
};

struct wy_http_exchange *wy_http_exchange_new (struct wy_http_server *s,
                                               h2o_req_t *req);
void wy_http_exchange_abort (struct wy_http_exchange *ex);
int wy_http_exchange_fd (struct wy_http_exchange *ex);

void wy_http_server_exchange_opened (struct wy_http_server *s,
                                     struct wy_http_exchange *ex);
void wy_http_server_exchange_closed (struct wy_http_server *s,
                                     struct wy_http_exchange *ex);

#endif
