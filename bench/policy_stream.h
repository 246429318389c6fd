#pragma once

#include "core/admit.h"
#include "core/place.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace geraniumhinge::bench {

constexpr std::int64_t MINUTE_MS = 60'000;
constexpr std::int64_t HOUR_MS = 60 * MINUTE_MS;
constexpr std::int64_t DAY_MS = 24 * HOUR_MS;

/// A kind of job in the load of a deployment.
struct JobKind
{
  double share = 0;
  core::Shape shape;
  double median_minutes = 0;
  double sigma = 0.5; ///< Standard deviation of ln(run time).
  bool guaranteed = false;
  bool urgent = false;
};

struct StreamJob
{
  std::uint32_t id = 0;
  core::NameId organisation = 0;
  std::uint32_t kind = 0;
  core::Shape shape;
  std::int64_t submit_ms = 0;
  std::int64_t run_ms = 0;
  std::int64_t declared_ms = 0;
  bool urgent = false;
  bool use_guarantee = false;
  bool preemptible = true;
};

enum class FaultKind : std::uint8_t
{
  LoseServer,
  LoseRack,
  MassCancellation,
  FaultyServer, ///< Every job that starts on the server fails.
};

struct Fault
{
  FaultKind kind = FaultKind::LoseServer;
  std::int64_t at_ms = 0;
  std::uint32_t cell = 0;
  std::uint32_t server = 0;
};

/// Load and fleet of a deployment.
struct Deployment
{
  std::string name;
  std::vector<std::uint32_t> cell_sizes;
  std::uint32_t rack_size = 3;
  std::vector<std::uint32_t> accelerators; ///< Per server, cyclic.
  std::uint32_t cores = 32;
  std::uint32_t memory_mb = 128'000;
  std::vector<double> organisations; ///< Share of the load, per organisation.
  std::vector<JobKind> kinds;
  core::Shape guaranteed;
  std::uint32_t guarantees = 1;      ///< Guaranteed shapes per organisation.
  std::int64_t arrivals_from_ms = 0; ///< Time of day.
  std::int64_t arrivals_to_ms = DAY_MS;
  std::int64_t horizon_ms = 3 * DAY_MS; ///< Period with submissions.
  double load = 0.85; ///< Requested share of the accelerators during arrivals.
  double jobs_per_day = 0;                   ///< Replaces `load` if above 0.
  std::uint32_t large_job_accelerators = 16; ///< Minimum of a large job.
};

struct Stream
{
  const Deployment* deployment = nullptr;
  std::vector<core::Cell> cells;
  std::vector<core::Guarantee> guarantees;
  std::vector<StreamJob> jobs;
  std::vector<Fault> faults;
  std::vector<core::WeightedShape> shapes; ///< Guaranteed or requested.
};

struct StreamOptions
{
  std::uint64_t seed = 0;
  bool faults = false;
  bool bursts = true;
  /// Factor on the number of jobs of organisation 0; 10 simulates overload.
  std::uint32_t first_organisation_factor = 1;
};

inline std::vector<core::Cell>
make_cells(const Deployment& deployment)
{
  std::vector<core::Cell> cells;
  core::NameId name = 100'000;
  std::uint32_t number = 0;
  for (std::uint32_t i = 0; i < deployment.cell_sizes.size(); ++i) {
    core::Cell cell;
    cell.zone = i;
    for (std::uint32_t j = 0; j < deployment.cell_sizes[i]; ++j) {
      const std::uint32_t accelerators =
        deployment.accelerators[number++ % deployment.accelerators.size()];
      cell.servers.push_back({ name++,
                               1'000 * (i + 1) + j / deployment.rack_size,
                               i,
                               1,
                               core::accelerator_mask(accelerators),
                               8,
                               deployment.cores,
                               deployment.memory_mb,
                               core::ServerState::Ready });
    }
    cells.push_back(std::move(cell));
  }
  return cells;
}

class StreamGenerator
{
public:
  StreamGenerator(const Deployment& deployment, const StreamOptions& options)
    : deployment(deployment)
    , options(options)
    , random(options.seed)
  {
  }

