#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "audit.hpp"
#include "history_lines.hpp"
#include "old_weights_timeout.hpp"
#include "process.hpp"

using namespace tt;

namespace {
/// Violations of one invariant that are printed; all are counted.
constexpr std::size_t maxPrintedViolations = 5;

/// An event that a script records for the audit.
struct AuditEvent {
  std::string event, name, model, changeId;
  double revision{0};
  bool isAnnouncement() const { return event == "naming" || event == "named"; }
};

Result<void> checkEvent(const AuditEvent& newEvent) {
  static const std::set<std::string> events{"revoked", "leaving", "staying", "naming", "named"};
  if (!events.count(newEvent.event))
    return makeError(Code::badProps, "note", "must be revoked, leaving, staying, naming or named");
  if (newEvent.isAnnouncement() && newEvent.name.empty())
    return makeError(Code::badProps, "of", "must be given for naming and named");
  if (newEvent.isAnnouncement() && newEvent.model.empty())
    return makeError(Code::badProps, "model", "must be given for naming and named");
  if (newEvent.isAnnouncement() && newEvent.changeId.empty())
    return makeError(Code::badProps, "change", "must be given for naming and named");
  if (newEvent.event == "named" && newEvent.revision < 1)
    return makeError(Code::badProps, "revision", "must be given for named");
  return boost::outcome_v2::success();
}

/// The event as a line for the events file, with the current time.
std::string serializeEvent(const AuditEvent& newEvent) {
  JsonObject row;
  row["at"] = Json(std::to_string(toNanoseconds(Clock::now())));
  row["event"] = Json(newEvent.event);
  row["name"] = Json(newEvent.name);
  if (newEvent.isAnnouncement()) {
    row["model"] = Json(newEvent.model);
    row["change"] = Json(newEvent.changeId);
  }
  if (newEvent.event == "named") row["revision"] = jsonNumber(newEvent.revision);
  return Json(row).serialize();
}

/// Prints how late requests started on superseded weights.
void printStarts(const AuditResult& result, const AuditRecords& records) {
  std::cout << "audit: " << result.startedRequests << " requests started, " << result.announcements
            << " namings; latest start on old weights: ";
  if (result.latestStartOnOldWeights)
    std::cout << toMilliseconds(*result.latestStartOnOldWeights) << " ms after newer ones were acknowledged";
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
Result<bool> auditOperatorHistory(const std::string& file) {
  auto lines = readLines({file});
  if (!lines) return lines.error();
  auto history = readHistory(lines.value());
  if (!history) return makeError(history.error().code, file + ": " + history.error().subject, history.error().text);
  if (history.value().operations.empty()) return makeError(Code::badProps, file, "contains no operation");
  history.value().linearizableReads = false;
  auto historyResult = checkHistory(history.value());
  std::cout << "audit: operators: " << historyResult.operations << " operations, " << historyResult.unclear
            << " with an unknown outcome, " << historyResult.nonMonotonicReads << " reads older than an earlier read, "
            << historyResult.steps << " steps: "
            << (historyResult.undecided      ? "UNDECIDED"
                : historyResult.linearizable ? "linearizable"
                                             : "NOT LINEARIZABLE")
            << "\n";
  if (!historyResult.explanation.empty()) std::cout << historyResult.explanation << "\n";
  return historyResult.linearizable && !historyResult.undecided;
}
}  // namespace

int main(int count, char** arguments) {
  std::vector<std::string> callers, workers, events, operators;
  std::string configuration;
  AuditEvent newEvent;
  double versionMs = defaultVersionMs;
  Settings reader("trouttally-audit",
                  "Checks the records of a run against the invariants; exits with 1 if one was violated");
  reader.texts("callers", &callers, "record files of the load generators")
      .texts("workers", &workers, "record files of the stand-in workers")
      .texts("events", &events, "files with the actions of operators and of the platform, see --note")
      .texts("operators", &operators,
             "histories written by trouttally-operators, each of one fleet; may be given alone")
      .text("blueprint", &configuration, "the deployment's configuration file, which names the isolated tenants")
      .number("versionMs", &versionMs, minVersionMs, maxVersionMs,
              "milliseconds after the acknowledgement of newer weights during which requests may start on older ones")
      .text("note", &newEvent.event,
            "instead of an audit, print a line for the events file: revoked, leaving, staying, naming (weights "
            "announced) or named (announcement acknowledged)")
      .text("of", &newEvent.name, "subject of that event: the secret of a key, a worker or weights")
      .text("model", &newEvent.model, "model whose weights are announced")
      .text("change", &newEvent.changeId, "change id of the announcement")
      .number("revision", &newEvent.revision, 0, 1e15, "revision in the acknowledgement of the announcement");
  if (auto code = reader.read(count, arguments)) return *code;
  if (!newEvent.event.empty()) {
    if (auto done = checkEvent(newEvent); !done) return reportStartFailure(done.error());
    std::cout << serializeEvent(newEvent) << "\n";
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
  bool passed = true;
  for (const auto& file : operators) {
    auto checked = auditOperatorHistory(file);
    if (!checked) return reportStartFailure(checked.error());
    passed = passed && checked.value();
  }
  if (!operators.empty() && records.callers.empty() && records.workers.empty()) return passed ? 0 : 1;
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
  std::cout << "audit: " << result.requests << " requests, " << result.runs << " runs, " << result.retries
            << " retries (worst window " << static_cast<int>(1000 * result.worstRetryRatio) / 10.0 << " %), "
            << result.unreadable << " unreadable lines\n";
  printStarts(result, records);
  for (const auto& invariant : auditedInvariants()) {
    const auto& violations = result.violations[invariant];
    std::cout << "audit: " << violations.size() << " " << invariant << "\n";
    for (std::size_t at = 0; at < violations.size() && at < maxPrintedViolations; ++at)
      std::cout << "       " << violations[at] << "\n";
  }
  return result.violationCount() == 0 && passed ? 0 : 1;
}
