#pragma once
#include <cstddef>
#include <optional>
#include <random>
#include <vector>

/// Selection among the workers of a plain service, which cache no prompt blocks. They differ only in how busy they are,
/// in which zone they are, and whether they failed lately.
namespace tt {

/// One worker of a plain service as a proxy sees it.
struct PlainCandidate {
  /// Requests that it runs at the same time; 0 if unknown.
  int slots{0};
  /// Requests that this proxy has open there, and those running and waiting by the worker's own report, if it is
  /// recent.
  int open{0}, running{0}, waiting{0};
  bool sameZone{false};
  /// Temporarily ejected because its connection broke, it denied a request or it responded with errors.
  bool ejected{false};
};

/// Returns the index of the candidate that should take a request: the least occupied one that is not ejected. A
/// candidate in the same zone is preferred unless it is clearly more occupied; ties are broken at random. If all are
/// ejected, none is known to be better than another, so all are considered. Returns no value only if there are no
/// candidates.
std::optional<std::size_t> selectLeastOccupied(const std::vector<PlainCandidate>& candidates,
                                               std::mt19937_64& randomSource);

/// Counts a worker's consecutive failures and determines how long it is ejected for them.
class OutlierRecord {
 public:
  /// Records the result of a request there. Returns for how many ejection periods the worker is ejected from now on: 0
  /// after a success, 1 after a first failure, twice as many after each further one up to a bound.
  int recordResult(bool failed);

 private:
  int consecutiveFailures{0};
};

}  // namespace tt
