#include <fmt/format.h>
#include <algorithm>

#include "hollow_workers.hpp"
#include "resource_meters.hpp"
#include "trials.hpp"

namespace tt {
namespace {

constexpr std::int64_t blocksPerWorker = 45800;
constexpr std::int64_t eventReports = 20000, eventsPerReport = 12;
constexpr std::int64_t lookups = 20000;
constexpr std::uint64_t partsPerLookup = 4;
constexpr std::int64_t ticks = 50;
constexpr std::int64_t hashedParts = 20000;
constexpr Duration tickEvery = 20ms;
constexpr int electionTicks = 400;
constexpr const char* readerAddress = "10.2.0.1:7001";

FleetSize oneZone(std::int64_t blocks) {
  FleetSize size;
  size.zones = 1;
  size.regions = 1;
  size.workers = static_cast<int>(std::max<std::int64_t>(1, blocks / blocksPerWorker));
  return size;
}

double perEach(std::int64_t sum, std::int64_t count) { return static_cast<double>(sum) / static_cast<double>(count); }

class IndexTrial {
 public:
  IndexTrial(std::int64_t blocks, std::uint64_t seed)
      : size(oneZone(blocks)), blocksEach(blocks / size.workers), randomSource(seed) {
    for (int worker = 0; worker < size.workers; ++worker) machines.push_back(machineOf(size, worker));
  }

  std::vector<Figure> run() {
    winElection();
    measureWholeLists();
    measureEvents();
    measureLookups();
    measureTicks();
    return std::move(figures);
  }

 private:
  const FleetSize size;
  const std::int64_t blocksEach;
  std::mt19937_64 randomSource;
  Journal journal;
  Configuration configuration;
  std::vector<Machine> machines;
  std::int64_t heapBytes{0};
  TimePoint now{std::chrono::hours(1)};
  std::unique_ptr<Cell> cell;
  std::vector<Figure> figures;

  void act(const std::function<void(Effects&)>& action) {
    HeapScope counted(&heapBytes);
    Effects effects{now, randomSource, journal, {}, {}};
    action(effects);
    for (std::size_t done = 0; done < effects.saves.size(); ++done)
      if (effects.saves[done].onSynced) effects.saves[done].onSynced(effects);
  }

  void tick() {
    now += tickEvery;
    act([&](Effects& effects) { cell->tick(effects, configuration); });
  }

  void winElection() {
    Member self{"core-0-1", "core-0", "10.1.0.1:7000", zoneName(size, 0), true};
    {
      HeapScope counted(&heapBytes);
      cell = std::make_unique<Cell>(zoneName(size, 0), self, true, Defences{}, platformCell());
      cell->election.setVoters({self});
      cell->setMachines(machines);
    }
    for (int turn = 0; turn < electionTicks && !cell->election.holdsLease(now); ++turn) tick();
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
    act([&](Effects& effects) { cell->handle(effects, report.worker, report); });
    return threadCpuNs() - start;
  }

  void measureWholeLists() {
    std::int64_t before = heapBytes, spentNs = 0;
    for (std::size_t worker = 0; worker < machines.size(); ++worker) {
      Report report = emptyReport(worker);
      report.complete = true;
      for (std::int64_t block = 0; block < blocksEach; ++block)
        report.cachedBlocks.push_back(blockOf(worker, static_cast<std::uint64_t>(block)));
      spentNs += timeReport(report);
    }
    std::int64_t blocks = blocksEach * size.workers;
    figures.push_back({"bytes per block", perEach(heapBytes - before, blocks)});
    figures.push_back({"ns per block of a whole list", perEach(spentNs, blocks)});
  }

  void measureEvents() {
    std::int64_t spentNs = 0;
    std::vector<std::int64_t> lastEvents(machines.size(), 0);
    for (std::int64_t turn = 0; turn < eventReports; ++turn) {
      std::size_t worker = static_cast<std::size_t>(turn) % machines.size();
      Report report = emptyReport(worker);
      for (std::int64_t number = 0; number < eventsPerReport; ++number)
        report.events.push_back(eventOf(worker, ++lastEvents[worker], blocksEach));
      report.sequence = static_cast<Uint64>(lastEvents[worker]);
      spentNs += timeReport(report) - clockCostNs();
    }
    figures.push_back({"ns per event", perEach(spentNs, eventReports * eventsPerReport)});
  }

  LookupMsg lookupOf(std::int64_t turn) const {
    std::size_t worker = static_cast<std::size_t>(turn) % machines.size();
    const auto& machine = machines[worker];
    LookupMsg lookup{fmt::format("l{}", turn), zoneName(size, 0), machine.name, machine.weights, {}, readerAddress};
    for (std::uint64_t part = 0; part < partsPerLookup; ++part) {
      std::uint64_t block =
          mixBits(static_cast<std::uint64_t>(turn) + part) % static_cast<std::uint64_t>(2 * blocksEach);
      lookup.hashes.push_back(blockOf(worker, block));
    }
    return lookup;
  }

  void measureLookups() {
    std::int64_t spentNs = 0;
    for (std::int64_t turn = 0; turn < lookups; ++turn) {
      std::string frame = encodeMessage(lookupOf(turn));
      std::int64_t start = threadCpuNs();
      act([&](Effects& effects) {
        auto message = decodeMessage(frame);
        cell->handle(effects, readerAddress, message.value());
        for (const auto& [to, reply] : effects.sends) (void)encodeMessage(reply);
      });
      spentNs += threadCpuNs() - start - clockCostNs();
    }
    figures.push_back({"ns per lookup of 4 parts", perEach(spentNs, lookups)});
  }

  void measureTicks() {
    std::int64_t spentNs = 0;
    for (std::int64_t turn = 0; turn < ticks; ++turn) {
      std::int64_t start = threadCpuNs();
      tick();
      spentNs += threadCpuNs() - start;
    }
    figures.push_back({"us per tick", perEach(spentNs, ticks) / 1000});
  }
};

Figure measureHashing() {
  std::string salt = cacheSalt("model-1", "model-1/1", "shared");
  std::int64_t start = threadCpuNs();
  for (std::int64_t turn = 0; turn < hashedParts; ++turn) (void)hashPromptPart(salt, "part-" + std::to_string(turn));
  return {"ns per part hashed", perEach(threadCpuNs() - start, hashedParts)};
}

}  // namespace

std::vector<Figure> measureIndex(std::int64_t blocks, std::uint64_t seed) {
  setPlatformTiming();
  auto figures = IndexTrial(blocks, seed).run();
  figures.push_back(measureHashing());
  return figures;
}

}  // namespace tt
