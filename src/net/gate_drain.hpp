#pragma once
#include "drain_plan.hpp"
#include "gate.hpp"

namespace tt {

/// Takes a gate out of service as a plan says: no new connections once clients are led elsewhere, then an end as soon
/// as all connections are closed, or when the plan's time is over. All on the context's one thread.
class HttpServerDrain {
 public:
  HttpServerDrain(asio::io_context& context, HttpServer& drained);
  bool hasStarted() const { return started; }
  /// Calls back once, at the end; the process may then exit.
  void start(const DrainPlan& drainPlan, std::function<void()> onEnd);

 private:
  HttpServer& gate;
  asio::steady_timer timer;
  DrainPlan plan;
  std::function<void()> ended;
  bool started{false};
  void wait();
  void step();
  void tellGivenUp() const;
};

}  // namespace tt
