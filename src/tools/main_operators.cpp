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
constexpr Duration callTimeout = 8s;
/// How often a read that failed, or a change whose outcome is unknown, is tried.
constexpr int maxTries = 60;
/// Keeps apart the seeds of the clients in runs with different seeds.
constexpr std::uint64_t seedStride = 7919;
/// The largest number of changes, and the largest seed.
constexpr double maxCount = 100000;

/// State that all clients share: the settings, and the history file.
struct SharedState {
  std::vector<std::string> cores;
  std::string key, runName;
  int changes{0}, lossPercent{0};
  std::uint64_t seed{1};
  std::atomic<int> startedChanges{0};
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

/// The configuration that a read returned.
struct ReadResult {
  std::uint64_t revision{0};
  RegisterItems items;
};

Result<ReadResult> parseRead(const WebResult& result) {
  if (!result.reached || result.status != 200) return makeError(Code::httpFault, "read", result.errorMessage);
  auto body = parseJson(result.body);
  if (!body || !body.value().is<JsonObject>())
    return makeError(Code::badJson, "read", "the response is not a JSON object");
  const auto& fields = body.value().get<JsonObject>();
  auto configuration = fields.find("blueprint");
  if (configuration == fields.end() || !configuration->second.is<JsonObject>())
    return makeError(Code::badField, "read", "the response has no blueprint");
  return ReadResult{static_cast<std::uint64_t>(integerOr(body.value(), "revision", 0)),
                    trackedItems(configuration->second.get<JsonObject>())};
}

/// One operator's client. It reads the configuration, sends a change on condition that the revision it read is still in
/// force, and resends a change whose outcome is unknown.
class Client {
 public:
  Client(SharedState& sharedState, int number)
      : shared(sharedState),
        name("operator-" + std::to_string(number)),
        random(sharedState.seed * seedStride + static_cast<std::uint64_t>(number)) {}

  void run() {
    while (shared.startedChanges++ < shared.changes) {
      auto base = readFromAnyCore();
      if (!base) continue;
      makeChange(*base);
      for (const auto& core : shared.cores) (void)readFrom(core);
    }
  }

 private:
  SharedState& shared;
  std::string name;
  std::mt19937_64 random;
  WebClient calls;
  int sentChanges{0};

  std::uint64_t randomBelow(std::uint64_t below) { return random() % below; }
  const std::string& randomCore() { return shared.cores[randomBelow(shared.cores.size())]; }

  WebCall callTo(const std::string& core, const std::string& method, const std::string& query) {
    WebCall call;
    call.method = method;
    call.url = "http://" + core + "/v1/blueprint" + query;
    call.bearer = shared.key;
    call.totalTimeout = callTimeout;
    return call;
  }

  /// Reads from a core and records it. Returns the revision; nothing if the read failed.
  std::optional<std::uint64_t> readFrom(const std::string& core) {
    Operation read;
    read.client = name;
    read.through = core;
    read.kind = OperationKind::readConfiguration;
    read.began = steadyNow();
    auto readResult = parseRead(callAndWait(calls, callTo(core, "GET", {})));
    if (!readResult) return std::nullopt;
    read.ended = steadyNow();
    read.outcome = OperationOutcome::seen;
    read.resultRevision = readResult.value().revision;
    read.resultDigest = contentDigest(readResult.value().items);
    shared.write(read);
    return readResult.value().revision;
  }

  std::optional<std::uint64_t> readFromAnyCore() {
    for (int tries = 0; tries < maxTries; ++tries) {
      if (auto revision = readFrom(randomCore())) return revision;
      std::this_thread::sleep_for(std::chrono::milliseconds(100 + randomBelow(200)));
    }
    return std::nullopt;
  }

  /// Sends a change that requires the revision `base`, and resends it until its outcome is known. A change that
  /// succeeded is sometimes sent once more, which must not apply it again.
  void makeChange(std::uint64_t base) {
    std::string number = std::to_string(++sentChanges);
    std::string fields =
        R"({"model":"rooster-llm","kind":")" + std::string(randomBelow(2) ? "app" : "language") + "\"}";
    OperatorRequest change{};
    change.body = "{\"routes\":{\"" + name + "-" + number + "\":" + fields +
                  (randomBelow(3) ? std::string() : ",\"op-shared\":" + fields) + "}}";
    change.ifRevision = static_cast<std::int64_t>(base);
    change.changeId = shared.runName + "-" + name + "-" + number;
    auto outcome = OperationOutcome::unclear;
    for (int tries = 0; tries < maxTries && outcome == OperationOutcome::unclear; ++tries) {
      if (tries) std::this_thread::sleep_for(std::chrono::milliseconds(50 + randomBelow(300)));
      outcome = attempt(change);
    }
    if (outcome == OperationOutcome::taken && randomBelow(3) == 0) (void)attempt(change);
  }

