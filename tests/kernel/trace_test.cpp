#define BOOST_TEST_MODULE trace
#include "kernel/trace.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace geraniumhinge::kernel;

namespace {

const std::string HEADER =
  "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

} // namespace

// Guards against a span that loses the trace ID or the parent of the request
// that it belongs to, which splits the trace at this process.
BOOST_AUTO_TEST_CASE(child_span_keeps_the_trace_and_names_its_parent)
{
  std::string line;
  Span span("entry-1", "run", parse_traceparent(HEADER), [&](const auto& text) {
    line = text;
  });
  std::string forwarded = span.traceparent();
  span.end();

  nlohmann::json written = nlohmann::json::parse(line);
  BOOST_TEST(written["trace_id"] == "0af7651916cd43dd8448eb211c80319c");
  BOOST_TEST(written["parent_id"] == "b7ad6b7169203331");
  BOOST_TEST(parse_traceparent(forwarded).span_id ==
             written["span_id"].get<std::string>());
}

// Guards against a malformed traceparent header that is forwarded to other
// processes.
BOOST_AUTO_TEST_CASE(malformed_headers_start_a_new_trace)
{
  for (const char* header :
       { "",
         "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331",
         "00-00000000000000000000000000000000-b7ad6b7169203331-01",
         "00-0af7651916cd43dd8448eb211c80319c-B7AD6B7169203331-01" }) {
    BOOST_TEST(!parse_traceparent(header).valid());
  }
}

// Guards against a span that is written twice, by the moved-from object as
// well.
BOOST_AUTO_TEST_CASE(moved_span_is_written_once)
{
  int lines = 0;
  {
    Span first("n", "a", {}, [&](const std::string&) { lines++; });
    Span second = std::move(first);
    second.end();
  }
  BOOST_TEST(lines == 1);
}
