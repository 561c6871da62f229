/* Settings files with placeholders that are filled in at deployment.  */
#ifndef WY_CONFIG_TEMPLATE_H
#define WY_CONFIG_TEMPLATE_H

#include "config/settings.h"

char *wy_template_fill_samples (const char *path, const char *text,
                                const struct wy_setting *table, size_t n,
                                GString *errors);

#endif
