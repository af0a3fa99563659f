#include "operator_wire.hpp"
#include "proxy_router_harness.hpp"

/// Tests that a section without items is told apart from one that the configuration does not have, and that both are
/// enforced and read back as they were put.
using namespace tt;

namespace {
/// null is put as such; it counts as a list without items, and is read back as one.
enum class ListState { absent, null, list };

/// A list of tenants as an operator has put it.
struct TenantList {
  ListState state{ListState::absent};
  std::set<std::string> names;
};

std::string keyOf(const std::string& tenant) { return "key-of-" + tenant; }

std::string tenantRows(const std::set<std::string>& names) {
  JsonArray rows;
  for (const auto& name : names)
    rows.emplace_back(
        JsonObject{{"Name", Json(name)}, {"ApiKeys", Json(JsonArray{Json(keyOf(name))})}, {"Priority", Json(3.0)}});
  return Json(rows).serialize();
}

/// A proxy that is driven by what operators send to the platform's interface.
class OperatedProxy {
 public:
  OperatedProxy() : harness(ProxyHarness::pathSettings("proxy-1"), R"({"services":{"mill":{}}})") {
    harness.addWorkers(2);
  }
  void put(const TenantList& tenants) {
    std::string text = R"({"Revision":)" + nextRevision() +
                       R"(,"Backends":[{"Name":"mill"}],"Routes":[{"Name":"once","Hostname":"h","PathPrefix":"/once/",)"
                       R"("RouteKind":"non_idempotent","MaxAttempts":1,"Backend":"mill","Public":false}])";
    if (tenants.state == ListState::null) text += R"(,"Tenants":null)";
    if (tenants.state == ListState::list) text += R"(,"Tenants":)" + tenantRows(tenants.names);
    apply(readConfig(text + "}"), ChangeFormat::sections);
  }
  void upsert(const std::set<std::string>& names) { patch(R"("Upsert":{"Tenants":)" + tenantRows(names) + "}"); }
  void remove(const std::set<std::string>& names) {
    JsonArray rows;
    for (const auto& name : names) rows.emplace_back(name);
    patch(R"("Remove":{"Tenants":)" + Json(rows).serialize() + "}");
  }
  /// Starts the proxy again, from a snapshot.
  void restart() { restartFrom(harness.configuration.view.snapshot()); }
  /// The same from a snapshot as it was written before sections without items were kept.
  void restartFromOlderSnapshot() {
    auto snapshot = harness.configuration.view.snapshot();
    JsonObject content = parseJson(snapshot.configuration).value().get<JsonObject>();
    content.erase("cacheDomains");
    for (auto row = content.begin(); row != content.end();)
      row = row->second.get<JsonObject>().empty() ? content.erase(row) : std::next(row);
    snapshot.configuration = Json(content).serialize();
    restartFrom(snapshot);
  }
  /// Whom a request with this key runs for: the tenant's name, "" without one, or "denied" if it gets a 401.
  std::string runsFor(const std::string& key) {
    auto requestId = harness.submit("/once/x", key);
    harness.replyToLookups({});
    auto attempts = harness.attemptsOf(requestId);
    if (attempts.empty()) {
      cr_expect_eq(codeStatus(static_cast<Code>(harness.finalStatusOf(requestId).code)), 401);
      return "denied";
    }
    harness.endAttempt(attempts[0].requestId, AttemptOutcome::done);
    return attempts[0].tenant;
  }
  /// The list of tenants in the configuration that operators read.
  TenantList readBack() const {
    auto read = parseJson(writeConfig(harness.configuration.view));
    TenantList list;
    if (!read.value().contains("Tenants")) return list;
    list.state = ListState::list;
    for (const auto& row : read.value().get("Tenants").get<JsonArray>()) list.names.insert(stringOr(row, "Name"));
    return list;
  }
  ProxyHarness harness;

 private:
  std::uint64_t revision{1};

