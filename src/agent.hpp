#pragma once
#include <deque>

#include "core.hpp"

namespace tt {

struct AgentProps {
  std::string name, address, locality;
  std::vector<std::string> seeds;
};

/// Beside each proxy: keeps the link to the control plane, knows how fresh its view is, relays news, feeds the proxy.
class Agent : public Node {
 public:
  explicit Agent(AgentProps agentProps);
  void take(Desk& desk, const std::string& from, const Message& message) override;
  void tick(Desk& desk) override;
  const Blueprint& blueprint() const { return view; }
  /// The moment up to which this view is known to be complete.
  Moment freshStamp() const { return stamp; }
  bool fresh(Moment now) const { return stamp != Moment{} && now < stamp + pace::freshFor; }
  std::string condition(Moment now) const;
  const std::string& followed() const { return parent; }

 private:
  struct CoreRow {
    std::map<std::uint64_t, Moment> asks;
    Moment askedAt{};
    EndsReply reply;
    bool heard{false};
  };
  AgentProps props;
  Blueprint view;
  std::deque<Entry> recent;
  std::map<std::string, CellNews> cells;
  MarksMsg marks;
  std::map<std::string, CoreRow> cores;
  std::vector<Member> members;
  Strings watch;
  std::string parent;
  Moment parentHeard{}, parentSince{}, roundAt{}, newsAt{}, stamp{}, behindSince{}, mendAt{};
  std::map<std::string, Moment> suspects, followers, proxies;
  std::map<std::string, std::vector<CellMark>> proxyMarks;
  std::map<std::string, std::uint64_t> proxyApplied;
  std::uint64_t askCount{0}, knownCommit{0};

  Strings coreAddresses() const;
  void askEnds(Desk& desk);
  void onEnds(Desk& desk, const std::string& from, const EndsReply& reply);
  void weighFreshness(Desk& desk);
  std::optional<std::uint64_t> neededBy(const std::vector<const CoreRow*>& heard, std::size_t voters) const;
  void drawParent(Desk& desk);
  void onNews(Desk& desk, const NewsMsg& news);
  void onNewsAsk(Desk& desk, const std::string& from, std::uint64_t applied, const std::vector<CellMark>& known);
  void spread(Desk& desk, const Message& message);
  std::vector<CellMark> cellMarks() const;
};

}  // namespace tt
