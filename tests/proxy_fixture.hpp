#pragma once
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <csignal>

#include "gate_fixture.hpp"
#include "roles.hpp"

/// What tests of a whole proxy share: a proxy in a process of its own, an agent that feeds it, and workers on raw
/// sockets whose every byte the test writes.
namespace tt::proxytest {
using namespace tt::gatetest;

inline unsigned short freePorts(int count) {
  for (int base = 21000 + ::getpid() % 2000 * 10; base < 60000; base += count) {
    asio::io_context io;
    std::vector<asio::ip::tcp::acceptor> held;
    asio::error_code error;
    for (int at = 0; at < count && !error; ++at) {
      held.emplace_back(io);
      held.back().open(asio::ip::tcp::v4(), error);
      if (!error)
        held.back().bind({asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(base + at)}, error);
    }
    if (!error) return static_cast<unsigned short>(base);
  }
  cr_assert_fail("no free ports");
  return 0;
}

/// A worker's connection: what the proxy sent on it, and what the worker says.
class WorkerSide {
 public:
  explicit WorkerSide(int accepted) : handle(accepted) {}
  WorkerSide(WorkerSide&& other) noexcept : handle(std::exchange(other.handle, -1)), unread(std::move(other.unread)) {}
  WorkerSide& operator=(WorkerSide&& other) noexcept {
    std::swap(handle, other.handle);
    std::swap(unread, other.unread);
    return *this;
  }
  ~WorkerSide() { close(); }
  /// The next request with its body; empty if none comes or the connection ends.
  std::string request(Duration wait = 5s) {
    while (true) {
      auto end = unread.find("\r\n\r\n");
      if (end != std::string::npos) {
        std::size_t size = end + 4;
        if (auto length = unread.find("Content-Length: "); length < end) size += std::stoul(unread.substr(length + 16));
        if (unread.size() >= size) {
          auto whole = unread.substr(0, size);
          unread.erase(0, size);
          return whole;
        }
      }
      if (!fill(wait)) return {};
    }
  }
  /// Whether the proxy has ended the connection.
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
    pollfd facts{handle, POLLIN, 0};
    if (::poll(&facts, 1, static_cast<int>(toMilliseconds(wait))) <= 0) return false;
    char bytes[16384];
    auto size = ::recv(handle, bytes, sizeof bytes, 0);
    over = size <= 0;
    if (!over) unread.append(bytes, static_cast<std::size_t>(size));
    return !over;
  }
};

/// Where a worker listens.
class WorkerDoor {
 public:
  WorkerDoor() : acceptor(io, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {}
  std::string address() const { return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()); }
  int handle() { return acceptor.native_handle(); }

 private:
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor;
};

/// A role of the platform's program in a process of its own, which dies with the test.
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
  /// Waits for the process's own end.
  bool hasEnded(Duration wait) {
    bool over = soon([this] { return ::waitpid(id, nullptr, WNOHANG) == id; }, wait);
    if (over) id = 0;
    return over;
  }

 private:
  pid_t id;
};

