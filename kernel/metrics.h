#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

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

/// All metrics of a process by name. References stay valid for its life.
class Metrics
{
public:
  /// `name` may carry labels: `jobs_total{outcome="failed"}`.
  Counter& counter(const std::string& name);
  Gauge& gauge(const std::string& name);
  Summary& summary(const std::string& name);

  /// The Prometheus text exposition format, version 0.0.4.
  std::string text() const;

private:
  std::map<std::string, std::unique_ptr<Counter>> counters;
  std::map<std::string, std::unique_ptr<Gauge>> gauges;
  std::map<std::string, std::unique_ptr<Summary>> summaries;
};

} // namespace geraniumhinge::kernel
