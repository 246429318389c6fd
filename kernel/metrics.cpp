#include "kernel/metrics.h"

// Boost's extended_p_square_quantile.hpp uses <sstream> without including it.
#include <sstream>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <fmt/format.h>
#include <limits>

namespace geraniumhinge::kernel {

namespace acc = boost::accumulators;

namespace {

/// Lower bound of the first histogram bucket, then the upper bound of each
/// bucket but the last, which has none.
constexpr std::array<double, 13> BOUNDS_MS = {
  0, 5, 10, 25, 50, 100, 250, 500, 1'000, 2'500, 5'000, 10'000, 30'000
};
constexpr std::array<double, 3> QUANTILES = { 0.5, 0.9, 0.99 };

template<typename Metric>
Metric&
find_or_add(std::map<std::string, std::unique_ptr<Metric>>& metrics,
            const std::string& name)
{
  std::unique_ptr<Metric>& metric = metrics[name];
  if (!metric)
    metric = std::make_unique<Metric>();
  return *metric;
}

std::string
base_name(const std::string& name)
{
  return name.substr(0, name.find('{'));
}

/// Appends the TYPE line unless `last_base`, the base name of the previous
/// metric, is the same: all label sets of a metric share one TYPE line.
void
append_type(std::string& text,
            std::string& last_base,
            const std::string& name,
            const char* type)
{
  std::string base = base_name(name);
  if (base == last_base)
    return;
  text += fmt::format("# TYPE geraniumhinge_{} {}\n", base, type);
  last_base = base;
}

/// Appends the lines of a histogram. Labels in `name` are written before the
/// label `le` of the bucket.
void
append_histogram(std::string& text,
                 const std::string& name,
                 const Histogram& histogram)
{
  std::string base = base_name(name);
  std::string labels = name.substr(base.size());
  std::string label_prefix =
    labels.empty() ? "" : labels.substr(1, labels.size() - 2) + ',';
  std::uint64_t cumulative_count = 0;
  for (const Histogram::Bucket& bucket : histogram.buckets()) {
    cumulative_count += bucket.count;
    std::string bound =
      bucket.upper_bound_ms == std::numeric_limits<double>::infinity()
        ? "+Inf"
        : fmt::format("{}", bucket.upper_bound_ms);
    text += fmt::format("geraniumhinge_{}_bucket{{{}le=\"{}\"}} {}\n",
                        base,
                        label_prefix,
                        bound,
                        cumulative_count);
  }
  text +=
    fmt::format("geraniumhinge_{}_sum{} {}\n", base, labels, histogram.sum());
  text += fmt::format(
    "geraniumhinge_{}_count{} {}\n", base, labels, histogram.count());
}

} // namespace

struct Summary::Samples
{
  using Statistics = acc::stats<acc::tag::count,
                                acc::tag::sum,
                                acc::tag::max,
                                acc::tag::extended_p_square_quantile>;
  acc::accumulator_set<double, Statistics> set{
    acc::tag::extended_p_square_quantile::probabilities = QUANTILES
  };
};

Summary::Summary()
  : samples(std::make_unique<Samples>())
{
}

Summary::~Summary() = default;

void
Summary::observe(double value)
{
  this->samples->set(value);
}

std::uint64_t
Summary::count() const
{
  return acc::count(this->samples->set);
}

double
Summary::sum() const
{
  return acc::sum(this->samples->set);
}

double
Summary::max() const
{
  return this->count() == 0 ? 0 : acc::max(this->samples->set);
}

double
Summary::quantile(double probability) const
{
  // The P-square estimator needs a sample for each of its markers, of which
  // there are 2 per quantile and 3 more.
  if (this->count() < 2 * QUANTILES.size() + 3)
    return this->max();
  return acc::quantile(this->samples->set,
                       acc::quantile_probability = probability);
}

struct Histogram::Samples
{
  boost::histogram::histogram<
    std::tuple<boost::histogram::axis::variable<double>>>
    counts = boost::histogram::make_histogram(
      boost::histogram::axis::variable<double>(BOUNDS_MS.begin(),
                                               BOUNDS_MS.end()));
  acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>> set;
};

Histogram::Histogram()
  : samples(std::make_unique<Samples>())
{
}

Histogram::~Histogram() = default;

void
Histogram::observe(double value_ms)
{
  this->samples->counts(value_ms);
  this->samples->set(value_ms);
}

std::vector<Histogram::Bucket>
Histogram::buckets() const
{
  std::vector<Bucket> buckets;
  int bins = static_cast<int>(BOUNDS_MS.size()) - 1;
  for (int bin = 0; bin <= bins; ++bin) {
    Bucket bucket;
    bucket.upper_bound_ms = bin < bins
                              ? BOUNDS_MS[static_cast<std::size_t>(bin) + 1]
                              : std::numeric_limits<double>::infinity();
    bucket.count = static_cast<std::uint64_t>(this->samples->counts.at(bin));
    buckets.push_back(bucket);
  }
  return buckets;
}

std::uint64_t
Histogram::count() const
{
  return acc::count(this->samples->set);
}

double
Histogram::sum() const
{
  return acc::sum(this->samples->set);
}

Counter&
Metrics::counter(const std::string& name)
{
  return find_or_add(this->counters, name);
}

Gauge&
Metrics::gauge(const std::string& name)
{
  return find_or_add(this->gauges, name);
}

Summary&
Metrics::summary(const std::string& name)
{
  return find_or_add(this->summaries, name);
}

Histogram&
Metrics::histogram(const std::string& name)
{
  return find_or_add(this->histograms, name);
}

std::string
Metrics::text() const
{
  std::string text;
  std::string last_base;
  for (const auto& [name, counter] : this->counters) {
    append_type(text, last_base, name, "counter");
    text += fmt::format("geraniumhinge_{} {}\n", name, counter->value());
  }
  for (const auto& [name, gauge] : this->gauges) {
    append_type(text, last_base, name, "gauge");
    text += fmt::format("geraniumhinge_{} {}\n", name, gauge->value());
  }
  for (const auto& [name, summary] : this->summaries) {
    append_type(text, last_base, name, "summary");
    for (double probability : QUANTILES)
      text += fmt::format("geraniumhinge_{}{{quantile=\"{}\"}} {}\n",
                          name,
                          probability,
                          summary->quantile(probability));
    text += fmt::format("geraniumhinge_{}_sum {}\n", name, summary->sum());
    text += fmt::format("geraniumhinge_{}_count {}\n", name, summary->count());
  }
  for (const std::pair<const std::string, std::unique_ptr<Histogram>>& item :
       this->histograms) {
    append_type(text, last_base, item.first, "histogram");
    append_histogram(text, item.first, *item.second);
  }
  return text;
}

} // namespace geraniumhinge::kernel
