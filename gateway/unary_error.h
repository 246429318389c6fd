#pragma once

#include "gateway/http_client.h"
#include "gateway/unary.h"

namespace geraniumhinge::gateway {

/// The answer of the Connect unary protocol to a failed call: a JSON body with
/// the code and HTTP status of the error's kind and its ErrorDetail.
HttpResponse
error_response(const CallError& error);

/// Reads the body of an answer made by `error_response`. Any other body gives
/// an internal error with the body's first bytes as its message.
CallError
parse_error(const HttpClientResponse& answer);

} // namespace geraniumhinge::gateway
