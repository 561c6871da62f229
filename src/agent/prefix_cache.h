/* Prompt prefixes in the engine's cache.  */
#ifndef WY_AGENT_PREFIX_CACHE_H
#define WY_AGENT_PREFIX_CACHE_H

#include "agent/state.h"

void wy_agent_prefix_cache_poll (struct wy_agent *a);

#endif
