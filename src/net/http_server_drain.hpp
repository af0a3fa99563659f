#pragma once
#include "drain_plan.hpp"
#include "http_server.hpp"

namespace tt {

/// Takes an HttpServer out of service as its DrainPlan says: it keeps accepting until clients have been directed
/// elsewhere, and ends once all connections are closed or the plan's time is over. Runs on the io_context's single
/// thread.
class HttpServerDrain {
 public:
  HttpServerDrain(asio::io_context& context, HttpServer& httpServer);
  bool hasStarted() const { return started; }
  /// Starts draining. Calls back once at the end, after which the process may exit. Further calls do nothing.
  void start(const DrainPlan& drainPlan, std::function<void()> endCallback);

 private:
  HttpServer& server;
  asio::steady_timer timer;
  DrainPlan plan;
  std::function<void()> onEnded;
  bool started{false};
  void wait();
  void step();
  void logUnfinishedExchanges() const;
};

}  // namespace tt
