#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "manifests.hpp"
#include "process.hpp"

using namespace tt;

namespace {
/// Reads a file, or standard input if its name is "-".
Result<std::string> readFileOrInput(const std::string& file) {
  std::stringstream bytes;
  if (file == "-") {
    bytes << std::cin.rdbuf();
    return bytes.str();
  }
  std::ifstream source(file);
  if (!source) return makeError(Code::badProps, file, "cannot be read");
  bytes << source.rdbuf();
  return bytes.str();
}

/// One line for each item that is removed (-), added (+) or changed (~). The secrets of keys are compared by their
/// hash, since the fleet stores only that.
std::vector<std::string> differences(const JsonObject& current, const JsonObject& desired) {
  std::vector<std::string> lines;
  std::set<std::string> sections;
  for (const auto& [section, items] : current) sections.insert(section);
  for (const auto& [section, items] : desired) sections.insert(section);
  auto itemsOf = [](const JsonObject& configuration, const std::string& section) {
    auto found = configuration.find(section);
    return found != configuration.end() && found->second.is<JsonObject>() ? found->second.get<JsonObject>()
                                                                          : JsonObject{};
  };
  for (const auto& section : sections) {
    auto before = itemsOf(current, section), after = itemsOf(desired, section);
    if (section == "keys")
      for (auto& [name, item] : after)
        if (item.is<JsonObject>() && item.get<JsonObject>().count("secret")) {
          auto row = item.get<JsonObject>();
          row["hash"] = Json(sha256Hex(stringOr(item, "secret")));
          row.erase("secret");
          item = Json(row);
        }
    for (const auto& [name, item] : before)
      if (!after.count(name)) lines.push_back("- " + section + "." + name);
    for (const auto& [name, item] : after) {
      auto old = before.find(name);
      if (old == before.end())
        lines.push_back("+ " + section + "." + name + " " + item.serialize());
      else if (!(old->second == item))
        lines.push_back("~ " + section + "." + name + " " + old->second.serialize() + " -> " + item.serialize());
    }
  }
  return lines;
}
constexpr const char* exitCodes =
    "Exit codes: 0 success; 1 denied, no core answered, or (diff, lag) a difference was found; 2 wrong usage; 3 only "
    "some cores answered";
}  // namespace

