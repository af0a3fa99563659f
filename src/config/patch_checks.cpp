#include "patch_checks.hpp"

#include "item_readers.hpp"

namespace tt {
namespace {

constexpr std::size_t sha256HexDigits = 64;
/// JSON numbers are doubles, which represent every integer up to this one exactly.
constexpr std::int64_t maxWeightsNumber = std::int64_t(1) << 53;

/// A section whose items refer to items of other sections (the targets).
struct Reference {
  std::string referrer;
  std::set<std::string> targets;
};
const std::vector<Reference> references{
    {"models", {"weights"}}, {"keys", {"tenants"}}, {"routes", {"models", "tenants", "policies", "services"}}};

Result<void> checkPolicy(const Json& item, const std::string& path) {
  auto policy = Policy::read(item.get<std::string>());
  if (!policy) return makeError(Code::badField, path, policy.error().subject + ": " + policy.error().text);
  return boost::outcome_v2::success();
}

bool isSha256Hex(const std::string& text) {
  return text.size() == sha256HexDigits && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

}  // namespace

PatchChecks::PatchChecks(const Sections& present, const std::unordered_map<std::string, std::string>& keys,
                         const JsonObject& patch)
    : sections(present), keyIdByHash(keys) {
  for (const auto& [sectionName, content] : patch)
    for (const auto& [name, item] : content.get<JsonObject>()) mergeItem(sectionName, name, item);
  collectTenantSecrets();
  collectRoutePrefixes();
}

Result<void> PatchChecks::run() {
  if (auto checked = checkTouchedItems(); !checked) return checked.error();
  return checkReferrers();
}

void PatchChecks::mergeItem(const std::string& sectionName, const std::string& name, const Json& item) {
  if (item.is<picojson::null>()) {
    merged[sectionName][name] = std::nullopt;
    return;
  }
  Json value;
  if (auto section = sections.find(sectionName); section != sections.end())
    if (auto present = section->second.find(name); present != section->second.end()) value = present->second;
  mergePatch(value, item);
  merged[sectionName][name] = value;
}

std::vector<const JsonObject::value_type*> PatchChecks::untouchedItems(const std::string& sectionName) const {
  std::vector<const JsonObject::value_type*> items;
  auto present = sections.find(sectionName);
  auto touched = merged.find(sectionName);
  if (present == sections.end() || touched == merged.end()) return items;
  for (const auto& row : present->second)
    if (!touched->second.count(row.first)) items.push_back(&row);
  return items;
}

void PatchChecks::collectTenantSecrets() {
  for (const auto* row : untouchedItems("tenants"))
    for (const auto& secret : readSecrets(row->second)) tenantBySecret[secret] = row->first;
}

void PatchChecks::collectRoutePrefixes() {
  for (const auto* row : untouchedItems("routes"))
    if (auto prefix = stringOr(row->second, "prefix"); !prefix.empty())
      routeByPrefix[{stringOr(row->second, "host"), normalizedPrefix(prefix)}] = row->first;
}

const Json* PatchChecks::findItem(const std::string& sectionName, const std::string& name) const {
  if (auto touched = merged.find(sectionName); touched != merged.end())
    if (auto item = touched->second.find(name); item != touched->second.end())
      return item->second ? &*item->second : nullptr;
  auto present = sections.find(sectionName);
  if (present == sections.end()) return nullptr;
  auto item = present->second.find(name);
  return item == present->second.end() ? nullptr : &item->second;
}

Result<void> PatchChecks::checkTouchedItems() {
  for (const auto& [sectionName, items] : merged)
    for (const auto& [name, item] : items) {
      if (!item) continue;
      if (auto checked = checkItem(sectionName, name, *item); !checked) return checked.error();
    }
  return boost::outcome_v2::success();
}

Result<void> PatchChecks::checkReferrers() {
  std::set<std::string> changedSections;
  for (const auto& [sectionName, items] : merged)
    for (const auto& [name, item] : items)
      if (!item || sectionName == "weights") changedSections.insert(sectionName);
  for (const auto& [referrer, targets] : references) {
    bool affected = false;
    for (const auto& target : targets) affected = affected || changedSections.count(target);
    auto present = sections.find(referrer);
    if (!affected || present == sections.end()) continue;
    for (const auto& [name, item] : present->second) {
      if (merged.count(referrer) && merged.at(referrer).count(name)) continue;
      if (auto checked = checkItem(referrer, name, item); !checked) return checked.error();
    }
  }
  return boost::outcome_v2::success();
}

Result<void> PatchChecks::checkItem(const std::string& sectionName, const std::string& name, const Json& item) {
  std::string path = sectionName + "." + name;
  if (sectionName == "policies") return checkPolicy(item, path);
  if (isFreeSection(sectionName)) return boost::outcome_v2::success();
  CheckedItem checked{name, path, item, item.get<JsonObject>()};
  if (sectionName == "models") return checkModel(checked);
  if (sectionName == "weights") return checkWeights(checked);
  if (sectionName == "tenants") return checkTenant(checked);
  if (sectionName == "keys") return checkKey(checked);
  if (sectionName == "services") return checkService(checked);
  return checked.fields.count("prefix") ? checkPathRoute(checked) : checkModelRoute(checked);
}

Result<void> PatchChecks::checkModel(const CheckedItem& checked) const {
  auto weights = stringField(checked.fields, "weights", checked.path);
  if (!weights) return weights.error();
  auto* version = findItem("weights", weights.value());
  if (!version) return makeError(Code::blueprintBad, checked.path + ".weights", "no such weights: " + weights.value());
  if (stringOr(*version, "model") != checked.name)
    return makeError(Code::blueprintBad, checked.path + ".weights", "these weights belong to another model");
  return boost::outcome_v2::success();
}

Result<void> PatchChecks::checkWeights(const CheckedItem& checked) const {
  auto model = stringField(checked.fields, "model", checked.path);
  if (!model) return model.error();
  auto number = integerField(checked.fields, "number", 0, 0, maxWeightsNumber, checked.path);
  if (!number) return number.error();
  return boost::outcome_v2::success();
}

Result<void> PatchChecks::checkTenant(const CheckedItem& checked) {
  auto isolated = boolField(checked.fields, "isolated", false, checked.path);
  if (!isolated) return isolated.error();
  if (!checked.fields.count("secrets")) return boost::outcome_v2::success();
  auto secrets = stringListField(checked.fields, "secrets", checked.path);
  if (!secrets) return secrets.error();
  for (const auto& secret : secrets.value()) {
    if (secret.empty()) return makeError(Code::badField, checked.path + ".secrets", "a secret is empty");
    auto owner = tenantBySecret.emplace(secret, checked.name).first->second;
    if (owner != checked.name)
      return makeError(Code::blueprintBad, checked.path + ".secrets", "tenant " + owner + " has the same secret");
  }
  return boost::outcome_v2::success();
}

Result<void> PatchChecks::checkKey(const CheckedItem& checked) {
  auto tenant = stringField(checked.fields, "tenant", checked.path);
  if (!tenant) return tenant.error();
  if (!findItem("tenants", tenant.value()))
    return makeError(Code::blueprintBad, checked.path + ".tenant", "no such tenant: " + tenant.value());
  auto hash = stringField(checked.fields, "hash", checked.path);
  if (!hash) return makeError(hash.error().code, checked.path + ".secret", hash.error().text);
  if (!isSha256Hex(hash.value()))
    return makeError(Code::badField, checked.path + ".hash", "must be 64 hexadecimal digits");
  if (auto known = keyIdByHash.find(hash.value()); known != keyIdByHash.end() && known->second != checked.name) {
    const Json* other = findItem("keys", known->second);
    if (other && stringOr(*other, "hash") == hash.value())
      return makeError(Code::blueprintBad, checked.path + ".secret", "another key has the same secret");
  }
  if (!keyByHash.emplace(hash.value(), checked.name).second)
    return makeError(Code::blueprintBad, checked.path + ".secret", "another key has the same secret");
  return boost::outcome_v2::success();
}

Result<void> PatchChecks::checkService(const CheckedItem& checked) const {
  if (checked.fields.count("storeAddress") && stringOr(checked.item, "storeAddress").empty())
    return makeError(Code::badField, checked.path + ".storeAddress", "must be ip:port");
  return boost::outcome_v2::success();
}

Result<void> PatchChecks::checkPathRoute(const CheckedItem& checked) {
  auto host = stringField(checked.fields, "host", checked.path);
  if (!host) return host.error();
  auto prefix = stringField(checked.fields, "prefix", checked.path);
  if (!prefix) return prefix.error();
  auto route = readRoute(checked.name, checked.item);
  auto owner = routeByPrefix.emplace(std::make_pair(route.host, route.prefix), checked.name).first->second;
  if (owner != checked.name)
    return makeError(Code::blueprintBad, checked.path, "route " + owner + " has the same host and prefix");
  if (checked.fields.count("timeoutMs") && route.timeout <= Duration(0))
    return makeError(Code::blueprintBad, checked.path + ".timeoutMs", "must be greater than 0");
  return checkSplit(route.split, checked.path);
}

Result<void> PatchChecks::checkSplit(const std::vector<std::pair<std::string, double>>& split,
                                     const std::string& path) const {
  double sum = 0;
  for (const auto& [service, weight] : split) {
    if (!findItem("services", service))
      return makeError(Code::blueprintBad, path + ".service", "no such service: " + service);
    if (weight < 0) return makeError(Code::blueprintBad, path + ".split", "a weight is negative");
    sum += weight;
  }
  if (sum <= 0) return makeError(Code::blueprintBad, path + ".split", "the weights sum to 0");
  return boost::outcome_v2::success();
}

Result<void> PatchChecks::checkModelRoute(const CheckedItem& checked) const {
  auto model = stringField(checked.fields, "model", checked.path);
  if (!model) return model.error();
  if (!findItem("models", model.value()))
    return makeError(Code::blueprintBad, checked.path + ".model", "no such model: " + model.value());
  if (auto kind = checkKind(checked); !kind) return kind.error();
  if (auto tenants = checkTenantReferences(checked); !tenants) return tenants.error();
  return checkPolicyReference(checked);
}

Result<void> PatchChecks::checkKind(const CheckedItem& checked) const {
  if (!checked.fields.count("kind")) return boost::outcome_v2::success();
  auto kind = stringField(checked.fields, "kind", checked.path);
  if (!kind) return kind.error();
  if (kind.value() != "language" && kind.value() != "app")
    return makeError(Code::badField, checked.path + ".kind", "must be language or app");
  return boost::outcome_v2::success();
}

Result<void> PatchChecks::checkTenantReferences(const CheckedItem& checked) const {
  if (!checked.fields.count("tenants")) return boost::outcome_v2::success();
  auto tenants = stringListField(checked.fields, "tenants", checked.path);
  if (!tenants) return tenants.error();
  for (const auto& tenant : tenants.value())
    if (!findItem("tenants", tenant))
      return makeError(Code::blueprintBad, checked.path + ".tenants", "no such tenant: " + tenant);
  return boost::outcome_v2::success();
}

Result<void> PatchChecks::checkPolicyReference(const CheckedItem& checked) const {
  if (!checked.fields.count("policy")) return boost::outcome_v2::success();
  auto policy = stringField(checked.fields, "policy", checked.path);
  if (!policy) return policy.error();
  if (!findItem("policies", policy.value()))
    return makeError(Code::blueprintBad, checked.path + ".policy", "no such policy: " + policy.value());
  return boost::outcome_v2::success();
}

}  // namespace tt
