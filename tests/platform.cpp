#include <criterion/criterion.h>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "backend_wire.hpp"
#include "item_edits.hpp"
#include "operator_wire.hpp"
#include "settings.hpp"

using namespace tt;

namespace {
const std::string fullConfig = R"({"Revision":12,"Routes":[
  {"Name":"r-zeta","Hostname":"one.example","PathPrefix":"/alpha/","RouteKind":"streaming","TimeoutMs":9000,
   "TargetLatencyMs":750,"Priority":2,"TrafficSplit":[{"Backend":"mill","Weight":70},{"Backend":"mill","Weight":30,"Note":"späť/\"x\""}],
   "MaxAttempts":3,"Public":false,"Sticky":true,"Resumable":true,"GapTargetMs":350,"Fresh":{"Deep":[1,null,{"a":0.1}]}},
  {"Name":"r-alpha","Hostname":"one.example","PathPrefix":"/beta/","RouteKind":"idempotent","TimeoutMs":4000,
   "Priority":0,"Backend":"weir","MaxAttempts":1,"Public":true,"TargetLatencyMs":null},
  {"Name":"r-mid","Hostname":"two.example","PathPrefix":"/beta/","RouteKind":"non_idempotent","Backend":"mill"}],
 "Backends":[
  {"Name":"weir","HealthPath":"/well","MaxConns":200,"Protocol":"h1","Tls":false},
  {"Name":"mill","HealthPath":"/well","MaxConns":510,"Protocol":"h1","Tls":false,"Engine":{"Slots":64,
   "KvCapacityTokens":200003,"TokenKvBytes":16384,"LinkMbps":370000.5,"Stride":4,"MaxInflight":9,"Odd":true,
   "Models":[{"Name":"moss7","SizeMb":12.25,"name":"lower"}]}},
  {"Name":"barn","KvStoreAddr":"172.20.0.9:8680","Zone":"north-b","KvCapacityTokens":3999,"LinkMbps":98000,"MaxInflight":7}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":2500,"IdleTimeoutMs":15000,"MaxOdd":5},
 "Tenants":[{"Name":"olm","ApiKeys":["key-b","key-a"],"Priority":1,"Isolated":true,"Since":3},{"Name":"asp","ApiKeys":[]}],
 "Later":[{"Name":"l-1","X":1},{"Name":"l-2","X":2}],"Mark":9007199254740991})";

Json parsed(const std::string& text) {
  auto read = parseJson(text);
  cr_assert(bool(read), "%s", text.c_str());
  return read.value();
}
JsonObject sectionsOf(const OperatorChange& change) { return parsed(change.sections).get<JsonObject>(); }
JsonObject readFullConfig(const std::string& text) {
  auto change = readConfig(text);
  cr_assert(bool(change), "%s: %s", change.error().subject.c_str(), change.error().text.c_str());
  return sectionsOf(change.value());
}
/// Resolves the edits of a patch into complete items, based on the current sections.
JsonObject resolved(const JsonObject& sections, JsonObject patch) {
  std::map<std::string, JsonObject> currentItems;
  for (const auto& [section, items] : sections) currentItems[section] = items.get<JsonObject>();
  auto done = resolveEdits(patch, currentItems);
  cr_assert(bool(done), "%s", bool(done) ? "" : done.error().subject.c_str());
  return patch;
}
/// Applies a patch by replacing complete items.
void replaceItems(JsonObject& sections, const JsonObject& edits) {
  for (const auto& [section, items] : resolved(sections, edits))
    for (const auto& [name, item] : items.get<JsonObject>()) {
      auto& target = sections[section].get<JsonObject>();
      if (item.is<picojson::null>())
        target.erase(name);
      else
        target[name] = item;
    }
}
std::string replaced(std::string text, const std::string& old, const std::string& replacement) {
  auto position = text.find(old);
  cr_assert_neq(position, std::string::npos, "%s", old.c_str());
  return text.replace(position, old.size(), replacement);
}
/// Passes 4000 random mutations of a valid text to read. The seed is fixed.
template <class Read>
void mutate(const std::string& valid, Read read) {
  std::mt19937 random(20240817);
  const std::string characters = "\"\\{}[]:,0123456789-+.eEu\n\x01\xff tfn";
  auto pick = [&](std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(random); };
  for (int round = 0; round < 4000; ++round) {
    std::string text = valid;
    for (std::size_t left = 1 + pick(4); left && !text.empty(); --left) {
      std::size_t position = pick(text.size());
      switch (pick(5)) {
        case 0:
          text[position] = static_cast<char>(pick(256));
          break;
        case 1:
          text[position] = characters[pick(characters.size())];
          break;
        case 2:
          text.erase(position, 1 + pick(8));
          break;
        case 3:
          text.insert(position, text.substr(pick(text.size()), pick(20)));
          break;
        default:
          text.resize(position);
      }
    }
    read(text);
  }
}
const std::string siteLines =
    "NodeName=front-7\r\nRole=gate\r\nMachineClass=edge\r\nServes=edge,control\r\nIp=10.9.0.3\r\nZone=north-a\r\n"
    "Region=north\r\nZones.north-a=north\r\nZones.south-a=south\r\n\r\nListenAddrs.Front=10.9.0.3:9001\r\n"
    "ListenAddrs.Readiness=10.9.0.3:9002\r\nListenAddrs.Control=10.9.0.3:9003\r\nInternalPorts=7400,7411\r\n"
    "SeedPeers=10.9.0.4:9003, 10.9.1.4:9003\r\nBootstrap=true\r\nLossCounted=false\r\nLimits.CpuShare=0.5\r\n"
    "Limits.Cores=2\r\nLimits.MemoryMb=300\r\nLimits.MaxFds=5000\r\nLimits.LinkMbps=800.5\r\nLimits.DiskMb=64\r\n"
    "DataDir=/data/x\r\nDiscovery=cloud\r\nEntryMode=vip\r\nBeatIntervalMs=900\r\nContracts=base,stream\r\n"
    "FaultBudget.Machines=2\r\nFaultBudget.Zones=1\r\nFaultBudget.Regions=0\r\nBounds.SeedLagS=2.5\r\n"
    "Bounds.AckMs=3500\r\nBounds.RevokeGlobal=false\r\nBounds.RetryRatio=0.3\r\nBounds.RetrySlack=61\r\n"
    "Bounds.FenceChecked=false\r\nBounds.VersionMs=9000\r\nCloudApi.Address=10.200.0.1:8600\r\nCloudApi.RatePerS=33."
    "5\r\n"
    "CloudApi.Duties=\r\nCloudApi.MaxLagMs=650\r\nNewField.Of=tomorrow\r\n";
