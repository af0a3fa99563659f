#pragma once
#include <map>
#include <optional>
#include <string>

#include "effects.hpp"

namespace tt {

/// The announcements of weights that operators made: when each was first sent, and when it was first acknowledged.
///
/// An announcement is identified by its change id, so that a resend neither counts twice nor moves the first
/// acknowledgement. Announcements are ordered by the revisions in their acknowledgements.
class AnnouncementRecords {
 public:
  /// Records that a change that announces these weights was sent.
  void recordSent(const std::string& changeId, const std::string& model, const std::string& weights, TimePoint at);
  /// Records that a change that announces these weights was acknowledged with this revision.
  void recordAcknowledgement(const std::string& changeId, const std::string& model, const std::string& weights,
                             std::uint64_t revision, TimePoint at);
  /// How long before `now` the first announcement newer than these weights was acknowledged; nothing if none was. Also
  /// nothing if a change that announces these weights was sent and never acknowledged, as it may have taken effect. A
  /// change that was first sent after `now` is ignored; one whose sending was not recorded counts as sent before.
  std::optional<Duration> supersededFor(const std::string& model, const std::string& weights, TimePoint now) const;
  /// The number of announcements that were acknowledged.
  std::size_t acknowledgedCount() const;

 private:
  struct Announcement {
    std::string model, weights;
    std::uint64_t revision{0};
    std::optional<TimePoint> firstSent, firstAcknowledged;
  };
  std::map<std::string, Announcement> announcementsByChange;

  Announcement& announcementOf(const std::string& changeId, const std::string& model, const std::string& weights);
};

}  // namespace tt
