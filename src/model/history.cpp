#include "history.hpp"

namespace tt::model {
namespace {
/// Changes come in groups of five: one is unconditional, two require the same current revision, and two request the
/// same new revision. Of each pair at most one can be accepted.
constexpr int groupSize = 5;
enum class ChangeKind { unconditional, firstIfRevision, secondIfRevision, firstToRevision, secondToRevision };
ChangeKind kindOf(int change) { return static_cast<ChangeKind>(change % groupSize); }
constexpr char idPrefix[] = "change-";
std::string idOf(int change) { return idPrefix + std::to_string(change); }
std::string location(const std::string& replica, std::uint64_t index) {
  return replica + " at index " + std::to_string(index);
}
}  // namespace

std::optional<int> changeNumber(const std::string& changeId) {
  if (changeId.rfind(idPrefix, 0) != 0) return std::nullopt;
  return std::atoi(changeId.c_str() + (sizeof idPrefix - 1));
}

void History::reportViolation(const std::string& rule, const std::string& text) {
  if (!firstViolation && !ignoredRules.count(rule)) firstViolation = Violation{rule, text};
}

void History::committed(const std::string& replica, const LogEntry& entry, std::uint64_t term) {
  for (const auto& row : entries) {
    if (row.index == entry.index) {
      if (row.term != entry.term || row.kind != entry.kind || row.body != entry.body || row.changeId != entry.changeId)
        reportViolation("agreed-entry-changed", location(replica, entry.index) + " commits term " +
                                                    std::to_string(entry.term) + " '" + entry.changeId +
                                                    "', but term " + std::to_string(row.term) + " '" + row.changeId +
                                                    "' was committed there before");
      return;
    }
    if (!entry.changeId.empty() && row.changeId == entry.changeId)
      reportViolation("change-twice", entry.changeId + " is committed at index " + std::to_string(row.index) +
                                          " and at index " + std::to_string(entry.index));
  }
  std::uint64_t revision = committedRevision();
  if (entry.kind == static_cast<int>(EntryKind::change)) revision = entry.revision ? entry.revision : revision + 1;
  CommittedEntry row{entry.index, entry.term, term, revision, entry.kind, entry.body, entry.changeId};
  entries.push_back(row);
  if (auto change = changeNumber(entry.changeId); change && *change < static_cast<int>(changeStates.size()) &&
                                                  changeStates[static_cast<std::size_t>(*change)].refused)
    reportViolation("refused-in-force", entry.changeId + " was refused and is committed later");
  checkRefusals(row);
}

void History::checkRefusals(const CommittedEntry& row) {
  for (const auto& refusal : refusals)
    if (refusal.index == row.index && refusal.term != row.term)
      reportViolation("refused-by-lost", idOf(refusal.change) + " was refused because of the entry at index " +
                                             std::to_string(refusal.index) + " of term " +
                                             std::to_string(refusal.term) + ", but term " + std::to_string(row.term) +
                                             " was committed there");
}

void History::snapshotInstalled(const std::string& replica, std::uint64_t index, std::uint64_t entryTerm) {
  for (const auto& row : entries)
    if (row.index == index && row.term != entryTerm)
      reportViolation("agreed-entry-changed", location(replica, index) + " installs a snapshot of term " +
                                                  std::to_string(entryTerm) + ", but term " + std::to_string(row.term) +
                                                  " was committed there");
}

void History::elected(const std::string& replica, std::uint64_t term) {
  auto [found, inserted] = leaderByTerm.emplace(term, replica);
  if (!inserted && found->second != replica)
    reportViolation("two-leaders",
                    replica + " and " + found->second + " were both elected in term " + std::to_string(term));
}

ChangeRequest History::request(int change) {
  auto& state = changeStates[static_cast<std::size_t>(change)];
  auto changeKind = kindOf(change);
  /// Both changes of a pair get the same condition, whichever is sent first.
  if (!state.sent) {
    state.sent = true;
    int twin = changeKind == ChangeKind::firstIfRevision || changeKind == ChangeKind::firstToRevision     ? change + 1
               : changeKind == ChangeKind::secondIfRevision || changeKind == ChangeKind::secondToRevision ? change - 1
                                                                                                          : -1;
    const ChangeState* twinState =
        twin >= 0 && twin < static_cast<int>(changeStates.size()) && changeStates[static_cast<std::size_t>(twin)].sent
            ? &changeStates[static_cast<std::size_t>(twin)]
            : nullptr;
    if (changeKind == ChangeKind::firstIfRevision || changeKind == ChangeKind::secondIfRevision)
      state.ifRevision = twinState ? twinState->ifRevision : static_cast<std::int64_t>(acknowledgedRevision);
    if (changeKind == ChangeKind::firstToRevision || changeKind == ChangeKind::secondToRevision)
      state.toRevision = twinState ? twinState->toRevision : static_cast<std::int64_t>(acknowledgedRevision) + 1;
  }
  ChangeRequest changeRequest;
  changeRequest.requestId = idOf(change);
  changeRequest.changeId = idOf(change);
  changeRequest.body = R"({"extra":{"value":{"is":)" + std::to_string(change) + "}}}";
  changeRequest.ifRevision = state.ifRevision;
  changeRequest.toRevision = state.toRevision;
  return changeRequest;
}

void History::responded(int change, const ChangeResponse& response, std::uint64_t newestIndex,
                        std::uint64_t newestTerm) {
  auto code = static_cast<Code>(response.code);
  if (code == Code::notLeading || code == Code::changeUnsure || code == Code::changesFull) return;
  if (code == Code::changeTaken)
    onAcknowledged(change, response);
  else
    onRefused(change, response, newestIndex, newestTerm);
}

void History::onAcknowledged(int change, const ChangeResponse& response) {
  auto& state = changeStates[static_cast<std::size_t>(change)];
  if (state.refused) reportViolation("refused-in-force", idOf(change) + " was refused and is acknowledged later");
  if (state.acknowledged && state.revision != response.revision)
    reportViolation("change-twice", idOf(change) + " is acknowledged as revision " + std::to_string(state.revision) +
                                        " and as " + std::to_string(response.revision));
  bool isCommitted = false;
  for (const auto& committedEntry : entries) isCommitted = isCommitted || committedEntry.changeId == idOf(change);
  if (!isCommitted)
    reportViolation("acknowledged-not-agreed", idOf(change) + " is acknowledged, but no replica has committed it");
  for (std::size_t other = 0; other < changeStates.size(); ++other)
    if (static_cast<int>(other) != change && changeStates[other].acknowledged &&
        changeStates[other].revision == response.revision)
      reportViolation("one-number-twice", idOf(change) + " and " + idOf(static_cast<int>(other)) +
                                              " are both acknowledged as revision " +
                                              std::to_string(response.revision));
  state.acknowledged = true;
  state.revision = response.revision;
  state.index = response.index;
  acknowledgedRevision = std::max(acknowledgedRevision, response.revision);
  for (const auto& committedEntry : entries)
    if (committedEntry.changeId == idOf(change)) acknowledgedIndex = std::max(acknowledgedIndex, committedEntry.index);
}

void History::onRefused(int change, const ChangeResponse& response, std::uint64_t newestIndex,
                        std::uint64_t newestTerm) {
  auto& state = changeStates[static_cast<std::size_t>(change)];
  std::string code = codeName(static_cast<Code>(response.code));
  if (state.acknowledged)
    reportViolation("acknowledged-refused", idOf(change) + " was acknowledged and is refused: " + code);
  for (const auto& committedEntry : entries) {
    if (committedEntry.changeId == idOf(change))
      reportViolation("agreed-refused", idOf(change) + " was committed and is refused: " + code);
    if (committedEntry.index == newestIndex && committedEntry.term != newestTerm &&
        !isJustifiedByCommitted(state, static_cast<Code>(response.code)))
      reportViolation("refused-by-lost", idOf(change) + " is refused because of the entry at index " +
                                             std::to_string(newestIndex) + " of term " + std::to_string(newestTerm) +
                                             ", but term " + std::to_string(committedEntry.term) +
                                             " was committed there");
  }
  state.refused = true;
  if (!isJustifiedByCommitted(state, static_cast<Code>(response.code)))
    refusals.push_back(Refusal{change, newestIndex, newestTerm});
}

bool History::isJustifiedByCommitted(const ChangeState& state, Code code) const {
  auto revision = static_cast<std::int64_t>(committedRevision());
  if (code == Code::staleRevision) return state.ifRevision != revision;
  if (code == Code::revisionOld) return state.toRevision <= revision;
  return false;
}

std::string History::serialized() const {
  std::string text;
  auto add = [&](std::uint64_t number) { text += std::to_string(number) + ","; };
  for (const auto& row : entries) {
    add(row.index);
    add(row.term);
    add(row.appliedInTerm);
    text += row.changeId + ",";
  }
  text += ";";
  for (const auto& row : changeStates) {
    add(row.sent + 2 * row.acknowledged + 4 * row.refused);
    add(static_cast<std::uint64_t>(row.ifRevision + 1));
    add(static_cast<std::uint64_t>(row.toRevision));
    add(row.revision);
  }
  text += ";";
  for (const auto& refusal : refusals) {
    add(static_cast<std::uint64_t>(refusal.change));
    add(refusal.index);
    add(refusal.term);
  }
  text += ";";
  for (const auto& [term, replica] : leaderByTerm) {
    add(term);
    text += replica + ",";
  }
  return text;
}

}  // namespace tt::model
