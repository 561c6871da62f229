/* Commands that send one request to an entry.  */
#include "ctl/ctl.h"

#include <stdlib.h>

static int
get (const struct wy_ctl *ctl, const char *path)
{
  struct wy_ctl_response r;

  wy_ctl_call (ctl, "GET", path, NULL, &r);
  return wy_ctl_print_response (ctl, &r);
}

static int
missing_argument (const char *what)
{
  fprintf (stderr, "wyctl: %s is needed; see wyctl --help\n", what);
  return WY_CTL_USAGE;
}

/* Show the state of targets, yards and leases.  */
int
wy_ctl_status (const struct wy_ctl *ctl, char **args, int n)
{
  return get (ctl, "/v1/status");
}

/* Show the configuration in force.  */
int
wy_ctl_config (const struct wy_ctl *ctl, char **args, int n)
{
  return get (ctl, "/v1/config");
}

/* List the requests that are rejected because they crashed targets.  */
int
wy_ctl_blocks (const struct wy_ctl *ctl, char **args, int n)
{
  return get (ctl, "/v1/blocks");
}

/* Remove the block of the fingerprint ARGS[0].  */
int
wy_ctl_unblock (const struct wy_ctl *ctl, char **args, int n)
{
  struct wy_ctl_response r;
  char *path;

  if (n < 1)
    return missing_argument ("a fingerprint");
  path = g_strdup_printf ("/v1/blocks/%s", args[0]);
  wy_ctl_call (ctl, "DELETE", path, NULL, &r);
  g_free (path);
  return wy_ctl_print_response (ctl, &r);
}

/* Drain the target ARGS[0], or end its drain with --undo.  */
int
wy_ctl_drain (const struct wy_ctl *ctl, char **args, int n)
{
  struct wy_ctl_response r;
  char *path;

  if (n < 1)
    return missing_argument ("a target");
  path = g_strdup_printf ("/v1/targets/%s/%s", args[0],
                          ctl->undo ? "undrain" : "drain");
  wy_ctl_call (ctl, "POST", path, "{}", &r);
  g_free (path);
  return wy_ctl_print_response (ctl, &r);
}

static json_t *
load_document (const char *path)
{
  json_error_t error;
  json_t *o = json_load_file (path, 0, &error);

  if (!o)
    fprintf (stderr, "%s:%d: %s\n", path, error.line, error.text);
  return o;
}

static int
post_document (const struct wy_ctl *ctl, const char *path, json_t *document,
               const char *digest)
{
  json_t *body = json_pack ("{s:o}", "document", document);
  char *text;
  struct wy_ctl_response r;

  if (digest)
    json_object_set_new (body, "digest", json_string (digest));
  text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  wy_ctl_call (ctl, "POST", path, text, &r);
  free (text);
  return wy_ctl_print_response (ctl, &r);
}

/* Show what the configuration document ARGS[0] would change, and the digest
   that wyctl apply requires.  Changes nothing.  */
int
wy_ctl_plan (const struct wy_ctl *ctl, char **args, int n)
{
  json_t *document;

  if (n < 1)
    return missing_argument ("a configuration document");
  document = load_document (args[0]);
  if (!document)
    return WY_CTL_USAGE;
  return post_document (ctl, "/v1/plan", document, NULL);
}

/* Apply the configuration document ARGS[0], if nothing has changed since the
   plan whose digest is given.  */
int
wy_ctl_apply (const struct wy_ctl *ctl, char **args, int n)
{
  json_t *document;

  if (n < 1)
    return missing_argument ("a configuration document");
  if (!ctl->digest)
    return missing_argument ("--digest, as wyctl plan prints it,");
  document = load_document (args[0]);
  if (!document)
    return WY_CTL_USAGE;
  return post_document (ctl, "/v1/apply", document, ctl->digest);
}
