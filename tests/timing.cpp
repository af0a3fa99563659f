#include <criterion/criterion.h>

#include "roles.hpp"
#include "timing_check.hpp"
#include "timing_guard.hpp"

using namespace tt;

namespace {
std::string failedCondition(const Result<void>& checked) { return checked ? std::string() : checked.error().text; }

/// Derives the timing as a process does at its start, and returns the condition that does not hold; empty if all hold.
std::string failedConditionFor(const SiteSettings& settings) {
  TimingGuard timingGuard;
  timing = Timing{};
  return failedCondition(setTiming(settings));
}
}  // namespace

Test(timing, the_timing_of_every_site_is_consistent) {
  SiteSettings small, large;
  cr_expect_str_eq(failedConditionFor(small).c_str(), "");
  large.budgetMachines = 2;
  large.bounds.contact = 4s;
  large.bounds.ack = 5s;
  large.bounds.catchUp = 6s;
  large.bounds.drain = 4s;
  large.bounds.configApply = 2500ms;
  large.bounds.stretchMax = 6s;
  large.bounds.version = 20s;
  cr_expect_str_eq(failedConditionFor(large).c_str(), "");
}

Test(timing, the_timing_is_consistent_for_any_bounds) {
  std::mt19937_64 randomEngine(7);
  auto pick = [&](std::int64_t minMs, std::int64_t maxMs) {
    return Duration(std::chrono::milliseconds(
        minMs + static_cast<std::int64_t>(randomEngine() % static_cast<std::uint64_t>(maxMs - minMs))));
  };
  for (int round = 0; round < 20000; ++round) {
    SiteSettings settings;
    auto& bounds = settings.bounds;
    settings.beatInterval = pick(50, 10000);
    settings.budgetMachines = static_cast<std::int64_t>(1 + randomEngine() % 3);
    bounds.contact = pick(1000, 20000);
    bounds.ack = pick(500, 30000);
    bounds.catchUp = pick(500, 20000);
    bounds.drain = pick(500, 20000);
    bounds.configApply = pick(500, 60000);
    bounds.stretchMax = pick(1, 20000);
    bounds.revokeGlobal = randomEngine() % 2;
    bounds.revoke = pick(500, 60000);
    bounds.lease = pick(100, 20000);
    bounds.thawSlack = pick(1, 2000);
    bounds.version = pick(1000, 60000);
    auto text = failedConditionFor(settings);
    cr_assert_str_eq(text.c_str(), "", "round %d: %s; AckMs %d, ConfigApplyMs %d, RevokeMs %d, DrainMs %d", round,
                     text.c_str(), static_cast<int>(toMilliseconds(bounds.ack)),
                     static_cast<int>(toMilliseconds(bounds.configApply)),
                     static_cast<int>(toMilliseconds(bounds.revoke)), static_cast<int>(toMilliseconds(bounds.drain)));
  }
}

Test(timing, each_condition_is_named_when_it_does_not_hold) {
  struct Case {
    const char* text;
    std::function<void(Timing&)> breakCondition;
  };
  Timing valid;
  valid.commandHoldoff = 3300ms;
  cr_assert_str_eq(failedCondition(checkTiming(valid, TimingBounds{5s})).c_str(), "");
  const Case cases[] = {
      {"3 heartbeatInterval < lease", [](Timing& changed) { changed.heartbeatInterval = 300ms; }},
      {"lease < minElectionTimeout", [](Timing& changed) { changed.minElectionTimeout = changed.lease; }},
      {"voteTimeout < minElectionTimeout", [](Timing& changed) { changed.voteTimeout = changed.minElectionTimeout; }},
      {"2 logEndPollInterval + 2 feedPollInterval <= maxStaleness",
       [](Timing& changed) { changed.maxStaleness = 600ms; }},
      {"logEndPollInterval < readerAckTimeout", [](Timing& changed) { changed.readerAckTimeout = 250ms; }},
      {"feedPollInterval < readerAckTimeout",
       [](Timing& changed) { changed.feedPollInterval = changed.maxStaleness / 3, changed.readerAckTimeout = 400ms; }},
      {"2 readerAckTimeout <= AckMs", [](Timing& changed) { changed.readerAckTimeout = 2100ms; }},
      {"readerAckTimeout < readerRetention", [](Timing& changed) { changed.readerAckTimeout = 11s; }},
      {"maxStaleness < RevokeMs", [](Timing& changed) { changed.maxStaleness = 5s; }},
      {"feedPollInterval < ConfigApplyMs",
       [](Timing& changed) {
         changed.maxStaleness = 4s, changed.logEndPollInterval = 1500ms, changed.readerAckTimeout = 1900ms,
         changed.feedPollInterval = 400ms;
       }},
      {"maxListAge + listPollInterval < DrainMs", [](Timing& changed) { changed.maxListAge = 2900ms; }},
      {"commandHoldoff >= LeaseMs", [](Timing& changed) { changed.commandHoldoff = 2s; }},
      {"memberRemovalTimeout > minElectionTimeout", [](Timing& changed) { changed.memberRemovalTimeout = 1s; }},
      {"minVoters >= 1", [](Timing& changed) { changed.minVoters = 0; }},
  };
  for (const auto& row : cases) {
    Timing changed = valid;
    row.breakCondition(changed);
    auto text = failedCondition(checkTiming(changed, TimingBounds{5s}));
    cr_expect(text.find(row.text) != std::string::npos, "expected %s, got: %s", row.text, text.c_str());
  }
}