std::string withoutField(const std::string& field) {
  std::string remaining;
  std::istringstream lines(siteLines);
  for (std::string line; std::getline(lines, line);)
    if (line.rfind(field + "=", 0) != 0) remaining += line + "\n";
  return remaining;
}
const std::string eventsBody =
    R"({"Epoch":9912,"NextToken":502,"Lost":false,"New":{"a":[1.5e3,null,"\u00e9"]},"Events":[)"
    R"([501,"+","salt-1","ab12",640,"moss7"], [502,"-","","cd\"34\ud83d\ude00",0,"moss7"]]})";
const std::string listBody =
    R"({"Epoch":9912,"NextToken":502,"Held":[["salt-1","ab12",640,"moss7"],["","cd34",8,"fern"]]})";
const std::string pageBody =
    R"({"Instances":[{"Backend":"mill","Address":"10.128.0.4:8080","Zone":"north-a","Revision":"v3","Slots":64,)"
    R"("State":"draining","ColdLeftMs":1200,"Phase":"colocated","Models":[{"Name":"moss7","Revision":4,"Adapters":[]}],"Id":"i-1"},)"
    R"({"Backend":"weir","Address":"10.128.0.5:8080","Zone":"north-b","State":"ready","Id":"i-2"}],"NextToken":"p-9"})";
const std::string reportBody =
    R"({"Phase":"colocated","Models":[{"Name":"moss7","Revision":4}],"Saturated":true,"CallSeq":5,"Queued":2,"Active":11,"KvUsed":4100,"KvTotal":9000,"Handles":0})";
}  // namespace

Test(operator_wire, a_configuration_round_trips) {
  auto change = readConfig(fullConfig);
  cr_assert(bool(change), "%s", change.error().subject.c_str());
  cr_assert_eq(change.value().revision, 12u);
  auto sections = sectionsOf(change.value());
  auto again = parsed(writeConfig(12, sections));
  cr_assert(again == parsed(fullConfig), "%s", again.serialize().c_str());
  for (const char* section : {"routes", "services", "tenants", "limits", "extra"}) cr_assert(sections.count(section));
  auto route = sections["routes"].get("r-zeta");
  cr_assert_eq(stringOr(route, "repeat"), "stream");
  cr_assert_eq(integerOr(route, "tries", 0), 3);
  cr_assert_eq(integerOr(route, "at", -1), 0);
  cr_assert_eq(integerOr(route.get("split").get(1), "weight", 0), 30);
  cr_assert_not(boolOr(route, "open", true));
  cr_assert_not(sections["routes"].get("r-mid").contains("timeoutMs"));
  cr_assert_eq(stringOr(sections["routes"].get("r-alpha"), "service"), "weir");
  cr_assert_eq(stringOr(sections["services"].get("mill").get("engine").get("models").get(0), "name"), "moss7");
  cr_assert_eq(stringOr(sections["services"].get("barn"), "storeAddress"), "172.20.0.9:8680");
  cr_assert_eq(integerOr(sections["limits"].get("callers"), "headerMs", 0), 2500);
  cr_assert(boolOr(sections["tenants"].get("olm"), "isolated", false));
}

