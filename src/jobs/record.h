/* The row of a job in the store.  Its version is a condition of each later
   write of the row or of results.  */
#ifndef WY_JOBS_RECORD_H
#define WY_JOBS_RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rows/rows.h"

#define WY_JOBS_TABLE "wy-jobs"
#define WY_RESULTS_TABLE "wy-results"
#define WY_JOB_ROW_KEY "job"

enum wy_job_error
{
  WY_JOB_ENOTEXT = -1301 /* a part can't be a JSON string */
};

enum wy_job_state
{
  WY_JOB_OPEN,
  WY_JOB_ENDED, /* by its trainer */
  WY_JOB_DONE   /* all items are listed */
};

struct wy_job_record
{
  char *id;           /* key in the store, see wy_job_key */
  char *organisation; /* that the job runs for; "": none */
  char *holder;       /* entry that runs it, "NODE/INCARNATION" */
  enum wy_job_state state;
  char *host; /* host and path determine its route */
  char *path;
  char *object;        /* name prefix of the body's objects in the store */
  uint32_t pieces;     /* of the body, one object each */
  uint64_t total;      /* number of items */
  int64_t accepted_ms; /* by the store's clock */
  int64_t row_version;
};

void wy_job_key (const char *organisation, const char *name, char *out,
                 size_t size);
const char *wy_job_organisation (const struct wy_job_record *r);
const char *wy_job_state_name (enum wy_job_state state);
struct wy_job_record *wy_job_record_copy (const struct wy_job_record *r);
void wy_job_record_free (struct wy_job_record *r);
int wy_job_record_encode (const struct wy_job_record *r, char **out);
struct wy_job_record *wy_job_record_decode (const struct wy_row *row);
int wy_job_record_write (struct wy_rows *rows, const struct wy_job_record *r,
                         wy_rows_cb *cb, void *ctx);

#endif
