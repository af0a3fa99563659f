#include "scenario.hpp"

#include <algorithm>
#include <cstdio>
#include <sstream>

namespace tt {
namespace {
/// The seconds that a process has to end in order, where a scenario does not say.
constexpr double graceUsual = 8;

struct Line {
  int number{0};
  double at{-1};
  std::vector<std::string> words;
  std::string rest;
};

constexpr std::uint64_t controlSeeds = 12;
constexpr double mostOfAFleet = 100000;
constexpr const char* healing[] = {" start ", " heal", " unstall ", " unfill ", " unmark "};

double quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}
Duration secondsOf(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

class Runner {
 public:
  Runner(const std::string& text, std::optional<std::uint64_t> seed, std::string traced)
      : traceKind(std::move(traced)) {
    std::istringstream source(text);
    std::string row;
    for (int number = 1; std::getline(source, row); ++number) {
      if (auto hash = row.find('#'); hash != std::string::npos) row.resize(hash);
      std::istringstream words(row);
      Line line;
      line.number = number;
      for (std::string word; words >> word;) line.words.push_back(word);
      if (line.words.empty()) continue;
      if (line.words[0] == "at") {
        if (line.words.size() < 3) {
          wrong(line, "'at SECONDS VERB'");
          continue;
        }
        line.at = std::atof(line.words[1].c_str());
        auto verb = row.find(line.words[2], row.find(line.words[1]) + line.words[1].size());
        line.rest = row.substr(verb + line.words[2].size());
        line.words.erase(line.words.begin(), line.words.begin() + 2);
        steps.push_back(line);
      } else if (line.words[0] == "fleet") {
        setFleet(line);
      } else if ((line.words[0] == "seed" || line.words[0] == "until") && line.words.size() < 2) {
        wrong(line, "'" + line.words[0] + " NUMBER'");
      } else if (line.words[0] == "seed") {
        ownSeed = std::strtoull(line.words.at(1).c_str(), nullptr, 10);
      } else if (line.words[0] == "until") {
        until = std::atof(line.words.at(1).c_str());
      } else if (line.words[0] == "expect") {
        expects.push_back(line);
      } else if (line.words[0] == "without" || line.words[0] == "control") {
        bool control = line.words[0] == "control";
        auto defence = Defences::named(line.words.size() > 1 ? line.words[1] : "");
        const auto& lines = invariantNames();
        if (!defence)
          wrong(line, "no such defence");
        else if (control &&
                 (line.words.size() < 3 || std::find(lines.begin(), lines.end(), line.words[2]) == lines.end()))
          wrong(line, "no such line of what must never happen");
        else if (control)
          controls.push_back({*defence, line.words[1], line.words[2]});
        else
          without.push_back(*defence);
      } else if (line.words[0] != "title") {
        wrong(line, "unknown word " + line.words[0]);
      }
    }
    if (seed) ownSeed = *seed;
    std::stable_sort(steps.begin(), steps.end(), [](const Line& one, const Line& other) { return one.at < other.at; });
  }

  struct Control {
    Defence defence;
    std::string name, line;
  };
  const std::vector<std::string>& found() const { return failures; }
  const std::vector<Control>& controlRuns() const { return controls; }
  void disable(Defence defence) { without.push_back(defence); }
  std::uint64_t seedInUse() const { return ownSeed; }

  /// Which lines broke, whatever else the run came to.
  std::set<std::string> brokenLines() {
    run();
    std::set<std::string> lines;
    if (world)
      for (const auto& violation : world->violations) lines.insert(violation.invariant);
    return lines;
  }

  ScenarioResult run() {
    ScenarioResult result;
    result.seed = ownSeed;
    if (!failures.empty()) {
      result.failures = failures;
      return result;
    }
    world = std::make_unique<World>(shape, ownSeed);
    world->trace = traceKind;
    start = world->now();
    for (auto defence : without) world->disable(defence);
    for (const auto& line : steps) {
      world->runUntil(start + secondsOf(line.at));
      step(line);
    }
    world->runUntil(start + secondsOf(until));
    world->checkEnd();
    for (const auto& violation : world->violations) {
      char stamp[32];
      std::snprintf(stamp, sizeof stamp, "%.3f", std::chrono::duration<double>(violation.at - start).count());
      failures.push_back("must never happen: " + violation.invariant + " at " + stamp + "s: " + violation.text);
    }
    for (const auto& line : expects) check(line);
    result.figures = figures();
    result.operations = world->historyCheckResult().operations;
    result.unclear = world->historyCheckResult().unclear;
    result.failures = failures;
    result.passed = failures.empty();
    return result;
  }

 private:
  FleetShape shape;
  std::uint64_t ownSeed{1};
  double until{20};
  std::vector<Line> steps, expects;
  std::vector<std::string> failures;
  std::vector<Defence> without;
  std::vector<Control> controls;
  std::unique_ptr<World> world;
  std::string traceKind;
  TimePoint start;

  void wrong(const Line& line, const std::string& reason) {
    failures.push_back("line " + std::to_string(line.number) + ": " + reason);
  }

  void setFleet(const Line& line) {
    for (std::size_t at = 1; at + 1 < line.words.size(); at += 2) {
      const std::string& key = line.words[at];
      double value = std::atof(line.words[at + 1].c_str());
      if (!(value >= 0 && value <= mostOfAFleet)) {
        wrong(line, key + " is from 0 to " + std::to_string(static_cast<int>(mostOfAFleet)));
        continue;
      }
      if (key == "spares")
        shape.spares = static_cast<int>(value);
      else if (key == "cores")
        shape.cores = static_cast<int>(value);
      else if (key == "edges")
        shape.edges = static_cast<int>(value);
      else if (key == "workers")
        shape.workers = static_cast<int>(value);
      else if (key == "tenants")
        shape.tenants = static_cast<int>(value);
      else if (key == "plan")
        shape.planRate = value;
      else if (key == "swap")
        shape.swapRate = value;
      else if (key == "reminder")
        shape.reminderRate = value;
      else if (key == "app")
        shape.appRate = value;
      else if (key == "loadMs")
        shape.loadMs = static_cast<int>(value);
      else if (key == "keepMost")
        shape.maxCachedBlocks = static_cast<std::size_t>(value);
      else if (key == "tokenMs")
        shape.tokenMs = value;
      else if (key == "rolloutSpan")
        shape.rolloutSpread = secondsOf(value);
      else if (key == "rolloutParts")
        shape.rolloutParts = std::max(1, static_cast<int>(value));
      else if (key == "slots")
        shape.slots = static_cast<int>(value);
      else if (key == "fetching")
        shape.fetching = value > 0;
      else if (key == "localities") {
        shape.zones.clear();
        for (int number = 1; number <= static_cast<int>(value); ++number)
          shape.zones.push_back("ghent-" + std::to_string(number));
      } else
        wrong(line, "unknown fleet key " + key);
    }
  }

  std::vector<std::string> named(const std::string& word) {
    if (word.find(',') != std::string::npos) {
      std::vector<std::string> rows;
      std::stringstream list(word);
      for (std::string item; std::getline(list, item, ',');)
        for (const auto& name : named(item)) rows.push_back(name);
      return rows;
    }
    if (word[0] == '@') {
      std::string holder = world->holderOf(word.substr(1));
      return holder.empty() ? std::vector<std::string>{} : std::vector<std::string>{holder};
    }
    std::vector<std::string> rows;
    if (word.rfind("locality:", 0) == 0) {
      for (const auto& name : world->zoneMembers(word.substr(9))) rows.push_back(name);
      return rows;
    }
    for (auto [group, prefix] :
         {std::pair{"cores", "core-"}, {"workers", "worker-"}, {"agents", "agent-"}, {"proxies", "proxy-"}})
      if (word == group) {
        for (const auto& name : world->names())
          if (name.rfind(prefix, 0) == 0) rows.push_back(name);
        return rows;
      }
    if (word.rfind("edge-", 0) == 0) return {"agent-" + word.substr(5), "proxy-" + word.substr(5)};
    if (world->names().count(word)) return {word};
    failures.push_back("no such machine: " + word);
    return rows;
  }

  static bool beside(const std::string& one, const std::string& other) {
    return one.substr(one.rfind('-') + 1) == other.substr(other.rfind('-') + 1) &&
           ((one.rfind("agent-", 0) == 0 && other.rfind("proxy-", 0) == 0) ||
            (one.rfind("proxy-", 0) == 0 && other.rfind("agent-", 0) == 0));
  }

  void step(const Line& line) {
    const auto& words = line.words;
    const std::string& verb = words[0];
    auto word = [&](std::size_t at) { return at < words.size() ? words[at] : std::string(); };
    auto number = [&](std::size_t at) { return std::atof(word(at).c_str()); };
    auto each = [&](const std::function<void(const std::string&)>& action) {
      for (std::size_t at = 1; at < words.size(); ++at)
        for (const auto& name : named(words[at])) action(name);
    };
    if (verb == "kill") {
      each([&](const std::string& name) { world->kill(name); });
    } else if (verb == "leave") {
      for (const auto& name : named(word(1)))
        if (name.rfind("proxy-", 0) == 0) world->leave(name, secondsOf(words.size() > 2 ? number(2) : graceUsual));
    } else if (verb == "start") {
      each([&](const std::string& name) { world->start(name); });
    } else if (verb == "freeze") {
      for (const auto& name : named(word(1))) world->freeze(name, secondsOf(number(2)));
    } else if (verb == "freeze-at-sending") {
      for (const auto& name : named(word(1))) world->freeze(name, secondsOf(number(2)), true);
    } else if (verb == "wipe") {
      each([&](const std::string& name) { world->wipeDisk(name); });
    } else if (verb == "move") {
      each([&](const std::string& name) { world->moveAddress(name); });
    } else if (verb == "stall" || verb == "unstall") {
      each([&](const std::string& name) { world->disk(name)->stalled = verb == "stall"; });
    } else if (verb == "fill" || verb == "unfill") {
      each([&](const std::string& name) { world->disk(name)->full = verb == "fill"; });
    } else if (verb == "on-ack") {
      std::string id = word(1);
      std::vector<std::string> rest(words.begin() + 3, words.end());
      world->onAck(id, [this, rest] {
        for (const auto& part : rest)
          for (const auto& name : named(part)) world->kill(name);
      });
    } else if (verb == "on-next-ack") {
      Line inner = line;
      inner.words.erase(inner.words.begin());
      world->onNextAck(inner.words.empty() ? std::function<void()>() : [this, inner] { step(inner); });
    } else if (verb == "operators") {
      runOperators(line);
    } else if (verb == "on-note") {
      Line inner = line;
      inner.words.erase(inner.words.begin(), inner.words.begin() + 2);
      world->onNote(spaced(word(1)), [this, inner] { step(inner); });
    } else if (verb == "lie") {
      each([&](const std::string& name) { world->disk(name)->lying = true; });
    } else if (verb == "slow-disk") {
      for (const auto& name : named(word(1))) world->disk(name)->syncSpan = secondsOf(number(2) / 1000);
    } else if (verb == "corrupt") {
      each([&](const std::string& name) {
        world->kill(name);
        auto* disk = world->disk(name);
        auto& row = disk->rows[disk->lastFile];
        row[std::min<std::size_t>(row.size() - 1, disk->lastOffset / 2)] ^= 0x10;
      });
    } else if (verb == "cut" || verb == "cut-one") {
      for (const auto& one : named(word(1)))
        for (const auto& other : named(word(2)))
          if (one != other) world->cut(one, other, verb == "cut");
    } else if (verb == "cut-off") {
      std::set<std::string> inside;
      each([&](const std::string& name) { inside.insert(name); });
      for (const auto& one : inside)
        for (const auto& other : world->names())
          if (!inside.count(other) && !beside(one, other)) world->cut(one, other);
    } else if (verb == "cut-out" || verb == "cut-in") {
      each([&](const std::string& name) {
        for (const auto& other : world->names()) {
          if (other == name) continue;
          if (verb == "cut-out")
            world->cut(name, other, false);
          else
            world->cut(other, name, false);
        }
      });
    } else if (verb == "lose") {
      for (const auto& one : named(word(1)))
        for (const auto& other : named(word(2)))
          if (one != other && !beside(one, other)) world->lose(one, other, static_cast<int>(number(3)));
    } else if (verb == "heal") {
      world->heal();
    } else if (verb == "change") {
      world->change(line.rest, false, {}, -1, 1 + static_cast<int>(world->randomSource()() % 4));
    } else if (verb == "change-id" || verb == "lost-answer") {
      std::istringstream rest(line.rest);
      std::string id, body;
      rest >> id;
      std::getline(rest, body);
      world->change(body, false, id, -1, 1 + static_cast<int>(world->randomSource()() % 4), verb == "lost-answer");
    } else if (verb == "change-if") {
      std::istringstream rest(line.rest);
      std::string id, body;
      std::int64_t revision = 0;
      rest >> id >> revision;
      std::getline(rest, body);
      world->change(body, false, id, revision, 1 + static_cast<int>(world->randomSource()() % 4));
    } else if (verb == "storm") {
      for (int at = 0; at < static_cast<int>(number(1)); ++at)
        world->change("{\"routes\":{\"" + (words.size() > 2 ? word(2) : std::string("r")) + std::to_string(at) +
                          "\":{\"model\":\"rooster-llm\",\"policy\":\"p\"}}}",
                      false, {}, -1, 1 + at % 4);
    } else if (verb == "revoke") {
      world->revoke(word(1));
    } else if (verb == "name") {
      world->nameWeights(word(1));
    } else if (verb == "mark" || verb == "unmark") {
      each([&](const std::string& name) { world->mark(name, verb == "mark"); });
    } else if (verb == "remove") {
      each([&](const std::string& name) { world->platform().remove(name); });
    } else if (verb == "list") {
      each([&](const std::string& name) { world->list(name); });
    } else if (verb == "restore") {
      world->restore(word(1));
    } else if (verb == "crash-at") {
      world->crashAt(word(1), static_cast<int>(number(2)));
    } else if (verb == "relocate") {
      for (const auto& name : named(word(1))) {
        auto machine = world->platform().machines().at(name);
        machine.zone = word(2);
        world->platform().set(machine);
      }
    } else if (verb == "load") {
      world->setLoad(number(1));
    } else if (verb == "habits") {
      world->callerHabits(static_cast<int>(number(1)), static_cast<int>(number(2)), static_cast<int>(number(3)));
    } else if (verb == "burst") {
      world->burst(word(1), number(2));
    } else if (verb == "leap") {
      for (const auto& name : named(word(1))) world->leap(name, secondsOf(number(2)));
    } else if (verb == "hangups") {
      world->callerHangUps(static_cast<int>(number(1)));
    } else if (verb == "fault") {
      for (const auto& name : named(word(1))) {
        auto* keeper = world->keeper(name);
        if (!keeper) continue;
        auto& faults = keeper->faults;
        if (word(2) == "lagMs")
          faults.lagMs = static_cast<int>(number(3));
        else if (word(2) == "loseEvents")
          faults.loseEvents = static_cast<int>(number(3));
        else if (word(2) == "forgetEvents")
          faults.forgetEvents = static_cast<int>(number(3));
        else if (word(2) == "stalled")
          faults.stalled = number(3) > 0;
        else if (word(2) == "anyWeights")
          faults.anyWeights = number(3) > 0;
        else if (word(2) == "loadFails")
          faults.loadFails = number(3) > 0;
        else if (word(2) == "silentReports")
          faults.silentReports = number(3) > 0;
        else if (word(2) == "loadMs")
          faults.loadMs = static_cast<int>(number(3));
        else if (word(2) == "queueMs")
          faults.queueMs = static_cast<int>(number(3));
        else if (word(2) == "linkMs")
          faults.linkMs = number(3);
        else
          wrong(line, "unknown fault " + word(2));
      }
    } else if (verb == "forget") {
      for (const auto& name : named(word(1)))
        if (auto* keeper = world->keeper(name)) {
          std::mt19937_64 randomSource(1);
          Effects effects{world->now(), randomSource, keeper->journal, {}, {}};
          keeper->clearCache(effects, false);
        }
    } else if (verb == "count-bytes") {
      world->countBytes = true;
    } else if (verb == "check") {
      checkNow(line);
    } else {
      wrong(line, "unknown verb " + verb);
    }
  }

  /// operators CLIENTS CHANGES [lose PERCENT] [pause MS] [same-number] [weights]
  void runOperators(const Line& line) {
    const auto& words = line.words;
    if (words.size() < 3) return wrong(line, "operators CLIENTS CHANGES");
    OperatorPlan plan;
    plan.clients = std::atoi(words[1].c_str());
    plan.changes = std::atoi(words[2].c_str());
    for (std::size_t at = 3; at < words.size(); ++at) {
      bool last = at + 1 >= words.size();
      if (words[at] == "lose" && !last)
        plan.lostResponsePercent = std::atoi(words[++at].c_str());
      else if (words[at] == "pause" && !last)
        plan.pause = std::chrono::milliseconds(std::atoi(words[++at].c_str()));
      else if (words[at] == "same-number")
        plan.consecutiveRevisions = true;
      else if (words[at] == "weights")
        plan.announcesWeights = true;
      else
        wrong(line, "unknown word " + words[at]);
    }
    world->runOperators(plan);
  }

  void failed(const Line& line, const std::string& got) {
    std::string text;
    for (const auto& word : line.words) text += word + " ";
    failures.push_back("line " + std::to_string(line.number) + ": " + text + "- got " + got);
  }

  bool compare(const Line& line, double value, std::size_t at) {
    const auto& words = line.words;
    if (words.size() < at + 2) {
      failed(line, "no sign and number to compare with");
      return false;
    }
    double bound = std::atof(words[at + 1].c_str());
    bool good = words[at] == ">="   ? value >= bound
                : words[at] == "<=" ? value <= bound
                                    : words[at] == "=" && value == bound;
    if (!good) failed(line, std::to_string(value));
    return good;
  }

  void checkNow(const Line& line) {
    const auto& words = line.words;
    std::string what = words.size() > 1 ? words[1] : "";
    if (what == "holders" && words.size() > 4) {
      compare(line, world->holdersOf(words[2]), 3);
    } else if (what == "not-holder" && words.size() > 3) {
      if (world->holderOf(words[2]) == words[3]) failed(line, words[3]);
    } else if (what == "fresh" && words.size() > 2) {
      double fresh = 0;
      for (const auto& name : named(words[2]))
        if (auto* node = world->agent(name)) fresh += node->fresh(world->localNow(name));
      compare(line, fresh, 3);
    } else if (what == "unconfirmed") {
      double unconfirmed = 0;
      for (const auto& name : named("cores"))
        if (auto* node = world->core(name))
          for (const auto& [zone, cell] : node->cellsByZone())
            if (world->holderOf("cell/" + zone) == name) unconfirmed += static_cast<double>(cell->unconfirmedCount());
      compare(line, unconfirmed, 2);
    } else if (what == "voters" || what == "members") {
      double voters = 0;
      std::string leader = world->holderOf("accord");
      if (!leader.empty())
        for (const auto& member : world->core(leader)->consensusLog().members())
          voters += what == "members" || member.votes;
      compare(line, voters, 2);
    } else if (what == "index-wrong") {
      compare(line, static_cast<double>(indexWrong()), 2);
    } else if (what == "weights" && words.size() > 4) {
      double on = 0;
      for (const auto& name : named("workers"))
        if (auto* keeper = world->keeper(name)) on += keeper->weights() == words[2] && !keeper->draining();
      compare(line, on, 3);
    } else if (what == "count" && words.size() > 4) {
      compare(line, static_cast<double>(world->count(spaced(words[2]))), 3);
    } else {
      wrong(line, "unknown check " + what);
    }
  }

  std::int64_t indexWrong() {
    std::int64_t wrongRows = 0;
    for (const auto& name : named("cores"))
      if (auto* node = world->core(name))
        for (const auto& [zone, cell] : node->cellsByZone()) {
          if (world->holderOf("cell/" + zone) != name) continue;
          for (const auto& [keeperName, keeper] : cell->cacheNodes()) {
            auto* truth = world->keeper(keeperName);
            if (!truth || !keeper.confirmed) continue;
            std::int64_t known = 0;
            for (const auto& hash : keeper.cachedBlocks) known += truth->hasBlock(hash);
            wrongRows += static_cast<std::int64_t>(keeper.cachedBlocks.size()) - known +
                         static_cast<std::int64_t>(truth->cachedBlockCount()) - known;
          }
        }
    return wrongRows;
  }

  static std::string spaced(std::string text) {
    std::replace(text.begin(), text.end(), '_', ' ');
    return text;
  }

  void check(const Line& line) {
    const auto& words = line.words;
    std::string what = words.size() > 1 ? words[1] : "";
    if (what == "served" && words.size() >= 8) {
      TimePoint from = start + secondsOf(std::atof(words[5].c_str())),
                to = start + secondsOf(std::atof(words[7].c_str()));
      double asked = 0, done = 0;
      for (const auto& [requestId, order] : world->orders()) {
        if (order.askedAt < from || order.askedAt >= to || order.gone ||
            order.code == static_cast<int>(Code::keyDenied))
          continue;
        if (words.size() > 9 && words[8] == "kind" && order.kind != words[9]) continue;
        if (words.size() > 9 && words[8] == "but" && order.key == words[9]) continue;
        ++asked;
        done += order.verdict == "done";
      }
      if (asked < 1) return failed(line, "no orders");
      compare(line, done / asked, 2);
    } else if (what == "verdicts" && words.size() >= 5) {
      double number = 0;
      for (const auto& [requestId, order] : world->orders()) number += order.verdict == spaced(words[2]);
      compare(line, number, 3);
    } else if (what == "unended") {
      double number = 0;
      for (const auto& [requestId, order] : world->orders())
        number += !order.ended && order.askedAt < world->now() - 15s;
      compare(line, number, 2);
    } else if (what == "count" && words.size() >= 5) {
      compare(line, static_cast<double>(world->count(spaced(words[2]))), 3);
    } else if (what == "acked") {
      double number = 0;
      for (const auto& ack : world->acks()) number += ack.acked && ack.code == static_cast<int>(Code::changeTaken);
      compare(line, number, 2);
    } else if (what == "ack-code" && words.size() >= 5) {
      for (const auto& ack : world->acks())
        if (ack.changeId == words[2]) return void(compare(line, ack.code, 3));
      failed(line, "no such change");
    } else if (what == "same-revision" && words.size() >= 3) {
      std::set<std::uint64_t> revisions;
      for (const auto& ack : world->acks())
        if (ack.changeId == words[2] && ack.acked) revisions.insert(ack.revision);
      if (revisions.size() != 1) failed(line, std::to_string(revisions.size()) + " revisions");
    } else if (what == "reach-ms") {
      double slowest = 0;
      for (const auto& ack : world->acks())
        if (ack.acked && ack.code == static_cast<int>(Code::changeTaken))
          slowest = std::max(
              slowest, ack.reached ? std::chrono::duration<double, std::milli>(ack.reachedAll - ack.at).count() : 1e9);
      compare(line, slowest, 2);
    } else if (what == "fetched-share") {
      double fetched = 0, all = 0;
      for (const auto& [requestId, order] : world->orders()) {
        fetched += order.fetched;
        all += order.fetched + order.local + order.computed;
      }
      compare(line, all > 0 ? fetched / all : 0, 2);
    } else {
      wrong(line, "unknown expectation " + what);
    }
  }

  std::string figures() {
    std::ostringstream out;
    std::map<std::string, int> verdicts;
    std::vector<double> first;
    double fetched = 0, local = 0, computed = 0;
    for (const auto& [requestId, order] : world->orders()) {
      ++verdicts[order.ended ? order.verdict : "open"];
      if (order.firstSeen) first.push_back(order.firstMs);
      fetched += order.fetched;
      local += order.local;
      computed += order.computed;
    }
    out << world->orders().size() << " orders:";
    for (const auto& [word, number] : verdicts) out << " " << word << " " << number << ",";
    double all = std::max(1.0, fetched + local + computed);
    char text[160];
    std::snprintf(text, sizeof text,
                  " ttft p50 %.0f p99 %.0f ms, blocks local %.0f%% fetched %.0f%% computed %.0f%%, retries %lld",
                  quantile(first, 0.5), quantile(first, 0.99), 100 * local / all, 100 * fetched / all,
                  100 * computed / all, static_cast<long long>(world->count("retry")));
    out << text;
    double slowest = 0;
    for (const auto& ack : world->acks())
      if (ack.reached)
        slowest = std::max(slowest, std::chrono::duration<double, std::milli>(ack.reachedAll - ack.at).count());
    out << ", slowest reach " << slowest << " ms";
    const auto& verdict = world->historyCheckResult();
    out << ", operators' operations " << verdict.operations << " (unclear " << verdict.unclear << ", steps "
        << verdict.steps << ", reads behind another " << verdict.nonMonotonicReads << ")";
    if (world->countBytes) {
      std::uint64_t most = 0;
      std::string who;
      for (const auto& [name, bytes] : world->bytesByNode)
        if (bytes > most) {
          most = bytes;
          who = name;
        }
      int deepest = 0;
      for (const auto& name : named("agents")) {
        std::string at = name;
        int depth = 1;
        for (; depth < 20; ++depth) {
          std::string next = world->nameAt(world->agent(at)->upstreamAddress());
          if (next.rfind("agent-", 0) != 0) break;
          at = next;
        }
        deepest = std::max(deepest, depth);
      }
      out << "; relay depth " << deepest << "; control bytes " << world->bytesSent << ", most by " << who << " "
          << most;
      for (const auto& [kind, row] : world->trafficByKind)
        out << "\n      " << kind << " " << row.first << " messages " << row.second << " bytes";
    }
    return out.str();
  }
};

}  // namespace

ScenarioResult runScenario(const std::string& text, std::optional<std::uint64_t> seed, const std::string& trace,
                           bool withControls) {
  Runner runner(text, seed, trace);
  auto result = runner.run();
  if (!withControls) return result;
  for (const auto& control : runner.controlRuns()) {
    bool caught = false;
    for (std::uint64_t more = 0; more < controlSeeds && !caught; ++more) {
      Runner bare(text, runner.seedInUse() + more, {});
      bare.disable(control.defence);
      caught = bare.brokenLines().count(control.line) > 0;
    }
    if (!caught)
      result.failures.push_back("without " + control.name + " the line " + control.line +
                                " was not broken: the run proves nothing");
  }
  result.passed = result.failures.empty();
  return result;
}

std::vector<std::string> checkScenario(const std::string& text) { return Runner(text, std::nullopt, {}).found(); }

std::string reduceScenario(const std::string& text, std::uint64_t seed) {
  auto sign = [&](const std::string& tried) -> std::string {
    auto result = runScenario(tried, seed, {}, false);
    if (result.passed || result.failures.empty()) return {};
    std::string first = result.failures.front();
    return first.substr(0, first.find(" at "));
  };
  std::string wanted = sign(text);
  if (wanted.empty()) return text;
  std::vector<std::string> lines;
  std::istringstream source(text);
  for (std::string line; std::getline(source, line);) lines.push_back(line);
  auto joined = [](const std::vector<std::string>& rows) {
    std::string made;
    for (const auto& row : rows) made += row + "\n";
    return made;
  };
  for (bool shorter = true; shorter;) {
    shorter = false;
    for (std::size_t at = 0; at < lines.size(); ++at) {
      if (lines[at].rfind("at ", 0) != 0) continue;
      if (std::any_of(std::begin(healing), std::end(healing),
                      [&](const char* verb) { return lines[at].find(verb) != std::string::npos; }))
        continue;
      auto tried = lines;
      tried.erase(tried.begin() + static_cast<std::ptrdiff_t>(at));
      if (sign(joined(tried)) != wanted) continue;
      lines = tried;
      shorter = true;
      --at;
    }
  }
  return joined(lines);
}

}  // namespace tt
