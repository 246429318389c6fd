#include "peer/connection.h"

#include "peer/close_socket.h"

#include <nng/protocol/pipeline0/push.h>
#include <utility>

namespace geraniumhinge::peer {

namespace {

// A restarted peer is reconnected within half a second.
constexpr nng_duration RECONNECT_MIN_MS = 50;
constexpr nng_duration RECONNECT_MAX_MS = 500;
constexpr std::chrono::milliseconds NO_WAIT{ 0 };

} // namespace

Connection::Connection(const std::string& address, SendDone done)
  : done(std::move(done))
{
  if (nng_push0_open(&this->socket) != 0)
    return;
  nng_socket_set_ms(this->socket, NNG_OPT_RECONNMINT, RECONNECT_MIN_MS);
  nng_socket_set_ms(this->socket, NNG_OPT_RECONNMAXT, RECONNECT_MAX_MS);
  std::string url = "tcp://" + address;
  if (nng_dial(this->socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK) != 0)
    return;
  this->opened = nng_aio_alloc(&this->aio, &Connection::completed, this) == 0;
}

Connection::~Connection()
{
  if (this->aio != nullptr) {
    this->cancel_send();
    nng_aio_free(this->aio);
  }
  close_socket(this->socket, NO_WAIT);
}

void
Connection::completed(void* connection)
{
  Connection* self = static_cast<Connection*>(connection);
  self->done(self->send_sequence, nng_aio_result(self->aio) == 0);
}

void
Connection::send(const std::string& bytes)
{
  nng_msg* message = nullptr;
  if (nng_msg_alloc(&message, bytes.size()) != 0)
    return;
  std::copy(
    bytes.begin(), bytes.end(), static_cast<char*>(nng_msg_body(message)));
  this->sending = true;
  this->send_sequence++;
  nng_aio_set_msg(this->aio, message);
  nng_send_aio(this->socket, this->aio);
}

bool
Connection::cancel_send()
{
  if (!this->sending)
    return true;
  this->sending = false;
  nng_aio_cancel(this->aio);
  nng_aio_wait(this->aio);
  if (nng_aio_result(this->aio) == 0)
    return false;
  // After a failed send, nng leaves the message to the caller to free.
  nng_msg_free(nng_aio_get_msg(this->aio));
  nng_aio_set_msg(this->aio, nullptr);
  return true;
}

} // namespace geraniumhinge::peer
