#include "item_readers.hpp"

#include <algorithm>
#include <limits>

namespace tt {
namespace {

/// Reads a number of milliseconds. It is limited to 10^12 (31 years), as a much longer time does not fit into a
/// Duration, which counts nanoseconds.
Duration durationOr(const Json& item, const std::string& name, std::int64_t fallbackMs) {
  constexpr std::int64_t maxMs = 1000000000000;
  return std::chrono::milliseconds(std::clamp(integerOr(item, name, fallbackMs), -maxMs, maxMs));
}

std::size_t bytesOr(const Json& item, const std::string& name, std::int64_t fallback) {
  return static_cast<std::size_t>(std::max<std::int64_t>(0, integerOr(item, name, fallback)));
}

/// Reads a positive number below 10^15, which may have a fraction; anything else gives 0.
double positiveNumberOr0(const Json& item, const std::string& name) {
  constexpr double limit = 1e15;
  if (!item.is<JsonObject>() || !item.contains(name) || !item.get(name).is<double>()) return 0;
  double number = item.get(name).get<double>();
  return number > 0 && number < limit ? number : 0;
}

int intOr(const Json& item, const std::string& name, int fallback) {
  constexpr std::int64_t min = std::numeric_limits<int>::min(), max = std::numeric_limits<int>::max();
  return static_cast<int>(std::clamp(integerOr(item, name, fallback), min, max));
}

/// Returns the elements of a list field, or an empty list if there is no such field. The item must be an object.
const JsonArray& listOf(const Json& item, const std::string& name) {
  static const JsonArray none;
  const auto& fields = item.get<JsonObject>();
  auto found = fields.find(name);
  return found != fields.end() && found->second.is<JsonArray>() ? found->second.get<JsonArray>() : none;
}

RetryMode readRetryMode(const Json& item) {
  std::string repeat = stringOr(item, "repeat");
  if (repeat == "safe") return RetryMode::safe;
  if (repeat == "stream") return RetryMode::stream;
  return RetryMode::once;
}

/// Reads the services of a route, which are a single one, a list with weights, or both.
std::vector<std::pair<std::string, double>> readSplit(const Json& item) {
  std::vector<std::pair<std::string, double>> split;
  if (auto service = stringOr(item, "service"); !service.empty()) split.emplace_back(service, 1);
  for (const auto& row : listOf(item, "split"))
    split.emplace_back(stringOr(row, "service"), static_cast<double>(integerOr(row, "weight", 0)));
  return split;
}

}  // namespace

std::string normalizedPrefix(const std::string& prefix) {
  return prefix.empty() || prefix.back() == '/' ? prefix : prefix + "/";
}

ServiceView readService(const Json& item) {
  ServiceView service;
  if (!stringOr(item, "storeAddress").empty()) {
    service.kind = ServiceKind::store;
  } else if (item.contains("engine") && item.get("engine").is<JsonObject>()) {
    service.kind = ServiceKind::engine;
  }
  const Json& capacity = service.kind == ServiceKind::engine ? item.get("engine") : item;
  service.tokenBytes = positiveNumberOr0(capacity, "tokenBytes");
  service.linkMbps = positiveNumberOr0(capacity, "linkMbps");
  return service;
}

RouteView readRoute(const std::string& name, const Json& item) {
  RouteView route;
  route.name = name;
  route.model = stringOr(item, "model");
  route.app = stringOr(item, "kind") == "app";
  route.policy = stringOr(item, "policy");
  route.host = stringOr(item, "host");
  route.prefix = normalizedPrefix(stringOr(item, "prefix"));
  if (item.contains("tenants")) {
    route.tenants.emplace();
    for (const auto& tenant : listOf(item, "tenants")) route.tenants->insert(tenant.to_str());
  }
  route.split = readSplit(item);
  route.repeat = readRetryMode(item);
  route.timeout = durationOr(item, "timeoutMs", 0);
  route.targetLatency = durationOr(item, "aimMs", 0);
  route.gap = durationOr(item, "gapMs", 0);
  route.tries = intOr(item, "tries", 0);
  route.priority = intOr(item, "priority", 5);
  route.open = boolOr(item, "open", false);
  route.resumable = boolOr(item, "resumable", false);
  return route;
}

ClientLimits readClientLimits(const Json& item) {
  ClientLimits limits;
  limits.maxHeaderBytes = bytesOr(item, "headerBytes", 16384);
  limits.maxBodyBytes = bytesOr(item, "bodyBytes", 4 << 20);
  limits.headerTimeout = std::max(Duration(0), durationOr(item, "headerMs", 3000));
  limits.idleTimeout = std::max(Duration(0), durationOr(item, "idleMs", 15000));
  return limits;
}

Strings readSecrets(const Json& item) {
  Strings secrets;
  for (const auto& secret : listOf(item, "secrets")) secrets.push_back(secret.to_str());
  return secrets;
}

}  // namespace tt