Test(operator_wire, absent_lists_stay_absent) {
  for (std::string text : {R"({"Revision":1})", R"({"Revision":1,"Routes":[],"Backends":[],"Tenants":[],"Limits":{}})",
                           R"({"Revision":1,"Routes":null,"Limits":null,"Tenants":[]})"}) {
    auto sections = readFullConfig(text);
    for (const char* section : {"routes", "services", "tenants", "limits", "extra"})
      cr_assert(sections.count(section) && sections[section].is<JsonObject>());
    cr_assert(parsed(writeConfig(1, sections)) == parsed(text), "%s", writeConfig(1, sections).c_str());
  }
}

Test(operator_wire, patched_items_keep_their_order) {
  auto sections = readFullConfig(fullConfig);
  auto change = readConfigPatch(R"({"Revision":15,"Upsert":{
      "Routes":[{"Name":"r-new","Backend":"weir","PathPrefix":"/n/"},{"Name":"r-zeta","Backend":"mill","TimeoutMs":10},{"Name":"r-newer","Backend":"weir"}],
      "Tenants":[{"Name":"olm","ApiKeys":["key-c"]}],"Limits":{"IdleTimeoutMs":7},"Later":[{"Name":"l-1","X":5},{"Name":"l-3"}]},
      "Remove":{"Routes":["r-alpha","r-unknown"],"Backends":["barn"],"Later":["l-2"]}})");
  cr_assert(bool(change), "%s", change.error().subject.c_str());
  cr_assert_eq(change.value().revision, 15u);
  auto patch = resolved(sections, sectionsOf(change.value()));
  cr_assert(patch["routes"].get("r-alpha").is<picojson::null>());
  cr_assert(patch["services"].get("barn").is<picojson::null>());
  cr_assert_not(patch["services"].contains("mill"));
  cr_assert_eq(integerOr(patch["routes"].get("r-zeta"), "at", -1), 0);
  cr_assert_eq(integerOr(patch["routes"].get("r-new"), "at", -1), 3);
  replaceItems(sections, sectionsOf(change.value()));
  auto config = parsed(writeConfig(15, sections));
  std::string order;
  for (const auto& route : config.get("Routes").get<JsonArray>()) order += stringOr(route, "Name") + " ";
  cr_assert_eq(order, "r-zeta r-mid r-new r-newer ");
  cr_assert(config.get("Routes").get(0) == parsed(R"({"Name":"r-zeta","Backend":"mill","TimeoutMs":10})"));
  cr_assert(config.get("Limits") == parsed(R"({"IdleTimeoutMs":7})"));
  cr_assert(config.get("Later") == parsed(R"([{"Name":"l-1","X":5},{"Name":"l-3"}])"));
  cr_assert(config.get("Tenants").get(0) == parsed(R"({"Name":"olm","ApiKeys":["key-c"]})"));
  cr_assert(config.get("Mark") == parsed("9007199254740991"));
}

Test(operator_wire, a_patch_adds_an_absent_list) {
  auto sections = readFullConfig(R"({"Revision":1,"Backends":[]})");
  auto change = readConfigPatch(R"({"Revision":2,"Upsert":{"Tenants":[{"Name":"olm","ApiKeys":["k"]}]}})");
  cr_assert(bool(change));
  replaceItems(sections, sectionsOf(change.value()));
  change = readConfigPatch(R"({"Revision":3,"Remove":{"Tenants":["olm"]}})");
  cr_assert(bool(change));
  replaceItems(sections, sectionsOf(change.value()));
  auto config = parsed(writeConfig(3, sections));
  cr_assert(config == parsed(R"({"Revision":3,"Backends":[],"Tenants":[]})"), "%s", config.serialize().c_str());
}

