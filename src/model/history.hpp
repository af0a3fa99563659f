#pragma once
#include "messages.hpp"
#include "setup.hpp"

namespace tt::model {

/// A rule that was broken, and how.
struct Violation {
  std::string rule, text;
};

/// What has come true in a run and may never be taken back: what was agreed, what clients were told, who led.
class History {
 public:
  History(int changes, std::set<std::string> knownRules)
      : changeRows(static_cast<std::size_t>(changes)), ignoredRules(std::move(knownRules)) {}

  /// A replica counts an entry as agreed, in the term that it knows.
  void agreed(const std::string& replica, const LogEntry& entry, std::uint64_t term);
  /// A replica took the place of a log up to an index by a snapshot.
  void agreedUpTo(const std::string& replica, std::uint64_t index, std::uint64_t entryTerm);
  /// A replica won the duty in a term.
  void won(const std::string& replica, std::uint64_t term);
  /// A client got its answer; the newest change that the answering replica knows is at an index of a term.
  void answered(int change, const ChangeResponse& answer, std::uint64_t newestIndex, std::uint64_t newestTerm);
  void breakRule(const std::string& rule, const std::string& text);

  /// The request that clients send for a change; what it builds on is fixed when its group is first sent.
  ChangeRequest request(int change);
  struct AgreedRow {
    std::uint64_t index{0}, term{0}, inTerm{0}, revision{0};
    int kind{0};
    std::string body, changeId;
  };
  const std::vector<AgreedRow>& agreedRows() const { return rows; }
  std::uint64_t mostAcknowledged() const { return acknowledgedIndex; }
  bool acknowledged(int change) const { return changeRows[static_cast<std::size_t>(change)].acked; }
  const std::optional<Violation>& violation() const { return brokenRule; }
  /// All that counts for whether two states are one, as bytes.
  std::string bytes() const;

 private:
  struct ChangeRow {
    bool sent{false}, acked{false}, refused{false};
    std::int64_t ifRevision{-1}, toRevision{0};
    std::uint64_t index{0}, revision{0};
  };
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
  /// Whether a refusal is right by what was agreed already, whatever else the replica holds.
  bool followsFromAgreed(const ChangeRow& row, Code code) const;
  void checkRefusals(const AgreedRow& row);
  void refused(int change, const ChangeResponse& answer, std::uint64_t newestIndex, std::uint64_t newestTerm);
  void taken(int change, const ChangeResponse& answer);
};

/// The number of a change by its id; nothing for ids that no client of the model uses.
std::optional<int> changeNumber(const std::string& changeId);

}  // namespace tt::model
