#include "operator_drain.hpp"

#include "log.hpp"

namespace tt {
namespace {
constexpr Duration stepEvery = 300ms;
/// How long the last answers have to leave the process.
constexpr Duration lastAnswers = 100ms;
}  // namespace

OperatorDrain::OperatorDrain(asio::io_context& context, PendingResponses& openAnswers, Hands drainHands)
    : answers(openAnswers), hands(std::move(drainHands)), timer(context) {}

void OperatorDrain::start(TimePoint exitsBy) {
  if (hasStarted()) return;
  phase = Phase::waiting;
  endsBy = exitsBy - lastAnswers;
  wait();
}

void OperatorDrain::wait() {
  timer.expires_after(std::min<Duration>(stepEvery, std::max<Duration>(endsBy - Clock::now(), 1ms)));
  timer.async_wait([this](asio::error_code error) {
    if (!error) step();
  });
}

void OperatorDrain::step() {
  bool isSettled = answers.count() == 0 && hands.safeToStop();
  if (!isSettled && Clock::now() < endsBy) return wait();
  phase = Phase::refusing;
  refuseAll();
  timer.expires_after(lastAnswers);
  timer.async_wait([this](asio::error_code error) {
    if (!error) hands.ended();
  });
}

void OperatorDrain::refuseAll() {
  auto waiting = answers.removeAll();
  logInfo("Ending with " + std::to_string(waiting.size()) + " calls of operators refused, copies " +
          (hands.safeToStop() ? "enough." : "too few."));
  for (const auto& answer : waiting) hands.refuse(*answer);
}

}  // namespace tt
