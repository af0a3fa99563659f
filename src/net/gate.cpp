#include "gate.hpp"

#include <http_parser.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <unordered_set>

#include "host.hpp"

namespace tt {
namespace {

using Tcp = asio::ip::tcp;

constexpr std::size_t smallRead = 4096, bigRead = 64 * 1024;
constexpr std::size_t heldBytes = 64 * 1024;
constexpr std::size_t keptCapacity = 64 * 1024;
constexpr std::size_t chunkLineBytes = 256, chunkExcessBytes = 16 * 1024;
constexpr Span lingerWait = 500ms, acceptPause = 50ms, sweepPause = 100ms;
constexpr Moment never = Moment::max();

bool isTokenByte(unsigned char byte) {
  if ((byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z')) return true;
  return byte && std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(byte)) != std::string_view::npos;
}
bool isToken(std::string_view text) {
  for (char letter : text)
    if (!isTokenByte(static_cast<unsigned char>(letter))) return false;
  return !text.empty();
}
bool isControl(unsigned char byte) { return (byte < 0x20 && byte != '\t') || byte == 0x7f; }
bool hasControl(std::string_view text) {
  for (char letter : text)
    if (isControl(static_cast<unsigned char>(letter))) return true;
  return false;
}
std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

bool soundFieldLine(std::string_view line) {
  auto colon = line.find(':');
  return colon != std::string_view::npos && isToken(line.substr(0, colon)) && !hasControl(line.substr(colon + 1));
}
bool soundRequestLine(std::string_view line) {
  auto first = line.find(' ');
  if (first == std::string_view::npos || !isToken(line.substr(0, first))) return false;
  auto second = line.find(' ', first + 1);
  if (second == std::string_view::npos) return false;
  auto target = line.substr(first + 1, second - first - 1), version = line.substr(second + 1);
  if (target.empty() || target.front() != '/') return false;
  for (char letter : target)
    if (letter <= ' ' || letter > '~' || letter == '#') return false;
  return version == "HTTP/1.1" || version == "HTTP/1.0";
}
/// Whether a head, up to and with its empty line, has the lines that HTTP/1.1 asks for and nothing that parsers read
/// differently.
bool soundHead(std::string_view head) {
  auto end = head.find("\r\n");
  if (!soundRequestLine(head.substr(0, end))) return false;
  for (head.remove_prefix(end + 2); (end = head.find("\r\n")) != 0; head.remove_prefix(end + 2))
    if (end == std::string_view::npos || !soundFieldLine(head.substr(0, end))) return false;
  return head.size() == 2;
}
bool soundHost(std::string_view host) {
  for (char letter : host)
    if (letter <= ' ' || letter > '~' || std::string_view(",/\\@?#<>\"").find(letter) != std::string_view::npos)
      return false;
  return true;
}
std::optional<std::uint64_t> readDigits(std::string_view text) {
  if (text.empty() || text.size() > 18) return std::nullopt;
  std::uint64_t number = 0;
  for (char letter : text) {
    if (letter < '0' || letter > '9') return std::nullopt;
    number = number * 10 + static_cast<std::uint64_t>(letter - '0');
  }
  return number;
}
/// The size at the start of a chunk's line; extensions after a semicolon are left alone.
std::optional<std::uint64_t> readChunkSize(std::string_view line) {
  std::uint64_t size = 0;
  std::size_t digits = 0;
  for (; digits < line.size(); ++digits) {
    char letter = line[digits];
    int value = letter >= '0' && letter <= '9'   ? letter - '0'
                : letter >= 'a' && letter <= 'f' ? letter - 'a' + 10
                : letter >= 'A' && letter <= 'F' ? letter - 'A' + 10
                                                 : -1;
    if (value < 0) break;
    size = size << 4 | static_cast<std::uint64_t>(value);
  }
  if (digits == 0 || digits > 16) return std::nullopt;
  if (digits < line.size() && (line[digits] != ';' || hasControl(line.substr(digits)))) return std::nullopt;
  return size;
}

/// Fields that hold for one connection only; the gate sets its own.
bool isHopByHop(std::string_view name) {
  for (auto other : {"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "TE", "Trailer", "Upgrade"})
    if (sameName(name, other)) return true;
  return name.size() >= 6 && sameName(name.substr(0, 6), "Proxy-");
}
const char* reasonOf(int status) {
  const char* reason = http_status_str(static_cast<http_status>(status));
  if (reason[0] != '<') return reason;
  return status < 300 ? "Success" : status < 400 ? "Redirection" : status < 500 ? "Client Error" : "Server Error";
}

struct HeadReader {
  GateRequest& request;
  unsigned flags{0};
  bool afterValue{true}, whole{false};

  static HeadReader& of(http_parser* parser) { return *static_cast<HeadReader*>(parser->data); }
  static int onTarget(http_parser* parser, const char* at, std::size_t size) {
    of(parser).request.target.append(at, size);
    return 0;
  }
  static int onName(http_parser* parser, const char* at, std::size_t size) {
    auto& reader = of(parser);
    if (reader.afterValue) reader.request.headers.emplace_back();
    reader.afterValue = false;
    reader.request.headers.back().first.append(at, size);
    return 0;
  }
  static int onValue(http_parser* parser, const char* at, std::size_t size) {
    auto& reader = of(parser);
    reader.afterValue = true;
    if (reader.request.headers.empty()) return 1;
    reader.request.headers.back().second.append(at, size);
    return 0;
  }
  static int onHead(http_parser* parser) {
    of(parser).flags = parser->flags;
    of(parser).whole = true;
    return 1;  // the body is read by the gate
  }
};
const http_parser_settings& headSettings() {
  static const http_parser_settings settings = [] {
    http_parser_settings made;
    http_parser_settings_init(&made);
    made.on_url = HeadReader::onTarget;
    made.on_header_field = HeadReader::onName;
    made.on_header_value = HeadReader::onValue;
    made.on_headers_complete = HeadReader::onHead;
    return made;
  }();
  return settings;
}

/// The parser takes a name that only begins with Transfer-Encoding for that field and refuses a length beside it. The
/// gate has checked every byte of the head before, and checks the framing fields by their whole names itself.
void leaveFramingToGate(http_parser& parser) {
  parser.lenient_http_headers = 1;
  parser.allow_chunked_length = 1;
}

void tune(Tcp::socket& socket) {
  asio::error_code ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  int handle = socket.native_handle();
  auto set = [handle](int option, int value) { ::setsockopt(handle, IPPROTO_TCP, option, &value, sizeof value); };
  set(TCP_KEEPIDLE, 10);
  set(TCP_KEEPINTVL, 2);
  set(TCP_KEEPCNT, 3);
  set(TCP_USER_TIMEOUT, 2000);
}

}  // namespace

struct Gate::Inner : std::enable_shared_from_this<Inner> {
  Inner(asio::io_context& context, std::string at, GateHandler taken)
      : io(context),
        address(std::move(at)),
        handler(std::move(taken)),
        acceptor(context),
        pause(context),
        sweepTimer(context) {}
  asio::io_context& io;
  std::string address;
  GateHandler handler;
  Tcp::acceptor acceptor;
  asio::steady_timer pause, sweepTimer;
  GateLimits limits;
  bool leaving{false}, closed{false};
  std::unordered_set<std::shared_ptr<Connection>> connections;
  std::size_t exchanges{0};
  Moment sweepAt{never}, lastSweep{};
  std::size_t queuedBytes{0};
  std::uint64_t receivedBytes{0};
  bool shedPosted{false};

  Result<void> open();
  void accept();
  void wakeBy(Moment moment);
  void sweep();
  void close();
  /// Counts bytes that begin to wait; once too many do, the callers that have left most behind are let go.
  void queue(std::size_t bytes);
  void shed();
};

class Gate::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<Inner> owner, Tcp::socket taken) : gate(std::move(owner)), socket(std::move(taken)) {}

  void start() {
    tune(socket);
    setDeadline(Clock::now() + gate->limits.idleWait);
    read();
  }
  void leave() {
    if (phase == Phase::idle) setDeadline(std::min(deadline, Clock::now() + gate->limits.idleClose));
  }
  Moment due() const { return deadline; }
  void onDeadline();
  void close();

  void head(int status, const HttpHeaders& headers, std::optional<std::size_t> length);
  void bytes(std::string_view bytes);
  void end();
  void cut();
  /// Lets go of a caller that does not take its answer: what waits for it is dropped and it is told nothing more.
  void abandon();
  std::size_t unwritten() const { return pending.size() + flying.size() - flown + tail.size(); }
  bool hasStarted() const { return answering != Answering::nothing; }
  bool hasEnded() const { return ended; }

  Answer* answer{nullptr};
  std::function<void()> gone;

 private:
  /// Leading to a close: refusing and cutting write what is queued; draining reads until the caller closes too.
  enum class Phase { idle, head, body, exchange, refusing, cutting, draining, closed };
  enum class ChunkPart { size, data, dataEnd, trailer };
  enum class Answering { nothing, empty, length, chunks, untilClose };
  enum class Taken { part, whole, refused };

  std::shared_ptr<Inner> gate;
  Tcp::socket socket;
  Phase phase{Phase::idle};
  Moment deadline{never};

  std::unique_ptr<char[]> readSpace;
  std::size_t readRoom{0};
  bool reading{false}, watching{false}, sawEnd{false};
  std::string in;

  GateLimits limits;
  GateRequest request;
  std::size_t scanned{0};
  bool skippedBlank{false};
  bool isHttp10{false}, isHead{false}, mayKeep{false}, isChunked{false};
  std::uint64_t bodyLeft{0};
  ChunkPart chunkPart{ChunkPart::size};
  std::size_t chunkExcess{0}, trailerBytes{0};

  Answering answering{Answering::nothing};
  bool exchanging{false}, ended{false}, keeps{false};
  /// How long the answer under way promises to keep the connection, and until when an earlier one did.
  Span promised{0};
  Moment keptUntil{};
  std::size_t answerLeft{0};
  /// The last bytes of an answer are held back until its end, so that a cut one is never whole.
  std::string tail;

  std::string pending, flying;
  std::size_t flown{0};
  bool flushPosted{false};

  void setDeadline(Moment moment) {
    deadline = moment;
    if (moment != never) gate->wakeBy(moment);
  }
  Moment restsUntil() const;
  void resetOnClose(bool resets);
  void enqueue(std::string_view bytes);
  void read();
  void watch();
  void onRead(asio::error_code error, std::size_t size);
  void onFailure();
  void parse();
  Taken takeHead();
  Taken readHead(std::size_t size);
  Taken takeBody();
  Taken takeChunks();
  Taken refuse(int status);
  void beginExchange();
  void finishExchange();
  void detach(bool callerLeft);
  void callerLeft();
  void postFlush();
  void flush();
  void onWritten(asio::error_code error, std::size_t size);
  void onFlushed();
  void drain();
};

class Gate::Answer : public GateAnswer {
 public:
  explicit Answer(std::shared_ptr<Connection> on, asio::io_context& context) : connection(std::move(on)), io(context) {}
  ~Answer() override {
    if (!connection) return;
    connection->answer = nullptr;
    if (!connection->hasEnded()) connection->cut();
  }
  void head(int status, const HttpHeaders& headers, std::optional<std::size_t> length) override {
    if (auto on = connection) on->head(status, headers, length);
  }
  void bytes(std::string_view bytes) override {
    if (auto on = connection) on->bytes(bytes);
  }
  void end() override {
    if (auto on = connection) on->end();
  }
  void cut() override {
    if (auto on = connection) on->cut();
  }
  void onGone(std::function<void()> gone) override {
    if (connection && !connection->hasEnded())
      connection->gone = std::move(gone);
    else if (callerLeft && gone)
      asio::post(io, std::move(gone));
  }
  std::size_t unwritten() const override { return connection ? connection->unwritten() : 0; }
  bool started() const override { return connection ? connection->hasStarted() : wasStarted; }

