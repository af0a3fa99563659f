#include <algorithm>

#include "placement_cost.hpp"
#include "plain_placement.hpp"
#include "proxy_router_harness.hpp"
#include "urgency.hpp"

using namespace tt;

namespace {
PlacementInputs idleWorker() {
  PlacementInputs inputs;
  inputs.msPerToken = 0.03;
  inputs.promptTokens = 17000;
  inputs.sharedTokens = 13000;
  return inputs;
}
}  // namespace

Test(placement_cost, a_prompt_goes_where_its_prefill_ends_first) {
  auto busy = idleWorker(), idle = idleWorker();
  busy.waitMs = 50;
  cr_expect_gt(placementCostMs(busy), placementCostMs(idle));
  auto slower = idleWorker();
  slower.msPerToken *= 1.3;
  cr_expect_gt(placementCostMs(slower), placementCostMs(idle));
  auto cached = idleWorker();
  cached.cachedTokens = cached.bestCachedTokens = idle.bestCachedTokens = 13000;
  cached.waitMs = 300;
  cr_expect_gt(placementCostMs(idle), placementCostMs(cached), "waiting is cheaper than another prefill");
  cached.waitMs = 3000;
  cr_expect_gt(placementCostMs(cached), placementCostMs(idle), "up to a point");
  auto fetches = idle;
  fetches.fetches = true;
  fetches.fetchedTokens = 13000;
  fetches.transferMs = 14;
  cached.waitMs = 300;
  cr_expect_gt(placementCostMs(cached), placementCostMs(fetches), "a fetch to an idle worker is cheaper than waiting");
  cached.waitMs = 0;
  cr_expect_gt(placementCostMs(fetches), placementCostMs(cached), "no copy is made without a benefit");
  fetches.transferMs = 2000;
  cr_expect_gt(placementCostMs(fetches), placementCostMs(idle), "a slow link is worse than a prefill");
  auto later = idleWorker();
  later.rank = 1;
  cr_expect_gt(placementCostMs(later), placementCostMs(idleWorker()), "ties are broken by rank");
}

Test(placement_cost, a_transfer_takes_as_long_as_the_slower_link_does) {
  cr_expect_float_eq(transferMs(1000, 1000, 8, 8000, true), 1000, 0.001);
  cr_expect_float_eq(transferMs(1000, 1000, 8000, 8, false), 2000, 0.001);
  cr_expect_float_eq(transferMs(1000, 1000, 0, 8, true), 1000, 0.001, "an undeclared link does not limit");
  cr_expect_eq(transferMs(1000, 1000, 0, 0, true), 0);
}

Test(urgency, short_prompts_come_first_and_priorities_order_those_of_equal_size) {
  std::set<int> priorities{0, 1, 2};
  int previous = -1;
  for (double prefillMs : {10.0, 200.0, 1000.0})
    for (int priority : {0, 1, 2}) {
      int urgency = urgencyOf(priority, priorities, prefillMs, 600);
      cr_expect_gt(urgency, previous);
      cr_expect_leq(urgency, lowestUrgency);
      previous = urgency;
    }
  cr_expect_eq(urgencyOf(2, priorities, 1e9, 0), urgencyOf(2, priorities, 1, 0),
               "the size does not count before a target latency is known");
}

Test(urgency, any_number_of_priorities_fits_in_order) {
  std::set<int> priorities;
  for (int priority = 0; priority < 10; ++priority) priorities.insert(priority);
  int previous = 0;
  for (int priority : priorities) {
    int urgency = urgencyOf(priority, priorities, 1e6, 1000);
    cr_expect_geq(urgency, previous);
    cr_expect_leq(urgency, lowestUrgency);
    previous = urgency;
  }
  cr_expect_eq(urgencyOf(5, {5}, 10, 1000), 0);
}

Test(plain_placement, the_least_occupied_worker_nearby_that_is_not_ejected_is_selected) {
  std::mt19937_64 randomSource(3);
  cr_expect_not(selectLeastOccupied({}, randomSource).has_value());
  PlainCandidate near{6, 0, 0, 0, true, false}, far{6, 0, 0, 0, false, false};
  cr_expect_eq(*selectLeastOccupied({far, near, far}, randomSource), 1u);
  near.running = 5;
  near.waiting = 3;
  cr_expect_neq(*selectLeastOccupied({far, near, far}, randomSource), 1u, "a full worker is passed over");
  near = PlainCandidate{6, 1, 0, 0, true, false};
  cr_expect_eq(*selectLeastOccupied({far, near, far}, randomSource), 1u, "one request is no reason to leave the zone");
  near.ejected = true;
  cr_expect_neq(*selectLeastOccupied({far, near, far}, randomSource), 1u);
  far.ejected = true;
  cr_expect_eq(*selectLeastOccupied({far, near, far}, randomSource), 1u, "if all are ejected all are considered");
  std::set<std::size_t> chosen;
  for (int round = 0; round < 100; ++round) chosen.insert(*selectLeastOccupied({near, near, near}, randomSource));
  cr_expect_eq(chosen.size(), 3u, "equals are picked at random");
}

