#pragma once

#include "gateway/http_client.h"
#include "gateway/http_server.h"

#include <string>

namespace geraniumhinge::review {

/// Stands before a backend server and forwards its calls. While it fails, each
/// start gets 503, and nothing is done.
class FailingFront
{
public:
  FailingFront(kernel::Loop& loop,
               kernel::TimerService& timers,
               std::string target);

  std::string address() const;

  bool is_failing = false;
  int refused_starts = 0;

private:
  void handle(const gateway::HttpRequest& request,
              gateway::HttpServer::ResponseCallback respond);

  std::string target;
  gateway::HttpClient client;
  gateway::HttpServer server;
};

} // namespace geraniumhinge::review
