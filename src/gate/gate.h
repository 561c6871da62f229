/* The gate: an entry instance, which forwards callers' requests directly to
   targets and keeps persistent state in the platform's store.  */
#ifndef WY_GATE_GATE_H
#define WY_GATE_GATE_H

#include <glib.h>
#include <uv.h>

#include "gate/settings.h"

struct wy_gate;

struct wy_gate_options
{
  uv_loop_t *loop;
  const struct wy_clock *clock;
  const struct wy_gate_settings *settings;
  void (*on_stopped) (void *ctx);
  void *ctx;
  GString *reason; /* gets why the gate can't start; may be NULL */
};

int wy_gate_new (struct wy_gate **out, const struct wy_gate_options *o);
void wy_gate_stop (struct wy_gate *g);
void wy_gate_reload (struct wy_gate *g, const struct wy_gate_settings *s);
void wy_gate_free (struct wy_gate *g);

#endif
