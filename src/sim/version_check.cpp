#include "version_check.hpp"

#include <algorithm>

namespace tt {

void VersionCheck::recordAnnouncement(const std::string& model, std::uint64_t index, const std::string& weights) {
  announcementsByModel[model].emplace(index, weights);
}

void VersionCheck::recordAcknowledgement(std::uint64_t index, TimePoint at) { acknowledgedAt.emplace(index, at); }

std::optional<TimePoint> VersionCheck::supersededAt(const std::string& model, const std::string& weights) const {
  auto found = announcementsByModel.find(model);
  if (found == announcementsByModel.end()) return std::nullopt;
  const auto& announcements = found->second;
  auto lastAnnouncement = std::find_if(announcements.rbegin(), announcements.rend(),
                                       [&](const auto& announcement) { return announcement.second == weights; });
  std::optional<TimePoint> first;
  for (auto newer = lastAnnouncement.base(); newer != announcements.end(); ++newer) {
    auto acknowledgement = acknowledgedAt.find(newer->first);
    if (acknowledgement == acknowledgedAt.end()) continue;
    if (!first || acknowledgement->second < *first) first = acknowledgement->second;
  }
  return first;
}

bool VersionCheck::isNewest(const std::string& model, std::uint64_t index) const {
  auto found = announcementsByModel.find(model);
  if (found == announcementsByModel.end() || !found->second.count(index)) return false;
  const auto& announcements = found->second;
  const std::string& weights = announcements.at(index);
  return std::none_of(announcements.upper_bound(index), announcements.end(), [&](const auto& newer) {
    return newer.second != weights && acknowledgedAt.count(newer.first) > 0;
  });
}

std::optional<Duration> VersionCheck::supersededFor(const std::string& model, const std::string& weights,
                                                    TimePoint now) const {
  auto since = supersededAt(model, weights);
  if (!since) return std::nullopt;
  return now - *since;
}

}  // namespace tt
