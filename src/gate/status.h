/* Status of an entry, for operators.  */
#ifndef WY_GATE_STATUS_H
#define WY_GATE_STATUS_H

#include "gate/gate_state.h"

char *wy_gate_status (const struct wy_gate *g);

#endif
