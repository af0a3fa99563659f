#include <sys/wait.h>

#include <csignal>

#include "core.hpp"
#include "gate_fixture.hpp"
#include "web.hpp"

using namespace tt;
using namespace tt::gatetest;

namespace {

const std::string oldGet = "GET /x HTTP/1.0\r\n\r\n";

/// Holds the gate's thread as a freeze of the process does, until it goes out of scope.
class Frozen {
 public:
  explicit Frozen(asio::io_context& io) {
    std::promise<void> held;
    auto isHeld = held.get_future();
    asio::post(io, [&held, thaw = thawed.get_future().share()] {
      held.set_value();
      thaw.wait();
    });
    isHeld.wait();
  }
  ~Frozen() { thawed.set_value(); }

 private:
  std::promise<void> thawed;
};

/// A gate in a process of its own that starts an answer and never ends it.
class DoorProcess {
 public:
  DoorProcess() {
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
  [[noreturn]] static void serve(int told) {
    asio::io_context io;
    std::vector<std::shared_ptr<ResponseWriter>> kept;
    HttpServer gate(io, "127.0.0.1:0", [&kept](HttpRequest, std::shared_ptr<ResponseWriter> answer) {
      answer->head(200, {}, std::nullopt);
      answer->bytes("part");
      kept.push_back(std::move(answer));
    });
    if (!gate.open()) ::_exit(1);
    auto taken = gate.port();
    if (::write(told, &taken, sizeof taken) < 0) ::_exit(1);
    io.run();
    ::_exit(0);
  }
};

/// Sends without waiting until the other side takes nothing more.
std::size_t sendAllThatIsTaken(Caller& caller, std::size_t most) {
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

/// An operators' server on its own thread that keeps what it is asked.
class OperatorDoor {
 public:
  OperatorDoor() {
    HttpServer finder(io, "127.0.0.1:0", echo);
    cr_assert(bool(finder.open()));
    port = finder.port();
    finder.close();
    server = std::make_unique<WebServer>(io, "127.0.0.1:" + std::to_string(port),
                                         [this](WebRequest ask, std::shared_ptr<WebResponse> answer) {
                                           names[ask.path] = answers.add(std::move(answer));
                                           ++taken;
                                         });
    cr_assert(bool(server->open()));
    thread = std::thread([this] { io.run(); });
  }
  ~OperatorDoor() {
    asio::post(io, [this] { io.stop(); });
    thread.join();
  }
  void finish(const std::string& path, const std::string& body) {
    std::promise<void> done;
    asio::post(io, [&] {
      if (auto answer = answers.remove(names.at(path))) answer->finish(200, body);
      done.set_value();
    });
    done.get_future().wait();
  }
  asio::io_context io;
  asio::executor_work_guard<asio::io_context::executor_type> work{io.get_executor()};
  PendingResponses answers;
  std::map<std::string, std::string> names;
  std::unique_ptr<WebServer> server;
  std::atomic<int> taken{0};
  unsigned short port{0};
  std::thread thread;
};
std::string put(const std::string& path) {
  return "PUT " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}";
}

/// One core that is its own majority, over lives on the same disk.
struct LoneCore {
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
      if (save.then) with(save.then);
    }
  }
  void handle(const std::string& from, const Message& message) {
    with([&](Effects& effects) { core->handle(effects, from, message); });
  }
  /// Runs until it leads; its words to itself are delivered.
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
  /// The number under which a change of this operator travels to the leader.
  std::string askedAs(const std::string& changeId) {
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
  std::size_t told() const {
    std::size_t count = 0;
    for (const auto& [to, message] : out) count += std::holds_alternative<OperatorResponse>(message);
    return count;
  }
};

}  // namespace

Test(gate_faults, a_killed_process_leaves_no_answer_that_looks_whole_to_an_old_client) {
  DoorProcess door;
  Caller old(door.port), current(door.port);
  old.send(oldGet);
  current.send(get);
  cr_assert(has(old.until("part"), "part"));
  cr_assert(has(current.until("part\r\n"), "part"));
  door.kill();
  cr_assert_eq(old.all(), "");
  cr_assert(old.reset, "an answer that ends with its connection ends in a reset when its process is killed");
  cr_assert(!has(current.all(), "0\r\n\r\n"));
}

