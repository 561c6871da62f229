/* Answers of the entry's own, and a replica's answer kept whole.  */
#ifndef WY_GATE_ANSWER_H
#define WY_GATE_ANSWER_H

#include <stdint.h>

#include <glib.h>

#include "h1/server.h"

struct wy_answer
{
  int status;
  GString *texts; /* names and values, each with its NUL */
  GArray *fields; /* offsets into texts: name, value, name, ... */
  GString *body;
};

void wy_refuse (struct wy_h1_request *r, int status, const char *reason,
                uint32_t retry_after_ms);
void wy_refuse_unauthorized (struct wy_h1_request *r, const char *reason);
struct wy_answer *wy_answer_new (int status, const struct wy_h1_head *head);
void wy_answer_free (struct wy_answer *a);
void wy_answer_send (const struct wy_answer *a, struct wy_h1_request *r);
void wy_answer_begin (const struct wy_answer *a, struct wy_h1_request *r);

#endif
