#include <algorithm>

#include "cell.hpp"
#include "rollout_plan.hpp"

/// The part of a cell that takes its workers to the weights that are named.
namespace tt {
namespace {
/// A worker reports its condition some hundred ms late.
constexpr Duration idleSure = 800ms;
constexpr Duration drainWait = 3s;
constexpr Duration loadWait = 8s;
constexpr Duration commandAgain = 500ms;
constexpr Duration retryWait = 3s;
/// How long a cell with a single worker waits for each cell before it, at most, and for how many cells.
constexpr Duration turnMost = 4500ms;
constexpr int turnsMost = 3;
constexpr Duration agentKnownFor = 2s;
}  // namespace

const Cell::RolloutActions& Cell::rolloutActions() {
  static const RolloutActions table{{"hold", &Cell::hold},         {"sendDrain", &Cell::sendDrain},
                                    {"sendLoad", &Cell::sendLoad}, {"sendAdmit", &Cell::sendAdmit},
                                    {"release", &Cell::release},   {"giveUp", &Cell::giveUp}};
  return table;
}
void Cell::command(Effects& effects, const std::string& worker, const std::string& action) {
  auto found = rows.find(worker);
  auto& rollout = rollouts[worker];
  rollout.sentAt = effects.now;
  if (found == rows.end() || !election.holdsLease(effects.now) || effects.now - wonAt < timing.commandHoldoff) return;
  const auto& last = found->second.last;
  rollout.commandNumber = ++lastCommand;
  effects.send(found->second.machine.address,
               ControlAsk{election.term(), selfId, action, rollout.model, rollout.weights, last.incarnation, worker,
                          rollout.commandNumber, last.countsOrders, last.orders});
}

void Cell::hold(Effects& effects, const std::string& worker) {
  auto& rollout = rollouts[worker];
  rollout.since = effects.now;
  rollout.markSequence = sequence + 1;
  newsDue = true;
  publishedAt = TimePoint{};
  effects.note("weights hold", worker);
}
void Cell::sendDrain(Effects& effects, const std::string& worker) { command(effects, worker, "drain"); }
void Cell::sendLoad(Effects& effects, const std::string& worker) { command(effects, worker, "load"); }
void Cell::sendAdmit(Effects& effects, const std::string& worker) { command(effects, worker, "admit"); }
void Cell::release(Effects& effects, const std::string& worker) {
  newsDue = true;
  publishedAt = TimePoint{};
  rollouts[worker].failed = false;
  effects.note("weights in use", worker + " " + rollouts[worker].weights);
}
void Cell::giveUp(Effects& effects, const std::string& worker) {
  rollouts[worker].failed = true;
  effects.note("weights failed", worker);
}

std::string Cell::rolloutState(const std::string& worker) const {
  auto found = rollouts.find(worker);
  return found == rollouts.end() ? "serving" : found->second.walk->state();
}

bool Cell::agentsHave(std::uint64_t markSequence, TimePoint now) const {
  for (const auto& [agent, row] : agentMarks) {
    if (now - row.at > agentKnownFor) continue;
    if (row.mark.term < election.term() || (row.mark.term == election.term() && row.mark.sequence < markSequence))
      return false;
  }
  return true;
}

Cell::Rollout& Cell::rolloutOf(const std::string& worker) {
  auto& rollout = rollouts[worker];
  if (!rollout.walk)
    rollout.walk = std::make_unique<RolloutWalk>(settings.singleLoadCommand ? "weightsWhole" : "weights",
                                                 rolloutActions(), "serving");
  return rollout;
}

void Cell::advance(Effects& effects, const std::string& worker, Rollout& rollout, const char* event) {
  std::string before = rollout.walk->state();
  if (!rollout.walk->dispatch(*this, event, effects, worker) || rollout.walk->state() == before) return;
  rollout.since = effects.now;
  effects.note("rollout", worker + " " + rollout.walk->state());
}

bool Cell::takesPart(const CacheNode& keeper, TimePoint now) const {
  return keeper.machine.kind == "language" && keeper.known && now - keeper.heardAt <= settings.workerTimeout;
}

TimePoint Cell::supersededAt(const Report& report, const std::string& wanted) const {
  if (report.weights == wanted) return TimePoint::max();
  if (!versions) return TimePoint::min();
  if (!defences.isEnabled(Defence::endFromFirstNewer)) return versions->newestAt(report.model);
  TimePoint moment = versions->supersededAt(report.model, report.weights);
  return moment == TimePoint::max() ? TimePoint::min() : moment;
}

RolloutStep Cell::stepOf(const std::string& worker, bool right) const {
  if (settings.singleLoadCommand && !right && rows.at(worker).last.draining) return RolloutStep::changing;
  auto found = rollouts.find(worker);
  if (found == rollouts.end() || !found->second.walk) return RolloutStep::serving;
  if (found->second.failed && defences.isEnabled(Defence::failedNotCounted)) return RolloutStep::failed;
  return found->second.walk->in("serving") ? RolloutStep::serving : RolloutStep::changing;
}

std::set<std::string> Cell::workersDue(TimePoint now, const Configuration& configuration) const {
  std::map<std::string, std::vector<RolloutWorker>> workersByModel;
  for (const auto& [name, keeper] : rows) {
    auto wanted = configuration.weightsOf(keeper.last.model);
    if (!wanted || !takesPart(keeper, now) || keeper.machine.leaving) continue;
    bool right = keeper.last.weights == *wanted;
    workersByModel[keeper.last.model].push_back(
        RolloutWorker{name, supersededAt(keeper.last, *wanted), stepOf(name, right)});
  }
  RolloutLimits limits{settings.rolloutSettleDelay, settings.rolloutSpan, timing.rolloutStartTimeout(),
                       2 * timing.oldWeightsOrderTimeout, settings.rolloutParts};
  std::set<std::string> due;
  for (const auto& [model, workers] : workersByModel) {
    if (workers.size() == 1 && waitsItsTurn(model, workers.front().supersededAt, now)) continue;
    for (auto& name : workersToStart(workers, limits, now, loadedElsewhere(model))) due.insert(std::move(name));
  }
  return due;
}

bool Cell::loadedElsewhere(const std::string& model) const {
  if (!allNews || !versions) return false;
  for (const auto& [zone, news] : *allNews)
    for (const auto& worker : news.workers)
      if (zone != place && worker.alive && worker.model == model && versions->isNewest(model, worker.weights))
        return true;
  return false;
}

bool Cell::waitsItsTurn(const std::string& model, TimePoint superseded, TimePoint now) const {
  if (!allNews || superseded == TimePoint::max()) return false;
  int before = 0;
  bool unfinished = false;
  for (const auto& [zone, news] : *allNews) {
    if (zone >= place) break;
    const WorkerView* sole = nullptr;
    int workers = 0;
    for (const auto& worker : news.workers)
      if (worker.kind == "language" && worker.model == model && worker.alive) {
        ++workers;
        sole = &worker;
      }
    if (workers != 1) continue;
    ++before;
    unfinished = unfinished || sole->held || !versions || !versions->isNewest(model, sole->weights);
  }
  Duration turn = std::min<Duration>(turnMost, timing.rolloutStartTimeout() / turnsMost);
  return unfinished && now < endOfUse(superseded, std::min(before, turnsMost) * turn);
}

void Cell::moveRollouts(Effects& effects, const Configuration& configuration) {
  auto due = workersDue(effects.now, configuration);
  for (auto& [name, keeper] : rows) {
    auto wanted = configuration.weightsOf(keeper.last.model);
    if (!wanted || keeper.machine.kind != "language" || !keeper.known) continue;
    auto& rollout = rolloutOf(name);
    if (!takesPart(keeper, effects.now) || (settings.separateStatus && keeper.machine.leaving)) continue;
    if (effects.now - wonAt < timing.commandHoldoff) continue;
    if (rollout.walk->in("serving"))
      startRollout(effects, keeper, rollout, *wanted, due.count(name) > 0);
    else
      moveRollout(effects, keeper, rollout, *wanted);
  }
}

void Cell::startRollout(Effects& effects, const CacheNode& keeper, Rollout& rollout, const std::string& wanted,
                        bool due) {
  const auto& report = keeper.last;
  bool right = report.weights == wanted;
  if (settings.singleLoadCommand && (right || report.draining)) return;
  if (right && !report.draining) return;
  bool unsettled = report.weights.empty() || report.draining;
  if (!due && !unsettled) return;
  rollout.weights = wanted;
  rollout.model = report.model;
  advance(effects, keeper.machine.name, rollout, "wanted");
}

void Cell::moveRollout(Effects& effects, const CacheNode& keeper, Rollout& rollout, const std::string& wanted) {
  const auto& report = keeper.last;
  const auto& worker = keeper.machine.name;
  bool finishing = settings.singleLoadCommand && rollout.walk->in("loading") && rollout.takenAt >= rollout.sentAt;
  std::string target = finishing ? rollout.weights : wanted;
  bool right = report.weights == target;
  bool unanswered = rollout.takenAt < rollout.sentAt && effects.now - rollout.sentAt >= commandAgain;
  bool idled = rollout.takenAt >= rollout.sentAt && keeper.conditionAt > rollout.takenAt + idleSure && !report.draining;
  bool again = (settings.singleLoadCommand ? unanswered || idled : effects.now - rollout.sentAt >= commandAgain) &&
               defences.isEnabled(Defence::commandAgain);
  Duration since = effects.now - rollout.since;
  auto dispatch = [&](const char* event) { advance(effects, worker, rollout, event); };
  if (rollout.weights != target) {
    rollout.failed = false;
    rollout.weights = target;
    rollout.model = report.model;
    dispatch("wanted");
    since = effects.now - rollout.since;
  }
  if (rollout.walk->in("marking")) {
    bool marked = sequence >= rollout.markSequence && agentsHave(rollout.markSequence, effects.now);
    if (marked || since >= settings.markTimeout)
      dispatch(right && (report.draining || settings.singleLoadCommand) ? "settled" : "cleared");
  } else if (rollout.walk->in("draining")) {
    if (right && report.draining)
      dispatch("settled");
    else if (report.draining && report.running == 0)
      dispatch("emptied");
    else if (since >= drainWait)
      dispatch("overdue");
    else if (again)
      dispatch("again");
  } else if (rollout.walk->in("loading")) {
    if (right)
      dispatch("loaded");
    else if (since >= loadWait)
      dispatch("overdue");
    else if (again)
      dispatch("again");
  } else if (rollout.walk->in("admitting")) {
    if (right && !report.draining)
      dispatch("admitted");
    else if (!right)
      dispatch("wanted");
    else if (again)
      dispatch("again");
  } else if (rollout.walk->in("broken")) {
    if (right)
      dispatch("loaded");
    else if (since >= retryWait)
      dispatch("retry");
  }
}

}  // namespace tt
