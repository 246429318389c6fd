#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace geraniumhinge::tests {

/// Records the responses that callers received and the runs that the stand-ins
/// of backend servers saw, and checks the scheduler's guarantees on them.
class InvariantChecker
{
public:
  using Run = std::pair<std::string, std::uint32_t>; ///< Task and attempt.

  void record_submission(const std::string& job)
  {
    this->submitted_jobs.insert(job);
  }

  void record_submit_response(const std::string& job, int status)
  {
    if (status == 200)
      this->accepted_jobs.insert(job);
    // With any other status, the submission may have been stored.
    else if (status != 503 && status != 401 && status != 404)
      this->possibly_accepted_jobs.insert(job);
  }

  void record_cancellation(const std::string& job)
  {
    this->cancelled_jobs.insert(job);
  }

  void record_completion(const std::string& job)
  {
    this->completed_jobs.insert(job);
    for (const std::pair<const std::string, int>& item :
         this->running_by_task) {
      if (item.first.rfind(job, 0) == 0 &&
          !this->done_tasks.contains(item.first) &&
          !this->cancelled_jobs.contains(job))
        this->violations.push_back("a job is reported as completed although " +
                                   item.first +
                                   " started and has never ended as done");
    }
  }

  void record_start(const Run& run,
                    std::size_t server_runs,
                    std::size_t capacity)
  {
    std::string job = run.first.substr(0, run.first.find('.'));
    if (!this->submitted_jobs.contains(job))
      this->violations.push_back(
        "a run was started that was never submitted: " + run.first);
    if (++this->running_by_task[run.first] > 1)
      this->violations.push_back("two runs of " + run.first +
                                 " at the same time");
    if (this->acknowledged_tasks.contains(run.first))
      this->violations.push_back(run.first +
                                 " started after its end was acknowledged");
    if (server_runs > capacity)
      this->violations.push_back(
        "more runs than the backend server has capacity for, with " +
        run.first);
    this->started_jobs.insert(job);
  }

  /// Operators have asked at this time (boot time) that nothing more starts on
  /// servers of the zone.
  void record_evacuation(const std::string& zone, std::int64_t now_ms)
  {
    this->evacuated_ms[zone] = now_ms;
  }

  void record_reopening(const std::string& zone)
  {
    this->evacuated_ms.erase(zone);
  }

  /// Checks a start on a server of the zone against its evacuation.
  void check_zone(const Run& run, const std::string& zone, std::int64_t now_ms)
  {
    std::map<std::string, std::int64_t>::const_iterator found =
      this->evacuated_ms.find(zone);
    if (found != this->evacuated_ms.end() &&
        now_ms - found->second > EVACUATION_LIMIT_MS)
      this->violations.push_back(run.first + " started in an evacuated zone, " +
                                 std::to_string(now_ms - found->second) +
                                 " ms after the request");
  }

  void record_end(const Run& run, const std::string& end_kind)
  {
    --this->running_by_task[run.first];
    if (end_kind == "done")
      this->done_tasks.insert(run.first);
  }

  /// Records that the agent has acknowledged the end of a run that ended as
  /// done.
  void record_acknowledged_end(const Run& run)
  {
    this->acknowledged_tasks.insert(run.first);
  }

  /// Reports jobs that started although every submission was refused.
  void check_refused_jobs()
  {
    for (const std::string& job : this->started_jobs) {
      if (!this->accepted_jobs.contains(job) &&
          !this->possibly_accepted_jobs.contains(job))
        this->violations.push_back(job + " was refused and started anyway");
    }
  }

  /// Accepted jobs without an outcome that were not cancelled.
  std::vector<std::string> open_jobs() const
  {
    std::vector<std::string> jobs;
    for (const std::string& job : this->accepted_jobs) {
      if (!this->completed_jobs.contains(job) &&
          !this->cancelled_jobs.contains(job))
        jobs.push_back(job);
    }
    return jobs;
  }

  /// From the operators' request until nothing more may start.
  static constexpr std::int64_t EVACUATION_LIMIT_MS = 5'000;

  std::set<std::string> accepted_jobs;
  std::set<std::string> cancelled_jobs;
  std::vector<std::string> violations; ///< Descriptions, one per violation.

private:
  std::set<std::string> submitted_jobs;
  std::set<std::string> possibly_accepted_jobs;
  std::set<std::string> completed_jobs;
  std::set<std::string> started_jobs;
  std::set<std::string> done_tasks;
  std::set<std::string> acknowledged_tasks;
  std::map<std::string, int> running_by_task;
  std::map<std::string, std::int64_t> evacuated_ms; ///< By zone.
};

} // namespace geraniumhinge::tests
