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
HttpClientRequest once(HttpClientRequest call) {
  call.once = true;
  return call;
}

}  // namespace

Test(call_faults, surplus_bytes_after_a_response_prevent_reuse_of_the_connection) {
  const std::string surplus = successResponse("surplus");
  for (const std::string& answer :
       {successResponse("fine"), successResponse(""), chunked("fine"), chunked("fine", "X-A: 1\r\n")}) {
    for (std::size_t cut : {std::size_t(1), std::size_t(17), surplus.size()}) {
      Bench bench;
      RawServer server(bench.io, [&](const RawServer::ConnectionPtr& held, const std::string& request) {
        if (request.find("/first") != std::string::npos) return held->say(answer + surplus.substr(0, cut));
        if (held->number == 0) held->say(surplus.substr(cut));
        held->say(successResponse("own"));
      });
      auto first = bench.finish(bench.call(server, "/first"));
      cr_assert(first->end.outcome == HttpCallOutcome::complete);
      auto second = bench.finish(once(bench.call(server, "/second", "POST", "body")));
      cr_assert(second->end.outcome == HttpCallOutcome::complete, "%s", second->end.errorMessage.c_str());
      cr_assert_eq(second->body, "own");
      cr_assert_eq(bench.calls.connectionsOpened(), 2u, "the connection with surplus bytes is not reused");
    }
  }
}

