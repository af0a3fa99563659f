#include "cache_domains.hpp"

namespace tt {
namespace {
constexpr std::int64_t maxIndex = std::int64_t(1) << 53;

Result<Uint64> readIndex(const JsonObject& object, const std::string& name) {
  auto index = integerField(object, name, -1, 0, maxIndex, "cacheDomains");
  if (!index) return index.error();
  if (index.value() < 0) return makeError(Code::missingField, fieldPath("cacheDomains", name));
  return static_cast<Uint64>(index.value());
}

Json indexAsJson(Uint64 index) { return Json(static_cast<double>(index)); }
}  // namespace

std::string CacheDomain::name() const {
  std::string text = owner.empty() ? "shared" : "own:" + owner;
  return since == 0 ? text : text + "/" + std::to_string(since);
}

void CacheDomains::onTenantChanged(const std::string& tenant, TenantSharing before, TenantSharing after, Uint64 index) {
  if (before == after) return;
  if (before == TenantSharing::isolated) isolatedSince.erase(tenant);
  if (before == TenantSharing::shared) formerSharers.insert(tenant);
  if (after == TenantSharing::isolated) {
    isolatedSince[tenant] = index;
    if (formerSharers.count(tenant)) renewSharedDomain(index);
  } else if (after == TenantSharing::shared) {
    formerSharers.erase(tenant);
  }
  if (formerSharers.size() > maxFormerSharers) renewSharedDomain(index);
}

CacheDomain CacheDomains::ownDomainOf(const std::string& tenant) const {
  auto since = isolatedSince.find(tenant);
  return CacheDomain{tenant, since == isolatedSince.end() ? 0 : since->second};
}

void CacheDomains::renewSharedDomain(Uint64 index) {
  sharedSince = index;
  formerSharers.clear();
}

void CacheDomains::renewAll(Uint64 index) {
  renewSharedDomain(index);
  for (auto& [tenant, since] : isolatedSince) since = index;
}

Json CacheDomains::toJson() const {
  JsonObject isolated;
  for (const auto& [tenant, since] : isolatedSince) isolated[tenant] = indexAsJson(since);
  JsonArray former;
  for (const auto& tenant : formerSharers) former.emplace_back(tenant);
  return Json(JsonObject{
      {"sharedSince", indexAsJson(sharedSince)}, {"isolatedSince", Json(isolated)}, {"formerSharers", Json(former)}});
}

Result<CacheDomains> CacheDomains::fromJson(const Json& state) {
  if (!state.is<JsonObject>()) return makeError(Code::badField, "cacheDomains", "must be an object");
  CacheDomains domains;
  const auto& fields = state.get<JsonObject>();
  auto shared = readIndex(fields, "sharedSince");
  if (!shared) return shared.error();
  domains.sharedSince = shared.value();
  const auto& isolated = state.get("isolatedSince");
  if (!isolated.is<JsonObject>()) return makeError(Code::badField, "cacheDomains.isolatedSince", "must be an object");
  for (const auto& [tenant, since] : isolated.get<JsonObject>()) {
    auto index = readIndex(isolated.get<JsonObject>(), tenant);
    if (!index) return index.error();
    domains.isolatedSince[tenant] = index.value();
  }
  auto former = stringListField(fields, "formerSharers", "cacheDomains");
  if (!former) return former.error();
  domains.formerSharers.insert(former.value().begin(), former.value().end());
  return domains;
}

}  // namespace tt
