#include <criterion/criterion.h>

#include "audit.hpp"

using namespace tt;

namespace {
constexpr const char* model = "rooster-llm";
constexpr const char* breachLine = "old-weights-began";

std::string nanoseconds(double seconds) { return std::to_string(static_cast<std::int64_t>(seconds * 1e9)); }

/// The records of a run in which weights are named, made by hand; moments are in seconds.
class Run {
 public:
  Run() { records.oldWeightsTimeout = 10s; }

  Run& sent(const std::string& changeId, const std::string& weights, double at) {
    records.events.push_back(Json(namingRow("naming", changeId, weights, at)).serialize());
    return *this;
  }
  Run& acknowledged(const std::string& changeId, const std::string& weights, int revision, double at) {
    auto row = namingRow("named", changeId, weights, at);
    row["revision"] = jsonNumber(revision);
    records.events.push_back(Json(row).serialize());
    return *this;
  }
  /// A naming that is acknowledged a tenth of a second after it was sent.
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
  /// What the audit says of orders that began on old weights.
  std::vector<std::string> found() const {
    auto result = audit();
    cr_assert_eq(result.unreadable, 0);
    return result.violations[breachLine];
  }

  AuditRecords records;

 private:
  static JsonObject namingRow(const std::string& event, const std::string& changeId, const std::string& weights,
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

/// Weights named four times, every four seconds; w1 is what the workers had before.
Run fourNamings() {
  Run run;
  run.named("c2", "w2", 2, 100).named("c3", "w3", 3, 104).named("c4", "w4", 4, 108).named("c5", "w5", 5, 112);
  return run;
}
}  // namespace

Test(old_weights_audit, an_order_in_time_is_sound_and_one_that_begins_late_is_found) {
  auto run = fourNamings();
  run.began("in-time", "w1", 109.9).began("late", "w1", 110.1);
  auto found = run.found();
  cr_assert_eq(found.size(), 1u);
  cr_assert_str_eq(found.front().c_str(),
                   "late began on w1 at worker-1, 10100 ms after newer weights were acknowledged");
}

Test(old_weights_audit, later_namings_do_not_give_an_old_version_more_time) {
  auto run = fourNamings();
  run.began("late", "w1", 113).began("on-the-second", "w2", 113.9).began("late-on-the-second", "w2", 114.1);
  cr_assert_eq(run.found().size(), 2u, "w1 ended at 110 and w2 at 114, whatever was named since");
}

Test(old_weights_audit, the_newest_version_may_be_used_for_ever) {
  auto run = fourNamings();
  run.began("newest", "w5", 5000).began("old", "w4", 121.9);
  cr_assert(run.found().empty());
}

Test(old_weights_audit, a_version_named_back_is_the_newest_again) {
  auto run = fourNamings();
  run.named("c6", "w2", 6, 116);
  run.began("back", "w2", 500).began("superseded-by-it", "w5", 126.1);
  auto found = run.found();
  cr_assert_eq(found.size(), 1u);
  cr_assert_eq(found.front().find("superseded-by-it"), 0u);
}

Test(old_weights_audit, a_version_named_back_later_excuses_no_order_that_began_before) {
  auto run = fourNamings();
  run.named("c6", "w1", 6, 130);
  run.began("before-it-was-named-back", "w1", 125).began("after", "w1", 130.05);
  auto found = run.found();
  cr_assert_eq(found.size(), 1u);
  cr_assert_eq(found.front().find("before-it-was-named-back"), 0u);
}

Test(old_weights_audit, a_version_named_back_may_run_before_its_acknowledgement) {
  auto run = fourNamings();
  run.sent("c6", "w1", 130).acknowledged("c6", "w1", 6, 133);
  run.began("agreed-but-not-told", "w1", 131);
  cr_assert(run.found().empty());
}

Test(old_weights_audit, a_resend_of_a_naming_is_the_same_naming) {
  auto run = fourNamings();
  run.sent("c2", "w2", 113).acknowledged("c2", "w2", 2, 113.2);
  run.began("late-on-the-resent", "w2", 120).began("late-on-the-first", "w1", 112).began("newest", "w5", 500);
  auto found = run.found();
  cr_assert_eq(found.size(), 2u, "a resend makes its weights not the newest, and moves no end");
  cr_assert_eq(run.audit().namings, 4);
}

Test(old_weights_audit, a_naming_that_was_sent_again_until_it_was_acknowledged_counts_from_then) {
  Run run;
  run.sent("c2", "w2", 100).sent("c2", "w2", 101).acknowledged("c2", "w2", 2, 103);
  run.began("in-time", "w1", 112.9).began("early-on-the-new", "w2", 100.5);
  cr_assert(run.found().empty());
}

Test(old_weights_audit, the_order_of_namings_is_that_of_their_revisions) {
  Run run;
  run.sent("c2", "w2", 100).sent("c3", "w3", 100.1);
  run.acknowledged("c3", "w3", 3, 101).acknowledged("c2", "w2", 2, 105);
  run.began("newest", "w3", 500).began("old", "w2", 112).began("oldest", "w1", 112);
  cr_assert_eq(run.found().size(), 2u, "w2 and w1 ended 10 s after w3 was acknowledged");
}

Test(old_weights_audit, weights_whose_naming_was_never_acknowledged_are_not_judged) {
  auto run = fourNamings();
  run.sent("c6", "w6", 116);
  run.began("perhaps-the-newest", "w6", 200).began("before-it-was-sent", "w6", 115);
  auto found = run.found();
  cr_assert_eq(found.size(), 1u);
  cr_assert_eq(found.front().find("before-it-was-sent"), 0u);
}

Test(old_weights_audit, models_have_namings_of_their_own) {
  auto run = fourNamings();
  run.began("other", "w1", 500, "other-llm");
  cr_assert(run.found().empty());
}

Test(old_weights_audit, the_span_is_the_one_that_the_records_are_held_to) {
  auto run = fourNamings();
  run.began("order", "w1", 115);
  run.records.oldWeightsTimeout = 20s;
  cr_expect(run.found().empty());
  run.records.oldWeightsTimeout = 15s;
  cr_expect(run.found().empty(), "15 s after is still in time");
  run.records.oldWeightsTimeout = 14999ms;
  cr_expect_eq(run.found().size(), 1u);
}

Test(old_weights_audit, counts_begins_and_tells_the_latest_on_old_weights) {
  auto run = fourNamings();
  cr_assert(!run.audit().latestOldBegin);
  run.began("one", "w1", 103).began("two", "w2", 109).began("newest", "w5", 200);
  auto result = run.audit();
  cr_assert_eq(result.begins, 3);
  cr_assert(result.latestOldBegin == Duration(5s));
}

Test(old_weights_audit, a_naming_without_change_or_revision_is_said_to_be_unreadable) {
  Run run;
  run.records.events = {R"({"at":"1000","event":"named","name":"w2","model":"rooster-llm"})",
                        R"({"at":"1000","event":"named","name":"w2","model":"rooster-llm","change":"c2"})"};
  auto result = run.audit();
  cr_assert_eq(result.unreadable, 2);
  cr_assert_eq(result.namings, 0);
}
