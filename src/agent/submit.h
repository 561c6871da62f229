/* Handles frames from entries about requests.  */
#ifndef WY_AGENT_SUBMIT_H
#define WY_AGENT_SUBMIT_H

#include "agent/state.h"

void wy_agent_submit (struct wy_link *l, const struct wy_frame_submit *s);
void wy_agent_resume (struct wy_link *l, const struct wy_frame_resume *f);
void wy_agent_cancel (struct wy_link *l, const struct wy_frame_resume *f);
void wy_agent_query (struct wy_link *l, const struct wy_frame_resume *f);

#endif
