#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace geraniumhinge::kernel {

/// A value that only grows.
class Counter
{
public:
  void add(std::uint64_t amount = 1) { this->total += amount; }
  std::uint64_t value() const { return this->total; }

private:
  std::uint64_t total = 0;
};

/// A value that goes up and down.
class Gauge
{
public:
  void set(double value) { this->current = value; }
  double value() const { return this->current; }

private:
  double current = 0;
};

/// A distribution of measured values: count, sum, maximum and quantiles.
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

/// A distribution of durations in milliseconds, counted in fixed buckets, which
/// can be added up over processes.
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
    double up_to_ms = 0; ///< Infinite for the last one.
    std::uint64_t count = 0;
  };
  std::vector<Bucket> buckets() const;
  std::uint64_t count() const;
  double sum() const;

private:
  struct Samples;
  std::unique_ptr<Samples> samples;
};

/// All metrics of a process by name. References stay valid for its life.
class Metrics
{
public:
  /// `name` may carry labels: `jobs_total{outcome="failed"}`.
  Counter& counter(const std::string& name);
  Gauge& gauge(const std::string& name);
  Summary& summary(const std::string& name);
  Histogram& histogram(const std::string& name);

  /// The Prometheus text exposition format, version 0.0.4.
  std::string text() const;

private:
  std::map<std::string, std::unique_ptr<Counter>> counters;
  std::map<std::string, std::unique_ptr<Gauge>> gauges;
  std::map<std::string, std::unique_ptr<Summary>> summaries;
  std::map<std::string, std::unique_ptr<Histogram>> histograms;
};

} // namespace geraniumhinge::kernel
