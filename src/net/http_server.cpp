#include "http_server.hpp"

#include <algorithm>

#include "http_server_connection.hpp"
#include "node_host.hpp"

namespace tt {
namespace {
/// Pause after a failed accept, as when no file descriptor is free.
constexpr Duration acceptRetryDelay = 50ms;
/// Shortest time between two checks of all connections' deadlines.
constexpr Duration minSweepInterval = 100ms;
}  // namespace

Result<void> HttpServer::Impl::open() {
  bool anyPort = address.size() > 2 && address.compare(address.size() - 2, 2, ":0") == 0;
  auto parsed = parseAddress(anyPort ? address.substr(0, address.size() - 1) + "1" : address);
  if (!parsed) return parsed.error();
  asio::error_code error;
  asio::ip::tcp::endpoint endpoint(asio::ip::make_address(parsed.value().ip, error), anyPort ? 0 : parsed.value().port);
  if (!error) acceptor.open(endpoint.protocol(), error);
  if (!error) acceptor.set_option(asio::socket_base::reuse_address(true), error);
  if (!error) acceptor.bind(endpoint, error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    asio::error_code ignored;
    acceptor.close(ignored);
    return makeError(Code::badProps, address, error.message());
  }
  accept();
  return boost::outcome_v2::success();
}

void HttpServer::Impl::accept() {
  acceptor.async_accept([self = shared_from_this()](asio::error_code error, asio::ip::tcp::socket socket) {
    if (self->closed || !self->acceptor.is_open()) return;
    if (error) {
      self->acceptRetryTimer.expires_after(acceptRetryDelay);
      return self->acceptRetryTimer.async_wait([self](asio::error_code) {
        if (!self->closed && self->acceptor.is_open()) self->accept();
      });
    }
    auto connection = std::make_shared<Connection>(self, std::move(socket));
    self->connections.insert(connection);
    connection->start();
    self->accept();
  });
}

void HttpServer::Impl::scheduleSweep(TimePoint moment) {
  moment = std::max(moment, lastSweep + minSweepInterval);
  if (closed || moment >= sweepAt) return;
  sweepAt = moment;
  sweepTimer.expires_at(moment);
  sweepTimer.async_wait([self = shared_from_this()](asio::error_code error) {
    if (!error && !self->closed) self->sweep();
  });
}

void HttpServer::Impl::sweep() {
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
  if (next != never) scheduleSweep(next);
}

void HttpServer::Impl::addQueuedBytes(std::size_t bytes) {
  queuedBytes += bytes;
  if (queuedBytes <= limits.maxQueuedBytes || closeSlowClientsPosted) return;
  closeSlowClientsPosted = true;
  asio::post(io, [self = shared_from_this()] {
    self->closeSlowClientsPosted = false;
    self->closeSlowClients();
  });
}

void HttpServer::Impl::closeSlowClients() {
  while (queuedBytes > limits.maxQueuedBytes && !connections.empty()) {
    auto slowest = *std::max_element(connections.begin(), connections.end(), [](const auto& one, const auto& other) {
      return one->unwritten() < other->unwritten();
    });
    slowest->closeSlowClient();
  }
}

void HttpServer::Impl::stopAccepting() {
  asio::error_code ignored;
  acceptor.close(ignored);
  acceptRetryTimer.cancel();
}

void HttpServer::Impl::close() {
  if (closed) return;
  closed = true;
  stopAccepting();
  sweepTimer.cancel();
  auto open = std::move(connections);
  connections.clear();
  for (const auto& connection : open) connection->close();
}

HttpServer::HttpServer(asio::io_context& context, std::string address, HttpHandler handler)
    : impl(std::make_shared<Impl>(context, std::move(address), std::move(handler))) {}
HttpServer::~HttpServer() { impl->close(); }
Result<void> HttpServer::open() { return impl->open(); }
unsigned short HttpServer::port() const {
  asio::error_code ignored;
  return impl->acceptor.local_endpoint(ignored).port();
}
void HttpServer::setLimits(const HttpServerLimits& limits) { impl->limits = limits; }
void HttpServer::startDraining() {
  if (std::exchange(impl->draining, true)) return;
  for (const auto& connection : impl->connections) connection->startDraining();
}
void HttpServer::stopAccepting() { impl->stopAccepting(); }
void HttpServer::close() { impl->close(); }
std::size_t HttpServer::connections() const { return impl->connections.size(); }
std::size_t HttpServer::exchanges() const { return impl->exchanges; }
std::vector<ExchangeStatus> HttpServer::activeExchanges() const {
  std::vector<ExchangeStatus> active;
  for (const auto& connection : impl->connections)
    if (auto exchange = connection->activeExchange()) active.push_back(*exchange);
  return active;
}
std::uint64_t HttpServer::bytesReceived() const { return impl->receivedBytes; }
std::size_t HttpServer::queued() const { return impl->queuedBytes; }

}  // namespace tt