Test(call_faults, malformed_response_ends_as_broken_without_any_bytes) {
  const std::vector<std::string> unsound{
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
  for (const auto& text : unsound) {
    Bench bench;
    RawServer server(bench.io, [&](const RawServer::ConnectionPtr& held, const std::string&) {
      held->say(text);
      held->close();
    });
    auto seen = bench.finish(once(bench.call(server)));
    cr_expect(seen->end.outcome == HttpCallOutcome::broken, "must be broken: %s", text.c_str());
    cr_expect_eq(seen->heads, 0, "no head of: %s", text.c_str());
    cr_expect_eq(seen->body, "", "no bytes of: %s", text.c_str());
  }
}

Test(call_faults, response_tells_whether_its_end_is_delimited) {
  Bench bench;
  std::string text;
  RawServer server(bench.io, [&](const RawServer::ConnectionPtr& held, const std::string&) {
    held->say(text);
    if (text.find("until") != std::string::npos) held->close();
  });
  for (auto [said, delimited] : {std::pair(successResponse("fine"), true),
                                 {chunked("fine"), true},
                                 {std::string("HTTP/1.1 204 No Content\r\n\r\n"), true},
                                 {std::string("HTTP/1.1 200 OK\r\n\r\nuntil the close"), false}}) {
    text = said;
    auto seen = bench.finish(bench.call(server));
    cr_assert(seen->end.outcome == HttpCallOutcome::complete);
    cr_assert_eq(seen->head.delimited, delimited, "%s", said.c_str());
  }
}

Test(call_faults, response_before_the_request_was_fully_sent_prevents_reuse) {
  Bench bench;
  RawServer server(bench.io,
                   [](const RawServer::ConnectionPtr& held, const std::string&) { held->say(successResponse("own")); });
  server.onPiece = [](const RawServer::ConnectionPtr& held) {
    if (held->got.find("/big") == std::string::npos || held->ended) return;
    held->say("HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    held->ended = true;
  };
  auto big = bench.finish(once(bench.call(server, "/big", "POST", std::string(8u << 20, 'x'))));
  cr_assert_eq(big->head.status, 503);
  auto next = bench.finish(once(bench.call(server, "/next", "POST", "body")));
  cr_assert_eq(next->body, "own");
  cr_assert_eq(bench.calls.connectionsOpened(), 2u);
}

Test(call_faults, call_whose_send_condition_fails_ends_as_unsent) {
  for (bool kept : {false, true}) {
    Bench bench;
    RawServer server(
        bench.io, [](const RawServer::ConnectionPtr& held, const std::string&) { held->say(successResponse("fine")); });
    if (kept) bench.finish(bench.call(server, "/first"));
    bool leaseValid = true;
    int asked = 0;
    auto call = once(bench.call(server, "/order", "POST", "body"));
    call.maySend = [&] { return ++asked, leaseValid; };
    auto seen = bench.start(call);
    leaseValid = false;
    cr_assert(bench.until([&] { return seen->ends > 0; }));
    bench.pass(20ms);
    cr_expect(seen->end.outcome == HttpCallOutcome::unsent);
    cr_expect_eq(server.copies("/order"), 0u, "not a byte of it was written");
    cr_expect_geq(asked, 1);
    leaseValid = true;
    auto next = bench.finish(call);
    cr_expect(next->end.outcome == HttpCallOutcome::complete);
    cr_expect_eq(server.copies("/order"), 1u);
  }
}

Test(call_faults, send_condition_is_checked_after_a_slow_connect) {
  Bench bench;
  asio::ip::tcp::acceptor full(bench.io, asio::ip::tcp::v4());
  full.bind(asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  full.listen(0);
  std::vector<asio::ip::tcp::socket> queued;
  for (int count = 0; count < 4; ++count) {
    queued.emplace_back(bench.io);
    queued.back().async_connect(full.local_endpoint(), [](const asio::error_code&) {});
  }
  bench.pass(5ms);
  HttpClientRequest call;
  call.address = "127.0.0.1:" + std::to_string(full.local_endpoint().port());
  call.target = "/order";
  call.connectTimeout = 10s;
  bool leaseValid = true;
  call.maySend = [&] { return leaseValid; };
  auto seen = bench.start(call);
  bench.pass(20ms);
  cr_assert_eq(seen->ends, 0, "the connection hangs");
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
  cr_assert(bench.until([&] { return seen->ends > 0; }, 9s));
  bench.pass(20ms);
  cr_expect(seen->end.outcome == HttpCallOutcome::unsent);
  cr_expect_eq(got, "");
  asio::error_code ignored;
  full.close(ignored);
}

Test(call_faults, call_with_an_exclusive_connection_neither_reuses_nor_leaves_one) {
  Bench bench;
  RawServer server(bench.io, [](const RawServer::ConnectionPtr& held, const std::string& request) {
    held->say(successResponse(request.find("/order") != std::string::npos ? "order" : "other"));
  });
  bench.finish(bench.call(server, "/first"));
  auto call = once(bench.call(server, "/order", "POST", "body"));
  call.exclusiveConnection = true;
  cr_assert_eq(bench.finish(call)->body, "order");
  cr_assert_eq(bench.finish(call)->body, "order");
  cr_assert_eq(bench.finish(bench.call(server, "/second"))->body, "other");
  cr_assert_eq(bench.calls.connectionsOpened(), 3u);
  cr_assert_eq(server.connections[0]->requests, 2u, "the persistent connection serves the other requests");
  cr_assert_eq(server.connections[1]->requests, 1u);
  cr_assert_eq(server.connections[2]->requests, 1u);
}

Test(call_faults, reused_connection_that_closes_without_a_response_is_reported) {
  for (bool byReset : {false, true})
    for (bool begun : {false, true}) {
      Bench bench;
      RawServer server(bench.io, [&](const RawServer::ConnectionPtr& held, const std::string& request) {
        if (request.find("/first") != std::string::npos) return held->say(successResponse("fine"));
        if (begun) held->say("HTTP/1.1 200 OK\r\n");
        byReset ? held->reset() : held->close();
      });
      auto fresh = bench.finish(once(bench.call(server, "/second", "POST", "body")));
      cr_assert(fresh->end.outcome == HttpCallOutcome::broken);
      cr_assert_not(fresh->end.lostOnIdleConnection, "a new connection was not idle");
      bench.finish(bench.call(server, "/first"));
      auto kept = bench.finish(once(bench.call(server, "/second", "POST", "body")));
      cr_assert(kept->end.outcome == HttpCallOutcome::broken, "the request may have been processed");
      if (!begun) cr_assert(kept->end.lostOnIdleConnection);
      if (begun && !byReset) cr_assert_not(kept->end.lostOnIdleConnection);
    }
}

Test(call_faults, connections_idle_as_long_as_one_the_peer_closed_are_not_reused) {
  Bench bench;
  std::vector<RawServer::ConnectionPtr> waiting;
  bool closesEarly = false;
  RawServer server(bench.io, [&](const RawServer::ConnectionPtr& held, const std::string& request) {
    if (request.find("/first") != std::string::npos) {
      waiting.push_back(held);
      if (waiting.size() < 4) return;
      for (const auto& each : waiting) each->say(successResponse("fine"));
      return;
    }
    if (closesEarly && held->number < 4) return held->reset();
    held->say(successResponse("own"));
  });
  std::vector<std::shared_ptr<CallRecord>> firsts;
  for (int count = 0; count < 4; ++count) firsts.push_back(bench.start(bench.call(server, "/first")));
  cr_assert(bench.until(
      [&] { return std::all_of(firsts.begin(), firsts.end(), [](const auto& each) { return each->ends == 1; }); }));
  closesEarly = true;
  bench.pass(5ms);
  auto lost = bench.finish(once(bench.call(server, "/second", "POST", "body")));
  cr_assert(lost->end.outcome == HttpCallOutcome::broken);
  cr_assert(lost->end.lostOnIdleConnection);
  for (int count = 0; count < 4; ++count) {
    auto next = bench.finish(once(bench.call(server, "/third", "POST", "body")));
    cr_expect(next->end.outcome == HttpCallOutcome::complete, "only one request is lost to early closes");
    cr_expect_eq(next->body, "own");
  }
}
