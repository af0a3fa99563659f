#pragma once
#include "configuration.hpp"
#include "defences.hpp"
#include "election.hpp"
#include "snapshot_transfer.hpp"

namespace tt {

/// The replicated log: a Raft group in which the cores commit configuration changes and their own membership. Snapshots
/// replace committed entries, and members join as learners before they vote.
class ReplicatedLog {
 public:
  /// `maxRecordBytes` bounds the size of the configuration, and of the entries that are not yet committed.
  ReplicatedLog(Member self, std::size_t maxRecordBytes, Defences initialDefences = {});
  /// Restores the state that was read from disk at the start of the process.
  void restore(const RecoveredState& recovered, TimePoint now);
  void tick(Effects& effects);
  void handle(Effects& effects, const std::string& from, const Message& message);
  /// Bootstraps a new fleet: writes its first log entry, which names the members. Does nothing if the log has members.
  void form(Effects& effects, const std::vector<Member>& firstMembers);
  /// Handles a configuration change. If this core is the leader, it appends the change or its refusal to the log and
  /// responds to `from` once that entry is committed. If not, it responds with Code::notLeading.
  void proposeChange(Effects& effects, const std::string& from, const ChangeRequest& request);

  /// Whether the log names members, that is, whether this core belongs to a fleet.
  bool formed() const { return !currentMembers.empty(); }
  const std::vector<Member>& members() const { return currentMembers; }
  /// Whether the newest membership entry in the log is not yet committed.
  bool membershipChangePending() const;
  /// The previous members while a change of the voters is not known to be committed here; otherwise empty.
  const std::vector<Member>& outgoingMembers() const { return previousMembers; }
  const Member& self() const { return selfMember; }
  /// The address of the leader; empty if it is unknown.
  std::string leaderAddress() const;
  bool leads(TimePoint now) const { return election.holdsLease(now); }
  /// Whether this core is the leader and has committed an entry of its own term. Only then is its commit index known to
  /// cover all entries that earlier leaders committed.
  bool hasCommittedInTerm() const;
  /// When the last valid append request of the leader arrived.
  TimePoint lastLeaderContact() const { return leaderContactAt; }
  std::uint64_t lastSyncedIndex() const { return syncedIndex; }
  std::uint64_t commit() const { return commitIndex; }
  std::uint64_t logEnd() const;
  /// Whether the entry with this index and term, and all entries before it, are synced to this core's disk.
  bool hasSynced(std::uint64_t index, std::uint64_t term) const;
  /// The configuration as of the commit index.
  const Configuration& configuration() const { return applied; }
  /// The entries that are in memory: those after the last snapshot, and some before it that followers still need.
  const std::vector<LogEntry>& entries() const { return log; }
  std::size_t pendingChanges() const { return pendingResponses.size(); }
  /// The committed entries after an index, at most `maxEntries` of them. If the last snapshot is newer than the index,
  /// the update begins with that snapshot.
  NewsMsg updateAfter(std::uint64_t index, std::size_t maxEntries = 256) const;
  /// Prepares a clean shutdown: hands the leadership to the reachable voter with the longest log, and acknowledges no
  /// further entries.
  void leave(Effects& effects);
  Election election;
  /// Called for each entry when it is applied; with an entry of kind `snapshotBoundary` when a snapshot was installed.
  std::function<void(Effects&, const LogEntry&)> onEntryApplied;
  /// Called when the members or the previous members may have changed.
  std::function<void(Effects&)> onMembersChanged;

 private:
  friend class StateDump;
  /// What the leader knows about one follower.
  struct Follower {
    /// `next`: index of the next entry to send. `matched`: last index that the follower is known to have synced.
    /// `sentCommit`: last commit index sent to it.
    std::uint64_t next{1};
    std::uint64_t matched{0};
    std::uint64_t sentCommit{0};
    TimePoint sentAt{};
    /// `pending`: entries have been sent and not yet acknowledged. `sentEnd`: the index of the last of them. `round`:
    /// the number of the last append request.
    bool pending{false};
    std::uint64_t sentEnd{0}, round{0};
    std::optional<SnapshotSender> transfer;
  };
  /// A response that is sent once the log is committed up to an index.
  struct PendingResponse {
    std::string from;
    std::uint64_t index;
    ChangeResponse response;
  };
  Member selfMember;
  std::size_t capacityBytes;
  Defences defences;
  std::vector<LogEntry> log;
  Snapshot lastSnapshot;
  std::vector<Member> currentMembers, previousMembers;
  /// `applied`: the configuration at the commit index. `head`: on a leader, the configuration at the end of its log.
  Configuration applied, head;
  std::uint64_t commitIndex{0}, syncedIndex{0};
  std::map<std::string, Follower> followers;
  std::vector<PendingResponse> pendingResponses;
  std::size_t logBytes{0};
  /// The index up to which this follower's log is known to match the log of the leader of `verifiedTerm`.
  std::uint64_t verifiedTerm{0}, verifiedEnd{0};
  TimePoint leaderContactAt{};
  /// The number of the last append request that this follower received from its leader.
  std::uint64_t lastAppendRound{0};
  SnapshotReceiver snapshotReceiver;
  std::weak_ptr<const SnapshotImage> cachedImage;
  /// The address from which the newest entries came. Learners receive no heartbeats, so for them this is the only known
  /// address of the leader.
  std::string appendSender;
  bool leaving{false};

