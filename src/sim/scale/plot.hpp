#pragma once
#include <string>

#include "statistics.hpp"

namespace tt {

/// Draws points and the line fitted through them as an SVG image.
std::string plotSvg(const std::string& title, const std::string& xName, const std::string& yName, const Points& points);

}  // namespace tt
