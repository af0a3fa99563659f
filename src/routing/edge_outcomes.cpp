/// What becomes of an order: its verdict, and whether it is tried again.
#include "edge.hpp"

#include <algorithm>

namespace tt {
namespace {
constexpr int mostUnsent = 3;
constexpr int mostTries = 3;
}  // namespace

bool ProxyRouter::mayRetry(TimePoint now) const {
  if (!settings.defences.isEnabled(Defence::retryBudget)) return true;
  auto fits = [&](Duration span) {
    auto within = [&](const std::deque<TimePoint>& moments) {
      return static_cast<double>(moments.end() - std::lower_bound(moments.begin(), moments.end(), now - span));
    };
    return within(retriedAt) + 1 <=
           std::max(settings.minRetriesPerWindow, settings.retryBudgetRatio * within(admittedAt));
  };
  return fits(settings.retryBudgetWindow) && fits(settings.retryBurstWindow);
}

void ProxyRouter::verdict(Effects& effects, Order& order, const std::string& word, Code code,
                          const std::string& subject) {
  CallerVerdict said;
  said.orderId = order.ask.orderId;
  said.verdict = word;
  said.code = static_cast<int>(code);
  said.subject = subject;
  said.text = codeText(code);
  if (word == "not run")
    said.retryAfterMs = code == Code::keyDenied || code == Code::keyRevoked ? 0 : comeBackMs(effects, code);
  said.tries = order.tries;
  int moved = std::min(order.end.local, order.movedBlocks);
  said.local = order.end.local - moved;
  said.fetched = order.end.fetched + moved;
  said.computed = order.end.computed;
  said.worker = order.plan.worker;
  said.began = order.began;
  effects.note("verdict " + word, order.ask.orderId, static_cast<int>(code));
  effects.send("caller", said);
}

void ProxyRouter::denyOrUnknown(Effects& effects, Order& order, Code code, const std::string& subject) {
  verdict(effects, order, order.mayHaveRun ? "unknown" : "not run", code, subject);
}

int ProxyRouter::mostTriesOf(const Order& order) const { return order.route.tries > 0 ? order.route.tries : mostTries; }

void ProxyRouter::readDone(Effects& effects, Order& order, bool read) {
  if (!order.unreadCounted) return;
  order.unreadCounted = false;
  if (!order.plan.model.empty())
    effects.send(settings.agentAddress,
                 PrefillEnded{order.sendId, order.plan.zone, order.plan.worker, order.plan.hashes, read});
  auto& local = locals[order.plan.worker];
  local.unread = std::max(0, local.unread - order.plan.unread);
}

void ProxyRouter::freeWorker(Effects& effects, Order& order) {
  readDone(effects, order, false);
  if (!order.counted) return;
  order.counted = false;
  auto& local = locals[order.plan.worker];
  if (local.open > 0) --local.open;
  if (auto open = openByTenant.find(order.tenant); open != openByTenant.end() && --open->second <= 0)
    openByTenant.erase(open);
}

void ProxyRouter::passChunk(Effects& effects, Order& order) {
  if (!order.began && order.route.matchesPath() && !order.plan.model.empty()) noteDelay(order, effects.now);
  if (!order.began && order.plan.source)
    effects.note("transfer inferred", order.plan.source->name, toMilliseconds(effects.now - order.heardAt));
  readDone(effects, order, true);
  order.began = true;
  effects.send("caller", CallerChunk{order.ask.orderId, order.chunk});
  order.heardAt = effects.now;
}

void ProxyRouter::endDone(Effects& effects, Order& order) {
  doneAt.push_back(effects.now);
  verdict(effects, order, "done", Code::done);
}

void ProxyRouter::endFailed(Effects& effects, Order& order) {
  verdict(effects, order, "failed", Code::workerFailed, order.plan.worker);
}

void ProxyRouter::endBroken(Effects& effects, Order& order) {
  bool says = settings.defences.isEnabled(Defence::brokenSaysSo);
  verdict(effects, order, says ? "failed" : "done", says ? Code::workerBroke : Code::done, order.plan.worker);
}

void ProxyRouter::endSilent(Effects& effects, Order& order) {
  verdict(effects, order, "failed", Code::workerSilent, order.plan.worker);
}

void ProxyRouter::endRevoked(Effects& effects, Order& order) {
  verdict(effects, order, "failed", endsWithProxy(order) ? order.lastCode : Code::keyRevoked);
}

void ProxyRouter::denyLate(Effects& effects, Order& order) { denyOrUnknown(effects, order, order.lastCode); }

void ProxyRouter::denyKey(Effects& effects, Order& order) {
  if (endsWithProxy(order)) return denyOrUnknown(effects, order, order.lastCode);
  denyOrUnknown(effects, order, Code::keyDenied, "authorization");
}

void ProxyRouter::dropOrder(Effects& effects, Order& order) {
  effects.send(order.plan.address, WorkerDrop{order.sendId});
}

void ProxyRouter::weighUnsent(Effects& effects, Order& order) {
  if (!order.plan.sinkAddress.empty()) savedAt.erase(order.plan.hashes.back());
  freeWorker(effects, order);
  order.tried.insert(order.plan.worker);
  orderBySend.erase(order.sendId);
  if (order.route.matchesPath() && static_cast<OrderOutcome>(order.end.outcome) == OrderOutcome::brokenBeforeSend &&
      ++order.unsent <= mostUnsent)
    --order.tries;
  order.retryAsked = order.tries < mostTriesOf(order) && !overdue(order, effects.now);
  if (!order.retryAsked) denyOrUnknown(effects, order, Code::noWorker);
}

void ProxyRouter::weighResume(Effects& effects, Order& order) {
  freeWorker(effects, order);
  order.tried.insert(order.plan.worker);
  orderBySend.erase(order.sendId);
  order.mayHaveRun = true;
  bool mayGoOn = !order.lastPiece.empty();
  order.retryAsked =
      mayGoOn && order.tries < mostTriesOf(order) && mayRetry(effects.now) && !overdue(order, effects.now);
  if (!order.retryAsked) verdict(effects, order, "failed", Code::workerBroke, order.plan.worker);
}

void ProxyRouter::weighBroken(Effects& effects, Order& order) {
  freeWorker(effects, order);
  if (static_cast<OrderOutcome>(order.end.outcome) != OrderOutcome::forgotten) order.tried.insert(order.plan.worker);
  orderBySend.erase(order.sendId);
  order.mayHaveRun = settings.defences.isEnabled(Defence::unknownOnceSent);
  bool mayRepeat = order.ask.repeatable || !settings.defences.isEnabled(Defence::retryOnlyRepeatable);
  order.retryAsked = mayRepeat && order.tries < mostTriesOf(order) && !overdue(order, effects.now);
  if (!order.retryAsked) denyOrUnknown(effects, order, Code::workerBroke, order.plan.worker);
}

void ProxyRouter::redraw(Effects& effects, Order& order) {
  order.takenAt = effects.now;
  pending.push_front(order.ask.orderId);
}

void ProxyRouter::drawAgain(Effects&, Order& order) {
  order.plan = Plan{};
  pending.push_front(order.ask.orderId);
}

}  // namespace tt
