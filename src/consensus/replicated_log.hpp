#pragma once
#include "configuration.hpp"
#include "defences.hpp"
#include "election.hpp"
#include "snapshot_transfer.hpp"

namespace tt {

/// The thin layer over the cells: a replicated log on which the cores agree on the configuration and on who they are.
class ReplicatedLog {
 public:
  ReplicatedLog(Member self, std::size_t maxRecordBytes, Defences defencesGiven = {});
  void restore(const RecoveredState& recovered, TimePoint now);
  void tick(Effects& effects);
  void handle(Effects& effects, const std::string& from, const Message& message);
  /// Writes the first entry of a fleet: who its cores are.
  void form(Effects& effects, const std::vector<Member>& firstMembers);
  /// Takes a change if this core leads; the answer goes to whoever asked once it is agreed.
  void proposeChange(Effects& effects, const std::string& from, const ChangeRequest& ask);

  bool formed() const { return !currentMembers.empty(); }
  const std::vector<Member>& members() const { return currentMembers; }
  /// Whether the log ends with a change of members that is not agreed yet.
  bool memberChangePending() const;
  /// The voters of before, while a change of who votes is not known here to be agreed; else nobody.
  const std::vector<Member>& outgoingMembers() const { return previousMembers; }
  const Member& self() const { return selfRow; }
  std::string leaderAddress() const;
  bool leads(TimePoint now) const { return election.holdsLease(now); }
  /// Whether what this core says of commits covers all earlier terms.
  bool hasCommittedInTerm() const;
  /// When a sound word of the leader last came.
  TimePoint lastLeaderContact() const { return leaderContactAt; }
  std::uint64_t lastSyncedIndex() const { return syncedIndex; }
  std::uint64_t commit() const { return commitIndex; }
  std::uint64_t logEnd() const;
  /// Whether this very entry, and with it all before it, is on this core's disk.
  bool hasSynced(std::uint64_t index, std::uint64_t term) const;
  const Configuration& configuration() const { return applied; }
  const std::vector<LogEntry>& entries() const { return log; }
  std::size_t pendingChanges() const { return waiters.size(); }
  /// Entries after an index, or a snapshot where the log no longer reaches back that far.
  NewsMsg newsAfter(std::uint64_t index, std::size_t most = 256) const;
  /// Gives the lead to the voter that has most of the log, and counts for no further copy, for a clean stop.
  void leave(Effects& effects);
  Election election;
  /// Told of each entry as it is applied.
  std::function<void(Effects&, const LogEntry&)> onEntryApplied;
  std::function<void(Effects&)> membersChanged;

 private:
  friend class StateDump;
  struct Follower {
    std::uint64_t next{1};
    std::uint64_t matched{0};
    std::uint64_t sentCommit{0};
    TimePoint sentAt{};
    /// Whether entries are under way, up to which one, and the number of the last message.
    bool pending{false};
    std::uint64_t sentEnd{0}, round{0};
    std::optional<SnapshotSender> transfer;
  };
  /// An answer that goes out once the log is agreed up to an index.
  struct Waiter {
    std::string from;
    std::uint64_t index;
    ChangeResponse response;
  };
  Member selfRow;
  std::size_t room;
  Defences defences;
  std::vector<LogEntry> log;
  Snapshot lastSnapshot;
  std::vector<Member> currentMembers, previousMembers;
  Configuration applied, head;
  std::uint64_t commitIndex{0}, syncedIndex{0};
  std::map<std::string, Follower> followers;
  std::vector<Waiter> waiters;
  std::size_t logBytes{0};
  std::uint64_t verifiedTerm{0}, verifiedEnd{0};
  TimePoint leaderContactAt{};
  /// The number of the last message that this follower had from its leader.
  std::uint64_t lastAppendRound{0};
  SnapshotReceiver receiver;
  std::weak_ptr<const SnapshotImage> newestImage;
  /// Where the newest entries came from: a learner hears no heartbeats, so this is all that it knows of the leader.
  std::string appendSender;
  bool leaving{false};

