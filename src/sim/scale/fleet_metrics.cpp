#include "fleet_metrics.hpp"

#include <numeric>

#include "statistics.hpp"

namespace tt {
namespace {

constexpr double nsPerMs = 1e6;

class MetricList {
 public:
  explicit MetricList(const FleetCost& measured) : cost(measured) {}

  std::vector<FleetMetric> list() {
    for (const auto& [role, daemons] : cost.processesByRole) {
      addDaemons(role, daemons);
      addMessages(role, daemons);
    }
    addSpread("ms to acknowledge", cost.ackMs);
    addSpread("ms to last agent", cost.agentsMs);
    addSpread("ms to last proxy", cost.proxiesMs);
    add("fleet", "cells held", static_cast<double>(cost.cellsWithLease));
    add("fleet", "blocks indexed", static_cast<double>(cost.indexedBlocks));
    add("fleet", "events taken per s", perSecond(cost.eventsReceived));
    add("fleet", "requests done per s", perSecond(cost.requestsDone));
    add("fleet", "blueprint bytes", static_cast<double>(cost.configurationBytes));
    return std::move(metrics);
  }

 private:
  const FleetCost& cost;
  std::vector<FleetMetric> metrics;

  double perSecond(std::int64_t count) const { return static_cast<double>(count) / cost.seconds; }
  double msPerSecond(std::int64_t ns) const { return static_cast<double>(ns) / nsPerMs / cost.seconds; }
  void add(const std::string& subject, const std::string& name, double value) {
    metrics.push_back({subject, name, value});
  }

  std::map<std::string, std::vector<double>> rowsOf(const std::vector<ProcessCost>& daemons) const {
    std::map<std::string, std::vector<double>> rows;
    for (const auto& daemon : daemons) {
      rows["cpu ms per s"].push_back(msPerSecond(daemon.fleet.cpuNs));
      rows["bytes in per s"].push_back(perSecond(daemon.fleet.bytesIn));
      rows["bytes out per s"].push_back(perSecond(daemon.fleet.bytesOut));
      rows["local bytes per s"].push_back(perSecond(daemon.localBytes));
      rows["worker messages per s"].push_back(perSecond(daemon.workerMessages));
      rows["heap bytes"].push_back(static_cast<double>(daemon.heapBytes));
      rows["disk bytes per s"].push_back(perSecond(daemon.diskBytes));
      rows["cells"].push_back(static_cast<double>(daemon.cells));
      rows["followers"].push_back(static_cast<double>(daemon.followers));
    }
    return rows;
  }

  void addDaemons(const std::string& role, const std::vector<ProcessCost>& daemons) {
    for (const auto& [name, values] : rowsOf(daemons)) {
      double sum = std::accumulate(values.begin(), values.end(), 0.0);
      add(role, name + ", mean", sum / static_cast<double>(values.size()));
      add(role, name + ", max", spreadOf(values).max);
    }
  }

  static std::map<std::string, Cost> sumByMessage(const std::vector<ProcessCost>& daemons) {
    std::map<std::string, Cost> sums;
    for (const auto& daemon : daemons)
      for (const auto& [kind, row] : daemon.byMessage) {
        auto& sum = sums[kind];
        sum.count += row.count;
        sum.cpuNs += row.cpuNs;
        sum.bytesIn += row.bytesIn;
        sum.bytesOut += row.bytesOut;
      }
    return sums;
  }

  void addMessages(const std::string& role, const std::vector<ProcessCost>& daemons) {
    auto count = static_cast<double>(daemons.size());
    for (const auto& [kind, row] : sumByMessage(daemons)) {
      if (row.cpuNs) add(role, kind + ": cpu ms per s", msPerSecond(row.cpuNs) / count);
      if (row.bytesIn) add(role, kind + ": bytes in per s", perSecond(row.bytesIn) / count);
      if (row.bytesOut) add(role, kind + ": bytes out per s", perSecond(row.bytesOut) / count);
      add(role, kind + ": count per s", perSecond(row.count) / count);
    }
  }

  void addSpread(const std::string& name, const std::vector<double>& values) {
    if (values.empty()) return;
    auto spread = spreadOf(values);
    add("fleet", name + ", median", spread.median);
    add("fleet", name + ", max", spread.max);
  }
};

}  // namespace

std::vector<FleetMetric> fleetMetrics(const FleetCost& cost) { return MetricList(cost).list(); }

}  // namespace tt
