#pragma once
#include "fleet_fixtures.hpp"

namespace tt {

/// Stubs for all workers of a simulated fleet. Each worker has a constant number of cached blocks: in turn it stores a
/// new block and removes the oldest one, at a constant rate. Reports and responses are computed from the time alone,
/// without state per block.
class StubWorkers {
 public:
  StubWorkers(const FleetSize& size, TimePoint startTime);

  /// Returns the number of the worker at an address.
  std::optional<int> find(const std::string& address) const;
  const std::string& addressOf(int number) const { return machineList[static_cast<std::size_t>(number)].address; }
  /// The machine list, as the platform serves it.
  std::vector<Machine> machines() const { return machineList; }
  /// Sets or clears the `leaving` flag of the worker that the random number selects.
  void toggleLeaving(std::uint64_t randomNumber);

  /// A message and the time at which it arrives.
  struct TimedMessage {
    TimePoint at;
    Message message;
  };
  /// Returns a worker's response to a report request and the time of its arrival. A request for events that waits until
  /// there are some (a long poll) is returned itself; the caller replaces it by `eventsReport` when it arrives.
  TimedMessage respond(int number, const ReportAsk& request, TimePoint now) const;
  /// A report with the cache events after the sequence number `after`.
  Report eventsReport(int number, std::int64_t after, TimePoint now) const;
  /// Returns all messages of a response: the load, the chunks and the end.
  std::vector<TimedMessage> respond(const WorkerOrder& request, TimePoint now) const;

 private:
  const FleetSize size;
  const TimePoint startedAt;
  std::vector<Machine> machineList;
  std::unordered_map<std::string, int> numberByAddress;

  double eventsPerSecond() const { return size.eventsPerSecond / size.workers; }
  /// The sequence number of the last event up to `now`; all workers have the same.
  std::int64_t lastEventSequence(TimePoint now) const;
  /// How long a request for events waits when there are none yet.
  Duration longPollWait() const;
  /// A report on cached blocks, still without events or blocks.
  Report emptyReport(int number) const;
  Report statusReport(int number) const;
  Report fullReport(int number, TimePoint now) const;
};

/// Returns a worker's cache event with this sequence number. Every odd event stores a new block, every even one removes
/// the oldest block. `cachedBlocks` is the number of blocks before the first event.
CacheEvent makeCacheEvent(std::uint64_t worker, std::int64_t sequence, std::int64_t cachedBlocks);

/// The number of chunks of a response, and the bytes of each.
constexpr int responseChunks = 8;
constexpr std::size_t responseChunkBytes = 200;

}  // namespace tt
