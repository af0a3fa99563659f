#include "proxy_harness.hpp"

using namespace tt;
using namespace raw;

namespace {

using WorkerAction = std::function<void(const RawServer::ConnectionPtr& held, const std::string& request)>;

/// One row of the table in docs/notes/control/calls.md: what a worker does with a request, the status that clients get
/// on the three kinds of route (0 for an incomplete response), and how many attempts reach a worker.
struct Row {
  const char* name;
  WorkerAction action;
  int once, safe, single;
  std::size_t arrivalsOnce, arrivalsSafe, arrivalsSingle;
};

std::string okResponse(const std::string& request, const std::string& body, const std::string& seal = "seal-1",
                       const std::string& more = {}) {
  return successResponse(body, workerHeaders(request, seal) + more);
}
WorkerAction respondWith(const std::string& statusLine, const std::string& more, bool sealed = true) {
  return [=](const RawServer::ConnectionPtr& held, const std::string& request) {
    std::string seal = sealed ? "X-Server-Seal: seal-1\r\n" : "";
    held->say("HTTP/1.1 " + statusLine + "\r\nX-Attempt-Id: " + headerIn(request, "X-Attempt-Id") + "\r\n" + seal +
              more + "Content-Length: 5\r\n\r\nfirst");
  };
}
void resetConnection(const RawServer::ConnectionPtr& held, const std::string&) { held->reset(); }
void closeConnection(const RawServer::ConnectionPtr& held, const std::string&) { held->close(); }
WorkerAction sendThen(const std::string& bytes, const WorkerAction& action) {
  return [=](const RawServer::ConnectionPtr& held, const std::string& request) {
    std::string text = bytes;
    if (auto at = text.find("@"); at != std::string::npos) text.replace(at, 1, workerHeaders(request));
    held->say(text);
    action(held, request);
  };
}

const std::string partialHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a-";
const std::string completeHead = "HTTP/1.1 200 OK\r\n@Content-Length: 9\r\n\r\n";

/// Runs a row over a new or a reused connection. Each request after the first gets a success response with another
/// seal.
void runRow(const Row& row, const std::string& route, bool reused, int status, std::size_t arrivals) {
  ProxyHarness harness;
  bool armed = false;
  std::size_t tried = 0;
  harness.script = [&](const RawServer::ConnectionPtr& held, const std::string& request) {
    if (!armed) return held->say(okResponse(request, "warm"));
    if (++tried == 1) return row.action(held, request);
    held->say(okResponse(request, "second", "seal-2"));
  };
  if (reused) cr_assert_eq(harness.ask("/safe/warm").status, 200);
  armed = true;
  auto response = harness.ask("/" + route + "/x");
  cr_expect_eq(tried, arrivals, "%s, %s, reused %d: %zu attempts arrived", row.name, route.c_str(), reused, tried);
  if (status == 0) {
    cr_expect_not(response.complete, "%s, %s, reused %d: must be incomplete: %s", row.name, route.c_str(), reused,
                  response.text.c_str());
    return;
  }
  cr_expect(response.complete, "%s, %s, reused %d: incomplete", row.name, route.c_str(), reused);
  cr_expect_eq(response.status, status, "%s, %s, reused %d: status %d", row.name, route.c_str(), reused,
               response.status);
  if (tried == 2) {
    cr_expect_eq(response.header("X-Server-Seal"), "seal-2", "%s, %s, reused %d: seal %s", row.name, route.c_str(),
                 reused, response.header("X-Server-Seal").c_str());
    cr_expect_eq(response.body, "second", "%s, %s, reused %d: %s", row.name, route.c_str(), reused,
                 response.body.c_str());
  } else if (status == 502) {
    cr_expect_eq(response.header("X-Server-Seal"), "", "%s: an error of the proxy must not have a worker's seal",
                 row.name);
  }
}
void runOnAllRoutes(const Row& row) {
  for (bool reused : {false, true}) {
    runRow(row, "once", reused, row.once, row.arrivalsOnce);
    runRow(row, "safe", reused, row.safe, row.arrivalsSafe);
    runRow(row, "single", reused, row.single, row.arrivalsSingle);
  }
}
/// A request that may have been executed: reported as unknown, and retried only if it is repeatable and has attempts
/// left.
Row mayHaveRun(const char* name, WorkerAction action) { return Row{name, std::move(action), 502, 200, 502, 1, 2, 1}; }

}  // namespace

