#include <algorithm>

#include "members.hpp"
#include "replicated_log.hpp"

namespace tt {
namespace {
constexpr Span goneAfter = 3s;
}  // namespace

std::string packMembers(const std::vector<Member>& rows) {
  Snapshot snapshot;
  snapshot.members = rows;
  return encodeSnapshot(snapshot);
}
std::vector<Member> unpackMembers(const std::string& body) {
  auto snapshot = decodeSnapshot(body);
  return snapshot ? snapshot.value().members : std::vector<Member>{};
}

std::vector<Member> ReplicatedLog::membersBefore(std::uint64_t index) const {
  for (auto entry = log.rbegin(); entry != log.rend(); ++entry)
    if (entry->index < index && entry->kind == static_cast<int>(EntryKind::members)) return unpackMembers(entry->body);
  return base.members;
}

void ReplicatedLog::readMembers(Effects* effects) {
  memberRows = membersBefore(logEnd() + 1);
  election.setVoters(memberRows);
  if (effects && membersChanged) membersChanged(*effects);
}

bool ReplicatedLog::memberChangePending() const {
  for (const auto& entry : log)
    if (entry.index > commitIndex && entry.kind == static_cast<int>(EntryKind::members)) return true;
  return false;
}

void ReplicatedLog::setMembers(Effects& effects, std::vector<Member> rows) {
  append(effects, EntryKind::members, packMembers(rows), {});
  sendAll(effects);
  advance(effects);
}

void ReplicatedLog::onJoin(Effects& effects, const std::string& from, const JoinRequest& ask) {
  (void)from;
  if (!election.holds(effects.now) || memberChangePending() || !speaksForTerm()) return;
  for (const auto& member : memberRows) {
    if (member.id == ask.self.id) {
      if (member.address != ask.self.address) {
        auto rows = memberRows;
        for (auto& row : rows)
          if (row.id == ask.self.id) row.address = ask.self.address;
        effects.note("core moved", ask.self.id);
        setMembers(effects, rows);
      }
      return;
    }
    if (member.name == ask.self.name) {
      auto heard = heardFrom.find(member.id);
      if (member.id == selfRow.id || (heard != heardFrom.end() && effects.now - heard->second < goneAfter)) return;
    }
  }
  auto rows = memberRows;
  Member learner = ask.self;
  learner.votes = false;
  rows.push_back(learner);
  effects.note("core joins", learner.id);
  setMembers(effects, rows);
}

void ReplicatedLog::mendMembers(Effects& effects) {
  if (!election.holds(effects.now) || memberChangePending() || !speaksForTerm()) return;
  for (const auto& member : memberRows) {
    if (member.votes) continue;
    auto heard = heardFrom.find(member.id);
    bool alive = heard != heardFrom.end() && effects.now - heard->second < goneAfter;
    auto rows = memberRows;
    if (!alive && heard != heardFrom.end() && effects.now - heard->second > 3 * goneAfter) {
      rows.erase(std::remove_if(rows.begin(), rows.end(), [&](const Member& row) { return row.id == member.id; }),
                 rows.end());
      effects.note("learner dropped", member.id);
      setMembers(effects, rows);
      return;
    }
    if (alive && followers[member.id].matched + 4 >= commitIndex && followers[member.id].matched > 0) {
      for (auto& row : rows)
        if (row.id == member.id) row.votes = true;
      effects.note("core votes", member.id);
      setMembers(effects, rows);
      return;
    }
  }
  for (const auto& member : memberRows)
    for (const auto& other : memberRows) {
      if (member.id == other.id || member.name != other.name || !member.votes || !other.votes) continue;
      auto heardMember = heardFrom.find(member.id);
      auto heardOther = heardFrom.find(other.id);
      bool memberGone = heardMember == heardFrom.end() || effects.now - heardMember->second > goneAfter;
      bool otherAlive =
          other.id == selfRow.id || (heardOther != heardFrom.end() && effects.now - heardOther->second < goneAfter);
      if (member.id == selfRow.id || !memberGone || !otherAlive) continue;
      auto rows = memberRows;
      rows.erase(std::remove_if(rows.begin(), rows.end(), [&](const Member& row) { return row.id == member.id; }),
                 rows.end());
      effects.note("core replaced", member.id);
      setMembers(effects, rows);
      return;
    }
}

void ReplicatedLog::dropGone(Effects& effects) {
  if (timing.memberGone == Span(0) || !election.holds(effects.now) || memberChangePending() || !speaksForTerm()) return;
  std::size_t voters = 0;
  const Member* gone = nullptr;
  for (const auto& member : memberRows) {
    if (!member.votes) continue;
    ++voters;
    if (member.id == selfRow.id) continue;
    auto heard = heardFrom.find(member.id);
    if (heard != heardFrom.end() && effects.now - heard->second > timing.memberGone && !gone) gone = &member;
  }
  if (!gone || voters <= timing.votersLeast) return;
  std::string goneId = gone->id;
  auto rows = memberRows;
  rows.erase(std::remove_if(rows.begin(), rows.end(), [&](const Member& row) { return row.id == goneId; }), rows.end());
  effects.note("core replaced", goneId);
  setMembers(effects, rows);
}

}  // namespace tt
