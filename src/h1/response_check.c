/* Check of the bytes of an HTTP/1.1 response before they are parsed.  */
#include "h1/response_check.h"

#include <string.h>

#include <glib.h>

#include "h1/head.h"

enum
{
  STATUS_DIGITS = 3,
  STATUS_MIN = 100,
  STATUS_SWITCHING_PROTOCOLS = 101,
  STATUS_FINAL_MIN = 200,
  STATUS_NO_CONTENT = 204,
  STATUS_NOT_MODIFIED = 304,
  STATUS_MAX = 599,
  DEL = 127,
  /* Of a length: more may not fit 63 bits.  */
  LENGTH_DIGITS_MAX = 18,
  /* Of the size of a chunk: the same.  */
  SIZE_DIGITS_MAX = 15
};

static const char version[] = "HTTP/1.";

static void
begin_response (struct wy_h1_response_check *c)
{
  bool to_head = c->to_head;

  memset (c, 0, sizeof *c);
  c->to_head = to_head;
}

/* Prepare C for a response.  TO_HEAD says whether the request was HEAD.  */
void
wy_h1_response_check_init (struct wy_h1_response_check *c, bool to_head)
{
  c->to_head = to_head;
  begin_response (c);
}

static bool
is_blank (unsigned char b)
{
  return b == ' ' || b == '\t';
}

/* Whether B may stand in a field value or reason phrase.  */
static bool
is_text_byte (unsigned char b)
{
  return b == '\t' || (b >= ' ' && b != DEL);
}

static enum wy_h1_fault
take_version (struct wy_h1_response_check *c, unsigned char b)
{
  /* Empty lines before a response are skipped.  */
  if (c->n_read == 0 && (b == '\r' || b == '\n'))
    return WY_H1_FAULT_NONE;
  if (b != (unsigned char)version[c->n_read])
    return WY_H1_FAULT_VERSION;
  if (++c->n_read == sizeof version - 1)
    c->state = WY_H1_CHECK_MINOR_VERSION;
  return WY_H1_FAULT_NONE;
}

static enum wy_h1_fault
take_minor_version (struct wy_h1_response_check *c, unsigned char b)
{
  bool has_digit = c->n_read == sizeof version;

  if (!has_digit && g_ascii_isdigit (b))
    {
      c->minor_version = (uint8_t)(b - '0');
      c->n_read++;
      return WY_H1_FAULT_NONE;
    }
  if (!has_digit || b != ' ')
    return WY_H1_FAULT_VERSION;
  c->n_read = 0;
  c->state = WY_H1_CHECK_STATUS;
  return WY_H1_FAULT_NONE;
}

static enum wy_h1_fault
take_status (struct wy_h1_response_check *c, unsigned char b)
{
  if (!g_ascii_isdigit (b))
    return WY_H1_FAULT_STATUS;
  c->status = (uint16_t)(c->status * 10 + (b - '0'));
  if (++c->n_read < STATUS_DIGITS)
    return WY_H1_FAULT_NONE;
  if (c->status < STATUS_MIN || c->status > STATUS_MAX)
    return WY_H1_FAULT_STATUS;
  if (c->status == STATUS_SWITCHING_PROTOCOLS)
    return WY_H1_FAULT_INTERIM;
  c->state = WY_H1_CHECK_STATUS_END;
  return WY_H1_FAULT_NONE;
}

/* The end of a status or field line, if B is one.  A single LF counts as one
   (RFC 9112, 2.2).  */
static bool
ends_line (struct wy_h1_response_check *c, unsigned char b)
{
  if (b == '\r')
    c->state = WY_H1_CHECK_LINE_LF;
  else if (b == '\n')
    c->state = WY_H1_CHECK_LINE_START;
  return b == '\r' || b == '\n';
}

static enum wy_h1_fault
take_status_end (struct wy_h1_response_check *c, unsigned char b)
{
  if (ends_line (c, b))
    return WY_H1_FAULT_NONE;
  if (b != ' ')
    return WY_H1_FAULT_STATUS;
  c->state = WY_H1_CHECK_REASON_PHRASE;
  return WY_H1_FAULT_NONE;
}

