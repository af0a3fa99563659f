#include "fleet_fixtures.hpp"

#include <fmt/format.h>
#include <algorithm>

namespace tt {

std::uint64_t mixBits(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

BlockHash blockOf(std::uint64_t worker, std::uint64_t number) {
  return BlockHash{mixBits(worker << 40 ^ number), mixBits(number << 20 ^ worker)};
}

namespace {

std::string secretOf(int tenant) { return fmt::format("sk-{:040x}", mixBits(static_cast<std::uint64_t>(tenant))); }

std::string modelName(int model) { return fmt::format("model-{}", model + 1); }

std::string serviceName(int model) { return fmt::format("service-{}", model + 1); }

Json tenantItem(int tenant) {
  JsonObject item;
  item["secrets"] = Json(JsonArray{Json(secretOf(tenant))});
  item["priority"] = jsonNumber(tenant % 10);
  item["isolated"] = Json(tenant % 4 == 0);
  return Json(item);
}

Json routeItem(int tenant, int models) {
  JsonObject item;
  item["host"] = Json(fmt::format("tenant-{}.example", tenant));
  item["prefix"] = Json(std::string("/v1"));
  item["service"] = Json(serviceName(tenant % models));
  item["timeoutMs"] = jsonNumber(60000);
  item["aimMs"] = jsonNumber(1600);
  item["gapMs"] = jsonNumber(62);
  item["tries"] = jsonNumber(3);
  item["priority"] = jsonNumber(5);
  item["resumable"] = Json(true);
  return Json(item);
}

}  // namespace

std::string zoneName(const FleetSize& size, int zone) {
  return fmt::format("region-{}-zone-{}", zone % size.regions + 1, zone / size.regions + 1);
}

std::string firstSections(int tenants, int models) {
  JsonObject whole, tenantRows, routeRows, serviceRows;
  for (int tenant = 0; tenant < tenants; ++tenant) {
    tenantRows[fmt::format("tenant-{}", tenant)] = tenantItem(tenant);
    routeRows[fmt::format("route-{}", tenant)] = routeItem(tenant, models);
  }
  for (int model = 0; model < models; ++model) serviceRows[serviceName(model)] = Json(JsonObject());
  whole["tenants"] = Json(tenantRows);
  whole["routes"] = Json(routeRows);
  whole["services"] = Json(serviceRows);
  return Json(whole).serialize();
}

std::string modelSections(int models) {
  JsonObject whole, modelRows, weightRows;
  for (int model = 0; model < models; ++model) {
    JsonObject modelRow, weightRow;
    std::string weights = modelName(model) + "/1";
    modelRow["weights"] = Json(weights);
    weightRow["model"] = Json(modelName(model));
    modelRows[modelName(model)] = Json(modelRow);
    weightRows[weights] = Json(weightRow);
  }
  whole["models"] = Json(modelRows);
  whole["weights"] = Json(weightRows);
  return Json(whole).serialize();
}

std::string tenantChange(int tenant, int turn) {
  JsonObject whole, rows;
  Json item = tenantItem(tenant);
  item.get<JsonObject>()["priority"] = jsonNumber(turn % 10);
  item.get<JsonObject>()["at"] = Json(fmt::format("desk-{}", turn));
  rows[fmt::format("tenant-{}", tenant)] = item;
  whole["tenants"] = Json(rows);
  return Json(whole).serialize();
}

Machine machineOf(const FleetSize& size, int worker) {
  int zone = worker % size.zones, model = (worker + worker / size.zones) % size.models;
  return Machine{fmt::format("worker-{:04}", worker),
                 fmt::format("10.{}.{}.{}:8000", 100 + zone, worker / 250 % 250, worker % 250),
                 zoneName(size, zone),
                 "language",
                 false,
                 serviceName(model),
                 modelName(model),
                 modelName(model) + "/1",
                 4};
}

CellSettings platformCell() {
  CellSettings settings;
  settings.separateStatus = settings.singleLoadCommand = settings.onlySeedsBootstrap = true;
  settings.publishSummaries = false;
  settings.reportInterval = 100ms;
  settings.fullReportInterval = 8s;
  settings.reportTimeout = 1500ms;
  settings.workerTimeout = 2s;
  settings.publishInterval = 100ms;
  settings.withholdTimeout = 400ms;
  settings.rolloutSpread = 7800ms;
  return settings;
}

ProxyRouterSettings platformEdge(const std::string& name, const std::string& address, const std::string& zone,
                                 const std::string& agentAddress) {
  ProxyRouterSettings settings;
  settings.name = name;
  settings.address = address;
  settings.zone = zone;
  settings.agentAddress = agentAddress;
  settings.maxPending = 256;
  settings.fetchWithinRequest = settings.letOpenRequestsFinish = true;
  settings.routePolicy = "fetch peer when hits >= 1\nfetch store when hits >= 1";
  settings.retryBudgetRatio = 0.15;
  settings.minRetriesPerWindow = 2.9;
  settings.retryBudgetWindow = 10s;
  settings.retryBurstWindow = 2s;
  return settings;
}

void setPlatformTiming() {
  static const bool done = [] {
    timing.maxStaleness = 4s;
    timing.readerAckTimeout = 666ms;
    timing.listPollInterval = 600ms;
    timing.maxListAge = 1500ms;
    timing.commandHoldoff = 3300ms;
    timing.oldWeightsSendTimeout = 10500ms;
    timing.memberRemovalTimeout = 6s;
    timing.minVoters = 3;
    timing.feedPollInterval = 200ms;
    return true;
  }();
  (void)done;
}

CallerOrder requestOf(const FleetSize& size, std::uint64_t number) {
  int tenant = static_cast<int>(mixBits(number) % static_cast<std::uint64_t>(std::max(1, size.tenants)));
  CallerOrder order;
  order.requestId = fmt::format("order-{}", number);
  order.key = secretOf(tenant);
  order.host = fmt::format("tenant-{}.example", tenant);
  order.path = "/v1/chat";
  order.model = modelName(tenant % size.models);
  order.parts = {fmt::format("system-{}", tenant), fmt::format("document-{}", number % 64),
                 fmt::format("turn-{}", number)};
  order.partTokens = {600, 1200, 200};
  order.maxTokens = 470;
  order.deadlineMs = 60000;
  return order;
}

}  // namespace tt
