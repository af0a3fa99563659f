#include <sys/wait.h>

#include <csignal>

#include "core.hpp"
#include "http_server_fixture.hpp"
#include "web.hpp"

using namespace tt;
using namespace tt::gatetest;

namespace {

const std::string http10Get = "GET /x HTTP/1.0\r\n\r\n";

/// Blocks the server's thread until destroyed, as a freeze of the process does.
class BlockedThread {
 public:
  explicit BlockedThread(asio::io_context& io) {
    std::promise<void> blocked;
    auto isBlocked = blocked.get_future();
    asio::post(io, [&blocked, resumed = thawed.get_future().share()] {
      blocked.set_value();
      resumed.wait();
    });
    isBlocked.wait();
  }
  ~BlockedThread() { thawed.set_value(); }

 private:
  std::promise<void> thawed;
};

/// An HttpServer in a process of its own, which starts responses and never ends them.
class ServerProcess {
 public:
  ServerProcess() {
    int ends[2];
    cr_assert_eq(::pipe(ends), 0);
    id = ::fork();
    if (id == 0) serve(ends[1]);
    cr_assert_eq(::read(ends[0], &port, sizeof port), static_cast<ssize_t>(sizeof port));
    ::close(ends[0]);
    ::close(ends[1]);
  }
  void kill() {
    ::kill(id, SIGKILL);
    ::waitpid(id, nullptr, 0);
  }
  unsigned short port{0};

 private:
  pid_t id{0};
  [[noreturn]] static void serve(int portPipe) {
    asio::io_context io;
    std::vector<std::shared_ptr<ResponseWriter>> held;
    HttpServer httpServer(io, "127.0.0.1:0", [&held](HttpRequest, std::shared_ptr<ResponseWriter> response) {
      response->head(200, {}, std::nullopt);
      response->bytes("part");
      held.push_back(std::move(response));
    });
    if (!httpServer.open()) ::_exit(1);
    auto port = httpServer.port();
    if (::write(portPipe, &port, sizeof port) < 0) ::_exit(1);
    io.run();
    ::_exit(0);
  }
};

/// Sends until the server accepts nothing for 200 ms, or `most` bytes. Returns how many bytes were accepted.
std::size_t sendUntilBlocked(RawClient& caller, std::size_t most) {
  const std::string part(64 * 1024, 'x');
  std::size_t taken = 0;
  while (taken < most) {
    pollfd facts{caller.socket.native_handle(), POLLOUT, 0};
    if (::poll(&facts, 1, 200) <= 0) break;
    auto size = ::send(caller.socket.native_handle(), part.data(), part.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (size <= 0) break;
    taken += static_cast<std::size_t>(size);
  }
  return taken;
}

/// An operators' server on its own thread, which holds the requests until the test answers them.
class OperatorServerFixture {
 public:
  OperatorServerFixture() {
    HttpServer finder(io, "127.0.0.1:0", echo);
    cr_assert(bool(finder.open()));
    port = finder.port();
    finder.close();
    server = std::make_unique<WebServer>(io, "127.0.0.1:" + std::to_string(port),
                                         [this](WebRequest ask, std::shared_ptr<WebResponse> response) {
                                           names[ask.path] = responses.add(std::move(response));
                                           ++received;
                                         });
    cr_assert(bool(server->open()));
    thread = std::thread([this] { io.run(); });
  }
  ~OperatorServerFixture() {
    asio::post(io, [this] { io.stop(); });
    thread.join();
  }
  void finish(const std::string& path, const std::string& body) {
    std::promise<void> done;
    asio::post(io, [&] {
      if (auto response = responses.remove(names.at(path))) response->finish(200, body);
      done.set_value();
    });
    done.get_future().wait();
  }
  asio::io_context io;
  asio::executor_work_guard<asio::io_context::executor_type> work{io.get_executor()};
  PendingResponses responses;
  std::map<std::string, std::string> names;
  std::unique_ptr<WebServer> server;
  std::atomic<int> received{0};
  unsigned short port{0};
  std::thread thread;
};
std::string put(const std::string& path) {
  return "PUT " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}";
}

/// A cluster of a single core, which can be restarted on the same disk.
struct SingleCoreCluster {
  TimePoint now{std::chrono::hours(1)};
  std::mt19937_64 randomSource{1};
  RecoveredState disk;
  std::unique_ptr<Core> core;
  std::vector<std::pair<std::string, Message>> out;

