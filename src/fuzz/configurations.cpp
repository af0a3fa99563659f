#include <algorithm>

#include "chart.hpp"
#include "configuration.hpp"
#include "fuzz.hpp"
#include "manifests.hpp"
#include "scenario.hpp"

namespace tt {
namespace {

const Strings goodPatches{
    R"({"services":{"mill":{"healthPath":"/well","connections":200},"weir":{}}})",
    R"({"services":{"barn":{"storeAddress":"10.0.0.9:80","locality":"north-b","tokens":3999,"linkMbps":98000}}})",
    R"({"routes":{"all":{"host":"one.example","prefix":"/","service":"mill","repeat":"safe","timeoutMs":4000,"tries":3}}})",
    R"({"routes":{"deep":{"host":"one.example","prefix":"/alpha/deep","split":[{"service":"mill","weight":3},{"service":"weir","weight":1}],"aimMs":750,"gapMs":350,"open":true,"resumable":true,"priority":2,"extra":{"Fresh":{"Deep":[1,null,{"a":0.1}]}}}}})",
    R"({"routes":{"all":null,"deep":{"host":"one.example","prefix":"/","service":"weir"}}})",
    R"({"tenants":{"olm":{"secrets":["key-b","key-a"],"priority":1,"isolated":true},"asp":{"secrets":[]}}})",
    R"({"tenants":{"olm":{"secrets":["key-b"]},"asp":{"secrets":["key-a"]}}})",
    R"({"weights":{"moss/3":{"model":"moss"},"moss/4":{"model":"moss"}},"models":{"moss":{"weights":"moss/3"}}})",
    R"({"models":{"moss":{"weights":"moss/4"}}})",
    R"({"policies":{"p":"fetch peer when hits >= 4 and speed > 10.5\nrecompute"}})",
    R"({"keys":{"k-1":{"tenant":"olm","secret":"a-secret-of-olm"},"k-2":{"tenant":"asp","secret":"a-secret-of-asp"}}})",
    R"({"keys":{"k-1":{"tenant":"olm","secret":"a-secret-of-asp"},"k-2":{"tenant":"asp","secret":"a-secret-of-olm"}}})",
    R"({"routes":{"chat":{"model":"moss","kind":"language","tenants":["olm"],"policy":"p"}}})",
    R"({"limits":{"callers":{"headerBytes":16384,"bodyBytes":4194304,"headerMs":2500,"idleMs":15000}}})",
    R"({"extra":{"config":{"Later":[{"Name":"l-1","X":1}]},"absent":{"sections":["tenants"]}}})",
    R"({"routes":null,"services":null})",
    R"({"keys":null,"tenants":{"olm":null}})"};

std::string listed(const Configuration& view) {
  std::string text = view.text() + "|" + std::to_string(view.bytes()) + "|" + std::to_string(view.revision());
  for (const auto& [name, item] : view.section("routes")) {
    auto route = view.findRoute(name);
    if (!route) return "a route has no row";
    const auto* owner = route->matchesPath() ? view.routeFor(route->host, route->prefix) : nullptr;
    text += "|" + name + ">" + (owner ? owner->name : "") + "," + std::to_string(route->timeout.count()) + "," +
            std::to_string(route->tries) + "," + std::to_string(route->priority);
    for (const auto& [service, weight] : route->split) text += "," + service + "=" + std::to_string(weight);
  }
  for (const auto& [name, item] : view.section("tenants"))
    if (auto rows = item.get<JsonObject>().find("secrets"); rows != item.get<JsonObject>().end())
      for (const auto& secret : rows->second.get<JsonArray>()) {
        auto key = view.findKey(sha256Hex(secret.get<std::string>()));
        text += "|" + secret.get<std::string>() + ">" + (key ? key->tenant : "");
      }
  for (const auto& [name, item] : view.section("keys")) {
    auto key = view.findKey(stringOr(item, "hash"));
    text += "|" + name + ">" + (key ? key->id + "," + key->tenant : "");
  }
  std::set<std::string> stores;
  for (const auto& store : view.stores()) stores.insert(store.service + "," + store.address + "," + store.zone);
  for (const auto& store : stores) text += "|" + store;
  const auto& limits = view.clientLimits();
  text += "|" + std::to_string(limits.maxHeaderBytes) + "," + std::to_string(limits.maxBodyBytes) + "," +
          std::to_string(limits.headerTimeout.count()) + "," + std::to_string(limits.idleTimeout.count());
  for (const auto& [name, item] : view.section("models")) text += "|" + name + ">" + view.weightsOf(name).value_or("");
  return text;
}

/// A configuration that grows by what is accepted, and is now and then emptied.
struct GrownConfiguration {
  Configuration view;
  std::uint64_t rounds{0};

