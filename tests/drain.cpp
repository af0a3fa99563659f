#include "proxy_fixture.hpp"

/// What processes that were told to stop do with what they still take: real processes, real signals.
using namespace tt;
using namespace tt::proxytest;

namespace {

/// A worker that answers each request some time after it came, on every connection that the proxy makes.
class SlowWorker {
 public:
  SlowWorker(Proxy& calledBy, Duration answersAfter) : proxy(calledBy), delay(answersAfter) {}
  void step() {
    if (proxy.isCalled(0ms)) sides.push_back(Side{proxy.accept(), {}, {}});
    for (auto& side : sides) {
      if (side.request.empty()) take(side);
      if (!side.request.empty() && Clock::now() >= side.answerAt) answer(side);
    }
  }
  /// The attempts that have reached it.
  std::set<std::string> attempts;

 private:
  struct Side {
    WorkerSide connection;
    std::string request;
    TimePoint answerAt;
  };
  Proxy& proxy;
  Duration delay;
  std::vector<Side> sides;

  void take(Side& side) {
    side.request = side.connection.request(0ms);
    if (side.request.empty()) return;
    side.answerAt = Clock::now() + delay;
    attempts.insert(headerOf(side.request, "X-Attempt-Id"));
  }
  static void answer(Side& side) {
    side.connection.say(answerTo(side.request, "s", "well"));
    side.request.clear();
  }
};

/// A client with one request on a connection of its own.
struct Client {
  std::unique_ptr<Caller> caller;
  std::string attempt;
};

bool isWholeAnswer(const std::string& answer) {
  auto bodyAt = answer.find("\r\n\r\n");
  auto length = headerOf(answer, "Content-Length");
  return bodyAt != std::string::npos && !length.empty() && answer.size() - bodyAt - 4 == std::stoul(length);
}

/// A core that waits for seeds that never come, in a process of its own.
class LonelyCore {
 public:
  explicit LonelyCore(Duration grace) : base(freePorts(3)) {
    cr_assert(::mkdtemp(folder) != nullptr);
    SiteSettings settings;
    settings.nodeName = "core-1";
    settings.ip = "127.0.0.1";
    settings.zone = "north-a";
    settings.regionByZone["north-a"] = "north";
    settings.internalPortFirst = settings.internalPortLast = base;
    settings.controlAddress = "127.0.0.1:" + std::to_string(control());
    settings.dataDir = folder;
    settings.bootstrap = true;
    settings.seedPeers = {settings.controlAddress, "127.0.0.2:9", "127.0.0.3:9"};
    settings.bounds.grace = grace;
    process = std::make_unique<RoleProcess>(settings, runCore);
    cr_assert(soon([this] { return listens(); }, 10s), "the core must listen");
  }
  unsigned short control() const { return static_cast<unsigned short>(base + 1); }
  void signal(int number) { process->signal(number); }
  bool hasEnded(Duration wait) { return process->hasEnded(wait); }

 private:
  unsigned short base;
  char folder[32] = "/tmp/trouttally-drain-XXXXXX";
  std::unique_ptr<RoleProcess> process;
  bool listens() const {
    asio::error_code error;
    Caller caller(control(), error);
    return !error;
  }
};

}  // namespace

Test(drain, every_request_that_a_leaving_proxy_passes_on_is_answered_whole) {
  Proxy proxy(1, 4s);
  SlowWorker worker(proxy, 400ms);
  std::vector<Client> clients;
  std::size_t turnedAway = 0;
  proxy.signal(SIGTERM);
  for (bool ended = false; !ended; ended = proxy.hasEnded(10ms)) {
    worker.step();
    asio::error_code error;
    auto caller = std::make_unique<Caller>(proxy.front(), error);
    if (error) {
      ++turnedAway;
      continue;
    }
    clients.push_back(Client{std::move(caller), "a" + std::to_string(clients.size() + 1)});
    clients.back().caller->send(ask("/once/x", clients.back().attempt));
  }
  std::size_t served = 0;
  for (auto& client : clients) {
    auto answer = client.caller->all();
    if (!answer.empty() || worker.attempts.count(client.attempt))
      cr_expect(isWholeAnswer(answer), "%s got \"%s\"", client.attempt.c_str(), answer.c_str());
    served += statusOf(answer) == 200;
    if (statusOf(answer) != 503) continue;
    ++turnedAway;
    cr_expect_not(worker.attempts.count(client.attempt), "what is refused has not run");
    cr_expect(has(answer, "Retry-After: ") && has(answer, "Connection: close"), "got \"%s\"", answer.c_str());
  }
  cr_expect_gt(served, 0u, "it serves while callers still come to it");
  cr_expect_gt(turnedAway, 0u, "it does not take what it could not finish");
}

Test(drain, a_request_on_a_kept_connection_is_answered_too) {
  Proxy proxy(1, 4s);
  Caller kept(proxy.front());
  kept.send(ask("/once/first", "a1"));
  auto worker = proxy.accept();
  auto request = worker.request();
  worker.say("HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Seal: s\r\nContent-Length: 8\r\n\r\nhalf");
  cr_assert(has(kept.until("half"), "Connection: keep-alive"));
  proxy.signal(SIGTERM);
  cr_assert(soon([&] { return !proxy.isReady(); }));
  std::this_thread::sleep_for(2500ms);
  kept.send(ask("/once/second", "a2"));
  worker.say("rest");
  cr_assert(has(kept.until("rest"), "rest"));
  auto answer = kept.all();
  cr_expect(isWholeAnswer(answer), "got \"%s\"", answer.c_str());
  cr_expect_eq(statusOf(answer), 503);
  cr_expect(proxy.hasEnded(8s));
}

Test(drain, a_leaving_core_answers_the_operators_that_wait_at_it) {
  LonelyCore core(1s);
  Caller change(core.control());
  change.send(
      "PUT /config HTTP/1.1\r\nHost: a\r\nIf-Match: 0\r\nContent-Length: 44\r\n\r\n"
      R"({"Revision":1,"Routes":[],"Backends":[]})"
      "    ");
  std::this_thread::sleep_for(100ms);
  core.signal(SIGTERM);
  auto answer = change.until("}");
  cr_expect(statusOf(answer) == 503 || statusOf(answer) == 504, "got \"%s\"", answer.c_str());
  cr_expect(core.hasEnded(8s));
}
