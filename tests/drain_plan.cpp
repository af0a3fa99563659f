#include "drain_plan.hpp"
#include "proxy_router_harness.hpp"

using namespace tt;

namespace {
constexpr Duration grace = 8s;

/// A proxy with one worker; the proxy has been told to stop.
struct DrainingProxy : ProxyHarness {
  DrainPlan plan;
  DrainingProxy() {
    addWorkers(1);
    plan = planDrain(now, grace);
    router->drain(plan);
  }
  void runTo(TimePoint time) { run(time - now); }
  void sendChunk(const std::string& requestId, const std::string& text, const std::string& piece = {}) {
    deliver("worker", WorkerChunk{attemptsOf(requestId).back().requestId, text, piece});
  }
  void finishAttempt(const std::string& requestId, AttemptOutcome outcome = AttemptOutcome::done) {
    deliver("worker", WorkerEnd{attemptsOf(requestId).back().requestId, static_cast<int>(outcome), 0, 0, 0, 0});
  }
  void expectDenied(const std::string& requestId) {
    auto status = finalStatusOf(requestId);
    cr_expect_eq(status.verdict, "not run");
    cr_expect_eq(status.code, static_cast<int>(Code::stopping));
    cr_expect_gt(status.retryAfterMs, 0, "the client gets a retry delay");
    cr_expect(attemptsOf(requestId).empty(), "it is sent to no worker");
  }
};
}  // namespace

Test(drain_plan, its_times_are_in_order_and_before_the_kill_for_any_grace_period) {
  const TimePoint now(1h);
  for (Duration gracePeriod = 100ms; gracePeriod <= 60s; gracePeriod += 100ms) {
    auto plan = planDrain(now, gracePeriod);
    cr_expect_eq((plan.startedAt - now).count(), 0);
    cr_expect(plan.startedAt < plan.refusesFrom && plan.refusesFrom < plan.endsAt && plan.endsAt < plan.exitsBy &&
              plan.exitsBy < now + gracePeriod);
    cr_expect(plan.endsAt - now >= gracePeriod * 5 / 6, "requests accepted in time have nearly the whole grace period");
    cr_expect(plan.refusesFrom - now <= 3s && plan.refusesFrom - now <= gracePeriod / 2);
  }
}

Test(drain_plan, every_request_is_accepted_until_clients_are_sent_elsewhere) {
  DrainingProxy proxy;
  for (TimePoint at = proxy.now; at < proxy.plan.refusesFrom - 20ms; at += 500ms) {
    proxy.runTo(at);
    auto requestId = proxy.submit("/stream/x");
    proxy.run(20ms);
    cr_expect_eq(proxy.attemptsOf(requestId).size(), 1u);
    proxy.finishAttempt(requestId);
    cr_expect_eq(proxy.finalStatusOf(requestId).verdict, "done");
  }
}

Test(drain_plan, later_requests_are_accepted_only_if_their_deadline_is_before_the_end) {
  DrainingProxy proxy;
  proxy.runTo(proxy.plan.refusesFrom);
  proxy.expectDenied(proxy.submit("/stream/x"));
  auto shortRequest = proxy.clientRequest("/stream/x");
  shortRequest.deadlineMs = toMilliseconds(proxy.plan.endsAt - proxy.now);
  auto shortId = proxy.submit(shortRequest);
  auto onceId = proxy.submit("/once/x");
  proxy.run(20ms);
  cr_expect_eq(proxy.attemptsOf(shortId).size(), 1u);
  cr_expect_eq(proxy.attemptsOf(onceId).size(), 1u, "its route's timeout ends in time");
  proxy.finishAttempt(shortId);
  proxy.finishAttempt(onceId);
  for (TimePoint at = proxy.now + 1s; at < proxy.plan.exitsBy; at += 500ms) {
    proxy.runTo(at);
    for (const char* path : {"/stream/x", "/once/x", "/safe/x", "/aim/x"}) proxy.expectDenied(proxy.submit(path));
  }
}

