/* Choice of the targets an entry is connected to.  */
#ifndef WY_ENTRY_SUBSET_H
#define WY_ENTRY_SUBSET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct wy_subset_item
{
  const char *id;
  const char *availability_zone;
  bool chosen;     /* out */
  uint64_t weight; /* scratch */
};

void wy_subset_choose (const char *entry, struct wy_subset_item *items,
                       size_t n, size_t size);

#endif
