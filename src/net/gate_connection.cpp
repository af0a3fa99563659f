#include "gate_connection.hpp"

#include <netinet/tcp.h>
#include <algorithm>

namespace tt {
namespace {

using Tcp = asio::ip::tcp;

constexpr std::size_t smallRead = 4096, bigRead = 64 * 1024;
constexpr std::size_t heldBytes = 64 * 1024;
constexpr std::size_t keptCapacity = 64 * 1024;
constexpr Duration lingerWait = 500ms, deadlineRetry = 100ms;
constexpr int requestTimeout = 408;
constexpr int keepIdleSeconds = 10, keepIntervalSeconds = 2, keepProbes = 3, userTimeoutMs = 2000;

void tune(Tcp::socket& socket) {
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
  tune(socket);
  connectedAt = Clock::now();
  setDeadline(restsUntil());
  read();
}

void HttpServer::Connection::leave() {
  if (phase == Phase::idle) setDeadline(std::min(deadline, Clock::now() + gate->limits.idleClose));
}

void HttpServer::Connection::setDeadline(TimePoint moment) {
  deadline = moment;
  if (moment != never) gate->wakeBy(moment);
}

void HttpServer::Connection::read() {
  if (reading || phase == Phase::closed) return;
  if (phase == Phase::exchange && reader.unreadBytes() >= heldBytes) return watch();
  std::size_t room = phase == Phase::body || phase == Phase::draining ? bigRead : smallRead;
  if (readRoom < room || (phase == Phase::idle && readRoom > room)) {
    readSpace.reset(new char[room]);
    readRoom = room;
  }
  reading = true;
  socket.async_read_some(
      asio::buffer(readSpace.get(), readRoom),
      [self = shared_from_this()](asio::error_code error, std::size_t size) { self->onRead(error, size); });
}

void HttpServer::Connection::watch() {
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
  gate->receivedBytes += size;
  if (phase == Phase::closed) return;
  if (error) return onReadEnd(error);
  bool takesBytes = phase == Phase::idle || phase == Phase::head || phase == Phase::body || phase == Phase::exchange;
  if (takesBytes) reader.append(readSpace.get(), size);
  if (takesBytes && phase != Phase::exchange) return parse();
  read();
}

void HttpServer::Connection::onReadEnd(asio::error_code error) {
  sawEnd = true;
  bool halfClosed = error == asio::error::eof;
  bool hasMoreToWrite = phase == Phase::refusing || phase == Phase::cutting || (phase == Phase::exchange && ended);
  if (!halfClosed || !hasMoreToWrite) onFailure();
}

void HttpServer::Connection::onFailure() {
  if (phase == Phase::exchange && !ended) return callerLeft();
  close();
}

void HttpServer::Connection::onDeadline() {
  asio::error_code ignored;
  if (phase == Phase::draining) return close();
  if (phase != Phase::head && socket.available(ignored) > 0) return setDeadline(Clock::now() + deadlineRetry);
  if (phase == Phase::idle) return close();
  refuse(requestTimeout);
}

void HttpServer::Connection::close() {
  if (phase == Phase::closed) return;
  auto self = shared_from_this();
  auto dropped = std::move(gone);
  phase = Phase::closed;
  deadline = never;
  detach(false);
  asio::error_code ignored;
  socket.close(ignored);
  gate->queuedBytes -= pending.size() + flying.size() - flown;
  pending = std::string();
  framing.takeTail();
  gate->connections.erase(self);
}

std::optional<ExchangeStatus> HttpServer::Connection::exchangeUnderWay() const {
  if (!exchanging) return std::nullopt;
  return ExchangeStatus{connectedAt, takenAt, requestCount, framing.isStarted()};
}

void HttpServer::Connection::detach(bool left) {
  if (exchanging) --gate->exchanges;
  exchanging = false;
  if (answer) std::exchange(answer, nullptr)->detach(left);
}

void HttpServer::Connection::callerLeft() {
  auto self = shared_from_this();
  auto call = std::move(gone);
  gone = nullptr;
  detach(true);
  close();
  if (call) call();
}

void HttpServer::Connection::parse() {
  if (phase == Phase::idle && reader.unreadBytes() > 0) {
    reader.begin(gate->limits);
    phase = Phase::head;
    setDeadline(Clock::now() + reader.limits().headerTimeout);
  }
  if (phase == Phase::head && !parseHead()) return;
  if (phase == Phase::body && !parseBody()) return;
  read();
}

bool HttpServer::Connection::parseHead() {
  switch (reader.takeHead()) {
    case RequestReader::Progress::none:
      phase = Phase::idle;
      setDeadline(restsUntil());
      return true;
    case RequestReader::Progress::part:
      return true;
    case RequestReader::Progress::whole:
      phase = Phase::body;
      deadline = never;
      return true;
    case RequestReader::Progress::refused:
      break;
  }
  refuse(reader.refusal());
  return false;
}

bool HttpServer::Connection::parseBody() {
  auto progress = reader.takeBody();
  if (progress == RequestReader::Progress::refused) {
    refuse(reader.refusal());
    return false;
  }
  if (progress == RequestReader::Progress::whole) {
    beginExchange();
    return false;
  }
  bool headJustTaken = deadline == never;
  if (headJustTaken && reader.awaitsContinue()) {
    enqueue("HTTP/1.1 100 Continue\r\n\r\n");
    flush();
  }
  setDeadline(Clock::now() + reader.limits().headerTimeout);
  return true;
}

void HttpServer::Connection::refuse(int status) {
  phase = Phase::refusing;
  deadline = never;
  reader.drop();
  enqueue(refusalText(status));
  flush();
  read();
}

void HttpServer::Connection::beginExchange() {
  phase = Phase::exchange;
  deadline = never;
  framing.reset();
  ended = keeps = false;
  exchanging = true;
  takenAt = Clock::now();
  ++requestCount;
  ++gate->exchanges;
  read();
  auto made = std::make_shared<Answer>(shared_from_this(), gate->io);
  answer = made.get();
  auto owner = gate;
  owner->handler(reader.takeRequest(), std::move(made));
}

KeepAlive HttpServer::Connection::promiseKeepAlive() {
  bool hasReadMore = reader.unreadBytes() > 0;
  keeps = reader.mayKeep() && (!gate->leaving || hasReadMore) && !framing.endsWithConnection();
  if (!keeps) return {};
  auto whole = std::chrono::duration_cast<std::chrono::seconds>(gate->limits.idleTimeout);
  if (gate->leaving) whole = std::chrono::seconds(0);
  promised = whole;
  return {true, whole};
}

void HttpServer::Connection::head(int status, const HttpHeaders& headers, std::optional<std::size_t> length) {
  if (phase != Phase::exchange || ended || framing.isStarted()) return;
  framing.start(status, length, {reader.isHttp10(), reader.isHead()});
  auto keepAlive = promiseKeepAlive();
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
  auto dropped = std::move(gone);
  if (phase != Phase::exchange || ended) return;
  if (!framing.isFilled()) return abort();
  ended = true;
  enqueue(framing.takeTail());
  flush();
  if (flying.empty()) onFlushed();
}

void HttpServer::Connection::abort() {
  if (phase != Phase::exchange || ended) return;
  auto self = shared_from_this();
  auto dropped = std::move(gone);
  detach(false);
  framing.takeTail();
  if (framing.endsWithConnection() || !framing.isStarted()) return close();
  phase = Phase::cutting;
  flush();
  if (flying.empty()) close();
}

void HttpServer::Connection::abandon() {
  if (phase == Phase::closed) return;
  resetOnClose(true);
  onFailure();
}

TimePoint HttpServer::Connection::restsUntil() const {
  if (gate->leaving) return Clock::now() + gate->limits.idleClose;
  return std::max(Clock::now() + gate->limits.idleTimeout, keptUntil);
}

/// Where the end of the connection is the end of the answer, whatever ends the connection before that, even a kill of
/// the process, must reset it.
void HttpServer::Connection::resetOnClose(bool resets) {
  asio::error_code ignored;
  socket.set_option(asio::socket_base::linger(resets, 0), ignored);
}

void HttpServer::Connection::enqueue(std::string_view bytes) {
  pending += bytes;
  gate->queue(bytes.size());
}

void HttpServer::Connection::finishExchange() {
  detach(false);
  if (framing.endsWithConnection()) resetOnClose(false);
  if (sawEnd) return close();
  if (!keeps) return drain();
  phase = Phase::idle;
  reader.finish();
  keptUntil = Clock::now() + promised;
  setDeadline(restsUntil());
  parse();
}

void HttpServer::Connection::postFlush() {
  if (flushPosted || !flying.empty()) return;
  flushPosted = true;
  asio::post(gate->io, [self = shared_from_this()] {
    self->flushPosted = false;
    self->flush();
  });
}

void HttpServer::Connection::flush() {
  if (!flying.empty() || pending.empty() || phase == Phase::closed) return;
  flying.swap(pending);
  flown = 0;
  onWritten({}, 0);
}

void HttpServer::Connection::onWritten(asio::error_code error, std::size_t size) {
  if (phase == Phase::closed) return;
  if (error) return onFailure();
  flown += size;
  gate->queuedBytes -= size;
  if (flown < flying.size())
    return socket.async_write_some(asio::buffer(flying.data() + flown, flying.size() - flown),
                                   [self = shared_from_this()](asio::error_code failure, std::size_t written) {
                                     self->onWritten(failure, written);
                                   });
  if (flying.capacity() > keptCapacity) flying = std::string();
  flying.clear();
  flown = 0;
  if (!pending.empty()) return flush();
  onFlushed();
}

void HttpServer::Connection::onFlushed() {
  if (phase == Phase::cutting) return close();
  if (phase == Phase::refusing) return sawEnd ? close() : drain();
  if (phase == Phase::exchange && ended) finishExchange();
}

void HttpServer::Connection::drain() {
  asio::error_code ignored;
  phase = Phase::draining;
  reader.dropBytes();
  socket.shutdown(Tcp::socket::shutdown_send, ignored);
  setDeadline(Clock::now() + lingerWait);
  read();
}

HttpServer::Answer::~Answer() {
  if (!connection) return;
  connection->answer = nullptr;
  if (!connection->hasEnded()) connection->abort();
}

void HttpServer::Answer::head(int status, const HttpHeaders& headers, std::optional<std::size_t> length) {
  if (auto on = connection) on->head(status, headers, length);
}

void HttpServer::Answer::bytes(std::string_view bytes) {
  if (auto on = connection) on->bytes(bytes);
}

void HttpServer::Answer::end() {
  if (auto on = connection) on->end();
}

void HttpServer::Answer::abort() {
  if (auto on = connection) on->abort();
}

void HttpServer::Answer::onDisconnect(std::function<void()> gone) {
  if (connection && !connection->hasEnded())
    connection->gone = std::move(gone);
  else if (callerLeft && gone)
    asio::post(io, std::move(gone));
}

void HttpServer::Answer::detach(bool left) {
  wasStarted = started();
  callerLeft = left;
  connection.reset();
}

}  // namespace tt