  void detach(bool left) {
    wasStarted = started();
    callerLeft = left;
    connection.reset();
  }

 private:
  std::shared_ptr<Connection> connection;
  asio::io_context& io;
  bool callerLeft{false}, wasStarted{false};
};

void Gate::Connection::read() {
  if (reading || phase == Phase::closed) return;
  if (phase == Phase::exchange && in.size() >= heldBytes) return watch();
  std::size_t room = phase == Phase::body || phase == Phase::draining ? bigRead : smallRead;
  if (readRoom < room || (phase == Phase::idle && readRoom > room)) {
    readSpace.reset(new char[room]);
    readRoom = room;
  }
  reading = true;
  socket.async_read_some(
      asio::buffer(readSpace.get(), readRoom),
      [self = shared_from_this()](asio::error_code error, std::size_t size) { self->onRead(error, size); });
}

void Gate::Connection::watch() {
  if (watching) return;
  watching = true;
  socket.async_wait(Tcp::socket::wait_error, [self = shared_from_this()](asio::error_code) {
    self->watching = false;
    if (self->phase == Phase::closed) return;
    int failure = 0;
    socklen_t size = sizeof failure;
    ::getsockopt(self->socket.native_handle(), SOL_SOCKET, SO_ERROR, &failure, &size);
    if (failure) self->onFailure();
  });
}

void Gate::Connection::onRead(asio::error_code error, std::size_t size) {
  reading = false;
  gate->receivedBytes += size;
  if (phase == Phase::closed) return;
  if (error) {
    sawEnd = true;
    bool halfClosed = error == asio::error::eof;
    bool hasMoreToWrite = phase == Phase::refusing || phase == Phase::cutting || (phase == Phase::exchange && ended);
    if (halfClosed && hasMoreToWrite) return;
    return onFailure();
  }
  switch (phase) {
    case Phase::idle:
    case Phase::head:
    case Phase::body:
      in.append(readSpace.get(), size);
      return parse();
    case Phase::exchange:
      in.append(readSpace.get(), size);
      return read();
    default:
      return read();
  }
}

void Gate::Connection::onFailure() {
  if (phase == Phase::exchange && !ended) return callerLeft();
  close();
}

void Gate::Connection::onDeadline() {
  asio::error_code ignored;
  if (phase == Phase::draining) return close();
  if (phase != Phase::head && socket.available(ignored) > 0) return setDeadline(Clock::now() + sweepPause);
  if (phase == Phase::idle) return close();
  refuse(408);
}

void Gate::Connection::close() {
  if (phase == Phase::closed) return;
  auto self = shared_from_this();
  auto dropped = std::move(gone);
  phase = Phase::closed;
  deadline = never;
  detach(false);
  asio::error_code ignored;
  socket.close(ignored);
  gate->queuedBytes -= pending.size() + flying.size() - flown;
  pending = std::string();
  tail.clear();
  gate->connections.erase(self);
}

void Gate::Connection::detach(bool left) {
  if (exchanging) --gate->exchanges;
  exchanging = false;
  if (answer) std::exchange(answer, nullptr)->detach(left);
}

void Gate::Connection::callerLeft() {
  auto self = shared_from_this();
  auto call = std::move(gone);
  gone = nullptr;
  detach(true);
  close();
  if (call) call();
}

void Gate::Connection::parse() {
  Taken taken = Taken::part;
  if (phase == Phase::idle && !in.empty()) {
    limits = gate->limits;
    phase = Phase::head;
    scanned = 0;
    setDeadline(Clock::now() + limits.headerWait);
  }
  if (phase == Phase::head) {
    taken = takeHead();
    if (taken == Taken::refused) return;
    if (taken == Taken::whole) {
      phase = Phase::body;
      taken = Taken::part;
    }
  }
  if (phase == Phase::body) {
    taken = isChunked ? takeChunks() : takeBody();
    if (taken == Taken::refused) return;
    if (taken == Taken::whole) return beginExchange();
    const auto* expected =
        in.empty() && request.body.empty() && !isHttp10 ? findHeader(request.headers, "Expect") : nullptr;
    if (expected && sameName(*expected, "100-continue") && deadline == never) {
      enqueue("HTTP/1.1 100 Continue\r\n\r\n");
      flush();
    }
    setDeadline(Clock::now() + limits.headerWait);
  }
  read();
}

Gate::Connection::Taken Gate::Connection::takeHead() {
  if (!skippedBlank && scanned <= 2 && in.size() >= 2 && in.compare(0, 2, "\r\n") == 0) {
    in.erase(0, 2);
    scanned = 0;
    skippedBlank = true;
    if (in.empty()) {
      phase = Phase::idle;
      setDeadline(restsUntil());
      return Taken::part;
    }
  }
  for (; scanned < in.size(); ++scanned) {
    if (scanned >= limits.headerBytes) return refuse(431);
    auto byte = static_cast<unsigned char>(in[scanned]);
    bool afterCr = scanned > 0 && in[scanned - 1] == '\r';
    if ((byte == '\n') != afterCr) return refuse(400);
    if (byte == '\n') {
      if (scanned >= 3 && in[scanned - 2] == '\n') return readHead(scanned + 1);
    } else if (byte != '\r' && isControl(byte)) {
      return refuse(400);
    }
  }
  return Taken::part;
}

Gate::Connection::Taken Gate::Connection::readHead(std::size_t size) {
  std::string_view raw(in.data(), size);
  if (!soundHead(raw)) return refuse(400);
  request = GateRequest{};
  request.headers.reserve(12);
  HeadReader reader{request};
  http_parser parser;
  http_parser_init(&parser, HTTP_REQUEST);
  leaveFramingToGate(parser);
  parser.data = &reader;
  std::size_t parsed = http_parser_execute(&parser, &headSettings(), raw.data(), raw.size());
  if (HTTP_PARSER_ERRNO(&parser) == HPE_HEADER_OVERFLOW) return refuse(431);
  if (HTTP_PARSER_ERRNO(&parser) != HPE_OK || parsed != raw.size() || !reader.whole || parser.method == HTTP_CONNECT)
    return refuse(400);
  in.erase(0, size);
  request.method = http_method_str(static_cast<http_method>(parser.method));
  isHttp10 = parser.http_minor == 0;
  isHead = parser.method == HTTP_HEAD;

  int hosts = 0, lengths = 0, codings = 0;
  bodyLeft = 0;
  for (auto& [name, value] : request.headers) {
    if (auto bare = trimmed(value); bare.size() != value.size()) value = std::string(bare);
    if (sameName(name, "Host")) {
      ++hosts;
      if (!soundHost(value)) return refuse(400);
    } else if (sameName(name, "Content-Length")) {
      ++lengths;
      auto length = readDigits(value);
      if (!length) return refuse(400);
      bodyLeft = *length;
    } else if (sameName(name, "Transfer-Encoding")) {
      ++codings;
      if (!sameName(value, "chunked")) return refuse(400);
    }
  }
  if (hosts > 1 || (hosts == 0 && !isHttp10) || lengths + codings > 1 || (codings && isHttp10)) return refuse(400);
  isChunked = codings == 1;
  if (isChunked != ((reader.flags & F_CHUNKED) != 0)) return refuse(400);
  mayKeep = !(reader.flags & F_CONNECTION_CLOSE) && (!isHttp10 || (reader.flags & F_CONNECTION_KEEP_ALIVE));
  if (bodyLeft > limits.bodyBytes) return refuse(413);
  chunkPart = ChunkPart::size;
  chunkExcess = trailerBytes = 0;
  deadline = never;
  return Taken::whole;
}

Gate::Connection::Taken Gate::Connection::takeBody() {
  if (request.body.capacity() < bodyLeft && request.body.empty()) request.body.reserve(bodyLeft);
  auto size = static_cast<std::size_t>(std::min<std::uint64_t>(bodyLeft, in.size()));
  request.body.append(in, 0, size);
  in.erase(0, size);
  bodyLeft -= size;
  return bodyLeft == 0 ? Taken::whole : Taken::part;
}

Gate::Connection::Taken Gate::Connection::takeChunks() {
  std::string_view left(in);
  std::optional<Taken> taken;
  while (!taken) {
    if (chunkPart == ChunkPart::data) {
      auto size = static_cast<std::size_t>(std::min<std::uint64_t>(bodyLeft, left.size()));
      request.body.append(left.data(), size);
      left.remove_prefix(size);
      bodyLeft -= size;
      if (bodyLeft > 0)
        taken = Taken::part;
      else
        chunkPart = ChunkPart::dataEnd;
      continue;
    }
    auto feed = left.find('\n');
    std::size_t most = chunkPart == ChunkPart::trailer ? limits.headerBytes - trailerBytes
                       : chunkPart == ChunkPart::size  ? chunkLineBytes
                                                       : 2;
    if ((feed == std::string_view::npos ? left.size() : feed + 1) > most)
      return refuse(chunkPart == ChunkPart::trailer ? 431 : 400);
    if (feed == std::string_view::npos) {
      if (chunkPart == ChunkPart::dataEnd && !left.empty() && left[0] != '\r') return refuse(400);
      taken = Taken::part;
      continue;
    }
    if (feed == 0 || left[feed - 1] != '\r') return refuse(400);
    auto line = left.substr(0, feed - 1);
    left.remove_prefix(feed + 1);
    if (chunkPart == ChunkPart::dataEnd) {
      if (!line.empty()) return refuse(400);
      chunkPart = ChunkPart::size;
    } else if (chunkPart == ChunkPart::trailer) {
      trailerBytes += feed + 1;
      if (line.empty())
        taken = Taken::whole;
      else if (!soundFieldLine(line))
        return refuse(400);
    } else {
      auto size = readChunkSize(line);
      if (!size) return refuse(400);
      if (*size > limits.bodyBytes - request.body.size()) return refuse(413);
      std::size_t excess = chunkExcess + line.size() + 2, fair = 16 + 2 * static_cast<std::size_t>(*size);
      chunkExcess = excess > fair ? excess - fair : 0;
      if (chunkExcess > chunkExcessBytes) return refuse(400);
      bodyLeft = *size;
      chunkPart = *size == 0 ? ChunkPart::trailer : ChunkPart::data;
    }
  }
  in.erase(0, in.size() - left.size());
  return *taken;
}

Gate::Connection::Taken Gate::Connection::refuse(int status) {
  phase = Phase::refusing;
  deadline = never;
  in = std::string();
  request = GateRequest{};
  enqueue("HTTP/1.1 " + std::to_string(status) + " " + reasonOf(status) +
          "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
  flush();
  read();
  return Taken::refused;
}

void Gate::Connection::beginExchange() {
  phase = Phase::exchange;
  deadline = never;
  answering = Answering::nothing;
  ended = keeps = false;
  exchanging = true;
  ++gate->exchanges;
  read();
  auto made = std::make_shared<Answer>(shared_from_this(), gate->io);
  answer = made.get();
  auto owner = gate;
  owner->handler(std::move(request), std::move(made));
}

void Gate::Connection::head(int status, const HttpHeaders& headers, std::optional<std::size_t> length) {
  if (phase != Phase::exchange || ended || answering != Answering::nothing) return;
  if (status < 200 || status > 599) status = 500;
  bool bare = status == 204 || status == 304;
  if (bare || isHead || (length && *length == 0))
    answering = Answering::empty;
  else if (length)
    answering = Answering::length;
  else
    answering = isHttp10 ? Answering::untilClose : Answering::chunks;
  answerLeft = length.value_or(0);
  bool hasReadMore = !in.empty();
  keeps = mayKeep && (!gate->leaving || hasReadMore) && answering != Answering::untilClose;
  if (answering == Answering::untilClose) resetOnClose(true);

  std::string text = "HTTP/1.1 ";
  text += std::to_string(status);
  text += ' ';
  text += reasonOf(status);
  text += "\r\n";
  for (const auto& [name, value] : headers) {
    if (isHopByHop(name) || !isToken(name) || hasControl(value)) continue;
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
  if (length && !bare) {
    text += "Content-Length: ";
    text += std::to_string(*length);
    text += "\r\n";
  } else if (!bare && !isHttp10) {
    text += "Transfer-Encoding: chunked\r\n";
  }
  if (keeps) {
    auto whole = std::chrono::duration_cast<std::chrono::seconds>(gate->limits.idleWait);
    promised = gate->leaving ? Span(0) : Span(whole);
    text += "Connection: keep-alive\r\n";
    if (promised > Span(0)) text += "Keep-Alive: timeout=" + std::to_string(whole.count()) + "\r\n";
  } else {
    text += "Connection: close\r\n";
  }
  if (answering == Answering::empty)
    tail = "\r\n";
  else
    text += "\r\n";
  if (answering == Answering::chunks) tail = "0\r\n\r\n";
  enqueue(text);
  postFlush();
}

void Gate::Connection::bytes(std::string_view bytes) {
  if (phase != Phase::exchange || ended || bytes.empty()) return;
  switch (answering) {
    case Answering::nothing:
    case Answering::empty:
      return;
    case Answering::length:
      if (bytes.size() > answerLeft) return cut();
      answerLeft -= bytes.size();
      if (answerLeft == 0) {
        tail = bytes.back();
        bytes.remove_suffix(1);
      }
      enqueue(bytes);
      break;
    case Answering::chunks: {
      char size[2 * sizeof(std::size_t) + 3];
      enqueue({size, static_cast<std::size_t>(std::snprintf(size, sizeof size, "%zx\r\n", bytes.size()))});
      enqueue(bytes);
      enqueue("\r\n");
      break;
    }
    case Answering::untilClose:
      enqueue(bytes);
      break;
  }
  postFlush();
}

void Gate::Connection::end() {
  auto dropped = std::move(gone);
  if (phase != Phase::exchange || ended) return;
  if (answering == Answering::nothing || (answering == Answering::length && answerLeft > 0)) return cut();
  ended = true;
  enqueue(tail);
  tail.clear();
  flush();
  if (flying.empty()) onFlushed();
}

void Gate::Connection::cut() {
  if (phase != Phase::exchange || ended) return;
  auto self = shared_from_this();
  auto dropped = std::move(gone);
  detach(false);
  tail.clear();
  if (answering == Answering::untilClose || answering == Answering::nothing) return close();
  phase = Phase::cutting;
  flush();
  if (flying.empty()) close();
}

void Gate::Connection::abandon() {
  if (phase == Phase::closed) return;
  resetOnClose(true);
  onFailure();
}

Moment Gate::Connection::restsUntil() const {
  if (gate->leaving) return Clock::now() + gate->limits.idleClose;
  return std::max(Clock::now() + gate->limits.idleWait, keptUntil);
}

/// Where the end of the connection is the end of the answer, whatever ends the connection before that, even a kill of
/// the process, must reset it.
void Gate::Connection::resetOnClose(bool resets) {
  asio::error_code ignored;
  socket.set_option(asio::socket_base::linger(resets, 0), ignored);
}

void Gate::Connection::enqueue(std::string_view bytes) {
  pending += bytes;
  gate->queue(bytes.size());
}

void Gate::Connection::finishExchange() {
  detach(false);
  if (answering == Answering::untilClose) resetOnClose(false);
  if (sawEnd) return close();
  if (!keeps) return drain();
  phase = Phase::idle;
  skippedBlank = false;
  if (in.empty() && in.capacity() > keptCapacity) in = std::string();
  keptUntil = Clock::now() + promised;
  setDeadline(restsUntil());
  parse();
}

void Gate::Connection::postFlush() {
  if (flushPosted || !flying.empty()) return;
  flushPosted = true;
  asio::post(gate->io, [self = shared_from_this()] {
    self->flushPosted = false;
    self->flush();
  });
}

void Gate::Connection::flush() {
  if (!flying.empty() || pending.empty() || phase == Phase::closed) return;
  flying.swap(pending);
  flown = 0;
  onWritten({}, 0);
}

void Gate::Connection::onWritten(asio::error_code error, std::size_t size) {
  if (phase == Phase::closed) return;
  if (error) return onFailure();
  flown += size;
  gate->queuedBytes -= size;
  if (flown < flying.size())
    return socket.async_write_some(asio::buffer(flying.data() + flown, flying.size() - flown),
                                   [self = shared_from_this()](asio::error_code failure, std::size_t written) {
                                     self->onWritten(failure, written);
                                   });
  if (flying.capacity() > keptCapacity) flying = std::string();
  flying.clear();
  flown = 0;
  if (!pending.empty()) return flush();
  onFlushed();
}

void Gate::Connection::onFlushed() {
  if (phase == Phase::cutting) return close();
  if (phase == Phase::refusing) return sawEnd ? close() : drain();
  if (phase == Phase::exchange && ended) finishExchange();
}

void Gate::Connection::drain() {
  asio::error_code ignored;
  phase = Phase::draining;
  in = std::string();
  socket.shutdown(Tcp::socket::shutdown_send, ignored);
  setDeadline(Clock::now() + lingerWait);
  read();
}

Result<void> Gate::Inner::open() {
  bool anyPort = address.size() > 2 && address.compare(address.size() - 2, 2, ":0") == 0;
  auto read = readAddress(anyPort ? address.substr(0, address.size() - 1) + "1" : address);
  if (!read) return read.error();
  asio::error_code error;
  Tcp::endpoint end(asio::ip::make_address(read.value().ip, error), anyPort ? 0 : read.value().port);
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

void Gate::Inner::accept() {
  acceptor.async_accept([self = shared_from_this()](asio::error_code error, Tcp::socket socket) {
    if (self->closed) return;
    if (error) {
      self->pause.expires_after(acceptPause);
      return self->pause.async_wait([self](asio::error_code) {
        if (!self->closed) self->accept();
      });
    }
    auto connection = std::make_shared<Connection>(self, std::move(socket));
    self->connections.insert(connection);
    connection->start();
    self->accept();
  });
}

void Gate::Inner::wakeBy(Moment moment) {
  moment = std::max(moment, lastSweep + sweepPause);
  if (closed || moment >= sweepAt) return;
  sweepAt = moment;
  sweepTimer.expires_at(moment);
  sweepTimer.async_wait([self = shared_from_this()](asio::error_code error) {
    if (!error && !self->closed) self->sweep();
  });
}

void Gate::Inner::sweep() {
  lastSweep = Clock::now();
  sweepAt = never;
  std::vector<std::shared_ptr<Connection>> due;
  Moment next = never;
  for (const auto& connection : connections) {
    if (connection->due() <= lastSweep)
      due.push_back(connection);
    else
      next = std::min(next, connection->due());
  }
  for (const auto& connection : due) connection->onDeadline();
  if (next != never) wakeBy(next);
}

void Gate::Inner::queue(std::size_t bytes) {
  queuedBytes += bytes;
  if (queuedBytes <= limits.queuedBytes || shedPosted) return;
  shedPosted = true;
  asio::post(io, [self = shared_from_this()] {
    self->shedPosted = false;
    self->shed();
  });
}

void Gate::Inner::shed() {
  while (queuedBytes > limits.queuedBytes && !connections.empty()) {
    auto most = *std::max_element(connections.begin(), connections.end(), [](const auto& one, const auto& other) {
      return one->unwritten() < other->unwritten();
    });
    most->abandon();
  }
}

void Gate::Inner::close() {
  if (closed) return;
  closed = true;
  asio::error_code ignored;
  acceptor.close(ignored);
  pause.cancel();
  sweepTimer.cancel();
  auto open = std::move(connections);
  connections.clear();
  for (const auto& connection : open) connection->close();
}

Gate::Gate(asio::io_context& context, std::string address, GateHandler handler)
    : inner(std::make_shared<Inner>(context, std::move(address), std::move(handler))) {}
Gate::~Gate() { inner->close(); }
Result<void> Gate::open() { return inner->open(); }
unsigned short Gate::port() const {
  asio::error_code ignored;
  return inner->acceptor.local_endpoint(ignored).port();
}
void Gate::setLimits(const GateLimits& limits) { inner->limits = limits; }
void Gate::leave() {
  if (std::exchange(inner->leaving, true)) return;
  for (const auto& connection : inner->connections) connection->leave();
}
void Gate::close() { inner->close(); }
std::size_t Gate::connections() const { return inner->connections.size(); }
std::size_t Gate::exchanges() const { return inner->exchanges; }
std::uint64_t Gate::received() const { return inner->receivedBytes; }
std::size_t Gate::queued() const { return inner->queuedBytes; }

}  // namespace tt
