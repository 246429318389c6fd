#pragma once

#include "tests/support/organisations.h"
#include "tests/support/wait.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace geraniumhinge::tests {

// Bounds that docs/design.md states.
constexpr kernel::Milliseconds LEASE_PERIOD{ 6'000 };
constexpr kernel::Milliseconds LEAVING_LIMIT{ 3'000 };
constexpr kernel::Milliseconds CONFIGURATION_LIMIT{ 3'000 };
constexpr kernel::Milliseconds URGENT_LIMIT{ 1'600 };
// Period at which the stand-in of a backend server checks leases.
constexpr std::int64_t LEASE_CHECK_MS = 20;
// Limit of waits whose duration is not checked.
constexpr kernel::Milliseconds WAIT_LIMIT{ 40'000 };

/// A running deployment with two organisations, "alpha" and "beta".
struct Fleet
{
  explicit Fleet(DeploymentPlan plan)
    : entry_count(plan.entries.size())
    , deployment(std::move(plan))
  {
    BOOST_REQUIRE_MESSAGE(this->deployment.start(),
                          "the deployment did not become ready");
    this->organisations = create_organisations(
      this->deployment, this->entry_count, { "alpha", "beta" });
    BOOST_REQUIRE_EQUAL(this->organisations.size(), 2);
  }

  const Caller& alpha() const { return this->organisations[0].caller; }
  const Caller& beta() const { return this->organisations[1].caller; }

  std::vector<TaskSpan> spans() const
  {
    return task_spans(this->deployment.journal());
  }

  /// Spans of the job's tasks that are running now.
  std::vector<TaskSpan> running(const std::string& job) const
  {
    std::vector<TaskSpan> found = this->spans();
    std::erase_if(found, [&](const TaskSpan& span) {
      return span.job != job || !span.end.empty();
    });
    return found;
  }

  bool wait_running(const std::string& job, std::size_t members) const
  {
    return wait_until(WAIT_LIMIT,
                      [&] { return this->running(job).size() == members; });
  }

  std::size_t entry_count;
  Deployment deployment;
  std::vector<OrganisationCaller> organisations;
};

/// Submits a job and requires that it is accepted. Returns the job's id.
inline std::string
submit(const Caller& caller, const JobPlan& plan)
{
  JobResult job = caller.submit(plan);
  BOOST_REQUIRE_MESSAGE(
    job.has_value(),
    "the job was refused: " << (job ? "" : job.error().message));
  return job->id();
}

inline v1::Outcome
outcome_of(const JobResult& job)
{
  return job ? job->outcome() : v1::OUTCOME_UNSPECIFIED;
}

inline v1::Outcome
outcome_of(const RunResult& result)
{
  return result ? result->outcome() : result.error().detail.outcome();
}

} // namespace geraniumhinge::tests
