/* Metrics of the gate.  */
#include "gate/gate_state.h"

#include <stdio.h>

#include "h1/response_check.h"
#include "jobs/demand.h"
#include "platform/store_wire.h"
#include "trace/json_log.h"

enum
{
  LABELS_SIZE_BYTES = 64
};

static void
register_counters (struct wy_gate *g)
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
  c->runs_interrupted = wy_metrics_counter (
      m, "wy_gate_runs_interrupted_total",
      "Runs whose connection was lost before the response");
  c->run_crashes = wy_metrics_counter (
      m, "wy_gate_run_crashes_total",
      "Interrupted runs whose replica turned out to have crashed");
  c->crash_probes = wy_metrics_counter (
      m, "wy_gate_crash_probes_total",
      "Connections opened to find out whether a replica has crashed");
  c->waits = wy_metrics_counter (
      m, "wy_gate_isolation_waits_total",
      "Requests that waited while an equal one ran, after a replica crashed");
  c->run_permits = wy_metrics_counter_family (
      m, "wy_gate_run_permits_total",
      "Requests for a permit to run where one replica has crashed, by outcome",
      WY_GATE_LABEL_SETS_MAX);
  c->malformed = wy_metrics_counter_family (
      m, "wy_gate_malformed_responses_total",
      "Responses to calls of this process that were malformed, by reason",
      WY_H1_FAULTS);
  c->retries = wy_metrics_counter (m, "wy_gate_retries_total",
                                   "Tries that failed at one replica");
  c->hedges = wy_metrics_counter (m, "wy_gate_hedges_total",
                                  "Second replicas asked for being late");
  c->item_runs = wy_metrics_counter (m, "wy_gate_item_runs_total",
                                     "Runs of job items started");
  c->items_done = wy_metrics_counter (m, "wy_gate_items_total",
                                      "Job items with a result");
  c->item_runs_failed = wy_metrics_counter (
      m, "wy_gate_item_runs_broken_total", "Runs of job items that broke off");
  c->score_calls = wy_metrics_counter (m, "wy_gate_score_calls_total",
                                       "Calls for scores of items' texts");
  c->score_calls_failed = wy_metrics_counter (
      m, "wy_gate_score_calls_failed_total", "Of these, without a score");
  c->score_hedges
      = wy_metrics_counter (m, "wy_gate_score_hedges_total",
                            "Second replicas asked for a score that was late");
  c->jobs_accepted = wy_metrics_counter (m, "wy_gate_jobs_accepted_total",
                                         "Jobs accepted here");
  c->jobs_taken_over = wy_metrics_counter (m, "wy_gate_jobs_taken_over_total",
                                           "Jobs taken over from others");
  c->requests_ended = wy_metrics_counter_family (
      m, "wy_gate_requests_ended_total", "Requests by how they ended",
      WY_GATE_LABEL_SETS_MAX);
  c->latency_by_route = wy_metrics_histogram_family (
      m, "wy_gate_request_us", "Time to the end of a request",
      WY_GATE_HISTOGRAM_SETS_MAX);
  c->told = wy_metrics_counter_family (
      m, "wy_gate_retry_after_total",
      "Rejected callers told when to return, by reason and basis",
      WY_GATE_LABEL_SETS_MAX);
  c->told_us = wy_metrics_histogram_family (m, "wy_gate_retry_after_us",
                                            "Times told to rejected callers",
                                            WY_GATE_HISTOGRAM_SETS_MAX);
  c->returned = wy_metrics_counter_family (
      m, "wy_gate_returned_total",
      "Requests and jobs of callers that were rejected before, by time of"
      " return and how they ended",
      WY_GATE_LABEL_SETS_MAX);
  c->latency_us = wy_metrics_histogram (m, "wy_gate_answer_us",
                                        "Time to a replica's whole answer");
  c->score_us = wy_metrics_histogram (m, "wy_gate_score_us",
                                      "Time from an item's whole text to its"
                                      " score");
  c->item_us = wy_metrics_histogram (m, "wy_gate_item_us",
                                     "Time from a job's acceptance to an"
                                     " item's result");
}

