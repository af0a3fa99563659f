#include <set>

#include "process.hpp"

using namespace tt;
using asio::ip::tcp;

namespace {

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
  Result<void> open(const std::string& shownAddress, const std::string& realAddress);
  /// Adds a rule, which takes precedence over earlier ones.
  void set(Rule rule);
  void clear();
  /// The newest rule that matches; mode open if there is none.
  Rule ruleFor(const std::string& from, const std::string& to);
  void forget(const std::shared_ptr<class Passage>& passage);
  asio::io_context& io;

 private:
  std::mutex lock;
  std::vector<Rule> rules;
  std::set<std::shared_ptr<Passage>> passages;
  std::vector<std::unique_ptr<tcp::acceptor>> acceptors;
  void accept(tcp::acceptor& acceptor, const std::string& shownAddress, const std::string& realAddress);
  /// Applies changed rules to the connections that are open.
  void apply();
};

/// One forwarded connection. It reads the frame by which the connecting peer identifies itself, connects to the real
/// address, and forwards bytes in that direction only, as peers send nothing back on a connection.
class Passage : public std::enable_shared_from_this<Passage> {
 public:
  Passage(Links& owner, tcp::socket accepted, std::string shown, std::string real)
      : links(owner),
        near(std::move(accepted)),
        far(owner.io),
        pause(owner.io),
        shownAddress(std::move(shown)),
        realAddress(std::move(real)) {}
  void start() {
    asio::async_read(near, asio::buffer(head), [self = shared_from_this()](asio::error_code error, std::size_t) {
      std::size_t size = 0;
      for (int at = 3; at >= 0; --at) size = size << 8 | self->head[at];
      if (error || size > 64) return self->close();
      self->hello.resize(size);
      asio::async_read(self->near, asio::buffer(&self->hello[0], size),
                       [self](asio::error_code helloError, std::size_t) {
                         if (helloError) return self->close();
                         self->connect();
                       });
    });
  }
  /// Closes the connection or resumes forwarding if the rules now say so.
  void look() {
    if (!hello.empty() && links.ruleFor(hello, shownAddress).mode == "cut") return close();
    if (waiting) passOn();
  }
  void close() {
    asio::error_code ignored;
    near.close(ignored);
    far.close(ignored);
    pause.cancel();
    links.forget(shared_from_this());
  }

 private:
  Links& links;
  tcp::socket near, far;
  asio::steady_timer pause;
  std::string shownAddress, realAddress, hello;
  unsigned char head[4]{};
  std::array<char, 65536> bytes{};
  std::size_t held{0};
  char watched{0};
  bool waiting{false};

  void connect() {
    if (links.ruleFor(hello, shownAddress).mode == "cut") return close();
    auto address = parseAddress(realAddress);
    asio::error_code error;
    far.async_connect(tcp::endpoint(asio::ip::make_address(address.value().ip, error), address.value().port),
                      [self = shared_from_this()](asio::error_code connectError) {
                        if (connectError) return self->close();
                        asio::error_code ignored;
                        self->far.set_option(tcp::no_delay(true), ignored);
                        std::string first(reinterpret_cast<char*>(self->head), 4);
                        std::copy_n((first + self->hello).data(), first.size() + self->hello.size(),
                                    self->bytes.data());
                        self->held = first.size() + self->hello.size();
                        self->far.async_read_some(asio::buffer(&self->watched, 1),
                                                  [self](asio::error_code, std::size_t) { self->close(); });
                        self->passOn();
                      });
  }
  void passOn() {
    Rule rule = links.ruleFor(hello, shownAddress);
    if (rule.mode == "cut") return close();
    waiting = rule.mode == "hold";
    if (waiting) return;
    if (rule.mode == "slow") {
      pause.expires_after(rule.delay);
      pause.async_wait([self = shared_from_this()](asio::error_code error) {
        if (!error) self->write();
      });
      return;
    }
    write();
  }
  void write() {
    asio::async_write(far, asio::buffer(bytes.data(), held),
                      [self = shared_from_this()](asio::error_code error, std::size_t) {
                        if (error) return self->close();
                        self->read();
                      });
  }
  void read() {
    near.async_read_some(asio::buffer(bytes), [self = shared_from_this()](asio::error_code error, std::size_t count) {
      if (error) return self->close();
      self->held = count;
      self->passOn();
    });
  }
};

