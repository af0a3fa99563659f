#pragma once
#include <CLI/CLI.hpp>

#include "json.hpp"
#include "log.hpp"
#include "node_host.hpp"
#include "web.hpp"

namespace tt {

/// A program's settings: read from a JSON file, overridden by command-line flags. Each method below declares one key,
/// which is also the name of a flag; the variable it points to keeps its value as the default.
class Settings {
 public:
  Settings(std::string programName, std::string description);
  /// A string. A required one must not be empty.
  Settings& text(const std::string& key, std::string* value, const std::string& description, bool required = false);
  /// An "ip:port", or a list of them.
  Settings& address(const std::string& key, std::string* value, const std::string& description, bool required = true);
  Settings& addresses(const std::string& key, std::vector<std::string>* value, const std::string& description);
  Settings& texts(const std::string& key, std::vector<std::string>* value, const std::string& description);
  /// A number between minValue and maxValue.
  Settings& number(const std::string& key, double* value, double minValue, double maxValue,
                   const std::string& description);
  Settings& flag(const std::string& key, bool* value, const std::string& description);
  /// Reads the command line and the settings file. Returns an exit code if the program is to end now: 2 after an error,
  /// which names the key it is about, and 0 after --help, --version or --check.
  std::optional<int> read(int count, char** arguments);
  CLI::App app;

 private:
  struct Setting {
    std::string key, description;
    bool required{false}, isAddress{false};
    std::string* text{nullptr};
    std::vector<std::string>* texts{nullptr};
    double* number{nullptr};
    bool* flag{nullptr};
    double minValue{0}, maxValue{0};
    CLI::Option* option{nullptr};
    std::string rawValue;
  };
  std::string program;
  std::vector<std::unique_ptr<Setting>> settings;
  std::string file;
  bool checkOnly{false};
  Setting& add(const std::string& key, const std::string& description);
  Result<void> readFile();
  Result<void> set(Setting& setting, const Json& value);
};

/// Runs the io_context on a pool of threads until SIGTERM or SIGINT; then calls stopping, stops the io_context and
/// returns.
void runThreadPool(asio::io_context& context, std::size_t threads, const std::function<void()>& stopping);
/// Prints an error that prevents the start, and returns the exit code for it: 2.
int reportStartFailure(const Error& error);
/// Logs that the disk cannot be read or written, and returns the exit code for it: 3. Data on the disk is left as it
/// is.
int reportDiskFailure(const Error& error);
/// Logs that a damaged ring log was emptied, and counts it in the journal.
void reportRingDamage(Journal& journal, const Error& damage);

}  // namespace tt
