/* Log line and counter of malformed responses, for processes with JSON
   logs.  */
#include "h1/malformed_log.h"

#include "trace/json_log.h"

/* Log that a call fails because of M.  */
void
wy_h1_log_malformed (const struct wy_h1_malformed *m)
{
  char ip[INET_ADDRSTRLEN];

  uv_ip4_name (m->peer, ip, sizeof ip);
  wy_json_log ("response.malformed",
               "id=%s peer=%s:%u reason=%s after_head=%d received=%zu", m->id,
               ip, ntohs (m->peer->sin_port), wy_h1_fault_name (m->fault),
               m->after_head, m->received_bytes);
}

/* Count M in F, a family of counters by reason.  */
void
wy_h1_count_malformed (struct wy_metrics_family *f,
                       const struct wy_h1_malformed *m)
{
  char *reason = wy_metrics_label ("reason", wy_h1_fault_name (m->fault));

  ++*wy_metrics_family_counter (f, reason);
  g_free (reason);
}
