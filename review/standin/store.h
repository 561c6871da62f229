/* The platform's store of rows and objects, sound and without delays.  */
#ifndef REVIEW_STORE_H
#define REVIEW_STORE_H

#include <stdint.h>

uint16_t store_start (void);
void store_put (const char *table, const char *key, const char *text);

#endif
