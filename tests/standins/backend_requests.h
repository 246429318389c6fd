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

/// Job, generation and member.
using TaskKey = std::tuple<std::string, std::uint32_t, std::uint32_t>;

/// Behaviour of a task or a short run, as described by its input.
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
error_response(const std::string& name, int status = 409)
{
  HttpResponse response;
  response.status = status;
  response.body = nlohmann::json{ { "error", name } }.dump();
  return response;
}

/// Response with status 200 and a binary body.
inline HttpResponse
binary_response(std::string body)
{
  HttpResponse response;
  response.content_type = "application/octet-stream";
  response.body = std::move(body);
  return response;
}

/// Query parameter as a number; 0 if it is missing or empty.
inline std::int64_t
int_parameter(const HttpRequest& request, const std::string& name)
{
  std::map<std::string, std::string>::const_iterator found =
    request.query.find(name);
  return found == request.query.end() || found->second.empty()
           ? 0
           : std::stoll(found->second);
}

/// Query parameter as text; empty if it is missing.
inline std::string
text_parameter(const HttpRequest& request, const std::string& name)
{
  std::map<std::string, std::string>::const_iterator found =
    request.query.find(name);
  return found == request.query.end() ? "" : found->second;
}

inline TaskKey
task_key(const HttpRequest& request)
{
  return { text_parameter(request, "job"),
           static_cast<std::uint32_t>(int_parameter(request, "generation")),
           static_cast<std::uint32_t>(int_parameter(request, "member")) };
}

} // namespace geraniumhinge::tests
