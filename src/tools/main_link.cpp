#include <set>

#include "process.hpp"

using namespace tt;
using asio::ip::tcp;

namespace {

/// Limit of the first frame of a connection, by which a peer identifies itself.
constexpr std::size_t maxHelloBytes = 64;
constexpr int maxPendingConnections = 128;

/// What happens to connections from one peer to another; "*" is any peer. Modes: open, cut (closed), hold (bytes are
/// held back) and slow (each piece is delayed).
struct Rule {
  std::string from, to, mode;
  Duration delay{};
};

/// Accepts connections at the published addresses of processes and forwards them to where these really listen, as the
/// rules allow.
class Links {
 public:
  explicit Links(asio::io_context& context) : io(context) {}
  Result<void> open(const std::string& publishedAddress, const std::string& listenAddress);
  /// Adds a rule, which takes precedence over earlier ones.
  void set(Rule rule);
  void clear();
  /// The newest rule that matches; mode open if there is none.
  Rule ruleFor(const std::string& from, const std::string& to);
  void remove(const std::shared_ptr<class Forwarding>& forwarding);
  asio::io_context& io;

 private:
  std::mutex lock;
  std::vector<Rule> rules;
  std::set<std::shared_ptr<Forwarding>> forwardings;
  std::vector<std::unique_ptr<tcp::acceptor>> acceptors;
  void accept(tcp::acceptor& acceptor, const std::string& publishedAddress, const std::string& listenAddress);
  /// Applies changed rules to the connections that are open.
  void applyRules();
};

/// One forwarded connection. It reads the frame by which the connecting peer identifies itself, connects to the real
/// address, and forwards bytes in that direction only, as peers send nothing back on a connection.
class Forwarding : public std::enable_shared_from_this<Forwarding> {
 public:
  Forwarding(Links& owner, tcp::socket accepted, std::string published, std::string target)
      : links(owner),
        inbound(std::move(accepted)),
        outbound(owner.io),
        delayTimer(owner.io),
        publishedAddress(std::move(published)),
        listenAddress(std::move(target)) {}
  void start() {
    asio::async_read(inbound, asio::buffer(helloLength),
                     [self = shared_from_this()](asio::error_code error, std::size_t) {
                       std::size_t size = 0;
                       for (int at = 3; at >= 0; --at) size = size << 8 | self->helloLength[at];
                       if (error || size > maxHelloBytes) return self->close();
                       self->hello.resize(size);
                       asio::async_read(self->inbound, asio::buffer(&self->hello[0], size),
                                        [self](asio::error_code helloError, std::size_t) {
                                          if (helloError) return self->close();
                                          self->connect();
                                        });
                     });
  }
  /// Closes the connection or resumes forwarding if the rules now say so.
  void applyRule() {
    if (!hello.empty() && links.ruleFor(hello, publishedAddress).mode == "cut") return close();
    if (onHold) forward();
  }
  void close() {
    asio::error_code ignored;
    inbound.close(ignored);
    outbound.close(ignored);
    delayTimer.cancel();
    links.remove(shared_from_this());
  }

 private:
  Links& links;
  tcp::socket inbound, outbound;
  asio::steady_timer delayTimer;
  std::string publishedAddress, listenAddress, hello;
  unsigned char helloLength[4]{};
  std::array<char, 65536> bytes{};
  std::size_t bufferedBytes{0};
  char closeProbe{0};
  bool onHold{false};

  void connect() {
    if (links.ruleFor(hello, publishedAddress).mode == "cut") return close();
    auto address = parseAddress(listenAddress);
    asio::error_code error;
    outbound.async_connect(tcp::endpoint(asio::ip::make_address(address.value().ip, error), address.value().port),
                           [self = shared_from_this()](asio::error_code connectError) {
                             if (connectError) return self->close();
                             asio::error_code ignored;
                             self->outbound.set_option(tcp::no_delay(true), ignored);
                             std::string length(reinterpret_cast<char*>(self->helloLength), 4);
                             std::copy_n((length + self->hello).data(), length.size() + self->hello.size(),
                                         self->bytes.data());
                             self->bufferedBytes = length.size() + self->hello.size();
                             self->outbound.async_read_some(asio::buffer(&self->closeProbe, 1),
                                                            [self](asio::error_code, std::size_t) { self->close(); });
                             self->forward();
                           });
  }
  /// Passes the buffered bytes on, or holds, delays or closes as the rule says.
  void forward() {
    Rule rule = links.ruleFor(hello, publishedAddress);
    if (rule.mode == "cut") return close();
    onHold = rule.mode == "hold";
    if (onHold) return;
    if (rule.mode == "slow") {
      delayTimer.expires_after(rule.delay);
      delayTimer.async_wait([self = shared_from_this()](asio::error_code error) {
        if (!error) self->write();
      });
      return;
    }
    write();
  }
  void write() {
    asio::async_write(outbound, asio::buffer(bytes.data(), bufferedBytes),
                      [self = shared_from_this()](asio::error_code error, std::size_t) {
                        if (error) return self->close();
                        self->read();
                      });
  }
  void read() {
    inbound.async_read_some(asio::buffer(bytes),
                            [self = shared_from_this()](asio::error_code error, std::size_t count) {
                              if (error) return self->close();
                              self->bufferedBytes = count;
                              self->forward();
                            });
  }
};

Result<void> Links::open(const std::string& publishedAddress, const std::string& listenAddress) {
  auto published = parseAddress(publishedAddress);
  if (!published) return published.error();
  if (auto target = parseAddress(listenAddress); !target) return target.error();
  asio::error_code error;
  auto acceptor = std::make_unique<tcp::acceptor>(io);
  tcp::endpoint end(asio::ip::make_address(published.value().ip, error), published.value().port);
  acceptor->open(end.protocol(), error);
  if (!error) acceptor->set_option(asio::socket_base::reuse_address(true), error);
  if (!error) acceptor->bind(end, error);
  if (!error) acceptor->listen(maxPendingConnections, error);
  if (error) return makeError(Code::badProps, "pairs", publishedAddress + ": " + error.message());
  acceptors.push_back(std::move(acceptor));
  accept(*acceptors.back(), publishedAddress, listenAddress);
  return boost::outcome_v2::success();
}

void Links::accept(tcp::acceptor& acceptor, const std::string& publishedAddress, const std::string& listenAddress) {
  acceptor.async_accept([this, &acceptor, publishedAddress, listenAddress](asio::error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      auto forwarding = std::make_shared<Forwarding>(*this, std::move(socket), publishedAddress, listenAddress);
      {
        std::lock_guard<std::mutex> guard(lock);
        forwardings.insert(forwarding);
      }
      forwarding->start();
    }
    accept(acceptor, publishedAddress, listenAddress);
  });
}

