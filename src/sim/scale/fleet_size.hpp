#pragma once
#include "base.hpp"

namespace tt {

/// The size of a simulated fleet and its load. The processes run the real logic; workers and the platform are stubs.
struct FleetSize {
  /// `daemons`: hosts with a proxy and an agent each. `cores`: control processes, all of which vote.
  int daemons{9}, cores{4}, workers{18}, regions{4}, zones{40}, tenants{8}, models{3};
  /// Cached blocks of all workers together.
  std::int64_t blocks{0};
  /// Rates of the entire fleet: cache events, configuration changes, requests and machine list changes.
  double eventsPerSecond{0}, changesPerHour{0}, requestsPerSecond{0}, machineListChangesPerHour{0};
  /// Simulated time that is measured, and the one-way delay between hosts.
  Duration measuredDuration{3s}, linkDelay{1ms};
};

/// Estimates the bytes of memory that a fleet of this size takes in the process that simulates it.
std::int64_t estimatedBytes(const FleetSize& size);

}  // namespace tt
