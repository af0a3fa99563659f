#pragma once
#include "trials.hpp"

namespace tt {

/// Measures the processor time to send and to receive a frame with a payload of `bytes` over a real loopback
/// connection. The process exits with code 3 if not all frames arrive within a minute. Returns nothing if it cannot
/// listen.
std::vector<Metric> measureLinks(int frames, std::size_t bytes);

}  // namespace tt
