/* The one target that may run a non-idempotent request.  */
#ifndef WY_CONFIG_HOME_H
#define WY_CONFIG_HOME_H

#include <stdint.h>

#include "config/document.h"

const char *wy_service_home (const struct wy_service_config *s, const char *id,
                             int64_t issued_ms);
const char *wy_service_previous_home (const struct wy_service_config *s,
                                      const char *id);

#endif
