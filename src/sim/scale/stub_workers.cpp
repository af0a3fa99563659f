#include "stub_workers.hpp"

#include <algorithm>

namespace tt {
namespace {

constexpr Duration longPollTimeout = 400ms;
constexpr Duration firstChunkDelay = 300ms;
constexpr Duration responseDuration = 2s;
/// The load that every worker reports.
constexpr int runningRequests = 2, waitingRequests = 0;
constexpr const char* incarnation = "1";

}  // namespace

CacheEvent makeCacheEvent(std::uint64_t worker, std::int64_t sequence, std::int64_t cachedBlocks) {
  bool stored = sequence % 2 == 1;
  auto block = static_cast<std::uint64_t>(stored ? cachedBlocks + (sequence - 1) / 2 : sequence / 2 - 1);
  auto kind = static_cast<int>(stored ? CacheEventKind::stored : CacheEventKind::removed);
  return CacheEvent{static_cast<Uint64>(sequence), kind, {makeBlockHash(worker, block)}};
}

StubWorkers::StubWorkers(const FleetSize& fleetSize, TimePoint startTime) : size(fleetSize), startedAt(startTime) {
  for (int number = 0; number < size.workers; ++number) {
    machineList.push_back(makeMachine(size, number));
    numberByAddress[machineList.back().address] = number;
  }
}

std::optional<int> StubWorkers::find(const std::string& address) const {
  auto found = numberByAddress.find(address);
  if (found == numberByAddress.end()) return std::nullopt;
  return found->second;
}

void StubWorkers::toggleLeaving(std::uint64_t randomNumber) {
  auto& machine = machineList[randomNumber % machineList.size()];
  machine.leaving = !machine.leaving;
}

std::int64_t StubWorkers::lastEventSequence(TimePoint now) const {
  return static_cast<std::int64_t>(eventsPerSecond() * std::chrono::duration<double>(now - startedAt).count());
}

Duration StubWorkers::longPollWait() const {
  if (eventsPerSecond() <= 0) return longPollTimeout;
  auto next = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / eventsPerSecond()));
  return std::min<Duration>(longPollTimeout, next);
}

Report StubWorkers::emptyReport(int number) const {
  Report report;
  report.worker = machineList[static_cast<std::size_t>(number)].name;
  report.scope = static_cast<int>(ReportScope::index);
  report.incarnation = incarnation;
  report.gaps = true;
  return report;
}

Report StubWorkers::statusReport(int number) const {
  const auto& machine = machineList[static_cast<std::size_t>(number)];
  Report report;
  report.worker = machine.name;
  report.scope = static_cast<int>(ReportScope::condition);
  report.model = machine.model;
  report.weights = machine.weights;
  report.running = runningRequests;
  report.slots = machine.slots;
  return report;
}

Report StubWorkers::fullReport(int number, TimePoint now) const {
  std::int64_t last = lastEventSequence(now), cachedBlocks = size.blocks / std::max(1, size.workers);
  Report report = emptyReport(number);
  report.complete = true;
  report.sequence = static_cast<Uint64>(last);
  for (std::int64_t block = last / 2; block < cachedBlocks + (last + 1) / 2; ++block)
    report.cachedBlocks.push_back(makeBlockHash(static_cast<std::uint64_t>(number), static_cast<std::uint64_t>(block)));
  return report;
}

Report StubWorkers::eventsReport(int number, std::int64_t after, TimePoint now) const {
  std::int64_t last = lastEventSequence(now), cachedBlocks = size.blocks / std::max(1, size.workers);
  Report report = emptyReport(number);
  report.sequence = static_cast<Uint64>(last);
  for (std::int64_t sequence = after + 1; sequence <= last; ++sequence)
    report.events.push_back(makeCacheEvent(static_cast<std::uint64_t>(number), sequence, cachedBlocks));
  return report;
}

StubWorkers::TimedMessage StubWorkers::respond(int number, const ReportAsk& request, TimePoint now) const {
  TimePoint arrival = now + 2 * size.linkDelay;
  auto after = static_cast<std::int64_t>(request.after);
  if (request.scope == static_cast<int>(ReportScope::condition)) return {arrival, statusReport(number)};
  if (request.complete) return {arrival, fullReport(number, now)};
  if (lastEventSequence(now) > after) return {arrival, eventsReport(number, after, now)};
  return {arrival + longPollWait(), request};
}

std::vector<StubWorkers::TimedMessage> StubWorkers::respond(const WorkerOrder& request, TimePoint now) const {
  std::vector<TimedMessage> messages;
  TimePoint when = now + firstChunkDelay;
  messages.push_back({when, WorkerLoad{request.requestId, runningRequests, waitingRequests, slotsPerWorker}});
  for (int chunk = 0; chunk < responseChunks; ++chunk) {
    messages.push_back(
        {when, WorkerChunk{request.requestId, std::string(responseChunkBytes, 'x'), std::to_string(chunk)}});
    when += responseDuration / responseChunks;
  }
  WorkerEnd end{request.requestId, static_cast<int>(AttemptOutcome::done), static_cast<int>(Code::done), 0, 0, 0};
  messages.push_back({when, end});
  return messages;
}

}  // namespace tt
