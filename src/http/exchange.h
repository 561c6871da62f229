/* Internals of an exchange.  Private to src/http.  */
#ifndef WY_HTTP_EXCHANGE_H
#define WY_HTTP_EXCHANGE_H

#include <glib.h>

#include "h1/server.h"
#include "http/server.h"

struct wy_http_exchange
{
  struct wy_h1_request *request; /* NULL: the caller has disconnected */
  char *path;
  char *query;
  GArray *fields;     /* of the response, struct wy_h1_header */
  GPtrArray *strings; /* char *, freed with the exchange */
  bool started;
  bool aborting; /* in the abort callback */
  void (*on_abort) (struct wy_http_exchange *ex, void *ctx);
  void *abort_ctx;
};

struct wy_http_exchange *wy_http_exchange_new (struct wy_h1_request *r);

#endif
