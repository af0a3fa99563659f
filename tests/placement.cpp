#include <algorithm>

#include "placement_cost.hpp"
#include "plain_placement.hpp"
#include "routing_bench.hpp"
#include "urgency.hpp"

using namespace tt;

namespace {
PlacementFacts idleWorker() {
  PlacementFacts facts;
  facts.msPerToken = 0.03;
  facts.promptTokens = 17000;
  facts.sharedTokens = 13000;
  return facts;
}
}  // namespace

Test(placement_cost, a_prompt_goes_where_it_is_read_first) {
  auto busy = idleWorker(), idle = idleWorker();
  busy.waitMs = 50;
  cr_expect_gt(placementCostMs(busy), placementCostMs(idle));
  auto slow = idleWorker();
  slow.msPerToken *= 1.3;
  cr_expect_gt(placementCostMs(slow), placementCostMs(idle));
  auto keeper = idleWorker();
  keeper.ownTokens = keeper.heldAnywhereTokens = idle.heldAnywhereTokens = 13000;
  keeper.waitMs = 300;
  cr_expect_gt(placementCostMs(idle), placementCostMs(keeper), "waiting is cheaper than reading again");
  keeper.waitMs = 3000;
  cr_expect_gt(placementCostMs(keeper), placementCostMs(idle), "up to a point");
  auto fetches = idle;
  fetches.fetches = true;
  fetches.fetchedTokens = 13000;
  fetches.transferMs = 14;
  keeper.waitMs = 300;
  cr_expect_gt(placementCostMs(keeper), placementCostMs(fetches), "a fetch to an idle worker is cheaper than waiting");
  keeper.waitMs = 0;
  cr_expect_gt(placementCostMs(fetches), placementCostMs(keeper), "a copy is not made for nothing");
  fetches.transferMs = 2000;
  cr_expect_gt(placementCostMs(fetches), placementCostMs(idle), "a slow link is worse than reading");
  auto later = idleWorker();
  later.rank = 1;
  cr_expect_gt(placementCostMs(later), placementCostMs(idleWorker()), "equals keep their order");
}

Test(placement_cost, a_transfer_takes_as_long_as_the_slower_link_does) {
  cr_expect_float_eq(transferMs(1000, 1000, 8, 8000, true), 1000, 0.001);
  cr_expect_float_eq(transferMs(1000, 1000, 8000, 8, false), 2000, 0.001);
  cr_expect_float_eq(transferMs(1000, 1000, 0, 8, true), 1000, 0.001, "an undeclared link does not limit");
  cr_expect_eq(transferMs(1000, 1000, 0, 0, true), 0);
}

Test(urgency, short_prompts_come_first_and_priorities_order_those_of_a_size) {
  std::set<int> priorities{0, 1, 2};
  int previous = -1;
  for (double readMs : {10.0, 200.0, 1000.0})
    for (int priority : {0, 1, 2}) {
      int urgency = urgencyOf(priority, priorities, readMs, 600);
      cr_expect_gt(urgency, previous);
      cr_expect_leq(urgency, leastUrgency);
      previous = urgency;
    }
  cr_expect_eq(urgencyOf(2, priorities, 1e9, 0), urgencyOf(2, priorities, 1, 0),
               "no size counts before an aim is known");
}

Test(urgency, any_priorities_fit_and_keep_their_order) {
  std::set<int> priorities;
  for (int priority = 0; priority < 10; ++priority) priorities.insert(priority);
  int previous = 0;
  for (int priority : priorities) {
    int urgency = urgencyOf(priority, priorities, 1e6, 1000);
    cr_expect_geq(urgency, previous);
    cr_expect_leq(urgency, leastUrgency);
    previous = urgency;
  }
  cr_expect_eq(urgencyOf(5, {5}, 10, 1000), 0);
}

