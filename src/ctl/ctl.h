/* Commands of wyctl.  */
#ifndef WY_CTL_CTL_H
#define WY_CTL_CTL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <glib.h>
#include <jansson.h>

enum wy_ctl_exit
{
  WY_CTL_OK = 0,
  WY_CTL_FAILED = 1,      /* rejected, or an invariant violated */
  WY_CTL_USAGE = 2,       /* invalid command line, settings or input */
  WY_CTL_UNREACHABLE = 3, /* no entry responded */
  WY_CTL_CONFLICT = 4     /* the state changed since the plan */
};

struct wy_ctl
{
  GPtrArray *entries; /* "host:port", in the order of attempts */
  char *token;
  int64_t timeout_ms;
  bool json;
  bool undo;
  bool follow;
  char *digest; /* of the plan to apply, or NULL */
  char *chrome; /* file to write, or NULL */
};

struct wy_ctl_response
{
  int status; /* 0: no entry responded */
  json_t *json;
  char *text;
};

void wy_ctl_call (const struct wy_ctl *ctl, const char *method,
                  const char *path, const char *body,
                  struct wy_ctl_response *out);
void wy_ctl_response_clear (struct wy_ctl_response *r);
int wy_ctl_print_response (const struct wy_ctl *ctl,
                           struct wy_ctl_response *r);
void wy_ctl_print (FILE *f, const json_t *o);

int wy_ctl_status (const struct wy_ctl *ctl, char **args, int n);
int wy_ctl_watch (const struct wy_ctl *ctl, char **args, int n);
int wy_ctl_config (const struct wy_ctl *ctl, char **args, int n);
int wy_ctl_plan (const struct wy_ctl *ctl, char **args, int n);
int wy_ctl_apply (const struct wy_ctl *ctl, char **args, int n);
int wy_ctl_drain (const struct wy_ctl *ctl, char **args, int n);
int wy_ctl_blocks (const struct wy_ctl *ctl, char **args, int n);
int wy_ctl_unblock (const struct wy_ctl *ctl, char **args, int n);
int wy_ctl_events (const struct wy_ctl *ctl, char **args, int n);
int wy_ctl_check (const struct wy_ctl *ctl, char **args, int n);
int wy_ctl_explain (const struct wy_ctl *ctl, char **args, int n);
int wy_ctl_main (int argc, char **argv);

#endif
