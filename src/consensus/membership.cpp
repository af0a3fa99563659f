#include <algorithm>

#include "members.hpp"
#include "replicated_log.hpp"

namespace tt {
namespace {
std::vector<Member> withoutMember(const std::vector<Member>& rows, const std::string& id) {
  std::vector<Member> rest;
  for (const auto& row : rows)
    if (row.id != id) rest.push_back(row);
  return rest;
}

/// Whether both lists have the same voters, compared by id.
bool sameVoters(const std::vector<Member>& one, const std::vector<Member>& other) {
  std::set<std::string> ids, otherIds;
  for (const auto& member : one)
    if (member.votes) ids.insert(member.id);
  for (const auto& member : other)
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

void ReplicatedLog::reloadMembers(Effects* effects) {
  std::uint64_t newest = newestMembersIndex();
  currentMembers = membersBefore(logEnd() + 1);
  previousMembers.clear();
  if (newest > commitIndex && defences.isEnabled(Defence::jointMembers)) previousMembers = membersBefore(newest);
  if (sameVoters(previousMembers, currentMembers)) previousMembers.clear();
  election.setVoters(currentMembers, previousMembers);
  if (effects && onMembersChanged) onMembersChanged(*effects);
}

std::vector<Member> ReplicatedLog::replicas() const {
  auto rows = currentMembers;
  for (const auto& member : previousMembers)
    if (std::none_of(rows.begin(), rows.end(),
                     [&](const Member& row) { return row.id == member.id || row.address == member.address; }))
      rows.push_back(member);
  return rows;
}

bool ReplicatedLog::membershipChangePending() const { return newestMembersIndex() > commitIndex; }

bool ReplicatedLog::canChangeMembers(TimePoint now) const {
  return election.holdsLease(now) && !membershipChangePending() && hasCommittedInTerm();
}

bool ReplicatedLog::contactedWithin(const Member& member, Duration duration, TimePoint now) const {
  return member.id == selfMember.id || now - lastContact(member) < duration;
}

TimePoint ReplicatedLog::lastContact(const Member& member) const {
  auto contact = lastContactAt.find(member.id);
  return contact == lastContactAt.end() ? TimePoint{} : contact->second;
}

void ReplicatedLog::proposeMembers(Effects& effects, std::vector<Member> rows) {
  append(effects, EntryKind::members, encodeMembers(rows), {});
  sendToAll(effects);
  advanceCommit(effects);
}

bool ReplicatedLog::finalizeMembership(Effects& effects) {
  std::uint64_t newest = newestMembersIndex();
  if (newest == 0) return false;
  auto previous = membersBefore(newest);
  if (previous.empty() || sameVoters(previous, currentMembers)) return false;
  effects.note("members settle", selfMember.id, static_cast<std::int64_t>(newest));
  proposeMembers(effects, currentMembers);
  return true;
}

void ReplicatedLog::onJoinRequest(Effects& effects, const JoinRequest& request) {
  if (!canChangeMembers(effects.now)) return;
  auto rows = currentMembers;
  for (auto& row : rows) {
    if (row.id != request.self.id) continue;
    if (row.address == request.self.address) return;
    row.address = request.self.address;
    effects.note("core moved", row.id);
    return proposeMembers(effects, rows);
  }
  Member learner = request.self;
  learner.votes = false;
  rows.erase(std::remove_if(rows.begin(), rows.end(),
                            [&](const Member& row) {
                              if (row.votes) return false;
                              bool nameMatches = row.name == learner.name;
                              return row.address == learner.address ||
                                     (nameMatches && !contactedWithin(row, timing.sameNameReplaceTimeout, effects.now));
                            }),
             rows.end());
  rows.push_back(learner);
  lastContactAt[learner.id] = learnerSince[learner.id] = effects.now;
  effects.note("core joins", learner.id);
  proposeMembers(effects, rows);
}

void ReplicatedLog::repairMembership(Effects& effects) {
  if (!canChangeMembers(effects.now) || finalizeMembership(effects)) return;
  auto rows = currentMembers;
  for (const auto& member : rows)
    if (!member.votes && (removeLearner(effects, member) || promote(effects, member))) return;
}

bool ReplicatedLog::removeLearner(Effects& effects, const Member& learner) {
  if (contactedWithin(learner, timing.learnerRemovalTimeout, effects.now)) return false;
  effects.note("learner dropped", learner.id);
  proposeMembers(effects, withoutMember(currentMembers, learner.id));
  return true;
}

std::optional<std::string> ReplicatedLog::voterToReplace(const Member& learner, TimePoint now) const {
  const Member* matchingName = nullptr;
  const Member* silent = nullptr;
  for (const auto& member : currentMembers) {
    if (!member.votes || member.id == selfMember.id) continue;
    if (member.address == learner.address) return member.id;
    if (member.name == learner.name && (!matchingName || !contactedWithin(member, timing.sameNameReplaceTimeout, now)))
      matchingName = &member;
    bool silentLongest = !silent || lastContact(member) < lastContact(*silent);
    if (!contactedWithin(member, timing.suspectTimeout, now) && silentLongest) silent = &member;
  }
  if (learner.name == selfMember.name) return std::nullopt;
  const Member* replaced = matchingName ? matchingName : silent;
  if (!replaced && now < learnerKnownSince(learner) + timing.suspectTimeout) return std::nullopt;
  if (!replaced) return std::string();
  if (contactedWithin(*replaced, matchingName ? timing.sameNameReplaceTimeout : timing.otherNameReplaceTimeout, now))
    return std::nullopt;
  return replaced->id;
}

TimePoint ReplicatedLog::learnerKnownSince(const Member& learner) const {
  auto since = learnerSince.find(learner.id);
  return since == learnerSince.end() ? TimePoint{} : since->second;
}

bool ReplicatedLog::promote(Effects& effects, const Member& learner) {
  std::uint64_t matched = followers[learner.id].matched;
  if (matched == 0 || matched < commitIndex || !contactedWithin(learner, timing.sameNameReplaceTimeout, effects.now))
    return false;
  auto replaced = voterToReplace(learner, effects.now);
  if (!replaced) return false;
  auto rows = withoutMember(currentMembers, *replaced);
  for (auto& row : rows)
    if (row.id == learner.id) row.votes = true;
  effects.note("core votes", learner.id);
  if (!replaced->empty()) effects.note("core replaced", *replaced);
  proposeMembers(effects, rows);
  return true;
}

void ReplicatedLog::removeSilentVoter(Effects& effects) {
  if (timing.memberRemovalTimeout == Duration(0) || !canChangeMembers(effects.now)) return;
  std::size_t voters = 0;
  std::string silentId;
  for (const auto& member : currentMembers) {
    if (!member.votes) continue;
    ++voters;
    if (silentId.empty() && !contactedWithin(member, timing.memberRemovalTimeout, effects.now)) silentId = member.id;
  }
  if (silentId.empty() || voters <= timing.minVoters) return;
  effects.note("core replaced", silentId);
  proposeMembers(effects, withoutMember(currentMembers, silentId));
}

}  // namespace tt
