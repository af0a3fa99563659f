#include "json_bodies.hpp"

#include <algorithm>
#include <limits>

namespace tt {
namespace {
Json hashArray(const Hashes& hashes) {
  JsonArray array;
  for (const auto& hash : hashes) array.push_back(Json(hash.hex()));
  return Json(array);
}
Json stringArray(const Strings& texts) {
  JsonArray array;
  for (const auto& text : texts) array.push_back(Json(text));
  return Json(array);
}
Json number(double value) { return Json(value); }
/// Reads an integer field as an int. Values out of range are clamped.
int intOr(const Json& object, const std::string& name, int fallback) {
  constexpr std::int64_t minInt = std::numeric_limits<int>::min(), maxInt = std::numeric_limits<int>::max();
  return static_cast<int>(std::clamp(integerOr(object, name, fallback), minInt, maxInt));
}
/// Reads an integer field as a count. Negative values become 0.
Uint64 countOr(const Json& object, const std::string& name) {
  return static_cast<Uint64>(std::max<std::int64_t>(0, integerOr(object, name, 0)));
}
Result<Hashes> readHashes(const JsonObject& object, const std::string& name) {
  if (!object.count(name)) return Hashes{};
  auto texts = stringListField(object, name);
  if (!texts) return texts.error();
  Hashes hashes;
  for (const auto& text : texts.value()) {
    auto hash = BlockHash::parse(text);
    if (!hash) return makeError(Code::badField, name, "a hash is 32 hexadecimal digits");
    hashes.push_back(*hash);
  }
  return hashes;
}
Result<JsonObject> parseAnyObject(const std::string& text) {
  auto value = parseJson(text);
  if (!value) return value.error();
  if (!value.value().is<JsonObject>()) return makeError(Code::badField, "body", "must be an object");
  return value.value().get<JsonObject>();
}
}  // namespace

std::string writeWorkerOrder(const WorkerOrder& order) {
  JsonObject body;
  body["order_id"] = Json(order.requestId);
  body["model"] = Json(order.model);
  body["weights"] = Json(order.weights);
  body["cache_salt"] = Json(order.cacheSalt);
  body["parts"] = stringArray(order.parts);
  body["block_hashes"] = hashArray(order.hashes);
  body["max_tokens"] = number(order.maxTokens);
  body["tenant"] = Json(order.tenant);
  if (order.app) body["app"] = Json(true);
  if (order.transferOnly) body["move"] = Json(true);
  JsonObject params;
  if (!order.params.empty())
    if (auto userParams = parseJson(order.params); userParams && userParams.value().is<JsonObject>())
      params = userParams.value().get<JsonObject>();
  if (!order.sourceAddress.empty()) {
    auto colon = order.sourceAddress.rfind(':');
    JsonObject source;
    source["kv_request_id"] = Json(order.transferId);
    source["remote_host"] = Json(order.sourceAddress.substr(0, colon));
    source["remote_port"] = number(std::atoi(order.sourceAddress.c_str() + colon + 1));
    params["remote_kv_source"] = Json(source);
  }
  if (!params.empty()) body["kv_transfer_params"] = Json(params);
  return Json(body).serialize();
}

Result<WorkerOrder> readWorkerOrder(const std::string& text) {
  auto parsed = parseObject(text, {"order_id", "model", "weights", "cache_salt", "parts", "block_hashes", "max_tokens",
                                   "tenant", "app", "move", "kv_transfer_params"});
  if (!parsed) return parsed.error();
  const auto& body = parsed.value();
  WorkerOrder order;
  auto id = stringField(body, "order_id");
  if (!id) return id.error();
  order.requestId = id.value();
  Json object(body);
  order.model = stringOr(object, "model");
  order.weights = stringOr(object, "weights");
  order.cacheSalt = stringOr(object, "cache_salt");
  order.tenant = stringOr(object, "tenant");
  auto parts = stringListField(body, "parts");
  if (!parts) return parts.error();
  order.parts = parts.value();
  auto hashes = readHashes(body, "block_hashes");
  if (!hashes) return hashes.error();
  order.hashes = hashes.value();
  auto tokens = integerField(body, "max_tokens", 16, 0, 100000);
  if (!tokens) return tokens.error();
  order.maxTokens = static_cast<int>(tokens.value());
  order.app = boolOr(object, "app", false);
  order.transferOnly = boolOr(object, "move", false);
  if (auto params = body.find("kv_transfer_params"); params != body.end() && params->second.is<JsonObject>()) {
    const auto& rows = params->second.get<JsonObject>();
    if (auto source = rows.find("remote_kv_source"); source != rows.end()) {
      order.transferId = stringOr(source->second, "kv_request_id");
      order.sourceAddress =
          stringOr(source->second, "remote_host") + ":" + std::to_string(integerOr(source->second, "remote_port", 0));
    }
  }
  return order;
}

std::string writeWorkerChunk(const WorkerChunk& chunk) {
  JsonObject body;
  body["token"] = Json(chunk.text);
  return Json(body).serialize();
}

std::string writeWorkerEnd(const WorkerEnd& end) {
  static const char* outcomeNames[] = {"done", "denied", "unsent", "broken", "failed", "silent"};
  JsonObject body;
  body["end"] = Json(std::string(outcomeNames[end.outcome]));
  body["code"] = number(end.code);
  body["local"] = number(end.local);
  body["fetched"] = number(end.fetched);
  body["computed"] = number(end.computed);
  return Json(body).serialize();
}

std::variant<std::monostate, WorkerChunk, WorkerEnd> readWorkerLine(const std::string& requestId,
                                                                    const std::string& line) {
  auto parsed = parseJson(line);
  if (!parsed || !parsed.value().is<JsonObject>()) return std::monostate{};
  const auto& body = parsed.value();
  std::string end = stringOr(body, "end");
  if (end.empty()) {
    if (!body.get<JsonObject>().count("token")) return std::monostate{};
    return WorkerChunk{requestId, stringOr(body, "token")};
  }
  AttemptOutcome outcome = end == "done"     ? AttemptOutcome::done
                           : end == "denied" ? AttemptOutcome::denied
                           : end == "broken" ? AttemptOutcome::broken
                                             : AttemptOutcome::failed;
  return WorkerEnd{requestId,
                   static_cast<int>(outcome),
                   intOr(body, "code", 0),
                   intOr(body, "local", 0),
                   intOr(body, "fetched", 0),
                   intOr(body, "computed", 0)};
}

std::string writeReport(const Report& report) {
  JsonObject body;
  body["worker"] = Json(report.worker);
  body["incarnation"] = Json(report.incarnation);
  body["weights"] = Json(report.weights);
  body["model"] = Json(report.model);
  body["running"] = number(report.running);
  body["slots"] = number(report.slots);
  body["sequence"] = number(static_cast<double>(report.sequence));
  body["draining"] = Json(report.draining);
  body["term"] = number(static_cast<double>(report.term));
  body["whole"] = Json(report.complete);
  if (report.complete) {
    body["kept"] = hashArray(report.cachedBlocks);
  } else {
    JsonArray events;
    static const char* kinds[] = {"stored", "removed", "cleared"};
    for (const auto& event : report.events) {
      JsonObject row;
      row["sequence"] = number(static_cast<double>(event.sequence));
      row["kind"] = Json(std::string(kinds[event.kind]));
      row["hashes"] = hashArray(event.hashes);
      events.push_back(Json(row));
    }
    body["events"] = Json(events);
  }
  return Json(body).serialize();
}

Result<Report> readReport(const std::string& text) {
  auto parsed = parseAnyObject(text);
  if (!parsed) return parsed.error();
  const auto& body = parsed.value();
  Json object(body);
  Report report;
  auto worker = stringField(body, "worker");
  if (!worker) return worker.error();
  report.worker = worker.value();
  report.incarnation = stringOr(object, "incarnation");
  report.weights = stringOr(object, "weights");
  report.model = stringOr(object, "model");
  report.running = intOr(object, "running", 0);
  report.slots = intOr(object, "slots", 0);
  report.sequence = countOr(object, "sequence");
  report.term = countOr(object, "term");
  report.draining = boolOr(object, "draining", false);
  report.complete = boolOr(object, "whole", false);
  auto cachedBlocks = readHashes(body, "kept");
  if (!cachedBlocks) return cachedBlocks.error();
  report.cachedBlocks = cachedBlocks.value();
  if (auto events = body.find("events"); events != body.end() && events->second.is<JsonArray>())
    for (const auto& row : events->second.get<JsonArray>()) {
      if (!row.is<JsonObject>()) return makeError(Code::badField, "events");
      CacheEvent event;
      event.sequence = countOr(row, "sequence");
      std::string kind = stringOr(row, "kind");
      if (kind != "stored" && kind != "removed" && kind != "cleared") return makeError(Code::badField, "events.kind");
      event.kind = static_cast<int>(kind == "stored"    ? CacheEventKind::stored
                                    : kind == "removed" ? CacheEventKind::removed
                                                        : CacheEventKind::cleared);
      auto hashes = readHashes(row.get<JsonObject>(), "hashes");
      if (!hashes) return hashes.error();
      event.hashes = hashes.value();
      report.events.push_back(std::move(event));
    }
  return report;
}

std::string writeControl(const ControlAsk& ask) {
  JsonObject body;
  body["term"] = number(static_cast<double>(ask.term));
  body["holder"] = Json(ask.holder);
  body["action"] = Json(ask.action);
  body["model"] = Json(ask.model);
  body["weights"] = Json(ask.weights);
  body["incarnation"] = Json(ask.incarnation);
  return Json(body).serialize();
}
Result<ControlAsk> readControl(const std::string& text) {
  auto parsed = parseObject(text, {"term", "holder", "action", "model", "weights", "incarnation"});
  if (!parsed) return parsed.error();
  const auto& body = parsed.value();
  auto term = integerField(body, "term", 0, 0, 1LL << 52);
  if (!term) return term.error();
  auto action = stringField(body, "action");
  if (!action) return action.error();
  if (action.value() != "drain" && action.value() != "load" && action.value() != "admit")
    return makeError(Code::badField, "action", "must be drain, load or admit");
  Json object(body);
  return ControlAsk{static_cast<Uint64>(term.value()), stringOr(object, "holder"),  action.value(),
                    stringOr(object, "model"),         stringOr(object, "weights"), stringOr(object, "incarnation")};
}
std::string writeControlReply(const ControlReply& reply) {
  JsonObject body;
  body["worker"] = Json(reply.worker);
  body["term"] = number(static_cast<double>(reply.term));
  body["code"] = number(reply.code);
  return Json(body).serialize();
}
Result<ControlReply> readControlReply(const std::string& text) {
  auto parsed = parseAnyObject(text);
  if (!parsed) return parsed.error();
  Json object(parsed.value());
  return ControlReply{stringOr(object, "worker"), countOr(object, "term"), intOr(object, "code", 0)};
}

std::string writeBlocks(const Hashes& hashes, const Strings& origins) {
  JsonObject body;
  body["hashes"] = hashArray(hashes);
  body["origins"] = stringArray(origins);
  return Json(body).serialize();
}
Result<StoreMsg> readBlocks(const std::string& text) {
  auto parsed = parseObject(text, {"hashes", "origins"});
  if (!parsed) return parsed.error();
  auto hashes = readHashes(parsed.value(), "hashes");
  if (!hashes) return hashes.error();
  StoreMsg message{hashes.value(), {}};
  if (parsed.value().count("origins")) {
    auto origins = stringListField(parsed.value(), "origins");
    if (!origins) return origins.error();
    message.origins = origins.value();
  }
  return message;
}

std::string writeMachines(const MachinesReply& reply) {
  JsonObject body;
  JsonArray rows;
  for (const auto& machine : reply.machines) {
    JsonObject row;
    row["name"] = Json(machine.name);
    row["address"] = Json(machine.address);
    row["locality"] = Json(machine.zone);
    row["kind"] = Json(machine.kind);
    row["leaving"] = Json(machine.leaving);
    rows.push_back(Json(row));
  }
  body["machines"] = Json(rows);
  return Json(body).serialize();
}
Result<Machine> readMachine(const Json& value) {
  if (!value.is<JsonObject>()) return makeError(Code::badField, "machines");
  Machine machine;
  for (auto [name, field] : std::initializer_list<std::pair<const char*, std::string*>>{{"name", &machine.name},
                                                                                        {"address", &machine.address},
                                                                                        {"locality", &machine.zone},
                                                                                        {"kind", &machine.kind}}) {
    auto text = stringField(value.get<JsonObject>(), name, "machines");
    if (!text) return text.error();
    *field = text.value();
  }
  if (machine.kind != "language" && machine.kind != "app" && machine.kind != "store")
    return makeError(Code::badField, "machines.kind", "must be language, app or store");
  machine.leaving = boolOr(value, "leaving", false);
  return machine;
}
Result<MachinesReply> readMachines(const std::string& text) {
  auto parsed = parseAnyObject(text);
  if (!parsed) return parsed.error();
  MachinesReply reply;
  auto rows = parsed.value().find("machines");
  if (rows == parsed.value().end() || !rows->second.is<JsonArray>()) return makeError(Code::missingField, "machines");
  for (const auto& row : rows->second.get<JsonArray>()) {
    auto machine = readMachine(row);
    if (!machine) return machine.error();
    reply.machines.push_back(machine.value());
  }
  return reply;
}

Result<CallerOrder> readCallerOrder(const std::string& text) {
  if (text.size() > maxCallerBodyBytes)
    return makeError(Code::tooLarge, "body", "the body exceeds " + std::to_string(maxCallerBodyBytes) + " bytes");
  auto parsed =
      parseObject(text, {"route", "model", "parts", "repeatable", "maxTokens", "tenant", "kv_transfer_params"});
  if (!parsed) return parsed.error();
  const auto& body = parsed.value();
  CallerOrder order;
  auto route = stringField(body, "route");
  if (!route) return route.error();
  order.route = route.value();
  auto model = stringField(body, "model");
  if (!model) return model.error();
  order.model = model.value();
  auto parts = stringListField(body, "parts");
  if (!parts) return parts.error();
  if (parts.value().empty()) return makeError(Code::badField, "parts", "must not be empty");
  order.parts = parts.value();
  auto repeatable = boolField(body, "repeatable", false);
  if (!repeatable) return repeatable.error();
  order.repeatable = repeatable.value();
  auto tokens = integerField(body, "maxTokens", 16, 1, 4096);
  if (!tokens) return tokens.error();
  order.maxTokens = static_cast<int>(tokens.value());
  if (body.count("tenant")) {
    auto tenant = stringField(body, "tenant");
    if (!tenant) return tenant.error();
    order.tenant = tenant.value();
  }
  if (auto params = body.find("kv_transfer_params"); params != body.end()) {
    if (!params->second.is<JsonObject>()) return makeError(Code::badField, "kv_transfer_params", "must be an object");
    for (const auto& [name, value] : params->second.get<JsonObject>()) {
      order.modes.push_back(name);
      if (!value.is<JsonObject>()) return makeError(Code::badField, "kv_transfer_params." + name, "must be an object");
      auto id = stringField(value.get<JsonObject>(), "kv_request_id", "kv_transfer_params." + name);
      if (!id) return id.error();
    }
    order.params = params->second.serialize();
  }
  return order;
}

std::string writeVerdict(const CallerVerdict& verdict) {
  JsonObject body;
  body["verdict"] = Json(verdict.verdict);
  body["orderId"] = Json(verdict.requestId);
  body["code"] = number(verdict.code);
  body["name"] = Json(std::string(codeName(static_cast<Code>(verdict.code))));
  body["text"] = Json(verdict.text);
  if (!verdict.subject.empty()) body["field"] = Json(verdict.subject);
  if (verdict.retryAfterMs) body["retryAfterMs"] = number(verdict.retryAfterMs);
  body["tries"] = number(verdict.tries);
  if (!verdict.worker.empty()) {
    body["worker"] = Json(verdict.worker);
    JsonObject blocks;
    blocks["local"] = number(verdict.local);
    blocks["fetched"] = number(verdict.fetched);
    blocks["computed"] = number(verdict.computed);
    body["blocks"] = Json(blocks);
  }
  return Json(body).serialize();
}
std::string writeChunk(const CallerChunk& chunk) {
  JsonObject body;
  body["text"] = Json(chunk.text);
  return Json(body).serialize();
}

}  // namespace tt
