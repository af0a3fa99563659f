#include <criterion/criterion.h>

#include <set>
#include <thread>

#include "plan.hpp"
#include "soak_audit.hpp"

/// Tests of the soak's plan and audit: that a seed always gives the same steps, and that the audit finds each kind of
/// break that it is shown, and no other.
namespace sk = tt::soak;
using namespace tt;

namespace {
const std::vector<std::string> proxies{"edge-1", "edge-2"}, cores{"core-1", "core-2", "core-3", "core-4"};

std::string textOf(const sk::Step& step) {
  return std::to_string(step.at.count()) + " " + std::to_string(static_cast<int>(step.kind)) + " " + step.machine +
         " " + step.role + " " + std::to_string(step.signal) + " " + std::to_string(static_cast<int>(step.change));
}

/// An audit with one request in each state, and the rules that it has found broken.
struct AuditHarness {
  SiteSettings::Bounds bounds;
  sk::Audit audit;
  explicit AuditHarness(const SiteSettings::Bounds& told) : bounds(told), audit(told) {
    audit.onKey("held", "t1", sk::ChangeStage::adding);
    audit.onKey("held", "t1", sk::ChangeStage::added);
    audit.onRoute("once", sk::ChangeStage::adding);
    audit.onRoute("once", sk::ChangeStage::added);
  }
  static SiteSettings::Bounds shortBounds() {
    SiteSettings::Bounds told;
    told.revoke = told.configApply = told.contact = Duration(0);
    return told;
  }
  void send(const std::string& id, const std::string& key = "held") {
    audit.onSent(sk::SentRequest{id, key, "once", "edge-1", "digest", false, Clock::now()});
  }
  sk::RunRecord run(const std::string& id) {
    sk::RunRecord record;
    record.attemptId = id;
    record.tenant = "t1";
    record.bodyDigest = "digest";
    record.seal = "seal";
    record.answer = "answer";
    record.weights = 1;
    return record;
  }
  static sk::ClientResponse response(const std::string& id, int status = 200) {
    sk::ClientResponse result;
    result.outcome = sk::ExchangeOutcome::complete;
    result.status = status;
    result.headers = {{"X-Attempt-Id", id}, {"X-Server-Seal", "seal"}};
    result.body = "answer";
    return result;
  }
  std::set<std::string> broken() const {
    std::set<std::string> names;
    for (const auto& violation : audit.violations()) names.insert(sk::ruleName(violation.rule));
    return names;
  }
};
using Names = std::set<std::string>;
}  // namespace

Test(soak, a_seed_gives_the_same_steps_and_another_seed_others) {
  std::set<std::string> texts;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::string text;
    Duration last{0};
    for (const auto& step : sk::drawPlan(seed, 60s, proxies, cores, 8s)) {
      cr_expect_geq(step.at.count(), last.count());
      last = step.at;
      text += textOf(step) + "\n";
    }
    std::string again;
    for (const auto& step : sk::drawPlan(seed, 60s, proxies, cores, 8s)) again += textOf(step) + "\n";
    cr_expect_eq(text, again);
    texts.insert(text);
  }
  cr_expect_eq(texts.size(), 20u);
}

Test(soak, the_audit_finds_nothing_wrong_in_an_ordinary_exchange) {
  AuditHarness harness(AuditHarness::shortBounds());
  harness.send("a");
  harness.audit.onRun(harness.run("a"));
  harness.audit.onResponse("a", AuditHarness::response("a"));
  cr_expect(harness.broken().empty());
  cr_expect_eq(harness.audit.figures().served, 1u);
}

Test(soak, the_audit_finds_keys_that_are_not_held) {
  AuditHarness harness(AuditHarness::shortBounds());
  harness.send("never", "key-of-nobody");
  harness.audit.onRun(harness.run("never"));
  cr_expect(harness.broken() == Names{"keys"});
  AuditHarness revoked(AuditHarness::shortBounds()), within(SiteSettings::Bounds{});
  for (auto* audited : {&revoked, &within}) {
    audited->audit.onKey("held", "t1", sk::ChangeStage::removing);
    audited->audit.onKey("held", "t1", sk::ChangeStage::removed);
    std::this_thread::sleep_for(2ms);
    audited->send("late");
    audited->audit.onRun(audited->run("late"));
  }
  cr_expect(revoked.broken() == Names{"keys"});
  cr_expect(within.broken().empty(), "RevokeMs has not passed");
}

