// Stand-in of the platform's table service and object store, with fault
// injection. docs/OPERATIONS.md describes the protocol and the faults.

#include "gateway/base64.h"
#include "gateway/http_server.h"

#include <csignal>
#include <cstdio>
#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace geraniumhinge;
using gateway::HttpRequest;
using gateway::HttpResponse;
using gateway::HttpServer;
using nlohmann::json;

namespace {

constexpr std::size_t MAX_BODY_BYTES = 64UL * 1'024 * 1'024;
constexpr std::size_t MAX_PAGE_ROWS = 1'000;
constexpr kernel::Milliseconds RATE_WINDOW{ 1'000 };
constexpr std::string_view OBJECTS_PREFIX = "/objects/";

struct StoredRow
{
  std::uint64_t version = 0;
  std::string value; ///< Base64, as received.
};

/// An object with a member of value 0 for each name in the list.
json
zero_members(const std::string& names)
{
  json result;
  std::istringstream stream(names);
  for (std::string name; stream >> name;)
    result[name] = 0;
  return result;
}

HttpResponse
json_response(int status, const json& body)
{
  return { status, "application/json", body.dump(), {} };
}

class PlatformStandin
{
public:
  PlatformStandin(kernel::Loop& loop, const std::string& address)
    : timers(loop)
    , server(loop,
             timers,
             address,
             MAX_BODY_BYTES,
             [this](const HttpRequest& request,
                    const HttpServer::ResponseCallback& respond) {
               this->handle(request, respond);
             })
    , rate_window_timer(timers.every(RATE_WINDOW, [this] {
      this->reads_in_window = 0;
      this->writes_in_window = 0;
    }))
  {
  }

  bool listen() { return this->server.listen().has_value(); }
  int port() const { return this->server.port(); }

private:
  void handle(const HttpRequest& request,
              const HttpServer::ResponseCallback& respond)
  {
    if (request.path == "/counters")
      return respond(json_response(200, this->counters));
    if (request.path == "/faults")
      return respond(this->set_faults(request));
    int slow_ms = this->faults["slow_ms"];
    if (slow_ms == 0)
      return this->serve(request, respond);
    this->run_after(
      slow_ms, [this, request, respond] { this->serve(request, respond); });
  }

  void run_after(int delay_ms, std::function<void()> callback)
  {
    std::uint64_t id = ++this->last_timer;
    this->delayed_calls[id] =
      this->timers.after(kernel::Milliseconds(delay_ms),
                         [this, id, callback = std::move(callback)] {
                           this->delayed_calls.erase(id);
                           callback();
                         });
  }

  HttpResponse set_faults(const HttpRequest& request)
  {
    if (request.method != "POST")
      return json_response(200, this->faults);
    json change = json::parse(request.body, nullptr, false);
    if (!change.is_object())
      return json_response(400, { { "error", "not an object" } });
    for (const auto& item : change.items()) {
      if (!this->faults.contains(item.key()) ||
          !item.value().is_number_unsigned())
        return json_response(400, { { "error", item.key() } });
    }
    this->faults.update(change);
    this->commits_since_fault_change = 0;
    return json_response(200, this->faults);
  }

  void serve(const HttpRequest& request,
             const HttpServer::ResponseCallback& respond)
  {
    if (this->faults["silent"] > 0) {
      this->silent_responders.push_back(respond);
      return;
    }
    if (this->faults["down"] > 0)
      return respond(this->refuse(503));
    if (request.path.starts_with(OBJECTS_PREFIX))
      return respond(this->object(request));
    json body = json::parse(request.body, nullptr, false);
    try {
      if (request.path == "/table/read")
        return respond(this->read(body));
      if (request.path == "/table/scan")
        return respond(this->scan(body));
      if (request.path == "/table/commit")
        return this->commit(body, respond);
    } catch (const json::exception& error) {
      return respond(json_response(400, { { "error", error.what() } }));
    }
    respond(json_response(404, { { "error", "no such path" } }));
  }

  HttpResponse refuse(int status)
  {
    this->count("refused");
    return json_response(status, { { "applied", false } });
  }

  void count(const char* name, std::uint64_t amount = 1)
  {
    this->counters[name] = this->counters[name].get<std::uint64_t>() + amount;
  }

  bool exceeds_limit(const char* limit,
                     std::uint64_t& used,
                     std::uint64_t amount)
  {
    std::uint64_t maximum = this->faults[limit];
    used += amount;
    return maximum > 0 && used > maximum;
  }

  /// The row, without its value if the request states that its sender knows
  /// this version.
  json row_json(const std::string& key, const StoredRow& row, const json& body)
  {
    json result = { { "key", key }, { "version", row.version } };
    bool unchanged =
      row.version != 0 && body.contains("known") &&
      body["known"].value(key, std::uint64_t{ 0 }) == row.version;
    if (unchanged)
      this->count("unchanged_rows");
    else
      result["value"] = row.value;
    return result;
  }

  HttpResponse read(const json& body)
  {
    const json& keys = body.at("keys");
    if (this->exceeds_limit("reads_per_s", this->reads_in_window, keys.size()))
      return this->refuse(429);
    json found = json::array();
    for (const json& item : keys) {
      std::string key = item;
      StoredRow row;
      if (this->rows.contains(key))
        row = this->rows[key];
      found.push_back(this->row_json(key, row, body));
    }
    this->count("reads", keys.size());
    return json_response(200, { { "rows", found } });
  }

  HttpResponse scan(const json& body)
  {
    if (this->exceeds_limit("reads_per_s", this->reads_in_window, 1))
      return this->refuse(429);
    std::string prefix = body.at("prefix");
    std::string after = body.at("after");
    std::size_t limit =
      std::min(body.at("limit").get<std::size_t>(), MAX_PAGE_ROWS);
    json found = json::array();
    auto row = after < prefix ? this->rows.lower_bound(prefix)
                              : this->rows.upper_bound(after);
    for (; row != this->rows.end() && row->first.starts_with(prefix) &&
           found.size() < limit;
         ++row)
      found.push_back(this->row_json(row->first, row->second, body));
    this->count("scans");
    this->count("scanned_rows", found.size());
    return json_response(200, { { "rows", found } });
  }

  void commit(const json& body, const HttpServer::ResponseCallback& respond)
  {
    if (this->exceeds_limit("writes_per_s", this->writes_in_window, 1))
      return respond(this->refuse(429));
    if (this->consume("delay_next")) {
      // The connection closes first and the commit is applied later, as if the
      // commit were still in flight when its sender lost the connection.
      this->run_after(this->faults["delay_ms"],
                      [this, body] { this->apply(body); });
      return respond({ gateway::CLOSE_CONNECTION, "", "", {} });
    }
    HttpResponse result = this->apply(body);
    std::uint64_t every = this->faults["drop_every"];
    bool drop_response =
      every > 0 && ++this->commits_since_fault_change % every == 0;
    if (this->consume("drop_next") || drop_response) {
      this->count("dropped_answers");
      result.status = gateway::CLOSE_CONNECTION;
    }
    respond(std::move(result));
  }

  bool consume(const char* fault)
  {
    std::uint64_t remaining = this->faults[fault];
    if (remaining > 0)
      this->faults[fault] = remaining - 1;
    return remaining > 0;
  }

  HttpResponse apply(const json& body)
  {
    for (const json& check : body.at("checks")) {
      auto row = this->rows.find(check.at("key"));
      std::uint64_t version = row == this->rows.end() ? 0 : row->second.version;
      if (version == check.at("version").get<std::uint64_t>())
        continue;
      this->count("conflicts");
      return json_response(409,
                           { { "key", check["key"] }, { "version", version } });
    }
    json versions = json::array();
    for (const json& write : body.at("writes")) {
      if (write.at("value").is_null()) {
        this->rows.erase(write.at("key").get<std::string>());
        versions.push_back(0);
        continue;
      }
      this->rows[write.at("key")] = { ++this->last_version, write["value"] };
      versions.push_back(this->last_version);
    }
    this->count("commits");
    this->count("writes", body["writes"].size());
    return json_response(200, { { "versions", versions } });
  }

  HttpResponse object(const HttpRequest& request)
  {
    std::string key = request.path.substr(OBJECTS_PREFIX.size());
    if (request.method == "PUT") {
      this->count("object_writes");
      this->objects[key] = request.body;
      return json_response(200, json::object());
    }
    this->count("object_reads");
    auto found = this->objects.find(key);
    if (found == this->objects.end())
      return json_response(404, { { "error", "no such object" } });
    return { 200, "application/octet-stream", found->second, {} };
  }

  kernel::TimerService timers;
  HttpServer server;
  kernel::Subscription rate_window_timer;
  std::map<std::uint64_t, kernel::Subscription> delayed_calls;
  std::uint64_t last_timer = 0;
  std::vector<HttpServer::ResponseCallback> silent_responders;
  std::map<std::string, StoredRow> rows;
  std::map<std::string, std::string> objects;
  // One sequence for all rows: a row that is deleted and created again never
  // repeats an old version.
  std::uint64_t last_version = 0;
  std::uint64_t commits_since_fault_change = 0;
  std::uint64_t reads_in_window = 0;
  std::uint64_t writes_in_window = 0;
  json faults =
    zero_members("down silent slow_ms drop_next drop_every delay_next "
                 "delay_ms reads_per_s writes_per_s");
  json counters = zero_members(
    "reads scans scanned_rows commits writes conflicts "
    "dropped_answers unchanged_rows refused object_reads object_writes");
};

} // namespace

int
main(int argc, char** argv)
{
  if (argc != 3 || std::string(argv[1]) != "--listen") {
    fmt::print(stderr, "usage: platform_standin --listen HOST:PORT\n");
    return 2;
  }
  kernel::Loop loop;
  PlatformStandin standin(loop, argv[2]);
  if (!standin.listen()) {
    fmt::print(stderr, "can't listen on {}\n", argv[2]);
    return 1;
  }
  fmt::print("port {}\n", standin.port());
  std::fflush(stdout);
  kernel::Subscription term_watch =
    loop.watch_signal(SIGTERM, [&loop] { loop.stop(); });
  loop.run();
  return 0;
}
