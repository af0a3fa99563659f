#pragma once
#include "base.hpp"

namespace tt {

/// What a policy may test about one candidate source of cached blocks.
struct FetchCandidate {
  /// Whether the source is a block store and not another worker (a peer).
  bool fromStore{false};
  /// Length of the prefix that the source has: in blocks, or in tokens for a prompt whose parts are known by ids.
  double hits{0};
  /// The speed of transfers from the source in blocks per second.
  double speed{0};
  /// The load of the source: busy slots per slot.
  double busyness{0};
};

/// An operator's rule on fetching cached blocks, as at most 32 lines of the form
/// `fetch peer|store [when FIELD SIGN NUMBER [and ...]]` or `recompute [when ...]`; `#` begins a comment. The first
/// line that matches decides, and if none matches, the blocks are computed again.
class Policy {
 public:
  /// Parses a policy; the error's subject is the number of the line.
  static Result<Policy> read(const std::string& text);
  /// Whether blocks should be fetched from a candidate.
  bool fetches(const FetchCandidate& candidate) const;

 private:
  struct Test {
    std::string field;
    std::string sign;
    double bound{0};
  };
  struct Line {
    enum class Action { fetchPeer, fetchStore, recompute } action{Action::recompute};
    std::vector<Test> tests;
  };
  std::vector<Line> lines;
};

}  // namespace tt
