#pragma once

#include "kernel/event.h"

namespace geraniumhinge::gateway {

inline constexpr kernel::EventInfo REQUESTS_REFUSED{
  400,
  kernel::Severity::Warning,
  "requests_refused",
  "Clients exceed a limit of this process: connections were closed or requests "
  "refused. The fields give the limit and the number since the last line, at "
  "most one line for each limit in 10 s. No unfinished request was run.",
  "Check which clients send large, slow or very many requests, or don't read "
  "responses. If they are ordinary ones, raise the limit under /limits."
};

inline constexpr kernel::EventInfo GATEWAY_EVENTS[] = { REQUESTS_REFUSED };

} // namespace geraniumhinge::gateway
