#include <algorithm>

#include "proxy_router_harness.hpp"

using namespace tt;

namespace {
/// `oldWeightsUse`: how long a proxy may use a version after a newer one was announced. `dropTimeout`: the time after
/// that announcement by which a request that has not started on the old version must have been dropped there.
constexpr Duration oldWeightsUse = 4s;
constexpr Duration dropTimeout = 4500ms;
constexpr Duration tickInterval = 10ms;

/// A proxy for whose model newer weights are announced while workers still have older ones.
struct VersionHarness : ProxyHarness {
  struct Announcement {
    std::string weights;
    TimePoint at;
  };
  TimingGuard timingGuard;
  std::vector<Announcement> announcements;
  int prompts{0};

  VersionHarness() : VersionHarness(pathSettings("proxy-1"), proxyConfiguration) {}
  VersionHarness(const ProxyRouterSettings& settings, const std::string& configuration)
      : ProxyHarness(settings, configuration) {
    timing.oldWeightsSendTimeout = oldWeightsUse;
    timing.unstartedRequestTimeout = dropTimeout;
    timing.oldWeightsTimeout = dropTimeout + 500ms;
    announcements.push_back(Announcement{"moss/3", now});
  }
  static std::string announcementPatch(const std::string& weights) {
    return R"({"weights":{")" + weights + R"(":{"model":"moss"}},"models":{"moss":{"weights":")" + weights + R"("}}})";
  }
  void announce(const std::string& weights) {
    announcements.push_back(Announcement{weights, now});
    change(announcementPatch(weights));
  }
  void announce(const Strings& versions, Duration apart) {
    for (const auto& weights : versions) {
      if (weights != versions.front()) run(apart);
      announce(weights);
    }
  }
  /// One worker for each of these versions: w3 has moss/3.
  void addWorkersWith(const Strings& versions) {
    for (const auto& weights : versions) worker("w" + weights.substr(weights.rfind('/') + 1), "north-a", weights);
    publishCells();
  }
  /// When the first version newer than this one was announced; TimePoint::max() if it is the newest.
  TimePoint supersededAt(const std::string& weights, TimePoint asOf) const {
    TimePoint successorAt = TimePoint::max();
    for (auto announcement = announcements.rbegin(); announcement != announcements.rend(); ++announcement) {
      if (announcement->at > asOf) continue;
      if (announcement->weights == weights) return successorAt;
      successorAt = announcement->at;
    }
    return successorAt;
  }
  TimePoint useEndsAt(const std::string& weights) const { return supersededAt(weights, now) + oldWeightsUse; }
  std::string submitNext(const std::string& path = "/once/x", const std::vector<int>& tokens = {}) {
    return submit(path, "key-a", promptOf(++prompts), tokens);
  }
  /// Submits requests that end at once if they are sent, so that every worker that may be selected is selected.
  void serve(Duration duration) {
    for (TimePoint until = now + duration; now < until;) {
      run(50ms);
      for (int number = 0; number < 4; ++number) {
        auto requestId = submitNext();
        for (const auto& attempt : attemptsOf(requestId)) endAttempt(attempt.requestId, AttemptOutcome::done);
      }
    }
  }
  std::vector<SentMessage> attemptsSince(TimePoint since) const {
    std::vector<SentMessage> rows;
    for (const auto& row : sent)
      if (row.at >= since && std::holds_alternative<WorkerOrder>(row.message)) rows.push_back(row);
    return rows;
  }
  std::set<std::string> weightsUsedSince(TimePoint since) const {
    std::set<std::string> weights;
    for (const auto& row : attemptsSince(since)) weights.insert(std::get<WorkerOrder>(row.message).weights);
    return weights;
  }
  TimePoint lastUseOf(const std::string& weights) const {
    TimePoint last{};
    for (const auto& row : attemptsSince(TimePoint{}))
      if (std::get<WorkerOrder>(row.message).weights == weights) last = row.at;
    return last;
  }
  /// No request may have been sent to weights whose use had ended.
  void expectNoUseAfterEnd() const {
    int late = 0, latestMs = 0;
    for (const auto& row : attemptsSince(TimePoint{})) {
      TimePoint successorAt = supersededAt(std::get<WorkerOrder>(row.message).weights, row.at);
      if (successorAt == TimePoint::max() || row.at - successorAt <= oldWeightsUse) continue;
      ++late;
      latestMs = std::max(latestMs, static_cast<int>(toMilliseconds(row.at - successorAt - oldWeightsUse)));
    }
    cr_expect_eq(late, 0, "%d requests were sent to weights whose use had ended, up to %d ms after the end", late,
                 latestMs);
  }
  /// Requests with lookups under way for workers that have these weights.
  Strings requestsInLookup(const std::string& weights, const std::string& path = "/once/x") {
    Strings waiting;
    for (int number = 0; number < 12; ++number) {
      std::size_t before = lookups.size();
      auto requestId = submitNext(path, promptTokens);
      if (lookups.size() > before && lookups.back().weights == weights) waiting.push_back(requestId);
    }
    cr_assert_not(waiting.empty());
    return waiting;
  }
  /// A request that was sent to a worker that has these weights.
  WorkerOrder attemptAt(const std::string& weights, const std::string& path) {
    for (int number = 0; number < 60; ++number) {
      auto requestId = submitNext(path);
      auto attempt = onlyAttempt(requestId);
      if (attempt.weights == weights) return attempt;
      endAttempt(attempt.requestId, AttemptOutcome::done);
    }
    cr_assert_fail("no request went to %s", weights.c_str());
    return {};
  }
  /// Advances the clock without a tick and without replies to feed polls, as if the process had been stopped.
  void freeze(Duration duration) {
    answersFeedPolls = false;
    now += duration;
  }
};

/// The first version is superseded by one announcement, or by two in short succession.
const std::vector<Strings> oneAndTwoAnnouncements{{"moss/4"}, {"moss/4", "moss/5"}};

const std::string transferConfiguration =
    R"({"weights":{"moss/3":{"model":"moss"}},"models":{"moss":{"weights":"moss/3"}},
  "policies":{"peers":"fetch peer when hits >= 1"},
  "tenants":{"asp":{"secrets":["key-a"]}},"routes":{"talk":{"model":"moss","policy":"peers"}}})";

