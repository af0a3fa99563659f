#pragma once
#ifndef ASIO_STANDALONE
#define ASIO_STANDALONE
#endif
#include <asio.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "base.hpp"
#include "http.hpp"

namespace tt {

/// Size limits and timeouts that protect the server from its clients.
struct HttpServerLimits {
  /// Limits of a request: its head, including the request line, and its decoded body.
  std::size_t maxHeaderBytes{16384}, maxBodyBytes{4u << 20};
  /// Longest time from the first to the last byte of a request head, and between two reads of a request body.
  Duration headerTimeout{3s};
  /// How long a connection is kept open without a request.
  Duration idleTimeout{15s};
  /// The same while the server is draining.
  Duration drainIdleTimeout{300ms};
  /// Response bytes that may be queued over all connections. Above this, the connections with the largest queues are
  /// closed.
  std::size_t maxQueuedBytes{64u << 20};
};

/// A complete, well-formed request. A chunked body is decoded.
struct HttpRequest {
  std::string method, target;
  HttpHeaders headers;
  std::string body;
};

/// State of one exchange (a request and its response) in progress.
struct ExchangeStatus {
  TimePoint connectedAt{}, requestReceivedAt{};
  /// Number of the request on its connection, counted from 1.
  std::size_t requestNumber{0};
  bool responseStarted{false};
};

/// Writes the response of one exchange. It may outlive the connection: once the client has disconnected, its methods do
/// nothing. Releasing the last reference before end() aborts the response.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  /// Sends status line and headers. Without a length the body is sent chunked.
  virtual void head(int status, const HttpHeaders& headers, std::optional<std::size_t> length) = 0;
  /// Sends a piece of the body. More bytes than the announced length abort the response.
  virtual void bytes(std::string_view bytes) = 0;
  /// Completes the response. If fewer bytes were sent than announced, the response is aborted instead.
  virtual void end() = 0;
  /// Closes the connection in a way that the client cannot take the response for a complete one.
  virtual void abort() = 0;
  /// Sets a handler that is called once if the client disconnects before end() (EOF, reset or write error), also while
  /// nothing is being written. It is never called from within a method of this object, nor when the server itself
  /// closes the connection.
  virtual void onDisconnect(std::function<void()> handler) = 0;
  /// Bytes queued and not yet accepted by the socket.
  virtual std::size_t unwritten() const = 0;
  /// Whether the head has been queued for sending.
  virtual bool started() const = 0;
};
using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<ResponseWriter>)>;

/// HTTP/1.1 server for clients' requests. Malformed requests are answered with an error and never reach the handler.
/// Not thread-safe: all calls and callbacks happen on the single thread that runs the io_context. Must be closed or
/// destroyed before the io_context.
class HttpServer {
 public:
  /// The address is ip:port. Port 0 lets the system choose a free port.
  HttpServer(asio::io_context& context, std::string address, HttpHandler handler);
  ~HttpServer();
  /// Binds the address and starts accepting. Fails with badProps if the address is invalid or cannot be bound.
  Result<void> open();
  /// The port the server listens on, valid after open().
  unsigned short port() const;
  /// Applies to requests that begin after this call.
  void setLimits(const HttpServerLimits& limits);
  /// From now on responses carry "Connection: close", and idle connections are closed after drainIdleTimeout. New
  /// connections are still accepted and served.
  void startDraining();
  /// Stops listening; open connections continue.
  void stopAccepting();
  /// Stops accepting and closes all connections.
  void close();
  /// Number of open connections.
  std::size_t connections() const;
  /// Number of exchanges whose request was passed to the handler and whose response the socket has not fully accepted.
  std::size_t exchanges() const;
  /// Exchanges in progress, in no particular order.
  std::vector<ExchangeStatus> activeExchanges() const;
  /// Response bytes queued over all connections.
  std::size_t queued() const;
  /// Total bytes read from clients.
  std::uint64_t bytesReceived() const;

 private:
  struct Impl;
  class Connection;
  class Response;
  std::shared_ptr<Impl> impl;
};

}  // namespace tt
