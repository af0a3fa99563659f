#include "core.hpp"

namespace tt {

std::string Core::condition(TimePoint now) const {
  JsonObject report;
  report["core"] = Json(self.id);
  report["locality"] = Json(self.zone);
  report["formed"] = Json(replicatedLog->formed());
  report["diskStalled"] = Json(diskStalled);
  report["confirmed"] = Json(readsConfirmed(now));
  report["listAgeMs"] = jsonNumber(
      clusterView->machineListKnown() ? static_cast<double>(toMilliseconds(now - clusterView->machineListAt())) : -1);
  report["revision"] = jsonNumber(static_cast<double>(replicatedLog->configuration().revision()));
  report["commit"] = jsonNumber(static_cast<double>(replicatedLog->commit()));
  report["logEnd"] = jsonNumber(static_cast<double>(replicatedLog->logEnd()));
  report["pendingChanges"] = jsonNumber(static_cast<double>(replicatedLog->pendingChanges() + openChanges.size()));
  JsonArray memberRows;
  for (const auto& member : replicatedLog->members()) {
    JsonObject row;
    row["id"] = Json(member.id);
    row["address"] = Json(member.address);
    row["locality"] = Json(member.zone);
    row["votes"] = Json(member.votes);
    memberRows.push_back(Json(row));
  }
  report["members"] = Json(memberRows);
  JsonObject duties;
  auto addDuty = [&](const Election& election) {
    JsonObject row;
    row["term"] = jsonNumber(static_cast<double>(election.term()));
    row["holder"] = Json(election.holder());
    row["here"] = Json(election.holdsLease(now));
    duties[election.duty()] = Json(row);
  };
  addDuty(replicatedLog->election);
  JsonObject workers;
  for (const auto& [zone, cell] : cells) {
    addDuty(cell->election);
    if (!cell->election.holdsLease(now)) continue;
    for (const auto& [name, cacheNode] : cell->cacheNodes()) {
      JsonObject row;
      row["locality"] = Json(zone);
      row["kind"] = Json(cacheNode.machine.kind);
      row["weights"] = Json(cacheNode.lastReport.weights);
      row["model"] = Json(cacheNode.lastReport.model);
      row["running"] = jsonNumber(cacheNode.lastReport.running);
      row["leaving"] = Json(cacheNode.machine.leaving);
      row["indexConfirmed"] = Json(cacheNode.confirmed);
      row["kept"] = jsonNumber(static_cast<double>(cacheNode.cachedBlocks.size()));
      row["reportAgeMs"] =
          jsonNumber(cacheNode.known ? static_cast<double>(toMilliseconds(now - cacheNode.lastReportAt)) : -1);
      row["rollout"] = Json(cell->rolloutState(name));
      workers[name] = Json(row);
    }
  }
  report["duties"] = Json(duties);
  report["workers"] = Json(workers);
  JsonObject agentRows;
  for (const auto& [address, agent] : agents) {
    if (!agent.relays) continue;
    JsonObject row;
    row["address"] = Json(address);
    row["locality"] = Json(agent.zone);
    row["applied"] = jsonNumber(static_cast<double>(agent.applied));
    row["fresh"] = Json(agent.fresh);
    row["heardMs"] = jsonNumber(static_cast<double>(toMilliseconds(now - agent.lastRequestAt)));
    agentRows[agent.id] = Json(row);
  }
  report["agents"] = Json(agentRows);
  JsonObject counters;
  for (const auto& [kind, count] : journal.counts()) counters[kind] = jsonNumber(static_cast<double>(count));
  report["counters"] = Json(counters);
  return Json(report).serialize(true);
}

}  // namespace tt
