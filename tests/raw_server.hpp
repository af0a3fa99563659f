#pragma once
#include <criterion/criterion.h>
#include <sys/socket.h>

#include "http_client.hpp"

/// Shared by the tests of HttpClient: a server that answers with scripted raw bytes, and a client whose callbacks are
/// recorded.
namespace raw {
using namespace tt;

/// A server that only finds the end of each request, by its Content-Length. A script decides what to do with it.
class RawServer {
 public:
  struct Connection {
    explicit Connection(asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}
    asio::ip::tcp::socket socket;
    std::string got, unread;
    std::array<char, 16384> piece{};
    std::size_t number{0}, requests{0};
    bool ended{false}, wasReset{false};
    void say(const std::string& text) {
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
  /// How often a text was received, over all connections.
  std::size_t copies(const std::string& marker) const {
    std::size_t count = 0;
    for (const auto& held : connections)
      for (auto at = held->got.find(marker); at != std::string::npos; at = held->got.find(marker, at + 1)) ++count;
    return count;
  }
  /// Closes all connections and stops listening, as if the process had ended.
  void shut() {
    asio::error_code ignored;
    acceptor.close(ignored);
    for (const auto& held : connections) held->close();
  }
  std::vector<ConnectionPtr> connections;
  Script script;
  std::function<void(const ConnectionPtr&)> onPiece;

 private:
  asio::ip::tcp::acceptor acceptor;
  void accept() {
    acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
      if (error) return;
      socket.set_option(asio::ip::tcp::no_delay(true));
      auto held = std::make_shared<Connection>(std::move(socket));
      held->number = connections.size();
      connections.push_back(held);
      read(held);
      accept();
    });
  }
  void read(const ConnectionPtr& held) {
    held->socket.async_read_some(asio::buffer(held->piece),
                                 [this, held](const asio::error_code& error, std::size_t bytes) {
                                   if (error) {
                                     held->ended = true;
                                     held->wasReset = error == asio::error::connection_reset;
                                     return;
                                   }
                                   held->got.append(held->piece.data(), bytes);
                                   held->unread.append(held->piece.data(), bytes);
                                   if (onPiece) onPiece(held);
                                   while (auto request = whole(*held)) {
                                     ++held->requests;
                                     script(held, *request);
                                   }
                                   if (held->socket.is_open()) read(held);
                                 });
  }
  static std::optional<std::string> whole(Connection& connection) {
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

struct CallRecord {
  std::uint64_t id{0};
  int heads{0}, ends{0};
  HttpResponseHead head;
  std::string body;
  std::vector<std::string> pieces;
  HttpCallResult end;
};

struct Bench {
  asio::io_context io;
  HttpClient calls{io};

  HttpClientRequest call(const RawServer& server, std::string target = "/", std::string method = "GET",
                         std::string body = {}) {
    HttpClientRequest made;
    made.method = std::move(method);
    made.address = server.address();
    made.target = std::move(target);
    made.body = std::move(body);
    return made;
  }
  std::shared_ptr<CallRecord> start(HttpClientRequest made) {
    auto seen = std::make_shared<CallRecord>();
    seen->id = calls.start(
        std::move(made),
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
  bool until(const std::function<bool()>& done, Duration most = 5s) {
    auto limit = Clock::now() + most;
    while (!done() && Clock::now() < limit) {
      io.restart();
      io.run_one_until(limit);
    }
    return done();
  }
  void pass(Duration span) {
    until([] { return false; }, span);
  }
  std::shared_ptr<CallRecord> finish(HttpClientRequest made) {
    auto seen = start(std::move(made));
    cr_assert(until([&] { return seen->ends > 0; }), "the call must end");
    return seen;
  }
};

inline std::string successResponse(const std::string& body, const std::string& headers = {}) {
  return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline std::string headOf(const std::string& request) { return request.substr(0, request.find("\r\n\r\n") + 4); }

}  // namespace raw
