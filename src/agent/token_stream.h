/* Event stream of a model run; pure.  */
#ifndef WY_AGENT_TOKEN_STREAM_H
#define WY_AGENT_TOKEN_STREAM_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "inner/frame.h"

enum wy_tokens_error
{
  WY_TOKENS_EEVENT = -511,    /* no event that an engine sends */
  WY_TOKENS_ERUN = -512,      /* the event belongs to another run */
  WY_TOKENS_ESEQUENCE = -513, /* a token is missing or comes twice */
  WY_TOKENS_ETOOLONG = -514
};

struct wy_tokens
{
  const char *run;
  GString *partial; /* the event that has not ended */
  uint32_t n;       /* tokens so far */
  GArray *segments; /* struct wy_segment, by the tokens' own versions */
  bool done;        /* the last event came */
  bool exported;    /* it said that the stream goes on elsewhere */
  bool proven;      /* it named the same segments */
  char *finish;
};

void wy_tokens_init (struct wy_tokens *t, const char *run);
void wy_tokens_clear (struct wy_tokens *t);
int wy_tokens_feed (struct wy_tokens *t, const char *p, size_t n,
                    GByteArray *out);

#endif
