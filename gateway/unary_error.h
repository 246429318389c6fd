#pragma once

#include "gateway/http_client.h"
#include "gateway/unary.h"

namespace geraniumhinge::gateway {

/// Makes the response of the Connect unary protocol to a failed call: the HTTP
/// status of the error's kind, and a JSON body with its code and ErrorDetail.
HttpResponse
error_response(const CallError& error);

/// Parses a response made by `error_response`. Any other response gives an
/// ERROR_KIND_INTERNAL error whose message has the HTTP status and the first
/// 200 bytes of the body.
CallError
parse_error(const HttpClientResponse& response);

} // namespace geraniumhinge::gateway
