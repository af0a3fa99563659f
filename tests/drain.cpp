#include "proxy_fixture.hpp"

/// How open and new requests end at a process that has received SIGTERM. Uses real processes and signals.
using namespace tt;
using namespace tt::proxytest;

namespace {

/// A worker that responds to each request after a delay, on every connection that the proxy opens.
class SlowWorker {
 public:
  SlowWorker(Proxy& callingProxy, Duration responseDelay) : proxy(callingProxy), delay(responseDelay) {}
  void step() {
    if (proxy.isCalled(0ms)) connections.push_back(Connection{proxy.accept(), {}, {}});
    for (auto& entry : connections) {
      if (entry.request.empty()) readRequest(entry);
      if (!entry.request.empty() && Clock::now() >= entry.respondAt) respond(entry);
    }
  }
  /// Attempt ids of the requests that have reached the worker.
  std::set<std::string> attempts;

 private:
  struct Connection {
    WorkerConnection connection;
    std::string request;
    TimePoint respondAt;
  };
  Proxy& proxy;
  Duration delay;
  std::vector<Connection> connections;

  void readRequest(Connection& entry) {
    entry.request = entry.connection.request(0ms);
    if (entry.request.empty()) return;
    entry.respondAt = Clock::now() + delay;
    attempts.insert(headerOf(entry.request, "X-Attempt-Id"));
  }
  static void respond(Connection& entry) {
    entry.connection.send(responseTo(entry.request, "s", "well"));
    entry.request.clear();
  }
};

/// A client with one request on a connection of its own.
struct Client {
  std::unique_ptr<RawClient> connection;
  std::string attempt;
};

bool isCompleteResponse(const std::string& response) {
  auto bodyAt = response.find("\r\n\r\n");
  auto length = headerOf(response, "Content-Length");
  return bodyAt != std::string::npos && !length.empty() && response.size() - bodyAt - 4 == std::stoul(length);
}

/// A core in a process of its own, which waits for seeds that never start.
class IsolatedCore {
 public:
  explicit IsolatedCore(Duration grace) : firstPort(freePorts(3)) {
    cr_assert(::mkdtemp(folder) != nullptr);
    SiteSettings settings;
    settings.nodeName = "core-1";
    settings.ip = "127.0.0.1";
    settings.zone = "north-a";
    settings.regionByZone["north-a"] = "north";
    settings.internalPortFirst = settings.internalPortLast = firstPort;
    settings.controlAddress = "127.0.0.1:" + std::to_string(control());
    settings.dataDir = folder;
    settings.bootstrap = true;
    settings.seedPeers = {settings.controlAddress, "127.0.0.2:9", "127.0.0.3:9"};
    settings.bounds.grace = grace;
    process = std::make_unique<RoleProcess>(settings, runCore);
    cr_assert(eventually([this] { return listens(); }, 10s), "the core must listen");
  }
  unsigned short control() const { return static_cast<unsigned short>(firstPort + 1); }
  void signal(int number) { process->signal(number); }
  bool hasEnded(Duration wait) { return process->hasEnded(wait); }

 private:
  unsigned short firstPort;
  char folder[32] = "/tmp/trouttally-drain-XXXXXX";
  std::unique_ptr<RoleProcess> process;
  bool listens() const {
    asio::error_code error;
    RawClient client(control(), error);
    return !error;
  }
};

}  // namespace

Test(drain, every_request_that_a_draining_proxy_passes_on_gets_a_complete_response) {
  Proxy proxy(1, 4s);
  SlowWorker worker(proxy, 400ms);
  std::vector<Client> clients;
  std::size_t rejected = 0;
  proxy.signal(SIGTERM);
  for (bool ended = false; !ended; ended = proxy.hasEnded(10ms)) {
    worker.step();
    asio::error_code error;
    auto connection = std::make_unique<RawClient>(proxy.front(), error);
    if (error) {
      ++rejected;
      continue;
    }
    clients.push_back(Client{std::move(connection), "a" + std::to_string(clients.size() + 1)});
    clients.back().connection->send(getRequest("/once/x", clients.back().attempt));
  }
  std::size_t served = 0;
  for (auto& client : clients) {
    auto response = client.connection->readAll();
    if (!response.empty() || worker.attempts.count(client.attempt))
      cr_expect(isCompleteResponse(response), "%s got \"%s\"", client.attempt.c_str(), response.c_str());
    served += statusOf(response) == 200;
    if (statusOf(response) != 503) continue;
    ++rejected;
    cr_expect_not(worker.attempts.count(client.attempt), "a rejected request must not have reached the worker");
    cr_expect(has(response, "Retry-After: ") && has(response, "Connection: close"), "got \"%s\"", response.c_str());
  }
  cr_expect_gt(served, 0u, "requests that arrive during the drain must be served");
  cr_expect_gt(rejected, 0u, "requests that could not finish in time must be rejected");
}

Test(drain, a_request_on_a_keep_alive_connection_gets_a_response_too) {
  Proxy proxy(1, 4s);
  RawClient kept(proxy.front());
  kept.send(getRequest("/once/first", "a1"));
  auto worker = proxy.accept();
  auto request = worker.request();
  worker.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Seal: s\r\nContent-Length: 8\r\n\r\nhalf");
  cr_assert(has(kept.readUntil("half"), "Connection: keep-alive"));
  proxy.signal(SIGTERM);
  cr_assert(eventually([&] { return !proxy.isReady(); }));
  std::this_thread::sleep_for(2500ms);
  kept.send(getRequest("/once/second", "a2"));
  worker.send("rest");
  auto received = kept.readUntil("rest");
  cr_assert(has(received, "rest"));
  auto response = received.substr(received.find("rest") + 4) + kept.readAll();
  cr_expect(isCompleteResponse(response), "got \"%s\"", response.c_str());
  cr_expect_eq(statusOf(response), 503);
  cr_expect(proxy.hasEnded(8s));
}

Test(drain, a_stopping_core_responds_to_waiting_operators) {
  IsolatedCore core(1s);
  RawClient change(core.control());
  change.send(
      "PUT /config HTTP/1.1\r\nHost: a\r\nIf-Match: 0\r\nContent-Length: 44\r\n\r\n"
      R"({"Revision":1,"Routes":[],"Backends":[]})"
      "    ");
  std::this_thread::sleep_for(100ms);
  core.signal(SIGTERM);
  auto response = change.readUntil("}");
  cr_expect(statusOf(response) == 503 || statusOf(response) == 504, "got \"%s\"", response.c_str());
  cr_expect(core.hasEnded(8s));
}
