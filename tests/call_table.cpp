#include "proxy_bench.hpp"

using namespace tt;
using namespace raw;

namespace {

using Act = std::function<void(const RawServer::Held& held, const std::string& request)>;

/// One row of the table in docs/notes/control/calls.md: what a worker does with a request at one point of its life, and
/// what the callers of the three kinds of route are told, in which status, or 0 for a cut answer.
struct Row {
  const char* name;
  Act act;
  int once, safe, single;
  std::size_t arrivalsOnce, arrivalsSafe, arrivalsSingle;
};

std::string okayFor(const std::string& request, const std::string& body, const std::string& seal = "seal-1",
                    const std::string& more = {}) {
  return okay(body, stamped(request, seal) + more);
}
Act sayWith(const std::string& statusLine, const std::string& more, bool sealed = true) {
  return [=](const RawServer::Held& held, const std::string& request) {
    std::string seal = sealed ? "X-Server-Seal: seal-1\r\n" : "";
    held->say("HTTP/1.1 " + statusLine + "\r\nX-Attempt-Id: " + headerIn(request, "X-Attempt-Id") + "\r\n" + seal +
              more + "Content-Length: 5\r\n\r\nfirst");
  };
}
void resets(const RawServer::Held& held, const std::string&) { held->reset(); }
void closes(const RawServer::Held& held, const std::string&) { held->close(); }
Act after(const std::string& bytes, const Act& act) {
  return [=](const RawServer::Held& held, const std::string& request) {
    std::string text = bytes;
    if (auto at = text.find("@"); at != std::string::npos) text.replace(at, 1, stamped(request));
    held->say(text);
    act(held, request);
  };
}

const std::string half = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a-";
const std::string whole = "HTTP/1.1 200 OK\r\n@Content-Length: 9\r\n\r\n";

/// Plays a row over fresh or kept connections; any request after the first is answered well, with another seal.
void play(const Row& row, const std::string& route, bool kept, int status, std::size_t arrivals) {
  ProxyBench bench;
  bool armed = false;
  std::size_t tried = 0;
  bench.script = [&](const RawServer::Held& held, const std::string& request) {
    if (!armed) return held->say(okayFor(request, "warm"));
    if (++tried == 1) return row.act(held, request);
    held->say(okayFor(request, "second", "seal-2"));
  };
  if (kept) cr_assert_eq(bench.ask("/safe/warm").status, 200);
  armed = true;
  auto got = bench.ask("/" + route + "/x");
  cr_expect_eq(tried, arrivals, "%s, %s, kept %d: arrived %zu times", row.name, route.c_str(), kept, tried);
  if (status == 0) {
    cr_expect_not(got.whole, "%s, %s, kept %d: must not look whole: %s", row.name, route.c_str(), kept,
                  got.text.c_str());
    return;
  }
  cr_expect(got.whole, "%s, %s, kept %d: not whole", row.name, route.c_str(), kept);
  cr_expect_eq(got.status, status, "%s, %s, kept %d: told %d", row.name, route.c_str(), kept, got.status);
  if (tried == 2) {
    cr_expect_eq(got.header("X-Server-Seal"), "seal-2", "%s, %s, kept %d: seal %s", row.name, route.c_str(), kept,
                 got.header("X-Server-Seal").c_str());
    cr_expect_eq(got.body, "second", "%s, %s, kept %d: %s", row.name, route.c_str(), kept, got.body.c_str());
  } else if (status == 502) {
    cr_expect_eq(got.header("X-Server-Seal"), "", "%s: a failure of our own bears no worker's seal", row.name);
  }
}
void playAll(const Row& row) {
  for (bool kept : {false, true}) {
    play(row, "once", kept, row.once, row.arrivalsOnce);
    play(row, "safe", kept, row.safe, row.arrivalsSafe);
    play(row, "single", kept, row.single, row.arrivalsSingle);
  }
}
/// A request that may have run: told as unknown, and sent again only if it may be repeated and has a try left.
Row mayHaveRun(const char* name, Act act) { return Row{name, std::move(act), 502, 200, 502, 1, 2, 1}; }

}  // namespace

