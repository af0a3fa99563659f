#include <atomic>
#include <mutex>
#include <thread>

#include "search.hpp"

namespace tt::model {
namespace {
/// A run without faults in which the replicas elect a leader.
constexpr int electionRunMs = 2500;
/// Length of a round of a run; see ModelWorld::runWithoutFaults().
constexpr int roundMs = 20;

/// Chooses the events of one random walk. The probability of each kind of fault is chosen once per walk, so that walks
/// differ in their kinds of faults.
class Walker {
 public:
  Walker(ModelWorld& modelWorld, std::uint64_t seed) : world(modelWorld), random(seed) {
    dropPercent = static_cast<int>(randomBelow(4)) * 4;
    duplicatePercent = static_cast<int>(randomBelow(3)) * 2;
    faultPercent = 1 + static_cast<int>(randomBelow(4)) * 2;
    waitProfile = static_cast<int>(randomBelow(3));
    syncPercent = 4 + static_cast<int>(randomBelow(3)) * 6;
    allowsLeave = randomBelow(3) == 0;
    allowsDiskLoss = randomBelow(2) == 0;
  }

  /// Executes events until there were enough of them or a rule is violated. At the end of some walks, many machines
  /// fail at once; then liveness is checked.
  std::vector<Choice> run(int events) {
    if (randomBelow(5) > 0) tryEvent(Choice{ChoiceKind::run, 0, 0, 0, electionRunMs, randomSeed()});
    while (static_cast<int>(choices.size()) < events && !world.violation()) step();
    if (!world.violation() && randomBelow(3) == 0) crashVoters();
    if (!world.violation()) tryEvent(Choice{ChoiceKind::live, 0, 0, 0, 0, randomSeed()});
    return choices;
  }

 private:
  ModelWorld& world;
  std::mt19937_64 random;
  std::vector<Choice> choices;
  /// Percentages of messages that are dropped and duplicated; and of events that are faults and disk syncs.
  /// `waitProfile`: 0 allows long runs without faults, 2 makes long waits rare.
  int dropPercent{0}, duplicatePercent{0}, faultPercent{0}, waitProfile{0}, syncPercent{10}, nextChange{0};
  /// Whether machines are shut down cleanly, and whether disks are lost.
  bool allowsLeave{false}, allowsDiskLoss{false};

  std::uint64_t randomBelow(std::uint64_t limit) { return random() % limit; }
  std::uint32_t randomSeed() { return static_cast<std::uint32_t>(random() % 1000000); }
  int anyMachine() { return static_cast<int>(randomBelow(static_cast<std::uint64_t>(world.setup().machines()))); }
  void tryEvent(Choice choice) {
    if (world.violation() || !world.apply(choice)) return;
    choices.push_back(choice);
  }
  void tryEvent(ChoiceKind kind, int replica, int number = 0, int other = 0) {
    tryEvent(Choice{kind, replica, other, 0, number, randomSeed()});
  }

  /// Chooses an event. The constants are percentages; the rest is left to recover().
  void step() {
    int draw = static_cast<int>(randomBelow(100));
    if (draw < 46) return moveMessage();
    draw -= 46;
    if (draw < syncPercent) return tryEvent(ChoiceKind::sync, anyMachine());
    draw -= syncPercent;
    if (draw < 12) return tryEvent(ChoiceKind::tick, anyMachine());
    draw -= 12;
    if (draw < 7) return passTime();
    draw -= 7;
    if (draw < 2)
      return tryEvent(ChoiceKind::run, 0, roundMs * static_cast<int>(1 + randomBelow(waitProfile == 0 ? 100 : 15)));
    draw -= 2;
    if (draw < 6) return sendChange();
    draw -= 6;
    if (draw < faultPercent) return injectFault();
    recover();
  }

  /// Delivers, drops or duplicates a message, more often one of the oldest three.
  void moveMessage() {
    const auto& packets = world.network();
    if (packets.empty()) return passTime();
    std::size_t index =
        randomBelow(10) < 6 ? randomBelow(std::min<std::size_t>(packets.size(), 3)) : randomBelow(packets.size());
    const auto& packet = packets[index];
    Choice choice{ChoiceKind::deliver, packet.from, packet.to, static_cast<int>(packet.content->message.index()), 0,
                  randomSeed()};
    for (std::size_t before = 0; before < index; ++before)
      choice.number += packets[before].from == packet.from && packets[before].to == packet.to &&
                       packets[before].content->message.index() == packet.content->message.index();
    int draw = static_cast<int>(randomBelow(100));
    if (draw < dropPercent)
      choice.kind = ChoiceKind::drop;
    else if (draw < dropPercent + duplicatePercent)
      choice.kind = ChoiceKind::duplicate;
    if (world.machine(packet.to).frozen && choice.kind != ChoiceKind::drop) return;
    tryEvent(choice);
  }

