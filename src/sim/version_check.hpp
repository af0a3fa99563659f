#pragma once
#include <map>
#include <optional>
#include <string>

#include "effects.hpp"

namespace tt {

/// Which versions of each model's weights were named and when that was acknowledged, to tell whether work that begins
/// now may still run under a given version.
///
/// The clock of a version starts when the first naming newer than it is acknowledged; later namings leave that clock
/// as it is. Naming a version again makes it the newest. A version that was never named is older than every other.
class VersionCheck {
 public:
  /// Notes that the log entry at this index names these weights for the model. Entries may be noted in any order.
  void recordAnnouncement(const std::string& model, std::uint64_t index, const std::string& weights);
  /// Notes that the entry at this index was acknowledged to an operator; only the first acknowledgement counts.
  void recordAcknowledgement(std::uint64_t index, TimePoint at);
  /// When the first naming newer than these weights was acknowledged; nothing if none was.
  std::optional<TimePoint> supersededAt(const std::string& model, const std::string& weights) const;
  /// Whether the naming at this index is the model's newest: no other weights were named after it and acknowledged.
  bool isNewest(const std::string& model, std::uint64_t index) const;
  /// How long ago, as of `now`, these weights were superseded by an acknowledged naming; nothing if they were not.
  std::optional<Duration> supersededFor(const std::string& model, const std::string& weights, TimePoint now) const;

 private:
  std::map<std::string, std::map<std::uint64_t, std::string>> namingsByModel;
  std::map<std::uint64_t, TimePoint> acknowledgedAt;
};

}  // namespace tt
