#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace geraniumhinge::kernel {

/// A value that only increases.
class Counter
{
public:
  void add(std::uint64_t amount = 1) { this->total += amount; }
  std::uint64_t value() const { return this->total; }

private:
  std::uint64_t total = 0;
};

/// A value that can increase and decrease.
class Gauge
{
public:
  void set(double value) { this->current = value; }
  double value() const { return this->current; }

private:
  double current = 0;
};

/// Count, sum, maximum and estimated quantiles of measured values.
class Summary
{
public:
  Summary();
  ~Summary();
  Summary(const Summary&) = delete;
  Summary& operator=(const Summary&) = delete;

  void observe(double value);
  std::uint64_t count() const;
  double sum() const;
  double max() const;
  double quantile(double probability) const;

private:
  struct Samples;
  std::unique_ptr<Samples> samples;
};

/// Counts of durations in fixed buckets, in milliseconds. Buckets of several
/// processes can be added up.
class Histogram
{
public:
  Histogram();
  ~Histogram();
  Histogram(const Histogram&) = delete;
  Histogram& operator=(const Histogram&) = delete;

  void observe(double value_ms);

  struct Bucket
  {
    double upper_bound_ms = 0; ///< Infinite for the last bucket.
    std::uint64_t count = 0;
  };
  std::vector<Bucket> buckets() const;
  std::uint64_t count() const;
  double sum() const;

private:
  struct Samples;
  std::unique_ptr<Samples> samples;
};

/// All metrics of a process by name. A reference to a metric stays valid as
/// long as this object exists.
class Metrics
{
public:
  /// Returns the metric `name`, which is added if it is new. `name` may contain
  /// labels: `jobs_total{outcome="failed"}`.
  Counter& counter(const std::string& name);
  Gauge& gauge(const std::string& name);
  Summary& summary(const std::string& name);
  Histogram& histogram(const std::string& name);

  /// Formats all metrics in the Prometheus text exposition format, version
  /// 0.0.4.
  std::string text() const;

private:
  std::map<std::string, std::unique_ptr<Counter>> counters;
  std::map<std::string, std::unique_ptr<Gauge>> gauges;
  std::map<std::string, std::unique_ptr<Summary>> summaries;
  std::map<std::string, std::unique_ptr<Histogram>> histograms;
};

} // namespace geraniumhinge::kernel
