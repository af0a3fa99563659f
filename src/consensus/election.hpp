#pragma once
#include "chart.hpp"
#include "defences.hpp"
#include "effects.hpp"

namespace tt {

/// The spans that duties, freshness and news keep to: one set for a whole fleet, set before a process starts its logic.
struct Timing {
  Duration heartbeatInterval{150ms}, lease{900ms}, minElectionTimeout{1100ms}, voteTimeout{300ms};
  /// How much of its own disk's slowness a election waits for, at most.
  Duration slowDiskMost{700ms};
  /// How long a reader serves on what it last knew to be complete.
  Duration maxStaleness{1500ms};
  /// How long an acknowledgement waits for readers that are silent.
  Duration readerAckTimeout{1530ms};
  /// How often agents and cores ask the cores for their logs' ends, and proxies their agent.
  Duration logEndPollInterval{250ms}, feedPollInterval{100ms};
  /// How often the platform's list is read, and how old a list may be before a core that need not read it does.
  Duration listPollInterval{300ms}, maxListAge{300ms};
  /// How long a new holder of a cell sends no commands, so that holders never take turns at a worker.
  Duration commandHoldoff{0};
  /// How long a command may be on its way to a worker.
  Duration commandTimeout{2s};
  /// How long after newer weights were named work may begin on a model's older ones, as promised; how long orders may
  /// be sent to workers that still have them; and when those sent there that have not begun are taken back.
  Duration oldWeightsTimeout{20s}, oldWeightsOrderTimeout{18s}, unstartedOrderTimeout{19500ms};
  /// After which workers that have not begun to change to newer weights are overdue.
  Duration rolloutStartTimeout() const { return oldWeightsOrderTimeout * 17 / 20; }
  /// How long a voter must be silent before it is taken out for good, and how many voters must stay; 0 takes none out.
  Duration memberRemovalTimeout{0};
  std::size_t minVoters{3};
  /// How long a voter must be silent before an empty core of its name takes its place, and before one of another name
  /// does; a voter that is silent for `suspectAfter` keeps others from being added until it is heard or replaced.
  Duration successorWait{1s}, strangerWait{2s}, suspectAfter{500ms};
  /// How often a core that is no member asks to join.
  Duration joinInterval{250ms};
  /// How long a learner must be silent before it is dropped.
  Duration learnerGone{9s};
  /// Sets what rests on how long a machine may be out of touch, how long a new one has to catch up, and how many may be
  /// lost at once.
  void setMembershipTimeouts(Duration contact, Duration catchUp, std::size_t lossBudget);
  /// On how many disks a change must rest before one that holds it may leave.
  std::size_t copiesLeast() const { return minVoters / 2 + 1; }
};
inline Timing timing;

/// Reads the private state, for the model checker only.
class StateDump;

/// One core's part in one duty. A duty is won by election, kept by a lease that a quorum renews, and told apart by
/// term.
class Election {
 public:
  using LogEnd = std::function<std::pair<std::uint64_t, std::uint64_t>()>;
  Election(std::string dutyName, std::string selfId, Duration waitBeforeStanding, Defences defencesGiven = {});
  void restore(const Vote& vote, TimePoint now);
  /// Who votes, by id and address. While a change of members is not known to be agreed, the outgoing ones count too:
  /// then more than half of each of the two sets is needed, for a ballot and for the lease.
  void setVoters(const std::vector<Member>& members, const std::vector<Member>& outgoing = {});
  /// Looks at the log's end, where this duty cares whose log is longer.
  LogEnd logEnd;
  /// Whether this core may stand now.
  bool mayCampaign{true};
  void tick(Effects& effects);
  void handle(Effects& effects, const std::string& from, const Message& message);
  /// Whether the lease is good at this moment: asked just before every command that leaves.
  bool holdsLease(TimePoint now) const;
  /// Whether this core won the current term's election, lease good or not.
  bool won() const { return walk.in("holding"); }
  /// Gives the duty up at once, so that others need not wait for the lease. A successor that is named stands at once,
  /// and the others let it go first.
  void resign(Effects& effects, const std::string& successor = {});
  /// Learns of a higher term.
  void observeTerm(Effects& effects, std::uint64_t term);
  std::uint64_t term() const { return vote.term; }
  const std::string& holder() const { return knownHolder; }
  const std::string& duty() const { return dutyName; }
  std::string state() const { return walk.state(); }
  std::size_t quorum() const { return voters.size() / 2 + 1; }
  /// Whether this core itself votes.
  bool voter() const { return addressById.count(selfId) > 0; }
  /// Told when the duty is won or lost.
  std::function<void(Effects&, bool)> changed;

 private:
  friend class StateDump;
  std::string dutyName, selfId;
  Duration eagerness;
  Defences defences;
  Vote vote;
  std::vector<Member> voters;
  /// The ids of each set of voters of which more than half is needed; the newest set first.
  std::vector<Strings> voterSets;
  std::map<std::string, std::string> addressById;
  std::string knownHolder;
  TimePoint voteBlockedUntil{}, campaignAt{}, votesRequestedAt{}, lastHeartbeatAt{};
  bool started{false};
  /// How long this core's last vote took to be synced; others' disks are taken to be no faster.
  Duration lastSyncDuration{};
  Duration syncAllowance() const { return std::min(lastSyncDuration, timing.slowDiskMost); }
  std::set<std::string> grants;
  std::map<std::string, TimePoint> renewals;
  std::uint64_t seenTerm{0};
  StateMachine<Election, Effects&> walk;

  static const StateMachine<Election, Effects&>::Actions& actions();
  void askProbe(Effects& effects);
  void voteSelf(Effects& effects);
  void takeDuty(Effects& effects);
  void loseDuty(Effects& effects);
  void adoptTerm(Effects& effects);
  void waitAgain(Effects& effects);
  void sendHolds(Effects& effects);
  void toOthers(Effects& effects, const Message& message);
  TimePoint leaseStart(TimePoint now) const;
  TimePoint leaseStart(TimePoint now, const Strings& voterIds) const;
  /// Whether more than half of each set of voters has granted.
  bool elected() const;
  void onAsk(Effects& effects, const std::string& from, const VoteRequest& ask);
  void onRelease(Effects& effects, std::int64_t release);
  void onHold(Effects& effects, const std::string& from, const Heartbeat& hold);
};

}  // namespace tt
