/* Injected faults of a stand-in, set by POST /fault.  */
#ifndef WY_STANDIN_FAULTS_H
#define WY_STANDIN_FAULTS_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

enum wy_standin_fault_kind
{
  WY_FAULT_DOWN,
  WY_FAULT_SLOW,
  WY_FAULT_LOSE_RESPONSE,
  WY_FAULT_SILENT, /* affects only the calls open when it is set */
  WY_FAULT_CRASH_ON,
  WY_FAULT_FAIL_LOAD,
  WY_FAULT_RATE,
  WY_FAULT_KINDS
};

struct wy_standin_fault
{
  bool on;
  int64_t until_ms; /* monotonic; 0: until cleared */
  double value;
  char *text; /* value if it is a string, else NULL */
};

struct wy_standin_faults
{
  struct wy_standin_fault fault[WY_FAULT_KINDS];
};

int wy_standin_faults_set (struct wy_standin_faults *f, const json_t *doc,
                           int64_t now_ms);
void wy_standin_faults_clear (struct wy_standin_faults *f);
struct wy_standin_fault *
wy_standin_faults_active (struct wy_standin_faults *f,
                          enum wy_standin_fault_kind kind, int64_t now_ms);

#endif