ProxyRouterSettings transferSettings() {
  ProxyRouterSettings settings;
  settings.name = "proxy-1";
  settings.address = "proxy-1:1";
  settings.zone = "north-a";
  settings.agentAddress = agentAddress;
  return settings;
}

CallerOrder transferRequest(int number) {
  CallerOrder request;
  request.requestId = "move/" + std::to_string(number);
  request.key = "key-a";
  request.route = "talk";
  request.model = "moss";
  request.parts = {std::string(4000, static_cast<char>('a' + number))};
  return request;
}
}  // namespace

Test(version_ends_proxy, further_announcements_do_not_prolong_the_use_of_a_version) {
  VersionHarness harness;
  harness.addWorkersWith({"moss/3", "moss/4", "moss/5", "moss/6", "moss/7"});
  harness.serve(1s);
  for (const char* weights : {"moss/4", "moss/5", "moss/6", "moss/7"}) {
    harness.announce(weights);
    harness.serve(2500ms);
  }
  harness.serve(5s);
  harness.expectNoUseAfterEnd();
  for (const char* weights : {"moss/3", "moss/4", "moss/5", "moss/6"}) {
    TimePoint last = harness.lastUseOf(weights);
    cr_expect(harness.useEndsAt(weights) - last < 1s, "%s was last used %d ms before its end", weights,
              static_cast<int>(toMilliseconds(harness.useEndsAt(weights) - last)));
  }
  cr_expect(harness.weightsUsedSince(harness.now - 500ms) == std::set<std::string>{"moss/7"});
}

Test(version_ends_proxy, each_of_seven_versions_announced_in_a_row_ends_at_its_own_time) {
  VersionHarness harness;
  Strings versions{"moss/4", "moss/5", "moss/6", "moss/7", "moss/8", "moss/9", "moss/10"};
  harness.addWorkersWith({"moss/3", "moss/5", "moss/8", "moss/10"});
  harness.serve(500ms);
  for (const auto& weights : versions) {
    harness.announce(weights);
    harness.serve(1500ms);
  }
  harness.serve(5s);
  harness.expectNoUseAfterEnd();
}

