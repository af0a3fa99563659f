#include "proxy_fixture.hpp"

using namespace tt;
using namespace tt::proxytest;

namespace {
/// Returns the head of a worker's response to a request.
std::string responseHead(const std::string& request, const std::string& seal, const std::string& framing) {
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + headerOf(request, "X-Attempt-Id") + "\r\nX-Server-Seal: " + seal +
         "\r\n" + framing + "\r\n";
}
}  // namespace

Test(proxy_faults, the_response_of_a_second_worker_has_no_headers_of_the_first) {
  Proxy proxy(2);
  RawClient client(proxy.front());
  client.send(getRequest("/x", "a1"));
  auto first = proxy.accept();
  auto request = first.request();
  cr_assert_eq(headerOf(request, "X-Attempt-Id"), "a1");
  first.send(responseHead(request, "first", "Content-Length: 40\r\n"));
  first.close();
  auto second = proxy.accept();
  second.send(responseTo(second.request(), "second", "hello"));
  auto response = client.readUntil("hello");
  cr_assert(has(response, "hello"), "got \"%s\"", response.c_str());
  cr_assert_eq(headerOf(response, "X-Server-Seal"), "second", "got \"%s\"", response.c_str());
  cr_assert_eq(headerOf(response, "Content-Length"), "5");
}

Test(proxy_faults, pipelined_requests_get_their_own_responses_in_order) {
  Proxy proxy;
  RawClient client(proxy.front());
  client.send(getRequest("/one", "a1") + getRequest("/two", "a2"));
  auto worker = proxy.accept();
  auto first = worker.request();
  cr_assert_eq(headerOf(first, "X-Attempt-Id"), "a1");
  cr_assert_not(proxy.isCalled(), "the second request must wait for the first response");
  worker.send(responseTo(first, "s1", "for one"));
  cr_assert(has(client.readUntil("for one"), "X-Server-Seal: s1"));
  auto second = worker.request();
  cr_assert_eq(headerOf(second, "X-Attempt-Id"), "a2");
  worker.send(responseTo(second, "s2", "for two"));
  cr_assert(has(client.readUntil("for two"), "X-Server-Seal: s2"));
}

Test(proxy_faults, a_late_answer_for_a_client_that_has_gone_reaches_nobody) {
  Proxy proxy;
  for (bool frozen : {false, true}) {
    auto gone = std::make_unique<RawClient>(proxy.front());
    gone->send(getRequest("/gone", "a1"));
    auto worker = proxy.accept();
    auto request = worker.request();
    if (frozen) proxy.signal(SIGSTOP);
    gone->resetConnection();
    if (!frozen) cr_assert(worker.ended(), "the call of a disconnected client must be cancelled");
    RawClient next(proxy.front());
    next.send(getRequest("/next", "a2"));
    worker.send(responseTo(request, "gone", "for the one that has gone"));
    if (frozen) proxy.signal(SIGCONT);
    auto other = proxy.accept();
    auto later = other.request();
    cr_assert_eq(headerOf(later, "X-Attempt-Id"), "a2");
    other.send(responseTo(later, "next", "for the next"));
    auto response = next.readUntil("for the next");
    cr_assert_eq(headerOf(response, "X-Server-Seal"), "next", "got \"%s\"", response.c_str());
    cr_assert_eq(count(response, "HTTP/1.1 "), 1u);
    cr_assert_not(has(response, "gone"));
    other.close();
  }
}

Test(proxy_faults, an_incomplete_response_never_looks_complete) {
  Proxy proxy(8);
  for (const char* framing : {"Content-Length: 40\r\n", "Transfer-Encoding: chunked\r\n"}) {
    for (bool old : {false, true}) {
      RawClient client(proxy.front());
      client.send(old ? "GET /once/x HTTP/1.0\r\nHost: a\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 8000\r\n\r\n"
                      : getRequest("/once/x", "a1"));
      auto worker = proxy.accept();
      auto request = worker.request();
      bool chunked = framing[0] == 'T';
      worker.send(responseHead(request, "cut", framing) + (chunked ? "5\r\nhello\r\n" : "hello"));
      auto response = client.readUntil("hello");
      cr_assert(has(response, "hello"));
      worker.reset();
      response += client.readAll();
      cr_assert(!client.timedOut);
      if (chunked && old)
        cr_assert(client.reset, "the end of the connection must not look like the end of the response");
      else if (chunked)
        cr_assert_not(has(response, "0\r\n\r\n"));
      else
        cr_assert(has(response, "Content-Length: 40\r\n"));
      cr_assert_eq(count(response, "HTTP/1.1 "), 1u);
    }
  }
}

