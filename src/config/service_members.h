/* Changes of the members of services.  Inside the package only.  */
#ifndef WY_CONFIG_SERVICE_MEMBERS_H
#define WY_CONFIG_SERVICE_MEMBERS_H

#include "config/apply.h"

int wy_roster_settle (const struct wy_config_service_options *o,
                      const struct wy_document *before,
                      struct wy_document *after, GString *why);

#endif
