#pragma once
#include <CLI/CLI.hpp>

#include "host.hpp"
#include "json.hpp"
#include "log.hpp"
#include "web.hpp"

namespace tt {

/// A program's settings: a JSON file, with flags laid over it. Every trouble is kept, with the key it is about.
class Settings {
 public:
  Settings(std::string programName, std::string about);
  Settings& text(const std::string& key, std::string* value, const std::string& about, bool needed = false);
  Settings& address(const std::string& key, std::string* value, const std::string& about, bool needed = true);
  Settings& addresses(const std::string& key, std::vector<std::string>* value, const std::string& about);
  Settings& texts(const std::string& key, std::vector<std::string>* value, const std::string& about);
  Settings& number(const std::string& key, double* value, double least, double most, const std::string& about);
  Settings& flag(const std::string& key, bool* value, const std::string& about);
  /// Reads command line and file. Returns an exit code if the program should end now.
  std::optional<int> read(int count, char** words);
  CLI::App app;

 private:
  struct Row {
    std::string key, about;
    bool needed{false}, isAddress{false};
    std::string* text{nullptr};
    std::vector<std::string>* texts{nullptr};
    double* number{nullptr};
    bool* flag{nullptr};
    double least{0}, most{0};
    CLI::Option* option{nullptr};
    std::string given;
  };
  std::string program;
  std::vector<std::unique_ptr<Row>> rows;
  std::string file;
  bool checkOnly{false};
  Row& add(const std::string& key, const std::string& about);
  Result<void> readFile();
  Result<void> set(Row& row, const Json& value);
};

/// Runs a pool of threads until the process is told to stop; then calls stopping and returns.
void runThreadPool(asio::io_context& context, std::size_t threads, const std::function<void()>& stopping);
/// Ends the program with exit code 2 after saying what is wrong.
int reportStartFailure(const Error& fault);
/// Says that the disk cannot be read or written, and gives the exit code for it: 3. Nothing on the disk is given up.
int reportDiskFailure(const Error& fault);
/// Says that a ring was emptied for its damage, and counts it.
void reportRingDamage(Journal& journal, const Error& damage);

}  // namespace tt
