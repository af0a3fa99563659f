#include "plot.hpp"

#include <fmt/format.h>
#include <algorithm>

namespace tt {
namespace {

/// All lengths are in pixels. `left` to `bottom` are the margins around the plot.
constexpr double width = 480, height = 300;
constexpr double left = 70, right = 20, top = 30, bottom = 45;
constexpr double xLabelOffset = 15, yLabelOffset = 5, yLabelBaselineOffset = 4, xTitleMargin = 10;
/// Intervals between the labels of an axis.
constexpr int axisTicks = 4;

/// The ranges of both axes, which start at 0, and the mapping from their values to positions in the image.
class Axes {
 public:
  explicit Axes(const Points& points) {
    for (const auto& [x, y] : points) {
      maxX = std::max(maxX, x);
      maxY = std::max(maxY, y);
    }
    if (maxX <= 0) maxX = 1;
    if (maxY <= 0) maxY = 1;
  }
  double placeX(double x) const { return left + x / maxX * (width - left - right); }
  double placeY(double y) const { return height - bottom - y / maxY * (height - top - bottom); }
  double maxX{0}, maxY{0};
};

std::string drawFrame(const std::string& title) {
  std::string svg = fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" height=\"{1}\" font-family=\"sans-serif\" "
      "font-size=\"11\">\n<rect width=\"{0}\" height=\"{1}\" fill=\"white\"/>\n",
      width, height);
  svg += fmt::format("<text x=\"{}\" y=\"18\" font-size=\"13\">{}</text>\n", left, title);
  svg += fmt::format("<path d=\"M{} {} V{} H{}\" fill=\"none\" stroke=\"black\"/>\n", left, top, height - bottom,
                     width - right);
  return svg;
}

std::string drawAxes(const Axes& axes, const std::string& xName, const std::string& yName) {
  std::string svg;
  for (int tick = 0; tick <= axisTicks; ++tick) {
    double x = axes.maxX * tick / axisTicks, y = axes.maxY * tick / axisTicks;
    svg += fmt::format("<text x=\"{:.1f}\" y=\"{}\" text-anchor=\"middle\">{:.4g}</text>\n", axes.placeX(x),
                       height - bottom + xLabelOffset, x);
    svg += fmt::format("<text x=\"{}\" y=\"{:.1f}\" text-anchor=\"end\">{:.4g}</text>\n", left - yLabelOffset,
                       axes.placeY(y) + yLabelBaselineOffset, y);
  }
  svg += fmt::format("<text x=\"{}\" y=\"{}\" text-anchor=\"middle\">{}</text>\n", (left + width - right) / 2,
                     height - xTitleMargin, xName);
  svg += fmt::format("<text x=\"14\" y=\"{0}\" text-anchor=\"middle\" transform=\"rotate(-90 14 {0})\">{1}</text>\n",
                     height / 2, yName);
  return svg;
}

std::string drawLine(const Axes& axes, const Line& line) {
  double start = std::clamp(line.intercept, 0.0, axes.maxY);
  double end = std::clamp(line.intercept + line.slope * axes.maxX, 0.0, axes.maxY);
  return fmt::format("<path d=\"M{:.1f} {:.1f} L{:.1f} {:.1f}\" stroke=\"steelblue\"/>\n", axes.placeX(0),
                     axes.placeY(start), axes.placeX(axes.maxX), axes.placeY(end));
}

std::string drawPoints(const Axes& axes, const Points& points) {
  std::string svg;
  for (const auto& [x, y] : points)
    svg += fmt::format("<circle cx=\"{:.1f}\" cy=\"{:.1f}\" r=\"3\" fill=\"firebrick\"/>\n", axes.placeX(x),
                       axes.placeY(y));
  return svg;
}

}  // namespace

std::string plotSvg(const std::string& title, const std::string& xName, const std::string& yName,
                    const Points& points) {
  Axes axes(points);
  std::string svg = drawFrame(title) + drawAxes(axes, xName, yName);
  if (auto line = fitLine(points)) svg += drawLine(axes, *line);
  return svg + drawPoints(axes, points) + "</svg>\n";
}

}  // namespace tt
