#pragma once

#include "gateway/base64.h"
#include "gateway/http_server.h"
#include "kernel/loop.h"
#include "kernel/timer.h"

#include <charconv>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>
#include <vector>

namespace geraniumhinge::tests {

/// An in-process stand-in for the platform's row store, with the faults that
/// the documentation of the store describes.
class RowStoreStandin
{
public:
  using Json = nlohmann::json;
  using Name = std::tuple<std::string, std::string, std::string>;

  struct Row
  {
    std::string value; ///< As sent, in base64.
    std::uint64_t version = 0;
  };

  RowStoreStandin(kernel::Loop& loop, kernel::TimerService& timers)
    : timers(timers)
    , server(loop,
             timers,
             "127.0.0.1:0",
             4UL * 1'024 * 1'024,
             [this](const gateway::HttpRequest& request,
                    gateway::HttpServer::ResponseCallback respond) {
               this->handle(request, std::move(respond));
             })
  {
    this->listening = this->server.listen().has_value();
  }

  std::string address() const
  {
    return "127.0.0.1:" + std::to_string(this->server.port());
  }

  /// Writes a row as the operators would, without a transaction request.
  void put(const Name& name, const std::string& value)
  {
    this->put_encoded(name, gateway::encode_base64(value));
  }

  /// Writes a row with a value that may be no base64.
  void put_encoded(const Name& name, const std::string& value)
  {
    this->rows[name] = { value, ++this->version };
    this->changed_rows.push_back(name);
    this->changed_versions.push_back(this->version);
    this->respond_to_waiting();
  }

  /// Deletes a row as another writer would.
  void remove(const Name& name)
  {
    this->rows.erase(name);
    ++this->version;
    this->changed_rows.push_back(name);
    this->changed_versions.push_back(this->version);
    this->respond_to_waiting();
  }

  std::string value_of(const Name& name) const
  {
    std::map<Name, Row>::const_iterator found = this->rows.find(name);
    return found == this->rows.end()
             ? std::string()
             : *gateway::decode_base64(found->second.value);
  }

  bool has(const Name& name) const { return this->rows.contains(name); }

  /// Drops the change history. Calls for dropped changes get status 410.
  void compact()
  {
    this->oldest_version = this->version;
    this->respond_to_waiting();
  }

  bool listening = false;
  bool refusing = false;     ///< Every request is answered with status 503.
  int unanswered_writes = 0; ///< Number of writes to apply without a response.
  /// Number of writes to delay until `apply_delayed_writes`.
  int delayed_writes = 0;
  /// Only writes of this key are delayed; empty for all.
  std::string delayed_key;
  int commits = 0; ///< Transactions applied.
  /// Responses with changes list a row that can't be read instead of them.
  bool malformed_changes = false;
  /// Delay of the responses with changes on their way.
  kernel::Milliseconds changes_delay{ 0 };
  int reads = 0; ///< Pages of rows sent, except changes.
  /// From a transaction until its response.
  kernel::Milliseconds commit_delay{ 0 };
  /// Called for each row that a transaction wrote, before its response.
  std::function<void(const Name&)> on_write = [](const Name&) {};
  std::map<Name, Row> rows;

  /// Applies the delayed writes whose conditions hold.
  void apply_delayed_writes()
  {
    std::vector<Json> writes = std::move(this->delayed);
    for (const Json& body : writes)
      this->apply(body);
  }

private:
  struct Waiting
  {
    std::string table;
    std::uint64_t after = 0;
    gateway::HttpServer::ResponseCallback respond;
    kernel::Subscription timeout;
  };

  static Name name_of(const Json& item)
  {
    return { item.value("table", ""),
             item.value("part", ""),
             item.value("key", "") };
  }

  Json row_json(const Name& name, const Row& row) const
  {
    return { { "table", std::get<0>(name) },
             { "part", std::get<1>(name) },
             { "key", std::get<2>(name) },
             { "value", row.value },
             { "schema_ver", row.version } };
  }

  void handle(const gateway::HttpRequest& request,
              gateway::HttpServer::ResponseCallback respond)
  {
    if (this->refusing)
      respond({ 503, "application/json", "{}", {} });
    else if (request.path == "/geraniumhinge/rows-tx")
      this->commit(request, respond);
    else if (request.path == "/geraniumhinge/rows-get")
      this->read(request, respond);
    else if (request.path == "/geraniumhinge/rows-feed")
      this->wait_for_changes(request, std::move(respond));
    else
      respond({ 404, "application/json", "{}", {} });
  }

  /// Applies a change if its conditions hold. Returns the names of the rows
  /// whose conditions failed.
  Json apply(const Json& body)
  {
    Json conflicts = Json::array();
    for (const Json& condition : body.at("if_rev")) {
      Name name = name_of(condition);
      std::uint64_t current =
        this->rows.contains(name) ? this->rows[name].version : 0;
      if (current != condition.at("schema_ver").get<std::uint64_t>())
        conflicts.push_back(name);
    }
    if (!conflicts.empty())
      return conflicts;
    ++this->version;
    ++this->commits;
    for (const Json& write : body.at("writes")) {
      Name name = name_of(write);
      this->rows[name] = { write.at("value").get<std::string>(),
                           this->version };
      this->changed_rows.push_back(name);
      this->changed_versions.push_back(this->version);
      this->on_write(name);
    }
    for (const Json& removal : body.at("remove")) {
      Name name = name_of(removal);
      this->rows.erase(name);
      this->changed_rows.push_back(name);
      this->changed_versions.push_back(this->version);
    }
    this->respond_to_waiting();
    return conflicts;
  }

