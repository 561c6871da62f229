/* Mutual authentication with a shared key.

   The dialer sends HELLO with a new nonce; the listener replies with
   CHALLENGE, which contains its own nonce and a MAC; the dialer authenticates
   with PROOF; WELCOME completes the handshake.  A MAC covers both nonces, both
   processes with their incarnations and availability zones, the protocol
   version and the role of its sender.  So a recorded handshake can't be
   replayed, a MAC can't be reflected to its sender, and a MAC made for one
   process isn't valid for another.  The frames that follow are neither
   encrypted nor signed: the network between the instances is trusted not to
   alter them.  */
#include <string.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include "inner/conn_state.h"

/* Roles of the sender of a MAC.  */
static const char role_listener[] = "listener";
static const char role_dialer[] = "dialer";

/* Identity of one end of the connection.  */
struct endpoint
{
  struct wy_bytes process;
  struct wy_bytes incarnation;
  struct wy_bytes availability_zone;
  const uint8_t *nonce;
};

static void
add (GByteArray *text, const void *p, uint32_t n)
{
  uint32_t length = GUINT32_TO_BE (n);

  g_byte_array_append (text, (const guint8 *)&length, sizeof length);
  g_byte_array_append (text, p, n);
}

static void
add_endpoint (GByteArray *text, const struct endpoint *p)
{
  add (text, p->process.p, p->process.n);
  add (text, p->incarnation.p, p->incarnation.n);
  add (text, p->availability_zone.p, p->availability_zone.n);
  add (text, p->nonce, WY_NONCE_SIZE_BYTES);
}

/* Compute the MAC of ROLE with SECRET.  Each field is preceded by its length,
   so that different fields never yield the same text.  */
static void
make_mac (const char *secret, const char *role, const struct endpoint *dialer,
          const struct endpoint *listener, uint8_t out[WY_MAC_SIZE_BYTES])
{
  GByteArray *text = g_byte_array_new ();
  uint32_t protocol = GUINT32_TO_BE (WY_INNER_PROTOCOL);
  unsigned int n = WY_MAC_SIZE_BYTES;

  add (text, role, (uint32_t)strlen (role));
  add (text, &protocol, sizeof protocol);
  add_endpoint (text, dialer);
  add_endpoint (text, listener);
  if (!HMAC (EVP_sha256 (), secret, (int)strlen (secret), text->data,
             text->len, out, &n))
    g_error ("HMAC failed");
  g_byte_array_unref (text);
}

static struct endpoint
own_endpoint (const struct wy_conn *c)
{
  struct endpoint p
      = { wy_bytes_of (c->identity->process),
          wy_bytes_of (c->identity->incarnation),
          wy_bytes_of (c->identity->availability_zone), c->nonce };

  return p;
}

static struct endpoint
peer_endpoint (const struct wy_conn *c)
{
  struct endpoint p = { wy_bytes_of (c->process), wy_bytes_of (c->incarnation),
                        wy_bytes_of (c->availability_zone), c->peer_nonce };

  return p;
}

static void
mac_of (const struct wy_conn *c, const char *secret, const char *role,
        uint8_t out[WY_MAC_SIZE_BYTES])
{
  struct endpoint own = own_endpoint (c);
  struct endpoint peer = peer_endpoint (c);
  bool dialer = c->listener == NULL;

  make_mac (secret, role, dialer ? &own : &peer, dialer ? &peer : &own, out);
}

static const char *
secret_of (const struct wy_inner_identity *identity, uint32_t number)
{
  for (size_t i = 0; i < identity->n_keys; i++)
    if (identity->keys[i].number == number)
      return identity->keys[i].secret;
  return NULL;
}

/* Check the MAC in P, sent by the peer in ROLE.  */
static int
check (const struct wy_conn *c, const struct wy_frame_proof *p,
       const char *role)
{
  uint8_t mac[WY_MAC_SIZE_BYTES];
  const char *secret = secret_of (c->identity, p->key_number);

  if (!secret || p->mac.n != sizeof mac)
    return WY_INNER_EAUTH;
  mac_of (c, secret, role, mac);
  return CRYPTO_memcmp (mac, p->mac.p, sizeof mac) ? WY_INNER_EAUTH : 0;
}