/* Register all metrics.  */
void
wy_gate_register_metrics (struct wy_gate *g)
{
  struct wy_gate_gauges *v = &g->gauges;
  struct wy_metrics *m = g->metrics;

  register_counters (g);
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
  v->jobs_oldest_ms = wy_metrics_gauge (
      m, "wy_gate_jobs_oldest_ms", "Age of the oldest job that is run here");
  v->items_waiting = wy_metrics_gauge (m, "wy_gate_items_waiting",
                                       "Job items that wait for a replica");
  v->items_scoring = wy_metrics_gauge (
      m, "wy_gate_items_scoring", "Job items whose text waits for a score");
  v->items_unlisted = wy_metrics_gauge (
      m, "wy_gate_items_unlisted", "Job items whose results are not listed");
  v->need = wy_metrics_gauge_family (
      m, "wy_gate_model_need_slots",
      "Average number of slots that the model's jobs need, as published",
      WY_GATE_LABEL_SETS_MAX);
  v->share = wy_metrics_gauge_family (
      m, "wy_gate_model_share_replicas",
      "Replicas of the service that the model has", WY_GATE_LABEL_SETS_MAX);
  v->store_calls_ended = wy_metrics_counter_family (
      m, "wy_gate_store_calls_ended_total",
      "Calls to the store by how they ended", WY_GATE_LABEL_SETS_MAX);
  v->table_calls = wy_metrics_counter_family (
      m, "wy_gate_store_table_calls_total", "Calls to the store by table",
      WY_GATE_LABEL_SETS_MAX);
  v->table_rows_read = wy_metrics_counter_family (
      m, "wy_gate_store_rows_read_total", "Rows read by table",
      WY_GATE_LABEL_SETS_MAX);
  v->table_read_bytes = wy_metrics_counter_family (
      m, "wy_gate_store_read_bytes_total",
      "Bytes of the store's answers by table", WY_GATE_LABEL_SETS_MAX);
  v->table_written_bytes = wy_metrics_counter_family (
      m, "wy_gate_store_written_bytes_total",
      "Bytes sent to the store by table", WY_GATE_LABEL_SETS_MAX);
  v->organisations
      = wy_metrics_gauge (m, "wy_gate_organisations",
                          "Organisations of the configuration in force");
  v->keys = wy_metrics_gauge (m, "wy_gate_access_keys",
                              "Their access keys together");
  v->duties_held
      = wy_metrics_gauge (m, "wy_gate_duties_held",
                          "1: this entry makes the platform's single calls");
  v->usage_reported
      = wy_metrics_gauge (m, "wy_gate_usage_reported",
                          "Windows of usage reported since the start");
  v->usage_late = wy_metrics_gauge (m, "wy_gate_usage_late",
                                    "Of these, after they were due");
  v->usage_missed = wy_metrics_gauge (m, "wy_gate_usage_missed",
                                      "Windows of usage given up or rejected");
  v->usage_forced
      = wy_metrics_gauge (m, "wy_gate_usage_forced",
                          "Windows reported without some entry's counts");
  v->scale_orders = wy_metrics_gauge (m, "wy_gate_scale_orders",
                                      "Orders for numbers of replicas");
  wy_gate_register_memory_metrics (g);
  wy_gate_register_client_metrics (g);
  v->log_dropped = wy_metrics_gauge (m, "wy_gate_log_lines_dropped",
                                     "Log lines left out since the start");
}

static void
update_store_calls (struct wy_gate_gauges *v, const struct wy_rows_stats *s)
{
  static const char *const names[WY_ROWS_OUTCOMES]
      = { "done", "not_done", "unknown" };

  for (int verb = 0; verb < WY_ROWS_VERBS; verb++)
    for (int end = 0; end < WY_ROWS_OUTCOMES; end++)
      {
        char labels[LABELS_SIZE_BYTES];

        if (s->calls_by_outcome[verb][end] == 0)
          continue;
        snprintf (labels, sizeof labels, "verb=\"%s\",outcome=\"%s\"",
                  wy_store_verb_name ((enum wy_store_verb)verb), names[end]);
        *wy_metrics_family_counter (v->store_calls_ended, labels)
            = s->calls_by_outcome[verb][end];
      }
}

