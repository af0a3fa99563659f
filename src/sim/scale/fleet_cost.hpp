#pragma once
#include "base.hpp"

namespace tt {

/// Number, processor time and wire bytes of steps or messages.
struct Cost {
  std::int64_t count{0}, cpuNs{0}, bytesIn{0}, bytesOut{0};
};
/// What one process cost while the fleet was measured.
struct ProcessCost {
  /// All steps of the process. The bytes are those exchanged with other hosts.
  Cost total;
  /// Bytes between a proxy and the agent on its host.
  std::int64_t localBytes{0};
  std::int64_t workerMessages{0}, heapBytes{0}, diskBytes{0};
  /// Agents that get their updates from this process, and cells whose lease it holds.
  std::int64_t followers{0}, cells{0};
  /// By message type and direction, as in "takes Heartbeat", or by "tick" and "sync".
  std::map<std::string, Cost> byMessage;
};
/// The measured costs of a fleet.
struct FleetCost {
  /// By role: proxy, agent or core.
  std::map<std::string, std::vector<ProcessCost>> processesByRole;
  /// Length of the measurement in simulated seconds.
  double seconds{0};
  /// For each configuration change, the time from the operator's request to its acknowledgement, until all agents had
  /// applied it, and until all proxies had applied it.
  std::vector<double> ackMs, agentsMs, proxiesMs;
  /// Voting cores and fresh daemons when the load starts; cells whose lease is held, and the blocks in their indexes,
  /// at the end; cache events received and requests completed during the measurement; size of the configuration.
  std::int64_t voters{0}, freshDaemons{0}, cellsWithLease{0}, indexedBlocks{0}, eventsReceived{0}, requestsDone{0},
      configurationBytes{0};
};

}  // namespace tt
