#pragma once
#include <unordered_set>

#include "http_server.hpp"

namespace tt {

/// A deadline that never expires.
constexpr TimePoint never = TimePoint::max();

/// The listening side of the server: accepts connections, closes those whose deadline has passed, and bounds the
/// response bytes queued in memory. Runs on the io_context's single thread.
struct HttpServer::Impl : std::enable_shared_from_this<Impl> {
  Impl(asio::io_context& context, std::string listenAddress, HttpHandler requestHandler)
      : io(context),
        address(std::move(listenAddress)),
        handler(std::move(requestHandler)),
        acceptor(context),
        acceptRetryTimer(context),
        sweepTimer(context) {}
  asio::io_context& io;
  std::string address;
  HttpHandler handler;
  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer acceptRetryTimer, sweepTimer;
  HttpServerLimits limits;
  bool draining{false}, closed{false};
  std::unordered_set<std::shared_ptr<Connection>> connections;
  std::size_t exchanges{0};
  TimePoint sweepAt{never}, lastSweep{};
  std::size_t queuedBytes{0};
  std::uint64_t receivedBytes{0};
  bool closeSlowClientsPosted{false};

  Result<void> open();
  void accept();
  void stopAccepting();
  /// Schedules a sweep at or shortly after the given deadline of a connection. Sweeps keep a minimum interval, so that
  /// one timer serves all connections.
  void scheduleSweep(TimePoint moment);
  /// Calls onDeadline() of every connection whose deadline has passed.
  void sweep();
  void close();
  /// Counts newly queued response bytes, and posts closeSlowClients() once they exceed maxQueuedBytes.
  void addQueuedBytes(std::size_t bytes);
  /// Closes the connections with the most unwritten bytes until the queued bytes are within the limit.
  void closeSlowClients();
};

}  // namespace tt
