#include "prefill_ledger.hpp"

#include <criterion/criterion.h>

using namespace tt;

namespace {
constexpr TimePoint startTime{std::chrono::hours(3)};

/// A worker that prefills one prompt after the other at a fixed rate.
struct ConstantRateWorker {
  PrefillLedger& ledger;
  std::string worker;
  double tokensPerMs;
  TimePoint now{startTime};
  int count{0};
  Hashes hashesOf(int number) const { return {hashPromptPart(worker, std::to_string(number))}; }
  void start(int tokens) {
    ++count;
    ledger.start(PrefillStarted{worker + std::to_string(count), "north-a", worker, hashesOf(count), tokens}, now);
  }
  void end(int number, bool read = true) {
    ledger.end(PrefillEnded{worker + std::to_string(number), "north-a", worker, hashesOf(number), read}, now);
  }
  void prefill(int tokens) {
    start(tokens);
    now += std::chrono::milliseconds(static_cast<int>(tokens / tokensPerMs));
    end(count);
  }
};
}  // namespace

Test(prefill_ledger, a_queue_holds_the_prompts_placed_and_not_yet_prefilled) {
  PrefillLedger ledger;
  ConstantRateWorker simulated{ledger, "w1", 30};
  simulated.start(5000);
  simulated.start(700);
  cr_expect_eq(ledger.loadOf("w1", simulated.now).tokens, 5700);
  cr_expect_eq(ledger.loadOf("w2", simulated.now).tokens, 0);
  simulated.end(1);
  simulated.end(1);
  cr_expect_eq(ledger.loadOf("w1", simulated.now).tokens, 700);
  simulated.end(2, false);
  cr_expect_eq(ledger.loadOf("w1", simulated.now).tokens, 0);
}

Test(prefill_ledger, a_prompt_reported_twice_counts_once_and_one_never_ended_expires) {
  PrefillLedger ledger;
  ConstantRateWorker simulated{ledger, "w1", 30};
  PrefillStarted prompt{"one", "north-a", "w1", {}, 900};
  ledger.start(prompt, startTime);
  ledger.start(prompt, startTime);
  cr_expect_eq(ledger.loadOf("w1", startTime + 1s).tokens, 900);
  cr_expect_eq(ledger.loadOf("w1", startTime + 10s).tokens, 0);
  ledger.end(PrefillEnded{"never started", "north-a", "w1", {}, true}, startTime);
  ledger.end(PrefillEnded{"one", "north-a", "unknown", {}, true}, startTime);
  cr_expect_eq(ledger.loadOf("w1", startTime + 1s).tokens, 900);
}

Test(prefill_ledger, the_prefill_rate_converges_from_either_side_and_follows_a_sudden_change) {
  for (double first : {5.0, 40.0, 900.0})
    for (double second : {8.0, 30.0, 300.0}) {
      PrefillLedger ledger;
      ConstantRateWorker simulated{ledger, "w1", first};
      cr_expect_eq(ledger.loadOf("w1", simulated.now).tokensPerMs, 0, "no rate is known at first");
      for (int round = 0; round < 10; ++round) simulated.prefill(20000);
      cr_expect_float_eq(ledger.loadOf("w1", simulated.now).tokensPerMs, first, first * 0.05);
      simulated.tokensPerMs = second;
      for (int round = 0; round < 40; ++round) simulated.prefill(20000);
      cr_expect_float_eq(ledger.loadOf("w1", simulated.now).tokensPerMs, second, second * 0.05);
    }
}

Test(prefill_ledger, the_rate_counts_busy_time_only_and_accepts_prompts_in_any_order) {
  PrefillLedger ledger;
  ConstantRateWorker simulated{ledger, "w1", 30};
  for (int round = 0; round < 20; ++round) {
    simulated.prefill(3000);
    simulated.now += 700ms;
  }
  cr_expect_float_eq(ledger.loadOf("w1", simulated.now).tokensPerMs, 30, 1);
  PrefillLedger shared;
  ConstantRateWorker overlapping{shared, "w1", 30};
  for (int round = 0; round < 20; ++round) {
    overlapping.start(30000);
    overlapping.start(3000);
    overlapping.now += 200ms;
    overlapping.end(overlapping.count);
    overlapping.now += 900ms;
    overlapping.end(overlapping.count - 1);
  }
  cr_expect_float_eq(shared.loadOf("w1", overlapping.now).tokensPerMs, 30, 1,
                     "a short prompt that overtakes a long one does not raise the rate");
}

Test(prefill_ledger, delayed_messages_that_arrive_together_do_not_raise_the_rate) {
  PrefillLedger ledger;
  ConstantRateWorker simulated{ledger, "w1", 30};
  for (int round = 0; round < 10; ++round) simulated.prefill(20000);
  for (int round = 0; round < 5; ++round) {
    simulated.start(40000);
    simulated.end(simulated.count);
  }
  cr_expect_lt(ledger.loadOf("w1", simulated.now).tokensPerMs, 30 * 4);
  for (int round = 0; round < 20; ++round) simulated.prefill(20000);
  cr_expect_float_eq(ledger.loadOf("w1", simulated.now).tokensPerMs, 30, 3);
}

Test(prefill_ledger, an_unknown_worker_is_given_the_mean_rate) {
  PrefillLedger ledger;
  ConstantRateWorker simulated{ledger, "w1", 30};
  for (int round = 0; round < 10; ++round) simulated.prefill(20000);
  cr_expect_float_eq(ledger.loadOf("w9", simulated.now).tokensPerMs, 30, 1);
  ledger.keepOnly({"w2"});
  cr_expect_float_eq(ledger.loadOf("w1", simulated.now).tokensPerMs, 30, 1);
}

Test(prefill_ledger, blocks_are_pending_from_placement_until_cache_events_report_them) {
  PrefillLedger ledger;
  auto one = hashPromptPart("salt", "one"), two = hashPromptPart("salt", "two"),
       three = hashPromptPart("salt", "three");
  ledger.start(PrefillStarted{"a", "north-a", "w1", {one, two}, 4000}, startTime);
  cr_expect_eq(ledger.pendingHits("w1", {one, two, three}, startTime), 2);
  cr_expect_eq(ledger.pendingHits("w1", {three, one}, startTime), 0, "only leading blocks count");
  cr_expect_eq(ledger.pendingHits("w2", {one, two}, startTime), 0);
  ledger.end(PrefillEnded{"a", "north-a", "w1", {one, two}, true}, startTime + 300ms);
  cr_expect_eq(ledger.pendingHits("w1", {one, two}, startTime + 1s), 2);
  cr_expect_eq(ledger.pendingHits("w1", {one, two}, startTime + 3s), 0);
  ledger.start(PrefillStarted{"b", "north-a", "w1", {three}, 4000}, startTime + 3s);
  ledger.end(PrefillEnded{"b", "north-a", "w1", {three}, false}, startTime + 4s);
  cr_expect_eq(ledger.pendingHits("w1", {three}, startTime + 4s), 0,
               "the blocks of a prompt that was given up are not pending");
}

Test(prefill_ledger, a_cleared_ledger_knows_nothing) {
  PrefillLedger ledger;
  ConstantRateWorker simulated{ledger, "w1", 30};
  simulated.start(5000);
  ledger.clear();
  cr_expect_eq(ledger.loadOf("w1", simulated.now).tokens, 0);
  cr_expect_eq(ledger.pendingHits("w1", simulated.hashesOf(1), simulated.now), 0);
}
