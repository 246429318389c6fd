// Runs one case of the review: probe CASE PROGRAMS FOLDER RECORD. With the
// environment variable TROUBLE=0 it leaves out the disruption.

#include "review/probe/cases.h"

#include <csignal>
#include <cstdlib>
#include <fmt/format.h>

using namespace geraniumhinge;

namespace {

constexpr int ARGUMENTS = 5;
constexpr unsigned int LIMIT_S = 115;

} // namespace

int
main(int argc, char** argv)
{
  review::Case run = argc == ARGUMENTS ? review::find_case(argv[1]) : nullptr;
  if (run == nullptr) {
    fmt::print(stderr, "usage: probe CASE PROGRAMS FOLDER RECORD\n");
    return static_cast<int>(review::Verdict::NotRun);
  }
  // The programs end with this process.
  alarm(LIMIT_S);
  const char* trouble = std::getenv("TROUBLE");
  bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  review::World world(argv[2], argv[3], argv[4]);
  world.note(fmt::format(
    "case {}, {} the disruption", argv[1], has_trouble ? "with" : "without"));
  review::Verdict verdict = run(world, has_trouble);
  world.note(verdict == review::Verdict::Broken ? "the rule was broken"
             : verdict == review::Verdict::Held ? "the rule held"
                                                : "the case could not run");
  return static_cast<int>(verdict);
}
