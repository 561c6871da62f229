/* One call to an entry, the next entry when one does not answer.  */
#include "ctl/ctl.h"

#include <stdlib.h>
#include <string.h>

#include <uv.h>

#include "http/client.h"

struct pending
{
  uv_loop_t *loop;
  struct wy_ctl_answer *out;
};

static void
on_done (void *ctx, const struct wy_http_response *a)
{
  struct pending *p = ctx;

  if (a->err == 0)
    {
      p->out->status = a->status;
      p->out->text = g_strdup (a->body);
      p->out->json = json_loads (a->body, 0, NULL);
    }
  uv_stop (p->loop);
}

static void
try_entry (const struct wy_ctl *ctl, const char *entry, const char *method,
           const char *path, const char *body, struct wy_ctl_answer *out)
{
  char **at = g_strsplit (entry, ":", 2);
  char *bearer = g_strdup_printf ("Bearer %s", ctl->token ? ctl->token : "");
  struct wy_http_header_field headers[]
      = { { "authorization", bearer },
          { "content-type", "application/json" } };
  struct wy_http_call_options o
      = { .method = method,
          .host = at[0],
          .port = at[0] && at[1] ? (uint16_t)strtoul (at[1], NULL, 10) : 0,
          .path = path,
          .headers = headers,
          .n_headers = G_N_ELEMENTS (headers),
          .body = body,
          .body_size_bytes = body ? strlen (body) : 0,
          .timeout_ms = (uint32_t)ctl->timeout_ms };
  uv_loop_t loop;
  struct wy_http_client *client;
  struct pending p = { &loop, out };

  uv_loop_init (&loop);
  client = wy_http_client_new (&loop, (uint32_t)ctl->timeout_ms);
  wy_http_fetch (client, &o, on_done, &p);
  uv_run (&loop, UV_RUN_DEFAULT);
  wy_http_client_free (client);
  /* Handles that are closing go within the next turns.  */
  while (uv_loop_close (&loop) == UV_EBUSY)
    uv_run (&loop, UV_RUN_NOWAIT);
  g_free (bearer);
  g_strfreev (at);
}

/* Ask the entries in turn until one answers.  OUT must be cleared with
   wy_ctl_answer_clear.  */
void
wy_ctl_call (const struct wy_ctl *ctl, const char *method, const char *path,
             const char *body, struct wy_ctl_answer *out)
{
  memset (out, 0, sizeof *out);
  for (guint i = 0; i < ctl->entries->len && out->status == 0; i++)
    try_entry (ctl, ctl->entries->pdata[i], method, path, body, out);
}

/* Free what A holds.  */
void
wy_ctl_answer_clear (struct wy_ctl_answer *a)
{
  json_decref (a->json);
  g_free (a->text);
  memset (a, 0, sizeof *a);
}

/* Print A, free it, and tell the exit code it stands for.  */
int
wy_ctl_finish (const struct wy_ctl *ctl, struct wy_ctl_answer *a)
{
  int rc = WY_CTL_OK;

  if (a->status == 0)
    {
      fprintf (stderr, "wyctl: no entry answered\n");
      return WY_CTL_UNREACHABLE;
    }
  if (a->status == 409)
    rc = WY_CTL_CONFLICT;
  else if (a->status < 200 || a->status > 299)
    rc = WY_CTL_FAILED;
  if (ctl->json || !a->json)
    printf ("%s\n", a->text);
  else
    wy_ctl_print (rc ? stderr : stdout, a->json);
  wy_ctl_answer_clear (a);
  return rc;
}