static enum wy_h1_fault
take_reason_phrase (struct wy_h1_response_check *c, unsigned char b)
{
  if (ends_line (c, b) || is_text_byte (b))
    return WY_H1_FAULT_NONE;
  return WY_H1_FAULT_REASON_PHRASE;
}

static bool
has_name (const struct wy_h1_response_check *c, const char *name)
{
  return c->name_n == strlen (name) && !memcmp (c->name, name, c->name_n);
}

static enum wy_h1_fault
end_length (struct wy_h1_response_check *c)
{
  if (c->has_length || c->chunked || c->value_n == 0
      || c->value_n > LENGTH_DIGITS_MAX)
    return WY_H1_FAULT_LENGTH;
  for (uint8_t i = 0; i < c->value_n; i++)
    {
      if (!g_ascii_isdigit (c->value[i]))
        return WY_H1_FAULT_LENGTH;
      c->length_bytes = c->length_bytes * 10 + (uint64_t)(c->value[i] - '0');
    }
  c->has_length = true;
  return WY_H1_FAULT_NONE;
}

static enum wy_h1_fault
end_coding (struct wy_h1_response_check *c)
{
  static const char chunked[] = "chunked";

  if (c->has_length)
    return WY_H1_FAULT_LENGTH;
  if (c->chunked || c->minor_version == 0 || c->value_n != strlen (chunked)
      || g_ascii_strncasecmp (c->value, chunked, c->value_n) != 0)
    return WY_H1_FAULT_CODING;
  c->chunked = true;
  return WY_H1_FAULT_NONE;
}

/* The last field line is complete: no folded line follows it.  */
static enum wy_h1_fault
end_field (struct wy_h1_response_check *c)
{
  bool framing = c->has_field && !c->in_trailer;

  c->has_field = false;
  if (framing && has_name (c, "content-length"))
    return end_length (c);
  if (framing && has_name (c, "transfer-encoding"))
    return end_coding (c);
  return WY_H1_FAULT_NONE;
}

static bool
announces_body (const struct wy_h1_response_check *c)
{
  return c->chunked || c->length_bytes;
}

/* All fields have been read: those of a head, or of the trailer.  */
static enum wy_h1_fault
end_fields (struct wy_h1_response_check *c)
{
  if (c->in_trailer)
    {
      c->state = WY_H1_CHECK_REST;
      return WY_H1_FAULT_NONE;
    }
  if (c->status < STATUS_FINAL_MIN && announces_body (c))
    return WY_H1_FAULT_INTERIM;
  if (c->status < STATUS_FINAL_MIN)
    {
      begin_response (c);
      return WY_H1_FAULT_NONE;
    }
  if (c->status == STATUS_NO_CONTENT && announces_body (c))
    return WY_H1_FAULT_LENGTH;
  c->n_read = 0;
  c->state = WY_H1_CHECK_REST;
  if (c->chunked && !wy_h1_response_check_lacks_body (c))
    c->state = WY_H1_CHECK_CHUNK_SIZE;
  return WY_H1_FAULT_NONE;
}

static enum wy_h1_fault
take_line_start (struct wy_h1_response_check *c, unsigned char b)
{
  enum wy_h1_fault fault;

  if (is_blank (b))
    {
      if (!c->has_field)
        return WY_H1_FAULT_FIELD_NAME;
      c->blank = true;
      c->state = WY_H1_CHECK_VALUE;
      return WY_H1_FAULT_NONE;
    }
  fault = end_field (c);
  if (fault)
    return fault;
  if (b == '\n')
    return end_fields (c);
  if (b == '\r')
    {
      c->state = WY_H1_CHECK_FIELDS_LF;
      return WY_H1_FAULT_NONE;
    }
  if (!wy_h1_is_token_byte (b))
    return WY_H1_FAULT_FIELD_NAME;
  c->name[0] = g_ascii_tolower ((char)b);
  c->name_n = 1;
  c->state = WY_H1_CHECK_NAME;
  return WY_H1_FAULT_NONE;
}

