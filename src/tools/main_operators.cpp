#include <atomic>
#include <fstream>
#include <iostream>
#include <mutex>
#include <random>
#include <thread>

#include "history_lines.hpp"
#include "operators.hpp"
#include "process.hpp"
#include "web.hpp"

using namespace tt;

namespace {
constexpr Duration callWait = 8s;
constexpr int mostTries = 60;
constexpr double mostCount = 100000;

struct Shared {
  std::vector<std::string> cores;
  std::string key, runName;
  int changes{0}, losePerCent{0};
  std::uint64_t seed{1};
  std::atomic<int> begun{0};
  std::mutex lock;
  std::ofstream file;
  std::size_t written{0}, taken{0}, refused{0}, unclear{0};

  void write(const Operation& operation) {
    std::lock_guard<std::mutex> guard(lock);
    file << writeOperation(operation) << "\n";
    ++written;
    taken += operation.outcome == OperationOutcome::taken;
    refused += operation.outcome == OperationOutcome::refusedStale;
    unclear += operation.outcome == OperationOutcome::unclear;
  }
};

std::int64_t steadyNow() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(Clock::now().time_since_epoch()).count();
}

/// What a read gave back.
struct ReadBack {
  std::uint64_t revision{0};
  RegisterItems items;
};

Result<ReadBack> readBackOf(const WebResult& result) {
  if (!result.reached || result.status != 200) return makeError(Code::httpFault, "read", result.errorMessage);
  auto body = parseJson(result.body);
  if (!body || !body.value().is<JsonObject>()) return makeError(Code::badJson, "read");
  const auto& fields = body.value().get<JsonObject>();
  auto configuration = fields.find("blueprint");
  if (configuration == fields.end() || !configuration->second.is<JsonObject>())
    return makeError(Code::badField, "read");
  return ReadBack{static_cast<std::uint64_t>(integerOr(body.value(), "revision", 0)),
                  trackedItems(configuration->second.get<JsonObject>())};
}

/// One operator's client: reads, changes on what it read, sends again what had no clear answer.
class Client {
 public:
  Client(Shared& sharedState, int number)
      : shared(sharedState),
        name("operator-" + std::to_string(number)),
        random(sharedState.seed * 7919 + static_cast<std::uint64_t>(number)) {}

  void run() {
    while (shared.begun++ < shared.changes) {
      auto base = readSomewhere();
      if (!base) continue;
      makeChange(*base);
      for (const auto& core : shared.cores) (void)readThrough(core);
    }
  }

 private:
  Shared& shared;
  std::string name;
  std::mt19937_64 random;
  WebClient calls;
  int made{0};

  std::uint64_t randomBelow(std::uint64_t below) { return random() % below; }
  const std::string& someCore() { return shared.cores[randomBelow(shared.cores.size())]; }

  WebCall callTo(const std::string& core, const std::string& method, const std::string& query) {
    WebCall call;
    call.method = method;
    call.url = "http://" + core + "/v1/blueprint" + query;
    call.bearer = shared.key;
    call.totalTimeout = callWait;
    return call;
  }

  std::optional<std::uint64_t> readThrough(const std::string& core) {
    Operation read;
    read.client = name;
    read.through = core;
    read.kind = OperationKind::readConfiguration;
    read.began = steadyNow();
    auto back = readBackOf(callAndWait(calls, callTo(core, "GET", {})));
    if (!back) return std::nullopt;
    read.ended = steadyNow();
    read.outcome = OperationOutcome::seen;
    read.resultRevision = back.value().revision;
    read.resultDigest = contentDigest(back.value().items);
    shared.write(read);
    return back.value().revision;
  }

  std::optional<std::uint64_t> readSomewhere() {
    for (int tries = 0; tries < mostTries; ++tries) {
      if (auto revision = readThrough(someCore())) return revision;
      std::this_thread::sleep_for(std::chrono::milliseconds(100 + randomBelow(200)));
    }
    return std::nullopt;
  }

