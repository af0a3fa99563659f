#include <fmt/format.h>

#include "fleet_fixtures.hpp"
#include "resource_meters.hpp"
#include "trials.hpp"

namespace tt {
namespace {

constexpr int models = 3;
constexpr int itemChanges = 100;

LogEntry changeEntry(Uint64 index, const std::string& patch, const std::string& changeId) {
  return LogEntry{index, 1, static_cast<int>(EntryKind::change), patch, changeId, index};
}

class ConfigurationTrial {
 public:
  explicit ConfigurationTrial(int tenantCount) : tenants(tenantCount), whole(firstSections(tenantCount, models)) {
    HeapScope counted(&heapBytes);
    view = std::make_unique<Configuration>();
  }

  std::vector<Figure> run() {
    measureWhole();
    measureItemChanges();
    measureSnapshot();
    std::int64_t start = threadCpuNs();
    auto again = view->preparePatch(whole, ChangeFormat::sections);
    addMs("ms to prepare the whole again", threadCpuNs() - start);
    return std::move(figures);
  }

 private:
  const int tenants;
  const std::string whole;
  std::int64_t heapBytes{0};
  std::unique_ptr<Configuration> view;
  std::vector<Figure> figures;

  void addMs(const std::string& name, std::int64_t ns) { figures.push_back({name, static_cast<double>(ns) / 1e6}); }
  void add(const std::string& name, double value) { figures.push_back({name, value}); }

  void measureWhole() {
    std::int64_t start = threadCpuNs();
    auto patch = view->preparePatch(whole, ChangeFormat::sections);
    addMs("ms to prepare the whole", threadCpuNs() - start);
    LogEntry entry = changeEntry(1, patch.value(), "first");
    start = threadCpuNs();
    {
      HeapScope counted(&heapBytes);
      view->apply(entry);
    }
    addMs("ms to apply the whole", threadCpuNs() - start);
    add("blueprint bytes", static_cast<double>(view->bytes()));
    add("heap bytes of a view", static_cast<double>(heapBytes));
  }

  void measureItemChanges() {
    std::int64_t prepareNs = 0, applyNs = 0, entryBytes = 0;
    for (int turn = 0; turn < itemChanges; ++turn) {
      std::string body = tenantChange(turn % tenants, turn + 1);
      std::int64_t start = threadCpuNs();
      auto patch = view->preparePatch(body, ChangeFormat::items);
      prepareNs += threadCpuNs() - start;
      LogEntry change = changeEntry(static_cast<Uint64>(turn + 2), patch.value(), fmt::format("change-{}", turn));
      entryBytes += static_cast<std::int64_t>(encodeEntry(change).size());
      start = threadCpuNs();
      view->apply(change);
      applyNs += threadCpuNs() - start;
    }
    add("us to prepare a change of one item", static_cast<double>(prepareNs) / itemChanges / 1000);
    add("us to apply a change of one item", static_cast<double>(applyNs) / itemChanges / 1000);
    add("bytes of its entry", static_cast<double>(entryBytes) / itemChanges);
  }

  void measureSnapshot() {
    std::int64_t start = threadCpuNs();
    std::string snapshot = encodeSnapshot(view->snapshot());
    addMs("ms to make a capture", threadCpuNs() - start);
    add("bytes of a capture", static_cast<double>(snapshot.size()));
  }
};

}  // namespace

std::vector<Figure> measureConfiguration(int tenants, std::uint64_t) { return ConfigurationTrial(tenants).run(); }

}  // namespace tt
