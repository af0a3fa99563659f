#include <fstream>
#include <iostream>
#include <sstream>

#include "manifests.hpp"
#include "process.hpp"

using namespace tt;

namespace {
Result<std::string> readFileOrInput(const std::string& file) {
  std::stringstream bytes;
  if (file == "-") {
    bytes << std::cin.rdbuf();
    return bytes.str();
  }
  std::ifstream source(file);
  if (!source) return fault(Code::badProps, file, "cannot be read");
  bytes << source.rdbuf();
  return bytes.str();
}
}  // namespace

int main(int count, char** words) {
  CLI::App app("Reads and changes what a trouttally fleet has in force", "trouttally-ctl");
  app.set_version_flag("--version", std::string("trouttally-ctl ") + TROUTTALLY_VERSION);
  app.require_subcommand(1);
  std::string coreList, key, file, changeId, sinceRevision, revision, member;
  auto* cores = app.add_option("--cores", coreList, "operator addresses of cores, tried in turn, commas between")->envname("TROUTTALLY_CORES");
  cores->required();
  app.add_option("--key", key, "the operator key")->envname("TROUTTALLY_OPERATOR_KEY")->required();
  auto* put = app.add_subcommand("put", "Make the blueprint be what a file says");
  auto* patch = app.add_subcommand("patch", "Change a part of the blueprint (JSON merge patch)");
  auto* manifest = app.add_subcommand("manifest", "Patch the routes with HTTPRoute manifests in the manner of the Gateway API (JSON)");
  for (auto* verb : {put, patch, manifest}) {
    verb->add_option("file", file, "the file, or - for standard input")->required();
    verb->add_option("--change-id", changeId, "a name under which the change may be sent again without being taken twice");
    verb->add_option("--since-revision", sinceRevision, "the revision in force when this change id was first sent: a resend that would no longer be known is denied");
    verb->add_option("--if-revision", revision, "take it only if this revision is in force");
  }
  auto* get = app.add_subcommand("get", "Show the blueprint in force");
  auto* condition = app.add_subcommand("condition", "Show duties, terms, members, agents, workers of one core");
  auto* fleet = app.add_subcommand("fleet", "Show who holds which duty, and every agent and worker, in a few lines");
  auto* counters = app.add_subcommand("counters", "Show a core's counters");
  try {
    app.parse(count, words);
  } catch (const CLI::ParseError& thrown) {
    int code = app.exit(thrown);
    return code == 0 ? 0 : 2;
  }
  std::vector<std::string> addresses;
  std::stringstream list(coreList);
  for (std::string item; std::getline(list, item, ',');) {
    if (auto read = readAddress(item); !read) return failStart(fault(Code::badProps, "cores", item + ": " + read.error().text));
    addresses.push_back(item);
  }
  WebCalls calls;
  WebCall call;
  call.bearer = key;
  call.wholeWait = 10s;
  std::string path = "/v1/blueprint";
  if (put->parsed() || patch->parsed() || manifest->parsed()) {
    call.method = put->parsed() ? "PUT" : "PATCH";
    auto body = readFileOrInput(file);
    if (!body) return failStart(body.error());
    call.body = body.value();
    if (manifest->parsed()) {
      auto routes = patchFromManifests(call.body);
      if (!routes) return failStart(routes.error());
      call.body = routes.value();
    }
    // Every change gets a name, so that trying the next core after a lost answer is safe.
    if (changeId.empty()) {
      std::random_device device;
      changeId = "ctl-" + std::to_string(device()) + "-" + std::to_string(device());
    }
    path += "?changeId=" + changeId;
    if (!sinceRevision.empty()) path += "&sinceRevision=" + sinceRevision;
    if (!revision.empty()) path += "&ifRevision=" + revision;
  } else if (condition->parsed() || fleet->parsed()) {
    path = "/v1/condition";
  } else if (counters->parsed()) {
    path = "/v1/counters";
  }
  (void)get;
  if (fleet->parsed()) {
    std::map<std::string, std::string> duties;
    bool any = false;
    for (const auto& address : addresses) {
      call.url = "http://" + address + path;
      auto result = callAndWait(calls, call);
      if (result.status != 200) {
        std::cout << "core     " << address << " no answer " << result.trouble << "\n";
        continue;
      }
      auto read = readJson(result.body);
      if (!read) continue;
      any = true;
      const auto& whole = read.value();
      std::cout << "core     " << textOr(whole, "core") << " " << textOr(whole, "locality") << " revision " << numberOr(whole, "revision", 0)
                << " commit " << numberOr(whole, "commit", 0) << " pending " << numberOr(whole, "pendingChanges", 0)
                << (flagOr(whole, "diskStalled", false) ? " DISK STALLED" : "") << "\n";
      const auto& rows = whole.get<JsonObject>();
      for (const auto& [duty, row] : rows.at("duties").get<JsonObject>())
        if (flagOr(row, "here", false)) duties[duty] = textOr(whole, "core") + " term " + std::to_string(numberOr(row, "term", 0));
      for (const auto& [name, row] : rows.at("workers").get<JsonObject>())
        std::cout << "worker   " << name << " " << textOr(row, "kind") << " " << textOr(row, "locality") << " weights " << textOr(row, "weights")
                  << " running " << numberOr(row, "running", 0) << " kept " << numberOr(row, "kept", 0) << " report " << numberOr(row, "reportAgeMs", 0)
                  << "ms " << (flagOr(row, "indexConfirmed", false) ? "confirmed" : "unconfirmed") << " " << textOr(row, "rollout")
                  << (flagOr(row, "leaving", false) ? " leaving" : "") << "\n";
      if (address == addresses.front())
        for (const auto& [name, row] : rows.at("agents").get<JsonObject>())
          std::cout << "agent    " << name << " applied " << numberOr(row, "applied", 0) << " " << (flagOr(row, "fresh", false) ? "fresh" : "STALE")
                    << " heard " << numberOr(row, "heardMs", 0) << "ms ago\n";
    }
    for (const auto& [duty, holder] : duties) std::cout << "duty     " << duty << " " << holder << "\n";
    return any ? 0 : 1;
  }
  WebResult result;
  for (const auto& address : addresses) {
    call.url = "http://" + address + path;
    result = callAndWait(calls, call);
    if (result.reached && result.status != 503 && result.status != 504) break;
  }
  if (!result.reached) {
    std::cerr << "error " << static_cast<int>(Code::httpFault) << " httpFault: no core answered: " << result.trouble << "\n";
    return 1;
  }
  std::cout << result.body;
  if (!result.body.empty() && result.body.back() != '\n') std::cout << "\n";
  return result.status == 200 ? 0 : 1;
}
