#pragma once
#include "exchanges.hpp"
#include "proxy_router.hpp"
#include "raw_server.hpp"

/// Test harness for a proxy's path between clients and workers over real sockets: HTTP server, router, calls, and
/// workers that respond with scripted raw bytes. The agent is simulated.
namespace raw {

/// The response that a client received.
struct ClientResponse {
  int status{0};
  HttpHeaders headers;
  std::string body, text;
  /// Whether the body ended as its framing requires.
  bool complete{false};
  std::string header(const std::string& name) const {
    const auto* found = findHeader(headers, name);
    return found ? *found : std::string();
  }
};

/// Parses the bytes that a client received until its connection ended.
inline ClientResponse parseResponse(const std::string& text) {
  ClientResponse response;
  response.text = text;
  auto end = text.find("\r\n\r\n");
  if (text.rfind("HTTP/1.1 ", 0) != 0 || end == std::string::npos) return response;
  response.status = std::stoi(text.substr(9, 3));
  for (std::size_t line = text.find("\r\n") + 2; line < end + 2;) {
    auto stop = text.find("\r\n", line);
    auto colon = text.find(": ", line);
    response.headers.emplace_back(text.substr(line, colon - line), text.substr(colon + 2, stop - colon - 2));
    line = stop + 2;
  }
  std::string rest = text.substr(end + 4);
  if (response.header("Transfer-Encoding") != "chunked") {
    response.body = rest;
    response.complete = rest.size() == std::stoul("0" + response.header("Content-Length"));
    return response;
  }
  while (true) {
    auto line = rest.find("\r\n");
    if (line == std::string::npos) return response;
    std::size_t size = std::stoul(rest.substr(0, line), nullptr, 16);
    if (size == 0) {
      response.complete = rest == "0\r\n\r\n";
      return response;
    }
    response.body += rest.substr(line + 2, size);
    if (rest.size() < line + 2 + size + 2) return response;
    rest.erase(0, line + 2 + size + 2);
  }
}

/// The value of a request's header; empty if it is absent.
inline std::string headerIn(const std::string& request, const std::string& name) {
  auto at = request.find("\r\n" + name + ": ");
  if (at == std::string::npos) return {};
  at += name.size() + 4;
  return request.substr(at, request.find("\r\n", at) - at);
}
/// The two headers that a worker sets in each response to this request.
inline std::string workerHeaders(const std::string& request, const std::string& seal = "seal-1") {
  return "X-Attempt-Id: " + headerIn(request, "X-Attempt-Id") + "\r\nX-Server-Seal: " + seal + "\r\n";
}

/// A proxy with scripted workers on one event loop, which the test runs.
class ProxyHarness {
 public:
  using Script = std::function<void(const RawServer::ConnectionPtr& held, const std::string& request)>;

  explicit ProxyHarness(std::size_t workers = 2, Duration pendingTimeout = 1500ms) {
    ProxyRouterSettings settings;
    settings.name = "proxy-1";
    settings.address = "proxy-1:1";
    settings.zone = "north-a";
    settings.agentAddress = "agent:1";
    settings.maxPending = 256;
    settings.pendingTimeout = pendingTimeout;
    settings.fetchWithinRequest = settings.letOpenRequestsFinish = true;
    settings.minRetriesPerWindow = 10000;
    router = std::make_unique<ProxyRouter>(settings);
    host = std::make_unique<NodeHost>(*router, io, 20ms);
    calls = std::make_unique<HttpClient>(io);
    exchanges = std::make_unique<Exchanges>(
        *calls, "proxy-1", [this](const std::string& from, const Message& message) { host->handle(from, message); },
        [this] { return router->fresh(Clock::now()); });
    server = std::make_unique<HttpServer>(io, "127.0.0.1:0",
                                          [this](HttpRequest request, std::shared_ptr<ResponseWriter> response) {
                                            exchanges->handle(std::move(request), std::move(response));
                                          });
    host->sendMessage = [this](const std::string& to, Message&& message) {
      if (exchanges->sendMessage(to, message)) return;
      if (auto* ask = std::get_if<FeedAsk>(&message); ask && feedEnabled)
        asio::post(io, [this, sentAt = ask->sentAt] {
          host->handle("agent:1", FeedReply{sentAt, 0, router->configuration().index(), true});
        });
    };
    for (std::size_t number = 0; number < workers; ++number)
      servers.push_back(
          std::make_unique<RawServer>(io, [this](const RawServer::ConnectionPtr& held, const std::string& request) {
            ++arrivals;
            script(held, request);
          }));
    cr_assert(bool(server->open()));
    host->start();
    declare();
    publishWorkers();
    cr_assert(until([&] { return router->ready(Clock::now()); }));
  }
  ~ProxyHarness() {
    host->stop();
    server->close();
    calls.reset();
  }
  bool until(const std::function<bool()>& done, Duration maxWait = 5s) {
    auto limit = Clock::now() + maxWait;
    while (!done() && Clock::now() < limit) {
      io.restart();
      io.run_one_until(limit);
    }
    return done();
  }
  void pass(Duration duration) {
    until([] { return false; }, duration);
  }

