/* The kinds of stand-in that wystandin can run.  */
#ifndef WY_STANDIN_KINDS_H
#define WY_STANDIN_KINDS_H

#include "standin/standin.h"

extern const struct wy_standin_kind wy_standin_engine;
extern const struct wy_standin_kind wy_standin_service;
extern const struct wy_standin_kind wy_standin_table;
extern const struct wy_standin_kind wy_standin_weights;
extern const struct wy_standin_kind wy_standin_scoring;
extern const struct wy_standin_kind wy_standin_list;
extern const struct wy_standin_kind wy_standin_trainer;
extern const struct wy_standin_kind wy_standin_callers;
extern const struct wy_standin_kind wy_standin_platform;
extern const struct wy_standin_kind wy_standin_proxy;
extern const struct wy_standin_kind wy_standin_crowd;
extern const struct wy_standin_kind wy_standin_keepers;

#endif
