/* Responses that the entry makes itself, and stored responses of replicas.  */
#ifndef WY_GATE_RESPONSE_H
#define WY_GATE_RESPONSE_H

#include <stdint.h>

#include <glib.h>

#include "h1/server.h"

struct wy_response
{
  int status;
  GString *strings; /* names and values, each with its NUL */
  GArray *offsets;  /* uint32_t, into strings: name, value, name, ... */
  GString *body;
  struct wy_memory_account *memory; /* in which the body is counted */
};

void wy_respond_status (struct wy_h1_request *r, int status,
                        const char *reason, uint32_t retry_after_ms);
void wy_respond_unauthorized (struct wy_h1_request *r, const char *reason);
struct wy_response *wy_response_new (int status, const struct wy_h1_head *head,
                                     struct wy_memory_account *memory);
void wy_response_append (struct wy_response *resp, const char *bytes,
                         size_t n);
void wy_response_free (struct wy_response *resp);
void wy_response_send (const struct wy_response *resp,
                       struct wy_h1_request *r);
void wy_response_begin (const struct wy_response *resp,
                        struct wy_h1_request *r);

#endif