Test(drain_plan, open_requests_get_their_final_status_at_the_end) {
  DrainingProxy proxy;
  proxy.run(1s);
  auto started = proxy.submit("/stream/x"), unstarted = proxy.submit("/stream/x"), finished = proxy.submit("/stream/x");
  proxy.run(20ms);
  proxy.sendChunk(started, "id: 1\n\n", "1");
  proxy.finishAttempt(finished);
  proxy.runTo(proxy.plan.endsAt - 20ms);
  cr_expect(proxy.finalStatusesOf(started).empty() && proxy.finalStatusesOf(unstarted).empty(),
            "no request is ended before");
  auto dropsBefore = proxy.dropCount;
  proxy.run(50ms);
  for (const auto& requestId : {started, unstarted}) {
    auto status = proxy.finalStatusOf(requestId);
    cr_expect_eq(status.verdict, "failed", "it was sent, so it may have run");
    cr_expect_eq(status.code, static_cast<int>(Code::stopping));
  }
  cr_expect_eq(proxy.dropCount - dropsBefore, 2u, "each worker gets a request to drop its attempt");
  cr_expect_eq(proxy.router->openRequests(), 0u);
}

Test(drain_plan, a_pending_request_at_the_end_is_not_run) {
  DrainingProxy proxy;
  proxy.cells["north-a"].workers.clear();
  proxy.publishCells();
  proxy.runTo(proxy.plan.endsAt - 10ms);
  auto shortRequest = proxy.clientRequest("/stream/x");
  shortRequest.deadlineMs = 5;
  auto requestId = proxy.submit(shortRequest);
  proxy.run(50ms);
  auto status = proxy.finalStatusOf(requestId);
  cr_expect_eq(status.verdict, "not run");
  cr_expect(proxy.attemptsOf(requestId).empty());
}

/// Submits requests with random deadlines at random times to a draining proxy. Their workers take a random time, or
/// their connections break. A request that is accepted after the plan has begun to refuse requests must be served or
/// end at its own deadline; the drain must not end it.
Test(drain_plan, no_request_accepted_late_is_ended_by_the_drain) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 randomSource(seed);
    auto randomBelow = [&](std::uint64_t below) { return randomSource() % below; };
    DrainingProxy proxy;
    struct SubmittedRequest {
      std::string requestId;
      TimePoint at, deadline, finishAt;
      AttemptOutcome outcome;
    };
    std::vector<SubmittedRequest> submittedRequests;
    while (proxy.now < proxy.plan.exitsBy) {
      proxy.run(20ms);
      if (randomBelow(3) == 0) {
        bool streams = randomBelow(2);
        auto request = proxy.clientRequest(streams ? "/stream/x" : "/safe/x");
        request.deadlineMs = static_cast<std::int64_t>(100 + randomBelow(8000));
        Duration timeout = streams ? 8s : 4s;
        TimePoint deadline = proxy.now + std::min<Duration>(timeout, std::chrono::milliseconds(request.deadlineMs));
        submittedRequests.push_back(SubmittedRequest{proxy.submit(request), proxy.now, deadline,
                                                     proxy.now + std::chrono::milliseconds(20 + randomBelow(6000)),
                                                     randomBelow(10) ? AttemptOutcome::done : AttemptOutcome::broken});
      }
      for (const auto& row : submittedRequests)
        if (proxy.now >= row.finishAt && proxy.finalStatusesOf(row.requestId).empty() &&
            !proxy.attemptsOf(row.requestId).empty())
          proxy.finishAttempt(row.requestId, row.outcome);
    }
    cr_expect_eq(proxy.router->openRequests(), 0u, "seed %lu", seed);
    for (const auto& row : submittedRequests) {
      auto status = proxy.finalStatusOf(row.requestId);
      bool endedByDrain = status.code == static_cast<int>(Code::stopping) && status.verdict != "not run";
      bool excused = row.at < proxy.plan.refusesFrom || row.deadline <= proxy.plan.endsAt;
      cr_expect(!endedByDrain || excused, "seed %lu: %s", seed, row.requestId.c_str());
    }
  }
}
