#pragma once
#include "http_server_impl.hpp"
#include "request_reader.hpp"
#include "response_framing.hpp"

namespace tt {

/// One client connection: reads a request, passes it to the handler, writes the response, then reads the next request.
/// Runs on the server's single thread.
class HttpServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<Impl> owner, asio::ip::tcp::socket accepted)
      : server(std::move(owner)), socket(std::move(accepted)) {}

  void start();
  /// The server is draining: shortens the deadline of an idle connection.
  void startDraining();
  /// When onDeadline() is to be called, or `never`.
  TimePoint due() const { return deadline; }
  /// Closes an idle or lingering connection, and rejects an incomplete request with status 408. Bytes that arrived
  /// unread, as after a freeze of the process, postpone it, except during a head.
  void onDeadline();
  void close();

  void head(int status, const HttpHeaders& headers, std::optional<std::size_t> length);
  void bytes(std::string_view bytes);
  void end();
  void abort();
  /// Resets the connection of a client that does not read its response, and discards the bytes queued for it.
  void closeSlowClient();
  std::size_t unwritten() const {
    return pending.size() + inFlight.size() - inFlightWritten + framing.finalByteCount();
  }
  bool hasStarted() const { return framing.isStarted(); }
  bool hasEnded() const { return ended; }
  std::optional<ExchangeStatus> activeExchange() const;

  /// The handler's side of the exchange in progress; null between exchanges and after the handler has released it.
  Response* response{nullptr};
  std::function<void()> disconnectHandler;

 private:
  /// The last four lead to the close: `rejecting` and `aborting` write what is queued, `lingering` reads until the
  /// client closes too, because closing with unread bytes would send a reset that can destroy the last response.
  enum class Phase { idle, head, body, exchange, rejecting, aborting, lingering, closed };

  std::shared_ptr<Impl> server;
  asio::ip::tcp::socket socket;
  Phase phase{Phase::idle};
  TimePoint deadline{never};

  std::unique_ptr<char[]> readSpace;
  std::size_t readRoom{0};
  /// `reading`, `watching`: an asynchronous read or error wait is pending. `readEnded`: EOF or a read error was seen.
  bool reading{false}, watching{false}, readEnded{false};
  RequestReader reader;

  ResponseFraming framing;
  bool exchanging{false}, ended{false}, keepsAlive{false};
  TimePoint connectedAt{}, requestReceivedAt{};
  std::size_t requestCount{0};
  /// Keep-alive time announced in the current response, and until when an earlier response promised to keep the
  /// connection.
  Duration promisedKeepAlive{0};
  TimePoint keepAliveUntil{};

  /// `inFlight` is being written to the socket; `pending` is queued behind it.
  std::string pending, inFlight;
  std::size_t inFlightWritten{0};
  bool flushPosted{false};

  void setDeadline(TimePoint moment);
  TimePoint idleDeadline() const;
  /// Whether the system sends a reset, and not an orderly end, when the socket is closed for whatever reason.
  void resetOnClose(bool enabled);

  void read();
  /// Waits for a socket error without reading, for as long as the read buffer is full.
  void watchForErrors();
  void onRead(asio::error_code error, std::size_t size);
  void onReadEnd(asio::error_code error);
  void onFailure();
  void parse();
  /// These return whether to go on with reading the current request.
  bool parseHead();
  bool parseBody();
  void reject(int status);

  void beginExchange();
  void finishExchange();
  /// Ends the exchange and separates the handler's Response from this connection.
  void detach(bool clientLeft);
  /// Ends the exchange, closes the connection and calls the disconnect handler.
  void onClientLeft();
  KeepAlive decideKeepAlive();

  void enqueue(std::string_view bytes);
  /// Flushes in the next turn of the event loop, so that bytes queued in the same turn go out in one write.
  void postFlush();
  void flush();
  void onWritten(asio::error_code error, std::size_t size);
  void onFlushed();
  /// Shuts down sending and reads until the client closes or lingerTimeout passes.
  void lingerClose();
};

/// The handler's side of an exchange. Outlives the connection if the handler keeps it.
class HttpServer::Response : public ResponseWriter {
 public:
  Response(std::shared_ptr<Connection> owner, asio::io_context& context) : connection(std::move(owner)), io(context) {}
  ~Response() override;
  void head(int status, const HttpHeaders& headers, std::optional<std::size_t> length) override;
  void bytes(std::string_view bytes) override;
  void end() override;
  void abort() override;
  void onDisconnect(std::function<void()> handler) override;
  std::size_t unwritten() const override { return connection ? connection->unwritten() : 0; }
  bool started() const override { return connection ? connection->hasStarted() : wasStarted; }

  /// Ends the exchange; from now on the methods do nothing. `left`: the client disconnected before the end.
  void detach(bool left);

 private:
  std::shared_ptr<Connection> connection;
  asio::io_context& io;
  bool clientLeft{false}, wasStarted{false};
};

}  // namespace tt
