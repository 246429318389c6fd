#pragma once

#include "gateway/http_server.h"
#include "kernel/metrics.h"
#include "kernel/trace.h"

#include "geraniumhinge/v1/scheduler.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace geraniumhinge::gateway {

/// Metadata of a call, passed to its method with the request message.
struct CallContext
{
  std::string token;          ///< Bearer token, empty if there is none.
  kernel::TraceContext trace; ///< The entry's span of this call.
};

/// An error of a call: the typed detail and a text for people.
struct CallError
{
  v1::ErrorDetail detail;
  std::string message;
};

/// Makes an ERROR_KIND_INVALID_FIELD error. `accepted` describes valid values.
CallError
invalid_field(std::string field, std::string accepted);

/// Makes an error that refers to no field.
CallError
call_error(v1::ErrorKind kind, std::string message);

/// Serves the methods of the service geraniumhinge.v1.Scheduler over the
/// Connect unary protocol: POST /geraniumhinge.v1.Scheduler/<Method> with a
/// body of type application/proto or application/json. The response has the
/// type of the request. An error is JSON with the HTTP status and code of its
/// kind and the ErrorDetail as detail.
class UnaryRouter
{
public:
  template<typename Response>
  using ResponseCallback =
    std::function<void(tl::expected<Response, CallError>)>;
  template<typename Request, typename Response>
  using Method = std::function<
    void(const CallContext&, Request, ResponseCallback<Response>)>;

  UnaryRouter(kernel::Tracer& tracer, kernel::Metrics& metrics);

  /// Adds the method `name` of the service.
  template<typename Request, typename Response>
  void add(const std::string& name, Method<Request, Response> method)
  {
    this->add_message(
      name,
      [] { return std::make_unique<Request>(); },
      [method = std::move(method)](const CallContext& context,
                                   google::protobuf::Message& request,
                                   MessageCallback respond) {
        method(context,
               std::move(static_cast<Request&>(request)),
               [respond = std::move(respond)](
                 tl::expected<Response, CallError> result) {
                 if (result)
                   respond(&*result);
                 else
                   respond(tl::unexpected(result.error()));
               });
      });
  }

  /// Responds to a request for a page or a method; to any other with an error
  /// status.
  void handle(const HttpRequest& request, HttpServer::ResponseCallback respond);

  /// Serves `page` at a path for GET, for example /ready or /metrics.
  void add_page(const std::string& path, std::function<HttpResponse()> page);

private:
  using MessageCallback = std::function<void(
    tl::expected<const google::protobuf::Message*, CallError>)>;
  using MessageFactory =
    std::function<std::unique_ptr<google::protobuf::Message>()>;
  using MethodHandler = std::function<
    void(const CallContext&, google::protobuf::Message&, MessageCallback)>;
  struct MethodEntry
  {
    MessageFactory make_request;
    MethodHandler method;
  };

  bool serve_page(const HttpRequest& request,
                  const HttpServer::ResponseCallback& respond) const;
  void call(const std::string& name,
            const MethodEntry& entry,
            const HttpRequest& request,
            HttpServer::ResponseCallback respond);
  void add_message(const std::string& name,
                   MessageFactory make_request,
                   MethodHandler method);

  kernel::Tracer& tracer;
  kernel::Metrics& metrics;
  std::map<std::string, MethodEntry> methods;
  std::map<std::string, std::function<HttpResponse()>> pages;
};

} // namespace geraniumhinge::gateway
