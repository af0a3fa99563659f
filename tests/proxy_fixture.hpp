#pragma once
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <csignal>

#include "http_server_fixture.hpp"
#include "roles.hpp"

/// Fixture for tests of a proxy process: a proxy in a process of its own, an agent that sends it updates, and workers
/// on raw sockets for which the test writes every byte.
namespace tt::proxytest {
using namespace tt::gatetest;

/// Returns the first of count consecutive free ports. The range depends on the process id, as tests run in parallel.
inline unsigned short freePorts(int count) {
  for (int firstPort = 21000 + ::getpid() % 2000 * 10; firstPort < 60000; firstPort += count) {
    asio::io_context io;
    std::vector<asio::ip::tcp::acceptor> held;
    asio::error_code error;
    for (int at = 0; at < count && !error; ++at) {
      held.emplace_back(io);
      held.back().open(asio::ip::tcp::v4(), error);
      if (!error)
        held.back().bind({asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(firstPort + at)}, error);
    }
    if (!error) return static_cast<unsigned short>(firstPort);
  }
  cr_assert_fail("no free ports");
  return 0;
}

/// The worker's end of a connection from the proxy.
class WorkerConnection {
 public:
  explicit WorkerConnection(int accepted) : handle(accepted) {}
  WorkerConnection(WorkerConnection&& other) noexcept
      : handle(std::exchange(other.handle, -1)), unread(std::move(other.unread)) {}
  WorkerConnection& operator=(WorkerConnection&& other) noexcept {
    std::swap(handle, other.handle);
    std::swap(unread, other.unread);
    return *this;
  }
  ~WorkerConnection() { close(); }
  /// The next request with its body; empty if none arrives in time or the connection ends.
  std::string request(Duration wait = 5s) {
    while (true) {
      auto end = unread.find("\r\n\r\n");
      if (end != std::string::npos) {
        std::size_t size = end + 4;
        if (auto length = unread.find("Content-Length: "); length < end) size += std::stoul(unread.substr(length + 16));
        if (unread.size() >= size) {
          auto complete = unread.substr(0, size);
          unread.erase(0, size);
          return complete;
        }
      }
      if (!fill(wait)) return {};
    }
  }
  /// Whether the proxy closes the connection within the time.
  bool ended(Duration wait = 5s) {
    while (fill(wait)) {
    }
    return over;
  }
  void say(std::string_view text) { (void)!::send(handle, text.data(), text.size(), MSG_NOSIGNAL); }
  void close() {
    if (handle >= 0) ::close(handle);
    handle = -1;
  }
  void reset() {
    linger now{1, 0};
    ::setsockopt(handle, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
  }

 private:
  int handle{-1};
  std::string unread;
  bool over{false};
  bool fill(Duration wait) {
    pollfd descriptors{handle, POLLIN, 0};
    if (::poll(&descriptors, 1, static_cast<int>(toMilliseconds(wait))) <= 0) return false;
    char bytes[16384];
    auto size = ::recv(handle, bytes, sizeof bytes, 0);
    over = size <= 0;
    if (!over) unread.append(bytes, static_cast<std::size_t>(size));
    return !over;
  }
};

/// Listening socket of a worker.
class WorkerListener {
 public:
  WorkerListener() : acceptor(io, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {}
  std::string address() const { return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()); }
  int handle() { return acceptor.native_handle(); }

