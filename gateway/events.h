#pragma once

#include "kernel/event.h"

namespace geraniumhinge::gateway {

inline constexpr kernel::EventInfo LISTEN_FAILED{
  400,
  kernel::Severity::Error,
  "listen_failed",
  "The HTTP address can't be listened on.",
  "Check that the address is one of this VM and that its port is free."
};
inline constexpr kernel::EventInfo HTTP_DRAINED{
  401,
  kernel::Severity::Info,
  "http_drained",
  "Every HTTP request in flight was answered after the listener closed.",
  "None."
};

inline constexpr kernel::EventInfo GATEWAY_EVENTS[] = {
  LISTEN_FAILED,
  HTTP_DRAINED,
};

} // namespace geraniumhinge::gateway
