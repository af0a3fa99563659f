#pragma once
#include <string>
#include <vector>

namespace tt {

/// The value of one metric in one run.
struct Sample {
  /// `parameters`: all sizes of the run, for the reader.
  std::string trial, parameters;
  /// The value of the swept parameter.
  double x{0};
  int repeat{0};
  /// `subject`: the role or trial that the metric belongs to.
  std::string subject, name;
  double value{0};
};

/// The folder of a report, the common start of its file names, and the name of the swept parameter.
struct ReportTarget {
  std::string folder, label, axis;
};

/// Writes all samples as CSV. For each metric it writes the spread by size and the fitted line as JSON and as a table,
/// and an SVG plot.
void writeReport(const ReportTarget& target, const std::vector<Sample>& samples);

}  // namespace tt
