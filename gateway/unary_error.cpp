#include "gateway/unary_error.h"

#include "gateway/base64.h"
#include "kernel/json_parse.h"

namespace geraniumhinge::gateway {

namespace {

constexpr std::string_view DETAIL_TYPE = "geraniumhinge.v1.ErrorDetail";
constexpr std::size_t MAX_QUOTED_BYTES = 200;
constexpr int MS_PER_S = 1'000;

struct ErrorKindRow
{
  v1::ErrorKind kind;
  int status;
  std::string_view code; ///< Error code of the Connect protocol.
};

constexpr ErrorKindRow ERROR_KINDS[] = {
  { v1::ERROR_KIND_INVALID_FIELD, 400, "invalid_argument" },
  { v1::ERROR_KIND_UNKNOWN_METHOD, 501, "unimplemented" },
  { v1::ERROR_KIND_BODY_TOO_LARGE, 413, "resource_exhausted" },
  { v1::ERROR_KIND_BODY_MALFORMED, 400, "invalid_argument" },
  { v1::ERROR_KIND_UNAUTHENTICATED, 401, "unauthenticated" },
  { v1::ERROR_KIND_PERMISSION_DENIED, 403, "permission_denied" },
  { v1::ERROR_KIND_UNKNOWN_ORGANISATION, 404, "not_found" },
  { v1::ERROR_KIND_UNKNOWN_JOB, 404, "not_found" },
  { v1::ERROR_KIND_UNKNOWN_SERVER, 404, "not_found" },
  { v1::ERROR_KIND_IMPOSSIBLE_SHAPE, 400, "failed_precondition" },
  { v1::ERROR_KIND_STALE_VERSION, 409, "aborted" },
  { v1::ERROR_KIND_REQUEST_ID_REUSED, 409, "already_exists" },
  { v1::ERROR_KIND_GUARANTEE_DOES_NOT_FIT, 400, "failed_precondition" },
  { v1::ERROR_KIND_QUEUE_FULL, 429, "resource_exhausted" },
  { v1::ERROR_KIND_STORE_UNAVAILABLE, 503, "unavailable" },
  { v1::ERROR_KIND_ALREADY_EXISTS, 409, "already_exists" },
  { v1::ERROR_KIND_NOT_READY, 503, "unavailable" },
  { v1::ERROR_KIND_ORGANISATION_IN_USE, 400, "failed_precondition" },
  { v1::ERROR_KIND_INTERNAL, 500, "internal" },
};

ErrorKindRow
row_of(v1::ErrorKind kind)
{
  for (const ErrorKindRow& row : ERROR_KINDS) {
    if (row.kind == kind)
      return row;
  }
  return { kind, 500, "unknown" };
}

/// Encodes in base64 without padding, as the Connect protocol specifies.
std::string
encode_detail(const v1::ErrorDetail& detail)
{
  std::string text = encode_base64(detail.SerializeAsString());
  text.erase(text.find_last_not_of('=') + 1);
  return text;
}

/// Decodes the ErrorDetail in an error body. Returns false if there is none or
/// it is malformed.
bool
find_detail(const nlohmann::json& body, v1::ErrorDetail& detail)
{
  for (const nlohmann::json& item :
       body.value("details", nlohmann::json::array())) {
    if (!item.is_object() || item.value("type", "") != DETAIL_TYPE)
      continue;
    std::optional<std::string> bytes = decode_base64(item.value("value", ""));
    return bytes && detail.ParseFromString(*bytes);
  }
  return false;
}

} // namespace

CallError
call_error(v1::ErrorKind kind, std::string message)
{
  CallError error;
  error.detail.set_kind(kind);
  error.message = std::move(message);
  return error;
}

CallError
invalid_field(std::string field, std::string accepted)
{
  CallError error =
    call_error(v1::ERROR_KIND_INVALID_FIELD,
               field + " is not valid: accepted is " + accepted);
  error.detail.set_field(std::move(field));
  error.detail.set_accepted(std::move(accepted));
  return error;
}

HttpResponse
error_response(const CallError& error)
{
  ErrorKindRow row = row_of(error.detail.kind());
  nlohmann::json detail = {
    { "type", DETAIL_TYPE },
    { "value", encode_detail(error.detail) },
    { "debug",
      { { "kind", v1::ErrorKind_Name(error.detail.kind()) },
        { "field", error.detail.field() },
        { "accepted", error.detail.accepted() } } },
  };
  nlohmann::json body = {
    { "code", row.code },
    { "message", error.message },
    { "details", nlohmann::json::array({ detail }) },
  };
  HttpResponse response;
  response.status = row.status;
  response.body =
    body.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
  std::uint32_t retry_ms = error.detail.retry_after_ms();
  if (retry_ms > 0)
    response.headers["Retry-After"] =
      std::to_string((retry_ms + MS_PER_S - 1) / MS_PER_S);
  return response;
}

CallError
parse_error(const HttpClientResponse& response)
{
  nlohmann::json body = kernel::parse_json(response.body);
  CallError error =
    call_error(v1::ERROR_KIND_INTERNAL,
               "HTTP status " + std::to_string(response.status) + ": " +
                 response.body.substr(0, MAX_QUOTED_BYTES));
  if (!body.is_object() || !body.contains("code"))
    return error;
  try {
    v1::ErrorDetail detail;
    if (find_detail(body, detail))
      error.detail = detail;
    error.message = body.value("message", "");
  } catch (const nlohmann::json::exception&) {
    // A field has another type: `error_response` did not make the body.
    return error;
  }
  return error;
}

} // namespace geraniumhinge::gateway
