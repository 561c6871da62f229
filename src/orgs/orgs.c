/* Organisations, found by access key or name.  */
#include "orgs/orgs.h"

#include <string.h>

#include <glib.h>

enum
{
  DIGEST_BYTES = 32
};

struct wy_orgs
{
  GPtrArray *list; /* struct wy_org */
  GHashTable *by_name;
  GHashTable *by_key; /* digest -> struct wy_org */
};

struct digest
{
  guint8 bytes[DIGEST_BYTES];
};

static void
free_org (gpointer p)
{
  struct wy_org *o = p;

  g_free (o->name);
  g_free (o);
}

/* A digest is uniformly distributed, so its first bytes serve as hash.  */
static guint
digest_hash (gconstpointer p)
{
  guint h;

  memcpy (&h, p, sizeof h);
  return h;
}

static gboolean
digest_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof (struct digest)) == 0;
}

static void
digest_of (const char *key, struct digest *out)
{
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  gsize n = sizeof out->bytes;

  g_checksum_update (sum, (const guchar *)key, (gssize)strlen (key));
  g_checksum_get_digest (sum, out->bytes, &n);
  g_checksum_free (sum);
}

/* Create an empty set of organisations.  */
struct wy_orgs *
wy_orgs_new (void)
{
  struct wy_orgs *o = g_new0 (struct wy_orgs, 1);

  o->list = g_ptr_array_new_with_free_func (free_org);
  o->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  o->by_key = g_hash_table_new_full (digest_hash, digest_equal, g_free, NULL);
  return o;
}

/* Free O, which may be NULL.  */
void
wy_orgs_free (struct wy_orgs *o)
{
  if (!o)
    return;
  g_hash_table_destroy (o->by_key);
  g_hash_table_destroy (o->by_name);
  g_ptr_array_free (o->list, TRUE);
  g_free (o);
}

/* Add the organisation NAME, which has no keys yet.  */
struct wy_org *
wy_orgs_add (struct wy_orgs *o, const char *name)
{
  struct wy_org *org = g_new0 (struct wy_org, 1);

  org->name = g_strdup (name);
  org->priority = UINT32_MAX;
  g_ptr_array_add (o->list, org);
  g_hash_table_insert (o->by_name, org->name, org);
  return org;
}

/* Add the access KEY for ORG, which belongs to O.  */
void
wy_orgs_add_key (struct wy_orgs *o, struct wy_org *org, const char *key)
{
  struct digest *d = g_new (struct digest, 1);

  digest_of (key, d);
  g_hash_table_replace (o->by_key, d, org);
}

/* The organisation that KEY acts for; NULL: none.  */
const struct wy_org *
wy_orgs_find_key (const struct wy_orgs *o, const char *key)
{
  struct digest d;

  digest_of (key, &d);
  return g_hash_table_lookup (o->by_key, &d);
}

/* The organisation NAME; NULL: none.  */
const struct wy_org *
wy_orgs_find (const struct wy_orgs *o, const char *name)
{
  return g_hash_table_lookup (o->by_name, name);
}

/* Number of organisations in O.  */
size_t
wy_orgs_count (const struct wy_orgs *o)
{
  return o->list->len;
}

/* Number of keys in O.  */
size_t
wy_orgs_key_count (const struct wy_orgs *o)
{
  return g_hash_table_size (o->by_key);
}
