#pragma once
/// The block index and worker control of one zone.
#include "configuration.hpp"
#include "election.hpp"
#include "prefill_ledger.hpp"
#include "rollout_plan.hpp"
#include "version_timeline.hpp"

namespace tt {

/// A Bloom filter over block hashes: it may report a block that is not in the set, but never misses one that is.
class BloomFilter {
 public:
  /// The filter's bits; empty for an empty set.
  static std::string make(const std::unordered_set<BlockHash, BlockHashHasher>& blocks);
  static bool mayContain(const std::string& bits, const BlockHash& hash);
};

/// A worker or store in the cell's exact index of cached blocks.
struct CacheNode {
  Machine machine;
  /// The node's last status, without its block lists.
  Report lastReport;
  TimePoint lastReportAt{}, reportRequestedAt{}, fullReportRequestedAt{}, statusAt{}, statusRequestedAt{};
  /// `known`: a report was received under the current lease. `confirmed`: the index was built from a full report and no
  /// event has been missed since, so that `cachedBlocks` can be relied on.
  bool known{false}, confirmed{false}, reportPending{false};
  /// The sequence number of the last cache event that was applied to `cachedBlocks`.
  std::uint64_t appliedSequence{0};
  std::unordered_set<BlockHash, BlockHashHasher> cachedBlocks;
  /// The last Bloom filter that was made of `cachedBlocks`.
  std::string summary;
  bool summaryStale{true};
  /// For a store only: the prefixes that it evicted recently, and when.
  std::unordered_map<BlockHash, TimePoint, BlockHashHasher> recentlyEvicted;
  /// For a store only: recent lookups of prefixes that it has and of prefixes that it had evicted, and the share of all
  /// prefixes, in thousandths, that are to be saved in it. The share is lowered when too many lookups come after the
  /// eviction.
  int lookupHits{0}, evictedLookups{0}, savedPermille{1000};
  TimePoint shareAdjustedAt{};
};

/// How a cell polls and commands its workers. The defaults suit the worker protocol of this project.
struct CellSettings {
  /// Whether block index and status are requested separately. If so, a worker's weights, model and slots are taken from
  /// the machine list until its first status arrives.
  bool separateStatus{false};
  /// Whether a single command makes a worker finish its runs, load the weights and admit requests again.
  bool singleLoadCommand{false};
  /// Whether only the seeds may bootstrap a fleet; other cores then join it.
  bool onlySeedsBootstrap{false};
  /// Whether cell updates carry each node's Bloom filter. Without them an update carries only the changed workers.
  bool publishSummaries{true};
  /// How often a serving worker's status is requested. At 0 it is requested only while it is unknown or a roll-out
  /// changes the worker.
  Duration statusInterval{0};
  /// How often each node's cache events are requested.
  Duration reportInterval{50ms};
  /// How often a full report is requested from one of the nodes, in turn, to correct the index; 0 requests none.
  Duration fullReportInterval{1s};
  /// After how long without a report a node's index entry is no longer used.
  Duration reportTimeout{1s};
  /// After how long without a report a worker no longer counts as alive.
  Duration workerTimeout{1500ms};
  /// How often a changed cell update is published.
  Duration publishInterval{60ms};
  /// How long a roll-out waits, at most, for the agents to apply the update that withholds a worker.
  Duration withholdTimeout{1s};
  /// One in this many of a model's workers in this zone may change weights at the same time.
  int rolloutParts{3};
  /// How long a roll-out waits for further announcements before it starts its first worker.
  Duration rolloutSettleDelay{0};
  /// The time over which the starts of a zone's workers are spread; 0 starts as many at once as may change at the same
  /// time.
  Duration rolloutSpread{0};
};

/// The control state of one zone: its workers, the exact index of their cached blocks, and the commands to them. Every
/// core has a cell for each zone; only the holder of the cell's lease polls the workers, commands them and answers
/// lookups.
class Cell {
 public:
  /// `local`: whether the core is in this zone. Cores elsewhere wait 600 ms longer before they stand for election.
  Cell(std::string zone, const Member& self, bool local, Defences initialDefences = {}, CellSettings cellSettings = {});
  Election election;
  /// Applies a new machine list. Nodes of this zone that are no longer listed are dropped; the index entry of a node
  /// whose address has changed starts empty.
  void setMachines(const std::vector<Machine>& machines);
  void tick(Effects& effects, const Configuration& configuration);
  void handle(Effects& effects, const std::string& from, const Message& message);
  /// Records the newest cell update that an agent is known to have applied.
  void recordAgentVersion(const std::string& agent, const CellVersion& version, TimePoint now);
  /// Called with each new cell update, which goes to the other cores and to the agents that follow this core.
  std::function<void(Effects&, const CellNews&)> publish;
  /// The newest update of every cell, needed so that zones with a single worker of a model change one after the other.
  const std::map<std::string, CellNews>* latestUpdates{nullptr};
  /// When weights versions were announced, as far as this core knows.
  const VersionTimeline* versions{nullptr};
  const std::string& zone() const { return zoneName; }
  const std::map<std::string, CacheNode>& cacheNodes() const { return nodes; }
  /// Whether a command may still be sent. It is checked again just before the command is written to the worker, since
  /// the lease may have expired in the meantime.
  bool mayCommand(const ControlAsk& command, TimePoint now) const;
  /// The state of the worker's roll-out state machine; "serving" if it has none.
  std::string rolloutState(const std::string& worker) const;
  /// The number of engines and stores whose index entry is not confirmed.
  std::int64_t unconfirmedCount() const;

