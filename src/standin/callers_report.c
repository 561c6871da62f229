/* Settings and report of the simulated callers.  */
#include <stddef.h>

#include "standin/callers.h"

#define AT(field) offsetof (struct wy_callers_settings, field)

const struct wy_setting wy_callers_table[WY_CALLERS_SETTINGS] = {
  { "entries", WY_SETTING_LIST, AT (entries), NULL, 0, 0, NULL, "host:port",
    "entries; each caller begins with one of them" },
  { "model", WY_SETTING_STRING, AT (model), "", 0, 0, NULL, NULL,
    "model of the completions" },
  { "service", WY_SETTING_STRING, AT (service), "", 0, 0, NULL, NULL,
    "service of the filings" },
  { "report", WY_SETTING_STRING, AT (report), "", 0, 0, NULL, NULL,
    "file of the report written at the end" },
  { "whole", WY_SETTING_INTEGER, AT (whole), "4", 0, 10000, NULL, NULL,
    "callers that ask for whole completions" },
  { "stream", WY_SETTING_INTEGER, AT (stream), "4", 0, 10000, NULL, NULL,
    "callers that ask for streamed completions" },
  { "filings", WY_SETTING_INTEGER, AT (filings), "4", 0, 10000, NULL, NULL,
    "callers that send filings" },
  { "think_ms", WY_SETTING_INTEGER, AT (think_ms), "200", 0, 3600000, NULL,
    "ms", "mean pause of a caller between two requests" },
  { "max_tokens", WY_SETTING_INTEGER, AT (max_tokens), "48", 1, 1000000, NULL,
    "tokens", "limit of a completion" },
  { "prompts", WY_SETTING_INTEGER, AT (prompts), "20", 1, 1000000, NULL, NULL,
    "different beginnings of prompts" },
  { "timeout_ms", WY_SETTING_INTEGER, AT (timeout_ms), "10000", 1, 3600000,
    NULL, "ms", "time after which a caller asks again" },
  { "tries", WY_SETTING_INTEGER, AT (tries), "6", 1, 1000, NULL, NULL,
    "times a request is sent before its caller gives up" },
  { "direct", WY_SETTING_BOOL, AT (direct), "false", 0, 0, NULL, NULL,
    "entries are engines, called without the service in between" },
};

static const char *const kind_names[WY_CALLER_KINDS]
    = { "whole", "stream", "filing" };
static const char *const outcome_names[WY_CALLER_OUTCOMES]
    = { "answered", "refused_not_run", "unknown", "failed" };

/* Initialise STATS with no requests counted.  */
void
wy_callers_stats_init (struct wy_callers_stats *stats)
{
  *stats = (struct wy_callers_stats){ .filings = json_object () };
}

static json_t *
latency_json (const struct wy_hist *h)
{
  return json_pack ("{s:I, s:f, s:f, s:f}", "n", (json_int_t)h->n, "p50_ms",
                    (double)wy_hist_quantile (h, 0.5) / WY_US_PER_MS, "p99_ms",
                    (double)wy_hist_quantile (h, 0.99) / WY_US_PER_MS,
                    "max_ms", (double)h->max / WY_US_PER_MS);
}

/* Write the report STATS to the file that the settings O name, if any.  */
void
wy_callers_report_write (const struct wy_callers_stats *stats,
                         const struct wy_callers_settings *o)
{
  json_t *j = json_pack ("{s:I, s:I, s:I, s:I, s:I, s:I, s:o}", "refusals",
                         (json_int_t)stats->not_run_responses, "resent",
                         (json_int_t)stats->resent, "outcomes_asked",
                         (json_int_t)stats->outcomes_asked, "cut",
                         (json_int_t)stats->partial, "spliced",
                         (json_int_t)stats->spliced, "duplicates",
                         (json_int_t)stats->duplicates, "first_token",
                         latency_json (&stats->first_token_us));

  for (int k = 0; k < WY_CALLER_KINDS; k++)
    {
      json_t *kind = latency_json (&stats->latency_us[k]);

      for (int e = 0; e < WY_CALLER_OUTCOMES; e++)
        json_object_set_new (kind, outcome_names[e],
                             json_integer ((json_int_t)stats->outcomes[k][e]));
      json_object_set_new (j, kind_names[k], kind);
    }
  json_object_set (j, "filings", stats->filings);
  if (*o->report)
    json_dump_file (j, o->report, JSON_INDENT (2));
  json_decref (j);
}
