#define BOOST_TEST_MODULE log
#include "kernel/log.h"

#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <string>
#include <unistd.h>

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

namespace {

/// A log whose lines go into a pipe.
struct PipedLog
{
  int ends[2] = { -1, -1 };
  std::unique_ptr<Log> log;

  PipedLog()
  {
    BOOST_REQUIRE(::pipe(ends) == 0);
    ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    log = std::make_unique<Log>("n", Severity::Info, ends[1]);
  }
  ~PipedLog()
  {
    ::close(ends[0]);
    ::close(ends[1]);
  }

  std::string read() const
  {
    std::string text;
    char buffer[4'096];
    ssize_t size = 0;
    while ((size = ::read(ends[0], buffer, sizeof buffer)) > 0)
      text.append(buffer, static_cast<std::size_t>(size));
    return text;
  }
};

std::size_t
count(const std::string& text, const std::string& part)
{
  std::size_t found = 0;
  for (std::size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1))
    ++found;
  return found;
}

} // namespace

// Guards against a log that stops the process when its reader stops reading.
BOOST_AUTO_TEST_CASE(a_reader_that_stops_does_not_block)
{
  PipedLog piped;
  std::string filler(1'000, 'x');
  for (int line = 0; line < 300; ++line)
    piped.log->write(EXAMPLE, { { "filler", filler } });
  std::string text = piped.read();
  BOOST_TEST(count(text, " example ") < 300U);
  BOOST_TEST(count(text, " example ") > 10U);
  // What was left out is told once the reader is back.
  ::usleep(1'100'000); // The period of the counting line.
  piped.log->write(EXAMPLE);
  text = piped.read();
  BOOST_TEST(count(text, "log_lines_left_out node=n event=example") == 1U);
}

// Guards against a log that grows with the load, and against lines that are
// left out without a word.
BOOST_AUTO_TEST_CASE(lines_of_one_event_are_limited)
{
  PipedLog piped;
  std::string text;
  for (int line = 0; line < 2'000; ++line) {
    piped.log->write(EXAMPLE, { { "line", line } });
    text += piped.read();
  }
  BOOST_TEST(count(text, " example ") < 600U);
  constexpr EventInfo other{ 2, Severity::Warning, "other", "", "" };
  ::usleep(1'100'000); // The period of the counting line.
  piped.log->write(other);
  text = piped.read();
  BOOST_TEST(count(text, "event=example lines=") == 1U);
  BOOST_TEST(count(text, " other ") == 1U);
}
