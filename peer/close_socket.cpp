#include "peer/close_socket.h"

#include <future>
#include <system_error>
#include <thread>
#include <utility>

namespace geraniumhinge::peer {

void
close_socket(nng_socket socket, std::chrono::milliseconds max_wait)
{
  std::packaged_task<void()> task([socket] { nng_close(socket); });
  std::future<void> closed = task.get_future();
  try {
    std::thread(std::move(task)).detach();
  } catch (const std::system_error&) {
    // No thread could be started.
    nng_close(socket);
    return;
  }
  closed.wait_for(max_wait);
}

} // namespace geraniumhinge::peer
