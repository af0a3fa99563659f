#pragma once
#include <criterion/criterion.h>

#include <atomic>
#include <future>
#include <thread>

#include "gate.hpp"

/// What tests of the gate share: a gate on its own thread, callers on raw sockets, and handlers.
namespace tt::gatetest {

/// A gate on its own thread; everything that touches it goes through run.
class Door {
 public:
  explicit Door(HttpHandler handler, HttpServerLimits limits = {}) : gate(io, "127.0.0.1:0", std::move(handler)) {
    gate.setLimits(limits);
    cr_assert(bool(gate.open()));
    port = gate.port();
    thread = std::thread([this] { io.run(); });
  }
  ~Door() {
    run([this] { gate.close(); });
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
    return run([this] { return gate.connections(); });
  }
  std::size_t exchanges() {
    return run([this] { return gate.exchanges(); });
  }
  asio::io_context io;
  asio::executor_work_guard<asio::io_context::executor_type> work{io.get_executor()};
  HttpServer gate;
  unsigned short port{0};
  std::thread thread;
};

class Caller {
 public:
  explicit Caller(unsigned short port) : socket(io) {
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    socket.set_option(asio::ip::tcp::no_delay(true));
  }
  /// The same where nobody may be listening.
  Caller(unsigned short port, asio::error_code& error) : socket(io) {
    socket.connect({asio::ip::make_address("127.0.0.1"), port}, error);
    if (!error) socket.set_option(asio::ip::tcp::no_delay(true), error);
  }
  void send(std::string_view text) {
    asio::error_code ignored;
    asio::write(socket, asio::buffer(text.data(), text.size()), ignored);
  }
  /// What has come within the wait, or null at the connection's end.
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
  /// Reads until some text has come, or the end; returns all that was read since the last call.
  std::string until(std::string_view text) {
    while (unread.find(text) == std::string::npos) {
      auto got = receive();
      if (!got || got->empty()) break;
      unread += *got;
    }
    return std::exchange(unread, {});
  }
  /// Reads to the connection's end.
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

template <class Condition>
bool soon(Condition condition, Duration wait = 3s) {
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
inline void answerWhole(const std::shared_ptr<ResponseWriter>& answer, std::string_view body, int status = 200) {
  answer->head(status, {{"Content-Type", "text/plain"}}, body.size());
  answer->bytes(body);
  answer->end();
}
inline void echo(HttpRequest request, std::shared_ptr<ResponseWriter> answer) {
  answerWhole(answer, request.method + " " + request.target + " [" + request.body + "]");
}
inline int statusOf(std::string_view text) {
  return text.substr(0, 9) == "HTTP/1.1 " && text.size() > 12 ? std::stoi(std::string(text.substr(9, 3))) : 0;
}
inline std::string post(std::string_view fields, std::string_view body = {}) {
  return "POST /v1 HTTP/1.1\r\nHost: a\r\n" + std::string(fields) + "\r\n" + std::string(body);
}
inline const std::string get = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
inline const std::string getClose = "GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

/// Keeps the exchanges it is handed, for the test to answer.
struct Kept {
  std::vector<std::shared_ptr<ResponseWriter>> answers;
  std::atomic<int> taken{0}, gone{0};
  HttpHandler handler() {
    return [this](HttpRequest, std::shared_ptr<ResponseWriter> answer) {
      answer->onDisconnect([this, answer] { ++gone; });
      answers.push_back(answer);
      ++taken;
    };
  }
};

}  // namespace tt::gatetest