Test(version_ends_proxy, announcing_an_old_version_again_makes_it_the_newest) {
  VersionHarness harness;
  harness.addWorkersWith({"moss/3", "moss/4"});
  harness.serve(500ms);
  harness.announce("moss/4");
  harness.serve(2s);
  harness.announce("moss/3");
  harness.serve(8s);
  harness.expectNoUseAfterEnd();
  cr_expect(harness.weightsUsedSince(harness.now - 500ms) == std::set<std::string>{"moss/3"});
  cr_expect(harness.useEndsAt("moss/4") - harness.lastUseOf("moss/4") < 1s,
            "it ends one period after the other version was announced again");
  harness.announce("moss/4");
  harness.serve(2s);
  harness.announce("moss/5");
  harness.serve(4s);
  harness.expectNoUseAfterEnd();
  cr_expect(harness.weightsUsedSince(harness.now - 500ms) == std::set<std::string>{"moss/4"});
}

Test(version_ends_proxy, a_request_in_a_lookup_past_the_end_goes_to_newer_weights) {
  for (const auto& versions : oneAndTwoAnnouncements)
    for (bool lookupsAnswered : {true, false}) {
      VersionHarness harness;
      harness.addWorkersWith({"moss/3", versions.back()});
      harness.run(300ms);
      harness.announce(versions, 1s);
      harness.run(harness.useEndsAt("moss/3") - 100ms - harness.now);
      auto waiting = harness.requestsInLookup("moss/3");
      harness.run(150ms);
      if (lookupsAnswered) harness.replyToLookups({});
      harness.run(700ms);
      harness.replyToLookups({});
      harness.run(700ms);
      for (const auto& requestId : waiting) cr_expect_eq(harness.onlyAttempt(requestId).weights, versions.back());
      harness.expectNoUseAfterEnd();
    }
}

Test(version_ends_proxy, a_request_pending_past_the_end_is_not_sent_to_the_old_version) {
  for (const auto& versions : oneAndTwoAnnouncements) {
    VersionHarness harness;
    harness.worker("w3").withheld = true;
    harness.worker("w4", "north-a", versions.back()).withheld = true;
    harness.publishCells();
    harness.run(300ms);
    harness.announce(versions, 1s);
    harness.run(harness.useEndsAt("moss/3") - 200ms - harness.now);
    auto requestId = harness.submitNext();
    cr_expect(harness.attemptsOf(requestId).empty());
    harness.run(300ms);
    harness.worker("w3").withheld = false;
    harness.publishCells();
    harness.run(100ms);
    cr_expect(harness.attemptsOf(requestId).empty());
    harness.worker("w4").withheld = false;
    harness.publishCells();
    if (harness.finalStatusesOf(requestId).empty())
      cr_expect_eq(harness.onlyAttempt(requestId).weights, versions.back());
    harness.expectNoUseAfterEnd();
  }
}

Test(version_ends_proxy, a_request_in_a_transfer_past_the_end_is_not_sent_to_the_old_version) {
  for (const auto& versions : oneAndTwoAnnouncements)
    for (bool moved : {true, false}) {
      VersionHarness harness(transferSettings(), transferConfiguration);
      harness.worker("w3");
      auto& source = harness.worker("w33");
      source.summary = std::string(16, '\xff');
      source.slots = 0;
      harness.publishCells();
      harness.run(300ms);
      harness.announce(versions, 1s);
      harness.run(harness.useEndsAt("moss/3") - 250ms - harness.now);
      std::string moveId, requestId;
      for (int number = 0; number < 20 && moveId.empty(); ++number) {
        requestId = harness.submit(transferRequest(number));
        harness.replyToLookups({{"w33", std::vector<int>(64, 1)}});
        for (const auto& watch : harness.all<WatchMsg>()) moveId = watch.moveId;
      }
      cr_assert_not(moveId.empty(), "no request is worth a transfer");
      cr_expect(harness.attemptsOf(requestId).empty());
      harness.run(350ms);
      harness.worker("w4", "north-a", versions.back());
      harness.publishCells();
      harness.deliver(agentAddress, TransferDone{moveId, moved});
      harness.run(100ms);
      cr_expect_eq(harness.onlyAttempt(requestId).weights, versions.back());
      harness.expectNoUseAfterEnd();
    }
}

