#include "http_server_fixture.hpp"

using namespace tt;
using namespace tt::gatetest;

Test(gate, malformed_requests_are_rejected) {
  struct Row {
    const char* name;
    std::string input;
    int status{400};
  };
  const std::string chunked = "Transfer-Encoding: chunked\r\n", nul(1, '\0');
  const std::vector<Row> rows{
      {"no method", " / HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"no target", "GET HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"two spaces before the target", "GET  /x HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"two spaces after the target", "GET /x  HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"space at the request line's end", "GET /x HTTP/1.1 \r\nHost: a\r\n\r\n"},
      {"tab in the request line", "GET\t/x HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"HTTP/0.9", "GET /x\r\n\r\n"},
      {"HTTP/1.2", "GET /x HTTP/1.2\r\nHost: a\r\n\r\n"},
      {"HTTP/2.0", "GET /x HTTP/2.0\r\nHost: a\r\n\r\n"},
      {"HTTP/1.10", "GET /x HTTP/1.10\r\nHost: a\r\n\r\n"},
      {"lower-case version", "GET /x http/1.1\r\nHost: a\r\n\r\n"},
      {"HTTP/2 preface", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"},
      {"unknown method", "FETCH /x HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"lower-case method", "get /x HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"CONNECT", "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"CONNECT with a path", "CONNECT /x HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"absolute target", "GET http://a/x HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"asterisk target", "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"target without a slash", "GET x HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"fragment", "GET /x#y HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"control byte in the target", "GET /x\x01y HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"DEL in the target", "GET /x\x7fy HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"high byte in the target", "GET /x\xc3\xa9 HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"NUL in the target", "GET /x" + nul + "y HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"no Host", "GET /x HTTP/1.1\r\n\r\n"},
      {"two Hosts", "GET /x HTTP/1.1\r\nHost: a\r\nHost: a\r\n\r\n"},
      {"two Hosts in HTTP/1.0", "GET /x HTTP/1.0\r\nHost: a\r\nhost: a\r\n\r\n"},
      {"list as Host", "GET /x HTTP/1.1\r\nHost: a, b\r\n\r\n"},
      {"header without a colon", "GET /x HTTP/1.1\r\nHost: a\r\nOdd\r\n\r\n"},
      {"header without a name", "GET /x HTTP/1.1\r\nHost: a\r\n: b\r\n\r\n"},
      {"space before the colon", "GET /x HTTP/1.1\r\nHost: a\r\nOdd : b\r\n\r\n"},
      {"space before the first header", "GET /x HTTP/1.1\r\n Host: a\r\n\r\n"},
      {"odd byte in a header's name", "GET /x HTTP/1.1\r\nHost: a\r\nO(d: b\r\n\r\n"},
      {"folded header", "GET /x HTTP/1.1\r\nHost: a\r\nOdd: b\r\n c\r\n\r\n"},
      {"folded header with a tab", "GET /x HTTP/1.1\r\nHost: a\r\nOdd: b\r\n\tc\r\n\r\n"},
      {"NUL in a value", "GET /x HTTP/1.1\r\nHost: a\r\nOdd: b" + nul + "c\r\n\r\n"},
      {"control byte in a value", "GET /x HTTP/1.1\r\nHost: a\r\nOdd: b\x02\r\n\r\n"},
      {"DEL in a value", "GET /x HTTP/1.1\r\nHost: a\r\nOdd: b\x7f\r\n\r\n"},
      {"bare CR in a value", "GET /x HTTP/1.1\r\nHost: a\r\nOdd: b\rc\r\n\r\n"},
      {"two CRs", "GET /x HTTP/1.1\r\r\nHost: a\r\n\r\n"},
      {"bare LF after the request line", "GET /x HTTP/1.1\nHost: a\r\n\r\n"},
      {"bare LF after a header", "GET /x HTTP/1.1\r\nHost: a\nOdd: b\r\n\r\n"},
      {"bare LF at the head's end", "GET /x HTTP/1.1\r\nHost: a\r\n\n"},
      {"bare LFs only", "GET /x HTTP/1.1\nHost: a\n\n"},
      {"bare LF first", "\nGET /x HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"two empty lines first", "\r\n\r\nGET /x HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"a TLS hello", "\x16\x03\x01\x02"},
      {"length and coding", post("Content-Length: 5\r\n" + chunked, "0\r\n\r\n")},
      {"coding and length", post(chunked + "Content-Length: 5\r\n", "0\r\n\r\n")},
      {"two equal lengths", post("Content-Length: 2\r\nContent-Length: 2\r\n", "ab")},
      {"two unequal lengths", post("Content-Length: 2\r\ncontent-length: 3\r\n", "abc")},
      {"list of lengths", post("Content-Length: 2, 2\r\n", "ab")},
      {"empty length", post("Content-Length:\r\n")},
      {"negative length", post("Content-Length: -1\r\n")},
      {"signed length", post("Content-Length: +2\r\n", "ab")},
      {"hex length", post("Content-Length: 0x2\r\n", "ab")},
      {"spaced length", post("Content-Length: 1 2\r\n", "ab")},
      {"length with a fraction", post("Content-Length: 2.0\r\n", "ab")},
      {"endless length", post("Content-Length: 99999999999999999999999\r\n")},
      {"gzip coding", post("Transfer-Encoding: gzip\r\n")},
      {"gzip and chunked", post("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n")},
      {"chunked twice", post("Transfer-Encoding: chunked, chunked\r\n", "0\r\n\r\n")},
      {"two chunked fields", post(chunked + chunked, "0\r\n\r\n")},
      {"identity", post("Transfer-Encoding: identity\r\n")},
      {"xchunked", post("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n")},
      {"chunked with a parameter", post("Transfer-Encoding: chunked;q=1\r\n", "0\r\n\r\n")},
      {"empty coding", post("Transfer-Encoding:\r\n", "0\r\n\r\n")},
      {"vertical tab before chunked", post("Transfer-Encoding: \x0b"
                                           "chunked\r\n",
                                           "0\r\n\r\n")},
      {"chunked in HTTP/1.0", "POST /x HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
      {"no chunk size", post(chunked, "\r\nab\r\n0\r\n\r\n")},
      {"chunk size that is no number", post(chunked, "zz\r\nab\r\n0\r\n\r\n")},
      {"negative chunk size", post(chunked, "-2\r\nab\r\n0\r\n\r\n")},
      {"chunk size with 0x", post(chunked, "0x2\r\nab\r\n0\r\n\r\n")},
      {"space before the chunk size", post(chunked, " 2\r\nab\r\n0\r\n\r\n")},
      {"space after the chunk size", post(chunked, "2 \r\nab\r\n0\r\n\r\n")},
      {"chunk size that wraps round", post(chunked, "10000000000000002\r\nab\r\n0\r\n\r\n")},
      {"bare LF after the chunk size", post(chunked, "2\nab\r\n0\r\n\r\n")},
      {"bare LF after a chunk size of two digits", post(chunked, "02\nab\r\n0\r\n\r\n")},
      {"bare LF after a chunk size, then an end", post(chunked, "02\n\r\n")},
      {"bare CR in a chunk extension", post(chunked, "2;a\rb\r\nab\r\n0\r\n\r\n")},
      {"endless chunk extension", post(chunked, "2;" + std::string(400, 'a'))},
      {"bare LF after a chunk", post(chunked, "2\r\nab\n0\r\n\r\n")},
      {"another byte in place of the CR after a chunk", post(chunked, "2\r\nabc\n0\r\n\r\n")},
      {"bare LF after a trailer", post(chunked, "0\r\nOdd: b\n\r\n")},
      {"another byte in place of the last CR", post(chunked, "0\r\nx\n")},
      {"chunk longer than its size", post(chunked, "2\r\nabc\r\n0\r\n\r\n")},
      {"bare LF after the last chunk", post(chunked, "2\r\nab\r\n0\n\r\n")},
      {"bare LF as the last line", post(chunked, "2\r\nab\r\n0\r\n\n")},
      {"malformed trailer", post(chunked, "0\r\nOdd : b\r\n\r\n")},
      {"folded trailer", post(chunked, "0\r\nOdd: b\r\n c\r\n\r\n")},
      {"endless trailer", post(chunked, "0\r\nOdd: " + std::string(20000, 'b')), 431},
      {"endless head", "GET /x HTTP/1.1\r\nHost: a\r\nOdd: " + std::string(20000, 'b'), 431},
      {"long head in many lines",
       [] {
         std::string text = "GET /x HTTP/1.1\r\nHost: a\r\n";
         for (int line = 0; line < 2000; ++line) text += "Odd: line\r\n";
         return text + "\r\n";
       }(),
       431},
      {"endless target", "GET /" + std::string(20000, 'x'), 431},
      {"length beyond the limit", post("Content-Length: 4194305\r\n"), 413},
      {"chunk beyond the limit", post(chunked, "400001\r\n"), 413},
      {"huge chunk", post(chunked, "ffffffffffffffff\r\n"), 413},
  };
  std::atomic<int> handled{0};
  HttpServerFixture server([&](HttpRequest request, std::shared_ptr<ResponseWriter> response) {
    ++handled;
    echo(std::move(request), std::move(response));
  });
  for (const auto& row : rows) {
    RawClient caller(server.port);
    auto got = caller.askAll(row.input);
    cr_expect_eq(statusOf(got), row.status, "%s: expected %d, got \"%s\"", row.name, row.status, got.c_str());
    cr_expect_eq(count(got, "HTTP/1.1 "), 1u, "%s: one response", row.name);
    cr_expect(has(got, "\r\nConnection: close\r\n"), "%s: must say close", row.name);
    cr_expect(!caller.timedOut && !caller.reset, "%s: must end in order", row.name);
    cr_expect_eq(handled.load(), 0, "%s: must not reach the handler", row.name);
    handled = 0;
  }
  cr_expect(eventually([&] { return server.connections() == 0; }));
  RawClient caller(server.port);
  cr_assert_eq(statusOf(caller.askAll(getClose)), 200, "a valid request is answered");
}

Test(gate, error_response_arrives_while_the_client_keeps_sending) {
  HttpServerFixture server(echo);
  RawClient caller(server.port);
  caller.send(post("Content-Length: 99999999\r\n"));
  for (int part = 0; part < 8; ++part) caller.send(std::string(65536, 'x'));
  auto got = caller.all();
  cr_assert_eq(statusOf(got), 413, "got \"%s\"", got.c_str());
  cr_assert(!caller.reset && !caller.timedOut, "a reset could have destroyed the response");
}

Test(gate, requests_reach_the_handler_unchanged) {
  HttpRequest seen;
  HttpServerFixture server([&](HttpRequest request, std::shared_ptr<ResponseWriter> response) {
    seen = request;
    sendResponse(response, "ok");
  });
  RawClient caller(server.port);
  auto got = caller.askAll(
      "\r\nPOST /a/b?c=d%20e HTTP/1.1\r\nhOST: a:80\r\nX-Empty:\r\nX-Spaced: \t b c \t\r\nX-Two: 1\r\nx-two: 2\r\n"
      "X-High: \xc3\xa9\r\nUpgrade: h2c\r\nConnection: Upgrade, close\r\nContent-Length: 3\r\n\r\nxyz");
  cr_assert_eq(statusOf(got), 200, "got \"%s\"", got.c_str());
  cr_assert_eq(seen.method, "POST");
  cr_assert_eq(seen.target, "/a/b?c=d%20e");
  cr_assert_eq(seen.body, "xyz");
  HttpHeaders expected{
      {"hOST", "a:80"},       {"X-Empty", ""},        {"X-Spaced", "b c"}, {"X-Two", "1"},
      {"x-two", "2"},         {"X-High", "\xc3\xa9"}, {"Upgrade", "h2c"},  {"Connection", "Upgrade, close"},
      {"Content-Length", "3"}};
  cr_assert(seen.headers == expected);
  cr_assert_eq(*findHeader(seen.headers, "X-TWO"), "1");
  cr_assert_null(findHeader(seen.headers, "X-Three"));
}

Test(gate, requests_sent_byte_by_byte_are_accepted) {
  HttpServerFixture server(echo);
  for (const auto& input : {post("Content-Length: 5\r\nConnection: close\r\n", "hello"),
                            post("Transfer-Encoding: chunked\r\nConnection: close\r\n",
                                 "2;x=y\r\nhe\r\n03\r\nllo\r\n0\r\nTrailer: t\r\n\r\n")}) {
    RawClient caller(server.port);
    for (char letter : input) caller.send(std::string_view(&letter, 1));
    auto got = caller.all();
    cr_assert(has(got, "\r\n\r\nPOST /v1 [hello]"), "got \"%s\"", got.c_str());
  }
}

Test(gate, request_truncated_at_any_byte_does_not_reach_the_handler) {
  std::atomic<int> handled{0};
  HttpServerFixture server([&](HttpRequest, std::shared_ptr<ResponseWriter> response) {
    ++handled;
    sendResponse(response, "ok");
  });
  for (const auto& input : {post("Content-Length: 5\r\n", "hello"),
                            post("Transfer-Encoding: chunked\r\n", "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n")}) {
    for (std::size_t size = 1; size < input.size(); ++size) {
      RawClient caller(server.port);
      caller.send(std::string_view(input).substr(0, size));
      caller.socket.shutdown(asio::ip::tcp::socket::shutdown_send);
      cr_assert_eq(caller.all(), "", "cut at %zu", size);
      cr_assert_eq(handled.load(), 0, "cut at %zu", size);
    }
    RawClient caller(server.port);
    caller.send(input);
    cr_assert_eq(statusOf(caller.until("ok")), 200);
    handled = 0;
  }
}

Test(gate, a_large_chunked_body_is_decoded) {
  std::string body, framed;
  for (int number = 0; body.size() < 1000000; ++number) {
    std::string part(static_cast<std::size_t>(number % 3000 + 1), static_cast<char>('a' + number % 26));
    char size[20];
    std::snprintf(size, sizeof size, "%zX\r\n", part.size());
    framed += size + part + "\r\n";
    body += part;
  }
  std::string seen;
  HttpServerFixture server([&](HttpRequest request, std::shared_ptr<ResponseWriter> response) {
    seen = request.body;
    sendResponse(response, "ok");
  });
  RawClient caller(server.port);
  caller.send(post("Transfer-Encoding: chunked\r\n", framed + "0\r\n\r\n"));
  cr_assert_eq(statusOf(caller.until("ok")), 200);
  cr_assert(seen == body);
}

Test(gate, chunked_body_with_excessive_framing_is_rejected) {
  HttpServerFixture server(echo);
  std::string framed;
  for (int number = 0; number < 400; ++number) framed += "1;" + std::string(200, 'a') + "\r\nx\r\n";
  RawClient caller(server.port);
  cr_assert_eq(statusOf(caller.askAll(post("Transfer-Encoding: chunked\r\n", framed + "0\r\n\r\n"))), 400);
  std::string fair;
  for (int number = 0; number < 20000; ++number) fair += "1\r\nx\r\n";
  RawClient other(server.port);
  cr_assert_eq(statusOf(other.askAll(post("Connection: close\r\nTransfer-Encoding: chunked\r\n", fair + "0\r\n\r\n"))),
               200);
}

Test(gate, pipelined_requests_are_answered_one_at_a_time_and_in_order) {
  HeldResponses held;
  HttpServerFixture server(held.handler());
  RawClient caller(server.port);
  caller.send(post("Content-Length: 3\r\n", "one") + get + "GET /z HTTP/1.1\r\nHost:");
  cr_assert(eventually([&] { return held.received == 1; }));
  cr_assert_eq(caller.receive(30ms).value(), "");
  cr_assert_eq(held.received.load(), 1, "the second waits for the first's answer");
  server.run([&] { sendResponse(held.responses[0], "first"); });
  cr_assert(has(caller.until("first"), "Content-Length: 5\r\n"));
  cr_assert(eventually([&] { return held.received == 2; }));
  server.run([&] { sendResponse(held.responses[1], "second"); });
  cr_assert(has(caller.until("second"), "Content-Length: 6\r\n"));
  caller.send(" a\r\nConnection: close\r\n\r\n");
  cr_assert(eventually([&] { return held.received == 3; }));
  server.run([&] { sendResponse(held.responses[2], "third"); });
  auto last = caller.all();
  cr_assert(has(last, "Connection: close\r\n") && has(last, "third"));
  cr_assert_eq(held.disconnects.load(), 0);
}

Test(gate, many_pipelined_requests_beyond_the_buffer_are_all_answered) {
  HttpServerFixture server(echo);
  RawClient caller(server.port);
  const int requests = 3000;
  std::thread sender([&] {
    std::string text;
    for (int number = 0; number < requests; ++number)
      text += "GET /" + std::to_string(number) + " HTTP/1.1\r\nHost: a\r\n\r\n";
    caller.send(text + getClose);
  });
  auto got = caller.all();
  sender.join();
  cr_assert_eq(count(got, "HTTP/1.1 200 OK\r\n"), static_cast<std::size_t>(requests) + 1);
  std::size_t at = 0;
  for (int number = 0; number < requests; ++number) {
    at = got.find("GET /" + std::to_string(number) + " []", at);
    cr_assert_neq(at, std::string::npos, "answer %d in order", number);
  }
}

Test(gate, keep_alive_timeout_is_announced) {
  HttpServerLimits limits;
  limits.idleTimeout = 2500ms;
  HttpServerFixture server(echo, limits);
  RawClient caller(server.port);
  for (int time = 0; time < 5; ++time) {
    caller.send(get);
    auto got = caller.until("[]");
    cr_assert(has(got, "\r\nConnection: keep-alive\r\n") && has(got, "\r\nKeep-Alive: timeout=2\r\n"), "got \"%s\"",
              got.c_str());
  }
  cr_assert_eq(server.connections(), 1u);
  cr_assert_eq(server.exchanges(), 0u);
  RawClient old(server.port);
  old.send("GET /x HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
  cr_assert(has(old.until("[]"), "\r\nConnection: keep-alive\r\n"));
  auto got = old.askAll("GET /x HTTP/1.0\r\n\r\n");
  cr_assert(has(got, "\r\nConnection: close\r\n") && has(got, "[]"));
  RawClient both(server.port);
  got = both.askAll("GET /x HTTP/1.0\r\nConnection: keep-alive, close\r\n\r\n");
  cr_assert(has(got, "\r\nConnection: close\r\n") && !both.timedOut);
}

Test(gate, idle_connections_are_closed_without_a_response) {
  HttpServerLimits limits;
  limits.idleTimeout = 100ms;
  HttpServerFixture server(echo, limits);
  RawClient fresh(server.port), used(server.port), blank(server.port);
  blank.send("\r\n");
  used.send(get);
  auto promise = used.until("[]");
  cr_assert(has(promise, "Connection: keep-alive\r\n") && !has(promise, "Keep-Alive: "), "no second is promised");
  cr_assert_eq(used.all(), "");
  cr_assert_eq(fresh.all(), "");
  cr_assert_eq(blank.all(), "");
  cr_assert(!used.timedOut && !fresh.timedOut && !blank.timedOut && !used.reset && !fresh.reset);
  cr_assert(eventually([&] { return server.connections() == 0; }));
}

Test(gate, slow_heads_and_stalled_bodies_are_timed_out) {
  HttpServerLimits limits;
  limits.headerTimeout = 120ms;
  std::atomic<int> handled{0};
  HttpServerFixture server(
      [&](HttpRequest, std::shared_ptr<ResponseWriter> response) {
        ++handled;
        sendResponse(response, "ok");
      },
      limits);
  for (const auto& input : {std::string("G"), std::string("GET /x HTTP/1.1\r\nHost: a\r\n"),
                            post("Content-Length: 5\r\n", "hell"), post("Transfer-Encoding: chunked\r\n", "2\r\nhe")}) {
    RawClient caller(server.port);
    auto got = caller.askAll(input);
    cr_assert_eq(statusOf(got), 408, "got \"%s\"", got.c_str());
  }
  RawClient dribble(server.port);
  TimePoint began = Clock::now();
  for (char letter : get) {
    dribble.send(std::string_view(&letter, 1));
    if (dribble.receive(20ms) != "") break;
  }
  cr_assert_lt(toMilliseconds(Clock::now() - began), 450, "a head that dribbles has no more time");
  RawClient slow(server.port);
  slow.send(post("Content-Length: 8\r\n"));
  for (int part = 0; part < 8; ++part) {
    cr_assert_eq(slow.receive(50ms).value_or("end"), "");
    slow.send("x");
  }
  cr_assert_eq(statusOf(slow.until("ok")), 200, "a body that goes on has its time");
  cr_assert_eq(handled.load(), 1);
}

Test(gate, changed_limits_apply_to_later_requests) {
  HttpServerFixture server(echo);
  HttpServerLimits limits;
  limits.maxBodyBytes = 4;
  limits.maxHeaderBytes = 100;
  RawClient caller(server.port);
  caller.send(post("Expect: 100-continue\r\nContent-Length: 5\r\n"));
  cr_assert_eq(statusOf(caller.until("\r\n\r\n")), 100, "the first request has begun");
  server.run([&] { server.httpServer.setLimits(limits); });
  caller.send("hello");
  cr_assert_eq(statusOf(caller.until("[hello]")), 200);
  cr_assert_eq(statusOf(caller.askAll(post("Content-Length: 5\r\n", "hello"))), 413);
  std::string head = "GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nOdd: ";
  RawClient fits(server.port), tooLong(server.port);
  cr_assert_eq(statusOf(fits.askAll(head + std::string(96 - head.size(), 'b') + "\r\n\r\n")), 200);
  cr_assert_eq(statusOf(tooLong.askAll(head + std::string(97 - head.size(), 'b') + "\r\n\r\n")), 431);
}

Test(gate, expect_100_continue_is_answered) {
  HttpServerFixture server(echo);
  RawClient caller(server.port);
  caller.send(post("Expect: 100-continue\r\nContent-Length: 5\r\n"));
  cr_assert_eq(caller.until("\r\n\r\n"), "HTTP/1.1 100 Continue\r\n\r\n");
  caller.send("hello");
  cr_assert_eq(statusOf(caller.until("[hello]")), 200);
  caller.send(post("Expect: 100-continue\r\nContent-Length: 5\r\n", "hello"));
  cr_assert_eq(statusOf(caller.until("[hello]")), 200, "what is there need not be asked for");
  caller.send(post("Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n"));
  cr_assert_eq(caller.until("\r\n\r\n"), "HTTP/1.1 100 Continue\r\n\r\n");
  caller.send("5\r\n");
  cr_assert_eq(caller.receive(30ms).value(), "", "it asks once");
  caller.send("hello\r\n0\r\n\r\n");
  cr_assert_eq(statusOf(caller.until("[hello]")), 200);
  cr_assert_eq(statusOf(caller.askAll(post("Expect: 100-continue\r\nContent-Length: 5000000\r\n"))), 413);
}

Test(gate, streamed_response_arrives_piece_by_piece) {
  HeldResponses held;
  HttpServerFixture server(held.handler());
  RawClient caller(server.port);
  caller.send(get);
  cr_assert(eventually([&] { return held.received == 1; }));
  cr_assert_eq(server.exchanges(), 1u);
  auto response = held.responses[0];
  cr_assert(!server.run([&] { return response->started(); }));
  server.run([&] {
    response->head(200,
                   {{"X-odd-Case", "One"},
                    {"Connection", "bad"},
                    {"content-length", "7"},
                    {"transfer-encoding", "bad"},
                    {"Keep-Alive", "bad"},
                    {"Proxy-Thing", "bad"},
                    {"TE", "bad"},
                    {"Trailer", "bad"},
                    {"Upgrade", "bad"},
                    {"X-Split", "a\r\nX-Bad: bad"},
                    {"X-Two", "1"},
                    {"X-Two", "2"}},
                   std::nullopt);
  });
  cr_assert_eq(caller.until("\r\n\r\n"),
               "HTTP/1.1 200 OK\r\nX-odd-Case: One\r\nX-Two: 1\r\nX-Two: 2\r\nTransfer-Encoding: chunked\r\n"
               "Connection: keep-alive\r\nKeep-Alive: timeout=15\r\n\r\n");
  for (int number = 0; number < 3; ++number) {
    server.run([&] {
      response->bytes("piece " + std::to_string(number));
      response->bytes("");
    });
    cr_assert_eq(caller.until("\r\npiece " + std::to_string(number) + "\r\n"),
                 "7\r\npiece " + std::to_string(number) + "\r\n");
  }
  server.run([&] {
    response->bytes("a");
    response->bytes(std::string(20, 'b'));
    response->end();
    response->bytes("late");
    response->end();
    response->abort();
  });
  cr_assert_eq(caller.until("\r\n0\r\n\r\n"), "1\r\na\r\n14\r\n" + std::string(20, 'b') + "\r\n0\r\n\r\n");
  cr_assert(eventually([&] { return server.exchanges() == 0; }));
  caller.send(get);
  cr_assert(eventually([&] { return held.received == 2; }), "the connection is kept");
}

Test(gate, responses_that_must_not_have_a_body_have_none) {
  HttpServerFixture server([](HttpRequest request, std::shared_ptr<ResponseWriter> response) {
    int status = std::stoi(request.target.substr(1));
    response->head(status, {}, status == 201 ? std::optional<std::size_t>() : 4);
    response->bytes("body");
    response->end();
  });
  RawClient caller(server.port);
  auto ask = [&](const std::string& line) {
    caller.send(line + " HTTP/1.1\r\nHost: a\r\n\r\nGET /299 HTTP/1.1\r\nHost: a\r\n\r\n");
    return caller.until("body");
  };
  for (const auto& line : {"HEAD /200", "HEAD /201", "GET /204", "GET /304", "HEAD /304"}) {
    auto got = ask(line);
    cr_assert_eq(count(got, "HTTP/1.1 "), 2u, "%s: got \"%s\"", line, got.c_str());
    cr_assert_eq(count(got, "body"), 1u, "%s: got \"%s\"", line, got.c_str());
    cr_assert(has(got, "\r\n\r\nHTTP/1.1 299 Success\r\n"), "%s: got \"%s\"", line, got.c_str());
    auto first = got.substr(0, got.find("\r\n\r\n"));
    cr_assert_eq(has(first, "Content-Length: 4"), std::string(line) == "HEAD /200", "%s", line);
    cr_assert_eq(has(first, "chunked"), std::string(line) == "HEAD /201", "%s", line);
  }
}

Test(gate, http_1_0_streams_end_with_the_connection) {
  HeldResponses held;
  HttpServerFixture server(held.handler());
  RawClient caller(server.port);
  caller.send("GET /x HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
  cr_assert(eventually([&] { return held.received == 1; }));
  server.run([&] {
    held.responses[0]->head(200, {}, std::nullopt);
    held.responses[0]->bytes("one ");
  });
  cr_assert_eq(caller.until("one "), "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\none ");
  server.run([&] {
    held.responses[0]->bytes("two");
    held.responses[0]->end();
  });
  cr_assert_eq(caller.all(), "two");
  cr_assert(!caller.reset && !caller.timedOut);
}

Test(gate, aborted_response_never_looks_complete) {
  HeldResponses held;
  HttpServerFixture server(held.handler());
  auto cutAfter = [&](const std::string& request, RawClient& caller, const std::function<void(ResponseWriter&)>& action,
                      bool inOneTurn) {
    int before = held.received;
    caller.send(request);
    cr_assert(eventually([&] { return held.received > before; }));
    auto response = held.responses.back();
    server.run([&] {
      action(*response);
      if (inOneTurn) response->abort();
    });
    std::string got;
    if (!inOneTurn) {
      while (true) {
        auto part = caller.receive(30ms);
        if (!part || part->empty()) break;
        got += *part;
      }
      server.run([&] { response->abort(); });
    }
    got += caller.all();
    cr_assert(!caller.timedOut);
    server.run([&] {
      response->bytes("late");
      response->end();
    });
    return got;
  };
  const std::string old = "GET /x HTTP/1.0\r\n\r\n", head = "HEAD /x HTTP/1.1\r\nHost: a\r\n\r\n";
  for (bool inOneTurn : {true, false}) {
    RawClient silent(server.port);
    cr_assert_eq(cutAfter(
                     get, silent, [](ResponseWriter&) {}, inOneTurn),
                 "", "nothing written");
    RawClient chunks(server.port);
    auto got = cutAfter(
        get, chunks,
        [](ResponseWriter& response) {
          response.head(200, {}, std::nullopt);
          response.bytes("abc");
        },
        inOneTurn);
    cr_assert(has(got, "3\r\nabc\r\n") && !has(got, "0\r\n\r\n"), "got \"%s\"", got.c_str());
    RawClient filled(server.port);
    got = cutAfter(
        get, filled,
        [](ResponseWriter& response) {
          response.head(200, {}, 3);
          response.bytes("abc");
        },
        inOneTurn);
    cr_assert(has(got, "\r\n\r\nab") && !has(got, "abc"), "got \"%s\"", got.c_str());
    for (const auto& request : {get, head}) {
      RawClient empty(server.port);
      got = cutAfter(
          request, empty, [](ResponseWriter& response) { response.head(200, {}, 0); }, inOneTurn);
      cr_assert(!has(got, "\r\n\r\n"), "got \"%s\"", got.c_str());
    }
    RawClient none(server.port);
    got = cutAfter(
        get, none, [](ResponseWriter& response) { response.head(204, {}, std::nullopt); }, inOneTurn);
    cr_assert(!has(got, "\r\n\r\n"), "got \"%s\"", got.c_str());
    RawClient untilClose(server.port);
    cutAfter(
        old, untilClose,
        [](ResponseWriter& response) {
          response.head(200, {}, std::nullopt);
          response.bytes("abc");
        },
        inOneTurn);
    cr_assert(untilClose.reset, "a response delimited by the end of the connection must end in a reset");
  }
  cr_assert_eq(held.disconnects.load(), 0, "the server aborted the responses, no client disconnected");
  cr_assert_eq(server.exchanges(), 0u);
}

Test(gate, responses_that_violate_their_length_are_aborted) {
  HttpServerFixture server([](HttpRequest request, std::shared_ptr<ResponseWriter> response) {
    if (request.target == "/short") {
      response->head(200, {}, 5);
      response->bytes("abcd");
      response->end();
    } else if (request.target == "/long") {
      response->head(200, {}, 3);
      response->bytes("ab");
      response->bytes("cdef");
      response->end();
    } else if (request.target == "/silent") {
      response->end();
    } else if (request.target == "/dropped") {
      response->head(200, {}, std::nullopt);
      response->bytes("ab");
    }
  });
  for (const auto& [target, least] : std::vector<std::pair<std::string, std::string>>{
           {"/short", "abcd"}, {"/long", "ab"}, {"/silent", ""}, {"/dropped", "2\r\nab\r\n"}, {"/untouched", ""}}) {
    RawClient caller(server.port);
    auto got = caller.askAll("GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n");
    cr_assert(!caller.timedOut, "%s must end", target.c_str());
    if (least.empty())
      cr_assert_eq(got, "", "%s: got \"%s\"", target.c_str(), got.c_str());
    else
      cr_assert_eq(got.substr(std::min(got.size(), got.find("\r\n\r\n") + 4)), least, "%s: got \"%s\"", target.c_str(),
                   got.c_str());
  }
  cr_assert_eq(server.exchanges(), 0u);
}

Test(gate, client_disconnect_is_reported) {
  enum Way { closing, resetting, halfClosing };
  for (Way way : {closing, resetting, halfClosing}) {
    for (bool midStream : {false, true}) {
      for (bool pipelined : {false, true}) {
        HeldResponses held;
        HttpServerFixture server(held.handler());
        RawClient caller(server.port);
        caller.send(pipelined ? get + get : get);
        cr_assert(eventually([&] { return held.received == 1; }));
        auto response = held.responses[0];
        if (midStream) {
          server.run([&] {
            response->head(200, {}, std::nullopt);
            response->bytes("abc");
          });
          cr_assert(has(caller.until("abc\r\n"), "abc"));
        }
        cr_assert_eq(held.disconnects.load(), 0);
        TimePoint left = Clock::now();
        if (way == closing)
          caller.close();
        else if (way == resetting)
          caller.resetConnection();
        else
          caller.socket.shutdown(asio::ip::tcp::socket::shutdown_send);
        cr_assert(eventually([&] { return held.disconnects == 1; }), "way %d, mid-stream %d", way, midStream);
        cr_assert_lt(toMilliseconds(Clock::now() - left), 200);
        std::atomic<int> responseCount{0};
        server.run([&] {
          cr_assert_eq(response->started(), midStream);
          response->head(200, {}, 3);
          response->bytes("abc");
          response->end();
          response->abort();
          cr_assert_eq(response->unwritten(), 0u);
          response->onDisconnect([&] { ++responseCount; });
        });
        cr_assert(eventually([&] { return responseCount == 1; }), "a handler set late is called too");
        cr_assert_eq(server.connections(), 0u);
        cr_assert_eq(server.exchanges(), 0u);
        cr_assert_eq(held.received.load(), 1);
        cr_assert_eq(held.disconnects.load(), 1);
      }
    }
  }
}

Test(gate, client_disconnect_is_reported_with_a_full_read_buffer) {
  HeldResponses held;
  HttpServerFixture server(held.handler());
  RawClient caller(server.port);
  caller.send(get);
  for (int part = 0; part < 20; ++part) caller.send(std::string(4096, 'x'));
  cr_assert(eventually([&] { return held.received == 1; }));
  cr_assert_eq(caller.receive(50ms).value(), "");
  caller.resetConnection();
  cr_assert(eventually([&] { return held.disconnects == 1; }));
}

Test(gate, ended_response_is_written_to_a_half_closed_client) {
  HeldResponses held;
  HttpServerFixture server(held.handler());
  RawClient caller(server.port);
  caller.send(get);
  cr_assert(eventually([&] { return held.received == 1; }));
  const std::string body(16 << 20, 'x');
  server.run([&] { sendResponse(held.responses[0], body); });
  caller.socket.shutdown(asio::ip::tcp::socket::shutdown_send);
  cr_assert_eq(caller.receive(30ms)->substr(0, 12), "HTTP/1.1 200");
  cr_assert_gt(caller.all().size(), body.size() - 16384);
  cr_assert(!caller.reset && !caller.timedOut);
  cr_assert_eq(held.disconnects.load(), 0);
}

Test(gate, unwritten_bytes_are_counted) {
  HeldResponses held;
  HttpServerFixture server(held.handler());
  RawClient caller(server.port);
  caller.send(get);
  cr_assert(eventually([&] { return held.received == 1; }));
  auto response = held.responses[0];
  const std::string part(1 << 20, 'x');
  server.run([&] {
    response->head(200, {}, 32 * part.size());
    for (int time = 0; time < 32; ++time) response->bytes(part);
  });
  std::this_thread::sleep_for(50ms);
  auto left = server.run([&] { return response->unwritten(); });
  cr_assert_gt(left, 1u << 20);
  cr_assert_lt(left, 32 * part.size());
  std::size_t got = 0;
  auto head = caller.until("\r\n\r\n");
  got += head.size() - head.find("\r\n\r\n") - 4;
  while (got < 32 * part.size() - 1) got += caller.receive()->size();
  cr_assert_eq(server.run([&] { return response->unwritten(); }), 1u, "the last byte waits for the end");
  server.run([&] { response->end(); });
  cr_assert_eq(caller.receive()->size(), 1u);
  cr_assert_eq(held.disconnects.load(), 0);
}

Test(gate, silent_new_connection_does_not_delay_draining) {
  HttpServerLimits limits;
  limits.drainIdleTimeout = 150ms;
  HttpServerFixture server(echo, limits);
  server.run([&] { server.httpServer.startDraining(); });
  RawClient silent(server.port), asking(server.port);
  asking.send(get);
  cr_assert(has(asking.all(), "Connection: close"), "a client that sends a request is served");
  cr_assert_eq(silent.all(), "");
  cr_assert_not(silent.timedOut);
}

Test(gate, open_connections_are_served_after_accepting_stopped) {
  HeldResponses held;
  HttpServerFixture server(held.handler());
  RawClient caller(server.port);
  caller.send(get);
  cr_assert(eventually([&] { return held.received == 1; }));
  server.run([&] { server.httpServer.stopAccepting(); });
  asio::error_code error;
  RawClient late(server.port, error);
  cr_assert(error, "nobody listens any more");
  server.run([&] { sendResponse(held.responses[0], "well"); });
  cr_assert(has(caller.until("well"), "well"));
}

Test(gate, draining_closes_idle_connections_and_serves_the_others) {
  HeldResponses held;
  HttpServerLimits limits;
  limits.drainIdleTimeout = 150ms;
  HttpServerFixture server(held.handler(), limits);
  RawClient idle(server.port), busy(server.port), late(server.port);
  idle.send(get);
  late.send(get);
  cr_assert(eventually([&] { return held.received == 2; }));
  server.run([&] {
    sendResponse(held.responses[0], "ok");
    sendResponse(held.responses[1], "ok");
  });
  cr_assert(has(idle.until("ok"), "keep-alive"));
  cr_assert(has(late.until("ok"), "keep-alive"));
  busy.send(get);
  cr_assert(eventually([&] { return held.received == 3; }));
  TimePoint left = Clock::now();
  server.run([&] { server.httpServer.startDraining(); });
  late.send(get);
  cr_assert(eventually([&] { return held.received == 4; }));
  server.run([&] { sendResponse(held.responses[3], "late"); });
  auto got = late.all();
  cr_assert(has(got, "\r\nConnection: close\r\n") && !has(got, "Keep-Alive") && has(got, "late"));
  cr_assert(!late.timedOut && !late.reset);
  cr_assert_eq(idle.all(), "");
  cr_assert(!idle.timedOut);
  cr_assert_geq(toMilliseconds(Clock::now() - left), 145);
  cr_assert_lt(toMilliseconds(Clock::now() - left), 600);
  RawClient fresh(server.port);
  fresh.send(get);
  cr_assert(eventually([&] { return held.received == 5; }), "new connections are still served");
  server.run([&] {
    sendResponse(held.responses[4], "fresh");
    sendResponse(held.responses[2], "busy");
  });
  got = fresh.all();
  cr_assert(has(got, "\r\nConnection: close\r\n") && has(got, "fresh"));
  got = busy.all();
  cr_assert(has(got, "\r\nConnection: close\r\n") && has(got, "busy"));
  cr_assert(eventually([&] { return server.connections() == 0; }));
}

Test(gate, close_ends_all_connections_without_callbacks) {
  HeldResponses held;
  HttpServerFixture server(held.handler());
  RawClient idle(server.port), busy(server.port);
  busy.send(get);
  cr_assert(eventually([&] { return held.received == 1; }));
  server.run([&] { server.httpServer.close(); });
  cr_assert_eq(idle.all(), "");
  cr_assert_eq(busy.all(), "");
  server.run([&] { sendResponse(held.responses[0], "late"); });
  cr_assert_eq(server.connections(), 0u);
  cr_assert_eq(server.exchanges(), 0u);
  cr_assert_eq(held.disconnects.load(), 0);
}

Test(gate, address_that_cannot_be_bound_is_reported) {
  asio::io_context io;
  HttpServer first(io, "127.0.0.1:0", echo);
  cr_assert(bool(first.open()));
  HttpServer second(io, "127.0.0.1:" + std::to_string(first.port()), echo), third(io, "nowhere", echo);
  cr_assert_eq(static_cast<int>(second.open().error().code), static_cast<int>(Code::badProps));
  cr_assert_eq(static_cast<int>(third.open().error().code), static_cast<int>(Code::badProps));
}
