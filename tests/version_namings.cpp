#include "fleet_harness.hpp"
#include "proxy_router_harness.hpp"

using namespace tt;

namespace {
/// By how much the reported age of an announcement may exceed its true age.
constexpr Duration pollSlack = 800ms;

/// Cores and agents that are asked when weights versions were announced.
struct AnnouncementHarness : FleetHarness {
  struct Announcement {
    std::string weights;
    TimePoint askedAt, ackedAt;
  };
  std::vector<Announcement> announcements;

  explicit AnnouncementHarness(std::uint64_t seed = 1) : FleetHarness(seed) {
    form(4);
    startAgent("edge-1");
    startAgent("edge-2");
    cr_assert(runUntil([&] { return agentFresh("edge-1") && agentFresh("edge-2"); }, 5s));
    run(1s);
  }
  void announce(const std::string& weights) {
    TimePoint askedAt = now;
    auto requestId = requestChangeWith(
        leader(), weights,
        R"({"weights":{")" + weights + R"(":{"model":"moss"}},"models":{"moss":{"weights":")" + weights + R"("}}})");
    cr_assert(runUntil([&] { return acknowledged(requestId); }, 5s));
    announcements.push_back(Announcement{weights, askedAt, now});
  }
  template <class Reply>
  std::vector<WeightsAnnouncement> requestAnnouncements(const std::string& name, const Message& request) {
    outside.clear();
    with(machines.at(name), [&](Effects& effects) { machines.at(name).node->handle(effects, "reader:1", request); });
    for (const auto& [to, message] : outside)
      if (auto* reply = std::get_if<Reply>(&message)) return reply->weightsAnnouncements;
    cr_assert_fail("%s does not reply", name.c_str());
    return {};
  }
  std::vector<WeightsAnnouncement> reportedByAgent(const std::string& name) {
    FeedAsk request;
    request.sentAt = toNanoseconds(now);
    return requestAnnouncements<FeedReply>(name, request);
  }
  std::vector<WeightsAnnouncement> reportedByCore(const std::string& name) {
    LogEndRequest request;
    request.requestId = 1;
    request.agent = "reader:1";
    return requestAnnouncements<LogEndResponse>(name, request);
  }
  /// Each announcement must be reported, in order, and none as younger than it is or as older by more than `slack`.
  void expectReported(const std::vector<WeightsAnnouncement>& reported, const std::string& reporter,
                      Duration slack = pollSlack) const {
    std::vector<WeightsAnnouncement> rows;
    for (const auto& row : reported)
      if (row.model == "moss") rows.push_back(row);
    cr_assert_geq(rows.size(), announcements.size(), "%s reports %zu announcements", reporter.c_str(), rows.size());
    std::size_t first = rows.size() - announcements.size();
    for (std::size_t at = 0; at < announcements.size(); ++at) {
      const auto& row = rows[first + at];
      const auto& announcement = announcements[at];
      cr_expect_eq(row.weights, announcement.weights, "%s", reporter.c_str());
      cr_expect(row.age >= (now - announcement.ackedAt).count(), "%s reports %s as younger than it is: %d ms of %d",
                reporter.c_str(), row.weights.c_str(), static_cast<int>(row.age / 1000000),
                static_cast<int>(toMilliseconds(now - announcement.ackedAt)));
      cr_expect(row.age <= (now - announcement.askedAt + slack).count(),
                "%s reports %s as older than it is: %d ms of %d", reporter.c_str(), row.weights.c_str(),
                static_cast<int>(row.age / 1000000), static_cast<int>(toMilliseconds(now - announcement.ackedAt)));
    }
  }
  void expectReportedByAll() {
    for (const auto& [name, machine] : machines) {
      if (machine.agent) expectReported(reportedByAgent(name), name);
      if (machine.core) expectReported(reportedByCore(name), name);
    }
  }
};
}  // namespace

Test(version_namings, all_report_how_long_ago_weights_were_announced) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    AnnouncementHarness harness(seed);
    for (const char* weights : {"moss/4", "moss/5", "moss/6"}) {
      harness.announce(weights);
      harness.run(2s);
    }
    harness.expectReportedByAll();
  }
}

Test(version_namings, a_restarted_agent_learns_how_long_ago_weights_were_announced) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    AnnouncementHarness harness(seed);
    harness.announce("moss/4");
    harness.run(2s);
    harness.announce("moss/5");
    harness.run(2s);
    harness.stop("edge-1");
    harness.run(500ms);
    harness.startAgent("edge-1");
    cr_assert(harness.runUntil([&] { return harness.agentFresh("edge-1"); }, 5s));
    harness.run(1s);
    harness.expectReportedByAll();
  }
}

Test(version_namings, a_restarted_core_learns_how_long_ago_weights_were_announced) {
  for (bool leads : {true, false}) {
    AnnouncementHarness harness;
    harness.announce("moss/4");
    harness.run(2s);
    harness.announce("moss/5");
    harness.run(1s);
    std::string restarted = leads ? harness.leader() : harness.followers()[0];
    harness.stop(restarted);
    harness.run(500ms);
    harness.startCore(restarted, false);
    harness.run(4s);
    harness.expectReportedByAll();
  }
}

Test(version_namings, cores_that_all_restarted_learn_from_agents_how_long_ago_weights_were_announced) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    AnnouncementHarness harness(seed);
    harness.announce("moss/4");
    harness.run(1s);
    harness.announce("moss/5");
    harness.run(1s);
    auto cores = harness.coresExcept("");
    for (const auto& core : cores) harness.stop(core);
    harness.run(300ms);
    for (const auto& core : cores) harness.startCore(core, false);
    cr_assert(harness.runUntil([&] { return !harness.leader().empty(); }, 10s));
    harness.run(3s);
    harness.expectReportedByAll();
  }
}

