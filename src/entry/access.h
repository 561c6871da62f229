/* Authorization by role.  */
#ifndef WY_ENTRY_ACCESS_H
#define WY_ENTRY_ACCESS_H

#include "entry/state.h"

enum wy_role
{
  WY_ROLE_CALLER,
  WY_ROLE_TRAINER,
  WY_ROLE_OPERATOR
};

bool wy_access_check_role (struct wy_entry *e, struct wy_http_exchange *ex,
                           enum wy_role role);

#endif
