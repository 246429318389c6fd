#pragma once

#include "core/names.h"
#include "core/shape.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace geraniumhinge::core {

/// Run time and size of one member of a job.
struct JobSize
{
  std::int64_t run_ms = 0; ///< 0 if not declared.
  std::uint32_t cores = 0;
  std::uint32_t memory_mb = 0;
};

/// Corrects declared sizes and run times by organisation and job class, from
/// measured usage that arrives with a delay. Declared values are wrong by a
/// factor of up to ten.
class Estimator
{
public:
  /// Records the run time of a finished job.
  void record_run(NameId organisation,
                  const std::string& job_class,
                  std::int64_t declared_ms,
                  std::int64_t actual_ms);
  /// Records the usage of a running job's member.
  void record_usage(NameId organisation,
                    const std::string& job_class,
                    const JobSize& declared,
                    const JobSize& used);

  /// Corrected sizes. Cores and memory are never below the declared values,
  /// because the caller relies on them as limits.
  JobSize estimate(NameId organisation,
                   const std::string& job_class,
                   const JobSize& declared) const;

  /// Expected total run time of a job that has run for `elapsed_ms`: the
  /// estimate, doubled until it exceeds the elapsed time.
  static std::int64_t extended_estimate(std::int64_t estimate_ms,
                                        std::int64_t elapsed_ms);

private:
  struct History
  {
    std::vector<double> run_ms; // Latest measured run times.
    std::vector<double> ratios; // Measured / declared run time.
    double cores_ratio = 0;     // Used / declared, decaying peak.
    double memory_ratio = 0;    // Used / declared, decaying peak.
    std::size_t next = 0;
  };
  std::map<std::pair<NameId, std::string>, History> histories;
};

} // namespace geraniumhinge::core