  void start() {
    CoreSettings settings;
    settings.name = "core-1";
    settings.address = "core-1:1";
    settings.zone = "north-a";
    settings.seeds = {"core-1:1"};
    settings.zones = {"north-a"};
    core = std::make_unique<Core>(settings, disk, randomSource, now);
  }
  void with(const std::function<void(Effects&)>& action) {
    Effects effects{now, randomSource, core->journal, {}, {}};
    action(effects);
    for (auto& sent : effects.sends) out.push_back(std::move(sent));
    for (auto& save : effects.saves) {
      cr_assert(disk.applyRecord(save.record));
      if (save.onSynced) with(save.onSynced);
    }
  }
  void handle(const std::string& from, const Message& message) {
    with([&](Effects& effects) { core->handle(effects, from, message); });
  }
  /// Runs until the core is the leader. Messages to itself are delivered.
  void lead() {
    for (int step = 0; step < 4000 && !core->consensusLog().leads(now); ++step) {
      now += 5ms;
      with([&](Effects& effects) { core->tick(effects); });
      auto mail = std::move(out);
      out.clear();
      for (auto& [to, message] : mail)
        if (to == "core-1:1") handle(to, message);
    }
    cr_assert(core->consensusLog().leads(now));
    out.clear();
  }
  /// Submits a configuration change and returns the id of the request that goes to the leader.
  std::string changeRequestId(const std::string& changeId) {
    out.clear();
    OperatorRequest request;
    request.requestId = "operator";
    request.body = "{\"policies\":{\"" + changeId + "\":\"recompute\"}}";
    request.changeId = changeId;
    request.ifRevision = -1;
    request.toRevision = -1;
    handle("operator", request);
    for (const auto& [to, message] : out)
      if (auto* change = std::get_if<ChangeRequest>(&message)) return change->requestId;
    return {};
  }
  std::size_t responseCount() const {
    std::size_t count = 0;
    for (const auto& [to, message] : out) count += std::holds_alternative<OperatorResponse>(message);
    return count;
  }
};

}  // namespace

Test(gate_faults, killed_process_leaves_no_complete_looking_response_to_an_http_1_0_client) {
  ServerProcess server;
  RawClient old(server.port), current(server.port);
  old.send(http10Get);
  current.send(get);
  cr_assert(has(old.until("part"), "part"));
  cr_assert(has(current.until("part\r\n"), "part"));
  server.kill();
  cr_assert_eq(old.all(), "");
  cr_assert(old.reset,
            "a response delimited by the end of the connection must end in a reset when its process is killed");
  cr_assert(!has(current.all(), "0\r\n\r\n"));
}

Test(gate_faults, closed_server_leaves_no_complete_looking_response_to_an_http_1_0_client) {
  HeldResponses held;
  HttpServerFixture server(held.handler());
  RawClient old(server.port);
  old.send(http10Get);
  cr_assert(eventually([&] { return held.received == 1; }));
  server.run([&] {
    held.responses[0]->head(200, {}, std::nullopt);
    held.responses[0]->bytes("part");
  });
  cr_assert(has(old.until("part"), "part"));
  server.run([&] { server.httpServer.close(); });
  cr_assert_eq(old.all(), "");
  cr_assert(old.reset);
}

Test(gate_faults, complete_response_to_an_http_1_0_client_ends_orderly) {
  HeldResponses held;
  HttpServerFixture server(held.handler());
  RawClient old(server.port);
  old.send(http10Get);
  cr_assert(eventually([&] { return held.received == 1; }));
  const std::string body(4 << 20, 'x');
  server.run([&] {
    held.responses[0]->head(200, {}, std::nullopt);
    held.responses[0]->bytes(body);
    held.responses[0]->end();
  });
  auto got = old.all();
  cr_assert_eq(got.size() - got.find("\r\n\r\n") - 4, body.size());
  cr_assert(!old.reset && !old.timedOut);
}

