#pragma once
#include "fleet_fixtures.hpp"

namespace tt {

/// The workers of a hollow fleet: each keeps so many blocks, stores and removes them at a steady rate, and answers
/// reports and requests out of arithmetic alone.
class StubWorkers {
 public:
  StubWorkers(const FleetSize& size, TimePoint since);

  /// The worker at an address, by its number.
  std::optional<int> find(const std::string& address) const;
  const std::string& addressOf(int number) const { return machineList[static_cast<std::size_t>(number)].address; }
  /// The platform's list of machines.
  std::vector<Machine> machines() const { return machineList; }
  /// Marks a worker as leaving, or takes the mark back.
  void toggleLeaving(std::uint64_t random);

  struct TimedMessage {
    TimePoint at;
    Message message;
  };
  /// A worker's answer to an ask for a report. One that waits for events has the ask itself as its answer, to be
  /// replaced by `eventsReport` as it arrives.
  TimedMessage respond(int number, const ReportAsk& request, TimePoint now) const;
  /// What a worker stored and removed since an event.
  Report eventsReport(int number, std::int64_t after, TimePoint now) const;
  /// The pieces and the end of a request's answer.
  std::vector<TimedMessage> respond(const WorkerOrder& request, TimePoint now) const;

 private:
  const FleetSize size;
  const TimePoint startedAt;
  std::vector<Machine> machineList;
  std::unordered_map<std::string, int> numberByAddress;

  double eventsPerSecond() const { return size.eventsPerSecond / size.workers; }
  std::int64_t lastEventSequence(TimePoint now) const;
  Duration longPollWait() const;
  Report emptyReport(int number) const;
  Report conditionReport(int number) const;
  Report fullReport(int number, TimePoint now) const;
};

/// What a worker stored or removed as its event of a number: it stores with every odd one and removes the oldest block
/// with every even one.
CacheEvent makeCacheEvent(std::uint64_t worker, std::int64_t event, std::int64_t cachedBlocks);

/// Of an answer to a request: how many pieces it has, and the bytes of each.
constexpr int responseChunks = 8;
constexpr std::size_t responseChunkBytes = 200;

}  // namespace tt
