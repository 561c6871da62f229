/* Small helpers of the review's stand-ins: time, records, HTTP/1.1 on blocking
   sockets, one thread a connection.  */
#ifndef REVIEW_BASE_H
#define REVIEW_BASE_H

#include <netinet/in.h>
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  FIELDS_MAX = 64,
  BUFFER_BYTES = 65536
};

struct field
{
  char *name;
  char *value;
};

/* A connection and the bytes read from it that are not used yet.  */
struct conn
{
  int fd;
  char *data;
  size_t n;
  size_t size;
  char *extra; /* an answer that a faulty replica still has to send */
  size_t extra_n;
};

/* A message: a request, or an answer.  */
struct message
{
  char line[3][1024]; /* method, target, version; or version, status, reason */
  struct field fields[FIELDS_MAX];
  size_t n_fields;
  char *body;
  size_t body_n;
};

int64_t now_ms (void);
void sleep_ms (int64_t ms);
void record_open (const char *path);
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
void quit (int code, const char *why);

void conn_init (struct conn *c, int fd);
void conn_clear (struct conn *c);
bool conn_write (struct conn *c, const void *p, size_t n);
bool conn_line (struct conn *c, char *out, size_t size);
bool conn_bytes (struct conn *c, char *out, size_t n);
bool conn_is_closed (const struct conn *c);
int connect_to (uint16_t port, int timeout_ms);

bool message_read_head (struct conn *c, struct message *m);
bool message_read_body (struct conn *c, struct message *m, bool is_answer);
const char *message_field (const struct message *m, const char *name);
void message_clear (struct message *m);
bool answer (struct conn *c, int status, const char *fields, const void *body,
             size_t n);

/* Listen on a loopback port chosen by the kernel; SERVE gets each connection
   in a thread of its own.  */
uint16_t serve (void (*fn) (void *ctx, struct conn *c), void *ctx);
/* Bind a loopback port without listening, so that nobody else gets it.  */
uint16_t reserve_port (void);
void start_thread (void *(*fn) (void *), void *arg);

#endif
