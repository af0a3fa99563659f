#pragma once
#include "configuration.hpp"
#include "defences.hpp"
#include "election.hpp"
#include "version_timeline.hpp"

namespace tt {

/// Settings of one reader of the replicated log: an agent, or a core that serves reads to operators.
struct ReaderSettings {
  std::string name, address, zone;
  /// Addresses of the cores to contact while none are known or the view is stale.
  Strings seeds;
  /// Whether other agents may use it as an upstream.
  bool relays{true};
  Defences defences;
};

/// What a reader knows about the cores: who they are, their log ends, the time up to which the reader's own view is
/// known to be complete, and the newest machine list. All times are send times of requests, on the reader's own steady
/// clock. What a response reports is never older than its request, so these times never make a view look fresher than
/// it is.
class ClusterView {
 public:
  explicit ClusterView(ReaderSettings readerSettings);
  /// Requests the log end of every known core. `applied` and `cells` tell the cores what this reader has applied.
  void requestLogEnds(Effects& effects, Uint64 applied, const std::vector<CellVersion>& cells,
                      const Configuration& view);
  /// Handles a core's response; responses to unknown requests are ignored.
  void handle(Effects& effects, const std::string& from, const LogEndResponse& reply, const Configuration& view);
  /// Recomputes the completeness time after the view or the responses have changed.
  void updateCompleteness(TimePoint now, const Configuration& view);
  /// Accepts a machine list that was requested from the platform at this time, unless it is empty or not newer. Returns
  /// whether the list changed.
  bool offerMachineList(const std::vector<Machine>& machines, TimePoint requestedAt);
  /// The time up to which the view is known to be complete.
  TimePoint completeAsOf() const { return completeUntil; }
  /// The time up to which the view is known to be complete by the responses of a majority of the voters. For
  /// completeness half of an even number of voters is enough; operator reads need a majority.
  TimePoint majorityCompleteAsOf() const { return majorityCompleteUntil; }
  /// Whether the view is within the staleness bound.
  bool fresh(TimePoint now) const { return completeUntil != TimePoint{} && now < completeUntil + timing.maxStaleness; }
  /// Addresses of all known cores; includes the seeds while no core is known or the view is stale.
  Strings coreAddresses(const Configuration& view) const;
  /// The address of the core that recently reported the highest commit index above `beyond`; empty if there is none.
  std::string furthestCore(TimePoint now, Uint64 beyond) const;
  /// The highest commit index that this reader has learned of.
  Uint64 knownCommit() const { return highestCommit; }
  /// The upstreams that a core assigned to this reader.
  const Strings& upstreamCandidates() const { return upstreams; }
  const std::vector<Machine>& machines() const { return machineList; }
  bool machineListKnown() const { return listRequestedAt != TimePoint{}; }
  TimePoint machineListAt() const { return listRequestedAt; }
  Uint64 machineListDigest() const { return listDigest; }
  /// Records the announcements of weights in the view. updateCompleteness() calls this; it must also be called after
  /// each applied entry, while the view is known to be complete up to just before that entry.
  void recordAnnouncements(const Configuration& view);
  const VersionTimeline& versions() const { return timeline; }
  /// Merges announcement times from a reader that remembers them.
  void mergeAnnouncements(const std::vector<WeightsAnnouncement>& weightsAnnouncements, TimePoint now) {
    timeline.mergeFrom(weightsAnnouncements, now);
  }
  /// Resolves announcements of unknown time once this process has run for longer than old weights may be used.
  void resolveAnnouncementTimes(TimePoint ownStart, TimePoint now) {
    timeline.resolveUnknownTimes(ownStart, now, timing.oldWeightsTimeout);
  }
  /// Records a commit index that was learned from a message other than a log end response.
  void observeCommit(Uint64 commit) { highestCommit = std::max(highestCommit, commit); }

 private:
  /// What this reader knows about one core.
  struct CoreState {
    /// `requestTimes`: when each open request was sent, by request id. `reply`: the newest response. `requestedAt`:
    /// when the request for it was sent.
    std::map<Uint64, TimePoint> requestTimes;
    TimePoint requestedAt{};
    LogEndResponse reply;
    bool responded{false};
  };
  ReaderSettings settings;
  std::map<std::string, CoreState> cores;
  Strings reportedAddresses, upstreams;
  std::vector<Machine> machineList;
  Uint64 listDigest{0}, requestCount{0}, highestCommit{0}, reportedCommit{0};
  TimePoint listRequestedAt{}, completeUntil{}, majorityCompleteUntil{};
  bool wasStale{true};
  VersionTimeline timeline;
  /// The index up to which announcements in the view have been recorded.
  Uint64 notedIndex{0};
  /// The newest response of each voter that has responded, newest request first.
  std::vector<const CoreState*> newestReplies(const std::vector<Member>& members) const;
  /// Merges announcement times from a core, and sends the core those that it has lost.
  void mergeAnnouncementsFrom(Effects& effects, const std::string& from, const LogEndResponse& reply,
                              TimePoint requestedAt);
  static bool hasForgotten(const LogEndResponse& reply, const WeightsAnnouncement& newest);
  /// The index up to which a reader must have applied the log to be complete, according to these responses of voters;
  /// no value if there are too few responses.
  std::optional<Uint64> requiredIndex(const std::vector<const CoreState*>& replies, std::size_t voters) const;
  /// The latest time at which a view up to `applied` is known to have been complete; TimePoint{} if the replies do not
  /// prove it. It is proved with as few of the newest replies as possible, but at least `minReplies`, and is the time
  /// at which the oldest of their requests was sent.
  TimePoint completenessTime(const std::vector<const CoreState*>& replies, std::size_t minReplies, std::size_t voters,
                             Uint64 applied) const;
};

}  // namespace tt
