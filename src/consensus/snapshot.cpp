#include "replicated_log.hpp"

namespace tt {
namespace {
constexpr std::size_t entriesBeforeSnapshot = 1024;
}  // namespace

void ReplicatedLog::trim(Effects& effects) {
  std::size_t done = 0;
  for (const auto& entry : log) done += entry.index <= commitIndex;
  if (done < entriesBeforeSnapshot && logBytes < room / 4) return;
  if (done == 0) return;
  Snapshot made = applied.snapshot();
  if (made.index != commitIndex) return;
  effects.save(snapshotRecord(made));
  effects.note("capture", selfRow.id, static_cast<std::int64_t>(made.index));
  base = made;
  std::vector<Entry> rest;
  logBytes = 0;
  for (auto& entry : log)
    if (entry.index > base.index) {
      logBytes += entry.body.size();
      rest.push_back(std::move(entry));
    }
  log = std::move(rest);
}

void ReplicatedLog::onInstallSnapshot(Effects& effects, const std::string& from, const InstallSnapshot& message) {
  if (message.term < election.term()) return;
  election.seeTerm(effects, message.term);
  if (election.won()) return;
  if (message.snapshot.index <= commitIndex) {
    effects.send(from, AppendResponse{election.term(), selfRow.id, true, std::min(syncedIndex, commitIndex)});
    return;
  }
  bool agrees = termAt(message.snapshot.index) == message.snapshot.term && message.snapshot.index <= logEnd();
  base = message.snapshot;
  std::vector<Entry> rest;
  if (agrees)
    for (auto& entry : log)
      if (entry.index > base.index) rest.push_back(std::move(entry));
  log = std::move(rest);
  logBytes = 0;
  for (const auto& entry : log) logBytes += entry.body.size();
  if (!agrees) syncedIndex = 0;
  (void)applied.adopt(base);
  commitIndex = base.index;
  std::uint64_t index = base.index;
  effects.save(agrees ? snapshotRecord(base) : installedRecord(base), [this, from, index](Effects& later) {
    if (base.index != index) return;
    syncedIndex = std::max(syncedIndex, index);
    later.send(from, AppendResponse{election.term(), selfRow.id, true, index});
  });
  readMembers(&effects);
  effects.note("caught up by capture", selfRow.id, static_cast<std::int64_t>(index));
  if (entryApplied) entryApplied(effects, Entry{base.index, base.term, static_cast<int>(EntryKind::whole), {}, {}});
}

}  // namespace tt
