#pragma once
#include "agent.hpp"
#include "core.hpp"
#include "edge.hpp"
#include "ring.hpp"

namespace tt {

/// What a hollow fleet is made of: the real logic of its daemons, before workers and a platform that only answer.
struct FleetSize {
  int daemons{9}, cores{4}, workers{18}, regions{4}, zones{40}, tenants{8}, models{3};
  std::int64_t blocks{0};
  double eventsPerSecond{0}, changesPerHour{0}, requestsPerSecond{0}, markChangesPerHour{0};
  Span measured{3s}, link{1ms};
};

/// What messages of one kind, or all of them, cost.
struct Cost {
  std::int64_t count{0}, cpuNs{0}, bytesIn{0}, bytesOut{0};
};
/// One daemon's costs over the measured span. Local bytes are those between a proxy and the agent beside it.
struct DaemonCost {
  Cost fleet;
  std::int64_t localBytes{0}, workerMessages{0}, heapBytes{0}, diskBytes{0}, followers{0}, cells{0};
  std::map<std::string, Cost> byMessage;
};
/// Costs of all daemons by role: proxy, agent, core.
struct FleetCost {
  std::map<std::string, std::vector<DaemonCost>> daemonsByRole;
  double seconds{0};
  /// From the operator's ask to the acknowledgement, and to the last agent and the last proxy that have applied it, for
  /// each change.
  std::vector<double> ackMs, agentsMs, proxiesMs;
  std::int64_t voters{0}, freshAgents{0}, cellsHeld{0}, blocksIndexed{0}, eventsTaken{0}, requestsDone{0},
      configurationBytes{0};
};

/// How many bytes of memory a fleet of this size takes, about, in the process that measures it.
std::int64_t estimatedBytes(const FleetSize& size);
/// Runs a fleet on simulated time and takes the processor time that its real logic and wire form cost.
Result<FleetCost> measureFleet(const FleetSize& size, std::uint64_t seed);

/// One figure of a trial that needs no fleet.
struct Figure {
  std::string name;
  double value{0};
};
/// An index of kept blocks in a real cell: memory for each block, time for each event and lookup.
std::vector<Figure> measureIndex(std::int64_t blocks, std::uint64_t seed);
/// A proxy's draw among so many workers, and its time for each piece of an answer.
std::vector<Figure> measureDraw(int workers, std::uint64_t seed);
/// A change in a configuration of so many tenants: time to prepare and apply, and bytes in the log and in a snapshot.
std::vector<Figure> measureConfiguration(int tenants, std::uint64_t seed);

/// A straight line through points, by least squares.
struct Line {
  double base{0}, slope{0};
};
std::optional<Line> fitLine(const std::vector<std::pair<double, double>>& points);
struct Spread {
  double min{0}, median{0}, max{0};
};
Spread spreadOf(std::vector<double> values);
/// A plot of points and the line through them, as SVG.
std::string plotSvg(const std::string& title, const std::string& xName, const std::string& yName,
                    const std::vector<std::pair<double, double>>& points);

/// Where this thread's allocations are counted at present; null counts nowhere.
extern thread_local std::int64_t* heapAccount;
/// Processor time of this thread.
std::int64_t threadCpuNs();

}  // namespace tt
