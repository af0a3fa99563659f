#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "audit.hpp"
#include "history_lines.hpp"
#include "process.hpp"

using namespace tt;

namespace {
Result<std::vector<std::string>> readLines(const std::vector<std::string>& files) {
  std::vector<std::string> lines;
  for (const auto& file : files) {
    std::ifstream source(file);
    if (!source) return fault(Code::badProps, file, "cannot be read");
    for (std::string line; std::getline(source, line);)
      if (!line.empty()) lines.push_back(line);
  }
  return lines;
}

/// Checks one register's history, prints what came of it, and says whether it is sound.
Result<bool> auditOperators(const std::string& file) {
  auto lines = readLines({file});
  if (!lines) return lines.error();
  auto history = readHistory(lines.value());
  if (!history) return fault(history.error().code, file + ": " + history.error().subject, history.error().text);
  if (history.value().operations.empty()) return fault(Code::badProps, file, "holds no operation");
  history.value().readsInOrder = false;
  auto verdict = checkHistory(history.value());
  std::cout << "audit: operators: " << verdict.operations << " operations, " << verdict.unclear
            << " without a clear answer, " << verdict.readsBehind << " reads behind another, " << verdict.steps
            << " steps: "
            << (verdict.undecided      ? "UNDECIDED"
                : verdict.linearizable ? "one order explains them all"
                                       : "NO ORDER EXPLAINS THEM")
            << "\n";
  if (!verdict.trouble.empty()) std::cout << verdict.trouble << "\n";
  return verdict.linearizable && !verdict.undecided;
}
}  // namespace

int main(int count, char** words) {
  std::vector<std::string> callers, workers, events, operators;
  std::string configuration, note, name;
  Settings reader("trouttally-audit",
                  "Joins the records of a run and counts what must never happen; ends with 1 if any of it did");
  reader.texts("callers", &callers, "the load generators' records")
      .texts("workers", &workers, "the stand-in back ends' records")
      .texts("events", &events, "what operators and the platform did, and when")
      .texts("operators", &operators, "histories of trouttally-operators, each of one fleet; may be given alone")
      .text("blueprint", &configuration, "the deployment's blueprint, for its isolated tenants")
      .text("note", &note, "print a line for the events' file instead: revoked, leaving, staying or named")
      .text("of", &name, "what that event is about: a key's secret, a worker or weights");
  if (auto code = reader.read(count, words)) return *code;
  if (!note.empty()) {
    if (note != "revoked" && note != "leaving" && note != "staying" && note != "named")
      return failStart(fault(Code::badProps, "note", "must be revoked, leaving, staying or named"));
    JsonObject row;
    row["at"] = Json(std::to_string(inNs(Clock::now())));
    row["event"] = Json(note);
    row["name"] = Json(name);
    std::cout << Json(row).serialize() << "\n";
    return 0;
  }
  AuditRecords records;
  for (auto [files, lines] :
       {std::pair{&callers, &records.callers}, {&workers, &records.workers}, {&events, &records.events}}) {
    auto read = readLines(*files);
    if (!read) return failStart(read.error());
    *lines = read.value();
  }
  bool sound = true;
  for (const auto& file : operators) {
    auto checked = auditOperators(file);
    if (!checked) return failStart(checked.error());
    sound = sound && checked.value();
  }
  if (!operators.empty() && records.callers.empty() && records.workers.empty()) return sound ? 0 : 1;
  if (records.callers.empty() || records.workers.empty())
    return failStart(fault(Code::badProps, "callers", "an audit needs records of callers and of back ends"));
  if (!configuration.empty()) {
    std::ifstream source(configuration);
    std::stringstream bytes;
    bytes << source.rdbuf();
    auto read = readJson(bytes.str());
    if (!read || !read.value().is<JsonObject>()) return failStart(fault(Code::badProps, "blueprint", "cannot be read"));
    auto tenants = read.value().get<JsonObject>().find("tenants");
    if (tenants != read.value().get<JsonObject>().end() && tenants->second.is<JsonObject>())
      for (const auto& [tenant, row] : tenants->second.get<JsonObject>())
        if (flagOr(row, "isolated", false)) records.isolated.insert(tenant);
  }
  auto result = auditRecords(records);
  std::cout << "audit: " << result.orders << " orders, " << result.runs << " runs, " << result.retries
            << " repeat tries (worst span " << static_cast<int>(1000 * result.worstRetryShare) / 10.0 << " %), "
            << result.unreadable << " unreadable lines\n";
  for (const auto& line : auditedLines()) {
    const auto& rows = result.breaches[line];
    std::cout << "audit: " << rows.size() << " " << line << "\n";
    for (std::size_t at = 0; at < rows.size() && at < 5; ++at) std::cout << "       " << rows[at] << "\n";
  }
  return result.breachCount() == 0 && sound ? 0 : 1;
}
