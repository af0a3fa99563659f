#include "patch_shape.hpp"

namespace tt {
namespace {

const std::set<std::string> sectionNames{"models",   "weights",  "tenants", "keys", "routes",
                                         "policies", "services", "limits",  "extra"};
/// Sections whose items may have any fields.
const std::set<std::string> freeSections{"limits", "extra"};
const std::map<std::string, std::set<std::string>> itemFields{
    {"models", {"weights"}},
    {"weights", {"model", "number"}},
    {"tenants", {"isolated", "at", "secrets", "priority", "extra"}},
    {"keys", {"tenant", "hash", "secret"}},
    {"routes",
     {"model", "kind", "tenants", "policy", "at", "host", "prefix", "repeat", "timeoutMs", "aimMs", "priority", "tries",
      "gapMs", "open", "sticky", "resumable", "service", "split", "extra"}},
    {"services",
     {"at", "healthPath", "connections", "protocol", "tls", "engine", "storeAddress", "locality", "tokens", "linkMbps",
      "reports", "extra"}},
};
constexpr std::size_t maxNameBytes = 128;
constexpr std::size_t minSecretBytes = 8;

/// Returns the merge patch that turns one value into another, or nothing if they are equal.
std::optional<Json> differenceOf(const Json& old, const Json& wanted) {
  if (old == wanted) return std::nullopt;
  if (!old.is<JsonObject>() || !wanted.is<JsonObject>()) return wanted;
  JsonObject changes;
  for (const auto& [name, value] : wanted.get<JsonObject>()) {
    const auto& known = old.get<JsonObject>();
    auto found = known.find(name);
    if (found == known.end()) {
      changes[name] = value;
    } else if (auto difference = differenceOf(found->second, value)) {
      changes[name] = *difference;
    }
  }
  for (const auto& [name, value] : old.get<JsonObject>())
    if (!wanted.get<JsonObject>().count(name)) changes[name] = Json();
  return Json(changes);
}

/// Returns a patch of one section that removes all its items.
Json removalOfAll(const JsonObject& items) {
  JsonObject removal;
  for (const auto& [name, item] : items) removal[name] = Json();
  return Json(removal);
}

/// Replaces null in place of a section by the removal of its items. For a section that is not declared there is nothing
/// to remove.
void replaceNullSections(JsonObject& patch, const Sections& sections) {
  for (auto row = patch.begin(); row != patch.end();) {
    bool isNull = row->second.is<picojson::null>();
    auto declared = sections.find(row->first);
    if (isNull && declared == sections.end()) {
      row = patch.erase(row);
      continue;
    }
    if (isNull) row->second = removalOfAll(declared->second);
    ++row;
  }
}

/// Replaces the secret of a key by its hash, because the log must not contain secrets.
Result<void> hashSecret(JsonObject& fields, const std::string& path) {
  if (!fields.count("secret")) return boost::outcome_v2::success();
  if (fields.count("hash")) return makeError(Code::badField, path + ".hash", "not allowed together with a secret");
  auto secret = stringField(fields, "secret", path);
  if (!secret) return secret.error();
  if (secret.value().size() < minSecretBytes)
    return makeError(Code::badField, path + ".secret", "must have at least 8 bytes");
  fields["hash"] = Json(sha256Hex(secret.value()));
  fields.erase("secret");
  return boost::outcome_v2::success();
}

Result<void> normalizeItem(const std::string& sectionName, const std::string& name, Json& item, bool complete) {
  std::string path = sectionName + "." + name;
  if (name.empty() || name.size() > maxNameBytes)
    return makeError(Code::badField, path, "a name must have 1 to 128 bytes");
  if (item.is<picojson::null>()) {
    if (complete) return makeError(Code::badField, path, "a complete configuration has no null");
    return boost::outcome_v2::success();
  }
  if (sectionName == "policies") {
    if (!item.is<std::string>()) return makeError(Code::badField, path, "must be a string");
    return boost::outcome_v2::success();
  }
  if (!item.is<JsonObject>()) return makeError(Code::badField, path, "must be an object");
  if (isFreeSection(sectionName)) return boost::outcome_v2::success();
  auto& fields = item.get<JsonObject>();
  for (const auto& [fieldName, value] : fields)
    if (!itemFields.at(sectionName).count(fieldName)) return makeError(Code::unknownField, path + "." + fieldName);
  if (sectionName == "keys") return hashSecret(fields, path);
  return boost::outcome_v2::success();
}

/// Adds a null for each field that the present item has and the wanted one lacks, which removes the field.
void removeMissingFields(const JsonObject& present, JsonObject& wanted) {
  for (const auto& [fieldName, value] : present)
    if (!wanted.count(fieldName)) wanted[fieldName] = Json();
}

/// Turns one complete item into a merge patch. It may keep unchanged fields; only removed fields and items need a null.
void reduceCompleteItem(const std::string& name, const Json& present, JsonObject& wanted) {
  auto found = wanted.find(name);
  if (found == wanted.end()) {
    wanted[name] = Json();
  } else if (found->second == present) {
    wanted.erase(found);
  } else if (present.is<JsonObject>() && found->second.is<JsonObject>()) {
    removeMissingFields(present.get<JsonObject>(), found->second.get<JsonObject>());
  }
}

void reduceItem(const std::string& name, const Json& present, JsonObject& wanted, bool removeUnnamed) {
  auto found = wanted.find(name);
  if (found == wanted.end()) {
    if (removeUnnamed) wanted[name] = Json();
    return;
  }
  if (found->second.is<picojson::null>()) return;
  if (auto difference = differenceOf(present, found->second))
    found->second = *difference;
  else
    wanted.erase(found);
}

}  // namespace

bool isFreeSection(const std::string& section) { return freeSections.count(section) > 0; }

Result<void> normalizeShape(JsonObject& patch, const Sections& sections, bool complete) {
  for (const auto& [sectionName, content] : patch)
    if (!sectionNames.count(sectionName)) return makeError(Code::unknownField, sectionName);
  if (!complete) replaceNullSections(patch, sections);
  for (auto& [sectionName, content] : patch) {
    if (!content.is<JsonObject>()) return makeError(Code::badField, sectionName, "must be an object");
    for (auto& [name, item] : content.get<JsonObject>())
      if (auto normalized = normalizeItem(sectionName, name, item, complete); !normalized) return normalized.error();
  }
  return boost::outcome_v2::success();
}

Strings reduceCompleteConfig(JsonObject& patch, const Sections& sections) {
  Strings undeclared;
  for (const auto& [sectionName, items] : sections) {
    if (!patch.count(sectionName)) undeclared.push_back(sectionName);
    for (const auto& [name, item] : items) {
      auto& content = patch[sectionName];
      if (!content.is<JsonObject>()) content = Json(JsonObject());
      reduceCompleteItem(name, item, content.get<JsonObject>());
    }
  }
  return undeclared;
}

void reduceItems(JsonObject& patch, const Sections& sections, bool removeUnnamed) {
  for (auto& [sectionName, content] : patch) {
    auto present = sections.find(sectionName);
    if (present == sections.end()) continue;
    for (const auto& [name, item] : present->second) reduceItem(name, item, content.get<JsonObject>(), removeUnnamed);
  }
}

}  // namespace tt