Test(operator_wire, errors_name_the_item) {
  struct Case {
    std::string old, replacement, subject;
    Code code;
  };
  const std::vector<Case> cases{
      {"\"Revision\":12,", "", "Revision", Code::missingField},
      {"\"Revision\":12", "\"Revision\":0", "Revision", Code::badField},
      {"\"Revision\":12", "\"Revision\":1.5", "Revision", Code::badField},
      {"\"Revision\":12", "\"Revision\":\"12\"", "Revision", Code::badField},
      {"\"Revision\":12", "\"Revision\":12]", "body", Code::badJson},
      {"{\"Revision\"", "[{\"Revision\"", "body", Code::badJson},
      {"\"Routes\":[", "\"Routes\":7,\"Routings\":[", "Routes", Code::badField},
      {"\"Routes\":[", "\"Routes\":[7,", "Routes[0]", Code::badField},
      {"\"Name\":\"r-zeta\",", "", "Routes[0].Name", Code::missingField},
      {"\"Name\":\"r-zeta\"", "\"Name\":\"\"", "Routes[0].Name", Code::badField},
      {"r-alpha", "r-zeta", "Routes.r-zeta", Code::blueprintBad},
      {"\"Name\":\"weir\"", "\"Name\":\"mill\"", "Backends.mill", Code::blueprintBad},
      {"\"Name\":\"asp\"", "\"Name\":\"olm\"", "Tenants.olm", Code::blueprintBad},
      {"\"Backend\":\"weir\"", "\"Backend\":\"gone\"", "Routes.r-alpha.Backend", Code::blueprintBad},
      {"\"Backend\":\"weir\",", "", "Routes.r-alpha.Backend", Code::missingField},
      {"\"Backend\":\"weir\"", "\"Backend\":1", "Routes.r-alpha.Backend", Code::badField},
      {"{\"Backend\":\"mill\",\"Weight\":30", "{\"Backend\":\"gone\",\"Weight\":30", "Routes.r-zeta.TrafficSplit",
       Code::blueprintBad},
      {"\"Weight\":30", "\"Weight\":-1", "Routes.r-zeta.TrafficSplit", Code::blueprintBad},
      {",\"Weight\":30", "", "Routes.r-zeta.TrafficSplit[1].Weight", Code::missingField},
      {"\"Weight\":70},{\"Backend\":\"mill\",\"Weight\":30", "\"Weight\":0},{\"Backend\":\"mill\",\"Weight\":0",
       "Routes.r-zeta.TrafficSplit", Code::blueprintBad},
      {"\"TimeoutMs\":4000", "\"TimeoutMs\":0", "Routes.r-alpha.TimeoutMs", Code::blueprintBad},
      {"\"TimeoutMs\":4000", "\"TimeoutMs\":\"4000\"", "Routes.r-alpha.TimeoutMs", Code::badField},
      {"\"Public\":true", "\"Public\":1", "Routes.r-alpha.Public", Code::badField},
      {"\"RouteKind\":\"idempotent\"", "\"RouteKind\":\"often\"", "Routes.r-alpha.RouteKind", Code::badField},
      {"two.example", "one.example", "Routes.r-mid", Code::blueprintBad},
      {"\"Engine\":{", "\"Engine\":5,\"Engineering\":{", "Backends.mill.Engine", Code::badField},
      {"\"Stride\":4", "\"Stride\":[]", "Backends.mill.Engine.Stride", Code::badField},
      {"[{\"Name\":\"moss7\"", "[{\"Nom\":\"moss7\"", "Backends.mill.Engine.Models[0].Name", Code::missingField},
      {"\"Limits\":{", "\"Limits\":[],\"Limited\":{", "Limits", Code::badField},
      {"\"IdleTimeoutMs\":15000", "\"IdleTimeoutMs\":true", "Limits.IdleTimeoutMs", Code::badField},
      {"\"key-a\"", "7", "Tenants.olm.ApiKeys[1]", Code::badField},
      {"\"ApiKeys\":[]", "\"ApiKeys\":[\"key-a\"]", "Tenants.asp.ApiKeys", Code::blueprintBad},
  };
  for (const auto& [old, replacement, subject, code] : cases) {
    auto change = readConfig(replaced(fullConfig, old, replacement));
    cr_assert_not(bool(change), "%s", replacement.c_str());
    cr_expect_eq(change.error().subject, subject, "%s: %s", subject.c_str(), change.error().subject.c_str());
    cr_expect_eq(change.error().code, code, "%s: %s", subject.c_str(), codeName(change.error().code));
    cr_expect_eq(codeStatus(change.error().code), 400);
  }
  for (auto [text, subject] : std::vector<std::pair<std::string, std::string>>{
           {R"([])", "body"},
           {R"({"Upsert":{}})", "Revision"},
           {R"({"Revision":3,"Upsert":[]})", "Upsert"},
           {R"({"Revision":3,"Remove":{"Routes":"r"}})", "Remove.Routes"},
           {R"({"Revision":3,"Remove":{"Routes":[1]}})", "Remove.Routes"},
           {R"({"Revision":3,"Upsert":{"Routes":{}}})", "Routes"},
           {R"({"Revision":3,"Upsert":{"Routes":null}})", "Routes"},
           {R"({"Revision":3,"Upsert":{"Limits":[]}})", "Limits"},
           {R"({"Revision":3,"Upsert":{"Routes":[{"Name":"r","Backend":"x","TimeoutMs":0}]}})", "Routes.r.TimeoutMs"},
           {R"({"Revision":3,"Upsert":{"Routes":[{"Name":"r","TrafficSplit":[]}]}})", "Routes.r.TrafficSplit"},
           {R"({"Revision":3,"Upsert":{"Routes":[{"Name":"r","Backend":"x"}]},"Remove":{"Routes":["r"]}})",
            "Routes.r"}}) {
    auto change = readConfigPatch(text);
    cr_assert_not(bool(change), "%s", text.c_str());
    cr_expect_eq(change.error().subject, subject, "%s", change.error().subject.c_str());
  }
}