Test(version_ends_proxy, a_retry_after_the_end_goes_to_newer_weights) {
  for (const auto& versions : oneAndTwoAnnouncements)
    for (auto outcome : {AttemptOutcome::denied, AttemptOutcome::broken}) {
      VersionHarness harness;
      for (const char* name : {"w3", "w33", "w333", "w3333"}) harness.worker(name);
      harness.worker("w4", "north-a", versions.back());
      harness.publishCells();
      harness.run(300ms);
      harness.announce(versions, 1s);
      harness.run(harness.useEndsAt("moss/3") - 20ms - harness.now);
      auto attempt = harness.attemptAt("moss/3", "/safe/x");
      harness.run(30ms);
      harness.endAttempt(attempt.requestId, outcome);
      harness.run(100ms);
      auto attempts = harness.attemptsOf(attempt.clientRequestId);
      cr_assert_eq(attempts.size(), 2u);
      cr_expect_eq(attempts[1].weights, versions.back());
      harness.expectNoUseAfterEnd();
    }
}

Test(version_ends_proxy, a_stream_broken_after_the_end_is_resumed_with_newer_weights) {
  for (const auto& versions : oneAndTwoAnnouncements) {
    VersionHarness harness;
    for (const char* name : {"w3", "w33", "w333", "w3333"}) harness.worker(name);
    harness.worker("w4", "north-a", versions.back());
    harness.publishCells();
    harness.run(300ms);
    harness.announce(versions, 1s);
    harness.run(harness.useEndsAt("moss/3") - 500ms - harness.now);
    auto attempt = harness.attemptAt("moss/3", "/stream/x");
    harness.deliver("worker", WorkerChunk{attempt.requestId, "one ", "p1"});
    harness.run(600ms);
    harness.endAttempt(attempt.requestId, AttemptOutcome::broken);
    harness.run(100ms);
    auto attempts = harness.attemptsOf(attempt.clientRequestId);
    cr_assert_eq(attempts.size(), 2u);
    cr_expect_eq(attempts[1].weights, versions.back());
    harness.expectNoUseAfterEnd();
  }
}

namespace {
/// A proxy that was frozen while the use of the old version ended. It has requests with open lookups, a pending one,
/// and one at a worker of that version.
struct FrozenHarness : VersionHarness {
  Strings inLookup;
  std::vector<LookupMsg> lookupsBefore;
  std::string pendingId;
  WorkerOrder atWorker;
  TimePoint resumedAt{};

  FrozenHarness() {
    for (const char* name : {"w3", "w33", "w333"}) worker(name);
    worker("w4", "north-a", "moss/4");
    worker("v3", "north-a", "moss/3", "weir").withheld = true;
    publishCells();
    run(300ms);
    announce("moss/4");
    run(useEndsAt("moss/3") - 100ms - now);
    atWorker = attemptAt("moss/3", "/safe/x");
    repliedLookups = lookups.size();
    inLookup = requestsInLookup("moss/3", "/safe/x");
    lookupsBefore = newLookups();
    pendingId = submitPending();
    freeze(2s);
    resumedAt = now;
  }
  /// A request that only a withheld worker of the other service could take.
  std::string submitPending() {
    std::string requestId;
    for (int number = 0; number < 40; ++number) {
      requestId = submitNext("/split/x");
      if (attemptsOf(requestId).empty()) return requestId;
      endAttempt(onlyAttempt(requestId).requestId, AttemptOutcome::done);
    }
    cr_assert_fail("all requests went to the first service");
    return requestId;
  }
  CellNews releasingUpdate() {
    worker("v3").withheld = false;
    auto& update = cells["north-a"];
    ++update.sequence;
    return update;
  }
  /// Nothing may be sent before the configuration is known to be complete again, and nothing to the old version after
  /// that.
  void expectNoStaleAttempts() {
    cr_expect(attemptsSince(resumedAt).empty(), "%zu requests were sent on a stale configuration",
              attemptsSince(resumedAt).size());
    run(300ms);
    cr_expect(attemptsSince(resumedAt).empty(), "%zu requests were sent on a stale configuration",
              attemptsSince(resumedAt).size());
    answersFeedPolls = true;
    run(300ms);
    replyToLookups({});
    serve(500ms);
    expectNoUseAfterEnd();
    cr_expect(weightsUsedSince(now - 400ms) == std::set<std::string>{"moss/4"});
  }
};
}  // namespace

