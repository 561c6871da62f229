/* Organisations that callers belong to, and their access keys.

   Only the digests of keys are kept, so that a memory dump, log line or status
   page can't disclose a key.  */
#ifndef WY_ORGS_ORGS_H
#define WY_ORGS_ORGS_H

#include <stddef.h>
#include <stdint.h>

struct wy_org
{
  char *name;
  uint32_t priority; /* 0 is the highest; UINT32_MAX: not set */
};

struct wy_orgs;

struct wy_orgs *wy_orgs_new (void);
void wy_orgs_free (struct wy_orgs *o);
struct wy_org *wy_orgs_add (struct wy_orgs *o, const char *name);
void wy_orgs_add_key (struct wy_orgs *o, struct wy_org *org, const char *key);
const struct wy_org *wy_orgs_find_key (const struct wy_orgs *o,
                                       const char *key);
const struct wy_org *wy_orgs_find (const struct wy_orgs *o, const char *name);
size_t wy_orgs_count (const struct wy_orgs *o);
size_t wy_orgs_key_count (const struct wy_orgs *o);

#endif
