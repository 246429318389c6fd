#pragma once

#include "tests/system/platform_fixture.h"

#include <string>
#include <utility>
#include <vector>

namespace geraniumhinge::tests {

/// HTTP proxy to the store. While `blackholed` is set, it does not respond.
struct StoreProxy
{
  gateway::HttpClient& client;
  std::string target;
  bool blackholed = false;
  /// Reads and watches of this table get no response; empty for none.
  std::string blackholed_table;
  std::vector<gateway::HttpServer::ResponseCallback> unanswered;
  gateway::HttpServer server;

  explicit StoreProxy(PlatformFixture& fixture)
    : client(fixture.client)
    , target(fixture.store.address())
    , server(fixture.loop,
             fixture.timers,
             "127.0.0.1:0",
             1'000'000,
             [this](const gateway::HttpRequest& request,
                    gateway::HttpServer::ResponseCallback respond) {
               this->forward(request, std::move(respond));
             })
  {
    BOOST_REQUIRE(server.listen().has_value());
  }

  bool is_cut(const std::string& table) const
  {
    return blackholed || (!table.empty() && table == blackholed_table);
  }

  void forward(const gateway::HttpRequest& request,
               gateway::HttpServer::ResponseCallback respond)
  {
    std::string table =
      request.query.contains("table") ? request.query.at("table") : "";
    if (is_cut(table)) {
      unanswered.push_back(std::move(respond));
      return;
    }
    gateway::HttpClientRequest call;
    call.method = request.method;
    call.url = "http://" + target + request.path;
    char separator = '?';
    for (const std::pair<const std::string, std::string>& item :
         request.query) {
      call.url += separator + item.first + '=' + item.second;
      separator = '&';
    }
    call.body = request.body;
    client.call(
      std::move(call),
      [this, table, respond = std::move(respond)](
        const gateway::HttpClient::Result& response) mutable {
        if (is_cut(table))
          unanswered.push_back(std::move(respond));
        else if (response)
          respond({ response->status, "application/json", response->body, {} });
      });
  }
};

} // namespace geraniumhinge::tests
