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
  History(int changes, std::set<std::string> knownRules)
      : changeRows(static_cast<std::size_t>(changes)), ignoredRules(std::move(knownRules)) {}

  /// A replica applied an entry as committed. `term`: the replica's term at that time.
  void agreed(const std::string& replica, const LogEntry& entry, std::uint64_t term);
  /// A replica installed a snapshot that replaces its log up to an index. `entryTerm`: the term of the last entry in
  /// it.
  void agreedUpTo(const std::string& replica, std::uint64_t index, std::uint64_t entryTerm);
  /// A replica was elected in a term.
  void won(const std::string& replica, std::uint64_t term);
  /// A client received a response. `newestIndex`, `newestTerm`: the newest change in the log of the responding replica.
  void answered(int change, const ChangeResponse& answer, std::uint64_t newestIndex, std::uint64_t newestTerm);
  /// Reports a violation, unless one was reported before or violations of this rule are ignored.
  void breakRule(const std::string& rule, const std::string& text);

  /// The request that clients send for a change. Its conditions on revisions are set when it is sent for the first
  /// time.
  ChangeRequest request(int change);
  /// A committed entry. `inTerm`: the term of the replica that first applied it. `revision`: the configuration's
  /// revision after the entry.
  struct AgreedRow {
    std::uint64_t index{0}, term{0}, inTerm{0}, revision{0};
    int kind{0};
    std::string body, changeId;
  };
  const std::vector<AgreedRow>& agreedRows() const { return rows; }
  /// The highest index of an acknowledged change.
  std::uint64_t mostAcknowledged() const { return acknowledgedIndex; }
  bool acknowledged(int change) const { return changeRows[static_cast<std::size_t>(change)].acked; }
  const std::optional<Violation>& violation() const { return brokenRule; }
  /// A serialization for comparing states of the model.
  std::string bytes() const;

 private:
  /// A client's change: whether it was sent, acknowledged and refused; the conditions of its request; and where it was
  /// acknowledged.
  struct ChangeRow {
    bool sent{false}, acked{false}, refused{false};
    std::int64_t ifRevision{-1}, toRevision{0};
    std::uint64_t index{0}, revision{0};
  };
  /// A refusal that is right only if the entry at this index and term is committed.
  struct Refusal {
    int change{0};
    std::uint64_t index{0}, term{0};
  };
  std::vector<AgreedRow> rows;
  std::vector<ChangeRow> changeRows;
  std::vector<Refusal> refusals;
  std::map<std::uint64_t, std::string> leaderByTerm;
  std::uint64_t acknowledgedIndex{0}, acknowledgedRevision{0};
  std::optional<Violation> brokenRule;
  std::set<std::string> ignoredRules;

  std::uint64_t agreedRevision() const { return rows.empty() ? 0 : rows.back().revision; }
  /// Whether the committed entries alone justify a refusal.
  bool followsFromAgreed(const ChangeRow& row, Code code) const;
  /// Reports refusals that were based on another entry than the one that was committed at the same index.
  void checkRefusals(const AgreedRow& row);
  void refused(int change, const ChangeResponse& answer, std::uint64_t newestIndex, std::uint64_t newestTerm);
  void taken(int change, const ChangeResponse& answer);
};

/// The number of a change, from its id; nothing if no client of the model uses the id.
std::optional<int> changeNumber(const std::string& changeId);

}  // namespace tt::model
