#pragma once
#include "messages.hpp"

namespace tt {

/// A list of members as the body of a log entry of kind `members`.
std::string encodeMembers(const std::vector<Member>& rows);
/// The reverse of encodeMembers(); empty if the body cannot be read.
std::vector<Member> decodeMembers(const std::string& body);

}  // namespace tt
