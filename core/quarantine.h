#pragma once

#include "core/names.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace geraniumhinge::core {

struct QuarantineLimits
{
  /// Different jobs that must fail on a server before it is quarantined.
  std::uint32_t jobs_per_server = 3;
  /// Different servers that a job must fail on before it is stopped.
  std::uint32_t servers_per_job = 3;
  /// A failure makes the server suspect for this time, or until a success.
  std::int64_t suspicion_ms = 30'000;
  /// Failures older than this are forgotten.
  std::int64_t retention_ms = 3'600'000;
  /// First quarantine of a server; doubles at each failed probe.
  std::int64_t first_quarantine_ms = 60'000;
  std::int64_t max_quarantine_ms = 3'600'000;
};

enum class ServerTrust : std::uint8_t
{
  Trusted,
  Quarantined,
  Probing, ///< One job may be tried; its result ends or prolongs quarantine.
};

/// Distinguishes faulty servers from faulty jobs: a server is faulty only if
/// several jobs fail on it, a job only if it fails on several servers.
class FailureTracker
{
public:
  explicit FailureTracker(const QuarantineLimits& limits);

  void record_failure(NameId server,
                      const std::string& job,
                      std::int64_t now_ms);
  void record_success(NameId server,
                      const std::string& job,
                      std::int64_t now_ms);

  ServerTrust server_trust(NameId server, std::int64_t now_ms) const;
  /// Whether a job that is not faulty failed on the server lately, with no
  /// success on the server since.
  bool suspected(NameId server, std::int64_t now_ms) const;
  /// Whether the job failed on enough servers to be stopped. Counts only
  /// failures on trusted servers that are at most `retention_ms` old.
  bool job_is_faulty(const std::string& job, std::int64_t now_ms) const;
  /// Drops failures older than `retention_ms`.
  void expire(std::int64_t now_ms);

private:
  struct Failure
  {
    NameId server = 0;
    std::string job;
    std::int64_t at_ms = 0;
  };
  struct Quarantine
  {
    std::int64_t until_ms = 0;
    std::int64_t length_ms = 0;
  };
  bool failed_enough_jobs(NameId server, std::int64_t now_ms) const;

  QuarantineLimits limits;
  std::vector<Failure> failures;
  std::unordered_map<NameId, Quarantine> quarantines;
};

} // namespace geraniumhinge::core