  std::uint64_t termAt(std::uint64_t index) const;
  const LogEntry* entryAt(std::uint64_t index) const;
  void readMembers(Effects* effects);
  std::vector<Member> membersBefore(std::uint64_t index) const;
  /// The index of the newest entry of members in the log; 0 if there is none.
  std::uint64_t newestMembersIndex() const;
  /// Whom the leader sends to: the members and, while a change passes, the outgoing ones.
  std::vector<Member> replicas() const;
  std::uint64_t agreedAmong(const std::vector<Member>& voters) const;
  void append(Effects& effects, EntryKind kind, std::string body, std::string changeId, std::uint64_t revision = 0);
  void store(Effects& effects, const LogEntry& entry);
  /// Answers at once, with nothing agreed.
  void respond(Effects& effects, const std::string& from, const ChangeRequest& ask, Code code, std::string subject);
  /// Answers as soon as the log is agreed up to an index, by this leader in its own term.
  void respondOnceAgreed(Effects& effects, const std::string& from, ChangeResponse response, std::uint64_t index);
  /// Agrees on a refusal and answers with it, so that no copy of the change can be taken later.
  void refuse(Effects& effects, const std::string& from, const ChangeRequest& ask, const Error& reason);
  /// Answers a change that was taken or refused before, or that may have been.
  bool respondFromMemory(Effects& effects, const std::string& from, const ChangeRequest& ask);
  /// The patch that a change makes of the state at the log's end, or why it makes none.
  Result<std::string> judge(const ChangeRequest& ask) const;
  std::uint64_t indexOfChange(const std::string& changeId) const;
  void tellSynced(Effects& effects);
  void answerAppend(Effects& effects, const std::string& to, std::uint64_t index);
  void sendTo(Effects& effects, const Member& member, bool again);
  /// Whether the log reaches back far enough for entries from this index on.
  bool reachesBackTo(std::uint64_t index) const;
  /// Sends what is due of a follower's snapshot. Returns false if it needs none.
  bool sendSnapshot(Effects& effects, const Member& member, Follower& follower);
  /// The first entry that a follower in touch still needs; entries from there on are kept within a bound of bytes.
  std::uint64_t firstNeeded(TimePoint now) const;
  void dropEntriesBefore(std::uint64_t index);
  /// The bytes of all entries behind an index.
  std::size_t bytesAfter(std::uint64_t index) const;
  void sendAll(Effects& effects);
  void advance(Effects& effects);
  void applyUpTo(Effects& effects, std::uint64_t index);
  void whenLeads(Effects& effects, bool won);
  void trim(Effects& effects);
  /// Takes the next step of mending who the members are, if one is due.
  void mendMembers(Effects& effects);
  /// Writes the newest members a second time if who votes has changed. An entry of members follows another only once
  /// that is agreed, so whoever has the second knows this of the first, also after a restart.
  bool settleMembers(Effects& effects);
  bool dropLearner(Effects& effects, const Member& learner);
  bool promote(Effects& effects, const Member& learner);
  /// Whom a learner is to replace: a voter's id, or nobody if it is an additional voter; no value if it must wait.
  std::optional<std::string> placeFor(const Member& learner, TimePoint now) const;
  bool mayChangeMembers(TimePoint now) const;
  bool heardWithin(const Member& member, Duration span, TimePoint now) const;
  TimePoint lastHeard(const Member& member) const;
  TimePoint firstKnown(const Member& learner) const;
  /// Takes a voter out that has long been silent, while enough stay.
  void dropGone(Effects& effects);
  void onAppend(Effects& effects, const std::string& from, const AppendRequest& message);
  void onInstallSnapshot(Effects& effects, const std::string& from, const InstallSnapshot& message);
  void installWhole(Effects& effects, const std::string& from, const Snapshot& snapshot);
  void onSnapshotResponse(Effects& effects, const InstallSnapshotResponse& response);
  void onReply(Effects& effects, const AppendResponse& reply);
  void onJoin(Effects& effects, const JoinRequest& ask);
  void setMembers(Effects& effects, std::vector<Member> rows);
  std::map<std::string, TimePoint> lastContactAt;
  TimePoint lastActiveAt{};
  /// Does not count the time in which this core itself stood still as others' silence.
  void countOwnPause(TimePoint now);
  /// Since when this leader knows each learner.
  std::map<std::string, TimePoint> learnerSince;
};

}  // namespace tt
