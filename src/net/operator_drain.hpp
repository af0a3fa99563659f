#pragma once
#include "web.hpp"

namespace tt {

/// Orderly shutdown of a process that serves operators. Waits until no request is pending and the process can stop
/// safely, at most until a deadline. Then it rejects the requests still pending and leaves time for the last responses
/// to be sent. Runs on the io_context's single thread.
class OperatorDrain {
 public:
  struct Callbacks {
    /// Whether the process can stop without a loss of data, for instance of records that no other process has yet.
    std::function<bool()> safeToStop;
    /// Rejects a pending request.
    std::function<void(WebResponse& response)> reject;
    /// Called once at the end; the process may then exit.
    std::function<void()> onEnded;
  };
  OperatorDrain(asio::io_context& context, PendingResponses& pending, Callbacks drainCallbacks);
  /// Starts the shutdown, which ends by the given time at the latest. Further calls do nothing.
  void start(TimePoint exitsBy);
  bool hasStarted() const { return phase != Phase::serving; }
  /// Whether new requests must be rejected at once.
  bool rejectsRequests() const { return phase == Phase::rejecting; }

 private:
  enum class Phase { serving, waiting, rejecting };
  PendingResponses& pendingResponses;
  Callbacks callbacks;
  asio::steady_timer timer;
  Phase phase{Phase::serving};
  TimePoint endsBy{};
  void wait();
  void step();
  void rejectAll();
};

}  // namespace tt
