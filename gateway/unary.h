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

/// What a method learns about its call besides the request message.
struct CallContext
{
  std::string token;          ///< Bearer token, empty if there is none.
  kernel::TraceContext trace; ///< Of the entry's own span.
};

/// A typed error and a sentence for people.
struct CallError
{
  v1::ErrorDetail detail;
  std::string message;
};

/// Makes the error of an invalid field.
CallError
invalid_field(std::string field, std::string accepted);

/// Makes an error with no field.
CallError
call_error(v1::ErrorKind kind, std::string message);

/// Serves the methods of one schema service over the Connect unary protocol:
/// POST /geraniumhinge.v1.Scheduler/<Method> with a body of application/proto
/// or application/json, answered in the same type. Errors are JSON with the
/// HTTP status and code of their kind and the ErrorDetail as detail.
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

  /// Adds a method by its name in the schema.
  template<typename Request, typename Response>
  void add(const std::string& name, Method<Request, Response> method)
  {
    this->add_message(
      name,
      [] { return std::make_unique<Request>(); },
      [method = std::move(method)](const CallContext& context,
                                   google::protobuf::Message& request,
                                   AnswerMessage answer) {
        method(context,
               std::move(static_cast<Request&>(request)),
               [answer =
                  std::move(answer)](tl::expected<Response, CallError> result) {
                 if (result)
                   answer(&*result);
                 else
                   answer(tl::unexpected(result.error()));
               });
      });
  }

  /// Answers a request that is for this service.
  void handle(const HttpRequest& request, HttpServer::Respond respond);

  /// Adds a plain GET path, such as /ready or /metrics.
  void add_page(const std::string& path, std::function<HttpResponse()> page);

private:
  using AnswerMessage = std::function<void(
    tl::expected<const google::protobuf::Message*, CallError>)>;
  using NewMessage =
    std::function<std::unique_ptr<google::protobuf::Message>()>;
  using MessageMethod = std::function<
    void(const CallContext&, google::protobuf::Message&, AnswerMessage)>;
  struct Entry
  {
    NewMessage new_request;
    MessageMethod method;
  };

  bool serve_page(const HttpRequest& request,
                  const HttpServer::Respond& respond) const;
  void call(const std::string& name,
            const Entry& entry,
            const HttpRequest& request,
            HttpServer::Respond respond);
  void add_message(const std::string& name,
                   NewMessage new_request,
                   MessageMethod method);

  kernel::Tracer& tracer;
  kernel::Metrics& metrics;
  std::map<std::string, Entry> methods;
  std::map<std::string, std::function<HttpResponse()>> pages;
};

} // namespace geraniumhinge::gateway
