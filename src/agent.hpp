#pragma once
#include <deque>

#include "core.hpp"
#include "outlook.hpp"

namespace tt {

struct AgentProps {
  std::string name, address, locality;
  std::vector<std::string> seeds;
  Defences defences;
};

/// Beside each proxy: keeps the link to the control plane, knows how fresh its view is, relays news, feeds the proxy.
class Agent : public Node {
 public:
  explicit Agent(AgentProps agentProps);
  void take(Desk& desk, const std::string& from, const Message& message) override;
  void tick(Desk& desk) override;
  const Blueprint& blueprint() const { return view; }
  /// The moment up to which this view is known to be complete.
  Moment freshStamp() const { return outlook.stamp(); }
  bool fresh(Moment now) const { return outlook.fresh(now); }
  std::string condition(Moment now) const;
  /// Whether a proxy has asked to be fed of late.
  bool feeds(Moment now) const;
  const std::string& followed() const { return parent; }

 private:
  AgentProps props;
  Blueprint view;
  std::deque<Entry> recent;
  std::map<std::string, CellNews> cells;
  Outlook outlook;
  std::string parent;
  Moment startedAt{}, parentHeard{}, parentSince{}, roundAt{}, newsAt{}, behindSince{}, mendAt{};
  std::map<std::string, Moment> suspects, followers, proxies;
  std::map<std::string, std::vector<CellMark>> proxyMarks;
  std::map<std::string, std::uint64_t> proxyApplied;
  std::uint64_t toldApplied{0};
  bool wasFresh{false};

  void askEnds(Desk& desk);
  std::uint64_t appliedBelow(Moment now) const;
  void drawParent(Desk& desk);
  void onNews(Desk& desk, const NewsMsg& news);
  void onNewsAsk(Desk& desk, const std::string& from, std::uint64_t applied, const std::vector<CellMark>& known);
  void spread(Desk& desk, const Message& message);
  std::vector<CellMark> cellMarks() const;
};

}  // namespace tt