Test(call_table, body_sent_without_an_answer) {
  playAll(mayHaveRun("reset before the first byte", resets));
  playAll(mayHaveRun("close before the first byte", closes));
}
Test(call_table, half_a_head) {
  playAll(mayHaveRun("reset in the head", after(half, resets)));
  playAll(mayHaveRun("close in the head", after(half, closes)));
  playAll(mayHaveRun("close after an interim head", after("HTTP/1.1 100 Continue\r\n\r\n", closes)));
  playAll(mayHaveRun("an answer that is none", after("garbage\r\n\r\n", closes)));
  playAll(mayHaveRun("other protocol", after("HTTP/1.1 101 Switching Protocols\r\n@\r\nbytes", closes)));
}
Test(call_table, whole_head_and_no_body) {
  playAll(mayHaveRun("reset after the head", after(whole, resets)));
  playAll(mayHaveRun("close after the head", after(whole, closes)));
}
Test(call_table, body_under_way) {
  playAll(Row{"close in the body", after(whole + "first", closes), 0, 0, 0, 1, 1, 1});
  playAll(Row{"reset in the body",
              [](const RawServer::Held& held, const std::string& request) {
                held->say("HTTP/1.1 200 OK\r\n" + stamped(request) + "Content-Length: 9\r\n\r\nfirst");
                held->close();
              },
              0, 0, 0, 1, 1, 1});
  playAll(Row{"close in a chunk", after("HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n9\r\nfirst", closes), 0,
              0, 0, 1, 1, 1});
  playAll(Row{"close before the last chunk",
              after("HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n", closes), 0, 0, 0, 1, 1, 1});
}
Test(call_table, whole_answers) {
  playAll(Row{"well", sayWith("200 OK", ""), 200, 200, 200, 1, 1, 1});
  playAll(Row{"surplus glued to it",
              [](const RawServer::Held& held, const std::string& request) {
                held->say(okayFor(request, "first") + okay("surplus", stamped(request, "seal-9")));
              },
              200, 200, 200, 1, 1, 1});
  playAll(Row{"reset after the last byte",
              [](const RawServer::Held& held, const std::string& request) {
                held->say(okayFor(request, "first", "seal-1", "Connection: close\r\n"));
                held->close();
              },
              200, 200, 200, 1, 1, 1});
  playAll(Row{"its own failure", sayWith("500 Failed", ""), 500, 500, 500, 1, 1, 1});
  playAll(Row{"its own deadline", sayWith("504 Late", ""), 504, 504, 504, 1, 1, 1});
  playAll(Row{"its own refusal of the content", sayWith("400 Bad", ""), 400, 400, 400, 1, 1, 1});
}
Test(call_table, answers_of_another_request) {
  playAll(mayHaveRun("another attempt id", [](const RawServer::Held& held, const std::string&) {
    held->say(okay("first", "X-Attempt-Id: other\r\nX-Server-Seal: seal-1\r\n"));
  }));
  playAll(mayHaveRun("no attempt id", [](const RawServer::Held& held, const std::string&) {
    held->say(okay("first", "X-Server-Seal: seal-1\r\n"));
  }));
  playAll(mayHaveRun("an empty attempt id", [](const RawServer::Held& held, const std::string&) {
    held->say(okay("first", "X-Attempt-Id:\r\nX-Server-Seal: seal-1\r\n"));
  }));
  playAll(mayHaveRun("two attempt ids", [](const RawServer::Held& held, const std::string& request) {
    held->say(okayFor(request, "first", "seal-1", "X-Attempt-Id: other\r\n"));
  }));
  playAll(mayHaveRun("a refusal of another request", [](const RawServer::Held& held, const std::string&) {
    held->say("HTTP/1.1 503 Full\r\nX-Attempt-Id: other\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  }));
  playAll(mayHaveRun("a refusal of nobody knows what", [](const RawServer::Held& held, const std::string&) {
    held->say("HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  }));
}
Test(call_table, answers_that_are_no_success) {
  playAll(mayHaveRun("no seal", sayWith("200 OK", "", false)));
  playAll(mayHaveRun("an empty seal", sayWith("200 OK", "X-Server-Seal:\r\n", false)));
  playAll(mayHaveRun("a coded body", sayWith("200 OK", "Content-Encoding: gzip\r\n")));
  playAll(mayHaveRun("a body without an end", after("HTTP/1.1 200 OK\r\n@\r\nfirst", closes)));
  playAll(mayHaveRun("two lengths", sayWith("200 OK", "Content-Length: 4\r\n")));
}
Test(call_table, refusals_without_the_worker_s_word_that_it_did_not_run) {
  for (const char* status : {"503 Full", "429 Many", "408 Slow"})
    playAll(mayHaveRun(status, sayWith(status, "Retry-After: 0.1\r\n")));
}
Test(call_table, refusals_with_the_worker_s_word) {
  for (const char* status : {"503 Full", "429 Many", "400 Bad"})
    playAll(Row{status, sayWith(status, "X-Not-Executed: 1\r\n"), 200, 200, 503, 2, 2, 1});
  playAll(Row{"421", sayWith("421 Other", ""), 200, 200, 503, 2, 2, 1});
}

Test(call_table, silence_is_waited_for_and_then_unknown) {
  for (const std::string& said : {std::string(), half, whole, whole + "first"}) {
    ProxyBench bench;
    bench.script = [&](const RawServer::Held& held, const std::string& request) {
      std::string text = said;
      if (auto at = text.find("@"); at != std::string::npos) text.replace(at, 1, stamped(request));
      held->say(text);
    };
    std::vector<std::shared_ptr<ProxyBench::Client>> clients;
    for (const char* route : {"/once/x", "/safe/x", "/single/x"})
      clients.push_back(bench.begin(route, "X-Deadline-Ms: 50\r\n"));
    for (const auto& client : clients) {
      auto got = bench.finish(client);
      if (said.size() > whole.size()) {
        cr_expect_not(got.whole, "%s", got.text.c_str());
      } else {
        cr_expect_eq(got.status, 502, "told %d after '%s'", got.status, said.c_str());
        cr_expect_eq(got.header("X-Server-Seal"), "");
      }
    }
    cr_expect_eq(bench.arrivals, 3u, "nothing is sent again after a silence");
    cr_expect(bench.until([&] {
      for (const auto& server : bench.servers)
        for (const auto& held : server->connections)
          if (!held->ended) return false;
      return true;
    }),
              "the connections of silent workers are closed");
  }
}

Test(call_table, a_refused_connection_is_no_arrival) {
  ProxyBench bench;
  bench.script = [&](const RawServer::Held& held, const std::string& request) { held->say(okayFor(request, "own")); };
  bench.ask("/safe/x");
  std::size_t busy = bench.servers[0]->connections.empty() ? 1 : 0;
  bench.servers[busy]->shut();
  for (const char* route : {"/once/x", "/safe/x", "/single/x"}) {
    auto got = bench.ask(route);
    cr_expect_eq(got.status, 200, "%s told %d", route, got.status);
    cr_expect_eq(got.body, "own");
  }
  cr_expect_eq(bench.arrivals, 4u);
}

Test(call_table, a_late_surplus_answer_in_the_place_of_the_next_is_not_taken) {
  for (const char* route : {"/once/x", "/safe/x"}) {
    ProxyBench bench;
    std::string warm;
    bool said = false;
    bench.script = [&](const RawServer::Held& held, const std::string& request) {
      if (request.find("/safe/warm") != std::string::npos) {
        warm = request;
        return held->say(okayFor(request, "warm"));
      }
      if (!std::exchange(said, true)) held->say(okayFor(warm, "surplus", "seal-9"));
      held->say(okayFor(request, "own"));
    };
    bench.ask("/safe/warm");
    auto got = bench.ask(route);
    bool once = std::string(route) == "/once/x";
    cr_expect_eq(got.status, once ? 502 : 200, "%s told %d", route, got.status);
    if (!once) cr_expect_eq(got.body, "own");
    cr_expect_eq(bench.arrivals, once ? 2u : 3u);
    auto next = bench.ask("/safe/next");
    cr_expect_eq(next.status, 200);
    cr_expect_eq(next.body, "own", "what follows on the worker's connections belongs to nobody");
  }
}

Test(call_table, bytes_on_an_idle_connection_are_nobody_s) {
  ProxyBench bench;
  bench.script = [&](const RawServer::Held& held, const std::string& request) { held->say(okayFor(request, "own")); };
  bench.ask("/safe/warm");
  for (const auto& server : bench.servers)
    for (const auto& held : server->connections)
      held->say(okay("surplus", "X-Attempt-Id: a-2\r\nX-Server-Seal: s\r\n"));
  bench.pass(10ms);
  auto got = bench.ask("/once/x");
  cr_expect_eq(got.status, 200);
  cr_expect_eq(got.body, "own");
  cr_expect_eq(bench.calls->connectionsOpened(), 2u);
}

Test(call_table, a_request_without_an_id_takes_only_an_answer_without_one) {
  ProxyBench bench;
  std::string id;
  bench.script = [&](const RawServer::Held& held, const std::string&) {
    held->say("HTTP/1.1 400 No id\r\n" + id + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  };
  cr_expect_eq(bench.ask("/once/x", "X-Attempt-Id:\r\n").status, 503, "not run, as the workers say");
  id = "X-Attempt-Id: other\r\n";
  bench.pass(250ms);
  cr_expect_eq(bench.ask("/once/x", "X-Attempt-Id:\r\n").status, 502);
}

Test(call_table, a_proxy_that_slept_sends_nothing_on_old_knowledge) {
  auto usual = timing.maxStaleness;
  timing.maxStaleness = 400ms;
  ProxyBench bench;
  bench.script = [&](const RawServer::Held& held, const std::string& request) { held->say(okayFor(request, "own")); };
  auto client = bench.begin("/once/x");
  cr_assert(bench.until([&] { return bench.exchanges->open() == 1; }));
  bench.feeds = false;
  std::this_thread::sleep_for(timing.maxStaleness + 100ms);
  auto got = bench.finish(client);
  timing.maxStaleness = usual;
  cr_expect_eq(got.status, 503, "told %d", got.status);
  cr_expect_eq(bench.arrivals, 0u, "nothing was sent after the sleep");
}

Test(call_table, the_worker_frozen_then_gone_and_its_address_used_again) {
  ProxyBench bench;
  bench.script = [&](const RawServer::Held& held, const std::string& request) {
    if (request.find("warm") != std::string::npos) return held->say(okayFor(request, "warm"));
    std::string target = headerIn(request, "X-Target-Instance");
    if (target != "w9")
      return held->say("HTTP/1.1 421 Other\r\nX-Attempt-Id: " + headerIn(request, "X-Attempt-Id") +
                       "\r\nContent-Length: 0\r\n\r\n");
    held->say(okayFor(request, "own"));
  };
  bench.ask("/safe/warm");
  auto got = bench.ask("/once/x");
  cr_expect_eq(got.status, 503, "every worker at these addresses says that it is another one: not run");
  cr_expect_eq(bench.arrivals, 3u);
}

namespace {

const std::string streamHead =
    "HTTP/1.1 200 OK\r\n@Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
std::string streamFor(const std::string& request, const std::string& seal) {
  std::string text = streamHead;
  return text.replace(text.find("@"), 1, stamped(request, seal));
}
std::string piece(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}
std::string event(int id) { return "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n"; }
std::string events(int from, int to) {
  std::string all;
  for (int id = from; id <= to; ++id) all += event(id);
  return all;
}
/// The worker that a stream is first sent to says events 1 and 2 and half of 3 and breaks off; the others do as told.
struct StreamBench : ProxyBench {
  std::vector<Act> then;
  std::vector<std::string> resumedAfter;
  std::string firstEvents = events(1, 2) + "id: 3\ndata: pi";
  explicit StreamBench(std::vector<Act> acts) : ProxyBench(4), then(std::move(acts)) {
    script = [this](const RawServer::Held& held, const std::string& request) {
      resumedAfter.push_back(headerIn(request, "Last-Event-Id"));
      if (resumedAfter.size() == 1) {
        held->say(streamFor(request, "seal-1") + piece(firstEvents));
        return held->close();
      }
      if (resumedAfter.size() - 2 < then.size()) then[resumedAfter.size() - 2](held, request);
    };
  }
};
void goesOn(const RawServer::Held& held, const std::string& request) {
  held->say(streamFor(request, "seal-2") + piece(events(3, 5)) + "0\r\n\r\n");
}

}  // namespace

Test(call_streams, a_resumed_stream_has_each_piece_once_and_the_first_worker_s_stamp) {
  StreamBench bench({goesOn});
  auto got = bench.ask("/resume/x");
  cr_expect_eq(got.status, 200);
  cr_expect(got.whole);
  cr_expect_eq(got.header("X-Server-Seal"), "seal-1");
  cr_expect_eq(got.body, events(1, 5), "%s", got.body.c_str());
  cr_assert_eq(bench.resumedAfter.size(), 2u);
  cr_expect_eq(bench.resumedAfter[1], "2");
}

Test(call_streams, an_answer_that_is_no_stream_or_bears_no_seal_does_not_go_on_with_one) {
  StreamBench bench(
      {[](const RawServer::Held& held, const std::string& request) { held->say(okayFor(request, "no stream")); },
       [](const RawServer::Held& held, const std::string& request) {
         held->say("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + headerIn(request, "X-Attempt-Id") +
                   "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + piece(events(3, 5)) +
                   "0\r\n\r\n");
       }});
  auto got = bench.ask("/resume/x");
  cr_expect_not(got.whole, "its tries are spent");
  cr_expect_eq(got.body, events(1, 2), "%s", got.body.c_str());
  cr_expect_eq(bench.resumedAfter.size(), 3u);
}

Test(call_streams, a_run_that_begins_anew_does_not_go_on_with_a_stream) {
  StreamBench bench({[](const RawServer::Held& held, const std::string& request) {
                       held->say(streamFor(request, "seal-2") + piece(events(1, 5)) + "0\r\n\r\n");
                     },
                     goesOn});
  auto got = bench.ask("/resume/x");
  cr_expect(got.whole);
  cr_expect_eq(got.body, events(1, 5), "%s", got.body.c_str());
}

Test(call_streams, a_stream_whose_pieces_bear_no_id_is_not_taken_up_again) {
  for (const std::string& said : {std::string(": well\n\n"), std::string("data: piece\n\n")}) {
    StreamBench bench({[](const RawServer::Held& held, const std::string& request) {
      held->say(streamFor(request, "seal-2") + piece(events(1, 5)) + "0\r\n\r\n");
    }});
    bench.firstEvents = said;
    auto got = bench.ask("/resume/x");
    cr_expect_not(got.whole);
    cr_expect_eq(got.body, said);
    cr_expect_eq(bench.resumedAfter.size(), 1u);
  }
}

Test(call_streams, a_stream_that_may_not_be_resumed_is_cut) {
  StreamBench bench({goesOn});
  auto got = bench.ask("/stream/x");
  cr_expect_not(got.whole);
  cr_expect_eq(got.body, events(1, 2));
  cr_expect_eq(bench.resumedAfter.size(), 1u);
}

Test(call_streams, a_stream_is_not_resumed_at_a_worker_that_drains_meanwhile) {
  StreamBench bench({goesOn});
  std::string first;
  auto usual = bench.script;
  bench.script = [&](const RawServer::Held& held, const std::string& request) {
    if (first.empty()) {
      first = headerIn(request, "X-Target-Instance");
      std::vector<Machine> machines;
      for (std::size_t number = 0; number < bench.servers.size(); ++number) {
        Machine machine;
        machine.name = "w" + std::to_string(number);
        machine.address = bench.servers[number]->address();
        machine.zone = "north-a";
        machine.kind = "language";
        machine.service = "mill";
        machine.leaving = number != 3;
        machines.push_back(machine);
      }
      bench.host->handle("agent:1", MarksMsg{0, machines});
    } else {
      cr_expect_eq(headerIn(request, "X-Target-Instance"), "w3");
    }
    usual(held, request);
  };
  auto got = bench.ask("/resume/x");
  cr_assert_neq(first, "w3", "the others than the first and the last drain");
  cr_expect(got.whole);
  cr_expect_eq(got.body, events(1, 5));
}

Test(call_table, body_being_sent) {
  for (const char* route : {"/once/x", "/safe/x"}) {
    ProxyBench bench;
    bool broken = false;
    bench.script = [&](const RawServer::Held& held, const std::string& request) { held->say(okayFor(request, "own")); };
    for (const auto& server : bench.servers)
      server->onPiece = [&](const RawServer::Held& held) {
        if (held->got.size() > 60000 && !std::exchange(broken, true)) held->reset();
      };
    auto got = bench.ask(route, {}, std::string(2u << 20, 'x'));
    bool once = std::string(route) == "/once/x";
    cr_expect_eq(got.status, once ? 502 : 200, "%s told %d", route, got.status);
    cr_expect_eq(bench.copies("POST " + std::string(route)), once ? 1u : 2u);
  }
}

Test(call_table, a_proxy_frozen_between_write_and_read_gives_the_request_its_own_answer_or_none) {
  for (const char* deadline : {"4000", "20"}) {
    ProxyBench bench;
    bench.script = [&](const RawServer::Held& held, const std::string& request) {
      held->say(okayFor(request, "body of " + headerIn(request, "X-Attempt-Id")));
    };
    std::vector<std::shared_ptr<ProxyBench::Client>> clients;
    for (const char* route : {"/once/x", "/safe/x", "/once/y"})
      clients.push_back(bench.begin(route, std::string("X-Deadline-Ms: ") + deadline + "\r\n"));
    cr_assert(bench.until([&] { return bench.arrivals == 3; }));
    std::this_thread::sleep_for(350ms);
    for (std::size_t number = 0; number < clients.size(); ++number) {
      auto got = bench.finish(clients[number]);
      if (got.status == 200)
        cr_expect_eq(got.body, "body of a-" + std::to_string(number + 1));
      else
        cr_expect_eq(got.status, 502, "told %d", got.status);
      if (std::string(deadline) == "4000") cr_expect_eq(got.status, 200);
    }
    cr_expect_eq(bench.arrivals, 3u, "nothing is sent again");
  }
}
