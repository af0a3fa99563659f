#pragma once
#include "messages.hpp"
#include "setup.hpp"

namespace tt::model {

/// A violation of a rule, with a description.
struct Violation {
  std::string rule, text;
};

/// What must stay true for the rest of a run: the committed entries, the responses to clients and the leader of each
/// term. Reports a violation when an event contradicts it.
class History {
 public:
  History(int changes, std::set<std::string> initialIgnoredRules)
      : changeStates(static_cast<std::size_t>(changes)), ignoredRules(std::move(initialIgnoredRules)) {}

  /// A replica applied an entry as committed. `term`: the replica's term at that time.
  void committed(const std::string& replica, const LogEntry& entry, std::uint64_t term);
  /// A replica installed a snapshot that replaces its log up to an index. `entryTerm`: the term of the last entry in
  /// it.
  void snapshotInstalled(const std::string& replica, std::uint64_t index, std::uint64_t entryTerm);
  /// A replica was elected in a term.
  void elected(const std::string& replica, std::uint64_t term);
  /// A client received a response. `newestIndex`, `newestTerm`: the newest change in the log of the responding replica.
  void responded(int change, const ChangeResponse& response, std::uint64_t newestIndex, std::uint64_t newestTerm);
  /// Reports a violation, unless one was reported before or violations of this rule are ignored.
  void reportViolation(const std::string& rule, const std::string& text);

  /// The request that clients send for a change. Its conditions on revisions are set when it is sent for the first
  /// time.
  ChangeRequest request(int change);
  /// A committed entry. `appliedInTerm`: the term of the replica that first applied it. `revision`: the configuration's
  /// revision after the entry.
  struct CommittedEntry {
    std::uint64_t index{0}, term{0}, appliedInTerm{0}, revision{0};
    int kind{0};
    std::string body, changeId;
  };
  const std::vector<CommittedEntry>& committedEntries() const { return entries; }
  /// The highest index of an acknowledged change.
  std::uint64_t maxAcknowledgedIndex() const { return acknowledgedIndex; }
  bool isAcknowledged(int change) const { return changeStates[static_cast<std::size_t>(change)].acknowledged; }
  const std::optional<Violation>& violation() const { return firstViolation; }
  /// A serialization for comparing states of the model.
  std::string serialized() const;

 private:
  /// A client's change: whether it was sent, acknowledged and refused; the conditions of its request; and where it was
  /// acknowledged.
  struct ChangeState {
    bool sent{false}, acknowledged{false}, refused{false};
    std::int64_t ifRevision{-1}, toRevision{0};
    std::uint64_t index{0}, revision{0};
  };
  /// A refusal that is right only if the entry at this index and term is committed.
  struct Refusal {
    int change{0};
    std::uint64_t index{0}, term{0};
  };
  std::vector<CommittedEntry> entries;
  std::vector<ChangeState> changeStates;
  std::vector<Refusal> refusals;
  std::map<std::uint64_t, std::string> leaderByTerm;
  std::uint64_t acknowledgedIndex{0}, acknowledgedRevision{0};
  std::optional<Violation> firstViolation;
  std::set<std::string> ignoredRules;

  std::uint64_t committedRevision() const { return entries.empty() ? 0 : entries.back().revision; }
  /// Whether the committed entries alone justify a refusal.
  bool isJustifiedByCommitted(const ChangeState& state, Code code) const;
  /// Reports refusals that were based on another entry than the one that was committed at the same index.
  void checkRefusals(const CommittedEntry& row);
  /// Check a definite response against the committed entries and the earlier responses.
  void onRefused(int change, const ChangeResponse& response, std::uint64_t newestIndex, std::uint64_t newestTerm);
  void onAcknowledged(int change, const ChangeResponse& response);
};

/// The number of a change, from its id; nothing if no client of the model uses the id.
std::optional<int> changeNumber(const std::string& changeId);

}  // namespace tt::model