Test(plain_placement, a_worker_that_goes_on_failing_is_ejected_for_longer) {
  OutlierRecord record;
  cr_expect_eq(record.recordResult(false), 0);
  for (int periods : {1, 2, 4, 8, 8}) cr_expect_eq(record.recordResult(true), periods);
  cr_expect_eq(record.recordResult(false), 0);
  cr_expect_eq(record.recordResult(true), 1);
}

namespace {
/// A proxy with one engine service and one plain service.
struct MixedServicesHarness : ProxyHarness {
  MixedServicesHarness() {
    for (const char* name : {"c1", "c2", "c3"}) {
      auto& row = worker(name, std::string("north-") + name[1], "", "weir");
      row.kind = "app";
      row.model.clear();
      row.slots = 6;
      row.confirmed = false;
    }
    worker("w1");
    publishAll();
  }
  void publishAll() {
    std::vector<Machine> machines;
    for (auto& [zone, cell] : cells) {
      ++cell.sequence;
      for (const auto& row : cell.workers) machines.push_back(machineOf(row.name, zone));
      deliver(agentAddress, cell);
    }
    setMachineList(machines);
  }
  std::string submitPlain() {
    auto request = clientRequest("/plain/x");
    request.model.clear();
    return submit(request);
  }
  void addPlainRoute() {
    change(
        R"({"routes":{"plain":{"host":"h","prefix":"/plain/","service":"weir","tries":1,"timeoutMs":1500,"aimMs":120}}})");
  }
};
}  // namespace

Test(plain_services, requests_are_served_by_workers_without_weights_or_reports) {
  MixedServicesHarness harness;
  harness.addPlainRoute();
  std::map<std::string, int> counts;
  for (int number = 0; number < 30; ++number) {
    auto attempt = harness.onlyAttempt(harness.submitPlain());
    cr_expect_eq(attempt.weights, "");
    cr_expect_eq(attempt.cacheSalt, "");
    ++counts[attempt.worker];
  }
  cr_expect_eq(counts.size(), 3u, "thirty open requests are more than one worker has slots for");
  cr_expect_eq(harness.all<PrefillStarted>().size(), 0u);
  cr_expect_eq(harness.lookups.size(), 0u);
}

Test(plain_services, a_proxy_with_only_plain_services_is_ready) {
  ProxyHarness harness;
  cr_expect_not(harness.router->ready(harness.now));
  auto& row = harness.worker("c1", "north-a", "", "weir");
  row.kind = "app";
  row.model.clear();
  harness.publishCells();
  cr_expect(harness.router->ready(harness.now));
  harness.worker("w1").alive = false;
  harness.publishCells();
  cr_expect_not(harness.router->ready(harness.now), "an engine service without an alive worker");
  harness.worker("w1").alive = true;
  harness.publishCells();
  cr_expect(harness.router->ready(harness.now));
}

Test(plain_services, a_worker_that_fails_is_ejected_and_comes_back) {
  for (auto outcome : {AttemptOutcome::broken, AttemptOutcome::brokenBeforeSend, AttemptOutcome::failed}) {
    MixedServicesHarness harness;
    harness.addPlainRoute();
    auto first = harness.onlyAttempt(harness.submitPlain());
    harness.endAttempt(first.requestId, outcome);
    for (int number = 0; number < 5; ++number) {
      auto attempt = harness.onlyAttempt(harness.submitPlain());
      cr_expect_neq(attempt.worker, first.worker);
      harness.endAttempt(attempt.requestId, AttemptOutcome::done);
    }
    harness.run(3s);
    bool back = false;
    for (int number = 0; number < 60 && !back; ++number)
      back = harness.onlyAttempt(harness.submitPlain()).worker == first.worker;
    cr_expect(back, "the worker is selected again after its ejection");
  }
}

