#pragma once
#include <criterion/criterion.h>

#include <atomic>
#include <future>
#include <thread>

#include "http_server.hpp"

/// Shared by the tests of HttpServer: a server on its own thread, clients on plain sockets, and handlers.
namespace tt::gatetest {

/// An HttpServer on a thread of its own. Everything that accesses it must go through run().
class HttpServerFixture {
 public:
  explicit HttpServerFixture(HttpHandler handler, HttpServerLimits limits = {})
      : httpServer(io, "127.0.0.1:0", std::move(handler)) {
    httpServer.setLimits(limits);
    cr_assert(bool(httpServer.open()));
    port = httpServer.port();
    thread = std::thread([this] { io.run(); });
  }
  ~HttpServerFixture() {
    run([this] { httpServer.close(); });
    io.stop();
    thread.join();
  }
  template <class Action>
  auto run(Action action) -> decltype(action()) {
    std::packaged_task<decltype(action())()> task(std::move(action));
    auto result = task.get_future();
    asio::post(io, [&task] { task(); });
    return result.get();
  }
  std::size_t connections() {
    return run([this] { return httpServer.connections(); });
  }
  std::size_t exchanges() {
    return run([this] { return httpServer.exchanges(); });
  }
  asio::io_context io;
  asio::executor_work_guard<asio::io_context::executor_type> work{io.get_executor()};
  HttpServer httpServer;
  unsigned short port{0};
  std::thread thread;
};

/// A client on a plain blocking socket, which sends and receives raw bytes.
class RawClient {
 public:
  explicit RawClient(unsigned short port) : socket(io) {
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    socket.set_option(asio::ip::tcp::no_delay(true));
  }
  /// Reports a failure to connect instead of throwing.
  RawClient(unsigned short port, asio::error_code& error) : socket(io) {
    socket.connect({asio::ip::make_address("127.0.0.1"), port}, error);
    if (!error) socket.set_option(asio::ip::tcp::no_delay(true), error);
  }
  void send(std::string_view text) {
    asio::error_code ignored;
    asio::write(socket, asio::buffer(text.data(), text.size()), ignored);
  }
  /// Bytes received within the wait, empty after a timeout, or nothing at the end of the connection.
  std::optional<std::string> receive(Duration wait = 3s) {
    timeval span{toMilliseconds(wait) / 1000, toMilliseconds(wait) % 1000 * 1000};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &span, sizeof span);
    char bytes[16384];
    auto size = ::recv(socket.native_handle(), bytes, sizeof bytes, 0);
    if (size > 0) return std::string(bytes, static_cast<std::size_t>(size));
    if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return std::string();
    reset = size < 0;
    return std::nullopt;
  }
  /// Reads until the text has been received, or the end of the connection or a timeout. Returns everything read since
  /// the last call.
  std::string until(std::string_view text) {
    while (unread.find(text) == std::string::npos) {
      auto got = receive();
      if (!got || got->empty()) break;
      unread += *got;
    }
    return std::exchange(unread, {});
  }
  /// Reads to the end of the connection.
  std::string all() {
    while (auto got = receive()) {
      if (got->empty()) {
        timedOut = true;
        break;
      }
      unread += *got;
    }
    return std::exchange(unread, {});
  }
  std::string askAll(std::string_view text) {
    send(text);
    return all();
  }
  void close() {
    asio::error_code ignored;
    socket.close(ignored);
  }
  void resetConnection() {
    socket.set_option(asio::socket_base::linger(true, 0));
    close();
  }
  asio::io_context io;
  asio::ip::tcp::socket socket;
  std::string unread;
  bool reset{false}, timedOut{false};
};

/// Waits until a condition holds. Returns whether it does.
template <class Condition>
bool eventually(Condition condition, Duration wait = 3s) {
  for (TimePoint end = Clock::now() + wait; Clock::now() < end; std::this_thread::sleep_for(2ms))
    if (condition()) return true;
  return condition();
}
inline bool has(std::string_view text, std::string_view part) { return text.find(part) != std::string_view::npos; }
inline std::size_t count(std::string_view text, std::string_view part) {
  std::size_t found = 0;
  for (std::size_t at = 0; (at = text.find(part, at)) != std::string_view::npos; at += part.size()) ++found;
  return found;
}
inline void sendResponse(const std::shared_ptr<ResponseWriter>& response, std::string_view body, int status = 200) {
  response->head(status, {{"Content-Type", "text/plain"}}, body.size());
  response->bytes(body);
  response->end();
}
inline void echo(HttpRequest request, std::shared_ptr<ResponseWriter> response) {
  sendResponse(response, request.method + " " + request.target + " [" + request.body + "]");
}
inline int statusOf(std::string_view text) {
  return text.substr(0, 9) == "HTTP/1.1 " && text.size() > 12 ? std::stoi(std::string(text.substr(9, 3))) : 0;
}
inline std::string post(std::string_view fields, std::string_view body = {}) {
  return "POST /v1 HTTP/1.1\r\nHost: a\r\n" + std::string(fields) + "\r\n" + std::string(body);
}
inline const std::string get = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
inline const std::string getClose = "GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

/// A handler that holds the responses it receives, for the test to answer them.
struct HeldResponses {
  std::vector<std::shared_ptr<ResponseWriter>> responses;
  std::atomic<int> received{0}, disconnects{0};
  HttpHandler handler() {
    return [this](HttpRequest, std::shared_ptr<ResponseWriter> response) {
      response->onDisconnect([this, response] { ++disconnects; });
      responses.push_back(response);
      ++received;
    };
  }
};

}  // namespace tt::gatetest
