#include "replicated_log.hpp"

#include <algorithm>

namespace tt {
namespace {
/// The number of committed entries after which a snapshot is taken.
constexpr std::size_t snapshotEntryThreshold = 1024;
/// How long a follower may be silent before the leader no longer keeps entries in memory for it.
constexpr Duration followerRetention = 5s;
/// A snapshot that is larger than the capacity by more than this factor is rejected.
constexpr std::size_t maxSnapshotFactor = 4;
}  // namespace

void ReplicatedLog::compactLog(Effects& effects) {
  std::uint64_t uncompacted = commitIndex - lastSnapshot.index;
  if (uncompacted < snapshotEntryThreshold && bytesAfter(lastSnapshot.index) < capacityBytes / 4) return;
  if (uncompacted == 0) return;
  Snapshot newSnapshot = applied.snapshot();
  if (newSnapshot.index != commitIndex) return;
  effects.save(snapshotRecord(newSnapshot));
  effects.note("capture", selfMember.id, static_cast<std::int64_t>(newSnapshot.index));
  lastSnapshot = newSnapshot;
  dropEntriesBefore(firstNeededIndex(effects.now));
}

std::size_t ReplicatedLog::bytesAfter(std::uint64_t index) const {
  std::size_t bytes = 0;
  for (auto entry = log.rbegin(); entry != log.rend() && entry->index > index; ++entry) bytes += entry->body.size();
  return bytes;
}

std::uint64_t ReplicatedLog::firstNeededIndex(TimePoint now) const {
  std::uint64_t needed = lastSnapshot.index + 1;
  if (!election.won()) return needed;
  for (const auto& [id, follower] : followers) {
    auto contact = lastContactAt.find(id);
    if (contact == lastContactAt.end() || now - contact->second > followerRetention) continue;
    if (follower.transfer)
      needed = std::min(needed, follower.transfer->image().index);
    else if (follower.matched > 0)
      needed = std::min(needed, follower.matched);
  }
  return needed;
}

void ReplicatedLog::dropEntriesBefore(std::uint64_t index) {
  std::size_t retainedBytes = 0;
  std::uint64_t first = lastSnapshot.index + 1;
  for (auto entry = log.rbegin(); entry != log.rend() && entry->index >= index; ++entry) {
    if (entry->index > lastSnapshot.index) continue;
    retainedBytes += entry->body.size();
    if (retainedBytes > capacityBytes / 2) break;
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
    auto image = cachedImage.lock();
    if (!image || image->index != lastSnapshot.index) image = makeSnapshotImage(lastSnapshot);
    cachedImage = image;
    follower.transfer.emplace(image);
    follower.pending = false;
  }
  auto message = follower.transfer->nextMessage(effects.now);
  if (!message) return true;
  message->term = election.term();
  message->leader = selfMember.id;
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
    if (member.id == response.voter) sendAppend(effects, member, false);
}

void ReplicatedLog::onInstallSnapshot(Effects& effects, const std::string& from, const InstallSnapshot& message) {
  if (message.term < election.term()) return;
  election.observeTerm(effects, message.term);
  if (election.won()) return;
  if (message.index <= commitIndex) {
    effects.send(from, AppendResponse{election.term(), selfMember.id, true, std::min(syncedIndex, commitIndex)});
    return;
  }
  if (message.total > maxSnapshotFactor * capacityBytes)
    return effects.note("snapshot too large", selfMember.id, static_cast<std::int64_t>(message.total));
  Uint64 received = snapshotReceiver.handle(message, maxSnapshotFactor * capacityBytes);
  auto completeSnapshot = snapshotReceiver.takeCompleteSnapshot();
  if (received == message.total && !completeSnapshot) received = 0;
  effects.send(from,
               InstallSnapshotResponse{election.term(), selfMember.id, message.digest, received, message.attempt});
  if (completeSnapshot) installCompleteSnapshot(effects, from, *completeSnapshot);
}

void ReplicatedLog::installCompleteSnapshot(Effects& effects, const std::string& from, const Snapshot& snapshot) {
  bool tailMatches = termAt(snapshot.index) == snapshot.term && snapshot.index <= logEnd();
  lastSnapshot = snapshot;
  std::vector<LogEntry> rest;
  if (tailMatches)
    for (auto& entry : log)
      if (entry.index > lastSnapshot.index) rest.push_back(std::move(entry));
  log = std::move(rest);
  logBytes = 0;
  for (const auto& entry : log) logBytes += entry.body.size();
  if (!tailMatches) syncedIndex = 0;
  (void)applied.installSnapshot(lastSnapshot);
  commitIndex = lastSnapshot.index;
  std::uint64_t index = lastSnapshot.index;
  effects.save(tailMatches ? snapshotRecord(lastSnapshot) : installedRecord(lastSnapshot),
               [this, from, index](Effects& later) {
                 if (lastSnapshot.index != index) return;
                 syncedIndex = std::max(syncedIndex, index);
                 later.send(from, AppendResponse{election.term(), selfMember.id, true, index});
               });
  reloadMembers(&effects);
  effects.note("caught up by capture", selfMember.id, static_cast<std::int64_t>(index));
  if (onEntryApplied)
    onEntryApplied(
        effects,
        LogEntry{lastSnapshot.index, lastSnapshot.term, static_cast<int>(EntryKind::snapshotBoundary), {}, {}});
}

}  // namespace tt
