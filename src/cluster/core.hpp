#pragma once
#include "cell.hpp"
#include "cluster_view.hpp"
#include "replicated_log.hpp"

namespace tt {

/// Settings of one core.
struct CoreSettings {
  std::string name, address, zone, platformAddress;
  /// Addresses of the cores that may bootstrap the fleet and that a new core contacts first.
  std::vector<std::string> seeds;
  std::vector<std::string> zones;
  /// Upper bound of the configuration's size and of the entries not yet committed, in bytes.
  std::size_t maxRecordBytes{1 << 20};
  /// Whether this core may take part in bootstrapping a new fleet. A core that comes back with an empty disk may not.
  bool mayBootstrap{true};
  CellSettings cell;
  Defences defences;
};

/// A core of the control plane: a replica of the log, one cell for each zone, the root of the update relays, and the
/// entry point for operators.
class Core : public Node {
 public:
  /// The round id with which a core that shuts down asks the others whether they have its log.
  static constexpr Uint64 replicaCheckRound = ~Uint64{0};
  Core(CoreSettings coreSettings, const RecoveredState& recovered, std::mt19937_64& randomSource, TimePoint now);
  void handle(Effects& effects, const std::string& from, const Message& message) override;
  void tick(Effects& effects) override;
  /// Prepares a clean shutdown: gives up all duties, hands the leadership to the peer with the longest log, and
  /// acknowledges no further entries.
  void resign(Effects& effects);
  /// Whether all that this core has synced is stored on enough other cores' disks for this core to shut down.
  bool safeToStop() const;
  /// This core's replica of the log.
  const ReplicatedLog& consensusLog() const { return *replicatedLog; }
  const std::map<std::string, std::unique_ptr<Cell>>& cellsByZone() const { return cells; }
  /// The state of this core for operators, as JSON text.
  std::string condition(TimePoint now) const;
  /// Called by the host with how long the oldest write has been waiting for its sync.
  void reportSyncWait(Duration duration) { syncWait = duration; }
  const std::string& id() const { return self.id; }
  /// Whether a command to a worker may still be sent now.
  bool mayCommand(const ControlAsk& command, TimePoint now) const;
  /// Whether this core's view of the configuration is fresh, in the same sense as an agent's view. Reads by operators
  /// need more than this: see completeReads().
  bool readsConfirmed(TimePoint now) const { return clusterView->fresh(now); }

 private:
  /// What this core knows about an agent, or about another core that requests its log end.
  struct AgentState {
    std::string id, zone;
    /// The upstreams last assigned to it, and when they were selected.
    Strings upstreams;
    TimePoint upstreamsSelectedAt{};
    std::uint64_t applied{0};
    bool fresh{false}, relays{true};
    TimePoint lastRequestAt{};
  };
  /// An operator's configuration change that has not been answered yet.
  struct OpenChange {
    /// `from`, `requestId`: the operator's request. `leaderAddress`: the leader that committed the change.
    std::string from, requestId, leaderAddress;
    /// When the operator's request arrived, and when this core learned that the change was committed.
    TimePoint receivedAt{}, committedAt{};
    /// The revision that the change made, and the commit index and term at which it was known to be committed.
    std::uint64_t revision{0}, index{0}, term{0};
    OperatorRequest request;
    /// A commit index that this core knew before any copy of this change can have been sent.
    Uint64 commitBeforeCopies{0};
    bool committed{false};
    /// When it was last sent to the leader; TimePoint{} if it was not.
    TimePoint sentAt{};
  };
  /// An operator's read that waits until this core knows all entries that were committed before it arrived.
  struct PendingRead {
    std::string from, requestId;
    TimePoint receivedAt{};
  };
  CoreSettings settings;
  Member self;
  std::unique_ptr<ReplicatedLog> replicatedLog;
  std::map<std::string, std::unique_ptr<Cell>> cells;
  std::map<std::string, AgentState> agents;
  /// Addresses that requested updates, and when they last did.
  std::map<std::string, TimePoint> subscribers;
  /// The newest update of each zone's cell.
  std::map<std::string, CellNews> cellUpdates;
  std::unique_ptr<ClusterView> clusterView;
  /// A round in which all cores are asked which readers they know. One round serves all acknowledgements that are open.
  struct ReadersRound {
    std::uint64_t id{0}, index{0}, term{0};
    TimePoint startedAt{};
    /// Ids of the cores that have the entry; addresses of the cores that responded.
    std::set<std::string> coresWithEntry, respondedAddresses;
    std::map<std::string, std::uint64_t> appliedByReader;
  };
  ReadersRound readersRound;
  TimePoint missedRequestedAt{};
  Uint64 appliedListDigest{0}, servicesDigest{0};
  std::map<std::string, HelloResponse> helloResponses;
  std::map<std::string, OpenChange> openChanges;
  std::deque<PendingRead> pendingReads;
  TimePoint helloSentAt{}, listRequestedAt{}, joinSentAt{}, startedAt{}, idSavedAt{}, logEndsRequestedAt{};
  /// When this core last started, or received or applied a membership change.
  TimePoint membershipChangedAt{};
  /// When this core began to shut down, when it last asked which cores have its log, and the ids of those that have.
  TimePoint leavingSince{}, replicaCheckSentAt{};
  std::set<std::string> replicaHolders;
  bool idSynced{false}, diskStalled{false}, platformResponded{false};
  Duration syncWait{};
  std::uint64_t requestCount{0};
  /// The commit indexes that this core knew within the last maxCopyAge, each with the time since when it was known.
  std::deque<std::pair<TimePoint, Uint64>> commitHistory;

