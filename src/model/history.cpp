#include "history.hpp"

namespace tt::model {
namespace {
constexpr int groupSize = 5;
/// How the changes of a group are told apart: two build on one revision, two name one number, one does neither.
enum class Flavour { plain, buildsOn, buildsOnToo, names, namesToo };
Flavour flavourOf(int change) { return static_cast<Flavour>(change % groupSize); }
std::string idOf(int change) { return "change-" + std::to_string(change); }
std::string place(const std::string& replica, std::uint64_t index) {
  return replica + " at index " + std::to_string(index);
}
}  // namespace

std::optional<int> changeNumber(const std::string& changeId) {
  if (changeId.rfind("change-", 0) != 0) return std::nullopt;
  return std::atoi(changeId.c_str() + 7);
}

void History::breakRule(const std::string& rule, const std::string& text) {
  if (!brokenRule && !ignoredRules.count(rule)) brokenRule = Violation{rule, text};
}

void History::agreed(const std::string& replica, const LogEntry& entry, std::uint64_t term) {
  for (const auto& row : rows) {
    if (row.index == entry.index) {
      if (row.term != entry.term || row.kind != entry.kind || row.body != entry.body || row.changeId != entry.changeId)
        breakRule("agreed-entry-changed",
                  place(replica, entry.index) + " agrees on term " + std::to_string(entry.term) + " '" +
                      entry.changeId + "', before it was term " + std::to_string(row.term) + " '" + row.changeId + "'");
      return;
    }
    if (!entry.changeId.empty() && row.changeId == entry.changeId)
      breakRule("change-twice", entry.changeId + " is agreed at " + std::to_string(row.index) + " and at " +
                                    std::to_string(entry.index));
  }
  std::uint64_t revision = agreedRevision();
  if (entry.kind == static_cast<int>(EntryKind::change)) revision = entry.revision ? entry.revision : revision + 1;
  AgreedRow row{entry.index, entry.term, term, revision, entry.kind, entry.body, entry.changeId};
  rows.push_back(row);
  if (auto change = changeNumber(entry.changeId);
      change && *change < static_cast<int>(changeRows.size()) && changeRows[static_cast<std::size_t>(*change)].refused)
    breakRule("refused-in-force", entry.changeId + " was refused and is agreed later");
  checkRefusals(row);
}

void History::checkRefusals(const AgreedRow& row) {
  for (const auto& refusal : refusals)
    if (refusal.index == row.index && refusal.term != row.term)
      breakRule("refused-by-lost", idOf(refusal.change) + " was refused for the sake of index " +
                                       std::to_string(refusal.index) + " of term " + std::to_string(refusal.term) +
                                       ", which was never agreed");
}

void History::agreedUpTo(const std::string& replica, std::uint64_t index, std::uint64_t entryTerm) {
  for (const auto& row : rows)
    if (row.index == index && row.term != entryTerm)
      breakRule("agreed-entry-changed", place(replica, index) + " takes a snapshot of term " +
                                            std::to_string(entryTerm) + ", before it was term " +
                                            std::to_string(row.term));
}

void History::won(const std::string& replica, std::uint64_t term) {
  auto [found, fresh] = leaderByTerm.emplace(term, replica);
  if (!fresh && found->second != replica)
    breakRule("two-leaders", replica + " and " + found->second + " both won term " + std::to_string(term));
}

ChangeRequest History::request(int change) {
  auto& row = changeRows[static_cast<std::size_t>(change)];
  auto flavour = flavourOf(change);
  if (!row.sent) {
    row.sent = true;
    int twin = flavour == Flavour::buildsOn || flavour == Flavour::names         ? change + 1
               : flavour == Flavour::buildsOnToo || flavour == Flavour::namesToo ? change - 1
                                                                                 : -1;
    const ChangeRow* other =
        twin >= 0 && twin < static_cast<int>(changeRows.size()) && changeRows[static_cast<std::size_t>(twin)].sent
            ? &changeRows[static_cast<std::size_t>(twin)]
            : nullptr;
    if (flavour == Flavour::buildsOn || flavour == Flavour::buildsOnToo)
      row.ifRevision = other ? other->ifRevision : static_cast<std::int64_t>(acknowledgedRevision);
    if (flavour == Flavour::names || flavour == Flavour::namesToo)
      row.toRevision = other ? other->toRevision : static_cast<std::int64_t>(acknowledgedRevision) + 1;
  }
  ChangeRequest ask;
  ask.requestId = idOf(change);
  ask.changeId = idOf(change);
  ask.body = R"({"extra":{"value":{"is":)" + std::to_string(change) + "}}}";
  ask.ifRevision = row.ifRevision;
  ask.toRevision = row.toRevision;
  return ask;
}

void History::answered(int change, const ChangeResponse& answer, std::uint64_t newestIndex, std::uint64_t newestTerm) {
  auto code = static_cast<Code>(answer.code);
  if (code == Code::notLeading || code == Code::changeUnsure || code == Code::changesFull) return;
  if (code == Code::changeTaken)
    taken(change, answer);
  else
    refused(change, answer, newestIndex, newestTerm);
}

void History::taken(int change, const ChangeResponse& answer) {
  auto& row = changeRows[static_cast<std::size_t>(change)];
  if (row.refused) breakRule("refused-in-force", idOf(change) + " was refused and is acknowledged later");
  if (row.acked && row.revision != answer.revision)
    breakRule("change-twice", idOf(change) + " is acknowledged as revision " + std::to_string(row.revision) +
                                  " and as " + std::to_string(answer.revision));
  bool ignoredRules = false;
  for (const auto& agreedRow : rows) ignoredRules = ignoredRules || agreedRow.changeId == idOf(change);
  if (!ignoredRules)
    breakRule("acknowledged-not-agreed", idOf(change) + " is acknowledged but no replica has agreed on it");
  for (std::size_t other = 0; other < changeRows.size(); ++other)
    if (static_cast<int>(other) != change && changeRows[other].acked && changeRows[other].revision == answer.revision)
      breakRule("one-number-twice", idOf(change) + " and " + idOf(static_cast<int>(other)) +
                                        " are both acknowledged as revision " + std::to_string(answer.revision));
  row.acked = true;
  row.revision = answer.revision;
  row.index = answer.index;
  acknowledgedRevision = std::max(acknowledgedRevision, answer.revision);
  for (const auto& agreedRow : rows)
    if (agreedRow.changeId == idOf(change)) acknowledgedIndex = std::max(acknowledgedIndex, agreedRow.index);
}

void History::refused(int change, const ChangeResponse& answer, std::uint64_t newestIndex, std::uint64_t newestTerm) {
  auto& row = changeRows[static_cast<std::size_t>(change)];
  std::string code = codeName(static_cast<Code>(answer.code));
  if (row.acked) breakRule("acknowledged-refused", idOf(change) + " was acknowledged and is refused: " + code);
  for (const auto& agreedRow : rows) {
    if (agreedRow.changeId == idOf(change))
      breakRule("agreed-refused", idOf(change) + " is agreed and is refused: " + code);
    if (agreedRow.index == newestIndex && agreedRow.term != newestTerm &&
        !followsFromAgreed(row, static_cast<Code>(answer.code)))
      breakRule("refused-by-lost", idOf(change) + " is refused for the sake of index " + std::to_string(newestIndex) +
                                       " of term " + std::to_string(newestTerm) + ", which was never agreed");
  }
  row.refused = true;
  if (!followsFromAgreed(row, static_cast<Code>(answer.code)))
    refusals.push_back(Refusal{change, newestIndex, newestTerm});
}

bool History::followsFromAgreed(const ChangeRow& row, Code code) const {
  auto revision = static_cast<std::int64_t>(agreedRevision());
  if (code == Code::staleRevision) return row.ifRevision != revision;
  if (code == Code::revisionOld) return row.toRevision <= revision;
  return false;
}

std::string History::bytes() const {
  std::string text;
  auto add = [&](std::uint64_t number) { text += std::to_string(number) + ","; };
  for (const auto& row : rows) {
    add(row.index);
    add(row.term);
    add(row.inTerm);
    text += row.changeId + ",";
  }
  text += ";";
  for (const auto& row : changeRows) {
    add(row.sent + 2 * row.acked + 4 * row.refused);
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
