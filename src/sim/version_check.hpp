#pragma once
#include <map>
#include <optional>
#include <string>

#include "effects.hpp"

namespace tt {

/// Records which weights were announced for each model and when that was acknowledged, to tell how long a request may
/// still start with given weights.
///
/// Weights are superseded as soon as the first newer announcement is acknowledged; later announcements do not change
/// that time. Weights that are announced again become the newest. Weights that were never announced are older than all
/// others.
class VersionCheck {
 public:
  /// Records that the log entry at this index announces these weights for the model. Entries may come in any order.
  void recordAnnouncement(const std::string& model, std::uint64_t index, const std::string& weights);
  /// Records that the entry at this index was acknowledged to an operator. Only the first acknowledgement counts.
  void recordAcknowledgement(std::uint64_t index, TimePoint at);
  /// When the first announcement newer than these weights was acknowledged; nothing if none was.
  std::optional<TimePoint> supersededAt(const std::string& model, const std::string& weights) const;
  /// Whether the announcement at this index is the model's newest, that is, no later announcement of other weights was
  /// acknowledged.
  bool isNewest(const std::string& model, std::uint64_t index) const;
  /// For how long, as of `now`, these weights have been superseded; nothing if they are not.
  std::optional<Duration> supersededFor(const std::string& model, const std::string& weights, TimePoint now) const;

 private:
  /// The announced weights of each model by log index.
  std::map<std::string, std::map<std::uint64_t, std::string>> announcementsByModel;
  /// The time of the first acknowledgement by log index.
  std::map<std::uint64_t, TimePoint> acknowledgedAt;
};

}  // namespace tt
