#include "raw_server.hpp"

using namespace tt;
using namespace raw;

namespace {

/// The server reads the second request on a reused connection completely and closes it without a byte of response. The
/// call must end as broken, as the request may have been processed, and libcurl must not send it again.
void expectNotResent(const std::string& method, const std::string& body, bool byReset) {
  Bench bench;
  RawServer server(bench.io, [&](const RawServer::ConnectionPtr& held, const std::string& request) {
    if (request.find("/first") != std::string::npos || held->number > 0) return held->say(successResponse("fine"));
    if (byReset) return held->reset();
    held->close();
  });
  cr_assert(bench.finish(bench.call(server, "/first"))->end.outcome == HttpCallOutcome::complete);
  auto call = bench.call(server, "/second", method, body);
  call.once = true;
  auto seen = bench.finish(call);
  bench.pass(20ms);
  cr_assert_eq(seen->ends, 1);
  cr_assert_eq(server.copies("/second"), 1u, "one copy over all connections, not %zu", server.copies("/second"));
  cr_assert(seen->end.outcome == HttpCallOutcome::broken);
  cr_assert(!seen->end.errorMessage.empty());
  cr_assert_eq(seen->heads, 0);
  cr_assert_eq(bench.calls.connectionsOpened(), 1u, "the request was sent on the reused connection");
}

}  // namespace

Test(calls, call_marked_once_is_not_resent_when_a_reused_connection_closes) {
  expectNotResent("POST", "some body", false);
  expectNotResent("POST", "some body", true);
}
Test(calls, call_marked_once_without_a_body_is_not_resent) {
  expectNotResent("GET", "", false);
  expectNotResent("POST", "", false);
  expectNotResent("DELETE", "", true);
}
Test(calls, call_marked_once_with_a_large_body_is_not_resent) {
  expectNotResent("POST", std::string(3u << 20, 'x'), false);
  expectNotResent("POST", std::string(100u << 10, 'x'), true);
}

Test(calls, call_marked_once_is_not_resent_over_another_idle_connection) {
  Bench bench;
  std::vector<RawServer::ConnectionPtr> waiting;
  RawServer server(bench.io, [&](const RawServer::ConnectionPtr& held, const std::string& request) {
    if (request.find("/first") == std::string::npos) return held->close();
    waiting.push_back(held);
    if (waiting.size() == 8)
      for (auto& each : waiting) each->say(successResponse("fine"));
  });
  std::vector<std::shared_ptr<CallRecord>> firsts;
  for (int count = 0; count < 8; ++count) firsts.push_back(bench.start(bench.call(server, "/first")));
  cr_assert(bench.until(
      [&] { return std::all_of(firsts.begin(), firsts.end(), [](const auto& each) { return each->ends == 1; }); }));
  cr_assert_eq(bench.calls.connectionsOpened(), 8u);
  auto call = bench.call(server, "/second", "POST", "some body");
  call.once = true;
  auto seen = bench.finish(call);
  bench.pass(20ms);
  cr_assert(seen->end.outcome == HttpCallOutcome::broken);
  cr_assert_eq(server.copies("/second"), 1u);
  cr_assert_eq(server.copies("some body"), 1u);
}

Test(calls, call_marked_once_interrupted_within_its_body_is_not_resent) {
  Bench bench;
  RawServer server(
      bench.io, [](const RawServer::ConnectionPtr& held, const std::string&) { held->say(successResponse("fine")); });
  server.onPiece = [](const RawServer::ConnectionPtr& held) {
    if (held->got.find("/second") != std::string::npos) held->reset();
  };
  cr_assert(bench.finish(bench.call(server, "/first"))->end.outcome == HttpCallOutcome::complete);
  auto call = bench.call(server, "/second", "POST", std::string(8u << 20, 'x'));
  call.once = true;
  auto seen = bench.finish(call);
  bench.pass(20ms);
  cr_assert(seen->end.outcome == HttpCallOutcome::broken);
  cr_assert_eq(server.copies("/second"), 1u);
}

Test(calls, control_call_not_marked_once_is_resent_by_the_library) {
  Bench bench;
  RawServer server(bench.io, [&](const RawServer::ConnectionPtr& held, const std::string& request) {
    if (request.find("/first") != std::string::npos || held->number > 0) return held->say(successResponse("fine"));
    held->close();
  });
  bench.finish(bench.call(server, "/first"));
  auto seen = bench.finish(bench.call(server, "/second", "POST", "some body"));
  cr_assert(seen->end.outcome == HttpCallOutcome::complete);
  cr_assert_eq(server.copies("/second"), 2u);
}

