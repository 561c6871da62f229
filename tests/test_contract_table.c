/* Tests of the API of the table service and object store stand-in.  */
#include <criterion/criterion.h>
#include <glib.h>
#include <signal.h>

#include "http/error.h"
#include "support/proc.h"

static struct wy_proc table;
static uint16_t port;

static void
start (void)
{
  cr_assert_eq (wy_proc_start (&table, "wystandin", "table", "name: table-1"),
                0);
  port = wy_proc_port (&table, "http");
}

static void
stop (void)
{
  wy_proc_kill (&table, SIGTERM);
  cr_assert_eq (wy_proc_wait (&table), 0);
}

TestSuite (contract_table, .init = start, .fini = stop);

/* Send BODY to PATH and check the status and, unless RESPONSE is NULL, the
   body of the response.  */
static void
expect (const char *path, const char *body, int status, const char *response)
{
  int got;
  char *text = wy_fetch_text (port, "POST", path, body, NULL, &got);

  cr_expect_eq (got, status, "%s %s: status %d", path, body, got);
  if (response)
    cr_expect_str_eq (text, response, "%s %s", path, body);
  g_free (text);
}

struct step
{
  const char *path;
  const char *body;
  int status;
  const char *response;
};

Test (contract_table, transactions_and_reads)
{
  static const struct step steps[] = {
    { "/txn",
      "{\"conditions\":[{\"key\":\"a\",\"rev\":0}],"
      "\"writes\":[{\"key\":\"a\",\"value\":1},{\"key\":\"b\",\"value\":2}]}",
      200, "{\"ok\":true,\"rev\":1}" },
    { "/txn",
      "{\"conditions\":[{\"key\":\"b\",\"rev\":1},{\"key\":\"a\",\"rev\":0}],"
      "\"writes\":[{\"key\":\"b\",\"value\":9}]}",
      409,
      "{\"ok\":false,\"failed\":[{\"key\":\"a\",\"rev\":1,\"value\":1}]}" },
    { "/read", "{\"keys\":[\"b\",\"none\"]}", 200,
      "{\"rev\":1,\"rows\":[{\"key\":\"b\",\"rev\":1,\"value\":2}]}" },
    { "/txn",
      "{\"conditions\":[{\"key\":\"a\",\"rev\":1}],"
      "\"writes\":[{\"key\":\"a\",\"value\":null}]}",
      200, "{\"ok\":true,\"rev\":2}" },
    { "/read", "{\"prefix\":\"\"}", 200,
      "{\"rev\":2,\"rows\":[{\"key\":\"b\",\"rev\":1,\"value\":2}]}" },
    { "/txn", "{\"conditions\":[{\"key\":\"a\",\"rev\":0}],\"writes\":[]}",
      200, "{\"ok\":true,\"rev\":3}" },
  };

  for (size_t i = 0; i < sizeof steps / sizeof *steps; i++)
    expect (steps[i].path, steps[i].body, steps[i].status, steps[i].response);
}

Test (contract_table, objects)
{
  int status;
  char *text
      = wy_fetch_text (port, "GET", "/objects/x/y", NULL, NULL, &status);

  cr_assert_eq (status, 404);
  g_free (text);
  g_free (wy_fetch_text (port, "PUT", "/objects/x/y", "abc", NULL, &status));
  cr_assert_eq (status, 200);
  text = wy_fetch_text (port, "GET", "/objects/x/y", NULL, NULL, &status);
  cr_assert_str_eq (text, "abc");
  g_free (text);
}

struct fault_case
{
  const char *fault;
  int status;  /* of a transaction under the fault */
  int written; /* rows that a read finds afterwards */
};

/* The store is down, limits the rate, or performs a transaction and loses the
   connection.  The caller gets an error each time; only a read shows whether
   the row was written.  */
Test (contract_table, faults)
{
  static const struct fault_case cases[] = {
    { "{\"fault\":\"down\"}", 503, 0 },
    { "{\"fault\":\"down\",\"value\":\"refuse\"}", WY_HTTP_EINCOMPLETE, 0 },
    { "{\"fault\":\"lose_answer\",\"value\":1}", WY_HTTP_EINCOMPLETE, 1 },
    { "{\"fault\":\"rate\",\"value\":0.001}", 429, 0 },
    { "{\"fault\":\"slow\",\"value\":50}", 200, 1 },
    { "{\"fault\":\"none\"}", 200, 1 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      int status;
      json_t *read;

      expect ("/fault", cases[i].fault, 200, "{}");
      /* The first call uses up the burst that the rate limit allows.  */
      if (cases[i].status == 429)
        expect ("/txn", "{\"writes\":[]}", 200, NULL);
      expect ("/txn", "{\"writes\":[{\"key\":\"k\",\"value\":1}]}",
              cases[i].status, NULL);
      expect ("/fault", "{\"fault\":\"none\"}", 200, "{}");
      read = wy_fetch_json (port, "POST", "/read", "{\"keys\":[\"k\"]}", NULL,
                            &status);
      cr_expect_eq (json_array_size (json_object_get (read, "rows")),
                    (size_t)cases[i].written, "%s", cases[i].fault);
      json_decref (read);
      expect ("/txn", "{\"writes\":[{\"key\":\"k\",\"value\":null}]}", 200,
              NULL);
    }
}