 private:
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor;
};

/// Runs a role of the platform's program in a child process that is killed when the test ends.
class RoleProcess {
 public:
  RoleProcess(const SiteSettings& settings, int (*role)(const SiteSettings&)) : id(::fork()) {
    if (id != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (!setTiming(settings)) ::_exit(9);
    ::_exit(role(settings));
  }
  RoleProcess(const RoleProcess&) = delete;
  RoleProcess& operator=(const RoleProcess&) = delete;
  ~RoleProcess() {
    if (id <= 0) return;
    ::kill(id, SIGKILL);
    ::waitpid(id, nullptr, 0);
  }
  void signal(int number) { ::kill(id, number); }
  /// Whether the process exits within the time.
  bool hasEnded(Duration wait) {
    bool over = eventually([this] { return ::waitpid(id, nullptr, WNOHANG) == id; }, wait);
    if (over) id = 0;
    return over;
  }

 private:
  pid_t id;
};

/// A proxy process with its simulated agent and workers.
class Proxy {
 public:
  explicit Proxy(std::size_t workers = 1, Duration grace = 8s)
      : firstPort(freePorts(5)), listeners(workers), context(), work(context.get_executor()) {
    SiteSettings settings;
    settings.nodeName = "edge-1";
    settings.ip = "127.0.0.1";
    settings.zone = "north-a";
    settings.internalPortFirst = firstPort;
    settings.internalPortLast = firstPort + 2;
    settings.frontAddress = at(3);
    settings.readinessAddress = at(4);
    settings.bounds.grace = grace;
    process = std::make_unique<RoleProcess>(settings, runProxy);
    transport = std::make_unique<PeerTransport>(context, at(1), [this](const std::string& from, Message message) {
      if (auto* ask = std::get_if<FeedAsk>(&message)) feed(from, *ask);
    });
    cr_assert(bool(transport->listen()));
    thread = std::thread([this] { context.run(); });
    applyPatch(R"({"services":{"mill":{}},"routes":{
      "safe":{"host":"a","prefix":"/","service":"mill","repeat":"safe","tries":3,"timeoutMs":8000},
      "once":{"host":"a","prefix":"/once/","service":"mill","repeat":"once","tries":1,"timeoutMs":8000}}})");
    cr_assert(eventually([this] { return isReady(); }, 10s), "the proxy must become ready");
  }
  ~Proxy() {
    process.reset();
    context.stop();
    thread.join();
  }
  unsigned short front() const { return static_cast<unsigned short>(firstPort + 3); }
  /// Applies a configuration patch and waits until the proxy has applied it.
  void applyPatch(const std::string& patch) {
    std::uint64_t index = 0;
    {
      std::lock_guard<std::mutex> guard(lock);
      auto prepared = view.preparePatch(patch, ChangeFormat::patch);
      cr_assert(bool(prepared));
      index = view.index() + 1;
      view.apply(LogEntry{index, 1, static_cast<int>(EntryKind::change), prepared.value(), {}, 0});
    }
    cr_assert(eventually([&] { return applied >= index; }, 10s));
  }
  /// Announces a model's weights version, which all workers report from now on, and waits until the proxy has both.
  void name(const std::string& model, const std::string& weights) {
    {
      std::lock_guard<std::mutex> guard(lock);
      workersModel = model;
      workersWeights = weights;
    }
    applyPatch(R"({"weights":{")" + weights + R"(":{"model":")" + model + R"("}},"models":{")" + model +
               R"(":{"weights":")" + weights + R"("}}})");
    auto enough = fed + 2;
    cr_assert(eventually([&] { return fed >= enough; }, 10s));
  }
  /// Accepts the next connection from the proxy to any worker.
  WorkerConnection accept(Duration wait = 5s) {
    std::vector<pollfd> descriptors;
    for (auto& listener : listeners) descriptors.push_back(pollfd{listener.handle(), POLLIN, 0});
    cr_assert_gt(::poll(descriptors.data(), descriptors.size(), static_cast<int>(toMilliseconds(wait))), 0,
                 "the proxy must call a worker");
    for (const auto& row : descriptors)
      if (row.revents & POLLIN) return WorkerConnection(::accept(row.fd, nullptr, nullptr));
    return WorkerConnection(-1);
  }
  bool isCalled(Duration wait = 100ms) {
    std::vector<pollfd> descriptors;
    for (auto& listener : listeners) descriptors.push_back(pollfd{listener.handle(), POLLIN, 0});
    return ::poll(descriptors.data(), descriptors.size(), static_cast<int>(toMilliseconds(wait))) > 0;
  }
  /// Whether the readiness address responds with 200.
  bool isReady() {
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    asio::error_code error;
    socket.connect({asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(firstPort + 4)}, error);
    if (error) return false;
    RawClient caller(static_cast<unsigned short>(firstPort + 4));
    caller.send("GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    return has(caller.until("\r\n\r\n"), " 200 ");
  }
  void signal(int number) { process->signal(number); }
  bool hasEnded(Duration wait) { return process->hasEnded(wait); }

 private:
  unsigned short firstPort;
  std::vector<WorkerListener> listeners;
  asio::io_context context;
  asio::executor_work_guard<asio::io_context::executor_type> work;
  std::unique_ptr<PeerTransport> transport;
  std::thread thread;
  std::mutex lock;
  Configuration view;
  std::atomic<std::uint64_t> applied{0}, fed{0};
  std::uint64_t sequence{0};
  std::string workersModel, workersWeights;
  std::unique_ptr<RoleProcess> process;

  std::string at(int port) const { return "127.0.0.1:" + std::to_string(firstPort + port); }
  void feed(const std::string& to, const FeedAsk& ask) {
    std::lock_guard<std::mutex> guard(lock);
    applied = ask.applied;
    if (ask.applied < view.index()) {
      NewsMsg news;
      news.commit = view.index();
      news.snapshots.push_back(view.snapshot());
      transport->send(to, news);
    }
    CellNews cell;
    cell.zone = "north-a";
    cell.term = 1;
    cell.sequence = ++sequence;
    MarksMsg marks;
    for (auto& listener : listeners) {
      WorkerView worker;
      worker.name = "i-" + listener.address();
      worker.address = listener.address();
      worker.zone = "north-a";
      worker.kind = "language";
      worker.slots = 64;
      worker.alive = worker.confirmed = true;
      worker.service = "mill";
      worker.model = workersModel;
      worker.weights = workersWeights;
      Machine machine;
      machine.name = worker.name;
      machine.address = worker.address;
      machine.zone = worker.zone;
      machine.kind = worker.kind;
      machine.service = worker.service;
      cell.workers.push_back(worker);
      marks.machines.push_back(machine);
    }
    transport->send(to, cell);
    transport->send(to, marks);
    transport->send(to, FeedReply{ask.sentAt, 0, view.index(), true});
    ++fed;
  }
};

/// The value of a header; empty if it is absent.
inline std::string headerOf(const std::string& text, const std::string& name) {
  auto at = text.find("\r\n" + name + ": ");
  if (at == std::string::npos) return {};
  at += name.size() + 4;
  return text.substr(at, text.find("\r\n", at) - at);
}
/// A worker's complete response to a request, with the attempt id of the request.
inline std::string responseTo(const std::string& request, const std::string& seal, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + headerOf(request, "X-Attempt-Id") + "\r\nX-Server-Seal: " + seal +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
/// A GET request with an attempt id.
inline std::string ask(const std::string& path, const std::string& attempt, const std::string& more = {}) {
  return "GET " + path + " HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: " + attempt + "\r\nX-Deadline-Ms: 8000\r\n" + more +
         "\r\n";
}

}  // namespace tt::proxytest
