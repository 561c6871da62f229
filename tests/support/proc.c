/* Programs started by tests, and blocking HTTP calls to them.  */
#include "support/proc.h"

#include <sys/prctl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>
#include <glib/gstdio.h>
#include <uv.h>

extern char **environ;

enum
{
  /* Far above the duration of a start, even under a sanitizer on a busy
     machine.  */
  START_MAX_MS = 20000,
  POLL_MS = 10,
  FETCH_TIMEOUT_MS = 20000
};

/* Sleep.  Only for polling what another process does.  */
void
wy_sleep_ms (uint32_t ms)
{
  g_usleep ((gulong)ms * 1000);
}

static char *
program_path (const char *program)
{
  const char *dir = getenv ("WY_BIN");

  return g_build_filename (dir ? dir : "build/bin", program, NULL);
}

/* For g_spawn_async: end the child with the test, also if the test is killed.
 */
void
wy_end_with_parent (gpointer data)
{
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

/* Start a child process that is killed when the test ends.  The programs of a
   test that crashes or times out would otherwise run on and keep the pipes of
   the test runner open, for which it would wait.  */
static pid_t
run_child (const char *path, char **argv)
{
  pid_t test = getpid ();
  pid_t pid = fork ();

  if (pid)
    return pid;
  wy_end_with_parent (NULL);
  if (getppid () != test)
    _exit (EXIT_FAILURE);
  closefrom (STDERR_FILENO + 1);
  execv (path, argv);
  _exit (EXIT_FAILURE);
}

/* Start PROGRAM with the YAML text SETTINGS, to which ports_file and timeline
   are added.  KIND is its first argument unless it is NULL.  Returns 0 when
   the program has written its ports, or -1.  */
int
wy_proc_start (struct wy_proc *p, const char *program, const char *kind,
               const char *settings)
{
  char *path = program_path (program);
  char *file;
  char *text;
  char *argv[5] = { path };
  int n = 1;
  int err;

  p->dir = g_dir_make_tmp ("wy-test-XXXXXX", NULL);
  p->ports_file = g_build_filename (p->dir, "ports", NULL);
  p->timeline = g_build_filename (p->dir, "timeline.jsonl", NULL);
  file = g_build_filename (p->dir, "settings.yaml", NULL);
  text = g_strdup_printf ("%s\nports_file: %s\ntimeline: %s\n", settings,
                          p->ports_file, p->timeline);
  g_file_set_contents (file, text, -1, NULL);
  if (kind)
    argv[n++] = (char *)kind;
  argv[n++] = "--config";
  argv[n++] = file;
  p->pid = run_child (path, argv);
  err = p->pid < 0 ? -1 : 0;
  for (int ms = 0; !err && !g_file_test (p->ports_file, G_FILE_TEST_EXISTS);
       ms += POLL_MS)
    {
      if (ms > START_MAX_MS || waitpid (p->pid, NULL, WNOHANG) != 0)
        err = -1;
      wy_sleep_ms (POLL_MS);
    }
  g_free (path);
  g_free (file);
  g_free (text);
  return err ? -1 : 0;
}

/* The port that P has reported under NAME, or 0.  */
uint16_t
wy_proc_port (const struct wy_proc *p, const char *name)
{
  char *text = NULL;
  char **lines;
  uint16_t port = 0;
  size_t n = strlen (name);

  if (!g_file_get_contents (p->ports_file, &text, NULL, NULL))
    return 0;
  lines = g_strsplit (text, "\n", -1);
  for (char **l = lines; *l; l++)
    if (!strncmp (*l, name, n) && (*l)[n] == ' ')
      port = (uint16_t)strtoul (*l + n + 1, NULL, 10);
  g_strfreev (lines);
  g_free (text);
  return port;
}

/* Send SIGNUM to P.  */
void
wy_proc_kill (const struct wy_proc *p, int signum)
{
  kill (p->pid, signum);
}

static void
remove_dir (const char *dir)
{
  GDir *d = g_dir_open (dir, 0, NULL);
  const char *name;

  while (d && (name = g_dir_read_name (d)))
    {
      char *path = g_build_filename (dir, name, NULL);

      g_unlink (path);
      g_free (path);
    }
  if (d)
    g_dir_close (d);
  g_rmdir (dir);
}

/* Wait for P to end and remove its files.  Returns its exit code, or minus the
   number of the signal that ended it.  */
int
wy_proc_wait (struct wy_proc *p)
{
  int status = 0;

  waitpid (p->pid, &status, 0);
  remove_dir (p->dir);
  g_free (p->dir);
  g_free (p->ports_file);
  g_free (p->timeline);
  return WIFEXITED (status) ? WEXITSTATUS (status) : -WTERMSIG (status);
}

/* The events named EVENT that P has written so far.  */
json_t *
wy_proc_events (const struct wy_proc *p, const char *event)
{
  json_t *list = json_array ();
  char *text = NULL;
  char **lines;

  if (!g_file_get_contents (p->timeline, &text, NULL, NULL))
    return list;
  lines = g_strsplit (text, "\n", -1);
  for (char **l = lines; *l; l++)
    {
      json_t *line = json_loads (*l, 0, NULL);
      const char *ev = json_string_value (json_object_get (line, "ev"));

      if (ev && !strcmp (ev, event))
        json_array_append (list, line);
      json_decref (line);
    }
  g_strfreev (lines);
  g_free (text);
  return list;
}

struct fetched
{
  uv_loop_t *loop;
  int err;
  int status;
  char *text;
  size_t size_bytes;
};

static void
on_fetched (void *ctx, const struct wy_http_response *a)
{
  struct fetched *f = ctx;

  f->err = a->err;
  f->status = a->status;
  f->text = g_malloc (a->size_bytes + 1);
  memcpy (f->text, a->body, a->size_bytes + 1);
  f->size_bytes = a->size_bytes;
  /* The idle timer of the client would keep the loop running.  */
  uv_stop (f->loop);
}

static void
fetch (const struct wy_http_call_options *o, struct fetched *f)
{
  uv_loop_t loop;
  struct wy_http_client *c;

  uv_loop_init (&loop);
  f->loop = &loop;
  c = wy_http_client_new (&loop, FETCH_TIMEOUT_MS);
  wy_http_fetch (c, o, on_fetched, f);
  uv_run (&loop, UV_RUN_DEFAULT);
  wy_http_client_free (c);
  uv_run (&loop, UV_RUN_NOWAIT);
  while (uv_loop_close (&loop) == UV_EBUSY)
    uv_run (&loop, UV_RUN_NOWAIT);
}

/* Call 127.0.0.1:PORT and wait for the complete response.  HEADERS ends with a
   pair of NULL, or is NULL.  STATUS is the HTTP status, or the negative error
   of the call.  The caller frees the text.  */
char *
wy_fetch_text (uint16_t port, const char *method, const char *path,
               const char *body, const struct wy_http_header_field *headers,
               int *status)
{
  struct fetched f = { 0 };
  struct wy_http_call_options o
      = { .method = method,
          .host = "127.0.0.1",
          .port = port,
          .path = path,
          .headers = headers,
          .body = body,
          .body_size_bytes = body ? strlen (body) : 0,
          .timeout_ms = FETCH_TIMEOUT_MS };

  while (headers && headers[o.n_headers].name)
    o.n_headers++;
  fetch (&o, &f);
  *status = f.err ? f.err : f.status;
  return f.text;
}

/* GET PATH; N is the size of the response body, which the caller frees.  */
char *
wy_fetch_bytes (uint16_t port, const char *path, size_t *n, int *status)
{
  struct fetched f = { 0 };
  struct wy_http_call_options o = { .method = "GET",
                                    .host = "127.0.0.1",
                                    .port = port,
                                    .path = path,
                                    .timeout_ms = FETCH_TIMEOUT_MS };

  fetch (&o, &f);
  *status = f.err ? f.err : f.status;
  *n = f.size_bytes;
  return f.text;
}

/* Like wy_fetch_text.  Returns the response as JSON, or NULL if it is
   malformed.  */
json_t *
wy_fetch_json (uint16_t port, const char *method, const char *path,
               const char *json, const struct wy_http_header_field *headers,
               int *status)
{
  char *text = wy_fetch_text (port, method, path, json, headers, status);
  json_t *j = json_loads (text, JSON_DECODE_ANY, NULL);

  g_free (text);
  return j;
}
