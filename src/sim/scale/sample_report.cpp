#include "sample_report.hpp"

#include <fmt/format.h>
#include <algorithm>
#include <fstream>

#include "json.hpp"
#include "plot.hpp"

namespace tt {
namespace {

/// All samples of one metric.
struct Series {
  std::string subject, name;
  Points points;
  std::map<double, std::vector<double>> valuesBySize;
  std::map<int, Points> pointsByRepeat;
};

/// The spread of slope and intercept over the lines that were fitted to each repeat.
struct Fit {
  Spread slope, intercept;
};

std::vector<Series> groupByMetric(const std::vector<Sample>& samples) {
  std::map<std::pair<std::string, std::string>, Series> rows;
  for (const auto& sample : samples) {
    auto& series = rows[{sample.subject, sample.name}];
    series.subject = sample.subject;
    series.name = sample.name;
    series.points.emplace_back(sample.x, sample.value);
    series.valuesBySize[sample.x].push_back(sample.value);
    series.pointsByRepeat[sample.repeat].emplace_back(sample.x, sample.value);
  }
  std::vector<Series> list;
  for (auto& [key, series] : rows) list.push_back(std::move(series));
  return list;
}

std::optional<Fit> fitSeries(const Series& series) {
  std::vector<double> slopes, intercepts;
  for (const auto& [repeat, points] : series.pointsByRepeat)
    if (auto line = fitLine(points)) {
      slopes.push_back(line->slope);
      intercepts.push_back(line->intercept);
    }
  if (slopes.empty()) return std::nullopt;
  return Fit{spreadOf(slopes), spreadOf(intercepts)};
}

Json spreadsToJson(const Series& series) {
  JsonArray rows;
  for (const auto& [size, values] : series.valuesBySize) {
    auto spread = spreadOf(values);
    JsonObject row;
    row["x"] = jsonNumber(size);
    row["min"] = jsonNumber(spread.min);
    row["median"] = jsonNumber(spread.median);
    row["max"] = jsonNumber(spread.max);
    rows.push_back(Json(row));
  }
  return Json(rows);
}

Json toJson(const Fit& fit) {
  JsonObject row;
  row["slopeMin"] = jsonNumber(fit.slope.min);
  row["slopeMedian"] = jsonNumber(fit.slope.median);
  row["slopeMax"] = jsonNumber(fit.slope.max);
  row["baseMedian"] = jsonNumber(fit.intercept.median);
  return Json(row);
}

Json toJson(const Series& series, const std::optional<Fit>& fit, const std::string& axis) {
  JsonObject row;
  row["subject"] = Json(series.subject);
  row["name"] = Json(series.name);
  row["against"] = Json(axis);
  row["values"] = spreadsToJson(series);
  if (fit) row["fit"] = toJson(*fit);
  return Json(row);
}

std::string tableLine(const Series& series, const std::optional<Fit>& fit) {
  std::string line = series.subject + " | " + series.name;
  for (const auto& [size, values] : series.valuesBySize) {
    auto spread = spreadOf(values);
    line += fmt::format(" | {:g}: {:.4g} ({:.4g}-{:.4g})", size, spread.median, spread.min, spread.max);
  }
  if (fit)
    line += fmt::format(" || slope {:.4g} ({:.4g}-{:.4g}) base {:.4g}", fit->slope.median, fit->slope.min,
                        fit->slope.max, fit->intercept.median);
  return line;
}

/// Metrics of single message types have a colon in their names. They are too many to plot.
bool isPlotted(const Series& series) { return series.name.find(':') == std::string::npos; }

void writePlot(const ReportTarget& target, const Series& series) {
  std::string file = target.label + "-" + series.subject + "-" + series.name;
  std::replace_if(
      file.begin(), file.end(), [](char character) { return character == ' ' || character == ','; }, '-');
  std::ofstream(target.folder + "/" + file + ".svg")
      << plotSvg(series.subject + ": " + series.name, target.axis, series.name, series.points);
}

void writeCsv(const std::string& file, const std::vector<Sample>& samples) {
  std::ofstream csv(file);
  csv << "trial,about,x,repeat,subject,name,value\n";
  for (const auto& sample : samples)
    csv << fmt::format("{},{},{:g},{},{},\"{}\",{:.6g}\n", sample.trial, sample.parameters, sample.x, sample.repeat,
                       sample.subject, sample.name, sample.value);
}

}  // namespace

void writeReport(const ReportTarget& target, const std::vector<Sample>& samples) {
  std::string stem = target.folder + "/" + target.label;
  writeCsv(stem + ".csv", samples);
  JsonArray rows;
  std::ofstream table(stem + ".txt");
  for (const auto& series : groupByMetric(samples)) {
    auto fit = fitSeries(series);
    rows.push_back(toJson(series, fit, target.axis));
    table << tableLine(series, fit) << "\n";
    if (fit && isPlotted(series)) writePlot(target, series);
  }
  std::ofstream(stem + ".json") << Json(rows).serialize(true);
}

}  // namespace tt
