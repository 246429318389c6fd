#define BOOST_TEST_MODULE unary
#include "gateway/unary.h"
#include "gateway/unary_error.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace geraniumhinge;
using namespace geraniumhinge::gateway;

namespace {

struct Fixture
{
  kernel::Tracer tracer{ "test", "" };
  kernel::Metrics metrics;
  UnaryRouter router{ tracer, metrics };
  CallContext received_context;

  Fixture()
  {
    router.add<v1::GetJobRequest, v1::Job>(
      "GetJob",
      [this](const CallContext& context,
             const v1::GetJobRequest& request,
             const UnaryRouter::ResponseCallback<v1::Job>& respond) {
        received_context = context;
        if (request.id().empty()) {
          respond(tl::unexpected(invalid_field("id", "1 to 64 characters")));
          return;
        }
        v1::Job job;
        job.set_id(request.id());
        respond(job);
      });
  }

  HttpResponse post(const std::string& method,
                    const std::string& type,
                    const std::string& body)
  {
    HttpRequest request{ "POST",
                         "/geraniumhinge.v1.Scheduler/" + method,
                         { { "content-type", type },
                           { "authorization", "Bearer secret" },
                           { "traceparent",
                             "00-0123456789abcdef0123456789abcdef-"
                             "0123456789abcdef-01" } },
                         {},
                         body };
    HttpResponse result;
    router.handle(request,
                  [&](HttpResponse response) { result = std::move(response); });
    return result;
  }

  v1::ErrorDetail detail_of(const HttpResponse& response)
  {
    return parse_error({ response.status, {}, response.body }).detail;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(unary, Fixture)

// Guards against a response in another encoding than the request's, and against
// a token or trace context that does not reach the method.
BOOST_AUTO_TEST_CASE(responds_in_the_encoding_of_the_request)
{
  v1::GetJobRequest request;
  request.set_id("j1");
  HttpResponse binary =
    post("GetJob", "application/proto", request.SerializeAsString());
  v1::Job job;
  BOOST_REQUIRE(job.ParseFromString(binary.body));
  BOOST_TEST(job.id() == "j1");
  BOOST_TEST(binary.content_type == "application/proto");

  HttpResponse json =
    post("GetJob", "application/json; charset=utf-8", R"({"id":"j2"})");
  BOOST_TEST(json.body == R"({"id":"j2"})");
  BOOST_TEST(received_context.token == "secret");
  BOOST_TEST(received_context.trace.trace_id ==
             "0123456789abcdef0123456789abcdef");
  BOOST_TEST(received_context.trace.span_id != "0123456789abcdef");
}

// Guards against errors without the HTTP status, code or ErrorDetail that a
// client needs.
BOOST_AUTO_TEST_CASE(errors_carry_status_code_and_detail)
{
  HttpResponse invalid = post("GetJob", "application/json", "{}");
  BOOST_TEST(invalid.status == 400);
  BOOST_TEST(nlohmann::json::parse(invalid.body)["code"] == "invalid_argument");
  BOOST_TEST(detail_of(invalid).field() == "id");
  BOOST_TEST(detail_of(invalid).accepted() == "1 to 64 characters");

  HttpResponse unknown = post("Missing", "application/json", "{}");
  BOOST_TEST(unknown.status == 501);
  BOOST_TEST(detail_of(unknown).kind() == v1::ERROR_KIND_UNKNOWN_METHOD);
}

// Guards against a malformed body that is decoded as an empty message.
BOOST_AUTO_TEST_CASE(malformed_bodies_are_rejected)
{
  for (const char* body : { "", "{", "[]", R"({"id":1,"x":2})", "null" }) {
    HttpResponse response = post("GetJob", "application/json", body);
    BOOST_TEST(response.status == 400, body);
    BOOST_TEST(detail_of(response).kind() == v1::ERROR_KIND_BODY_MALFORMED,
               body);
  }
  HttpResponse binary = post("GetJob", "application/proto", "\x0a\x7f");
  BOOST_TEST(detail_of(binary).kind() == v1::ERROR_KIND_BODY_MALFORMED);
  BOOST_TEST(post("GetJob", "text/plain", "{}").status == 415);
}

BOOST_AUTO_TEST_SUITE_END()
