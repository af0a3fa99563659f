#include <criterion/criterion.h>

#include "roles.hpp"
#include "timing_check.hpp"
#include "timing_kept.hpp"

using namespace tt;

namespace {
std::string broken(const Result<void>& checked) { return checked ? std::string() : checked.error().text; }

/// Sets the spans as a process does at its start, and says which inequality is broken; empty if none.
std::string brokenAt(const SiteSettings& settings) {
  TimingGuard kept;
  timing = Timing{};
  return broken(setTiming(settings));
}
}  // namespace

Test(timing, the_spans_of_every_site_fit) {
  SiteSettings small, grown;
  cr_expect_str_eq(brokenAt(small).c_str(), "");
  grown.budgetMachines = 2;
  grown.bounds.contact = 4s;
  grown.bounds.ack = 5s;
  grown.bounds.catchUp = 6s;
  grown.bounds.drain = 4s;
  grown.bounds.configApply = 2500ms;
  grown.bounds.stretchMax = 6s;
  grown.bounds.version = 20s;
  cr_expect_str_eq(brokenAt(grown).c_str(), "");
}

Test(timing, the_spans_fit_for_any_bounds) {
  std::mt19937_64 randomSource(7);
  auto pick = [&](std::int64_t leastMs, std::int64_t mostMs) {
    return Duration(std::chrono::milliseconds(
        leastMs + static_cast<std::int64_t>(randomSource() % static_cast<std::uint64_t>(mostMs - leastMs))));
  };
  for (int round = 0; round < 20000; ++round) {
    SiteSettings settings;
    auto& bounds = settings.bounds;
    settings.beatInterval = pick(50, 10000);
    settings.budgetMachines = static_cast<std::int64_t>(1 + randomSource() % 3);
    bounds.contact = pick(1000, 20000);
    bounds.ack = pick(500, 30000);
    bounds.catchUp = pick(500, 20000);
    bounds.drain = pick(500, 20000);
    bounds.configApply = pick(500, 60000);
    bounds.stretchMax = pick(1, 20000);
    bounds.revokeGlobal = randomSource() % 2;
    bounds.revoke = pick(500, 60000);
    bounds.lease = pick(100, 20000);
    bounds.thawSlack = pick(1, 2000);
    bounds.version = pick(1000, 60000);
    auto text = brokenAt(settings);
    cr_assert_str_eq(text.c_str(), "", "round %d: %s; AckMs %d, ConfigApplyMs %d, RevokeMs %d, DrainMs %d", round,
                     text.c_str(), static_cast<int>(toMilliseconds(bounds.ack)),
                     static_cast<int>(toMilliseconds(bounds.configApply)),
                     static_cast<int>(toMilliseconds(bounds.revoke)), static_cast<int>(toMilliseconds(bounds.drain)));
  }
}

Test(timing, each_inequality_is_named_when_it_is_broken) {
  struct Case {
    const char* named;
    std::function<void(Timing&)> spoil;
  };
  Timing sound;
  sound.commandHoldoff = 3300ms;
  cr_assert_str_eq(broken(checkTiming(sound, TimingBounds{5s})).c_str(), "");
  const Case cases[] = {
      {"3 holdEvery < lease", [](Timing& spans) { spans.heartbeatInterval = 300ms; }},
      {"lease < promise", [](Timing& spans) { spans.minElectionTimeout = spans.lease; }},
      {"voteWait < promise", [](Timing& spans) { spans.voteTimeout = spans.minElectionTimeout; }},
      {"2 roundEvery + 2 feedEvery <= freshFor", [](Timing& spans) { spans.maxStaleness = 600ms; }},
      {"roundEvery < readersWait", [](Timing& spans) { spans.readerAckTimeout = 250ms; }},
      {"feedEvery < readersWait",
       [](Timing& spans) { spans.feedPollInterval = spans.maxStaleness / 3, spans.readerAckTimeout = 400ms; }},
      {"2 readersWait <= AckMs", [](Timing& spans) { spans.readerAckTimeout = 2100ms; }},
      {"readers are remembered", [](Timing& spans) { spans.readerAckTimeout = 11s; }},
      {"freshFor < RevokeMs", [](Timing& spans) { spans.maxStaleness = 5s; }},
      {"< ConfigApplyMs",
       [](Timing& spans) {
         spans.maxStaleness = 4s, spans.logEndPollInterval = 1500ms, spans.readerAckTimeout = 1900ms,
         spans.feedPollInterval = 400ms;
       }},
      {"listOld + listEvery < DrainMs", [](Timing& spans) { spans.maxListAge = 2900ms; }},
      {"commandRest >= LeaseMs", [](Timing& spans) { spans.commandHoldoff = 2s; }},
      {"memberGone > promise", [](Timing& spans) { spans.memberRemovalTimeout = 1s; }},
      {"votersLeast >= 1", [](Timing& spans) { spans.minVoters = 0; }},
  };
  for (const auto& row : cases) {
    Timing spans = sound;
    row.spoil(spans);
    auto text = broken(checkTiming(spans, TimingBounds{5s}));
    cr_expect(text.find(row.named) != std::string::npos, "%s expected, told: %s", row.named, text.c_str());
  }
}
