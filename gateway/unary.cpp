#include "gateway/unary.h"

#include "gateway/unary_error.h"
#include "kernel/clock.h"

#include <fmt/format.h>
#include <google/protobuf/util/json_util.h>
#include <optional>
#include <string_view>

namespace geraniumhinge::gateway {

namespace {

constexpr std::string_view SERVICE_PREFIX = "/geraniumhinge.v1.Scheduler/";
constexpr std::string_view BEARER_PREFIX = "Bearer ";
constexpr std::string_view BINARY_TYPE = "application/proto";
constexpr std::string_view JSON_TYPE = "application/json";
constexpr double US_PER_MS = 1'000.0;
constexpr int STATUS_OK = 200;
constexpr int STATUS_NOT_FOUND = 404;
constexpr int STATUS_WRONG_METHOD = 405;
constexpr int STATUS_WRONG_TYPE = 415;

enum class Encoding
{
  Binary,
  Json,
  Unknown,
};

std::string
header(const HttpRequest& request, const std::string& name)
{
  std::map<std::string, std::string>::const_iterator found =
    request.headers.find(name);
  return found == request.headers.end() ? std::string() : found->second;
}

Encoding
encoding_of(const HttpRequest& request)
{
  std::string type = header(request, "content-type");
  type = type.substr(0, type.find_first_of("; "));
  if (type == BINARY_TYPE)
    return Encoding::Binary;
  if (type == JSON_TYPE)
    return Encoding::Json;
  return Encoding::Unknown;
}

std::string
bearer_token(const HttpRequest& request)
{
  std::string value = header(request, "authorization");
  if (!value.starts_with(BEARER_PREFIX))
    return {};
  return value.substr(BEARER_PREFIX.size());
}

bool
decode(Encoding encoding,
       const std::string& body,
       google::protobuf::Message& message)
{
  if (encoding == Encoding::Binary)
    return message.ParseFromString(body);
  return google::protobuf::util::JsonStringToMessage(body, &message).ok();
}

HttpResponse
encode(Encoding encoding, const google::protobuf::Message& message)
{
  HttpResponse response;
  if (encoding == Encoding::Binary) {
    response.content_type = BINARY_TYPE;
    response.body = message.SerializeAsString();
    return response;
  }
  response.content_type = JSON_TYPE;
  if (!google::protobuf::util::MessageToJsonString(message, &response.body)
         .ok())
    return error_response(call_error(v1::ERROR_KIND_INTERNAL,
                                     "the answer has no JSON representation"));
  return response;
}

HttpResponse
plain_status(int status, std::string message)
{
  HttpResponse response;
  response.status = status;
  response.content_type = "text/plain";
  response.body = std::move(message) + "\n";
  return response;
}

/// Returns the error response if the request is not a valid call of the
/// service.
std::optional<HttpResponse>
reject_invalid(const HttpRequest& request)
{
  if (!request.path.starts_with(SERVICE_PREFIX))
    return plain_status(STATUS_NOT_FOUND, "not found");
  if (request.method != "POST") {
    HttpResponse rejection = plain_status(STATUS_WRONG_METHOD, "use POST");
    rejection.headers["Allow"] = "POST";
    return rejection;
  }
  if (encoding_of(request) == Encoding::Unknown)
    return plain_status(STATUS_WRONG_TYPE,
                        "use application/proto or application/json");
  return std::nullopt;
}

CallError
malformed_body(const google::protobuf::Message& message)
{
  CallError error =
    call_error(v1::ERROR_KIND_BODY_MALFORMED, "the request body is malformed");
  error.detail.set_accepted("a message of type " + message.GetTypeName());
  return error;
}

/// Records the metrics and the span of a call, from the request's arrival to
/// the response.
struct CallTelemetry
{
  kernel::Span span;
  kernel::Metrics& metrics;
  std::string method;
  std::int64_t start_us = kernel::boot_us();

  CallTelemetry(kernel::Span span, kernel::Metrics& metrics, std::string method)
    : span(std::move(span))
    , metrics(metrics)
    , method(std::move(method))
  {
  }

  void finish(int status)
  {
    double elapsed_ms =
      static_cast<double>(kernel::boot_us() - this->start_us) / US_PER_MS;
    this->metrics
      .counter(fmt::format(
        "calls_total{{method=\"{}\",status=\"{}\"}}", this->method, status))
      .add();
    this->metrics.summary(fmt::format("call_ms{{method=\"{}\"}}", this->method))
      .observe(elapsed_ms);
    this->span.set_attribute("status", std::to_string(status));
    this->span.end();
  }
};

} // namespace

UnaryRouter::UnaryRouter(kernel::Tracer& tracer, kernel::Metrics& metrics)
  : tracer(tracer)
  , metrics(metrics)
{
}

void
UnaryRouter::add_message(const std::string& name,
                         MessageFactory make_request,
                         MethodHandler method)
{
  this->methods[name] =
    MethodEntry{ std::move(make_request), std::move(method) };
}

void
UnaryRouter::add_page(const std::string& path,
                      std::function<HttpResponse()> page)
{
  this->pages[path] = std::move(page);
}

bool
UnaryRouter::serve_page(const HttpRequest& request,
                        const HttpServer::ResponseCallback& respond) const
{
  std::map<std::string, std::function<HttpResponse()>>::const_iterator page =
    this->pages.find(request.path);
  if (page == this->pages.end())
    return false;
  if (request.method == "GET")
    respond(page->second());
  else
    respond(plain_status(STATUS_WRONG_METHOD, "use GET"));
  return true;
}

void
UnaryRouter::handle(const HttpRequest& request,
                    HttpServer::ResponseCallback respond)
{
  if (this->serve_page(request, respond))
    return;
  if (std::optional<HttpResponse> rejection = reject_invalid(request)) {
    respond(std::move(*rejection));
    return;
  }
  std::string name = request.path.substr(SERVICE_PREFIX.size());
  std::map<std::string, MethodEntry>::const_iterator found =
    this->methods.find(name);
  if (found == this->methods.end()) {
    CallError error =
      call_error(v1::ERROR_KIND_UNKNOWN_METHOD, "there is no such method");
    error.detail.set_accepted("a method of geraniumhinge.v1.Scheduler");
    respond(error_response(error));
    return;
  }
  this->call(name, found->second, request, std::move(respond));
}

void
UnaryRouter::call(const std::string& name,
                  const MethodEntry& entry,
                  const HttpRequest& request,
                  HttpServer::ResponseCallback respond)
{
  kernel::TraceContext parent =
    kernel::parse_traceparent(header(request, "traceparent"));
  std::shared_ptr<CallTelemetry> telemetry = std::make_shared<CallTelemetry>(
    this->tracer.start(name, parent), this->metrics, name);
  Encoding encoding = encoding_of(request);
  std::unique_ptr<google::protobuf::Message> message = entry.make_request();
  if (!decode(encoding, request.body, *message)) {
    HttpResponse rejection = error_response(malformed_body(*message));
    telemetry->finish(rejection.status);
    respond(std::move(rejection));
    return;
  }
  CallContext context{ bearer_token(request), telemetry->span.context() };
  entry.method(
    context,
    *message,
    [telemetry, encoding, respond = std::move(respond)](
      tl::expected<const google::protobuf::Message*, CallError> result) {
      HttpResponse response =
        result ? encode(encoding, **result) : error_response(result.error());
      telemetry->finish(response.status);
      respond(std::move(response));
    });
}

} // namespace geraniumhinge::gateway