Rule Links::ruleFor(const std::string& from, const std::string& to) {
  std::lock_guard<std::mutex> guard(lock);
  for (auto rule = rules.rbegin(); rule != rules.rend(); ++rule)
    if ((rule->from == "*" || rule->from == from) && (rule->to == "*" || rule->to == to)) return *rule;
  return Rule{from, to, "open", {}};
}
void Links::set(Rule rule) {
  {
    std::lock_guard<std::mutex> guard(lock);
    rules.push_back(std::move(rule));
  }
  applyRules();
}
void Links::clear() {
  {
    std::lock_guard<std::mutex> guard(lock);
    rules.clear();
  }
  applyRules();
}
void Links::remove(const std::shared_ptr<Forwarding>& forwarding) {
  std::lock_guard<std::mutex> guard(lock);
  forwardings.erase(forwarding);
}
void Links::applyRules() {
  asio::post(io, [this] {
    std::set<std::shared_ptr<Forwarding>> all;
    {
      std::lock_guard<std::mutex> guard(lock);
      all = forwardings;
    }
    for (const auto& forwarding : all) forwarding->applyRule();
  });
}

}  // namespace

int main(int count, char** arguments) {
  std::string name = "link", webAddress;
  std::vector<std::string> pairs;
  Settings reader("trouttally-link",
                  "A proxy between the fleet's own processes that can cut, hold or slow their connections");
  reader.text("name", &name, "name of this process")
      .texts("pairs", &pairs,
             "SHOWN=REAL: the address at which others reach a process, and the address on which it listens")
      .address("webAddress", &webAddress,
               "address of the HTTP server for rules: POST /v1/rules {from, to, mode, delayMs}, DELETE /v1/rules");
  if (auto code = reader.read(count, arguments)) return *code;
  startLog("link", name, false);
  asio::io_context context;
  Links links(context);
  for (const auto& pair : pairs) {
    auto separator = pair.find('=');
    if (separator == std::string::npos)
      return reportStartFailure(makeError(Code::badProps, "pairs", pair + ": must be SHOWN=REAL"));
    if (auto done = links.open(pair.substr(0, separator), pair.substr(separator + 1)); !done)
      return reportStartFailure(done.error());
  }
  WebServer server(context, webAddress, [&](WebRequest request, std::shared_ptr<WebResponse> response) {
    auto deny = [&](const Error& error) { response->finish(codeStatus(error.code), errorJson(error)); };
    if (request.path != "/v1/rules") return deny(makeError(Code::unknownPath, request.path));
    if (request.method == "DELETE") {
      links.clear();
      return response->finish(200, "{}");
    }
    auto read = parseObject(request.body, {"from", "to", "mode", "delayMs"});
    if (!read) return deny(read.error());
    Json body(read.value());
    Rule rule{stringOr(body, "from", "*"), stringOr(body, "to", "*"), stringOr(body, "mode"),
              std::chrono::milliseconds(integerOr(body, "delayMs", 0))};
    if (rule.mode != "open" && rule.mode != "cut" && rule.mode != "hold" && rule.mode != "slow")
      return deny(makeError(Code::badField, "mode", "must be open, cut, hold or slow"));
    links.set(std::move(rule));
    response->finish(200, "{}");
  });
  if (auto done = server.open(); !done) return reportStartFailure(done.error());
  logInfo("Forwarding connections of " + std::to_string(pairs.size()) + " addresses.");
  runThreadPool(context, 1, [&] { server.close(); });
  return 0;
}