Result<void> Links::open(const std::string& shownAddress, const std::string& realAddress) {
  auto shown = parseAddress(shownAddress);
  if (!shown) return shown.error();
  if (auto real = parseAddress(realAddress); !real) return real.error();
  asio::error_code error;
  auto acceptor = std::make_unique<tcp::acceptor>(io);
  tcp::endpoint end(asio::ip::make_address(shown.value().ip, error), shown.value().port);
  acceptor->open(end.protocol(), error);
  if (!error) acceptor->set_option(asio::socket_base::reuse_address(true), error);
  if (!error) acceptor->bind(end, error);
  if (!error) acceptor->listen(128, error);
  if (error) return makeError(Code::badProps, "pairs", shownAddress + ": " + error.message());
  acceptors.push_back(std::move(acceptor));
  accept(*acceptors.back(), shownAddress, realAddress);
  return boost::outcome_v2::success();
}

void Links::accept(tcp::acceptor& acceptor, const std::string& shownAddress, const std::string& realAddress) {
  acceptor.async_accept([this, &acceptor, shownAddress, realAddress](asio::error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      auto passage = std::make_shared<Passage>(*this, std::move(socket), shownAddress, realAddress);
      {
        std::lock_guard<std::mutex> guard(lock);
        passages.insert(passage);
      }
      passage->start();
    }
    accept(acceptor, shownAddress, realAddress);
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
  apply();
}
void Links::clear() {
  {
    std::lock_guard<std::mutex> guard(lock);
    rules.clear();
  }
  apply();
}
void Links::forget(const std::shared_ptr<Passage>& passage) {
  std::lock_guard<std::mutex> guard(lock);
  passages.erase(passage);
}
void Links::apply() {
  asio::post(io, [this] {
    std::set<std::shared_ptr<Passage>> all;
    {
      std::lock_guard<std::mutex> guard(lock);
      all = passages;
    }
    for (const auto& passage : all) passage->look();
  });
}

}  // namespace

int main(int count, char** words) {
  std::string name = "link", webAddress;
  std::vector<std::string> pairs;
  Settings reader("trouttally-link",
                  "A proxy between the fleet's own processes that can cut, hold or slow their connections");
  reader.text("name", &name, "name of this process")
      .texts("pairs", &pairs,
             "SHOWN=REAL: the address at which others reach a process, and the address on which it listens")
      .address("webAddress", &webAddress,
               "address of the HTTP server for rules: POST /v1/rules {from, to, mode, delayMs}, DELETE /v1/rules");
  if (auto code = reader.read(count, words)) return *code;
  startLog("link", name, false);
  asio::io_context context;
  Links links(context);
  for (const auto& pair : pairs) {
    auto sign = pair.find('=');
    if (sign == std::string::npos)
      return reportStartFailure(makeError(Code::badProps, "pairs", pair + ": must be SHOWN=REAL"));
    if (auto done = links.open(pair.substr(0, sign), pair.substr(sign + 1)); !done)
      return reportStartFailure(done.error());
  }
  WebServer server(context, webAddress, [&](WebRequest ask, std::shared_ptr<WebResponse> answer) {
    auto deny = [&](const Error& trouble) { answer->finish(codeStatus(trouble.code), errorJson(trouble)); };
    if (ask.path != "/v1/rules") return deny(makeError(Code::unknownPath, ask.path));
    if (ask.method == "DELETE") {
      links.clear();
      return answer->finish(200, "{}");
    }
    auto read = parseObject(ask.body, {"from", "to", "mode", "delayMs"});
    if (!read) return deny(read.error());
    Json body(read.value());
    Rule rule{stringOr(body, "from", "*"), stringOr(body, "to", "*"), stringOr(body, "mode"),
              std::chrono::milliseconds(integerOr(body, "delayMs", 0))};
    if (rule.mode != "open" && rule.mode != "cut" && rule.mode != "hold" && rule.mode != "slow")
      return deny(makeError(Code::badField, "mode", "must be open, cut, hold or slow"));
    links.set(std::move(rule));
    answer->finish(200, "{}");
  });
  if (auto done = server.open(); !done) return reportStartFailure(done.error());
  logInfo("Forwarding connections of " + std::to_string(pairs.size()) + " addresses.");
  runThreadPool(context, 1, [&] { server.close(); });
  return 0;
}
