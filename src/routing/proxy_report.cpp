/// The report of a proxy's state to operators.
#include "proxy_router.hpp"

#include <algorithm>

namespace tt {
std::string ProxyRouter::condition(TimePoint now) const {
  JsonObject report;
  report["proxy"] = Json(settings.name);
  report["fresh"] = Json(fresh(now));
  report["revision"] = jsonNumber(static_cast<double>(config.revision()));
  report["requiresKeys"] = Json(config.requiresKeys());
  report["applied"] = jsonNumber(static_cast<double>(config.index()));
  report["orders"] = jsonNumber(static_cast<double>(requests.size()));
  report["pending"] = jsonNumber(static_cast<double>(pending.size()));
  JsonObject tenants;
  for (const auto& [tenant, open] : openByTenant) tenants[tenant] = jsonNumber(open);
  report["openByTenant"] = Json(tenants);
  report["retriesLately"] = jsonNumber(static_cast<double>(retryTimes.size()));
  report["admittedLately"] = jsonNumber(static_cast<double>(admissionTimes.size()));
  JsonObject workers;
  for (const auto& [zone, cell] : cells)
    for (const auto& worker : cell.workers) {
      JsonObject row;
      row["weights"] = Json(worker.weights);
      row["running"] = jsonNumber(worker.running);
      row["slots"] = jsonNumber(worker.slots);
      row["held"] = Json(worker.withheld);
      row["alive"] = Json(worker.alive);
      row["leaving"] = Json(!schedulable.count(worker.name));
      auto stats = workerStats.find(worker.name);
      row["open"] = jsonNumber(stats == workerStats.end() ? 0 : stats->second.open);
      workers[worker.name] = Json(row);
    }
  report["workers"] = Json(workers);
  JsonObject counters;
  for (const auto& [kind, count] : journal.counts()) counters[kind] = jsonNumber(static_cast<double>(count));
  report["counters"] = Json(counters);
  return Json(report).serialize(true);
}

}  // namespace tt
