#include "announcement_records.hpp"

#include <algorithm>

#include "version_check.hpp"

namespace tt {
namespace {
void setToEarliest(std::optional<TimePoint>& earliest, TimePoint at) {
  if (!earliest || at < *earliest) earliest = at;
}
}  // namespace

AnnouncementRecords::Announcement& AnnouncementRecords::announcementOf(const std::string& changeId,
                                                                       const std::string& model,
                                                                       const std::string& weights) {
  auto& announcement = announcementsByChange[changeId];
  announcement.model = model;
  announcement.weights = weights;
  return announcement;
}

void AnnouncementRecords::recordSent(const std::string& changeId, const std::string& model, const std::string& weights,
                                     TimePoint at) {
  setToEarliest(announcementOf(changeId, model, weights).firstSent, at);
}

void AnnouncementRecords::recordAcknowledgement(const std::string& changeId, const std::string& model,
                                                const std::string& weights, std::uint64_t revision, TimePoint at) {
  auto& announcement = announcementOf(changeId, model, weights);
  announcement.revision = revision;
  setToEarliest(announcement.firstAcknowledged, at);
}

std::optional<Duration> AnnouncementRecords::supersededFor(const std::string& model, const std::string& weights,
                                                           TimePoint now) const {
  VersionCheck check;
  for (const auto& [changeId, announcement] : announcementsByChange) {
    if (announcement.firstSent && *announcement.firstSent > now) continue;
    if (announcement.firstAcknowledged) {
      check.recordAnnouncement(announcement.model, announcement.revision, announcement.weights);
      check.recordAcknowledgement(announcement.revision, *announcement.firstAcknowledged);
    } else if (announcement.model == model && announcement.weights == weights) {
      return std::nullopt;
    }
  }
  return check.supersededFor(model, weights, now);
}

std::size_t AnnouncementRecords::acknowledgedCount() const {
  return static_cast<std::size_t>(
      std::count_if(announcementsByChange.begin(), announcementsByChange.end(),
                    [](const auto& row) { return row.second.firstAcknowledged.has_value(); }));
}

}  // namespace tt