 private:
  using RolloutMachine = StateMachine<Cell, Effects&, const std::string&>;
  /// The change of one worker to other weights.
  struct Rollout {
    std::string weights, model;
    /// `stateSince`: when the current state was entered. `sentAt`: when the last command was sent.
    TimePoint stateSince{}, sentAt{}, readyAt{};
    /// The sequence number of the first cell update that reports the worker as withheld.
    std::uint64_t withheldSequence{0};
    /// The number of the last command; the worker's reply carries it.
    Uint64 commandNumber{0};
    /// When the worker last confirmed that it has accepted the command.
    TimePoint acceptedAt{};
    bool failed{false};
    std::unique_ptr<RolloutMachine> stateMachine;
  };
  /// A block transfer that is watched until its target reports the blocks.
  struct TransferWatch {
    WatchMsg request;
    TimePoint startedAt{}, deadline{};
    std::unique_ptr<StateMachine<Cell, Effects&, TransferWatch&>> stateMachine;
  };
  struct AgentVersion {
    CellVersion version;
    TimePoint receivedAt{};
  };
  std::string zoneName, selfId, selfAddress;
  Defences defences;
  CellSettings settings;
  TimePoint leaseWonAt{};
  const Configuration* lastConfiguration{nullptr};
  /// By name of the worker or store.
  std::map<std::string, CacheNode> nodes;
  std::map<std::string, Rollout> rollouts;
  std::map<std::string, TransferWatch> transfers;
  std::map<std::string, AgentVersion> agentVersions;
  PrefillLedger prefills;
  struct TransferSpeed {
    double blocksPerSecond{0};
    TimePoint at{};
  };
  /// The speed of the last transfer, by source and target.
  std::map<std::pair<std::string, std::string>, TransferSpeed> transferSpeeds;
  /// The sequence number of the last cell update under this lease.
  std::uint64_t sequence{0};
  Uint64 lastCommand{0};
  /// The workers as last published, so that the next update need only carry what has changed.
  std::map<std::string, WorkerView> lastPublished;
  TimePoint publishedAt{}, summariesPublishedAt{}, fullReportRequestedAt{};
  /// The node from which a full report was last requested; the next one follows it in the order of names.
  std::string lastFullReportNode;
  bool updatePending{true};
  using RolloutActions = RolloutMachine::Actions;
  using TransferActions = StateMachine<Cell, Effects&, TransferWatch&>::Actions;
  static const RolloutActions& rolloutActions();
  static const TransferActions& transferActions();
  /// Withholds a worker, so that it gets no new requests, and publishes that without waiting for the publish interval.
  void withholdWorker(Effects& effects, const std::string& worker);
  void sendDrain(Effects& effects, const std::string& worker);
  void sendLoad(Effects& effects, const std::string& worker);
  void sendAdmit(Effects& effects, const std::string& worker);
  void releaseWorker(Effects& effects, const std::string& worker);
  void markFailed(Effects& effects, const std::string& worker);
  void reportTransferDone(Effects& effects, TransferWatch& transfer);
  void reportTransferFailed(Effects& effects, TransferWatch& transfer);
  /// Sends a command to a worker, except during the hold-off after the lease was won, when a command of the previous
  /// holder may still be in transit.
  void sendCommand(Effects& effects, const std::string& worker, const std::string& action);
  void onReport(Effects& effects, const Report& report);
  void onLookup(Effects& effects, const LookupMsg& request);
  /// Counts a lookup at a store and adjusts the share of prefixes to be saved there: down if more than a tenth of the
  /// lookups asked for a prefix that had been evicted, else slowly up.
  void adjustStoreShare(CacheNode& store, const BlockHash& prefix, TimePoint now);
  /// Whether a worker sends reports. With separate status requests, a worker of a plain service ("app") sends none and
  /// counts as alive for as long as it is listed.
  bool sendsReports(const CacheNode& node) const;
  void requestReports(Effects& effects);
  void requestStatus(Effects& effects, CacheNode& node);
  void onStatus(Effects& effects, CacheNode& node, const Report& report);
  void updateRollouts(Effects& effects, const Configuration& configuration);
  Rollout& rolloutFor(const std::string& worker);
  void advance(Effects& effects, const std::string& worker, Rollout& rollout, const char* event);
  /// Whether a worker has reported recently, so that it takes part in roll-outs.
  bool takesPartInRollout(const CacheNode& node, TimePoint now) const;
  /// When the weights that a worker reports were superseded: TimePoint::max() if they are the wanted ones,
  /// TimePoint::min() if it is unknown.
  TimePoint supersededAt(const Report& report, const std::string& wanted) const;
  RolloutStep stepOf(const std::string& worker, bool hasWanted) const;
  /// The workers that are to start the change to their models' newest weights now.
  std::set<std::string> workersDue(TimePoint now, const Configuration& configuration) const;
  /// Whether a worker of another zone has the newest weights, which proves that they can be loaded.
  bool loadedElsewhere(const std::string& model) const;
  /// Whether a zone with a single worker of a model waits for zones that precede it by name, so that the model's
  /// workers do not all change at once.
  bool waitsForEarlierZones(const std::string& model, TimePoint superseded, TimePoint now) const;
  void startRollout(Effects& effects, const CacheNode& node, Rollout& rollout, const std::string& wanted, bool due);
  /// Continues a change that has begun. A load that a worker has accepted is finished even if newer weights have been
  /// announced in the meantime: until then the worker accepts no other command, and it would never serve if each
  /// announcement made it load another version.
  void continueRollout(Effects& effects, const CacheNode& node, Rollout& rollout, const std::string& wanted);
  void updateTransfers(Effects& effects);
  void publishUpdate(Effects& effects);
  /// Reduces an update to the workers that have changed since the last one, and rounds the counts of running requests
  /// so that small changes need not be sent.
  void reduceToChanges(CellNews& update);
  /// Resets the state when the lease is won or lost, since what another holder has done in the meantime is unknown
  /// here.
  void onLeaseChange(Effects& effects, bool won);
  /// Whether all agents that have reported recently have applied this update or a later one.
  bool agentsHaveApplied(std::uint64_t updateSequence, TimePoint now) const;
  /// Drops a node's index entry until its next full report.
  void markUnconfirmed(Effects& effects, CacheNode& node, const char* why);
};

}  // namespace tt
