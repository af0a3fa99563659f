#include <algorithm>
#include <condition_variable>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "process.hpp"

using namespace tt;

namespace {

/// Attempts of one request, the first included.
constexpr int maxAttempts = 5;
/// The delay of callers that wait as long as the response tells them is at least minRetryAfterMs; others retry after
/// immediateRetryDelay.
constexpr int minRetryAfterMs = 200;
constexpr Duration immediateRetryDelay = 20ms;
/// Callers that hang up do so within this time after sending.
constexpr std::uint64_t maxHangUpMs = 600;
constexpr Duration callTimeout = 30s;
/// How long open requests and retries may take after the end of the load.
constexpr Duration closingTime = 35s;

/// A kind of request, as the kinds file describes it: how often it is sent, and the size of its prompt. Each prompt
/// starts with one of `prefixes` shared prefixes of sharedBytes.
struct RequestKind {
  std::string name, route, model;
  double rate{1};
  std::size_t sharedBytes{0}, ownBytes{200};
  int prefixes{1}, tokens{16};
  bool repeatable{false};
  std::vector<std::string> keys;
};
/// Counts and measurements of one kind. Latencies count from the time at which a request was due, so that a delay in
/// the load generator or the proxy is not left out.
struct KindStatistics {
  std::int64_t sent{0}, done{0}, local{0}, fetched{0}, computed{0}, retries{0}, withoutStatus{0}, interrupted{0};
  std::vector<double> firstMs, totalMs;
  std::map<std::string, std::int64_t> statuses;
};
/// One attempt to send a request. Attempts of the same request have the same intent.
struct Attempt {
  std::size_t kind{0}, prefix{0};
  TimePoint due{};
  std::string key, proxy, intent;
  int attemptNumber{1};
  std::uint64_t ownSeed{0};
};
/// What has been received of the response to one attempt.
struct ResponseProgress {
  bool started{false}, finalStatusReceived{false}, closed{false};
  std::string text, status;
  int retryAfterMs{0};
  TimePoint lastAt{};
};

Result<std::vector<RequestKind>> readKinds(const std::string& text) {
  auto read = parseObject(text, {"kinds"});
  if (!read) return read.error();
  auto rows = read.value().find("kinds");
  if (rows == read.value().end() || !rows->second.is<JsonArray>()) return makeError(Code::missingField, "kinds");
  std::vector<RequestKind> kinds;
  for (const auto& row : rows->second.get<JsonArray>()) {
    RequestKind kind;
    kind.name = stringOr(row, "name");
    kind.route = stringOr(row, "route");
    kind.model = stringOr(row, "model");
    if (kind.name.empty() || kind.route.empty() || kind.model.empty())
      return makeError(Code::missingField, "kinds", "name, route and model");
    if (auto rate = row.get<JsonObject>().find("rate");
        rate != row.get<JsonObject>().end() && rate->second.is<double>())
      kind.rate = rate->second.get<double>();
    kind.sharedBytes = static_cast<std::size_t>(integerOr(row, "sharedBytes", 0));
    kind.ownBytes = static_cast<std::size_t>(integerOr(row, "ownBytes", 200));
    kind.prefixes = static_cast<int>(std::max<std::int64_t>(1, integerOr(row, "prefixes", 1)));
    kind.tokens = static_cast<int>(integerOr(row, "tokens", 16));
    kind.repeatable = boolOr(row, "repeatable", false);
    auto keys = stringListField(row.get<JsonObject>(), "keys");
    if (!keys) return keys.error();
    kind.keys = keys.value();
    kinds.push_back(kind);
  }
  return kinds;
}

/// A text of this length that depends only on the seed.
std::string textFromSeed(const std::string& seed, std::size_t bytes) {
  std::string text;
  for (std::uint64_t at = 0; text.size() < bytes; ++at)
    text += std::to_string(rendezvousHash(seed, std::to_string(at))) + " ";
  text.resize(bytes);
  return text;
}

/// The value below which this share of the values lies; 0 if there are none.
double quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

}  // namespace

