#pragma once

#include "entry/caller_methods.h"
#include "entry/config_store.h"
#include "entry/driver_table.h"
#include "entry/membership.h"
#include "entry/registrar.h"
#include "entry/run_service.h"
#include "entry/scheduler.h"
#include "entry/services.h"
#include "entry/settings.h"
#include "entry/takeover.h"
#include "gateway/http_server.h"
#include "gateway/refusal_log.h"
#include "kernel/log.h"
#include "kernel/loop.h"
#include "kernel/metrics.h"
#include "kernel/timer.h"
#include "kernel/trace.h"

#include <optional>

namespace geraniumhinge::entry {

/// The entry program: creates and starts the services, adds the HTTP pages and
/// drains.
class Program
{
public:
  Program(kernel::Loop& loop,
          kernel::TimerService& timers,
          const kernel::Log& log,
          const EntrySettings& settings);

  /// Listens and starts to join the other entries; returns false if an address
  /// can't be used.
  bool start();

  /// Becomes unready at once, finishes the work in flight, deletes the own
  /// row, then stops the loop. Later calls have no effect.
  void drain();

  bool ready() const { return this->is_ready && !this->is_draining; }

private:
  /// Services that the program calls while it runs.
  struct Tasks
  {
    peer::PeerNode& node;
    ConfigStore& config;
    CellCache& cell_cache;
    Membership& membership;
    Fleet& fleet;
    Registrar& registrar;
    DriverTable& drivers;
    Scheduler& scheduler;
    Takeover& takeover;
    RunService& run_service;
    gateway::HttpServer& http;
  };

  void make_platform();
  void make_membership();
  void make_jobs();
  void make_runs();
  void make_api();
  void add_pages();
  void resolve_tasks();
  void handle_message(const v1::Envelope& envelope);
  void wait_until_loaded();
  void become_ready();
  void close_http();
  void wait_until_idle();

  kernel::Loop& loop;
  kernel::TimerService& timers;
  const kernel::Log& log;
  const EntrySettings& settings;
  kernel::Metrics metrics;
  kernel::Tracer tracer;
  std::optional<DriverContext> driver_context;
  std::optional<core::RetryBudget> budget;
  std::optional<RunContext> run_context;
  std::optional<gateway::UnaryRouter> unary;
  gateway::RefusalLog refusal_log;
  gateway::RequestBudget request_budget;
  Services services;
  std::optional<Tasks> tasks;
  bool is_ready = false;
  bool is_draining = false;
  bool is_leaving = false;
  kernel::Subscription step_timer;
};

} // namespace geraniumhinge::entry
