#include "fleet_trial.hpp"

#include <fmt/format.h>
#include <algorithm>

#include "simulated_fleet.hpp"

namespace tt {
namespace {

/// All durations are in simulated time. Cores and then daemons have this long to form.
constexpr Duration formationTimeout = 60s;
constexpr Duration formationPollInterval = 200ms;
constexpr Duration freshnessPollInterval = 500ms;
/// How long the first configuration change may take before the next one is requested.
constexpr Duration initialChangeTime = 1s;
/// How long the fleet runs after all daemons have started before their freshness is checked.
constexpr Duration settleTime = 3s;
constexpr Duration requestWarmUp = 3s;
/// How often it is checked whether a change is applied everywhere; this is the resolution of the measured latencies.
constexpr Duration changePollInterval = 1ms;
constexpr double secondsPerHour = 3600;

/// Schedules an event at a constant rate; at rate 0 it is never due.
class RecurringEvent {
 public:
  explicit RecurringEvent(double perSecond) : interval(perSecond > 0 ? toInterval(perSecond) : Duration::max()) {}
  /// Schedules the first event half an interval after `begin`.
  void startHalfAnIntervalAfter(TimePoint begin) { startAt(begin + interval / 2); }
  void startAt(TimePoint first) {
    if (interval != Duration::max()) next = first;
  }
  TimePoint nextAt() const { return next; }
  /// Returns whether the event is due at `now`, and if so schedules the next one.
  bool advanceIfDue(TimePoint now) {
    if (now < next) return false;
    next += interval;
    return true;
  }

 private:
  const Duration interval;
  TimePoint next{TimePoint::max()};

  static Duration toInterval(double perSecond) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / perSecond));
  }
};

std::int64_t toSeconds(Duration duration) { return std::chrono::duration_cast<std::chrono::seconds>(duration).count(); }

double toMilliseconds(Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); }

/// Forms a simulated fleet, applies the initial configuration, runs the load and collects the costs.
class FleetTrial {
 public:
  FleetTrial(const FleetSize& fleetSize, std::uint64_t seed) : size(fleetSize), fleet(fleetSize, seed) {}

  Result<FleetCost> run() {
    if (auto formed = formCores(); !formed) return formed.error();
    fleet.requestChange("first", initialSections(size.tenants, size.models), ChangeFormat::sections, 1);
    fleet.runUntil(fleet.now() + initialChangeTime);
    fleet.requestChange("models", modelSections(size.models), ChangeFormat::items, -1);
    fleet.startDaemons();
    if (auto settled = waitUntilFresh(); !settled) return settled.error();
    fleet.clearChanges();
    runLoad();
    return collect();
  }

 private:
  const FleetSize size;
  SimulatedFleet fleet;
  RecurringEvent changes{size.changesPerHour / secondsPerHour}, requests{size.requestsPerSecond},
      machineListChanges{size.machineListChangesPerHour / secondsPerHour};
  int changeCount{0}, machineListChangeCount{0};
  std::int64_t voters{0}, freshDaemons{0};
  double seconds{0};

  Result<void> formCores() {
    TimePoint startedAt = fleet.now();
    fleet.startCores();
    while (fleet.countVoters() < static_cast<std::size_t>(size.cores) && fleet.now() - startedAt < formationTimeout)
      fleet.runUntil(fleet.now() + formationPollInterval);
    voters = static_cast<std::int64_t>(fleet.countVoters());
    if (voters == size.cores) return boost::outcome_v2::success();
    return makeError(Code::notLeading, "cores",
                     fmt::format("only {} of {} cores became voting members within {} s", voters, size.cores,
                                 toSeconds(formationTimeout)));
  }

  Result<void> waitUntilFresh() {
    TimePoint startedAt = fleet.now();
    fleet.runUntil(fleet.now() + settleTime);
    while (fleet.countFreshDaemons() < static_cast<std::size_t>(size.daemons) &&
           fleet.now() - startedAt < formationTimeout)
      fleet.runUntil(fleet.now() + freshnessPollInterval);
    freshDaemons = static_cast<std::int64_t>(fleet.countFreshDaemons());
    int first = fleet.changes().at("first").code, models = fleet.changes().at("models").code;
    constexpr int changeTaken = static_cast<int>(Code::changeTaken);
    if (first != changeTaken || models != changeTaken)
      return makeError(Code::blueprintBad, "blueprint",
                       fmt::format("the initial configuration changes ended with codes {} and {}, expected {}", first,
                                   models, changeTaken));
    if (freshDaemons == size.daemons) return boost::outcome_v2::success();
    return makeError(
        Code::staleEdge, "daemons",
        fmt::format("only {} of {} became fresh within {} s", freshDaemons, size.daemons, toSeconds(formationTimeout)));
  }

  /// Requests start before the measurement, to warm the fleet up; changes are made during the measurement only.
  void runLoad() {
    TimePoint begin = fleet.now() + (size.requestsPerSecond > 0 ? requestWarmUp : Duration(0));
    TimePoint end = begin + size.measuredDuration;
    changes.startHalfAnIntervalAfter(begin);
    machineListChanges.startHalfAnIntervalAfter(begin);
    requests.startAt(fleet.now());
    while (fleet.now() < end) {
      if (fleet.now() >= begin && !fleet.isMeasuring()) fleet.startMeasuring();
      fleet.runUntil(nextStopTime(fleet.isMeasuring() ? end : begin));
      runDueEvents();
      if (!fleet.changes().empty()) fleet.recordAppliedChanges();
    }
    seconds = std::chrono::duration<double>(end - begin).count();
    fleet.stopMeasuring();
  }

  TimePoint nextStopTime(TimePoint last) const {
    TimePoint next = std::min({last, changes.nextAt(), requests.nextAt(), machineListChanges.nextAt()});
    return fleet.changes().empty() ? next : std::min(next, fleet.now() + changePollInterval);
  }

  void runDueEvents() {
    if (changes.advanceIfDue(fleet.now())) requestNextChange();
    if (machineListChanges.advanceIfDue(fleet.now()))
      fleet.toggleLeaving(mixBits(static_cast<std::uint64_t>(machineListChangeCount++)));
    if (requests.advanceIfDue(fleet.now())) fleet.sendRequest();
  }

  void requestNextChange() {
    constexpr int firstChangeRevision = 2;
    std::string body = tenantChange(changeCount % std::max(1, size.tenants), changeCount);
    fleet.requestChange(fmt::format("change-{}", changeCount), body, ChangeFormat::items,
                        firstChangeRevision + changeCount);
    ++changeCount;
  }

  Result<FleetCost> collect() {
    FleetCost cost = fleet.collectCosts();
    cost.seconds = seconds;
    cost.voters = voters;
    cost.freshDaemons = freshDaemons;
    for (const auto& [changeId, change] : fleet.changes()) {
      if (change.code > 0 && change.code != static_cast<int>(Code::changeTaken))
        return makeError(static_cast<Code>(change.code), changeId);
      if (change.ackedAt != TimePoint{}) cost.ackMs.push_back(toMilliseconds(change.ackedAt - change.requestedAt));
      if (change.agentsAt != TimePoint{}) cost.agentsMs.push_back(toMilliseconds(change.agentsAt - change.requestedAt));
      if (change.proxiesAt != TimePoint{})
        cost.proxiesMs.push_back(toMilliseconds(change.proxiesAt - change.requestedAt));
    }
    return cost;
  }
};

}  // namespace

Result<FleetCost> measureFleet(const FleetSize& size, std::uint64_t seed) { return FleetTrial(size, seed).run(); }

}  // namespace tt
