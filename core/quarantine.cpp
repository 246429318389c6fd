#include "core/quarantine.h"

#include <algorithm>
#include <set>

namespace geraniumhinge::core {

FailureTracker::FailureTracker(const QuarantineLimits& limits)
  : limits(limits)
{
}

void
FailureTracker::record_failure(NameId server,
                               const std::string& job,
                               std::int64_t now_ms)
{
  const ServerTrust trust = this->server_trust(server, now_ms);
  this->failures.push_back({ server, job, now_ms });
  if (trust == ServerTrust::Probing) {
    Quarantine& quarantine = this->quarantines[server];
    quarantine.length_ms =
      std::min(quarantine.length_ms * 2, this->limits.max_quarantine_ms);
    quarantine.until_ms = now_ms + quarantine.length_ms;
  } else if (trust == ServerTrust::Trusted &&
             this->failed_enough_jobs(server, now_ms)) {
    const std::int64_t length = this->limits.first_quarantine_ms;
    this->quarantines[server] = { now_ms + length, length };
  }
}

void
FailureTracker::record_success(NameId server,
                               const std::string& job,
                               std::int64_t now_ms)
{
  const bool probed =
    this->server_trust(server, now_ms) == ServerTrust::Probing;
  std::erase_if(this->failures, [&](const Failure& failure) {
    return failure.job == job || failure.server == server;
  });
  if (probed) {
    this->quarantines.erase(server);
  }
}

ServerTrust
FailureTracker::server_trust(NameId server, std::int64_t now_ms) const
{
  const auto found = this->quarantines.find(server);
  if (found == this->quarantines.end()) {
    return ServerTrust::Trusted;
  }
  return now_ms < found->second.until_ms ? ServerTrust::Quarantined
                                         : ServerTrust::Probing;
}

bool
FailureTracker::suspected(NameId server, std::int64_t now_ms) const
{
  return std::any_of(
    this->failures.begin(), this->failures.end(), [&](const Failure& failure) {
      return failure.server == server &&
             now_ms - failure.at_ms <= this->limits.suspicion_ms &&
             !this->job_is_faulty(failure.job, now_ms);
    });
}

bool
FailureTracker::job_is_faulty(const std::string& job, std::int64_t now_ms) const
{
  std::set<NameId> servers;
  for (const Failure& failure : this->failures) {
    const bool recent = now_ms - failure.at_ms <= this->limits.retention_ms;
    if (recent && failure.job == job &&
        this->server_trust(failure.server, now_ms) == ServerTrust::Trusted) {
      servers.insert(failure.server);
    }
  }
  return servers.size() >= this->limits.servers_per_job;
}

void
FailureTracker::expire(std::int64_t now_ms)
{
  std::erase_if(this->failures, [this, now_ms](const Failure& failure) {
    return now_ms - failure.at_ms > this->limits.retention_ms;
  });
}

/// Whether enough different jobs failed on the server. Faulty jobs, which
/// failed on several trusted servers, do not count.
bool
FailureTracker::failed_enough_jobs(NameId server, std::int64_t now_ms) const
{
  std::set<std::string_view> jobs;
  for (const Failure& failure : this->failures) {
    const bool recent = now_ms - failure.at_ms <= this->limits.retention_ms;
    if (recent && failure.server == server &&
        !this->job_is_faulty(failure.job, now_ms)) {
      jobs.insert(failure.job);
    }
  }
  return jobs.size() >= this->limits.jobs_per_server;
}

} // namespace geraniumhinge::core
