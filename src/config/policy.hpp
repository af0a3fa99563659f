#pragma once
#include "base.hpp"

namespace tt {

/// What a policy may look at for one candidate source.
struct FetchCandidate {
  bool fromStore{false};
  double hits{0};
  double speed{0};
  double busyness{0};
};

/// A few lines of which the first that fits says whether a prefix is fetched; no line that fits means recompute.
class Policy {
 public:
  /// Reads a policy; a fault names the line and the reason.
  static Result<Policy> read(const std::string& text);
  bool fetches(const FetchCandidate& facts) const;

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
