#include <atomic>
#include <mutex>
#include <thread>

#include "search.hpp"

namespace tt::model {
namespace {

/// Draws the events of one walk. How much of each trouble it holds is drawn once, so that walks differ in kind.
class Walker {
 public:
  Walker(ModelWorld& modelWorld, std::uint64_t seed) : world(modelWorld), random(seed) {
    loss = static_cast<int>(below(4)) * 4;
    repeats = static_cast<int>(below(3)) * 2;
    trouble = 1 + static_cast<int>(below(4)) * 2;
    hurry = static_cast<int>(below(3));
    diskWeight = 4 + static_cast<int>(below(3)) * 6;
    leaves = below(3) == 0;
    losesDisks = below(2) == 0;
  }

  /// Lets events happen until there were enough or a rule is broken.
  std::vector<Choice> runRandomWalks(int events) {
    if (below(5) > 0) happen(Choice{ChoiceKind::run, 0, 0, 0, 2500, luck()});
    while (static_cast<int>(choices.size()) < events && !world.violation()) step();
    if (!world.violation() && below(3) == 0) closingFault();
    if (!world.violation()) happen(Choice{ChoiceKind::live, 0, 0, 0, 0, luck()});
    return choices;
  }

 private:
  ModelWorld& world;
  std::mt19937_64 random;
  std::vector<Choice> choices;
  int loss{0}, repeats{0}, trouble{0}, hurry{0}, diskWeight{10}, nextChange{0};
  bool leaves{false}, losesDisks{false};

  std::uint64_t below(std::uint64_t limit) { return random() % limit; }
  std::uint32_t luck() { return static_cast<std::uint32_t>(random() % 1000000); }
  int anyMachine() { return static_cast<int>(below(static_cast<std::uint64_t>(world.setup().machines()))); }
  void happen(Choice choice) {
    if (world.violation() || !world.apply(choice)) return;
    choices.push_back(choice);
  }
  void happen(ChoiceKind kind, int replica, int number = 0, int other = 0) {
    happen(Choice{kind, replica, other, 0, number, luck()});
  }

  void step() {
    int draw = static_cast<int>(below(100));
    if (draw < 46) return moveMessage();
    draw -= 46;
    if (draw < diskWeight) return happen(ChoiceKind::sync, anyMachine());
    draw -= diskWeight;
    if (draw < 12) return happen(ChoiceKind::tick, anyMachine());
    draw -= 12;
    if (draw < 7) return waitSome();
    draw -= 7;
    if (draw < 2) return happen(ChoiceKind::run, 0, 20 * static_cast<int>(1 + below(hurry == 0 ? 100 : 15)));
    draw -= 2;
    if (draw < 6) return sendChange();
    draw -= 6;
    if (draw < trouble) return troubleSome();
    mendSome();
  }

  void moveMessage() {
    const auto& packets = world.network();
    if (packets.empty()) return waitSome();
    std::size_t at = below(10) < 6 ? below(std::min<std::size_t>(packets.size(), 3)) : below(packets.size());
    const auto& packet = packets[at];
    Choice choice{
        ChoiceKind::deliver, packet.from, packet.to, static_cast<int>(packet.letter->message.index()), 0, luck()};
    for (std::size_t before = 0; before < at; ++before)
      choice.number += packets[before].from == packet.from && packets[before].to == packet.to &&
                       packets[before].letter->message.index() == packet.letter->message.index();
    int draw = static_cast<int>(below(100));
    if (draw < loss)
      choice.kind = ChoiceKind::drop;
    else if (draw < loss + repeats)
      choice.kind = ChoiceKind::duplicate;
    if (world.machine(packet.to).frozen && choice.kind != ChoiceKind::drop) return;
    happen(choice);
  }

  void waitSome() {
    static const int shortWaits[] = {1, 5, 10, 20, 40, 80, 150};
    static const int longWaits[] = {300, 600, 900, 1150, 1300, 3100, 6200};
    bool slow = below(hurry == 2 ? 60 : 12) == 0;
    happen(ChoiceKind::wait, 0, slow ? longWaits[below(7)] : shortWaits[below(7)]);
  }

  void sendChange() {
    int change = nextChange;
    if (nextChange > 0 && below(3) > 0)
      change = static_cast<int>(below(static_cast<std::uint64_t>(nextChange)));
    else if (nextChange + 1 < world.setup().changes)
      ++nextChange;
    auto leading = world.leader();
    happen(ChoiceKind::change, leading && below(5) > 0 ? *leading : anyMachine(), change);
  }