int main(int count, char** arguments) {
  CLI::App app("Reads and changes the configuration and shows the state of a trouttally fleet", "trouttally-ctl");
  app.set_version_flag("--version", std::string("trouttally-ctl ") + TROUTTALLY_VERSION);
  app.require_subcommand(1);
  app.footer(exitCodes);
  std::string coreList, key, file, changeId, sinceRevision, revision, member;
  auto* cores = app.add_option("--cores", coreList, "operator addresses of cores, separated by commas, tried in turn")
                    ->envname("TROUTTALLY_CORES");
  cores->required();
  app.add_option("--key", key, "the operator key")->envname("TROUTTALLY_OPERATOR_KEY")->required();
  auto* put = app.add_subcommand("put", "Replace the whole configuration (blueprint) by a file");
  auto* patch = app.add_subcommand("patch", "Change a part of the configuration (JSON merge patch)");
  auto* manifest = app.add_subcommand("manifest", "Change routes by Gateway API HTTPRoute manifests (JSON)");
  for (auto* command : {put, patch, manifest}) {
    command->add_option("file", file, "the file, or - for standard input")->required();
    command->add_option("--change-id", changeId,
                        "unique id of the change, under which it can be resent without being applied twice");
    command->add_option(
        "--since-revision", sinceRevision,
        "the revision in force when this change id was first sent; a resend is denied if that is so long ago that the "
        "id may have been forgotten");
    command->add_option("--if-revision", revision, "apply the change only if this revision is in force");
  }
  auto* get = app.add_subcommand("get", "Show the configuration in force");
  auto* condition =
      app.add_subcommand("condition", "Show the duties, terms, members, agents and workers as one core knows them");
  auto* fleet =
      app.add_subcommand("fleet", "Show the holder of each duty, and each core, agent and worker in one line");
  auto* diff = app.add_subcommand("diff", "Show what put would change, item by item, without changing it");
  diff->add_option("file", file, "the file, or - for standard input")->required();
  auto* lag = app.add_subcommand(
      "lag", "Show which cores and agents lack the newest committed change or do not know whether they do");
  double waitSeconds = 0;
  lag->add_option("--wait", waitSeconds, "poll for up to this many seconds until all are up to date")
      ->check(CLI::Range(0.0, 3600.0));
  auto* counters = app.add_subcommand("counters", "Show a core's counters");
  try {
    app.parse(count, arguments);
  } catch (const CLI::ParseError& parseError) {
    int code = app.exit(parseError);
    return code == 0 ? 0 : 2;
  }
  std::vector<std::string> addresses;
  std::stringstream list(coreList);
  for (std::string item; std::getline(list, item, ',');) {
    if (auto read = parseAddress(item); !read)
      return reportStartFailure(makeError(Code::badProps, "cores", item + ": " + read.error().text));
    addresses.push_back(item);
  }
  WebClient calls;
  WebCall call;
  call.bearer = key;
  call.totalTimeout = 10s;
  std::string path = "/v1/blueprint";
  if (put->parsed() || patch->parsed() || manifest->parsed()) {
    call.method = put->parsed() ? "PUT" : "PATCH";
    auto body = readFileOrInput(file);
    if (!body) return reportStartFailure(body.error());
    call.body = body.value();
    if (manifest->parsed()) {
      auto routes = patchFromManifests(call.body);
      if (!routes) return reportStartFailure(routes.error());
      call.body = routes.value();
    }
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
  if (lag->parsed()) {
    call.totalTimeout = 3s;
    TimePoint until = Clock::now() + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(waitSeconds));
    while (true) {
      std::vector<std::string> lines;
      std::map<std::string, std::pair<std::int64_t, bool>> agents;
      std::int64_t newest = 0;
      std::size_t answered = 0;
      std::vector<std::pair<std::string, std::int64_t>> commits;
      for (const auto& address : addresses) {
        call.url = "http://" + address + "/v1/condition";
        auto result = callAndWait(calls, call);
        auto read = parseJson(result.body);
        if (result.status != 200 || !read || !read.value().is<JsonObject>()) {
          lines.push_back("core     " + address + " no answer " + result.errorMessage);
          continue;
        }
        ++answered;
        std::int64_t commit = integerOr(read.value(), "commit", 0);
        newest = std::max(newest, commit);
        commits.emplace_back(stringOr(read.value(), "core"), commit);
        if (!boolOr(read.value(), "confirmed", false))
          lines.push_back("core     " + stringOr(read.value(), "core") + " does not know whether it is up to date");
        const auto& state = read.value().get<JsonObject>();
        if (auto rows = state.find("agents"); rows != state.end() && rows->second.is<JsonObject>())
          for (const auto& [name, row] : rows->second.get<JsonObject>()) {
            auto& agent = agents[name];
            agent.first = std::max(agent.first, integerOr(row, "applied", 0));
            agent.second = agent.second || boolOr(row, "fresh", false);
          }
      }
      for (const auto& [core, commit] : commits)
        if (commit < newest)
          lines.push_back("core     " + core + " has " + std::to_string(commit) + " of " + std::to_string(newest));
      for (const auto& [name, agent] : agents)
        if (agent.first < newest || !agent.second)
          lines.push_back("agent    " + name + " has " + std::to_string(agent.first) + " of " + std::to_string(newest) +
                          (agent.second ? "" : " STALE"));
      if (lines.empty() || Clock::now() >= until) {
        for (const auto& line : lines) std::cout << line << "\n";
        if (lines.empty())
          std::cout << "all " << commits.size() << " cores and " << agents.size() << " agents have " << newest << "\n";
        return lines.empty() ? 0 : answered == 0 ? 1 : answered < addresses.size() ? 3 : 1;
      }
      std::this_thread::sleep_for(200ms);
    }
  }
  if (fleet->parsed()) {
    std::map<std::string, std::string> duties;
    bool any = false;
    std::size_t answeredCount = 0;
    for (const auto& address : addresses) {
      call.url = "http://" + address + path;
      auto result = callAndWait(calls, call);
      if (result.status != 200) {
        std::cout << "core     " << address << " no answer " << result.errorMessage << "\n";
        continue;
      }
      auto read = parseJson(result.body);
      if (!read) continue;
      any = true;
      ++answeredCount;
      const auto& state = read.value();
      std::cout << "core     " << stringOr(state, "core") << " " << stringOr(state, "locality") << " revision "
                << integerOr(state, "revision", 0) << " commit " << integerOr(state, "commit", 0) << " pending "
                << integerOr(state, "pendingChanges", 0) << (boolOr(state, "diskStalled", false) ? " DISK STALLED" : "")
                << "\n";
      const auto& rows = state.get<JsonObject>();
      for (const auto& [duty, row] : rows.at("duties").get<JsonObject>())
        if (boolOr(row, "here", false))
          duties[duty] = stringOr(state, "core") + " term " + std::to_string(integerOr(row, "term", 0));
      for (const auto& [name, row] : rows.at("workers").get<JsonObject>())
        std::cout << "worker   " << name << " " << stringOr(row, "kind") << " " << stringOr(row, "locality")
                  << " weights " << stringOr(row, "weights") << " running " << integerOr(row, "running", 0) << " kept "
                  << integerOr(row, "kept", 0) << " report " << integerOr(row, "reportAgeMs", 0) << "ms "
                  << (boolOr(row, "indexConfirmed", false) ? "confirmed" : "unconfirmed") << " "
                  << stringOr(row, "rollout") << (boolOr(row, "leaving", false) ? " leaving" : "") << "\n";
      if (address == addresses.front())
        for (const auto& [name, row] : rows.at("agents").get<JsonObject>())
          std::cout << "agent    " << name << " applied " << integerOr(row, "applied", 0) << " "
                    << (boolOr(row, "fresh", false) ? "fresh" : "STALE") << " heard " << integerOr(row, "heardMs", 0)
                    << "ms ago\n";
    }
    for (const auto& [duty, holder] : duties) std::cout << "duty     " << duty << " " << holder << "\n";
    if (answeredCount < addresses.size())
      std::cout << "partial  " << answeredCount << " of " << addresses.size() << " cores answered\n";
    return !any ? 1 : answeredCount < addresses.size() ? 3 : 0;
  }
  WebResult result;
  for (const auto& address : addresses) {
    call.url = "http://" + address + path;
    result = callAndWait(calls, call);
    if (result.reached && result.status != 503 && result.status != 504) break;
  }
  if (!result.reached) {
    std::cerr << "error " << static_cast<int>(Code::httpFault)
              << " httpFault: no core answered: " << result.errorMessage << "\n";
    return 1;
  }
  if (diff->parsed() && result.status == 200) {
    auto desired = readFileOrInput(file);
    if (!desired) return reportStartFailure(desired.error());
    auto after = parseJson(desired.value());
    auto before = parseJson(result.body);
    if (!after || !after.value().is<JsonObject>())
      return reportStartFailure(makeError(Code::badJson, file, after ? "must be an object" : after.error().text));
    if (!before || !before.value().is<JsonObject>() || !before.value().get<JsonObject>().count("blueprint"))
      return reportStartFailure(makeError(Code::badJson, "answer", "the core's response has no blueprint"));
    auto lines = differences(before.value().get<JsonObject>().at("blueprint").get<JsonObject>(),
                             after.value().get<JsonObject>());
    for (const auto& line : lines) std::cout << line << "\n";
    return lines.empty() ? 0 : 1;
  }
  std::cout << result.body;
  if (!result.body.empty() && result.body.back() != '\n') std::cout << "\n";
  return result.status == 200 ? 0 : 1;
}
