#include "version_check.hpp"

#include <algorithm>

namespace tt {

void VersionCheck::recordAnnouncement(const std::string& model, std::uint64_t index, const std::string& weights) {
  namingsByModel[model].emplace(index, weights);
}

void VersionCheck::recordAcknowledgement(std::uint64_t index, TimePoint at) { acknowledgedAt.emplace(index, at); }

std::optional<TimePoint> VersionCheck::supersededAt(const std::string& model, const std::string& weights) const {
  auto found = namingsByModel.find(model);
  if (found == namingsByModel.end()) return std::nullopt;
  const auto& namings = found->second;
  auto lastNaming =
      std::find_if(namings.rbegin(), namings.rend(), [&](const auto& naming) { return naming.second == weights; });
  std::optional<TimePoint> first;
  for (auto newer = lastNaming.base(); newer != namings.end(); ++newer) {
    auto acknowledgement = acknowledgedAt.find(newer->first);
    if (acknowledgement == acknowledgedAt.end()) continue;
    if (!first || acknowledgement->second < *first) first = acknowledgement->second;
  }
  return first;
}

bool VersionCheck::isNewest(const std::string& model, std::uint64_t index) const {
  auto found = namingsByModel.find(model);
  if (found == namingsByModel.end() || !found->second.count(index)) return false;
  const auto& namings = found->second;
  const std::string& weights = namings.at(index);
  return std::none_of(namings.upper_bound(index), namings.end(), [&](const auto& newer) {
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