  void makeChange(std::uint64_t base) {
    std::string number = std::to_string(++made);
    std::string fields =
        R"({"model":"rooster-llm","kind":")" + std::string(randomBelow(2) ? "app" : "language") + "\"}";
    OperatorRequest change{};
    change.body = "{\"routes\":{\"" + name + "-" + number + "\":" + fields +
                  (randomBelow(3) ? std::string() : ",\"op-shared\":" + fields) + "}}";
    change.ifRevision = static_cast<std::int64_t>(base);
    change.changeId = shared.runName + "-" + name + "-" + number;
    auto outcome = OperationOutcome::unclear;
    for (int tries = 0; tries < mostTries && outcome == OperationOutcome::unclear; ++tries) {
      if (tries) std::this_thread::sleep_for(std::chrono::milliseconds(50 + randomBelow(300)));
      outcome = attempt(change);
    }
    if (outcome == OperationOutcome::taken && randomBelow(3) == 0) (void)attempt(change);
  }

  OperationOutcome attempt(const OperatorRequest& change) {
    const auto& core = someCore();
    Operation operation = operationOf(change);
    operation.client = name;
    operation.through = core;
    operation.valid = true;
    auto call =
        callTo(core, "PATCH", "?changeId=" + change.changeId + "&ifRevision=" + std::to_string(change.ifRevision));
    call.body = change.body;
    call.noResend = true;
    if (static_cast<int>(randomBelow(100)) < shared.losePerCent)
      call.totalTimeout = std::chrono::milliseconds(1 + randomBelow(60));
    operation.began = steadyNow();
    auto result = callAndWait(calls, call);
    auto answer = parseJson(result.body);
    if (result.reached && answer && answer.value().is<JsonObject>())
      operation.outcome = outcomeOf(static_cast<Code>(integerOr(answer.value(), "code", 0)));
    if (operation.outcome != OperationOutcome::unclear) operation.ended = steadyNow();
    if (operation.outcome == OperationOutcome::taken)
      operation.resultRevision = static_cast<std::uint64_t>(integerOr(answer.value(), "revision", 0));
    shared.write(operation);
    return operation.outcome;
  }
};
}  // namespace

int main(int count, char** words) {
  Shared shared;
  std::string out;
  double clients = 4, changes = 60, lose = 15, seed = 1;
  Settings reader("trouttally-operators",
                  "Lets operators' clients race for the configuration and writes what they did, for trouttally-audit");
  reader.addresses("cores", &shared.cores, "operator addresses of the cores")
      .text("key", &shared.key, "the operator key", true)
      .text("history", &out, "the file that the operations are written to", true)
      .number("clients", &clients, 1, 64, "how many clients there are")
      .number("changes", &changes, 1, mostCount, "how many changes they make together")
      .number("lose", &lose, 0, 100, "per cent of the calls that are given up before their answer can be awaited")
      .number("seed", &seed, 1, mostCount, "the seed of what they choose");
  if (auto code = reader.read(count, words)) return *code;
  if (shared.cores.empty()) return reportStartFailure(makeError(Code::missingField, "cores"));
  shared.changes = static_cast<int>(changes);
  shared.losePerCent = static_cast<int>(lose);
  shared.seed = static_cast<std::uint64_t>(seed);
  shared.runName = std::to_string(steadyNow());
  shared.file.open(out, std::ios::trunc);
  if (!shared.file) return reportStartFailure(makeError(Code::badProps, "history", "cannot be written"));

  WebClient calls;
  std::optional<ReadBack> initial;
  for (int tries = 0; tries < mostTries && !initial; ++tries) {
    WebCall call;
    call.url = "http://" + shared.cores[static_cast<std::size_t>(tries) % shared.cores.size()] + "/v1/blueprint";
    call.bearer = shared.key;
    call.totalTimeout = callWait;
    if (auto back = readBackOf(callAndWait(calls, call)))
      initial = back.value();
    else
      std::this_thread::sleep_for(200ms);
  }
  if (!initial) return reportStartFailure(makeError(Code::httpFault, "cores", "none answers a read"));
  shared.file << writeInitial(initial->revision, initial->items) << "\n";

  std::vector<std::thread> threads;
  for (int number = 1; number <= static_cast<int>(clients); ++number)
    threads.emplace_back([&shared, number] { Client(shared, number).run(); });
  for (auto& thread : threads) thread.join();
  shared.file.flush();
  std::cout << "operators: " << shared.written << " operations, " << shared.taken << " acknowledgements, "
            << shared.refused << " refusals, " << shared.unclear << " without a clear answer\n";
  return shared.file ? 0 : 1;
}
