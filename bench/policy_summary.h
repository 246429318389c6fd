#pragma once

#include "bench/policy_replay.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace geraniumhinge::bench {

/// A metric with one value per seed.
struct Metric
{
  std::vector<double> values;

  double mean() const
  {
    double sum = 0;
    for (const double value : this->values) {
      sum += value;
    }
    return this->values.empty()
             ? 0
             : sum / static_cast<double>(this->values.size());
  }

  double standard_deviation() const
  {
    double sum = 0;
    for (const double value : this->values) {
      sum += (value - this->mean()) * (value - this->mean());
    }
    const double count = static_cast<double>(this->values.size());
    return count > 1 ? std::sqrt(sum / (count - 1)) : 0;
  }
};

inline double
percentile(std::vector<double> values, double share)
{
  if (values.empty()) {
    return 0;
  }
  const std::size_t index = std::min(
    values.size() - 1,
    static_cast<std::size_t>(share * static_cast<double>(values.size())));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(index),
                   values.end());
  return values[index];
}

inline double
mean_of(const std::vector<double>& values)
{
  return Metric{ values }.mean();
}

/// The metrics of a variant by name, over the seeds added.
class Summary
{
public:
  void add(const Stream& stream, const Result& result)
  {
    std::vector<double> completion;
    std::vector<double> slowdown;
    std::vector<double> large_wait;
    std::vector<double> urgent_wait;
    for (const FinishedJob& finished_job : result.finished) {
      const StreamJob& job = stream.jobs[finished_job.id];
      completion.push_back(finished_job.completion_ms / MINUTE_MS);
      slowdown.push_back(finished_job.completion_ms /
                         static_cast<double>(job.run_ms));
      if (core::total_accelerators(job.shape) >=
          stream.deployment->large_job_accelerators) {
        large_wait.push_back(finished_job.wait_ms / MINUTE_MS);
      }
      if (job.urgent) {
        urgent_wait.push_back(finished_job.wait_ms / 1'000);
      }
    }
    this->add_value("completion_min", mean_of(completion));
    this->add_value("slowdown_mean", mean_of(slowdown));
    this->add_value("slowdown_p50", percentile(slowdown, 0.5));
    this->add_value("slowdown_p99", percentile(slowdown, 0.99));
    this->add_value("large_wait_min", mean_of(large_wait));
    this->add_value("large_wait_p99_min", percentile(large_wait, 0.99));
    this->add_value("fragmentation", mean_of(result.fragmentation));
    this->add_value("urgent_start_p50_s", percentile(urgent_wait, 0.5));
    this->add_value("urgent_start_p99_s", percentile(urgent_wait, 0.99));
    this->add_value("urgent_in_1.6s", share_within(urgent_wait, 1.6));
    this->add_value("lost_work_share",
                    result.lost_work_ms / result.useful_work_ms);
    this->add_value("preemptions", result.preemptions);
    this->add_value("migrations", result.migrations);
    this->add_value("refused_guarantees", result.refused_guarantees);
    this->add_value("finished", static_cast<double>(result.finished.size()));
    this->add_value("cancelled", result.cancelled);
  }

  const Metric& operator[](const std::string& name) const
  {
    return this->metrics.at(name);
  }

  nlohmann::json json() const
  {
    nlohmann::json result;
    for (const auto& [name, metric] : this->metrics) {
      result[name] = { { "mean", metric.mean() },
                       { "spread", metric.standard_deviation() } };
    }
    return result;
  }

private:
  static double share_within(const std::vector<double>& waits, double limit)
  {
    const std::ptrdiff_t within =
      std::count_if(waits.begin(), waits.end(), [limit](double wait) {
        return wait <= limit;
      });
    return waits.empty()
             ? 1.0
             : static_cast<double>(within) / static_cast<double>(waits.size());
  }

  void add_value(const std::string& name, double value)
  {
    this->metrics[name].values.push_back(value);
  }

  std::map<std::string, Metric> metrics;
};

} // namespace geraniumhinge::bench
