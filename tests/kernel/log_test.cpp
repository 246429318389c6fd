#define BOOST_TEST_MODULE log
#include "kernel/log.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge::kernel;

namespace {

constexpr EventInfo EXAMPLE{ 1, Severity::Warning, "example", "", "" };

} // namespace

// Guards against values that forge fields or further log lines.
BOOST_AUTO_TEST_CASE(quotes_values_that_would_break_the_line)
{
  std::string line = format_event(
    EXAMPLE, "entry-1", "T", { { "job", "a b=c" }, { "text", "x\n\"y\"" } });
  BOOST_TEST(line == "T warning 1 example node=entry-1 job=\"a b=c\" "
                     "text=\"x\\x0a\\\"y\\\"\"");
}

// Guards against an empty value that swallows the next field.
BOOST_AUTO_TEST_CASE(quotes_empty_values)
{
  std::string line =
    format_event(EXAMPLE, "n", "T", { { "a", std::string() }, { "b", 7 } });
  BOOST_TEST(line == "T warning 1 example node=n a=\"\" b=7");
}
