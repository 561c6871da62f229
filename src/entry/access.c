/* Authorization by role: caller routes need no token, trainer and operator
   routes need a bearer token.  The operator token also grants the trainer
   role.  */
#include "entry/access.h"

#include <string.h>

#include <openssl/crypto.h>

#include "entry/problem.h"

#define SCHEME "Bearer "

/* Constant-time comparison, so that response times do not reveal how much of a
   guessed token is right.  */
static bool
token_matches (const char *given, const char *token)
{
  size_t n = strlen (token);

  return n > 0 && strlen (given) == n && !CRYPTO_memcmp (given, token, n);
}

static bool
token_grants (const struct wy_entry *e, const char *given, enum wy_role role)
{
  if (token_matches (given, e->s->operator_token))
    return true;
  return role == WY_ROLE_TRAINER && token_matches (given, e->s->trainer_token);
}

/* Whether the request of EX may use a route of ROLE.  Otherwise responds to EX
   with 401 or 403 and returns false.  */
bool
wy_access_check_role (struct wy_entry *e, struct wy_http_exchange *ex,
                      enum wy_role role)
{
  struct wy_problem no_token = { .reason = WY_REASON_NO_TOKEN };
  struct wy_problem forbidden = { .reason = WY_REASON_FORBIDDEN };
  const char *header;

  if (role == WY_ROLE_CALLER)
    return true;
  header = wy_http_header (ex, "authorization");
  if (!header || g_ascii_strncasecmp (header, SCHEME, strlen (SCHEME)))
    {
      wy_problem_send (ex, &no_token);
      return false;
    }
  if (token_grants (e, header + strlen (SCHEME), role))
    return true;
  wy_problem_send (ex, &forbidden);
  return false;
}
