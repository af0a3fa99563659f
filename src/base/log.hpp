#pragma once
#include <string>

namespace tt {

/// Starts logging to standard error. Each message is one line: the UTC time, a prefix of role and name, and one
/// sentence. `verbose` also enables debug messages.
void startLog(const std::string& role, const std::string& name, bool verbose);
void logInfo(const std::string& sentence);
void logWarning(const std::string& sentence);

}  // namespace tt
