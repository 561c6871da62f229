/* Simulated callers: declarations shared by callers*.c.  */
#ifndef WY_STANDIN_CALLERS_H
#define WY_STANDIN_CALLERS_H

#include "base/hist.h"
#include "base/id.h"
#include "standin/entry_list.h"
#include "standin/standin.h"

enum wy_caller_kind
{
  WY_CALLER_COMPLETION,
  WY_CALLER_STREAM,
  WY_CALLER_FILING,
  WY_CALLER_KINDS
};

enum wy_caller_outcome
{
  WY_CALLER_OUTCOME_OK,
  WY_CALLER_OUTCOME_NOT_RUN, /* rejected, known not to have run */
  WY_CALLER_OUTCOME_UNKNOWN, /* may have run */
  WY_CALLER_OUTCOME_FAILED,  /* ran and failed */
  WY_CALLER_OUTCOMES
};

struct wy_callers_settings
{
  struct wy_standin_settings common;
  GPtrArray *entries;
  char *model;
  char *service;
  char *report;
  int64_t whole;
  int64_t stream;
  int64_t filings;
  int64_t think_ms;
  int64_t max_tokens;
  int64_t prompts;
  int64_t timeout_ms;
  int64_t tries;
  bool direct;
};

#define WY_CALLERS_SETTINGS 13

extern const struct wy_setting wy_callers_table[WY_CALLERS_SETTINGS];

struct wy_callers_stats
{
  uint64_t outcomes[WY_CALLER_KINDS][WY_CALLER_OUTCOMES];
  uint64_t not_run_responses; /* responses with "ran" no, retries included */
  uint64_t resent;
  uint64_t outcomes_asked;
  uint64_t partial; /* streams that ended early */
  uint64_t spliced;
  uint64_t duplicates;
  struct wy_hist latency_us[WY_CALLER_KINDS];
  struct wy_hist first_token_us; /* time to the first token of a stream */
  json_t *filings;               /* key -> outcome */
};

/* Result of checking the text of a completion.  */
enum wy_text_verdict
{
  WY_TEXT_COMPLETE,
  WY_TEXT_PARTIAL,
  WY_TEXT_SPLICED /* tokens of several runs, missing or repeated */
};

struct wy_callers
{
  struct wy_standin *standin;
  const struct wy_callers_settings *o;
  struct wy_callers_stats stats;
  guint open; /* requests in progress */
  int64_t serial;
  uv_timer_t stop_timer;
};

/* One caller and its current request.  */
struct wy_caller
{
  struct wy_callers *callers;
  enum wy_caller_kind kind;
  struct wy_entry_list entries;
  uv_timer_t timer;
  char key[WY_ID_SIZE_BYTES];
  char *request; /* id given by the service, or "" */
  char *prompt;
  int64_t tries;
  int64_t started_us;
  bool asking_outcome; /* queries the outcome instead of sending the request */
  int status;
  bool has_data;
  GString *body;
};

void wy_caller_finish (struct wy_caller *caller,
                       enum wy_caller_outcome outcome);
void wy_caller_retry (struct wy_caller *caller, int64_t after_ms,
                      enum wy_caller_outcome outcome);
void wy_caller_on_call_end (void *ctx, int err);

enum wy_text_verdict wy_callers_check_text (const char *text);
char *wy_callers_join_events (const char *events, bool *done);
void wy_callers_stats_init (struct wy_callers_stats *stats);
void wy_callers_report_write (const struct wy_callers_stats *stats,
                              const struct wy_callers_settings *o);

#endif