Test(gate_faults, a_closed_gate_leaves_no_answer_that_looks_whole_to_an_old_client) {
  Kept kept;
  Door door(kept.handler());
  Caller old(door.port);
  old.send(oldGet);
  cr_assert(soon([&] { return kept.taken == 1; }));
  door.run([&] {
    kept.answers[0]->head(200, {}, std::nullopt);
    kept.answers[0]->bytes("part");
  });
  cr_assert(has(old.until("part"), "part"));
  door.run([&] { door.gate.close(); });
  cr_assert_eq(old.all(), "");
  cr_assert(old.reset);
}

Test(gate_faults, an_old_clients_whole_answer_still_ends_in_order) {
  Kept kept;
  Door door(kept.handler());
  Caller old(door.port);
  old.send(oldGet);
  cr_assert(soon([&] { return kept.taken == 1; }));
  const std::string body(4 << 20, 'x');
  door.run([&] {
    kept.answers[0]->head(200, {}, std::nullopt);
    kept.answers[0]->bytes(body);
    kept.answers[0]->end();
  });
  auto got = old.all();
  cr_assert_eq(got.size() - got.find("\r\n\r\n") - 4, body.size());
  cr_assert(!old.reset && !old.timedOut);
}

Test(gate_faults, a_kept_connection_lives_as_long_as_it_was_promised) {
  Kept kept;
  HttpServerLimits limits;
  limits.idleTimeout = 2s;
  Door door(kept.handler(), limits);
  Caller caller(door.port);
  caller.send(get);
  cr_assert(soon([&] { return kept.taken == 1; }));
  door.run([&] {
    kept.answers[0]->head(200, {}, std::nullopt);
    kept.answers[0]->bytes("a");
  });
  cr_assert(has(caller.until("\r\na\r\n"), "Keep-Alive: timeout=2\r\n"));
  limits.idleTimeout = 100ms;
  door.run([&] {
    door.gate.setLimits(limits);
    kept.answers[0]->end();
  });
  cr_assert(has(caller.until("0\r\n\r\n"), "0\r\n\r\n"));
  cr_assert_eq(caller.receive(700ms).value_or("end"), "", "the promise of two seconds stands");
  caller.send(get);
  cr_assert(soon([&] { return kept.taken == 2; }));
}

Test(gate_faults, less_than_a_second_is_not_promised_as_one) {
  HttpServerLimits limits;
  limits.idleTimeout = 400ms;
  Door door(echo, limits);
  Caller caller(door.port);
  caller.send(get);
  auto got = caller.until("[]");
  cr_assert(has(got, "Connection: keep-alive\r\n") && !has(got, "Keep-Alive: "), "got \"%s\"", got.c_str());
}

Test(gate_faults, pipelined_requests_that_were_read_before_leaving_are_all_answered) {
  Kept kept;
  Door door(kept.handler());
  Caller caller(door.port);
  caller.send(get + get + get);
  cr_assert(soon([&] { return kept.taken == 1; }));
  cr_assert_eq(caller.receive(30ms).value(), "");
  door.run([&] { door.gate.leave(); });
  for (int number = 0; number < 3; ++number) {
    cr_assert(soon([&] { return kept.taken == number + 1; }), "request %d is served", number);
    door.run([&] { answerWhole(kept.answers[static_cast<std::size_t>(number)], "answer" + std::to_string(number)); });
  }
  auto got = caller.all();
  cr_assert_eq(count(got, "HTTP/1.1 200"), 3u, "got \"%s\"", got.c_str());
  cr_assert_eq(count(got, "Connection: close\r\n"), 1u, "only the last one closes");
  cr_assert(has(got, "answer2") && !caller.reset && !caller.timedOut);
}

Test(gate_faults, a_client_that_does_not_read_is_cut_before_memory_runs_out_and_holds_up_nobody) {
  Kept kept;
  HttpServerLimits limits;
  limits.maxQueuedBytes = 8 << 20;
  Door door(kept.handler(), limits);
  Caller idle(door.port), reading(door.port);
  idle.send(get);
  cr_assert(soon([&] { return kept.taken == 1; }));
  reading.send(get);
  cr_assert(soon([&] { return kept.taken == 2; }));
  const std::string part(1 << 20, 'x');
  std::size_t most = 0, read = 0;
  door.run([&] {
    for (auto& answer : kept.answers) answer->head(200, {}, 64 * part.size());
  });
  auto head = reading.until("\r\n\r\n");
  read = head.size() - head.find("\r\n\r\n") - 4;
  for (std::size_t step = 1; step <= 64; ++step) {
    door.run([&] {
      for (auto& answer : kept.answers) answer->bytes(part);
    });
    std::size_t awaited = step * part.size() - (step == 64 ? 1 : 0);
    while (read < awaited) {
      auto got = reading.receive();
      cr_assert(got && !got->empty(), "the reader is served on at %zu", read);
      read += got->size();
    }
    most = std::max(most, door.run([&] { return door.gate.queued(); }));
  }
  door.run([&] { kept.answers[1]->end(); });
  cr_assert_eq(reading.receive()->size(), 1u);
  cr_assert_leq(most, limits.maxQueuedBytes + 2 * part.size());
  cr_assert_eq(kept.gone.load(), 1, "the one that does not read is told as gone");
  idle.all();
  cr_assert(idle.reset, "its answer does not look whole");
  cr_assert(soon([&] { return door.run([&] { return door.gate.queued(); }) == 0; }));
}