int main(int count, char** arguments) {
  std::string kindsFile, jsonFile, recordFile;
  std::vector<std::string> proxies;
  double seconds = 20, seed = 1, scale = 1, everySecond = 0, obeyPercent = 0, ignorePercent = 0, movePercent = 0,
         hangUpPercent = 0;
  Settings reader("trouttally-loadgen",
                  "Sends a deployment's kinds of request as an open-loop load and measures the responses");
  reader.addresses("proxies", &proxies, "addresses at which the proxies serve callers")
      .text("kinds", &kindsFile, "JSON file with the kinds of request", true)
      .number("seconds", &seconds, 0.1, 36000, "duration of the load")
      .number("scale", &scale, 0.001, 1000, "factor by which the rates of the file are multiplied")
      .number("seed", &seed, 0, 1e15, "seed of the random number generator")
      .number("everySecond", &everySecond, 0, 1, "1 also prints a table with one line for each second")
      .text("json", &jsonFile, "also write the results to this file")
      .text("recordFile", &recordFile, "file to append the outcome of each attempt to, for trouttally-audit")
      .number("obey", &obeyPercent, 0, 100,
              "per cent of unsuccessful attempts that are retried after the delay that the response names")
      .number("ignore", &ignorePercent, 0, 100, "per cent that are retried at once")
      .number("move", &movePercent, 0, 100, "per cent that are retried at once at the next proxy")
      .number("hangUps", &hangUpPercent, 0, 100, "per cent of callers that disconnect within 600 ms");
  if (auto code = reader.read(count, arguments)) return *code;
  if (proxies.empty()) return reportStartFailure(makeError(Code::badProps, "proxies", "must be given"));
  std::ifstream source(kindsFile);
  if (!source) return reportStartFailure(makeError(Code::badProps, "kinds", "cannot read " + kindsFile));
  std::stringstream bytes;
  bytes << source.rdbuf();
  auto read = readKinds(bytes.str());
  if (!read)
    return reportStartFailure(makeError(Code::badProps, "kinds", read.error().subject + ": " + read.error().text));
  const auto& kinds = read.value();

  std::mt19937_64 randomSource(static_cast<std::uint64_t>(seed));
  std::vector<Attempt> attempts;
  TimePoint start = Clock::now() + 200ms;
  std::vector<std::vector<std::string>> sharedPrefixes(kinds.size());
  for (std::size_t at = 0; at < kinds.size(); ++at) {
    const auto& kind = kinds[at];
    for (int number = 0; number < kind.prefixes; ++number)
      sharedPrefixes[at].push_back(textFromSeed(kind.name + std::to_string(number), kind.sharedBytes));
    std::exponential_distribution<double> interval(kind.rate * scale);
    for (double offset = interval(randomSource); offset < seconds; offset += interval(randomSource)) {
      Attempt attempt;
      attempt.kind = at;
      attempt.due = start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(offset));
      attempt.key = kind.keys[randomSource() % kind.keys.size()];
      attempt.proxy = proxies[randomSource() % proxies.size()];
      attempt.prefix = randomSource() % sharedPrefixes[at].size();
      attempt.ownSeed = randomSource();
      attempts.push_back(std::move(attempt));
    }
  }
  std::sort(attempts.begin(), attempts.end(),
            [](const Attempt& one, const Attempt& other) { return one.due < other.due; });

  std::ofstream record;
  if (!recordFile.empty()) {
    record.open(recordFile, std::ios::app);
    if (!record) return reportStartFailure(makeError(Code::badProps, "recordFile", "cannot be written"));
  }
  std::mutex lock;
  std::condition_variable changed;
  std::multimap<TimePoint, Attempt> due;
  std::multimap<TimePoint, std::uint64_t> hangUpTimes;
  std::map<std::uint64_t, std::function<void()>> hangUpHandlers;
  std::string runPrefix = "mark-" + std::to_string(static_cast<std::uint64_t>(seed)) + "-" +
                          std::to_string(toNanoseconds(start) / 1000000 % 100000000) + "-";
  std::size_t requestCount = 0;
  for (auto& attempt : attempts) {
    attempt.intent = runPrefix + std::to_string(++requestCount);
    due.emplace(attempt.due, attempt);
  }
  std::vector<KindStatistics> statisticsByKind(kinds.size());
  std::map<int, std::pair<std::int64_t, std::vector<double>>> successesBySecond;
  std::map<int, std::int64_t> failuresBySecond;
  std::map<int, std::pair<std::int64_t, std::int64_t>> blocksBySecond;
  std::int64_t openAttempts = 0, scheduledRetries = 0;
  WebClient calls;
  /// Writes the outcome of an attempt for trouttally-audit.
  auto writeRecord = [&](const Attempt& attempt, const ResponseProgress& progress, TimePoint sentAt) {
    if (!record.is_open()) return;
    const auto& kind = kinds[attempt.kind];
    JsonObject row;
    row["intent"] = Json(attempt.intent);
    row["mark"] = Json(attempt.intent + "-" + std::to_string(attempt.attemptNumber));
    row["kind"] = Json(kind.name);
    row["key"] = Json(attempt.key);
    row["proxy"] = Json(attempt.proxy);
    row["repeatable"] = Json(kind.repeatable);
    row["tokens"] = jsonNumber(kind.tokens);
    row["sentAt"] = Json(std::to_string(toNanoseconds(sentAt)));
    row["lastAt"] = Json(std::to_string(toNanoseconds(progress.lastAt)));
    row["verdict"] = Json(progress.closed ? std::string("hung up") : progress.status);
    row["text"] = Json(progress.text);
    record << Json(row).serialize() << "\n" << std::flush;
  };
  /// Callers retry requests that certainly did not run or are repeatable; the options say how many do, and how.
  auto scheduleRetry = [&](const Attempt& attempt, const ResponseProgress& progress) {
    bool certainlyNotRun = progress.status == "not run" || progress.status == "no connection";
    if (progress.status == "done" || attempt.attemptNumber >= maxAttempts ||
        !(certainlyNotRun || kinds[attempt.kind].repeatable) ||
        (progress.status == "not run" && progress.retryAfterMs <= 0))
      return;
    double percent = static_cast<double>(randomSource() % 10000) / 100;
    if (percent >= obeyPercent + ignorePercent + movePercent) return;
    Attempt retry = attempt;
    ++retry.attemptNumber;
    retry.due =
        Clock::now() + (percent < obeyPercent
                            ? Duration(std::chrono::milliseconds(std::max(progress.retryAfterMs, minRetryAfterMs)))
                            : immediateRetryDelay);
    if (percent >= obeyPercent + ignorePercent)
      for (std::size_t at = 0; at < proxies.size(); ++at)
        if (proxies[at] == attempt.proxy) {
          retry.proxy = proxies[(at + 1) % proxies.size()];
          break;
        }
    ++scheduledRetries;
    due.emplace(retry.due, retry);
    changed.notify_one();
  };
  auto send = [&](const Attempt& attempt) {
    const auto& kind = kinds[attempt.kind];
    JsonObject body;
    body["route"] = Json(kind.route);
    body["model"] = Json(kind.model);
    body["maxTokens"] = jsonNumber(kind.tokens);
    body["repeatable"] = Json(kind.repeatable);
    JsonArray parts;
    if (kind.sharedBytes) parts.push_back(Json(sharedPrefixes[attempt.kind][attempt.prefix]));
    parts.push_back(Json(attempt.intent + "-" + std::to_string(attempt.attemptNumber) + " " +
                         textFromSeed("own" + std::to_string(attempt.ownSeed), kind.ownBytes)));
    body["parts"] = Json(parts);
    WebCall call;
    call.method = "POST";
    call.url = "http://" + attempt.proxy + "/v1/orders";
    call.bearer = attempt.key;
    call.body = Json(body).serialize();
    call.totalTimeout = callTimeout;
    call.noResend = true;
    auto progress = std::make_shared<ResponseProgress>();
    TimePoint sentAt = Clock::now();
    /// Handles the line that ends a response.
    auto onFinalStatus = [&, attempt, progress](const Json& status) {
      progress->finalStatusReceived = true;
      auto& statistics = statisticsByKind[attempt.kind];
      progress->status = stringOr(status, "verdict");
      progress->retryAfterMs = static_cast<int>(integerOr(status, "retryAfterMs", 0));
      ++statistics.statuses[progress->status + " " + std::to_string(integerOr(status, "code", 0)) + " " +
                            stringOr(status, "name")];
      statistics.retries += std::max<std::int64_t>(0, integerOr(status, "tries", 0) - 1);
      int second = static_cast<int>(toMilliseconds(attempt.due - start) / 1000);
      if (progress->status == "done") {
        ++statistics.done;
        ++successesBySecond[second].first;
        statistics.totalMs.push_back(std::chrono::duration<double, std::milli>(Clock::now() - attempt.due).count());
        const auto& fields = status.get<JsonObject>();
        if (auto blocks = fields.find("blocks"); blocks != fields.end()) {
          auto& shares = blocksBySecond[second];
          std::int64_t local = integerOr(blocks->second, "local", 0), fetched = integerOr(blocks->second, "fetched", 0),
                       computed = integerOr(blocks->second, "computed", 0);
          statistics.local += local;
          statistics.fetched += fetched;
          statistics.computed += computed;
          shares.first += fetched;
          shares.second += local + fetched + computed;
        }
      } else {
        ++failuresBySecond[second];
      }
    };
    std::lock_guard<std::mutex> guard(lock);
    ++openAttempts;
    ++statisticsByKind[attempt.kind].sent;
    std::uint64_t callId = calls.start(
        std::move(call),
        [&, attempt, progress, sentAt, onFinalStatus](const WebResult& result) {
          std::lock_guard<std::mutex> guard(lock);
          if (progress->closed) return;
          if (!progress->finalStatusReceived) {
            auto status = parseJson(result.body);
            if (status && status.value().is<JsonObject>() && !stringOr(status.value(), "verdict").empty()) {
              onFinalStatus(status.value());
            } else {
              ++(progress->started ? statisticsByKind[attempt.kind].interrupted
                                   : statisticsByKind[attempt.kind].withoutStatus);
              progress->status = result.requestUnsent ? "no connection"
                                 : progress->started  ? "stream torn"
                                                      : "no verdict";
              ++statisticsByKind[attempt.kind].statuses[progress->status];
              ++failuresBySecond[static_cast<int>(toMilliseconds(attempt.due - start) / 1000)];
            }
          }
          writeRecord(attempt, *progress, sentAt);
          scheduleRetry(attempt, *progress);
          progress->closed = true;
          --openAttempts;
          changed.notify_one();
        },
        [&, attempt, progress, onFinalStatus](const std::string& line) {
          auto read = parseJson(line);
          if (!read || !read.value().is<JsonObject>()) return;
          std::lock_guard<std::mutex> guard(lock);
          if (progress->closed) return;
          if (!stringOr(read.value(), "verdict").empty()) return onFinalStatus(read.value());
          progress->text += stringOr(read.value(), "text");
          progress->lastAt = Clock::now();
          if (progress->started) return;
          progress->started = true;
          double firstMs = std::chrono::duration<double, std::milli>(Clock::now() - attempt.due).count();
          statisticsByKind[attempt.kind].firstMs.push_back(firstMs);
          successesBySecond[static_cast<int>(toMilliseconds(attempt.due - start) / 1000)].second.push_back(firstMs);
        });
    if (static_cast<double>(randomSource() % 10000) / 100 < hangUpPercent) {
      hangUpTimes.emplace(Clock::now() + std::chrono::milliseconds(randomSource() % maxHangUpMs), callId);
      hangUpHandlers[callId] = [&, attempt, progress, sentAt] {
        if (progress->closed || progress->finalStatusReceived) return;
        progress->closed = true;
        ++statisticsByKind[attempt.kind].statuses["hung up"];
        writeRecord(attempt, *progress, sentAt);
        --openAttempts;
      };
    }
  };
  TimePoint deadline =
      start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)) + closingTime;
  while (Clock::now() < deadline) {
    std::optional<Attempt> next;
    {
      std::unique_lock<std::mutex> guard(lock);
      while (!hangUpTimes.empty() && hangUpTimes.begin()->first <= Clock::now()) {
        std::uint64_t callId = hangUpTimes.begin()->second;
        hangUpTimes.erase(hangUpTimes.begin());
        calls.drop(callId);
        hangUpHandlers[callId]();
        hangUpHandlers.erase(callId);
      }
      if (due.empty() && openAttempts == 0) break;
      TimePoint until = Clock::now() + 100ms;
      if (!due.empty()) until = std::min(until, due.begin()->first);
      if (!hangUpTimes.empty()) until = std::min(until, hangUpTimes.begin()->first);
      if (due.empty() || due.begin()->first > Clock::now()) {
        changed.wait_until(guard, until);
        continue;
      }
      next = std::move(due.begin()->second);
      due.erase(due.begin());
    }
    send(*next);
  }

  std::lock_guard<std::mutex> guard(lock);
  JsonObject results;
  std::cout << std::fixed << std::setprecision(1);
  std::cout << "kind        sent   rate/s   done  ttft p50  ttft p99  whole p50  local%  fetched%  computed%  retry%\n";
  KindStatistics total;
  for (std::size_t at = 0; at <= kinds.size(); ++at) {
    const KindStatistics& statistics = at < kinds.size() ? statisticsByKind[at] : total;
    std::string name = at < kinds.size() ? kinds[at].name : "all";
    double blocks = std::max(1.0, static_cast<double>(statistics.local + statistics.fetched + statistics.computed));
    double sent = std::max(1.0, static_cast<double>(statistics.sent));
    std::cout << std::left << std::setw(10) << name << std::right << std::setw(6) << statistics.sent << std::setw(9)
              << static_cast<double>(statistics.sent) / seconds << std::setw(7) << statistics.done << std::setw(10)
              << quantile(statistics.firstMs, 0.5) << std::setw(10) << quantile(statistics.firstMs, 0.99)
              << std::setw(11) << quantile(statistics.totalMs, 0.5) << std::setw(8)
              << 100.0 * static_cast<double>(statistics.local) / blocks << std::setw(10)
              << 100.0 * static_cast<double>(statistics.fetched) / blocks << std::setw(11)
              << 100.0 * static_cast<double>(statistics.computed) / blocks << std::setw(8)
              << 100.0 * static_cast<double>(statistics.retries) / sent << "\n";
    JsonObject row;
    row["sent"] = jsonNumber(static_cast<double>(statistics.sent));
    row["done"] = jsonNumber(static_cast<double>(statistics.done));
    row["firstMsP50"] = jsonNumber(quantile(statistics.firstMs, 0.5));
    row["firstMsP99"] = jsonNumber(quantile(statistics.firstMs, 0.99));
    row["wholeMsP50"] = jsonNumber(quantile(statistics.totalMs, 0.5));
    row["blocksLocal"] = jsonNumber(static_cast<double>(statistics.local));
    row["blocksFetched"] = jsonNumber(static_cast<double>(statistics.fetched));
    row["blocksComputed"] = jsonNumber(static_cast<double>(statistics.computed));
    row["retries"] = jsonNumber(static_cast<double>(statistics.retries));
    row["torn"] = jsonNumber(static_cast<double>(statistics.interrupted));
    JsonObject statuses;
    for (const auto& [status, number] : statistics.statuses) statuses[status] = jsonNumber(static_cast<double>(number));
    row["verdicts"] = Json(statuses);
    results[name] = Json(row);
    if (at == kinds.size()) continue;
    total.sent += statistics.sent;
    total.done += statistics.done;
    total.local += statistics.local;
    total.fetched += statistics.fetched;
    total.computed += statistics.computed;
    total.retries += statistics.retries;
    total.interrupted += statistics.interrupted;
    total.firstMs.insert(total.firstMs.end(), statistics.firstMs.begin(), statistics.firstMs.end());
    total.totalMs.insert(total.totalMs.end(), statistics.totalMs.begin(), statistics.totalMs.end());
    for (const auto& [status, number] : statistics.statuses) total.statuses[status] += number;
  }
  for (const auto& [status, number] : total.statuses)
    std::cout << "verdict   " << std::setw(7) << number << "  " << status << "\n";
  if (scheduledRetries > 0) std::cout << "came back: " << scheduledRetries << "\n";
  if (openAttempts > 0) std::cout << "open at the end: " << openAttempts << "\n";
  if (everySecond > 0) {
    std::cout << "second   done  not done  ttft p50  ttft p99  fetched%\n";
    for (int second = 0; second < static_cast<int>(seconds); ++second)
      std::cout << std::setw(6) << second << std::setw(7) << successesBySecond[second].first << std::setw(10)
                << failuresBySecond[second] << std::setw(10) << quantile(successesBySecond[second].second, 0.5)
                << std::setw(10) << quantile(successesBySecond[second].second, 0.99) << std::setw(10)
                << 100.0 * static_cast<double>(blocksBySecond[second].first) /
                       static_cast<double>(std::max<std::int64_t>(1, blocksBySecond[second].second))
                << "\n";
  }
  if (!jsonFile.empty()) std::ofstream(jsonFile) << Json(results).serialize(true);
  return 0;
}
