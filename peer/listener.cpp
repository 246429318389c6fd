#include "peer/listener.h"

#include "peer/close_socket.h"

#include <nng/protocol/pipeline0/pull.h>
#include <utility>

namespace geraniumhinge::peer {

namespace {

constexpr std::size_t MAX_WAITING_MESSAGES = 1'024;
constexpr std::size_t MAX_WAITING_BYTES = 8UL * 1'024 * 1'024;
// Inline payloads are at most 64 KiB, but whole outputs of tasks may be larger.
constexpr std::size_t MAX_MESSAGE_BYTES = 8UL * 1'024 * 1'024;
// Enough for the address to be free again.
constexpr std::chrono::milliseconds MAX_CLOSE_WAIT{ 100 };

} // namespace

Listener::Listener(std::function<void()> ready)
  : ready(std::move(ready))
{
}

Listener::~Listener()
{
  if (this->aio == nullptr)
    return;
  nng_aio_stop(this->aio);
  nng_aio_free(this->aio);
  close_socket(this->socket, MAX_CLOSE_WAIT);
}

bool
Listener::listen(const std::string& address)
{
  if (nng_pull0_open(&this->socket) != 0)
    return false;
  nng_socket_set_size(this->socket, NNG_OPT_RECVMAXSZ, MAX_MESSAGE_BYTES);
  std::string url = "tcp://" + address;
  if (nng_listen(this->socket, url.c_str(), nullptr, 0) != 0 ||
      nng_aio_alloc(&this->aio, &Listener::received, this) != 0) {
    nng_close(this->socket);
    return false;
  }
  nng_recv_aio(this->socket, this->aio);
  return true;
}

void
Listener::received(void* listener)
{
  Listener* self = static_cast<Listener*>(listener);
  int result = nng_aio_result(self->aio);
  if (result == NNG_ECLOSED || result == NNG_ECANCELED)
    return;
  if (result == 0)
    self->store(nng_aio_get_msg(self->aio));
  std::lock_guard<std::mutex> lock(self->mutex);
  self->paused = self->messages.size() >= MAX_WAITING_MESSAGES ||
                 self->waiting_bytes >= MAX_WAITING_BYTES;
  if (!self->paused)
    nng_recv_aio(self->socket, self->aio);
}

void
Listener::store(nng_msg* message)
{
  std::string bytes(static_cast<const char*>(nng_msg_body(message)),
                    nng_msg_len(message));
  nng_msg_free(message);
  bool first = false;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    first = this->messages.empty();
    this->waiting_bytes += bytes.size();
    this->messages.push_back(std::move(bytes));
  }
  if (first)
    this->ready();
}

std::vector<std::string>
Listener::take_messages()
{
  std::lock_guard<std::mutex> lock(this->mutex);
  if (std::exchange(this->paused, false))
    nng_recv_aio(this->socket, this->aio);
  this->waiting_bytes = 0;
  return std::exchange(this->messages, {});
}

} // namespace geraniumhinge::peer
