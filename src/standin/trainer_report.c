/* Settings, statistics and report of the simulated trainer.  */
#include <stddef.h>

#include "standin/trainer.h"

#define AT(field) offsetof (struct wy_trainer_settings, field)

const struct wy_setting wy_trainer_table[WY_TRAINER_SETTINGS] = {
  { "entries", WY_SETTING_LIST, AT (entries), NULL, 0, 0, NULL, "host:port",
    "entries, the first one is used until it fails" },
  { "token", WY_SETTING_STRING, AT (token), "", 0, 0, NULL, NULL,
    "bearer token" },
  { "yard", WY_SETTING_STRING, AT (yard), NULL, 0, 0, NULL, NULL,
    "yard it trains in" },
  { "trainer", WY_SETTING_STRING, AT (trainer), NULL, 0, 0, NULL, NULL,
    "its name in the yard" },
  { "model", WY_SETTING_STRING, AT (model), NULL, 0, 0, NULL, NULL,
    "model whose weights it publishes" },
  { "weights", WY_SETTING_STRING, AT (weights), NULL, 0, 0, NULL, "host:port",
    "weight store" },
  { "report", WY_SETTING_STRING, AT (report), "", 0, 0, NULL, NULL,
    "file of the report written at the end" },
  { "steps", WY_SETTING_INTEGER, AT (steps), "0", 0, 1e9, NULL, NULL,
    "steps to train; 0: until stopped" },
  { "ahead", WY_SETTING_INTEGER, AT (ahead), "1", 0, 16, NULL, NULL,
    "steps submitted before the one it waits for" },
  { "groups", WY_SETTING_INTEGER, AT (groups), "4", 1, 10000, NULL, NULL,
    "groups of a step" },
  { "samples", WY_SETTING_INTEGER, AT (samples), "4", 1, 1000, NULL, NULL,
    "samples of a group" },
  { "max_tokens", WY_SETTING_INTEGER, AT (max_tokens), "400", 1, 1000000, NULL,
    "tokens", "longest sample" },
  { "max_staleness", WY_SETTING_INTEGER, AT (max_staleness), "1", 0, 1000,
    NULL, "versions", "bound of the samples' age" },
  { "train_ms", WY_SETTING_INTEGER, AT (train_ms), "1500", 0, 3600000, NULL,
    "ms", "time that a step trains" },
  { "poll_ms", WY_SETTING_INTEGER, AT (poll_ms), "100", 1, 60000, NULL, "ms",
    "time between two questions for a batch" },
  { "weights_size_bytes", WY_SETTING_INTEGER, AT (weights_size_bytes),
    "4194304", 1, 1e12, NULL, "bytes", "size of a version" },
  { "initial_version", WY_SETTING_INTEGER, AT (initial_version), "1", 0, 1e12,
    NULL, NULL, "version that the engines begin with" },
};

/* Count a batch about to be trained on, STALENESS versions old.  */
void
wy_trainer_stats_add_batch (struct wy_trainer_stats *stats,
                            const json_t *samples, int64_t staleness)
{
  json_t *s;
  size_t i;

  json_array_foreach (samples, i, s)
  {
    const char *id = json_string_value (json_object_get (s, "sample"));

    stats->samples++;
    if (!g_hash_table_add (stats->seen, g_strdup (id ? id : "")))
      stats->duplicates++;
  }
  stats->steps++;
  stats->staleness_sum += staleness;
  stats->staleness_max = MAX (stats->staleness_max, staleness);
}

/* Write the report STATS to the file that the settings O name, if any. VERSION
   is the newest one published.  */
void
wy_trainer_report_write (const struct wy_trainer_stats *stats,
                         const struct wy_trainer_settings *o, int64_t version)
{
  double whole_us = (double)(stats->ended_us - stats->started_us);
  json_t *j;

  if (!*o->report)
    return;
  j = json_pack (
      "{s:s, s:s, s:I, s:I, s:I, s:I, s:f, s:I, s:I, s:f, s:I, s:I}", "yard",
      o->yard, "trainer", o->trainer, "steps", (json_int_t)stats->steps,
      "steps_lost", (json_int_t)stats->steps_lost, "samples",
      (json_int_t)stats->samples, "duplicates", (json_int_t)stats->duplicates,
      "staleness_mean",
      stats->steps ? (double)stats->staleness_sum / (double)stats->steps : 0.0,
      "staleness_max", (json_int_t)stats->staleness_max, "staleness_bound",
      (json_int_t)o->max_staleness, "idle_share",
      whole_us > 0 ? (double)stats->idle_us / whole_us : 0.0, "version",
      (json_int_t)version, "calls_repeated", (json_int_t)stats->retries);
  json_dump_file (j, o->report, JSON_INDENT (2));
  json_decref (j);
}
