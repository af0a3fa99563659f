#pragma once
#include <map>
#include <optional>
#include <string>

#include "effects.hpp"

namespace tt {

/// The namings of weights as operators noted them: when each change was first sent, and when its acknowledgement came.
///
/// A naming is known by its change id, so that a resend neither counts twice nor moves the first acknowledgement. Its
/// place among the others is the revision that the acknowledgement told.
class NamingRecords {
 public:
  /// Notes that a change that names these weights was sent.
  void sent(const std::string& changeId, const std::string& model, const std::string& weights, TimePoint at);
  /// Notes that a change that names these weights was acknowledged with this revision.
  void recordAcknowledgement(const std::string& changeId, const std::string& model, const std::string& weights,
                             std::uint64_t revision, TimePoint at);
  /// How long before `now` the first naming newer than these weights was acknowledged; nothing if none was, or if it
  /// cannot be told, since a change that names these weights was sent and never acknowledged. A change that was first
  /// sent after `now` does not make its weights newer; one whose sending was not noted counts as sent before.
  std::optional<Duration> supersededFor(const std::string& model, const std::string& weights, TimePoint now) const;
  /// How many namings were acknowledged.
  std::size_t acknowledgedCount() const;

 private:
  struct Naming {
    std::string model, weights;
    std::uint64_t revision{0};
    std::optional<TimePoint> firstSent, firstAcknowledged;
  };
  std::map<std::string, Naming> namingsByChange;

  Naming& namingOf(const std::string& changeId, const std::string& model, const std::string& weights);
};

}  // namespace tt
