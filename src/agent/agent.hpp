#pragma once
#include <deque>

#include "cluster_view.hpp"
#include "core.hpp"

namespace tt {

struct AgentSettings {
  std::string name, address, zone;
  std::vector<std::string> seeds;
  Defences defences;
};

/// Beside each proxy: keeps the link to the control plane, knows how fresh its view is, relays news, feeds the proxy.
class Agent : public Node {
 public:
  explicit Agent(AgentSettings agentSettings);
  void handle(Effects& effects, const std::string& from, const Message& message) override;
  void tick(Effects& effects) override;
  const Configuration& configuration() const { return view; }
  /// The moment up to which this view is known to be complete.
  TimePoint completeAsOf() const { return clusterView.completeAsOf(); }
  bool fresh(TimePoint now) const { return clusterView.fresh(now); }
  std::string condition(TimePoint now) const;
  /// Whether a proxy has asked to be fed of late.
  bool feedsProxy(TimePoint now) const;
  const std::string& parentAddress() const { return parent; }

 private:
  AgentSettings settings;
  Configuration view;
  std::deque<LogEntry> recent;
  std::map<std::string, CellNews> cells;
  ClusterView clusterView;
  std::string parent;
  TimePoint startedAt{}, parentHeard{}, parentSince{}, roundAt{}, newsAt{}, behindSince{}, mendAt{};
  std::map<std::string, TimePoint> suspects, followers, proxies;
  std::map<std::string, std::vector<CellVersion>> proxyMarks;
  std::map<std::string, std::uint64_t> proxyApplied;
  std::uint64_t toldApplied{0};
  bool wasFresh{false};

  void askEnds(Effects& effects);
  std::uint64_t appliedBelow(TimePoint now) const;
  void drawParent(Effects& effects);
  void onNews(Effects& effects, const NewsMsg& news);
  void onNewsAsk(Effects& effects, const std::string& from, std::uint64_t applied,
                 const std::vector<CellVersion>& known);
  void spread(Effects& effects, const Message& message);
  /// Passes what a proxy tells of a worker on to the holder of that worker's cell.
  void passToCell(Effects& effects, const std::string& zone, const Message& message);
  std::vector<CellVersion> cellMarks() const;
};

}  // namespace tt