Test(version_ends_proxy, after_a_freeze_over_the_end_a_tick_sends_nothing_to_the_old_version) {
  FrozenHarness harness;
  harness.tick();
  harness.expectNoStaleAttempts();
}

Test(version_ends_proxy, after_a_freeze_over_the_end_lookup_replies_send_nothing_to_the_old_version) {
  FrozenHarness harness;
  for (const auto& lookup : harness.lookupsBefore) harness.replyTo(lookup, {1, 1});
  harness.expectNoStaleAttempts();
}

Test(version_ends_proxy, after_a_freeze_over_the_end_a_cell_update_sends_nothing_to_the_old_version) {
  FrozenHarness harness;
  harness.deliver(agentAddress, harness.releasingUpdate());
  harness.expectNoStaleAttempts();
}

Test(version_ends_proxy, after_a_freeze_over_the_end_a_change_sends_nothing_to_the_old_version) {
  FrozenHarness harness;
  harness.change(R"({"services":{"barn":{}}})");
  harness.expectNoStaleAttempts();
}

Test(version_ends_proxy, after_a_freeze_over_the_end_a_denied_request_is_not_sent_to_the_old_version) {
  for (auto outcome : {AttemptOutcome::denied, AttemptOutcome::brokenBeforeSend, AttemptOutcome::broken}) {
    FrozenHarness harness;
    harness.endAttempt(harness.atWorker.requestId, outcome);
    harness.expectNoStaleAttempts();
    cr_expect_leq(harness.finalStatusesOf(harness.atWorker.clientRequestId).size(), 1u);
  }
}

Test(version_ends_proxy, after_a_freeze_over_the_end_a_new_request_is_not_sent_to_the_old_version) {
  FrozenHarness harness;
  auto status = harness.finalStatusOf(harness.submitNext());
  cr_expect_eq(status.verdict, "not run");
  cr_expect_gt(status.retryAfterMs, 0);
  harness.expectNoStaleAttempts();
}

Test(version_ends_proxy, a_short_freeze_over_the_end_does_not_prolong_it) {
  for (const auto& versions : oneAndTwoAnnouncements) {
    VersionHarness harness;
    harness.addWorkersWith({"moss/3", versions.back()});
    harness.run(300ms);
    harness.announce(versions, 1s);
    harness.run(harness.useEndsAt("moss/3") - 100ms - harness.now);
    auto waiting = harness.requestsInLookup("moss/3");
    harness.now += 180ms;
    harness.replyToLookups({});
    harness.run(500ms);
    harness.replyToLookups({});
    harness.serve(500ms);
    harness.expectNoUseAfterEnd();
    cr_expect(harness.weightsUsedSince(harness.now - 400ms) == std::set<std::string>{versions.back()});
  }
}

Test(version_ends_proxy, a_proxy_started_after_the_announcement_uses_no_older_version) {
  for (bool newerAvailable : {true, false}) {
    VersionHarness harness;
    harness.announce("moss/4");
    VersionHarness restarted;
    restarted.router = std::make_unique<ProxyRouter>(ProxyHarness::pathSettings("proxy-1"));
    restarted.configuration = harness.configuration;
    restarted.announcements = harness.announcements;
    restarted.sendSnapshot();
    restarted.tick();
    restarted.addWorkersWith(newerAvailable ? Strings{"moss/3", "moss/4"} : Strings{"moss/3"});
    TimePoint since = restarted.now;
    restarted.serve(2s);
    std::set<std::string> used;
    if (newerAvailable) used.insert("moss/4");
    cr_expect(restarted.weightsUsedSince(since) == used);
    if (newerAvailable) continue;
    auto requestId = restarted.submitNext();
    restarted.run(2s);
    auto status = restarted.finalStatusOf(requestId);
    cr_expect_eq(status.verdict, "not run");
    cr_expect_gt(status.retryAfterMs, 0);
  }
}