  std::string nextRevision() { return std::to_string(++revision); }
  void patch(const std::string& edits) {
    apply(readConfigPatch(R"({"Revision":)" + nextRevision() + "," + edits + "}"), ChangeFormat::edits);
  }
  void apply(const Result<OperatorChange>& change, ChangeFormat changeFormat) {
    cr_assert(bool(change));
    harness.change(change.value().sections, changeFormat);
  }
  void restartFrom(const Snapshot& snapshot) {
    cr_assert(bool(harness.configuration.view.installSnapshot(snapshot)));
    harness.router = std::make_unique<ProxyRouter>(ProxyHarness::pathSettings("proxy-1"));
    harness.deliver(agentAddress, NewsMsg{snapshot.index, {}, {snapshot}});
    harness.tick();
    harness.publishCells();
    harness.tick();
  }
};

/// Checks what the proxy enforces and what operators read against the list as it was put.
void expectTenants(OperatedProxy& proxy, const TenantList& expected, const std::string& doing) {
  bool absent = expected.state == ListState::absent;
  for (const std::string tenant : {"t0", "t1", "t2", "t3"}) {
    std::string runsFor = expected.names.count(tenant) ? tenant : absent ? "" : "denied";
    cr_expect_eq(proxy.runsFor(keyOf(tenant)), runsFor, "%s: key of %s", doing.c_str(), tenant.c_str());
  }
  for (const std::string key : {"", "key-of-nobody"})
    cr_expect_eq(proxy.runsFor(key), absent ? "" : "denied", "%s: key '%s'", doing.c_str(), key.c_str());
  auto read = proxy.readBack();
  cr_expect((read.state == ListState::absent) == absent && read.names == expected.names, "%s: read back",
            doing.c_str());
}
}  // namespace

/// Guards against keys that work again once the last tenant was removed (review case 1).
Test(declared_sections, removing_the_last_tenant_lets_nobody_in) {
  OperatedProxy proxy;
  proxy.put({ListState::list, {"t0", "t1"}});
  expectTenants(proxy, {ListState::list, {"t0", "t1"}}, "put");
  proxy.remove({"t0"});
  expectTenants(proxy, {ListState::list, {"t1"}}, "one removed");
  proxy.remove({"t1"});
  expectTenants(proxy, {ListState::list, {}}, "all removed");
  proxy.restart();
  expectTenants(proxy, {ListState::list, {}}, "started from a snapshot");
  proxy.upsert({"t2"});
  expectTenants(proxy, {ListState::list, {"t2"}}, "one added");
}

Test(declared_sections, only_a_configuration_without_a_list_of_tenants_asks_no_keys) {
  OperatedProxy proxy;
  proxy.put({ListState::absent, {}});
  expectTenants(proxy, {ListState::absent, {}}, "put without a list");
  proxy.remove({"t0"});
  expectTenants(proxy, {ListState::absent, {}}, "removed from no list");
  proxy.put({ListState::list, {}});
  expectTenants(proxy, {ListState::list, {}}, "put with an empty list");
  proxy.put({ListState::absent, {}});
  expectTenants(proxy, {ListState::absent, {}}, "put without a list again");
  proxy.put({ListState::null, {}});
  expectTenants(proxy, {ListState::null, {}}, "put with null");
  proxy.upsert({});
  expectTenants(proxy, {ListState::list, {}}, "an empty list in place of null");
  proxy.put({ListState::absent, {}});
  proxy.upsert({});
  expectTenants(proxy, {ListState::list, {}}, "an empty list added");
}

/// Guards against keys that work again after any order of changes and starts, also from snapshots of older processes.
Test(declared_sections, random_changes_are_enforced_and_read_back) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    std::mt19937_64 randomSource(seed);
    auto randomNames = [&] {
      std::set<std::string> names;
      for (int number = 0; number < 4; ++number)
        if (randomSource() % 2) names.insert("t" + std::to_string(number));
      return names;
    };
    OperatedProxy proxy;
    TenantList expected;
    proxy.put(expected);
    for (int number = 0; number < 25; ++number) {
      auto names = randomNames();
      auto choice = randomSource() % 6;
      if (choice <= 2) {
        ListState state = choice == 2 ? ListState::list : choice == 1 ? ListState::null : ListState::absent;
        expected = {state, state == ListState::list ? names : std::set<std::string>()};
        proxy.put(expected);
      } else if (choice == 3) {
        proxy.upsert(names);
        expected.state = ListState::list;
        expected.names.insert(names.begin(), names.end());
      } else {
        if (choice == 5) names = expected.names;
        proxy.remove(names);
        for (const auto& name : names) expected.names.erase(name);
      }
      if (randomSource() % 4 == 0) proxy.restart();
      if (randomSource() % 8 == 0) proxy.restartFromOlderSnapshot();
      expectTenants(proxy, expected, "seed " + std::to_string(seed) + " change " + std::to_string(number));
    }
  }
}