  /// Sends a change once to a random core and records the outcome.
  OperationOutcome attempt(const OperatorRequest& change) {
    const auto& core = randomCore();
    Operation operation = operationOf(change);
    operation.client = name;
    operation.through = core;
    operation.valid = true;
    auto call =
        callTo(core, "PATCH", "?changeId=" + change.changeId + "&ifRevision=" + std::to_string(change.ifRevision));
    call.body = change.body;
    call.noResend = true;
    if (static_cast<int>(randomBelow(100)) < shared.lossPercent)
      call.totalTimeout = std::chrono::milliseconds(1 + randomBelow(60));
    operation.began = steadyNow();
    auto result = callAndWait(calls, call);
    auto response = parseJson(result.body);
    if (result.reached && response && response.value().is<JsonObject>())
      operation.outcome = outcomeOf(static_cast<Code>(integerOr(response.value(), "code", 0)));
    if (operation.outcome != OperationOutcome::unclear) operation.ended = steadyNow();
    if (operation.outcome == OperationOutcome::taken)
      operation.resultRevision = static_cast<std::uint64_t>(integerOr(response.value(), "revision", 0));
    shared.write(operation);
    return operation.outcome;
  }
};
}  // namespace

int main(int count, char** arguments) {
  SharedState shared;
  std::string historyFile;
  double clients = 4, changes = 60, lose = 15, seed = 1;
  Settings reader("trouttally-operators",
                  "Runs concurrent operators' clients that change the configuration, and writes their history for "
                  "trouttally-audit");
  reader.addresses("cores", &shared.cores, "operator addresses of the cores")
      .text("key", &shared.key, "operator key", true)
      .text("history", &historyFile, "file to write the history to", true)
      .number("clients", &clients, 1, 64, "number of clients")
      .number("changes", &changes, 1, maxCount, "total number of changes")
      .number(
          "lose", &lose, 0, 100,
          "per cent of the changes that are sent with a timeout of 1 to 60 ms, so that the outcome may stay unknown")
      .number("seed", &seed, 1, maxCount, "seed of the random number generators");
  if (auto code = reader.read(count, arguments)) return *code;
  if (shared.cores.empty()) return reportStartFailure(makeError(Code::missingField, "cores"));
  shared.changes = static_cast<int>(changes);
  shared.lossPercent = static_cast<int>(lose);
  shared.seed = static_cast<std::uint64_t>(seed);
  shared.runName = std::to_string(steadyNow());
  shared.file.open(historyFile, std::ios::trunc);
  if (!shared.file) return reportStartFailure(makeError(Code::badProps, "history", "cannot be written"));

  WebClient calls;
  std::optional<ReadResult> initial;
  for (int tries = 0; tries < maxTries && !initial; ++tries) {
    WebCall call;
    call.url = "http://" + shared.cores[static_cast<std::size_t>(tries) % shared.cores.size()] + "/v1/blueprint";
    call.bearer = shared.key;
    call.totalTimeout = callTimeout;
    if (auto readResult = parseRead(callAndWait(calls, call)))
      initial = readResult.value();
    else
      std::this_thread::sleep_for(200ms);
  }
  if (!initial) return reportStartFailure(makeError(Code::httpFault, "cores", "no core answers a read"));
  shared.file << writeInitial(initial->revision, initial->items) << "\n";

  std::vector<std::thread> threads;
  for (int number = 1; number <= static_cast<int>(clients); ++number)
    threads.emplace_back([&shared, number] { Client(shared, number).run(); });
  for (auto& thread : threads) thread.join();
  shared.file.flush();
  std::cout << "operators: " << shared.written << " operations, " << shared.taken << " acknowledgements, "
            << shared.refused << " refusals, " << shared.unclear << " with an unknown outcome\n";
  return shared.file ? 0 : 1;
}
