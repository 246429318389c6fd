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

/// A stand-in for the platform's row store, in the process of the test, with
/// the faults that its pages describe.
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
                    gateway::HttpServer::Respond respond) {
               this->handle(request, std::move(respond));
             })
  {
    this->listening = this->server.listen().has_value();
  }

  std::string address() const
  {
    return "127.0.0.1:" + std::to_string(this->server.port());
  }

  /// Writes a row as the operator does.
  void put(const Name& name, const std::string& value)
  {
    this->rows[name] = { gateway::encode_base64(value), ++this->version };
    this->log.push_back(name);
    this->versions.push_back(this->version);
    this->wake();
  }

  std::string value_of(const Name& name) const
  {
    std::map<Name, Row>::const_iterator found = this->rows.find(name);
    return found == this->rows.end()
             ? std::string()
             : *gateway::decode_base64(found->second.value);
  }

  bool has(const Name& name) const { return this->rows.contains(name); }

  /// Drops the history of changes; waiting calls learn it.
  void compact()
  {
    this->kept_from = this->version;
    this->wake();
  }

  bool listening = false;
  bool refusing = false; ///< Every call is answered with 503.
  int lost_answers = 0;  ///< So many writes are done and not answered.
  int late_writes = 0;   ///< So many are done when `release_late` is called.
  int commits = 0;       ///< Transactions applied.
  std::map<Name, Row> rows;

  /// Carries out the writes that were held back, if their conditions hold.
  void release_late()
  {
    std::vector<Json> late = std::move(this->held);
    for (const Json& body : late)
      this->apply(body);
  }

private:
  struct Waiting
  {
    std::string table;
    std::uint64_t after = 0;
    gateway::HttpServer::Respond respond;
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
              gateway::HttpServer::Respond respond)
  {
    if (this->refusing)
      respond({ 503, "application/json", "{}", {} });
    else if (request.path == "/geraniumhinge/rows-tx")
      this->commit(request, respond);
    else if (request.path == "/geraniumhinge/rows-get")
      this->read(request, respond);
    else if (request.path == "/geraniumhinge/rows-feed")
      this->follow(request, std::move(respond));
    else
      respond({ 404, "application/json", "{}", {} });
  }

  /// The rows that contradict a condition; applies the change if none does.
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
      this->log.push_back(name);
      this->versions.push_back(this->version);
    }
    for (const Json& removal : body.at("remove")) {
      Name name = name_of(removal);
      this->rows.erase(name);
      this->log.push_back(name);
      this->versions.push_back(this->version);
    }
    this->wake();
    return conflicts;
  }

  void commit(const gateway::HttpRequest& request,
              const gateway::HttpServer::Respond& respond)
  {
    Json body = Json::parse(request.body);
    if (this->late_writes > 0) {
      --this->late_writes;
      this->held.push_back(body);
      respond({ gateway::CLOSE_CONNECTION, "", "", {} });
      return;
    }
    Json conflicts = this->apply(body);
    if (this->lost_answers > 0 && conflicts.empty()) {
      --this->lost_answers;
      respond({ gateway::CLOSE_CONNECTION, "", "", {} });
      return;
    }
    Json answer{ { "schema_ver", this->version }, { "now_ms", 0 } };
    if (!conflicts.empty()) {
      answer["rows"] = Json::array();
      for (const Json& condition : body.at("if_rev")) {
        Name name = name_of(condition);
        if (this->rows.contains(name))
          answer["rows"].push_back(this->row_json(name, this->rows[name]));
      }
    }
    respond(
      { conflicts.empty() ? 200 : 412, "application/json", answer.dump(), {} });
  }

  void read(const gateway::HttpRequest& request,
            const gateway::HttpServer::Respond& respond)
  {
    std::string from =
      request.query.contains("from") ? request.query.at("from") : "";
    std::size_t limit = 500;
    if (request.query.contains("limit"))
      limit = std::stoul(request.query.at("limit"));
    Json answer{ { "rows", Json::array() },
                 { "has_more", false },
                 { "schema_ver", this->version } };
    for (const std::pair<const Name, Row>& item : this->rows) {
      const auto& [table, part, key] = item.first;
      if (table != request.query.at("table") ||
          part != request.query.at("part") || key < from)
        continue;
      if (answer["rows"].size() == limit) {
        answer["has_more"] = true;
        break;
      }
      answer["rows"].push_back(this->row_json(item.first, item.second));
    }
    respond({ 200, "application/json", answer.dump(), {} });
  }

  bool answer_follow(const Waiting& waiting, bool even_if_empty)
  {
    if (waiting.after < this->kept_from) {
      waiting.respond({ 410, "application/json", "{}", {} });
      return true;
    }
    Json rows = Json::array();
    for (std::size_t index = 0; index < this->log.size(); ++index) {
      const Name& name = this->log[index];
      if (this->versions[index] <= waiting.after ||
          std::get<0>(name) != waiting.table)
        continue;
      if (this->rows.contains(name)) {
        rows.push_back(this->row_json(name, this->rows[name]));
      } else {
        Json removed = this->row_json(name, { "", this->versions[index] });
        removed["removed"] = true;
        rows.push_back(removed);
      }
    }
    if (rows.empty() && !even_if_empty)
      return false;
    Json answer{ { "rows", rows }, { "schema_ver", this->version } };
    waiting.respond({ 200, "application/json", answer.dump(), {} });
    return true;
  }

  void follow(const gateway::HttpRequest& request,
              gateway::HttpServer::Respond respond)
  {
    std::list<Waiting>::iterator item =
      this->waiting.emplace(this->waiting.end());
    item->table = request.query.at("table");
    item->after = std::stoull(request.query.at("depends_on"));
    item->respond = std::move(respond);
    if (this->answer_follow(*item, false)) {
      this->waiting.erase(item);
      return;
    }
    kernel::Milliseconds wait(std::stoll(request.query.at("wait_ms")));
    item->timeout = this->timers.after(wait, [this, item] {
      this->answer_follow(*item, true);
      this->waiting.erase(item);
    });
  }

  void wake()
  {
    for (std::list<Waiting>::iterator item = this->waiting.begin();
         item != this->waiting.end();) {
      bool answered = this->answer_follow(*item, false);
      item = answered ? this->waiting.erase(item) : std::next(item);
    }
  }

  kernel::TimerService& timers;
  gateway::HttpServer server;
  std::uint64_t version = 1;
  std::uint64_t kept_from = 0;
  std::vector<Name> log;
  std::vector<std::uint64_t> versions;
  std::list<Waiting> waiting;
  std::vector<Json> held;
};

} // namespace geraniumhinge::tests
