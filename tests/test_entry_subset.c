/* Choice of the targets an entry is connected to, and parsing of a
   completion's events.  */
#include <criterion/criterion.h>
#include <string.h>

#include "entry/completion_text.h"
#include "entry/subset.h"

enum
{
  TARGETS = 120,
  ENTRIES = 40,
  SIZE = 12
};

static char ids[TARGETS][16];
static const char *const zones[] = { "a", "b", "c" };

static void
fill (struct wy_subset_item *items, size_t n)
{
  for (size_t i = 0; i < n; i++)
    {
      g_snprintf (ids[i], sizeof ids[i], "engine-%zu", i);
      items[i].id = ids[i];
      items[i].availability_zone = zones[i % G_N_ELEMENTS (zones)];
    }
}

static bool
chosen (const struct wy_subset_item *items, size_t n, const char *id)
{
  for (size_t i = 0; i < n; i++)
    if (!strcmp (items[i].id, id))
      return items[i].chosen;
  return false;
}

/* If all entries chose alike, a few targets would get all the work; if a zone
   were missing from a subset, the loss of the other zones would leave the
   entry without targets.  */
Test (entry_subset, even_load_and_all_zones)
{
  struct wy_subset_item items[TARGETS];
  uint32_t load[TARGETS] = { 0 };
  uint32_t most = 0;
  char name[16];

  for (int e = 0; e < ENTRIES; e++)
    {
      uint32_t n = 0;
      bool zone[3] = { false };

      fill (items, TARGETS);
      g_snprintf (name, sizeof name, "entry-%d", e);
      wy_subset_choose (name, items, TARGETS, SIZE);
      for (int i = 0; i < TARGETS; i++)
        if (items[i].chosen)
          {
            n++;
            zone[items[i].availability_zone[0] - 'a'] = true;
            load[atoi (items[i].id + strlen ("engine-"))]++;
          }
      cr_assert_eq (n, SIZE);
      cr_assert (zone[0] && zone[1] && zone[2]);
    }
  for (int i = 0; i < TARGETS; i++)
    most = load[i] > most ? load[i] : most;
  /* 4 on average */
  cr_assert_leq (most, 12);
}

/* A target is removed.  Entries that were not connected to it must not change
   their connections, and the others only that one.  */
Test (entry_subset, removed_target_changes_one_connection)
{
  struct wy_subset_item before[TARGETS];
  struct wy_subset_item after[TARGETS];
  uint32_t changed = 0;

  fill (before, TARGETS);
  fill (after, TARGETS - 1);
  wy_subset_choose ("entry-1", before, TARGETS, SIZE);
  wy_subset_choose ("entry-1", after, TARGETS - 1, SIZE);
  for (int i = 0; i < TARGETS - 1; i++)
    changed += chosen (before, TARGETS, ids[i])
               != chosen (after, TARGETS - 1, ids[i]);
  cr_assert_leq (changed, 2);
}

Test (entry_subset, more_zones_than_subset_size)
{
  struct wy_subset_item items[3];
  uint32_t n = 0;

  fill (items, 3);
  wy_subset_choose ("entry-1", items, 3, 1);
  for (int i = 0; i < 3; i++)
    n += items[i].chosen;
  cr_assert_eq (n, 3);
}

struct events
{
  const char *text;
  bool is_complete;
};

#define ONE "data: {\"run\":\"r\",\"i\":0,\"text\":\"a\",\"version\":1}\n\n"
#define TWO "data: {\"run\":\"r\",\"i\":1,\"text\":\"b\",\"version\":1}\n\n"
#define OTHER "data: {\"run\":\"s\",\"i\":1,\"text\":\"b\",\"version\":1}\n\n"
#define ESCAPED                                                               \
  "data: { \"text\": \"\\u0062\", \"i\":1, \"run\":\"r\",\"version\":1}\n\n"
#define DONE "data: {\"run\":\"r\",\"done\":true,\"finish\":\"stop\"}\n\n"

static const struct events events[] = {
  { ONE TWO DONE, true },
  { ONE TWO, false },
  { ONE OTHER DONE, false },
  { TWO ONE DONE, false },
  { ONE ONE DONE, false },
  { ONE DONE TWO, false },
  { "", false },
  { "data: {]\n\n" DONE, false },
  { ONE "data: 7\n\n" DONE, false },
  { ONE ESCAPED DONE, true },
  { ONE TWO DONE DONE, false },
  { ONE "data: {\"run\":\"r\",\"i\":1,\"text\":\"b\n\n" DONE, false },
};

/* Events of two runs, or with a token missing, duplicated or out of order,
   must never pass as a completion.  */
Test (entry_subset, only_complete_event_streams_pass)
{
  for (size_t i = 0; i < G_N_ELEMENTS (events); i++)
    {
      GString *in = g_string_new (events[i].text);
      GString *out = g_string_new (NULL);

      cr_assert_eq (wy_completion_text (in, out) == 0, events[i].is_complete,
                    "case %zu", i);
      if (events[i].is_complete)
        cr_assert_str_eq (out->str, "ab");
      g_string_free (in, TRUE);
      g_string_free (out, TRUE);
    }
}
