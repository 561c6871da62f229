/* Head of an HTTP/1.1 message: the request target, if any, and the header
   fields.  */
#ifndef WY_H1_HEAD_H
#define WY_H1_HEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

struct wy_h1_header
{
  const char *name;
  const char *value;
};

/* All strings are in TEXT, each with its NUL; FIELDS holds their offsets, so
   that a head needs two allocations for any number of fields.  */
struct wy_h1_head
{
  GString *text;
  GArray *fields; /* struct wy_h1_field */
  bool in_value;
  bool has_url;
};

struct wy_h1_field
{
  uint32_t name;
  uint32_t value;
};

void wy_h1_head_init (struct wy_h1_head *h);
void wy_h1_head_reset (struct wy_h1_head *h);
void wy_h1_head_clear (struct wy_h1_head *h);
void wy_h1_head_append_url (struct wy_h1_head *h, const char *p, size_t n);
void wy_h1_head_append_name (struct wy_h1_head *h, const char *p, size_t n);
void wy_h1_head_append_value (struct wy_h1_head *h, const char *p, size_t n);
const char *wy_h1_head_target (const struct wy_h1_head *h);
const char *wy_h1_head_get (const struct wy_h1_head *h, const char *name);
size_t wy_h1_head_count (const struct wy_h1_head *h);
struct wy_h1_header wy_h1_head_at (const struct wy_h1_head *h, size_t i);
size_t wy_h1_head_size_bytes (const struct wy_h1_head *h);
size_t wy_h1_head_held_bytes (const struct wy_h1_head *h);
void wy_h1_head_trim (struct wy_h1_head *h);

bool wy_h1_is_token_byte (unsigned char b);
bool wy_h1_head_has_valid_names (const struct wy_h1_head *h);
bool wy_h1_is_hop_by_hop (const char *name);
void wy_h1_write_fields (GString *out, const struct wy_h1_header *p, size_t n);

#endif
