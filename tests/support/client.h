#pragma once

#include "gateway/unary_error.h"
#include "tests/support/http.h"

#include "geraniumhinge/v1/scheduler.pb.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace geraniumhinge::tests {

/// Error of a call: an error response, or no complete response
/// (`answered` is false).
struct Failure
{
  bool answered = false;
  v1::ErrorDetail detail;
  std::string message;
};

/// Calls methods of the Scheduler service with one bearer token. Thread-safe.
class Client
{
public:
  /// `addresses` are tried in order, as a load balancer does, until one
  /// responds.
  Client(std::vector<std::string> addresses, std::string token);

  template<typename Response, typename Request>
  tl::expected<Response, Failure> call(
    const std::string& method,
    const Request& request,
    kernel::Milliseconds timeout = kernel::Milliseconds(5'000)) const
  {
    tl::expected<std::string, Failure> body =
      this->post(method, request.SerializeAsString(), timeout);
    if (!body)
      return tl::unexpected(body.error());
    Response response;
    if (!response.ParseFromString(*body))
      return tl::unexpected(Failure{ true, {}, "malformed response" });
    return response;
  }

private:
  tl::expected<std::string, Failure> post(const std::string& method,
                                          const std::string& body,
                                          kernel::Milliseconds timeout) const;

  std::vector<std::string> addresses;
  std::string token;
};

} // namespace geraniumhinge::tests
