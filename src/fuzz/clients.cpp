#include "fuzz.hpp"
#include "http_server.hpp"

namespace tt {
namespace {

/// What the server did with the bytes of one connection: the requests that it passed to its handler, as text and
/// parsed, and the status codes of its responses. `continueResponses` counts "100 Continue".
struct ConnectionResult {
  std::vector<std::string> requests;
  std::vector<HttpRequest> parsedRequests;
  std::vector<int> statuses;
  int errorResponses{0}, continueResponses{0};
};

/// Status of the handler's responses. The server itself never sends it.
constexpr int handlerStatus = 299;
constexpr std::string_view statusLineStart = "HTTP/1.1 ";

/// The request with a single Content-Length and without headers that concern only the connection.
std::string serialize(const HttpRequest& request) {
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : request.headers) {
    if (equalIgnoringCase(name, "Content-Length") || equalIgnoringCase(name, "Transfer-Encoding") ||
        equalIgnoringCase(name, "Connection") || equalIgnoringCase(name, "Expect"))
      continue;
    text += name + ": " + value + "\r\n";
  }
  if (!findHeader(request.headers, "Host")) text += "Host: old\r\n";
  return text + "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
}
std::string describe(const HttpRequest& request) {
  std::string text = request.method + " " + request.target + "\n";
  for (const auto& [name, value] : request.headers) text += name + ":" + value + "\n";
  return text + "\n" + request.body;
}

/// An HTTP server and a client of it on the same thread. The handler responds to every request with handlerStatus.
class LoopbackServer {
 public:
  LoopbackServer()
      : server(io, "127.0.0.1:0", [this](HttpRequest request, std::shared_ptr<ResponseWriter> response) {
          result.requests.push_back(describe(request));
          response->head(handlerStatus, {}, 0);
          response->end();
          result.parsedRequests.push_back(std::move(request));
        }) {
    HttpServerLimits limits;
    limits.maxHeaderBytes = 2048;
    limits.maxBodyBytes = 4096;
    limits.headerTimeout = limits.idleTimeout = 1h;
    server.setLimits(limits);
  }
  bool open() { return bool(server.open()); }

  /// Sends bytes over a new connection, split into several writes at the given offsets.
  ConnectionResult send(const std::string& bytes, const std::vector<std::size_t>& cuts) {
    result = ConnectionResult{};
    asio::ip::tcp::socket client(io);
    asio::error_code error;
    client.connect({asio::ip::make_address("127.0.0.1"), server.port()}, error);
    client.set_option(asio::ip::tcp::no_delay(true), error);
    client.non_blocking(true, error);
    while (server.connections() == 0) io.poll();
    std::string received;
    std::size_t sent = 0;
    for (std::size_t cut : cuts) {
      sendPiece(client, std::string_view(bytes).substr(sent, cut - sent), received);
      sent = cut;
    }
    sendPiece(client, std::string_view(bytes).substr(sent), received);
    client.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    while (server.connections() > 0) {
      io.poll();
      receive(client, received);
    }
    receive(client, received);
    countResponses(received);
    return result;
  }

 private:
  asio::io_context io;
  HttpServer server;
  ConnectionResult result;

