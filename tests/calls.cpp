#include "raw_server.hpp"

using namespace tt;
using namespace raw;

namespace {

/// The server reads the second request on a reused connection completely, and then closes the connection without a byte
/// of response. The call must end as broken, because the request may have been processed, and it must not be sent
/// again.
void expectNotResent(const std::string& method, const std::string& body, bool byReset) {
  HttpClientHarness harness;
  RawServer server(harness.io, [&](const RawServer::ConnectionPtr& connection, const std::string& request) {
    if (request.find("/first") != std::string::npos || connection->number > 0)
      return connection->send(successResponse("fine"));
    if (byReset) return connection->reset();
    connection->close();
  });
  cr_assert(harness.finish(harness.call(server, "/first"))->end.outcome == HttpCallOutcome::complete);
  auto call = harness.call(server, "/second", method, body);
  call.noResend = true;
  auto seen = harness.finish(call);
  harness.runFor(20ms);
  cr_assert_eq(seen->ends, 1);
  cr_assert_eq(server.timesReceived("/second"), 1u, "received %zu times on all connections, not once",
               server.timesReceived("/second"));
  cr_assert(seen->end.outcome == HttpCallOutcome::broken);
  cr_assert(!seen->end.errorMessage.empty());
  cr_assert_eq(seen->heads, 0);
  cr_assert_eq(harness.calls.connectionsOpened(), 1u, "the request must be sent on the reused connection");
}

}  // namespace

Test(calls, call_with_no_resend_is_not_resent_when_a_reused_connection_closes) {
  expectNotResent("POST", "some body", false);
  expectNotResent("POST", "some body", true);
}
Test(calls, call_with_no_resend_without_a_body_is_not_resent) {
  expectNotResent("GET", "", false);
  expectNotResent("POST", "", false);
  expectNotResent("DELETE", "", true);
}
Test(calls, call_with_no_resend_with_a_large_body_is_not_resent) {
  expectNotResent("POST", std::string(3u << 20, 'x'), false);
  expectNotResent("POST", std::string(100u << 10, 'x'), true);
}

Test(calls, call_with_no_resend_is_not_resent_over_another_idle_connection) {
  HttpClientHarness harness;
  std::vector<RawServer::ConnectionPtr> waiting;
  RawServer server(harness.io, [&](const RawServer::ConnectionPtr& connection, const std::string& request) {
    if (request.find("/first") == std::string::npos) return connection->close();
    waiting.push_back(connection);
    if (waiting.size() == 8)
      for (auto& each : waiting) each->send(successResponse("fine"));
  });
  std::vector<std::shared_ptr<CallRecord>> firsts;
  for (int count = 0; count < 8; ++count) firsts.push_back(harness.start(harness.call(server, "/first")));
  cr_assert(harness.waitUntil(
      [&] { return std::all_of(firsts.begin(), firsts.end(), [](const auto& each) { return each->ends == 1; }); }));
  cr_assert_eq(harness.calls.connectionsOpened(), 8u);
  auto call = harness.call(server, "/second", "POST", "some body");
  call.noResend = true;
  auto seen = harness.finish(call);
  harness.runFor(20ms);
  cr_assert(seen->end.outcome == HttpCallOutcome::broken);
  cr_assert_eq(server.timesReceived("/second"), 1u);
  cr_assert_eq(server.timesReceived("some body"), 1u);
}

Test(calls, call_with_no_resend_interrupted_within_its_body_is_not_resent) {
  HttpClientHarness harness;
  RawServer server(harness.io, [](const RawServer::ConnectionPtr& connection, const std::string&) {
    connection->send(successResponse("fine"));
  });
  server.onRead = [](const RawServer::ConnectionPtr& connection) {
    if (connection->received.find("/second") != std::string::npos) connection->reset();
  };
  cr_assert(harness.finish(harness.call(server, "/first"))->end.outcome == HttpCallOutcome::complete);
  auto call = harness.call(server, "/second", "POST", std::string(8u << 20, 'x'));
  call.noResend = true;
  auto seen = harness.finish(call);
  harness.runFor(20ms);
  cr_assert(seen->end.outcome == HttpCallOutcome::broken);
  cr_assert_eq(server.timesReceived("/second"), 1u);
}

