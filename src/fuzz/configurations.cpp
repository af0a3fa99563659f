#include <algorithm>

#include "chart.hpp"
#include "configuration.hpp"
#include "fuzz.hpp"
#include "manifests.hpp"
#include "scenario.hpp"

namespace tt {
namespace {

const Strings validPatches{
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

/// The results of all queries of a configuration, as text, to compare two configurations.
std::string describe(const Configuration& view) {
  std::string text = view.text() + "|" + std::to_string(view.bytes()) + "|" + std::to_string(view.revision());
  for (const char* tenant : {"", "olm", "asp"}) text += "|" + view.cacheDomainOf(tenant).name();
  for (const auto& [name, item] : view.section("routes")) {
    auto route = view.findRoute(name);
    if (!route) return "a route cannot be looked up by its name";
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

/// A configuration to which each accepted change is applied, so that later changes are applied to varied content. It is
/// cleared at regular intervals.
struct AccumulatedConfiguration {
  Configuration view;
  static constexpr std::uint64_t roundsPerConfiguration = 64;
  std::uint64_t rounds{0};

  FuzzOutcome runRound(Mutator& mutator) {
    if (++rounds % roundsPerConfiguration == 0) view = Configuration();
    constexpr ChangeFormat formats[] = {ChangeFormat::patch, ChangeFormat::patch, ChangeFormat::complete,
                                        ChangeFormat::sections, ChangeFormat::items};
    auto changeFormat = formats[mutator.randomBelow(std::size(formats))];
    std::string input = mutator.mutatedText(validPatches), before = describe(view);
    auto patch = view.preparePatch(input, changeFormat);
    if (describe(view) != before) return broken("a change is visible before it is applied", input);
    if (!patch) return rejectedWith(patch.error(), input);
    LogEntry entry{view.index() + 1, 1, static_cast<int>(EntryKind::change), patch.value(), "id", view.revision() + 1};
    Configuration replica = view;
    view.apply(entry);
    replica.apply(entry);
    if (describe(replica) != describe(view))
      return broken("two replicas differ after they applied the same change", input);
    Configuration restored;
    if (!restored.installSnapshot(view.snapshot()))
      return broken("the configuration's snapshot cannot be installed", input);
    if (describe(restored) != describe(view))
      return broken(
          "the configuration installed from the snapshot differs:\n" + describe(restored) + "\n" + describe(view),
          input);
    auto reread = view.preparePatch(view.text(), ChangeFormat::complete);
    if (!reread)
      return broken("the configuration in force would be rejected as a new one: " + reread.error().subject, input);
    LogEntry repeated{view.index() + 1, 1,  static_cast<int>(EntryKind::change),
                      reread.value(),   {}, view.revision() + 1};
    Configuration replaced = view;
    replaced.apply(repeated);
    if (replaced.text() != view.text()) return broken("replacing the configuration by itself changes it", input);
    return accepted();
  }
};

FuzzOutcome tryPolicy(Mutator& mutator) {
  static const Strings valid{"fetch peer when hits >= 4 and speed > 10.5\nfetch store when busyness < 0.5\nrecompute",
                             "# comment\n\nfetch store\n", "recompute when hits <= 2 and hits > 0\nfetch peer"};
  std::string input = mutator.mutatedText(valid);
  auto read = Policy::read(input);
  if (!read) return rejectedWith(read.error(), input);
  auto commented = Policy::read(input + "\n# no more\n\n");
  if (!commented) return broken("a policy is invalid after a comment was added", input);
  for (bool store : {false, true}) {
    FetchCandidate candidate{store, static_cast<double>(mutator.randomBelow(9)),
                             static_cast<double>(mutator.randomBelow(20)),
                             static_cast<double>(mutator.randomBelow(10)) / 10};
    if (read.value().fetches(candidate) != commented.value().fetches(candidate))
      return broken("a policy decides differently after a comment was added", input);
  }
  return accepted();
}

FuzzOutcome tryManifests(Mutator& mutator) {
  static const Strings valid{
      R"({"apiVersion":"gateway.networking.k8s.io/v1","kind":"HTTPRoute","metadata":{"name":"chat","annotations":{"trouttally/policy":"p","trouttally/kind":"app"}},"spec":{"rules":[{"backendRefs":[{"name":"moss"}]}]}})",
      R"({"apiVersion":"v1","kind":"List","items":[{"apiVersion":"gateway.networking.k8s.io/v1","kind":"HTTPRoute","metadata":{"name":"a"},"spec":{"rules":[{"backendRefs":[{"name":"moss"}]}]}}]})"};
  std::string input = mutator.mutatedText(valid);
  auto patchText = patchFromManifests(input);
  if (!patchText) return rejectedWith(patchText.error(), input);
  auto patch = parseJson(patchText.value());
  if (!patch || !patch.value().is<JsonObject>()) return broken("the patch is not a JSON object", input);
  for (const auto& [section, items] : patch.value().get<JsonObject>())
    if (section != "routes" || !items.is<JsonObject>())
      return broken("the patch contains something other than routes", input);
  if (auto prepared = Configuration().preparePatch(patchText.value(), false); !prepared)
    if (prepared.error().subject.empty()) return broken("an error has no subject", input);
  return accepted();
}

FuzzOutcome tryChart(Mutator& mutator) {
  static const Strings valid = [] {
    Strings texts;
    for (const auto& [name, text] : chartTexts()) texts.push_back(text);
    return texts;
  }();
  std::string input = mutator.mutatedText(valid);
  auto read = StateChart::read(input);
  if (!read) return rejectedWith(read.error(), input);
  auto reread = StateChart::read("\n# more\n" + input);
  if (!reread || reread.value().actions() != read.value().actions())
    return broken("a state chart differs after a comment was added", input);
  return accepted();
}

FuzzOutcome tryScenario(Mutator& mutator) {
  Strings valid{randomScenario(1 + mutator.randomBelow(64)),
                "title a title\nfleet edges 3 workers 5 tenants 4 spares 1 localities 2\nseed 4\nat 3 kill core-1\n"
                "at 4.5 cut core-1 core-2\nat 9 heal\nuntil 20\nexpect answered > 10\nwithout ackWaits\n"};
  std::string input = mutator.mutatedText(valid);
  auto errors = checkScenario(input);
  for (const auto& error : errors)
    if (error.rfind("line ", 0) != 0) return broken("an error does not name its line: " + error, input);
  return errors.empty() ? accepted() : rejected();
}

}  // namespace

void addConfigurationTargets(FuzzTargets& targets) {
  auto target = std::make_shared<AccumulatedConfiguration>();
  targets.push_back({"configuration", 3000, [target](Mutator& mutator) { return target->runRound(mutator); }});
  targets.push_back({"policies", 10000, tryPolicy});
  targets.push_back({"manifests", 10000, tryManifests});
  targets.push_back({"charts", 4000, tryChart});
  targets.push_back({"scenarios", 2000, tryScenario});
}

}  // namespace tt
