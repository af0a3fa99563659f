#include "log.hpp"

#include <date/date.h>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <chrono>
#include <iostream>

namespace tt {
namespace {
/// "[role name] ", set by startLog().
std::string prefix;
/// The only use of the wall clock, which may jump and is therefore used for no decision.
std::string utcTimestamp() {
  return date::format("%FT%TZ",
                      std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now()));
}
}  // namespace

void startLog(const std::string& role, const std::string& name, bool verbose) {
  prefix = "[" + role + " " + name + "] ";
  boost::log::add_console_log(std::clog, boost::log::keywords::auto_flush = true);
  boost::log::core::get()->set_filter(boost::log::trivial::severity >=
                                      (verbose ? boost::log::trivial::debug : boost::log::trivial::info));
}
void logInfo(const std::string& sentence) { BOOST_LOG_TRIVIAL(info) << utcTimestamp() << " " << prefix << sentence; }
void logWarning(const std::string& sentence) {
  BOOST_LOG_TRIVIAL(warning) << utcTimestamp() << " " << prefix << "warning: " << sentence;
}

}  // namespace tt
