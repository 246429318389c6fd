#pragma once

#include "bench/policy_replay.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace geraniumhinge::bench {

/// Mean and spread (standard deviation) over seeds.
struct Figure
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

  double spread() const
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
  const std::size_t at = std::min(
    values.size() - 1,
    static_cast<std::size_t>(share * static_cast<double>(values.size())));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(at),
                   values.end());
  return values[at];
}

inline double
mean_of(const std::vector<double>& values)
{
  return Figure{ values }.mean();
}

/// Figures of a variant, by name, over the seeds added.
class Summary
{
public:
  void add(const Stream& stream, const Result& result)
  {
    std::vector<double> completion;
    std::vector<double> slowdown;
    std::vector<double> large_wait;
    std::vector<double> urgent_wait;
    for (const FinishedJob& one : result.finished) {
      const StreamJob& job = stream.jobs[one.id];
      completion.push_back(one.completion_ms / MINUTE);
      slowdown.push_back(one.completion_ms / static_cast<double>(job.run_ms));
      if (core::total_accelerators(job.shape) >= stream.deployment->large) {
        large_wait.push_back(one.wait_ms / MINUTE);
      }
      if (job.urgent) {
        urgent_wait.push_back(one.wait_ms / 1'000);
      }
    }
    this->put("completion_min", mean_of(completion));
    this->put("slowdown_mean", mean_of(slowdown));
    this->put("slowdown_p50", percentile(slowdown, 0.5));
    this->put("slowdown_p99", percentile(slowdown, 0.99));
    this->put("large_wait_min", mean_of(large_wait));
    this->put("large_wait_p99_min", percentile(large_wait, 0.99));
    this->put("fragmentation", mean_of(result.fragmentation));
    this->put("urgent_start_p50_s", percentile(urgent_wait, 0.5));
    this->put("urgent_start_p99_s", percentile(urgent_wait, 0.99));
    this->put("urgent_in_1.6s", share_within(urgent_wait, 1.6));
    this->put("lost_work_share", result.lost_work_ms / result.useful_work_ms);
    this->put("preemptions", result.preemptions);
    this->put("migrations", result.migrations);
    this->put("refused_guarantees", result.refused_guarantees);
    this->put("finished", static_cast<double>(result.finished.size()));
    this->put("cancelled", result.cancelled);
  }

  const Figure& operator[](const std::string& name) const
  {
    return this->figures.at(name);
  }

  nlohmann::json json() const
  {
    nlohmann::json all;
    for (const auto& [name, figure] : this->figures) {
      all[name] = { { "mean", figure.mean() }, { "spread", figure.spread() } };
    }
    return all;
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

  void put(const std::string& name, double value)
  {
    this->figures[name].values.push_back(value);
  }

  std::map<std::string, Figure> figures;
};

} // namespace geraniumhinge::bench
