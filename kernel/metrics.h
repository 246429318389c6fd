#pragma once

// The quantile header needs <sstream> and does not include it.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
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
  void observe(double value) { this->samples(value); }
  std::uint64_t count() const;
  double sum() const;
  double max() const;
  double quantile(double probability) const;

private:
  using Statistics = boost::accumulators::stats<
    boost::accumulators::tag::count,
    boost::accumulators::tag::sum,
    boost::accumulators::tag::max,
    boost::accumulators::tag::extended_p_square_quantile>;
  boost::accumulators::accumulator_set<double, Statistics> samples;
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
