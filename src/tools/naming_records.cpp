#include "naming_records.hpp"

#include <algorithm>

#include "version_check.hpp"

namespace tt {
namespace {
void keepEarliest(std::optional<TimePoint>& kept, TimePoint at) {
  if (!kept || at < *kept) kept = at;
}
}  // namespace

NamingRecords::Naming& NamingRecords::namingOf(const std::string& changeId, const std::string& model,
                                               const std::string& weights) {
  auto& naming = namingsByChange[changeId];
  naming.model = model;
  naming.weights = weights;
  return naming;
}

void NamingRecords::sent(const std::string& changeId, const std::string& model, const std::string& weights,
                         TimePoint at) {
  keepEarliest(namingOf(changeId, model, weights).firstSent, at);
}

void NamingRecords::recordAcknowledgement(const std::string& changeId, const std::string& model,
                                          const std::string& weights, std::uint64_t revision, TimePoint at) {
  auto& naming = namingOf(changeId, model, weights);
  naming.revision = revision;
  keepEarliest(naming.firstAcknowledged, at);
}

std::optional<Duration> NamingRecords::supersededFor(const std::string& model, const std::string& weights,
                                                     TimePoint now) const {
  VersionCheck check;
  for (const auto& [changeId, naming] : namingsByChange) {
    if (naming.firstSent && *naming.firstSent > now) continue;
    if (naming.firstAcknowledged) {
      check.recordAnnouncement(naming.model, naming.revision, naming.weights);
      check.recordAcknowledgement(naming.revision, *naming.firstAcknowledged);
    } else if (naming.model == model && naming.weights == weights) {
      return std::nullopt;
    }
  }
  return check.supersededFor(model, weights, now);
}

std::size_t NamingRecords::acknowledgedCount() const {
  return static_cast<std::size_t>(std::count_if(namingsByChange.begin(), namingsByChange.end(), [](const auto& row) {
    return row.second.firstAcknowledged.has_value();
  }));
}

}  // namespace tt
