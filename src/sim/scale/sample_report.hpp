#pragma once
#include <string>
#include <vector>

namespace tt {

/// One figure as measured in one run.
struct Sample {
  std::string trial, parameters;
  /// The size that was swept.
  double x{0};
  int repeat{0};
  std::string subject, name;
  double value{0};
};

/// Where a report goes, and the name of the size that was swept.
struct ReportTarget {
  std::string folder, label, axis;
};

/// Writes samples as CSV, and for each figure its spread and fit against the swept size as JSON, a table and an SVG
/// plot.
void writeReport(const ReportTarget& target, const std::vector<Sample>& samples);

}  // namespace tt
