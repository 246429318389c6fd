#pragma once

#include "kernel/clock.h"

#include <map>
#include <optional>
#include <string>

namespace geraniumhinge::tests {

struct HttpReply
{
  int status = 0;
  std::string body;
};

struct HttpCall
{
  std::string url;
  std::string body; ///< Without body and headers: a GET.
  std::map<std::string, std::string> headers;
  kernel::Milliseconds timeout{ 5'000 };
};

/// Makes one call on a new connection and waits for the response. Returns none
/// if no complete response arrives in time. Thread-safe.
std::optional<HttpReply>
call_http(const HttpCall& call);

} // namespace geraniumhinge::tests