Test(calls, control_call_without_no_resend_is_resent_by_libcurl) {
  HttpClientHarness harness;
  RawServer server(harness.io, [&](const RawServer::ConnectionPtr& connection, const std::string& request) {
    if (request.find("/first") != std::string::npos || connection->number > 0)
      return connection->send(successResponse("fine"));
    connection->close();
  });
  harness.finish(harness.call(server, "/first"));
  auto seen = harness.finish(harness.call(server, "/second", "POST", "some body"));
  cr_assert(seen->end.outcome == HttpCallOutcome::complete);
  cr_assert_eq(server.timesReceived("/second"), 2u);
}

Test(calls, idle_connection_closed_by_the_peer_is_not_reused) {
  for (bool byReset : {false, true}) {
    HttpClientHarness harness;
    RawServer server(harness.io, [](const RawServer::ConnectionPtr& connection, const std::string&) {
      connection->send(successResponse("fine"));
    });
    cr_assert(harness.finish(harness.call(server, "/first"))->end.outcome == HttpCallOutcome::complete);
    byReset ? server.connections[0]->reset() : server.connections[0]->close();
    harness.runFor(10ms);
    auto call = harness.call(server, "/second", "POST", "some body");
    call.noResend = true;
    auto seen = harness.finish(call);
    cr_assert(seen->end.outcome == HttpCallOutcome::complete);
    cr_assert_eq(seen->body, "fine");
    cr_assert_eq(server.timesReceived("/second"), 1u);
    cr_assert_eq(harness.calls.connectionsOpened(), 2u);
  }
}

Test(calls, unsolicited_bytes_on_an_idle_connection_are_not_a_response) {
  for (bool closes : {false, true}) {
    HttpClientHarness harness;
    RawServer server(harness.io, [](const RawServer::ConnectionPtr& connection, const std::string&) {
      connection->send(successResponse("fine"));
    });
    cr_assert(harness.finish(harness.call(server, "/first"))->end.outcome == HttpCallOutcome::complete);
    server.connections[0]->send("HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n");
    if (closes) server.connections[0]->close();
    harness.runFor(10ms);
    auto call = harness.call(server, "/second", "POST", "some body");
    call.noResend = true;
    auto seen = harness.finish(call);
    cr_assert(seen->end.outcome == HttpCallOutcome::complete);
    cr_assert_eq(seen->head.status, 200, "got %d", seen->head.status);
    cr_assert_eq(server.timesReceived("/second"), 1u);
  }
}

