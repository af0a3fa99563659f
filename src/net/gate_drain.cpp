#include "gate_drain.hpp"

#include "log.hpp"

namespace tt {
namespace {
constexpr Duration stepEvery = 50ms;
}  // namespace

HttpServerDrain::HttpServerDrain(asio::io_context& context, HttpServer& drained) : gate(drained), timer(context) {}

void HttpServerDrain::start(const DrainPlan& drainPlan, std::function<void()> onEnd) {
  if (std::exchange(started, true)) return;
  plan = drainPlan;
  ended = std::move(onEnd);
  gate.leave();
  wait();
}

void HttpServerDrain::wait() {
  timer.expires_after(stepEvery);
  timer.async_wait([this](asio::error_code error) {
    if (!error) step();
  });
}

void HttpServerDrain::step() {
  TimePoint now = Clock::now();
  if (now >= plan.refusesFrom) gate.stopAccepting();
  bool isEmpty = now >= plan.refusesFrom && gate.connections() == 0;
  if (!isEmpty && now < plan.exitsBy) return wait();
  tellGivenUp();
  ended();
}

void HttpServerDrain::tellGivenUp() const {
  auto sinceSignal = [this](TimePoint moment) {
    return std::to_string(toMilliseconds(moment - plan.startedAt)) + " ms";
  };
  auto exchanges = gate.exchangesUnderWay();
  logInfo("Ending " + sinceSignal(Clock::now()) + " after the signal: connections " +
          std::to_string(gate.connections()) + ", exchanges " + std::to_string(exchanges.size()) + ".");
  for (const auto& exchange : exchanges)
    logWarning("Gave up request " + std::to_string(exchange.requestNumber) + " of a connection: opened " +
               sinceSignal(exchange.connectedAt) + ", taken " + sinceSignal(exchange.takenAt) +
               (exchange.answerStarted ? " after the signal, answer started." : " after the signal, no answer."));
}

}  // namespace tt