Test(version_ends_proxy, an_announcement_does_not_allow_versions_superseded_before_the_proxy_started) {
  VersionHarness harness;
  harness.announce("moss/4");
  harness.router = std::make_unique<ProxyRouter>(ProxyHarness::pathSettings("proxy-1"));
  harness.sendSnapshot();
  harness.tick();
  harness.addWorkersWith({"moss/3", "moss/4", "moss/5"});
  TimePoint since = harness.now;
  harness.serve(1s);
  harness.announce("moss/5");
  harness.serve(1s);
  cr_expect(harness.weightsUsedSince(since) == (std::set<std::string>{"moss/4", "moss/5"}),
            "moss/3 is older than the version announced when the proxy started");
  harness.serve(4s);
  harness.expectNoUseAfterEnd();
}

Test(version_ends_proxy, a_request_that_no_worker_may_take_is_not_run_and_gets_a_retry_delay) {
  for (const auto& versions : oneAndTwoAnnouncements) {
    VersionHarness harness;
    harness.addWorkersWith({"moss/3"});
    harness.run(300ms);
    harness.announce(versions, 1s);
    harness.publishCells();
    harness.serve(harness.useEndsAt("moss/3") - 500ms - harness.now);
    cr_expect(harness.weightsUsedSince(harness.now - 200ms) == std::set<std::string>{"moss/3"}, "still within its use");
    harness.run(600ms);
    for (const char* path : {"/once/x", "/safe/x", "/stream/x"}) {
      auto requestId = harness.submitNext(path);
      harness.run(2s);
      cr_expect(harness.attemptsOf(requestId).empty());
      auto status = harness.finalStatusOf(requestId);
      cr_expect_eq(status.verdict, "not run");
      cr_expect_gt(status.retryAfterMs, 0);
      cr_expect_eq(codeStatus(static_cast<Code>(status.code)), 503);
    }
    harness.expectNoUseAfterEnd();
  }
}

Test(version_ends_proxy, a_request_without_a_model_obeys_the_ends_and_carries_its_workers_weights) {
  for (const auto& versions : oneAndTwoAnnouncements) {
    VersionHarness harness;
    harness.worker("w3");
    harness.worker("w4", "north-a", versions.back());
    harness.publishCells();
    harness.run(300ms);
    harness.announce(versions, 1s);
    auto submittedRequests = [&] {
      std::map<std::string, std::string> weightsByWorker;
      for (int number = 0; number < 30; ++number) {
        auto request = harness.clientRequest("/once/x", "key-a", promptOf(number));
        request.model.clear();
        auto attempt = harness.onlyAttempt(harness.submit(request));
        weightsByWorker[attempt.worker] = attempt.weights;
        harness.endAttempt(attempt.requestId, AttemptOutcome::done);
      }
      return weightsByWorker;
    };
    harness.run(harness.useEndsAt("moss/3") - 300ms - harness.now);
    cr_expect(submittedRequests() == (std::map<std::string, std::string>{{"w3", "moss/3"}, {"w4", versions.back()}}));
    harness.run(400ms);
    cr_expect(submittedRequests() == (std::map<std::string, std::string>{{"w4", versions.back()}}));
  }
}

Test(version_ends_proxy, a_request_without_a_model_for_workers_without_one_carries_no_weights) {
  VersionHarness harness;
  for (const char* name : {"w1", "w2"}) {
    auto& row = harness.worker(name, "north-a", "");
    row.model.clear();
  }
  harness.publishCells();
  harness.run(300ms);
  harness.announce("moss/4");
  harness.run(6s);
  auto request = harness.clientRequest("/once/x");
  request.model.clear();
  auto attempt = harness.onlyAttempt(harness.submit(request));
  cr_expect_eq(attempt.weights, "");
  harness.run(3s);
  cr_expect_eq(harness.dropCount, 0u, "it has no version whose use could end");
}

