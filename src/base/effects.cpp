#include "effects.hpp"

#include <cstring>

namespace tt {
namespace {
constexpr std::size_t maxRecentEvents = 2048;
}

/// Listeners get a copy, because the stored event may be evicted if a listener appends another one.
void Journal::append(TimePoint at, std::string kind, std::string subject, std::int64_t number) {
  recentEvents.push_back(Event{at, std::move(kind), std::move(subject), number});
  ++countByKind[recentEvents.back().kind];
  Event copy = recentEvents.back();
  if (recentEvents.size() > maxRecentEvents) recentEvents.pop_front();
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

bool applyCellUpdate(CellNews& view, const CellNews& update) {
  if (std::make_pair(update.term, update.sequence) <= std::make_pair(view.term, view.sequence)) return false;
  if (update.base > 0) {
    if (view.term != update.term || view.sequence != update.base) return false;
    std::map<std::string, WorkerView> rows;
    for (auto& worker : view.workers) rows[worker.name] = std::move(worker);
    for (const auto& name : update.removedWorkers) rows.erase(name);
    for (const auto& worker : update.workers) rows[worker.name] = worker;
    view.workers.clear();
    for (auto& [name, worker] : rows) view.workers.push_back(std::move(worker));
    view.sequence = update.sequence;
    view.holder = update.holder;
    view.links = update.links;
    return true;
  }
  CellNews merged = update;
  if (update.omitsSummaries)
    for (auto& worker : merged.workers)
      for (const auto& known : view.workers)
        if (known.name == worker.name && known.weights == worker.weights && worker.confirmed)
          worker.summary = known.summary;
  merged.omitsSummaries = false;
  view = std::move(merged);
  return true;
}

namespace {
/// A vote is stored in the form of a log entry: its term, the duty as the change id, and the candidate as the body.
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
Record truncationRecord(std::uint64_t firstRemoved) { return {RecordKind::truncation, std::to_string(firstRemoved)}; }
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
    case RecordKind::truncation: {
      std::uint64_t firstRemoved = std::strtoull(record.bytes.c_str(), nullptr, 10);
      while (!entries.empty() && entries.back().index >= firstRemoved) entries.pop_back();
      return true;
    }
    case RecordKind::snapshot: {
      auto decoded = decodeSnapshot(record.bytes);
      if (!decoded) return false;
      snapshot = std::move(decoded).value();
      std::vector<LogEntry> remaining;
      for (auto& entry : entries)
        if (entry.index > snapshot->index) remaining.push_back(std::move(entry));
      entries = std::move(remaining);
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