Test(gate_faults, connection_is_kept_as_long_as_announced) {
  HeldResponses held;
  HttpServerLimits limits;
  limits.idleTimeout = 2s;
  HttpServerFixture server(held.handler(), limits);
  RawClient caller(server.port);
  caller.send(get);
  cr_assert(eventually([&] { return held.received == 1; }));
  server.run([&] {
    held.responses[0]->head(200, {}, std::nullopt);
    held.responses[0]->bytes("a");
  });
  cr_assert(has(caller.until("\r\na\r\n"), "Keep-Alive: timeout=2\r\n"));
  limits.idleTimeout = 100ms;
  server.run([&] {
    server.httpServer.setLimits(limits);
    held.responses[0]->end();
  });
  cr_assert(has(caller.until("0\r\n\r\n"), "0\r\n\r\n"));
  cr_assert_eq(caller.receive(700ms).value_or("end"), "", "the announced two seconds are kept");
  caller.send(get);
  cr_assert(eventually([&] { return held.received == 2; }));
}

Test(gate_faults, keep_alive_below_one_second_is_not_announced) {
  HttpServerLimits limits;
  limits.idleTimeout = 400ms;
  HttpServerFixture server(echo, limits);
  RawClient caller(server.port);
  caller.send(get);
  auto got = caller.until("[]");
  cr_assert(has(got, "Connection: keep-alive\r\n") && !has(got, "Keep-Alive: "), "got \"%s\"", got.c_str());
}

Test(gate_faults, pipelined_requests_read_before_draining_are_all_answered) {
  HeldResponses held;
  HttpServerFixture server(held.handler());
  RawClient caller(server.port);
  caller.send(get + get + get);
  cr_assert(eventually([&] { return held.received == 1; }));
  cr_assert_eq(caller.receive(30ms).value(), "");
  server.run([&] { server.httpServer.startDraining(); });
  for (int number = 0; number < 3; ++number) {
    cr_assert(eventually([&] { return held.received == number + 1; }), "request %d is served", number);
    server.run(
        [&] { sendResponse(held.responses[static_cast<std::size_t>(number)], "answer" + std::to_string(number)); });
  }
  auto got = caller.all();
  cr_assert_eq(count(got, "HTTP/1.1 200"), 3u, "got \"%s\"", got.c_str());
  cr_assert_eq(count(got, "Connection: close\r\n"), 1u, "only the last one closes");
  cr_assert(has(got, "answer2") && !caller.reset && !caller.timedOut);
}

Test(gate_faults, client_that_does_not_read_is_reset_at_the_queue_limit_and_delays_no_other) {
  HeldResponses held;
  HttpServerLimits limits;
  limits.maxQueuedBytes = 8 << 20;
  HttpServerFixture server(held.handler(), limits);
  RawClient idle(server.port), reading(server.port);
  idle.send(get);
  cr_assert(eventually([&] { return held.received == 1; }));
  reading.send(get);
  cr_assert(eventually([&] { return held.received == 2; }));
  const std::string part(1 << 20, 'x');
  std::size_t most = 0, read = 0;
  server.run([&] {
    for (auto& response : held.responses) response->head(200, {}, 64 * part.size());
  });
  auto head = reading.until("\r\n\r\n");
  read = head.size() - head.find("\r\n\r\n") - 4;
  for (std::size_t step = 1; step <= 64; ++step) {
    server.run([&] {
      for (auto& response : held.responses) response->bytes(part);
    });
    std::size_t awaited = step * part.size() - (step == 64 ? 1 : 0);
    while (read < awaited) {
      auto got = reading.receive();
      cr_assert(got && !got->empty(), "the reading client is still served at %zu", read);
      read += got->size();
    }
    most = std::max(most, server.run([&] { return server.httpServer.queued(); }));
  }
  server.run([&] { held.responses[1]->end(); });
  cr_assert_eq(reading.receive()->size(), 1u);
  cr_assert_leq(most, limits.maxQueuedBytes + 2 * part.size());
  cr_assert_eq(held.disconnects.load(), 1, "the client that does not read is reported as disconnected");
  idle.all();
  cr_assert(idle.reset, "its response does not look complete");
  cr_assert(eventually([&] { return server.run([&] { return server.httpServer.queued(); }) == 0; }));
}

