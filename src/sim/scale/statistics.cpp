#include "statistics.hpp"

#include <algorithm>

namespace tt {
namespace {
/// Below this share of the sum of squares the x values count as equal.
constexpr double minRelativeDeterminant = 1e-9;
}  // namespace

std::optional<Line> fitLine(const Points& points) {
  double count = 0, sumX = 0, sumY = 0, sumXX = 0, sumXY = 0;
  for (const auto& [x, y] : points) {
    count += 1;
    sumX += x;
    sumY += y;
    sumXX += x * x;
    sumXY += x * y;
  }
  double determinant = count * sumXX - sumX * sumX;
  if (count < 2 || determinant <= minRelativeDeterminant * std::max(1.0, count * sumXX)) return std::nullopt;
  double slope = (count * sumXY - sumX * sumY) / determinant;
  return Line{(sumY - slope * sumX) / count, slope};
}

Spread spreadOf(std::vector<double> values) {
  if (values.empty()) return {};
  std::sort(values.begin(), values.end());
  std::size_t middle = values.size() / 2;
  double median = values.size() % 2 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
  return Spread{values.front(), median, values.back()};
}

}  // namespace tt
