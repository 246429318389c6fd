#pragma once

#include <chrono>
#include <nng/nng.h>

namespace geraniumhinge::peer {

/// Closes a socket on a thread of its own, and waits at most `max_wait` until
/// it is closed. `nng_close` may block forever if messages are arriving.
void
close_socket(nng_socket socket, std::chrono::milliseconds max_wait);

} // namespace geraniumhinge::peer
