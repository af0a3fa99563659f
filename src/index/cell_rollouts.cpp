#include <algorithm>

#include "cell.hpp"
#include "rollout_plan.hpp"

/// The part of a cell that changes its workers to the announced weights.
namespace tt {
namespace {
/// How old a worker's status may be on arrival. A status counts as later than the acceptance of a command only if it
/// arrives at least this long after it.
constexpr Duration statusLag = 800ms;
/// How long a worker may drain before it is commanded to load even if requests are still running there.
constexpr Duration drainTimeout = 3s;
/// After how long a load counts as failed.
constexpr Duration loadTimeout = 8s;
/// After how long an unanswered command is sent again.
constexpr Duration commandRetryInterval = 500ms;
/// How long after a failed load the next one is tried.
constexpr Duration retryDelay = 3s;
/// The longest time that a zone with a single worker waits for each zone that precedes it, and for how many zones at
/// most.
constexpr Duration maxWaitPerZone = 4500ms;
constexpr int maxZonesAwaited = 3;
/// A roll-out no longer waits for an agent that has not reported for this long.
constexpr Duration agentTimeout = 2s;
}  // namespace

const Cell::RolloutActions& Cell::rolloutActions() {
  static const RolloutActions table{{"hold", &Cell::withholdWorker},   {"sendDrain", &Cell::sendDrain},
                                    {"sendLoad", &Cell::sendLoad},     {"sendAdmit", &Cell::sendAdmit},
                                    {"release", &Cell::releaseWorker}, {"giveUp", &Cell::markFailed}};
  return table;
}

void Cell::sendCommand(Effects& effects, const std::string& worker, const std::string& action) {
  auto found = nodes.find(worker);
  auto& rollout = rollouts[worker];
  rollout.sentAt = effects.now;
  if (found == nodes.end() || !election.holdsLease(effects.now) || effects.now - leaseWonAt < timing.commandHoldoff)
    return;
  const auto& lastReport = found->second.lastReport;
  rollout.commandNumber = ++lastCommand;
  effects.send(found->second.machine.address,
               ControlAsk{election.term(), selfId, action, rollout.model, rollout.weights, lastReport.incarnation,
                          worker, rollout.commandNumber, lastReport.reportsCommandCount, lastReport.commandCount});
}

void Cell::withholdWorker(Effects& effects, const std::string& worker) {
  auto& rollout = rollouts[worker];
  rollout.stateSince = effects.now;
  rollout.withheldSequence = sequence + 1;
  updatePending = true;
  publishedAt = TimePoint{};
  effects.note("weights hold", worker);
}
void Cell::sendDrain(Effects& effects, const std::string& worker) { sendCommand(effects, worker, "drain"); }
void Cell::sendLoad(Effects& effects, const std::string& worker) { sendCommand(effects, worker, "load"); }
void Cell::sendAdmit(Effects& effects, const std::string& worker) { sendCommand(effects, worker, "admit"); }
void Cell::releaseWorker(Effects& effects, const std::string& worker) {
  updatePending = true;
  publishedAt = TimePoint{};
  rollouts[worker].failed = false;
  effects.note("weights in use", worker + " " + rollouts[worker].weights);
}
void Cell::markFailed(Effects& effects, const std::string& worker) {
  rollouts[worker].failed = true;
  effects.note("weights failed", worker);
}

std::string Cell::rolloutState(const std::string& worker) const {
  auto found = rollouts.find(worker);
  return found == rollouts.end() ? "serving" : found->second.stateMachine->state();
}

bool Cell::agentsHaveApplied(std::uint64_t updateSequence, TimePoint now) const {
  for (const auto& [agent, entry] : agentVersions) {
    if (now - entry.receivedAt > agentTimeout) continue;
    if (entry.version.term < election.term() ||
        (entry.version.term == election.term() && entry.version.sequence < updateSequence))
      return false;
  }
  return true;
}

Cell::Rollout& Cell::rolloutFor(const std::string& worker) {
  auto& rollout = rollouts[worker];
  if (!rollout.stateMachine)
    rollout.stateMachine = std::make_unique<RolloutMachine>(settings.singleLoadCommand ? "weightsWhole" : "weights",
                                                            rolloutActions(), "serving");
  return rollout;
}

void Cell::advance(Effects& effects, const std::string& worker, Rollout& rollout, const char* event) {
  std::string before = rollout.stateMachine->state();
  if (!rollout.stateMachine->dispatch(*this, event, effects, worker) || rollout.stateMachine->state() == before) return;
  rollout.stateSince = effects.now;
  effects.note("rollout", worker + " " + rollout.stateMachine->state());
}

bool Cell::takesPartInRollout(const CacheNode& node, TimePoint now) const {
  return node.machine.kind == "language" && node.known && now - node.lastReportAt <= settings.workerTimeout;
}

TimePoint Cell::supersededAt(const Report& report, const std::string& wanted) const {
  if (report.weights == wanted) return TimePoint::max();
  if (!versions) return TimePoint::min();
  if (!defences.isEnabled(Defence::endFromFirstNewer)) return versions->newestAt(report.model);
  TimePoint superseded = versions->supersededAt(report.model, report.weights);
  return superseded == TimePoint::max() ? TimePoint::min() : superseded;
}

RolloutStep Cell::stepOf(const std::string& worker, bool hasWanted) const {
  if (settings.singleLoadCommand && !hasWanted && nodes.at(worker).lastReport.draining) return RolloutStep::changing;
  auto found = rollouts.find(worker);
  if (found == rollouts.end() || !found->second.stateMachine) return RolloutStep::serving;
  if (found->second.failed && defences.isEnabled(Defence::failedNotCounted)) return RolloutStep::failed;
  return found->second.stateMachine->isIn("serving") ? RolloutStep::serving : RolloutStep::changing;
}

std::set<std::string> Cell::workersDue(TimePoint now, const Configuration& configuration) const {
  std::map<std::string, std::vector<RolloutWorker>> workersByModel;
  for (const auto& [name, node] : nodes) {
    auto wanted = configuration.weightsOf(node.lastReport.model);
    if (!wanted || !takesPartInRollout(node, now) || node.machine.leaving) continue;
    bool hasWanted = node.lastReport.weights == *wanted;
    workersByModel[node.lastReport.model].push_back(
        RolloutWorker{name, supersededAt(node.lastReport, *wanted), stepOf(name, hasWanted)});
  }
  RolloutLimits limits{settings.rolloutSettleDelay, settings.rolloutSpread, timing.rolloutStartTimeout(),
                       2 * timing.oldWeightsSendTimeout, settings.rolloutParts};
  std::set<std::string> due;
  for (const auto& [model, workers] : workersByModel) {
    if (workers.size() == 1 && waitsForEarlierZones(model, workers.front().supersededAt, now)) continue;
    for (auto& name : workersToStart(workers, limits, now, loadedElsewhere(model))) due.insert(std::move(name));
  }
  return due;
}

bool Cell::loadedElsewhere(const std::string& model) const {
  if (!latestUpdates || !versions) return false;
  for (const auto& [zone, update] : *latestUpdates)
    for (const auto& worker : update.workers)
      if (zone != zoneName && worker.alive && worker.model == model && versions->isNewest(model, worker.weights))
        return true;
  return false;
}

bool Cell::waitsForEarlierZones(const std::string& model, TimePoint superseded, TimePoint now) const {
  if (!latestUpdates || superseded == TimePoint::max()) return false;
  int earlierZones = 0;
  bool unfinished = false;
  for (const auto& [zone, update] : *latestUpdates) {
    if (zone >= zoneName) break;
    const WorkerView* sole = nullptr;
    int workers = 0;
    for (const auto& worker : update.workers)
      if (worker.kind == "language" && worker.model == model && worker.alive) {
        ++workers;
        sole = &worker;
      }
    if (workers != 1) continue;
    ++earlierZones;
    unfinished = unfinished || sole->withheld || !versions || !versions->isNewest(model, sole->weights);
  }
  Duration waitPerZone = std::min<Duration>(maxWaitPerZone, timing.rolloutStartTimeout() / maxZonesAwaited);
  return unfinished && now < endOfUse(superseded, std::min(earlierZones, maxZonesAwaited) * waitPerZone);
}

void Cell::updateRollouts(Effects& effects, const Configuration& configuration) {
  auto due = workersDue(effects.now, configuration);
  for (auto& [name, node] : nodes) {
    auto wanted = configuration.weightsOf(node.lastReport.model);
    if (!wanted || node.machine.kind != "language" || !node.known) continue;
    auto& rollout = rolloutFor(name);
    if (!takesPartInRollout(node, effects.now) || (settings.separateStatus && node.machine.leaving)) continue;
    if (effects.now - leaseWonAt < timing.commandHoldoff) continue;
    if (rollout.stateMachine->isIn("serving"))
      startRollout(effects, node, rollout, *wanted, due.count(name) > 0);
    else
      continueRollout(effects, node, rollout, *wanted);
  }
}

void Cell::startRollout(Effects& effects, const CacheNode& node, Rollout& rollout, const std::string& wanted,
                        bool due) {
  const auto& report = node.lastReport;
  bool hasWanted = report.weights == wanted;
  if (settings.singleLoadCommand && (hasWanted || report.draining)) return;
  if (hasWanted && !report.draining) return;
  bool needsCommand = report.weights.empty() || report.draining;
  if (!due && !needsCommand) return;
  rollout.weights = wanted;
  rollout.model = report.model;
  advance(effects, node.machine.name, rollout, "wanted");
}

void Cell::continueRollout(Effects& effects, const CacheNode& node, Rollout& rollout, const std::string& wanted) {
  const auto& report = node.lastReport;
  const auto& worker = node.machine.name;
  bool finishing =
      settings.singleLoadCommand && rollout.stateMachine->isIn("loading") && rollout.acceptedAt >= rollout.sentAt;
  std::string target = finishing ? rollout.weights : wanted;
  bool hasWanted = report.weights == target;
  bool unanswered = rollout.acceptedAt < rollout.sentAt && effects.now - rollout.sentAt >= commandRetryInterval;
  bool idleAgain =
      rollout.acceptedAt >= rollout.sentAt && node.statusAt > rollout.acceptedAt + statusLag && !report.draining;
  bool resend =
      (settings.singleLoadCommand ? unanswered || idleAgain : effects.now - rollout.sentAt >= commandRetryInterval) &&
      defences.isEnabled(Defence::commandAgain);
  Duration elapsed = effects.now - rollout.stateSince;
  auto dispatch = [&](const char* event) { advance(effects, worker, rollout, event); };
  if (rollout.weights != target) {
    rollout.failed = false;
    rollout.weights = target;
    rollout.model = report.model;
    dispatch("wanted");
    elapsed = effects.now - rollout.stateSince;
  }
  if (rollout.stateMachine->isIn("marking")) {
    bool applied = sequence >= rollout.withheldSequence && agentsHaveApplied(rollout.withheldSequence, effects.now);
    if (applied || elapsed >= settings.withholdTimeout)
      dispatch(hasWanted && (report.draining || settings.singleLoadCommand) ? "settled" : "cleared");
  } else if (rollout.stateMachine->isIn("draining")) {
    if (hasWanted && report.draining)
      dispatch("settled");
    else if (report.draining && report.running == 0)
      dispatch("emptied");
    else if (elapsed >= drainTimeout)
      dispatch("overdue");
    else if (resend)
      dispatch("again");
  } else if (rollout.stateMachine->isIn("loading")) {
    if (hasWanted)
      dispatch("loaded");
    else if (elapsed >= loadTimeout)
      dispatch("overdue");
    else if (resend)
      dispatch("again");
  } else if (rollout.stateMachine->isIn("admitting")) {
    if (hasWanted && !report.draining)
      dispatch("admitted");
    else if (!hasWanted)
      dispatch("wanted");
    else if (resend)
      dispatch("again");
  } else if (rollout.stateMachine->isIn("broken")) {
    if (hasWanted)
      dispatch("loaded");
    else if (elapsed >= retryDelay)
      dispatch("retry");
  }
}

}  // namespace tt
