#include "proxy_fixture.hpp"

using namespace tt;
using namespace tt::proxytest;

namespace {
/// The head of a worker's answer, up to its body.
std::string headTo(const std::string& request, const std::string& seal, const std::string& framing) {
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + headerOf(request, "X-Attempt-Id") + "\r\nX-Server-Seal: " + seal +
         "\r\n" + framing + "\r\n";
}
}  // namespace

Test(proxy_faults, a_second_workers_answer_bears_no_head_of_the_first) {
  Proxy proxy(2);
  Caller caller(proxy.front());
  caller.send(ask("/x", "a1"));
  auto first = proxy.accept();
  auto request = first.request();
  cr_assert_eq(headerOf(request, "X-Attempt-Id"), "a1");
  first.say(headTo(request, "first", "Content-Length: 40\r\n"));
  first.close();
  auto second = proxy.accept();
  second.say(answerTo(second.request(), "second", "hello"));
  auto got = caller.until("hello");
  cr_assert(has(got, "hello"), "got \"%s\"", got.c_str());
  cr_assert_eq(headerOf(got, "X-Server-Seal"), "second", "got \"%s\"", got.c_str());
  cr_assert_eq(headerOf(got, "Content-Length"), "5");
}

Test(proxy_faults, pipelined_requests_get_their_own_answers_in_order) {
  Proxy proxy;
  Caller caller(proxy.front());
  caller.send(ask("/one", "a1") + ask("/two", "a2"));
  auto worker = proxy.accept();
  auto first = worker.request();
  cr_assert_eq(headerOf(first, "X-Attempt-Id"), "a1");
  cr_assert_not(proxy.isCalled(), "the second waits for the first's answer");
  worker.say(answerTo(first, "s1", "for one"));
  cr_assert(has(caller.until("for one"), "X-Server-Seal: s1"));
  auto second = worker.request();
  cr_assert_eq(headerOf(second, "X-Attempt-Id"), "a2");
  worker.say(answerTo(second, "s2", "for two"));
  cr_assert(has(caller.until("for two"), "X-Server-Seal: s2"));
}

Test(proxy_faults, a_late_answer_for_a_client_that_has_gone_reaches_nobody) {
  Proxy proxy;
  for (bool frozen : {false, true}) {
    auto gone = std::make_unique<Caller>(proxy.front());
    gone->send(ask("/gone", "a1"));
    auto worker = proxy.accept();
    auto request = worker.request();
    if (frozen) proxy.signal(SIGSTOP);
    gone->resetConnection();
    if (!frozen) cr_assert(worker.ended(), "its call is dropped");
    Caller next(proxy.front());
    next.send(ask("/next", "a2"));
    worker.say(answerTo(request, "gone", "for the one that has gone"));
    if (frozen) proxy.signal(SIGCONT);
    auto other = proxy.accept();
    auto later = other.request();
    cr_assert_eq(headerOf(later, "X-Attempt-Id"), "a2");
    other.say(answerTo(later, "next", "for the next"));
    auto got = next.until("for the next");
    cr_assert_eq(headerOf(got, "X-Server-Seal"), "next", "got \"%s\"", got.c_str());
    cr_assert_eq(count(got, "HTTP/1.1 "), 1u);
    cr_assert_not(has(got, "gone"));
    other.close();
  }
}

Test(proxy_faults, an_answer_that_a_worker_cuts_never_looks_whole) {
  Proxy proxy(8);
  for (const char* framing : {"Content-Length: 40\r\n", "Transfer-Encoding: chunked\r\n"}) {
    for (bool old : {false, true}) {
      Caller caller(proxy.front());
      caller.send(old ? "GET /once/x HTTP/1.0\r\nHost: a\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 8000\r\n\r\n"
                      : ask("/once/x", "a1"));
      auto worker = proxy.accept();
      auto request = worker.request();
      bool chunked = framing[0] == 'T';
      worker.say(headTo(request, "cut", framing) + (chunked ? "5\r\nhello\r\n" : "hello"));
      auto got = caller.until("hello");
      cr_assert(has(got, "hello"));
      worker.reset();
      got += caller.all();
      cr_assert(!caller.timedOut);
      if (chunked && old)
        cr_assert(caller.reset, "the end of the connection must not look like the end of the answer");
      else if (chunked)
        cr_assert_not(has(got, "0\r\n\r\n"));
      else
        cr_assert(has(got, "Content-Length: 40\r\n"));
      cr_assert_eq(count(got, "HTTP/1.1 "), 1u);
    }
  }
}

