#pragma once
#include <string>

namespace tt {

/// Starts logging to standard error: one short sentence a line, behind the time and the part's prefix.
void startLog(const std::string& part, const std::string& name, bool chatty);
void logInfo(const std::string& sentence);
void logWarning(const std::string& sentence);

}  // namespace tt
