#include "proxy_router_harness.hpp"

/// Tests that what tenants computed while they shared cached blocks is used by nobody else once one of them is
/// isolated.
using namespace tt;

namespace {
const std::string modelRouteConfiguration = R"({
  "weights":{"moss/3":{"model":"moss"}},"models":{"moss":{"weights":"moss/3"}},"policies":{"p":"recompute"},
  "tenants":{"asp":{},"olm":{}},
  "keys":{"asp-key":{"tenant":"asp","secret":"secret-of-asp"},"olm-key":{"tenant":"olm","secret":"secret-of-olm"}},
  "routes":{"plan":{"model":"moss","policy":"p"}}})";
const std::string aspIsolated = R"({"tenants":{"asp":{"isolated":true}}})";
const std::string aspShared = R"({"tenants":{"asp":{"isolated":false}}})";

/// A proxy with one worker, and the salts under which the worker was asked to compute prompts.
struct IsolationHarness : ProxyHarness {
  IsolationHarness() { addWorker(); }
  IsolationHarness(const ProxyRouterSettings& settings, const std::string& text) : ProxyHarness(settings, text) {
    addWorker();
  }
  void addWorker() {
    worker("w1");
    publishCells();
  }
  std::string saltOf(const CallerOrder& request) {
    auto requestId = submit(request);
    replyToLookups({});
    auto attempt = onlyAttempt(requestId);
    endAttempt(attempt.requestId, AttemptOutcome::done);
    return attempt.cacheSalt;
  }
  std::string saltOf(const std::string& key, const std::string& path = "/once/x") {
    return saltOf(clientRequest(path, key, promptOf(1), promptTokens));
  }
};
}  // namespace

/// Guards against parts that a tenant made before it was isolated and that others used afterwards (review case 4).
Test(tenant_isolation, neither_side_uses_what_was_shared_before_the_isolation) {
  IsolationHarness harness;
  std::string before = harness.saltOf("key-a");
  cr_assert_eq(harness.saltOf("key-b"), before);
  harness.change(aspIsolated);
  std::string own = harness.saltOf("key-a"), shared = harness.saltOf("key-b");
  cr_expect_neq(own, before);
  cr_expect_neq(shared, before, "others no longer use what asp has computed");
  cr_expect_neq(shared, own);
  cr_expect_eq(harness.saltOf("", "/open/x"), shared, "requests without a tenant share with the others");
}

/// Guards against a second isolation of the same tenant that keeps what it shared in between.
Test(tenant_isolation, taking_an_isolation_back_and_repeating_it_uses_new_domains) {
  IsolationHarness harness;
  std::set<std::string> used{harness.saltOf("key-a"), harness.saltOf("key-b")};
  harness.change(aspIsolated);
  std::string firstOwn = harness.saltOf("key-a"), afterFirst = harness.saltOf("key-b");
  harness.change(aspShared);
  cr_expect_eq(harness.saltOf("key-a"), afterFirst);
  cr_expect_eq(harness.saltOf("key-b"), afterFirst, "nobody is isolated from the domain, so it is kept");
  used.insert({firstOwn, afterFirst});
  harness.change(aspIsolated);
  cr_expect_not(used.count(harness.saltOf("key-a")));
  cr_expect_not(used.count(harness.saltOf("key-b")));
}

/// Guards against a removed tenant whose blocks are still shared when its name is declared again as isolated.
Test(tenant_isolation, a_removed_tenant_that_returns_isolated_leaves_its_blocks_to_nobody) {
  IsolationHarness harness;
  std::string before = harness.saltOf("key-a");
  harness.change(R"({"tenants":{"asp":null}})");
  cr_expect_eq(harness.saltOf("key-b"), before, "a removal alone costs no cached blocks");
  harness.change(R"({"tenants":{"asp":{"secrets":["key-a"],"isolated":true}}})");
  cr_expect_neq(harness.saltOf("key-a"), before);
  cr_expect_neq(harness.saltOf("key-b"), before);
}

/// Guards against a name that passes to another customer together with the cached blocks of the former one.
Test(tenant_isolation, an_isolated_tenant_that_is_declared_again_starts_without_cached_blocks) {
  IsolationHarness harness;
  std::string before = harness.saltOf("key-c");
  harness.change(R"({"tenants":{"own":null}})");
  harness.change(R"({"tenants":{"own":{"secrets":["key-d"],"isolated":true}}})");
  cr_expect_neq(harness.saltOf("key-d"), before);
}

/// Guards against a request that was planned before an isolation and is sent after it.
Test(tenant_isolation, a_request_that_waits_for_lookups_during_the_change_is_planned_again) {
  IsolationHarness harness;
  harness.store("barn", "north-b");
  harness.publishCells();
  std::string before = harness.saltOf("key-b");
  auto requestId = harness.submit("/once/x", "key-b", promptOf(1), promptTokens);
  cr_assert(harness.attemptsOf(requestId).empty(), "it waits for the replies to its lookups");
  harness.change(aspIsolated);
  harness.replyToLookups({{"barn", {1, 1}}});
  harness.replyToLookups({{"barn", {1, 1}}});
  cr_expect_neq(harness.onlyAttempt(requestId).cacheSalt, before);
}

/// Guards against a proxy that starts from a snapshot and names blocks that the others no longer use.
Test(tenant_isolation, a_proxy_that_starts_from_a_snapshot_uses_the_domains_of_the_others) {
  IsolationHarness harness, late;
  std::string before = harness.saltOf("key-b");
  harness.change(aspIsolated);
  late.configuration = harness.configuration;
  late.sendSnapshot();
  cr_expect_neq(late.saltOf("key-b"), before);
  cr_expect_eq(late.saltOf("key-a"), harness.saltOf("key-a"));
  cr_expect_eq(late.saltOf("key-b"), harness.saltOf("key-b"));
}

/// Guards against the same fault on routes to a model, whose workers are selected by another function.
Test(tenant_isolation, holds_on_routes_to_a_model_too) {
  IsolationHarness harness(ProxyHarness::modelSettings("proxy-1"), modelRouteConfiguration);
  auto saltOf = [&](const std::string& secret) { return harness.saltOf(harness.modelRequest("plan", secret)); };
  std::string before = saltOf("secret-of-asp");
  cr_assert_eq(saltOf("secret-of-olm"), before);
  harness.change(aspIsolated);
  cr_expect_neq(saltOf("secret-of-asp"), before);
  cr_expect_neq(saltOf("secret-of-olm"), before);
  cr_expect_neq(saltOf("secret-of-olm"), saltOf("secret-of-asp"));
}