Test(operator_wire, reads_the_new_weights_revision) {
  auto put = readVersionPut(R"({"Model":"moss7","Revision":3,"More":[]})");
  cr_assert(bool(put));
  cr_assert_eq(put.value().first, "moss7");
  cr_assert_eq(put.value().second, 3u);
  for (std::string text :
       {"", "7", "{}", R"({"Model":"m"})", R"({"Model":"","Revision":1})", R"({"Model":"m","Revision":0})",
        R"({"Model":5,"Revision":1})", R"({"Model":"m","Revision":"1"})"})
    cr_assert_not(bool(readVersionPut(text)), "%s", text.c_str());
}

Test(settings, reads_every_field) {
  auto read = readSettings(siteLines);
  cr_assert(bool(read), "%s %s", read.error().subject.c_str(), read.error().text.c_str());
  const auto& site = read.value();
  cr_assert_eq(site.nodeName, "front-7");
  cr_assert(site.servesAs("edge") && site.servesAs("control") && !site.servesAs("edges"));
  cr_assert_eq(site.regionByZone.at("south-a"), "south");
  cr_assert_eq(site.controlAddress, "10.9.0.3:9003");
  cr_assert_eq(site.internalPortFirst, 7400);
  cr_assert_eq(site.internalPortLast, 7411);
  cr_assert_eq(site.seedPeers.at(1), "10.9.1.4:9003");
  cr_assert(site.bootstrap && !site.lossCounted);
  cr_assert_eq(site.cpuShare, 0.5);
  cr_assert_eq(site.linkMbps, 800.5);
  cr_assert_eq(site.dataDir, "/data/x");
  cr_assert(site.hasContract("stream") && site.beatInterval == 900ms);
  cr_assert_eq(site.budgetZones, 1);
  cr_assert(site.bounds.seedLag == 2500ms && site.bounds.ack == 3500ms && site.bounds.contact == 3s);
  cr_assert(!site.bounds.revokeGlobal && !site.bounds.fenceChecked && site.bounds.version == 9s);
  cr_assert_eq(site.bounds.retryRatio, 0.3);
  cr_assert_eq(site.bounds.retrySlack, 61);
  cr_assert_eq(site.cloudAddress, "10.200.0.1:8600");
  cr_assert_eq(site.cloudRatePerS, 33.5);
  cr_assert(site.cloudDuties.empty() && site.cloudMaxLag == 650ms);
  cr_assert(site.invalidFields.empty());
}

Test(settings, errors_name_the_required_field) {
  for (std::string field : {"NodeName", "Ip", "Zone", "InternalPorts", "SeedPeers", "ListenAddrs.Front",
                            "ListenAddrs.Readiness", "ListenAddrs.Control", "DataDir"}) {
    auto read = readSettings(withoutField(field));
    cr_assert_not(bool(read), "%s", field.c_str());
    cr_assert_eq(read.error().code, Code::badProps);
    cr_assert_eq(read.error().subject, field);
  }
  for (auto [field, value] : std::vector<std::pair<std::string, std::string>>{{"NodeName", ""},
                                                                              {"Ip", "10.9.0"},
                                                                              {"Ip", "10.9.0.300"},
                                                                              {"Ip", "10.9.0.3.4"},
                                                                              {"Ip", "host"},
                                                                              {"Zone", " "},
                                                                              {"InternalPorts", "7400"},
                                                                              {"InternalPorts", "7411,7400"},
                                                                              {"InternalPorts", "a,b"},
                                                                              {"InternalPorts", "1,70000"},
                                                                              {"SeedPeers", "10.9.0.4"},
                                                                              {"SeedPeers", "10.9.0.4:0"},
                                                                              {"ListenAddrs.Front", ":9"},
                                                                              {"ListenAddrs.Readiness", "10.9.0.3"},
                                                                              {"ListenAddrs.Control", "x:1"},
                                                                              {"DataDir", ""}}) {
    auto read = readSettings(withoutField(field) + field + "=" + value);
    cr_assert_not(bool(read), "%s=%s", field.c_str(), value.c_str());
    cr_assert_eq(read.error().subject, field, "%s", read.error().subject.c_str());
  }
}

