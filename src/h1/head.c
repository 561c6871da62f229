/* Head of an HTTP/1.1 message.  */
#include "h1/head.h"

#include <string.h>
#include <strings.h>

enum
{
  /* Heads of ordinary requests are shorter.  */
  KEPT_BYTES = 2048
};

/* Prepare H for its first message.  */
void
wy_h1_head_init (struct wy_h1_head *h)
{
  h->text = g_string_new (NULL);
  h->fields = g_array_new (FALSE, FALSE, sizeof (struct wy_h1_field));
  h->in_value = false;
  h->has_url = false;
}

/* Remove the message but keep the memory for the next.  */
void
wy_h1_head_reset (struct wy_h1_head *h)
{
  g_string_truncate (h->text, 0);
  g_array_set_size (h->fields, 0);
  h->in_value = false;
  h->has_url = false;
}

/* Free the memory of H if its last message was large, which is then no longer
   known.  */
void
wy_h1_head_trim (struct wy_h1_head *h)
{
  if (wy_h1_head_held_bytes (h) <= KEPT_BYTES)
    return;
  wy_h1_head_clear (h);
  wy_h1_head_init (h);
}

/* Memory that H occupies.  The array of fields grows by doubling.  */
size_t
wy_h1_head_held_bytes (const struct wy_h1_head *h)
{
  return h->text->allocated_len
         + (size_t)h->fields->len * 2 * sizeof (struct wy_h1_field);
}

/* Free what H holds.  */
void
wy_h1_head_clear (struct wy_h1_head *h)
{
  g_string_free (h->text, TRUE);
  g_array_free (h->fields, TRUE);
}

/* Append a piece of the request target.  */
void
wy_h1_head_append_url (struct wy_h1_head *h, const char *p, size_t n)
{
  g_string_append_len (h->text, p, (gssize)n);
  h->has_url = true;
}

static struct wy_h1_field *
last_field (struct wy_h1_head *h)
{
  return &g_array_index (h->fields, struct wy_h1_field, h->fields->len - 1);
}

/* Append a piece of a field's name; the first piece after a value starts a new
   field.  */
void
wy_h1_head_append_name (struct wy_h1_head *h, const char *p, size_t n)
{
  if (h->in_value || h->fields->len == 0)
    {
      struct wy_h1_field f;

      /* Terminates the previous string.  */
      g_string_append_c (h->text, '\0');
      f.name = (uint32_t)h->text->len;
      f.value = 0;
      g_array_append_val (h->fields, f);
      h->in_value = false;
    }
  g_string_append_len (h->text, p, (gssize)n);
}

/* Append a piece of a field's value.  */
void
wy_h1_head_append_value (struct wy_h1_head *h, const char *p, size_t n)
{
  if (!h->in_value)
    {
      g_string_append_c (h->text, '\0');
      last_field (h)->value = (uint32_t)h->text->len;
      h->in_value = true;
    }
  g_string_append_len (h->text, p, (gssize)n);
}

/* The request target: path and query.  */
const char *
wy_h1_head_target (const struct wy_h1_head *h)
{
  return h->has_url ? h->text->str : "";
}

/* Number of fields.  */
size_t
wy_h1_head_count (const struct wy_h1_head *h)
{
  return h->fields->len;
}

/* The field I; valid until the head is reset.  */
struct wy_h1_header
wy_h1_head_at (const struct wy_h1_head *h, size_t i)
{
  const struct wy_h1_field *f
      = &g_array_index (h->fields, struct wy_h1_field, i);
  struct wy_h1_header p
      = { h->text->str + f->name, f->value ? h->text->str + f->value : "" };

  return p;
}

/* The value of the first field NAME, which is case-insensitive; NULL if there
   is none.  */
const char *
wy_h1_head_get (const struct wy_h1_head *h, const char *name)
{
  for (size_t i = 0; i < h->fields->len; i++)
    {
      struct wy_h1_header p = wy_h1_head_at (h, i);

      if (!strcasecmp (p.name, name))
        return p.value;
    }
  return NULL;
}

/* Bytes of all strings of the head.  */
size_t
wy_h1_head_size_bytes (const struct wy_h1_head *h)
{
  return h->text->len;
}

/* Whether B may stand in a token (RFC 9110, 5.6.2).  */
bool
wy_h1_is_token_byte (unsigned char b)
{
  return g_ascii_isalnum (b) || (b && strchr ("!#$%&'*+-.^_`|~", b));
}

/* Whether the names of all fields are tokens.  The parser library also takes
   blanks in them.  */
bool
wy_h1_head_has_valid_names (const struct wy_h1_head *h)
{
  for (size_t i = 0; i < h->fields->len; i++)
    for (const char *p = wy_h1_head_at (h, i).name; *p; p++)
      if (!wy_h1_is_token_byte ((unsigned char)*p))
        return false;
  return true;
}

/* Whether the field NAME is hop-by-hop (RFC 9110, 7.6.1) or frames the body,
   so that it must not be forwarded.  */
bool
wy_h1_is_hop_by_hop (const char *name)
{
  static const char *const names[] = { "connection",
                                       "keep-alive",
                                       "proxy-connection",
                                       "transfer-encoding",
                                       "te",
                                       "trailer",
                                       "upgrade",
                                       "content-length",
                                       "expect",
                                       "proxy-authorization",
                                       "proxy-authenticate" };

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (!strcasecmp (name, names[i]))
      return true;
  return false;
}

/* Append the N fields at P to OUT.  */
void
wy_h1_write_fields (GString *out, const struct wy_h1_header *p, size_t n)
{
  for (size_t i = 0; i < n; i++)
    {
      g_string_append (out, p[i].name);
      g_string_append_len (out, ": ", 2);
      g_string_append (out, p[i].value);
      g_string_append_len (out, "\r\n", 2);
    }
}
