#include "version_timeline.hpp"

#include <algorithm>

namespace tt {
namespace {
/// The age that is sent for an announcement of unknown time.
constexpr std::int64_t unknownAge = -1;
}  // namespace

TimePoint endOfUse(TimePoint supersededAt, Duration maxUse) {
  return supersededAt == TimePoint::min() || supersededAt == TimePoint::max() ? supersededAt : supersededAt + maxUse;
}

const VersionTimeline::Announcements* VersionTimeline::announcementsOf(const std::string& model) const {
  auto found = announcementsByModel.find(model);
  return found == announcementsByModel.end() || found->second.empty() ? nullptr : &found->second;
}

void VersionTimeline::observe(const std::string& model, const std::string& weights, std::optional<TimePoint> notBefore,
                              Uint64 index) {
  auto& announcements = announcementsByModel[model];
  if (!announcements.empty() && announcements.back().weights == weights) return;
  announcements.push_back(Announcement{weights, notBefore, index});
}

void VersionTimeline::mergeModel(Announcements& known, const std::vector<Announcement>& received) {
  auto newest = std::find_if(received.rbegin(), received.rend(), [&](const Announcement& announcement) {
    return announcement.index <= known.back().index;
  });
  auto own = known.rbegin();
  for (; newest != received.rend() && own != known.rend(); ++newest, ++own) {
    if (newest->weights != own->weights || newest->index > own->index) return;
    if (!own->notBefore) own->notBefore = newest->notBefore;
  }
  for (; newest != received.rend(); ++newest) known.push_front(*newest);
}

void VersionTimeline::mergeFrom(const std::vector<WeightsAnnouncement>& received, TimePoint askedAt) {
  std::map<std::string, std::vector<Announcement>> receivedByModel;
  for (const auto& announcement : received) {
    std::optional<TimePoint> notBefore;
    if (announcement.age >= 0) notBefore = askedAt - Duration(announcement.age);
    receivedByModel[announcement.model].push_back(Announcement{announcement.weights, notBefore, announcement.index});
  }
  for (const auto& [model, announcements] : receivedByModel) {
    auto known = announcementsByModel.find(model);
    if (known != announcementsByModel.end() && !known->second.empty()) mergeModel(known->second, announcements);
  }
}

std::vector<WeightsAnnouncement> VersionTimeline::exportRecent(TimePoint now, Duration maxAge,
                                                               bool includeUnknown) const {
  std::vector<WeightsAnnouncement> result;
  for (const auto& [model, announcements] : announcementsByModel) {
    std::size_t first = 0;
    while (first < announcements.size() &&
           !(announcements[first].notBefore && now - *announcements[first].notBefore < maxAge))
      ++first;
    bool noneRecent = first == announcements.size();
    if (noneRecent && (!includeUnknown || announcements.empty() || announcements.back().notBefore)) continue;
    for (std::size_t index = first > 0 ? first - 1 : 0; index < announcements.size(); ++index) {
      const auto& announcement = announcements[index];
      std::int64_t age = announcement.notBefore ? (now - *announcement.notBefore).count() : unknownAge;
      result.push_back(WeightsAnnouncement{model, announcement.weights, age, announcement.index});
    }
  }
  return result;
}

std::vector<WeightsAnnouncement> VersionTimeline::newestWithKnownTime(TimePoint now) const {
  std::vector<WeightsAnnouncement> result;
  for (const auto& [model, announcements] : announcementsByModel)
    if (!announcements.empty() && announcements.back().notBefore)
      result.push_back(WeightsAnnouncement{model, announcements.back().weights,
                                           (now - *announcements.back().notBefore).count(),
                                           announcements.back().index});
  return result;
}

void VersionTimeline::pruneExpired(TimePoint now, Duration maxUse) {
  for (auto& [model, announcements] : announcementsByModel)
    while (announcements.size() > 1 && announcements[1].notBefore && now - *announcements[1].notBefore >= maxUse)
      announcements.pop_front();
}

bool VersionTimeline::isNewest(const std::string& model, const std::string& weights) const {
  const auto* announcements = announcementsOf(model);
  return !announcements || announcements->back().weights == weights;
}

TimePoint VersionTimeline::supersededAt(const std::string& model, const std::string& weights) const {
  if (isNewest(model, weights)) return TimePoint::max();
  const auto& announcements = *announcementsOf(model);
  auto found = std::find_if(announcements.rbegin(), announcements.rend(),
                            [&](const Announcement& announcement) { return announcement.weights == weights; });
  const auto& successor = found == announcements.rend() ? announcements.front() : *std::prev(found);
  return successor.notBefore.value_or(TimePoint::min());
}

TimePoint VersionTimeline::newestAt(const std::string& model) const {
  const auto* announcements = announcementsOf(model);
  return announcements ? announcements->back().notBefore.value_or(TimePoint::min()) : TimePoint::max();
}

void VersionTimeline::resolveUnknownTimes(TimePoint ownStart, TimePoint now, Duration maxUse) {
  if (now - ownStart < maxUse) return;
  for (auto& [model, announcements] : announcementsByModel)
    if (!announcements.empty() && !announcements.back().notBefore) announcements.back().notBefore = ownStart;
}

}  // namespace tt
