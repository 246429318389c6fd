#pragma once

#include "gateway/http_client.h"
#include "gateway/http_server.h"
#include "kernel/loop.h"
#include "kernel/timer.h"

#include <string>
#include <vector>

namespace geraniumhinge::review {

/// Stands between the programs and the store. Passes calls on, and loses the
/// answers of some writes, which the store performs late.
class StoreFront
{
public:
  StoreFront(kernel::Loop& loop,
             kernel::TimerService& timers,
             std::string store_address);

  std::string address() const;

  /// Writes of this row get no answer and are performed `delay` after their
  /// arrival. An empty key ends that for later writes.
  void lose_writes(std::string key, kernel::Milliseconds delay);

  int writes = 0; ///< Since `lose_writes` was last called.
  int lost_writes = 0;

private:
  void handle(const gateway::HttpRequest& request,
              gateway::HttpServer::ResponseCallback respond);
  void pass_on(const gateway::HttpRequest& request,
               gateway::HttpServer::ResponseCallback respond);

  kernel::TimerService& timers;
  std::string store_address;
  gateway::HttpClient client;
  gateway::HttpServer server;
  std::string lost_key;
  kernel::Milliseconds delay{ 0 };
  std::vector<kernel::Subscription> late_writes;
  std::vector<gateway::HttpServer::ResponseCallback> unanswered;
};

} // namespace geraniumhinge::review
