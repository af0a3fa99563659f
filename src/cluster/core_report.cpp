#include "core.hpp"

namespace tt {

std::string Core::condition(TimePoint now) const {
  JsonObject whole;
  whole["core"] = Json(self.id);
  whole["locality"] = Json(self.zone);
  whole["formed"] = Json(replicatedLog->formed());
  whole["diskStalled"] = Json(diskStalled);
  whole["confirmed"] = Json(readsConfirmed(now));
  whole["listAgeMs"] = jsonNumber(
      clusterView->machineListKnown() ? static_cast<double>(toMilliseconds(now - clusterView->machineListAt())) : -1);
  whole["revision"] = jsonNumber(static_cast<double>(replicatedLog->configuration().revision()));
  whole["commit"] = jsonNumber(static_cast<double>(replicatedLog->commit()));
  whole["logEnd"] = jsonNumber(static_cast<double>(replicatedLog->logEnd()));
  whole["pendingChanges"] = jsonNumber(static_cast<double>(replicatedLog->pendingChanges() + asked.size()));
  JsonArray memberRows;
  for (const auto& member : replicatedLog->members()) {
    JsonObject row;
    row["id"] = Json(member.id);
    row["address"] = Json(member.address);
    row["locality"] = Json(member.zone);
    row["votes"] = Json(member.votes);
    memberRows.push_back(Json(row));
  }
  whole["members"] = Json(memberRows);
  JsonObject duties;
  auto duty = [&](const Election& election) {
    JsonObject row;
    row["term"] = jsonNumber(static_cast<double>(election.term()));
    row["holder"] = Json(election.holder());
    row["here"] = Json(election.holdsLease(now));
    duties[election.duty()] = Json(row);
  };
  duty(replicatedLog->election);
  JsonObject workers;
  for (const auto& [zone, cell] : cells) {
    duty(cell->election);
    if (!cell->election.holdsLease(now)) continue;
    for (const auto& [name, keeper] : cell->cacheNodes()) {
      JsonObject row;
      row["locality"] = Json(zone);
      row["kind"] = Json(keeper.machine.kind);
      row["weights"] = Json(keeper.last.weights);
      row["model"] = Json(keeper.last.model);
      row["running"] = jsonNumber(keeper.last.running);
      row["leaving"] = Json(keeper.machine.leaving);
      row["indexConfirmed"] = Json(keeper.confirmed);
      row["kept"] = jsonNumber(static_cast<double>(keeper.kept.size()));
      row["reportAgeMs"] = jsonNumber(keeper.known ? static_cast<double>(toMilliseconds(now - keeper.heardAt)) : -1);
      row["rollout"] = Json(cell->rolloutState(name));
      workers[name] = Json(row);
    }
  }
  whole["duties"] = Json(duties);
  whole["workers"] = Json(workers);
  JsonObject agentRows;
  for (const auto& [address, agent] : agents) {
    if (!agent.relays) continue;
    JsonObject row;
    row["address"] = Json(address);
    row["locality"] = Json(agent.zone);
    row["applied"] = jsonNumber(static_cast<double>(agent.applied));
    row["fresh"] = Json(agent.fresh);
    row["heardMs"] = jsonNumber(static_cast<double>(toMilliseconds(now - agent.at)));
    agentRows[agent.id] = Json(row);
  }
  whole["agents"] = Json(agentRows);
  JsonObject counters;
  for (const auto& [kind, count] : journal.counts()) counters[kind] = jsonNumber(static_cast<double>(count));
  whole["counters"] = Json(counters);
  return Json(whole).serialize(true);
}

}  // namespace tt
