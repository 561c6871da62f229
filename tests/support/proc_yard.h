/* A small yard of real programs: table, list, three engines, three services,
   their agents, two entries.  */
#ifndef WY_TESTS_PROC_YARD_H
#define WY_TESTS_PROC_YARD_H

#include <stdbool.h>

#include <glib.h>

#include "proc.h"

#define YARD_TARGETS 3
#define YARD_ENTRIES 2

enum yard_program
{
  YARD_TABLE,
  YARD_LIST,
  YARD_ENGINE,                               /* three of them */
  YARD_SERVICE = YARD_ENGINE + YARD_TARGETS, /* three */
  YARD_MODEL_AGENT = YARD_SERVICE + YARD_TARGETS,
  YARD_SERVICE_AGENT = YARD_MODEL_AGENT + YARD_TARGETS,
  YARD_ENTRY = YARD_SERVICE_AGENT + YARD_TARGETS,
  YARD_PROGRAMS = YARD_ENTRY + YARD_ENTRIES
};

struct proc_yard
{
  struct wy_proc proc[YARD_PROGRAMS];
  bool running[YARD_PROGRAMS];
  uint16_t table;
  uint16_t list;
  uint16_t entry[YARD_ENTRIES];
  char *dir; /* of the timelines, kept until the check */
  uint32_t lives;
  GString *driver; /* its own timeline */
  uint32_t driver_seq;
};

void proc_yard_start (struct proc_yard *y);
/* Start entry I, again if it was killed.  */
void proc_yard_start_entry (struct proc_yard *y, uint32_t i);
void proc_yard_restart_agent (struct proc_yard *y, int i);
void proc_yard_ready (struct proc_yard *y, uint32_t i);
void proc_yard_kill (struct proc_yard *y, int program);
void proc_yard_fault (const struct proc_yard *y, int program,
                      const char *fault);
/* End all programs and prove the promises from their timelines.  */
void proc_yard_end (struct proc_yard *y);
char *proc_yard_call (const struct proc_yard *y, uint32_t entry,
                      const char *path, const char *body,
                      const struct wy_http_header_field *headers, int *status);
size_t proc_yard_count (const struct proc_yard *y, int program,
                        const char *event);

#endif
