/* The configuration document: freeing, lookup, canonical JSON and digest.  */
#include "config/document.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <openssl/evp.h>

static void
free_services (GPtrArray *services)
{
  for (guint i = 0; i < services->len; i++)
    {
      struct wy_service_config *s = services->pdata[i];

      g_free (s->name);
      g_ptr_array_free (s->members, TRUE);
      g_ptr_array_free (s->previous, TRUE);
      g_free (s);
    }
  g_ptr_array_free (services, TRUE);
}

static void
free_yards (GPtrArray *yards)
{
  for (guint i = 0; i < yards->len; i++)
    {
      struct wy_yard_config *y = yards->pdata[i];

      for (guint k = 0; k < y->trainers->len; k++)
        {
          struct wy_trainer_config *t = y->trainers->pdata[k];
          g_free (t->name);
          g_free (t);
        }
      g_ptr_array_free (y->trainers, TRUE);
      g_free (y->name);
      g_free (y->model);
      g_free (y->scoring);
      g_free (y);
    }
  g_ptr_array_free (yards, TRUE);
}

/* Free D, which may be NULL.  */
void
wy_document_free (struct wy_document *d)
{
  if (!d)
    return;
  for (guint i = 0; i < d->models->len; i++)
    {
      struct wy_model_config *m = d->models->pdata[i];
      g_free (m->name);
      g_free (m);
    }
  g_ptr_array_free (d->models, TRUE);
  free_services (d->services);
  free_yards (d->yards);
  g_ptr_array_free (d->drained, TRUE);
  g_ptr_array_free (d->unblocked, TRUE);
  g_free (d);
}

static json_t *
names_json (const GPtrArray *names)
{
  json_t *list = json_array ();

  for (guint i = 0; i < names->len; i++)
    json_array_append_new (list, json_string (names->pdata[i]));
  return list;
}

static json_t *
yard_json (const struct wy_yard_config *y)
{
  json_t *trainers = json_array ();

  for (guint i = 0; i < y->trainers->len; i++)
    {
      const struct wy_trainer_config *t = y->trainers->pdata[i];
      json_array_append_new (trainers, json_pack ("{s:s, s:f}", "name",
                                                  t->name, "worth", t->worth));
    }
  return json_pack ("{s:s, s:s, s:s, s:I, s:s, s:o}", "name", y->name, "model",
                    y->model, "weighs",
                    y->weighs == WY_WEIGHS_IDLE ? "idle" : "staleness",
                    "staleness_bound", (json_int_t)y->staleness_bound,
                    "scoring", y->scoring, "trainers", trainers);
}

/* The canonical JSON of D: every key is present, defaults filled in.  */
json_t *
wy_document_json (const struct wy_document *d)
{
  json_t *models = json_array ();
  json_t *services = json_array ();
  json_t *yards = json_array ();

  for (guint i = 0; i < d->models->len; i++)
    {
      const struct wy_model_config *m = d->models->pdata[i];
      json_array_append_new (models, json_pack ("{s:s}", "name", m->name));
    }
  for (guint i = 0; i < d->services->len; i++)
    {
      const struct wy_service_config *s = d->services->pdata[i];
      json_array_append_new (
          services, json_pack ("{s:s, s:o, s:o, s:I}", "name", s->name,
                               "members", names_json (s->members), "previous",
                               names_json (s->previous), "effective_ms",
                               (json_int_t)s->effective_ms));
    }
  for (guint i = 0; i < d->yards->len; i++)
    json_array_append_new (yards, yard_json (d->yards->pdata[i]));
  return json_pack ("{s:o, s:o, s:o, s:o, s:o}", "models", models, "services",
                    services, "yards", yards, "drained",
                    names_json (d->drained), "unblocked",
                    names_json (d->unblocked));
}

/* The service NAME, or NULL.  */
const struct wy_service_config *
wy_document_service (const struct wy_document *d, const char *name)
{
  for (guint i = 0; i < d->services->len; i++)
    {
      const struct wy_service_config *s = d->services->pdata[i];
      if (!strcmp (s->name, name))
        return s;
    }
  return NULL;
}

/* The yard NAME, or NULL.  */
const struct wy_yard_config *
wy_document_yard (const struct wy_document *d, const char *name)
{
  for (guint i = 0; i < d->yards->len; i++)
    {
      const struct wy_yard_config *y = d->yards->pdata[i];
      if (!strcmp (y->name, name))
        return y;
    }
  return NULL;
}

/* The model NAME, or NULL.  */
const struct wy_model_config *
wy_document_model (const struct wy_document *d, const char *name)
{
  for (guint i = 0; i < d->models->len; i++)
    {
      const struct wy_model_config *m = d->models->pdata[i];
      if (!strcmp (m->name, name))
        return m;
    }
  return NULL;
}

/* The trainer NAME of Y, or NULL.  */
const struct wy_trainer_config *
wy_yard_config_trainer (const struct wy_yard_config *y, const char *name)
{
  for (guint i = 0; i < y->trainers->len; i++)
    {
      const struct wy_trainer_config *t = y->trainers->pdata[i];
      if (!strcmp (t->name, name))
        return t;
    }
  return NULL;
}

/* Whether operators have drained TARGET.  */
bool
wy_document_is_drained (const struct wy_document *d, const char *target)
{
  for (guint i = 0; i < d->drained->len; i++)
    if (!strcmp (d->drained->pdata[i], target))
      return true;
  return false;
}

/* SHA-256 of D and BASE_REVISION in hex, by which an operator confirms a plan.
   It leaves out previous and effective_ms of the services, which are set only
   when the plan is applied.  */
void
wy_document_digest (const struct wy_document *d, int64_t base_revision,
                    char out[WY_CONFIG_DIGEST_SIZE_BYTES])
{
  json_t *json = wy_document_json (d);
  const json_t *services = json_object_get (json, "services");
  unsigned char md[EVP_MAX_MD_SIZE];
  unsigned int n = 0;
  char *text;
  char *all;

  for (size_t i = 0; i < json_array_size (services); i++)
    {
      json_object_del (json_array_get (services, i), "previous");
      json_object_del (json_array_get (services, i), "effective_ms");
    }
  text = json_dumps (json, JSON_COMPACT | JSON_SORT_KEYS);
  all = g_strdup_printf ("%" PRId64 "\n%s", base_revision, text);
  EVP_Digest (all, strlen (all), md, &n, EVP_sha256 (), NULL);
  for (unsigned int i = 0; i < n; i++)
    g_snprintf (out + (size_t)i * 2, 3, "%02x", md[i]);
  g_free (all);
  free (text);
  json_decref (json);
}
