#include "raw_server.hpp"

using namespace tt;
using namespace raw;

namespace {

std::string chunked(const std::string& body, const std::string& headers = {}) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx", body.size());
  return "HTTP/1.1 200 OK\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n" + size + "\r\n" + body +
         "\r\n0\r\n\r\n";
}
HttpClientRequest withoutResend(HttpClientRequest call) {
  call.noResend = true;
  return call;
}

}  // namespace

Test(call_faults, surplus_bytes_after_a_response_prevent_reuse_of_the_connection) {
  const std::string surplus = successResponse("surplus");
  for (const std::string& answer :
       {successResponse("fine"), successResponse(""), chunked("fine"), chunked("fine", "X-A: 1\r\n")}) {
    for (std::size_t cut : {std::size_t(1), std::size_t(17), surplus.size()}) {
      HttpClientHarness harness;
      RawServer server(harness.io, [&](const RawServer::ConnectionPtr& connection, const std::string& request) {
        if (request.find("/first") != std::string::npos) return connection->send(answer + surplus.substr(0, cut));
        if (connection->number == 0) connection->send(surplus.substr(cut));
        connection->send(successResponse("own"));
      });
      auto first = harness.finish(harness.call(server, "/first"));
      cr_assert(first->end.outcome == HttpCallOutcome::complete);
      auto second = harness.finish(withoutResend(harness.call(server, "/second", "POST", "body")));
      cr_assert(second->end.outcome == HttpCallOutcome::complete, "%s", second->end.errorMessage.c_str());
      cr_assert_eq(second->body, "own");
      cr_assert_eq(harness.calls.connectionsOpened(), 2u, "the connection with surplus bytes must not be reused");
    }
  }
}

Test(call_faults, malformed_response_ends_as_broken_without_any_bytes) {
  const std::vector<std::string> malformed{
      "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nbytes",
      "HTTP/1.1 000 Nothing\r\nContent-Length: 4\r\n\r\nfour",
      "HTTP/1.1 099 Low\r\nContent-Length: 4\r\n\r\nfour",
      "HTTP/1.1 600 High\r\nContent-Length: 4\r\n\r\nfour",
      "HTTP/1.1 999 High\r\nContent-Length: 4\r\n\r\nfour",
      "HTTP/2 200 OK\r\nContent-Length: 4\r\n\r\nfour",
      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\nfour",
      "HTTP/1.1 200 OK\r\nContent-Length: 4x\r\n\r\nfour",
      "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nfour",
      "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nfour",
      "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999999\r\n\r\nfour",
      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nfour",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\nContent-Length: 4\r\n\r\nfour",
  };
  for (const auto& text : malformed) {
    HttpClientHarness harness;
    RawServer server(harness.io, [&](const RawServer::ConnectionPtr& connection, const std::string&) {
      connection->send(text);
      connection->close();
    });
    auto seen = harness.finish(withoutResend(harness.call(server)));
    cr_expect(seen->end.outcome == HttpCallOutcome::broken, "must be broken: %s", text.c_str());
    cr_expect_eq(seen->heads, 0, "no head of: %s", text.c_str());
    cr_expect_eq(seen->body, "", "no bytes of: %s", text.c_str());
  }
}

Test(call_faults, response_tells_whether_its_end_is_delimited) {
  HttpClientHarness harness;
  std::string text;
  RawServer server(harness.io, [&](const RawServer::ConnectionPtr& connection, const std::string&) {
    connection->send(text);
    if (text.find("until") != std::string::npos) connection->close();
  });
  for (auto [responseText, delimited] : {std::pair(successResponse("fine"), true),
                                         {chunked("fine"), true},
                                         {std::string("HTTP/1.1 204 No Content\r\n\r\n"), true},
                                         {std::string("HTTP/1.1 200 OK\r\n\r\nuntil the close"), false}}) {
    text = responseText;
    auto seen = harness.finish(harness.call(server));
    cr_assert(seen->end.outcome == HttpCallOutcome::complete);
    cr_assert_eq(seen->head.delimited, delimited, "%s", responseText.c_str());
  }
}

