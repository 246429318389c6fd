#include "tests/support/http.h"

#include <curl/curl.h>
#include <memory>

namespace geraniumhinge::tests {

namespace {

std::size_t
append_body(const char* data, std::size_t size, std::size_t count, void* target)
{
  static_cast<std::string*>(target)->append(data, size * count);
  return size * count;
}

struct HeaderList
{
  explicit HeaderList(const std::map<std::string, std::string>& headers)
  {
    for (const std::pair<const std::string, std::string>& item : headers) {
      std::string line = item.first + ": " + item.second;
      this->list = curl_slist_append(this->list, line.c_str());
    }
  }
  ~HeaderList() { curl_slist_free_all(this->list); }
  HeaderList(const HeaderList&) = delete;
  HeaderList& operator=(const HeaderList&) = delete;

  curl_slist* list = nullptr;
};

} // namespace

std::optional<HttpReply>
call_http(const HttpCall& call)
{
  std::unique_ptr<CURL, void (*)(CURL*)> handle(curl_easy_init(),
                                                curl_easy_cleanup);
  HeaderList headers(call.headers);
  HttpReply reply;
  curl_easy_setopt(handle.get(), CURLOPT_URL, call.url.c_str());
  curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle.get(), CURLOPT_NOPROXY, "*");
  curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.list);
  curl_easy_setopt(
    handle.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
  curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &reply.body);
  if (!call.body.empty() || !call.headers.empty()) {
    curl_easy_setopt(handle.get(), CURLOPT_POST, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, call.body.data());
    curl_easy_setopt(
      handle.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(call.body.size()));
  }
  if (curl_easy_perform(handle.get()) != CURLE_OK)
    return std::nullopt;
  long status = 0;
  curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
  reply.status = static_cast<int>(status);
  return reply;
}

} // namespace geraniumhinge::tests
