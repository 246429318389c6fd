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

// Guards against field values that are read as other fields or as further log
// lines, because they contain spaces, equal signs, quotes or line ends.
BOOST_AUTO_TEST_CASE(quotes_values_with_special_characters)
{
  std::string line = format_event(
    EXAMPLE, "entry-1", "T", { { "job", "a b=c" }, { "text", "x\n\"y\"" } });
  BOOST_TEST(line == "T warning 1 example node=entry-1 job=\"a b=c\" "
                     "text=\"x\\x0a\\\"y\\\"\"");
}

// Guards against an empty value that makes a reader take the next field as the
// value.
BOOST_AUTO_TEST_CASE(quotes_empty_values)
{
  std::string line =
    format_event(EXAMPLE, "n", "T", { { "a", std::string() }, { "b", 7 } });
  BOOST_TEST(line == "T warning 1 example node=n a=\"\" b=7");
}

namespace {

/// A log that writes to a pipe, and the read end of the pipe.
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

// Guards against a write that blocks the process when the pipe is full because
// its reader has stopped reading.
BOOST_AUTO_TEST_CASE(a_stopped_reader_does_not_block_the_log)
{
  PipedLog piped;
  std::string filler(1'000, 'x');
  for (int line = 0; line < 300; ++line)
    piped.log->write(EXAMPLE, { { "filler", filler } });
  std::string text = piped.read();
  BOOST_TEST(count(text, " example ") < 300U);
  BOOST_TEST(count(text, " example ") > 10U);
  // The count of dropped lines is written when the reader reads again.
  ::usleep(1'100'000); // Longer than the report period of 1 s.
  piped.log->write(EXAMPLE);
  text = piped.read();
  BOOST_TEST(count(text, "log_lines_left_out node=n event=example") == 1U);
}

// Guards against a log whose size grows with the load, and against lines that
// are dropped without a report.
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
  ::usleep(1'100'000); // Longer than the report period of 1 s.
  piped.log->write(other);
  text = piped.read();
  BOOST_TEST(count(text, "event=example lines=") == 1U);
  BOOST_TEST(count(text, " other ") == 1U);
}