Test(call_table, body_sent_without_a_response) {
  runOnAllRoutes(mayHaveRun("reset before the first byte", resetConnection));
  runOnAllRoutes(mayHaveRun("close before the first byte", closeConnection));
}
Test(call_table, an_incomplete_head) {
  runOnAllRoutes(mayHaveRun("reset in the head", sendThen(partialHead, resetConnection)));
  runOnAllRoutes(mayHaveRun("close in the head", sendThen(partialHead, closeConnection)));
  runOnAllRoutes(mayHaveRun("close after an interim head", sendThen("HTTP/1.1 100 Continue\r\n\r\n", closeConnection)));
  runOnAllRoutes(mayHaveRun("not an HTTP response", sendThen("garbage\r\n\r\n", closeConnection)));
  runOnAllRoutes(
      mayHaveRun("other protocol", sendThen("HTTP/1.1 101 Switching Protocols\r\n@\r\nbytes", closeConnection)));
}
Test(call_table, a_complete_head_without_a_body) {
  runOnAllRoutes(mayHaveRun("reset after the head", sendThen(completeHead, resetConnection)));
  runOnAllRoutes(mayHaveRun("close after the head", sendThen(completeHead, closeConnection)));
}
Test(call_table, an_incomplete_response_body) {
  runOnAllRoutes(Row{"close in the body", sendThen(completeHead + "first", closeConnection), 0, 0, 0, 1, 1, 1});
  runOnAllRoutes(Row{"reset in the body",
                     [](const RawServer::ConnectionPtr& held, const std::string& request) {
                       held->say("HTTP/1.1 200 OK\r\n" + workerHeaders(request) + "Content-Length: 9\r\n\r\nfirst");
                       held->close();
                     },
                     0, 0, 0, 1, 1, 1});
  runOnAllRoutes(Row{"close in a chunk",
                     sendThen("HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n9\r\nfirst", closeConnection), 0,
                     0, 0, 1, 1, 1});
  runOnAllRoutes(Row{"close before the last chunk",
                     sendThen("HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n", closeConnection),
                     0, 0, 0, 1, 1, 1});
}
Test(call_table, complete_responses) {
  runOnAllRoutes(Row{"success", respondWith("200 OK", ""), 200, 200, 200, 1, 1, 1});
  runOnAllRoutes(Row{"a surplus response in the same segment",
                     [](const RawServer::ConnectionPtr& held, const std::string& request) {
                       held->say(okResponse(request, "first") +
                                 successResponse("surplus", workerHeaders(request, "seal-9")));
                     },
                     200, 200, 200, 1, 1, 1});
  runOnAllRoutes(Row{"reset after the last byte",
                     [](const RawServer::ConnectionPtr& held, const std::string& request) {
                       held->say(okResponse(request, "first", "seal-1", "Connection: close\r\n"));
                       held->close();
                     },
                     200, 200, 200, 1, 1, 1});
  runOnAllRoutes(Row{"an error status of the worker", respondWith("500 Failed", ""), 500, 500, 500, 1, 1, 1});
  runOnAllRoutes(Row{"a timeout status of the worker", respondWith("504 Late", ""), 504, 504, 504, 1, 1, 1});
  runOnAllRoutes(Row{"a client error status of the worker", respondWith("400 Bad", ""), 400, 400, 400, 1, 1, 1});
}
Test(call_table, responses_to_another_request) {
  runOnAllRoutes(mayHaveRun("another attempt id", [](const RawServer::ConnectionPtr& held, const std::string&) {
    held->say(successResponse("first", "X-Attempt-Id: other\r\nX-Server-Seal: seal-1\r\n"));
  }));
  runOnAllRoutes(mayHaveRun("no attempt id", [](const RawServer::ConnectionPtr& held, const std::string&) {
    held->say(successResponse("first", "X-Server-Seal: seal-1\r\n"));
  }));
  runOnAllRoutes(mayHaveRun("an empty attempt id", [](const RawServer::ConnectionPtr& held, const std::string&) {
    held->say(successResponse("first", "X-Attempt-Id:\r\nX-Server-Seal: seal-1\r\n"));
  }));
  runOnAllRoutes(mayHaveRun("two attempt ids", [](const RawServer::ConnectionPtr& held, const std::string& request) {
    held->say(okResponse(request, "first", "seal-1", "X-Attempt-Id: other\r\n"));
  }));
  runOnAllRoutes(
      mayHaveRun("a rejection of another request", [](const RawServer::ConnectionPtr& held, const std::string&) {
        held->say("HTTP/1.1 503 Full\r\nX-Attempt-Id: other\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      }));
  runOnAllRoutes(
      mayHaveRun("a rejection without an attempt id", [](const RawServer::ConnectionPtr& held, const std::string&) {
        held->say("HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      }));
}
Test(call_table, invalid_responses) {
  runOnAllRoutes(mayHaveRun("no seal", respondWith("200 OK", "", false)));
  runOnAllRoutes(mayHaveRun("an empty seal", respondWith("200 OK", "X-Server-Seal:\r\n", false)));
  runOnAllRoutes(mayHaveRun("an encoded body", respondWith("200 OK", "Content-Encoding: gzip\r\n")));
  runOnAllRoutes(mayHaveRun("a body without an end", sendThen("HTTP/1.1 200 OK\r\n@\r\nfirst", closeConnection)));
  runOnAllRoutes(mayHaveRun("two lengths", respondWith("200 OK", "Content-Length: 4\r\n")));
}
Test(call_table, rejections_without_x_not_executed) {
  for (const char* status : {"503 Full", "429 Many", "408 Slow"})
    runOnAllRoutes(mayHaveRun(status, respondWith(status, "Retry-After: 0.1\r\n")));
}
Test(call_table, rejections_with_x_not_executed) {
  for (const char* status : {"503 Full", "429 Many", "400 Bad"})
    runOnAllRoutes(Row{status, respondWith(status, "X-Not-Executed: 1\r\n"), 200, 200, 503, 2, 2, 1});
  runOnAllRoutes(Row{"421", respondWith("421 Other", ""), 200, 200, 503, 2, 2, 1});
}

Test(call_table, a_silent_worker_times_out_with_an_unknown_outcome) {
  for (const std::string& sent : {std::string(), partialHead, completeHead, completeHead + "first"}) {
    ProxyHarness harness;
    harness.script = [&](const RawServer::ConnectionPtr& held, const std::string& request) {
      std::string text = sent;
      if (auto at = text.find("@"); at != std::string::npos) text.replace(at, 1, workerHeaders(request));
      held->say(text);
    };
    std::vector<std::shared_ptr<ProxyHarness::Client>> clients;
    for (const char* route : {"/once/x", "/safe/x", "/single/x"})
      clients.push_back(harness.begin(route, "X-Deadline-Ms: 50\r\n"));
    for (const auto& client : clients) {
      auto response = harness.finish(client);
      if (sent.size() > completeHead.size()) {
        cr_expect_not(response.complete, "%s", response.text.c_str());
      } else {
        cr_expect_eq(response.status, 502, "status %d after '%s'", response.status, sent.c_str());
        cr_expect_eq(response.header("X-Server-Seal"), "");
      }
    }
    cr_expect_eq(harness.arrivals, 3u, "a request must not be retried after a timeout");
    cr_expect(harness.until([&] {
      for (const auto& server : harness.servers)
        for (const auto& held : server->connections)
          if (!held->ended) return false;
      return true;
    }),
              "the connections to silent workers must be closed");
  }
}

Test(call_table, a_refused_connection_is_not_an_attempt_at_the_worker) {
  ProxyHarness harness;
  harness.script = [&](const RawServer::ConnectionPtr& held, const std::string& request) {
    held->say(okResponse(request, "own"));
  };
  harness.ask("/safe/x");
  std::size_t busy = harness.servers[0]->connections.empty() ? 1 : 0;
  harness.servers[busy]->shut();
  for (const char* route : {"/once/x", "/safe/x", "/single/x"}) {
    auto response = harness.ask(route);
    cr_expect_eq(response.status, 200, "%s: status %d", route, response.status);
    cr_expect_eq(response.body, "own");
  }
  cr_expect_eq(harness.arrivals, 4u);
}

Test(call_table, a_late_surplus_response_is_not_taken_for_that_to_the_next_request) {
  for (const char* route : {"/once/x", "/safe/x"}) {
    ProxyHarness harness;
    std::string warm;
    bool sent = false;
    harness.script = [&](const RawServer::ConnectionPtr& held, const std::string& request) {
      if (request.find("/safe/warm") != std::string::npos) {
        warm = request;
        return held->say(okResponse(request, "warm"));
      }
      if (!std::exchange(sent, true)) held->say(okResponse(warm, "surplus", "seal-9"));
      held->say(okResponse(request, "own"));
    };
    harness.ask("/safe/warm");
    auto response = harness.ask(route);
    bool once = std::string(route) == "/once/x";
    cr_expect_eq(response.status, once ? 502 : 200, "%s: status %d", route, response.status);
    if (!once) cr_expect_eq(response.body, "own");
    cr_expect_eq(harness.arrivals, once ? 2u : 3u);
    auto next = harness.ask("/safe/next");
    cr_expect_eq(next.status, 200);
    cr_expect_eq(next.body, "own", "surplus bytes on the worker's connections must be discarded");
  }
}

Test(call_table, bytes_on_an_idle_connection_belong_to_no_request) {
  ProxyHarness harness;
  harness.script = [&](const RawServer::ConnectionPtr& held, const std::string& request) {
    held->say(okResponse(request, "own"));
  };
  harness.ask("/safe/warm");
  for (const auto& server : harness.servers)
    for (const auto& held : server->connections)
      held->say(successResponse("surplus", "X-Attempt-Id: a-2\r\nX-Server-Seal: s\r\n"));
  harness.pass(10ms);
  auto response = harness.ask("/once/x");
  cr_expect_eq(response.status, 200);
  cr_expect_eq(response.body, "own");
  cr_expect_eq(harness.calls->connectionsOpened(), 2u);
}

Test(call_table, a_request_without_an_id_accepts_only_a_response_without_one) {
  ProxyHarness harness;
  std::string id;
  harness.script = [&](const RawServer::ConnectionPtr& held, const std::string&) {
    held->say("HTTP/1.1 400 No id\r\n" + id + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  };
  cr_expect_eq(harness.ask("/once/x", "X-Attempt-Id:\r\n").status, 503, "the workers report that it was not executed");
  id = "X-Attempt-Id: other\r\n";
  harness.pass(250ms);
  cr_expect_eq(harness.ask("/once/x", "X-Attempt-Id:\r\n").status, 502);
}

Test(call_table, a_proxy_that_was_suspended_sends_nothing_while_stale) {
  auto original = timing.maxStaleness;
  timing.maxStaleness = 400ms;
  ProxyHarness harness;
  harness.script = [&](const RawServer::ConnectionPtr& held, const std::string& request) {
    held->say(okResponse(request, "own"));
  };
  auto client = harness.begin("/once/x");
  cr_assert(harness.until([&] { return harness.exchanges->open() == 1; }));
  harness.feedEnabled = false;
  std::this_thread::sleep_for(timing.maxStaleness + 100ms);
  auto response = harness.finish(client);
  timing.maxStaleness = original;
  cr_expect_eq(response.status, 503, "status %d", response.status);
  cr_expect_eq(harness.arrivals, 0u, "nothing may be sent after the suspension");
}

Test(call_table, a_worker_address_that_is_used_by_another_worker) {
  ProxyHarness harness;
  harness.script = [&](const RawServer::ConnectionPtr& held, const std::string& request) {
    if (request.find("warm") != std::string::npos) return held->say(okResponse(request, "warm"));
    std::string target = headerIn(request, "X-Target-Instance");
    if (target != "w9")
      return held->say("HTTP/1.1 421 Other\r\nX-Attempt-Id: " + headerIn(request, "X-Attempt-Id") +
                       "\r\nContent-Length: 0\r\n\r\n");
    held->say(okResponse(request, "own"));
  };
  harness.ask("/safe/warm");
  auto response = harness.ask("/once/x");
  cr_expect_eq(response.status, 503, "every worker responds with 421, so the request was not executed");
  cr_expect_eq(harness.arrivals, 3u);
}

namespace {

const std::string streamHead =
    "HTTP/1.1 200 OK\r\n@Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
std::string streamFor(const std::string& request, const std::string& seal) {
  std::string text = streamHead;
  return text.replace(text.find("@"), 1, workerHeaders(request, seal));
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
/// The first worker of a stream sends events 1 and 2 and partialHead of 3 and closeConnection the connection; the later
/// attempts run the given actions.
struct StreamHarness : ProxyHarness {
  std::vector<WorkerAction> laterActions;
  std::vector<std::string> resumedAfter;
  std::string firstEvents = events(1, 2) + "id: 3\ndata: pi";
  explicit StreamHarness(std::vector<WorkerAction> actions) : ProxyHarness(4), laterActions(std::move(actions)) {
    script = [this](const RawServer::ConnectionPtr& held, const std::string& request) {
      resumedAfter.push_back(headerIn(request, "Last-Event-Id"));
      if (resumedAfter.size() == 1) {
        held->say(streamFor(request, "seal-1") + piece(firstEvents));
        return held->close();
      }
      if (resumedAfter.size() - 2 < laterActions.size()) laterActions[resumedAfter.size() - 2](held, request);
    };
  }
};
void resumeStream(const RawServer::ConnectionPtr& held, const std::string& request) {
  held->say(streamFor(request, "seal-2") + piece(events(3, 5)) + "0\r\n\r\n");
}

}  // namespace

Test(call_streams, a_resumed_stream_has_each_event_once_and_the_first_worker_s_headers) {
  StreamHarness harness({resumeStream});
  auto response = harness.ask("/resume/x");
  cr_expect_eq(response.status, 200);
  cr_expect(response.complete);
  cr_expect_eq(response.header("X-Server-Seal"), "seal-1");
  cr_expect_eq(response.body, events(1, 5), "%s", response.body.c_str());
  cr_assert_eq(harness.resumedAfter.size(), 2u);
  cr_expect_eq(harness.resumedAfter[1], "2");
}

Test(call_streams, a_response_without_a_stream_or_seal_does_not_resume_a_stream) {
  StreamHarness harness({[](const RawServer::ConnectionPtr& held, const std::string& request) {
                           held->say(okResponse(request, "no stream"));
                         },
                         [](const RawServer::ConnectionPtr& held, const std::string& request) {
                           held->say("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + headerIn(request, "X-Attempt-Id") +
                                     "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
                                     piece(events(3, 5)) + "0\r\n\r\n");
                         }});
  auto response = harness.ask("/resume/x");
  cr_expect_not(response.complete, "no attempts are left");
  cr_expect_eq(response.body, events(1, 2), "%s", response.body.c_str());
  cr_expect_eq(harness.resumedAfter.size(), 3u);
}

Test(call_streams, a_run_that_restarts_does_not_resume_a_stream) {
  StreamHarness harness({[](const RawServer::ConnectionPtr& held, const std::string& request) {
                           held->say(streamFor(request, "seal-2") + piece(events(1, 5)) + "0\r\n\r\n");
                         },
                         resumeStream});
  auto response = harness.ask("/resume/x");
  cr_expect(response.complete);
  cr_expect_eq(response.body, events(1, 5), "%s", response.body.c_str());
}

Test(call_streams, a_stream_without_event_ids_is_not_resumed) {
  for (const std::string& sent : {std::string(": well\n\n"), std::string("data: piece\n\n")}) {
    StreamHarness harness({[](const RawServer::ConnectionPtr& held, const std::string& request) {
      held->say(streamFor(request, "seal-2") + piece(events(1, 5)) + "0\r\n\r\n");
    }});
    harness.firstEvents = sent;
    auto response = harness.ask("/resume/x");
    cr_expect_not(response.complete);
    cr_expect_eq(response.body, sent);
    cr_expect_eq(harness.resumedAfter.size(), 1u);
  }
}

Test(call_streams, a_stream_that_may_not_be_resumed_is_cut) {
  StreamHarness harness({resumeStream});
  auto response = harness.ask("/stream/x");
  cr_expect_not(response.complete);
  cr_expect_eq(response.body, events(1, 2));
  cr_expect_eq(harness.resumedAfter.size(), 1u);
}

Test(call_streams, a_stream_is_not_resumed_at_a_worker_that_drains_meanwhile) {
  StreamHarness harness({resumeStream});
  std::string first;
  auto original = harness.script;
  harness.script = [&](const RawServer::ConnectionPtr& held, const std::string& request) {
    if (first.empty()) {
      first = headerIn(request, "X-Target-Instance");
      std::vector<Machine> machines;
      for (std::size_t number = 0; number < harness.servers.size(); ++number) {
        Machine machine;
        machine.name = "w" + std::to_string(number);
        machine.address = harness.servers[number]->address();
        machine.zone = "north-a";
        machine.kind = "language";
        machine.service = "mill";
        machine.leaving = number != 3;
        machines.push_back(machine);
      }
      harness.host->handle("agent:1", MarksMsg{0, machines});
    } else {
      cr_expect_eq(headerIn(request, "X-Target-Instance"), "w3");
    }
    original(held, request);
  };
  auto response = harness.ask("/resume/x");
  cr_assert_neq(first, "w3", "the first attempt must not go to the only worker that does not drain");
  cr_expect(response.complete);
  cr_expect_eq(response.body, events(1, 5));
}

Test(call_table, a_reset_while_the_request_body_is_sent) {
  for (const char* route : {"/once/x", "/safe/x"}) {
    ProxyHarness harness;
    bool wasReset = false;
    harness.script = [&](const RawServer::ConnectionPtr& held, const std::string& request) {
      held->say(okResponse(request, "own"));
    };
    for (const auto& server : harness.servers)
      server->onPiece = [&](const RawServer::ConnectionPtr& held) {
        if (held->got.size() > 60000 && !std::exchange(wasReset, true)) held->reset();
      };
    auto response = harness.ask(route, {}, std::string(2u << 20, 'x'));
    bool once = std::string(route) == "/once/x";
    cr_expect_eq(response.status, once ? 502 : 200, "%s: status %d", route, response.status);
    cr_expect_eq(harness.copies("POST " + std::string(route)), once ? 1u : 2u);
  }
}

Test(call_table, a_proxy_frozen_between_write_and_read_gives_each_request_its_own_response_or_none) {
  for (const char* deadline : {"4000", "20"}) {
    ProxyHarness harness;
    harness.script = [&](const RawServer::ConnectionPtr& held, const std::string& request) {
      held->say(okResponse(request, "body of " + headerIn(request, "X-Attempt-Id")));
    };
    std::vector<std::shared_ptr<ProxyHarness::Client>> clients;
    for (const char* route : {"/once/x", "/safe/x", "/once/y"})
      clients.push_back(harness.begin(route, std::string("X-Deadline-Ms: ") + deadline + "\r\n"));
    cr_assert(harness.until([&] { return harness.arrivals == 3; }));
    std::this_thread::sleep_for(350ms);
    for (std::size_t number = 0; number < clients.size(); ++number) {
      auto response = harness.finish(clients[number]);
      if (response.status == 200)
        cr_expect_eq(response.body, "body of a-" + std::to_string(number + 1));
      else
        cr_expect_eq(response.status, 502, "status %d", response.status);
      if (std::string(deadline) == "4000") cr_expect_eq(response.status, 200);
    }
    cr_expect_eq(harness.arrivals, 3u, "nothing may be sent again");
  }
}