class Proxy {
 public:
  explicit Proxy(std::size_t workers = 1, Duration grace = 8s)
      : base(freePorts(5)), doors(workers), context(), work(context.get_executor()) {
    SiteSettings settings;
    settings.nodeName = "edge-1";
    settings.ip = "127.0.0.1";
    settings.zone = "north-a";
    settings.internalPortFirst = base;
    settings.internalPortLast = base + 2;
    settings.frontAddress = at(3);
    settings.readinessAddress = at(4);
    settings.bounds.grace = grace;
    process = std::make_unique<RoleProcess>(settings, runProxy);
    hub = std::make_unique<PeerTransport>(context, at(1), [this](const std::string& from, Message message) {
      if (auto* ask = std::get_if<FeedAsk>(&message)) feed(from, *ask);
    });
    cr_assert(bool(hub->listen()));
    thread = std::thread([this] { context.run(); });
    declare(R"({"services":{"mill":{}},"routes":{
      "safe":{"host":"a","prefix":"/","service":"mill","repeat":"safe","tries":3,"timeoutMs":8000},
      "once":{"host":"a","prefix":"/once/","service":"mill","repeat":"once","tries":1,"timeoutMs":8000}}})");
    cr_assert(soon([this] { return isReady(); }, 10s), "the proxy must become ready");
  }
  ~Proxy() {
    process.reset();
    context.stop();
    thread.join();
  }
  unsigned short front() const { return static_cast<unsigned short>(base + 3); }
  /// Brings a change into force and waits until the proxy has it.
  void declare(const std::string& patch) {
    std::uint64_t index = 0;
    {
      std::lock_guard<std::mutex> guard(lock);
      auto prepared = view.preparePatch(patch, ChangeFormat::patch);
      cr_assert(bool(prepared));
      index = view.index() + 1;
      view.apply(LogEntry{index, 1, static_cast<int>(EntryKind::change), prepared.value(), {}, 0});
    }
    cr_assert(soon([&] { return applied >= index; }, 10s));
  }
  /// Names a model's weights, which all workers have from now on, and waits until the proxy knows of both.
  void name(const std::string& model, const std::string& weights) {
    {
      std::lock_guard<std::mutex> guard(lock);
      workersModel = model;
      workersWeights = weights;
    }
    declare(R"({"weights":{")" + weights + R"(":{"model":")" + model + R"("}},"models":{")" + model +
            R"(":{"weights":")" + weights + R"("}}})");
    auto enough = fed + 2;
    cr_assert(soon([&] { return fed >= enough; }, 10s));
  }
  /// The next connection that the proxy makes to any worker.
  WorkerSide accept(Duration wait = 5s) {
    std::vector<pollfd> facts;
    for (auto& door : doors) facts.push_back(pollfd{door.handle(), POLLIN, 0});
    cr_assert_gt(::poll(facts.data(), facts.size(), static_cast<int>(toMilliseconds(wait))), 0,
                 "the proxy calls a worker");
    for (const auto& row : facts)
      if (row.revents & POLLIN) return WorkerSide(::accept(row.fd, nullptr, nullptr));
    return WorkerSide(-1);
  }
  bool isCalled(Duration wait = 100ms) {
    std::vector<pollfd> facts;
    for (auto& door : doors) facts.push_back(pollfd{door.handle(), POLLIN, 0});
    return ::poll(facts.data(), facts.size(), static_cast<int>(toMilliseconds(wait))) > 0;
  }
  /// Whether it says that it takes new connections.
  bool isReady() {
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    asio::error_code error;
    socket.connect({asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(base + 4)}, error);
    if (error) return false;
    Caller caller(static_cast<unsigned short>(base + 4));
    caller.send("GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    return has(caller.until("\r\n\r\n"), " 200 ");
  }
  void signal(int number) { process->signal(number); }
  bool hasEnded(Duration wait) { return process->hasEnded(wait); }

 private:
  unsigned short base;
  std::vector<WorkerDoor> doors;
  asio::io_context context;
  asio::executor_work_guard<asio::io_context::executor_type> work;
  std::unique_ptr<PeerTransport> hub;
  std::thread thread;
  std::mutex lock;
  Configuration view;
  std::atomic<std::uint64_t> applied{0}, fed{0};
  std::uint64_t sequence{0};
  std::string workersModel, workersWeights;
  std::unique_ptr<RoleProcess> process;

  std::string at(int port) const { return "127.0.0.1:" + std::to_string(base + port); }
  void feed(const std::string& to, const FeedAsk& ask) {
    std::lock_guard<std::mutex> guard(lock);
    applied = ask.applied;
    if (ask.applied < view.index()) {
      NewsMsg news;
      news.commit = view.index();
      news.snapshots.push_back(view.snapshot());
      hub->send(to, news);
    }
    CellNews cell;
    cell.zone = "north-a";
    cell.term = 1;
    cell.sequence = ++sequence;
    MarksMsg marks;
    for (auto& door : doors) {
      WorkerView worker;
      worker.name = "i-" + door.address();
      worker.address = door.address();
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
    hub->send(to, cell);
    hub->send(to, marks);
    hub->send(to, FeedReply{ask.sentAt, 0, view.index(), true});
    ++fed;
  }
};

/// The value of a request's header.
inline std::string headerOf(const std::string& text, const std::string& name) {
  auto at = text.find("\r\n" + name + ": ");
  if (at == std::string::npos) return {};
  at += name.size() + 4;
  return text.substr(at, text.find("\r\n", at) - at);
}
/// A worker's whole answer to a request, under the request's own id.
inline std::string answerTo(const std::string& request, const std::string& seal, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + headerOf(request, "X-Attempt-Id") + "\r\nX-Server-Seal: " + seal +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline std::string ask(const std::string& path, const std::string& attempt, const std::string& more = {}) {
  return "GET " + path + " HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: " + attempt + "\r\nX-Deadline-Ms: 8000\r\n" + more +
         "\r\n";
}

}  // namespace tt::proxytest
