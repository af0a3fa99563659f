#include "version_check.hpp"

#include <algorithm>

namespace tt {

void VersionCheck::agreed(const std::string& model, std::uint64_t index, const std::string& weights) {
  namingsByModel[model].emplace(index, weights);
}

void VersionCheck::acknowledged(std::uint64_t index, Moment at) { acknowledgedAt.emplace(index, at); }

std::optional<Moment> VersionCheck::supersededAt(const std::string& model, const std::string& weights) const {
  auto found = namingsByModel.find(model);
  if (found == namingsByModel.end()) return std::nullopt;
  const auto& namings = found->second;
  auto lastNaming =
      std::find_if(namings.rbegin(), namings.rend(), [&](const auto& naming) { return naming.second == weights; });
  std::optional<Moment> first;
  for (auto newer = lastNaming.base(); newer != namings.end(); ++newer) {
    auto acknowledgement = acknowledgedAt.find(newer->first);
    if (acknowledgement == acknowledgedAt.end()) continue;
    if (!first || acknowledgement->second < *first) first = acknowledgement->second;
  }
  return first;
}

std::optional<Span> VersionCheck::supersededFor(const std::string& model, const std::string& weights,
                                                Moment now) const {
  auto since = supersededAt(model, weights);
  if (!since) return std::nullopt;
  return now - *since;
}

}  // namespace tt
