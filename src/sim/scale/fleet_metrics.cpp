#include "fleet_metrics.hpp"

#include <numeric>

#include "statistics.hpp"

namespace tt {
namespace {

constexpr double nsPerMs = 1e6;

/// Builds the list of metrics from the costs of a fleet.
class MetricList {
 public:
  explicit MetricList(const FleetCost& measured) : cost(measured) {}

  std::vector<FleetMetric> list() {
    for (const auto& [role, processes] : cost.processesByRole) {
      addProcesses(role, processes);
      addMessages(role, processes);
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

  std::map<std::string, std::vector<double>> valuesByMetric(const std::vector<ProcessCost>& processes) const {
    std::map<std::string, std::vector<double>> values;
    for (const auto& process : processes) {
      values["cpu ms per s"].push_back(msPerSecond(process.total.cpuNs));
      values["bytes in per s"].push_back(perSecond(process.total.bytesIn));
      values["bytes out per s"].push_back(perSecond(process.total.bytesOut));
      values["local bytes per s"].push_back(perSecond(process.localBytes));
      values["worker messages per s"].push_back(perSecond(process.workerMessages));
      values["heap bytes"].push_back(static_cast<double>(process.heapBytes));
      values["disk bytes per s"].push_back(perSecond(process.diskBytes));
      values["cells"].push_back(static_cast<double>(process.cells));
      values["followers"].push_back(static_cast<double>(process.followers));
    }
    return values;
  }

  void addProcesses(const std::string& role, const std::vector<ProcessCost>& processes) {
    for (const auto& [name, values] : valuesByMetric(processes)) {
      double sum = std::accumulate(values.begin(), values.end(), 0.0);
      add(role, name + ", mean", sum / static_cast<double>(values.size()));
      add(role, name + ", max", spreadOf(values).max);
    }
  }

  static std::map<std::string, Cost> sumByMessage(const std::vector<ProcessCost>& processes) {
    std::map<std::string, Cost> sums;
    for (const auto& process : processes)
      for (const auto& [kind, messageCost] : process.byMessage) {
        auto& sum = sums[kind];
        sum.count += messageCost.count;
        sum.cpuNs += messageCost.cpuNs;
        sum.bytesIn += messageCost.bytesIn;
        sum.bytesOut += messageCost.bytesOut;
      }
    return sums;
  }

  void addMessages(const std::string& role, const std::vector<ProcessCost>& processes) {
    auto count = static_cast<double>(processes.size());
    for (const auto& [kind, messageCost] : sumByMessage(processes)) {
      if (messageCost.cpuNs) add(role, kind + ": cpu ms per s", msPerSecond(messageCost.cpuNs) / count);
      if (messageCost.bytesIn) add(role, kind + ": bytes in per s", perSecond(messageCost.bytesIn) / count);
      if (messageCost.bytesOut) add(role, kind + ": bytes out per s", perSecond(messageCost.bytesOut) / count);
      add(role, kind + ": count per s", perSecond(messageCost.count) / count);
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
