#include "http_server_connection.hpp"

#include <netinet/tcp.h>
#include <algorithm>

namespace tt {
namespace {

using Tcp = asio::ip::tcp;

constexpr std::size_t smallReadSize = 4096, largeReadSize = 64 * 1024;
/// While an exchange is in progress, at most about this much of the following requests is read ahead. TCP flow control
/// then holds the client back.
constexpr std::size_t maxPipelinedBytes = 64 * 1024;
/// Larger write buffers are freed after use.
constexpr std::size_t maxRetainedCapacity = 64 * 1024;
constexpr Duration lingerTimeout = 500ms, deadlineExtension = 100ms;
constexpr int requestTimeout = 408;
/// TCP keep-alive probes find a vanished client on an idle connection after about 16 s. While sent data stays
/// unacknowledged, the connection fails after 2 s.
constexpr int keepIdleSeconds = 10, keepIntervalSeconds = 2, keepProbes = 3, userTimeoutMs = 2000;

void setTcpOptions(Tcp::socket& socket) {
  asio::error_code ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  int handle = socket.native_handle();
  auto set = [handle](int option, int value) { ::setsockopt(handle, IPPROTO_TCP, option, &value, sizeof value); };
  set(TCP_KEEPIDLE, keepIdleSeconds);
  set(TCP_KEEPINTVL, keepIntervalSeconds);
  set(TCP_KEEPCNT, keepProbes);
  set(TCP_USER_TIMEOUT, userTimeoutMs);
}

}  // namespace

void HttpServer::Connection::start() {
  setTcpOptions(socket);
  connectedAt = Clock::now();
  setDeadline(idleDeadline());
  read();
}

void HttpServer::Connection::startDraining() {
  if (phase == Phase::idle) setDeadline(std::min(deadline, Clock::now() + server->limits.drainIdleTimeout));
}

void HttpServer::Connection::setDeadline(TimePoint moment) {
  deadline = moment;
  if (moment != never) server->scheduleSweep(moment);
}

void HttpServer::Connection::read() {
  if (reading || phase == Phase::closed) return;
  if (phase == Phase::exchange && reader.unreadBytes() >= maxPipelinedBytes) return watchForErrors();
  std::size_t room = phase == Phase::body || phase == Phase::lingering ? largeReadSize : smallReadSize;
  if (readRoom < room || (phase == Phase::idle && readRoom > room)) {
    readSpace.reset(new char[room]);
    readRoom = room;
  }
  reading = true;
  socket.async_read_some(
      asio::buffer(readSpace.get(), readRoom),
      [self = shared_from_this()](asio::error_code error, std::size_t size) { self->onRead(error, size); });
}

void HttpServer::Connection::watchForErrors() {
  if (watching) return;
  watching = true;
  socket.async_wait(Tcp::socket::wait_error, [self = shared_from_this()](asio::error_code) {
    self->watching = false;
    if (self->phase == Phase::closed) return;
    int failure = 0;
    socklen_t size = sizeof failure;
    ::getsockopt(self->socket.native_handle(), SOL_SOCKET, SO_ERROR, &failure, &size);
    if (failure) self->onFailure();
  });
}

void HttpServer::Connection::onRead(asio::error_code error, std::size_t size) {
  reading = false;
  server->receivedBytes += size;
  if (phase == Phase::closed) return;
  if (error) return onReadEnd(error);
  bool acceptsBytes = phase == Phase::idle || phase == Phase::head || phase == Phase::body || phase == Phase::exchange;
  if (acceptsBytes) reader.append(readSpace.get(), size);
  if (acceptsBytes && phase != Phase::exchange) return parse();
  read();
}

void HttpServer::Connection::onReadEnd(asio::error_code error) {
  readEnded = true;
  bool halfClosed = error == asio::error::eof;
  bool hasMoreToWrite = phase == Phase::rejecting || phase == Phase::aborting || (phase == Phase::exchange && ended);
  if (!halfClosed || !hasMoreToWrite) onFailure();
}

void HttpServer::Connection::onFailure() {
  if (phase == Phase::exchange && !ended) return onClientLeft();
  close();
}

void HttpServer::Connection::onDeadline() {
  asio::error_code ignored;
  if (phase == Phase::lingering) return close();
  if (phase != Phase::head && socket.available(ignored) > 0) return setDeadline(Clock::now() + deadlineExtension);
  if (phase == Phase::idle) return close();
  reject(requestTimeout);
}

void HttpServer::Connection::close() {
  if (phase == Phase::closed) return;
  auto self = shared_from_this();
  auto released = std::move(disconnectHandler);
  phase = Phase::closed;
  deadline = never;
  detach(false);
  asio::error_code ignored;
  socket.close(ignored);
  server->queuedBytes -= pending.size() + inFlight.size() - inFlightWritten;
  pending = std::string();
  framing.takeFinalBytes();
  server->connections.erase(self);
}

std::optional<ExchangeStatus> HttpServer::Connection::activeExchange() const {
  if (!exchanging) return std::nullopt;
  return ExchangeStatus{connectedAt, requestReceivedAt, requestCount, framing.isStarted()};
}

void HttpServer::Connection::detach(bool left) {
  if (exchanging) --server->exchanges;
  exchanging = false;
  if (response) std::exchange(response, nullptr)->detach(left);
}

void HttpServer::Connection::onClientLeft() {
  auto self = shared_from_this();
  auto handler = std::move(disconnectHandler);
  disconnectHandler = nullptr;
  detach(true);
  close();
  if (handler) handler();
}

void HttpServer::Connection::parse() {
  if (phase == Phase::idle && reader.unreadBytes() > 0) {
    reader.beginRequest(server->limits);
    phase = Phase::head;
    setDeadline(Clock::now() + reader.limits().headerTimeout);
  }
  if (phase == Phase::head && !parseHead()) return;
  if (phase == Phase::body && !parseBody()) return;
  read();
}

bool HttpServer::Connection::parseHead() {
  switch (reader.readHead()) {
    case RequestReader::Progress::none:
      phase = Phase::idle;
      setDeadline(idleDeadline());
      return true;
    case RequestReader::Progress::incomplete:
      return true;
    case RequestReader::Progress::complete:
      phase = Phase::body;
      deadline = never;
      return true;
    case RequestReader::Progress::rejected:
      break;
  }
  reject(reader.rejectionStatus());
  return false;
}

bool HttpServer::Connection::parseBody() {
  auto progress = reader.readBody();
  if (progress == RequestReader::Progress::rejected) {
    reject(reader.rejectionStatus());
    return false;
  }
  if (progress == RequestReader::Progress::complete) {
    beginExchange();
    return false;
  }
  bool headJustRead = deadline == never;
  if (headJustRead && reader.awaitsContinue()) {
    enqueue("HTTP/1.1 100 Continue\r\n\r\n");
    flush();
  }
  setDeadline(Clock::now() + reader.limits().headerTimeout);
  return true;
}

void HttpServer::Connection::reject(int status) {
  phase = Phase::rejecting;
  deadline = never;
  reader.discard();
  enqueue(errorResponse(status));
  flush();
  read();
}

void HttpServer::Connection::beginExchange() {
  phase = Phase::exchange;
  deadline = never;
  framing.reset();
  ended = keepsAlive = false;
  exchanging = true;
  requestReceivedAt = Clock::now();
  ++requestCount;
  ++server->exchanges;
  read();
  auto created = std::make_shared<Response>(shared_from_this(), server->io);
  response = created.get();
  auto owner = server;
  owner->handler(reader.takeRequest(), std::move(created));
}

KeepAlive HttpServer::Connection::decideKeepAlive() {
  bool hasPipelinedBytes = reader.unreadBytes() > 0;
  keepsAlive = reader.allowsKeepAlive() && (!server->draining || hasPipelinedBytes) && !framing.endsWithConnection();
  if (!keepsAlive) return {};
  auto timeout = std::chrono::duration_cast<std::chrono::seconds>(server->limits.idleTimeout);
  if (server->draining) timeout = std::chrono::seconds(0);
  promisedKeepAlive = timeout;
  return {true, timeout};
}

void HttpServer::Connection::head(int status, const HttpHeaders& headers, std::optional<std::size_t> length) {
  if (phase != Phase::exchange || ended || framing.isStarted()) return;
  framing.start(status, length, {reader.isHttp10(), reader.isHead()});
  auto keepAlive = decideKeepAlive();
  if (framing.endsWithConnection()) resetOnClose(true);
  enqueue(framing.head(headers, keepAlive));
  postFlush();
}

void HttpServer::Connection::bytes(std::string_view bytes) {
  if (phase != Phase::exchange || ended || bytes.empty() || !framing.hasBody()) return;
  auto framed = framing.frame(bytes);
  if (!framed) return abort();
  for (auto part : {std::string_view(framed->before), framed->bytes, framed->after})
    if (!part.empty()) enqueue(part);
  postFlush();
}

void HttpServer::Connection::end() {
  auto released = std::move(disconnectHandler);
  if (phase != Phase::exchange || ended) return;
  if (!framing.isComplete()) return abort();
  ended = true;
  enqueue(framing.takeFinalBytes());
  flush();
  if (inFlight.empty()) onFlushed();
}

void HttpServer::Connection::abort() {
  if (phase != Phase::exchange || ended) return;
  auto self = shared_from_this();
  auto released = std::move(disconnectHandler);
  detach(false);
  framing.takeFinalBytes();
  if (framing.endsWithConnection() || !framing.isStarted()) return close();
  phase = Phase::aborting;
  flush();
  if (inFlight.empty()) close();
}

void HttpServer::Connection::closeSlowClient() {
  if (phase == Phase::closed) return;
  resetOnClose(true);
  onFailure();
}

TimePoint HttpServer::Connection::idleDeadline() const {
  if (server->draining) return Clock::now() + server->limits.drainIdleTimeout;
  return std::max(Clock::now() + server->limits.idleTimeout, keepAliveUntil);
}

/// Enabled while a response is written whose end is marked by the end of the connection: whatever closes the connection
/// early, even a kill of the process, must then reset it, or the client would take a truncated body for a complete one.
void HttpServer::Connection::resetOnClose(bool enabled) {
  asio::error_code ignored;
  socket.set_option(asio::socket_base::linger(enabled, 0), ignored);
}

void HttpServer::Connection::enqueue(std::string_view bytes) {
  pending += bytes;
  server->addQueuedBytes(bytes.size());
}

void HttpServer::Connection::finishExchange() {
  detach(false);
  if (framing.endsWithConnection()) resetOnClose(false);
  if (readEnded) return close();
  if (!keepsAlive) return lingerClose();
  phase = Phase::idle;
  reader.finishRequest();
  keepAliveUntil = Clock::now() + promisedKeepAlive;
  setDeadline(idleDeadline());
  parse();
}

void HttpServer::Connection::postFlush() {
  if (flushPosted || !inFlight.empty()) return;
  flushPosted = true;
  asio::post(server->io, [self = shared_from_this()] {
    self->flushPosted = false;
    self->flush();
  });
}

void HttpServer::Connection::flush() {
  if (!inFlight.empty() || pending.empty() || phase == Phase::closed) return;
  inFlight.swap(pending);
  inFlightWritten = 0;
  onWritten({}, 0);
}

void HttpServer::Connection::onWritten(asio::error_code error, std::size_t size) {
  if (phase == Phase::closed) return;
  if (error) return onFailure();
  inFlightWritten += size;
  server->queuedBytes -= size;
  if (inFlightWritten < inFlight.size())
    return socket.async_write_some(asio::buffer(inFlight.data() + inFlightWritten, inFlight.size() - inFlightWritten),
                                   [self = shared_from_this()](asio::error_code failure, std::size_t written) {
                                     self->onWritten(failure, written);
                                   });
  if (inFlight.capacity() > maxRetainedCapacity) inFlight = std::string();
  inFlight.clear();
  inFlightWritten = 0;
  if (!pending.empty()) return flush();
  onFlushed();
}

void HttpServer::Connection::onFlushed() {
  if (phase == Phase::aborting) return close();
  if (phase == Phase::rejecting) return readEnded ? close() : lingerClose();
  if (phase == Phase::exchange && ended) finishExchange();
}

void HttpServer::Connection::lingerClose() {
  asio::error_code ignored;
  phase = Phase::lingering;
  reader.discardBuffered();
  socket.shutdown(Tcp::socket::shutdown_send, ignored);
  setDeadline(Clock::now() + lingerTimeout);
  read();
}

HttpServer::Response::~Response() {
  if (!connection) return;
  connection->response = nullptr;
  if (!connection->hasEnded()) connection->abort();
}

void HttpServer::Response::head(int status, const HttpHeaders& headers, std::optional<std::size_t> length) {
  if (auto held = connection) held->head(status, headers, length);
}

void HttpServer::Response::bytes(std::string_view bytes) {
  if (auto held = connection) held->bytes(bytes);
}

void HttpServer::Response::end() {
  if (auto held = connection) held->end();
}

void HttpServer::Response::abort() {
  if (auto held = connection) held->abort();
}

void HttpServer::Response::onDisconnect(std::function<void()> handler) {
  if (connection && !connection->hasEnded())
    connection->disconnectHandler = std::move(handler);
  else if (clientLeft && handler)
    asio::post(io, std::move(handler));
}

void HttpServer::Response::detach(bool left) {
  wasStarted = started();
  clientLeft = left;
  connection.reset();
}

}  // namespace tt
