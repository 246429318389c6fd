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
  std::string body; ///< A GET if there is none.
  std::map<std::string, std::string> headers;
  kernel::Milliseconds timeout{ 5'000 };
};

/// Makes one call on a connection of its own and waits for the answer; none if
/// there was no whole answer in time. May be called from any thread.
std::optional<HttpReply>
call_http(const HttpCall& call);

} // namespace geraniumhinge::tests