Test(gate_faults, client_that_keeps_sending_during_its_response_is_held_back_by_flow_control) {
  HeldResponses held;
  HttpServerFixture server(held.handler());
  RawClient caller(server.port);
  caller.send(get);
  cr_assert(eventually([&] { return held.received == 1; }));
  auto taken = sendUntilBlocked(caller, 256u << 20);
  cr_assert_lt(taken, 64u << 20, "no more than the kernel's buffers hold");
  server.run([&] { sendResponse(held.responses[0], "ok"); });
  auto got = caller.all();
  cr_assert_eq(count(got, "HTTP/1.1 "), 2u, "its response, then a rejection of the bytes that are no request");
  cr_assert(has(got, "HTTP/1.1 200") && has(got, "HTTP/1.1 4"));
  cr_assert_eq(held.received.load(), 1);
}

Test(gate_faults, response_for_a_disconnected_client_reaches_no_new_connection) {
  HeldResponses held;
  HttpServerFixture server(held.handler());
  for (bool byReset : {false, true}) {
    std::size_t first = held.responses.size();
    auto gone = std::make_unique<RawClient>(server.port);
    gone->send(get);
    cr_assert(eventually([&] { return held.responses.size() == first + 1; }));
    std::unique_ptr<RawClient> next;
    {
      BlockedThread frozen(server.io);
      if (byReset)
        gone->resetConnection();
      else
        gone->close();
      next = std::make_unique<RawClient>(server.port);
      next->send(get);
      asio::post(server.io, [&held, first] { sendResponse(held.responses[first], "for the one that has gone"); });
    }
    cr_assert(eventually([&] { return held.responses.size() == first + 2; }));
    server.run([&] {
      sendResponse(held.responses[first], "again for the one that has gone");
      sendResponse(held.responses[first + 1], "for the next");
    });
    auto got = next->until("next");
    cr_assert(has(got, "for the next") && !has(got, "gone"), "got \"%s\"", got.c_str());
    cr_assert_eq(count(got, "HTTP/1.1 "), 1u);
  }
}

Test(gate_faults, request_completed_during_a_freeze_is_served_after_it) {
  HttpServerLimits limits;
  limits.headerTimeout = 50ms;
  limits.idleTimeout = 50ms;
  HttpServerFixture server(echo, limits);
  for (const auto& input : {get, post("Content-Length: 5\r\n", "hello"),
                            post("Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\n\r\n")}) {
    for (std::size_t size : {std::size_t(0), std::size_t(1), input.size() / 2, input.size() - 1}) {
      RawClient caller(server.port);
      caller.send(std::string_view(input).substr(0, size));
      cr_assert(eventually([&] { return server.connections() > 0; }));
      {
        BlockedThread frozen(server.io);
        caller.send(std::string_view(input).substr(size));
        std::this_thread::sleep_for(70ms);
      }
      cr_assert_eq(statusOf(caller.until("]")), 200, "sent %zu before the freeze", size);
    }
  }
}

Test(gate_faults, body_truncated_after_100_continue_does_not_reach_the_handler) {
  std::atomic<int> handled{0};
  HttpServerFixture server([&](HttpRequest request, std::shared_ptr<ResponseWriter> response) {
    ++handled;
    echo(std::move(request), std::move(response));
  });
  for (const char* framing : {"Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"}) {
    RawClient caller(server.port);
    caller.send(post(std::string("Expect: 100-continue\r\n") + framing));
    cr_assert_eq(statusOf(caller.until("\r\n\r\n")), 100);
    caller.send(framing[0] == 'C' ? "hell" : "5\r\nhell");
    caller.resetConnection();
    cr_assert(eventually([&] { return server.connections() == 0; }));
    cr_assert_eq(handled.load(), 0);
  }
}