static enum wy_h1_fault
take_name (struct wy_h1_response_check *c, unsigned char b)
{
  if (b == ':')
    {
      c->has_field = true;
      c->keeps_value = has_name (c, "content-length")
                       || has_name (c, "transfer-encoding");
      c->value_n = 0;
      c->blank = false;
      c->state = WY_H1_CHECK_VALUE;
      return WY_H1_FAULT_NONE;
    }
  if (!wy_h1_is_token_byte (b))
    return WY_H1_FAULT_FIELD_NAME;
  if (c->name_n < WY_H1_CHECK_NAME_BYTES)
    c->name[c->name_n++] = g_ascii_tolower ((char)b);
  return WY_H1_FAULT_NONE;
}

static void
append_value (struct wy_h1_response_check *c, char b)
{
  if (c->value_n < WY_H1_CHECK_VALUE_BYTES)
    c->value[c->value_n++] = b;
}

static enum wy_h1_fault
take_value (struct wy_h1_response_check *c, unsigned char b)
{
  if (ends_line (c, b))
    return WY_H1_FAULT_NONE;
  if (!is_text_byte (b))
    return WY_H1_FAULT_FIELD_VALUE;
  if (!c->keeps_value)
    return WY_H1_FAULT_NONE;
  if (is_blank (b))
    {
      c->blank = true;
      return WY_H1_FAULT_NONE;
    }
  if (c->blank && c->value_n)
    append_value (c, ' ');
  c->blank = false;
  append_value (c, (char)b);
  return WY_H1_FAULT_NONE;
}

static enum wy_h1_fault
take_chunk_size (struct wy_h1_response_check *c, unsigned char b)
{
  int digit = g_ascii_xdigit_value ((char)b);

  if (digit >= 0)
    {
      if (++c->n_read > SIZE_DIGITS_MAX)
        return WY_H1_FAULT_CHUNK;
      c->chunk_bytes = c->chunk_bytes << 4 | (uint64_t)digit;
      return WY_H1_FAULT_NONE;
    }
  if (c->n_read == 0)
    return WY_H1_FAULT_CHUNK;
  if (b == '\r')
    c->state = WY_H1_CHECK_CHUNK_SIZE_LF;
  else if (b == ';' || is_blank (b))
    c->state = WY_H1_CHECK_CHUNK_EXTENSION;
  else
    return WY_H1_FAULT_CHUNK;
  return WY_H1_FAULT_NONE;
}

static enum wy_h1_fault
take_chunk_extension (struct wy_h1_response_check *c, unsigned char b)
{
  if (b == '\r')
    c->state = WY_H1_CHECK_CHUNK_SIZE_LF;
  else if (!is_text_byte (b))
    return WY_H1_FAULT_CHUNK;
  return WY_H1_FAULT_NONE;
}

static enum wy_h1_fault
end_chunk_size (struct wy_h1_response_check *c)
{
  c->state = WY_H1_CHECK_CHUNK_DATA;
  if (c->chunk_bytes)
    return WY_H1_FAULT_NONE;
  c->in_trailer = true;
  c->state = WY_H1_CHECK_LINE_START;
  return WY_H1_FAULT_NONE;
}

static enum wy_h1_fault
take_lf (struct wy_h1_response_check *c, unsigned char b)
{
  bool in_chunk = c->state == WY_H1_CHECK_CHUNK_SIZE_LF
                  || c->state == WY_H1_CHECK_CHUNK_LF;

  if (b != '\n')
    return in_chunk ? WY_H1_FAULT_CHUNK : WY_H1_FAULT_LINE_END;
  if (c->state == WY_H1_CHECK_FIELDS_LF)
    return end_fields (c);
  if (c->state == WY_H1_CHECK_CHUNK_SIZE_LF)
    return end_chunk_size (c);
  c->n_read = 0;
  c->state = in_chunk ? WY_H1_CHECK_CHUNK_SIZE : WY_H1_CHECK_LINE_START;
  return WY_H1_FAULT_NONE;
}