  Stream generate()
  {
    this->stream.deployment = &this->deployment;
    this->stream.cells = make_cells(this->deployment);
    this->make_guarantees();
    this->make_jobs();
    this->make_shapes();
    if (this->options.faults) {
      this->make_faults();
    }
    return std::move(this->stream);
  }

private:
  double uniform(double low, double high)
  {
    return std::uniform_real_distribution<double>(low, high)(this->random);
  }

  void make_guarantees()
  {
    std::vector<const core::Cell*> cells;
    for (const core::Cell& cell : this->stream.cells) {
      cells.push_back(&cell);
    }
    std::vector<core::Guarantee> requested;
    for (std::uint32_t i = 0; i < this->deployment.organisations.size(); ++i) {
      requested.push_back(
        { i, this->deployment.guaranteed, this->deployment.guarantees, {} });
    }
    tl::expected<std::vector<core::Guarantee>, core::AdmitError> admitted =
      core::admit_guarantees(cells, requested, { 1 });
    if (admitted) {
      this->stream.guarantees = std::move(*admitted);
    }
  }

  double mean_accelerator_ms() const
  {
    double sum = 0;
    double shares = 0;
    for (const JobKind& kind : this->deployment.kinds) {
      const double mean =
        kind.median_minutes * MINUTE_MS * std::exp(kind.sigma * kind.sigma / 2);
      sum += kind.share * mean * core::total_accelerators(kind.shape);
      shares += kind.share;
    }
    return sum / shares;
  }

  std::uint32_t accelerators() const
  {
    std::uint32_t sum = 0;
    for (const core::Cell& cell : this->stream.cells) {
      for (const core::Server& server : cell.servers) {
        sum += static_cast<std::uint32_t>(std::popcount(server.accelerators));
      }
    }
    return sum;
  }

  double jobs_per_day() const
  {
    if (this->deployment.jobs_per_day > 0) {
      return this->deployment.jobs_per_day;
    }
    const double arrivals_ms = static_cast<double>(
      this->deployment.arrivals_to_ms - this->deployment.arrivals_from_ms);
    return this->deployment.load * this->accelerators() * arrivals_ms /
           this->mean_accelerator_ms();
  }