Test(plain_services, a_non_repeatable_request_is_sent_once_unless_it_never_left) {
  MixedServicesHarness harness;
  harness.addPlainRoute();
  auto broken = harness.submitPlain();
  harness.endAttempt(harness.onlyAttempt(broken).requestId, AttemptOutcome::broken);
  harness.run(500ms);
  cr_expect_eq(harness.attemptsOf(broken).size(), 1u);
  cr_expect_eq(harness.finalStatusOf(broken).verdict, "unknown");
  auto unsent = harness.submitPlain();
  harness.endAttempt(harness.onlyAttempt(unsent).requestId, AttemptOutcome::brokenBeforeSend);
  harness.run(100ms);
  auto attempts = harness.attemptsOf(unsent);
  cr_assert_eq(attempts.size(), 2u);
  cr_expect_neq(attempts[0].worker, attempts[1].worker);
}

namespace {
/// Submits a prompt whose candidates' cells report these queues, and returns the attempt that was sent.
WorkerOrder submitWithQueues(ProxyHarness& harness, int number, const std::map<std::string, double>& waitingTokens,
                             const std::map<std::string, int>& pending = {}) {
  auto requestId = harness.submit("/once/x", "key-a", promptOf(number), {300, 13000, 3000});
  for (const auto& lookup : harness.newLookups()) {
    auto waits = waitingTokens.find(lookup.cacheNode);
    auto hits = pending.find(lookup.cacheNode);
    harness.replyTo(lookup, {}, waits == waitingTokens.end() ? 0 : waits->second, 30,
                    hits == pending.end() ? 0 : hits->second);
  }
  return harness.onlyAttempt(requestId);
}
}  // namespace

Test(queue_aware, an_uncached_prompt_goes_to_the_worker_with_the_shortest_queue) {
  ProxyHarness harness;
  harness.addWorkers(4);
  for (int number = 0; number < 40; ++number) {
    std::string idle = "w" + std::to_string(number % 4 + 1);
    std::map<std::string, double> waiting{{"w1", 9000}, {"w2", 9000}, {"w3", 9000}, {"w4", 9000}};
    waiting[idle] = 0;
    auto attempt = submitWithQueues(harness, number, waiting);
    cr_expect_eq(attempt.worker, idle);
    harness.endAttempt(attempt.requestId, AttemptOutcome::done);
  }
}

Test(queue_aware, a_prompt_follows_one_with_its_prefix_in_prefill_without_a_source) {
  ProxyHarness harness;
  harness.addWorkers(4);
  for (int number = 0; number < 40; ++number) {
    std::string prefilling = "w" + std::to_string(number % 4 + 1);
    auto attempt = submitWithQueues(harness, number, {{prefilling, 4000}}, {{prefilling, 2}});
    cr_expect_eq(attempt.worker, prefilling);
    cr_expect_eq(attempt.sourceAddress, "");
    harness.endAttempt(attempt.requestId, AttemptOutcome::done);
    auto elsewhere = submitWithQueues(harness, number + 1000, {{prefilling, 900000}}, {{prefilling, 2}});
    cr_expect_neq(elsewhere.worker, prefilling);
    cr_expect_eq(elsewhere.sourceAddress, "", "a prefix that is not confirmed is not fetched");
    harness.endAttempt(elsewhere.requestId, AttemptOutcome::done);
  }
}

Test(queue_aware, every_prefill_is_reported_started_once_and_ended_once) {
  ProxyHarness harness;
  harness.addWorkers(4);
  std::mt19937_64 randomSource(9);
  for (int number = 0; number < 200; ++number) {
    auto attempt = submitWithQueues(harness, number, {});
    switch (randomSource() % 4) {
      case 0:
        harness.deliver("worker", WorkerChunk{attempt.requestId, "piece", "1"});
        harness.endAttempt(attempt.requestId, AttemptOutcome::done);
        break;
      case 1:
        harness.endAttempt(attempt.requestId, AttemptOutcome::broken);
        harness.run(3s, 100ms);
        break;
      case 2:
        harness.deliver("caller", CallerGone{attempt.clientRequestId});
        break;
      default:
        harness.endAttempt(attempt.requestId, AttemptOutcome::failed);
    }
    harness.run(10ms);
  }
  std::map<std::string, int> open;
  for (const auto& started : harness.all<PrefillStarted>()) ++open[started.sendId];
  cr_expect_geq(open.size(), 200u);
  for (const auto& ended : harness.all<PrefillEnded>()) --open[ended.sendId];
  for (const auto& [sendId, left] : open) cr_expect_eq(left, 0, "%s", sendId.c_str());
}