Test(calls, refused_and_timed_out_connections_end_as_unsent) {
  HttpClientHarness harness;
  std::string address;
  {
    asio::ip::tcp::acceptor gone(harness.io, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    address = "127.0.0.1:" + std::to_string(gone.local_endpoint().port());
  }
  HttpClientRequest call;
  call.address = address;
  auto seen = harness.finish(call);
  cr_assert(seen->end.outcome == HttpCallOutcome::unsent);
  cr_assert(!seen->end.errorMessage.empty());

  // With a full accept queue, no further connection is established.
  asio::ip::tcp::acceptor full(harness.io, asio::ip::tcp::v4());
  full.bind(asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  full.listen(0);
  std::vector<asio::ip::tcp::socket> queued;
  for (int count = 0; count < 4; ++count) {
    queued.emplace_back(harness.io);
    queued.back().async_connect(full.local_endpoint(), [](const asio::error_code&) {});
  }
  harness.runFor(5ms);
  call.address = "127.0.0.1:" + std::to_string(full.local_endpoint().port());
  call.connectTimeout = 40ms;
  seen = harness.finish(call);
  cr_assert(seen->end.outcome == HttpCallOutcome::unsent);
  cr_assert_eq(harness.calls.connectionsOpened(), 0u);
}

Test(calls, invalid_call_ends_as_unsent_after_start_returned) {
  HttpClientHarness harness;
  std::vector<HttpClientRequest> wrong(5);
  for (auto& call : wrong) call.address = "127.0.0.1:1";
  wrong[0].address = "localhost:80";
  wrong[1].target = "/a b";
  wrong[2].headers = {{"X-A", "1\r\nX-B: 2"}};
  wrong[3].method = "GET /";
  wrong[4].headers = {{"X A", "1"}};
  for (auto& call : wrong) {
    auto seen = harness.start(call);
    cr_assert_eq(seen->ends, 0);
    cr_assert(harness.waitUntil([&] { return seen->ends == 1; }));
    cr_assert(seen->end.outcome == HttpCallOutcome::unsent);
  }
  auto dropped = harness.start(wrong[0]);
  harness.calls.drop(dropped->id);
  harness.runFor(5ms);
  cr_assert_eq(dropped->ends, 0);
}

Test(calls, request_is_sent_byte_for_byte) {
  HttpClientHarness harness;
  std::string got;
  RawServer server(harness.io, [&](const RawServer::ConnectionPtr& connection, const std::string& request) {
    got = request;
    connection->send(successResponse(""));
  });
  auto call = harness.call(server, "/a/../b/./%7Ec//d?q=%20&r=[x]|{y}", "POST", "{\"a\": 1}");
  call.headers = {{"x-Lower", "1"},
                  {"X-UPPER", "two  words "},
                  {"Accept", "text/event-stream"},
                  {"x-empty", ""},
                  {"x-Lower", "again"}};
  harness.finish(call);
  cr_assert_eq(
      got, "POST /a/../b/./%7Ec//d?q=%20&r=[x]|{y} HTTP/1.1\r\nHost: " + server.address() +
               "\r\nx-Lower: 1\r\nX-UPPER: two  words \r\nAccept: text/event-stream\r\nx-empty:\r\nx-Lower: again\r\n"
               "Content-Length: 8\r\n\r\n{\"a\": 1}");

  harness.finish(harness.call(server, "/plain"));
  cr_assert_eq(got, "GET /plain HTTP/1.1\r\nHost: " + server.address() + "\r\n\r\n");
  harness.finish(harness.call(server, "/plain", "PUT"));
  cr_assert_eq(got, "PUT /plain HTTP/1.1\r\nHost: " + server.address() + "\r\nContent-Length: 0\r\n\r\n");

  call = harness.call(server, "/hosted", "POST", std::string(2u << 20, 'x'));
  call.headers = {{"Host", "models.example"},
                  {"Content-Length", "3"},
                  {"Transfer-Encoding", "chunked"},
                  {"Expect", "100-continue"}};
  harness.finish(call);
  cr_assert_eq(headOf(got), "POST /hosted HTTP/1.1\r\nHost: models.example\r\nContent-Length: 2097152\r\n\r\n");
  cr_assert_eq(got.size(), headOf(got).size() + (2u << 20));
}

Test(calls, response_is_delivered_unchanged) {
  HttpClientHarness harness;
  RawServer server(harness.io, [&](const RawServer::ConnectionPtr& connection, const std::string& request) {
    if (request.find("HEAD") == 0) return connection->send("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n");
    connection->send(
        "HTTP/1.1 103 Early Hints\r\nLink: early\r\n\r\nHTTP/1.1 302 Found\r\nLocation: /elsewhere\r\nx-odd-Case: "
        "One\r\n"
        "X-Twice: a\r\nX-Twice: b\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\n\x1f\x8b!!");
  });
  auto seen = harness.finish(harness.call(server));
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
  auto headOnly = harness.finish(harness.call(server, "/", "HEAD"));
  cr_assert(headOnly->end.outcome == HttpCallOutcome::complete);
  cr_assert_eq(*headOnly->head.find("content-length"), "99");
  cr_assert_eq(headOnly->body, "");
  cr_assert_eq(harness.calls.connectionsOpened(), 1u);
}

Test(calls, chunks_are_delivered_as_they_arrive) {
  HttpClientHarness harness;
  RawServer::ConnectionPtr open;
  RawServer server(harness.io, [&](const RawServer::ConnectionPtr& connection, const std::string&) {
    open = connection;
    connection->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  });
  auto seen = harness.start(harness.call(server));
  cr_assert(harness.waitUntil([&] { return seen->heads == 1; }), "the head must be delivered before the body arrives");
  for (std::size_t count = 1; count <= 5; ++count) {
    open->send("7\r\npiece " + std::to_string(count) + "\r\n");
    cr_assert(harness.waitUntil([&] { return seen->pieces.size() == count; }));
    cr_assert_eq(seen->pieces.back(), "piece " + std::to_string(count));
    cr_assert_eq(seen->ends, 0);
  }
  open->send("0\r\nX-Trailer: 1\r\n\r\n");
  cr_assert(harness.waitUntil([&] { return seen->ends == 1; }));
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
      HttpClientHarness harness;
      RawServer server(harness.io, [&](const RawServer::ConnectionPtr& connection, const std::string& request) {
        if (request.find("/first") != std::string::npos) return connection->send(successResponse("fine"));
        connection->send(text);
        connection->close();
      });
      if (kept) harness.finish(harness.call(server, "/first"));
      auto call = harness.call(server, "/second");
      call.noResend = true;
      auto seen = harness.finish(call);
      cr_assert(seen->end.outcome == HttpCallOutcome::broken, "must be broken: %s", text.c_str());
      cr_assert_eq(server.timesReceived("/second"), 1u, "sent again after: %s", text.c_str());
    }
  }
}

