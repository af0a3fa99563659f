#include "node_host.hpp"

#include <netinet/tcp.h>

#include "log.hpp"

namespace tt {
namespace {
/// A connection fails when sent data stays unacknowledged this long.
constexpr Duration unacknowledgedTimeout = 2s;

void setTcpOptions(asio::ip::tcp::socket& socket) {
  asio::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  auto set = [&](int name, int value) {
    (void)::setsockopt(socket.native_handle(), IPPROTO_TCP, name, &value, sizeof value);
  };
  set(TCP_USER_TIMEOUT, static_cast<int>(toMilliseconds(unacknowledgedTimeout)));
  set(TCP_KEEPIDLE, 5);
  set(TCP_KEEPINTVL, 2);
  set(TCP_KEEPCNT, 3);
}

/// Bounds of memory that one peer, or a foreign client, can make this process use.
constexpr std::size_t maxFrameBytes = 8u << 20;
constexpr std::size_t maxLinkPendingBytes = 16u << 20;
constexpr std::size_t maxInboundConnections = 512;
std::atomic<std::size_t> inboundCount{0};

/// A frame is the payload after its size, a 32-bit little-endian number.
std::string encodeFrame(const std::string& bytes) {
  std::uint32_t size = static_cast<std::uint32_t>(bytes.size());
  std::string frame(4, '\0');
  for (int at = 0; at < 4; ++at) frame[static_cast<std::size_t>(at)] = static_cast<char>(size >> (8 * at));
  return frame + bytes;
}
}  // namespace

Result<Address> parseAddress(const std::string& text) {
  auto colon = text.rfind(':');
  if (colon == std::string::npos) return makeError(Code::badProps, text, "an address is ip:port");
  asio::error_code error;
  auto ip = asio::ip::make_address(text.substr(0, colon), error);
  if (error) return makeError(Code::badProps, text, "the IP address is not valid");
  std::string port = text.substr(colon + 1);
  if (port.empty() || port.size() > 5 || port.find_first_not_of("0123456789") != std::string::npos ||
      std::stoul(port) > 65535 || std::stoul(port) == 0)
    return makeError(Code::badProps, text, "the port must be from 1 to 65535");
  return Address{ip.to_string(), static_cast<unsigned short>(std::stoul(port))};
}

/// An outgoing connection to one peer. Its first frame is this process's own address. After a failure the queue is
/// discarded, and messages are dropped until a short back-off has passed.
struct PeerTransport::Link : std::enable_shared_from_this<Link> {
  Link(PeerTransport& owner, std::string peer)
      : transport(owner), strand(asio::make_strand(owner.io)), socket(strand), timer(strand), to(std::move(peer)) {}
  PeerTransport& transport;
  asio::strand<asio::io_context::executor_type> strand;
  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  std::string to;
  std::deque<std::string> pending;
  std::size_t pendingBytes{0};
  bool connected{false}, connecting{false}, writing{false}, backingOff{false};
  char discardedByte{0};

