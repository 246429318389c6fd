#define BOOST_TEST_MODULE explain
#include "entry/explain.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge::entry;

namespace {

constexpr char JOB[] = "5c0e7a21d94b36f8";

std::string
line(const std::string& head, const std::string& event, const std::string& rest)
{
  return head + ' ' + event + ' ' + rest;
}

std::vector<LogLine>
parse(const std::vector<std::string>& texts)
{
  std::vector<LogLine> lines;
  for (const std::string& text : texts) {
    std::optional<LogLine> read = parse_log_line(text);
    if (read)
      lines.push_back(*read);
  }
  return lines;
}

} // namespace

// Guards against lines of a job that are missed because a collector has put
// text before them, or because they name the job as a victim or by one of its
// tasks.
BOOST_AUTO_TEST_CASE(lines_of_a_job_are_found_and_sorted)
{
  std::string text =
    explain(JOB,
            parse({
              line("3.1 side-2 2026-04-01T13:27:20.539Z info 522",
                   "run_start_answered node=side-2",
                   "task=5c0e7a21d94b36f8.0.0.1 attempt=1 result=started"),
              line("2026-04-01T13:27:20.501Z info 631",
                   "call_answered node=edge-1 job=5c0e7a21d94b36f8",
                   "operation=submit result=accepted took_ms=13"),
              "not a line of ours",
              line("2026-04-01T13:27:20.777Z info 631",
                   "call_answered node=edge-1 job=ffffffffffffffff",
                   "operation=submit result=not_done"),
              line("2026-04-01T13:27:21.000Z info 629",
                   "step_preempted node=edge-2 job=ffffffffffffffff",
                   "victim=5c0e7a21d94b36f8 victim_step=0 tasks=1"),
              line("2026-04-01T13:27:29.000Z info 627",
                   "workflow_ended node=edge-2 job=5c0e7a21d94b36f8",
                   "outcome=completed age_ms=8499"),
            }));
  std::size_t submit = text.find("call_answered job=5c0e7a21d94b36f8");
  std::size_t start = text.find("run_start_answered");
  std::size_t victim = text.find("victim=5c0e7a21d94b36f8");
  BOOST_TEST(submit < start);
  BOOST_TEST(start < victim);
  BOOST_TEST(victim != std::string::npos);
  BOOST_TEST(text.find("not_done") == std::string::npos);
  BOOST_TEST(text.find("submission accepted at 2026-04-01T13:27:20.501Z; "
                       "completed at 2026-04-01T13:27:29.000Z; placed 0 "
                       "times, 0 runs lost, preempted 1 times") !=
             std::string::npos);
}

// Guards against lines of another job whose identifier begins with the same
// characters.
BOOST_AUTO_TEST_CASE(lines_of_other_jobs_are_omitted)
{
  std::optional<LogLine> line =
    parse_log_line("2026-04-01T13:27:20.539Z info 625 run_ended node=edge-1 "
                   "task=5c0e7a21d94b36f8.0.0.1 attempt=1 kind=done");
  BOOST_REQUIRE(line.has_value());
  BOOST_TEST(names_job(*line, JOB));
  BOOST_TEST(!names_job(*line, "5c0e7a21d94b36f"));
  BOOST_TEST(line->node == "edge-1");
}

// Guards against callers who can't learn that their job waits because a zone is
// being evacuated, and against a reason that no longer holds.
BOOST_AUTO_TEST_CASE(wait_for_an_evacuated_zone_is_explained)
{
  std::vector<std::string> texts{
    line("2026-04-01T13:27:20.501Z info 631",
         "call_answered node=edge-1 job=5c0e7a21d94b36f8",
         "operation=submit result=accepted took_ms=13"),
    line("2026-04-01T13:27:21.000Z warning 646",
         "step_held node=edge-2 job=5c0e7a21d94b36f8",
         "occurrence=0 step=0 zone=north"),
  };
  std::string waiting = explain(JOB, parse(texts));
  BOOST_TEST(waiting.find("step_held") != std::string::npos);
  BOOST_TEST(waiting.find("waits, fits in the evacuated zone north") !=
             std::string::npos);
  texts.push_back(line("2026-04-01T13:27:25.000Z info 628",
                       "step_placed node=edge-2 job=5c0e7a21d94b36f8",
                       "occurrence=0 step=0 servers=i-1 waited_ms=4499"));
  std::string placed = explain(JOB, parse(texts));
  BOOST_TEST(placed.find("waits, fits") == std::string::npos);
}
