/* One request to an entry, or to the next one if it does not respond.  */
#include "ctl/ctl.h"

#include <stdlib.h>
#include <string.h>

#include <uv.h>

#include "http/client.h"

struct pending
{
  uv_loop_t *loop;
  struct wy_ctl_response *out;
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
           const char *path, const char *body, struct wy_ctl_response *out)
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
  /* Handles that are closing are freed in the next loop iterations.  */
  while (uv_loop_close (&loop) == UV_EBUSY)
    uv_run (&loop, UV_RUN_NOWAIT);
  g_free (bearer);
  g_strfreev (at);
}

/* Send the request to one entry after the other until one responds.  Clear OUT
   with wy_ctl_response_clear.  */
void
wy_ctl_call (const struct wy_ctl *ctl, const char *method, const char *path,
             const char *body, struct wy_ctl_response *out)
{
  memset (out, 0, sizeof *out);
  for (guint i = 0; i < ctl->entries->len && out->status == 0; i++)
    try_entry (ctl, ctl->entries->pdata[i], method, path, body, out);
}

/* Free the contents of R.  */
void
wy_ctl_response_clear (struct wy_ctl_response *r)
{
  json_decref (r->json);
  g_free (r->text);
  memset (r, 0, sizeof *r);
}

/* Print R and clear it.  Returns the exit code for its status, an enum
   wy_ctl_exit.  */
int
wy_ctl_print_response (const struct wy_ctl *ctl, struct wy_ctl_response *r)
{
  int rc = WY_CTL_OK;

  if (r->status == 0)
    {
      fprintf (stderr, "wyctl: no entry responds\n");
      return WY_CTL_UNREACHABLE;
    }
  if (r->status == 409)
    rc = WY_CTL_CONFLICT;
  else if (r->status < 200 || r->status > 299)
    rc = WY_CTL_FAILED;
  if (ctl->json || !r->json)
    printf ("%s\n", r->text);
  else
    wy_ctl_print (rc ? stderr : stdout, r->json);
  wy_ctl_response_clear (r);
  return rc;
}
