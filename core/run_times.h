#pragma once

#include "core/pool.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace geraniumhinge::core {

/// The full run time of one task on one node, known at its end or projected
/// from its progress.
struct RunSample
{
  std::string node;
  std::int64_t run_ms = 0;
};

/// What is known of a step before it runs.
struct StepEstimate
{
  /// Names tasks whose declared times are wrong by similar factors.
  std::string kind;
  std::int64_t declared_ms = 0; ///< 0 if not declared.
  std::size_t tasks = 1;
};

/// Learned speed of one node.
struct NodeSpeed
{
  std::string node;
  double factor = 1;   ///< On the run time; 1 for the median of the fleet.
  double variance = 0; ///< Of the factor's logarithm.
};

/// How well the speeds of nodes predict the run times of later tasks: sums over
/// recent samples, of which each is the product of the node's speed as known
/// before and the speed that the sample shows (logarithms). If all nodes are
/// equally fast, the products have random signs.
struct SpeedAgreement
{
  double products = 0;
  double squares = 0; ///< Of the products.
};

/// What an owner leaves to the next one.
struct LearnedSpeeds
{
  std::vector<NodeSpeed> nodes; ///< The most certain ones first.
  SpeedAgreement agreement;
};

/// Learns how long kinds of tasks run, and how fast nodes are, from the run
/// times of tasks: logarithm of the run time = need of the step + speed of the
/// node + scatter. Need and speed are tracked with one Kalman filter each, so
/// that few samples change a well-known value little, and an unknown one much.
/// Handles 1,200 nodes with one sample each second.
class RunTimes
{
public:
  /// Records run times of tasks of one step, each run once. The first ones wait
  /// until they can be compared with each other.
  void record(const StepKey& step,
              const StepEstimate& estimate,
              const std::vector<RunSample>& samples,
              std::int64_t now_ms);

  /// Learns from the needs of the workflow's steps and forgets these steps.
  void forget(const std::string& workflow);

  /// Expected run time on a server of median speed; the declared time while it
  /// is not known to be wrong, 0 if nothing is known.
  std::int64_t expected_ms(const std::string& kind,
                           std::int64_t declared_ms) const;

  /// Whether `expected_ms` differs from the declared time for any kind.
  bool corrects_times() const { return this->corrects; }

  /// Factor on the run time of tasks on the node: 1 for the fleet's median and
  /// for unknown nodes. Always 1 unless `speeds_differ()`.
  double speed(const std::string& node) const;

  /// Whether the speeds of the nodes differ by more than the scatter of single
  /// runs explains.
  bool speeds_differ() const { return this->differ; }

  /// Lets old figures decay and updates `speeds_differ()`. Does nothing within
  /// a second of the last call.
  void refresh(std::int64_t now_ms);

  LearnedSpeeds speeds() const;

  /// Replaces all nodes by stored ones. Values out of range are left out.
  void restore(const LearnedSpeeds& stored, std::int64_t now_ms);

private:
  /// A normally distributed estimate.
  struct Estimate
  {
    double mean = 0;
    double variance = 0;
  };

  struct Node
  {
    Estimate log_factor;
    /// Sign of the last sample if that was too far off to be believed, else 0.
    int unlikely = 0;
    /// Raised by samples that are far off the fleet's median on one side,
    /// negative on the fast side, lowered by others.
    int far_score = 0;
    std::int64_t sampled_ms = 0;
  };

  struct Kind
  {
    Estimate log_ratio; ///< Run time / declared time.
    double scatter = 0; ///< Variance between steps of the kind.
    std::uint64_t steps = 0;
  };

  /// What one step needs on a node of median speed, as logarithm of ms.
  struct Need
  {
    Estimate log_ms;
    std::string kind;
    double log_declared = 0;
    bool declared = false;
    bool sampled = false;
    std::vector<RunSample> waiting; ///< Not compared yet.
    std::set<std::string> nodes;    ///< Those compared by this step.
  };

  /// The samples of one node in one step.
  struct Observed
  {
    Node* node = nullptr;
    double log_ms = 0;
    double variance = 0;
    double need = 0;      ///< What the samples show of the step's need.
    double precision = 0; ///< Of `need`, 0 if it is not used.
    bool counts = false;  ///< The step has not been counted for the node.
  };

  Need& need_of(const StepKey& step, const StepEstimate& estimate);
  std::vector<Observed> observe(Need& need);
  void record_waiting(Need& need, std::int64_t now_ms);
  void update_node(Node& node, const Estimate& sample, std::int64_t now_ms);
  void learn_kind(const Need& need);
  static bool is_wrong(const Kind& kind);
  Node& node_of(const std::string& name);
  void decay(double passed_s, std::int64_t now_ms);
  void center();
  bool node_is_far_off() const;
  void compare(Node& node, double log_factor);

  std::map<std::string, Node> nodes;
  std::map<std::string, Kind> kinds;
  std::map<StepKey, Need> needs;
  /// Tasks of one step differ by 30% and more.
  static constexpr double INITIAL_TASK_SCATTER = 0.12;
  /// Variance of the logarithm of run times between tasks of one step, learned.
  double task_scatter = INITIAL_TASK_SCATTER;
  SpeedAgreement agreement;
  bool differ = false;
  bool corrects = false;
  std::int64_t refreshed_ms = 0;
};

} // namespace geraniumhinge::core
