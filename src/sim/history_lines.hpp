#pragma once
#include "linearizability.hpp"

namespace tt {

/// Serializes an operation as one line of JSON.
std::string writeOperation(const Operation& operation);
/// Serializes the state of the register before the first operation as one line of JSON.
std::string writeInitial(std::uint64_t revision, const RegisterItems& items);
/// Parses the lines of a history file. An error names the malformed line.
Result<History> readHistory(const std::vector<std::string>& lines);

}  // namespace tt