Test(gate_faults, a_client_that_sends_on_while_its_answer_streams_is_held_back) {
  Kept kept;
  Door door(kept.handler());
  Caller caller(door.port);
  caller.send(get);
  cr_assert(soon([&] { return kept.taken == 1; }));
  auto taken = sendAllThatIsTaken(caller, 256u << 20);
  cr_assert_lt(taken, 64u << 20, "what the kernel's buffers hold, no more");
  door.run([&] { answerWhole(kept.answers[0], "ok"); });
  auto got = caller.all();
  cr_assert_eq(count(got, "HTTP/1.1 "), 2u, "its answer, then a refusal of what was no request");
  cr_assert(has(got, "HTTP/1.1 200") && has(got, "HTTP/1.1 4"));
  cr_assert_eq(kept.taken.load(), 1);
}

Test(gate_faults, an_answer_for_a_client_that_has_gone_reaches_nobody_on_a_new_connection) {
  Kept kept;
  Door door(kept.handler());
  for (bool byReset : {false, true}) {
    std::size_t first = kept.answers.size();
    auto gone = std::make_unique<Caller>(door.port);
    gone->send(get);
    cr_assert(soon([&] { return kept.answers.size() == first + 1; }));
    std::unique_ptr<Caller> next;
    {
      Frozen frozen(door.io);
      if (byReset)
        gone->resetConnection();
      else
        gone->close();
      next = std::make_unique<Caller>(door.port);
      next->send(get);
      asio::post(door.io, [&kept, first] { answerWhole(kept.answers[first], "for the one that has gone"); });
    }
    cr_assert(soon([&] { return kept.answers.size() == first + 2; }));
    door.run([&] {
      answerWhole(kept.answers[first], "again for the one that has gone");
      answerWhole(kept.answers[first + 1], "for the next");
    });
    auto got = next->until("next");
    cr_assert(has(got, "for the next") && !has(got, "gone"), "got \"%s\"", got.c_str());
    cr_assert_eq(count(got, "HTTP/1.1 "), 1u);
  }
}

Test(gate_faults, a_request_whose_rest_came_during_a_freeze_is_taken_on_waking) {
  HttpServerLimits limits;
  limits.headerTimeout = 50ms;
  limits.idleTimeout = 50ms;
  Door door(echo, limits);
  for (const auto& input : {get, post("Content-Length: 5\r\n", "hello"),
                            post("Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\n\r\n")}) {
    for (std::size_t size : {std::size_t(0), std::size_t(1), input.size() / 2, input.size() - 1}) {
      Caller caller(door.port);
      caller.send(std::string_view(input).substr(0, size));
      cr_assert(soon([&] { return door.connections() > 0; }));
      {
        Frozen frozen(door.io);
        caller.send(std::string_view(input).substr(size));
        std::this_thread::sleep_for(70ms);
      }
      cr_assert_eq(statusOf(caller.until("]")), 200, "sent %zu before the freeze", size);
    }
  }
}

Test(gate_faults, a_body_cut_after_it_was_asked_for_reaches_nobody) {
  std::atomic<int> handled{0};
  Door door([&](HttpRequest request, std::shared_ptr<ResponseWriter> answer) {
    ++handled;
    echo(std::move(request), std::move(answer));
  });
  for (const char* framing : {"Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"}) {
    Caller caller(door.port);
    caller.send(post(std::string("Expect: 100-continue\r\n") + framing));
    cr_assert_eq(statusOf(caller.until("\r\n\r\n")), 100);
    caller.send(framing[0] == 'C' ? "hell" : "5\r\nhell");
    caller.resetConnection();
    cr_assert(soon([&] { return door.connections() == 0; }));
    cr_assert_eq(handled.load(), 0);
  }
}

