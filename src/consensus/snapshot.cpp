#include "replicated_log.hpp"

#include <algorithm>

namespace tt {
namespace {
constexpr std::size_t entriesBeforeSnapshot = 1024;
/// How long a follower may be silent and still have entries kept for it.
constexpr Duration keptFor = 5s;
}  // namespace

void ReplicatedLog::trim(Effects& effects) {
  std::uint64_t done = commitIndex - lastSnapshot.index;
  if (done < entriesBeforeSnapshot && bytesAfter(lastSnapshot.index) < room / 4) return;
  if (done == 0) return;
  Snapshot made = applied.snapshot();
  if (made.index != commitIndex) return;
  effects.save(snapshotRecord(made));
  effects.note("capture", selfRow.id, static_cast<std::int64_t>(made.index));
  lastSnapshot = made;
  dropEntriesBefore(firstNeeded(effects.now));
}

std::size_t ReplicatedLog::bytesAfter(std::uint64_t index) const {
  std::size_t bytes = 0;
  for (auto entry = log.rbegin(); entry != log.rend() && entry->index > index; ++entry) bytes += entry->body.size();
  return bytes;
}

std::uint64_t ReplicatedLog::firstNeeded(TimePoint now) const {
  std::uint64_t needed = lastSnapshot.index + 1;
  if (!election.won()) return needed;
  for (const auto& [id, follower] : followers) {
    auto heard = lastContactAt.find(id);
    if (heard == lastContactAt.end() || now - heard->second > keptFor) continue;
    if (follower.transfer)
      needed = std::min(needed, follower.transfer->image().index);
    else if (follower.matched > 0)
      needed = std::min(needed, follower.matched);
  }
  return needed;
}

void ReplicatedLog::dropEntriesBefore(std::uint64_t index) {
  std::size_t kept = 0;
  std::uint64_t first = lastSnapshot.index + 1;
  for (auto entry = log.rbegin(); entry != log.rend() && entry->index >= index; ++entry) {
    if (entry->index > lastSnapshot.index) continue;
    kept += entry->body.size();
    if (kept > room / 2) break;
    first = entry->index;
  }
  log.erase(std::remove_if(log.begin(), log.end(), [&](const LogEntry& entry) { return entry.index < first; }),
            log.end());
  logBytes = 0;
  for (const auto& entry : log) logBytes += entry.body.size();
}

bool ReplicatedLog::reachesBackTo(std::uint64_t index) const {
  return index > lastSnapshot.index || entryAt(index - 1) != nullptr;
}

bool ReplicatedLog::sendSnapshot(Effects& effects, const Member& member, Follower& follower) {
  if (follower.transfer && !reachesBackTo(follower.transfer->image().index + 1)) {
    follower.transfer.reset();
    effects.note("snapshot begun again", member.id, static_cast<std::int64_t>(lastSnapshot.index));
  }
  if (!follower.transfer) {
    if (reachesBackTo(follower.next)) return false;
    auto image = newestImage.lock();
    if (!image || image->index != lastSnapshot.index) image = imageOf(lastSnapshot);
    newestImage = image;
    follower.transfer.emplace(image);
    follower.pending = false;
  }
  auto message = follower.transfer->due(effects.now);
  if (!message) return true;
  message->term = election.term();
  message->leader = selfRow.id;
  follower.sentAt = effects.now;
  effects.send(member.address, std::move(*message));
  return true;
}

void ReplicatedLog::onSnapshotResponse(Effects& effects, const InstallSnapshotResponse& response) {
  if (response.term > election.term()) return election.observeTerm(effects, response.term);
  if (!election.won() || response.term != election.term()) return;
  lastContactAt[response.voter] = effects.now;
  auto found = followers.find(response.voter);
  if (found == followers.end() || !found->second.transfer) return;
  found->second.transfer->handle(response, effects.now);
  for (const auto& member : currentMembers)
    if (member.id == response.voter) sendTo(effects, member, false);
}

void ReplicatedLog::onInstallSnapshot(Effects& effects, const std::string& from, const InstallSnapshot& message) {
  if (message.term < election.term()) return;
  election.observeTerm(effects, message.term);
  if (election.won()) return;
  if (message.index <= commitIndex) {
    effects.send(from, AppendResponse{election.term(), selfRow.id, true, std::min(syncedIndex, commitIndex)});
    return;
  }
  if (message.total > 4 * room)
    return effects.note("snapshot too large", selfRow.id, static_cast<std::int64_t>(message.total));
  Uint64 held = receiver.handle(message, 4 * room);
  auto whole = receiver.finished();
  if (held == message.total && !whole) held = 0;
  effects.send(from, InstallSnapshotResponse{election.term(), selfRow.id, message.digest, held, message.attempt});
  if (whole) installWhole(effects, from, *whole);
}

void ReplicatedLog::installWhole(Effects& effects, const std::string& from, const Snapshot& snapshot) {
  bool agrees = termAt(snapshot.index) == snapshot.term && snapshot.index <= logEnd();
  lastSnapshot = snapshot;
  std::vector<LogEntry> rest;
  if (agrees)
    for (auto& entry : log)
      if (entry.index > lastSnapshot.index) rest.push_back(std::move(entry));
  log = std::move(rest);
  logBytes = 0;
  for (const auto& entry : log) logBytes += entry.body.size();
  if (!agrees) syncedIndex = 0;
  (void)applied.adopt(lastSnapshot);
  commitIndex = lastSnapshot.index;
  std::uint64_t index = lastSnapshot.index;
  effects.save(agrees ? snapshotRecord(lastSnapshot) : installedRecord(lastSnapshot),
               [this, from, index](Effects& later) {
                 if (lastSnapshot.index != index) return;
                 syncedIndex = std::max(syncedIndex, index);
                 later.send(from, AppendResponse{election.term(), selfRow.id, true, index});
               });
  readMembers(&effects);
  effects.note("caught up by capture", selfRow.id, static_cast<std::int64_t>(index));
  if (onEntryApplied)
    onEntryApplied(effects,
                   LogEntry{lastSnapshot.index, lastSnapshot.term, static_cast<int>(EntryKind::whole), {}, {}});
}

}  // namespace tt
