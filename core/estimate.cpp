#include "core/estimate.h"

#include <algorithm>
#include <cmath>

namespace geraniumhinge::core {

namespace {

/// Latest runs kept for each class.
constexpr std::size_t MAX_KEPT_RUNS = 32;
/// Fewest runs of a class for which the measured run times may be used instead
/// of the declared time multiplied by the median ratio.
constexpr std::size_t MIN_CLASS_RUNS = 5;
/// Declared values are too low or too high by up to this factor.
constexpr double MAX_ERROR_FACTOR = 10.0;
/// Factor for each sample; a usage peak halves after about 14 samples.
constexpr double USAGE_DECAY = 0.95;

double
median(std::vector<double> values)
{
  const auto middle =
    values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

/// Mean absolute deviation of the logarithms from their median: lower if the
/// median predicts the values better.
double
mean_log_deviation(const std::vector<double>& values)
{
  const double log_median = std::log(median(values));
  double sum = 0;
  for (const double value : values) {
    sum += std::abs(std::log(value) - log_median);
  }
  return sum / static_cast<double>(values.size());
}

void
store_sample(std::vector<double>& values, std::size_t next, double value)
{
  if (values.size() < MAX_KEPT_RUNS) {
    values.push_back(value);
  } else {
    values[next % MAX_KEPT_RUNS] = value;
  }
}

double
decayed_peak(double ratio, std::uint32_t used, std::uint32_t declared)
{
  if (declared == 0) {
    return ratio;
  }
  const double now = static_cast<double>(used) / declared;
  return std::max(std::min(now, MAX_ERROR_FACTOR), ratio * USAGE_DECAY);
}

std::uint32_t
corrected(std::uint32_t declared, double ratio)
{
  const double factor = std::clamp(ratio, 1.0, MAX_ERROR_FACTOR);
  return static_cast<std::uint32_t>(std::ceil(declared * factor));
}

} // namespace

void
Estimator::record_run(NameId organisation,
                      const std::string& job_class,
                      std::int64_t declared_ms,
                      std::int64_t actual_ms)
{
  if (actual_ms <= 0) {
    return;
  }
  History& history = this->histories[{ organisation, job_class }];
  const double actual = static_cast<double>(actual_ms);
  store_sample(history.run_ms, history.next, actual);
  if (declared_ms > 0) {
    const double ratio = actual / static_cast<double>(declared_ms);
    store_sample(history.ratios,
                 history.next,
                 std::clamp(ratio, 1 / MAX_ERROR_FACTOR, MAX_ERROR_FACTOR));
  }
  ++history.next;
}

void
Estimator::record_usage(NameId organisation,
                        const std::string& job_class,
                        const JobSize& declared,
                        const JobSize& used)
{
  History& history = this->histories[{ organisation, job_class }];
  history.cores_ratio =
    decayed_peak(history.cores_ratio, used.cores, declared.cores);
  history.memory_ratio =
    decayed_peak(history.memory_ratio, used.memory_mb, declared.memory_mb);
}

JobSize
Estimator::estimate(NameId organisation,
                    const std::string& job_class,
                    const JobSize& declared) const
{
  const auto found = this->histories.find({ organisation, job_class });
  if (found == this->histories.end()) {
    return declared;
  }
  const History& history = found->second;
  JobSize size = declared;
  size.cores = corrected(declared.cores, history.cores_ratio);
  size.memory_mb = corrected(declared.memory_mb, history.memory_ratio);
  if (history.run_ms.empty()) {
    return size;
  }
  const bool use_measured_runs =
    declared.run_ms <= 0 || history.ratios.empty() ||
    (history.run_ms.size() >= MIN_CLASS_RUNS &&
     mean_log_deviation(history.run_ms) < mean_log_deviation(history.ratios));
  const double run = use_measured_runs ? median(history.run_ms)
                                       : static_cast<double>(declared.run_ms) *
                                           median(history.ratios);
  size.run_ms = static_cast<std::int64_t>(run);
  return size;
}

std::int64_t
Estimator::extended_estimate(std::int64_t estimate_ms, std::int64_t elapsed_ms)
{
  std::int64_t expected = std::max<std::int64_t>(estimate_ms, 1);
  while (expected <= elapsed_ms) {
    expected *= 2;
  }
  return expected;
}

} // namespace geraniumhinge::core
