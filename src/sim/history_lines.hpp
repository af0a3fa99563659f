#pragma once
#include "linearizability.hpp"

namespace tt {

/// One operation as a line of JSON.
std::string writeOperation(const Operation& operation);
/// What the register held before the first operation, as a line of JSON.
std::string writeInitial(std::uint64_t revision, const RegisterItems& items);
/// Reads a file's lines; a fault names the line that is malformed.
Result<History> readHistory(const std::vector<std::string>& lines);

}  // namespace tt