  void push(std::string frame) {
    asio::post(strand, [self = shared_from_this(), frame = std::move(frame)]() mutable {
      if (self->pendingBytes + frame.size() > maxLinkPendingBytes || self->backingOff) return;
      self->pendingBytes += frame.size();
      self->pending.push_back(std::move(frame));
      self->advance();
    });
  }
  void disconnect() {
    asio::error_code ignored;
    socket.close(ignored);
    socket = asio::ip::tcp::socket(strand);
    connected = connecting = writing = false;
    pending.clear();
    pendingBytes = 0;
    backingOff = true;
    timer.expires_after(100ms);
    timer.async_wait([self = shared_from_this()](asio::error_code) { self->backingOff = false; });
  }
  /// Connects if needed, else writes the next frame.
  void advance() {
    if (!connected) {
      if (connecting) return;
      auto address = parseAddress(to);
      if (!address) return;
      connecting = true;
      asio::error_code error;
      asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.value().ip, error), address.value().port);
      timer.expires_after(1s);
      timer.async_wait([self = shared_from_this()](asio::error_code waitError) {
        if (!waitError && self->connecting) self->disconnect();
      });
      socket.async_connect(endpoint, [self = shared_from_this()](asio::error_code connectError) {
        if (!self->connecting) return;
        self->timer.cancel();
        if (connectError) return self->disconnect();
        self->connecting = false;
        self->connected = true;
        setTcpOptions(self->socket);
        std::string greeting = encodeFrame(self->transport.self);
        self->pendingBytes += greeting.size();
        self->pending.push_front(std::move(greeting));
        self->watchForClose();
        self->advance();
      });
      return;
    }
    if (writing || pending.empty()) return;
    writing = true;
    asio::async_write(socket, asio::buffer(pending.front()),
                      [self = shared_from_this()](asio::error_code error, std::size_t count) {
                        if (!self->writing) return;
                        if (error) return self->disconnect();
                        self->transport.bytesOut += count;
                        ++self->transport.framesOut;
                        self->writing = false;
                        self->pendingBytes -= self->pending.front().size();
                        self->pending.pop_front();
                        self->advance();
                      });
  }
  /// Reads until the peer closes, to notice it at once. The peer sends nothing on this connection.
  void watchForClose() {
    socket.async_read_some(asio::buffer(&discardedByte, 1),
                           [self = shared_from_this()](asio::error_code error, std::size_t) {
                             if (error == asio::error::operation_aborted) return;
                             self->disconnect();
                           });
  }
};

/// A connection accepted from a peer. Its first frame must be the peer's address; the following ones are messages.
struct PeerTransport::Inbound : std::enable_shared_from_this<Inbound> {
  Inbound(PeerTransport& owner, asio::ip::tcp::socket accepted) : transport(owner), socket(std::move(accepted)) {
    ++inboundCount;
  }
  ~Inbound() { --inboundCount; }
  PeerTransport& transport;
  asio::ip::tcp::socket socket;
  std::string from;
  unsigned char lengthBytes[4]{};
  std::string body;

  void readLength() {
    asio::async_read(
        socket, asio::buffer(lengthBytes), [self = shared_from_this()](asio::error_code error, std::size_t) {
          if (error) return;
          std::size_t size = 0;
          for (int at = 3; at >= 0; --at) size = size << 8 | self->lengthBytes[at];
          if (size > maxFrameBytes || (self->from.empty() && size > 64)) {
            logWarning("Closed an inbound link: frame of " + std::to_string(size) + " bytes exceeds the limit.");
            return;
          }
          self->body.clear();
          self->readBody(size);
        });
  }
  void readBody(std::size_t left) {
    if (left == 0) return onFrame();
    std::size_t step = std::min<std::size_t>(left, 64 * 1024);
    std::size_t start = body.size();
    body.resize(start + step);
    asio::async_read(socket, asio::buffer(&body[start], step),
                     [self = shared_from_this(), left, step](asio::error_code error, std::size_t) {
                       if (!error) self->readBody(left - step);
                     });
  }
  void onFrame() {
    if (from.empty()) {
      if (!parseAddress(body)) {
        logWarning("Closed an inbound link: its first frame is not an address.");
        return;
      }
      from = body;
    } else {
      auto message = decodeMessage(body);
      if (!message) {
        logWarning("Closed the inbound link from " + from + ": malformed frame (" + message.error().subject + ").");
        return;
      }
      transport.onMessage(from, std::move(message).value());
    }
    readLength();
  }
};

PeerTransport::PeerTransport(asio::io_context& context, std::string ownAddress, MessageHandler handler,
                             std::string listenOn)
    : io(context),
      self(std::move(ownAddress)),
      listenAddress(listenOn.empty() ? self : std::move(listenOn)),
      onMessage(std::move(handler)),
      acceptor(context) {}

