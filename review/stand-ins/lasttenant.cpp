// The operator takes the last tenant away: do requests with its key, or with a key that nobody ever had, still run?
#include "rig.hpp"

using namespace rig;

namespace {
constexpr long revokeMs = 5000;
const std::string keyOfBank = "key-of-the-bank-0001", keyOfClub = "key-of-the-club-0001",
                  keyOfNobody = "key-of-nobody-0001";

std::string config() {
  return "{\"Revision\":1,\"Routes\":[{\"Name\":\"r-1\",\"Hostname\":\"one.example\",\"PathPrefix\":\"/check/\","
         "\"RouteKind\":\"non_idempotent\",\"TimeoutMs\":4000,\"TargetLatencyMs\":400,\"Priority\":1,\"Backend\":"
         "\"wallet\",\"MaxAttempts\":1,\"Public\":false}],\"Backends\":[{\"Name\":\"wallet\",\"HealthPath\":\"/"
         "health\","
         "\"MaxConns\":100,\"Protocol\":\"h1\",\"Tls\":false}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":"
         "4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"bank\",\"ApiKeys\":[\"" +
         keyOfBank + "\"],\"Priority\":1},{\"Name\":\"club\",\"ApiKeys\":[\"" + keyOfClub + "\"],\"Priority\":1}]}";
}

struct Asked {
  std::string attempt;
  int status{0};
};
Asked ask(Fleet& fleet, int edge, const std::string& key) {
  Asked asked{freshId()};
  auto reply = call(fleet.edgeIp(edge), fleet.frontPort, "POST", "/check/payee",
                    {{"Host", "one.example"},
                     {"X-Attempt-Id", asked.attempt},
                     {"X-Deadline-Ms", "4000"},
                     {"Authorization", "Bearer " + key}},
                    "payee", 5000);
  asked.status = reply.status;
  REC("request %s with %s at edge-%d: %d", asked.attempt.c_str(), key.c_str(), edge, reply.status);
  return asked;
}
}  // namespace

int main(int count, char** words) {
  Setting setting = begin(count, words);
  Fleet fleet(setting.root);
  std::vector<std::unique_ptr<Worker>> workers;
  Platform platform;
  platform.ip = fleet.cloudIp();
  platform.port = fleet.cloudPort;
  for (int number = 1; number <= 2; ++number) {
    auto worker = std::make_unique<Worker>();
    worker->id = "i-" + std::to_string(number);
    worker->service = "wallet";
    worker->zone = fleet.zone;
    worker->ip = fleet.workerIp(number);
    worker->port = fleet.workerPort;
    worker->slots = 8;
    worker->start();
    platform.workers.push_back(worker.get());
    workers.push_back(std::move(worker));
  }
  platform.start();
  fleet.addCores(3);
  fleet.addEdges(2);
  fleet.launchAll();
  if (fleet.operate("PUT", "/config", config(), {{"If-Match", "0"}}, 3).status != 200)
    cannotRun(fleet, "the first configuration was not taken");
  if (!fleet.waitReady(2)) cannotRun(fleet, "the proxies are not ready");
  sleepMs(1000);
  auto ran = [&](const std::string& attempt) {
    for (auto& worker : workers) {
      std::lock_guard<std::mutex> guard(worker->lock);
      for (const auto& run : worker->runs)
        if (run.attempt == attempt) return true;
    }
    return false;
  };
  for (int edge = 1; edge <= 2; ++edge) {
    if (ask(fleet, edge, keyOfBank).status != 200 || ask(fleet, edge, keyOfClub).status != 200)
      cannotRun(fleet, "a request with a key that is held was not served");
    if (ask(fleet, edge, keyOfNobody).status != 401) cannotRun(fleet, "a key that nobody has was not denied at first");
  }
  if (setting.trouble) {
    // The first of the two tenants goes: its key is denied, as it should be.
    if (fleet
            .operate("PATCH", "/config", "{\"Revision\":2,\"Remove\":{\"Tenants\":[\"bank\"]}}", {{"If-Match", "1"}}, 3)
            .status != 200)
      cannotRun(fleet, "the first change was not taken");
    sleepMs(revokeMs + 500);
    for (int edge = 1; edge <= 2; ++edge)
      if (ask(fleet, edge, keyOfBank).status != 401) cannotRun(fleet, "the first key was not denied");
    // The disruption: the last tenant goes too.
    if (fleet
            .operate("PATCH", "/config", "{\"Revision\":3,\"Remove\":{\"Tenants\":[\"club\"]}}", {{"If-Match", "2"}}, 3)
            .status != 200)
      cannotRun(fleet, "the second change was not taken");
  }
  long acknowledged = nowMs();
  REC("the configuration in force is acknowledged");
  auto read = fleet.operate("GET", "/config", "", {}, 3);
  REC("read back: %s", read.body.c_str());
  sleepMs(revokeMs + 1000);
  int revokedRan = 0, foreignRan = 0;
  for (int turn = 0; turn < 4; ++turn) {
    REC("sent %ld ms after the acknowledgement:", nowMs() - acknowledged);
    if (setting.trouble) {
      revokedRan += ran(ask(fleet, turn % 2 + 1, keyOfBank).attempt);
      revokedRan += ran(ask(fleet, turn % 2 + 1, keyOfClub).attempt);
    } else if (ask(fleet, turn % 2 + 1, keyOfClub).status != 200) {
      cannotRun(fleet, "a request with a key that is held was not served");
    }
    foreignRan += ran(ask(fleet, turn % 2 + 1, keyOfNobody).attempt);
  }
  finish(fleet, revokedRan + foreignRan > 0,
         "requests that ran: " + std::to_string(revokedRan) + " of " + std::to_string(setting.trouble ? 8 : 0) +
             " with a key that was taken away, " + std::to_string(foreignRan) +
             " of 4 with a key that no configuration ever held");
}
