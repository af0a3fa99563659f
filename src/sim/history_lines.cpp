#include "history_lines.hpp"

namespace tt {
namespace {
constexpr const char* kindNames[] = {"change", "nameWeights", "read", "readWeights"};
constexpr const char* outcomeNames[] = {"unclear", "taken", "refusedStale", "refusedInvalid", "seen"};
constexpr std::int64_t mostRevision = std::int64_t(1) << 53;

template <typename Kind, std::size_t count>
std::optional<Kind> namedIn(const char* const (&names)[count], const std::string& name) {
  for (std::size_t at = 0; at < count; ++at)
    if (name == names[at]) return static_cast<Kind>(at);
  return std::nullopt;
}

Json jsonOfItems(const std::vector<ItemChange>& items) {
  JsonArray rows;
  for (const auto& item : items) {
    JsonObject row{{"name", Json(item.name)}};
    if (item.value) row["value"] = Json(*item.value);
    rows.emplace_back(row);
  }
  return Json(rows);
}

Result<std::vector<ItemChange>> itemsOf(const Json& list) {
  std::vector<ItemChange> items;
  if (!list.is<JsonArray>()) return makeError(Code::badField, "items", "must be a list");
  for (const auto& row : list.get<JsonArray>()) {
    if (!row.is<JsonObject>()) return makeError(Code::badField, "items", "must hold objects");
    const auto& fields = row.get<JsonObject>();
    auto name = stringField(fields, "name", "items");
    if (!name) return name.error();
    ItemChange item{name.value(), std::nullopt};
    if (fields.count("value")) {
      auto value = stringField(fields, "value", "items");
      if (!value) return value.error();
      item.value = value.value();
    }
    items.push_back(std::move(item));
  }
  return items;
}

Result<std::int64_t> momentField(const JsonObject& fields, const std::string& name) {
  auto text = stringField(fields, name);
  if (!text) return text.error();
  if (text.value().empty() || text.value().find_first_not_of("0123456789") != std::string::npos ||
      text.value().size() > 18)
    return makeError(Code::badField, name, "must be nanoseconds in digits");
  return static_cast<std::int64_t>(std::stoll(text.value()));
}

Result<void> readInitial(History& history, const JsonObject& fields) {
  auto revision = integerField(fields, "revision", 0, 0, mostRevision);
  if (!revision) return revision.error();
  history.initialRevision = static_cast<std::uint64_t>(revision.value());
  auto found = fields.find("items");
  if (found == fields.end()) return makeError(Code::missingField, "items");
  auto items = itemsOf(found->second);
  if (!items) return items.error();
  for (const auto& item : items.value())
    if (item.value) history.initialItems[item.name] = *item.value;
  return boost::outcome_v2::success();
}

Result<Operation> readOperation(const JsonObject& fields) {
  Operation operation;
  auto kind = stringField(fields, "kind"), outcome = stringField(fields, "outcome"),
       client = stringField(fields, "client");
  if (!kind) return kind.error();
  if (!outcome) return outcome.error();
  if (!client) return client.error();
  auto knownKind = namedIn<OperationKind>(kindNames, kind.value());
  auto knownOutcome = namedIn<OperationOutcome>(outcomeNames, outcome.value());
  if (!knownKind) return makeError(Code::badField, "kind");
  if (!knownOutcome) return makeError(Code::badField, "outcome");
  operation.kind = *knownKind;
  operation.outcome = *knownOutcome;
  operation.client = client.value();
  operation.through = stringOr(Json(fields), "through");
  operation.changeId = stringOr(Json(fields), "changeId");
  operation.model = stringOr(Json(fields), "model");
  auto began = momentField(fields, "began");
  if (!began) return began.error();
  operation.began = began.value();
  if (fields.count("ended")) {
    auto ended = momentField(fields, "ended");
    if (!ended) return ended.error();
    operation.ended = ended.value();
  }
  if (operation.outcome != OperationOutcome::unclear && !operation.ended) return makeError(Code::missingField, "ended");
  for (auto [name, target] : {std::pair{"revision", &operation.revision}, {"seen", &operation.resultRevision}}) {
    auto number = integerField(fields, name, 0, 0, mostRevision);
    if (!number) return number.error();
    *target = static_cast<std::uint64_t>(number.value());
  }
  if (fields.count("base")) {
    auto base = integerField(fields, "base", 0, 0, mostRevision);
    if (!base) return base.error();
    operation.base = static_cast<std::uint64_t>(base.value());
  }
  for (auto [name, target] : {std::pair{"whole", &operation.complete}}) {
    auto flag = boolField(fields, name, false);
    if (!flag) return flag.error();
    *target = flag.value();
  }
  if (fields.count("valid")) {
    auto valid = boolField(fields, "valid", true);
    if (!valid) return valid.error();
    operation.valid = valid.value();
  }
  if (fields.count("digest")) {
    auto digest = stringField(fields, "digest");
    if (!digest) return digest.error();
    operation.resultDigest = std::strtoull(digest.value().c_str(), nullptr, 10);
  }
  if (auto found = fields.find("items"); found != fields.end()) {
    auto items = itemsOf(found->second);
    if (!items) return items.error();
    operation.items = std::move(items.value());
  }
  return operation;
}
}  // namespace

std::string writeOperation(const Operation& operation) {
  JsonObject fields{{"kind", Json(kindNames[static_cast<int>(operation.kind)])},
                    {"outcome", Json(outcomeNames[static_cast<int>(operation.outcome)])},
                    {"client", Json(operation.client)},
                    {"began", Json(std::to_string(operation.began))}};
  auto addText = [&](const char* name, const std::string& text) {
    if (!text.empty()) fields[name] = Json(text);
  };
  auto addNumber = [&](const char* name, std::uint64_t number) {
    if (number) fields[name] = Json(static_cast<double>(number));
  };
  addText("through", operation.through);
  addText("changeId", operation.changeId);
  addText("model", operation.model);
  addNumber("revision", operation.revision);
  addNumber("seen", operation.resultRevision);
  if (operation.ended) fields["ended"] = Json(std::to_string(*operation.ended));
  if (operation.base) fields["base"] = Json(static_cast<double>(*operation.base));
  if (operation.complete) fields["whole"] = Json(true);
  if (operation.valid) fields["valid"] = Json(*operation.valid);
  if (operation.resultDigest) fields["digest"] = Json(std::to_string(*operation.resultDigest));
  if (!operation.items.empty()) fields["items"] = jsonOfItems(operation.items);
  return Json(fields).serialize();
}

std::string writeInitial(std::uint64_t revision, const RegisterItems& items) {
  std::vector<ItemChange> rows;
  for (const auto& [name, value] : items) rows.push_back(ItemChange{name, value});
  return Json(JsonObject{{"kind", Json("initial")},
                         {"revision", Json(static_cast<double>(revision))},
                         {"items", jsonOfItems(rows)}})
      .serialize();
}

Result<History> readHistory(const std::vector<std::string>& lines) {
  History history;
  for (std::size_t at = 0; at < lines.size(); ++at) {
    std::string place = "line " + std::to_string(at + 1);
    auto read = parseJson(lines[at]);
    if (!read || !read.value().is<JsonObject>()) return makeError(Code::badJson, place, "is no JSON object");
    const auto& fields = read.value().get<JsonObject>();
    if (stringOr(read.value(), "kind") == "initial") {
      if (auto done = readInitial(history, fields); !done)
        return makeError(done.error().code, place + " " + done.error().subject, done.error().text);
      continue;
    }
    auto operation = readOperation(fields);
    if (!operation)
      return makeError(operation.error().code, place + " " + operation.error().subject, operation.error().text);
    history.operations.push_back(std::move(operation.value()));
  }
  return history;
}

}  // namespace tt
