/* Stand-in callers: what their files share.  */
#ifndef WY_STANDIN_CALLERS_H
#define WY_STANDIN_CALLERS_H

#include "base/hist.h"
#include "base/id.h"
#include "standin/entry_list.h"
#include "standin/standin.h"

enum wy_errand_kind
{
  WY_ERRAND_WHOLE,
  WY_ERRAND_STREAM,
  WY_ERRAND_FILING,
  WY_ERRAND_KINDS
};

enum wy_errand_end
{
  WY_ERRAND_ANSWERED,
  WY_ERRAND_NOT_RUN, /* refused, proven not to have run */
  WY_ERRAND_UNKNOWN, /* may have run */
  WY_ERRAND_FAILED,  /* ran and failed */
  WY_ERRAND_ENDS
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

struct wy_callers_books
{
  uint64_t ends[WY_ERRAND_KINDS][WY_ERRAND_ENDS];
  uint64_t refusals; /* answers that said "not run", also repeated ones */
  uint64_t resent;
  uint64_t outcomes_asked;
  uint64_t cut; /* streams that ended before they were whole */
  uint64_t spliced;
  uint64_t duplicates;
  struct wy_hist latency_us[WY_ERRAND_KINDS];
  struct wy_hist first_us; /* until the first token of a stream */
  json_t *filings;         /* key -> how it ended */
};

/* What the text of a completion proves.  */
enum wy_text_verdict
{
  WY_TEXT_COMPLETE,
  WY_TEXT_PARTIAL,
  WY_TEXT_SPLICED /* tokens of two runs, missing or twice */
};

struct wy_callers
{
  struct wy_standin *standin;
  const struct wy_callers_settings *o;
  struct wy_callers_books books;
  guint open; /* requests in progress */
  int64_t serial;
  uv_timer_t stop_timer;
};

/* One caller and its request.  */
struct wy_errand
{
  struct wy_callers *callers;
  enum wy_errand_kind kind;
  struct wy_entries entries;
  uv_timer_t timer;
  char key[WY_ID_SIZE_BYTES];
  char *request; /* as the service names it, or "" */
  char *prompt;
  int64_t tries;
  int64_t began_us;
  bool asking; /* for the outcome, not for the answer */
  int status;
  bool has_data;
  GString *body;
};

void wy_errand_end (struct wy_errand *e, enum wy_errand_end how);
void wy_errand_again (struct wy_errand *e, int64_t after_ms,
                      enum wy_errand_end how);
void wy_errand_on_end (void *ctx, int err);

enum wy_text_verdict wy_callers_check_text (const char *text);
char *wy_callers_join_events (const char *events, bool *done);
void wy_callers_books_init (struct wy_callers_books *b);
void wy_callers_books_write (const struct wy_callers_books *b,
                             const struct wy_callers_settings *o);

#endif