Test(plain_placement, the_least_occupied_worker_nearby_that_answers_is_chosen) {
  std::mt19937_64 randomSource(3);
  cr_expect_not(choosePlain({}, randomSource).has_value());
  PlainCandidate near{6, 0, 0, 0, true, false}, far{6, 0, 0, 0, false, false};
  cr_expect_eq(*choosePlain({far, near, far}, randomSource), 1u);
  near.running = 5;
  near.waiting = 3;
  cr_expect_neq(*choosePlain({far, near, far}, randomSource), 1u, "a full one is left");
  near = PlainCandidate{6, 1, 0, 0, true, false};
  cr_expect_eq(*choosePlain({far, near, far}, randomSource), 1u, "one order is no reason to go far");
  near.ejected = true;
  cr_expect_neq(*choosePlain({far, near, far}, randomSource), 1u);
  far.ejected = true;
  cr_expect_eq(*choosePlain({far, near, far}, randomSource), 1u, "if all are ejected all stand again");
  std::set<std::size_t> chosen;
  for (int round = 0; round < 100; ++round) chosen.insert(*choosePlain({near, near, near}, randomSource));
  cr_expect_eq(chosen.size(), 3u, "equals share");
}

Test(plain_placement, a_worker_that_goes_on_failing_is_left_out_for_longer) {
  OutlierRecord record;
  cr_expect_eq(record.note(false), 0);
  for (int spans : {1, 2, 4, 8, 8}) cr_expect_eq(record.note(true), spans);
  cr_expect_eq(record.note(false), 0);
  cr_expect_eq(record.note(true), 1);
}

namespace {
/// A proxy before one engine service and one plain one.
struct MixedBench : ProxyBench {
  MixedBench() {
    for (const char* name : {"c1", "c2", "c3"}) {
      auto& row = worker(name, std::string("north-") + name[1], "", "weir");
      row.kind = "app";
      row.model.clear();
      row.slots = 6;
      row.confirmed = false;
    }
    worker("w1");
    tellAll();
  }
  void tellAll() {
    std::vector<Machine> machines;
    for (auto& [zone, news] : cells) {
      ++news.sequence;
      for (const auto& row : news.workers) machines.push_back(machineOf(row.name, zone));
      give(agentAddress, news);
    }
    list(machines);
  }
  std::string placePlain() {
    auto ask = order("/plain/x");
    ask.model.clear();
    return place(ask);
  }
  void declarePlain() {
    change(
        R"({"routes":{"plain":{"host":"h","prefix":"/plain/","service":"weir","tries":1,"timeoutMs":1500,"aimMs":120}}})");
  }
};
}  // namespace

Test(plain_services, orders_are_served_by_workers_without_weights_or_reports) {
  MixedBench bench;
  bench.declarePlain();
  std::map<std::string, int> counts;
  for (int number = 0; number < 30; ++number) {
    auto made = bench.onlySend(bench.placePlain());
    cr_expect_eq(made.weights, "");
    cr_expect_eq(made.cacheSalt, "");
    ++counts[made.worker];
  }
  cr_expect_eq(counts.size(), 3u, "thirty open orders are more than one worker has slots for");
  cr_expect_eq(bench.all<PrefillStarted>().size(), 0u);
  cr_expect_eq(bench.lookups.size(), 0u);
}

Test(plain_services, a_proxy_with_only_plain_services_is_ready) {
  ProxyBench bench;
  cr_expect_not(bench.edge->ready(bench.now));
  auto& row = bench.worker("c1", "north-a", "", "weir");
  row.kind = "app";
  row.model.clear();
  bench.tell();
  cr_expect(bench.edge->ready(bench.now));
  bench.worker("w1").alive = false;
  bench.tell();
  cr_expect_not(bench.edge->ready(bench.now), "an engine service that nobody serves yet");
  bench.worker("w1").alive = true;
  bench.tell();
  cr_expect(bench.edge->ready(bench.now));
}

Test(plain_services, a_worker_that_fails_or_is_gone_is_left_out_and_comes_back) {
  for (auto outcome : {OrderOutcome::broken, OrderOutcome::brokenBeforeSend, OrderOutcome::failed}) {
    MixedBench bench;
    bench.declarePlain();
    auto first = bench.onlySend(bench.placePlain());
    bench.end(first.orderId, outcome);
    for (int number = 0; number < 5; ++number) {
      auto made = bench.onlySend(bench.placePlain());
      cr_expect_neq(made.worker, first.worker);
      bench.end(made.orderId, OrderOutcome::done);
    }
    bench.run(3s);
    bool back = false;
    for (int number = 0; number < 60 && !back; ++number)
      back = bench.onlySend(bench.placePlain()).worker == first.worker;
    cr_expect(back, "an ejection ends");
  }
}

