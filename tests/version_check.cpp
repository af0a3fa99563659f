#include "version_check.hpp"

#include <criterion/criterion.h>

using namespace tt;

namespace {
constexpr const char* model = "rooster-llm";
TimePoint at(int seconds) { return TimePoint(std::chrono::hours(1) + std::chrono::seconds(seconds)); }

/// w1, w2 and w3 named at entries 1 to 3.
VersionCheck threeVersions() {
  VersionCheck check;
  check.recordAnnouncement(model, 1, "w1");
  check.recordAnnouncement(model, 2, "w2");
  check.recordAnnouncement(model, 3, "w3");
  return check;
}
}  // namespace

Test(version_check, counts_from_the_first_newer_naming) {
  auto check = threeVersions();
  check.recordAcknowledgement(1, at(0));
  check.recordAcknowledgement(2, at(10));
  check.recordAcknowledgement(3, at(14));
  cr_assert(check.supersededAt(model, "w1") == at(10), "a later naming set the clock anew");
  cr_assert(check.supersededAt(model, "w2") == at(14));
  cr_assert(!check.supersededAt(model, "w3"));
  cr_assert(check.supersededFor(model, "w1", at(31)) == Duration(21s));
}

Test(version_check, naming_back_makes_a_version_the_newest_again) {
  auto check = threeVersions();
  check.recordAnnouncement(model, 4, "w1");
  for (std::uint64_t index = 1; index <= 4; ++index) check.recordAcknowledgement(index, at(static_cast<int>(index)));
  cr_assert(!check.supersededAt(model, "w1"));
  cr_assert(check.supersededAt(model, "w2") == at(3));
  cr_assert(check.supersededAt(model, "w3") == at(4));
}

Test(version_check, naming_the_newest_again_leaves_the_older_ones_clock) {
  VersionCheck check;
  check.recordAnnouncement(model, 1, "w1");
  check.recordAnnouncement(model, 2, "w2");
  check.recordAnnouncement(model, 5, "w2");
  check.recordAcknowledgement(2, at(2));
  check.recordAcknowledgement(5, at(50));
  cr_assert(check.supersededAt(model, "w1") == at(2));
  cr_assert(!check.supersededAt(model, "w2"));
}

Test(version_check, a_naming_without_acknowledgement_starts_no_clock_but_is_the_newest) {
  auto check = threeVersions();
  check.recordAcknowledgement(2, at(2));
  cr_assert(!check.supersededAt(model, "w2"), "w3 was never acknowledged");
  check.recordAnnouncement(model, 4, "w1");
  cr_assert(!check.supersededAt(model, "w1"), "w1 was named again, though nobody was told so");
}

Test(version_check, acknowledgements_may_come_out_of_order_and_more_than_once) {
  auto check = threeVersions();
  check.recordAcknowledgement(3, at(5));
  check.recordAcknowledgement(2, at(7));
  check.recordAcknowledgement(3, at(9));
  cr_assert(check.supersededAt(model, "w1") == at(5));
  cr_assert(check.supersededAt(model, "w2") == at(5));
}

Test(version_check, a_version_that_was_never_named_is_older_than_all) {
  auto check = threeVersions();
  check.recordAcknowledgement(1, at(1));
  cr_assert(check.supersededAt(model, "w0") == at(1));
}

Test(version_check, models_have_clocks_of_their_own) {
  auto check = threeVersions();
  check.recordAnnouncement("app-llm", 4, "a2");
  check.recordAcknowledgement(4, at(4));
  cr_assert(!check.supersededAt(model, "w1"));
  cr_assert(!check.supersededAt("other-llm", "w1"));
  cr_assert(check.supersededAt("app-llm", "a1") == at(4));
}

Test(version_check, only_the_last_acknowledged_naming_is_the_newest) {
  auto check = threeVersions();
  check.recordAcknowledgement(2, at(2));
  cr_assert(check.isNewest(model, 2), "w3 was never acknowledged");
  check.recordAcknowledgement(3, at(3));
  cr_assert(!check.isNewest(model, 2));
  check.recordAnnouncement(model, 4, "w2");
  check.recordAcknowledgement(4, at(4));
  cr_assert(!check.isNewest(model, 2), "the same weights were named again, with others between");
  cr_assert(check.isNewest(model, 4));
  check.recordAnnouncement(model, 5, "w2");
  check.recordAcknowledgement(5, at(5));
  cr_assert(check.isNewest(model, 4), "no other weights were named after it");
  cr_assert(!check.isNewest(model, 9));
}
