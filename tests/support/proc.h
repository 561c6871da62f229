/* Programs started by tests, and blocking HTTP calls to them.  */
#ifndef WY_TESTS_PROC_H
#define WY_TESTS_PROC_H

#include <stdint.h>
#include <sys/types.h>

#include <glib.h>
#include <jansson.h>

#include "http/client.h"

struct wy_proc
{
  pid_t pid;
  char *dir; /* holds its files; removed by wy_proc_wait */
  char *ports_file;
  char *timeline;
};

void wy_end_with_parent (gpointer data);
int wy_proc_start (struct wy_proc *p, const char *program, const char *kind,
                   const char *settings);
uint16_t wy_proc_port (const struct wy_proc *p, const char *name);
void wy_proc_kill (const struct wy_proc *p, int signum);
int wy_proc_wait (struct wy_proc *p);
json_t *wy_proc_events (const struct wy_proc *p, const char *event);

char *wy_fetch_text (uint16_t port, const char *method, const char *path,
                     const char *body,
                     const struct wy_http_header_field *headers, int *status);
json_t *wy_fetch_json (uint16_t port, const char *method, const char *path,
                       const char *json,
                       const struct wy_http_header_field *headers,
                       int *status);
char *wy_fetch_bytes (uint16_t port, const char *path, size_t *n, int *status);
void wy_sleep_ms (uint32_t ms);

#endif
