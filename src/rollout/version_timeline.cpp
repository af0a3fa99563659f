#include "version_timeline.hpp"

#include <algorithm>

namespace tt {
namespace {
constexpr std::int64_t unknownAge = -1;
}  // namespace

TimePoint endOfUse(TimePoint supersededAt, Duration span) {
  return supersededAt == TimePoint::min() || supersededAt == TimePoint::max() ? supersededAt : supersededAt + span;
}

const VersionTimeline::Namings* VersionTimeline::namingsOf(const std::string& model) const {
  auto found = namingsByModel.find(model);
  return found == namingsByModel.end() || found->second.empty() ? nullptr : &found->second;
}

void VersionTimeline::observe(const std::string& model, const std::string& weights, std::optional<TimePoint> notBefore,
                              Uint64 index) {
  auto& namings = namingsByModel[model];
  if (!namings.empty() && namings.back().weights == weights) return;
  namings.push_back(Naming{weights, notBefore, index});
}

void VersionTimeline::learnOne(Namings& known, const std::vector<Naming>& told) {
  auto newest = std::find_if(told.rbegin(), told.rend(),
                             [&](const Naming& naming) { return naming.index <= known.back().index; });
  auto own = known.rbegin();
  for (; newest != told.rend() && own != known.rend(); ++newest, ++own) {
    if (newest->weights != own->weights || newest->index > own->index) return;
    if (!own->notBefore) own->notBefore = newest->notBefore;
  }
  for (; newest != told.rend(); ++newest) known.push_front(*newest);
}

void VersionTimeline::mergeFrom(const std::vector<WeightsAnnouncement>& told, TimePoint askedAt) {
  std::map<std::string, std::vector<Naming>> toldByModel;
  for (const auto& naming : told) {
    std::optional<TimePoint> notBefore;
    if (naming.age >= 0) notBefore = askedAt - Duration(naming.age);
    toldByModel[naming.model].push_back(Naming{naming.weights, notBefore, naming.index});
  }
  for (const auto& [model, namings] : toldByModel) {
    auto known = namingsByModel.find(model);
    if (known != namingsByModel.end() && !known->second.empty()) learnOne(known->second, namings);
  }
}

std::vector<WeightsAnnouncement> VersionTimeline::exportRecent(TimePoint now, Duration span, bool unknownToo) const {
  std::vector<WeightsAnnouncement> rows;
  for (const auto& [model, namings] : namingsByModel) {
    std::size_t first = 0;
    while (first < namings.size() && !(namings[first].notBefore && now - *namings[first].notBefore < span)) ++first;
    bool noneYoung = first == namings.size();
    if (noneYoung && (!unknownToo || namings.empty() || namings.back().notBefore)) continue;
    for (std::size_t at = first > 0 ? first - 1 : 0; at < namings.size(); ++at) {
      const auto& naming = namings[at];
      std::int64_t age = naming.notBefore ? (now - *naming.notBefore).count() : unknownAge;
      rows.push_back(WeightsAnnouncement{model, naming.weights, age, naming.index});
    }
  }
  return rows;
}

std::vector<WeightsAnnouncement> VersionTimeline::newestWithKnownTime(TimePoint now) const {
  std::vector<WeightsAnnouncement> rows;
  for (const auto& [model, namings] : namingsByModel)
    if (!namings.empty() && namings.back().notBefore)
      rows.push_back(WeightsAnnouncement{model, namings.back().weights, (now - *namings.back().notBefore).count(),
                                         namings.back().index});
  return rows;
}

void VersionTimeline::pruneExpired(TimePoint now, Duration span) {
  for (auto& [model, namings] : namingsByModel)
    while (namings.size() > 1 && namings[1].notBefore && now - *namings[1].notBefore >= span) namings.pop_front();
}

bool VersionTimeline::isNewest(const std::string& model, const std::string& weights) const {
  const auto* namings = namingsOf(model);
  return !namings || namings->back().weights == weights;
}

TimePoint VersionTimeline::supersededAt(const std::string& model, const std::string& weights) const {
  if (isNewest(model, weights)) return TimePoint::max();
  const auto& namings = *namingsOf(model);
  auto found =
      std::find_if(namings.rbegin(), namings.rend(), [&](const Naming& naming) { return naming.weights == weights; });
  const auto& successor = found == namings.rend() ? namings.front() : *std::prev(found);
  return successor.notBefore.value_or(TimePoint::min());
}

TimePoint VersionTimeline::newestAt(const std::string& model) const {
  const auto* namings = namingsOf(model);
  return namings ? namings->back().notBefore.value_or(TimePoint::min()) : TimePoint::max();
}

void VersionTimeline::resolveUnknownTimes(TimePoint ownStart, TimePoint now, Duration span) {
  if (now - ownStart < span) return;
  for (auto& [model, namings] : namingsByModel)
    if (!namings.empty() && !namings.back().notBefore) namings.back().notBefore = ownStart;
}

}  // namespace tt
