/* Ports for programs that a test starts.  */
#ifndef WY_TESTS_PORTS_H
#define WY_TESTS_PORTS_H

#include <stdint.h>

uint16_t wy_test_port (void);

#endif
