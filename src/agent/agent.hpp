#pragma once
#include <deque>

#include "cluster_view.hpp"
#include "core.hpp"

namespace tt {

struct AgentSettings {
  std::string name, address, zone;
  /// Addresses of cores at which the control plane can be found at the start.
  std::vector<std::string> seeds;
  Defences defences;
};

/// The agent that runs beside each proxy. It follows the configuration and the cells, knows up to when its view is
/// complete, feeds its proxy, and relays updates to other agents. Agents and cores form a tree: each agent follows one
/// upstream, which is a core or another agent.
class Agent : public Node {
 public:
  explicit Agent(AgentSettings agentSettings);
  void handle(Effects& effects, const std::string& from, const Message& message) override;
  void tick(Effects& effects) override;
  const Configuration& configuration() const { return view; }
  /// The time up to which the view is known to be complete; the epoch before that is known.
  TimePoint completeAsOf() const { return clusterView.completeAsOf(); }
  bool fresh(TimePoint now) const { return clusterView.fresh(now); }
  /// Returns the agent's status and counters as JSON for operators.
  std::string condition(TimePoint now) const;
  /// Whether a proxy has requested updates within the last second.
  bool feedsProxy(TimePoint now) const;
  /// The address of the upstream; empty before the first was selected.
  const std::string& upstreamAddress() const { return upstream; }

 private:
  AgentSettings settings;
  Configuration view;
  /// The last entries that were applied, for followers that lack them.
  std::deque<LogEntry> recentEntries;
  /// The newest state of each cell by zone.
  std::map<std::string, CellNews> cells;
  ClusterView clusterView;
  std::string upstream;
  TimePoint startedAt{}, upstreamHeardAt{}, upstreamSince{};
  TimePoint logEndPolledAt{}, updatesRequestedAt{};
  /// Since when entries are missing that are known to be committed; the epoch if none are.
  TimePoint laggingSince{};
  TimePoint catchUpRequestedAt{};
  std::map<std::string, TimePoint> suspectedUntil, followerSeenAt, proxySeenAt;
  std::map<std::string, std::vector<CellVersion>> proxyCellVersions;
  std::map<std::string, std::uint64_t> proxyApplied;
  std::uint64_t reportedApplied{0};
  bool wasFresh{false};

  /// Asks all cores how far the log is, which renews freshness.
  void pollLogEnds(Effects& effects);
  /// The index that this agent and all its proxies have applied; it is what cores may count on.
  std::uint64_t lowestApplied(TimePoint now) const;
  /// Replaces an upstream that is silent or lets this agent lag.
  void selectUpstream(Effects& effects);
  /// Applies the snapshots and entries of an update and forwards what was new.
  void applyUpdate(Effects& effects, const NewsMsg& update);
  /// Sends what a follower or proxy lacks that has applied up to an index and knows these cell versions.
  void sendUpdates(Effects& effects, const std::string& to, std::uint64_t applied,
                   const std::vector<CellVersion>& known);
  /// Sends a message to all followers and proxies that were active of late.
  void forwardDownstream(Effects& effects, const Message& message);
  /// Forwards a proxy's message to the lease holder of a zone's cell; drops it if that is not known.
  void forwardToCell(Effects& effects, const std::string& zone, const Message& message);
  std::vector<CellVersion> cellVersions() const;
};

}  // namespace tt
