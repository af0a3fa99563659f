#pragma once
#include <optional>
#include <utility>
#include <vector>

namespace tt {

/// A measured point: the size that was swept, and the figure found there.
using Points = std::vector<std::pair<double, double>>;

/// A straight line through points.
struct Line {
  double intercept{0}, slope{0};
};
/// Fits a line by least squares; none through points of fewer than two sizes.
std::optional<Line> fitLine(const Points& points);

struct Spread {
  double min{0}, median{0}, max{0};
};
/// The spread of some values; zeros if there are none.
Spread spreadOf(std::vector<double> values);

}  // namespace tt
