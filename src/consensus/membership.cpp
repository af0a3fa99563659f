#include <algorithm>

#include "members.hpp"
#include "replicated_log.hpp"

namespace tt {
namespace {
std::vector<Member> without(const std::vector<Member>& rows, const std::string& id) {
  std::vector<Member> left;
  for (const auto& row : rows)
    if (row.id != id) left.push_back(row);
  return left;
}

bool sameVoters(const std::vector<Member>& some, const std::vector<Member>& others) {
  std::set<std::string> ids, otherIds;
  for (const auto& member : some)
    if (member.votes) ids.insert(member.id);
  for (const auto& member : others)
    if (member.votes) otherIds.insert(member.id);
  return ids == otherIds;
}
}  // namespace

std::string encodeMembers(const std::vector<Member>& rows) {
  Snapshot snapshot;
  snapshot.members = rows;
  return encodeSnapshot(snapshot);
}
std::vector<Member> decodeMembers(const std::string& body) {
  auto snapshot = decodeSnapshot(body);
  return snapshot ? snapshot.value().members : std::vector<Member>{};
}

std::vector<Member> ReplicatedLog::membersBefore(std::uint64_t index) const {
  for (auto entry = log.rbegin(); entry != log.rend(); ++entry)
    if (entry->index < index && entry->kind == static_cast<int>(EntryKind::members)) return decodeMembers(entry->body);
  return lastSnapshot.members;
}

std::uint64_t ReplicatedLog::newestMembersIndex() const {
  for (auto entry = log.rbegin(); entry != log.rend(); ++entry)
    if (entry->kind == static_cast<int>(EntryKind::members)) return entry->index;
  return 0;
}

void ReplicatedLog::readMembers(Effects* effects) {
  std::uint64_t newest = newestMembersIndex();
  currentMembers = membersBefore(logEnd() + 1);
  previousMembers.clear();
  if (newest > commitIndex && defences.isEnabled(Defence::jointMembers)) previousMembers = membersBefore(newest);
  if (sameVoters(previousMembers, currentMembers)) previousMembers.clear();
  election.setVoters(currentMembers, previousMembers);
  if (effects && membersChanged) membersChanged(*effects);
}

std::vector<Member> ReplicatedLog::replicas() const {
  auto rows = currentMembers;
  for (const auto& member : previousMembers)
    if (std::none_of(rows.begin(), rows.end(),
                     [&](const Member& row) { return row.id == member.id || row.address == member.address; }))
      rows.push_back(member);
  return rows;
}

bool ReplicatedLog::memberChangePending() const { return newestMembersIndex() > commitIndex; }

bool ReplicatedLog::mayChangeMembers(TimePoint now) const {
  return election.holdsLease(now) && !memberChangePending() && hasCommittedInTerm();
}

bool ReplicatedLog::heardWithin(const Member& member, Duration span, TimePoint now) const {
  return member.id == selfRow.id || now - lastHeard(member) < span;
}

TimePoint ReplicatedLog::lastHeard(const Member& member) const {
  auto heard = lastContactAt.find(member.id);
  return heard == lastContactAt.end() ? TimePoint{} : heard->second;
}

void ReplicatedLog::setMembers(Effects& effects, std::vector<Member> rows) {
  append(effects, EntryKind::members, encodeMembers(rows), {});
  sendAll(effects);
  advance(effects);
}

bool ReplicatedLog::settleMembers(Effects& effects) {
  std::uint64_t newest = newestMembersIndex();
  if (newest == 0) return false;
  auto before = membersBefore(newest);
  if (before.empty() || sameVoters(before, currentMembers)) return false;
  effects.note("members settle", selfRow.id, static_cast<std::int64_t>(newest));
  setMembers(effects, currentMembers);
  return true;
}

void ReplicatedLog::onJoin(Effects& effects, const JoinRequest& ask) {
  if (!mayChangeMembers(effects.now)) return;
  auto rows = currentMembers;
  for (auto& row : rows) {
    if (row.id != ask.self.id) continue;
    if (row.address == ask.self.address) return;
    row.address = ask.self.address;
    effects.note("core moved", row.id);
    return setMembers(effects, rows);
  }
  Member learner = ask.self;
  learner.votes = false;
  rows.erase(std::remove_if(rows.begin(), rows.end(),
                            [&](const Member& row) {
                              if (row.votes) return false;
                              bool sameName = row.name == learner.name;
                              return row.address == learner.address ||
                                     (sameName && !heardWithin(row, timing.successorWait, effects.now));
                            }),
             rows.end());
  rows.push_back(learner);
  lastContactAt[learner.id] = learnerSince[learner.id] = effects.now;
  effects.note("core joins", learner.id);
  setMembers(effects, rows);
}

void ReplicatedLog::mendMembers(Effects& effects) {
  if (!mayChangeMembers(effects.now) || settleMembers(effects)) return;
  auto rows = currentMembers;
  for (const auto& member : rows)
    if (!member.votes && (dropLearner(effects, member) || promote(effects, member))) return;
}

bool ReplicatedLog::dropLearner(Effects& effects, const Member& learner) {
  if (heardWithin(learner, timing.learnerGone, effects.now)) return false;
  effects.note("learner dropped", learner.id);
  setMembers(effects, without(currentMembers, learner.id));
  return true;
}

std::optional<std::string> ReplicatedLog::placeFor(const Member& learner, TimePoint now) const {
  const Member* namesake = nullptr;
  const Member* silent = nullptr;
  for (const auto& member : currentMembers) {
    if (!member.votes || member.id == selfRow.id) continue;
    if (member.address == learner.address) return member.id;
    if (member.name == learner.name && (!namesake || !heardWithin(member, timing.successorWait, now)))
      namesake = &member;
    bool longer = !silent || lastHeard(member) < lastHeard(*silent);
    if (!heardWithin(member, timing.suspectAfter, now) && longer) silent = &member;
  }
  if (learner.name == selfRow.name) return std::nullopt;
  const Member* replaced = namesake ? namesake : silent;
  if (!replaced && now < firstKnown(learner) + timing.suspectAfter) return std::nullopt;
  if (!replaced) return std::string();
  if (heardWithin(*replaced, namesake ? timing.successorWait : timing.strangerWait, now)) return std::nullopt;
  return replaced->id;
}

TimePoint ReplicatedLog::firstKnown(const Member& learner) const {
  auto since = learnerSince.find(learner.id);
  return since == learnerSince.end() ? TimePoint{} : since->second;
}

bool ReplicatedLog::promote(Effects& effects, const Member& learner) {
  std::uint64_t matched = followers[learner.id].matched;
  if (matched == 0 || matched < commitIndex || !heardWithin(learner, timing.successorWait, effects.now)) return false;
  auto replaced = placeFor(learner, effects.now);
  if (!replaced) return false;
  auto rows = without(currentMembers, *replaced);
  for (auto& row : rows)
    if (row.id == learner.id) row.votes = true;
  effects.note("core votes", learner.id);
  if (!replaced->empty()) effects.note("core replaced", *replaced);
  setMembers(effects, rows);
  return true;
}

void ReplicatedLog::dropGone(Effects& effects) {
  if (timing.memberRemovalTimeout == Duration(0) || !mayChangeMembers(effects.now)) return;
  std::size_t voters = 0;
  std::string gone;
  for (const auto& member : currentMembers) {
    if (!member.votes) continue;
    ++voters;
    if (gone.empty() && !heardWithin(member, timing.memberRemovalTimeout, effects.now)) gone = member.id;
  }
  if (gone.empty() || voters <= timing.minVoters) return;
  effects.note("core replaced", gone);
  setMembers(effects, without(currentMembers, gone));
}

}  // namespace tt