Test(gate_faults, a_get_with_a_body_does_not_leave_it_behind_as_a_request) {
  Door door(echo);
  Caller caller(door.port);
  const std::string inner = "GET /inner HTTP/1.1\r\nHost: a\r\n\r\n";
  caller.send("GET /outer HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(inner.size()) + "\r\n\r\n" + inner +
              "HEAD /head HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + getClose);
  auto got = caller.all();
  cr_assert_eq(count(got, "HTTP/1.1 200"), 3u, "got \"%s\"", got.c_str());
  cr_assert(has(got, "GET /outer [" + inner + "]") && has(got, "GET /x []"));
}

Test(gate_faults, a_name_that_only_begins_like_a_framing_field_frames_nothing) {
  Door door(echo);
  Caller caller(door.port);
  for (const char* name :
       {"Transfer-EncodingX: chunked\r\n", "Content-LengthX: 9\r\n", "X-Transfer-Encoding: chunked\r\n"}) {
    caller.send(post(std::string(name) + "Content-Length: 5\r\n", "hello"));
    auto got = caller.until("]");
    cr_assert_eq(statusOf(got), 200, "%s: got \"%s\"", name, got.c_str());
    cr_assert(has(got, "[hello]"));
  }
}

Test(gate_faults, nothing_behind_a_refused_request_is_passed_on) {
  std::atomic<int> handled{0};
  Door door([&](HttpRequest request, std::shared_ptr<ResponseWriter> answer) {
    ++handled;
    echo(std::move(request), std::move(answer));
  });
  for (const auto& refused :
       {post("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
        post("Content-Length: 2\r\nContent-Length: 3\r\n", "abc"), post("Transfer-Encoding : chunked\r\n", "0\r\n\r\n"),
        post("Transfer-Encoding: chunked\r\n", "0x0\r\n\r\n"), post("Odd: a\r\n Content-Length: 3\r\n", "abc")}) {
    Caller caller(door.port);
    auto got = caller.askAll(refused + get + get);
    cr_assert_eq(count(got, "HTTP/1.1 "), 1u, "got \"%s\"", got.c_str());
    cr_assert_eq(statusOf(got), 400);
    cr_assert_eq(handled.load(), 0);
  }
}

Test(gate_faults, operators_answers_are_not_crossed) {
  OperatorDoor door;
  Caller one(door.port), other(door.port);
  one.send(put("/one"));
  cr_assert(soon([&] { return door.taken == 1; }));
  other.send(put("/other"));
  cr_assert(soon([&] { return door.taken == 2; }));
  door.finish("/other", "\"for the other\"");
  cr_assert(has(other.until("other"), "for the other"));
  cr_assert_eq(one.receive(50ms).value_or("end"), "");
  door.finish("/one", "\"for the one\"");
  cr_assert(has(one.until("one"), "for the one"));
  cr_assert_eq(door.answers.count(), 0u);
}

Test(gate_faults, an_answer_for_an_operator_that_has_gone_reaches_nobody) {
  OperatorDoor door;
  Caller gone(door.port);
  gone.send(put("/gone"));
  cr_assert(soon([&] { return door.taken == 1; }));
  gone.resetConnection();
  Caller next(door.port);
  next.send(put("/next"));
  cr_assert(soon([&] { return door.taken == 2; }));
  door.finish("/gone", "\"for the one that has gone\"");
  door.finish("/next", "\"for the next\"");
  auto got = next.until("next\"");
  cr_assert(has(got, "for the next") && !has(got, "gone"), "got \"%s\"", got.c_str());
  door.finish("/gone", "\"again\"");
  cr_assert_eq(next.receive(50ms).value_or("end"), "");
}

Test(gate_faults, an_answer_to_an_operator_of_an_earlier_life_answers_nobody) {
  LoneCore machine;
  machine.start();
  machine.lead();
  auto earlier = machine.askedAs("first");
  cr_assert_neq(earlier, "");
  machine.start();
  machine.lead();
  auto later = machine.askedAs("second");
  cr_assert_neq(later, "");
  cr_assert_neq(earlier, later);
  machine.out.clear();
  machine.handle("core-1:1", ChangeResponse{earlier, static_cast<int>(Code::staleRevision), {}, {}, 0, 0, 0});
  cr_assert_eq(machine.told(), 0u, "the refusal was for an operator of the life before");
  machine.handle("core-1:1", ChangeResponse{later, static_cast<int>(Code::staleRevision), {}, {}, 0, 0, 0});
  cr_assert_eq(machine.told(), 1u);
}
