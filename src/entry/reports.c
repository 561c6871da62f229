/* State that targets report in heartbeats: load, leaving, target down, and the
   revision of their configuration.  */
#include "entry/reports.h"

#include "entry/acks.h"
#include "entry/peers.h"
#include "entry/pool.h"
#include "entry/suspect_rows.h"
#include "trace/log.h"

enum
{
  /* Shortest time between two CONFIG frames with the same revision.  */
  CONFIG_RESEND_MS = 1000
};

/* Send P the configuration in force unless P has it.  */
void
wy_peer_push_config (struct wy_peer *p)
{
  struct wy_entry *e = p->entry;
  const char *text = wy_config_feed_text (e->feed);
  int64_t revision = wy_config_feed_revision (e->feed);
  int64_t now_ms = wy_clock_mono_ms (e->clock);
  struct wy_frame f = { .kind = WY_FRAME_CONFIG };

  if (!text || p->config_revision >= revision
      || (p->config_sent_revision == revision && now_ms < p->config_resend_ms))
    return;
  f.u.config.revision = revision;
  f.u.config.confirmed_ms = wy_config_feed_confirmed_ms (e->feed);
  f.u.config.json = wy_bytes_of (text);
  p->config_sent_revision = revision;
  p->config_resend_ms = now_ms + CONFIG_RESEND_MS;
  wy_peer_send (p, &f);
}

/* Set whether P is leaving; a leaving target gets no new work.  */
void
wy_peer_set_leaving (struct wy_peer *p, bool leaving)
{
  if (p->leaving == leaving)
    return;
  p->leaving = leaving;
  wy_log (WY_LOG_INFO, leaving ? "peer.leaving" : "peer.staying", "target=%s",
          p->id);
  if (leaving)
    {
      wy_pool_drain_peer (p);
      wy_acks_flush (p->entry, p);
    }
  else if (!p->target_down)
    wy_pool_readmit_peer (p);
}

/* Set whether the target of P is down while its agent runs, which would refuse
   every request.  */
static void
set_target_down (struct wy_peer *p, bool down)
{
  if (p->target_down == down)
    return;
  p->target_down = down;
  if (down && p->entry->suspect_rows)
    wy_suspect_rows_read_soon (p->entry->suspect_rows);
  wy_log (WY_LOG_INFO, down ? "target.down" : "target.up", "target=%s", p->id);
  if (down)
    wy_pool_drain_peer (p);
  else if (!p->leaving)
    wy_pool_readmit_peer (p);
}

/* Handle PING, a heartbeat from P.  */
void
wy_peer_heartbeat (struct wy_peer *p, const struct wy_frame_ping *ping)
{
  struct wy_entry *e = p->entry;
  int64_t now_ms = wy_clock_mono_ms (e->clock);

  wy_trace_observe (e->trace, ping->timestamp);
  p->config_revision = ping->config_revision;
  if (ping->config_revision > wy_config_feed_revision (e->feed))
    wy_config_feed_poll (e->feed);
  wy_peer_push_config (p);
  if (!ping->has_load)
    return;
  p->has_load = true;
  p->load = ping->load;
  if (!p->weights_source && p->load.weights_port)
    p->weights_source
        = g_strdup_printf ("%s:%u", p->host, p->load.weights_port);
  wy_pool_load_reported (p);
  /* The load report is newer than a LEAVING frame of the same process: a
     drained target that was undrained is no longer leaving.  */
  p->reported_leaving = ping->load.leaving;
  wy_peer_set_leaving (p,
                       !p->listed || p->list_leaving || p->reported_leaving);
  set_target_down (p, !ping->load.target_up);
  if (p->slot < 0)
    return;
  for (uint32_t i = 0; i < ping->n_prefixes; i++)
    wy_placement_cache_event (p->pool->placement, (uint32_t)p->slot,
                              ping->prefixes[i], true, now_ms);
}
