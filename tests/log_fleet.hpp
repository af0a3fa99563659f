#pragma once
#include <criterion/criterion.h>

#include <algorithm>

#include "members.hpp"
#include "replicated_log.hpp"

namespace tt {

/// Three replicas of the log on simulated time, with links that have a data rate and a delay, and disks that take a
/// while to sync.
class LogFleet {
 public:
  struct Machine {
    Member self;
    Journal journal;
    RecoveredState disk;
    std::unique_ptr<ReplicatedLog> log;
    std::vector<Effects::Save> waiting, syncing;
    TimePoint syncedAt{};
    /// Incremented at each start and stop, so that messages to an earlier process are dropped.
    std::uint64_t incarnation{0};
    Duration syncDuration{2ms};
    /// `entryWrites`: how often each entry was written, by index and term. `maxWaitingBytes`: the maximum size of the
    /// records that waited for the disk. `snapshotWrites`: the number of snapshot records. `ringBytes`: the size of all
    /// records. `maxLogBytes`: the maximum size of the log in memory.
    std::map<std::pair<std::uint64_t, std::uint64_t>, int> entryWrites;
    std::size_t maxWaitingBytes{0}, snapshotWrites{0}, ringBytes{0}, maxLogBytes{0};
  };
  struct Link {
    double bytesPerSecond{10e6};
    Duration delay{1ms};
    TimePoint busyUntil{};
    std::size_t queued{0}, maxQueued{0}, total{0}, messages{0};
    bool up{true};
  };
  TimePoint now{std::chrono::hours(9)};
  std::mt19937_64 randomSource;
  std::map<std::string, Machine> machines;
  std::map<std::pair<std::string, std::string>, Link> links;
  std::uint64_t changes{0}, acknowledged{0};
  std::size_t changeBytes{300};
  int refused{0};

