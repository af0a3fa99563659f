#pragma once
#include <cstddef>
#include <optional>
#include <random>
#include <vector>

/// Choosing among workers that keep no prompt blocks: all that tells them apart is how busy they are, where they are
/// and whether they answered of late.
namespace tt {

/// One worker of a plain service as a proxy sees it.
struct PlainCandidate {
  /// Orders that it runs at once; 0 where that is not told.
  int slots{0};
  /// Orders that this proxy has open there, and what the worker said of itself, if that is recent.
  int open{0}, running{0}, waiting{0};
  bool sameZone{false};
  /// Left out for a while because it broke off, turned an order away or answered with failures.
  bool ejected{false};
};

/// The place of the worker that should take an order; none only where there are no candidates. The least occupied of
/// those that are not ejected, one in the same locality before one elsewhere unless it is clearly fuller, and any of
/// equals. Where all are ejected none of them is known to be better than another, so all stand again.
std::optional<std::size_t> choosePlain(const std::vector<PlainCandidate>& candidates, std::mt19937_64& randomSource);

/// What a proxy remembers of a worker's failures, and how long it leaves the worker out for them.
class OutlierRecord {
 public:
  /// Notes how an order ended there and says for how many spans, each as long as one failure alone would cost, the
  /// worker is left out from now on; 0 after a success.
  int note(bool failed);

 private:
  int failuresInSuccession{0};
};

}  // namespace tt
