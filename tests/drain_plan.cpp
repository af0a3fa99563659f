#include "drain_plan.hpp"
#include "routing_bench.hpp"

using namespace tt;

namespace {
constexpr Duration grace = 8s;

/// A proxy with one worker that is told to stop.
struct LeavingProxy : ProxyBench {
  DrainPlan plan;
  LeavingProxy() {
    workers(1);
    plan = planDrain(now, grace);
    edge->drain(plan);
  }
  void runTo(TimePoint moment) { run(moment - now); }
  void say(const std::string& orderId, const std::string& text, const std::string& piece = {}) {
    give("worker", WorkerChunk{sendsOf(orderId).back().orderId, text, piece});
  }
  void finish(const std::string& orderId, OrderOutcome outcome = OrderOutcome::done) {
    give("worker", WorkerEnd{sendsOf(orderId).back().orderId, static_cast<int>(outcome), 0, 0, 0, 0});
  }
  void expectRefused(const std::string& orderId) {
    auto said = verdictOf(orderId);
    cr_expect_eq(said.verdict, "not run");
    cr_expect_eq(said.code, static_cast<int>(Code::stopping));
    cr_expect_gt(said.retryAfterMs, 0, "it says when to come back");
    cr_expect(sendsOf(orderId).empty(), "no worker hears of it");
  }
};
}  // namespace

Test(drain_plan, its_moments_are_in_order_and_before_the_kill_for_any_grace) {
  const TimePoint now(1h);
  for (Duration told = 100ms; told <= 60s; told += 100ms) {
    auto made = planDrain(now, told);
    cr_expect_eq((made.startedAt - now).count(), 0);
    cr_expect(made.startedAt < made.refusesFrom && made.refusesFrom < made.endsAt && made.endsAt < made.exitsBy &&
              made.exitsBy < now + told);
    cr_expect(made.endsAt - now >= told * 5 / 6, "what was taken in time has nearly the whole grace");
    cr_expect(made.refusesFrom - now <= 3s && made.refusesFrom - now <= told / 2);
  }
}

Test(drain_plan, until_clients_are_led_elsewhere_everything_is_taken) {
  LeavingProxy proxy;
  for (TimePoint at = proxy.now; at < proxy.plan.refusesFrom - 20ms; at += 500ms) {
    proxy.runTo(at);
    auto orderId = proxy.place("/stream/x");
    proxy.run(20ms);
    cr_expect_eq(proxy.sendsOf(orderId).size(), 1u);
    proxy.finish(orderId);
    cr_expect_eq(proxy.verdictOf(orderId).verdict, "done");
  }
}

Test(drain_plan, after_that_an_order_is_taken_only_if_its_own_time_ends_before_the_process) {
  LeavingProxy proxy;
  proxy.runTo(proxy.plan.refusesFrom);
  proxy.expectRefused(proxy.place("/stream/x"));
  auto brief = proxy.order("/stream/x");
  brief.deadlineMs = toMilliseconds(proxy.plan.endsAt - proxy.now);
  auto briefId = proxy.place(brief);
  auto once = proxy.place("/once/x");
  proxy.run(20ms);
  cr_expect_eq(proxy.sendsOf(briefId).size(), 1u);
  cr_expect_eq(proxy.sendsOf(once).size(), 1u, "its route's timeout ends in time");
  proxy.finish(briefId);
  proxy.finish(once);
  for (TimePoint at = proxy.now + 1s; at < proxy.plan.exitsBy; at += 500ms) {
    proxy.runTo(at);
    for (const char* path : {"/stream/x", "/once/x", "/safe/x", "/aim/x"}) proxy.expectRefused(proxy.place(path));
  }
}

Test(drain_plan, what_is_unfinished_at_the_end_gets_its_last_answer) {
  LeavingProxy proxy;
  proxy.run(1s);
  auto begun = proxy.place("/stream/x"), unbegun = proxy.place("/stream/x"), finished = proxy.place("/stream/x");
  proxy.run(20ms);
  proxy.say(begun, "id: 1\n\n", "1");
  proxy.finish(finished);
  proxy.runTo(proxy.plan.endsAt - 20ms);
  cr_expect(proxy.verdictsOf(begun).empty() && proxy.verdictsOf(unbegun).empty(), "nobody is given up sooner");
  auto dropsBefore = proxy.drops;
  proxy.run(50ms);
  for (const auto& orderId : {begun, unbegun}) {
    auto said = proxy.verdictOf(orderId);
    cr_expect_eq(said.verdict, "failed", "it was sent, so nobody says that it did not run");
    cr_expect_eq(said.code, static_cast<int>(Code::stopping));
  }
  cr_expect_eq(proxy.drops - dropsBefore, 2u, "their workers are told");
  cr_expect_eq(proxy.edge->openOrders(), 0u);
}

Test(drain_plan, what_waits_for_a_worker_at_the_end_is_told_that_it_did_not_run) {
  LeavingProxy proxy;
  proxy.cells["north-a"].workers.clear();
  proxy.tell();
  proxy.runTo(proxy.plan.endsAt - 10ms);
  auto brief = proxy.order("/stream/x");
  brief.deadlineMs = 5;
  auto orderId = proxy.place(brief);
  proxy.run(50ms);
  auto said = proxy.verdictOf(orderId);
  cr_expect_eq(said.verdict, "not run");
  cr_expect(proxy.sendsOf(orderId).empty());
}

/// Drawn lives of a leaving proxy: orders come at any moment, for any time, and their workers take any time or break
/// off. Whoever is taken once clients are led elsewhere is served, refused, or its own time is over.
Test(drain_plan, nobody_taken_late_is_given_up_for_the_processs_sake) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 dice(seed);
    auto randomBelow = [&](std::uint64_t below) { return dice() % below; };
    LeavingProxy proxy;
    struct Placed {
      std::string orderId;
      TimePoint at, deadline, finishAt;
      OrderOutcome outcome;
    };
    std::vector<Placed> placed;
    while (proxy.now < proxy.plan.exitsBy) {
      proxy.run(20ms);
      if (randomBelow(3) == 0) {
        bool streams = randomBelow(2);
        auto ask = proxy.order(streams ? "/stream/x" : "/safe/x");
        ask.deadlineMs = static_cast<std::int64_t>(100 + randomBelow(8000));
        Duration timeout = streams ? 8s : 4s;
        TimePoint deadline = proxy.now + std::min<Duration>(timeout, std::chrono::milliseconds(ask.deadlineMs));
        placed.push_back(Placed{proxy.place(ask), proxy.now, deadline,
                                proxy.now + std::chrono::milliseconds(20 + randomBelow(6000)),
                                randomBelow(10) ? OrderOutcome::done : OrderOutcome::broken});
      }
      for (const auto& row : placed)
        if (proxy.now >= row.finishAt && proxy.verdictsOf(row.orderId).empty() && !proxy.sendsOf(row.orderId).empty())
          proxy.finish(row.orderId, row.outcome);
    }
    cr_expect_eq(proxy.edge->openOrders(), 0u, "seed %lu", seed);
    for (const auto& row : placed) {
      auto said = proxy.verdictOf(row.orderId);
      bool givenUp = said.code == static_cast<int>(Code::stopping) && said.verdict != "not run";
      bool excused = row.at < proxy.plan.refusesFrom || row.deadline <= proxy.plan.endsAt;
      cr_expect(!givenUp || excused, "seed %lu: %s", seed, row.orderId.c_str());
    }
  }
}
