#include <algorithm>
#include <condition_variable>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "process.hpp"

using namespace tt;

namespace {

/// A kind of request, as the kinds file describes it: how often it is sent, and the size of its prompt. Each prompt
/// starts with one of `prefixes` shared prefixes of sharedBytes.
struct Kind {
  std::string name, route, model;
  double rate{1};
  std::size_t sharedBytes{0}, ownBytes{200};
  int prefixes{1}, tokens{16};
  bool repeatable{false};
  std::vector<std::string> keys;
};
/// Counts and measurements of one kind. Latencies count from the time at which a request was due, so that a delay in
/// the load generator or the proxy is not left out.
struct Tally {
  std::int64_t sent{0}, done{0}, local{0}, fetched{0}, computed{0}, tries{0}, unfinished{0}, torn{0};
  std::vector<double> firstMs, wholeMs;
  std::map<std::string, std::int64_t> verdicts;
};
/// One attempt to send a request. Attempts of the same request have the same intent.
struct Shot {
  std::size_t kind{0}, prefix{0};
  TimePoint due{};
  std::string key, proxy, intent;
  int attempt{1};
  std::uint64_t own{0};
};
/// What has been received of the response to one attempt.
struct Seen {
  bool first{false}, last{false}, gone{false};
  std::string text, verdict;
  int retryAfterMs{0};
  TimePoint lastAt{};
};

Result<std::vector<Kind>> readKinds(const std::string& text) {
  auto read = parseObject(text, {"kinds"});
  if (!read) return read.error();
  auto rows = read.value().find("kinds");
  if (rows == read.value().end() || !rows->second.is<JsonArray>()) return makeError(Code::missingField, "kinds");
  std::vector<Kind> kinds;
  for (const auto& row : rows->second.get<JsonArray>()) {
    Kind kind;
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
std::string words(const std::string& seed, std::size_t bytes) {
  std::string text;
  for (std::uint64_t at = 0; text.size() < bytes; ++at)
    text += std::to_string(rendezvousHash(seed, std::to_string(at))) + " ";
  text.resize(bytes);
  return text;
}

double quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

}  // namespace

int main(int count, char** arguments) {
  std::string kindsFile, jsonFile, recordFile;
  std::vector<std::string> proxies;
  double seconds = 20, seed = 1, scale = 1, everySecond = 0, obey = 0, ignore = 0, move = 0, hangUps = 0;
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
      .number("obey", &obey, 0, 100,
              "per cent of unsuccessful attempts that are retried after the delay that the response names")
      .number("ignore", &ignore, 0, 100, "per cent that are retried at once")
      .number("move", &move, 0, 100, "per cent that are retried at once at the next proxy")
      .number("hangUps", &hangUps, 0, 100, "per cent of callers that disconnect within 600 ms");
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
  std::vector<Shot> shots;
  TimePoint start = Clock::now() + 200ms;
  std::vector<std::vector<std::string>> shared(kinds.size());
  for (std::size_t at = 0; at < kinds.size(); ++at) {
    const auto& kind = kinds[at];
    for (int number = 0; number < kind.prefixes; ++number)
      shared[at].push_back(words(kind.name + std::to_string(number), kind.sharedBytes));
    std::exponential_distribution<double> gap(kind.rate * scale);
    for (double when = gap(randomSource); when < seconds; when += gap(randomSource)) {
      Shot shot;
      shot.kind = at;
      shot.due = start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(when));
      shot.key = kind.keys[randomSource() % kind.keys.size()];
      shot.proxy = proxies[randomSource() % proxies.size()];
      shot.prefix = randomSource() % shared[at].size();
      shot.own = randomSource();
      shots.push_back(std::move(shot));
    }
  }
  std::sort(shots.begin(), shots.end(), [](const Shot& one, const Shot& other) { return one.due < other.due; });

  std::ofstream record;
  if (!recordFile.empty()) {
    record.open(recordFile, std::ios::app);
    if (!record) return reportStartFailure(makeError(Code::badProps, "recordFile", "cannot be written"));
  }
  std::mutex lock;
  std::condition_variable wake;
  std::multimap<TimePoint, Shot> due;
  std::multimap<TimePoint, std::uint64_t> drops;
  std::map<std::uint64_t, std::function<void()>> dropped;
  std::string runMark = "mark-" + std::to_string(static_cast<std::uint64_t>(seed)) + "-" +
                        std::to_string(toNanoseconds(start) / 1000000 % 100000000) + "-";
  std::size_t shotNumber = 0;
  for (auto& shot : shots) {
    shot.intent = runMark + std::to_string(++shotNumber);
    due.emplace(shot.due, shot);
  }
  std::vector<Tally> tallies(kinds.size());
  std::map<int, std::pair<std::int64_t, std::vector<double>>> seconds_;
  std::map<int, std::int64_t> failedAt;
  std::map<int, std::pair<std::int64_t, std::int64_t>> blocksAt;
  std::int64_t open = 0, cameBack = 0;
  WebClient calls;
  auto tell = [&](const Shot& shot, const Seen& seen, TimePoint sentAt) {
    if (!record.is_open()) return;
    const auto& kind = kinds[shot.kind];
    JsonObject row;
    row["intent"] = Json(shot.intent);
    row["mark"] = Json(shot.intent + "-" + std::to_string(shot.attempt));
    row["kind"] = Json(kind.name);
    row["key"] = Json(shot.key);
    row["proxy"] = Json(shot.proxy);
    row["repeatable"] = Json(kind.repeatable);
    row["tokens"] = jsonNumber(kind.tokens);
    row["sentAt"] = Json(std::to_string(toNanoseconds(sentAt)));
    row["lastAt"] = Json(std::to_string(toNanoseconds(seen.lastAt)));
    row["verdict"] = Json(seen.gone ? std::string("hung up") : seen.verdict);
    row["text"] = Json(seen.text);
    record << Json(row).serialize() << "\n" << std::flush;
  };
  auto comeBack = [&](const Shot& shot, const Seen& seen) {
    bool knows = seen.verdict == "not run" || seen.verdict == "no connection";
    if (seen.verdict == "done" || shot.attempt >= 5 || !(knows || kinds[shot.kind].repeatable) ||
        (seen.verdict == "not run" && seen.retryAfterMs <= 0))
      return;
    double share = static_cast<double>(randomSource() % 10000) / 100;
    if (share >= obey + ignore + move) return;
    Shot again = shot;
    ++again.attempt;
    again.due = Clock::now() +
                (share < obey ? Duration(std::chrono::milliseconds(std::max(seen.retryAfterMs, 200))) : Duration(20ms));
    if (share >= obey + ignore)
      for (std::size_t at = 0; at < proxies.size(); ++at)
        if (proxies[at] == shot.proxy) {
          again.proxy = proxies[(at + 1) % proxies.size()];
          break;
        }
    ++cameBack;
    due.emplace(again.due, again);
    wake.notify_one();
  };
  auto send = [&](const Shot& shot) {
    const auto& kind = kinds[shot.kind];
    JsonObject body;
    body["route"] = Json(kind.route);
    body["model"] = Json(kind.model);
    body["maxTokens"] = jsonNumber(kind.tokens);
    body["repeatable"] = Json(kind.repeatable);
    JsonArray parts;
    if (kind.sharedBytes) parts.push_back(Json(shared[shot.kind][shot.prefix]));
    parts.push_back(Json(shot.intent + "-" + std::to_string(shot.attempt) + " " +
                         words("own" + std::to_string(shot.own), kind.ownBytes)));
    body["parts"] = Json(parts);
    WebCall call;
    call.method = "POST";
    call.url = "http://" + shot.proxy + "/v1/orders";
    call.bearer = shot.key;
    call.body = Json(body).serialize();
    call.totalTimeout = 30s;
    call.noResend = true;
    auto seen = std::make_shared<Seen>();
    TimePoint sentAt = Clock::now();
    auto count_ = [&, shot, seen](const Json& verdict) {
      seen->last = true;
      auto& tally = tallies[shot.kind];
      seen->verdict = stringOr(verdict, "verdict");
      seen->retryAfterMs = static_cast<int>(integerOr(verdict, "retryAfterMs", 0));
      ++tally.verdicts[seen->verdict + " " + std::to_string(integerOr(verdict, "code", 0)) + " " +
                       stringOr(verdict, "name")];
      tally.tries += std::max<std::int64_t>(0, integerOr(verdict, "tries", 0) - 1);
      int second = static_cast<int>(toMilliseconds(shot.due - start) / 1000);
      if (seen->verdict == "done") {
        ++tally.done;
        ++seconds_[second].first;
        tally.wholeMs.push_back(std::chrono::duration<double, std::milli>(Clock::now() - shot.due).count());
        const auto& fields = verdict.get<JsonObject>();
        if (auto blocks = fields.find("blocks"); blocks != fields.end()) {
          auto& shares = blocksAt[second];
          std::int64_t local = integerOr(blocks->second, "local", 0), fetched = integerOr(blocks->second, "fetched", 0),
                       computed = integerOr(blocks->second, "computed", 0);
          tally.local += local;
          tally.fetched += fetched;
          tally.computed += computed;
          shares.first += fetched;
          shares.second += local + fetched + computed;
        }
      } else {
        ++failedAt[second];
      }
    };
    std::lock_guard<std::mutex> guard(lock);
    ++open;
    ++tallies[shot.kind].sent;
    std::uint64_t callId = calls.start(
        std::move(call),
        [&, shot, seen, sentAt, count_](const WebResult& result) {
          std::lock_guard<std::mutex> guard(lock);
          if (seen->gone) return;
          if (!seen->last) {
            auto verdict = parseJson(result.body);
            if (verdict && verdict.value().is<JsonObject>() && !stringOr(verdict.value(), "verdict").empty()) {
              count_(verdict.value());
            } else {
              ++(seen->first ? tallies[shot.kind].torn : tallies[shot.kind].unfinished);
              seen->verdict = result.requestUnsent ? "no connection" : seen->first ? "stream torn" : "no verdict";
              ++tallies[shot.kind].verdicts[seen->verdict];
              ++failedAt[static_cast<int>(toMilliseconds(shot.due - start) / 1000)];
            }
          }
          tell(shot, *seen, sentAt);
          comeBack(shot, *seen);
          seen->gone = true;
          --open;
          wake.notify_one();
        },
        [&, shot, seen, count_](const std::string& line) {
          auto read = parseJson(line);
          if (!read || !read.value().is<JsonObject>()) return;
          std::lock_guard<std::mutex> guard(lock);
          if (seen->gone) return;
          if (!stringOr(read.value(), "verdict").empty()) return count_(read.value());
          seen->text += stringOr(read.value(), "text");
          seen->lastAt = Clock::now();
          if (seen->first) return;
          seen->first = true;
          double firstMs = std::chrono::duration<double, std::milli>(Clock::now() - shot.due).count();
          tallies[shot.kind].firstMs.push_back(firstMs);
          seconds_[static_cast<int>(toMilliseconds(shot.due - start) / 1000)].second.push_back(firstMs);
        });
    if (static_cast<double>(randomSource() % 10000) / 100 < hangUps) {
      drops.emplace(Clock::now() + std::chrono::milliseconds(randomSource() % 600), callId);
      dropped[callId] = [&, shot, seen, sentAt] {
        if (seen->gone || seen->last) return;
        seen->gone = true;
        ++tallies[shot.kind].verdicts["hung up"];
        tell(shot, *seen, sentAt);
        --open;
      };
    }
  };
  TimePoint last = start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)) + 35s;
  while (Clock::now() < last) {
    std::optional<Shot> next;
    {
      std::unique_lock<std::mutex> guard(lock);
      while (!drops.empty() && drops.begin()->first <= Clock::now()) {
        std::uint64_t callId = drops.begin()->second;
        drops.erase(drops.begin());
        calls.drop(callId);
        dropped[callId]();
        dropped.erase(callId);
      }
      if (due.empty() && open == 0) break;
      TimePoint until = Clock::now() + 100ms;
      if (!due.empty()) until = std::min(until, due.begin()->first);
      if (!drops.empty()) until = std::min(until, drops.begin()->first);
      if (due.empty() || due.begin()->first > Clock::now()) {
        wake.wait_until(guard, until);
        continue;
      }
      next = std::move(due.begin()->second);
      due.erase(due.begin());
    }
    send(*next);
  }

  std::lock_guard<std::mutex> guard(lock);
  JsonObject whole;
  std::cout << std::fixed << std::setprecision(1);
  std::cout << "kind        sent   rate/s   done  ttft p50  ttft p99  whole p50  local%  fetched%  computed%  retry%\n";
  Tally all;
  for (std::size_t at = 0; at <= kinds.size(); ++at) {
    const Tally& tally = at < kinds.size() ? tallies[at] : all;
    std::string name = at < kinds.size() ? kinds[at].name : "all";
    double blocks = std::max(1.0, static_cast<double>(tally.local + tally.fetched + tally.computed));
    double sent = std::max(1.0, static_cast<double>(tally.sent));
    std::cout << std::left << std::setw(10) << name << std::right << std::setw(6) << tally.sent << std::setw(9)
              << static_cast<double>(tally.sent) / seconds << std::setw(7) << tally.done << std::setw(10)
              << quantile(tally.firstMs, 0.5) << std::setw(10) << quantile(tally.firstMs, 0.99) << std::setw(11)
              << quantile(tally.wholeMs, 0.5) << std::setw(8) << 100.0 * static_cast<double>(tally.local) / blocks
              << std::setw(10) << 100.0 * static_cast<double>(tally.fetched) / blocks << std::setw(11)
              << 100.0 * static_cast<double>(tally.computed) / blocks << std::setw(8)
              << 100.0 * static_cast<double>(tally.tries) / sent << "\n";
    JsonObject row;
    row["sent"] = jsonNumber(static_cast<double>(tally.sent));
    row["done"] = jsonNumber(static_cast<double>(tally.done));
    row["firstMsP50"] = jsonNumber(quantile(tally.firstMs, 0.5));
    row["firstMsP99"] = jsonNumber(quantile(tally.firstMs, 0.99));
    row["wholeMsP50"] = jsonNumber(quantile(tally.wholeMs, 0.5));
    row["blocksLocal"] = jsonNumber(static_cast<double>(tally.local));
    row["blocksFetched"] = jsonNumber(static_cast<double>(tally.fetched));
    row["blocksComputed"] = jsonNumber(static_cast<double>(tally.computed));
    row["retries"] = jsonNumber(static_cast<double>(tally.tries));
    row["torn"] = jsonNumber(static_cast<double>(tally.torn));
    JsonObject verdicts;
    for (const auto& [word, number] : tally.verdicts) verdicts[word] = jsonNumber(static_cast<double>(number));
    row["verdicts"] = Json(verdicts);
    whole[name] = Json(row);
    if (at == kinds.size()) continue;
    all.sent += tally.sent;
    all.done += tally.done;
    all.local += tally.local;
    all.fetched += tally.fetched;
    all.computed += tally.computed;
    all.tries += tally.tries;
    all.torn += tally.torn;
    all.firstMs.insert(all.firstMs.end(), tally.firstMs.begin(), tally.firstMs.end());
    all.wholeMs.insert(all.wholeMs.end(), tally.wholeMs.begin(), tally.wholeMs.end());
    for (const auto& [word, number] : tally.verdicts) all.verdicts[word] += number;
  }
  for (const auto& [word, number] : all.verdicts)
    std::cout << "verdict   " << std::setw(7) << number << "  " << word << "\n";
  if (cameBack > 0) std::cout << "came back: " << cameBack << "\n";
  if (open > 0) std::cout << "open at the end: " << open << "\n";
  if (everySecond > 0) {
    std::cout << "second   done  not done  ttft p50  ttft p99  fetched%\n";
    for (int second = 0; second < static_cast<int>(seconds); ++second)
      std::cout << std::setw(6) << second << std::setw(7) << seconds_[second].first << std::setw(10) << failedAt[second]
                << std::setw(10) << quantile(seconds_[second].second, 0.5) << std::setw(10)
                << quantile(seconds_[second].second, 0.99) << std::setw(10)
                << 100.0 * static_cast<double>(blocksAt[second].first) /
                       static_cast<double>(std::max<std::int64_t>(1, blocksAt[second].second))
                << "\n";
  }
  if (!jsonFile.empty()) std::ofstream(jsonFile) << Json(whole).serialize(true);
  return 0;
}