Test(gate_faults, body_of_a_get_is_not_parsed_as_the_next_request) {
  HttpServerFixture server(echo);
  RawClient caller(server.port);
  const std::string inner = "GET /inner HTTP/1.1\r\nHost: a\r\n\r\n";
  caller.send("GET /outer HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(inner.size()) + "\r\n\r\n" + inner +
              "HEAD /head HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + getClose);
  auto got = caller.all();
  cr_assert_eq(count(got, "HTTP/1.1 200"), 3u, "got \"%s\"", got.c_str());
  cr_assert(has(got, "GET /outer [" + inner + "]") && has(got, "GET /x []"));
}

Test(gate_faults, field_whose_name_begins_like_a_framing_field_is_not_one) {
  HttpServerFixture server(echo);
  RawClient caller(server.port);
  for (const char* name :
       {"Transfer-EncodingX: chunked\r\n", "Content-LengthX: 9\r\n", "X-Transfer-Encoding: chunked\r\n"}) {
    caller.send(post(std::string(name) + "Content-Length: 5\r\n", "hello"));
    auto got = caller.until("]");
    cr_assert_eq(statusOf(got), 200, "%s: got \"%s\"", name, got.c_str());
    cr_assert(has(got, "[hello]"));
  }
}

Test(gate_faults, nothing_after_a_rejected_request_reaches_the_handler) {
  std::atomic<int> handled{0};
  HttpServerFixture server([&](HttpRequest request, std::shared_ptr<ResponseWriter> response) {
    ++handled;
    echo(std::move(request), std::move(response));
  });
  for (const auto& refused :
       {post("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
        post("Content-Length: 2\r\nContent-Length: 3\r\n", "abc"), post("Transfer-Encoding : chunked\r\n", "0\r\n\r\n"),
        post("Transfer-Encoding: chunked\r\n", "0x0\r\n\r\n"), post("Odd: a\r\n Content-Length: 3\r\n", "abc")}) {
    RawClient caller(server.port);
    auto got = caller.askAll(refused + get + get);
    cr_assert_eq(count(got, "HTTP/1.1 "), 1u, "got \"%s\"", got.c_str());
    cr_assert_eq(statusOf(got), 400);
    cr_assert_eq(handled.load(), 0);
  }
}

Test(gate_faults, responses_to_operators_are_not_mixed_up) {
  OperatorServerFixture server;
  RawClient one(server.port), other(server.port);
  one.send(put("/one"));
  cr_assert(eventually([&] { return server.received == 1; }));
  other.send(put("/other"));
  cr_assert(eventually([&] { return server.received == 2; }));
  server.finish("/other", "\"for the other\"");
  cr_assert(has(other.until("other"), "for the other"));
  cr_assert_eq(one.receive(50ms).value_or("end"), "");
  server.finish("/one", "\"for the one\"");
  cr_assert(has(one.until("one"), "for the one"));
  cr_assert_eq(server.responses.count(), 0u);
}

Test(gate_faults, response_for_a_disconnected_operator_reaches_nobody) {
  OperatorServerFixture server;
  RawClient gone(server.port);
  gone.send(put("/gone"));
  cr_assert(eventually([&] { return server.received == 1; }));
  gone.resetConnection();
  RawClient next(server.port);
  next.send(put("/next"));
  cr_assert(eventually([&] { return server.received == 2; }));
  server.finish("/gone", "\"for the one that has gone\"");
  server.finish("/next", "\"for the next\"");
  auto got = next.until("next\"");
  cr_assert(has(got, "for the next") && !has(got, "gone"), "got \"%s\"", got.c_str());
  server.finish("/gone", "\"again\"");
  cr_assert_eq(next.receive(50ms).value_or("end"), "");
}

Test(gate_faults, response_to_a_request_from_before_a_restart_reaches_nobody) {
  SingleCoreCluster cluster;
  cluster.start();
  cluster.lead();
  auto earlier = cluster.changeRequestId("first");
  cr_assert_neq(earlier, "");
  cluster.start();
  cluster.lead();
  auto later = cluster.changeRequestId("second");
  cr_assert_neq(later, "");
  cr_assert_neq(earlier, later);
  cluster.out.clear();
  cluster.handle("core-1:1", ChangeResponse{earlier, static_cast<int>(Code::staleRevision), {}, {}, 0, 0, 0});
  cr_assert_eq(cluster.responseCount(), 0u, "the response is for a request from before the restart");
  cluster.handle("core-1:1", ChangeResponse{later, static_cast<int>(Code::staleRevision), {}, {}, 0, 0, 0});
  cr_assert_eq(cluster.responseCount(), 1u);
}
