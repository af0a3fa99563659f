#include <algorithm>
#include <random>
#include <set>
#include <sstream>

#include "scenario.hpp"

namespace tt {
namespace {
/// How often a scenario announces weights at most.
constexpr int maxAnnouncements = 8;
/// Announced weights are w1 to w8.
constexpr std::uint64_t weightsVersions = 8;
/// The cases of randomScenario.
constexpr std::uint64_t faultKinds = 43;

/// A quarter of the fleets has two zones, a load time of its own, and roll-outs that start workers one after the other
/// over 13 s.
std::string randomRolloutSettings(std::uint64_t seed) {
  std::mt19937_64 randomSource(seed * 32452843 + 3);
  if (randomSource() % 4 != 0) return {};
  return " localities 2 rolloutSpan 13 loadMs " + std::to_string(1000 + randomSource() % 1500);
}

/// Announcements of weights from 6 s on, in half of the cases in quick succession, and workers that for a while load
/// weights slowly or let requests wait.
std::string randomAnnouncements(std::uint64_t seed, std::uint64_t workers, double until, int limit) {
  std::mt19937_64 randomSource(seed * 15485863 + 29);
  auto randomBelow = [&](std::uint64_t below) { return randomSource() % below; };
  auto randomSeconds = [&](std::uint64_t hundredths) { return static_cast<double>(randomBelow(hundredths)) / 100; };
  std::ostringstream out;
  auto addWorkerFault = [&](const char* fault, std::uint64_t range) {
    double from = 6 + randomSeconds(static_cast<std::uint64_t>((until - 6) * 100));
    std::string worker = randomBelow(3) == 0 ? "workers" : "worker-" + std::to_string(1 + randomBelow(workers));
    out << "at " << from << " fault " << worker << " " << fault << " " << 100 + randomBelow(range) << "\n";
    out << "at " << std::min(until, from + 3 + randomSeconds(1500)) << " fault workers " << fault << " 0\n";
  };
  if (randomBelow(3) == 0) addWorkerFault("loadMs", 3000);
  if (randomBelow(3) == 0) addWorkerFault("queueMs", 4000);
  int announcements = randomBelow(2) ? std::min(limit, static_cast<int>(randomBelow(maxAnnouncements + 1))) : 0;
  bool inSuccession = randomBelow(2);
  double at = 6 + randomSeconds(1200);
  for (int number = 0; number < announcements; ++number) {
    if (!inSuccession) at = 6 + randomSeconds(static_cast<std::uint64_t>((until - 6) * 100));
    if (at >= until) break;
    out << "at " << at << " name w" << 1 + randomBelow(weightsVersions) << "\n";
    at += 0.2 + randomSeconds(600);
  }
  return out.str();
}

/// In a third of the scenarios, proxies that are told to stop, one or all of them, with grace periods from 2 to 8 s.
std::string randomDrains(std::uint64_t seed, std::uint64_t edges, double until) {
  std::mt19937_64 randomSource(seed * 49979687 + 11);
  auto randomBelow = [&](std::uint64_t below) { return randomSource() % below; };
  std::ostringstream out;
  if (randomBelow(3) != 0) return {};
  for (std::uint64_t drains = 1 + randomBelow(3); drains > 0; --drains) {
    double at = 6 + static_cast<double>(randomBelow(static_cast<std::uint64_t>((until - 6) * 100))) / 100;
    std::uint64_t grace = randomBelow(2) ? 8 : 2 + randomBelow(7);
    std::string who = randomBelow(4) == 0 ? "proxies" : "proxy-" + std::to_string(1 + randomBelow(edges));
    out << "at " << at << " leave " << who << " " << grace << "\n";
    out << "at " << at + static_cast<double>(grace) + 0.5 << " start " << who << "\n";
  }
  return out.str();
}

/// In a quarter of the scenarios, one to three tenants that share cached blocks become isolated, or the reverse. No
/// tenant is changed twice, because a change that is sent again could otherwise undo a later one.
std::string randomIsolations(std::uint64_t seed, std::uint64_t tenants, double until) {
  std::mt19937_64 randomSource(seed * 86028121 + 5);
  auto randomBelow = [&](std::uint64_t below) { return randomSource() % below; };
  if (randomBelow(4) != 0) return {};
  std::ostringstream out;
  std::set<std::uint64_t> changed;
  for (std::uint64_t changes = 1 + randomBelow(3); changes > 0; --changes) {
    std::uint64_t tenant = 1 + randomBelow(tenants);
    double at = 6 + static_cast<double>(randomBelow(static_cast<std::uint64_t>((until - 6) * 100))) / 100;
    if (!changed.insert(tenant).second) continue;
    bool isolatedAtStart = tenant % 2 == 0;
    out << "at " << at << (isolatedAtStart ? " share" : " isolate") << " tenant-" << tenant << "\n";
  }
  return out.str();
}

/// Operators' clients that make changes, in every sixth scenario hundreds of them.
std::string randomOperators(std::uint64_t seed) {
  std::mt19937_64 randomSource(seed * 104729 + 7);
  auto randomBelow = [&](std::uint64_t below) { return randomSource() % below; };
  bool many = randomBelow(6) == 0;
  std::ostringstream out;
  out << "operators " << 1 + randomBelow(8) << " " << (many ? 150 + randomBelow(200) : 10 + randomBelow(40)) << " lose "
      << randomBelow(30) << " pause " << (many ? 40 + randomBelow(200) : 100 + randomBelow(1200));
  if (randomBelow(3) == 0) out << " same-number";
  if (randomBelow(3) == 0) out << " weights";
  return out.str();
}
}  // namespace

std::string randomScenario(std::uint64_t seed) {
  std::mt19937_64 randomSource(seed * 7919 + 13);
  auto randomBelow = [&](std::uint64_t below) { return randomSource() % below; };
  auto pick = [&](std::initializer_list<const char*> words) {
    return std::string(*(words.begin() + randomBelow(words.size())));
  };
  std::ostringstream out;
  bool fullSize = seed % 8 == 0;
  std::uint64_t edges = fullSize ? 9 : 3, workers = fullSize ? 18 : 5, tenants = fullSize ? 8 : 4;
  out << "fleet edges " << edges << " workers " << workers << " tenants " << tenants
      << (fullSize ? " plan 5 swap 14 reminder 26" : " plan 2 swap 5 reminder 8")
      << (randomBelow(5) == 0 ? " tokenMs 200 slots 16" : "") << randomRolloutSettings(seed) << "\nseed " << seed
      << "\n";
  if (randomBelow(2))
    out << "at 4 habits " << randomBelow(40) << " " << randomBelow(25) << " " << randomBelow(25) << "\n";
  auto randomCore = [&] { return "core-" + std::to_string(1 + randomBelow(4)); };
  auto randomEdge = [&] { return std::to_string(1 + randomBelow(edges)); };
  auto randomWorker = [&] { return "worker-" + std::to_string(1 + randomBelow(workers)); };
  out << "at 5.5 " << randomOperators(seed) << "\n";
  std::set<std::uint64_t> revoked;
  int faults = 3 + static_cast<int>(randomBelow(6));
  int weights = 2, announcements = 0;
  double clock = 6;
  std::string downCore;
  for (int number = 0; number < faults; ++number) {
    clock += static_cast<double>(randomBelow(300)) / 100;
    double end = clock + 0.3 + static_cast<double>(randomBelow(500)) / 100;
    auto at = [&](double when) -> std::ostringstream& {
      out << "at " << when << " ";
      return out;
    };
    /// Cases that advance `clock` beyond `end` give the fleet time to recover before the next fault.
    switch (randomBelow(faultKinds)) {
      case 20: {
        std::string name = randomCore();
        at(clock) << "kill " << name << "\n";
        at(clock + 0.1) << pick({"wipe ", "corrupt "}) << name << "\n";
        at(end) << "start " << name << "\n";
        clock = end + 9;
        break;
      }
      case 21: {
        std::string name = randomCore();
        at(clock) << "fill " << name << "\n";
        at(end) << "unfill " << name << "\n";
        at(end) << "start cores\n";
        break;
      }
      case 22:
        at(clock) << "storm " << 50 + randomBelow(300) << " s" << number << "x\n";
        break;
      case 23:
        at(clock) << "load " << 2 + randomBelow(8) << "\n";
        at(end) << "load 1\n";
        break;
      case 24:
        at(clock) << "hangups " << 20 + randomBelow(40) << "\n";
        break;
      case 25:
        at(clock) << "lose cores agents " << 5 + randomBelow(30) << "\n";
        at(clock) << "lose agents cores " << 5 + randomBelow(30) << "\n";
        at(end) << "heal\n";
        break;
      case 0: {
        std::string name = randomBelow(2) ? randomCore() : pick({"@accord", "@cell/ghent-1", "@cell/bruges-1"});
        at(clock) << "kill " << name << "\n";
        at(end) << "start cores\n";
        break;
      }
      case 1: {
        at(clock) << "kill cores\n";
        at(end) << "start cores\n";
        break;
      }
      case 2:
        at(clock) << "freeze " << (randomBelow(2) ? randomCore() : std::string("@accord")) << " " << end - clock
                  << "\n";
        break;
      case 3:
        at(clock) << "freeze-at-sending " << pick({"@cell/ghent-1", "@cell/ghent-2", "@cell/antwerp-1"}) << " "
                  << end - clock << "\n";
        break;
      case 4:
        at(clock) << "cut-off " << randomCore() << "\n";
        at(end) << "heal\n";
        break;
      case 5:
        at(clock) << "cut core-1,core-2 core-3,core-4\n";
        at(end) << "heal\n";
        break;
      case 6:
        at(clock) << "cut-one " << randomCore() << " " << randomCore() << "\n";
        at(end) << "heal\n";
        break;
      case 7:
        at(clock) << "cut-off edge-" << randomEdge() << "\n";
        at(end) << "heal\n";
        break;
      case 8:
        at(clock) << "kill edge-" << randomEdge() << "\n";
        at(end) << "start agents proxies\n";
        break;
      case 9: {
        std::string name = randomEdge();
        at(clock) << "freeze " << pick({"agent-", "proxy-", "edge-"}) << name << " " << end - clock << "\n";
        break;
      }
      case 10:
        at(clock) << "kill " << randomWorker() << "\n";
        at(end) << "start workers\n";
        break;
      case 11:
        at(clock) << "freeze " << randomWorker() << " " << end - clock << "\n";
        break;
      case 12:
        at(clock) << "kill store\n";
        at(end) << "start store\n";
        break;
      case 13:
        at(clock) << "name w" << weights << "\n";
        weights = weights == 3 ? 1 : weights + 1;
        ++announcements;
        break;
      case 14: {
        std::uint64_t tenant = 1 + randomBelow(tenants);
        if (!revoked.insert(tenant).second) break;
        at(clock) << "revoke tenant-" << tenant << "\n";
        if (randomBelow(3) == 0) at(clock + 10) << "restore tenant-" << tenant << "\n";
        break;
      }
      case 26:
        at(clock) << "kill platform\n";
        at(end) << "start platform\n";
        break;
      case 27: {
        std::string name = randomWorker();
        at(clock) << "kill platform\n";
        at(clock + 0.1) << "mark " << name << "\n";
        at(end) << "start platform\n";
        at(end + 6) << "unmark " << name << "\n";
        break;
      }
      case 28:
        at(clock) << "leap " << (randomBelow(2) ? randomCore() : pick({"agent-", "proxy-"}) + randomEdge()) << " "
                  << 1 + randomBelow(100) << "\n";
        break;
      case 29: {
        std::string name = randomCore(), id = "lost" + std::to_string(number);
        clock += 8;
        at(clock - 7) << "start cores\n";
        at(clock) << "on-ack " << id << (randomBelow(2) ? " kill cores\n" : " kill " + name + "\n");
        at(clock) << "change-id " << id << " {\"routes\":{\"" << id << "\":{\"model\":\"rooster-llm\"}}}\n";
        at(clock + 2) << "wipe " << name << "\n";
        at(clock + 2.2) << "start cores\n";
        clock += 11;
        break;
      }
      case 30: {
        std::string name = randomCore();
        clock += 8;
        at(clock - 7) << "start cores\n";
        end = clock + 0.3 + static_cast<double>(randomBelow(500)) / 100;
        at(clock) << "kill " << name << "\n";
        if (randomBelow(2)) at(clock + 0.1) << "wipe " << name << "\n";
        at(clock + 0.1) << "move " << name << "\n";
        at(end) << "start " << name << "\n";
        clock = end + 9;
        break;
      }
      case 31: {
        std::string name = randomWorker();
        at(clock) << "remove " << name << "\n";
        at(end + 4) << "list " << name << "\n";
        break;
      }
      case 32:
        at(clock) << "crash-at " << pick({"start", "middle", "end"}) << " " << 1 + randomBelow(4) << "\n";
        at(end) << "start workers\n";
        break;
      case 33:
        at(clock) << "freeze-at-sending proxy-" << randomEdge() << " " << end - clock << "\n";
        break;
      case 34:
        at(clock) << "slow-disk cores " << 20 + randomBelow(200) << "\n";
        at(end) << "slow-disk cores 2\n";
        break;
      case 35:
        at(clock) << "cut proxy-" << randomEdge() << " workers\n";
        at(end) << "heal\n";
        break;
      case 36: {
        std::string name = randomEdge();
        at(clock) << "cut-one " << (randomBelow(2) ? "agent-" + name + " cores\n" : "cores agent-" + name + "\n");
        at(end) << "heal\n";
        break;
      }
      case 37: {
        std::string name = randomCore();
        at(clock) << "cut " << name << " platform\n";
        at(clock + 0.1) << "mark " << randomWorker() << "\n";
        at(end) << "heal\n";
        at(end + 4) << "unmark workers\n";
        break;
      }
      case 38:
        at(clock) << pick({"cut-off ", "cut-in ", "cut-out "})
                  << (randomBelow(2) ? randomCore() : std::string("@accord")) << "\n";
        clock += 20;
        at(clock) << "heal\n";
        break;
      case 39:
        at(clock) << "on-next-ack kill " << pick({"cores", "@accord", "core-1,core-2"}) << "\n";
        at(end + 2) << "on-next-ack\n";
        at(end + 2) << "start cores\n";
        clock = end + 2;
        break;
      case 40:
        at(clock) << "change {\"routes\":{\"sent" << number << "\":{\"model\":\"rooster-llm\"}}}\n";
        at(clock + 0.005 + static_cast<double>(randomBelow(395)) / 1000) << "kill cores\n";
        at(end + 0.5) << "start cores\n";
        clock = end + 0.5;
        break;
      case 41:
        at(clock) << "freeze " << (randomBelow(2) ? randomCore() : std::string("@accord")) << " " << 1 + randomBelow(19)
                  << "\n";
        break;
      case 42:
        at(clock) << "operators 8 16 lose 50 pause 30\n";
        break;
      case 15: {
        std::string name = randomWorker();
        at(clock) << "mark " << name << "\n";
        at(end + 6) << "unmark " << name << "\n";
        break;
      }
      case 16:
        at(clock) << "stall " << randomCore() << "\n";
        at(end) << "unstall cores\n";
        break;
      case 17: {
        at(clock) << "fault " << randomWorker() << " "
                  << pick({"loseEvents 30", "forgetEvents 30", "lagMs 800", "linkMs 30"}) << "\n";
        at(end) << "fault workers loseEvents 0\n";
        at(end) << "fault workers forgetEvents 0\n";
        break;
      }
      case 18:
        at(clock) << "cut-off locality:" << pick({"ghent-1", "ghent-2", "antwerp-1", "bruges-1"}) << "\n";
        at(end) << "heal\n";
        break;
      case 19:
        for (int row = 0; row < 3; ++row)
          at(clock) << "change {\"routes\":{\"n" << number << row << "\":{\"model\":\"rooster-llm\"}}}\n";
        at(clock) << "lose cores cores 10\n";
        at(end) << "heal\n";
        break;
    }
  }
  /// From here on all faults are over; the expectations below check that the fleet recovers.
  double recoveryStart = std::max(24.0, clock + 7);
  out << randomAnnouncements(seed, workers, recoveryStart + 5, maxAnnouncements - announcements);
  out << randomDrains(seed, edges, recoveryStart - 10);
  out << randomIsolations(seed, tenants, recoveryStart - 10);
  out << "until " << recoveryStart + 32 << "\n";
  out << "at " << recoveryStart << " load 1\nat " << recoveryStart << " unfill cores\nat " << recoveryStart
      << " heal\nat " << recoveryStart << " start cores agents proxies workers store platform\nat " << recoveryStart
      << " list workers\nat " << recoveryStart << " unmark workers\nat " << recoveryStart << " slow-disk cores 2\nat "
      << recoveryStart << " crash-at start 0\nat " << recoveryStart << " crash-at middle 0\nat " << recoveryStart
      << " crash-at end 0\nat " << recoveryStart << " unstall cores\n";
  out << "at " << recoveryStart << " hangups 0\n";
  out << "at " << recoveryStart + 13 << " change {\"routes\":{\"last\":{\"model\":\"rooster-llm\"}}}\n";
  out << "at " << recoveryStart + 25 << " check holders accord = 1\nat " << recoveryStart + 25
      << " check voters = 4\nat " << recoveryStart + 25 << " check index-wrong <= 400\n";
  out << "expect unended <= 0\nexpect count verdict_done >= 50\n";
  out << "expect served >= 0.97 from " << recoveryStart + 12 << " to " << recoveryStart + 24 << "\n";
  return out.str();
}

}  // namespace tt
