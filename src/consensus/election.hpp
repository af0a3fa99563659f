#pragma once
#include "chart.hpp"
#include "defences.hpp"
#include "effects.hpp"

namespace tt {

/// Time limits of elections, leases, freshness and membership. All processes of a fleet use the same values, which are
/// set before a process starts its nodes; see checkTiming() for how they depend on each other.
struct Timing {
  /// `heartbeatInterval`: how often a lease holder sends heartbeats. `lease`: how long its lease lasts from the time at
  /// which the heartbeats that a quorum acknowledged were sent. `minElectionTimeout`: how long a voter that received a
  /// heartbeat votes for no other candidate; longer than the lease, so that a lease has ended before another can begin.
  /// `voteTimeout`: how long a candidate waits for votes.
  Duration heartbeatInterval{150ms}, lease{900ms}, minElectionTimeout{1100ms}, voteTimeout{300ms};
  /// Upper bound of the extra time that an election allows for a slow disk.
  Duration maxSyncAllowance{700ms};
  /// Staleness bound: how long a reader may serve from its view after the time up to which it was known to be complete.
  Duration maxStaleness{1500ms};
  /// How long the acknowledgement of a configuration change waits for readers that do not answer. By then they have
  /// passed their staleness bound.
  Duration readerAckTimeout{1530ms};
  /// How often agents and cores request the log ends of the cores, and how often a proxy polls its agent.
  Duration logEndPollInterval{250ms}, feedPollInterval{100ms};
  /// How often the machine list is requested from the platform, and the age of the list from which on a core that is
  /// not the leader requests it too.
  Duration listPollInterval{300ms}, maxListAge{300ms};
  /// How long a new lease holder of a cell sends no commands. Commands of the previous holder that are still in transit
  /// then arrive before its own, so that the commands of two holders never alternate at a worker.
  Duration commandHoldoff{0};
  /// How long a command may take to reach a worker.
  Duration commandTimeout{2s};
  /// Limits for work with old weights, measured from the announcement of newer weights for the model.
  /// `oldWeightsTimeout`: until when a request may start on the old weights, as the settings promise.
  /// `oldWeightsSendTimeout`: until when a request may be sent to a worker that still has them.
  /// `unstartedRequestTimeout`: when requests that were sent there but have not started are withdrawn.
  Duration oldWeightsTimeout{20s}, oldWeightsSendTimeout{18s}, unstartedRequestTimeout{19500ms};
  /// How long after an announcement a worker must have started to load the newer weights.
  Duration rolloutStartTimeout() const { return oldWeightsSendTimeout * 17 / 20; }
  /// How long a voter must be silent before it is removed permanently (0: never), and how many voters must remain.
  Duration memberRemovalTimeout{0};
  std::size_t minVoters{3};
  /// How long a voter must be silent before a new core with the same name, or with another name, replaces it. While a
  /// voter has been silent for longer than `suspectTimeout`, no learner becomes an additional voter: the silent voter
  /// must first be heard again or be replaced.
  Duration sameNameReplaceTimeout{1s}, otherNameReplaceTimeout{2s}, suspectTimeout{500ms};
  /// How often a core that is not a member sends join requests.
  Duration joinInterval{250ms};
  /// How long a learner must be silent before it is removed.
  Duration learnerRemovalTimeout{9s};
  /// Derives the membership limits from three settings: how long a machine may be unreachable, how long a new machine
  /// may take to catch up, and how many machines may be lost at once.
  void setMembershipTimeouts(Duration contact, Duration catchUp, std::size_t lossBudget);
  /// On how many other disks the log of a core must be stored before the core may shut down.
  std::size_t minReplicas() const { return minVoters / 2 + 1; }
};
inline Timing timing;

/// Gives the model checker access to the private state.
class StateDump;

/// The election of one duty (the leadership of the log, or the holding of a cell) as seen by one core. A candidate is
/// elected by a quorum of voters for a term. It keeps the duty by a lease, which lasts as long as a quorum acknowledges
/// its heartbeats. A probe round before the election (the pre-vote of Raft) checks that a quorum would vote for the
/// candidate, so that an unreachable core does not raise the term.
class Election {
 public:
  /// Term and index of the last synced log entry.
  using LogEnd = std::function<std::pair<std::uint64_t, std::uint64_t>()>;
  /// `initialCampaignDelay` is added to each wait before a candidacy, so that cores with a lower delay are elected
  /// first.
  Election(std::string dutyName, std::string selfId, Duration initialCampaignDelay, Defences initialDefences = {});
  /// Restores the saved vote. The core votes for nobody during the next minElectionTimeout, as it may have acknowledged
  /// a heartbeat just before it stopped.
  void restore(const Vote& vote, TimePoint now);
  /// Sets the voters. While a membership change is not known to be committed, `outgoing` holds the previous members;
  /// votes and leases then need a majority of both sets (joint consensus).
  void setVoters(const std::vector<Member>& members, const std::vector<Member>& outgoing = {});
  /// If set, the core votes only for candidates whose log is at least as up to date as its own.
  LogEnd logEnd;
  /// Whether this core may become or remain the holder.
  bool mayCampaign{true};
  void tick(Effects& effects);
  void handle(Effects& effects, const std::string& from, const Message& message);
  /// Whether this core holds a valid lease now. Checked immediately before each command is sent.
  bool holdsLease(TimePoint now) const;
  /// Whether this core was elected in the current term. Its lease may have expired.
  bool won() const { return stateMachine.isIn("holding"); }
  /// Gives up the duty without waiting for the lease to end. If a successor is given, it starts an election immediately
  /// and the other voters wait for it.
  void resign(Effects& effects, const std::string& successor = {});
  /// Adopts a higher term that a message mentioned.
  void observeTerm(Effects& effects, std::uint64_t term);
  std::uint64_t term() const { return vote.term; }
  const std::string& holder() const { return knownHolder; }
  const std::string& duty() const { return dutyName; }
  std::string state() const { return stateMachine.state(); }
  std::size_t quorum() const { return voters.size() / 2 + 1; }
  /// Whether this core is a voter.
  bool voter() const { return addressById.count(selfId) > 0; }
  /// Called when this core is elected (true) or stops being the holder (false).
  std::function<void(Effects&, bool)> onHolderChanged;