Result<void> PeerTransport::listen() {
  auto address = parseAddress(listenAddress);
  if (!address) return address.error();
  asio::error_code error;
  asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.value().ip, error), address.value().port);
  acceptor.open(endpoint.protocol(), error);
  if (!error) acceptor.set_option(asio::socket_base::reuse_address(true), error);
  if (!error) acceptor.bind(endpoint, error);
  if (!error) acceptor.listen(128, error);
  if (error)
    return makeError(Code::badProps, listenAddress == self ? "address" : "listen",
                     listenAddress + ": " + error.message());
  accept();
  return boost::outcome_v2::success();
}

void PeerTransport::accept() {
  acceptor.async_accept(asio::make_strand(io), [this](asio::error_code error, asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      setTcpOptions(socket);
      if (inboundCount < maxInboundConnections) std::make_shared<Inbound>(*this, std::move(socket))->readLength();
    }
    accept();
  });
}

void PeerTransport::send(const std::string& to, const Message& message) {
  std::shared_ptr<Link> link;
  {
    std::lock_guard<std::mutex> guard(linksLock);
    auto& entry = links[to];
    if (!entry) entry = std::make_shared<Link>(*this, to);
    link = entry;
  }
  link->push(encodeFrame(encodeMessage(message)));
}

void PeerTransport::stop() {
  asio::error_code ignored;
  acceptor.close(ignored);
}

NodeHost::NodeHost(Node& hostedNode, asio::io_context& context, Duration interval)
    : node(hostedNode), timer(context), tickInterval(interval), randomSource(std::random_device{}()) {}

NodeHost::~NodeHost() { stop(); }

void NodeHost::start() {
  if (ring) diskThread = std::thread([this] { runDiskThread(); });
  tick();
}

void NodeHost::stop() {
  {
    std::lock_guard<std::mutex> guard(diskLock);
    if (stopping) return;
    stopping = true;
  }
  diskCondition.notify_all();
  if (diskThread.joinable()) diskThread.join();
}

void NodeHost::tick() {
  with([this](Effects& effects) {
    if (reportSyncWait) reportSyncWait(unsyncedDuration());
    node.tick(effects);
  });
  timer.expires_after(tickInterval);
  timer.async_wait([this](asio::error_code error) {
    if (!error) tick();
  });
}

void NodeHost::handle(const std::string& from, const Message& message) {
  with([&](Effects& effects) { node.handle(effects, from, message); });
}

void NodeHost::with(const std::function<void(Effects&)>& action) {
  std::lock_guard<std::recursive_mutex> guard(lock);
  Effects effects{Clock::now(), randomSource, node.journal, {}, {}};
  action(effects);
  applyEffects(effects);
}

void NodeHost::applyEffects(Effects& effects) {
  if (!effects.saves.empty()) {
    std::lock_guard<std::mutex> guard(diskLock);
    if (saves.empty() && oldestSaveAt == TimePoint{}) oldestSaveAt = Clock::now();
    for (auto& save : effects.saves) saves.push_back(std::move(save));
    diskCondition.notify_one();
  }
  for (auto& [to, message] : effects.sends) sendMessage(to, std::move(message));
}

Duration NodeHost::unsyncedDuration() const {
  std::lock_guard<std::mutex> guard(diskLock);
  return oldestSaveAt == TimePoint{} ? Duration(0) : Clock::now() - oldestSaveAt;
}

void NodeHost::runDiskThread() {
  while (true) {
    std::vector<Effects::Save> batch;
    {
      std::unique_lock<std::mutex> guard(diskLock);
      diskCondition.wait(guard, [this] { return stopping || !saves.empty(); });
      if (saves.empty()) return;
      batch.swap(saves);
      oldestSaveAt = Clock::now();
    }
    std::vector<Record> records;
    for (const auto& save : batch) records.push_back(save.record);
    auto written = ring->append(records);
    if (!written) {
      if (onDiskFailure) onDiskFailure(written.error());
      return;
    }
    {
      std::lock_guard<std::mutex> guard(diskLock);
      oldestSaveAt = saves.empty() ? TimePoint{} : Clock::now();
    }
    with([&](Effects& effects) {
      for (auto& save : batch)
        if (save.onSynced) save.onSynced(effects);
    });
  }
}

}  // namespace tt
