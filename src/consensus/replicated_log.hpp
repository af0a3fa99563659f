#pragma once
#include "configuration.hpp"
#include "defences.hpp"
#include "election.hpp"

namespace tt {

/// The thin layer over the cells: a replicated log on which the cores agree on the configuration and on who they are.
class ReplicatedLog {
 public:
  ReplicatedLog(Member self, std::size_t recordRoom, Defences defencesGiven = {});
  void restore(const Recovered& recovered, Moment now);
  void tick(Effects& effects);
  void take(Effects& effects, const std::string& from, const Message& message);
  /// Writes the first entry of a fleet: who its cores are.
  void form(Effects& effects, const std::vector<Member>& firstMembers);
  /// Takes a change if this core leads; the answer goes to whoever asked once it is agreed.
  void takeChange(Effects& effects, const std::string& from, const ChangeRequest& ask);

  bool formed() const { return !memberRows.empty(); }
  const std::vector<Member>& members() const { return memberRows; }
  /// Whether the log ends with a change of members that is not agreed yet.
  bool memberChangePending() const;
  const Member& self() const { return selfRow; }
  std::string leaderAddress() const;
  bool leads(Moment now) const { return election.holds(now); }
  /// Whether what this core says of commits covers all earlier terms.
  bool speaksForTerm() const;
  /// When a sound word of the leader last came.
  Moment heardLeaderAt() const { return leaderHeard; }
  std::uint64_t syncedEnd() const { return syncedIndex; }
  std::uint64_t commit() const { return commitIndex; }
  std::uint64_t logEnd() const;
  /// Whether this very entry, and with it all before it, is on this core's disk.
  bool hasSynced(std::uint64_t index, std::uint64_t term) const;
  const Configuration& configuration() const { return applied; }
  const std::vector<Entry>& entries() const { return log; }
  std::size_t pendingChanges() const { return waiters.size(); }
  /// Entries after an index, or a snapshot where the log no longer reaches back that far.
  NewsMsg newsAfter(std::uint64_t index, std::size_t most = 256) const;
  Election election;
  /// Told of each entry as it is applied.
  std::function<void(Effects&, const Entry&)> entryApplied;
  std::function<void(Effects&)> membersChanged;

 private:
  friend class StateDump;
  struct Follower {
    std::uint64_t next{1};
    std::uint64_t matched{0};
    std::uint64_t toldCommit{0};
    Moment sentAt{};
    bool pending{false};
  };
  struct Waiter {
    std::string from, askId;
    std::uint64_t index, revision;
  };
  Member selfRow;
  std::size_t room;
  Defences defences;
  std::vector<Entry> log;
  Snapshot base;
  std::vector<Member> memberRows;
  Configuration applied, head;
  std::uint64_t commitIndex{0}, syncedIndex{0};
  std::map<std::string, Follower> followers;
  std::vector<Waiter> waiters;
  std::size_t logBytes{0};
  std::uint64_t verifiedTerm{0}, verifiedEnd{0};
  Moment leaderHeard{};

  std::uint64_t termAt(std::uint64_t index) const;
  const Entry* entryAt(std::uint64_t index) const;
  void readMembers(Effects* effects);
  std::vector<Member> membersBefore(std::uint64_t index) const;
  std::uint64_t agreedAmong(const std::vector<Member>& voters) const;
  void append(Effects& effects, EntryKind kind, std::string body, std::string changeId, std::uint64_t revision = 0);
  void store(Effects& effects, const Entry& entry);
  void tellSynced(Effects& effects);
  void sendTo(Effects& effects, const Member& member, bool again);
  void sendAll(Effects& effects);
  void advance(Effects& effects);
  void applyUpTo(Effects& effects, std::uint64_t index);
  void whenLeads(Effects& effects, bool won);
  void trim(Effects& effects);
  void mendMembers(Effects& effects);
  /// Takes a voter out that has long been silent, while enough stay.
  void dropGone(Effects& effects);
  void onAppend(Effects& effects, const std::string& from, const AppendRequest& message);
  void onInstallSnapshot(Effects& effects, const std::string& from, const InstallSnapshot& message);
  void onReply(Effects& effects, const AppendResponse& reply);
  void onJoin(Effects& effects, const std::string& from, const JoinRequest& ask);
  void setMembers(Effects& effects, std::vector<Member> rows);
  std::map<std::string, Moment> heardFrom;
};

}  // namespace tt
