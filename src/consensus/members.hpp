#pragma once
#include "messages.hpp"

namespace tt {

/// Encodes members as the body of a log entry of kind `members`.
std::string encodeMembers(const std::vector<Member>& rows);
/// Decodes the body of a log entry of kind `members`; returns an empty list if it cannot be decoded.
std::vector<Member> decodeMembers(const std::string& body);

}  // namespace tt
