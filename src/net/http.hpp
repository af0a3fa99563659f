#pragma once
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace tt {

/// Header fields in order, with their spelling.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Whether two names are the same but for the case of ASCII letters.
inline bool equalIgnoringCase(std::string_view one, std::string_view other) {
  auto lower = [](char letter) { return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 32) : letter; };
  if (one.size() != other.size()) return false;
  for (std::size_t at = 0; at < one.size(); ++at)
    if (lower(one[at]) != lower(other[at])) return false;
  return true;
}

/// The first value under a name, or null.
inline const std::string* findHeader(const HttpHeaders& headers, std::string_view name) {
  for (const auto& [key, value] : headers)
    if (equalIgnoringCase(key, name)) return &value;
  return nullptr;
}

}  // namespace tt
