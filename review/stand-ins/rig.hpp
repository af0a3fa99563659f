#pragma once
// A small deployment on loopback addresses: the project's own program in its three roles, and stand-ins for the
// platform, the workers, the operator and the clients, by the users' pages. Header only; each case is one program.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;
using Headers = std::vector<std::pair<std::string, std::string>>;

inline Clock::time_point& startOfTime() {
  static Clock::time_point start = Clock::now();
  return start;
}
inline long nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - startOfTime()).count();
}
inline void sleepMs(long ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

/// The record of what was sent, answered and run: a line each, with milliseconds since the start.
class Record {
 public:
  static Record& the() {
    static Record record;
    return record;
  }
  void open(const std::string& file) { out = std::fopen(file.c_str(), "w"); }
  void line(const char* form, ...) {
    char text[4096];
    va_list list;
    va_start(list, form);
    std::vsnprintf(text, sizeof text, form, list);
    va_end(list);
    std::lock_guard<std::mutex> guard(lock);
    if (!out) return;
    std::fprintf(out, "%7ld %s\n", nowMs(), text);
    std::fflush(out);
  }

 private:
  std::mutex lock;
  FILE* out{nullptr};
};
#define REC(...) ::rig::Record::the().line(__VA_ARGS__)

inline bool sameName(const std::string& one, const std::string& other) {
  return one.size() == other.size() && strcasecmp(one.c_str(), other.c_str()) == 0;
}
inline std::string headerOf(const Headers& headers, const std::string& name) {
  for (const auto& [key, value] : headers)
    if (sameName(key, name)) return value;
  return {};
}

/// A blocking connection with a read buffer.
class Stream {
 public:
  explicit Stream(int descriptor) : handle(descriptor) {}
  ~Stream() { close(); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;
  void close() {
    if (handle >= 0) ::close(handle);
    handle = -1;
  }
  void reset() {
    linger now{1, 0};
    ::setsockopt(handle, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
  }
  bool good() const { return handle >= 0; }
  int descriptor() const { return handle; }
  void waitAtMost(long ms) {
    timeval span{ms / 1000, (ms % 1000) * 1000};
    ::setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &span, sizeof span);
    ::setsockopt(handle, SOL_SOCKET, SO_SNDTIMEO, &span, sizeof span);
  }
  bool write(const std::string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
      ssize_t step = ::send(handle, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (step <= 0) return false;
      done += static_cast<std::size_t>(step);
    }
    return true;
  }
  bool fill() {
    char bytes[65536];
    ssize_t got = ::recv(handle, bytes, sizeof bytes, 0);
    if (got <= 0) {
      sawEnd = got == 0;
      return false;
    }
    buffer.append(bytes, static_cast<std::size_t>(got));
    return true;
  }
  bool line(std::string& text) {
    std::size_t end;
    while ((end = buffer.find("\r\n")) == std::string::npos)
      if (!fill()) return false;
    text = buffer.substr(0, end);
    buffer.erase(0, end + 2);
    return true;
  }
  bool exactly(std::size_t size, std::string& text) {
    while (buffer.size() < size)
      if (!fill()) return false;
    text.append(buffer, 0, size);
    buffer.erase(0, size);
    return true;
  }
  std::string buffer;
  bool sawEnd{false};

 private:
  int handle;
};

struct Request {
  std::string method, target;
  Headers headers;
  std::string body;
  std::string get(const std::string& name) const { return headerOf(headers, name); }
};

inline bool readHeaders(Stream& stream, Headers& headers) {
  std::string text;
  while (true) {
    if (!stream.line(text)) return false;
    if (text.empty()) return true;
    auto colon = text.find(':');
    if (colon == std::string::npos) return false;
    auto from = text.find_first_not_of(' ', colon + 1);
    headers.emplace_back(text.substr(0, colon), from == std::string::npos ? "" : text.substr(from));
  }
}
/// Reads a body that has a length or comes in chunks; what came of it is kept also where it is cut.
inline bool readBody(Stream& stream, const Headers& headers, std::string& body) {
  if (sameName(headerOf(headers, "Transfer-Encoding"), "chunked")) {
    std::string text;
    while (true) {
      if (!stream.line(text)) return false;
      std::size_t size = std::strtoul(text.c_str(), nullptr, 16);
      if (size > 0 && !stream.exactly(size, body)) return false;
      if (!stream.line(text)) return false;
      if (size == 0) return true;
    }
  }
  auto length = headerOf(headers, "Content-Length");
  if (length.empty()) return true;
  return stream.exactly(std::strtoul(length.c_str(), nullptr, 10), body);
}
inline bool readRequest(Stream& stream, Request& request) {
  std::string text;
  if (!stream.line(text)) return false;
  std::istringstream words(text);
  words >> request.method >> request.target;
  return readHeaders(stream, request.headers) && readBody(stream, request.headers, request.body);
}

inline std::string answerText(int status, const Headers& headers, const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Said\r\n";
  for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  return text;
}

/// Takes connections at an address and gives each a thread.
class Server {
 public:
  using Serve = std::function<void(Stream&)>;
  void start(const std::string& ip, int port, Serve serve) {
    handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
    if (::bind(handle, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(handle, 1024) != 0) {
      std::fprintf(stderr, "cannot listen at %s:%d\n", ip.c_str(), port);
      std::exit(2);
    }
    std::thread([this, serve] {
      while (true) {
        int taken = ::accept4(handle, nullptr, nullptr, SOCK_CLOEXEC);
        if (taken < 0) return;
        int nodelay = 1;
        ::setsockopt(taken, IPPROTO_TCP, TCP_NODELAY, &nodelay, sizeof nodelay);
        std::thread([taken, serve] {
          Stream stream(taken);
          serve(stream);
        }).detach();
      }
    }).detach();
  }

 private:
  int handle{-1};
};

struct Reply {
  int status{0};
  Headers headers;
  std::string body;
  bool whole{false};
  std::string get(const std::string& name) const { return headerOf(headers, name); }
};

inline int connectTo(const std::string& ip, int port, long waitMs) {
  int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
  timeval span{waitMs / 1000, (waitMs % 1000) * 1000};
  ::setsockopt(handle, SOL_SOCKET, SO_SNDTIMEO, &span, sizeof span);
  if (::connect(handle, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
    ::close(handle);
    return -1;
  }
  int nodelay = 1;
  ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &nodelay, sizeof nodelay);
  return handle;
}

inline std::string requestText(const std::string& method, const std::string& target, const Headers& headers,
                               const std::string& body) {
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
  if (!body.empty() || method != "GET") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

inline Reply readReply(Stream& stream) {
  Reply reply;
  std::string text;
  do {
    reply = Reply{};
    if (!stream.line(text)) return reply;
    reply.status = std::atoi(text.c_str() + 9);
    if (!readHeaders(stream, reply.headers)) return reply;
  } while (reply.status < 200);
  reply.whole = readBody(stream, reply.headers, reply.body);
  return reply;
}

/// One call on a connection of its own.
inline Reply call(const std::string& ip, int port, const std::string& method, const std::string& target,
                  Headers headers, const std::string& body, long waitMs) {
  int handle = connectTo(ip, port, 1000);
  if (handle < 0) return {};
  Stream stream(handle);
  stream.waitAtMost(waitMs);
  if (headerOf(headers, "Host").empty()) headers.emplace_back("Host", ip + ":" + std::to_string(port));
  if (!stream.write(requestText(method, target, headers, body))) {
    // An answer may have come before the body was taken.
    return readReply(stream);
  }
  return readReply(stream);
}

inline std::string freshId() {
  static std::atomic<unsigned long> count{0};
  char text[32];
  std::snprintf(text, sizeof text, "%08x%08lx", static_cast<unsigned>(::getpid()), ++count);
  return text;
}

struct KeptPart {
  int tokens{0};
  std::string maker;
  long madeAt{0};
};
struct RunRow {
  std::string attempt, worker, tenant, salt, path, body;
  long at{0};
  std::vector<std::pair<std::string, std::string>> usedFrom;  // part, tenant that made it
};

/// A worker of a service, by the pages: runs requests, keeps prompt parts, takes orders.
class Worker {
 public:
  std::string id, service, zone, ip, model;
  int port{0}, slots{128};
  std::atomic<std::uint64_t> revision{1};
  std::atomic<bool> draining{false};
  /// Takes over a request before the usual run; true if it has answered.
  std::function<bool(Worker&, Stream&, const Request&)> special;
  std::atomic<int> workMs{20}, pieces{4}, pieceMs{10};
  std::mutex lock;
  std::vector<RunRow> runs;
  std::string address() const { return ip + ":" + std::to_string(port); }
  void start() {
    epoch = static_cast<std::uint64_t>(::getpid()) * 1000 + static_cast<std::uint64_t>(port % 1000);
    server.start(ip, port, [this](Stream& stream) { serve(stream); });
  }
  std::size_t runCount() {
    std::lock_guard<std::mutex> guard(lock);
    return runs.size();
  }

 private:
  Server server;
  std::uint64_t epoch{1}, nextEvent{1};
  std::atomic<std::uint64_t> orderCount{0};
  std::atomic<int> active{0};
  std::atomic<bool> saturated{false};
  std::map<std::string, std::map<std::string, KeptPart>> kept;
  std::deque<std::pair<std::uint64_t, std::string>> events;
  std::condition_variable wake;

  Headers stamped(const Request& request) const {
    Headers headers{{"X-Weight-Versions", std::to_string(revision.load())}};
    if (auto attempt = request.get("X-Attempt-Id"); !attempt.empty()) headers.emplace_back("X-Attempt-Id", attempt);
    return headers;
  }
  bool turnAway(Stream& stream, const Request& request, int status, const char* why) {
    auto headers = stamped(request);
    headers.emplace_back("X-Not-Executed", why);
    return stream.write(answerText(status, headers, "{}"));
  }
  void serve(Stream& stream) {
    while (true) {
      Request request;
      if (!readRequest(stream, request)) return;
      auto path = request.target.substr(0, request.target.find('?'));
      bool going = path == "/report"      ? report(stream)
                   : path == "/kv-list"   ? list(stream)
                   : path == "/kv-events" ? tell(stream, request)
                   : path == "/order"     ? order(stream, request)
                   : path == "/health"    ? stream.write(answerText(200, {{"X-Instance-Id", id}}, "ok"))
                   : special && special(*this, stream, request) ? stream.good()
                                                                : run(stream, request);
      if (!going) return;
    }
  }
  bool report(Stream& stream) {
    std::ostringstream body;
    body << "{\"Phase\":\"colocated\",\"Models\":[{\"Name\":\"" << model << "\",\"Revision\":" << revision
         << ",\"Adapters\":[]}],\"Saturated\":" << (saturated ? "true" : "false") << ",\"CallSeq\":" << orderCount
         << ",\"Queued\":0,\"Active\":" << active << ",\"KvUsed\":0,\"KvTotal\":200000,\"Handles\":0}";
    return stream.write(answerText(200, {{"Content-Type", "application/json"}}, body.str()));
  }
  bool list(Stream& stream) {
    std::lock_guard<std::mutex> guard(lock);
    std::ostringstream body;
    body << "{\"Epoch\":" << epoch << ",\"NextToken\":" << nextEvent << ",\"Held\":[";
    bool first = true;
    for (const auto& [salt, parts] : kept)
      for (const auto& [part, row] : parts) {
        body << (first ? "" : ",") << "[\"" << salt << "\",\"" << part << "\"," << row.tokens << ",\"" << model
             << "\"]";
        first = false;
      }
    body << "]}";
    return stream.write(answerText(200, {{"Content-Type", "application/json"}}, body.str()));
  }
  bool tell(Stream& stream, const Request& request) {
    auto at = request.target.find("Since=");
    std::uint64_t since = at == std::string::npos ? 0 : std::strtoull(request.target.c_str() + at + 6, nullptr, 10);
    long wait = std::min(1000L, std::atol(request.get("Wait-Ms").c_str()));
    std::unique_lock<std::mutex> guard(lock);
    if (since >= nextEvent) wake.wait_for(guard, std::chrono::milliseconds(wait));
    std::ostringstream body;
    body << "{\"Epoch\":" << epoch << ",\"NextToken\":" << nextEvent << ",\"Lost\":false,\"Events\":[";
    bool first = true;
    for (const auto& [number, row] : events) {
      if (number < since) continue;
      body << (first ? "" : ",") << row;
      first = false;
    }
    body << "]}";
    guard.unlock();
    return stream.write(answerText(200, {{"Content-Type", "application/json"}}, body.str()));
  }
  bool order(Stream& stream, const Request& request) {
    auto number = [&](const char* name) {
      auto at = request.body.find(std::string("\"") + name + "\":");
      return at == std::string::npos ? 0
                                     : std::strtoull(request.body.c_str() + at + std::strlen(name) + 3, nullptr, 10);
    };
    REC("order at %s: %s", id.c_str(), request.body.c_str());
    if (number("Revision") == revision) return stream.write(answerText(200, {}, "{}"));
    ++orderCount;
    saturated = true;
    std::uint64_t wanted = number("Revision");
    std::thread([this, wanted] {
      sleepMs(300);
      std::lock_guard<std::mutex> guard(lock);
      kept.clear();
      revision = wanted;
      saturated = false;
    }).detach();
    return stream.write(answerText(202, {}, "{}"));
  }
  bool run(Stream& stream, const Request& request) {
    auto target = request.get("X-Target-Instance"), expected = request.get("X-Expect-Version");
    if (!target.empty() && target != id) return turnAway(stream, request, 421, "another worker is meant");
    if (!expected.empty() && expected != std::to_string(revision))
      return turnAway(stream, request, 421, "another version is meant");
    if (saturated) return turnAway(stream, request, 503, "an order is under way");
    RunRow row;
    row.attempt = request.get("X-Attempt-Id");
    row.worker = id;
    row.tenant = request.get("X-Tenant");
    row.salt = request.get("X-Cache-Salt");
    row.path = request.target;
    row.body = request.body.substr(0, 64);
    row.at = nowMs();
    ++active;
    sleepMs(workMs);
    {
      std::lock_guard<std::mutex> guard(lock);
      auto& mine = kept[row.salt];
      bool leading = true;
      std::istringstream list(request.get("X-Prompt-Prefix"));
      for (std::string part; std::getline(list, part, ',');) {
        auto colon = part.rfind(':');
        if (colon == std::string::npos) continue;
        auto name = part.substr(0, colon);
        int tokens = std::atoi(part.c_str() + colon + 1);
        auto known = mine.find(name);
        leading = leading && known != mine.end();
        if (leading) {
          row.usedFrom.emplace_back(name, known->second.maker);
        } else if (known == mine.end()) {
          mine[name] = KeptPart{tokens, row.tenant, row.at};
          events.emplace_back(nextEvent, "[" + std::to_string(nextEvent) + ",\"+\",\"" + row.salt + "\",\"" + name +
                                             "\"," + std::to_string(tokens) + ",\"" + model + "\"]");
          ++nextEvent;
        }
      }
      runs.push_back(row);
    }
    wake.notify_all();
    std::string used;
    for (const auto& [part, maker] : row.usedFrom) used += " " + part + " made by " + (maker.empty() ? "-" : maker);
    REC("run of %s at %s, tenant %s, salt %.12s, body %zu;%s%s", row.attempt.c_str(), id.c_str(), row.tenant.c_str(),
        row.salt.c_str(), request.body.size(), used.empty() ? "" : " uses", used.c_str());
    bool good = answer(stream, request);
    --active;
    return good;
  }
  bool answer(Stream& stream, const Request& request) {
    auto headers = stamped(request);
    headers.emplace_back("X-Server-Seal", id + "." + request.get("X-Attempt-Id"));
    headers.emplace_back("X-Instance-Load", std::to_string(active.load()) + ",0," + std::to_string(slots));
    if (model.empty()) return stream.write(answerText(200, headers, "done by " + id));
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    for (const auto& [name, value] : headers) head += name + ": " + value + "\r\n";
    if (!stream.write(head + "\r\n")) return false;
    int from = std::atoi(request.get("Last-Event-Id").c_str());
    for (int piece = from + 1; piece <= pieces; ++piece) {
      std::string event = "id: " + std::to_string(piece) + "\ndata: piece " + std::to_string(piece) + "\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", event.size());
      if (!stream.write(size + event + "\r\n")) return false;
      sleepMs(pieceMs);
    }
    return stream.write("0\r\n\r\n");
  }
};

/// The platform's list of workers.
class Platform {
 public:
  std::string ip;
  int port{0};
  std::vector<Worker*> workers;
  void start() {
    server.start(ip, port, [this](Stream& stream) {
      Request request;
      while (readRequest(stream, request)) {
        std::ostringstream body;
        body << "{\"Instances\":[";
        for (std::size_t at = 0; at < workers.size(); ++at) {
          auto& worker = *workers[at];
          body << (at ? "," : "") << "{\"Backend\":\"" << worker.service << "\",\"Address\":\"" << worker.address()
               << "\",\"Zone\":\"" << worker.zone << "\",\"Revision\":\"v1\",\"Slots\":" << worker.slots
               << ",\"State\":\"" << (worker.draining ? "draining" : "ready") << "\",\"ColdLeftMs\":0,";
          if (!worker.model.empty())
            body << "\"Phase\":\"colocated\",\"Models\":[{\"Name\":\"" << worker.model
                 << "\",\"Revision\":" << worker.revision << ",\"Adapters\":[]}],";
          body << "\"Id\":\"" << worker.id << "\"}";
        }
        body << "],\"NextToken\":null}";
        if (!stream.write(answerText(200, {{"Content-Type", "application/json"}}, body.str()))) return;
        request = Request{};
      }
    });
  }

 private:
  Server server;
};

/// One process of the project's program on one machine.
struct Process {
  std::string name, role, ip, zone, folder, settings;
  int memoryMb{0};
  pid_t pid{0};
  std::atomic<int> ends{0};
};

/// The project's program on a few machines: cores, and edge machines with a proxy and an agent each.
class Fleet {
 public:
  std::string root, folder, zone{"zone-a"}, zoneOther{"zone-b"};
  int net{0}, frontPort{8689}, readyPort{8687}, controlPort{8683}, cloudPort{8688};
  int workerPort{8080}, internalPort{7360};
  int edgeMemoryMb{260}, coreMemoryMb{256};
  std::vector<std::unique_ptr<Process>> processes;
  std::string cloudIp() const { return "127." + std::to_string(net) + ".9.1"; }
  std::string coreIp(int number) const { return "127." + std::to_string(net) + ".1." + std::to_string(number); }
  std::string edgeIp(int number) const { return "127." + std::to_string(net) + ".2." + std::to_string(number); }
  std::string workerIp(int number) const { return "127." + std::to_string(net) + ".3." + std::to_string(number); }

  Fleet(const std::string& projectRoot) : root(projectRoot) {
    char name[] = "/tmp/review-XXXXXX";
    folder = ::mkdtemp(name);
    net = 64 + static_cast<int>(::getpid() % 128);
    takeFreePorts();
    std::signal(SIGPIPE, SIG_IGN);
  }
  ~Fleet() { stop(); }

  bool isFree(int port) const {
    int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK + (static_cast<std::uint32_t>(net) << 16));
    bool free = ::bind(handle, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 && ::listen(handle, 1) == 0;
    ::close(handle);
    return free;
  }
  /// All machines of a day have the same ports: moves all of them on until none is in use.
  void takeFreePorts() {
    constexpr int step = 101;
    for (int tries = 0; tries < 100; ++tries) {
      bool all =
          isFree(frontPort) && isFree(readyPort) && isFree(controlPort) && isFree(cloudPort) && isFree(workerPort);
      for (int port = internalPort; all && port <= internalPort + 15; ++port) all = isFree(port);
      if (all) return;
      for (int* port : {&frontPort, &readyPort, &controlPort, &cloudPort, &workerPort, &internalPort}) *port += step;
    }
  }

  void add(const std::string& role, const std::string& ip, const std::string& name, bool core) {
    auto process = std::make_unique<Process>();
    process->role = role;
    process->ip = ip;
    process->name = name;
    process->zone = zone;
    process->memoryMb = core ? coreMemoryMb : edgeMemoryMb;
    process->settings = folder + "/" + name + "-" + role + ".conf";
    std::ofstream file(process->settings);
    file << "NodeName=" << name << "\nRole=" << role << "\nMachineClass=" << (core ? "core" : "edge") << "\nServes="
         << (role == "core"    ? "control"
             : role == "proxy" ? "edge"
                               : "")
         << "\nIp=" << ip << "\nZone=" << zone << "\nRegion=region\nZones." << zone << "=region\nZones." << zoneOther
         << "=region\n";
    if (role == "proxy")
      file << "ListenAddrs.Front=" << ip << ":" << frontPort << "\nListenAddrs.Readiness=" << ip << ":" << readyPort
           << "\n";
    if (role == "core") file << "ListenAddrs.Control=" << ip << ":" << controlPort << "\n";
    file << "InternalPorts=" << internalPort << "," << internalPort + 15 << "\nSeedPeers=";
    for (int number = 1; number <= 3; ++number) file << (number > 1 ? "," : "") << coreIp(number) << ":" << controlPort;
    file << "\nBootstrap=true\nLossCounted=" << (core ? "true" : "false")
         << "\nLimits.CpuShare=" << (core ? "0.3" : "0.25") << "\nLimits.Cores=1\nLimits.MemoryMb=" << process->memoryMb
         << "\nLimits.MaxFds=4100\nLimits.LinkMbps=1000.0\nLimits.DiskMb=" << (core ? 128 : 0) << "\n";
    if (core) {
      ::mkdir((folder + "/disk-" + name).c_str(), 0755);
      file << "DataDir=" << folder << "/disk-" << name << "\n";
    }
    file << "Discovery=cloud\nEntryMode=vip\nBeatIntervalMs=1200\n"
            "Contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants\n"
            "FaultBudget.Machines=1\nFaultBudget.Zones=0\nFaultBudget.Regions=0\nBounds.SeedLagS=3\n"
            "Bounds.AddrReuseS=2\nBounds.ContactMs=3000\nBounds.AckMs=4000\nBounds.CatchUpS=4\nBounds.DrainMs=3000\n"
            "Bounds.GraceS=8\nBounds.LossSlackMs=200\nBounds.ConfigApplyMs=2000\nBounds.DowngradeSlackMs=250\n"
            "Bounds.StretchMaxMs=5000\nBounds.RevokeGlobal=true\nBounds.RevokeMs=5000\nBounds.RetryRatio=0.2\n"
            "Bounds.RetryWindowS=10\nBounds.RetrySlack=58\nBounds.RecoveryS=12\nBounds.MaxTransitMs=120\n"
            "Bounds.FenceChecked=true\nBounds.LeaseMs=3000\nBounds.ThawSlackMs=300\nBounds.VersionMs=12000\n"
         << "CloudApi.Address=" << cloudIp() << ":" << cloudPort
         << "\nCloudApi.RatePerS=47.0\nCloudApi.Duties=\nCloudApi.MaxLagMs=800\n";
    processes.push_back(std::move(process));
  }
  void addCores(int count) {
    for (int number = 1; number <= count; ++number) add("core", coreIp(number), "core-" + std::to_string(number), true);
  }
  void addEdges(int count) {
    for (int number = 1; number <= count; ++number) {
      add("agent", edgeIp(number), "edge-" + std::to_string(number), false);
      add("proxy", edgeIp(number), "edge-" + std::to_string(number), false);
    }
  }
  Process& process(const std::string& name, const std::string& role) {
    for (auto& row : processes)
      if (row->name == name && row->role == role) return *row;
    std::exit(2);
  }
  void launch(Process& process) {
    std::string log = folder + "/" + process.name + "-" + process.role + ".log";
    pid_t pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::setenv("TROUTTALLY_SETTINGS", process.settings.c_str(), 1);
      if (::chdir(root.c_str()) == 0) ::execl("target/trouttally", "target/trouttally", process.role.c_str(), nullptr);
      ::_exit(127);
    }
    process.pid = pid;
    REC("start of %s %s, pid %d", process.name.c_str(), process.role.c_str(), static_cast<int>(pid));
  }
  void launchAll() {
    for (auto& row : processes) launch(*row);
  }
  /// Sends a signal to one process and waits for its end where that is a kill.
  void signal(Process& process, int number) {
    REC("signal %d to %s %s", number, process.name.c_str(), process.role.c_str());
    ::kill(process.pid, number);
    if (number == SIGKILL) {
      ::waitpid(process.pid, nullptr, 0);
      process.pid = 0;
    }
  }
  void stop() {
    for (auto& row : processes)
      if (row->pid > 0) {
        ::kill(row->pid, SIGCONT);
        ::kill(row->pid, SIGKILL);
        ::waitpid(row->pid, nullptr, 0);
        row->pid = 0;
      }
    if (!std::getenv("KEEP")) {
      std::string gone = "rm -rf '" + folder + "'";
      if (std::system(gone.c_str()) != 0) std::fprintf(stderr, "cannot remove the temporary folder\n");
    }
    folder.clear();
  }

  /// An operator's call: goes on to the next core where there is no clear answer.
  Reply operate(const std::string& method, const std::string& path, const std::string& body, const Headers& headers,
                int cores, long forMs = 15000) {
    long until = nowMs() + forMs;
    Reply reply;
    for (int turn = 0; nowMs() < until; ++turn) {
      int number = turn % cores + 1;
      reply = call(coreIp(number), controlPort, method, path, headers, body, 3000);
      REC("%s %s at core-%d answered %d", method.c_str(), path.c_str(), number, reply.status);
      if (reply.whole && reply.status != 503 && reply.status != 504 && reply.status != 429 && reply.status != 408)
        return reply;
      sleepMs(200);
    }
    return reply;
  }
  bool ready(int edge) { return call(edgeIp(edge), readyPort, "GET", "/ready", {}, "", 1000).status == 200; }
  bool waitReady(int edges, long forMs = 20000) {
    long until = nowMs() + forMs;
    for (int edge = 1; edge <= edges;) {
      if (ready(edge))
        ++edge;
      else if (nowMs() > until)
        return false;
      else
        sleepMs(100);
    }
    return true;
  }
  /// How much memory a process holds now.
  static long residentKb(pid_t pid) {
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(file, line);)
      if (line.rfind("VmRSS:", 0) == 0) return std::atol(line.c_str() + 6);
    return 0;
  }
};

/// What a script needs: where the project is, where its record goes, whether the disruption is played.
struct Setting {
  std::string root, folder;
  bool trouble{true};
};
inline Setting begin(int count, char** words) {
  startOfTime();
  if (count < 3) {
    std::fprintf(stderr, "usage: PROGRAM PROJECT-ROOT CASE-FOLDER\n");
    std::exit(2);
  }
  Setting setting{words[1], words[2], true};
  const char* trouble = std::getenv("TROUBLE");
  setting.trouble = !(trouble && std::string(trouble) == "0");
  Record::the().open(setting.folder + "/record.txt");
  REC("TROUBLE=%d", setting.trouble ? 1 : 0);
  return setting;
}
[[noreturn]] inline void end(Fleet& fleet, int code, const char* word, const std::string& why) {
  REC("%s: %s", word, why.c_str());
  std::printf("%s: %s\n", word, why.c_str());
  std::fflush(stdout);
  fleet.stop();
  // The stand-ins' threads still run.
  std::_Exit(code);
}
/// Ends with 1 if the rule was broken, with 0 if it held.
[[noreturn]] inline void finish(Fleet& fleet, bool broken, const std::string& why) {
  end(fleet, broken ? 1 : 0, broken ? "BROKEN" : "HELD", why);
}
[[noreturn]] inline void cannotRun(Fleet& fleet, const std::string& why) { end(fleet, 2, "COULD NOT RUN", why); }

}  // namespace rig
