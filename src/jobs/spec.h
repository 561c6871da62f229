/* A job as submitted by its trainer: many requests, to be run later.  */
#ifndef WY_JOBS_SPEC_H
#define WY_JOBS_SPEC_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "h1/head.h"

/* A request whose response scores an item's text.  */
struct wy_scorer_spec
{
  char *id;
  char *host; /* host and path determine its route */
  char *path;
  unsigned char *body;
  size_t body_size_bytes;
};

struct wy_item_spec
{
  char *id;
  char *path;
  char *group; /* of items that the trainer uses together; default: its id */
  GArray *fields; /* struct wy_h1_header, with owned strings */
  unsigned char *body;
  size_t body_size_bytes;
  uint32_t expected_tokens;      /* the submitter's estimate; 0: none */
  struct wy_scorer_spec *scorer; /* NULL: the result has no score */
};

struct wy_job_spec
{
  int64_t step;
  char *model;            /* "": none */
  int64_t min_version;    /* of the weights */
  uint32_t wanted_groups; /* complete ones at which the trainer ends the job */
  GPtrArray *items;       /* struct wy_item_spec */
  size_t size_bytes;      /* of the submitted body */
};

struct wy_job_spec *wy_job_spec_new (void);
struct wy_item_spec *wy_job_spec_add (struct wy_job_spec *s);
void wy_job_spec_free (struct wy_job_spec *s);

#endif
