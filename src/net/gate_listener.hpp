#pragma once
#include <unordered_set>

#include "gate.hpp"

namespace tt {

constexpr TimePoint never = TimePoint::max();

/// The listening side of a gate: takes connections, ends those whose time is over, and keeps the bytes that wait for
/// clients within their limit. All on the context's one thread.
struct HttpServer::Inner : std::enable_shared_from_this<Inner> {
  Inner(asio::io_context& context, std::string at, HttpHandler taken)
      : io(context),
        address(std::move(at)),
        handler(std::move(taken)),
        acceptor(context),
        pause(context),
        sweepTimer(context) {}
  asio::io_context& io;
  std::string address;
  HttpHandler handler;
  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer pause, sweepTimer;
  HttpServerLimits limits;
  bool leaving{false}, closed{false};
  std::unordered_set<std::shared_ptr<Connection>> connections;
  std::size_t exchanges{0};
  TimePoint sweepAt{never}, lastSweep{};
  std::size_t queuedBytes{0};
  std::uint64_t receivedBytes{0};
  bool shedPosted{false};

  Result<void> open();
  void accept();
  void stopAccepting();
  /// Has a connection's deadline looked at by then.
  void wakeBy(TimePoint moment);
  /// Ends the connections whose deadlines have passed.
  void sweep();
  void close();
  /// Counts bytes that begin to wait; once too many do, the callers that have left most behind are let go.
  void queue(std::size_t bytes);
  void shed();
};

}  // namespace tt
