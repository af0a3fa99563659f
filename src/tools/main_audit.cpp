#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "audit.hpp"
#include "history_lines.hpp"
#include "process.hpp"
#include "version_span.hpp"

using namespace tt;

namespace {
/// An event that a script records for the audit.
struct EventNote {
  std::string event, name, model, changeId;
  double revision{0};
  bool isNaming() const { return event == "naming" || event == "named"; }
};

Result<void> checkNote(const EventNote& note) {
  static const std::set<std::string> events{"revoked", "leaving", "staying", "naming", "named"};
  if (!events.count(note.event))
    return makeError(Code::badProps, "note", "must be revoked, leaving, staying, naming or named");
  if (note.isNaming() && note.name.empty())
    return makeError(Code::badProps, "of", "must be given for naming and named");
  if (note.isNaming() && note.model.empty())
    return makeError(Code::badProps, "model", "must be given for naming and named");
  if (note.isNaming() && note.changeId.empty())
    return makeError(Code::badProps, "change", "must be given for naming and named");
  if (note.event == "named" && note.revision < 1)
    return makeError(Code::badProps, "revision", "must be given for named");
  return boost::outcome_v2::success();
}

/// The event as a line for the events file, with the current time.
std::string writeNote(const EventNote& note) {
  JsonObject row;
  row["at"] = Json(std::to_string(toNanoseconds(Clock::now())));
  row["event"] = Json(note.event);
  row["name"] = Json(note.name);
  if (note.isNaming()) {
    row["model"] = Json(note.model);
    row["change"] = Json(note.changeId);
  }
  if (note.event == "named") row["revision"] = jsonNumber(note.revision);
  return Json(row).serialize();
}

/// Prints how late requests started on superseded weights.
void printBegins(const AuditResult& result, const AuditRecords& records) {
  std::cout << "audit: " << result.begins << " requests started, " << result.namings
            << " namings; latest start on old weights: ";
  if (result.latestOldBegin)
    std::cout << toMilliseconds(*result.latestOldBegin) << " ms after newer ones were acknowledged";
  else
    std::cout << "none";
  std::cout << " (" << toMilliseconds(records.oldWeightsTimeout) << " ms allowed)\n";
}

Result<std::vector<std::string>> readLines(const std::vector<std::string>& files) {
  std::vector<std::string> lines;
  for (const auto& file : files) {
    std::ifstream source(file);
    if (!source) return makeError(Code::badProps, file, "cannot be read");
    for (std::string line; std::getline(source, line);)
      if (!line.empty()) lines.push_back(line);
  }
  return lines;
}

/// Checks the history of one fleet's configuration for linearizability and prints the result. Returns whether it is
/// linearizable.
Result<bool> auditOperators(const std::string& file) {
  auto lines = readLines({file});
  if (!lines) return lines.error();
  auto history = readHistory(lines.value());
  if (!history) return makeError(history.error().code, file + ": " + history.error().subject, history.error().text);
  if (history.value().operations.empty()) return makeError(Code::badProps, file, "contains no operation");
  history.value().linearizableReads = false;
  auto verdict = checkHistory(history.value());
  std::cout << "audit: operators: " << verdict.operations << " operations, " << verdict.unclear
            << " with an unknown outcome, " << verdict.nonMonotonicReads << " reads older than an earlier read, "
            << verdict.steps << " steps: "
            << (verdict.undecided      ? "UNDECIDED"
                : verdict.linearizable ? "linearizable"
                                       : "NOT LINEARIZABLE")
            << "\n";
  if (!verdict.explanation.empty()) std::cout << verdict.explanation << "\n";
  return verdict.linearizable && !verdict.undecided;
}
}  // namespace

int main(int count, char** words) {
  std::vector<std::string> callers, workers, events, operators;
  std::string configuration;
  EventNote note;
  double versionMs = versionMsUsual;
  Settings reader("trouttally-audit",
                  "Checks the records of a run against the invariants; exits with 1 if one was violated");
  reader.texts("callers", &callers, "record files of the load generators")
      .texts("workers", &workers, "record files of the stand-in workers")
      .texts("events", &events, "files with the actions of operators and of the platform, see --note")
      .texts("operators", &operators,
             "histories written by trouttally-operators, each of one fleet; may be given alone")
      .text("blueprint", &configuration, "the deployment's configuration file, which names the isolated tenants")
      .number("versionMs", &versionMs, versionMsLeast, versionMsMost,
              "milliseconds after the acknowledgement of newer weights during which requests may start on older ones")
      .text("note", &note.event,
            "instead of an audit, print a line for the events file: revoked, leaving, staying, naming (weights "
            "announced) or "
            "named (announcement acknowledged)")
      .text("of", &note.name, "subject of that event: the secret of a key, a worker or weights")
      .text("model", &note.model, "model whose weights are announced")
      .text("change", &note.changeId, "change id of the announcement")
      .number("revision", &note.revision, 0, 1e15, "revision in the acknowledgement of the announcement");
  if (auto code = reader.read(count, words)) return *code;
  if (!note.event.empty()) {
    if (auto done = checkNote(note); !done) return reportStartFailure(done.error());
    std::cout << writeNote(note) << "\n";
    return 0;
  }
  AuditRecords records;
  records.oldWeightsTimeout = std::chrono::milliseconds(static_cast<std::int64_t>(versionMs));
  for (auto [files, lines] :
       {std::pair{&callers, &records.callers}, {&workers, &records.workers}, {&events, &records.events}}) {
    auto read = readLines(*files);
    if (!read) return reportStartFailure(read.error());
    *lines = read.value();
  }
  bool sound = true;
  for (const auto& file : operators) {
    auto checked = auditOperators(file);
    if (!checked) return reportStartFailure(checked.error());
    sound = sound && checked.value();
  }
  if (!operators.empty() && records.callers.empty() && records.workers.empty()) return sound ? 0 : 1;
  if (records.callers.empty() || records.workers.empty())
    return reportStartFailure(
        makeError(Code::badProps, "callers", "the records of callers and of workers must both be given"));
  if (!configuration.empty()) {
    std::ifstream source(configuration);
    std::stringstream bytes;
    bytes << source.rdbuf();
    auto read = parseJson(bytes.str());
    if (!read || !read.value().is<JsonObject>())
      return reportStartFailure(makeError(Code::badProps, "blueprint", configuration + " is not a JSON object"));
    auto tenants = read.value().get<JsonObject>().find("tenants");
    if (tenants != read.value().get<JsonObject>().end() && tenants->second.is<JsonObject>())
      for (const auto& [tenant, row] : tenants->second.get<JsonObject>())
        if (boolOr(row, "isolated", false)) records.isolated.insert(tenant);
  }
  auto result = auditRecords(records);
  std::cout << "audit: " << result.orders << " requests, " << result.runs << " runs, " << result.retries
            << " retries (worst window " << static_cast<int>(1000 * result.worstRetryShare) / 10.0 << " %), "
            << result.unreadable << " unreadable lines\n";
  printBegins(result, records);
  for (const auto& line : auditedInvariants()) {
    const auto& rows = result.violations[line];
    std::cout << "audit: " << rows.size() << " " << line << "\n";
    for (std::size_t at = 0; at < rows.size() && at < 5; ++at) std::cout << "       " << rows[at] << "\n";
  }
  return result.violationCount() == 0 && sound ? 0 : 1;
}
