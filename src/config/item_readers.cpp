#include "item_readers.hpp"

#include <algorithm>
#include <limits>

namespace tt {
namespace {

/// A span in milliseconds; no clock reaches further than the most.
Duration spanOr(const Json& item, const std::string& name, std::int64_t fallbackMs) {
  constexpr std::int64_t mostMs = 1000000000000;
  return std::chrono::milliseconds(std::clamp(integerOr(item, name, fallbackMs), -mostMs, mostMs));
}

std::size_t bytesOr(const Json& item, const std::string& name, std::int64_t fallback) {
  return static_cast<std::size_t>(std::max<std::int64_t>(0, integerOr(item, name, fallback)));
}

/// A figure that may have a fraction; 0 where there is none, or none that can be meant.
double figureOr(const Json& item, const std::string& name) {
  constexpr double most = 1e15;
  if (!item.is<JsonObject>() || !item.contains(name) || !item.get(name).is<double>()) return 0;
  double figure = item.get(name).get<double>();
  return figure > 0 && figure < most ? figure : 0;
}

int intOr(const Json& item, const std::string& name, int fallback) {
  constexpr std::int64_t least = std::numeric_limits<int>::min(), most = std::numeric_limits<int>::max();
  return static_cast<int>(std::clamp(integerOr(item, name, fallback), least, most));
}

/// The elements of a list field; none if the item has no such list.
const JsonArray& listOf(const Json& item, const std::string& name) {
  static const JsonArray none;
  const auto& fields = item.get<JsonObject>();
  auto found = fields.find(name);
  return found != fields.end() && found->second.is<JsonArray>() ? found->second.get<JsonArray>() : none;
}

RetryMode readRepeat(const Json& item) {
  std::string repeat = stringOr(item, "repeat");
  if (repeat == "safe") return RetryMode::safe;
  if (repeat == "stream") return RetryMode::stream;
  return RetryMode::once;
}

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
  const Json& figures = service.kind == ServiceKind::engine ? item.get("engine") : item;
  service.tokenBytes = figureOr(figures, "tokenBytes");
  service.linkMbps = figureOr(figures, "linkMbps");
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
  for (const auto& tenant : listOf(item, "tenants")) route.tenants.insert(tenant.to_str());
  route.split = readSplit(item);
  route.repeat = readRepeat(item);
  route.timeout = spanOr(item, "timeoutMs", 0);
  route.targetLatency = spanOr(item, "aimMs", 0);
  route.gap = spanOr(item, "gapMs", 0);
  route.tries = intOr(item, "tries", 0);
  route.priority = intOr(item, "priority", 5);
  route.open = boolOr(item, "open", false);
  route.resumable = boolOr(item, "resumable", false);
  return route;
}

CallerLimits readCallerLimits(const Json& item) {
  CallerLimits limits;
  limits.maxHeaderBytes = bytesOr(item, "headerBytes", 16384);
  limits.maxBodyBytes = bytesOr(item, "bodyBytes", 4 << 20);
  limits.headerTimeout = std::max(Duration(0), spanOr(item, "headerMs", 3000));
  limits.idleTimeout = std::max(Duration(0), spanOr(item, "idleMs", 15000));
  return limits;
}

Strings readSecrets(const Json& item) {
  Strings secrets;
  for (const auto& secret : listOf(item, "secrets")) secrets.push_back(secret.to_str());
  return secrets;
}

}  // namespace tt
