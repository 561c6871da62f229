/* The result of an item, as stored.  */
#ifndef WY_JOBS_RESULT_H
#define WY_JOBS_RESULT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

enum wy_result_error
{
  WY_RESULT_ENOTEXT = -1201 /* a part can't be a JSON string */
};

struct wy_result
{
  char *item;
  bool given_up;
  GString *text;
  char *score;      /* stamp of the response that scored the text; NULL:
                       none */
  GArray *versions; /* int64_t, of the weights that generated the text, by
                       first use */
};

struct wy_result *wy_result_new (const char *item);
void wy_result_free (struct wy_result *r);
void wy_result_add_version (struct wy_result *r, int64_t version);
int wy_result_encode (const struct wy_result *r, char **out);
struct wy_result *wy_result_decode (const void *p, size_t n);

#endif
