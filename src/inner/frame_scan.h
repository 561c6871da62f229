/* Validates the structure of a frame before it is unpacked.  */
#ifndef WY_INNER_FRAME_SCAN_H
#define WY_INNER_FRAME_SCAN_H

#include <stdbool.h>
#include <stddef.h>

bool wy_frame_scan (const char *p, size_t n);

#endif
