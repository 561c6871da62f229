/* Organisations that callers belong to, and their access keys.

   Keys are held as digests alone, so that no dump of this process's memory,
   log line or status page can show one.  */
#ifndef WY_ORGS_ORGS_H
#define WY_ORGS_ORGS_H

#include <stddef.h>
#include <stdint.h>

struct wy_org
{
  char *name;
  uint32_t priority; /* 0 is the highest; UINT32_MAX: none of its own */
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