  bool may_delay(const Json& body) const
  {
    if (this->delayed_key.empty())
      return true;
    for (const Json& write : body.at("writes")) {
      if (write.value("key", "") == this->delayed_key)
        return true;
    }
    return false;
  }

  void commit(const gateway::HttpRequest& request,
              const gateway::HttpServer::ResponseCallback& respond)
  {
    Json body = Json::parse(request.body);
    if (this->delayed_writes > 0 && this->may_delay(body)) {
      --this->delayed_writes;
      this->delayed.push_back(body);
      respond({ gateway::CLOSE_CONNECTION, "", "", {} });
      return;
    }
    Json conflicts = this->apply(body);
    if (this->unanswered_writes > 0 && conflicts.empty()) {
      --this->unanswered_writes;
      respond({ gateway::CLOSE_CONNECTION, "", "", {} });
      return;
    }
    Json response{ { "schema_ver", this->version }, { "now_ms", 0 } };
    if (!conflicts.empty()) {
      response["rows"] = Json::array();
      for (const Json& condition : body.at("if_rev")) {
        Name name = name_of(condition);
        if (this->rows.contains(name))
          response["rows"].push_back(this->row_json(name, this->rows[name]));
      }
    }
    gateway::HttpResponse result{
      conflicts.empty() ? 200 : 412, "application/json", response.dump(), {}
    };
    if (this->commit_delay.count() == 0)
      respond(result);
    else
      this->delayed_responses.push_back(this->timers.after(
        this->commit_delay, [respond, result] { respond(result); }));
  }

  void read(const gateway::HttpRequest& request,
            const gateway::HttpServer::ResponseCallback& respond)
  {
    ++this->reads;
    std::string from =
      request.query.contains("from") ? request.query.at("from") : "";
    std::size_t limit = 500;
    if (request.query.contains("limit"))
      limit = std::stoul(request.query.at("limit"));
    Json response{ { "rows", Json::array() },
                   { "has_more", false },
                   { "schema_ver", this->version } };
    for (const std::pair<const Name, Row>& item : this->rows) {
      const auto& [table, part, key] = item.first;
      if (table != request.query.at("table") ||
          part != request.query.at("part") || key < from)
        continue;
      if (response["rows"].size() == limit) {
        response["has_more"] = true;
        break;
      }
      response["rows"].push_back(this->row_json(item.first, item.second));
    }
    respond({ 200, "application/json", response.dump(), {} });
  }

  bool respond_with_changes(const Waiting& waiting, bool allow_empty)
  {
    if (waiting.after < this->oldest_version) {
      waiting.respond({ 410, "application/json", "{}", {} });
      return true;
    }
    Json rows = Json::array();
    for (std::size_t index = 0; index < this->changed_rows.size(); ++index) {
      const Name& name = this->changed_rows[index];
      if (this->changed_versions[index] <= waiting.after ||
          std::get<0>(name) != waiting.table)
        continue;
      if (this->rows.contains(name)) {
        rows.push_back(this->row_json(name, this->rows[name]));
      } else {
        Json removed =
          this->row_json(name, { "", this->changed_versions[index] });
        removed["removed"] = true;
        rows.push_back(removed);
      }
    }
    if (rows.empty() && !allow_empty)
      return false;
    if (this->malformed_changes && !rows.empty())
      rows = Json::array({ "mistyped" });
    Json response{ { "rows", rows }, { "schema_ver", this->version } };
    this->send_changes(waiting.respond, response.dump());
    return true;
  }

  void send_changes(const gateway::HttpServer::ResponseCallback& respond,
                    const std::string& body)
  {
    if (this->changes_delay.count() == 0) {
      respond({ 200, "application/json", body, {} });
      return;
    }
    this->delayed_responses.push_back(
      this->timers.after(this->changes_delay, [respond, body] {
        respond({ 200, "application/json", body, {} });
      }));
  }

  void wait_for_changes(const gateway::HttpRequest& request,
                        gateway::HttpServer::ResponseCallback respond)
  {
    std::list<Waiting>::iterator item =
      this->waiting.emplace(this->waiting.end());
    item->table = request.query.at("table");
    item->after = std::stoull(request.query.at("depends_on"));
    item->respond = std::move(respond);
    if (this->respond_with_changes(*item, false)) {
      this->waiting.erase(item);
      return;
    }
    kernel::Milliseconds wait(std::stoll(request.query.at("wait_ms")));
    item->timeout = this->timers.after(wait, [this, item] {
      this->respond_with_changes(*item, true);
      this->waiting.erase(item);
    });
  }

  void respond_to_waiting()
  {
    for (std::list<Waiting>::iterator item = this->waiting.begin();
         item != this->waiting.end();) {
      bool answered = this->respond_with_changes(*item, false);
      item = answered ? this->waiting.erase(item) : std::next(item);
    }
  }

  kernel::TimerService& timers;
  gateway::HttpServer server;
  std::uint64_t version = 1;
  std::uint64_t oldest_version = 0;
  std::vector<Name> changed_rows;
  std::vector<std::uint64_t> changed_versions;
  std::list<Waiting> waiting;
  std::vector<Json> delayed;
  std::vector<kernel::Subscription> delayed_responses;
};

} // namespace geraniumhinge::tests
