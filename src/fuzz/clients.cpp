#include "fuzz.hpp"
#include "http_server.hpp"

namespace tt {
namespace {

/// What a gate made of some bytes: the requests that it handed over, and the statuses that it answered with.
struct Read {
  std::vector<std::string> requests;
  std::vector<HttpRequest> rows;
  std::vector<int> statuses;
  int refused{0}, asked{0};
};

std::string written(const HttpRequest& request) {
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
std::string listed(const HttpRequest& request) {
  std::string text = request.method + " " + request.target + "\n";
  for (const auto& [name, value] : request.headers) text += name + ":" + value + "\n";
  return text + "\n" + request.body;
}

/// One gate on one thread that a client on the same thread talks to.
class Wire {
 public:
  Wire()
      : gate(io, "127.0.0.1:0", [this](HttpRequest request, std::shared_ptr<ResponseWriter> answer) {
          read.requests.push_back(listed(request));
          answer->head(299, {}, 0);
          answer->end();
          read.rows.push_back(std::move(request));
        }) {
    HttpServerLimits limits;
    limits.maxHeaderBytes = 2048;
    limits.maxBodyBytes = 4096;
    limits.headerTimeout = limits.idleTimeout = 1h;
    gate.setLimits(limits);
  }
  bool open() { return bool(gate.open()); }

  /// Sends some bytes, cut into pieces at the given places.
  Read send(const std::string& bytes, const std::vector<std::size_t>& cuts) {
    read = Read{};
    asio::ip::tcp::socket client(io);
    asio::error_code error;
    client.connect({asio::ip::make_address("127.0.0.1"), gate.port()}, error);
    client.set_option(asio::ip::tcp::no_delay(true), error);
    client.non_blocking(true, error);
    while (gate.connections() == 0) io.poll();
    std::string answers;
    std::size_t sent = 0;
    for (std::size_t cut : cuts) {
      push(client, std::string_view(bytes).substr(sent, cut - sent), answers);
      sent = cut;
    }
    push(client, std::string_view(bytes).substr(sent), answers);
    client.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    while (gate.connections() > 0) {
      io.poll();
      take(client, answers);
    }
    take(client, answers);
    fold(answers);
    return read;
  }

 private:
  asio::io_context io;
  HttpServer gate;
  Read read;

  static void take(asio::ip::tcp::socket& client, std::string& answers) {
    char bytes[4096];
    asio::error_code error;
    while (std::size_t size = client.read_some(asio::buffer(bytes), error)) answers.append(bytes, size);
  }
  void push(asio::ip::tcp::socket& client, std::string_view bytes, std::string& answers) {
    asio::error_code error;
    std::uint64_t awaited = gate.bytesReceived() + bytes.size();
    while (gate.connections() > 0 && gate.bytesReceived() < awaited) {
      std::size_t size = bytes.empty() ? 0 : client.write_some(asio::buffer(bytes.data(), bytes.size()), error);
      bytes.remove_prefix(size);
      if (error && error != asio::error::would_block) return;
      io.poll();
      take(client, answers);
    }
    while (io.poll() > 0) take(client, answers);
  }
  void fold(const std::string& answers) {
    for (std::size_t at = 0; (at = answers.find("HTTP/1.1 ", at)) != std::string::npos; at += 9) {
      int status = std::atoi(answers.c_str() + at + 9);
      if (status == 100)
        ++read.asked;
      else if (status != 299)
        ++read.refused;
      read.statuses.push_back(status);
    }
  }
};

const Strings goodRequests{
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

FuzzOutcome tryClient(Wire& wire, Mutator& mutator) {
  std::string input = mutator.mutatedText(goodRequests);
  if (mutator.chance(3)) input += mutator.mutatedText(goodRequests);
  auto whole = wire.send(input, {});
  std::vector<std::size_t> cuts;
  for (std::size_t at = 0; input.size() > 1 && cuts.size() < 6 && at < input.size();) {
    at += 1 + mutator.randomBelow(input.size());
    if (at < input.size()) cuts.push_back(at);
  }
  auto pieces = wire.send(input, cuts);
  if (whole.requests != pieces.requests) return broken("cut into pieces it makes other requests", input);
  if (whole.refused != pieces.refused) return broken("cut into pieces it is answered otherwise", input);
  if (whole.refused > 1) return broken("something was answered behind a refusal", input);
  if (whole.statuses.size() != whole.requests.size() + static_cast<std::size_t>(whole.refused + whole.asked))
    return broken("there are not as many answers as requests", input);
  if (whole.refused && whole.statuses.back() < 400) return broken("a refusal was not the last word", input);
  for (const auto& request : whole.rows) {
    if (findHeader(request.headers, "Content-Length") && findHeader(request.headers, "Transfer-Encoding"))
      return broken("a request has two framings", input);
    std::string text = written(request);
    auto again = wire.send(text, {});
    if (again.rows.size() != 1 || written(again.rows[0]) != text || again.rows[0].body != request.body)
      return broken("written again a request is read otherwise: " + text, input);
  }
  return whole.requests.empty() ? rejected() : accepted();
}

}  // namespace

void addClientTargets(FuzzTargets& targets) {
  auto wire = std::make_shared<std::optional<Wire>>();
  targets.push_back({"clients", 2000, [wire](Mutator& mutator) {
                       if (!*wire) {
                         wire->emplace();
                         if (!(*wire)->open()) return broken("the gate does not open", {});
                       }
                       return tryClient(**wire, mutator);
                     }});
}

}  // namespace tt
