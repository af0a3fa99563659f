#pragma once
#include <optional>
#include <utility>
#include <vector>

namespace tt {

/// Pairs of the swept parameter and the value measured for it.
using Points = std::vector<std::pair<double, double>>;

/// The line y = intercept + slope * x.
struct Line {
  double intercept{0}, slope{0};
};
/// Fits a line by least squares. Returns nothing unless the points have at least two different x values.
std::optional<Line> fitLine(const Points& points);

struct Spread {
  double min{0}, median{0}, max{0};
};
/// Returns zeros if there are no values.
Spread spreadOf(std::vector<double> values);

}  // namespace tt