Test(settings, requires_only_the_fields_of_its_duties) {
  auto read = readSettings(
      "NodeName=n\nServes=\nIp=10.0.0.1\nZone=z\nInternalPorts=5,5\nSeedPeers=\nLimits.MaxFds=many\nstray\n");
  cr_assert(bool(read), "%s", read.error().subject.c_str());
  cr_assert(read.value().seedPeers.empty() && read.value().serves.empty());
  cr_assert_eq(read.value().maxFds, 4100);
  cr_assert_eq(read.value().invalidFields.size(), 2u);
}

Test(settings, reads_the_file_that_is_named) {
  auto file = std::filesystem::temp_directory_path() / ("settings-" + std::to_string(::getpid()));
  std::ofstream(file) << siteLines;
  setenv("TROUTTALLY_SETTINGS", file.c_str(), 1);
  auto read = loadSettings();
  std::filesystem::remove(file);
  cr_assert(bool(read));
  auto missing = loadSettings();
  cr_assert_not(bool(missing));
  cr_assert_eq(missing.error().subject, file.string());
  unsetenv("TROUTTALLY_SETTINGS");
  cr_assert_eq(settingsFile(), "/etc/trouttally/settings.conf");
}

Test(backend_wire, reads_the_list_of_workers) {
  auto page = readInstances(pageBody);
  cr_assert(bool(page), "%s", page.error().subject.c_str());
  cr_assert_eq(page.value().rows.size(), 2u);
  const auto& first = page.value().rows[0];
  cr_assert(first.id == "i-1" && first.service == "mill" && first.address == "10.128.0.4:8080" &&
            first.zone == "north-a");
  cr_assert(first.revision == "v3" && first.slots == 64 && first.draining && first.coldLeftMs == 1200 &&
            first.phase == "colocated");
  cr_assert(first.models == ModelRevisions({{"moss7", 4}}));
  cr_assert(!page.value().rows[1].draining && page.value().rows[1].models.empty());
  cr_assert_eq(page.value().nextToken.value(), "p-9");
  cr_assert_not(readInstances(replaced(pageBody, "\"p-9\"", "null")).value().nextToken.has_value());
  auto bad = readInstances(replaced(pageBody, "\"Id\":\"i-2\"", "\"Id\":7"));
  cr_assert_not(bool(bad));
  cr_assert_eq(bad.error().subject, "Instances[1].Id");
  for (std::string text :
       {"", "{}", "[]", R"({"Instances":{}})", R"({"Instances":[5]})", R"({"Instances":[],"NextToken":5})"})
    cr_assert_not(bool(readInstances(text)), "%s", text.c_str());
}

Test(backend_wire, reads_a_workers_report) {
  auto report = readWorkerReport(reportBody);
  cr_assert(bool(report));
  const auto& worker = report.value();
  cr_assert(worker.phase == "colocated" && worker.saturated && worker.callSeq == 5 && worker.queued == 2 &&
            worker.active == 11);
  cr_assert(worker.kvUsed == 4100 && worker.kvTotal == 9000 && worker.models.at(0).second == 4);
  cr_assert_eq(readWorkerReport(replaced(reportBody, "\"CallSeq\":5", "\"CallSeq\":-5")).error().subject, "CallSeq");
  cr_assert_eq(readWorkerReport(replaced(reportBody, "CallSeq", "Calls")).error().subject, "CallSeq");
  cr_assert_eq(readWorkerReport(replaced(reportBody, "true", "1")).error().subject, "Saturated");
}