namespace {
/// A request that was sent to a worker of the old version just before its use ended.
struct SentBeforeEndHarness : VersionHarness {
  WorkerOrder attempt;
  SentBeforeEndHarness(const Strings& versions, const std::string& path, Duration before = 300ms) {
    for (const char* name : {"w3", "w33", "w333"}) worker(name);
    worker("w4", "north-a", versions.back());
    publishCells();
    run(300ms);
    announce(versions, 1s);
    run(useEndsAt("moss/3") - before - now);
    attempt = attemptAt("moss/3", path);
  }
  void runPastDropTimeout() { run(supersededAt("moss/3", now) + dropTimeout + 2 * tickInterval - now); }
  /// The worker must have been told once to drop the request, and not before the end of the use.
  void expectDropped() const {
    std::vector<SentMessage> rows;
    for (const auto& row : sent)
      if (auto* drop = std::get_if<WorkerDrop>(&row.message); drop && drop->requestId == attempt.requestId)
        rows.push_back(row);
    cr_assert_eq(rows.size(), 1u);
    cr_expect_eq(rows[0].to, attempt.worker + ":80");
    cr_expect(rows[0].at >= useEndsAt("moss/3"), "dropped before the end");
    cr_expect(rows[0].at <= supersededAt("moss/3", now) + dropTimeout + 2 * tickInterval, "dropped too late");
  }
};
}  // namespace

Test(version_ends_proxy, a_repeatable_request_not_started_at_the_end_goes_to_newer_weights) {
  for (const auto& versions : oneAndTwoAnnouncements)
    for (const char* path : {"/safe/x", "/stream/x"}) {
      SentBeforeEndHarness harness(versions, path);
      harness.runPastDropTimeout();
      harness.run(100ms);
      harness.expectDropped();
      auto attempts = harness.attemptsOf(harness.attempt.clientRequestId);
      cr_assert_eq(attempts.size(), 2u, "%s was sent %zu times", path, attempts.size());
      cr_expect_eq(attempts[1].weights, versions.back());
      harness.deliver("worker", WorkerChunk{harness.attempt.requestId, "late ", "p9"});
      cr_expect(harness.all<CallerChunk>().empty(), "the response of the dropped attempt reaches no client");
      harness.deliver("worker", WorkerChunk{attempts[1].requestId, "one", "p1"});
      harness.endAttempt(attempts[1].requestId, AttemptOutcome::done);
      cr_expect_eq(harness.finalStatusOf(harness.attempt.clientRequestId).verdict, "done");
      harness.expectNoUseAfterEnd();
    }
}

Test(version_ends_proxy, a_non_repeatable_request_not_started_at_the_end_is_unknown) {
  for (const auto& versions : oneAndTwoAnnouncements)
    for (const char* path : {"/once/x", "/two/x"}) {
      SentBeforeEndHarness harness(versions, path);
      harness.runPastDropTimeout();
      harness.expectDropped();
      cr_expect_eq(harness.finalStatusOf(harness.attempt.clientRequestId).verdict, "unknown", "it may have run");
      harness.run(1s);
      cr_expect_eq(harness.attemptsOf(harness.attempt.clientRequestId).size(), 1u);
      cr_expect_eq(harness.finalStatusesOf(harness.attempt.clientRequestId).size(), 1u);
    }
}

Test(version_ends_proxy, a_started_request_goes_on_past_the_end) {
  for (const auto& versions : oneAndTwoAnnouncements)
    for (const char* path : {"/once/x", "/safe/x", "/stream/x"}) {
      SentBeforeEndHarness harness(versions, path, 600ms);
      harness.deliver("worker", WorkerChunk{harness.attempt.requestId, "one ", "p1"});
      harness.runPastDropTimeout();
      harness.run(500ms);
      cr_expect_eq(harness.dropCount, 0u);
      harness.deliver("worker", WorkerChunk{harness.attempt.requestId, "two", "p2"});
      harness.endAttempt(harness.attempt.requestId, AttemptOutcome::done);
      cr_expect_eq(harness.finalStatusOf(harness.attempt.clientRequestId).verdict, "done");
      cr_expect_eq(harness.all<CallerChunk>().size(), 2u);
    }
}

