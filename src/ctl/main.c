/* Command line of wyctl.  */
#include "ctl/ctl.h"

#include <stdlib.h>
#include <string.h>

#include "config/settings.h"

struct command
{
  const char *name;
  const char *arguments;
  const char *help;
  int (*run) (const struct wy_ctl *ctl, char **args, int n);
};

static const struct command commands[] = {
  { "status", "", "targets, yards and leases; of a gate, its view of them",
    wy_ctl_status },
  { "watch", "", "status, updated every second", wy_ctl_watch },
  { "config", "", "the configuration in force", wy_ctl_config },
  { "plan", "FILE", "what a document would change", wy_ctl_plan },
  { "apply", "FILE --digest D", "apply a planned document", wy_ctl_apply },
  { "drain", "TARGET [--undo]", "take a target out of service", wy_ctl_drain },
  { "blocks", "", "requests rejected because they crashed targets",
    wy_ctl_blocks },
  { "unblock", "FINGERPRINT", "accept such a request again", wy_ctl_unblock },
  { "events", "[--follow] | --chrome OUT FILE...",
    "events of an entry, or a Chrome trace of timeline files", wy_ctl_events },
  { "check", "FILE...", "verify the invariants from timeline files",
    wy_ctl_check },
  { "explain", "ID FILE...", "log lines about an id and related events",
    wy_ctl_explain },
};

static const struct wy_setting table[] = {
  { "entries", WY_SETTING_LIST, offsetof (struct wy_ctl, entries), NULL, 0, 0,
    NULL, "host:port", "Entries to ask, in this order." },
  { "token", WY_SETTING_STRING, offsetof (struct wy_ctl, token), "", 0, 0,
    NULL, NULL, "Operator's token." },
  { "timeout_ms", WY_SETTING_INTEGER, offsetof (struct wy_ctl, timeout_ms),
    "5000", 10, 600000, NULL, "ms", "Limit of one call." },
};

static char *
command_list (void)
{
  GString *s = g_string_new ("Commands:\n");

  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    g_string_append_printf (s, "  %-8s %-36s %s\n", commands[i].name,
                            commands[i].arguments, commands[i].help);
  g_string_append (s, "\nExit codes: 0 success, 1 rejected or an invariant "
                      "violated, 2 invalid usage or\ninput, 3 no entry "
                      "responded, 4 the state changed since the plan.");
  return g_string_free (s, FALSE);
}

static int
load_settings (struct wy_ctl *ctl, const char *path)
{
  GString *errors = g_string_new (NULL);
  int err = wy_settings_load (path, table, G_N_ELEMENTS (table), ctl, errors);

  fputs (errors->str, stderr);
  g_string_free (errors, TRUE);
  return err;
}

static void
set_defaults (struct wy_ctl *ctl)
{
  ctl->entries = g_ptr_array_new_with_free_func (g_free);
  ctl->timeout_ms = 5000;
}

static int
run_command (const struct wy_ctl *ctl, int argc, char **argv)
{
  if (argc < 2)
    {
      fprintf (stderr, "wyctl: a command is needed; see wyctl --help\n");
      return WY_CTL_USAGE;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    if (!strcmp (commands[i].name, argv[1]))
      return commands[i].run (ctl, argv + 2, argc - 2);
  fprintf (stderr, "wyctl: unknown command %s; see wyctl --help\n", argv[1]);
  return WY_CTL_USAGE;
}

static void
describe (void)
{
  GString *s = g_string_new (NULL);

  wy_settings_describe (table, G_N_ELEMENTS (table), s);
  fputs (s->str, stdout);
  g_string_free (s, TRUE);
}

/* Run wyctl.  Returns its exit code, an enum wy_ctl_exit.  */
int
wy_ctl_main (int argc, char **argv)
{
  struct wy_ctl ctl = { 0 };
  gboolean version = FALSE;
  gboolean check_only = FALSE;
  gboolean describe_only = FALSE;
  gboolean json = FALSE;
  gboolean undo = FALSE;
  gboolean follow = FALSE;
  char *path = NULL;
  char *entry = NULL;
  char *token = NULL;
  char *list = command_list ();
  GOptionEntry options[]
      = { { "config", 'c', 0, G_OPTION_ARG_FILENAME, &path,
            "Settings file (YAML)", "FILE" },
          { "check-config", 0, 0, G_OPTION_ARG_NONE, &check_only,
            "Check the settings file and exit", NULL },
          { "describe-settings", 0, 0, G_OPTION_ARG_NONE, &describe_only,
            "Print the table of settings and exit", NULL },
          { "entry", 'e', 0, G_OPTION_ARG_STRING, &entry,
            "Entry to try first (or WYCTL_ENTRY)", "HOST:PORT" },
          { "token", 't', 0, G_OPTION_ARG_STRING, &token,
            "Operator's token (or WYCTL_TOKEN)", "TOKEN" },
          { "json", 'j', 0, G_OPTION_ARG_NONE, &json, "Print JSON", NULL },
          { "digest", 'd', 0, G_OPTION_ARG_STRING, &ctl.digest,
            "Digest of the plan to apply", "DIGEST" },
          { "undo", 0, 0, G_OPTION_ARG_NONE, &undo, "End a drain", NULL },
          { "follow", 'f', 0, G_OPTION_ARG_NONE, &follow,
            "Continue with new events as they occur", NULL },
          { "chrome", 0, 0, G_OPTION_ARG_FILENAME, &ctl.chrome,
            "Write a Chrome trace of the given timeline files", "OUT" },
          { "version", 'V', 0, G_OPTION_ARG_NONE, &version,
            "Print the version and exit", NULL },
          { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL } };
  GOptionContext *ctx = g_option_context_new ("COMMAND [ARGUMENTS]");
  GError *error = NULL;
  int rc;

  g_option_context_set_summary (ctx, "Command line of the rollout service.");
  g_option_context_set_description (ctx, list);
  g_option_context_add_main_entries (ctx, options, NULL);
  if (!g_option_context_parse (ctx, &argc, &argv, &error))
    {
      fprintf (stderr, "wyctl: %s\n", error->message);
      g_error_free (error);
      rc = WY_CTL_USAGE;
      goto end;
    }
  if (version || describe_only)
    {
      if (version)
        printf ("wyctl %s\n", WY_VERSION);
      else
        describe ();
      rc = WY_CTL_OK;
      goto end;
    }
  if (!path)
    set_defaults (&ctl);
  else if (load_settings (&ctl, path))
    {
      rc = WY_CTL_USAGE;
      goto end;
    }
  if (check_only)
    {
      rc = path ? WY_CTL_OK : WY_CTL_USAGE;
      goto end;
    }
  ctl.json = json;
  ctl.undo = undo;
  ctl.follow = follow;
  if (!entry)
    entry = g_strdup (g_getenv ("WYCTL_ENTRY"));
  if (entry)
    g_ptr_array_insert (ctl.entries, 0, g_strdup (entry));
  if (!token)
    token = g_strdup (g_getenv ("WYCTL_TOKEN"));
  if (token)
    {
      g_free (ctl.token);
      ctl.token = g_strdup (token);
    }
  rc = run_command (&ctl, argc, argv);
end:
  wy_settings_free (table, G_N_ELEMENTS (table), &ctl);
  g_free (ctl.digest);
  g_free (ctl.chrome);
  g_free (path);
  g_free (entry);
  g_free (token);
  g_free (list);
  g_option_context_free (ctx);
  return rc;
}