static enum wy_h1_fault
take (struct wy_h1_response_check *c, unsigned char b)
{
  switch (c->state)
    {
    case WY_H1_CHECK_VERSION:
      return take_version (c, b);
    case WY_H1_CHECK_MINOR_VERSION:
      return take_minor_version (c, b);
    case WY_H1_CHECK_STATUS:
      return take_status (c, b);
    case WY_H1_CHECK_STATUS_END:
      return take_status_end (c, b);
    case WY_H1_CHECK_REASON_PHRASE:
      return take_reason_phrase (c, b);
    case WY_H1_CHECK_LINE_START:
      return take_line_start (c, b);
    case WY_H1_CHECK_NAME:
      return take_name (c, b);
    case WY_H1_CHECK_VALUE:
      return take_value (c, b);
    case WY_H1_CHECK_LINE_LF:
    case WY_H1_CHECK_FIELDS_LF:
    case WY_H1_CHECK_CHUNK_SIZE_LF:
    case WY_H1_CHECK_CHUNK_LF:
      return take_lf (c, b);
    case WY_H1_CHECK_CHUNK_SIZE:
      return take_chunk_size (c, b);
    case WY_H1_CHECK_CHUNK_EXTENSION:
      return take_chunk_extension (c, b);
    case WY_H1_CHECK_CHUNK_CR:
      c->state = WY_H1_CHECK_CHUNK_LF;
      return b == '\r' ? WY_H1_FAULT_NONE : WY_H1_FAULT_CHUNK;
    case WY_H1_CHECK_CHUNK_DATA:
    case WY_H1_CHECK_REST:
      break;
    }
  return WY_H1_FAULT_NONE;
}

/* Pass over data of the chunk, of which at most N bytes are at hand.  Returns
   their number.  */
static size_t
skip_chunk_data (struct wy_h1_response_check *c, size_t n)
{
  size_t skipped = n < c->chunk_bytes ? n : (size_t)c->chunk_bytes;

  c->chunk_bytes -= skipped;
  if (c->chunk_bytes == 0)
    c->state = WY_H1_CHECK_CHUNK_CR;
  return skipped;
}

/* Whether the final response whose head was read has no body, whatever its
   fields say (RFC 9112, 6.3).  */
bool
wy_h1_response_check_lacks_body (const struct wy_h1_response_check *c)
{
  return c->to_head || c->status == STATUS_NO_CONTENT
         || c->status == STATUS_NOT_MODIFIED;
}

/* Check the next N bytes at P.  Returns how many of them precede the first
   fault, N if there is none; C's FAULT says which it is.  What follows a
   complete response is not checked.  */
size_t
wy_h1_response_check_feed (struct wy_h1_response_check *c, const char *p,
                           size_t n)
{
  size_t i = 0;

  while (i < n && !c->fault)
    {
      if (c->state == WY_H1_CHECK_REST)
        return n;
      if (c->state == WY_H1_CHECK_CHUNK_DATA)
        i += skip_chunk_data (c, n - i);
      else
        {
          c->fault = take (c, (unsigned char)p[i]);
          i += c->fault == WY_H1_FAULT_NONE;
        }
    }
  return i;
}

/* Name of FAULT in logs and metrics.  */
const char *
wy_h1_fault_name (enum wy_h1_fault fault)
{
  static const char *const names[WY_H1_FAULTS]
      = { [WY_H1_FAULT_NONE] = "none",
          [WY_H1_FAULT_VERSION] = "version",
          [WY_H1_FAULT_STATUS] = "status",
          [WY_H1_FAULT_REASON_PHRASE] = "reason_phrase",
          [WY_H1_FAULT_FIELD_NAME] = "field_name",
          [WY_H1_FAULT_FIELD_VALUE] = "field_value",
          [WY_H1_FAULT_LINE_END] = "line_end",
          [WY_H1_FAULT_LENGTH] = "length",
          [WY_H1_FAULT_CODING] = "coding",
          [WY_H1_FAULT_INTERIM] = "interim",
          [WY_H1_FAULT_CHUNK] = "chunk",
          [WY_H1_FAULT_SYNTAX] = "syntax",
          [WY_H1_FAULT_TOO_LONG] = "too_long" };

  return names[fault];
}
