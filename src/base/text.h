/* Bytes from outside that are to be kept as text.  */
#ifndef WY_BASE_TEXT_H
#define WY_BASE_TEXT_H

#include <stdbool.h>
#include <stddef.h>

bool wy_text_is_valid (const char *p, size_t n);

#endif