  /// Lets a time pass, mostly a short one, in which nothing runs.
  void passTime() {
    static const int shortWaits[] = {1, 5, 10, 20, 40, 80, 150};
    static const int longWaits[] = {300, 600, 900, 1150, 1300, 3100, 6200};
    bool isLong = randomBelow(waitProfile == 2 ? 60 : 12) == 0;
    tryEvent(ChoiceKind::wait, 0, isLong ? longWaits[randomBelow(7)] : shortWaits[randomBelow(7)]);
  }

  /// Sends the next change or repeats an earlier one, mostly to the leader.
  void sendChange() {
    int change = nextChange;
    if (nextChange > 0 && randomBelow(3) > 0)
      change = static_cast<int>(randomBelow(static_cast<std::uint64_t>(nextChange)));
    else if (nextChange + 1 < world.setup().changes)
      ++nextChange;
    auto leader = world.leader();
    tryEvent(ChoiceKind::change, leader && randomBelow(5) > 0 ? *leader : anyMachine(), change);
  }

  /// Injects a fault: a crash, an immediate restart, a power failure, a crash of several machines, a frozen process, a
  /// clean shutdown or a lost disk.
  void injectFault() {
    int victim = anyMachine();
    auto leader = world.leader();
    if (leader && randomBelow(3) == 0) victim = *leader;
    int survivingBatches = static_cast<int>(randomBelow(3));
    switch (randomBelow(12)) {
      case 0:
        return tryEvent(ChoiceKind::kill, victim, survivingBatches);
      case 1:
      case 2:
        tryEvent(randomBelow(3) ? ChoiceKind::power : ChoiceKind::kill, victim, static_cast<int>(randomBelow(2)));
        return tryEvent(ChoiceKind::start, victim);
      case 3:
      case 4:
      case 5:
        return tryEvent(ChoiceKind::power, victim, survivingBatches);
      case 6:
        for (int number = 0; number < world.setup().machines(); ++number)
          tryEvent(randomBelow(2) ? ChoiceKind::power : ChoiceKind::kill, number, static_cast<int>(randomBelow(3)));
        for (int number = 0; number < world.setup().machines(); ++number)
          if (randomBelow(4) > 0) tryEvent(ChoiceKind::start, number);
        return;
      case 7:
      case 8:
        return tryEvent(ChoiceKind::freeze, victim);
      case 9:
        if (allowsLeave) return tryEvent(ChoiceKind::leave, victim);
        return tryEvent(ChoiceKind::freeze, victim);
      default:
        if (allowsDiskLoss) return tryEvent(ChoiceKind::wipe, victim);
        return tryEvent(ChoiceKind::kill, victim, survivingBatches);
    }
  }

  /// Starts or wakes a machine, sends a join request, or lets the fleet recover until a replaced disk no longer counts
  /// as lost.
  void recover() {
    int number = anyMachine();
    const auto& machine = world.machine(number);
    if (!machine.up()) return tryEvent(ChoiceKind::start, number);
    if (machine.frozen && randomBelow(3) == 0) return tryEvent(ChoiceKind::wake, number);
    if (randomBelow(4) == 0) return tryEvent(ChoiceKind::join, number, 0, anyMachine());
    if (randomBelow(16) == 0)
      tryEvent(ChoiceKind::settle, 0,
               static_cast<int>(toMilliseconds(world.setup().catchUp)) + roundMs * static_cast<int>(randomBelow(40)));
  }