  explicit LogFleet(std::uint64_t seed, std::size_t maxRecordBytes = 1 << 20)
      : randomSource(seed), capacityBytes(maxRecordBytes) {
    std::vector<Member> members;
    for (const char* id : {"a", "b", "c"}) members.push_back({id, id, std::string(id) + ":1", "north", true});
    RecoveredState recovered;
    recovered.entries.push_back(LogEntry{1, 1, static_cast<int>(EntryKind::members), encodeMembers(members), {}, 0});
    for (const auto& member : members) {
      recovered.identity = member.id;
      machines[member.id].self = member;
      machines[member.id].disk = recovered;
    }
  }
  void start(const std::string& id) {
    auto& machine = machines.at(id);
    ++machine.incarnation;
    machine.log = std::make_unique<ReplicatedLog>(machine.self, capacityBytes);
    machine.log->restore(machine.disk, now);
  }
  void stop(const std::string& id) {
    auto& machine = machines.at(id);
    ++machine.incarnation;
    machine.log.reset();
    machine.waiting.clear();
    machine.syncing.clear();
  }
  std::string leader() const {
    for (const auto& [id, machine] : machines)
      if (machine.log && machine.log->leads(now)) return id;
    return {};
  }
  /// Sends one change to the leader; returns false if there is none.
  bool change() {
    auto id = leader();
    if (id.empty()) return false;
    ChangeRequest request;
    std::string name = "w" + std::to_string(++changes % 400);
    request.body = R"({"weights":{")" + name + R"(":{"model":")" + std::to_string(changes) + "." +
                   std::string(changeBytes, 'm') + R"("}}})";
    request.changeId = "config/" + std::to_string(changes) + "/" + sha256Hex(std::to_string(changes));
    request.requestId = request.changeId;
    request.ifRevision = -1;
    with(machines.at(id),
         [&](Effects& effects, ReplicatedLog& log) { log.proposeChange(effects, "operator", request); });
    return true;
  }
  void step() {
    now += 1ms;
    ++steps;
    while (!due.empty() && due.begin()->first <= now) {
      auto action = std::move(due.begin()->second);
      due.erase(due.begin());
      action();
    }
    for (auto& [id, machine] : machines) {
      if (!machine.log) continue;
      if (steps % 20 == 0) with(machine, [](Effects& effects, ReplicatedLog& log) { log.tick(effects); });
      runDisk(machine);
      std::size_t bytes = 0;
      if (steps % 16 == 0) {
        for (const auto& entry : machine.log->entries()) bytes += entry.body.size();
        machine.maxLogBytes = std::max(machine.maxLogBytes, bytes);
      }
    }
  }
  void run(Duration duration) {
    for (TimePoint until = now + duration; now < until;) step();
  }
  bool runUntil(const std::function<bool()>& reached, Duration timeout) {
    for (TimePoint until = now + timeout; now < until && !reached();) step();
    return reached();
  }
  /// Starts all replicas and waits for a leader.
  void startAll() {
    for (const char* id : {"a", "b", "c"}) start(id);
    cr_assert(runUntil([&] { return !leader().empty(); }, 20s));
    cr_assert(runUntil([&] { return machines.at("c").log->commit() > 1; }, 20s));
  }
  /// Makes `count` changes as fast as they are committed.
  void makeChanges(std::uint64_t count) {
    std::uint64_t last = changes + count;
    while (changes < last) {
      if (auto id = leader(); !id.empty() && machines.at(id).log->pendingChanges() < 64)
        for (int at = 0; at < 16 && changes < last; ++at) change();
      run(4ms);
    }
    cr_assert(runUntil([&] { return !leader().empty() && machines.at(leader()).log->pendingChanges() == 0; }, 20s));
  }
  /// The number of entries that a replica wrote to disk more than once.
  std::size_t entriesWrittenTwice(const std::string& id) const {
    std::size_t writtenTwice = 0;
    for (const auto& [entry, times] : machines.at(id).entryWrites) writtenTwice += times > 1;
    return writtenTwice;
  }

 private:
  std::size_t capacityBytes;
  std::uint64_t steps{0};
  std::multimap<TimePoint, std::function<void()>> due;

  void with(Machine& machine, const std::function<void(Effects&, ReplicatedLog&)>& action) {
    Effects effects{now, randomSource, machine.journal, {}, {}};
    action(effects, *machine.log);
    for (auto& [to, message] : effects.sends) post(machine, to, std::move(message));
    std::size_t bytes = 0;
    for (auto& save : effects.saves) {
      if (save.record.kind == RecordKind::entry) {
        auto entry = decodeEntry(save.record.bytes).value();
        ++machine.entryWrites[{entry.index, entry.term}];
      }
      machine.snapshotWrites +=
          save.record.kind == RecordKind::snapshot || save.record.kind == RecordKind::installedSnapshot;
      machine.ringBytes += save.record.bytes.size();
      machine.waiting.push_back(std::move(save));
    }
    for (const auto& save : machine.waiting) bytes += save.record.bytes.size();
    machine.maxWaitingBytes = std::max(machine.maxWaitingBytes, bytes);
  }
  void post(Machine& from, const std::string& to, Message message) {
    if (to == "operator") {
      auto& response = std::get<ChangeResponse>(message);
      ++(response.code == static_cast<int>(Code::changeTaken) ? acknowledged : rejected);
      return;
    }
    std::string id = to.substr(0, 1);
    auto& link = links[{from.self.id, id}];
    if (!link.up) return;
    std::size_t bytes = encodeMessage(message).size() + 60;
    link.busyUntil =
        std::max(link.busyUntil, now) +
        std::chrono::microseconds(static_cast<std::int64_t>(1e6 * static_cast<double>(bytes) / link.bytesPerSecond));
    link.queued += bytes;
    link.maxQueued = std::max(link.maxQueued, link.queued);
    link.total += bytes;
    ++link.messages;
    due.emplace(link.busyUntil + link.delay, [this, id, bytes, sender = from.self,
                                              incarnation = machines.at(id).incarnation, message = std::move(message)] {
      auto& usedLink = links[{sender.id, id}];
      usedLink.queued -= bytes;
      auto& machine = machines.at(id);
      if (!machine.log || machine.incarnation != incarnation || !usedLink.up) return;
      with(machine, [&](Effects& effects, ReplicatedLog& log) { log.handle(effects, sender.address, message); });
    });
  }
  void runDisk(Machine& machine) {
    if (!machine.syncing.empty() && now >= machine.syncedAt) {
      auto done = std::move(machine.syncing);
      machine.syncing.clear();
      for (const auto& save : done) cr_assert(machine.disk.applyRecord(save.record));
      with(machine, [&](Effects& effects, ReplicatedLog&) {
        for (auto& save : done)
          if (save.onSynced) save.onSynced(effects);
      });
    }
    if (machine.syncing.empty() && !machine.waiting.empty()) {
      machine.syncing = std::move(machine.waiting);
      machine.waiting.clear();
      machine.syncedAt = now + machine.syncDuration;
    }
  }

 public:
  std::uint64_t rejected{0};
};

}  // namespace tt