Test(call_faults, response_before_the_request_was_fully_sent_prevents_reuse) {
  HttpClientHarness harness;
  RawServer server(harness.io, [](const RawServer::ConnectionPtr& connection, const std::string&) {
    connection->send(successResponse("own"));
  });
  server.onRead = [](const RawServer::ConnectionPtr& connection) {
    if (connection->received.find("/big") == std::string::npos || connection->ended) return;
    connection->send("HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    connection->ended = true;
  };
  auto big = harness.finish(withoutResend(harness.call(server, "/big", "POST", std::string(8u << 20, 'x'))));
  cr_assert_eq(big->head.status, 503);
  auto next = harness.finish(withoutResend(harness.call(server, "/next", "POST", "body")));
  cr_assert_eq(next->body, "own");
  cr_assert_eq(harness.calls.connectionsOpened(), 2u);
}

Test(call_faults, call_whose_send_condition_fails_ends_as_unsent) {
  for (bool kept : {false, true}) {
    HttpClientHarness harness;
    RawServer server(harness.io, [](const RawServer::ConnectionPtr& connection, const std::string&) {
      connection->send(successResponse("fine"));
    });
    if (kept) harness.finish(harness.call(server, "/first"));
    bool leaseValid = true;
    int asked = 0;
    auto call = withoutResend(harness.call(server, "/order", "POST", "body"));
    call.maySend = [&] { return ++asked, leaseValid; };
    auto seen = harness.start(call);
    leaseValid = false;
    cr_assert(harness.waitUntil([&] { return seen->ends > 0; }));
    harness.runFor(20ms);
    cr_expect(seen->end.outcome == HttpCallOutcome::unsent);
    cr_expect_eq(server.timesReceived("/order"), 0u, "no byte of the request may be written");
    cr_expect_geq(asked, 1);
    leaseValid = true;
    auto next = harness.finish(call);
    cr_expect(next->end.outcome == HttpCallOutcome::complete);
    cr_expect_eq(server.timesReceived("/order"), 1u);
  }
}

Test(call_faults, send_condition_is_checked_after_a_slow_connect) {
  HttpClientHarness harness;
  asio::ip::tcp::acceptor full(harness.io, asio::ip::tcp::v4());
  full.bind(asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  full.listen(0);
  std::vector<asio::ip::tcp::socket> queued;
  for (int count = 0; count < 4; ++count) {
    queued.emplace_back(harness.io);
    queued.back().async_connect(full.local_endpoint(), [](const asio::error_code&) {});
  }
  harness.runFor(5ms);
  HttpClientRequest call;
  call.address = "127.0.0.1:" + std::to_string(full.local_endpoint().port());
  call.target = "/order";
  call.connectTimeout = 10s;
  bool leaseValid = true;
  call.maySend = [&] { return leaseValid; };
  auto seen = harness.start(call);
  harness.runFor(20ms);
  cr_assert_eq(seen->ends, 0, "the connection must not be established yet");
  leaseValid = false;
  std::string got;
  std::vector<std::shared_ptr<asio::ip::tcp::socket>> accepted;
  std::array<char, 4096> space{};
  std::function<void()> accept = [&] {
    full.async_accept([&](const asio::error_code& error, asio::ip::tcp::socket socket) {
      if (error) return;
      accepted.push_back(std::make_shared<asio::ip::tcp::socket>(std::move(socket)));
      accepted.back()->async_read_some(asio::buffer(space), [&](const asio::error_code& failed, std::size_t bytes) {
        if (!failed) got.append(space.data(), bytes);
      });
      accept();
    });
  };
  accept();
  cr_assert(harness.waitUntil([&] { return seen->ends > 0; }, 9s));
  harness.runFor(20ms);
  cr_expect(seen->end.outcome == HttpCallOutcome::unsent);
  cr_expect_eq(got, "");
  asio::error_code ignored;
  full.close(ignored);
}

Test(call_faults, call_with_an_exclusive_connection_neither_reuses_nor_leaves_one) {
  HttpClientHarness harness;
  RawServer server(harness.io, [](const RawServer::ConnectionPtr& connection, const std::string& request) {
    connection->send(successResponse(request.find("/order") != std::string::npos ? "order" : "other"));
  });
  harness.finish(harness.call(server, "/first"));
  auto call = withoutResend(harness.call(server, "/order", "POST", "body"));
  call.exclusiveConnection = true;
  cr_assert_eq(harness.finish(call)->body, "order");
  cr_assert_eq(harness.finish(call)->body, "order");
  cr_assert_eq(harness.finish(harness.call(server, "/second"))->body, "other");
  cr_assert_eq(harness.calls.connectionsOpened(), 3u);
  cr_assert_eq(server.connections[0]->requests, 2u, "the persistent connection must serve the other requests");
  cr_assert_eq(server.connections[1]->requests, 1u);
  cr_assert_eq(server.connections[2]->requests, 1u);
}

Test(call_faults, reused_connection_that_closes_without_a_response_is_reported) {
  for (bool byReset : {false, true})
    for (bool begun : {false, true}) {
      HttpClientHarness harness;
      RawServer server(harness.io, [&](const RawServer::ConnectionPtr& connection, const std::string& request) {
        if (request.find("/first") != std::string::npos) return connection->send(successResponse("fine"));
        if (begun) connection->send("HTTP/1.1 200 OK\r\n");
        byReset ? connection->reset() : connection->close();
      });
      auto fresh = harness.finish(withoutResend(harness.call(server, "/second", "POST", "body")));
      cr_assert(fresh->end.outcome == HttpCallOutcome::broken);
      cr_assert_not(fresh->end.lostOnIdleConnection, "a new connection cannot have been closed because it was idle");
      harness.finish(harness.call(server, "/first"));
      auto kept = harness.finish(withoutResend(harness.call(server, "/second", "POST", "body")));
      cr_assert(kept->end.outcome == HttpCallOutcome::broken, "the request may have been processed");
      if (!begun) cr_assert(kept->end.lostOnIdleConnection);
      if (begun && !byReset) cr_assert_not(kept->end.lostOnIdleConnection);
    }
}

Test(call_faults, connections_idle_as_long_as_one_the_peer_closed_are_not_reused) {
  HttpClientHarness harness;
  std::vector<RawServer::ConnectionPtr> waiting;
  bool closesEarly = false;
  RawServer server(harness.io, [&](const RawServer::ConnectionPtr& connection, const std::string& request) {
    if (request.find("/first") != std::string::npos) {
      waiting.push_back(connection);
      if (waiting.size() < 4) return;
      for (const auto& each : waiting) each->send(successResponse("fine"));
      return;
    }
    if (closesEarly && connection->number < 4) return connection->reset();
    connection->send(successResponse("own"));
  });
  std::vector<std::shared_ptr<CallRecord>> firsts;
  for (int count = 0; count < 4; ++count) firsts.push_back(harness.start(harness.call(server, "/first")));
  cr_assert(harness.waitUntil(
      [&] { return std::all_of(firsts.begin(), firsts.end(), [](const auto& each) { return each->ends == 1; }); }));
  closesEarly = true;
  harness.runFor(5ms);
  auto lost = harness.finish(withoutResend(harness.call(server, "/second", "POST", "body")));
  cr_assert(lost->end.outcome == HttpCallOutcome::broken);
  cr_assert(lost->end.lostOnIdleConnection);
  for (int count = 0; count < 4; ++count) {
    auto next = harness.finish(withoutResend(harness.call(server, "/third", "POST", "body")));
    cr_expect(next->end.outcome == HttpCallOutcome::complete, "only one request may be lost to early closes");
    cr_expect_eq(next->body, "own");
  }
}