  struct Client {
    explicit Client(asio::io_context& context) : socket(context) {}
    asio::ip::tcp::socket socket;
    std::string text;
    std::array<char, 16384> piece{};
    bool ended{false};
  };
  std::shared_ptr<Client> begin(const std::string& target, const std::string& headers = {},
                                const std::string& body = "body") {
    auto client = std::make_shared<Client>(io);
    client->socket.connect({asio::ip::address_v4::loopback(), server->port()});
    std::string id = "X-Attempt-Id: a-" + std::to_string(++lastAttempt) + "\r\n";
    if (headers.find("X-Attempt-Id") != std::string::npos) id.clear();
    std::string deadline = headers.find("X-Deadline-Ms") == std::string::npos ? "X-Deadline-Ms: 4000\r\n" : "";
    std::string text = "POST " + target + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-a\r\n" + id + deadline +
                       headers + "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                       body;
    asio::write(client->socket, asio::buffer(text));
    read(client);
    return client;
  }
  ClientResponse finish(const std::shared_ptr<Client>& client) {
    cr_assert(until([&] { return client->ended; }), "the client's connection must end");
    return parseResponse(client->text);
  }
  ClientResponse ask(const std::string& target, const std::string& headers = {}, const std::string& body = "body") {
    return finish(begin(target, headers, body));
  }
  std::size_t copies(const std::string& marker) const {
    std::size_t count = 0;
    for (const auto& server : servers) count += server->copies(marker);
    return count;
  }
  void publishWorkers() {
    CellNews update;
    update.zone = "north-a";
    update.term = 1;
    update.sequence = ++updateCount;
    std::vector<Machine> machines;
    for (std::size_t number = 0; number < servers.size(); ++number) {
      WorkerView row;
      row.name = "w" + std::to_string(number);
      row.address = servers[number]->address();
      row.zone = "north-a";
      row.kind = "language";
      row.slots = 64;
      row.alive = row.confirmed = true;
      row.service = "mill";
      update.workers.push_back(row);
      Machine machine;
      machine.name = row.name;
      machine.address = row.address;
      machine.zone = row.zone;
      machine.kind = "language";
      machine.service = "mill";
      machines.push_back(machine);
    }
    host->handle("agent:1", update);
    host->handle("agent:1", MarksMsg{0, machines});
  }

  asio::io_context io;
  std::unique_ptr<ProxyRouter> router;
  std::unique_ptr<NodeHost> host;
  std::unique_ptr<HttpClient> calls;
  std::unique_ptr<Exchanges> exchanges;
  std::unique_ptr<HttpServer> server;
  std::vector<std::unique_ptr<RawServer>> servers;
  Script script;
  std::size_t arrivals{0};
  bool feedEnabled{true};

 private:
  int lastAttempt{0};
  Uint64 updateCount{0};

  void declare() {
    Configuration view;
    auto patch = view.preparePatch(
        R"({"services":{"mill":{}},"tenants":{"asp":{"secrets":["key-a"]}},
  "routes":{"once":{"host":"h","prefix":"/once/","service":"mill","repeat":"once","tries":2,"timeoutMs":4000},
    "safe":{"host":"h","prefix":"/safe/","service":"mill","repeat":"safe","tries":3,"timeoutMs":4000},
    "single":{"host":"h","prefix":"/single/","service":"mill","repeat":"safe","tries":1,"timeoutMs":4000},
    "stream":{"host":"h","prefix":"/stream/","service":"mill","repeat":"stream","tries":3,"timeoutMs":4000},
    "resume":{"host":"h","prefix":"/resume/","service":"mill","repeat":"stream","resumable":true,"tries":3,"timeoutMs":4000}}})",
        ChangeFormat::patch);
    cr_assert(bool(patch));
    view.apply(LogEntry{1, 1, static_cast<int>(EntryKind::change), patch.value(), {}, 1});
    NewsMsg update;
    update.commit = 1;
    update.snapshots.push_back(view.snapshot());
    host->handle("agent:1", update);
  }
  void read(const std::shared_ptr<Client>& client) {
    client->socket.async_read_some(asio::buffer(client->piece),
                                   [this, client](const asio::error_code& error, std::size_t bytes) {
                                     client->text.append(client->piece.data(), bytes);
                                     if (error) {
                                       client->ended = true;
                                       return;
                                     }
                                     read(client);
                                   });
  }
};

}  // namespace raw
