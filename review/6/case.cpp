/// A worker answers before it has read a long body, keeps the connection, and reads on three seconds later. Its whole
/// answer does not reach the client.
#include "../stand-ins-2/fleet.hpp"

using namespace review;

namespace {

constexpr int pauseMs = 3000, clients = 6;
constexpr std::size_t bodyBytes = 4000000;

/// How a client's request on a kept connection ended.
struct Outcome {
  std::string attemptId;
  HttpMessage answer;
  bool closed{false};
  std::int64_t tookMs{0};
};

std::string requestOf(const std::string& attemptId, const std::string& path, std::size_t bytes) {
  return requestText("POST", path, {{"Host", "ficu95.example"}, {"X-Attempt-Id", attemptId}, {"X-Deadline-Ms", "8000"}},
                     std::string(bytes, 'b'));
}

/// Sends a short request, whose answer is awaited, and at `longAtMs` a long one on the same connection.
Outcome playClient(const std::string& front, const std::string& name, std::int64_t longAtMs) {
  Outcome outcome;
  outcome.attemptId = name + "-long";
  Connection connection;
  if (!connection.connect(front)) return outcome;
  connection.write(requestOf(name + "-short", "/lohu930/short", 1));
  auto first = connection.read(nowMs() + 5000);
  record.line("client %s: the short request is answered %d on the kept connection", name.c_str(), first.status);
  sleepMs(longAtMs - nowMs());
  auto sentAt = nowMs();
  record.line("client %s: sends %s, %zu bytes", name.c_str(), outcome.attemptId.c_str(), bodyBytes);
  if (connection.write(requestOf(outcome.attemptId, "/lohu930/long", bodyBytes)))
    outcome.answer = connection.read(nowMs() + 8000);
  outcome.tookMs = nowMs() - sentAt;
  outcome.closed = connection.peerLeft();
  record.line("client %s: after %lld ms: status %d, body \"%s\" of %s bytes, %s, connection %s", name.c_str(),
              static_cast<long long>(outcome.tookMs), outcome.answer.status, outcome.answer.body.substr(0, 60).c_str(),
              outcome.answer.header("Content-Length").c_str(), outcome.answer.complete ? "whole" : "NOT whole",
              outcome.closed ? "closed" : "open");
  return outcome;
}

}  // namespace

int main(int, char** arguments) {
  std::string self = arguments[1];
  record.open(self + "/record.txt");
  bool trouble = withTrouble();
  Fleet fleet;
  fleet.platformAddress = fleet.ip(150) + ":8688";
  std::vector<std::unique_ptr<Worker>> workers;
  Platform platform;
  std::mutex lock;
  std::set<std::string> answered;
  for (int number = 0; number < 3; ++number) {
    workers.push_back(std::make_unique<Worker>());
    auto& worker = *workers.back();
    worker.id = "i-" + std::to_string(number + 1);
    worker.service = "wuno96b";
    worker.zone = fleet.zones[static_cast<std::size_t>(number)];
    worker.address = fleet.ip(160 + number) + ":8080";
    worker.early = [&](Connection& connection, const HttpMessage& head, Worker& self) {
      std::string id = head.header("X-Attempt-Id"), target = head.header("X-Target-Instance");
      if (head.target != "/lohu930/long" || (!target.empty() && target != self.id)) return false;
      Run run;
      run.atMs = nowMs();
      run.attemptId = id;
      run.worker = self.id;
      runs.add(run);
      connection.write(responseText(200, {{"X-Attempt-Id", id}, {"X-Server-Seal", self.seal(id)}}, "done " + id));
      record.line("worker %s: has run %s and answered it with 200, whole; %s", self.id.c_str(), id.c_str(),
                  trouble ? "reads on 3 s later" : "reads on at once");
      {
        std::lock_guard<std::mutex> guard(lock);
        answered.insert(id);
      }
      if (trouble) sleepMs(pauseMs);
      return true;
    };
    if (!worker.start()) fleet.finish(2);
    platform.workers.push_back(&worker);
  }
  if (!platform.start(fleet.platformAddress)) fleet.finish(2);
  for (const auto& zone : fleet.zones) fleet.add("core-" + zone + "-1", zone, true);
  auto& edge = fleet.add("edge-gent-a-1", "gent-a", false);
  auto& stopping = fleet.add("edge-gent-b-1", "gent-b", false);
  fleet.startAll();
  std::string config =
      "{\"Revision\":7,\"Routes\":[{\"Name\":\"r-a\",\"Hostname\":\"ficu95.example\",\"PathPrefix\":\"/lohu930/\","
      "\"RouteKind\":\"non_idempotent\",\"TimeoutMs\":8000,\"TargetLatencyMs\":600,\"Priority\":1,"
      "\"Backend\":\"wuno96b\",\"MaxAttempts\":1,\"Public\":false,\"Sticky\":false,\"Resumable\":false}],"
      "\"Backends\":[{\"Name\":\"wuno96b\",\"HealthPath\":\"/health\",\"MaxConns\":470,\"Protocol\":\"h1\","
      "\"Tls\":false}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
      "\"IdleTimeoutMs\":15000}}";
  sleepMs(500);
  if (fleet.operate("PUT", "/config", config, 0, 20000) != 200 || !fleet.waitReady()) fleet.finish(2);
  sleepMs(4000);

  /// Plays all clients against one machine. Returns how many connections were closed without a whole answer, or -1.
  auto play = [&](Machine& machine, const std::string& phase, bool stops) {
    std::vector<Outcome> outcomes(clients);
    std::vector<std::thread> threads;
    auto longAt = nowMs() + 1000;
    for (int number = 0; number < clients; ++number)
      threads.emplace_back([&, number] {
        outcomes[static_cast<std::size_t>(number)] =
            playClient(machine.front(), phase + std::to_string(number), longAt);
      });
    if (stops) {
      sleepMs(longAt - 50 - nowMs());
      fleet.signal(machine, SIGTERM);
      record.line("planned work: SIGTERM for %s", machine.name.c_str());
    }
    for (auto& thread : threads) thread.join();
    int lost = 0, other = 0, whole = 0;
    for (const auto& outcome : outcomes) {
      if (!answered.count(outcome.attemptId)) return -1;
      if (outcome.answer.complete && outcome.answer.status == 200)
        ++whole;
      else if (outcome.closed && !outcome.answer.complete)
        ++lost;
      else
        ++other;
    }
    record.line(
        "%s: of %d requests that a sound worker answered in whole with 200, %d answers reached their client in "
        "whole, %d connections were closed without a whole answer, %d ended otherwise",
        phase.c_str(), clients, whole, lost, other);
    std::printf("%s: whole %d, closed without a whole answer %d, otherwise %d\n", phase.c_str(), whole, lost, other);
    return lost;
  };
  int anyTime = play(edge, "any-time-", false);
  int planned = play(stopping, "planned-work-", true);
  if (anyTime < 0 || planned < 0) fleet.finish(2);
  fleet.finish(anyTime > 3 || planned > 0 ? 1 : 0);
}
