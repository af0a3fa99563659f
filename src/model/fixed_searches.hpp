#pragma once
#include "search.hpp"

namespace tt::model {

/// A named search of fixed size, for tests.
struct FixedSearch {
  std::string name;
  Setup setup;
  /// Either walks or a breadth-first search.
  std::optional<WalkLimits> walks;
  std::optional<BreadthFirstLimits> breadth;
};

/// The searches that must not find a violation.
const std::vector<FixedSearch>& invariantSearches();
/// Negative controls: for each defence of the replicated log, a search that must find a violation when the defence is
/// disabled.
const std::vector<FixedSearch>& negativeControls();
/// Runs a search with a number of threads. The number does not change the counts in the report.
SearchReport runFixedSearch(const FixedSearch& search, std::size_t threads);

}  // namespace tt::model