Test(calls, body_without_a_length_ends_with_the_connection) {
  HttpClientHarness harness;
  RawServer server(harness.io, [&](const RawServer::ConnectionPtr& connection, const std::string&) {
    connection->send("HTTP/1.1 200 OK\r\n\r\nuntil the close");
    connection->close();
  });
  auto seen = harness.finish(harness.call(server));
  cr_assert(seen->end.outcome == HttpCallOutcome::complete);
  cr_assert_eq(seen->body, "until the close");
}

Test(calls, callbacks_may_drop_their_own_and_other_calls) {
  HttpClientHarness harness;
  RawServer server(harness.io, [&](const RawServer::ConnectionPtr& connection, const std::string& request) {
    if (request.find("/whole") != std::string::npos) return connection->send(successResponse("fine"));
    connection->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfive.\r\n");
  });
  for (std::string where : {"head", "bytes", "end"}) {
    int heads = 0, pieces = 0, ends = 0;
    std::uint64_t own = 0;
    auto other = harness.start(harness.call(server, "/other"));
    cr_assert(harness.waitUntil([&] { return other->pieces.size() == 1; }));
    auto otherConnection = server.connections.back();
    std::shared_ptr<CallRecord> next;
    auto leave = [&](const std::string& at) {
      if (at != where) return;
      auto dropAtOnce = harness.start(harness.call(server, "/at-once"));
      harness.calls.drop(dropAtOnce->id);
      harness.calls.drop(own);
      harness.calls.drop(other->id);
      harness.calls.drop(own);
      next = harness.start(harness.call(server, "/whole/next"));
    };
    auto captured = std::make_shared<std::string>("captured by a callback!");
    own = harness.calls.start(
        harness.call(server, where == "end" ? "/whole/own" : "/own"),
        [&, captured](const HttpResponseHead&) {
          ++heads;
          leave("head");
          cr_assert_eq(captured->size(), 23u);
        },
        [&, captured](std::string_view) {
          ++pieces;
          leave("bytes");
          cr_assert_eq(captured->size(), 23u);
        },
        [&, captured](const HttpCallResult&) {
          ++ends;
          leave("end");
          cr_assert_eq(captured->size(), 23u);
        });
    cr_assert(harness.waitUntil([&] { return next && next->ends == 1; }));
    cr_assert(next->end.outcome == HttpCallOutcome::complete);
    cr_assert(harness.waitUntil([&] { return otherConnection->ended; }),
              "the connection of the dropped call must be closed");
    harness.runFor(5ms);
    cr_assert_eq(heads, 1);
    cr_assert_eq(pieces, where == "head" ? 0 : 1);
    cr_assert_eq(ends, where == "end" ? 1 : 0);
    cr_assert_eq(other->ends, 0);
    cr_assert_eq(captured.use_count(), 1, "the callbacks must be released");
  }
  cr_assert_eq(server.timesReceived("/at-once"), 0u);
}