Test(soak, the_audit_finds_parts_of_an_isolated_tenant) {
  AuditHarness harness(AuditHarness::shortBounds());
  auto record = harness.run("a");
  record.usedParts = {{"p", "t2", 1}};
  harness.send("a");
  harness.audit.onRun(record);
  cr_expect(harness.broken().empty(), "neither is isolated");
  harness.audit.onIsolation("t2", sk::ChangeStage::adding);
  record.attemptId = "b";
  harness.send("b");
  harness.audit.onRun(record);
  cr_expect(harness.broken().empty(), "the isolation is not acknowledged");
  harness.audit.onIsolation("t2", sk::ChangeStage::added);
  record.attemptId = "c";
  harness.send("c");
  harness.audit.onRun(record);
  cr_expect(harness.broken() == Names{"walls"});
}

Test(soak, the_audit_finds_requests_that_run_twice_or_were_refused_or_changed) {
  AuditHarness twice(AuditHarness::shortBounds());
  twice.send("a");
  twice.audit.onRun(twice.run("a"));
  twice.audit.onRun(twice.run("a"));
  cr_expect(twice.broken() == Names{"twice"});
  AuditHarness refused(AuditHarness::shortBounds());
  refused.send("a");
  refused.audit.onResponse("a", AuditHarness::response("a", 503));
  refused.audit.onRun(refused.run("a"));
  cr_expect(refused.broken() == Names{"refused"});
  AuditHarness changed(AuditHarness::shortBounds());
  changed.send("a");
  auto record = changed.run("a");
  record.bodyDigest = "another";
  changed.audit.onRun(record);
  changed.audit.onRun(changed.run("unknown"));
  cr_expect(changed.broken() == Names{"unasked"});
}

Test(soak, the_audit_finds_wrong_missing_and_denied_answers) {
  AuditHarness wrong(AuditHarness::shortBounds());
  wrong.send("a");
  wrong.audit.onRun(wrong.run("a"));
  wrong.audit.onResponse("a", AuditHarness::response("b"));
  cr_expect(wrong.broken() == Names{"answers"});
  AuditHarness lost(AuditHarness::shortBounds());
  lost.send("a");
  lost.audit.onRun(lost.run("a"));
  auto cut = AuditHarness::response("a");
  cut.outcome = sk::ExchangeOutcome::cut;
  lost.audit.onResponse("a", cut);
  cr_expect(lost.broken() == Names{"lost"});
  AuditHarness denied(AuditHarness::shortBounds());
  denied.send("a");
  denied.audit.onResponse("a", AuditHarness::response("a", 401));
  cr_expect(denied.broken() == Names{"denied"});
}

/// Guards against a machine that stands still for longer than ContactMs and is judged as if it ran.
Test(soak, a_machine_in_trouble_is_not_judged_by_bounds_of_time) {
  AuditHarness harness(AuditHarness::shortBounds());
  harness.audit.onRunning("edge-1", false, false);
  harness.send("a");
  harness.audit.onResponse("a", AuditHarness::response("a", 401));
  cr_expect(harness.broken().empty());
  harness.audit.onRunning("edge-1", false, true);
  harness.audit.onRunning("core-1", true, false);
  harness.send("b");
  harness.audit.onResponse("b", AuditHarness::response("b", 401));
  cr_expect(harness.broken().empty());
  harness.audit.onRunning("core-1", true, true);
  harness.send("c");
  harness.audit.onResponse("c", AuditHarness::response("c", 401));
  cr_expect(harness.broken() == Names{"denied"});
}

Test(soak, bounds_of_time_are_not_judged_while_the_soak_itself_is_held_up) {
  AuditHarness harness(AuditHarness::shortBounds());
  harness.audit.onDelay(2s);
  harness.send("a");
  harness.audit.onResponse("a", AuditHarness::response("a", 401));
  cr_expect(harness.broken().empty());
  cr_expect_eq(harness.audit.figures().notJudged, 1u);
}
