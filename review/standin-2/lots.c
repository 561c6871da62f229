/* A trainer's calls on a batch job.

   Usage: lots submit RECORD PORT HOST PREFIX ID GROUPS SIZE
          lots read RECORD PORT HOST ID SECONDS
          lots end RECORD PORT HOST ID
   submit exits with 0 after a 202.  read reads the results from position 0 on,
   twice a second, until it has all or SECONDS are over, and exits with 0 if
   it has all, with 1 if not, and with 4 if it has all but a completed one does
   not name version 1 of the weights, and only that.  */
#include "common.h"

#include <glib.h>
#include <jansson.h>

static int
submit (char **a)
{
  int port = atoi (a[3]);
  int groups = atoi (a[7]);
  int size = atoi (a[8]);
  json_t *items = json_array ();
  char fields[512];
  char path[512];
  struct answer out;
  json_t *doc;
  char *text;

  for (int g = 0; g < groups; g++)
    for (int k = 0; k < size; k++)
      {
        char id[64];
        char group[64];

        g_snprintf (id, sizeof id, "%s-%d-%d", a[6], g, k);
        g_snprintf (group, sizeof group, "%s-%d", a[6], g);
        g_snprintf (path, sizeof path, "%sx/%s", a[5], id);
        json_array_append_new (
            items,
            json_pack ("{s:s, s:s, s:{s:s, s:s, s:s}, s:s, s:i, s:s}", "id",
                       id, "path", path, "headers", "Model", "m0",
                       "Token-Counts", "1016,200", "Prompt-Prefix", "9c2e41:1000,5d07b8:16", "body",
                       "q83vEjRWeJA=", "tokens", 1216, "group", group));
      }
  doc = json_pack ("{s:i, s:s, s:i, s:i, s:o}", "step", 0, "model", "m0",
                   "minimumVersion", 1, "desiredCount", groups * 9 / 10 + 1,
                   "items", items);
  text = json_dumps (doc, JSON_COMPACT);
  g_snprintf (fields, sizeof fields,
              "Host: %s\r\nAttempt-Id: %s\r\nContent-Type: application/json"
              "\r\n",
              a[4], a[6]);
  g_snprintf (path, sizeof path, "%s%s", a[5], a[6]);
  record ("trainer submits %s with %d items to port %d", a[6], groups * size,
          port);
  call (port, "POST", path, fields, text, strlen (text), 5000, &out);
  record ("trainer: %s was answered %d", a[6], out.status);
  return out.status == 202 ? 0 : 1;
}

static int
read_all (char **a)
{
  int port = atoi (a[3]);
  int64_t until = now_ms () + atoll (a[6]) * 1000;
  json_int_t at = 0;
  json_int_t total = -1;
  int completed = 0;
  int misnamed = 0;
  char fields[256];
  char target[256];

  g_snprintf (fields, sizeof fields,
              "Host: %s\r\nWait-Milliseconds: 1000\r\n", a[4]);
  while (now_ms () < until && at != total)
    {
      struct answer out;
      json_t *doc;
      json_t *r;
      size_t i;

      g_snprintf (target, sizeof target, "/api/lots/%s?after=%lld", a[5],
                  (long long)at);
      call (port, "GET", target, fields, "", 0, 2500, &out);
      doc = out.complete ? json_loadb (out.body, out.body_n, 0, NULL) : NULL;
      record ("reader of %s at port %d after=%lld: status=%d results=%zu "
              "next=%lld total=%lld",
              a[5], port, (long long)at, out.status,
              json_array_size (json_object_get (doc, "results")),
              (long long)json_integer_value (json_object_get (doc, "next")),
              (long long)json_integer_value (json_object_get (doc, "total")));
      if (out.status == 200 && doc)
        {
          json_array_foreach (json_object_get (doc, "results"), i, r)
          {
            const char *state
                = json_string_value (json_object_get (r, "state"));

            json_t *versions = json_object_get (r, "versions");
            char *names = json_dumps (versions, JSON_COMPACT);

            if (state && !strcmp (state, "completed")
                && strcmp (names ? names : "", "[1]") != 0)
              misnamed++;
            completed += state && !strcmp (state, "completed");
            record ("result %s state=%s bytes=%zu versions=%s",
                    json_string_value (json_object_get (r, "id")), state,
                    json_string_length (json_object_get (r, "text")),
                    names ? names : "");
            free (names);
          }
          at = json_integer_value (json_object_get (doc, "next"));
          total = json_integer_value (json_object_get (doc, "total"));
        }
      json_decref (doc);
      answer_free (&out);
      if (at != total)
        sleep_ms (500);
    }
  record ("reader of %s at port %d has %lld of %lld results, %d completed",
          a[5], port, (long long)at, (long long)total, completed);
  if (at != total)
    return 1;
  return misnamed ? 4 : 0;
}

static int
end_lot (char **a)
{
  char fields[256];
  char target[256];
  struct answer out;

  g_snprintf (fields, sizeof fields, "Host: %s\r\n", a[4]);
  g_snprintf (target, sizeof target, "/api/lots/%s", a[5]);
  call (atoi (a[3]), "DELETE", target, fields, "", 0, 5000, &out);
  record ("trainer ends %s: %d", a[5], out.status);
  return out.status == 200 ? 0 : 1;
}

int
main (int argc, char **argv)
{
  if (argc < 6)
    return 2;
  record_open (argv[2]);
  if (!strcmp (argv[1], "submit") && argc == 9)
    return submit (argv);
  if (!strcmp (argv[1], "read") && argc == 7)
    return read_all (argv);
  if (!strcmp (argv[1], "end") && argc == 6)
    return end_lot (argv);
  return 2;
}