Test(calls, idle_connection_closed_by_the_peer_is_not_reused) {
  for (bool byReset : {false, true}) {
    Bench bench;
    RawServer server(
        bench.io, [](const RawServer::ConnectionPtr& held, const std::string&) { held->say(successResponse("fine")); });
    cr_assert(bench.finish(bench.call(server, "/first"))->end.outcome == HttpCallOutcome::complete);
    byReset ? server.connections[0]->reset() : server.connections[0]->close();
    bench.pass(10ms);
    auto call = bench.call(server, "/second", "POST", "some body");
    call.once = true;
    auto seen = bench.finish(call);
    cr_assert(seen->end.outcome == HttpCallOutcome::complete);
    cr_assert_eq(seen->body, "fine");
    cr_assert_eq(server.copies("/second"), 1u);
    cr_assert_eq(bench.calls.connectionsOpened(), 2u);
  }
}

Test(calls, unsolicited_bytes_on_an_idle_connection_are_not_a_response) {
  for (bool closes : {false, true}) {
    Bench bench;
    RawServer server(
        bench.io, [](const RawServer::ConnectionPtr& held, const std::string&) { held->say(successResponse("fine")); });
    cr_assert(bench.finish(bench.call(server, "/first"))->end.outcome == HttpCallOutcome::complete);
    server.connections[0]->say("HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n");
    if (closes) server.connections[0]->close();
    bench.pass(10ms);
    auto call = bench.call(server, "/second", "POST", "some body");
    call.once = true;
    auto seen = bench.finish(call);
    cr_assert(seen->end.outcome == HttpCallOutcome::complete);
    cr_assert_eq(seen->head.status, 200, "got %d", seen->head.status);
    cr_assert_eq(server.copies("/second"), 1u);
  }
}