Test(calls, dropping_during_connect_and_destroying_with_open_calls_is_safe) {
  asio::io_context io;
  RawServer server(io, [](const RawServer::ConnectionPtr& connection, const std::string&) {
    connection->send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
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
  HttpClientHarness harness;
  std::vector<RawServer::ConnectionPtr> waiting;
  RawServer server(harness.io, [&](const RawServer::ConnectionPtr& connection, const std::string& request) {
    waiting.push_back(connection);
    auto target = request.substr(5, request.find(" HTTP") - 5);
    connection->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    if (waiting.size() < 200) return;
    for (auto& each : waiting) {
      auto asked = each->received.substr(each->received.rfind("POST /") + 6);
      auto said = asked.substr(0, asked.find(' '));
      each->send("3\r\n" + said + "\r\n0\r\n\r\n");
    }
    waiting.clear();
  });
  for (int round = 0; round < 2; ++round) {
    std::vector<std::shared_ptr<CallRecord>> all;
    for (int count = 0; count < 200; ++count) {
      auto call = harness.call(server, "/" + std::to_string(100 + count), "POST", "body");
      call.noResend = count % 2;
      all.push_back(harness.start(call));
    }
    cr_assert(harness.waitUntil(
        [&] { return std::all_of(all.begin(), all.end(), [](const auto& each) { return each->ends == 1; }); }));
    for (int count = 0; count < 200; ++count) {
      cr_assert(all[static_cast<std::size_t>(count)]->end.outcome == HttpCallOutcome::complete);
      cr_assert_eq(all[static_cast<std::size_t>(count)]->body, std::to_string(100 + count));
    }
  }
  cr_assert_eq(harness.calls.connectionsOpened(), 200u, "the second round must reuse the connections of the first");
  cr_assert_eq(harness.calls.callsStarted(), 400u);
}

Test(calls, successive_calls_share_a_connection) {
  HttpClientHarness harness;
  RawServer server(harness.io, [](const RawServer::ConnectionPtr& connection, const std::string&) {
    connection->send(successResponse("fine", "Keep-Alive: timeout=5\r\n"));
  });
  for (int count = 0; count < 50; ++count) {
    auto call = harness.call(server, "/", count % 2 ? "POST" : "GET", count % 2 ? "body" : "");
    call.noResend = count % 3 == 0;
    cr_assert(harness.finish(call)->end.outcome == HttpCallOutcome::complete);
  }
  cr_assert_eq(harness.calls.connectionsOpened(), 1u);
  cr_assert_eq(server.connections.size(), 1u);
  cr_assert_eq(harness.calls.callsStarted(), 50u);
}

Test(calls, connection_is_not_reused_if_its_keep_alive_is_one_second_or_less) {
  HttpClientHarness harness;
  std::string keepAlive = "Keep-Alive: max=9, Timeout=1\r\n";
  RawServer server(harness.io, [&](const RawServer::ConnectionPtr& connection, const std::string&) {
    connection->send(successResponse("fine", keepAlive));
  });
  for (int count = 0; count < 3; ++count)
    cr_assert(harness.finish(harness.call(server))->end.outcome == HttpCallOutcome::complete);
  cr_assert_eq(harness.calls.connectionsOpened(), 3u);
  keepAlive = "Keep-Alive: timeout=30\r\n";
  harness.finish(harness.call(server));
  harness.finish(harness.call(server));
  cr_assert_eq(harness.calls.connectionsOpened(), 4u, "the last announced timeout must apply");
}

Test(calls, total_timeout_ends_a_call_as_broken) {
  HttpClientHarness harness;
  RawServer server(harness.io, [](const RawServer::ConnectionPtr& connection, const std::string& request) {
    if (request.find("/first") != std::string::npos) return connection->send(successResponse("fine"));
    if (request.find("/begun") != std::string::npos)
      connection->send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfive.");
  });
  harness.finish(harness.call(server, "/first"));
  for (std::string target : {"/silent", "/begun"}) {
    auto call = harness.call(server, target, "POST", "body");
    call.totalTimeout = 30ms;
    call.noResend = true;
    auto from = Clock::now();
    auto seen = harness.finish(call);
    cr_assert(seen->end.outcome == HttpCallOutcome::broken);
    cr_assert_geq(toMilliseconds(Clock::now() - from), 29);
    cr_assert_lt(toMilliseconds(Clock::now() - from), 1000);
    cr_assert_eq(server.timesReceived(target), 1u);
  }
}

Test(calls, reused_socket_number_gets_no_stale_wait) {
  HttpClientHarness harness;
  RawServer server(harness.io, [](const RawServer::ConnectionPtr& connection, const std::string& request) {
    connection->send(successResponse("fine"));
    if (request.find("/close") != std::string::npos) connection->close();
  });
  for (int count = 0; count < 100; ++count) {
    auto call = harness.call(server, count % 3 ? "/close" : "/keep");
    if (count % 4 == 0) call.headers = {{"Connection", "close"}};
    cr_assert(harness.finish(call)->end.outcome == HttpCallOutcome::complete);
    auto dropped = harness.start(harness.call(server, "/dropped"));
    harness.io.poll_one();
    harness.calls.drop(dropped->id);
  }
}
