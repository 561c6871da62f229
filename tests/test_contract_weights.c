/* Tests of the weight store stand-in's API.  */
#include <criterion/criterion.h>
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "http/error.h"
#include "support/proc.h"

static struct wy_proc weights;
static uint16_t port;

static void
start (void)
{
  int status;

  cr_assert_eq (wy_proc_start (&weights, "wystandin", "weights",
                               "name: weights-1\nrate_bytes_per_s: 1000000"),
                0);
  port = wy_proc_port (&weights, "http");
  g_free (wy_fetch_text (port, "POST", "/weights/m/7",
                         "{\"size_bytes\":3000000}", NULL, &status));
  cr_assert_eq (status, 200);
}

static void
stop (void)
{
  wy_proc_kill (&weights, SIGTERM);
  cr_assert_eq (wy_proc_wait (&weights), 0);
}

TestSuite (contract_weights, .init = start, .fini = stop);

struct fetch
{
  const char *path;
  int status;
  size_t size_bytes;
};

Test (contract_weights, reads)
{
  static const struct fetch cases[] = {
    { "/weights/m/7?offset=0&size=1000", 200, 1000 },
    { "/weights/m/7?offset=2999990&size=1000", 200, 10 },
    { "/weights/m/7?offset=3000000&size=10", 200, 0 },
    { "/weights/m/7?offset=3000001&size=10", 400, 2 },
    { "/weights/m/8/size", 404, strlen ("{\"error\":\"no version\"}") },
    { "/weights/m/7/size", 200, strlen ("{\"size_bytes\":3000000}") },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      int status;
      size_t n;
      char *text = wy_fetch_bytes (port, cases[i].path, &n, &status);

      cr_expect_eq (status, cases[i].status, "%s: %d", cases[i].path, status);
      cr_expect_eq (n, cases[i].size_bytes, "%s: %zu", cases[i].path, n);
      g_free (text);
    }
}

/* Many engines stage a version at once and exceed the store's rate limit.
   Reads above the limit get 429 and succeed once the limit is lifted.  */
Test (contract_weights, rate_limit)
{
  const char *path = "/weights/m/7?offset=0&size=900000";
  int status;
  size_t n;

  g_free (wy_fetch_text (port, "POST", "/fault",
                         "{\"fault\":\"rate\",\"value\":1000}", NULL,
                         &status));
  g_free (wy_fetch_bytes (port, path, &n, &status));
  cr_expect_eq (status, 200);
  g_free (wy_fetch_bytes (port, path, &n, &status));
  cr_expect_eq (status, 429);
  g_free (wy_fetch_text (port, "POST", "/fault", "{\"fault\":\"none\"}", NULL,
                         &status));
  g_free (wy_fetch_bytes (port, path, &n, &status));
  cr_expect_eq (status, 200);
  cr_expect_eq (n, 900000U);
}

/* The store is down or breaks connections: every read must fail with an error.
 */
Test (contract_weights, faults)
{
  static const struct
  {
    const char *fault;
    int status;
  } cases[] = {
    { "{\"fault\":\"down\"}", 503 },
    { "{\"fault\":\"down\",\"value\":\"refuse\"}", WY_HTTP_EINCOMPLETE },
    { "{\"fault\":\"lose_answer\",\"value\":1}", WY_HTTP_EINCOMPLETE },
    { "{\"fault\":\"none\"}", 200 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      int status;

      g_free (wy_fetch_text (port, "POST", "/fault", "{\"fault\":\"none\"}",
                             NULL, &status));
      g_free (wy_fetch_text (port, "POST", "/fault", cases[i].fault, NULL,
                             &status));
      g_free (wy_fetch_text (port, "GET", "/weights/m/7/size", NULL, NULL,
                             &status));
      cr_expect_eq (status, cases[i].status, "%s: %d", cases[i].fault, status);
    }
}
