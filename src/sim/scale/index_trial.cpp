#include <fmt/format.h>
#include <algorithm>

#include "resource_meters.hpp"
#include "stub_workers.hpp"
#include "trials.hpp"

namespace tt {
namespace {

constexpr double nsPerUs = 1e3;
constexpr std::int64_t blocksPerWorker = 45800;
constexpr std::int64_t eventReportCount = 20000, eventsPerReport = 12;
constexpr std::int64_t lookupCount = 20000;
constexpr std::uint64_t partsPerLookup = 4;
constexpr std::int64_t tickCount = 50;
constexpr std::int64_t hashedPartCount = 20000;
constexpr Duration tickInterval = 20ms;
constexpr int maxElectionTicks = 400;
constexpr const char* agentAddress = "10.2.0.1:7001";

FleetSize singleZoneFleet(std::int64_t blocks) {
  FleetSize size;
  size.zones = 1;
  size.regions = 1;
  size.workers = static_cast<int>(std::max<std::int64_t>(1, blocks / blocksPerWorker));
  return size;
}

double mean(std::int64_t sum, std::int64_t count) { return static_cast<double>(sum) / static_cast<double>(count); }

/// Drives one real cell with reports, lookups and ticks, and measures its memory and processor time.
class IndexTrial {
 public:
  IndexTrial(std::int64_t blocks, std::uint64_t seed)
      : size(singleZoneFleet(blocks)), blocksOfEachWorker(blocks / size.workers), randomSource(seed) {
    for (int worker = 0; worker < size.workers; ++worker) machines.push_back(makeMachine(size, worker));
  }

  std::vector<Metric> run() {
    winElection();
    measureFullReports();
    measureEvents();
    measureLookups();
    measureTicks();
    return std::move(metrics);
  }

 private:
  const FleetSize size;
  const std::int64_t blocksOfEachWorker;
  std::mt19937_64 randomSource;
  Journal journal;
  Configuration configuration;
  std::vector<Machine> machines;
  std::int64_t heapBytes{0};
  TimePoint now{std::chrono::hours(1)};
  std::unique_ptr<Cell> cell;
  std::vector<Metric> metrics;

  /// Runs an action on the cell, with its allocations counted, and completes its disk syncs at once.
  void callCell(const std::function<void(Effects&)>& action) {
    HeapCountingScope countHeap(&heapBytes);
    Effects effects{now, randomSource, journal, {}, {}};
    action(effects);
    for (std::size_t saveIndex = 0; saveIndex < effects.saves.size(); ++saveIndex)
      if (effects.saves[saveIndex].onSynced) effects.saves[saveIndex].onSynced(effects);
  }

  void tick() {
    now += tickInterval;
    callCell([&](Effects& effects) { cell->tick(effects, configuration); });
  }

  void winElection() {
    Member self{"core-0-1", "core-0", "10.1.0.1:7000", zoneName(size, 0), true};
    {
      HeapCountingScope countHeap(&heapBytes);
      cell = std::make_unique<Cell>(zoneName(size, 0), self, true, Defences{}, platformCellSettings());
      cell->election.setVoters({self});
      cell->setMachines(machines);
    }
    for (int iteration = 0; iteration < maxElectionTicks && !cell->election.holdsLease(now); ++iteration) tick();
    tick();
  }

  Report emptyReport(std::size_t worker) const {
    Report report;
    report.worker = machines[worker].name;
    report.scope = static_cast<int>(ReportScope::index);
    report.incarnation = "1";
    report.gaps = true;
    return report;
  }

  std::int64_t timeReport(const Report& report) {
    std::int64_t start = threadCpuNs();
    callCell([&](Effects& effects) { cell->handle(effects, report.worker, report); });
    return threadCpuNs() - start;
  }

  void measureFullReports() {
    std::int64_t heapBytesBefore = heapBytes, cpuNs = 0;
    for (std::size_t worker = 0; worker < machines.size(); ++worker) {
      Report report = emptyReport(worker);
      report.complete = true;
      for (std::int64_t block = 0; block < blocksOfEachWorker; ++block)
        report.cachedBlocks.push_back(makeBlockHash(worker, static_cast<std::uint64_t>(block)));
      cpuNs += timeReport(report);
    }
    std::int64_t blocks = blocksOfEachWorker * size.workers;
    metrics.push_back({"bytes per block", mean(heapBytes - heapBytesBefore, blocks)});
    metrics.push_back({"ns per block of a whole list", mean(cpuNs, blocks)});
  }

  void measureEvents() {
    std::int64_t cpuNs = 0;
    std::vector<std::int64_t> lastSequences(machines.size(), 0);
    for (std::int64_t iteration = 0; iteration < eventReportCount; ++iteration) {
      std::size_t worker = static_cast<std::size_t>(iteration) % machines.size();
      Report report = emptyReport(worker);
      for (std::int64_t number = 0; number < eventsPerReport; ++number)
        report.events.push_back(makeCacheEvent(worker, ++lastSequences[worker], blocksOfEachWorker));
      report.sequence = static_cast<Uint64>(lastSequences[worker]);
      cpuNs += timeReport(report) - clockReadCostNs();
    }
    metrics.push_back({"ns per event", mean(cpuNs, eventReportCount * eventsPerReport)});
  }

  LookupMsg makeLookup(std::int64_t iteration) const {
    std::size_t worker = static_cast<std::size_t>(iteration) % machines.size();
    const auto& machine = machines[worker];
    LookupMsg lookup{fmt::format("l{}", iteration), zoneName(size, 0), machine.name, machine.weights, {}, agentAddress};
    for (std::uint64_t part = 0; part < partsPerLookup; ++part) {
      std::uint64_t block =
          mixBits(static_cast<std::uint64_t>(iteration) + part) % static_cast<std::uint64_t>(2 * blocksOfEachWorker);
      lookup.hashes.push_back(makeBlockHash(worker, block));
    }
    return lookup;
  }

  void measureLookups() {
    std::int64_t cpuNs = 0;
    for (std::int64_t iteration = 0; iteration < lookupCount; ++iteration) {
      std::string frame = encodeMessage(makeLookup(iteration));
      std::int64_t start = threadCpuNs();
      callCell([&](Effects& effects) {
        auto message = decodeMessage(frame);
        cell->handle(effects, agentAddress, message.value());
        for (const auto& [to, reply] : effects.sends) (void)encodeMessage(reply);
      });
      cpuNs += threadCpuNs() - start - clockReadCostNs();
    }
    metrics.push_back({"ns per lookup of 4 parts", mean(cpuNs, lookupCount)});
  }

  void measureTicks() {
    std::int64_t cpuNs = 0;
    for (std::int64_t iteration = 0; iteration < tickCount; ++iteration) {
      std::int64_t start = threadCpuNs();
      tick();
      cpuNs += threadCpuNs() - start;
    }
    metrics.push_back({"us per tick", mean(cpuNs, tickCount) / nsPerUs});
  }
};

Metric measureHashing() {
  std::string salt = cacheSalt("model-1", "model-1/1", "shared");
  std::int64_t start = threadCpuNs();
  for (std::int64_t iteration = 0; iteration < hashedPartCount; ++iteration)
    (void)hashPromptPart(salt, "part-" + std::to_string(iteration));
  return {"ns per part hashed", mean(threadCpuNs() - start, hashedPartCount)};
}

}  // namespace

std::vector<Metric> measureIndex(std::int64_t blocks, std::uint64_t seed) {
  setPlatformTiming();
  auto metrics = IndexTrial(blocks, seed).run();
  metrics.push_back(measureHashing());
  return metrics;
}

}  // namespace tt