Test(version_namings, ages_reported_to_an_agent_after_both_sides_restarted_are_never_too_young) {
  AnnouncementHarness harness;
  harness.announce("moss/4");
  harness.run(1s);
  auto cores = harness.coresExcept("");
  for (const auto& core : cores) harness.stop(core);
  harness.run(300ms);
  for (const auto& core : cores) harness.startCore(core, false);
  harness.stop("edge-1");
  harness.startAgent("edge-1");
  cr_assert(harness.runUntil([&] { return harness.agentFresh("edge-1"); }, 10s));
  harness.run(3s);
  harness.expectReportedByAll();
}

namespace {
constexpr Duration oldWeightsUse = 4s;

/// A proxy that started after moss/4 was announced and learns from its agent how long ago that was.
struct InformedProxyHarness : ProxyHarness {
  TimingGuard timingGuard;
  std::vector<WeightsAnnouncement> announcements;
  TimePoint reportedAt{};
  Duration replyDelay{0};
  std::vector<std::pair<TimePoint, FeedReply>> replies;
  int prompts{0};
  TimePoint lastOldUseAt{};

  InformedProxyHarness() {
    timing.oldWeightsSendTimeout = oldWeightsUse;
    answersFeedPolls = false;
    configuration.change(R"({"models":{"moss":{"weights":"moss/4"}}})");
    router = std::make_unique<ProxyRouter>(pathSettings("proxy-1"));
    sent.clear();
    sendSnapshot();
    worker("w3");
    worker("w4", "north-a", "moss/4");
    publishCells();
    reportedAt = now;
  }
  /// Replies to the proxy's feed polls, with ages as of now.
  void answerFeedPolls() {
    for (const auto& poll : all<FeedAsk>()) {
      FeedReply reply{poll.sentAt, 0, configuration.view.index(), true};
      for (auto announcement : announcements) {
        if (announcement.age >= 0) announcement.age += (now - reportedAt).count();
        reply.weightsAnnouncements.push_back(announcement);
      }
      replies.emplace_back(now + replyDelay, reply);
    }
    sent.clear();
    for (auto& row : std::exchange(replies, {})) {
      if (row.first <= now)
        deliver(agentAddress, row.second);
      else
        replies.push_back(row);
    }
  }
  void serve(Duration duration) {
    for (TimePoint until = now + duration; now < until;) {
      run(10ms);
      answerFeedPolls();
      auto requestId = submit("/once/x", "key-a", promptOf(++prompts));
      for (const auto& attempt : attemptsOf(requestId)) {
        if (attempt.weights == "moss/3") lastOldUseAt = now;
        endAttempt(attempt.requestId, AttemptOutcome::done);
      }
    }
  }
};
}  // namespace

Test(version_namings, a_proxy_that_learns_an_announcements_age_uses_the_older_version_until_its_end) {
  for (Duration late : {0ms, 300ms}) {
    InformedProxyHarness harness;
    harness.replyDelay = late;
    harness.announcements = {WeightsAnnouncement{"moss", "moss/3", -1},
                             WeightsAnnouncement{"moss", "moss/4", Duration(1500ms).count()}};
    TimePoint endsAt = harness.now - 1500ms + oldWeightsUse;
    harness.serve(5s);
    cr_expect(harness.lastOldUseAt < endsAt, "used %d ms too long",
              static_cast<int>(toMilliseconds(harness.lastOldUseAt - endsAt)));
    cr_expect(harness.lastOldUseAt > endsAt - 700ms, "its use ended %d ms early",
              static_cast<int>(toMilliseconds(endsAt - harness.lastOldUseAt)));
  }
}

Test(version_namings, a_proxy_that_learns_no_age_uses_no_older_version) {
  for (const auto& reported : {std::vector<WeightsAnnouncement>{WeightsAnnouncement{"moss", "moss/4", -1}},
                               {WeightsAnnouncement{"moss", "moss/3", 0}},
                               {WeightsAnnouncement{"moss", "moss/5", 0}},
                               {WeightsAnnouncement{"fern", "moss/4", 0}},
                               {WeightsAnnouncement{"moss", "moss/4", Duration(oldWeightsUse).count()}}}) {
    InformedProxyHarness harness;
    harness.announcements = reported;
    harness.serve(2s);
    cr_expect(harness.lastOldUseAt == TimePoint{}, "an older version was used");
  }
}

Test(version_namings, no_announcement_is_reported_too_young_while_those_that_know_its_age_are_unreachable) {
  AnnouncementHarness harness;
  harness.announce("moss/4");
  harness.run(4s);
  auto cores = harness.coresExcept("");
  for (const auto& core : cores) harness.stop(core);
  harness.partition({"edge-2"}, cores);
  harness.run(300ms);
  for (const auto& core : cores) harness.startCore(core, false);
  harness.stop("edge-1");
  harness.startAgent("edge-1");
  cr_assert(harness.runUntil([&] { return harness.agentFresh("edge-1"); }, 10s));
  harness.run(4s);
  for (const auto& reported : {harness.reportedByAgent("edge-1"), harness.reportedByCore(cores[0])})
    for (const auto& row : reported)
      if (row.weights == "moss/4" && row.age >= 0)
        cr_expect(row.age >= (harness.now - harness.announcements[0].ackedAt).count(),
                  "reported as %d ms old, %d ms after it was made", static_cast<int>(row.age / 1000000),
                  static_cast<int>(toMilliseconds(harness.now - harness.announcements[0].ackedAt)));
  for (const auto& core : cores) harness.join("edge-2", core);
  harness.run(4s);
  harness.expectReportedByAll();
}