/// Guards against a fleet without tenants that denies everything once its log is read by this version.
Test(declared_sections, an_entry_of_an_older_core_that_has_no_list_of_tenants_asks_no_keys) {
  Configuration view;
  auto apply = [&](const std::string& body) {
    view.apply(LogEntry{view.index() + 1, 1, static_cast<int>(EntryKind::change), body, {}, 0});
  };
  apply(R"({"tenants":{},"extra":{"absent":{"tenants":true},"config":{}}})");
  cr_expect_not(view.requiresKeys());
  apply(R"({"tenants":{},"extra":{"config":{"Mark":1}}})");
  cr_expect_not(view.requiresKeys(), "an unchanged mark is not sent again");
  apply(R"({"tenants":{"t0":{"secrets":["key-of-t0"]}},"extra":{"absent":null}})");
  apply(R"({"tenants":{"t0":null}})");
  cr_expect(view.requiresKeys());
}

/// Guards against the same fault in the operators' interface of the fleet itself, which has keys beside tenants.
Test(declared_sections, patches_that_take_all_tenants_and_keys_away_let_nobody_in) {
  const std::string tenantAndKey =
      R"({"tenants":{"asp":{}},"keys":{"asp-key":{"tenant":"asp","secret":"secret-of-asp"}}})";
  for (const char* removal : {R"({"keys":{"asp-key":null},"tenants":{"asp":null}})", R"({"keys":null,"tenants":null})",
                              R"({"keys":{"asp-key":null}})"}) {
    TestConfiguration configuration;
    configuration.change(R"({"keys":null,"tenants":{"asp":null}})");
    cr_expect_not(configuration.view.requiresKeys(), "nothing was declared yet");
    configuration.change(tenantAndKey);
    configuration.change(removal);
    cr_expect(configuration.view.requiresKeys(), "%s", removal);
    TestConfiguration again;
    cr_assert(bool(again.view.installSnapshot(configuration.view.snapshot())));
    cr_expect(again.view.requiresKeys(), "%s, from a snapshot", removal);
    cr_expect_eq(again.view.text(), configuration.view.text());
    again.change(again.view.text(), ChangeFormat::complete);
    cr_expect(again.view.requiresKeys(), "%s, put again as read", removal);
    again.change(R"({"services":{"mill":{}}})", ChangeFormat::complete);
    cr_expect_not(again.view.requiresKeys(), "a complete configuration without both sections asks no keys");
  }
}

/// Guards against a route that serves all tenants once its list of tenants was emptied.
Test(declared_sections, a_route_whose_list_of_tenants_was_emptied_serves_nobody) {
  ProxyHarness harness(ProxyHarness::modelSettings("proxy-1"), R"({
    "weights":{"moss/3":{"model":"moss"}},"models":{"moss":{"weights":"moss/3"}},"tenants":{"asp":{},"olm":{}},
    "keys":{"asp-key":{"tenant":"asp","secret":"secret-of-asp"},"olm-key":{"tenant":"olm","secret":"secret-of-olm"}},
    "routes":{"plan":{"model":"moss","tenants":["asp"]}}})");
  harness.addWorkers(2);
  auto runs = [&](const std::string& key) {
    return !harness.attemptsOf(harness.submit(harness.modelRequest("plan", key))).empty();
  };
  cr_expect(runs("secret-of-asp"));
  cr_expect_not(runs("secret-of-olm"));
  harness.change(R"({"routes":{"plan":{"tenants":[]}}})");
  cr_expect_not(runs("secret-of-asp"));
  cr_expect_not(runs("secret-of-olm"));
  harness.change(R"({"routes":{"plan":{"tenants":null}}})");
  cr_expect(runs("secret-of-asp"));
  cr_expect(runs("secret-of-olm"));
}
