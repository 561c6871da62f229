/* Two entries that share one yard, on one fake table.  */
#ifndef WY_TESTS_YARD_FIXTURE_H
#define WY_TESTS_YARD_FIXTURE_H

#include "fake_runner.h"
#include "fake_table.h"
#include "http/client.h"
#include "yard/yard.h"

struct yard_entry
{
  struct fake_runner runner;
  struct wy_store *store;
  struct wy_trace *trace;
  struct wy_yard *yard;
  struct wy_http_server *server;
};

struct yard_fixture
{
  uv_loop_t loop;
  struct fake_table *table;
  struct wy_http_client *http;
  struct wy_document *document;
  const struct wy_orderer *orderer;
  uint32_t lease_ttl_ms;
  struct yard_entry entry[2];
  bool response_received;
  int status;
  json_t *body;
};

void yard_fixture_init (struct yard_fixture *w, uint32_t bound);
void yard_fixture_start_entry (struct yard_fixture *w, int i);
void yard_fixture_crash_entry (struct yard_fixture *w, int i);
void yard_fixture_free (struct yard_fixture *w);

/* Call entry I and wait for the response.  Returns the HTTP status, or 0 on
   timeout.  */
int yard_call (struct yard_fixture *w, int i, const char *method,
               const char *path, const char *body);
int yard_submit (struct yard_fixture *w, int i, int step);
/* Request the batch of STEP from entry I until the status is not 202.  Returns
   the status.  */
int yard_batch (struct yard_fixture *w, int i, int step);
int yard_ack (struct yard_fixture *w, int i, int step);
/* The ids of the samples in the last batch, one per line.  The caller frees
   them.  */
char *yard_sample_ids (struct yard_fixture *w);
/* The number of occurrences of TEXT in the timeline of entry I.  */
uint32_t yard_count_text (struct yard_fixture *w, int i, const char *text);
uint32_t yard_count_events (struct yard_fixture *w, int i, const char *event);

#endif
