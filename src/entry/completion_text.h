/* Request bodies of completions and parsing of their event streams.  */
#ifndef WY_ENTRY_COMPLETION_TEXT_H
#define WY_ENTRY_COMPLETION_TEXT_H

#include <stdint.h>

#include <glib.h>

struct wy_completion_params
{
  const char *model;
  const char *prompt;
  uint32_t max_tokens;
  int64_t min_version; /* 0: any */
};

void wy_completion_body (const struct wy_completion_params *c, const char *id,
                         GString *out);
int wy_completion_text (const GString *events, GString *out);
uint64_t wy_completion_prefix (const char *prompt);

#endif
