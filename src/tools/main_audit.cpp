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
/// An event that a script notes for the audit.
struct EventNote {
  std::string event, name, model, changeId;
  double revision{0};
  bool isNaming() const { return event == "naming" || event == "named"; }
};

Result<void> checkNote(const EventNote& note) {
  static const std::set<std::string> events{"revoked", "leaving", "staying", "naming", "named"};
  if (!events.count(note.event))
    return makeError(Code::badProps, "note", "must be revoked, leaving, staying, naming or named");
  if (note.isNaming() && note.name.empty()) return makeError(Code::badProps, "of", "must be given with a naming");
  if (note.isNaming() && note.model.empty()) return makeError(Code::badProps, "model", "must be given with a naming");
  if (note.isNaming() && note.changeId.empty())
    return makeError(Code::badProps, "change", "must be given with a naming");
  if (note.event == "named" && note.revision < 1)
    return makeError(Code::badProps, "revision", "must be given with an acknowledgement");
  return boost::outcome_v2::success();
}

/// The line for the events' file, of this moment.
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

/// Says how late orders began on weights that were superseded.
void printBegins(const AuditResult& result, const AuditRecords& records) {
  std::cout << "audit: " << result.begins << " orders began, " << result.namings
            << " namings; latest begin on old weights: ";
  if (result.latestOldBegin)
    std::cout << toMilliseconds(*result.latestOldBegin) << " ms after newer ones were acknowledged";
  else
    std::cout << "none";
  std::cout << " (" << toMilliseconds(records.oldWeightsTimeout) << " ms promised)\n";
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

/// Checks one register's history, prints what came of it, and says whether it is sound.
Result<bool> auditOperators(const std::string& file) {
  auto lines = readLines({file});
  if (!lines) return lines.error();
  auto history = readHistory(lines.value());
  if (!history) return makeError(history.error().code, file + ": " + history.error().subject, history.error().text);
  if (history.value().operations.empty()) return makeError(Code::badProps, file, "holds no operation");
  history.value().linearizableReads = false;
  auto verdict = checkHistory(history.value());
  std::cout << "audit: operators: " << verdict.operations << " operations, " << verdict.unclear
            << " without a clear answer, " << verdict.nonMonotonicReads << " reads behind another, " << verdict.steps
            << " steps: "
            << (verdict.undecided      ? "UNDECIDED"
                : verdict.linearizable ? "one order explains them all"
                                       : "NO ORDER EXPLAINS THEM")
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
                  "Joins the records of a run and counts what must never happen; ends with 1 if any of it did");
  reader.texts("callers", &callers, "the load generators' records")
      .texts("workers", &workers, "the stand-in back ends' records")
      .texts("events", &events, "what operators and the platform did, and when")
      .texts("operators", &operators, "histories of trouttally-operators, each of one fleet; may be given alone")
      .text("blueprint", &configuration, "the deployment's blueprint, for its isolated tenants")
      .number("versionMs", &versionMs, versionMsLeast, versionMsMost,
              "milliseconds after the acknowledgement of newer weights for which orders may begin on older ones")
      .text(
          "note", &note.event,
          "print a line for the events' file instead: revoked, leaving, staying, naming (sent) or named (acknowledged)")
      .text("of", &note.name, "what that event is about: a key's secret, a worker or weights")
      .text("model", &note.model, "the model whose weights are named")
      .text("change", &note.changeId, "the change id of a naming")
      .number("revision", &note.revision, 0, 1e15, "the revision that the acknowledgement of a naming told");
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
        makeError(Code::badProps, "callers", "an audit needs records of callers and of back ends"));
  if (!configuration.empty()) {
    std::ifstream source(configuration);
    std::stringstream bytes;
    bytes << source.rdbuf();
    auto read = parseJson(bytes.str());
    if (!read || !read.value().is<JsonObject>())
      return reportStartFailure(makeError(Code::badProps, "blueprint", "cannot be read"));
    auto tenants = read.value().get<JsonObject>().find("tenants");
    if (tenants != read.value().get<JsonObject>().end() && tenants->second.is<JsonObject>())
      for (const auto& [tenant, row] : tenants->second.get<JsonObject>())
        if (boolOr(row, "isolated", false)) records.isolated.insert(tenant);
  }
  auto result = auditRecords(records);
  std::cout << "audit: " << result.orders << " orders, " << result.runs << " runs, " << result.retries
            << " repeat tries (worst span " << static_cast<int>(1000 * result.worstRetryShare) / 10.0 << " %), "
            << result.unreadable << " unreadable lines\n";
  printBegins(result, records);
  for (const auto& line : auditedInvariants()) {
    const auto& rows = result.violations[line];
    std::cout << "audit: " << rows.size() << " " << line << "\n";
    for (std::size_t at = 0; at < rows.size() && at < 5; ++at) std::cout << "       " << rows[at] << "\n";
  }
  return result.violationCount() == 0 && sound ? 0 : 1;
}