  /// The term of the entry at an index; 0 if it is not in the log.
  std::uint64_t termAt(std::uint64_t index) const;
  const LogEntry* entryAt(std::uint64_t index) const;
  /// Reads the current and previous members from the log and passes them to the election.
  void reloadMembers(Effects* effects);
  /// The members named by the last membership entry before an index.
  std::vector<Member> membersBefore(std::uint64_t index) const;
  /// The index of the newest membership entry in the log; 0 if there is none.
  std::uint64_t newestMembersIndex() const;
  /// The replicas that the leader sends entries to: the members and, during a membership change, the previous members.
  std::vector<Member> replicas() const;
  /// The highest index that a majority of these voters has synced.
  std::uint64_t quorumIndex(const std::vector<Member>& voters) const;
  void append(Effects& effects, EntryKind kind, std::string body, std::string changeId, std::uint64_t revision = 0);
  void storeEntry(Effects& effects, const LogEntry& entry);
  /// Responds immediately, without an entry in the log.
  void respond(Effects& effects, const std::string& from, const ChangeRequest& request, Code code, std::string subject);
  /// Responds once the log is committed up to an index by this leader in its own term.
  void respondOnceCommitted(Effects& effects, const std::string& from, ChangeResponse response, std::uint64_t index);
  /// Appends a refusal to the log and responds with it once it is committed, so that no later copy of the change can be
  /// accepted.
  void refuse(Effects& effects, const std::string& from, const ChangeRequest& request, const Error& reason);
  /// Responds to a change that was accepted or refused before, or may have been. Returns false if the change is new.
  bool respondIfKnown(Effects& effects, const std::string& from, const ChangeRequest& request);
  /// Returns the patch that the change makes to the state at the end of the log, or the reason why it is refused.
  Result<std::string> validateChange(const ChangeRequest& request) const;
  /// The index of the entry with this change id; 0 if it is no longer in the log.
  std::uint64_t indexOfChange(const std::string& changeId) const;
  /// Tells the leader up to which index this follower has synced.
  void reportSynced(Effects& effects);
  void sendAppendResponse(Effects& effects, const std::string& to, std::uint64_t index);
  /// Sends the follower an append request or the next part of a snapshot. While entries are unacknowledged, nothing is
  /// sent unless `isRetry` is set; the request then carries no entries.
  void sendAppend(Effects& effects, const Member& member, bool isRetry);
  /// Whether the log holds the entries from this index on, and the term of the entry before them.
  bool reachesBackTo(std::uint64_t index) const;
  /// Sends the next message of a follower's snapshot transfer, if one is due. Returns false if the follower needs no
  /// snapshot.
  bool sendSnapshot(Effects& effects, const Member& member, Follower& follower);
  /// The first index that a recently contacted follower still needs. Entries from there on stay in memory, up to a size
  /// limit.
  std::uint64_t firstNeededIndex(TimePoint now) const;
  void dropEntriesBefore(std::uint64_t index);
  /// The size of all entries after an index, in bytes.
  std::size_t bytesAfter(std::uint64_t index) const;
  void sendToAll(Effects& effects);
  /// Commits what a quorum has synced, if that includes an entry of this term.
  void advanceCommit(Effects& effects);
  void applyUpTo(Effects& effects, std::uint64_t index);
  void onLeadershipChanged(Effects& effects, bool won);
  /// Takes a snapshot when the log is long or large enough, and drops covered entries that no follower still needs.
  void compactLog(Effects& effects);
  /// Takes the next step of a membership change that is due: finalizes the last one, removes or promotes a learner.
  void repairMembership(Effects& effects);
  /// If the newest membership entry changed the voters, appends the same members a second time. A membership entry is
  /// appended only after the one before it is committed, so a replica that has the second entry knows that the first is
  /// committed, also after a restart.
  bool finalizeMembership(Effects& effects);
  bool removeLearner(Effects& effects, const Member& learner);
  bool promote(Effects& effects, const Member& learner);
  /// The id of the voter that a learner replaces; an empty string if it becomes an additional voter, no value if it
  /// must wait.
  std::optional<std::string> voterToReplace(const Member& learner, TimePoint now) const;
  bool canChangeMembers(TimePoint now) const;
  bool contactedWithin(const Member& member, Duration duration, TimePoint now) const;
  TimePoint lastContact(const Member& member) const;
  TimePoint learnerKnownSince(const Member& learner) const;
  /// Removes a voter that has been silent for memberRemovalTimeout, if more than minVoters voters are left.
  void removeSilentVoter(Effects& effects);
  void onAppend(Effects& effects, const std::string& from, const AppendRequest& message);
  void onInstallSnapshot(Effects& effects, const std::string& from, const InstallSnapshot& message);
  void installCompleteSnapshot(Effects& effects, const std::string& from, const Snapshot& snapshot);
  void onSnapshotResponse(Effects& effects, const InstallSnapshotResponse& response);
  void onAppendResponse(Effects& effects, const AppendResponse& reply);
  void onJoinRequest(Effects& effects, const JoinRequest& request);
  void proposeMembers(Effects& effects, std::vector<Member> rows);
  std::map<std::string, TimePoint> lastContactAt;
  TimePoint lastActiveAt{};
  /// Adds the time during which this process itself was paused to all times of last contact, so that the pause does not
  /// count as silence of the others.
  void excludeOwnPause(TimePoint now);
  /// When this leader first heard of each learner.
  std::map<std::string, TimePoint> learnerSince;
};

}  // namespace tt
