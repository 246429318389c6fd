#pragma once

#include "tests/support/client.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace geraniumhinge::tests {

using JobResult = tl::expected<v1::Job, Failure>;
using RunResult = tl::expected<v1::RunResponse, Failure>;

/// Parameters of a job that a test submits.
struct JobPlan
{
  std::string request_id;
  std::uint32_t members = 1;
  std::uint32_t accelerators = 1;
  v1::Adjacency adjacency = v1::ADJACENCY_ANY;
  int run_ms = 100;
  std::string output = "done";
  int exit_code = 0;
  bool idempotent = true;
  bool urgent = false;
  bool use_guarantee = false;
};

/// Input that specifies how long the stand-in of a backend server runs, what it
/// outputs and how it exits.
std::string
work_input(int run_ms, const std::string& output, int exit_code = 0);

/// A caller of one organisation.
class Caller
{
public:
  explicit Caller(Client client)
    : client(std::move(client))
  {
  }

  JobResult submit(const JobPlan& plan) const;
  JobResult get(const std::string& job) const;
  JobResult cancel(const std::string& job) const;
  /// Waits for the outcome of the job, through any entry. A request without a
  /// response is repeated until `limit`.
  JobResult wait(const std::string& job, kernel::Milliseconds limit) const;
  RunResult run(const std::string& request_id,
                bool idempotent,
                const std::string& input,
                kernel::Milliseconds timeout) const;

private:
  Client client;
};

/// Changes the configuration. Each change reads the version first and is
/// repeated if another change made that version stale.
class Operator
{
public:
  explicit Operator(Client client)
    : client(std::move(client))
  {
  }

  std::uint64_t version() const;
  /// Creates an organisation with wide limits. Returns the new version of the
  /// configuration, or 0 if the change was refused.
  std::uint64_t create(const std::string& organisation) const;
  std::uint64_t assign(const std::string& caller,
                       const std::string& organisation,
                       const std::string& token) const;
  tl::expected<std::uint64_t, Failure> guarantee(
    const std::string& organisation,
    const v1::Guarantee& guarantee) const;
  tl::expected<std::uint64_t, Failure> limit(const std::string& organisation,
                                             const v1::Limits& limits) const;
  const Client& calls() const { return this->client; }

private:
  template<typename Request>
  tl::expected<std::uint64_t, Failure> change(const std::string& method,
                                              Request request) const;

  Client client;
};

v1::Limits
wide_limits();

v1::Guarantee
make_guarantee(std::uint32_t count,
               std::uint32_t members,
               std::uint32_t accelerators,
               v1::Adjacency adjacency);

} // namespace geraniumhinge::tests