  /// Crashes each initial voter or replaces its disk.
  void crashVoters() {
    for (int number = 0; number < world.setup().voters; ++number)
      if (allowsDiskLoss && randomBelow(2) == 0)
        tryEvent(ChoiceKind::wipe, number);
      else
        tryEvent(randomBelow(2) ? ChoiceKind::power : ChoiceKind::kill, number, static_cast<int>(randomBelow(3)));
  }
};

}  // namespace

SearchReport runRandomWalks(const Setup& setup, const WalkLimits& limits) {
  setup.applyTiming();
  SearchReport report;
  std::mutex lock;
  std::atomic<std::uint64_t> next{0};
  auto deadline = Clock::now() + limits.timeLimit;
  auto work = [&] {
    ModelWorld world(setup);
    for (std::uint64_t number; (number = next++) < limits.walks;) {
      if (limits.timeLimit > Duration(0) && Clock::now() >= deadline) return;
      world.reset();
      Run run{setup, Walker(world, limits.firstSeed + number).run(limits.events)};
      std::lock_guard<std::mutex> guard(lock);
      ++report.walks;
      report.events += run.choices.size();
      report.depth = std::max(report.depth, static_cast<int>(run.choices.size()));
      if (world.violation() && report.found.size() < limits.maxCounterexamples)
        report.found.push_back(Counterexample{std::move(run), *world.violation()});
      if (report.found.size() >= limits.maxCounterexamples) next = limits.walks;
    }
  };
  std::vector<std::thread> pool;
  for (std::size_t number = 1; number < limits.threads; ++number) pool.emplace_back(work);
  work();
  for (auto& thread : pool) thread.join();
  return report;
}

std::optional<Violation> replay(const Run& run, const std::function<void(const std::string&)>& onEvent) {
  run.setup.applyTiming();
  ModelWorld world(run.setup);
  world.onEvent = onEvent;
  for (const auto& choice : run.choices) {
    bool happened = world.apply(choice);
    if (onEvent) onEvent(choice.text() + (happened ? "" : "  (not possible in this state)"));
    if (world.violation()) break;
  }
  if (onEvent) onEvent(world.describe());
  return world.violation();
}

namespace {
/// Joins adjacent waits of the same kind where the run still violates the rule. `violates` returns the number of events
/// up to the violation.
bool joinWaits(std::vector<Choice>& choices,
               const std::function<std::optional<std::size_t>(const std::vector<Choice>&)>& violates) {
  bool joined = false;
  for (std::size_t index = 0; index + 1 < choices.size();) {
    bool waits = choices[index].kind == choices[index + 1].kind &&
                 (choices[index].kind == ChoiceKind::wait || choices[index].kind == ChoiceKind::run);
    auto candidate = choices;
    if (waits) {
      candidate[index].number += candidate[index + 1].number;
      candidate.erase(candidate.begin() + static_cast<std::ptrdiff_t>(index) + 1);
    }
    if (waits && violates(candidate)) {
      choices = std::move(candidate);
      joined = true;
    } else {
      ++index;
    }
  }
  return joined;
}
}  // namespace

Run shrink(const Run& run, const std::string& rule) {
  run.setup.applyTiming();
  ModelWorld world(run.setup);
  auto violates = [&](const std::vector<Choice>& choices) -> std::optional<std::size_t> {
    world.reset();
    for (std::size_t index = 0; index < choices.size(); ++index) {
      (void)world.apply(choices[index]);
      if (world.violation())
        return world.violation()->rule == rule ? std::optional<std::size_t>(index + 1) : std::nullopt;
    }
    return std::nullopt;
  };
  /// Delta debugging: tries to remove pieces of the run, from half of it down to single events.
  Run shrunk = run;
  auto end = violates(shrunk.choices);
  if (!end) return run;
  shrunk.choices.resize(*end);
  for (std::size_t chunk = std::max<std::size_t>(1, shrunk.choices.size() / 2); chunk > 0;) {
    bool removed = false;
    for (std::size_t from = 0; from < shrunk.choices.size();) {
      auto candidate = shrunk.choices;
      auto begin = candidate.begin() + static_cast<std::ptrdiff_t>(from);
      candidate.erase(begin, begin + static_cast<std::ptrdiff_t>(std::min(chunk, candidate.size() - from)));
      if (auto last = violates(candidate)) {
        candidate.resize(*last);
        shrunk.choices = std::move(candidate);
        removed = true;
      } else {
        from += chunk;
      }
    }
    if (chunk == 1) removed = joinWaits(shrunk.choices, violates) || removed;
    if (!removed || chunk > 1) chunk = chunk > 1 ? chunk / 2 : (removed ? 1 : 0);
  }
  return shrunk;
}

}  // namespace tt::model