  FuzzOutcome once(Mutator& mutator) {
    if (++rounds % 64 == 0) view = Configuration();
    constexpr ChangeFormat manners[] = {ChangeFormat::patch, ChangeFormat::patch, ChangeFormat::complete,
                                        ChangeFormat::sections, ChangeFormat::items};
    auto changeFormat = manners[mutator.randomBelow(std::size(manners))];
    std::string input = mutator.mutatedText(goodPatches), before = listed(view);
    auto patch = view.preparePatch(input, changeFormat);
    if (listed(view) != before) return broken("a change that was only prepared shows", input);
    if (!patch) return rejectedWith(patch.error(), input);
    LogEntry entry{view.index() + 1, 1, static_cast<int>(EntryKind::change), patch.value(), "id", view.revision() + 1};
    Configuration twin = view;
    view.apply(entry);
    twin.apply(entry);
    if (listed(twin) != listed(view)) return broken("two replicas apply it differently", input);
    Configuration complete;
    if (!complete.installSnapshot(view.snapshot())) return broken("its snapshot cannot be adopted", input);
    if (listed(complete) != listed(view))
      return broken("whole it reads otherwise than applied:\n" + listed(complete) + "\n" + listed(view), input);
    auto again = view.preparePatch(view.text(), ChangeFormat::complete);
    if (!again) return broken("what is in force would be refused: " + again.error().subject, input);
    LogEntry repeated{view.index() + 1, 1, static_cast<int>(EntryKind::change), again.value(), {}, view.revision() + 1};
    Configuration over = view;
    over.apply(repeated);
    if (over.text() != view.text()) return broken("what is in force, sent again whole, changes it", input);
    return accepted();
  }
};

FuzzOutcome tryPolicy(Mutator& mutator) {
  static const Strings good{"fetch peer when hits >= 4 and speed > 10.5\nfetch store when busyness < 0.5\nrecompute",
                            "# comment\n\nfetch store\n", "recompute when hits <= 2 and hits > 0\nfetch peer"};
  std::string input = mutator.mutatedText(good);
  auto read = Policy::read(input);
  if (!read) return rejectedWith(read.error(), input);
  auto spaced = Policy::read(input + "\n# no more\n\n");
  if (!spaced) return broken("a comment makes it invalid", input);
  for (bool store : {false, true}) {
    FetchCandidate facts{store, static_cast<double>(mutator.randomBelow(9)),
                         static_cast<double>(mutator.randomBelow(20)),
                         static_cast<double>(mutator.randomBelow(10)) / 10};
    if (read.value().fetches(facts) != spaced.value().fetches(facts)) return broken("a comment changes it", input);
  }
  return accepted();
}

FuzzOutcome tryManifests(Mutator& mutator) {
  static const Strings good{
      R"({"apiVersion":"gateway.networking.k8s.io/v1","kind":"HTTPRoute","metadata":{"name":"chat","annotations":{"trouttally/policy":"p","trouttally/kind":"app"}},"spec":{"rules":[{"backendRefs":[{"name":"moss"}]}]}})",
      R"({"apiVersion":"v1","kind":"List","items":[{"apiVersion":"gateway.networking.k8s.io/v1","kind":"HTTPRoute","metadata":{"name":"a"},"spec":{"rules":[{"backendRefs":[{"name":"moss"}]}]}}]})"};
  std::string input = mutator.mutatedText(good);
  auto made = patchFromManifests(input);
  if (!made) return rejectedWith(made.error(), input);
  auto patch = parseJson(made.value());
  if (!patch || !patch.value().is<JsonObject>()) return broken("the patch is no object", input);
  for (const auto& [section, items] : patch.value().get<JsonObject>())
    if (section != "routes" || !items.is<JsonObject>()) return broken("the patch holds more than routes", input);
  if (auto prepared = Configuration().preparePatch(made.value(), false); !prepared)
    if (prepared.error().subject.empty()) return broken("a refusal names no subject", input);
  return accepted();
}

FuzzOutcome tryChart(Mutator& mutator) {
  static const Strings good = [] {
    Strings rows;
    for (const auto& [name, text] : chartTexts()) rows.push_back(text);
    return rows;
  }();
  std::string input = mutator.mutatedText(good);
  auto read = StateChart::read(input);
  if (!read) return rejectedWith(read.error(), input);
  auto again = StateChart::read("\n# more\n" + input);
  if (!again || again.value().actions() != read.value().actions()) return broken("a comment changes it", input);
  return accepted();
}

FuzzOutcome tryScenario(Mutator& mutator) {
  Strings good{randomScenario(1 + mutator.randomBelow(64)),
               "title a title\nfleet edges 3 workers 5 tenants 4 spares 1 localities 2\nseed 4\nat 3 kill core-1\n"
               "at 4.5 cut core-1 core-2\nat 9 heal\nuntil 20\nexpect answered > 10\nwithout ackWaits\n"};
  std::string input = mutator.mutatedText(good);
  auto troubles = checkScenario(input);
  for (const auto& trouble : troubles)
    if (trouble.rfind("line ", 0) != 0) return broken("a trouble names no line: " + trouble, input);
  return troubles.empty() ? accepted() : rejected();
}

}  // namespace

void addConfigurationTargets(FuzzTargets& targets) {
  auto grown = std::make_shared<GrownConfiguration>();
  targets.push_back({"configuration", 3000, [grown](Mutator& mutator) { return grown->once(mutator); }});
  targets.push_back({"policies", 10000, tryPolicy});
  targets.push_back({"manifests", 10000, tryManifests});
  targets.push_back({"charts", 4000, tryChart});
  targets.push_back({"scenarios", 2000, tryScenario});
}

}  // namespace tt
