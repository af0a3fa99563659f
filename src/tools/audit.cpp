#include "audit.hpp"

#include <algorithm>
#include <sstream>

#include "naming_records.hpp"

namespace tt {
namespace {
constexpr std::int64_t second = 1'000'000'000;
constexpr std::int64_t revokedWithin = 5 * second;
constexpr std::int64_t leavingWithin = 3 * second;
constexpr Duration weightsWithin = 25s;
constexpr double retryShareMost = 0.2;
constexpr std::int64_t ordersEnough = 40;

struct CallerRow {
  std::string intent, mark, kind, key, verdict, text;
  bool repeatable{false};
  std::int64_t tokens{0}, sentAt{0}, lastAt{0};
};
struct WorkerRow {
  std::string worker, model, event, subject;
  std::int64_t at{0}, number{0};
};
std::vector<std::string> wordsOf(const std::string& text) {
  std::istringstream source(text);
  std::vector<std::string> words;
  for (std::string word; source >> word;) words.push_back(word);
  return words;
}
std::int64_t momentOf(const Json& row, const char* name) {
  return std::strtoll(stringOr(row, name).c_str(), nullptr, 10);
}

/// Takes an event about a naming of weights into the records; says whether it holds all that is needed.
bool readNaming(const Json& event, NamingRecords& namings) {
  std::string changeId = stringOr(event, "change"), weights = stringOr(event, "name"), model = stringOr(event, "model");
  TimePoint at = fromNanoseconds(momentOf(event, "at"));
  if (changeId.empty() || weights.empty()) return false;
  if (stringOr(event, "event") == "naming") {
    namings.sent(changeId, model, weights, at);
    return true;
  }
  auto revision = integerOr(event, "revision", 0);
  if (revision > 0) namings.recordAcknowledgement(changeId, model, weights, static_cast<std::uint64_t>(revision), at);
  return revision > 0;
}

/// For how long the weights that a worker's row tells had been superseded at its moment.
std::optional<Duration> supersededFor(const NamingRecords& namings, const WorkerRow& row, const std::string& weights) {
  if (weights == "-") return std::nullopt;
  return namings.supersededFor(row.model, weights, fromNanoseconds(row.at));
}
}  // namespace

const std::vector<std::string>& auditedInvariants() {
  static const std::vector<std::string> lines{"runs-twice",   "not-run-but-ran",   "stitched",         "other-weights",
                                              "other-tenant", "fetch-beyond",      "revoked-works",    "leaving-used",
                                              "weights-late", "old-weights-began", "too-many-retries", "two-holders"};
  return lines;
}

std::int64_t AuditResult::violationCount() const {
  std::int64_t count = 0;
  for (const auto& [line, rows] : violations) count += static_cast<std::int64_t>(rows.size());
  return count;
}

bool isWholeAnswer(const std::string& text, std::int64_t tokens) {
  auto pieces = wordsOf(text);
  if (static_cast<std::int64_t>(pieces.size()) != tokens || pieces.empty()) return false;
  std::string worker = pieces[0].substr(0, pieces[0].find(':'));
  for (std::int64_t number = 1; number <= tokens; ++number)
    if (pieces[static_cast<std::size_t>(number - 1)] != worker + ":" + std::to_string(number)) return false;
  return true;
}

AuditResult auditRecords(const AuditRecords& records) {
  AuditResult result;
  auto breach = [&](const char* line, const std::string& text) { result.violations[line].push_back(text); };
  std::vector<CallerRow> callers;
  for (const auto& line : records.callers) {
    auto read = parseJson(line);
    if (!read || !read.value().is<JsonObject>()) {
      ++result.unreadable;
      continue;
    }
    const auto& row = read.value();
    callers.push_back({stringOr(row, "intent"), stringOr(row, "mark"), stringOr(row, "kind"), stringOr(row, "key"),
                       stringOr(row, "verdict"), stringOr(row, "text"), boolOr(row, "repeatable", false),
                       integerOr(row, "tokens", 0), momentOf(row, "sentAt"), momentOf(row, "lastAt")});
  }
  std::vector<WorkerRow> workers;
  for (const auto& line : records.workers) {
    auto read = parseJson(line);
    if (!read || !read.value().is<JsonObject>()) {
      ++result.unreadable;
      continue;
    }
    const auto& row = read.value();
    workers.push_back({stringOr(row, "worker"), stringOr(row, "model"), stringOr(row, "event"),
                       stringOr(row, "subject"), momentOf(row, "at"), integerOr(row, "number", 0)});
  }
  std::stable_sort(workers.begin(), workers.end(),
                   [](const WorkerRow& one, const WorkerRow& other) { return one.at < other.at; });
  std::map<std::string, std::int64_t> revokedAt;
  NamingRecords namings;
  std::map<std::string, std::vector<std::pair<std::int64_t, std::int64_t>>> leaving;
  for (const auto& line : records.events) {
    auto read = parseJson(line);
    if (!read || !read.value().is<JsonObject>()) {
      ++result.unreadable;
      continue;
    }
    std::string event = stringOr(read.value(), "event"), name = stringOr(read.value(), "name");
    std::int64_t at = momentOf(read.value(), "at");
    if (event == "revoked") revokedAt[name] = at;
    if ((event == "naming" || event == "named") && !readNaming(read.value(), namings)) ++result.unreadable;
    if (event == "leaving") leaving[name].emplace_back(at, INT64_MAX);
    if (event == "staying" && !leaving[name].empty()) leaving[name].back().second = at;
  }

  std::map<std::string, std::vector<const WorkerRow*>> runsByMark;
  std::map<std::string, std::int64_t> moveBlocks;
  std::vector<std::int64_t> firstTries, laterTries;
  std::map<std::string, std::pair<std::int64_t, std::string>> commandBy;
  for (const auto& row : workers) {
    auto words = wordsOf(row.subject);
    if (row.event == "ran for" && words.size() >= 4) {
      ++result.runs;
      if (words[3] != "-") runsByMark[words[3]].push_back(&row);
      for (const auto& [from, until] : leaving[row.worker])
        if (row.at > from + leavingWithin && row.at < until) breach("leaving-used", words[0] + " at " + row.worker);
      if (auto late = supersededFor(namings, row, words[1]); late && *late > weightsWithin)
        breach("weights-late", words[0] + " ran under " + words[1] + " at " + row.worker);
    }
    if (row.event == "order began") ++result.begins;
    if (row.event == "order began" && words.size() >= 2) {
      auto late = supersededFor(namings, row, words[1]);
      if (late && (!result.latestOldBegin || *late > *result.latestOldBegin)) result.latestOldBegin = late;
      if (late && *late > records.oldWeightsTimeout)
        breach("old-weights-began", words[0] + " began on " + words[1] + " at " + row.worker + ", " +
                                        std::to_string(toMilliseconds(*late)) +
                                        " ms after newer weights were acknowledged");
    }
    if ((row.event == "ran for" || row.event == "worker denied") && !words.empty()) {
      auto dot = words[0].rfind('.');
      bool again = dot != std::string::npos && std::atoi(words[0].c_str() + dot + 1) > 1;
      (again ? laterTries : firstTries).push_back(row.at);
    }
    if (row.event == "move ran" && !words.empty()) moveBlocks[words[0]] = row.number;
    if (row.event == "pulled") {
      auto move = moveBlocks.find(row.subject);
      if (move == moveBlocks.end() || row.number > move->second)
        breach("fetch-beyond", row.worker + " pulled " + std::to_string(row.number) + " blocks for " + row.subject);
    }
    if (row.event == "cross weights") breach("other-weights", row.worker + " " + row.subject);
    if (row.event == "cross tenant") {
      auto sign = row.subject.find('>');
      if (records.isolated.count(row.subject.substr(0, sign)) || records.isolated.count(row.subject.substr(sign + 1)))
        breach("other-tenant", row.worker + " " + row.subject);
    }
    if (row.event == "command taken" && words.size() >= 3) {
      auto& last = commandBy[row.worker];
      if (row.number < last.first || (row.number == last.first && words[1] != last.second && !last.second.empty()))
        breach("two-holders", row.worker + " took term " + std::to_string(row.number) + " of " + words[1] + " after " +
                                  std::to_string(last.first) + " of " + last.second);
      last = {row.number, words[1]};
    }
  }
  result.retries = static_cast<std::int64_t>(laterTries.size());
  result.namings = static_cast<std::int64_t>(namings.acknowledgedCount());

  std::map<std::string, std::int64_t> runsByIntent;
  for (const auto& order : callers) {
    ++result.orders;
    auto runs = runsByMark.find(order.mark);
    std::int64_t ran = runs == runsByMark.end() ? 0 : static_cast<std::int64_t>(runs->second.size());
    if (!order.repeatable) {
      auto& sum = runsByIntent[order.intent];
      bool before = sum > 1;
      sum += ran;
      if (sum > 1 && !before) breach("runs-twice", order.intent + " of kind " + order.kind);
    }
    if (order.verdict == "not run" && ran > 0)
      breach("not-run-but-ran", order.mark + " ran at " + runs->second.front()->worker);
    if (order.verdict == "done" && !isWholeAnswer(order.text, order.tokens))
      breach("stitched", order.mark + " got " + order.text.substr(0, 80));
    if (order.verdict == "done" && ran == 0) breach("stitched", order.mark + " is called done and ran nowhere");
    if (auto revoked = revokedAt.find(order.key); revoked != revokedAt.end()) {
      if (order.sentAt > revoked->second + revokedWithin && ran > 0) breach("revoked-works", order.mark + " was taken");
      if (order.lastAt > revoked->second + revokedWithin && !order.text.empty())
        breach("revoked-works", order.mark + " still streamed");
    }
  }

  std::sort(firstTries.begin(), firstTries.end());
  for (std::int64_t span : {second, 5 * second})
    for (auto at : laterTries) {
      auto within = [&](const std::vector<std::int64_t>& moments, std::int64_t until) {
        return static_cast<std::int64_t>(std::count_if(moments.begin(), moments.end(), [&](std::int64_t moment) {
          return moment <= until && moment > until - span;
        }));
      };
      std::int64_t orders = std::max(within(firstTries, at), within(firstTries, at - span)),
                   again = within(laterTries, at);
      if (orders < ordersEnough) continue;
      double share = static_cast<double>(again) / static_cast<double>(orders);
      result.worstRetryShare = std::max(result.worstRetryShare, share);
      if (share > retryShareMost)
        breach("too-many-retries", std::to_string(again) + " of " + std::to_string(orders) + " within " +
                                       std::to_string(span / second) + " s");
    }
  return result;
}

}  // namespace tt
