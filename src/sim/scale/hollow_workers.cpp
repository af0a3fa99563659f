#include "hollow_workers.hpp"

#include <algorithm>

namespace tt {
namespace {

constexpr Duration pollWait = 400ms;
constexpr Duration firstPieceAfter = 300ms;
constexpr Duration answerSpan = 2s;
constexpr int runningRequests = 2;
constexpr const char* incarnation = "1";

}  // namespace

CacheEvent eventOf(std::uint64_t worker, std::int64_t event, std::int64_t keptBlocks) {
  bool stored = event % 2 == 1;
  auto block = static_cast<std::uint64_t>(stored ? keptBlocks + (event - 1) / 2 : event / 2 - 1);
  auto kind = static_cast<int>(stored ? CacheEventKind::stored : CacheEventKind::removed);
  return CacheEvent{static_cast<Uint64>(event), kind, {blockOf(worker, block)}};
}

HollowWorkers::HollowWorkers(const FleetSize& fleetSize, TimePoint since) : size(fleetSize), startedAt(since) {
  for (int number = 0; number < size.workers; ++number) {
    rows.push_back(machineOf(size, number));
    numberByAddress[rows.back().address] = number;
  }
}

std::optional<int> HollowWorkers::find(const std::string& address) const {
  auto found = numberByAddress.find(address);
  if (found == numberByAddress.end()) return std::nullopt;
  return found->second;
}

void HollowWorkers::toggleLeaving(std::uint64_t random) {
  auto& machine = rows[random % rows.size()];
  machine.leaving = !machine.leaving;
}

std::int64_t HollowWorkers::lastEvent(TimePoint now) const {
  return static_cast<std::int64_t>(eventsPerSecond() * std::chrono::duration<double>(now - startedAt).count());
}

Duration HollowWorkers::waitForEvent() const {
  if (eventsPerSecond() <= 0) return pollWait;
  auto next = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / eventsPerSecond()));
  return std::min<Duration>(pollWait, next);
}

Report HollowWorkers::emptyReport(int number) const {
  Report report;
  report.worker = rows[static_cast<std::size_t>(number)].name;
  report.scope = static_cast<int>(ReportScope::index);
  report.incarnation = incarnation;
  report.gaps = true;
  return report;
}

Report HollowWorkers::conditionReport(int number) const {
  const auto& machine = rows[static_cast<std::size_t>(number)];
  Report report;
  report.worker = machine.name;
  report.scope = static_cast<int>(ReportScope::condition);
  report.model = machine.model;
  report.weights = machine.weights;
  report.running = runningRequests;
  report.slots = machine.slots;
  return report;
}

Report HollowWorkers::wholeReport(int number, TimePoint now) const {
  std::int64_t last = lastEvent(now), cachedBlocks = size.blocks / std::max(1, size.workers);
  Report report = emptyReport(number);
  report.complete = true;
  report.sequence = static_cast<Uint64>(last);
  for (std::int64_t block = last / 2; block < cachedBlocks + (last + 1) / 2; ++block)
    report.cachedBlocks.push_back(blockOf(static_cast<std::uint64_t>(number), static_cast<std::uint64_t>(block)));
  return report;
}

Report HollowWorkers::eventsReport(int number, std::int64_t after, TimePoint now) const {
  std::int64_t last = lastEvent(now), cachedBlocks = size.blocks / std::max(1, size.workers);
  Report report = emptyReport(number);
  report.sequence = static_cast<Uint64>(last);
  for (std::int64_t event = after + 1; event <= last; ++event)
    report.events.push_back(eventOf(static_cast<std::uint64_t>(number), event, cachedBlocks));
  return report;
}

HollowWorkers::TimedMessage HollowWorkers::answer(int number, const ReportAsk& asked, TimePoint now) const {
  TimePoint arrival = now + 2 * size.link;
  auto after = static_cast<std::int64_t>(asked.after);
  if (asked.scope == static_cast<int>(ReportScope::condition)) return {arrival, conditionReport(number)};
  if (asked.complete) return {arrival, wholeReport(number, now)};
  if (lastEvent(now) > after) return {arrival, eventsReport(number, after, now)};
  return {arrival + waitForEvent(), asked};
}

std::vector<HollowWorkers::TimedMessage> HollowWorkers::answer(const WorkerOrder& order, TimePoint now) const {
  std::vector<TimedMessage> messages;
  TimePoint when = now + firstPieceAfter;
  messages.push_back({when, WorkerLoad{order.requestId, 2, 0, 4}});
  for (int piece = 0; piece < answerPieces; ++piece) {
    messages.push_back({when, WorkerChunk{order.requestId, std::string(answerPieceBytes, 'x'), std::to_string(piece)}});
    when += answerSpan / answerPieces;
  }
  WorkerEnd end{order.requestId, static_cast<int>(AttemptOutcome::done), static_cast<int>(Code::done), 0, 0, 0};
  messages.push_back({when, end});
  return messages;
}

}  // namespace tt
