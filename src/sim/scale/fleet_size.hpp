#pragma once
#include "base.hpp"

namespace tt {

/// What a hollow fleet is made of: the real logic of its daemons, before workers and a platform that only answer.
struct FleetSize {
  int daemons{9}, cores{4}, workers{18}, regions{4}, zones{40}, tenants{8}, models{3};
  std::int64_t blocks{0};
  double eventsPerSecond{0}, changesPerHour{0}, requestsPerSecond{0}, machineListChangesPerHour{0};
  Duration measuredDuration{3s}, linkDelay{1ms};
};

/// How many bytes of memory a fleet of this size takes, about, in the process that measures it.
std::int64_t estimatedBytes(const FleetSize& size);

}  // namespace tt
