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

/// What callers may take of the gate.
struct HttpServerLimits {
  std::size_t maxHeaderBytes{16384}, maxBodyBytes{4u << 20};
  /// How long a head may take from its first byte, and a body may go without a byte.
  Duration headerTimeout{3s};
  /// How long a connection without a request is kept.
  Duration idleTimeout{15s};
  /// How long an idle connection is kept once the gate is leaving.
  Duration idleClose{300ms};
  /// How many bytes of answers may wait, over all connections, for callers to take them.
  std::size_t maxQueuedBytes{64u << 20};
};

/// One whole and sound request; the body is decoded from its chunks.
struct HttpRequest {
  std::string method, target;
  HttpHeaders headers;
  std::string body;
};

/// What the gate knows of an exchange under way.
struct ExchangeStatus {
  TimePoint connectedAt{}, takenAt{};
  /// Which request of its connection it is, from 1.
  std::size_t requestNumber{0};
  bool answerStarted{false};
};

/// One exchange. Safe to keep after the caller has gone: calls then do nothing.
/// Whoever lets go of the last reference before the end cuts the answer.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  /// Starts the answer; without a length the body goes in chunks.
  virtual void head(int status, const HttpHeaders& headers, std::optional<std::size_t> length) = 0;
  virtual void bytes(std::string_view bytes) = 0;
  /// The answer is whole. One whose length was not filled is cut.
  virtual void end() = 0;
  /// Ends the connection so that the answer cannot look whole.
  virtual void abort() = 0;
  /// Called once if the caller goes away before the end (EOF, reset or write error), also while nothing is being
  /// written; never from within a call on this answer, and not when the gate itself is closed.
  virtual void onDisconnect(std::function<void()> gone) = 0;
  /// Bytes not yet taken by the socket.
  virtual std::size_t unwritten() const = 0;
  virtual bool started() const = 0;
};
using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<ResponseWriter>)>;

/// The door for callers: an HTTP/1.1 server that lets in only sound requests. All on the context's one thread.
/// The gate is to be closed or destroyed before its context.
class HttpServer {
 public:
  /// The address is ip:port; port 0 takes a free one.
  HttpServer(asio::io_context& context, std::string address, HttpHandler handler);
  ~HttpServer();
  Result<void> open();
  /// The port listened at, once open.
  unsigned short port() const;
  /// For requests that begin from now on.
  void setLimits(const HttpServerLimits& limits);
  /// From now on every answer says Connection: close, and connections without a request are closed after idleClose.
  /// New connections are still taken and served.
  void leave();
  /// Takes no more connections; those that are open go on.
  void stopAccepting();
  /// Stops accepting and closes all connections.
  void close();
  /// Open connections.
  std::size_t connections() const;
  /// Exchanges under way: handed over, and their answers not yet wholly taken by the socket.
  std::size_t exchanges() const;
  /// The exchanges under way, in no order.
  std::vector<ExchangeStatus> exchangesUnderWay() const;
  /// Bytes of answers that wait for callers to take them.
  std::size_t queued() const;
  /// Bytes read from callers so far.
  std::uint64_t bytesReceived() const;

 private:
  struct Inner;
  class Connection;
  class Answer;
  std::shared_ptr<Inner> inner;
};

}  // namespace tt