Test(backend_wire, reads_cached_parts) {
  auto events = readCachedPartEvents(eventsBody);
  cr_assert(bool(events), "%s", events.error().text.c_str());
  cr_assert(events.value().epoch == 9912 && events.value().nextToken == 502 && !events.value().lost);
  const auto& rows = events.value().events;
  cr_assert_eq(rows.size(), 2u);
  cr_assert(rows[0].added && rows[0].number == 501 && rows[0].salt == "salt-1" && rows[0].id == "ab12" &&
            rows[0].tokens == 640);
  cr_assert(!rows[1].added && rows[1].salt.empty() && rows[1].id == "cd\"34\xf0\x9f\x98\x80" &&
            rows[1].model == "moss7");
  auto list = readCachedPartList(listBody);
  cr_assert(bool(list), "%s", list.error().text.c_str());
  cr_assert(list.value().parts.size() == 2 && list.value().parts[1].id == "cd34" &&
            list.value().parts[1].model == "fern");
  cr_assert(
      readCachedPartEvents(R"( { "Events" : [ ] , "Lost" : true , "Epoch" : 18446744073709551615 , "NextToken" : 0 } )")
          .value()
          .lost);
}

Test(backend_wire, rejects_malformed_rows) {
  const std::string row = R"([501,"+","salt-1","ab12",640,"moss7"])";
  for (std::string replacement :
       {R"([501,"*","s","ab12",640,"m"])", R"([501,"+","s","ab12",640])", R"([501,"+","s","ab12",640,"m",1])",
        R"(["501","+","s","ab12",640,"m"])", R"([501,"+","s","ab12",-1,"m"])", R"([501,"+","s","ab12",6.5,"m"])",
        R"([501,"+","s","ab12",99999999999,"m"])", R"([501,"+",null,"ab12",640,"m"])", R"([501,"+","s","",640,"m"])",
        R"([501,"+","s","ab12",0640,"m"])", R"([501,"+","s","ab\x",640,"m"])", R"([501,"+","s","a\ud800",640,"m"])",
        R"([501 "+","s","ab12",640,"m"])", R"([])", R"({})", R"(7)", R"(null)", "",
        "[501,\"+\",\"s\n\",\"ab12\",640,\"m\"]"})
    cr_assert_not(bool(readCachedPartEvents(replaced(eventsBody, row, replacement))), "%s", replacement.c_str());
  for (const char* field : {"Epoch", "NextToken", "Lost", "Events"})
    cr_assert_eq(readCachedPartEvents(replaced(eventsBody, field, "Else")).error().subject, field);
  for (const char* field : {"Epoch", "NextToken", "Held"})
    cr_assert_eq(readCachedPartList(replaced(listBody, field, "Else")).error().subject, field);
  for (std::size_t length = 0; length < eventsBody.size(); ++length)
    cr_assert_not(bool(readCachedPartEvents(eventsBody.substr(0, length))), "%zu", length);
  for (std::size_t length = 0; length < listBody.size(); ++length)
    cr_assert_not(bool(readCachedPartList(listBody.substr(0, length))));
  cr_assert_not(bool(readCachedPartEvents(eventsBody + "x")));
  cr_assert_not(bool(readCachedPartList(replaced(listBody, "[[", R"([["s",[],1,"m"],[)"))));
  cr_assert_not(
      bool(readCachedPartList(replaced(listBody, "\"Epoch\"", "\"Deep\":" + std::string(100000, '[') + ",\"Epoch\""))));
}

Test(backend_wire, writes_a_command_and_reads_headers) {
  cr_assert(
      parsed(writeRevisionCommand("moss7", 4, "retain", "node-2", 77, 9)) ==
      parsed(
          R"({"OpKind":"Revision","Model":"moss7","Revision":4,"Method":"retain","Holder":"node-2","FenceToken":77,"ExpectedCount":9})"));
  cr_assert_not(parsed(writeRevisionCommand("m", 1, "queue", "n", 1, std::nullopt)).contains("ExpectedCount"));
  auto parts = readPromptPrefix("ab12:800, cd34:41");
  cr_assert(bool(parts));
  const std::vector<std::pair<std::string, int>> wanted{{"ab12", 800}, {"cd34", 41}};
  cr_assert(parts.value() == wanted);
  cr_assert(readPromptPrefix("").value().empty());
  for (const char* text : {"ab12", ":5", "ab12:", "ab12:x", "ab12:-1", "ab12:1,", ",ab12:1", "ab12:99999999999"})
    cr_assert_not(bool(readPromptPrefix(text)), "%s", text);
  cr_assert(readTokenCounts("1500, 90").value() == std::pair(1500, 90));
  for (const char* text : {"", "1", "1,", "1,2,3", "a,b", "1,-2"})
    cr_assert_not(bool(readTokenCounts(text)), "%s", text);
  cr_assert(readInstanceLoad("3,0,8") == (std::array<int, 3>{3, 0, 8}));
  for (const char* text : {"", "3,0", "3,0,8,1", "3;0;8", "3,,8", "3,0,8x"})
    cr_assert_not(readInstanceLoad(text).has_value(), "%s", text);
}

