#include "gateway/http_exchange.h"

#include "gateway/unary_error.h"

#include <algorithm>
#include <cstdlib>

namespace geraniumhinge::gateway {

namespace {

std::string
to_lower(const char* text)
{
  std::string result(text);
  std::transform(
    result.begin(), result.end(), result.begin(), [](unsigned char c) {
      return static_cast<char>(std::tolower(c));
    });
  return result;
}

} // namespace

void
Responder::respond(HttpResponse response)
{
  if (std::shared_ptr<Exchange> target = this->exchange.lock())
    target->respond(std::move(response));
  this->exchange.reset();
}

Responder::~Responder()
{
  if (!this->exchange.expired())
    this->respond(error_response(
      call_error(v1::ERROR_KIND_INTERNAL, "the request was dropped")));
}

std::map<std::string, std::string>
connection_values(MHD_Connection* connection, MHD_ValueKind kind)
{
  std::map<std::string, std::string> result;
  MHD_get_connection_values(
    connection,
    kind,
    [](void* cls, MHD_ValueKind kind, const char* key, const char* value) {
      std::string name = kind == MHD_HEADER_KIND ? to_lower(key) : key;
      (*static_cast<std::map<std::string, std::string>*>(cls))[name] =
        value ? value : "";
      return MHD_YES;
    },
    &result);
  return result;
}

std::size_t
content_length(MHD_Connection* connection)
{
  const char* text = MHD_lookup_connection_value(
    connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
  return text ? std::strtoull(text, nullptr, 10) : 0;
}

MHD_Result
queue_response(MHD_Connection* connection,
               const HttpResponse& response,
               bool close)
{
  // MHD does not copy the body; the Exchange keeps the body until it is sent.
  MHD_Response* mhd_response = MHD_create_response_from_buffer(
    response.body.size(),
    const_cast<char*>(response.body.data()), // NOLINT
    MHD_RESPMEM_PERSISTENT);
  if (!response.content_type.empty())
    MHD_add_response_header(mhd_response,
                            MHD_HTTP_HEADER_CONTENT_TYPE,
                            response.content_type.c_str());
  for (const std::pair<const std::string, std::string>& item : response.headers)
    MHD_add_response_header(
      mhd_response, item.first.c_str(), item.second.c_str());
  if (close)
    MHD_add_response_header(mhd_response, MHD_HTTP_HEADER_CONNECTION, "close");
  MHD_Result result = MHD_queue_response(
    connection, static_cast<unsigned int>(response.status), mhd_response);
  MHD_destroy_response(mhd_response);
  return result;
}

} // namespace geraniumhinge::gateway
