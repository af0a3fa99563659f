#include "effects.hpp"

#include <cstring>

namespace tt {
namespace {
constexpr std::size_t maxKeptEvents = 2048;
}

/// Listeners get a copy, since an event that a listener appends in turn may remove the row.
void Journal::append(TimePoint at, std::string kind, std::string subject, std::int64_t number) {
  keptEvents.push_back(Event{at, std::move(kind), std::move(subject), number});
  ++countByKind[keptEvents.back().kind];
  Event copy = keptEvents.back();
  if (keptEvents.size() > maxKeptEvents) keptEvents.pop_front();
  appended(copy);
}

Uint64 digestOfMachineList(const std::vector<Machine>& machines) {
  Uint64 digest = 1;
  for (const auto& machine : machines) {
    std::string row = machine.name + "\n" + machine.address + "\n" + machine.zone + "\n" + machine.kind +
                      (machine.leaving ? "\nleaving" : "");
    digest = rendezvousHash(std::to_string(digest), row);
  }
  return digest;
}

bool applyCellUpdate(CellNews& kept, const CellNews& update) {
  if (std::make_pair(update.term, update.sequence) <= std::make_pair(kept.term, kept.sequence)) return false;
  if (update.base > 0) {
    if (kept.term != update.term || kept.sequence != update.base) return false;
    std::map<std::string, WorkerView> rows;
    for (auto& worker : kept.workers) rows[worker.name] = std::move(worker);
    for (const auto& name : update.removedWorkers) rows.erase(name);
    for (const auto& worker : update.workers) rows[worker.name] = worker;
    kept.workers.clear();
    for (auto& [name, worker] : rows) kept.workers.push_back(std::move(worker));
    kept.sequence = update.sequence;
    kept.holder = update.holder;
    kept.links = update.links;
    return true;
  }
  CellNews merged = update;
  if (update.omitsSummaries)
    for (auto& worker : merged.workers)
      for (const auto& known : kept.workers)
        if (known.name == worker.name && known.weights == worker.weights && worker.confirmed)
          worker.summary = known.summary;
  merged.omitsSummaries = false;
  kept = std::move(merged);
  return true;
}

namespace {
/// A vote is stored in the form of a log entry: term, duty as the change id, candidate as the body.
std::string encodeVote(const std::string& duty, const Vote& vote) {
  LogEntry entry;
  entry.term = vote.term;
  entry.changeId = duty;
  entry.body = vote.votedFor;
  return encodeEntry(entry);
}
}  // namespace

Record identityRecord(const std::string& id) { return {RecordKind::identity, id}; }
Record voteRecord(const std::string& duty, const Vote& vote) { return {RecordKind::vote, encodeVote(duty, vote)}; }
Record entryRecord(const LogEntry& entry) { return {RecordKind::entry, encodeEntry(entry)}; }
Record truncationRecord(std::uint64_t firstRemoved) { return {RecordKind::cut, std::to_string(firstRemoved)}; }
Record snapshotRecord(const Snapshot& snapshot) { return {RecordKind::snapshot, encodeSnapshot(snapshot)}; }
Record installedRecord(const Snapshot& snapshot) { return {RecordKind::installedSnapshot, encodeSnapshot(snapshot)}; }

bool RecoveredState::applyRecord(const Record& record) {
  switch (record.kind) {
    case RecordKind::identity:
      identity = record.bytes;
      return true;
    case RecordKind::vote: {
      auto decoded = decodeEntry(record.bytes);
      if (!decoded) return false;
      votes[decoded.value().changeId] = Vote{decoded.value().term, decoded.value().body};
      return true;
    }
    case RecordKind::entry: {
      auto decoded = decodeEntry(record.bytes);
      if (!decoded) return false;
      auto& entry = decoded.value();
      while (!entries.empty() && entries.back().index >= entry.index) entries.pop_back();
      entries.push_back(std::move(entry));
      return true;
    }
    case RecordKind::cut: {
      std::uint64_t firstRemoved = std::strtoull(record.bytes.c_str(), nullptr, 10);
      while (!entries.empty() && entries.back().index >= firstRemoved) entries.pop_back();
      return true;
    }
    case RecordKind::snapshot: {
      auto decoded = decodeSnapshot(record.bytes);
      if (!decoded) return false;
      snapshot = std::move(decoded).value();
      std::vector<LogEntry> kept;
      for (auto& entry : entries)
        if (entry.index > snapshot->index) kept.push_back(std::move(entry));
      entries = std::move(kept);
      return true;
    }
    case RecordKind::installedSnapshot: {
      auto decoded = decodeSnapshot(record.bytes);
      if (!decoded) return false;
      snapshot = std::move(decoded).value();
      entries.clear();
      return true;
    }
    case RecordKind::checkpointEnd:
      return true;
  }
  return false;
}

std::vector<Record> RecoveredState::records() const {
  std::vector<Record> rows;
  rows.push_back(identityRecord(identity));
  for (const auto& [duty, vote] : votes) rows.push_back(voteRecord(duty, vote));
  if (snapshot) rows.push_back(snapshotRecord(*snapshot));
  for (const auto& entry : entries) rows.push_back(entryRecord(entry));
  return rows;
}

}  // namespace tt
