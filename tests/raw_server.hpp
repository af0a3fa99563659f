#pragma once
#include <criterion/criterion.h>
#include <sys/socket.h>

#include "http_client.hpp"

/// Test fixtures for HttpClient: a server that sends scripted raw bytes, and a client whose callbacks are recorded.
namespace raw {
using namespace tt;

/// A server that only determines the end of each request, by its Content-Length. A script decides what to send.
class RawServer {
 public:
  struct Connection {
    explicit Connection(asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}
    asio::ip::tcp::socket socket;
    /// All bytes received, and those that are not part of a complete request yet.
    std::string received, unread;
    std::array<char, 16384> readBuffer{};
    /// The number of the connection, counted from 0, and how many complete requests were received on it.
    std::size_t number{0}, requests{0};
    bool ended{false}, wasReset{false};
    void send(const std::string& text) {
      asio::error_code error;
      asio::write(socket, asio::buffer(text), error);
    }
    void close() {
      asio::error_code error;
      socket.close(error);
    }
    void reset() {
      asio::error_code error;
      socket.set_option(asio::socket_base::linger(true, 0), error);
      socket.close(error);
    }
  };
  using ConnectionPtr = std::shared_ptr<Connection>;
  using Script = std::function<void(const ConnectionPtr&, const std::string& request)>;

  RawServer(asio::io_context& context, Script answering)
      : script(std::move(answering)), acceptor(context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    accept();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()); }
  /// How many times a text was received, on all connections together.
  std::size_t timesReceived(const std::string& marker) const {
    std::size_t count = 0;
    for (const auto& connection : connections)
      for (auto at = connection->received.find(marker); at != std::string::npos;
           at = connection->received.find(marker, at + 1))
        ++count;
    return count;
  }
  /// Closes all connections and stops listening, as at the end of a process.
  void shutDown() {
    asio::error_code ignored;
    acceptor.close(ignored);
    for (const auto& connection : connections) connection->close();
  }
  std::vector<ConnectionPtr> connections;
  Script script;
  /// Called after each read, before complete requests are passed to the script.
  std::function<void(const ConnectionPtr&)> onRead;

 private:
  asio::ip::tcp::acceptor acceptor;
  void accept() {
    acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
      if (error) return;
      socket.set_option(asio::ip::tcp::no_delay(true));
      auto connection = std::make_shared<Connection>(std::move(socket));
      connection->number = connections.size();
      connections.push_back(connection);
      read(connection);
      accept();
    });
  }
  void read(const ConnectionPtr& connection) {
    connection->socket.async_read_some(asio::buffer(connection->readBuffer),
                                       [this, connection](const asio::error_code& error, std::size_t bytes) {
                                         if (error) {
                                           connection->ended = true;
                                           connection->wasReset = error == asio::error::connection_reset;
                                           return;
                                         }
                                         connection->received.append(connection->readBuffer.data(), bytes);
                                         connection->unread.append(connection->readBuffer.data(), bytes);
                                         if (onRead) onRead(connection);
                                         while (auto request = takeCompleteRequest(*connection)) {
                                           ++connection->requests;
                                           script(connection, *request);
                                         }
                                         if (connection->socket.is_open()) read(connection);
                                       });
  }
  static std::optional<std::string> takeCompleteRequest(Connection& connection) {
    auto end = connection.unread.find("\r\n\r\n");
    if (end == std::string::npos) return std::nullopt;
    std::size_t size = end + 4;
    auto length = connection.unread.find("Content-Length: ");
    if (length < end) size += std::stoul(connection.unread.substr(length + 16));
    if (connection.unread.size() < size) return std::nullopt;
    auto request = connection.unread.substr(0, size);
    connection.unread.erase(0, size);
    return request;
  }
};

/// What the callbacks of one call have received.
struct CallRecord {
  std::uint64_t id{0};
  int heads{0}, ends{0};
  HttpResponseHead head;
  std::string body;
  std::vector<std::string> pieces;
  HttpCallResult end;
};

/// An HttpClient on an event loop that the test runs.
struct HttpClientHarness {
  asio::io_context io;
  HttpClient calls{io};

  HttpClientRequest call(const RawServer& server, std::string target = "/", std::string method = "GET",
                         std::string body = {}) {
    HttpClientRequest request;
    request.method = std::move(method);
    request.address = server.address();
    request.target = std::move(target);
    request.body = std::move(body);
    return request;
  }
  std::shared_ptr<CallRecord> start(HttpClientRequest request) {
    auto seen = std::make_shared<CallRecord>();
    seen->id = calls.start(
        std::move(request),
        [seen](const HttpResponseHead& head) {
          ++seen->heads;
          seen->head = head;
        },
        [seen](std::string_view bytes) {
          seen->body += bytes;
          seen->pieces.emplace_back(bytes);
        },
        [seen](const HttpCallResult& end) {
          ++seen->ends;
          seen->end = end;
        });
    return seen;
  }
  /// Runs the event loop until a condition is true. Returns false if it is still false after the wait.
  bool waitUntil(const std::function<bool()>& done, Duration maxWait = 5s) {
    auto limit = Clock::now() + maxWait;
    while (!done() && Clock::now() < limit) {
      io.restart();
      io.run_one_until(limit);
    }
    return done();
  }
  void runFor(Duration span) {
    waitUntil([] { return false; }, span);
  }
  std::shared_ptr<CallRecord> finish(HttpClientRequest request) {
    auto seen = start(std::move(request));
    cr_assert(waitUntil([&] { return seen->ends > 0; }), "the call must end");
    return seen;
  }
};

inline std::string successResponse(const std::string& body, const std::string& headers = {}) {
  return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline std::string headOf(const std::string& request) { return request.substr(0, request.find("\r\n\r\n") + 4); }

}  // namespace raw
