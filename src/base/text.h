/* Bytes from outside that are to be kept as text.  */
#ifndef WY_BASE_TEXT_H
#define WY_BASE_TEXT_H

#include <stdbool.h>
#include <stddef.h>

/* Reason for rejecting what is no text, in logs, metrics and responses.  */
#define WY_REASON_NOT_TEXT "not_text"

bool wy_text_is_valid (const char *p, size_t n);

#endif
