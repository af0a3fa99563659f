#include "operator_drain.hpp"

#include "log.hpp"

namespace tt {
namespace {
constexpr Duration pollInterval = 300ms;
/// Time for the last responses to be sent before the process exits.
constexpr Duration flushDelay = 100ms;
}  // namespace

OperatorDrain::OperatorDrain(asio::io_context& context, PendingResponses& pending, Callbacks drainCallbacks)
    : pendingResponses(pending), callbacks(std::move(drainCallbacks)), timer(context) {}

void OperatorDrain::start(TimePoint exitsBy) {
  if (hasStarted()) return;
  phase = Phase::waiting;
  endsBy = exitsBy - flushDelay;
  wait();
}

void OperatorDrain::wait() {
  timer.expires_after(std::min<Duration>(pollInterval, std::max<Duration>(endsBy - Clock::now(), 1ms)));
  timer.async_wait([this](asio::error_code error) {
    if (!error) step();
  });
}

void OperatorDrain::step() {
  bool canEnd = pendingResponses.count() == 0 && callbacks.safeToStop();
  if (!canEnd && Clock::now() < endsBy) return wait();
  phase = Phase::rejecting;
  rejectAll();
  timer.expires_after(flushDelay);
  timer.async_wait([this](asio::error_code error) {
    if (!error) callbacks.onEnded();
  });
}

void OperatorDrain::rejectAll() {
  auto waiting = pendingResponses.removeAll();
  logInfo("Shutting down: rejecting " + std::to_string(waiting.size()) +
          " pending operator requests; replicas of the records: " + (callbacks.safeToStop() ? "enough." : "too few."));
  for (const auto& response : waiting) callbacks.reject(*response);
}

}  // namespace tt