Test(proxy_faults, callers_are_held_to_the_limits_in_force_from_the_first_request_on) {
  Proxy proxy;
  proxy.declare(R"({"limits":{"callers":{"headerBytes":16384,"bodyBytes":4,"headerMs":3000,"idleMs":15000}}})");
  Caller over(proxy.front());
  cr_assert_eq(statusOf(over.askAll("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello")), 413);
  proxy.declare(R"({"limits":{"callers":{"headerBytes":16384,"bodyBytes":5,"headerMs":3000,"idleMs":15000}}})");
  Caller within(proxy.front());
  within.send(
      "POST /x HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 8000\r\nContent-Length: 5\r\n\r\nhello");
  auto worker = proxy.accept();
  worker.say(answerTo(worker.request(), "s", "well"));
  cr_assert(has(within.until("well"), "well"));
}

Test(proxy_faults, nothing_of_a_smuggled_or_half_sent_request_reaches_a_worker) {
  Proxy proxy;
  const std::string inner = ask("/inner", "a2");
  for (const auto& input :
       {ask("/x", "a1", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n" + inner,
        ask("/x", "a1", "Content-Length: 4\r\nContent-Length: 5\r\n") + "abcde" + inner,
        ask("/x", "a1", "Odd: a\r\n folded\r\n") + inner, ask("/x", "a1", "Odd : a\r\n") + inner,
        ask("/x", "a1", "Transfer-Encoding: chunked\r\n") + "5\n\nabc" + inner}) {
    Caller caller(proxy.front());
    auto got = caller.askAll(input);
    cr_assert_eq(statusOf(got), 400, "got \"%s\"", got.c_str());
    cr_assert_eq(count(got, "HTTP/1.1 "), 1u);
    cr_assert_not(caller.timedOut);
  }
  for (const auto& half : {inner.substr(0, inner.size() - 2), ask("/x", "a1", "Content-Length: 5\r\n") + "hell",
                           ask("/x", "a1", "Transfer-Encoding: chunked\r\n") + "5\r\nhello\r\n0\r\n"}) {
    Caller caller(proxy.front());
    caller.send(half);
    caller.resetConnection();
  }
  cr_assert_not(proxy.isCalled(200ms), "no worker is called");
}

Test(proxy_faults, what_is_under_way_when_a_proxy_leaves_is_answered_whole) {
  Proxy proxy;
  Caller kept(proxy.front()), early(proxy.front());
  early.send(ask("/early", "a1"));
  auto first = proxy.accept();
  auto request = first.request();
  kept.send(ask("/kept", "a2"));
  auto second = proxy.accept();
  second.say(answerTo(second.request(), "s2", "for the kept"));
  cr_assert(has(kept.until("for the kept"), "Connection: keep-alive"));
  kept.send(ask("/again", "a3"));
  auto again = second.request();
  cr_assert_eq(headerOf(again, "X-Attempt-Id"), "a3");
  proxy.signal(SIGTERM);
  Caller late(proxy.front());
  late.send(ask("/late", "a4"));
  auto third = proxy.accept();
  third.say(answerTo(third.request(), "s4", "for the late"));
  auto got = late.all();
  cr_assert(has(got, "for the late") && has(got, "Connection: close"), "got \"%s\"", got.c_str());
  second.say(answerTo(again, "s3", "for the kept again"));
  cr_assert(has(kept.all(), "for the kept again"));
  cr_assert_not(proxy.hasEnded(100ms), "an exchange is under way");
  first.say(answerTo(request, "s1", "for the early"));
  got = early.all();
  cr_assert(has(got, "for the early") && has(got, "Connection: close"), "got \"%s\"", got.c_str());
  cr_assert(proxy.hasEnded(8s));
}

Test(proxy_faults, a_request_bears_the_version_of_its_worker_whether_it_names_a_model_or_not) {
  Proxy proxy(2);
  auto versionAtWorker = [&](const std::string& headers) {
    Caller caller(proxy.front());
    caller.send(ask("/x", "a1", headers));
    auto worker = proxy.accept();
    auto request = worker.request();
    worker.say(answerTo(request, "s1", "well"));
    cr_assert(has(caller.until("well"), "well"));
    cr_expect_leq(count(request, "X-Expect-Version"), 1u);
    return headerOf(request, "X-Expect-Version");
  };
  const std::string named = "X-Model: moss\r\n", claimed = "X-Expect-Version: 9\r\n";
  cr_expect_eq(versionAtWorker(claimed), "", "workers without a model have no version, whatever callers say");
  for (const char* version : {"4", "5"}) {
    proxy.name("moss", std::string("moss/") + version);
    cr_expect_eq(versionAtWorker(named), version);
    cr_expect_eq(versionAtWorker(named + claimed), version, "callers do not choose it");
    cr_expect_eq(versionAtWorker(""), version, "no model named");
    cr_expect_eq(versionAtWorker(claimed), version, "no model named, a version claimed");
  }
}
