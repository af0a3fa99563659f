#pragma once
#include "search.hpp"

namespace tt::model {

/// A search of fixed size with a name, as the tests run it.
struct FixedSearch {
  std::string name;
  Setup setup;
  /// Either walks or a breadth-first search.
  std::optional<WalkLimits> walks;
  std::optional<BreadthFirstLimits> breadth;
};

/// The searches in which no rule may be broken.
const std::vector<FixedSearch>& invariantSearches();
/// For each defence of the agreement one search that must break a rule once the defence is taken out.
const std::vector<FixedSearch>& negativeControls();
/// Runs a set with so many threads; the counts are the same for any number of threads.
SearchReport runFixedSearch(const FixedSearch& set, std::size_t threads);

}  // namespace tt::model