Test(plain_services, what_may_not_be_repeated_goes_out_once_unless_it_never_left) {
  MixedBench bench;
  bench.declarePlain();
  auto broken = bench.placePlain();
  bench.end(bench.onlySend(broken).orderId, OrderOutcome::broken);
  bench.run(500ms);
  cr_expect_eq(bench.sendsOf(broken).size(), 1u);
  cr_expect_eq(bench.verdictOf(broken).verdict, "unknown");
  auto unsent = bench.placePlain();
  bench.end(bench.onlySend(unsent).orderId, OrderOutcome::brokenBeforeSend);
  bench.run(100ms);
  auto sends = bench.sendsOf(unsent);
  cr_assert_eq(sends.size(), 2u);
  cr_expect_neq(sends[0].worker, sends[1].worker);
}

namespace {
/// Places a prompt whose candidates' cells tell of these queues, and says where it went.
WorkerOrder placeWith(ProxyBench& bench, int number, const std::map<std::string, double>& waitingTokens,
                      const std::map<std::string, int>& pending = {}) {
  auto orderId = bench.place("/once/x", "key-a", promptOf(number), {300, 13000, 3000});
  for (const auto& ask : bench.openLookups()) {
    auto waits = waitingTokens.find(ask.keeper);
    auto reads = pending.find(ask.keeper);
    bench.answer(ask, {}, waits == waitingTokens.end() ? 0 : waits->second, 30,
                 reads == pending.end() ? 0 : reads->second);
  }
  return bench.onlySend(orderId);
}
}  // namespace

Test(queue_aware, a_prompt_that_nobody_keeps_goes_to_the_worker_with_the_shortest_queue) {
  ProxyBench bench;
  bench.workers(4);
  for (int number = 0; number < 40; ++number) {
    std::string idle = "w" + std::to_string(number % 4 + 1);
    std::map<std::string, double> waiting{{"w1", 9000}, {"w2", 9000}, {"w3", 9000}, {"w4", 9000}};
    waiting[idle] = 0;
    auto made = placeWith(bench, number, waiting);
    cr_expect_eq(made.worker, idle);
    bench.end(made.orderId, OrderOutcome::done);
  }
}

Test(queue_aware, a_prompt_follows_one_that_is_being_read_but_no_source_is_named_for_it) {
  ProxyBench bench;
  bench.workers(4);
  for (int number = 0; number < 40; ++number) {
    std::string reader = "w" + std::to_string(number % 4 + 1);
    auto made = placeWith(bench, number, {{reader, 4000}}, {{reader, 2}});
    cr_expect_eq(made.worker, reader);
    cr_expect_eq(made.sourceAddress, "");
    bench.end(made.orderId, OrderOutcome::done);
    auto elsewhere = placeWith(bench, number + 1000, {{reader, 900000}}, {{reader, 2}});
    cr_expect_neq(elsewhere.worker, reader);
    cr_expect_eq(elsewhere.sourceAddress, "", "what is not confirmed is no source");
    bench.end(elsewhere.orderId, OrderOutcome::done);
  }
}

Test(queue_aware, every_placement_is_told_once_and_ends_once) {
  ProxyBench bench;
  bench.workers(4);
  std::mt19937_64 randomSource(9);
  for (int number = 0; number < 200; ++number) {
    auto made = placeWith(bench, number, {});
    switch (randomSource() % 4) {
      case 0:
        bench.give("worker", WorkerChunk{made.orderId, "piece", "1"});
        bench.end(made.orderId, OrderOutcome::done);
        break;
      case 1:
        bench.end(made.orderId, OrderOutcome::broken);
        bench.run(3s, 100ms);
        break;
      case 2:
        bench.give("caller", CallerGone{made.callerOrderId});
        break;
      default:
        bench.end(made.orderId, OrderOutcome::failed);
    }
    bench.run(10ms);
  }
  std::map<std::string, int> open;
  for (const auto& started : bench.all<PrefillStarted>()) ++open[started.sendId];
  cr_expect_geq(open.size(), 200u);
  for (const auto& ended : bench.all<PrefillEnded>()) --open[ended.sendId];
  for (const auto& [sendId, left] : open) cr_expect_eq(left, 0, "%s", sendId.c_str());
}
