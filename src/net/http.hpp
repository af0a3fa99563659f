#pragma once
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace tt {

/// Header fields (name, value) in their order on the wire, names in their original case.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Compares two header names, ignoring the case of ASCII letters.
inline bool equalIgnoringCase(std::string_view left, std::string_view right) {
  auto lower = [](char character) {
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character + 32) : character;
  };
  if (left.size() != right.size()) return false;
  for (std::size_t index = 0; index < left.size(); ++index)
    if (lower(left[index]) != lower(right[index])) return false;
  return true;
}

/// Returns the first value of a header, or null if there is none.
inline const std::string* findHeader(const HttpHeaders& headers, std::string_view name) {
  for (const auto& [key, value] : headers)
    if (equalIgnoringCase(key, name)) return &value;
  return nullptr;
}

}  // namespace tt