Test(calls, refused_and_timed_out_connections_end_as_unsent) {
  Bench bench;
  std::string address;
  {
    asio::ip::tcp::acceptor gone(bench.io, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    address = "127.0.0.1:" + std::to_string(gone.local_endpoint().port());
  }
  HttpClientRequest call;
  call.address = address;
  auto seen = bench.finish(call);
  cr_assert(seen->end.outcome == HttpCallOutcome::unsent);
  cr_assert(!seen->end.errorMessage.empty());

  // With a full accept queue, no further connection is established.
  asio::ip::tcp::acceptor full(bench.io, asio::ip::tcp::v4());
  full.bind(asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  full.listen(0);
  std::vector<asio::ip::tcp::socket> queued;
  for (int count = 0; count < 4; ++count) {
    queued.emplace_back(bench.io);
    queued.back().async_connect(full.local_endpoint(), [](const asio::error_code&) {});
  }
  bench.pass(5ms);
  call.address = "127.0.0.1:" + std::to_string(full.local_endpoint().port());
  call.connectTimeout = 40ms;
  seen = bench.finish(call);
  cr_assert(seen->end.outcome == HttpCallOutcome::unsent);
  cr_assert_eq(bench.calls.connectionsOpened(), 0u);
}

Test(calls, invalid_call_ends_as_unsent_after_start_returned) {
  Bench bench;
  std::vector<HttpClientRequest> wrong(5);
  for (auto& call : wrong) call.address = "127.0.0.1:1";
  wrong[0].address = "localhost:80";
  wrong[1].target = "/a b";
  wrong[2].headers = {{"X-A", "1\r\nX-B: 2"}};
  wrong[3].method = "GET /";
  wrong[4].headers = {{"X A", "1"}};
  for (auto& call : wrong) {
    auto seen = bench.start(call);
    cr_assert_eq(seen->ends, 0);
    cr_assert(bench.until([&] { return seen->ends == 1; }));
    cr_assert(seen->end.outcome == HttpCallOutcome::unsent);
  }
  auto dropped = bench.start(wrong[0]);
  bench.calls.drop(dropped->id);
  bench.pass(5ms);
  cr_assert_eq(dropped->ends, 0);
}

Test(calls, request_is_sent_byte_for_byte) {
  Bench bench;
  std::string got;
  RawServer server(bench.io, [&](const RawServer::ConnectionPtr& held, const std::string& request) {
    got = request;
    held->say(successResponse(""));
  });
  auto call = bench.call(server, "/a/../b/./%7Ec//d?q=%20&r=[x]|{y}", "POST", "{\"a\": 1}");
  call.headers = {{"x-Lower", "1"},
                  {"X-UPPER", "two  words "},
                  {"Accept", "text/event-stream"},
                  {"x-empty", ""},
                  {"x-Lower", "again"}};
  bench.finish(call);
  cr_assert_eq(
      got, "POST /a/../b/./%7Ec//d?q=%20&r=[x]|{y} HTTP/1.1\r\nHost: " + server.address() +
               "\r\nx-Lower: 1\r\nX-UPPER: two  words \r\nAccept: text/event-stream\r\nx-empty:\r\nx-Lower: again\r\n"
               "Content-Length: 8\r\n\r\n{\"a\": 1}");

  bench.finish(bench.call(server, "/plain"));
  cr_assert_eq(got, "GET /plain HTTP/1.1\r\nHost: " + server.address() + "\r\n\r\n");
  bench.finish(bench.call(server, "/plain", "PUT"));
  cr_assert_eq(got, "PUT /plain HTTP/1.1\r\nHost: " + server.address() + "\r\nContent-Length: 0\r\n\r\n");

  call = bench.call(server, "/hosted", "POST", std::string(2u << 20, 'x'));
  call.headers = {{"Host", "models.example"},
                  {"Content-Length", "3"},
                  {"Transfer-Encoding", "chunked"},
                  {"Expect", "100-continue"}};
  bench.finish(call);
  cr_assert_eq(headOf(got), "POST /hosted HTTP/1.1\r\nHost: models.example\r\nContent-Length: 2097152\r\n\r\n");
  cr_assert_eq(got.size(), headOf(got).size() + (2u << 20));
}

Test(calls, response_is_delivered_unchanged) {
  Bench bench;
  RawServer server(bench.io, [&](const RawServer::ConnectionPtr& held, const std::string& request) {
    if (request.find("HEAD") == 0) return held->say("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n");
    held->say(
        "HTTP/1.1 103 Early Hints\r\nLink: early\r\n\r\nHTTP/1.1 302 Found\r\nLocation: /elsewhere\r\nx-odd-Case: "
        "One\r\n"
        "X-Twice: a\r\nX-Twice: b\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\n\x1f\x8b!!");
  });
  auto seen = bench.finish(bench.call(server));
  cr_assert(seen->end.outcome == HttpCallOutcome::complete);
  cr_assert_eq(seen->heads, 1);
  cr_assert_eq(seen->head.status, 302);
  HttpHeaders expected{{"Location", "/elsewhere"}, {"x-odd-Case", "One"},        {"X-Twice", "a"},
                       {"X-Twice", "b"},           {"Content-Encoding", "gzip"}, {"Content-Length", "4"}};
  cr_assert(seen->head.headers == expected);
  cr_assert(seen->end.head.headers == expected);
  cr_assert_eq(*seen->head.find("X-ODD-case"), "One");
  cr_assert_null(seen->head.find("Link"));
  cr_assert_eq(seen->body, "\x1f\x8b!!");
  auto headOnly = bench.finish(bench.call(server, "/", "HEAD"));
  cr_assert(headOnly->end.outcome == HttpCallOutcome::complete);
  cr_assert_eq(*headOnly->head.find("content-length"), "99");
  cr_assert_eq(headOnly->body, "");
  cr_assert_eq(bench.calls.connectionsOpened(), 1u);
}

Test(calls, chunks_are_delivered_as_they_arrive) {
  Bench bench;
  RawServer::ConnectionPtr open;
  RawServer server(bench.io, [&](const RawServer::ConnectionPtr& held, const std::string&) {
    open = held;
    held->say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  });
  auto seen = bench.start(bench.call(server));
  cr_assert(bench.until([&] { return seen->heads == 1; }), "the head comes before any of the body");
  for (std::size_t count = 1; count <= 5; ++count) {
    open->say("7\r\npiece " + std::to_string(count) + "\r\n");
    cr_assert(bench.until([&] { return seen->pieces.size() == count; }));
    cr_assert_eq(seen->pieces.back(), "piece " + std::to_string(count));
    cr_assert_eq(seen->ends, 0);
  }
  open->say("0\r\nX-Trailer: 1\r\n\r\n");
  cr_assert(bench.until([&] { return seen->ends == 1; }));
  cr_assert(seen->end.outcome == HttpCallOutcome::complete);
  cr_assert_eq(seen->heads, 1);
  cr_assert_null(seen->end.head.find("X-Trailer"));
}

Test(calls, truncated_responses_end_as_broken) {
  const std::vector<std::string> cut{
      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfive.",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfive.\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfi",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfive.\r\n0\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
      "HTTP/1.1 200",
      "HTTP/1.1 100 Continue\r\n\r\n",
      "no HTTP at all\r\n\r\n",
      "",
  };
  for (const auto& text : cut) {
    for (bool kept : {false, true}) {
      Bench bench;
      RawServer server(bench.io, [&](const RawServer::ConnectionPtr& held, const std::string& request) {
        if (request.find("/first") != std::string::npos) return held->say(successResponse("fine"));
        held->say(text);
        held->close();
      });
      if (kept) bench.finish(bench.call(server, "/first"));
      auto call = bench.call(server, "/second");
      call.once = true;
      auto seen = bench.finish(call);
      cr_assert(seen->end.outcome == HttpCallOutcome::broken, "must be broken: %s", text.c_str());
      cr_assert_eq(server.copies("/second"), 1u, "sent again after: %s", text.c_str());
    }
  }
}

Test(calls, body_without_a_length_ends_with_the_connection) {
  Bench bench;
  RawServer server(bench.io, [&](const RawServer::ConnectionPtr& held, const std::string&) {
    held->say("HTTP/1.1 200 OK\r\n\r\nuntil the close");
    held->close();
  });
  auto seen = bench.finish(bench.call(server));
  cr_assert(seen->end.outcome == HttpCallOutcome::complete);
  cr_assert_eq(seen->body, "until the close");
}

Test(calls, callbacks_may_drop_their_own_and_other_calls) {
  Bench bench;
  RawServer server(bench.io, [&](const RawServer::ConnectionPtr& held, const std::string& request) {
    if (request.find("/whole") != std::string::npos) return held->say(successResponse("fine"));
    held->say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfive.\r\n");
  });
  for (std::string where : {"head", "bytes", "end"}) {
    int heads = 0, pieces = 0, ends = 0;
    std::uint64_t own = 0;
    auto other = bench.start(bench.call(server, "/other"));
    cr_assert(bench.until([&] { return other->pieces.size() == 1; }));
    auto otherConnection = server.connections.back();
    std::shared_ptr<CallRecord> next;
    auto leave = [&](const std::string& at) {
      if (at != where) return;
      auto dropAtOnce = bench.start(bench.call(server, "/at-once"));
      bench.calls.drop(dropAtOnce->id);
      bench.calls.drop(own);
      bench.calls.drop(other->id);
      bench.calls.drop(own);
      next = bench.start(bench.call(server, "/whole/next"));
    };
    auto held = std::make_shared<std::string>("the callbacks keep this");
    own = bench.calls.start(
        bench.call(server, where == "end" ? "/whole/own" : "/own"),
        [&, held](const HttpResponseHead&) {
          ++heads;
          leave("head");
          cr_assert_eq(held->size(), 23u);
        },
        [&, held](std::string_view) {
          ++pieces;
          leave("bytes");
          cr_assert_eq(held->size(), 23u);
        },
        [&, held](const HttpCallResult&) {
          ++ends;
          leave("end");
          cr_assert_eq(held->size(), 23u);
        });
    cr_assert(bench.until([&] { return next && next->ends == 1; }));
    cr_assert(next->end.outcome == HttpCallOutcome::complete);
    cr_assert(bench.until([&] { return otherConnection->ended; }), "the dropped call's connection is closed");
    bench.pass(5ms);
    cr_assert_eq(heads, 1);
    cr_assert_eq(pieces, where == "head" ? 0 : 1);
    cr_assert_eq(ends, where == "end" ? 1 : 0);
    cr_assert_eq(other->ends, 0);
    cr_assert_eq(held.use_count(), 1, "the callbacks are let go");
  }
  cr_assert_eq(server.copies("/at-once"), 0u);
}

Test(calls, dropping_during_connect_and_destroying_with_open_calls_is_safe) {
  asio::io_context io;
  RawServer server(io, [](const RawServer::ConnectionPtr& held, const std::string&) {
    held->say("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
  });
  int callbacks = 0;
  {
    HttpClient calls(io);
    for (int count = 0; count < 20; ++count) {
      HttpClientRequest call;
      call.address = server.address();
      auto id = calls.start(call, {}, {}, [&](const HttpCallResult&) { ++callbacks; });
      for (int turn = 0; turn < count % 5; ++turn) io.poll_one();
      if (count % 2) calls.drop(id);
    }
    calls.drop(12345);
    io.run_for(10ms);
  }
  io.restart();
  io.run_for(10ms);
  cr_assert_eq(callbacks, 0);
}

Test(calls, many_calls_run_concurrently) {
  Bench bench;
  std::vector<RawServer::ConnectionPtr> waiting;
  RawServer server(bench.io, [&](const RawServer::ConnectionPtr& held, const std::string& request) {
    waiting.push_back(held);
    auto target = request.substr(5, request.find(" HTTP") - 5);
    held->say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    if (waiting.size() < 200) return;
    for (auto& each : waiting) {
      auto asked = each->got.substr(each->got.rfind("POST /") + 6);
      auto said = asked.substr(0, asked.find(' '));
      each->say("3\r\n" + said + "\r\n0\r\n\r\n");
    }
    waiting.clear();
  });
  for (int round = 0; round < 2; ++round) {
    std::vector<std::shared_ptr<CallRecord>> all;
    for (int count = 0; count < 200; ++count) {
      auto call = bench.call(server, "/" + std::to_string(100 + count), "POST", "body");
      call.once = count % 2;
      all.push_back(bench.start(call));
    }
    cr_assert(bench.until(
        [&] { return std::all_of(all.begin(), all.end(), [](const auto& each) { return each->ends == 1; }); }));
    for (int count = 0; count < 200; ++count) {
      cr_assert(all[static_cast<std::size_t>(count)]->end.outcome == HttpCallOutcome::complete);
      cr_assert_eq(all[static_cast<std::size_t>(count)]->body, std::to_string(100 + count));
    }
  }
  cr_assert_eq(bench.calls.connectionsOpened(), 200u, "the second round reuses the first one's connections");
  cr_assert_eq(bench.calls.callsStarted(), 400u);
}

Test(calls, successive_calls_share_a_connection) {
  Bench bench;
  RawServer server(bench.io, [](const RawServer::ConnectionPtr& held, const std::string&) {
    held->say(successResponse("fine", "Keep-Alive: timeout=5\r\n"));
  });
  for (int count = 0; count < 50; ++count) {
    auto call = bench.call(server, "/", count % 2 ? "POST" : "GET", count % 2 ? "body" : "");
    call.once = count % 3 == 0;
    cr_assert(bench.finish(call)->end.outcome == HttpCallOutcome::complete);
  }
  cr_assert_eq(bench.calls.connectionsOpened(), 1u);
  cr_assert_eq(server.connections.size(), 1u);
  cr_assert_eq(bench.calls.callsStarted(), 50u);
}

Test(calls, connection_is_not_reused_if_its_keep_alive_is_one_second_or_less) {
  Bench bench;
  std::string told = "Keep-Alive: max=9, Timeout=1\r\n";
  RawServer server(bench.io, [&](const RawServer::ConnectionPtr& held, const std::string&) {
    held->say(successResponse("fine", told));
  });
  for (int count = 0; count < 3; ++count)
    cr_assert(bench.finish(bench.call(server))->end.outcome == HttpCallOutcome::complete);
  cr_assert_eq(bench.calls.connectionsOpened(), 3u);
  told = "Keep-Alive: timeout=30\r\n";
  bench.finish(bench.call(server));
  bench.finish(bench.call(server));
  cr_assert_eq(bench.calls.connectionsOpened(), 4u, "what the peer said last counts");
}

Test(calls, total_timeout_ends_a_call_as_broken) {
  Bench bench;
  RawServer server(bench.io, [](const RawServer::ConnectionPtr& held, const std::string& request) {
    if (request.find("/first") != std::string::npos) return held->say(successResponse("fine"));
    if (request.find("/begun") != std::string::npos) held->say("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfive.");
  });
  bench.finish(bench.call(server, "/first"));
  for (std::string target : {"/silent", "/begun"}) {
    auto call = bench.call(server, target, "POST", "body");
    call.totalTimeout = 30ms;
    call.once = true;
    auto from = Clock::now();
    auto seen = bench.finish(call);
    cr_assert(seen->end.outcome == HttpCallOutcome::broken);
    cr_assert_geq(toMilliseconds(Clock::now() - from), 29);
    cr_assert_lt(toMilliseconds(Clock::now() - from), 1000);
    cr_assert_eq(server.copies(target), 1u);
  }
}

Test(calls, reused_socket_number_gets_no_stale_wait) {
  Bench bench;
  RawServer server(bench.io, [](const RawServer::ConnectionPtr& held, const std::string& request) {
    held->say(successResponse("fine"));
    if (request.find("/close") != std::string::npos) held->close();
  });
  for (int count = 0; count < 100; ++count) {
    auto call = bench.call(server, count % 3 ? "/close" : "/keep");
    if (count % 4 == 0) call.headers = {{"Connection", "close"}};
    cr_assert(bench.finish(call)->end.outcome == HttpCallOutcome::complete);
    auto dropped = bench.start(bench.call(server, "/dropped"));
    bench.io.poll_one();
    bench.calls.drop(dropped->id);
  }
}
