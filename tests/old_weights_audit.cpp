#include <criterion/criterion.h>

#include "audit.hpp"

using namespace tt;

namespace {
constexpr const char* model = "rooster-llm";
constexpr const char* invariant = "old-weights-began";

std::string nanoseconds(double seconds) { return std::to_string(static_cast<std::int64_t>(seconds * 1e9)); }

/// The records of a run in which weights are announced ("named"), for the audit of orders that began on old weights.
/// Times are in seconds.
class Run {
 public:
  Run() { records.oldWeightsTimeout = 10s; }

  Run& sent(const std::string& changeId, const std::string& weights, double at) {
    records.events.push_back(Json(announcementRow("naming", changeId, weights, at)).serialize());
    return *this;
  }
  Run& acknowledged(const std::string& changeId, const std::string& weights, int revision, double at) {
    auto row = announcementRow("named", changeId, weights, at);
    row["revision"] = jsonNumber(revision);
    records.events.push_back(Json(row).serialize());
    return *this;
  }
  /// An announcement that is acknowledged 0.1 s after it was sent.
  Run& named(const std::string& changeId, const std::string& weights, int revision, double at) {
    return sent(changeId, weights, at - 0.1).acknowledged(changeId, weights, revision, at);
  }
  Run& began(const std::string& requestId, const std::string& weights, double at, const std::string& ofModel = model) {
    JsonObject row;
    row["at"] = Json(nanoseconds(at));
    row["worker"] = Json(std::string("worker-1"));
    row["model"] = Json(ofModel);
    row["event"] = Json(std::string("order began"));
    row["subject"] = Json(requestId + " " + weights);
    row["number"] = jsonNumber(0);
    records.workers.push_back(Json(row).serialize());
    return *this;
  }
  AuditResult audit() const { return auditRecords(records); }
  /// The violations that the audit reports for requests that started on old weights.
  std::vector<std::string> reportedViolations() const {
    auto result = audit();
    cr_assert_eq(result.unreadable, 0);
    return result.violations[invariant];
  }

  AuditRecords records;

 private:
  static JsonObject announcementRow(const std::string& event, const std::string& changeId, const std::string& weights,
                                    double at) {
    JsonObject row;
    row["at"] = Json(nanoseconds(at));
    row["event"] = Json(event);
    row["name"] = Json(weights);
    row["model"] = Json(std::string(model));
    row["change"] = Json(changeId);
    return row;
  }
};

/// Four announcements, one every four seconds; w1 are the weights that the workers had before.
Run fourAnnouncements() {
  Run run;
  run.named("c2", "w2", 2, 100).named("c3", "w3", 3, 104).named("c4", "w4", 4, 108).named("c5", "w5", 5, 112);
  return run;
}
}  // namespace

Test(old_weights_audit, reports_requests_that_start_late_and_not_those_in_time) {
  auto run = fourAnnouncements();
  run.began("in-time", "w1", 109.9).began("late", "w1", 110.1);
  auto reportedViolations = run.reportedViolations();
  cr_assert_eq(reportedViolations.size(), 1u);
  cr_assert_str_eq(reportedViolations.front().c_str(),
                   "late began on w1 at worker-1, 10100 ms after newer weights were acknowledged");
}

Test(old_weights_audit, later_announcements_do_not_extend_the_use_of_old_weights) {
  auto run = fourAnnouncements();
  run.began("late", "w1", 113).began("on-the-second", "w2", 113.9).began("late-on-the-second", "w2", 114.1);
  cr_assert_eq(run.reportedViolations().size(), 2u,
               "w1 may be used until 110 and w2 until 114, whatever was announced later");
}

Test(old_weights_audit, the_newest_weights_may_be_used_without_limit) {
  auto run = fourAnnouncements();
  run.began("newest", "w5", 5000).began("old", "w4", 121.9);
  cr_assert(run.reportedViolations().empty());
}

Test(old_weights_audit, weights_announced_again_are_the_newest_again) {
  auto run = fourAnnouncements();
  run.named("c6", "w2", 6, 116);
  run.began("back", "w2", 500).began("superseded-by-it", "w5", 126.1);
  auto reportedViolations = run.reportedViolations();
  cr_assert_eq(reportedViolations.size(), 1u);
  cr_assert_eq(reportedViolations.front().find("superseded-by-it"), 0u);
}

