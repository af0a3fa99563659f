#include "audit.hpp"

#include <algorithm>
#include <sstream>

#include "announcement_records.hpp"

namespace tt {
namespace {
/// Times and durations here are in nanoseconds, unless they have a type of their own.
constexpr std::int64_t second = 1'000'000'000;
/// How long after the acknowledgement of its revocation a key may still be accepted.
constexpr std::int64_t revocationTimeout = 5 * second;
/// How long after it was marked as leaving a worker may still get new requests.
constexpr std::int64_t drainTimeout = 3 * second;
/// How long after the acknowledgement of newer weights a run may still use older ones.
constexpr Duration rolloutTimeout = 25s;
/// The highest ratio of retries to first attempts in a window, and the fewest first attempts in a window that is
/// judged.
constexpr double maxRetryRatio = 0.2;
constexpr std::int64_t minFirstAttempts = 40;
/// The lengths of these windows.
constexpr std::int64_t retryWindows[] = {second, 5 * second};

/// One attempt of a request, as a load generator saw it. Attempts of the same request have the same intent; the mark is
/// part of the prompt and identifies the attempt at the workers.
struct CallerRecord {
  std::string intent, mark, kind, key, status, text;
  bool repeatable{false};
  std::int64_t tokens{0}, sentAt{0}, lastAt{0};
};
/// One event of a stand-in worker. The words of the subject depend on the event.
struct WorkerRecord {
  std::string worker, model, event, subject;
  std::int64_t at{0}, number{0};
};
std::vector<std::string> splitWords(const std::string& text) {
  std::istringstream source(text);
  std::vector<std::string> words;
  for (std::string word; source >> word;) words.push_back(word);
  return words;
}
std::int64_t timestampOf(const Json& row, const char* name) {
  return std::strtoll(stringOr(row, name).c_str(), nullptr, 10);
}

/// Adds an event about an announcement of weights to the records. Returns false if a required field is missing.
bool readAnnouncement(const Json& event, AnnouncementRecords& announcements) {
  std::string changeId = stringOr(event, "change"), weights = stringOr(event, "name"), model = stringOr(event, "model");
  TimePoint at = fromNanoseconds(timestampOf(event, "at"));
  if (changeId.empty() || weights.empty()) return false;
  if (stringOr(event, "event") == "naming") {
    announcements.recordSent(changeId, model, weights, at);
    return true;
  }
  auto revision = integerOr(event, "revision", 0);
  if (revision > 0)
    announcements.recordAcknowledgement(changeId, model, weights, static_cast<std::uint64_t>(revision), at);
  return revision > 0;
}

/// For how long these weights had been superseded when a worker's event happened; nothing if they were the newest.
std::optional<Duration> supersededFor(const AnnouncementRecords& announcements, const WorkerRecord& row,
                                      const std::string& weights) {
  if (weights == "-") return std::nullopt;
  return announcements.supersededFor(row.model, weights, fromNanoseconds(row.at));
}
}  // namespace

const std::vector<std::string>& auditedInvariants() {
  static const std::vector<std::string> names{"runs-twice",   "not-run-but-ran",   "stitched",         "other-weights",
                                              "other-tenant", "fetch-beyond",      "revoked-works",    "leaving-used",
                                              "weights-late", "old-weights-began", "too-many-retries", "two-holders"};
  return names;
}

std::int64_t AuditResult::violationCount() const {
  std::int64_t count = 0;
  for (const auto& [invariant, texts] : violations) count += static_cast<std::int64_t>(texts.size());
  return count;
}

bool isCompleteResponse(const std::string& text, std::int64_t tokens) {
  auto tokenTexts = splitWords(text);
  if (static_cast<std::int64_t>(tokenTexts.size()) != tokens || tokenTexts.empty()) return false;
  std::string worker = tokenTexts[0].substr(0, tokenTexts[0].find(':'));
  for (std::int64_t number = 1; number <= tokens; ++number)
    if (tokenTexts[static_cast<std::size_t>(number - 1)] != worker + ":" + std::to_string(number)) return false;
  return true;
}

AuditResult auditRecords(const AuditRecords& records) {
  AuditResult result;
  auto addViolation = [&](const char* invariant, const std::string& text) {
    result.violations[invariant].push_back(text);
  };
  std::vector<CallerRecord> callers;
  for (const auto& line : records.callers) {
    auto read = parseJson(line);
    if (!read || !read.value().is<JsonObject>()) {
      ++result.unreadable;
      continue;
    }
    const auto& row = read.value();
    callers.push_back({stringOr(row, "intent"), stringOr(row, "mark"), stringOr(row, "kind"), stringOr(row, "key"),
                       stringOr(row, "verdict"), stringOr(row, "text"), boolOr(row, "repeatable", false),
                       integerOr(row, "tokens", 0), timestampOf(row, "sentAt"), timestampOf(row, "lastAt")});
  }
  std::vector<WorkerRecord> workers;
  for (const auto& line : records.workers) {
    auto read = parseJson(line);
    if (!read || !read.value().is<JsonObject>()) {
      ++result.unreadable;
      continue;
    }
    const auto& row = read.value();
    workers.push_back({stringOr(row, "worker"), stringOr(row, "model"), stringOr(row, "event"),
                       stringOr(row, "subject"), timestampOf(row, "at"), integerOr(row, "number", 0)});
  }
  std::stable_sort(workers.begin(), workers.end(),
                   [](const WorkerRecord& one, const WorkerRecord& other) { return one.at < other.at; });
  std::map<std::string, std::int64_t> revokedAt;
  AnnouncementRecords announcements;
  std::map<std::string, std::vector<std::pair<std::int64_t, std::int64_t>>> leaving;
  for (const auto& line : records.events) {
    auto read = parseJson(line);
    if (!read || !read.value().is<JsonObject>()) {
      ++result.unreadable;
      continue;
    }
    std::string event = stringOr(read.value(), "event"), name = stringOr(read.value(), "name");
    std::int64_t at = timestampOf(read.value(), "at");
    if (event == "revoked") revokedAt[name] = at;
    if ((event == "naming" || event == "named") && !readAnnouncement(read.value(), announcements)) ++result.unreadable;
    if (event == "leaving") leaving[name].emplace_back(at, INT64_MAX);
    if (event == "staying" && !leaving[name].empty()) leaving[name].back().second = at;
  }

  std::map<std::string, std::vector<const WorkerRecord*>> runsByMark;
  std::map<std::string, std::int64_t> moveBlocks;
  std::vector<std::int64_t> firstAttempts, retryAttempts;
  std::map<std::string, std::pair<std::int64_t, std::string>> lastCommandByWorker;
  for (const auto& row : workers) {
    auto words = splitWords(row.subject);
    if (row.event == "ran for" && words.size() >= 4) {
      ++result.runs;
      if (words[3] != "-") runsByMark[words[3]].push_back(&row);
      for (const auto& [from, until] : leaving[row.worker])
        if (row.at > from + drainTimeout && row.at < until)
          addViolation("leaving-used", words[0] + " ran at " + row.worker + ", which was leaving");
      if (auto supersededTime = supersededFor(announcements, row, words[1]);
          supersededTime && *supersededTime > rolloutTimeout)
        addViolation("weights-late", words[0] + " ran with old weights " + words[1] + " at " + row.worker);
    }
    if (row.event == "order began") ++result.startedRequests;
    if (row.event == "order began" && words.size() >= 2) {
      auto supersededTime = supersededFor(announcements, row, words[1]);
      if (supersededTime && (!result.latestStartOnOldWeights || *supersededTime > *result.latestStartOnOldWeights))
        result.latestStartOnOldWeights = supersededTime;
      if (supersededTime && *supersededTime > records.oldWeightsTimeout)
        addViolation("old-weights-began", words[0] + " began on " + words[1] + " at " + row.worker + ", " +
                                              std::to_string(toMilliseconds(*supersededTime)) +
                                              " ms after newer weights were acknowledged");
    }
    if ((row.event == "ran for" || row.event == "worker denied") && !words.empty()) {
      /// The subject begins with the request's id at the worker, which ends with the number of the proxy's attempt.
      auto dot = words[0].rfind('.');
      bool isRetry = dot != std::string::npos && std::atoi(words[0].c_str() + dot + 1) > 1;
      (isRetry ? retryAttempts : firstAttempts).push_back(row.at);
    }
    if (row.event == "move ran" && !words.empty()) moveBlocks[words[0]] = row.number;
    if (row.event == "pulled") {
      auto move = moveBlocks.find(row.subject);
      if (move == moveBlocks.end() || row.number > move->second)
        addViolation("fetch-beyond", row.worker + " pulled " + std::to_string(row.number) + " blocks for the move " +
                                         row.subject + ", which named fewer");
    }
    if (row.event == "cross weights") addViolation("other-weights", row.worker + " " + row.subject);
    if (row.event == "cross tenant" && !words.empty()) {
      auto separator = words[0].find('>');
      if (records.isolated.count(words[0].substr(0, separator)) ||
          records.isolated.count(words[0].substr(separator + 1)))
        addViolation("other-tenant", row.worker + " " + row.subject);
    }
    if (row.event == "command taken" && words.size() >= 3) {
      auto& last = lastCommandByWorker[row.worker];
      if (row.number < last.first || (row.number == last.first && words[1] != last.second && !last.second.empty()))
        addViolation("two-holders", row.worker + " accepted term " + std::to_string(row.number) + " of " + words[1] +
                                        " after term " + std::to_string(last.first) + " of " + last.second);
      last = {row.number, words[1]};
    }
  }
  result.retries = static_cast<std::int64_t>(retryAttempts.size());
  result.announcements = static_cast<std::int64_t>(announcements.acknowledgedCount());

  std::map<std::string, std::int64_t> runsByIntent;
  for (const auto& attempt : callers) {
    ++result.requests;
    auto runs = runsByMark.find(attempt.mark);
    std::int64_t runCount = runs == runsByMark.end() ? 0 : static_cast<std::int64_t>(runs->second.size());
    if (!attempt.repeatable) {
      auto& intentRuns = runsByIntent[attempt.intent];
      bool reported = intentRuns > 1;
      intentRuns += runCount;
      if (intentRuns > 1 && !reported)
        addViolation("runs-twice", attempt.intent + " of kind " + attempt.kind + " ran more than once");
    }
    if (attempt.status == "not run" && runCount > 0)
      addViolation("not-run-but-ran",
                   attempt.mark + " was reported as not run but ran at " + runs->second.front()->worker);
    if (attempt.status == "done" && !isCompleteResponse(attempt.text, attempt.tokens))
      addViolation("stitched", attempt.mark + " got an incomplete or mixed response: " + attempt.text.substr(0, 80));
    if (attempt.status == "done" && runCount == 0)
      addViolation("stitched", attempt.mark + " was reported as done but ran at no worker");
    if (auto revoked = revokedAt.find(attempt.key); revoked != revokedAt.end()) {
      if (attempt.sentAt > revoked->second + revocationTimeout && runCount > 0)
        addViolation("revoked-works", attempt.mark + " ran with a revoked key");
      if (attempt.lastAt > revoked->second + revocationTimeout && !attempt.text.empty())
        addViolation("revoked-works", attempt.mark + " still received a response with a revoked key");
    }
  }

  std::sort(firstAttempts.begin(), firstAttempts.end());
  for (std::int64_t window : retryWindows)
    for (auto at : retryAttempts) {
      auto countInWindow = [&](const std::vector<std::int64_t>& times, std::int64_t until) {
        return static_cast<std::int64_t>(std::count_if(
            times.begin(), times.end(), [&](std::int64_t time) { return time <= until && time > until - window; }));
      };
      std::int64_t attemptCount = std::max(countInWindow(firstAttempts, at), countInWindow(firstAttempts, at - window)),
                   retryCount = countInWindow(retryAttempts, at);
      if (attemptCount < minFirstAttempts) continue;
      double ratio = static_cast<double>(retryCount) / static_cast<double>(attemptCount);
      result.worstRetryRatio = std::max(result.worstRetryRatio, ratio);
      if (ratio > maxRetryRatio)
        addViolation("too-many-retries", std::to_string(retryCount) + " retries of " + std::to_string(attemptCount) +
                                             " requests within " + std::to_string(window / second) + " s");
    }
  return result;
}

}  // namespace tt
