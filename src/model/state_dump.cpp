#include "state_dump.hpp"

#include "members.hpp"

namespace tt {
namespace {
/// Ages from which on a higher age makes no difference: of the last contact with a member, at least as long as the
/// timeouts of the membership; of the last contact with the leader, as in ModelWorld::wantsToJoin(); and of the last
/// append request to a follower, the interval of its repetition.
constexpr Duration minContactAgeLimit = 10s;
constexpr Duration maxLeaderContactAge = 3s;
constexpr Duration maxAppendAge = 150ms;

/// A row of a set: a member's id and numbers.
std::string rowOf(const std::string& id, std::initializer_list<std::uint64_t> numbers) {
  StateBytes row;
  row.addText(id);
  for (std::uint64_t number : numbers) row.addNumber(number);
  return std::move(row.text);
}
}  // namespace

void StateBytes::addNumber(std::uint64_t value) { text.append(reinterpret_cast<const char*>(&value), sizeof value); }

void StateBytes::addText(const std::string& value) {
  addNumber(value.size());
  text += value;
}

void StateBytes::addEntry(const LogEntry& entry) {
  addNumber(entry.index);
  addNumber(entry.term);
  addNumber(static_cast<std::uint64_t>(entry.kind));
  addText(entry.changeId);
  addNumber(entry.revision);
  if (entry.kind != static_cast<int>(EntryKind::members)) return addText(entry.body);
  groups.emplace_back();
  for (const auto& member : decodeMembers(entry.body)) groups.back().push_back(rowOf(member.id, {member.votes}));
}

StateBytes StateDump::bytes(const ReplicatedLog& log) {
  StateBytes out;
  const auto& election = log.election;
  out.addNumber(election.vote.term);
  out.addText(election.vote.votedFor);
  out.addText(election.knownHolder);
  out.addText(election.stateMachine.state());
  out.addNumber(election.started + 2 * election.mayCampaign);
  out.addNumber(static_cast<std::uint64_t>(election.lastSyncDuration.count()));
  out.groups.emplace_back();
  for (const auto& voter : election.voters) out.groups.back().push_back(rowOf(voter.id, {}));
  out.groups.emplace_back();
  for (const auto& grant : election.grants) out.groups.back().push_back(rowOf(grant, {}));
  out.addNumber(log.lastSnapshot.index);
  out.addNumber(log.lastSnapshot.term);
  for (const auto& entry : log.log) out.addEntry(entry);
  out.groups.emplace_back();
  for (const auto& member : log.currentMembers) out.groups.back().push_back(rowOf(member.id, {member.votes}));
  out.addNumber(log.commitIndex);
  out.addNumber(log.syncedIndex);
  out.addNumber(log.verifiedTerm);
  out.addNumber(log.verifiedEnd);
  out.addNumber(log.lastAppendRound);
  out.addNumber(log.leaving);
  out.addText(log.appendSender);
  out.groups.emplace_back();
  for (const auto& member : log.previousMembers) out.groups.back().push_back(rowOf(member.id, {member.votes}));
  out.groups.emplace_back();
  for (const auto& voters : election.voterSets)
    for (const auto& voter : voters) out.groups.back().push_back(rowOf(voter, {voters.size()}));
  if (!election.won()) return out;
  out.addNumber(log.head.index());
  out.addNumber(log.head.revision());
  out.groups.emplace_back();
  for (const auto& [id, follower] : log.followers)
    out.groups.back().push_back(rowOf(id, {follower.next, follower.matched, follower.sentCommit, follower.pending,
                                           follower.sentEnd, follower.round, follower.transfer.has_value()}));
  for (const auto& waiter : log.pendingResponses) {
    out.addText(waiter.response.requestId);
    out.addNumber(static_cast<std::uint64_t>(waiter.response.code));
    out.addNumber(waiter.index);
  }
  return out;
}

std::vector<StateDump::Timestamp> StateDump::timestamps(const ReplicatedLog& log) {
  const auto& election = log.election;
  Duration maxContactAge = std::max<Duration>(timing.memberRemovalTimeout, minContactAgeLimit);
  std::vector<Timestamp> rows{{election.voteBlockedUntil, Duration(0), {}},
                              {election.campaignAt, Duration(0), {}},
                              {election.votesRequestedAt, timing.voteTimeout + election.syncAllowance(), {}},
                              {log.leaderContactAt, maxLeaderContactAge, {}}};
  if (!election.won()) return rows;
  rows.push_back({log.lastActiveAt, maxContactAge, {}});
  for (const auto& [id, at] : log.learnerSince) rows.push_back({at, maxContactAge, id});
  rows.push_back({election.lastHeartbeatAt, timing.heartbeatInterval, {}});
  for (const auto& [id, at] : election.renewals) rows.push_back({at, timing.lease, id});
  for (const auto& [id, at] : log.lastContactAt) rows.push_back({at, maxContactAge, id});
  for (const auto& [id, follower] : log.followers) rows.push_back({follower.sentAt, maxAppendAge, id});
  return rows;
}

}  // namespace tt