Test(old_weights_audit, a_later_announcement_does_not_excuse_requests_that_started_before_it) {
  auto run = fourAnnouncements();
  run.named("c6", "w1", 6, 130);
  run.began("before-it-was-named-back", "w1", 125).began("after", "w1", 130.05);
  auto reportedViolations = run.reportedViolations();
  cr_assert_eq(reportedViolations.size(), 1u);
  cr_assert_eq(reportedViolations.front().find("before-it-was-named-back"), 0u);
}

Test(old_weights_audit, announced_weights_may_be_used_before_the_acknowledgement) {
  auto run = fourAnnouncements();
  run.sent("c6", "w1", 130).acknowledged("c6", "w1", 6, 133);
  run.began("agreed-but-not-told", "w1", 131);
  cr_assert(run.reportedViolations().empty());
}

Test(old_weights_audit, a_resend_is_not_a_new_announcement) {
  auto run = fourAnnouncements();
  run.sent("c2", "w2", 113).acknowledged("c2", "w2", 2, 113.2);
  run.began("late-on-the-resent", "w2", 120).began("late-on-the-first", "w1", 112).began("newest", "w5", 500);
  auto reportedViolations = run.reportedViolations();
  cr_assert_eq(reportedViolations.size(), 2u,
               "a resend neither makes its weights the newest nor extends the use of older ones");
  cr_assert_eq(run.audit().announcements, 4);
}

Test(old_weights_audit, an_announcement_that_was_resent_counts_from_its_acknowledgement) {
  Run run;
  run.sent("c2", "w2", 100).sent("c2", "w2", 101).acknowledged("c2", "w2", 2, 103);
  run.began("in-time", "w1", 112.9).began("early-on-the-new", "w2", 100.5);
  cr_assert(run.reportedViolations().empty());
}

Test(old_weights_audit, announcements_are_ordered_by_their_revisions) {
  Run run;
  run.sent("c2", "w2", 100).sent("c3", "w3", 100.1);
  run.acknowledged("c3", "w3", 3, 101).acknowledged("c2", "w2", 2, 105);
  run.began("newest", "w3", 500).began("old", "w2", 112).began("oldest", "w1", 112);
  cr_assert_eq(run.reportedViolations().size(), 2u, "w2 and w1 may be used until 10 s after w3 was acknowledged");
}

Test(old_weights_audit, weights_whose_announcement_was_never_acknowledged_are_not_reported) {
  auto run = fourAnnouncements();
  run.sent("c6", "w6", 116);
  run.began("perhaps-the-newest", "w6", 200).began("before-it-was-sent", "w6", 115);
  auto reportedViolations = run.reportedViolations();
  cr_assert_eq(reportedViolations.size(), 1u);
  cr_assert_eq(reportedViolations.front().find("before-it-was-sent"), 0u);
}

Test(old_weights_audit, announcements_concern_only_their_own_model) {
  auto run = fourAnnouncements();
  run.began("other", "w1", 500, "other-llm");
  cr_assert(run.reportedViolations().empty());
}

Test(old_weights_audit, the_limit_is_that_of_the_records) {
  auto run = fourAnnouncements();
  run.began("order", "w1", 115);
  run.records.oldWeightsTimeout = 20s;
  cr_expect(run.reportedViolations().empty());
  run.records.oldWeightsTimeout = 15s;
  cr_expect(run.reportedViolations().empty(), "the limit itself is still in time");
  run.records.oldWeightsTimeout = 14999ms;
  cr_expect_eq(run.reportedViolations().size(), 1u);
}

Test(old_weights_audit, counts_starts_and_reports_the_latest_start_on_old_weights) {
  auto run = fourAnnouncements();
  cr_assert(!run.audit().latestStartOnOldWeights);
  run.began("one", "w1", 103).began("two", "w2", 109).began("newest", "w5", 200);
  auto result = run.audit();
  cr_assert_eq(result.startedRequests, 3);
  cr_assert(result.latestStartOnOldWeights == Duration(5s));
}

Test(old_weights_audit, an_announcement_without_change_id_or_revision_is_unreadable) {
  Run run;
  run.records.events = {R"({"at":"1000","event":"named","name":"w2","model":"rooster-llm"})",
                        R"({"at":"1000","event":"named","name":"w2","model":"rooster-llm","change":"c2"})"};
  auto result = run.audit();
  cr_assert_eq(result.unreadable, 2);
  cr_assert_eq(result.announcements, 0);
}
