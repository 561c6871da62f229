/* Command line of the daemons: --help, --version, --config, --check-config,
   --check-template and --describe-settings.  */
#include "config/program.h"

#include <stdio.h>
#include <string.h>

#include "config/template.h"

static int
load_settings (const struct wy_program *p, const char *path)
{
  GString *errors = g_string_new (NULL);
  int err = wy_settings_load (path, p->table, p->n, p->settings, errors);

  fputs (errors->str, stderr);
  g_string_free (errors, TRUE);
  return err;
}

/* Check the settings template at PATH with an allowed value in each
   placeholder.  */
static int
check_template (const struct wy_program *p, const char *path)
{
  GString *errors = g_string_new (NULL);
  char *text = NULL;
  char *sample = NULL;
  int err = WY_CONFIG_EOPEN;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    g_string_append_printf (errors,
                            "%s:0: ?: cannot be read, a file is "
                            "allowed\n",
                            path);
  else
    sample = wy_template_fill_samples (path, text, p->table, p->n, errors);
  if (sample)
    err = wy_settings_parse (path, sample, strlen (sample), p->table, p->n,
                             p->settings, errors);
  fputs (errors->str, stderr);
  g_string_free (errors, TRUE);
  g_free (sample);
  g_free (text);
  return err;
}

static void
describe (const struct wy_program *p)
{
  GString *out = g_string_new (NULL);

  wy_settings_describe (p->table, p->n, out);
  fputs (out->str, stdout);
  g_string_free (out, TRUE);
}

/* Parse the command line and load the settings.  Returns -1 if the program is
   to continue, else the exit code to end with.  */
int
wy_program_start (struct wy_program *p, int argc, char **argv)
{
  gboolean version = FALSE;
  gboolean check_only = FALSE;
  gboolean describe_only = FALSE;
  static char *path; /* outlives the call, for reloads */
  static char *template;
  GOptionEntry entries[]
      = { { "config", 'c', 0, G_OPTION_ARG_FILENAME, &path,
            "Settings file (YAML)", "FILE" },
          { "check-config", 0, 0, G_OPTION_ARG_NONE, &check_only,
            "Check the settings file and exit", NULL },
          { "check-template", 0, 0, G_OPTION_ARG_FILENAME, &template,
            "Check a template of settings and exit", "FILE" },
          { "describe-settings", 0, 0, G_OPTION_ARG_NONE, &describe_only,
            "Print the table of settings and exit", NULL },
          { "version", 'V', 0, G_OPTION_ARG_NONE, &version,
            "Print the version and exit", NULL },
          { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL } };
  GOptionContext *ctx = g_option_context_new (NULL);
  GError *error = NULL;
  int rc = -1;

  g_option_context_set_summary (ctx, p->summary);
  g_option_context_add_main_entries (ctx, entries, NULL);
  if (!g_option_context_parse (ctx, &argc, &argv, &error))
    {
      fprintf (stderr, "%s: %s\n", p->name, error->message);
      g_error_free (error);
      rc = WY_EXIT_USAGE;
    }
  else if (version)
    {
      printf ("%s %s\n", p->name, WY_VERSION);
      rc = WY_EXIT_OK;
    }
  else if (describe_only)
    {
      describe (p);
      rc = WY_EXIT_OK;
    }
  else if (template)
    rc = check_template (p, template) ? WY_EXIT_USAGE : WY_EXIT_OK;
  else if (argc > 1 || !path)
    {
      fprintf (stderr, "%s: --config FILE is required; see --help\n", p->name);
      rc = WY_EXIT_USAGE;
    }
  else if (load_settings (p, path))
    rc = WY_EXIT_USAGE;
  else if (check_only)
    rc = WY_EXIT_OK;
  g_option_context_free (ctx);
  p->path = path;
  return rc;
}