  /// Seeds the generator for each organisation, so that more jobs of one
  /// organisation do not change the jobs of the others.
  void make_jobs()
  {
    const double days =
      static_cast<double>(this->deployment.horizon_ms) / DAY_MS;
    for (std::uint32_t i = 0; i < this->deployment.organisations.size(); ++i) {
      this->random.seed(this->options.seed * 1'000 + i);
      this->make_biases();
      double count =
        this->jobs_per_day() * days * this->deployment.organisations[i];
      count *= i == 0 ? this->options.first_organisation_factor : 1;
      for (int j = 0; j < static_cast<int>(count); ++j) {
        this->add_job(i);
      }
      if (this->options.bursts) {
        this->add_burst(i);
      }
    }
    std::stable_sort(this->stream.jobs.begin(),
                     this->stream.jobs.end(),
                     [](const StreamJob& left, const StreamJob& right) {
                       return left.submit_ms < right.submit_ms;
                     });
    std::uint32_t id = 0;
    for (StreamJob& job : this->stream.jobs) {
      job.id = id++;
    }
  }

  /// Draws the common error of the declared run times of each job kind, as an
  /// exponent of 10. make_job() adds an error for each job.
  void make_biases()
  {
    this->biases.clear();
    for (std::size_t i = 0; i < this->deployment.kinds.size(); ++i) {
      this->biases.push_back(this->uniform(-0.7, 0.7));
    }
  }

  std::uint32_t pick_kind()
  {
    double shares = 0;
    for (const JobKind& kind : this->deployment.kinds) {
      shares += kind.share;
    }
    double offset = this->uniform(0, shares);
    for (std::uint32_t i = 0; i < this->deployment.kinds.size(); ++i) {
      offset -= this->deployment.kinds[i].share;
      if (offset <= 0) {
        return i;
      }
    }
    return 0;
  }

  std::int64_t pick_time()
  {
    const std::int64_t days = this->deployment.horizon_ms / DAY_MS;
    const std::int64_t day =
      static_cast<std::int64_t>(this->uniform(0, static_cast<double>(days)));
    const double time_of_day =
      this->uniform(static_cast<double>(this->deployment.arrivals_from_ms),
                    static_cast<double>(this->deployment.arrivals_to_ms));
    return day * DAY_MS + static_cast<std::int64_t>(time_of_day);
  }

  StreamJob make_job(std::uint32_t organisation, std::uint32_t kind_index)
  {
    const JobKind& kind = this->deployment.kinds[kind_index];
    std::normal_distribution<double> normal(0, kind.sigma);
    const double run =
      kind.median_minutes * MINUTE_MS * std::exp(normal(this->random));
    const double error = std::clamp(
      this->biases[kind_index] + this->uniform(-0.3, 0.3), -1.0, 1.0);
    StreamJob job;
    job.organisation = organisation;
    job.kind = kind_index;
    job.shape = kind.shape;
    job.submit_ms = this->pick_time();
    job.run_ms =
      std::max<std::int64_t>(static_cast<std::int64_t>(run), MINUTE_MS);
    job.declared_ms = static_cast<std::int64_t>(
      static_cast<double>(job.run_ms) * std::pow(10.0, error));
    job.urgent = kind.urgent;
    job.use_guarantee = kind.guaranteed;
    job.preemptible = this->uniform(0, 1) < 0.8;
    return job;
  }

  void add_job(std::uint32_t organisation)
  {
    this->stream.jobs.push_back(
      this->make_job(organisation, this->pick_kind()));
  }

  /// Adds a burst of jobs of one organisation within a minute: 2% of its jobs.
  void add_burst(std::uint32_t organisation)
  {
    const double share = this->deployment.organisations[organisation];
    const double burst = 0.02 * this->jobs_per_day() * share *
                         static_cast<double>(this->deployment.horizon_ms) /
                         DAY_MS;
    const std::int64_t start_ms = this->pick_time();
    for (int i = 0; i < static_cast<int>(burst); ++i) {
      StreamJob job = this->make_job(organisation, this->pick_kind());
      job.submit_ms =
        start_ms + static_cast<std::int64_t>(this->uniform(0, MINUTE_MS));
      this->stream.jobs.push_back(job);
    }
  }

  /// Weights each shape by the number of accelerators that jobs request with
  /// it. Each guaranteed shape counts as one request.
  void make_shapes()
  {
    const auto add = [this](const core::Shape& shape, double weight) {
      for (core::WeightedShape& existing : this->stream.shapes) {
        if (existing.shape == shape) {
          existing.weight += weight;
          return;
        }
      }
      this->stream.shapes.push_back({ shape, weight });
    };
    for (const StreamJob& job : this->stream.jobs) {
      if (job.organisation != 0 ||
          this->options.first_organisation_factor == 1) {
        add(job.shape, core::total_accelerators(job.shape));
      }
    }
    for (const core::Guarantee& guarantee : this->stream.guarantees) {
      add(guarantee.shape,
          guarantee.count * core::total_accelerators(guarantee.shape));
    }
  }

  Fault pick_fault(FaultKind kind)
  {
    const std::uint32_t cell = static_cast<std::uint32_t>(
      this->uniform(0, static_cast<double>(this->stream.cells.size())));
    const double servers =
      static_cast<double>(this->stream.cells[cell].servers.size());
    return { kind,
             this->pick_time(),
             cell,
             static_cast<std::uint32_t>(this->uniform(0, servers)) };
  }

  /// Adds the loss of 16 VMs a day per 1,200 servers, at least one in total,
  /// and one loss of a rack, one mass cancellation and one faulty server.
  void make_faults()
  {
    this->random.seed(this->options.seed * 1'000 + 999);
    double servers = 0;
    for (const core::Cell& cell : this->stream.cells) {
      servers += static_cast<double>(cell.servers.size());
    }
    const double days =
      static_cast<double>(this->deployment.horizon_ms) / DAY_MS;
    const double lost = std::max(1.0, 16.0 * servers / 1'200 * days);
    for (int i = 0; i < static_cast<int>(lost); ++i) {
      this->stream.faults.push_back(this->pick_fault(FaultKind::LoseServer));
    }
    for (const FaultKind kind : { FaultKind::LoseRack,
                                  FaultKind::MassCancellation,
                                  FaultKind::FaultyServer }) {
      this->stream.faults.push_back(this->pick_fault(kind));
    }
  }

  const Deployment& deployment;
  StreamOptions options;
  std::mt19937_64 random;
  std::vector<double> biases;
  Stream stream;
};

} // namespace geraniumhinge::bench
