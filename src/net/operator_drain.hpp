#pragma once
#include "web.hpp"

namespace tt {

/// Ends a process that serves operators in order: it waits until nobody waits for an answer and what it holds may go
/// with it, at most until its time is over; then whoever still waits is refused, and the answers have time to leave.
/// All on the context's one thread.
class OperatorDrain {
 public:
  struct Hands {
    /// Whether the process may end for what it holds, such as records that others do not have yet.
    std::function<bool()> safeToStop;
    /// Answers one who would otherwise be left without an answer.
    std::function<void(WebResponse& answer)> refuse;
    /// Called once, at the end; the process may then exit.
    std::function<void()> ended;
  };
  OperatorDrain(asio::io_context& context, PendingResponses& openAnswers, Hands drainHands);
  void start(TimePoint exitsBy);
  bool hasStarted() const { return phase != Phase::serving; }
  /// Whether calls that come now are to be refused at once.
  bool refuses() const { return phase == Phase::refusing; }

 private:
  enum class Phase { serving, waiting, refusing };
  PendingResponses& answers;
  Hands hands;
  asio::steady_timer timer;
  Phase phase{Phase::serving};
  TimePoint endsBy{};
  void wait();
  void step();
  void refuseAll();
};

}  // namespace tt
