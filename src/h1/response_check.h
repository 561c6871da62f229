/* Check of the bytes of an HTTP/1.1 response (RFC 9112) before they are
   parsed: status line, field lines, framing of the body, chunks, trailers.
   Without input or output.

   The parser library takes blanks in field names, unknown transfer codings,
   any version and any status, and reads bodies of interim responses.  */
#ifndef WY_H1_RESPONSE_CHECK_H
#define WY_H1_RESPONSE_CHECK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum wy_h1_fault
{
  WY_H1_FAULT_NONE,
  WY_H1_FAULT_VERSION,       /* does not begin as HTTP/1.x */
  WY_H1_FAULT_STATUS,        /* not three digits from 100 to 599 */
  WY_H1_FAULT_REASON_PHRASE, /* control byte */
  WY_H1_FAULT_FIELD_NAME,    /* not a token followed by a colon */
  WY_H1_FAULT_FIELD_VALUE,   /* control byte */
  WY_H1_FAULT_LINE_END,      /* CR without LF */
  WY_H1_FAULT_LENGTH,   /* invalid, repeated, beside a coding, or with 204 */
  WY_H1_FAULT_CODING,   /* other than chunked, or in HTTP/1.0 */
  WY_H1_FAULT_INTERIM,  /* 101, or an interim response with a body */
  WY_H1_FAULT_CHUNK,    /* size, extension or end of a chunk */
  WY_H1_FAULT_SYNTAX,   /* any other, found by the parser */
  WY_H1_FAULT_TOO_LONG, /* over the limit of the head or the response */
  WY_H1_FAULTS
};

enum wy_h1_check_state
{
  WY_H1_CHECK_VERSION,
  WY_H1_CHECK_MINOR_VERSION,
  WY_H1_CHECK_STATUS,
  WY_H1_CHECK_STATUS_END,
  WY_H1_CHECK_REASON_PHRASE,
  WY_H1_CHECK_LINE_LF,
  WY_H1_CHECK_LINE_START, /* of a field line, or the end of the fields */
  WY_H1_CHECK_NAME,
  WY_H1_CHECK_VALUE,
  WY_H1_CHECK_FIELDS_LF,
  WY_H1_CHECK_CHUNK_SIZE,
  WY_H1_CHECK_CHUNK_EXTENSION,
  WY_H1_CHECK_CHUNK_SIZE_LF,
  WY_H1_CHECK_CHUNK_DATA,
  WY_H1_CHECK_CHUNK_CR,
  WY_H1_CHECK_CHUNK_LF,
  WY_H1_CHECK_REST /* bytes that are not checked */
};

enum
{
  WY_H1_CHECK_NAME_BYTES = 20,
  WY_H1_CHECK_VALUE_BYTES = 24
};

struct wy_h1_response_check
{
  enum wy_h1_check_state state;
  enum wy_h1_fault fault;
  bool to_head;    /* response to HEAD: no body */
  bool in_trailer; /* fields after the last chunk */
  bool has_field;  /* a field line that may be folded precedes */
  bool has_length;
  bool chunked;
  uint8_t n_read; /* bytes of the version, digits of the status or a size */
  uint8_t minor_version;
  uint16_t status;
  uint64_t length_bytes; /* of the body */
  uint64_t chunk_bytes;  /* size of the chunk, then what is left of it */
  /* The field at hand: its name in lower case, cut, and its value without
     blanks around it, kept for the fields that frame the body.  */
  char name[WY_H1_CHECK_NAME_BYTES];
  uint8_t name_n;
  char value[WY_H1_CHECK_VALUE_BYTES];
  uint8_t value_n;
  bool keeps_value;
  bool blank; /* blanks follow what was kept of the value */
};

void wy_h1_response_check_init (struct wy_h1_response_check *c, bool to_head);
size_t wy_h1_response_check_feed (struct wy_h1_response_check *c,
                                  const char *p, size_t n);
bool wy_h1_response_check_lacks_body (const struct wy_h1_response_check *c);
const char *wy_h1_fault_name (enum wy_h1_fault fault);

#endif
