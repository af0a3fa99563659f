#pragma once
#include "accord.hpp"
#include "cell.hpp"
#include "outlook.hpp"

namespace tt {

struct CoreProps {
  std::string name, address, locality, platformAddress;
  std::vector<std::string> seeds;
  std::vector<std::string> localities;
  std::size_t recordRoom{1 << 20};
  /// Whether this core may take part in forming a new fleet; one that comes back empty may not.
  bool mayForm{true};
  CellProps cell;
  Defences defences;
};

/// What a core does: one voice in the accord, one cell for each locality, the root of the news tree, the operators' door.
class Core : public Node {
 public:
  Core(CoreProps coreProps, const Recovered& recovered, std::mt19937_64& dice, Moment now);
  void take(Desk& desk, const std::string& from, const Message& message) override;
  void tick(Desk& desk) override;
  /// Gives up all duties, for a clean stop.
  void resign(Desk& desk);
  const Accord& agreement() const { return *accord; }
  const std::map<std::string, std::unique_ptr<Cell>>& cellsByLocality() const { return cells; }
  /// Everything an operator may want to see, as JSON text.
  std::string condition(Moment now) const;
  /// The host's word on how long the oldest write has waited for its sync.
  void diskWaits(Span span) { diskWait = span; }
  const std::string& id() const { return self.id; }
  /// Whether what this core would read back of the blueprint is known to be complete.
  bool readsConfirmed(Moment now) const { return outlook->fresh(now); }

 private:
  struct AgentRow {
    std::string id, locality;
    /// Whom it was last told to watch, and when that was drawn.
    Strings watch;
    Moment watchAt{};
    std::uint64_t applied{0};
    bool fresh{false}, relays{true};
    Moment at{};
  };
  struct Asked {
    std::string from, askId, leaderAddress;
    Moment at{}, agreedAt{};
    std::uint64_t revision{0}, index{0}, term{0};
    OperatorAsk ask;
    bool agreed{false};
    Moment sentAt{};
  };
  CoreProps props;
  Member self;
  std::unique_ptr<Accord> accord;
  std::map<std::string, std::unique_ptr<Cell>> cells;
  std::map<std::string, AgentRow> agents;
  std::map<std::string, Moment> followers;
  std::map<std::string, CellNews> lastNews;
  std::unique_ptr<Outlook> outlook;
  /// One round of asking all cores which readers they know, for all acknowledgements that wait.
  struct ReadersRound {
    std::uint64_t id{0}, index{0}, term{0};
    Moment at{};
    std::set<std::string> having, answered;
    std::map<std::string, std::uint64_t> appliedByReader;
  };
  ReadersRound round;
  Moment missedAt{};
  Count cellDigest{0}, storesDigest{0};
  std::map<std::string, HelloReply> hellos;
  std::map<std::string, Asked> asked;
  Moment helloAt{}, platformAt{}, joinAt{}, startedAt{}, idSavedAt{}, endsAt{}, membersMovedAt{};
  bool idSynced{false}, diskStalled{false}, platformHeard{false};
  Span diskWait{};
  std::uint64_t askCount{0};

  Cell& cellFor(const std::string& locality);
  void seekFleet(Desk& desk);
  void considerForming(Desk& desk);
  void onEnds(Desk& desk, const std::string& from, const EndsAsk& ask);
  void onNewsAsk(Desk& desk, const std::string& from, const NewsAsk& ask);
  void onOperator(Desk& desk, const std::string& from, const OperatorAsk& ask);
  void onChangeReply(Desk& desk, const std::string& from, const ChangeReply& reply);
  void settleAsked(Desk& desk);
  bool readersHave(const Asked& row, Moment now) const;
  void askReaders(Desk& desk);
  void onReadersAsk(Desk& desk, const std::string& from, const ReadersAsk& ask);
  void onReadersReply(Desk& desk, const std::string& from, const ReadersReply& reply);
  void takeMarks(Desk& desk);
  std::vector<Machine> machinesWithStores() const;
  void spread(Desk& desk, const Message& message);
  void keepNews(Desk& desk, const CellNews& news, bool own);
  void askMissed(Desk& desk, const CellNews& news);
  Strings watchFor(const std::string& agent, Moment now) const;
};

/// Whose news a daemon follows: its few lower-ranked fellows that rendezvous hashing names. As rank depends on the
/// name alone, no two views of the fleet can make a ring.
Strings drawWatch(const std::string& agent, const Strings& fellows, std::size_t most);

}  // namespace tt
