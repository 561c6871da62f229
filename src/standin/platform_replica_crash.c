/* Stand-in of a replica: the end of its process, and the next start.  */
#include "standin/platform_replica_state.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

enum
{
  /* From the start of a run that crashes the process to its end.  */
  CRASH_MS = 30
};

/* Keep R's port from other processes without listening at it, so that it
   refuses connections.  */
static void
reserve_port (struct wy_platform_replica *r)
{
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_port = htons (r->port),
                           .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (fd < 0)
    return;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (const struct sockaddr *)&a, sizeof a))
    close (fd);
  else
    r->reserved_fd = fd;
}

/* Give the port of R free, if it is kept.  */
void
wy_platform_replica_release_port (struct wy_platform_replica *r)
{
  if (r->reserved_fd)
    close (r->reserved_fd);
  r->reserved_fd = 0;
}

/* Return the id under which R was last started.  */
const char *
wy_platform_replica_id (const struct wy_platform_replica *r)
{
  return r->o.id;
}

static void
on_return_timer (uv_timer_t *t)
{
  struct wy_platform_replica *r = t->data;

  /* The id must last as long as the replica.  */
  wy_platform_replica_start_again (
      r, r->faults.return_renamed ? g_strconcat (r->o.id, "+", NULL) : NULL);
}

/* Whether the process of R has ended and not started again.  */
bool
wy_platform_replica_is_down (const struct wy_platform_replica *r)
{
  return r->server == NULL;
}

/* End the process of R: its connections are closed, its port refuses new ones.
   It holds and knows nothing of before when it starts again.  */
void
wy_platform_replica_crash (struct wy_platform_replica *r)
{
  uv_timer_stop (&r->crash_timer);
  uv_timer_stop (&r->load_timer);
  wy_h1_server_hang_up (r->server);
  wy_h1_server_free (r->server);
  r->server = NULL;
  reserve_port (r);
  if (r->faults.return_ms)
    uv_timer_start (&r->crash_timer, on_return_timer, r->faults.return_ms, 0);
  if (r->o.on_crash)
    r->o.on_crash (r->o.ctx, r);
}

static void
on_crash_timer (uv_timer_t *t)
{
  wy_platform_replica_crash (t->data);
}

/* End the process of R in CRASH_MS.  */
void
wy_platform_replica_crash_soon (struct wy_platform_replica *r)
{
  if (!uv_is_active ((uv_handle_t *)&r->crash_timer))
    uv_timer_start (&r->crash_timer, on_crash_timer, CRASH_MS, 0);
}

/* Start R again at the same port, as ID, or with the id that it had if ID is
   NULL.  ID must last as long as R.  Returns whether the port is free.  */
bool
wy_platform_replica_start_again (struct wy_platform_replica *r, const char *id)
{
  if (wy_platform_replica_listen (r))
    return false;
  wy_platform_replica_release_port (r);
  if (id)
    r->o.id = id;
  wy_platform_replica_restart (r);
  return true;
}
