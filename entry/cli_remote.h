#pragma once

#include "gateway/unary.h"
#include "kernel/clock.h"

#include <cstdio>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace geraniumhinge::entry {

inline constexpr int EXIT_CODE_SUCCESS = 0;
inline constexpr int EXIT_CODE_FAILURE = 1;
inline constexpr int EXIT_CODE_USAGE = 2;

/// Streams that a command reads from and writes to.
struct CliStreams
{
  std::FILE* in = stdin;
  std::FILE* out = stdout;
  std::FILE* err = stderr;
};

/// A call to an entry.
struct RemoteCall
{
  std::string address; ///< host:port of an entry or of the balancer.
  std::string token;   ///< Bearer token, empty for none.
  std::string method;
  std::string body; ///< JSON.
  kernel::Milliseconds timeout{ 30'000 };
};

/// Why a call failed.
struct RemoteFailure
{
  std::string message;
  std::optional<v1::ErrorDetail> detail; ///< Set if an entry refused the call.
};

/// Makes one call, waits for the response and returns its JSON. If `err` is a
/// terminal, the elapsed time is shown there meanwhile.
tl::expected<std::string, RemoteFailure>
call_remote(const RemoteCall& call, std::FILE* err);

/// Writes a failure and the fields of its detail, one per line.
void
print_failure(const RemoteFailure& failure, std::FILE* err);

} // namespace geraniumhinge::entry
