#include "operators.hpp"

#include "configuration.hpp"

namespace tt {
namespace {
constexpr const char* watchedSections[] = {"routes", "keys"};

std::string watchedItem(const std::string& section, const Json& item) {
  if (section != "keys" || !item.is<JsonObject>()) return item.serialize();
  return Json(JsonObject{{"tenant", Json(stringOr(item, "tenant"))}}).serialize();
}
}  // namespace

std::size_t OperatorHistory::begin(Operation operation) {
  history.operations.push_back(std::move(operation));
  return history.operations.size() - 1;
}

void OperatorHistory::end(std::size_t at, std::int64_t when, const OperatorResponse& response) {
  auto& operation = history.operations[at];
  auto outcome = outcomeOf(static_cast<Code>(response.code));
  if (operation.outcome != OperationOutcome::unclear || outcome == OperationOutcome::unclear) return;
  operation.outcome = outcome;
  operation.ended = when;
  if (outcome == OperationOutcome::taken && operation.kind == OperationKind::change)
    operation.resultRevision = response.revision;
}

void OperatorHistory::addRead(std::int64_t began, std::int64_t ended, const std::string& core, std::uint64_t revision,
                              std::optional<std::uint64_t> digest) {
  Operation read;
  read.client = "reader";
  read.through = core;
  read.kind = OperationKind::readConfiguration;
  read.began = began;
  read.ended = ended;
  read.outcome = OperationOutcome::seen;
  read.resultRevision = revision;
  read.resultDigest = digest;
  history.operations.push_back(std::move(read));
}

void OperatorHistory::addWeightsRead(std::int64_t began, std::int64_t ended, const std::string& core,
                                     const std::string& model, std::uint64_t revision) {
  addRead(began, ended, core, revision, std::nullopt);
  history.operations.back().kind = OperationKind::readWeights;
  history.operations.back().model = model;
}

OperationOutcome outcomeOf(Code code) {
  switch (code) {
    case Code::changeTaken:
      return OperationOutcome::taken;
    case Code::staleRevision:
    case Code::revisionOld:
      return OperationOutcome::refusedStale;
    case Code::badJson:
    case Code::unknownField:
    case Code::badField:
    case Code::missingField:
    case Code::blueprintBad:
    case Code::blueprintLarge:
      return OperationOutcome::refusedInvalid;
    default:
      return OperationOutcome::unclear;
  }
}

Operation operationOf(const OperatorRequest& request) {
  Operation operation;
  operation.kind = OperationKind::change;
  operation.changeId = request.changeId;
  if (request.ifRevision >= 0) operation.base = static_cast<std::uint64_t>(request.ifRevision);
  if (request.toRevision > 0) operation.revision = static_cast<std::uint64_t>(request.toRevision);
  operation.complete = request.complete;
  auto body = parseJson(request.body);
  if (!body || !body.value().is<JsonObject>()) return operation;
  for (const char* section : watchedSections) {
    const auto& sections = body.value().get<JsonObject>();
    auto found = sections.find(section);
    if (found == sections.end() || !found->second.is<JsonObject>()) continue;
    for (const auto& [name, item] : found->second.get<JsonObject>()) {
      ItemChange change{std::string(section) + "." + name, std::nullopt};
      if (!item.is<picojson::null>()) change.value = watchedItem(section, item);
      operation.items.push_back(std::move(change));
    }
  }
  return operation;
}

RegisterItems trackedItems(const Configuration& configuration) {
  JsonObject sections;
  for (const char* name : watchedSections)
    if (const auto* section = configuration.findSection(name)) sections[name] = Json(*section);
  return trackedItems(sections);
}

RegisterItems trackedItems(const JsonObject& sections) {
  RegisterItems items;
  for (const char* name : watchedSections) {
    auto section = sections.find(name);
    if (section == sections.end() || !section->second.is<JsonObject>()) continue;
    for (const auto& [itemName, item] : section->second.get<JsonObject>())
      items[std::string(name) + "." + itemName] = watchedItem(name, item);
  }
  return items;
}

std::uint64_t weightsNumber(const std::string& weights) {
  auto slash = weights.rfind('/');
  return slash == std::string::npos ? 0 : std::strtoull(weights.c_str() + slash + 1, nullptr, 10);
}

}  // namespace tt
