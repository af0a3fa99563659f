#include "gate.hpp"

#include <algorithm>

#include "gate_connection.hpp"
#include "host.hpp"

namespace tt {
namespace {
constexpr Duration acceptPause = 50ms, sweepPause = 100ms;
}  // namespace

Result<void> HttpServer::Inner::open() {
  bool anyPort = address.size() > 2 && address.compare(address.size() - 2, 2, ":0") == 0;
  auto read = parseAddress(anyPort ? address.substr(0, address.size() - 1) + "1" : address);
  if (!read) return read.error();
  asio::error_code error;
  asio::ip::tcp::endpoint end(asio::ip::make_address(read.value().ip, error), anyPort ? 0 : read.value().port);
  if (!error) acceptor.open(end.protocol(), error);
  if (!error) acceptor.set_option(asio::socket_base::reuse_address(true), error);
  if (!error) acceptor.bind(end, error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    asio::error_code ignored;
    acceptor.close(ignored);
    return fault(Code::badProps, address, error.message());
  }
  accept();
  return boost::outcome_v2::success();
}

void HttpServer::Inner::accept() {
  acceptor.async_accept([self = shared_from_this()](asio::error_code error, asio::ip::tcp::socket socket) {
    if (self->closed || !self->acceptor.is_open()) return;
    if (error) {
      self->pause.expires_after(acceptPause);
      return self->pause.async_wait([self](asio::error_code) {
        if (!self->closed && self->acceptor.is_open()) self->accept();
      });
    }
    auto connection = std::make_shared<Connection>(self, std::move(socket));
    self->connections.insert(connection);
    connection->start();
    self->accept();
  });
}

void HttpServer::Inner::wakeBy(TimePoint moment) {
  moment = std::max(moment, lastSweep + sweepPause);
  if (closed || moment >= sweepAt) return;
  sweepAt = moment;
  sweepTimer.expires_at(moment);
  sweepTimer.async_wait([self = shared_from_this()](asio::error_code error) {
    if (!error && !self->closed) self->sweep();
  });
}

void HttpServer::Inner::sweep() {
  lastSweep = Clock::now();
  sweepAt = never;
  std::vector<std::shared_ptr<Connection>> due;
  TimePoint next = never;
  for (const auto& connection : connections) {
    if (connection->due() <= lastSweep)
      due.push_back(connection);
    else
      next = std::min(next, connection->due());
  }
  for (const auto& connection : due) connection->onDeadline();
  if (next != never) wakeBy(next);
}

void HttpServer::Inner::queue(std::size_t bytes) {
  queuedBytes += bytes;
  if (queuedBytes <= limits.maxQueuedBytes || shedPosted) return;
  shedPosted = true;
  asio::post(io, [self = shared_from_this()] {
    self->shedPosted = false;
    self->shed();
  });
}

void HttpServer::Inner::shed() {
  while (queuedBytes > limits.maxQueuedBytes && !connections.empty()) {
    auto most = *std::max_element(connections.begin(), connections.end(), [](const auto& one, const auto& other) {
      return one->unwritten() < other->unwritten();
    });
    most->abandon();
  }
}

void HttpServer::Inner::stopAccepting() {
  asio::error_code ignored;
  acceptor.close(ignored);
  pause.cancel();
}

void HttpServer::Inner::close() {
  if (closed) return;
  closed = true;
  stopAccepting();
  sweepTimer.cancel();
  auto open = std::move(connections);
  connections.clear();
  for (const auto& connection : open) connection->close();
}

HttpServer::HttpServer(asio::io_context& context, std::string address, HttpHandler handler)
    : inner(std::make_shared<Inner>(context, std::move(address), std::move(handler))) {}
HttpServer::~HttpServer() { inner->close(); }
Result<void> HttpServer::open() { return inner->open(); }
unsigned short HttpServer::port() const {
  asio::error_code ignored;
  return inner->acceptor.local_endpoint(ignored).port();
}
void HttpServer::setLimits(const HttpServerLimits& limits) { inner->limits = limits; }
void HttpServer::leave() {
  if (std::exchange(inner->leaving, true)) return;
  for (const auto& connection : inner->connections) connection->leave();
}
void HttpServer::stopAccepting() { inner->stopAccepting(); }
void HttpServer::close() { inner->close(); }
std::size_t HttpServer::connections() const { return inner->connections.size(); }
std::size_t HttpServer::exchanges() const { return inner->exchanges; }
std::vector<ExchangeStatus> HttpServer::exchangesUnderWay() const {
  std::vector<ExchangeStatus> rows;
  for (const auto& connection : inner->connections)
    if (auto exchange = connection->exchangeUnderWay()) rows.push_back(*exchange);
  return rows;
}
std::uint64_t HttpServer::bytesReceived() const { return inner->receivedBytes; }
std::size_t HttpServer::queued() const { return inner->queuedBytes; }

}  // namespace tt
