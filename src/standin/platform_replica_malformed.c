/* Stand-in of a replica: responses with a malformed head.  */
#include <string.h>

#include <glib.h>

#include "standin/platform_replica_state.h"

/* Respond to Q, whose id is ID, with a head that no client may accept; each
   time with another one.  Everything else is as in a sound response.  */
void
wy_platform_replica_respond_malformed (struct wy_platform_replica *r,
                                       struct wy_h1_request *q, const char *id)
{
  static const char body[] = "id: 1\ndata: spoilt\n\n";
  static const struct
  {
    int status;
    struct wy_h1_header field;
  } heads[] = {
    { 0, { "X", "y" } },   { 200, { "X Y", "z" } },
    { 199, { "X", "y" } }, { 200, { "X\001Y", "z" } },
    { 99, { "X", "y" } },  { 200, { " X", "y" } },
    { 100, { "X", "y" } }, { 200, { "X ", "y" } },
    { 600, { "X", "y" } }, { 200, { "Content-Length ", "1" } },
    { 999, { "X", "y" } }, { 200, { "Content-Length", "1" } },
    { 101, { "X", "y" } }, { 200, { "Transfer-Encoding", "spam" } },
  };
  size_t k = r->malformed_responses++ % G_N_ELEMENTS (heads);
  struct wy_h1_header fields[] = { heads[k].field,
                                   { "Attempt-Id", id ? id : "" },
                                   { "Response-Stamp", "spoilt" },
                                   { "Content-Type", "text/event-stream" } };

  wy_h1_respond (q, heads[k].status, fields, G_N_ELEMENTS (fields), body,
                 strlen (body));
}
