/* Runs on a model engine.  */
#ifndef WY_AGENT_RUN_MODEL_H
#define WY_AGENT_RUN_MODEL_H

#include "agent/state.h"

bool wy_agent_model_check (const struct wy_frame_submit *s);
void wy_agent_model_start (struct wy_run *r);
void wy_agent_model_pause (struct wy_run *r);
void wy_agent_model_resume (struct wy_run *r);
void wy_agent_model_cancel (struct wy_run *r);
void wy_agent_model_export (struct wy_run *r);
void wy_agent_model_import (struct wy_run *r);
void wy_agent_model_crashed (struct wy_run *r);

#endif
