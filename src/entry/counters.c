/* Metrics of an entry.  */
#include "entry/counters.h"

/* Register the metrics of E.  */
void
wy_entry_counters_init (struct wy_entry *e)
{
  struct wy_metrics *m = e->metrics;
  struct wy_entry_counters *n = &e->counters;

  n->received = wy_metrics_counter (m, "wy_requests_received_total",
                                    "Requests taken from callers and yards");
  n->answered = wy_metrics_counter (m, "wy_requests_answered_total",
                                    "Requests answered whole");
  n->refused[WY_RAN_NO] = wy_metrics_counter (
      m, "wy_requests_refused_not_run_total", "Refused, proven not run");
  n->refused[WY_RAN_UNKNOWN] = wy_metrics_counter (
      m, "wy_requests_refused_unknown_total", "Refused, may have run");
  n->refused[WY_RAN_YES] = wy_metrics_counter (
      m, "wy_requests_refused_run_total", "Ran and failed");
  n->broken = wy_metrics_counter (m, "wy_requests_broken_total",
                                  "Answers begun and broken off");
  n->abandoned = wy_metrics_counter (m, "wy_requests_abandoned_total",
                                     "Callers that went away");
  n->retries = wy_metrics_counter (m, "wy_retries_total",
                                   "Requests tried at another target");
  n->resumed = wy_metrics_counter (m, "wy_resumes_total",
                                   "Times a run was asked for again");
  n->dials = wy_metrics_counter (m, "wy_dials_total",
                                 "Connections to agents begun");
  n->chunks_dropped = wy_metrics_counter (
      m, "wy_chunks_dropped_total", "Chunks that came twice or too early");
  n->list_failed = wy_metrics_counter (m, "wy_list_failures_total",
                                       "Failed reads of the instance list");
  n->malformed = wy_metrics_counter (
      m, "wy_malformed_responses_total",
      "Responses to calls of this process that were malformed");
  n->crashes = wy_metrics_counter (m, "wy_target_crashes_total",
                                   "Requests whose target crashed");
  n->open = wy_metrics_gauge (m, "wy_requests_open", "Requests in progress");
  n->connections = wy_metrics_gauge (m, "wy_caller_connections",
                                     "Open connections of callers");
  n->gave_way = wy_metrics_counter (
      m, "wy_callers_gave_way_total",
      "Connections closed for others or for lack of memory");
  n->memory_bytes = wy_metrics_gauge (
      m, "wy_caller_memory_bytes",
      "Held by connections, bodies and unread responses of callers");
  n->unread_pauses = wy_metrics_gauge (
      m, "wy_caller_unread_pauses",
      "Times that a request waited until its caller had read");
  n->turns_cut = wy_metrics_gauge (
      m, "wy_caller_turns_cut",
      "Times that requests sent ahead waited for other connections");
  n->accepts_deferred = wy_metrics_gauge (
      m, "wy_caller_accepts_deferred",
      "Times that a connection waited since all others were in use");
  n->accepts_failed = wy_metrics_gauge (
      m, "wy_caller_accepts_failed", "Connections that could not be accepted");
  n->peers_connected = wy_metrics_gauge (m, "wy_targets_connected",
                                         "Targets whose agent is connected");
  n->config_revision
      = wy_metrics_gauge (m, "wy_config_revision", "Configuration in force");
  n->latency_us = wy_metrics_histogram (m, "wy_request_latency_us",
                                        "Receipt to last byte, answered ones");
}