 private:
  friend class StateDump;
  std::string dutyName, selfId;
  Duration campaignDelay;
  Defences defences;
  Vote vote;
  std::vector<Member> voters;
  /// The ids of each set of voters of which a majority is needed; the newest set first.
  std::vector<Strings> voterSets;
  std::map<std::string, std::string> addressById;
  std::string knownHolder;
  TimePoint voteBlockedUntil{}, campaignAt{}, votesRequestedAt{}, lastHeartbeatAt{};
  bool started{false};
  /// How long the last vote took to be synced. Other cores' disks are assumed to be at least as slow.
  Duration lastSyncDuration{};
  Duration syncAllowance() const { return std::min(lastSyncDuration, timing.maxSyncAllowance); }
  std::set<std::string> grants;
  std::map<std::string, TimePoint> renewals;
  std::uint64_t seenTerm{0};
  StateMachine<Election, Effects&> stateMachine;

  static const StateMachine<Election, Effects&>::Actions& actions();
  /// Actions of the state chart.
  void askProbe(Effects& effects);
  void voteSelf(Effects& effects);
  void takeDuty(Effects& effects);
  void loseDuty(Effects& effects);
  void adoptTerm(Effects& effects);
  void waitAgain(Effects& effects);
  void sendHeartbeats(Effects& effects);
  void broadcast(Effects& effects, const Message& message);
  /// The latest time from which a quorum is known to have renewed the lease; TimePoint{} if there is none.
  TimePoint leaseStart(TimePoint now) const;
  TimePoint leaseStart(TimePoint now, const Strings& voterIds) const;
  /// Whether a majority of each set of voters has granted its vote.
  bool elected() const;
  void onVoteRequest(Effects& effects, const std::string& from, const VoteRequest& request);
  void onRelease(Effects& effects, std::int64_t release);
  void onHeartbeat(Effects& effects, const std::string& from, const Heartbeat& heartbeat);
};

}  // namespace tt
