/* Assignment of monitors on a ring of members.

   If every member read the heartbeats of all others, the number of rows read
   would grow with the square of the number of members.  On a ring each member
   reads those of a fixed number of successors and is read by as many
   predecessors, so that a failure is detected even if some of these fail at
   the same time.  When many members fail at once, as with an availability
   zone, all predecessors of a failed member may have failed as well; so a
   member extends its range beyond successors that are late.  */
#include "decide/ring.h"

enum
{
  EXTRA_PER_LATE = 4
};

static size_t
first_after (const uint64_t *positions, size_t n, uint64_t own)
{
  size_t low = 0;
  size_t high = n;

  while (low < high)
    {
      size_t mid = low + (high - low) / 2;

      if (positions[mid] <= own)
        low = mid + 1;
      else
        high = mid;
    }
  return low;
}

/* Write the indices of the members that follow position OWN to OUT, MAX at
   most, nearest first.  POSITIONS has N sorted elements; OWN may be among them
   and is skipped.  Returns the number of indices written.  */
size_t
wy_ring_successors (const uint64_t *positions, size_t n, uint64_t own,
                    size_t max, size_t *out)
{
  size_t at = first_after (positions, n, own);
  size_t count = 0;

  for (size_t i = 0; i < n && count < max; i++)
    {
      size_t k = (at + i) % n;

      if (positions[k] != own)
        out[count++] = k;
    }
  return count;
}

/* The number of successors to monitor, nearest first: TIMELY, and
   EXTRA_PER_LATE for each monitored one that is late.  LIVENESS has N
   elements.  */
size_t
wy_ring_monitored (const struct wy_liveness *liveness, size_t n, size_t timely)
{
  size_t i;

  for (i = 0; i < n && i < timely; i++)
    if (wy_liveness_is_late (&liveness[i]))
      timely += EXTRA_PER_LATE;
  return i;
}

/* Write the indices of those of the N other members, nearest first, to which a
   member sends what all are to hear to OUT, at most MAX: all of them if these
   are no more, else those at the distances 1, 2, 4, ...  If each member passes
   on what is new to it, all hear it in log2 N steps.  Returns the number of
   indices written.  */
size_t
wy_ring_fan_out (size_t n, size_t max, size_t *out)
{
  size_t count = 0;

  for (size_t i = 0; i < n && count < max; i = n <= max ? i + 1 : 2 * i + 1)
    out[count++] = i;
  return count;
}
