#pragma once
#include <CLI/CLI.hpp>

#include "json.hpp"
#include "log.hpp"
#include "node_host.hpp"
#include "web.hpp"

namespace tt {

/// The settings of a program, read from a JSON file and overridden by command-line flags. Each of the declaring methods
/// adds one key, which is also the name of a flag. The variable to which it points holds the default.
class Settings {
 public:
  Settings(std::string programName, std::string description);
  /// Declares a string. A required one must not be empty.
  Settings& text(const std::string& key, std::string* value, const std::string& description, bool required = false);
  /// Declares an "ip:port", or a list of them.
  Settings& address(const std::string& key, std::string* value, const std::string& description, bool required = true);
  Settings& addresses(const std::string& key, std::vector<std::string>* value, const std::string& description);
  Settings& texts(const std::string& key, std::vector<std::string>* value, const std::string& description);
  /// Declares a number from minValue to maxValue.
  Settings& number(const std::string& key, double* value, double minValue, double maxValue,
                   const std::string& description);
  Settings& flag(const std::string& key, bool* value, const std::string& description);
  /// Reads the command line and the settings file. Returns an exit code if the program must end: 2 after an error,
  /// which is printed with the key concerned, and 0 after --help, --version or --check.
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

/// Runs the io_context on a pool of threads until SIGTERM or SIGINT. Then calls stopping, stops the io_context and
/// returns.
void runThreadPool(asio::io_context& context, std::size_t threads, const std::function<void()>& stopping);
/// Prints an error that prevents the start, and returns the corresponding exit code, 2.
int reportStartFailure(const Error& error);
/// Logs that the disk cannot be read or written, and returns the corresponding exit code, 3. Does not change the data
/// on the disk.
int reportDiskFailure(const Error& error);
/// Logs that a damaged ring log was replaced by an empty one, and records this in the journal.
void reportRingDamage(Journal& journal, const Error& damage);

}  // namespace tt
