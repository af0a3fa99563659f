/// One worker spoils one streamed answer: bytes that are no event follow its first event. The proxy then serves nobody
/// for seconds.
#include "../stand-ins-2/fleet.hpp"

using namespace review;

namespace {

constexpr int streams = 40, alertClients = 10, alertEveryMs = 100, timeoutMs = 1500, watchMs = 12000, spoilMs = 5000;
constexpr std::size_t junkBytes = 16000000;

struct Alert {
  std::int64_t sentMs{0}, tookMs{-1};
  int status{0};
};

Headers headersOf(const std::string& attemptId, int deadlineMs) {
  return {{"Host", "ficu95.example"},
          {"X-Attempt-Id", attemptId},
          {"X-Deadline-Ms", std::to_string(deadlineMs)},
          {"X-Model", "daka510000"}};
}

}  // namespace

int main(int, char** arguments) {
  std::string self = arguments[1];
  record.open(self + "/record.txt");
  bool trouble = withTrouble();
  Fleet fleet;
  fleet.platformAddress = fleet.standIn(150, true);
  std::vector<std::unique_ptr<Worker>> workers;
  Platform platform;
  std::atomic<int> spoilt{0};
  for (int number = 0; number < 6; ++number) {
    workers.push_back(std::make_unique<Worker>());
    auto& worker = *workers.back();
    bool plain = number >= 3;
    worker.id = "i-" + std::to_string(number + 1);
    worker.service = plain ? "wuno96b" : "huvo11a";
    worker.zone = fleet.zones[static_cast<std::size_t>(number % 3)];
    if (!plain) worker.model = "daka510000";
    worker.slots = 128;
    worker.events = 10;
    worker.eventMs = 20;
    worker.address = fleet.standIn(160 + number);
    if (!plain)
      worker.hook = [&](Connection& connection, const HttpMessage& request, Worker& own) {
        std::string id = request.header("X-Attempt-Id");
        if (!trouble || id != "stream-" + std::to_string(streams - 1)) return false;
        ++spoilt;
        record.line("worker %s: spoils its answer to %s after the first event, %zu bytes", own.id.c_str(), id.c_str(),
                    junkBytes);
        connection.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: " + own.seal(id) +
                         "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                         "16\r\nid: 1\ndata: token 1\n\n\r\n");
        std::string junk(100000, 'z');
        auto endsAt = nowMs() + spoilMs;
        std::size_t sent = 0;
        while (sent < junkBytes && connection.writeUntil("186a0\r\n" + junk + "\r\n", endsAt)) sent += junk.size();
        sleepMs(sent < junkBytes ? 0 : 100);
        connection.reset();
        record.line("worker %s: breaks off after %zu bytes", own.id.c_str(), sent);
        return true;
      };
    if (!worker.start()) fleet.finish(2);
    platform.workers.push_back(&worker);
  }
  if (!platform.start(fleet.platformAddress)) fleet.finish(2);
  for (const auto& zone : fleet.zones) fleet.add("core-" + zone + "-1", zone, true);
  auto& edge = fleet.add("edge-gent-a-1", "gent-a", false);
  fleet.add("edge-gent-b-1", "gent-b", false);
  fleet.startAll();
  std::string config =
      "{\"Revision\":7,\"Routes\":[{\"Name\":\"r-a\",\"Hostname\":\"ficu95.example\",\"PathPrefix\":\"/lohu930/\","
      "\"RouteKind\":\"streaming\",\"TimeoutMs\":8000,\"TargetLatencyMs\":400,\"Priority\":1,\"Backend\":\"huvo11a\","
      "\"MaxAttempts\":2,\"Public\":false,\"Sticky\":true,\"Resumable\":false,\"GapTargetMs\":250},"
      "{\"Name\":\"r-b\",\"Hostname\":\"ficu95.example\",\"PathPrefix\":\"/pufi791/\",\"RouteKind\":"
      "\"non_idempotent\",\"TimeoutMs\":" +
      std::to_string(timeoutMs) +
      ",\"TargetLatencyMs\":120,\"Priority\":2,\"Backend\":\"wuno96b\",\"MaxAttempts\":1,\"Public\":false,"
      "\"Sticky\":false,\"Resumable\":false}],\"Backends\":[{\"Name\":\"huvo11a\",\"HealthPath\":\"/health\","
      "\"MaxConns\":630,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{\"Slots\":128,\"KvCapacityTokens\":319789,"
      "\"TokenKvBytes\":18432,\"LinkMbps\":370000.0,\"Stride\":5,\"MaxInflight\":12,\"Models\":[{\"Name\":"
      "\"daka510000\"}]}},{\"Name\":\"wuno96b\",\"HealthPath\":\"/health\",\"MaxConns\":470,\"Protocol\":\"h1\","
      "\"Tls\":false}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
      "\"IdleTimeoutMs\":15000}}";
  sleepMs(500);
  if (fleet.operate("PUT", "/config", config, 0, 20000) != 200 || !fleet.waitReady()) fleet.finish(2);
  sleepMs(4000);

  std::mutex lock;
  std::vector<Alert> alerts;
  std::atomic<bool> ends{false};
  std::vector<std::thread> threads;
  for (int client = 0; client < alertClients; ++client)
    threads.emplace_back([&, client] {
      Connection connection;
      for (int number = 0; !ends; ++number) {
        if ((!connection.isOpen() || connection.peerLeft()) && !connection.connect(edge.front())) continue;
        std::string id = "alert-" + std::to_string(client) + "-" + std::to_string(number);
        Alert alert;
        alert.sentMs = nowMs();
        connection.write(requestText("POST", "/pufi791/2f", headersOf(id, timeoutMs + 3000), "x"));
        auto answer = connection.read(nowMs() + timeoutMs + 500);
        if (answer.complete) alert.tookMs = nowMs() - alert.sentMs;
        alert.status = answer.status;
        if (!answer.complete) {
          record.line("client: %s has no answer %d ms after it was sent", id.c_str(), timeoutMs + 500);
          connection.close();
        }
        {
          std::lock_guard<std::mutex> guard(lock);
          alerts.push_back(alert);
        }
        sleepMs(alertEveryMs);
      }
    });
  sleepMs(1000);
  std::thread streamClient([&] {
    for (int number = 0; number < streams; ++number) {
      Connection connection;
      if (!connection.connect(edge.front())) continue;
      std::string id = "stream-" + std::to_string(number);
      auto headers = headersOf(id, 8000);
      headers.emplace_back("X-Token-Counts", "500,10");
      headers.emplace_back("X-Prompt-Prefix", "5c1e07a2:300,91bd" + std::to_string(number) + ":200");
      connection.write(requestText("POST", "/lohu930/2f", headers, "x"));
      auto answer = connection.read(nowMs() + 8000);
      record.line("client: %s is answered %d, %s", id.c_str(), answer.status, answer.complete ? "whole" : "not whole");
    }
  });
  std::thread ready([&] {
    while (!ends) {
      auto sentAt = nowMs();
      auto answer = call(edge.readiness(), "GET", "/ready", "", {}, 1000);
      if (answer.status != 200)
        record.line("platform: GET /ready: %d after %lld ms", answer.status, static_cast<long long>(nowMs() - sentAt));
      sleepMs(1000);
    }
  });
  auto until = nowMs() + watchMs + streams * 230;
  while (nowMs() < until && !(spoilt > 0 && nowMs() > until)) sleepMs(100);
  ends = true;
  streamClient.join();
  ready.join();
  for (auto& thread : threads) thread.join();

  int late = 0, unanswered = 0;
  for (const auto& alert : alerts) {
    if (alert.tookMs >= 0 && alert.tookMs <= timeoutMs) continue;
    ++late;
    if (alert.tookMs < 0 || alert.tookMs > timeoutMs + 500) ++unanswered;
  }
  int status = 0;
  bool ended = fleet.ended(edge, "proxy", status);
  bool broken = unanswered >= 8 && 2 * unanswered > late;
  record.line(
      "%zu requests of the route with TimeoutMs %d: %d unanswered at TimeoutMs, %d of them also 0.5 s later; %d "
      "of %d streamed answers spoilt%s",
      alerts.size(), timeoutMs, late, unanswered, spoilt.load(), streams, ended ? "; the proxy ended" : "");
  std::printf("requests %zu, unanswered at TimeoutMs %d, 0.5 s later %d, spoilt %d\n", alerts.size(), late, unanswered,
              spoilt.load());
  if (trouble && spoilt == 0) fleet.finish(2);
  fleet.finish(broken ? 1 : 0);
}