static void
update_traffic (struct wy_gate_gauges *v, const struct wy_traffic *t)
{
  for (uint32_t i = 0; i < t->n_tables; i++)
    {
      const struct wy_table_traffic *c = &t->tables[i];
      char *table = wy_metrics_label ("table", c->table);

      *wy_metrics_family_counter (v->table_calls, table) = c->calls;
      *wy_metrics_family_counter (v->table_rows_read, table) = c->rows_read;
      *wy_metrics_family_counter (v->table_read_bytes, table) = c->read_bytes;
      *wy_metrics_family_counter (v->table_written_bytes, table)
          = c->written_bytes;
      g_free (table);
    }
}

static void
update_model (void *ctx, const struct wy_demand_view *view)
{
  struct wy_gate_gauges *v = ctx;
  char *service = wy_metrics_label ("service", view->service);
  char *model = wy_metrics_label ("model", view->model);
  char *labels = g_strjoin (",", service, model, NULL);

  *wy_metrics_family_gauge (v->need, labels) = (int64_t)(view->need + .5);
  *wy_metrics_family_gauge (v->share, labels) = view->replicas;
  g_free (labels);
  g_free (model);
  g_free (service);
}

static void
update_duties (const struct wy_gate *g)
{
  const struct wy_gate_gauges *v = &g->gauges;
  const struct wy_orgs *orgs = g->env.routing ? g->env.routing->orgs : NULL;
  struct wy_usage_stats usage = { 0 };

  *v->organisations = orgs ? (int64_t)wy_orgs_count (orgs) : 0;
  *v->keys = orgs ? (int64_t)wy_orgs_key_count (orgs) : 0;
  *v->duties_held = g->election && wy_election_is_leader (g->election);
  if (g->env.usage)
    wy_usage_stats (g->env.usage, &usage);
  *v->usage_reported = (int64_t)usage.reported;
  *v->usage_late = (int64_t)usage.late;
  *v->usage_missed = (int64_t)(usage.missed + usage.rejected);
  *v->usage_forced = (int64_t)usage.forced;
  *v->scale_orders = g->scaler ? (int64_t)wy_scaler_accepted (g->scaler) : 0;
}

/* Set the gauges to the current values.  */
void
wy_gate_update_gauges (struct wy_gate *g)
{
  struct wy_gate_gauges *v = &g->gauges;
  struct wy_h1_client_stats http;
  struct wy_rows_stats rows;
  struct wy_jobs_backlog work;

  wy_h1_client_stats (g->env.http, &http);
  wy_rows_stats (g->env.rows, &rows);
  *v->connections_open = http.open;
  *v->connections_idle = http.idle;
  *v->connections_opened = (int64_t)http.opened;
  *v->store_calls = (int64_t)rows.calls;
  *v->store_relayed = (int64_t)rows.relayed;
  *v->store_direct = rows.direct_ok;
  *v->jobs = wy_jobs_running (g->jobs);
  wy_jobs_backlog (g->jobs, &work);
  *v->jobs_oldest_ms = work.oldest_ms;
  *v->items_waiting = work.waiting;
  *v->items_scoring = work.scoring;
  *v->items_unlisted = work.unlisted;
  wy_demand_each (g->env.demand, update_model, v);
  update_store_calls (v, &rows);
  update_traffic (v, &rows.traffic);
  *v->jobs_known = wy_jobs_is_synced (g->jobs);
  *v->entries = g->env.entries;
  *v->entries_age_ms = wy_members_age_ms (g->members);
  *v->replicas_age_ms = wy_watch_age_ms (g->replica_watch);
  *v->config_version = g->env.routing ? g->env.routing->version : 0;
  update_duties (g);
  wy_gate_update_memory_gauges (g);
  wy_gate_update_client_gauges (g);
  *v->log_dropped = (int64_t)wy_json_log_dropped ();
}
