/* JSON responses, and problem details (RFC 9457).  */
#ifndef WY_HTTP_JSON_H
#define WY_HTTP_JSON_H

#include <stdint.h>

#include <jansson.h>

#include "http/server.h"

enum wy_http_status
{
  WY_STATUS_OK = 200,
  WY_STATUS_ACCEPTED = 202,
  WY_STATUS_BAD_REQUEST = 400,
  WY_STATUS_NOT_FOUND = 404,
  WY_STATUS_METHOD_NOT_ALLOWED = 405,
  WY_STATUS_CONFLICT = 409,
  WY_STATUS_GONE = 410,
  WY_STATUS_UNPROCESSABLE = 422,
  WY_STATUS_UNAVAILABLE = 503
};

struct wy_http_problem
{
  int status;
  const char *title;
  const char *detail;      /* NULL: none */
  uint32_t retry_after_ms; /* 0: none */
  json_t *members; /* further members, an object; NULL: none; released */
};

void wy_http_respond_json (struct wy_http_exchange *ex, int status,
                           json_t *body);
void wy_http_respond_problem (struct wy_http_exchange *ex,
                              const struct wy_http_problem *p);
void wy_http_retry_after (struct wy_http_exchange *ex, uint32_t ms);

#endif
