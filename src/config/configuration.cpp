#include "configuration.hpp"

#include <algorithm>

#include "item_readers.hpp"
#include "patch_checks.hpp"

namespace tt {
namespace {
/// How many changes and rejections are kept to recognize repeated requests. They are part of the replicated state, so
/// all members must use the same limits.
constexpr std::size_t maxRecentChanges = 4096;
constexpr std::size_t maxRecentRefusals = 1024;
/// The member of a snapshot's configuration that has the cache domains. It is no section: operators neither see nor
/// change it.
constexpr const char* cacheDomainsMember = "cacheDomains";

/// The member of a change that lists the sections whose declaration it ends. Their items are removed by the same
/// change.
constexpr const char* undeclaredMember = "undeclared";
/// The section in which the operators' translation keeps what it does not translate, and its items: the configuration's
/// other members, and the lists that the operators' configuration does not have.
constexpr const char* translationSection = "extra";
constexpr const char* otherMembersItem = "config";
constexpr const char* absentListsItem = "absent";

TenantSharing sharingIn(const Json& tenant) {
  return boolOr(tenant, "isolated", false) ? TenantSharing::isolated : TenantSharing::shared;
}
}  // namespace

Result<std::string> Configuration::preparePatch(const std::string& text, ChangeFormat changeFormat) const {
  auto read = parseJson(text);
  if (!read) return read.error();
  if (!read.value().is<JsonObject>()) return makeError(Code::badField, "body", "must be an object");
  JsonObject patch = read.value().get<JsonObject>();
  if (changeFormat == ChangeFormat::edits)
    if (auto resolved = resolveEdits(patch, sections); !resolved) return resolved.error();
  auto normalized = normalizeShape(patch, sections, changeFormat == ChangeFormat::complete);
  if (!normalized) return normalized.error();
  Strings undeclared;
  if (changeFormat == ChangeFormat::complete) undeclared = reduceCompleteConfig(patch, sections);
  if (changeFormat == ChangeFormat::sections || changeFormat == ChangeFormat::items ||
      changeFormat == ChangeFormat::edits)
    reduceItems(patch, sections, changeFormat == ChangeFormat::sections);
  if (auto checked = PatchChecks(sections, keyIdByHash, patch).run(); !checked) return checked.error();
  if (!undeclared.empty()) patch[undeclaredMember] = Json(JsonArray(undeclared.begin(), undeclared.end()));
  return Json(patch).serialize();
}

void Configuration::setItem(const std::string& sectionName, const std::string& name, const Json* value) {
  if (!value && !sections.count(sectionName)) return;
  auto& items = sections[sectionName];
  auto old = items.find(name);
  updateDerivedItem(sectionName, name, old == items.end() ? nullptr : &old->second, value);
  if (old != items.end()) {
    totalBytes -= std::min(totalBytes, name.size() + old->second.serialize().size());
    if (sectionName == "keys")
      if (auto known = keyIdByHash.find(stringOr(old->second, "hash"));
          known != keyIdByHash.end() && known->second == name)
        keyIdByHash.erase(known);
    if (sectionName == "policies") policies.erase(name);
  }
  if (!value) {
    if (old != items.end()) items.erase(old);
    return;
  }
  items[name] = *value;
  totalBytes += name.size() + value->serialize().size();
  if (sectionName == "keys") keyIdByHash[stringOr(*value, "hash")] = name;
  if (sectionName == "policies" && value->is<std::string>())
    if (auto policy = Policy::read(value->get<std::string>())) policies[name] = policy.value();
}

void Configuration::updateDerivedItem(const std::string& sectionName, const std::string& name, const Json* old,
                                      const Json* value) {
  if (sectionName == "tenants") {
    updateTenantSecrets(name, old, value);
    cacheDomains.onTenantChanged(name, old ? sharingIn(*old) : TenantSharing::undeclared,
                                 value ? sharingIn(*value) : TenantSharing::undeclared, appliedIndex);
  }
  if (sectionName == "routes") updateRoute(name, value);
  if (sectionName == "services") updateService(name, value);
  if (sectionName == "limits" && name == "callers")
    currentClientLimits = value ? readClientLimits(*value) : ClientLimits();
}

void Configuration::updateTenantSecrets(const std::string& name, const Json* old, const Json* value) {
  if (old && old->is<JsonObject>())
    for (const auto& secret : readSecrets(*old))
      if (auto found = tenantByHash.find(sha256Hex(secret)); found != tenantByHash.end() && found->second == name)
        tenantByHash.erase(found);
  if (value && value->is<JsonObject>())
    for (const auto& secret : readSecrets(*value)) tenantByHash[sha256Hex(secret)] = name;
}

void Configuration::updateRoute(const std::string& name, const Json* value) {
  if (auto known = routesByName.find(name); known != routesByName.end()) {
    if (known->second.matchesPath()) removeRoutePrefix(known->second);
    routesByName.erase(known);
  }
  if (!value || !value->is<JsonObject>()) return;
  auto route = readRoute(name, *value);
  if (route.matchesPath()) routeByPrefix[route.host][route.prefix] = name;
  routesByName[name] = std::move(route);
}

void Configuration::removeRoutePrefix(const RouteView& route) {
  auto& prefixes = routeByPrefix[route.host];
  if (auto found = prefixes.find(route.prefix); found != prefixes.end() && found->second == route.name)
    prefixes.erase(found);
  if (prefixes.empty()) routeByPrefix.erase(route.host);
}

const ServiceView* Configuration::findService(const std::string& name) const {
  auto found = servicesByName.find(name);
  return found == servicesByName.end() ? nullptr : &found->second;
}

void Configuration::updateService(const std::string& name, const Json* value) {
  for (auto row = blockStores.begin(); row != blockStores.end();)
    row = row->service == name ? blockStores.erase(row) : std::next(row);
  servicesByName.erase(name);
  if (!value || !value->is<JsonObject>()) return;
  servicesByName[name] = readService(*value);
  if (stringOr(*value, "storeAddress").empty()) return;
  blockStores.push_back(StoreView{name, stringOr(*value, "storeAddress"), stringOr(*value, "locality")});
}

void Configuration::applyPatch(const JsonObject& patch) {
  for (const auto& [sectionName, content] : patch)
    if (content.is<JsonObject>() && sectionName != cacheDomainsMember)
      applySectionPatch(sectionName, content.get<JsonObject>());
  if (auto undeclared = patch.find(undeclaredMember); undeclared != patch.end()) endDeclarations(undeclared->second);
}

void Configuration::applySectionPatch(const std::string& sectionName, const JsonObject& items) {
  if (items.empty()) sections[sectionName];
  for (const auto& [name, item] : items)
    if (item.is<picojson::null>()) setItem(sectionName, name, nullptr);
  for (const auto& [name, item] : items) {
    if (item.is<picojson::null>()) continue;
    auto& present = sections[sectionName];
    Json merged;
    if (auto old = present.find(name); old != present.end()) merged = old->second;
    mergePatch(merged, item);
    setItem(sectionName, name, &merged);
  }
}

void Configuration::endDeclarations(const Json& sectionNames) {
  if (!sectionNames.is<JsonArray>()) return;
  for (const auto& name : sectionNames.get<JsonArray>())
    if (auto section = sections.find(name.to_str()); section != sections.end() && section->second.empty())
      sections.erase(section);
}

bool Configuration::isMarkedAbsent(const std::string& sectionName) const {
  auto translation = sections.find(translationSection);
  if (translation == sections.end()) return false;
  auto absent = translation->second.find(absentListsItem);
  return absent != translation->second.end() && boolOr(absent->second, sectionName, false);
}

bool Configuration::declares(const std::string& sectionName) const {
  auto found = sections.find(sectionName);
  return found != sections.end() && (!found->second.empty() || !isMarkedAbsent(sectionName));
}

void Configuration::declareEmptyLists() {
  auto translation = sections.find(translationSection);
  if (translation == sections.end() || !translation->second.count(otherMembersItem)) return;
  for (const char* list : {"routes", "services", "tenants"}) sections[list];
}

void Configuration::apply(const LogEntry& entry) {
  if (entry.index <= appliedIndex) return;
  appliedIndex = entry.index;
  appliedTerm = entry.term;
  auto kind = static_cast<EntryKind>(entry.kind);
  if (kind == EntryKind::members) {
    LogEntry unpacked = entry;
    auto snapshot = decodeSnapshot(unpacked.body);
    if (snapshot) currentMembers = snapshot.value().members;
  } else if (kind == EntryKind::change) {
    currentRevision = entry.revision ? entry.revision : currentRevision + 1;
    auto patch = parseJson(entry.body);
    if (patch && patch.value().is<JsonObject>()) applyPatch(patch.value().get<JsonObject>());
    if (!entry.changeId.empty()) recordChange(entry.changeId);
  } else if (kind == EntryKind::refusal) {
    recordRefusal(entry);
  }
}

void Configuration::recordChange(const std::string& changeId) {
  changeRevisions[changeId] = currentRevision;
  recentChangeIds.push_back(changeId);
  if (recentChangeIds.size() <= maxRecentChanges) return;
  changeRevisions.erase(recentChangeIds.front());
  recentChangeIds.pop_front();
}

void Configuration::recordRefusal(const LogEntry& entry) {
  auto refusal = decodeRefusal(entry.body);
  if (!refusal) return;
  recentRefusals.push_back(std::move(refusal).value());
  recentRefusals.back().index = entry.index;
  if (recentRefusals.size() <= maxRecentRefusals) return;
  lastEvictedRefusalIndex = recentRefusals.front().index;
  recentRefusals.pop_front();
}

Snapshot Configuration::snapshot() const {
  Snapshot result;
  result.index = appliedIndex;
  result.term = appliedTerm;
  result.revision = currentRevision;
  result.configuration = snapshotText();
  result.members = currentMembers;
  for (const auto& id : recentChangeIds) {
    result.changeIds.push_back(id);
    result.changeRevisions.push_back(changeRevisions.at(id));
  }
  result.refusals.assign(recentRefusals.begin(), recentRefusals.end());
  result.lastEvictedRefusal = lastEvictedRefusalIndex;
  return result;
}

Result<void> Configuration::installSnapshot(const Snapshot& snapshot) {
  auto read = parseJson(snapshot.configuration);
  if (!read) return read.error();
  if (!read.value().is<JsonObject>()) return makeError(Code::badField, "capture");
  const auto& content = read.value().get<JsonObject>();
  auto domainsState = content.find(cacheDomainsMember);
  std::optional<CacheDomains> domains;
  if (domainsState != content.end()) {
    auto restored = CacheDomains::fromJson(domainsState->second);
    if (!restored) return restored.error();
    domains = restored.value();
  }
  *this = Configuration();
  applyPatch(content);
  if (domains) {
    cacheDomains = *domains;
  } else {
    cacheDomains.renewAll(snapshot.index);
    declareEmptyLists();
  }
  appliedIndex = snapshot.index;
  appliedTerm = snapshot.term;
  currentRevision = snapshot.revision;
  currentMembers = snapshot.members;
  for (std::size_t at = 0; at < snapshot.changeIds.size() && at < snapshot.changeRevisions.size(); ++at) {
    recentChangeIds.push_back(snapshot.changeIds[at]);
    changeRevisions[snapshot.changeIds[at]] = snapshot.changeRevisions[at];
  }
  recentRefusals.assign(snapshot.refusals.begin(), snapshot.refusals.end());
  lastEvictedRefusalIndex = snapshot.lastEvictedRefusal;
  return boost::outcome_v2::success();
}

std::optional<std::uint64_t> Configuration::revisionOfChange(const std::string& changeId) const {
  auto found = changeRevisions.find(changeId);
  if (changeId.empty() || found == changeRevisions.end()) return std::nullopt;
  return found->second;
}

std::uint64_t Configuration::lastEvictedRevision() const {
  return recentChangeIds.size() < maxRecentChanges ? 0 : changeRevisions.at(recentChangeIds.front()) - 1;
}

const Refusal* Configuration::findRefusalAfter(const std::string& changeId, std::uint64_t index) const {
  if (changeId.empty()) return nullptr;
  auto found = std::find_if(recentRefusals.rbegin(), recentRefusals.rend(),
                            [&](const Refusal& row) { return row.changeId == changeId && row.index > index; });
  return found == recentRefusals.rend() ? nullptr : &*found;
}

std::int64_t Configuration::currentWeightsNumber(const std::string& model) const {
  auto weights = weightsOf(model);
  auto found = sections.find("weights");
  if (!weights || found == sections.end()) return 0;
  auto row = found->second.find(*weights);
  return row == found->second.end() ? 0 : integerOr(row->second, "number", 0);
}

bool Configuration::hasWeights(const std::string& change) const {
  auto read = parseJson(change);
  if (!read || !read.value().is<JsonObject>()) return false;
  const auto& named = read.value().get("weights");
  if (!named.is<JsonObject>() || named.get<JsonObject>().empty()) return false;
  for (const auto& [name, row] : named.get<JsonObject>()) {
    std::int64_t number = integerOr(row, "number", 0);
    if (number == 0 || number > currentWeightsNumber(stringOr(row, "model"))) return false;
  }
  return true;
}

JsonObject Configuration::content() const {
  JsonObject content;
  for (const auto& [name, items] : sections)
    if (declares(name)) content[name] = Json(items);
  return content;
}

std::string Configuration::text() const { return Json(content()).serialize(); }

std::string Configuration::snapshotText() const {
  JsonObject all = content();
  all[cacheDomainsMember] = cacheDomains.toJson();
  return Json(all).serialize();
}

JsonObject Configuration::section(const std::string& name) const {
  auto found = sections.find(name);
  return found == sections.end() ? JsonObject() : found->second;
}

const JsonObject* Configuration::findSection(const std::string& name) const {
  auto found = sections.find(name);
  return found == sections.end() || found->second.empty() ? nullptr : &found->second;
}

bool Configuration::requiresKeys() const { return declares("tenants") || declares("keys"); }

std::optional<TenantView> Configuration::findTenant(const std::string& name) const {
  const auto* tenants = findSection("tenants");
  if (!tenants) return std::nullopt;
  auto found = tenants->find(name);
  if (found == tenants->end()) return std::nullopt;
  TenantView tenant;
  if (auto priority = integerOr(found->second, "priority", -1); priority >= 0)
    tenant.priority = static_cast<int>(priority);
  return tenant;
}

/// Shortens the path slash by slash, so that the longest matching prefix is found first.
const RouteView* Configuration::routeFor(const std::string& host, const std::string& path) const {
  auto prefixes = routeByPrefix.find(host);
  if (prefixes == routeByPrefix.end()) return nullptr;
  std::string prefix = path.substr(0, path.find('?'));
  for (auto slash = prefix.rfind('/'); slash != std::string::npos;
       slash = slash == 0 ? std::string::npos : prefix.rfind('/', slash - 1)) {
    prefix.resize(slash + 1);
    if (auto found = prefixes->second.find(prefix); found != prefixes->second.end())
      return &routesByName.at(found->second);
  }
  return nullptr;
}

std::optional<KeyView> Configuration::findKey(const std::string& secretHash) const {
  if (auto own = tenantByHash.find(secretHash); own != tenantByHash.end()) return KeyView{own->second, own->second};
  auto found = keyIdByHash.find(secretHash);
  if (found == keyIdByHash.end()) return std::nullopt;
  return KeyView{found->second, stringOr(sections.at("keys").at(found->second), "tenant")};
}

std::optional<RouteView> Configuration::findRoute(const std::string& name) const {
  auto found = routesByName.find(name);
  if (found == routesByName.end()) return std::nullopt;
  return found->second;
}

std::optional<std::string> Configuration::weightsOf(const std::string& model) const {
  auto found = sections.find("models");
  if (found == sections.end() || !found->second.count(model)) return std::nullopt;
  return stringOr(found->second.at(model), "weights");
}

bool Configuration::knowsModel(const std::string& model) const { return weightsOf(model).has_value(); }

TenantSharing Configuration::sharingOf(const std::string& tenant) const {
  auto tenants = sections.find("tenants");
  if (tenants == sections.end()) return TenantSharing::undeclared;
  auto found = tenants->second.find(tenant);
  return found == tenants->second.end() ? TenantSharing::undeclared : sharingIn(found->second);
}

CacheDomain Configuration::cacheDomainOf(const std::string& tenant) const {
  if (tenant.empty()) return cacheDomains.sharedDomain();
  switch (sharingOf(tenant)) {
    case TenantSharing::shared:
      return cacheDomains.sharedDomain();
    case TenantSharing::isolated:
      return cacheDomains.ownDomainOf(tenant);
    default:
      return CacheDomain{tenant, appliedIndex};
  }
}

Policy Configuration::policyOf(const std::string& name) const {
  auto found = policies.find(name);
  return found == policies.end() ? Policy() : found->second;
}

}  // namespace tt
