#include "http_server_drain.hpp"

#include "log.hpp"

namespace tt {
namespace {
constexpr Duration pollInterval = 50ms;
}  // namespace

HttpServerDrain::HttpServerDrain(asio::io_context& context, HttpServer& httpServer)
    : server(httpServer), timer(context) {}

void HttpServerDrain::start(const DrainPlan& drainPlan, std::function<void()> endCallback) {
  if (std::exchange(started, true)) return;
  plan = drainPlan;
  onEnded = std::move(endCallback);
  server.startDraining();
  wait();
}

void HttpServerDrain::wait() {
  timer.expires_after(pollInterval);
  timer.async_wait([this](asio::error_code error) {
    if (!error) step();
  });
}

void HttpServerDrain::step() {
  TimePoint now = Clock::now();
  if (now >= plan.refusesFrom) server.stopAccepting();
  bool allClosed = now >= plan.refusesFrom && server.connections() == 0;
  if (!allClosed && now < plan.exitsBy) return wait();
  logUnfinishedExchanges();
  onEnded();
}

void HttpServerDrain::logUnfinishedExchanges() const {
  auto sinceSignal = [this](TimePoint timePoint) {
    return std::to_string(toMilliseconds(timePoint - plan.startedAt)) + " ms";
  };
  auto exchanges = server.activeExchanges();
  logInfo("HTTP server stops " + sinceSignal(Clock::now()) +
          " after the stop signal: " + std::to_string(server.connections()) + " connections open, " +
          std::to_string(exchanges.size()) + " exchanges unfinished.");
  for (const auto& exchange : exchanges)
    logWarning("Unfinished request " + std::to_string(exchange.requestNumber) + " of a connection: connected " +
               sinceSignal(exchange.connectedAt) + ", received " + sinceSignal(exchange.requestReceivedAt) +
               (exchange.responseStarted ? " after the stop signal, response started."
                                         : " after the stop signal, no response."));
}

}  // namespace tt
