#include "proxy_router_harness.hpp"

/// Tests of the cache domains that the configuration gives to tenants.
using namespace tt;

namespace {
Json tenantItem(bool isolated) { return Json(JsonObject{{"isolated", Json(isolated)}}); }

/// A configuration whose tenants are changed at random, and who has used which domain so far.
class DomainWalk {
 public:
  explicit DomainWalk(std::uint64_t seed) : randomSource(seed) {}

  void step() {
    JsonObject tenants;
    for (std::uint64_t changes = 1 + randomBelow(2); changes > 0; --changes) {
      std::string tenant = "t" + std::to_string(randomBelow(tenantCount));
      tenants[tenant] = randomBelow(4) == 0 ? Json() : tenantItem(randomBelow(3) == 0);
    }
    bool complete = randomBelow(6) == 0;
    if (complete)
      for (auto row = tenants.begin(); row != tenants.end();)
        row = row->second.is<picojson::null>() ? tenants.erase(row) : std::next(row);
    auto before = sharedName();
    bool sharerLeaves = false;
    configuration.change(Json(JsonObject{{"tenants", Json(tenants)}}).serialize(),
                         complete ? ChangeFormat::complete : ChangeFormat::patch);
    if (randomBelow(4) == 0) reinstall();
    for (const auto& tenant : declared(true)) sharerLeaves = sharerLeaves || usersOf[before].count(tenant);
    if (sharedName() != before) {
      cr_expect(sharerLeaves, "the shared domain ends only if a tenant that has used it is isolated");
      cr_expect(usersOf[sharedName()].empty(), "a new shared domain has not been used before");
    }
    useAll();
  }

 private:
  static constexpr std::uint64_t tenantCount = 6;
  TestConfiguration configuration;
  std::mt19937_64 randomSource;
  /// By the name of a domain: the tenants whose requests have used it.
  std::map<std::string, std::set<std::string>> usersOf;

  std::uint64_t randomBelow(std::uint64_t below) { return randomSource() % below; }
  std::string sharedName() const { return configuration.view.cacheDomainOf("").name(); }
  std::set<std::string> declared(bool isolated) const {
    std::set<std::string> names;
    for (const auto& [name, item] : configuration.view.section("tenants"))
      if (boolOr(item, "isolated", false) == isolated) names.insert(name);
    return names;
  }
  /// Goes on from the snapshot, as a process does that starts late.
  void reinstall() {
    Configuration restored;
    cr_assert(bool(restored.installSnapshot(decodeSnapshot(encodeSnapshot(configuration.view.snapshot())).value())));
    configuration.view = restored;
  }
  void useAll() {
    auto isolated = declared(true);
    for (const auto& tenant : declared(false)) {
      cr_expect_eq(configuration.view.cacheDomainOf(tenant).name(), sharedName());
      usersOf[sharedName()].insert(tenant);
    }
    for (const auto& tenant : isolated) usersOf[configuration.view.cacheDomainOf(tenant).name()].insert(tenant);
    for (const auto& tenant : isolated) {
      cr_expect_not(usersOf[sharedName()].count(tenant), "%s is isolated and has used the shared domain",
                    tenant.c_str());
      cr_expect_eq(usersOf[configuration.view.cacheDomainOf(tenant).name()].size(), 1u);
    }
  }
};

std::string nameOf(const Configuration& view, const std::string& tenant) { return view.cacheDomainOf(tenant).name(); }
}  // namespace

/// Guards against cached blocks that pass a tenant's wall in any order of changes, restarts and removals.
Test(cache_domains, no_isolated_tenant_has_used_the_domain_of_another_after_random_changes) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    DomainWalk walk(seed);
    for (int number = 0; number < 60; ++number) walk.step();
  }
}

/// Guards against blocks shared before the software was updated: a snapshot from before the domains were recorded.
Test(cache_domains, an_older_snapshot_begins_all_domains_anew) {
  TestConfiguration configuration;
  configuration.change(R"({"tenants":{"asp":{"isolated":true},"olm":{}}})");
  auto snapshot = configuration.view.snapshot();
  snapshot.configuration = configuration.view.text();
  Configuration restored;
  cr_assert(bool(restored.installSnapshot(snapshot)));
  cr_expect_neq(nameOf(restored, "asp"), "own:asp");
  cr_expect_neq(nameOf(restored, "olm"), nameOf(configuration.view, "olm"));
  Configuration again;
  cr_assert(bool(again.installSnapshot(snapshot)));
  cr_expect_eq(nameOf(again, "olm"), nameOf(restored, "olm"), "processes with the same snapshot share");
}

Test(cache_domains, are_not_shown_to_operators_and_cannot_be_changed_by_them) {
  TestConfiguration configuration;
  configuration.change(R"({"tenants":{"asp":{},"olm":{}}})");
  configuration.change(R"({"tenants":{"asp":{"isolated":true}}})");
  std::string shared = nameOf(configuration.view, "olm"), own = nameOf(configuration.view, "asp");
  cr_expect_eq(configuration.view.text().find("acheDomains"), std::string::npos);
  cr_expect_eq(configuration.rejectedField(R"({"cacheDomains":{"sharedSince":0}})"), "cacheDomains");
  LogEntry entry{3, 1, static_cast<int>(EntryKind::change), R"({"cacheDomains":{"sharedSince":0}})", {}, 0};
  configuration.view.apply(entry);
  configuration.change(configuration.view.text(), ChangeFormat::complete);
  cr_expect_eq(nameOf(configuration.view, "olm"), shared);
  cr_expect_eq(nameOf(configuration.view, "asp"), own);
}

Test(cache_domains, a_snapshot_with_malformed_domains_is_rejected_without_effect) {
  TestConfiguration configuration;
  configuration.change(R"({"tenants":{"asp":{},"olm":{}}})");
  auto snapshot = configuration.view.snapshot();
  Configuration other = configuration.view;
  for (const char* domains : {R"({"cacheDomains":1})", R"({"cacheDomains":{}})",
                              R"({"cacheDomains":{"sharedSince":-1,"isolatedSince":{},"formerSharers":[]}})",
                              R"({"cacheDomains":{"sharedSince":0,"isolatedSince":{"a":"x"},"formerSharers":[]}})",
                              R"({"cacheDomains":{"sharedSince":0,"isolatedSince":{},"formerSharers":[1]}})"}) {
    snapshot.configuration = domains;
    cr_expect_not(bool(other.installSnapshot(snapshot)), "%s", domains);
    cr_expect_eq(other.text(), configuration.view.text());
  }
}

/// Guards against a list of former tenants that grows without bound.
Test(cache_domains, more_removed_tenants_than_are_remembered_end_the_shared_domain) {
  CacheDomains domains;
  Uint64 index = 0;
  auto declareAndRemove = [&](std::size_t number) {
    std::string tenant = "t" + std::to_string(number);
    domains.onTenantChanged(tenant, TenantSharing::undeclared, TenantSharing::shared, ++index);
    domains.onTenantChanged(tenant, TenantSharing::shared, TenantSharing::undeclared, ++index);
  };
  for (std::size_t number = 0; number < CacheDomains::maxFormerSharers; ++number) declareAndRemove(number);
  cr_expect_eq(domains.sharedDomain().name(), "shared");
  declareAndRemove(CacheDomains::maxFormerSharers);
  cr_expect_eq(domains.sharedDomain().since, index);
  domains.onTenantChanged("t0", TenantSharing::undeclared, TenantSharing::isolated, ++index);
  cr_expect_lt(domains.sharedDomain().since, index, "t0 has not used the new domain");
}