Test(proxy_faults, client_limits_apply_from_the_first_request_on) {
  Proxy proxy;
  proxy.applyPatch(R"({"limits":{"callers":{"headerBytes":16384,"bodyBytes":4,"headerMs":3000,"idleMs":15000}}})");
  RawClient over(proxy.front());
  cr_assert_eq(statusOf(over.sendAndReadAll("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello")), 413);
  proxy.applyPatch(R"({"limits":{"callers":{"headerBytes":16384,"bodyBytes":5,"headerMs":3000,"idleMs":15000}}})");
  RawClient within(proxy.front());
  within.send(
      "POST /x HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 8000\r\nContent-Length: 5\r\n\r\nhello");
  auto worker = proxy.accept();
  worker.send(responseTo(worker.request(), "s", "well"));
  cr_assert(has(within.readUntil("well"), "well"));
}

Test(proxy_faults, nothing_of_a_smuggled_or_half_sent_request_reaches_a_worker) {
  Proxy proxy;
  const std::string inner = getRequest("/inner", "a2");
  for (const auto& input :
       {getRequest("/x", "a1", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n" + inner,
        getRequest("/x", "a1", "Content-Length: 4\r\nContent-Length: 5\r\n") + "abcde" + inner,
        getRequest("/x", "a1", "Odd: a\r\n folded\r\n") + inner, getRequest("/x", "a1", "Odd : a\r\n") + inner,
        getRequest("/x", "a1", "Transfer-Encoding: chunked\r\n") + "5\n\nabc" + inner}) {
    RawClient client(proxy.front());
    auto response = client.sendAndReadAll(input);
    cr_assert_eq(statusOf(response), 400, "got \"%s\"", response.c_str());
    cr_assert_eq(count(response, "HTTP/1.1 "), 1u);
    cr_assert_not(client.timedOut);
  }
  for (const auto& half : {inner.substr(0, inner.size() - 2), getRequest("/x", "a1", "Content-Length: 5\r\n") + "hell",
                           getRequest("/x", "a1", "Transfer-Encoding: chunked\r\n") + "5\r\nhello\r\n0\r\n"}) {
    RawClient client(proxy.front());
    client.send(half);
    client.resetConnection();
  }
  cr_assert_not(proxy.isCalled(200ms), "no worker may be called");
}

Test(proxy_faults, open_requests_get_complete_responses_when_a_proxy_drains) {
  Proxy proxy;
  RawClient kept(proxy.front()), early(proxy.front());
  early.send(getRequest("/early", "a1"));
  auto first = proxy.accept();
  auto request = first.request();
  kept.send(getRequest("/kept", "a2"));
  auto second = proxy.accept();
  second.send(responseTo(second.request(), "s2", "for the kept"));
  cr_assert(has(kept.readUntil("for the kept"), "Connection: keep-alive"));
  kept.send(getRequest("/again", "a3"));
  auto again = second.request();
  cr_assert_eq(headerOf(again, "X-Attempt-Id"), "a3");
  proxy.signal(SIGTERM);
  RawClient late(proxy.front());
  late.send(getRequest("/late", "a4"));
  auto third = proxy.accept();
  third.send(responseTo(third.request(), "s4", "for the late"));
  auto response = late.readAll();
  cr_assert(has(response, "for the late") && has(response, "Connection: close"), "got \"%s\"", response.c_str());
  second.send(responseTo(again, "s3", "for the kept again"));
  cr_assert(has(kept.readAll(), "for the kept again"));
  cr_assert_not(proxy.hasEnded(100ms), "the process must not exit while a request is open");
  first.send(responseTo(request, "s1", "for the early"));
  response = early.readAll();
  cr_assert(has(response, "for the early") && has(response, "Connection: close"), "got \"%s\"", response.c_str());
  cr_assert(proxy.hasEnded(8s));
}

Test(proxy_faults, a_request_has_the_weights_version_of_its_worker_with_or_without_a_model) {
  Proxy proxy(2);
  auto versionAtWorker = [&](const std::string& headers) {
    RawClient client(proxy.front());
    client.send(getRequest("/x", "a1", headers));
    auto worker = proxy.accept();
    auto request = worker.request();
    worker.send(responseTo(request, "s1", "well"));
    cr_assert(has(client.readUntil("well"), "well"));
    cr_expect_leq(count(request, "X-Expect-Version"), 1u);
    return headerOf(request, "X-Expect-Version");
  };
  const std::string named = "X-Model: moss\r\n", claimed = "X-Expect-Version: 9\r\n";
  cr_expect_eq(versionAtWorker(claimed), "", "a worker without a model has no version, whatever the client sends");
  for (const char* version : {"4", "5"}) {
    proxy.announceWeights("moss", std::string("moss/") + version);
    cr_expect_eq(versionAtWorker(named), version);
    cr_expect_eq(versionAtWorker(named + claimed), version, "a client must not choose the version");
    cr_expect_eq(versionAtWorker(""), version, "request without a model");
    cr_expect_eq(versionAtWorker(claimed), version, "request without a model, with a version from the client");
  }
}
