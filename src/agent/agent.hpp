#pragma once
#include <deque>

#include "cluster_view.hpp"
#include "core.hpp"

namespace tt {

struct AgentSettings {
  std::string name, address, zone;
  /// Addresses of the cores that the agent contacts first.
  std::vector<std::string> seeds;
  Defences defences;
};

/// The agent that runs beside each proxy. It replicates the configuration and the state of the cells, tracks up to
/// which time its view is complete, sends updates to its proxy, and relays them to other agents. Agents and cores form
/// a tree: each agent follows one upstream, which is a core or another agent.
class Agent : public Node {
 public:
  explicit Agent(AgentSettings agentSettings);
  void handle(Effects& effects, const std::string& from, const Message& message) override;
  void tick(Effects& effects) override;
  const Configuration& configuration() const { return view; }
  /// The time up to which the view is known to be complete; TimePoint{} as long as it is not known.
  TimePoint completeAsOf() const { return clusterView.completeAsOf(); }
  bool fresh(TimePoint now) const { return clusterView.fresh(now); }
  /// Returns the agent's status and counters as JSON for operators.
  std::string condition(TimePoint now) const;
  /// Whether a proxy has requested updates within the last second.
  bool feedsProxy(TimePoint now) const;
  /// The address of the upstream; empty until one is selected.
  const std::string& upstreamAddress() const { return upstream; }

 private:
  AgentSettings settings;
  Configuration view;
  /// The entries applied last, for followers that lack them.
  std::deque<LogEntry> recentEntries;
  /// The newest state of each cell by zone.
  std::map<std::string, CellNews> cells;
  ClusterView clusterView;
  std::string upstream;
  TimePoint startedAt{}, upstreamHeardAt{}, upstreamSince{};
  TimePoint logEndPolledAt{}, updatesRequestedAt{};
  /// Since when entries are missing that are known to be committed; TimePoint{} if none are missing.
  TimePoint laggingSince{};
  TimePoint catchUpRequestedAt{};
  std::map<std::string, TimePoint> suspectedUntil, followerSeenAt, proxySeenAt;
  std::map<std::string, std::vector<CellVersion>> proxyCellVersions;
  std::map<std::string, std::uint64_t> proxyApplied;
  std::uint64_t reportedApplied{0};
  bool wasFresh{false};

  /// Requests the end of the log from all cores, which renews freshness.
  void pollLogEnds(Effects& effects);
  /// The index up to which this agent and all its proxies have applied the log.
  std::uint64_t lowestApplied(TimePoint now) const;
  /// Selects the upstream. One that is silent or lets this agent lag is replaced.
  void selectUpstream(Effects& effects);
  /// Applies the snapshots and entries of an update, and forwards those that were new.
  void applyUpdate(Effects& effects, const NewsMsg& update);
  /// Sends a follower or proxy what it lacks, given the index that it has applied and the cell versions that it has.
  void sendUpdates(Effects& effects, const std::string& to, std::uint64_t applied,
                   const std::vector<CellVersion>& known);
  /// Sends a message to all followers and proxies that have sent a request recently.
  void forwardDownstream(Effects& effects, const Message& message);
  /// Forwards a proxy's message to the lease holder of a zone's cell, or drops it if the holder is not known.
  void forwardToCell(Effects& effects, const std::string& zone, const Message& message);
  std::vector<CellVersion> cellVersions() const;
};

}  // namespace tt