  /// The cell of a zone; created if it does not exist.
  Cell& cellFor(const std::string& zone);
  /// Contacts the seeds and requests to join while this core is not a member that hears its leader.
  void seekMembership(Effects& effects);
  /// Bootstraps the fleet if all seeds are reachable, none belongs to a fleet and this core has the lowest id.
  void tryForming(Effects& effects);
  void onLogEndRequest(Effects& effects, const std::string& from, const LogEndRequest& request);
  void onUpdateRequest(Effects& effects, const std::string& from, const NewsAsk& request);
  void onOperatorRequest(Effects& effects, const std::string& from, const OperatorRequest& request);
  void onChangeResponse(Effects& effects, const std::string& from, const ChangeResponse& reply);
  /// Responds to changes that are done or have timed out, and forwards those that are not yet at the leader.
  void settleOpenChanges(Effects& effects);
  /// Tells the operator that a change is in force.
  void acknowledge(Effects& effects, const OpenChange& row);
  /// Sends a change to the leader.
  void forwardToLeader(Effects& effects, const std::string& requestId, OpenChange& row);
  /// A request id that is unique across restarts of this core.
  std::string newRequestId();
  /// Records the present commit index in the history.
  void recordCommit(TimePoint now);
  /// The commit index that this core knew maxCopyAge ago, which is before any copy of a change that it reads now can
  /// have been sent.
  Uint64 commitBeforeOldestCopy(TimePoint now);
  /// Whether every reader whose view may still be fresh is known to have applied a change. This is sound only if this
  /// core's members are those under which the change was committed, and if readers that know only earlier members have
  /// become stale.
  bool readersHaveApplied(const OpenChange& row, TimePoint now) const;
  void requestReaders(Effects& effects);
  void requestReplicaCheck(Effects& effects);
  void onReplicaCheckResponse(const ReadersResponse& reply);
  /// Responds with the readers that requested the log end here recently. A core that started less than readerAckTimeout
  /// ago does not know which readers it served before, so it does not report that it has the entry.
  void onReadersRequest(Effects& effects, const std::string& from, const ReadersRequest& request);
  void onReadersResponse(Effects& effects, const std::string& from, const ReadersResponse& reply);
  void onReadRequest(Effects& effects, const std::string& from, const ReadRequest& request);
  /// Answers each read once a majority has responded to requests sent after the read arrived, and these responses prove
  /// the view complete. Rejects reads that have waited too long.
  void completeReads(Effects& effects);
  void requestLogEnds(Effects& effects);
  void applyMachineList(Effects& effects);
  /// Passes a message about a worker or a store to its zone's cell, if this core has that cell.
  void forwardToCell(Effects& effects, const std::string& from, const std::string& zone, const Message& message);
  /// A digest of the stores and the engine services in the configuration, to detect changes.
  Uint64 digestOfServices() const;
  std::vector<Machine> machinesWithStores() const;
  /// Sends a message to all subscribers.
  void broadcast(Effects& effects, const Message& message);
  /// Stores a cell update if it is newer and sends it to the subscribers. An update of this core's own cell (`own`)
  /// also goes to the other cores.
  void handleCellUpdate(Effects& effects, const CellNews& update, bool own);
  /// Requests the full state from a cell's lease holder after an update that does not follow the last one.
  void requestMissedUpdates(Effects& effects, const CellNews& update);
  Strings selectUpstreamsFor(const std::string& agent, TimePoint now) const;
};

/// Selects up to `maxCount` upstreams of an agent by rendezvous hashing among the peers with a lower rank. The rank
/// depends on the name only, so the upstreams cannot form a cycle, even if agents know different sets of peers.
Strings selectUpstreams(const std::string& agent, const Strings& peers, std::size_t maxCount);

}  // namespace tt
