#pragma once

#include "gateway/http_server.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>
#include <utility>

namespace geraniumhinge::tests {

using gateway::HttpRequest;
using gateway::HttpResponse;

/// Job, generation, member.
using Key = std::tuple<std::string, std::uint32_t, std::uint32_t>;

/// What a task or a short run does, from its input.
struct Work
{
  std::int64_t run_ms = 0;
  std::string output;
  int exit = 0;
};

inline Work
parse_work(const std::string& input)
{
  nlohmann::json json = nlohmann::json::parse(input, nullptr, false);
  if (!json.is_object())
    return { 0, input, 0 };
  return { json.value("run_ms", std::int64_t(0)),
           json.value("output", ""),
           json.value("exit", 0) };
}

inline HttpResponse
error(const std::string& name, int status = 409)
{
  HttpResponse response;
  response.status = status;
  response.body = nlohmann::json{ { "error", name } }.dump();
  return response;
}

inline HttpResponse
whole(std::string body)
{
  HttpResponse response;
  response.content_type = "application/octet-stream";
  response.body = std::move(body);
  return response;
}

inline std::int64_t
number(const HttpRequest& request, const std::string& name)
{
  std::map<std::string, std::string>::const_iterator found =
    request.query.find(name);
  return found == request.query.end() || found->second.empty()
           ? 0
           : std::stoll(found->second);
}

inline std::string
text(const HttpRequest& request, const std::string& name)
{
  std::map<std::string, std::string>::const_iterator found =
    request.query.find(name);
  return found == request.query.end() ? "" : found->second;
}

inline Key
key_of(const HttpRequest& request)
{
  return { text(request, "job"),
           static_cast<std::uint32_t>(number(request, "generation")),
           static_cast<std::uint32_t>(number(request, "member")) };
}

} // namespace geraniumhinge::tests
