/* Decoders of messages of the platform, its replicas and trainers.  Any bytes
   must give a decoded value or an error.  The first byte selects the
   decoder.  */
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "duties/usage_counts.h"
#include "gate/sse.h"
#include "jobs/record.h"
#include "platform/config_wire.h"
#include "platform/duty_wire.h"
#include "platform/job_wire.h"
#include "platform/replica_wire.h"
#include "platform/request_wire.h"
#include "platform/store_wire.h"

enum
{
  DECODERS = 11
};

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
on_event (void *ctx, const struct wy_sse_event *ev)
{
  size_t *seen = ctx;

  *seen += ev->raw_n;
  if (strlen (ev->data) > ev->data_n)
    abort ();
}

static void
events (const char *p, size_t n)
{
  struct wy_sse_parser e;
  size_t seen = 0;

  wy_sse_init (&e);
  for (size_t at = 0; at < n; at += 7)
    wy_sse_feed (&e, p + at, MIN (7, n - at), on_event, &seen);
  if (seen + e.partial_event->len != n)
    abort ();
  wy_sse_clear (&e);
}

static void
store (enum wy_store_verb verb, const char *p, size_t n)
{
  struct wy_rows_result r = { 0 };
  struct wy_store_response *a = wy_store_decode_response (verb, 200, p, n, &r);

  for (size_t i = 0; i < r.n; i++)
    if (!r.rows[i].key || !r.rows[i].partition || !r.rows[i].value)
      abort ();
  wy_store_response_free (a);
}

static void
job (const char *p, size_t n)
{
  const char *why;
  struct wy_job_spec *s = wy_job_decode (p, n, &why);

  if (!s && !why)
    abort ();
  for (guint i = 0; s && i < s->items->len; i++)
    {
      const struct wy_item_spec *item = g_ptr_array_index (s->items, i);

      if (!*item->id || *item->path != '/')
        abort ();
      if (item->scorer
          && (!*item->scorer->id || !*item->scorer->host
              || *item->scorer->path != '/'
              || strpbrk (item->scorer->path, " \r\n")
              || strpbrk (item->scorer->host, " \r\n")))
        abort ();
    }
  wy_job_spec_free (s);
}

static void
record (const char *p, size_t n)
{
  struct wy_row row = {
    .partition = "j", .key = WY_JOB_ROW_KEY, .value = p, .size_bytes = n
  };

  wy_job_record_free (wy_job_record_decode (&row));
}

static void
call (const char *p, size_t n)
{
  char *target = g_strndup (p, n);
  struct wy_h1_head head;
  struct wy_job_call c;

  wy_h1_head_init (&head);
  wy_job_call_parse ("GET", target, &head, &c);
  if (c.kind != WY_JOB_CALL_NONE && !*c.name)
    abort ();
  wy_h1_head_clear (&head);
  g_free (target);
}

/* An access key must be a non-empty part of the header's value.  */
static void
credential (const char *p, size_t n)
{
  char *value = g_strndup (p, n);
  struct wy_h1_head head;
  struct wy_request_info info;

  wy_h1_head_init (&head);
  wy_h1_head_append_url (&head, "/", 1);
  wy_h1_head_append_name (&head, "Authorization", strlen ("Authorization"));
  wy_h1_head_append_value (&head, value, strlen (value));
  wy_request_parse_head (&head, &info);
  if ((info.credential == WY_CREDENTIAL_KEY) != (info.key != NULL)
      || (info.key && (!*info.key || !strstr (value, info.key))))
    abort ();
  wy_h1_head_clear (&head);
  g_free (value);
}

static void
usage (const char *p, size_t n)
{
  GHashTable *sum = wy_usage_counts_table_new ();

  wy_usage_counts_add (sum, p, n);
  g_free (wy_usage_report_body (1, sum));
  g_hash_table_destroy (sum);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  const char *p = (const char *)data + 1;
  struct wy_replica replica;
  struct wy_replica_report report;
  struct wy_requested_version version;
  const char *why;

  if (size == 0)
    return 0;
  size--;
  switch (data[0] % DECODERS)
    {
    case 0:
      wy_replica_decode ("i-1", p, size, &replica);
      break;
    case 1:
      wy_replica_report_decode (p, size, &report);
      break;
    case 2:
      wy_routing_free (wy_config_decode (p, size, &why));
      break;
    case 3:
      wy_requested_version_decode (p, size, &version);
      break;
    case 4:
      job (p, size);
      break;
    case 5:
      store (WY_STORE_GET, p, size);
      break;
    case 6:
      events (p, size);
      break;
    case 7:
      record (p, size);
      break;
    case 8:
      credential (p, size);
      break;
    case 9:
      usage (p, size);
      break;
    default:
      wy_result_free (wy_result_decode (p, size));
      call (p, size);
      break;
    }
  return 0;
}