static void
send_proof (struct wy_conn *c, enum wy_frame_kind kind, const char *role)
{
  uint8_t mac[WY_MAC_SIZE_BYTES];
  const struct wy_inner_identity *id = c->identity;
  struct wy_frame f = { .kind = kind };

  mac_of (c, id->keys[0].secret, role, mac);
  f.u.proof.key_number = id->keys[0].number;
  f.u.proof.nonce = (struct wy_bytes){ (char *)c->nonce, sizeof c->nonce };
  f.u.proof.mac = (struct wy_bytes){ (char *)mac, sizeof mac };
  f.u.proof.process = wy_bytes_of (id->process);
  f.u.proof.incarnation = wy_bytes_of (id->incarnation);
  f.u.proof.availability_zone = wy_bytes_of (id->availability_zone);
  wy_conn_enqueue (c, &f);
}

static int
set_peer (struct wy_conn *c, struct wy_bytes process,
          struct wy_bytes incarnation, struct wy_bytes availability_zone,
          struct wy_bytes nonce)
{
  if (nonce.n != sizeof c->peer_nonce || process.n == 0 || incarnation.n == 0)
    return WY_INNER_EMALFORMED;
  c->process = wy_bytes_dup (process);
  c->incarnation = wy_bytes_dup (incarnation);
  c->availability_zone = wy_bytes_dup (availability_zone);
  memcpy (c->peer_nonce, nonce.p, sizeof c->peer_nonce);
  return 0;
}

static void
make_nonce (struct wy_conn *c)
{
  if (RAND_bytes (c->nonce, sizeof c->nonce) != 1)
    g_error ("RAND_bytes failed");
}

/* Start the handshake as the dialer.  */
void
wy_handshake_hello (struct wy_conn *c)
{
  const struct wy_inner_identity *id = c->identity;
  struct wy_frame f = { .kind = WY_FRAME_HELLO };

  make_nonce (c);
  f.u.hello.process = wy_bytes_of (id->process);
  f.u.hello.incarnation = wy_bytes_of (id->incarnation);
  f.u.hello.availability_zone = wy_bytes_of (id->availability_zone);
  f.u.hello.nonce = (struct wy_bytes){ (char *)c->nonce, sizeof c->nonce };
  f.u.hello.protocol = WY_INNER_PROTOCOL;
  c->state = WY_CONN_CHALLENGE;
  wy_conn_enqueue (c, &f);
}

static int
on_hello (struct wy_conn *c, const struct wy_frame_hello *h)
{
  int err;

  if (h->protocol != WY_INNER_PROTOCOL)
    return WY_INNER_EPROTOCOL;
  err = set_peer (c, h->process, h->incarnation, h->availability_zone,
                  h->nonce);
  if (err)
    return err;
  make_nonce (c);
  c->state = WY_CONN_PROOF;
  send_proof (c, WY_FRAME_CHALLENGE, role_listener);
  return 0;
}

static int
on_challenge (struct wy_conn *c, const struct wy_frame_proof *p)
{
  int err = set_peer (c, p->process, p->incarnation, p->availability_zone,
                      p->nonce);

  if (!err)
    err = check (c, p, role_listener);
  if (err)
    return err;
  c->state = WY_CONN_WELCOME;
  send_proof (c, WY_FRAME_PROOF, role_dialer);
  return 0;
}

static int
on_proof (struct wy_conn *c, const struct wy_frame_proof *p)
{
  const struct wy_inner_identity *id = c->identity;
  struct wy_frame f = { .kind = WY_FRAME_WELCOME };
  int err = check (c, p, role_dialer);

  if (err)
    return err;
  f.u.hello.process = wy_bytes_of (id->process);
  f.u.hello.incarnation = wy_bytes_of (id->incarnation);
  f.u.hello.availability_zone = wy_bytes_of (id->availability_zone);
  f.u.hello.protocol = WY_INNER_PROTOCOL;
  wy_conn_enqueue (c, &f);
  wy_listener_conn_authenticated (c);
  wy_conn_become_ready (c);
  return 0;
}

/* Handle the next frame of the handshake.  Returns 0 or the error to close the
   connection with.  */
int
wy_handshake_frame (struct wy_conn *c, const struct wy_frame *f)
{
  if (c->state == WY_CONN_HELLO && f->kind == WY_FRAME_HELLO)
    return on_hello (c, &f->u.hello);
  if (c->state == WY_CONN_CHALLENGE && f->kind == WY_FRAME_CHALLENGE)
    return on_challenge (c, &f->u.proof);
  if (c->state == WY_CONN_PROOF && f->kind == WY_FRAME_PROOF)
    return on_proof (c, &f->u.proof);
  if (c->state == WY_CONN_WELCOME && f->kind == WY_FRAME_WELCOME)
    {
      wy_conn_become_ready (c);
      return 0;
    }
  return WY_INNER_EAUTH;
}