Test(platform, survives_mutated_bodies) {
  auto sections = readFullConfig(fullConfig);
  const std::string patch =
      R"({"Revision":15,"Upsert":{"Routes":[{"Name":"r-new","Backend":"weir","TrafficSplit":[{"Backend":"mill","Weight":3}]}],)"
      R"("Limits":{"IdleTimeoutMs":7},"Later":[{"Name":"l-1"}]},"Remove":{"Routes":["r-alpha"],"Later":["l-2"]}})";
  mutate(fullConfig, [](const std::string& text) {
    auto change = readConfig(text);
    if (!change) {
      cr_assert_neq(change.error().subject, "");
      return;
    }
    auto parsedText = parsed(writeConfig(change.value().revision, sectionsOf(change.value())));
    auto sent = parsed(text);
    cr_assert(parsedText == sent, "%s", text.c_str());
  });
  mutate(patch, [&](const std::string& text) {
    auto change = readConfigPatch(text);
    if (!change) {
      cr_assert_neq(change.error().subject, "");
      return;
    }
    auto patched = sections;
    replaceItems(patched, sectionsOf(change.value()));
    writeConfig(1, patched);
  });
  mutate(siteLines, [](const std::string& text) { (void)readSettings(text); });
  mutate(pageBody, [](const std::string& text) { (void)readInstances(text); });
  mutate(reportBody, [](const std::string& text) { (void)readWorkerReport(text); });
  mutate(R"({"Model":"moss7","Revision":3})", [](const std::string& text) { (void)readVersionPut(text); });
  mutate("ab12:800,cd34:41", [](const std::string& text) { (void)readPromptPrefix(text); });
  mutate("1460,80", [](const std::string& text) { (void)readTokenCounts(text); });
  mutate("3,0,8", [](const std::string& text) { (void)readInstanceLoad(text); });
  auto check = [](const std::string& text, bool read, std::size_t rows, const char* list) {
    if (!read) return;
    auto parsedText = parsed(text);
    cr_assert_eq(parsedText.get(list).get<JsonArray>().size(), rows, "%s", text.c_str());
  };
  mutate(eventsBody, [&](const std::string& text) {
    auto parsedBody = readCachedPartEvents(text);
    check(text, bool(parsedBody), parsedBody ? parsedBody.value().events.size() : 0, "Events");
  });
  mutate(listBody, [&](const std::string& text) {
    auto parsedBody = readCachedPartList(text);
    check(text, bool(parsedBody), parsedBody ? parsedBody.value().parts.size() : 0, "Held");
  });
}

Test(platform, sources_contain_no_names_of_the_platforms_wire_format) {
  const std::vector<std::string> words{
      "X-Attempt-Id",      "X-Deadline-Ms",     "X-Prompt-Prefix", "X-Server-Seal", "X-Tenant",
      "X-Target-Instance", "X-Instance-Load",   "X-Not-Executed",  "X-Instance-Id", "X-Token-Counts",
      "X-Cache-Salt",      "X-Request-Urgency", "X-Kv-Source",     "X-Kv-Sink",     "X-Weight-Versions",
      "X-Expect-Version",  "PathPrefix",        "TrafficSplit",    "RouteKind",     "TargetLatencyMs",
      "MaxAttempts",       "ApiKeys",           "HealthPath",      "MaxConns",      "HeaderTimeoutMs",
      "ColdLeftMs",        "PageToken",         "ListenAddrs",     "InternalPorts", "SeedPeers",
      "CloudApi",          "FenceChecked",      "FaultBudget",     "MaxInflight",   "FenceToken",
      "ExpectedCount",     "KvCapacityTokens",  "TokenKvBytes",    "KvStoreAddr",   "GapTargetMs",
      "non_idempotent",    "kv-events",         "kv-list",         "version-put"};
  int filesRead = 0;
  for (const char* folder : {"src", "charts"})
    for (const auto& entry : std::filesystem::recursive_directory_iterator(std::filesystem::path(TT_SOURCE) / folder)) {
      if (!entry.is_regular_file()) continue;
      std::ostringstream text;
      text << std::ifstream(entry.path(), std::ios::binary).rdbuf();
      ++filesRead;
      for (const auto& word : words)
        cr_expect_eq(text.str().find(word), std::string::npos, "%s contains %s", entry.path().c_str(), word.c_str());
    }
  cr_assert_gt(filesRead, 20);
}