  void troubleSome() {
    int victim = anyMachine();
    auto leading = world.leader();
    if (leading && below(3) == 0) victim = *leading;
    int kept = static_cast<int>(below(3));
    switch (below(12)) {
      case 0:
        return happen(ChoiceKind::kill, victim, kept);
      case 1:
      case 2:
        happen(below(3) ? ChoiceKind::power : ChoiceKind::kill, victim, static_cast<int>(below(2)));
        return happen(ChoiceKind::start, victim);
      case 3:
      case 4:
      case 5:
        return happen(ChoiceKind::power, victim, kept);
      case 6:
        for (int number = 0; number < world.setup().machines(); ++number)
          happen(below(2) ? ChoiceKind::power : ChoiceKind::kill, number, static_cast<int>(below(3)));
        for (int number = 0; number < world.setup().machines(); ++number)
          if (below(4) > 0) happen(ChoiceKind::start, number);
        return;
      case 7:
      case 8:
        return happen(ChoiceKind::freeze, victim);
      case 9:
        if (leaves) return happen(ChoiceKind::leave, victim);
        return happen(ChoiceKind::freeze, victim);
      default:
        if (losesDisks) return happen(ChoiceKind::wipe, victim);
        return happen(ChoiceKind::kill, victim, kept);
    }
  }

  void mendSome() {
    int number = anyMachine();
    const auto& machine = world.machine(number);
    if (!machine.up()) return happen(ChoiceKind::start, number);
    if (machine.frozen && below(3) == 0) return happen(ChoiceKind::wake, number);
    if (below(4) == 0) return happen(ChoiceKind::join, number, 0, anyMachine());
    if (below(16) == 0)
      happen(ChoiceKind::settle, 0,
             static_cast<int>(toMilliseconds(world.setup().catchUp)) + 20 * static_cast<int>(below(40)));
  }

  void closingFault() {
    for (int number = 0; number < world.setup().voters; ++number)
      if (losesDisks && below(2) == 0)
        happen(ChoiceKind::wipe, number);
      else
        happen(below(2) ? ChoiceKind::power : ChoiceKind::kill, number, static_cast<int>(below(3)));
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
      Run run{setup, Walker(world, limits.firstSeed + number).runRandomWalks(limits.events)};
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

std::optional<Violation> replay(const Run& run, const std::function<void(const std::string&)>& tell) {
  run.setup.applyTiming();
  ModelWorld world(run.setup);
  world.tell = tell;
  for (const auto& choice : run.choices) {
    bool happened = world.apply(choice);
    if (tell) tell(choice.text() + (happened ? "" : "  (cannot happen here)"));
    if (world.violation()) break;
  }
  if (tell) tell(world.describe());
  return world.violation();
}

namespace {
/// Makes neighbouring waits one where the run still breaks its rule.
bool joinWaits(std::vector<Choice>& choices,
               const std::function<std::optional<std::size_t>(const std::vector<Choice>&)>& breaks) {
  bool joined = false;
  for (std::size_t at = 0; at + 1 < choices.size();) {
    bool waits = choices[at].kind == choices[at + 1].kind &&
                 (choices[at].kind == ChoiceKind::wait || choices[at].kind == ChoiceKind::run);
    auto fewer = choices;
    if (waits) {
      fewer[at].number += fewer[at + 1].number;
      fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(at) + 1);
    }
    if (waits && breaks(fewer)) {
      choices = std::move(fewer);
      joined = true;
    } else {
      ++at;
    }
  }
  return joined;
}
}  // namespace

Run shrink(const Run& run, const std::string& rule) {
  run.setup.applyTiming();
  ModelWorld world(run.setup);
  auto breaks = [&](const std::vector<Choice>& choices) -> std::optional<std::size_t> {
    world.reset();
    for (std::size_t at = 0; at < choices.size(); ++at) {
      (void)world.apply(choices[at]);
      if (world.violation()) return world.violation()->rule == rule ? std::optional<std::size_t>(at + 1) : std::nullopt;
    }
    return std::nullopt;
  };
  Run shorter = run;
  auto end = breaks(shorter.choices);
  if (!end) return run;
  shorter.choices.resize(*end);
  for (std::size_t piece = std::max<std::size_t>(1, shorter.choices.size() / 2); piece > 0;) {
    bool taken = false;
    for (std::size_t from = 0; from < shorter.choices.size();) {
      auto fewer = shorter.choices;
      auto begin = fewer.begin() + static_cast<std::ptrdiff_t>(from);
      fewer.erase(begin, begin + static_cast<std::ptrdiff_t>(std::min(piece, fewer.size() - from)));
      if (auto last = breaks(fewer)) {
        fewer.resize(*last);
        shorter.choices = std::move(fewer);
        taken = true;
      } else {
        from += piece;
      }
    }
    if (piece == 1) taken = joinWaits(shorter.choices, breaks) || taken;
    if (!taken || piece > 1) piece = piece > 1 ? piece / 2 : (taken ? 1 : 0);
  }
  return shorter;
}

}  // namespace tt::model
