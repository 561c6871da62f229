/* Descriptors of the process.  */
#ifndef WY_BASE_DESCRIPTORS_H
#define WY_BASE_DESCRIPTORS_H

#include <stdint.h>

uint32_t wy_descriptor_limit (uint64_t wanted);

#endif
