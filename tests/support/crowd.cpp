#include "tests/support/crowd.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace geraniumhinge::tests {

namespace {

constexpr std::size_t READ_BYTES = 64UL * 1'024;
/// Receive buffer of a connection that reads nothing. The rest of a response
/// stays in the server.
constexpr int UNREAD_BUFFER_BYTES = 4'096;

sockaddr_in
socket_address(const std::string& address)
{
  std::size_t colon = address.rfind(':');
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port =
    htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
  return result;
}

bool
is_pending(int error)
{
  return error == EAGAIN || error == EINPROGRESS || error == ENOTCONN;
}

int
unacknowledged_bytes(int fd)
{
  int bytes = 0;
  return ioctl(fd, SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

} // namespace

Crowd::Crowd(CrowdPlan plan)
  : plan(std::move(plan))
  , connections(this->plan.connections)
{
  for (Connection& connection : this->connections)
    this->open(connection);
}

Crowd::~Crowd()
{
  for (const Connection& connection : this->connections)
    close(connection.fd);
}

void
Crowd::open(Connection& connection) const
{
  connection.fd =
    socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (connection.fd < 0)
    throw std::runtime_error("no socket for a connection of the crowd");
  if (!this->plan.reads)
    setsockopt(connection.fd,
               SOL_SOCKET,
               SO_RCVBUF,
               &UNREAD_BUFFER_BYTES,
               sizeof UNREAD_BUFFER_BYTES);
  sockaddr_in address = socket_address(this->plan.address);
  if (connect(connection.fd,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0 &&
      errno != EINPROGRESS)
    connection.closed = true;
}

void
Crowd::advance()
{
  ++this->rounds_without_sent;
  bool sends = this->rounds++ % this->plan.rounds_per_piece == 0;
  for (Connection& connection : this->connections) {
    if (sends)
      this->send_piece(connection);
    if (this->plan.reads)
      this->read_responses(connection);
  }
}

void
Crowd::release()
{
  this->plan.send_bytes = this->plan.text.size();
}

void
Crowd::send_piece(Connection& connection)
{
  if (connection.closed || connection.sent >= this->plan.send_bytes)
    return;
  std::size_t size =
    std::min(this->plan.piece_bytes, this->plan.send_bytes - connection.sent);
  ssize_t sent = send(connection.fd,
                      this->plan.text.data() + connection.sent,
                      size,
                      MSG_NOSIGNAL);
  if (sent > 0) {
    connection.sent += static_cast<std::size_t>(sent);
    this->rounds_without_sent = 0;
  } else if (sent < 0 && !is_pending(errno)) {
    connection.closed = true;
  }
}

void
Crowd::read_responses(Connection& connection) const
{
  char buffer[READ_BYTES];
  ssize_t size = 1;
  while (!connection.closed && size > 0) {
    size = recv(connection.fd, buffer, sizeof buffer, 0);
    connection.answered = connection.answered || size > 0;
    connection.closed = size == 0 || (size < 0 && !is_pending(errno));
  }
}

bool
Crowd::has_sent() const
{
  return std::all_of(this->connections.begin(),
                     this->connections.end(),
                     [this](const Connection& connection) {
                       return connection.closed ||
                              (connection.sent >= this->plan.send_bytes &&
                               unacknowledged_bytes(connection.fd) == 0);
                     });
}

bool
Crowd::is_answered() const
{
  return std::all_of(this->connections.begin(),
                     this->connections.end(),
                     [](const Connection& connection) {
                       return connection.closed || connection.answered;
                     });
}

} // namespace geraniumhinge::tests
