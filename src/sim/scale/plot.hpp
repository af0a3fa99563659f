#pragma once
#include <string>

#include "statistics.hpp"

namespace tt {

/// A plot of points and the line through them, as SVG.
std::string plotSvg(const std::string& title, const std::string& xName, const std::string& yName, const Points& points);

}  // namespace tt
