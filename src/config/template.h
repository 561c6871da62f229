/* Settings with places for values that are filled in when they are deployed.
 */
#ifndef WY_CONFIG_TEMPLATE_H
#define WY_CONFIG_TEMPLATE_H

#include "config/settings.h"

char *wy_template_fill_samples (const char *path, const char *text,
                                const struct wy_setting *table, size_t n,
                                GString *errors);

#endif