Test(version_ends_proxy, a_request_at_the_newest_version_is_not_dropped) {
  VersionHarness harness;
  harness.addWorkersWith({"moss/3", "moss/4"});
  harness.run(300ms);
  harness.announce("moss/4");
  harness.run(harness.useEndsAt("moss/3") - 300ms - harness.now);
  auto attempt = harness.attemptAt("moss/4", "/once/x");
  harness.run(1500ms);
  cr_expect_eq(harness.dropCount, 0u);
  cr_expect(harness.finalStatusesOf(attempt.clientRequestId).empty());
  harness.endAttempt(attempt.requestId, AttemptOutcome::done);
  cr_expect_eq(harness.finalStatusOf(attempt.clientRequestId).verdict, "done");
}

Test(version_ends_proxy, an_announcement_learned_after_a_gap_counts_from_the_start_of_the_gap) {
  for (Duration gap : {1000ms, 1400ms, 3000ms}) {
    VersionHarness harness;
    harness.addWorkersWith({"moss/3", "moss/4"});
    harness.serve(500ms);
    TimePoint completeAt = harness.now;
    harness.answersFeedPolls = false;
    harness.run(gap);
    harness.answersFeedPolls = true;
    harness.announce("moss/4");
    harness.serve(completeAt + oldWeightsUse + 2s - harness.now);
    TimePoint last = harness.lastUseOf("moss/3");
    cr_expect(last <= completeAt + oldWeightsUse, "after %d ms without updates it was used %d ms too long",
              static_cast<int>(toMilliseconds(gap)),
              static_cast<int>(toMilliseconds(last - completeAt - oldWeightsUse)));
    cr_expect(last > completeAt + oldWeightsUse - 500ms, "after %d ms without updates its use ended %d ms early",
              static_cast<int>(toMilliseconds(gap)),
              static_cast<int>(toMilliseconds(completeAt + oldWeightsUse - last)));
  }
}

Test(version_ends_proxy, an_announcement_learned_by_snapshot_after_a_gap_counts_from_the_start_of_the_gap) {
  VersionHarness harness;
  harness.addWorkersWith({"moss/3", "moss/4", "moss/5"});
  harness.run(500ms);
  TimePoint completeAt = harness.now;
  harness.answersFeedPolls = false;
  harness.run(1s);
  harness.configuration.change(VersionHarness::announcementPatch("moss/4"));
  harness.configuration.change(VersionHarness::announcementPatch("moss/5"));
  harness.answersFeedPolls = true;
  harness.sendSnapshot();
  harness.tick();
  harness.serve(completeAt + oldWeightsUse + 500ms - harness.now);
  cr_expect(harness.lastUseOf("moss/3") <= completeAt + oldWeightsUse);
  cr_expect(harness.weightsUsedSince(harness.now - 400ms) == std::set<std::string>{"moss/5"});
}

Test(version_ends_proxy, requests_on_a_models_own_route_obey_the_ends) {
  for (const auto& versions : oneAndTwoAnnouncements) {
    VersionHarness harness(transferSettings(), transferConfiguration);
    harness.worker("w3");
    harness.worker("w4", "north-a", versions.back());
    harness.publishCells();
    harness.run(300ms);
    harness.announce(versions, 1s);
    int submittedRequests = 0;
    auto used = [&] {
      std::set<std::string> weights;
      for (int number = 0; number < 30; ++number) {
        auto request = transferRequest(0);
        request.requestId = "talk/" + std::to_string(++submittedRequests);
        auto attempt = harness.onlyAttempt(harness.submit(request));
        weights.insert(attempt.weights);
        harness.endAttempt(attempt.requestId, AttemptOutcome::done);
      }
      return weights;
    };
    harness.run(harness.useEndsAt("moss/3") - 300ms - harness.now);
    cr_expect(used() == (std::set<std::string>{"moss/3", versions.back()}));
    harness.run(310ms);
    cr_expect(used() == std::set<std::string>{versions.back()});
    harness.expectNoUseAfterEnd();
    harness.worker("w4").alive = false;
    harness.publishCells();
    auto last = transferRequest(1);
    harness.submit(last);
    harness.run(2s);
    cr_expect(harness.attemptsOf(last.requestId).empty());
    cr_expect_eq(harness.finalStatusOf(last.requestId).verdict, "not run");
  }
}
