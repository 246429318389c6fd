#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace geraniumhinge::tests {

/// What callers were told and backend servers saw, and the promises that it
/// breaks.
class Promises
{
public:
  using Run = std::pair<std::string, std::uint32_t>; ///< Task and attempt.

  void submitting(const std::string& job) { this->known.insert(job); }

  void submitted(const std::string& job, int status)
  {
    if (status == 200)
      this->accepted.insert(job);
    // Any other try may have been stored.
    else if (status != 503 && status != 401 && status != 404)
      this->uncertain.insert(job);
  }

  void cancelled(const std::string& job) { this->cancels.insert(job); }

  void completed(const std::string& job)
  {
    this->outcomes.insert(job);
    for (const std::pair<const std::string, int>& item : this->running) {
      if (item.first.rfind(job, 0) == 0 && !this->done.contains(item.first) &&
          !this->cancels.contains(job))
        this->broken.push_back("shown as completed while " + item.first +
                               " runs and was never done");
    }
  }

  void started(const Run& run, std::size_t server_runs, std::size_t room)
  {
    std::string job = run.first.substr(0, run.first.find('.'));
    if (!this->known.contains(job))
      this->broken.push_back("nobody submitted " + run.first);
    if (++this->running[run.first] > 1)
      this->broken.push_back("two runs of " + run.first + " at one time");
    if (this->noted_done.contains(run.first))
      this->broken.push_back(run.first + " started after its end was noted");
    if (server_runs > room)
      this->broken.push_back("more runs than room with " + run.first);
    this->jobs_started.insert(job);
  }

  void ended(const Run& run, const std::string& how)
  {
    --this->running[run.first];
    if (how == "done")
      this->done.insert(run.first);
  }

  /// The end of a run that was done has been acknowledged.
  void noted(const Run& run) { this->noted_done.insert(run.first); }

  /// Jobs that were refused each time they were handed in, and ran.
  void check_refused()
  {
    for (const std::string& job : this->jobs_started) {
      if (!this->accepted.contains(job) && !this->uncertain.contains(job))
        this->broken.push_back(job + " was refused and started");
    }
  }

  std::vector<std::string> open() const
  {
    std::vector<std::string> jobs;
    for (const std::string& job : this->accepted) {
      if (!this->outcomes.contains(job) && !this->cancels.contains(job))
        jobs.push_back(job);
    }
    return jobs;
  }

  std::set<std::string> accepted;
  std::set<std::string> cancels;
  std::vector<std::string> broken; ///< Promises, in words.

private:
  std::set<std::string> known;
  std::set<std::string> uncertain;
  std::set<std::string> outcomes;
  std::set<std::string> jobs_started;
  std::set<std::string> done;
  std::set<std::string> noted_done;
  std::map<std::string, int> running;
};

} // namespace geraniumhinge::tests
