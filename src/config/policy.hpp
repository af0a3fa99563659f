#pragma once
#include "base.hpp"

namespace tt {

/// The properties of a possible source of cached blocks that a policy can test.
struct FetchCandidate {
  /// Whether the source is a block store and not another worker (a peer).
  bool fromStore{false};
  /// Length of the prefix that the source has cached: in blocks, or in tokens if the prompt's parts are given by ids.
  double hits{0};
  /// The speed of transfers from the source in blocks per second.
  double speed{0};
  /// The load of the source: running requests per slot.
  double busyness{0};
};

/// An operator's rules for fetching cached blocks: at most 32 lines of the form
/// `fetch peer|store [when FIELD SIGN NUMBER [and ...]]` or `recompute [when ...]`, where `#` begins a comment. The
/// first line that matches decides; if none matches, the blocks are computed.
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
