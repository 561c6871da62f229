/* Metrics of the gate.  */
#include "gate/gate_state.h"

#include "trace/note.h"

static void
make_counters (struct wy_gate *g)
{
  struct wy_gate_counters *c = &g->env.count;
  struct wy_metrics *m = g->metrics;

  c->requests
      = wy_metrics_counter (m, "wy_gate_requests_total", "Requests passed on");
  c->answered = wy_metrics_counter (m, "wy_gate_answered_total",
                                    "Answers of replicas passed back");
  c->refused = wy_metrics_counter (m, "wy_gate_refused_total",
                                   "Requests refused as not run");
  c->failed = wy_metrics_counter (m, "wy_gate_failed_total",
                                  "Requests that failed and may have run");
  c->hung_up = wy_metrics_counter (m, "wy_gate_hung_up_total",
                                   "Requests whose caller hung up");
  c->held_back = wy_metrics_counter (
      m, "wy_gate_held_back_total",
      "Requests and items held back since targets crashed under them");
  c->retries = wy_metrics_counter (m, "wy_gate_retries_total",
                                   "Tries that failed at one replica");
  c->hedges = wy_metrics_counter (m, "wy_gate_hedges_total",
                                  "Second replicas asked for being late");
  c->items_started = wy_metrics_counter (m, "wy_gate_item_runs_total",
                                         "Runs of job items started");
  c->items_done = wy_metrics_counter (m, "wy_gate_items_total",
                                      "Job items with a result");
  c->items_broken = wy_metrics_counter (m, "wy_gate_item_runs_broken_total",
                                        "Runs of job items that broke off");
  c->jobs_accepted = wy_metrics_counter (m, "wy_gate_jobs_accepted_total",
                                         "Jobs accepted here");
  c->jobs_taken_over = wy_metrics_counter (m, "wy_gate_jobs_taken_over_total",
                                           "Jobs taken over from others");
  c->latency_us = wy_metrics_histogram (m, "wy_gate_answer_us",
                                        "Time to a replica's whole answer");
  c->item_us = wy_metrics_histogram (m, "wy_gate_item_us",
                                     "Time from a job's acceptance to an"
                                     " item's result");
}

/* Describe all metrics.  */
void
wy_gate_make_metrics (struct wy_gate *g)
{
  struct wy_gate_gauges *v = &g->gauges;
  struct wy_metrics *m = g->metrics;

  make_counters (g);
  v->connections_open = wy_metrics_gauge (
      m, "wy_gate_connections", "Connections open to targets and the store");
  v->connections_idle = wy_metrics_gauge (m, "wy_gate_connections_idle",
                                          "Of these, without a call");
  v->connections_opened = wy_metrics_gauge (
      m, "wy_gate_connections_opened", "Connections opened since the start");
  v->store_calls = wy_metrics_gauge (m, "wy_gate_store_calls",
                                     "Calls to the store since the start");
  v->store_relayed = wy_metrics_gauge (m, "wy_gate_store_relayed",
                                       "Of these, through another entry");
  v->store_direct = wy_metrics_gauge (m, "wy_gate_store_direct",
                                      "1: the direct path to the store works");
  v->jobs = wy_metrics_gauge (m, "wy_gate_jobs", "Jobs run here");
  v->jobs_known = wy_metrics_gauge (m, "wy_gate_jobs_known",
                                    "1: all jobs of the store are known");
  v->entries
      = wy_metrics_gauge (m, "wy_gate_entries", "Entries believed alive");
  v->entries_age_ms = wy_metrics_gauge (m, "wy_gate_entries_age_ms",
                                        "Age of what is believed of entries");
  v->replicas_age_ms = wy_metrics_gauge (
      m, "wy_gate_replicas_age_ms", "Age of what is believed of replicas");
  v->config_version = wy_metrics_gauge (m, "wy_gate_config_version",
                                        "Configuration in force; 0: none");
  v->log_dropped = wy_metrics_gauge (m, "wy_gate_log_lines_dropped",
                                     "Log lines left out since the start");
}

/* Read the gauges anew.  */
void
wy_gate_read_gauges (struct wy_gate *g)
{
  struct wy_gate_gauges *v = &g->gauges;
  struct wy_h1_client_stats http;
  struct wy_rows_stats rows;

  wy_h1_client_stats (g->env.http, &http);
  wy_rows_stats (g->env.rows, &rows);
  *v->connections_open = http.open;
  *v->connections_idle = http.idle;
  *v->connections_opened = (int64_t)http.opened;
  *v->store_calls = (int64_t)rows.calls;
  *v->store_relayed = (int64_t)rows.relayed;
  *v->store_direct = rows.direct_ok;
  *v->jobs = wy_jobs_running (g->jobs);
  *v->jobs_known = wy_jobs_is_synced (g->jobs);
  *v->entries = g->env.entries;
  *v->entries_age_ms = wy_members_age_ms (g->members);
  *v->replicas_age_ms = wy_watch_age_ms (g->replicas);
  *v->config_version = g->env.routing ? g->env.routing->version : 0;
  *v->log_dropped = (int64_t)wy_note_dropped ();
}