  static void receive(asio::ip::tcp::socket& client, std::string& received) {
    char bytes[4096];
    asio::error_code error;
    while (std::size_t size = client.read_some(asio::buffer(bytes), error)) received.append(bytes, size);
  }
  /// Sends bytes and runs the server until it has read them all or has closed the connection.
  void sendPiece(asio::ip::tcp::socket& client, std::string_view bytes, std::string& received) {
    asio::error_code error;
    std::uint64_t expectedBytes = server.bytesReceived() + bytes.size();
    while (server.connections() > 0 && server.bytesReceived() < expectedBytes) {
      std::size_t size = bytes.empty() ? 0 : client.write_some(asio::buffer(bytes.data(), bytes.size()), error);
      bytes.remove_prefix(size);
      if (error && error != asio::error::would_block) return;
      io.poll();
      receive(client, received);
    }
    while (io.poll() > 0) receive(client, received);
  }
  void countResponses(const std::string& received) {
    for (std::size_t at = 0; (at = received.find(statusLineStart, at)) != std::string::npos;
         at += statusLineStart.size()) {
      int status = std::atoi(received.c_str() + at + statusLineStart.size());
      if (status == 100)
        ++result.continueResponses;
      else if (status != handlerStatus)
        ++result.errorResponses;
      result.statuses.push_back(status);
    }
  }
};

const Strings validRequests{
    "GET /x HTTP/1.1\r\nHost: a\r\n\r\n",
    "GET /a/b?c=d%20e HTTP/1.1\r\nHost: a:80\r\nX-Other: 9c41\r\nX-Empty:\r\nConnection: keep-alive\r\n\r\n",
    "POST /v1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello",
    "POST /v1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nhe\r\n03\r\nllo\r\n0\r\nTrailer: "
    "t\r\n\r\n",
    "POST /v1 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
    "GET /old HTTP/1.0\r\nConnection: keep-alive\r\n\r\nGET /old HTTP/1.0\r\n\r\n",
    "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n\r\nPOST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nxHEAD /3 "
    "HTTP/1.1\r\nHost: a\r\n\r\n",
    "POST /v1 HTTP/1.1\r\nHost: a\r\nContent-Length: 41\r\n\r\nGET /inner HTTP/1.1\r\nHost: a\r\n\r\nGET /x HT",
    "PUT /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\nContent-Length: 2\r\n\r\n0\r\n\r\n",
    "GET /x HTTP/1.1\r\nHost: a\r\nOdd: b\r\n c\r\n\r\n"};

FuzzOutcome tryClient(LoopbackServer& loopback, Mutator& mutator) {
  std::string input = mutator.mutatedText(validRequests);
  if (mutator.chance(3)) input += mutator.mutatedText(validRequests);
  auto unsplit = loopback.send(input, {});
  std::vector<std::size_t> cuts;
  for (std::size_t at = 0; input.size() > 1 && cuts.size() < 6 && at < input.size();) {
    at += 1 + mutator.randomBelow(input.size());
    if (at < input.size()) cuts.push_back(at);
  }
  auto split = loopback.send(input, cuts);
  if (unsplit.requests != split.requests)
    return broken("the same bytes in several writes give different requests", input);
  if (unsplit.errorResponses != split.errorResponses)
    return broken("the same bytes in several writes give another number of error responses", input);
  if (unsplit.errorResponses > 1) return broken("a connection got more than one error response", input);
  if (unsplit.statuses.size() !=
      unsplit.requests.size() + static_cast<std::size_t>(unsplit.errorResponses + unsplit.continueResponses))
    return broken("the number of responses does not match the number of requests", input);
  if (unsplit.errorResponses && unsplit.statuses.back() < 400)
    return broken("an error response is not the last response of its connection", input);
  for (const auto& request : unsplit.parsedRequests) {
    if (findHeader(request.headers, "Content-Length") && findHeader(request.headers, "Transfer-Encoding"))
      return broken("a request has both Content-Length and Transfer-Encoding", input);
    std::string text = serialize(request);
    auto reread = loopback.send(text, {});
    if (reread.parsedRequests.size() != 1 || serialize(reread.parsedRequests[0]) != text ||
        reread.parsedRequests[0].body != request.body)
      return broken("a request that was serialized again is parsed differently: " + text, input);
  }
  return unsplit.requests.empty() ? rejected() : accepted();
}

}  // namespace

void addClientTargets(FuzzTargets& targets) {
  auto loopback = std::make_shared<std::optional<LoopbackServer>>();
  targets.push_back({"clients", 2000, [loopback](Mutator& mutator) {
                       if (!*loopback) {
                         loopback->emplace();
                         if (!(*loopback)->open()) return broken("the HTTP server could not open a port", {});
                       }
                       return tryClient(**loopback, mutator);
                     }});
}

}  // namespace tt
