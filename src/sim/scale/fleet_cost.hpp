#pragma once
#include "base.hpp"

namespace tt {

/// What messages of one kind, or all of them, cost.
struct Cost {
  std::int64_t count{0}, cpuNs{0}, bytesIn{0}, bytesOut{0};
};
/// One daemon's costs over the measured span. Local bytes are those between a proxy and the agent beside it.
struct ProcessCost {
  Cost fleet;
  std::int64_t localBytes{0}, workerMessages{0}, heapBytes{0}, diskBytes{0}, followers{0}, cells{0};
  std::map<std::string, Cost> byMessage;
};
/// Costs of all daemons by role: proxy, agent, core.
struct FleetCost {
  std::map<std::string, std::vector<ProcessCost>> processesByRole;
  double seconds{0};
  /// From the operator's ask to the acknowledgement, and to the last agent and the last proxy that have applied it, for
  /// each change.
  std::vector<double> ackMs, agentsMs, proxiesMs;
  std::int64_t voters{0}, freshAgents{0}, cellsWithLease{0}, indexedBlocks{0}, eventsReceived{0}, requestsDone{0},
      configurationBytes{0};
};

}  // namespace tt
