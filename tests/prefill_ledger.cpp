#include "prefill_ledger.hpp"

#include <criterion/criterion.h>

using namespace tt;

namespace {
constexpr TimePoint begin{std::chrono::hours(3)};

/// A worker that reads one prompt after the other at a fixed rate.
struct SteadyWorker {
  PrefillLedger& ledger;
  std::string worker;
  double tokensPerMs;
  TimePoint now{begin};
  int count{0};
  Hashes hashesOf(int number) const { return {hashPromptPart(worker, std::to_string(number))}; }
  void start(int tokens) {
    ++count;
    ledger.start(PrefillStarted{worker + std::to_string(count), "north-a", worker, hashesOf(count), tokens}, now);
  }
  void end(int number, bool read = true) {
    ledger.end(PrefillEnded{worker + std::to_string(number), "north-a", worker, hashesOf(number), read}, now);
  }
  void read(int tokens) {
    start(tokens);
    now += std::chrono::milliseconds(static_cast<int>(tokens / tokensPerMs));
    end(count);
  }
};
}  // namespace

Test(prefill_ledger, a_queue_holds_what_was_placed_and_not_read) {
  PrefillLedger ledger;
  SteadyWorker reader{ledger, "w1", 30};
  reader.start(5000);
  reader.start(700);
  cr_expect_eq(ledger.loadOf("w1", reader.now).tokens, 5700);
  cr_expect_eq(ledger.loadOf("w2", reader.now).tokens, 0);
  reader.end(1);
  reader.end(1);
  cr_expect_eq(ledger.loadOf("w1", reader.now).tokens, 700);
  reader.end(2, false);
  cr_expect_eq(ledger.loadOf("w1", reader.now).tokens, 0);
}

Test(prefill_ledger, a_prompt_told_twice_counts_once_and_one_never_ended_is_forgotten) {
  PrefillLedger ledger;
  SteadyWorker reader{ledger, "w1", 30};
  PrefillStarted prompt{"one", "north-a", "w1", {}, 900};
  ledger.start(prompt, begin);
  ledger.start(prompt, begin);
  cr_expect_eq(ledger.loadOf("w1", begin + 1s).tokens, 900);
  cr_expect_eq(ledger.loadOf("w1", begin + 10s).tokens, 0);
  ledger.end(PrefillEnded{"never started", "north-a", "w1", {}, true}, begin);
  ledger.end(PrefillEnded{"one", "north-a", "unknown", {}, true}, begin);
  cr_expect_eq(ledger.loadOf("w1", begin + 1s).tokens, 900);
}

Test(prefill_ledger, the_reading_rate_converges_from_either_side_and_follows_a_sudden_change) {
  for (double first : {5.0, 40.0, 900.0})
    for (double second : {8.0, 30.0, 300.0}) {
      PrefillLedger ledger;
      SteadyWorker reader{ledger, "w1", first};
      cr_expect_eq(ledger.loadOf("w1", reader.now).tokensPerMs, 0, "nothing is known at first");
      for (int round = 0; round < 10; ++round) reader.read(20000);
      cr_expect_float_eq(ledger.loadOf("w1", reader.now).tokensPerMs, first, first * 0.05);
      reader.tokensPerMs = second;
      for (int round = 0; round < 40; ++round) reader.read(20000);
      cr_expect_float_eq(ledger.loadOf("w1", reader.now).tokensPerMs, second, second * 0.05);
    }
}

Test(prefill_ledger, the_rate_counts_busy_time_only_and_takes_prompts_in_any_order) {
  PrefillLedger ledger;
  SteadyWorker reader{ledger, "w1", 30};
  for (int round = 0; round < 20; ++round) {
    reader.read(3000);
    reader.now += 700ms;
  }
  cr_expect_float_eq(ledger.loadOf("w1", reader.now).tokensPerMs, 30, 1);
  PrefillLedger shared;
  SteadyWorker together{shared, "w1", 30};
  for (int round = 0; round < 20; ++round) {
    together.start(30000);
    together.start(3000);
    together.now += 200ms;
    together.end(together.count);
    together.now += 900ms;
    together.end(together.count - 1);
  }
  cr_expect_float_eq(shared.loadOf("w1", together.now).tokensPerMs, 30, 1,
                     "a short one that overtakes is no faster worker");
}

Test(prefill_ledger, messages_that_come_all_at_once_do_not_make_a_worker_fast) {
  PrefillLedger ledger;
  SteadyWorker reader{ledger, "w1", 30};
  for (int round = 0; round < 10; ++round) reader.read(20000);
  for (int round = 0; round < 5; ++round) {
    reader.start(40000);
    reader.end(reader.count);
  }
  cr_expect_lt(ledger.loadOf("w1", reader.now).tokensPerMs, 30 * 4);
  for (int round = 0; round < 20; ++round) reader.read(20000);
  cr_expect_float_eq(ledger.loadOf("w1", reader.now).tokensPerMs, 30, 3);
}

Test(prefill_ledger, an_unknown_worker_is_taken_to_be_like_the_others) {
  PrefillLedger ledger;
  SteadyWorker reader{ledger, "w1", 30};
  for (int round = 0; round < 10; ++round) reader.read(20000);
  cr_expect_float_eq(ledger.loadOf("w9", reader.now).tokensPerMs, 30, 1);
  ledger.keepOnly({"w2"});
  cr_expect_float_eq(ledger.loadOf("w1", reader.now).tokensPerMs, 30, 1);
}

Test(prefill_ledger, blocks_are_pending_from_the_placement_until_events_can_tell) {
  PrefillLedger ledger;
  auto one = hashPromptPart("salt", "one"), two = hashPromptPart("salt", "two"),
       three = hashPromptPart("salt", "three");
  ledger.start(PrefillStarted{"a", "north-a", "w1", {one, two}, 4000}, begin);
  cr_expect_eq(ledger.pendingHits("w1", {one, two, three}, begin), 2);
  cr_expect_eq(ledger.pendingHits("w1", {three, one}, begin), 0, "only leading blocks count");
  cr_expect_eq(ledger.pendingHits("w2", {one, two}, begin), 0);
  ledger.end(PrefillEnded{"a", "north-a", "w1", {one, two}, true}, begin + 300ms);
  cr_expect_eq(ledger.pendingHits("w1", {one, two}, begin + 1s), 2);
  cr_expect_eq(ledger.pendingHits("w1", {one, two}, begin + 3s), 0);
  ledger.start(PrefillStarted{"b", "north-a", "w1", {three}, 4000}, begin + 3s);
  ledger.end(PrefillEnded{"b", "north-a", "w1", {three}, false}, begin + 4s);
  cr_expect_eq(ledger.pendingHits("w1", {three}, begin + 4s), 0, "what was given up is not kept");
}

Test(prefill_ledger, a_new_holder_knows_nothing) {
  PrefillLedger ledger;
  SteadyWorker reader{ledger, "w1", 30};
  reader.start(5000);
  ledger.clear();
  cr_expect_eq(ledger.loadOf("w1", reader.now).tokens, 0);
  cr_expect_eq(ledger.pendingHits("w1", reader.hashesOf(1), reader.now), 0);
}
