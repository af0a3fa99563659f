#include "process.hpp"

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace tt {

Settings::Settings(std::string programName, std::string description)
    : app(description, programName), program(std::move(programName)) {
  app.set_version_flag("--version", program + " " TROUTTALLY_VERSION);
  app.add_option("--props", file, "JSON file with the settings of this program");
  app.add_flag("--check", checkOnly, "Check the settings, print errors, and exit");
}

Settings::Setting& Settings::add(const std::string& key, const std::string& description) {
  settings.push_back(std::make_unique<Setting>());
  auto& setting = *settings.back();
  setting.key = key;
  setting.description = description;
  setting.option = app.add_option("--" + key, setting.rawValue, description);
  return setting;
}
Settings& Settings::text(const std::string& key, std::string* value, const std::string& description, bool required) {
  auto& setting = add(key, description);
  setting.text = value;
  setting.required = required;
  return *this;
}
Settings& Settings::address(const std::string& key, std::string* value, const std::string& description, bool required) {
  auto& setting = add(key, description);
  setting.text = value;
  setting.required = required;
  setting.isAddress = true;
  return *this;
}
Settings& Settings::addresses(const std::string& key, std::vector<std::string>* value, const std::string& description) {
  auto& setting = add(key, description + " (comma-separated)");
  setting.texts = value;
  setting.isAddress = true;
  return *this;
}
Settings& Settings::texts(const std::string& key, std::vector<std::string>* value, const std::string& description) {
  add(key, description + " (comma-separated)").texts = value;
  return *this;
}
Settings& Settings::number(const std::string& key, double* value, double minValue, double maxValue,
                           const std::string& description) {
  auto& setting = add(key, description);
  setting.number = value;
  setting.minValue = minValue;
  setting.maxValue = maxValue;
  return *this;
}
Settings& Settings::flag(const std::string& key, bool* value, const std::string& description) {
  add(key, description + " (true or false)").flag = value;
  return *this;
}

Result<void> Settings::set(Setting& setting, const Json& value) {
  auto invalid = [&](const std::string& reason) { return makeError(Code::badProps, setting.key, reason); };
  if (setting.text) {
    if (!value.is<std::string>()) return invalid("must be a string");
    *setting.text = value.get<std::string>();
    if (setting.isAddress && !setting.text->empty())
      if (auto read = parseAddress(*setting.text); !read) return invalid(*setting.text + ": " + read.error().text);
  } else if (setting.texts) {
    if (!value.is<JsonArray>()) return invalid("must be a list of strings");
    setting.texts->clear();
    for (const auto& item : value.get<JsonArray>()) {
      if (!item.is<std::string>()) return invalid("must be a list of strings");
      setting.texts->push_back(item.get<std::string>());
      if (setting.isAddress)
        if (auto read = parseAddress(setting.texts->back()); !read)
          return invalid(setting.texts->back() + ": " + read.error().text);
    }
  } else if (setting.number) {
    if (!value.is<double>()) return invalid("must be a number");
    double number = value.get<double>();
    if (number < setting.minValue || number > setting.maxValue) {
      std::ostringstream bounds;
      bounds << "must be from " << setting.minValue << " to " << setting.maxValue;
      return invalid(bounds.str());
    }
    *setting.number = number;
  } else if (setting.flag) {
    if (!value.is<bool>()) return invalid("must be true or false");
    *setting.flag = value.get<bool>();
  }
  return boost::outcome_v2::success();
}

Result<void> Settings::readFile() {
  std::ifstream source(file);
  if (!source) return makeError(Code::badProps, "props", "cannot read " + file);
  std::stringstream bytes;
  bytes << source.rdbuf();
  auto read = parseJson(bytes.str());
  if (!read) return makeError(Code::badProps, "props", file + ": " + read.error().text);
  if (!read.value().is<JsonObject>()) return makeError(Code::badProps, "props", file + ": must be an object");
  for (const auto& [key, value] : read.value().get<JsonObject>()) {
    Setting* found = nullptr;
    for (auto& setting : settings)
      if (setting->key == key) found = setting.get();
    if (!found) return makeError(Code::badProps, key, "not a known key of " + program);
    if (auto done = set(*found, value); !done) return done.error();
  }
  return boost::outcome_v2::success();
}

std::optional<int> Settings::read(int count, char** arguments) {
  try {
    app.parse(count, arguments);
  } catch (const CLI::ParseError& exception) {
    int code = app.exit(exception);
    return code == 0 ? 0 : 2;
  }
  if (!file.empty())
    if (auto done = readFile(); !done) return reportStartFailure(done.error());
  for (auto& setting : settings) {
    if (setting->option->count() == 0) continue;
    Json value(setting->rawValue);
    if (setting->texts) {
      JsonArray items;
      std::stringstream list(setting->rawValue);
      for (std::string item; std::getline(list, item, ',');) items.push_back(Json(item));
      value = Json(items);
    } else if (setting->number || setting->flag) {
      auto read = parseJson(setting->rawValue);
      if (!read)
        return reportStartFailure(
            makeError(Code::badProps, setting->key, "'" + setting->rawValue + "' is not a valid value"));
      value = read.value();
    }
    if (auto done = set(*setting, value); !done) return reportStartFailure(done.error());
  }
  for (const auto& setting : settings)
    if (setting->required && setting->text && setting->text->empty())
      return reportStartFailure(makeError(Code::badProps, setting->key, "must be given"));
  if (checkOnly) {
    std::cout << "settings are valid\n";
    return 0;
  }
  return std::nullopt;
}

int reportStartFailure(const Error& error) {
  std::cerr << "error " << static_cast<int>(error.code) << " " << codeName(error.code) << ": " << error.subject << ": "
            << error.text << "\n";
  return 2;
}

int reportDiskFailure(const Error& error) {
  logWarning("Disk failure (" + error.subject + ": " + error.text + "); exiting.");
  return 3;
}

void reportRingDamage(Journal& journal, const Error& damage) {
  logWarning("Ring log damaged (" + damage.subject + ": " + damage.text +
             "); starting with an empty one under a new id.");
  journal.append(Clock::now(), "ring damaged", damage.subject);
}

void runThreadPool(asio::io_context& context, std::size_t threads, const std::function<void()>& stopping) {
  std::signal(SIGPIPE, SIG_IGN);
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](asio::error_code error, int) {
    if (error) return;
    logInfo("Received a stop signal.");
    std::thread([&] {
      stopping();
      context.stop();
    }).detach();
  });
  std::vector<std::thread> pool;
  for (std::size_t number = 0; number < threads; ++number) pool.emplace_back([&] { context.run(); });
  for (auto& thread : pool) thread.join();
  logInfo("Stopped.");
}

}  // namespace tt
