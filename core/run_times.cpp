#include "core/run_times.h"

#include <algorithm>
#include <cmath>

namespace geraniumhinge::core {

namespace {

/// Variance of the logarithm of the factor of an unknown node: servers of one
/// fleet differ by factors of up to three.
constexpr double UNKNOWN_NODE_VARIANCE = 0.16;
constexpr double MIN_NODE_VARIANCE = 0.001;
/// Growth of a node's variance. With a run every 3 s, a new speed is half
/// learned after about 6 runs that are not unlikely by the old one.
constexpr double NODE_DRIFT_PER_S = 0.0006;
/// The factor of a node without runs returns to 1, so that a server that was
/// slow is tried again.
constexpr double NODE_MEMORY_S = 600;
/// Without a run for this long, a node counts as idle.
constexpr double MIN_IDLE_S = 10;

/// Variance of the logarithm of run time / declared time.
constexpr double UNKNOWN_KIND_VARIANCE = 0.25;
constexpr double UNDECLARED_VARIANCE = 100;
/// For each step. Larger values let a few steps in a row that take too long
/// change the expected times of all.
constexpr double KIND_DRIFT = 0.0002;
constexpr double KIND_SCATTER = 0.15;
constexpr double MIN_SCATTER = 0.01;
constexpr double MAX_SCATTER = 1;
constexpr double SCATTER_WEIGHT = 0.02; ///< Of one sample.
/// Limit for the influence of one sample on the scatter, in variances, so that
/// tasks that run far too long do not hide the differences of the nodes.
constexpr double MAX_SCATTER_SAMPLE = 6;

/// Samples further off than this, in standard deviations, count only if the
/// next one is as well: 3 of 100 runs take 7 times as long, for no fault of
/// their server.
constexpr double UNLIKELY = 2;
constexpr double MAX_INNOVATION = 1; ///< Factor 2.7.
/// Samples of one batch further from their median are not used for the need.
constexpr double MAX_FROM_MEDIAN = 1.2;
constexpr std::size_t MIN_MEDIAN_SAMPLES = 3;

/// Nodes that must be known before their speeds can differ.
constexpr std::size_t MIN_NODES = 4;
/// Agreement, in standard deviations of chance, from which the speeds differ,
/// and below which they no longer do.
constexpr double DIFFER_AGREEMENT = 4;
constexpr double SAME_AGREEMENT = 2;
/// Samples of each node over which the agreement is averaged.
constexpr double AGREEMENT_SAMPLES = 30;
/// One node that is off by a factor of two or more shows that the speeds differ
/// sooner than the agreement of all nodes does: by five such samples in a row,
/// or more with others in between.
constexpr double FAR_LOG = 0.69;
constexpr int FAR_REWARD = 2;
constexpr int FAR_PENALTY = 3;
constexpr int MIN_FAR_SCORE = 10;
constexpr int MAX_FAR_SCORE = 16;
/// Smaller differences have no effect.
constexpr double MIN_FACTOR_LOG = 0.1;
/// Stored factors beyond this, or below its inverse, are not believed.
constexpr double MAX_FACTOR = 20;

/// Steps of a kind after which its declared times may be corrected, and the
/// smallest correction, a factor of 1.5: starts, reports and tasks that take
/// far too long let right times look too short.
constexpr std::uint64_t MIN_KIND_STEPS = 8;
constexpr double MIN_CORRECTION_LOG = 0.4;
constexpr double MIN_CORRECTION_DEVIATIONS = 3;

constexpr std::int64_t REFRESH_PERIOD_MS = 1'000;
constexpr double MS_PER_S = 1'000;
constexpr std::size_t MAX_NODES = 4'096;
constexpr std::size_t MAX_KINDS = 256;
constexpr std::size_t MAX_STEPS = 4'096;

double
median_of(std::vector<double>& values)
{
  std::vector<double>::iterator middle =
    values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

std::string
kind_key(const std::string& kind, bool declared)
{
  return (declared ? "d/" : "u/") + kind;
}

} // namespace

RunTimes::Node&
RunTimes::node_of(const std::string& name)
{
  std::pair<std::map<std::string, Node>::iterator, bool> inserted =
    this->nodes.try_emplace(name);
  if (inserted.second)
    inserted.first->second.log_factor.variance = UNKNOWN_NODE_VARIANCE;
  return inserted.first->second;
}

RunTimes::Need&
RunTimes::need_of(const StepKey& step, const StepEstimate& estimate)
{
  std::pair<std::map<StepKey, Need>::iterator, bool> inserted =
    this->needs.try_emplace(step);
  Need& need = inserted.first->second;
  if (!inserted.second)
    return need;
  need.declared = estimate.declared_ms > 0;
  need.kind = kind_key(estimate.kind, need.declared);
  need.log_declared = std::log(
    static_cast<double>(std::max<std::int64_t>(estimate.declared_ms, 1)));
  need.log_ms.mean = need.log_declared;
  need.log_ms.variance = KIND_SCATTER + (need.declared ? UNKNOWN_KIND_VARIANCE
                                                       : UNDECLARED_VARIANCE);
  std::map<std::string, Kind>::const_iterator known =
    this->kinds.find(need.kind);
  if (known != this->kinds.end()) {
    need.log_ms.mean += known->second.log_ratio.mean;
    need.log_ms.variance =
      known->second.log_ratio.variance + known->second.scatter;
  }
  return need;
}

void
RunTimes::record(const StepKey& step,
                 const StepEstimate& estimate,
                 const std::vector<RunSample>& samples,
                 std::int64_t now_ms)
{
  if (!this->needs.contains(step) && this->needs.size() >= MAX_STEPS)
    this->needs.clear();
  Need& need = this->need_of(step, estimate);
  for (const RunSample& sample : samples) {
    if (sample.run_ms > 0 && !sample.node.empty())
      need.waiting.push_back(sample);
  }
  // A single sample would be compared with the declared time alone. If that is
  // wrong, all nodes of the step look slow or fast.
  bool enough = need.sampled || need.waiting.size() >=
                                  std::min(estimate.tasks, MIN_MEDIAN_SAMPLES);
  if (enough)
    this->record_waiting(need, now_ms);
}

/// Joins the samples of each node.
std::vector<RunTimes::Observed>
RunTimes::observe(Need& need)
{
  std::map<std::string, std::vector<double>> logs;
  for (const RunSample& sample : need.waiting) {
    if (this->nodes.contains(sample.node) ||
        this->nodes.size() + logs.size() < MAX_NODES)
      logs[sample.node].push_back(std::log(static_cast<double>(sample.run_ms)));
  }
  need.waiting.clear();
  std::vector<Observed> observed;
  observed.reserve(logs.size());
  for (std::pair<const std::string, std::vector<double>>& item : logs) {
    Observed joined;
    joined.node = &this->node_of(item.first);
    joined.log_ms = median_of(item.second);
    joined.variance =
      this->task_scatter / static_cast<double>(item.second.size());
    joined.need = joined.log_ms - joined.node->log_factor.mean;
    joined.precision = 1 / (joined.node->log_factor.variance + joined.variance);
    // All samples of one step share the error of its need, which must not count
    // twice against a node.
    joined.counts = need.nodes.insert(item.first).second;
    observed.push_back(joined);
  }
  return observed;
}

/// Compares each node with what the step needs by the samples of all others.
void
RunTimes::record_waiting(Need& need, std::int64_t now_ms)
{
  std::vector<Observed> observed = this->observe(need);
  if (observed.empty())
    return;
  std::vector<double> needs;
  needs.reserve(observed.size());
  for (const Observed& item : observed)
    needs.push_back(item.need);
  Estimate prior = need.log_ms;
  double median = median_of(needs);
  bool reliable_median = observed.size() >= MIN_MEDIAN_SAMPLES;
  // A step that needs far more than declared says nothing about its servers.
  if (reliable_median && !need.sampled)
    prior.variance = std::max(prior.variance, std::pow(median - prior.mean, 2));
  double precision = 1 / prior.variance;
  double weighted = prior.mean / prior.variance;
  for (Observed& item : observed) {
    double off =
      reliable_median
        ? std::abs(item.need - median) / MAX_FROM_MEDIAN
        : std::abs(item.need - prior.mean) /
            (UNLIKELY * std::sqrt(prior.variance + 1 / item.precision));
    if (off > 1)
      item.precision = 0;
    precision += item.precision;
    weighted += item.need * item.precision;
  }
  for (const Observed& item : observed) {
    double other_precision = precision - item.precision;
    double other_mean =
      (weighted - item.need * item.precision) / other_precision;
    if (item.counts)
      this->update_node(
        *item.node,
        { item.log_ms - other_mean, item.variance + 1 / other_precision },
        now_ms);
  }
  need.log_ms = { weighted / precision, 1 / precision };
  need.sampled = true;
}

/// `sample`: the logarithm of the node's factor, with the scatter of its tasks
/// and the uncertainty of what their step needs.
void
RunTimes::update_node(Node& node, const Estimate& sample, std::int64_t now_ms)
{
  this->compare(node, sample.mean);
  double noise = sample.variance;
  double variance = node.log_factor.variance + noise;
  double off = sample.mean - node.log_factor.mean;
  this->task_scatter = std::clamp(
    this->task_scatter +
      SCATTER_WEIGHT *
        (std::min(off * off, MAX_SCATTER_SAMPLE * variance) - variance),
    MIN_SCATTER,
    MAX_SCATTER);
  int sign = off < 0 ? -1 : 1;
  bool unlikely = std::abs(off) > UNLIKELY * std::sqrt(variance);
  bool repeated = unlikely && node.unlikely == sign;
  node.unlikely = unlikely ? sign : 0;
  node.sampled_ms = now_ms;
  if (unlikely && !repeated)
    return;
  // Two unlikely samples in a row: the node's speed has changed.
  if (repeated)
    node.log_factor.variance = UNKNOWN_NODE_VARIANCE;
  double gain = node.log_factor.variance / (node.log_factor.variance + noise);
  node.log_factor.mean +=
    gain * std::clamp(off, -MAX_INNOVATION, MAX_INNOVATION);
  node.log_factor.variance *= 1 - gain;
}

void
RunTimes::learn_kind(const Need& need)
{
  if (!need.sampled ||
      (!this->kinds.contains(need.kind) && this->kinds.size() >= MAX_KINDS))
    return;
  Kind& kind = this->kinds[need.kind];
  if (kind.steps == 0) {
    kind.log_ratio.variance =
      need.declared ? UNKNOWN_KIND_VARIANCE : UNDECLARED_VARIANCE;
    kind.scatter = KIND_SCATTER;
  }
  double noise = kind.scatter + need.log_ms.variance;
  double variance = kind.log_ratio.variance + noise;
  double limit = UNLIKELY * std::sqrt(variance);
  double off = std::clamp(
    need.log_ms.mean - need.log_declared - kind.log_ratio.mean, -limit, limit);
  double gain = kind.log_ratio.variance / variance;
  if (kind.steps > 0)
    kind.scatter =
      std::clamp(kind.scatter + SCATTER_WEIGHT * (off * off - variance),
                 MIN_SCATTER,
                 MAX_SCATTER);
  kind.log_ratio.mean += gain * off;
  kind.log_ratio.variance = kind.log_ratio.variance * (1 - gain) + KIND_DRIFT;
  ++kind.steps;
}

void
RunTimes::forget(const std::string& workflow)
{
  std::map<StepKey, Need>::iterator item =
    this->needs.lower_bound({ workflow, 0, 0 });
  while (item != this->needs.end() && item->first.workflow == workflow) {
    this->record_waiting(item->second, this->refreshed_ms);
    this->learn_kind(item->second);
    item = this->needs.erase(item);
  }
}

/// Whether declared times of the kind are known to be wrong.
bool
RunTimes::is_wrong(const Kind& kind)
{
  double off = std::abs(kind.log_ratio.mean);
  return kind.steps >= MIN_KIND_STEPS && off > MIN_CORRECTION_LOG &&
         off > MIN_CORRECTION_DEVIATIONS * std::sqrt(kind.log_ratio.variance);
}

std::int64_t
RunTimes::expected_ms(const std::string& kind, std::int64_t declared_ms) const
{
  std::map<std::string, Kind>::const_iterator found =
    this->kinds.find(kind_key(kind, declared_ms > 0));
  if (found == this->kinds.end() || !is_wrong(found->second))
    return declared_ms;
  return std::llround(
    static_cast<double>(std::max<std::int64_t>(declared_ms, 1)) *
    std::exp(found->second.log_ratio.mean));
}

double
RunTimes::speed(const std::string& node) const
{
  if (!this->differ)
    return 1;
  std::map<std::string, Node>::const_iterator found = this->nodes.find(node);
  if (found == this->nodes.end() ||
      std::abs(found->second.log_factor.mean) < MIN_FACTOR_LOG)
    return 1;
  return std::exp(found->second.log_factor.mean);
}

void
RunTimes::refresh(std::int64_t now_ms)
{
  std::int64_t passed_ms = now_ms - this->refreshed_ms;
  if (this->refreshed_ms != 0 && passed_ms < REFRESH_PERIOD_MS)
    return;
  double passed_s =
    this->refreshed_ms == 0 ? 0 : static_cast<double>(passed_ms) / MS_PER_S;
  this->refreshed_ms = now_ms;
  this->decay(passed_s, now_ms);
  this->center();
  double limit = this->differ ? SAME_AGREEMENT : DIFFER_AGREEMENT;
  bool agree =
    this->agreement.products > limit * std::sqrt(this->agreement.squares);
  this->differ =
    this->nodes.size() >= MIN_NODES && (agree || this->node_is_far_off());
  this->corrects =
    std::any_of(this->kinds.begin(),
                this->kinds.end(),
                [](const std::pair<const std::string, Kind>& item) {
                  return is_wrong(item.second);
                });
}

/// Makes the figures of all nodes less certain, and forgets those of nodes that
/// have not run anything for long.
void
RunTimes::decay(double passed_s, std::int64_t now_ms)
{
  double kept = std::exp(-passed_s / NODE_MEMORY_S);
  std::map<std::string, Node>::iterator item = this->nodes.begin();
  while (item != this->nodes.end()) {
    Estimate& factor = item->second.log_factor;
    factor.variance = std::min(factor.variance + NODE_DRIFT_PER_S * passed_s,
                               UNKNOWN_NODE_VARIANCE);
    double idle_s =
      static_cast<double>(now_ms - item->second.sampled_ms) / MS_PER_S;
    if (idle_s > MIN_IDLE_S)
      factor.mean *= kept;
    bool forgotten =
      factor.variance >= UNKNOWN_NODE_VARIANCE && idle_s > NODE_MEMORY_S;
    item = forgotten ? this->nodes.erase(item) : std::next(item);
  }
}

/// Moves the median of the known nodes to 1. What the nodes lose, the needs
/// gain, so that expected run times stay.
void
RunTimes::center()
{
  if (this->nodes.size() < MIN_NODES)
    return;
  std::vector<double> factors;
  for (const std::pair<const std::string, Node>& item : this->nodes)
    factors.push_back(item.second.log_factor.mean);
  double median = median_of(factors);
  for (std::pair<const std::string, Node>& item : this->nodes)
    item.second.log_factor.mean -= median;
  for (std::pair<const std::string, Kind>& item : this->kinds)
    item.second.log_ratio.mean += median;
  for (std::pair<const StepKey, Need>& item : this->needs)
    item.second.log_ms.mean += median;
}

bool
RunTimes::node_is_far_off() const
{
  return std::any_of(this->nodes.begin(),
                     this->nodes.end(),
                     [](const std::pair<const std::string, Node>& item) {
                       return std::abs(item.second.far_score) >= MIN_FAR_SCORE;
                     });
}

/// Compares a sample with what was known of its node.
void
RunTimes::compare(Node& node, double log_factor)
{
  bool far = std::abs(log_factor) >
             std::max(FAR_LOG, UNLIKELY * std::sqrt(this->task_scatter));
  int sign = log_factor < 0 ? -1 : 1;
  bool same_side = node.far_score * sign > 0;
  if (far)
    node.far_score = (same_side ? node.far_score : 0) + sign * FAR_REWARD;
  else
    node.far_score -= std::clamp(node.far_score, -FAR_PENALTY, FAR_PENALTY);
  node.far_score = std::clamp(node.far_score, -MAX_FAR_SCORE, MAX_FAR_SCORE);
  if (node.log_factor.mean == 0)
    return;
  double product = node.log_factor.mean *
                   std::clamp(log_factor, -MAX_INNOVATION, MAX_INNOVATION);
  double kept =
    1 - 1 / (AGREEMENT_SAMPLES * static_cast<double>(this->nodes.size()));
  this->agreement.products = this->agreement.products * kept + product;
  this->agreement.squares = this->agreement.squares * kept + product * product;
}

LearnedSpeeds
RunTimes::speeds() const
{
  LearnedSpeeds learned;
  learned.agreement = this->agreement;
  for (const std::pair<const std::string, Node>& item : this->nodes)
    learned.nodes.push_back({ item.first,
                              std::exp(item.second.log_factor.mean),
                              item.second.log_factor.variance });
  std::stable_sort(learned.nodes.begin(),
                   learned.nodes.end(),
                   [](const NodeSpeed& left, const NodeSpeed& right) {
                     return left.variance < right.variance;
                   });
  return learned;
}

void
RunTimes::restore(const LearnedSpeeds& stored, std::int64_t now_ms)
{
  this->nodes.clear();
  this->differ = false;
  this->agreement = {};
  for (const NodeSpeed& speed : stored.nodes) {
    bool valid = !speed.node.empty() && std::isfinite(speed.variance) &&
                 speed.variance >= 0 && speed.factor >= 1 / MAX_FACTOR &&
                 speed.factor <= MAX_FACTOR;
    if (!valid || this->nodes.size() >= MAX_NODES)
      continue;
    Node& node = this->nodes[speed.node];
    node.log_factor = {
      std::log(speed.factor),
      std::clamp(speed.variance, MIN_NODE_VARIANCE, UNKNOWN_NODE_VARIANCE)
    };
    node.sampled_ms = now_ms;
  }
  double products = stored.agreement.products;
  double squares = stored.agreement.squares;
  if (std::isfinite(products) && std::isfinite(squares) && squares >= 0)
    this->agreement = { products, squares };
  this->refreshed_ms = 0;
  this->refresh(now_ms);
}

} // namespace geraniumhinge::core
