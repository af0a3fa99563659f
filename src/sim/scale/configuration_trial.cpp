#include <fmt/format.h>

#include "fleet_fixtures.hpp"
#include "resource_meters.hpp"
#include "trials.hpp"

namespace tt {
namespace {

constexpr double nsPerMs = 1e6, nsPerUs = 1e3;
constexpr int modelCount = 3;
constexpr int itemChangeCount = 100;

LogEntry makeChangeEntry(Uint64 index, const std::string& patch, const std::string& changeId) {
  return LogEntry{index, 1, static_cast<int>(EntryKind::change), patch, changeId, index};
}

/// Applies configuration changes to one `Configuration` object and measures its processor time and memory.
class ConfigurationTrial {
 public:
  explicit ConfigurationTrial(int tenantCount)
      : tenants(tenantCount), initialChange(initialSections(tenantCount, modelCount)) {
    HeapCountingScope countHeap(&heapBytes);
    configuration = std::make_unique<Configuration>();
  }

  std::vector<Metric> run() {
    measureInitialChange();
    measureItemChanges();
    measureSnapshot();
    std::int64_t start = threadCpuNs();
    auto repeatedPatch = configuration->preparePatch(initialChange, ChangeFormat::sections);
    addMs("ms to prepare the whole again", threadCpuNs() - start);
    return std::move(metrics);
  }

 private:
  const int tenants;
  const std::string initialChange;
  std::int64_t heapBytes{0};
  std::unique_ptr<Configuration> configuration;
  std::vector<Metric> metrics;

  void addMs(const std::string& name, std::int64_t ns) { metrics.push_back({name, static_cast<double>(ns) / nsPerMs}); }
  void add(const std::string& name, double value) { metrics.push_back({name, value}); }

  void measureInitialChange() {
    std::int64_t start = threadCpuNs();
    auto patch = configuration->preparePatch(initialChange, ChangeFormat::sections);
    addMs("ms to prepare the whole", threadCpuNs() - start);
    LogEntry entry = makeChangeEntry(1, patch.value(), "first");
    start = threadCpuNs();
    {
      HeapCountingScope countHeap(&heapBytes);
      configuration->apply(entry);
    }
    addMs("ms to apply the whole", threadCpuNs() - start);
    add("blueprint bytes", static_cast<double>(configuration->bytes()));
    add("heap bytes of a view", static_cast<double>(heapBytes));
  }

  void measureItemChanges() {
    std::int64_t prepareNs = 0, applyNs = 0, entryBytes = 0;
    for (int number = 0; number < itemChangeCount; ++number) {
      std::string body = tenantChange(number % tenants, number + 1);
      std::int64_t start = threadCpuNs();
      auto patch = configuration->preparePatch(body, ChangeFormat::items);
      prepareNs += threadCpuNs() - start;
      LogEntry change =
          makeChangeEntry(static_cast<Uint64>(number + 2), patch.value(), fmt::format("change-{}", number));
      entryBytes += static_cast<std::int64_t>(encodeEntry(change).size());
      start = threadCpuNs();
      configuration->apply(change);
      applyNs += threadCpuNs() - start;
    }
    add("us to prepare a change of one item", static_cast<double>(prepareNs) / itemChangeCount / nsPerUs);
    add("us to apply a change of one item", static_cast<double>(applyNs) / itemChangeCount / nsPerUs);
    add("bytes of its entry", static_cast<double>(entryBytes) / itemChangeCount);
  }

  void measureSnapshot() {
    std::int64_t start = threadCpuNs();
    std::string snapshot = encodeSnapshot(configuration->snapshot());
    addMs("ms to make a capture", threadCpuNs() - start);
    add("bytes of a capture", static_cast<double>(snapshot.size()));
  }
};

}  // namespace

std::vector<Metric> measureConfiguration(int tenants, std::uint64_t) { return ConfigurationTrial(tenants).run(); }

}  // namespace tt
