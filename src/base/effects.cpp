#include "effects.hpp"

#include <cstring>

namespace tt {

void Journal::append(TimePoint at, std::string kind, std::string subject, std::int64_t number) {
  rows.push_back(Event{at, std::move(kind), std::move(subject), number});
  ++countRows[rows.back().kind];
  Event copy = rows.back();
  if (rows.size() > 2048) rows.pop_front();
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

bool applyCellNews(CellNews& kept, const CellNews& news) {
  if (std::make_pair(news.term, news.sequence) <= std::make_pair(kept.term, kept.sequence)) return false;
  if (news.base > 0) {
    if (kept.term != news.term || kept.sequence != news.base) return false;
    std::map<std::string, WorkerView> rows;
    for (auto& worker : kept.workers) rows[worker.name] = std::move(worker);
    for (const auto& name : news.gone) rows.erase(name);
    for (const auto& worker : news.workers) rows[worker.name] = worker;
    kept.workers.clear();
    for (auto& [name, worker] : rows) kept.workers.push_back(std::move(worker));
    kept.sequence = news.sequence;
    kept.holder = news.holder;
    kept.links = news.links;
    return true;
  }
  CellNews taken = news;
  if (news.omitsSummaries)
    for (auto& worker : taken.workers)
      for (const auto& known : kept.workers)
        if (known.name == worker.name && known.weights == worker.weights && worker.confirmed)
          worker.summary = known.summary;
  taken.omitsSummaries = false;
  kept = std::move(taken);
  return true;
}

namespace {
std::string packVote(const std::string& duty, const Vote& vote) {
  LogEntry row;
  row.term = vote.term;
  row.changeId = duty;
  row.body = vote.votedFor;
  return encodeEntry(row);
}
}  // namespace

Record identityRecord(const std::string& id) { return {RecordKind::identity, id}; }
Record voteRecord(const std::string& duty, const Vote& vote) { return {RecordKind::vote, packVote(duty, vote)}; }
Record entryRecord(const LogEntry& entry) { return {RecordKind::entry, encodeEntry(entry)}; }
Record cutRecord(std::uint64_t firstGone) { return {RecordKind::cut, std::to_string(firstGone)}; }
Record snapshotRecord(const Snapshot& snapshot) { return {RecordKind::snapshot, encodeSnapshot(snapshot)}; }
Record installedRecord(const Snapshot& snapshot) { return {RecordKind::installed, encodeSnapshot(snapshot)}; }

bool RecoveredState::applyRecord(const Record& record) {
  switch (record.kind) {
    case RecordKind::identity:
      identity = record.bytes;
      return true;
    case RecordKind::vote: {
      auto row = decodeEntry(record.bytes);
      if (!row) return false;
      votes[row.value().changeId] = Vote{row.value().term, row.value().body};
      return true;
    }
    case RecordKind::entry: {
      auto row = decodeEntry(record.bytes);
      if (!row) return false;
      auto& entry = row.value();
      while (!entries.empty() && entries.back().index >= entry.index) entries.pop_back();
      entries.push_back(std::move(entry));
      return true;
    }
    case RecordKind::cut: {
      std::uint64_t firstGone = std::strtoull(record.bytes.c_str(), nullptr, 10);
      while (!entries.empty() && entries.back().index >= firstGone) entries.pop_back();
      return true;
    }
    case RecordKind::snapshot: {
      auto made = decodeSnapshot(record.bytes);
      if (!made) return false;
      snapshot = std::move(made).value();
      std::vector<LogEntry> kept;
      for (auto& entry : entries)
        if (entry.index > snapshot->index) kept.push_back(std::move(entry));
      entries = std::move(kept);
      return true;
    }
    case RecordKind::installed: {
      auto made = decodeSnapshot(record.bytes);
      if (!made) return false;
      snapshot = std::move(made).value();
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
