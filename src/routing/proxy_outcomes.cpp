/// Handles the end of an attempt: decides on a retry or sends the request's final status.
#include "proxy_router.hpp"

#include <algorithm>

namespace tt {
namespace {
/// How many unsent attempts do not count towards the limit of attempts.
constexpr int maxUnsentAttempts = 3;
/// Attempts of a request whose route does not set a limit.
constexpr int defaultAttemptLimit = 3;
}  // namespace

bool ProxyRouter::retryBudgetAllows(TimePoint now) const {
  if (!settings.defences.isEnabled(Defence::retryBudget)) return true;
  auto fits = [&](Duration window) {
    auto within = [&](const std::deque<TimePoint>& times) {
      return static_cast<double>(times.end() - std::lower_bound(times.begin(), times.end(), now - window));
    };
    return within(retryTimes) + 1 <=
           std::max(settings.minRetriesPerWindow, settings.retryBudgetRatio * within(admissionTimes));
  };
  return fits(settings.retryBudgetWindow) && fits(settings.retryBurstWindow);
}

void ProxyRouter::sendFinalStatus(Effects& effects, Request& request, const std::string& outcome, Code code,
                                  const std::string& subject) {
  CallerVerdict status;
  status.requestId = request.submitted.requestId;
  status.verdict = outcome;
  status.code = static_cast<int>(code);
  status.subject = subject;
  status.text = codeText(code);
  if (outcome == "not run")
    status.retryAfterMs = code == Code::keyDenied || code == Code::keyRevoked ? 0 : retryDelayMs(effects, code);
  status.tries = request.attempts;
  int transferred = std::min(request.attemptEnd.local, request.transferredBlocks);
  status.local = request.attemptEnd.local - transferred;
  status.fetched = request.attemptEnd.fetched + transferred;
  status.computed = request.attemptEnd.computed;
  status.worker = request.plan.worker;
  status.began = request.responseStarted;
  effects.note("verdict " + outcome, request.submitted.requestId, static_cast<int>(code));
  effects.send("caller", status);
}

void ProxyRouter::endNotRunOrUnknown(Effects& effects, Request& request, Code code, const std::string& subject) {
  sendFinalStatus(effects, request, request.mayHaveRun ? "unknown" : "not run", code, subject);
}

int ProxyRouter::maxAttemptsFor(const Request& request) const {
  return request.route.tries > 0 ? request.route.tries : defaultAttemptLimit;
}

void ProxyRouter::finishPrefill(Effects& effects, Request& request, bool completed) {
  if (!request.prefillCounted) return;
  request.prefillCounted = false;
  if (!request.plan.model.empty())
    effects.send(settings.agentAddress, PrefillEnded{request.attemptId, request.plan.zone, request.plan.worker,
                                                     request.plan.hashes, completed});
  auto& stats = workerStats[request.plan.worker];
  stats.tokensToPrefill = std::max(0, stats.tokensToPrefill - request.plan.tokensToPrefill);
}

void ProxyRouter::freeWorker(Effects& effects, Request& request) {
  finishPrefill(effects, request, false);
  if (!request.countedOpen) return;
  request.countedOpen = false;
  auto& stats = workerStats[request.plan.worker];
  if (stats.open > 0) --stats.open;
  if (auto open = openByTenant.find(request.tenant); open != openByTenant.end() && --open->second <= 0)
    openByTenant.erase(open);
}

void ProxyRouter::passChunk(Effects& effects, Request& request) {
  if (!request.responseStarted && request.route.matchesPath() && !request.plan.model.empty())
    recordQueueingDelay(request, effects.now);
  if (!request.responseStarted && request.plan.source)
    effects.note("transfer inferred", request.plan.source->name, toMilliseconds(effects.now - request.lastActivityAt));
  finishPrefill(effects, request, true);
  request.responseStarted = true;
  effects.send("caller", CallerChunk{request.submitted.requestId, request.chunk});
  request.lastActivityAt = effects.now;
}

void ProxyRouter::endDone(Effects& effects, Request& request) {
  completionTimes.push_back(effects.now);
  sendFinalStatus(effects, request, "done", Code::done);
}

void ProxyRouter::endFailed(Effects& effects, Request& request) {
  sendFinalStatus(effects, request, "failed", Code::workerFailed, request.plan.worker);
}

void ProxyRouter::endBroken(Effects& effects, Request& request) {
  bool reportsBreak = settings.defences.isEnabled(Defence::brokenSaysSo);
  sendFinalStatus(effects, request, reportsBreak ? "failed" : "done", reportsBreak ? Code::workerBroke : Code::done,
                  request.plan.worker);
}

void ProxyRouter::endSilent(Effects& effects, Request& request) {
  sendFinalStatus(effects, request, "failed", Code::workerSilent, request.plan.worker);
}

void ProxyRouter::endRevoked(Effects& effects, Request& request) {
  sendFinalStatus(effects, request, "failed", endedByProxy(request) ? request.lastCode : Code::keyRevoked);
}

void ProxyRouter::denyLate(Effects& effects, Request& request) {
  endNotRunOrUnknown(effects, request, request.lastCode);
}

void ProxyRouter::denyKey(Effects& effects, Request& request) {
  if (endedByProxy(request)) return endNotRunOrUnknown(effects, request, request.lastCode);
  endNotRunOrUnknown(effects, request, Code::keyDenied, "authorization");
}

void ProxyRouter::dropOrder(Effects& effects, Request& request) {
  effects.send(request.plan.address, WorkerDrop{request.attemptId});
}

void ProxyRouter::weighUnsent(Effects& effects, Request& request) {
  if (!request.plan.sinkAddress.empty()) prefixSavedAt.erase(request.plan.hashes.back());
  freeWorker(effects, request);
  request.triedWorkers.insert(request.plan.worker);
  requestIdByAttempt.erase(request.attemptId);
  if (request.route.matchesPath() &&
      static_cast<AttemptOutcome>(request.attemptEnd.outcome) == AttemptOutcome::brokenBeforeSend &&
      ++request.unsentAttempts <= maxUnsentAttempts)
    --request.attempts;
  request.retryRequested = request.attempts < maxAttemptsFor(request) && !isPastDeadline(request, effects.now);
  if (!request.retryRequested) endNotRunOrUnknown(effects, request, Code::noWorker);
}

void ProxyRouter::weighResume(Effects& effects, Request& request) {
  freeWorker(effects, request);
  request.triedWorkers.insert(request.plan.worker);
  requestIdByAttempt.erase(request.attemptId);
  request.mayHaveRun = true;
  bool canResume = !request.lastEventId.empty();
  request.retryRequested = canResume && request.attempts < maxAttemptsFor(request) && retryBudgetAllows(effects.now) &&
                           !isPastDeadline(request, effects.now);
  if (!request.retryRequested) sendFinalStatus(effects, request, "failed", Code::workerBroke, request.plan.worker);
}

void ProxyRouter::weighBroken(Effects& effects, Request& request) {
  freeWorker(effects, request);
  /// If only a reused connection is known to have ended, the worker itself may be selected again.
  if (static_cast<AttemptOutcome>(request.attemptEnd.outcome) != AttemptOutcome::lostOnIdleConnection)
    request.triedWorkers.insert(request.plan.worker);
  requestIdByAttempt.erase(request.attemptId);
  request.mayHaveRun = settings.defences.isEnabled(Defence::unknownOnceSent);
  bool mayRepeat = request.submitted.repeatable || !settings.defences.isEnabled(Defence::retryOnlyRepeatable);
  request.retryRequested =
      mayRepeat && request.attempts < maxAttemptsFor(request) && !isPastDeadline(request, effects.now);
  if (!request.retryRequested) endNotRunOrUnknown(effects, request, Code::workerBroke, request.plan.worker);
}

void ProxyRouter::redraw(Effects& effects, Request& request) {
  request.pendingSince = effects.now;
  pending.push_front(request.submitted.requestId);
}

void ProxyRouter::drawAgain(Effects&, Request& request) {
  request.plan = RoutingPlan{};
  pending.push_front(request.submitted.requestId);
}

}  // namespace tt
