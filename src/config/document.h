/* The configuration document: models, services and yards that are served.  */
#ifndef WY_CONFIG_DOCUMENT_H
#define WY_CONFIG_DOCUMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "config/settings.h"

#define WY_CONFIG_DIGEST_SIZE_BYTES 65 /* SHA-256 in hex and a NUL */

/* What a yard minimises: the staleness of samples or the idle time of
   engines.  */
enum wy_yard_weighs
{
  WY_WEIGHS_STALENESS,
  WY_WEIGHS_IDLE
};

struct wy_model_config
{
  char *name;
};

struct wy_service_config
{
  char *name;
  GPtrArray *members;  /* char *, sorted */
  GPtrArray *previous; /* char *, sorted */
  /* Wall-clock time from which on members are used; a request issued earlier
     belongs to previous.  */
  int64_t effective_ms;
};

struct wy_trainer_config
{
  char *name;
  double worth; /* factor on the worth of the trainer's steps */
};

struct wy_yard_config
{
  char *name;
  char *model;
  enum wy_yard_weighs weighs;
  uint32_t staleness_bound;
  char *scoring;       /* "host:port" */
  GPtrArray *trainers; /* struct wy_trainer_config * */
};

struct wy_document
{
  GPtrArray *models;    /* struct wy_model_config * */
  GPtrArray *services;  /* struct wy_service_config * */
  GPtrArray *yards;     /* struct wy_yard_config * */
  GPtrArray *drained;   /* char *, target ids */
  GPtrArray *unblocked; /* char *, fingerprints in hex */
};

int wy_document_parse (struct wy_document **out, const json_t *json,
                       GString *errors);
int wy_document_parse_text (struct wy_document **out, const char *text,
                            size_t size_bytes, GString *errors);
void wy_document_free (struct wy_document *d);
json_t *wy_document_json (const struct wy_document *d);
const struct wy_service_config *
wy_document_service (const struct wy_document *d, const char *name);
const struct wy_yard_config *wy_document_yard (const struct wy_document *d,
                                               const char *name);
const struct wy_model_config *wy_document_model (const struct wy_document *d,
                                                 const char *name);
const struct wy_trainer_config *
wy_yard_config_trainer (const struct wy_yard_config *y, const char *name);
bool wy_document_is_drained (const struct wy_document *d, const char *target);
void wy_document_digest (const struct wy_document *d, int64_t base_revision,
                         char out[WY_CONFIG_DIGEST_SIZE_BYTES]);
void wy_document_diff (const struct wy_document *before,
                       const struct wy_document *after, GPtrArray *changes,
                       GPtrArray *effects);

#endif
