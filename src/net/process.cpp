#include "process.hpp"

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace tt {

Settings::Settings(std::string programName, std::string about)
    : app(about, programName), program(std::move(programName)) {
  app.set_version_flag("--version", program + " " TROUTTALLY_VERSION);
  app.add_option("--props", file, "JSON file with this program's props");
  app.add_flag("--check", checkOnly, "Check the props, say what is wrong, and end");
}

Settings::Row& Settings::add(const std::string& key, const std::string& about) {
  rows.push_back(std::make_unique<Row>());
  auto& row = *rows.back();
  row.key = key;
  row.about = about;
  row.option = app.add_option("--" + key, row.given, about);
  return row;
}
Settings& Settings::text(const std::string& key, std::string* value, const std::string& about, bool needed) {
  auto& row = add(key, about);
  row.text = value;
  row.needed = needed;
  return *this;
}
Settings& Settings::address(const std::string& key, std::string* value, const std::string& about, bool needed) {
  auto& row = add(key, about);
  row.text = value;
  row.needed = needed;
  row.isAddress = true;
  return *this;
}
Settings& Settings::addresses(const std::string& key, std::vector<std::string>* value, const std::string& about) {
  auto& row = add(key, about + " (commas between)");
  row.texts = value;
  row.isAddress = true;
  return *this;
}
Settings& Settings::texts(const std::string& key, std::vector<std::string>* value, const std::string& about) {
  add(key, about + " (commas between)").texts = value;
  return *this;
}
Settings& Settings::number(const std::string& key, double* value, double least, double most, const std::string& about) {
  auto& row = add(key, about);
  row.number = value;
  row.least = least;
  row.most = most;
  return *this;
}
Settings& Settings::flag(const std::string& key, bool* value, const std::string& about) {
  add(key, about + " (true or false)").flag = value;
  return *this;
}

Result<void> Settings::set(Row& row, const Json& value) {
  auto wrong = [&](const std::string& reason) { return fault(Code::badProps, row.key, reason); };
  if (row.text) {
    if (!value.is<std::string>()) return wrong("must be a text");
    *row.text = value.get<std::string>();
    if (row.isAddress && !row.text->empty())
      if (auto read = parseAddress(*row.text); !read) return wrong(*row.text + ": " + read.error().text);
  } else if (row.texts) {
    if (!value.is<JsonArray>()) return wrong("must be a list of texts");
    row.texts->clear();
    for (const auto& item : value.get<JsonArray>()) {
      if (!item.is<std::string>()) return wrong("must be a list of texts");
      row.texts->push_back(item.get<std::string>());
      if (row.isAddress)
        if (auto read = parseAddress(row.texts->back()); !read)
          return wrong(row.texts->back() + ": " + read.error().text);
    }
  } else if (row.number) {
    if (!value.is<double>()) return wrong("must be a number");
    double number = value.get<double>();
    if (number < row.least || number > row.most) {
      std::ostringstream bounds;
      bounds << "must be from " << row.least << " to " << row.most;
      return wrong(bounds.str());
    }
    *row.number = number;
  } else if (row.flag) {
    if (!value.is<bool>()) return wrong("must be true or false");
    *row.flag = value.get<bool>();
  }
  return boost::outcome_v2::success();
}

Result<void> Settings::readFile() {
  std::ifstream source(file);
  if (!source) return fault(Code::badProps, "props", "cannot read " + file);
  std::stringstream bytes;
  bytes << source.rdbuf();
  auto read = parseJson(bytes.str());
  if (!read) return fault(Code::badProps, "props", file + ": " + read.error().text);
  if (!read.value().is<JsonObject>()) return fault(Code::badProps, "props", file + ": must be an object");
  for (const auto& [key, value] : read.value().get<JsonObject>()) {
    Row* found = nullptr;
    for (auto& row : rows)
      if (row->key == key) found = row.get();
    if (!found) return fault(Code::badProps, key, "not a known key of " + program);
    if (auto done = set(*found, value); !done) return done.error();
  }
  return boost::outcome_v2::success();
}

std::optional<int> Settings::read(int count, char** words) {
  try {
    app.parse(count, words);
  } catch (const CLI::ParseError& thrown) {
    int code = app.exit(thrown);
    return code == 0 ? 0 : 2;
  }
  if (!file.empty())
    if (auto done = readFile(); !done) return reportStartFailure(done.error());
  for (auto& row : rows) {
    if (row->option->count() == 0) continue;
    Json value(row->given);
    if (row->texts) {
      JsonArray items;
      std::stringstream list(row->given);
      for (std::string item; std::getline(list, item, ',');) items.push_back(Json(item));
      value = Json(items);
    } else if (row->number || row->flag) {
      auto read = parseJson(row->given);
      if (!read) return reportStartFailure(fault(Code::badProps, row->key, "'" + row->given + "' cannot be read"));
      value = read.value();
    }
    if (auto done = set(*row, value); !done) return reportStartFailure(done.error());
  }
  for (const auto& row : rows)
    if (row->needed && row->text && row->text->empty())
      return reportStartFailure(fault(Code::badProps, row->key, "must be given"));
  if (checkOnly) {
    std::cout << "props are good\n";
    return 0;
  }
  return std::nullopt;
}

int reportStartFailure(const Error& fault) {
  std::cerr << "error " << static_cast<int>(fault.code) << " " << codeName(fault.code) << ": " << fault.subject << ": "
            << fault.text << "\n";
  return 2;
}

int reportDiskFailure(const Error& fault) {
  logWarning("Disk failed (" + fault.subject + ": " + fault.text + "), ending.");
  return 3;
}

void reportRingDamage(Journal& journal, const Error& damage) {
  logWarning("Ring damaged (" + damage.subject + ": " + damage.text + "), starting empty under a new id.");
  journal.append(Clock::now(), "ring damaged", damage.subject);
}

void runThreadPool(asio::io_context& context, std::size_t threads, const std::function<void()>& stopping) {
  std::signal(SIGPIPE, SIG_IGN);
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](asio::error_code error, int) {
    if (error) return;
    logInfo("Told to stop.");
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
