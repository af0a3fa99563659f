#pragma once
#include "cell.hpp"
#include "cluster_view.hpp"
#include "replicated_log.hpp"

namespace tt {

struct CoreSettings {
  std::string name, address, zone, platformAddress;
  std::vector<std::string> seeds;
  std::vector<std::string> zones;
  std::size_t maxRecordBytes{1 << 20};
  /// Whether this core may take part in forming a new fleet; one that comes back empty may not.
  bool mayForm{true};
  CellSettings cell;
  Defences defences;
};

/// What a core does: one voice in the replicated log, one cell for each locality, the root of the news tree, the
/// operators' door.
class Core : public Node {
 public:
  /// Marks the round in which a core that leaves asks who holds what it holds.
  static constexpr Uint64 copiesRound = ~Uint64{0};
  Core(CoreSettings coreSettings, const RecoveredState& recovered, std::mt19937_64& randomSource, TimePoint now);
  void handle(Effects& effects, const std::string& from, const Message& message) override;
  void tick(Effects& effects) override;
  /// Gives up all duties, for a clean stop: the lead goes to a fellow that has the whole log, and this core counts for
  /// no further copy of a change.
  void resign(Effects& effects);
  /// Whether all that this core has synced is on as many other cores' disks as a change must rest on.
  bool safeToStop() const;
  const ReplicatedLog& consensusLog() const { return *replicatedLog; }
  const std::map<std::string, std::unique_ptr<Cell>>& cellsByZone() const { return cells; }
  /// Everything an operator may want to see, as JSON text.
  std::string condition(TimePoint now) const;
  /// The host's word on how long the oldest write has waited for its sync.
  void reportSyncWait(Duration span) { diskWait = span; }
  const std::string& id() const { return self.id; }
  /// Whether a command to a worker may still leave at this moment.
  bool mayCommand(const ControlAsk& command, TimePoint now) const;
  /// Whether this core's view of the configuration is fresh, as an agent's is. What is read back to an operator takes
  /// more: see ReadRequest and settleReads().
  bool readsConfirmed(TimePoint now) const { return clusterView->fresh(now); }

 private:
  struct AgentRow {
    std::string id, zone;
    /// Whom it was last told to watch, and when that was drawn.
    Strings watch;
    TimePoint watchAt{};
    std::uint64_t applied{0};
    bool fresh{false}, relays{true};
    TimePoint at{};
  };
  struct Asked {
    std::string from, requestId, leaderAddress;
    TimePoint at{}, agreedAt{};
    std::uint64_t revision{0}, index{0}, term{0};
    OperatorRequest ask;
    Uint64 seen{0};
    bool agreed{false};
    TimePoint sentAt{};
  };
  /// A read of the configuration that waits until this core knows all that was agreed before it was asked for.
  struct PendingRead {
    std::string from, requestId;
    TimePoint at{};
  };
  CoreSettings settings;
  Member self;
  std::unique_ptr<ReplicatedLog> replicatedLog;
  std::map<std::string, std::unique_ptr<Cell>> cells;
  std::map<std::string, AgentRow> agents;
  std::map<std::string, TimePoint> followers;
  std::map<std::string, CellNews> lastNews;
  std::unique_ptr<ClusterView> clusterView;
  /// One round of asking all cores which readers they know, for all acknowledgements that wait.
  struct ReadersRound {
    std::uint64_t id{0}, index{0}, term{0};
    TimePoint at{};
    std::set<std::string> having, answered;
    std::map<std::string, std::uint64_t> appliedByReader;
  };
  ReadersRound round;
  TimePoint missedAt{};
  Uint64 cellDigest{0}, servicesDigest{0};
  std::map<std::string, HelloResponse> hellos;
  std::map<std::string, Asked> asked;
  std::deque<PendingRead> pendingReads;
  TimePoint helloAt{}, platformAt{}, joinAt{}, startedAt{}, idSavedAt{}, endsAt{};
  /// When this core last started, or took in or applied a change of members.
  TimePoint membersMovedAt{};
  /// Since when this core leaves, when it last asked who holds what it holds, and who does.
  TimePoint leaveAt{}, copiesAt{};
  std::set<std::string> copyHolders;
  bool idSynced{false}, diskStalled{false}, platformHeard{false};
  Duration diskWait{};
  std::uint64_t askCount{0};
  /// From when on this core's log was agreed up to an index, as far back as a copy of a change may lie unread.
  std::deque<std::pair<TimePoint, Uint64>> commitsSeen;

  Cell& cellFor(const std::string& zone);
  void seekFleet(Effects& effects);
  void considerForming(Effects& effects);
  void onEnds(Effects& effects, const std::string& from, const LogEndRequest& ask);
  void onNewsAsk(Effects& effects, const std::string& from, const NewsAsk& ask);
  void onOperator(Effects& effects, const std::string& from, const OperatorRequest& ask);
  void onChangeReply(Effects& effects, const std::string& from, const ChangeResponse& reply);
  void settleAsked(Effects& effects);
  /// Tells the operator that a change is in force.
  void confirm(Effects& effects, const Asked& row);
  /// Hands an ask to whoever leads.
  void passOn(Effects& effects, const std::string& name, Asked& row);
  /// A name that no other life of this core gives to an ask.
  std::string freshAskName();
  void noteCommit(TimePoint now);
  /// The commit that this core knew of before any copy of a change that it reads now can have been sent.
  Uint64 seenBefore(TimePoint now);
  /// Whether every reader that may still be fresh is known to have a change. Sound only if this core's members are
  /// those under which the change was agreed, and readers that know earlier members only have gone stale.
  bool readersHave(const Asked& row, TimePoint now) const;
  void askReaders(Effects& effects);
  void askCopies(Effects& effects);
  void onCopiesReply(const ReadersResponse& reply);
  /// Names the readers heard lately. A core that started less than a readers' wait ago has forgotten whom it answered
  /// before, so it does not count among those that have the entry.
  void onReadersAsk(Effects& effects, const std::string& from, const ReadersRequest& ask);
  void onReadersReply(Effects& effects, const std::string& from, const ReadersResponse& reply);
  void onRead(Effects& effects, const std::string& from, const ReadRequest& ask);
  /// Confirms the reads that a majority, asked after they came, shows to be complete; turns away those that wait long.
  void settleReads(Effects& effects);
  void askLogEnds(Effects& effects);
  void takeMarks(Effects& effects);
  /// Gives what concerns a worker or a store to the cell that has it, if this core knows that cell.
  void giveToCell(Effects& effects, const std::string& from, const std::string& zone, const Message& message);
  /// Tells apart configurations whose stores or engine services differ.
  Uint64 digestOfServices() const;
  std::vector<Machine> machinesWithStores() const;
  void spread(Effects& effects, const Message& message);
  void keepNews(Effects& effects, const CellNews& news, bool own);
  void askMissed(Effects& effects, const CellNews& news);
  Strings watchFor(const std::string& agent, TimePoint now) const;
};

/// Whose news a daemon follows: its few lower-ranked fellows that rendezvous hashing names. As rank depends on the
/// name alone, no two views of the fleet can make a ring.
Strings selectUpstreams(const std::string& agent, const Strings& fellows, std::size_t most);

}  // namespace tt
