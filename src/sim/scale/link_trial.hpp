#pragma once
#include "trials.hpp"

namespace tt {

/// Two real ends of a link over loopback: processor time to send and to take a frame of so many bytes. The process ends
/// with code 3 if the frames don't arrive within a minute.
std::vector<Metric> measureLinks(int frames, std::size_t bytes);

}  // namespace tt
