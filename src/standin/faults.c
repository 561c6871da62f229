/* Injected faults of a stand-in.  Several may be active at once, each with its
   own duration.  */
#include "standin/faults.h"

#include <string.h>

#include <glib.h>

static const char *const names[WY_FAULT_KINDS]
    = { "down",     "slow",      "lose_answer", "silent",
        "crash_on", "fail_load", "rate" };

static void
clear_one (struct wy_standin_fault *x)
{
  g_free (x->text);
  *x = (struct wy_standin_fault){ 0 };
}

/* Clear all faults.  */
void
wy_standin_faults_clear (struct wy_standin_faults *f)
{
  for (int i = 0; i < WY_FAULT_KINDS; i++)
    clear_one (&f->fault[i]);
}

/* Set the fault described by DOC, the body of POST /fault.  Return its kind,
   WY_FAULT_KINDS after "none", or -1 if the fault is unknown.  */
int
wy_standin_faults_set (struct wy_standin_faults *f, const json_t *doc,
                       int64_t now_ms)
{
  const char *name = json_string_value (json_object_get (doc, "fault"));
  const json_t *value = json_object_get (doc, "value");
  int64_t for_ms = json_integer_value (json_object_get (doc, "for_ms"));

  if (name && !strcmp (name, "none"))
    {
      wy_standin_faults_clear (f);
      return WY_FAULT_KINDS;
    }
  for (int i = 0; name && i < WY_FAULT_KINDS; i++)
    if (!strcmp (name, names[i]))
      {
        struct wy_standin_fault *x = &f->fault[i];

        clear_one (x);
        x->on = true;
        x->until_ms = for_ms > 0 ? now_ms + for_ms : 0;
        x->value = json_number_value (value);
        x->text = g_strdup (json_string_value (value));
        return i;
      }
  return -1;
}

/* Return the fault KIND if it is active at NOW_MS, else NULL.  */
struct wy_standin_fault *
wy_standin_faults_active (struct wy_standin_faults *f,
                          enum wy_standin_fault_kind kind, int64_t now_ms)
{
  struct wy_standin_fault *x = &f->fault[kind];

  if (x->on && x->until_ms && now_ms >= x->until_ms)
    clear_one (x);
  return x->on ? x : NULL;
}
