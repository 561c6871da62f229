/* Changes of the members of services.  Private to src/config.  */
#ifndef WY_CONFIG_SERVICE_MEMBERS_H
#define WY_CONFIG_SERVICE_MEMBERS_H

#include "config/apply.h"

int wy_service_members_schedule (const struct wy_config_service_options *o,
                                 const struct wy_document *before,
                                 struct wy_document *after, GString *why);

#endif
