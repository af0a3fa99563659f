#include "host.hpp"

#include <netinet/tcp.h>

#include "log.hpp"

namespace tt {
namespace {
constexpr Duration untakenMost = 2s;

void tune(asio::ip::tcp::socket& socket) {
  asio::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  auto set = [&](int name, int value) {
    (void)::setsockopt(socket.native_handle(), IPPROTO_TCP, name, &value, sizeof value);
  };
  set(TCP_USER_TIMEOUT, static_cast<int>(toMilliseconds(untakenMost)));
  set(TCP_KEEPIDLE, 5);
  set(TCP_KEEPINTVL, 2);
  set(TCP_KEEPCNT, 3);
}

constexpr std::size_t frameMost = 8u << 20;
constexpr std::size_t linkPendingMost = 16u << 20;
constexpr std::size_t inboundMost = 512;
std::atomic<std::size_t> inboundCount{0};

std::string frameOf(const std::string& bytes) {
  std::uint32_t size = static_cast<std::uint32_t>(bytes.size());
  std::string frame(4, '\0');
  for (int at = 0; at < 4; ++at) frame[static_cast<std::size_t>(at)] = static_cast<char>(size >> (8 * at));
  return frame + bytes;
}
}  // namespace

Result<Address> parseAddress(const std::string& text) {
  auto colon = text.rfind(':');
  if (colon == std::string::npos) return fault(Code::badProps, text, "an address is ip:port");
  asio::error_code error;
  auto ip = asio::ip::make_address(text.substr(0, colon), error);
  if (error) return fault(Code::badProps, text, "the IP number is not valid");
  std::string port = text.substr(colon + 1);
  if (port.empty() || port.size() > 5 || port.find_first_not_of("0123456789") != std::string::npos ||
      std::stoul(port) > 65535 || std::stoul(port) == 0)
    return fault(Code::badProps, text, "the port must be from 1 to 65535");
  return Address{ip.to_string(), static_cast<unsigned short>(std::stoul(port))};
}

struct PeerTransport::Link : std::enable_shared_from_this<Link> {
  Link(PeerTransport& owner, std::string peer)
      : hub(owner), strand(asio::make_strand(owner.io)), socket(strand), retry(strand), to(std::move(peer)) {}
  PeerTransport& hub;
  asio::strand<asio::io_context::executor_type> strand;
  asio::ip::tcp::socket socket;
  asio::steady_timer retry;
  std::string to;
  std::deque<std::string> pending;
  std::size_t pendingBytes{0};
  bool connected{false}, connecting{false}, writing{false}, resting{false};
  char watched{0};

  void push(std::string frame) {
    asio::post(strand, [self = shared_from_this(), frame = std::move(frame)]() mutable {
      if (self->pendingBytes + frame.size() > linkPendingMost || self->resting) return;
      self->pendingBytes += frame.size();
      self->pending.push_back(std::move(frame));
      self->go();
    });
  }
  void fail() {
    asio::error_code ignored;
    socket.close(ignored);
    socket = asio::ip::tcp::socket(strand);
    connected = connecting = writing = false;
    pending.clear();
    pendingBytes = 0;
    resting = true;
    retry.expires_after(100ms);
    retry.async_wait([self = shared_from_this()](asio::error_code) { self->resting = false; });
  }
  void go() {
    if (!connected) {
      if (connecting) return;
      auto address = parseAddress(to);
      if (!address) return;
      connecting = true;
      asio::error_code error;
      asio::ip::tcp::endpoint end(asio::ip::make_address(address.value().ip, error), address.value().port);
      retry.expires_after(1s);
      retry.async_wait([self = shared_from_this()](asio::error_code waitError) {
        if (!waitError && self->connecting) self->fail();
      });
      socket.async_connect(end, [self = shared_from_this()](asio::error_code connectError) {
        if (!self->connecting) return;
        self->retry.cancel();
        if (connectError) return self->fail();
        self->connecting = false;
        self->connected = true;
        tune(self->socket);
        std::string hello = frameOf(self->hub.self);
        self->pendingBytes += hello.size();
        self->pending.push_front(std::move(hello));
        self->watch();
        self->go();
      });
      return;
    }
    if (writing || pending.empty()) return;
    writing = true;
    asio::async_write(socket, asio::buffer(pending.front()),
                      [self = shared_from_this()](asio::error_code error, std::size_t count) {
                        if (!self->writing) return;
                        if (error) return self->fail();
                        self->hub.bytesOut += count;
                        ++self->hub.framesOut;
                        self->writing = false;
                        self->pendingBytes -= self->pending.front().size();
                        self->pending.pop_front();
                        self->go();
                      });
  }
  void watch() {
    socket.async_read_some(asio::buffer(&watched, 1), [self = shared_from_this()](asio::error_code error, std::size_t) {
      if (error == asio::error::operation_aborted) return;
      self->fail();
    });
  }
};

struct PeerTransport::Inbound : std::enable_shared_from_this<Inbound> {
  Inbound(PeerTransport& owner, asio::ip::tcp::socket accepted) : hub(owner), socket(std::move(accepted)) {
    ++inboundCount;
  }
  ~Inbound() { --inboundCount; }
  PeerTransport& hub;
  asio::ip::tcp::socket socket;
  std::string from;
  unsigned char head[4]{};
  std::string body;

  void readHead() {
    asio::async_read(socket, asio::buffer(head), [self = shared_from_this()](asio::error_code error, std::size_t) {
      if (error) return;
      std::size_t size = 0;
      for (int at = 3; at >= 0; --at) size = size << 8 | self->head[at];
      if (size > frameMost || (self->from.empty() && size > 64)) {
        logWarning("Frame of " + std::to_string(size) + " bytes denied, link closed.");
        return;
      }
      self->body.clear();
      self->readBody(size);
    });
  }
  void readBody(std::size_t left) {
    if (left == 0) return whole();
    std::size_t step = std::min<std::size_t>(left, 64 * 1024);
    std::size_t start = body.size();
    body.resize(start + step);
    asio::async_read(socket, asio::buffer(&body[start], step),
                     [self = shared_from_this(), left, step](asio::error_code error, std::size_t) {
                       if (!error) self->readBody(left - step);
                     });
  }
  void whole() {
    if (from.empty()) {
      if (!parseAddress(body)) {
        logWarning("Link without a good first frame closed.");
        return;
      }
      from = body;
    } else {
      auto message = decodeMessage(body);
      if (!message) {
        logWarning("Malformed frame from " + from + " (" + message.error().subject + "), link closed.");
        return;
      }
      hub.onTaken(from, std::move(message).value());
    }
    readHead();
  }
};

PeerTransport::PeerTransport(asio::io_context& context, std::string ownAddress, Taken taken, std::string listenAt)
    : io(context),
      self(std::move(ownAddress)),
      listenAddress(listenAt.empty() ? self : std::move(listenAt)),
      onTaken(std::move(taken)),
      acceptor(context) {}

Result<void> PeerTransport::listen() {
  auto address = parseAddress(listenAddress);
  if (!address) return address.error();
  asio::error_code error;
  asio::ip::tcp::endpoint end(asio::ip::make_address(address.value().ip, error), address.value().port);
  acceptor.open(end.protocol(), error);
  if (!error) acceptor.set_option(asio::socket_base::reuse_address(true), error);
  if (!error) acceptor.bind(end, error);
  if (!error) acceptor.listen(128, error);
  if (error)
    return fault(Code::badProps, listenAddress == self ? "address" : "listen", listenAddress + ": " + error.message());
  accept();
  return boost::outcome_v2::success();
}

void PeerTransport::accept() {
  acceptor.async_accept(asio::make_strand(io), [this](asio::error_code error, asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      tune(socket);
      if (inboundCount < inboundMost) std::make_shared<Inbound>(*this, std::move(socket))->readHead();
    }
    accept();
  });
}

void PeerTransport::send(const std::string& to, const Message& message) {
  std::shared_ptr<Link> link;
  {
    std::lock_guard<std::mutex> guard(linksLock);
    auto& row = links[to];
    if (!row) row = std::make_shared<Link>(*this, to);
    link = row;
  }
  link->push(frameOf(encodeMessage(message)));
}

void PeerTransport::stop() {
  asio::error_code ignored;
  acceptor.close(ignored);
}

NodeHost::NodeHost(Node& hostedNode, asio::io_context& context, Duration tickEvery)
    : node(hostedNode), timer(context), every(tickEvery), randomSource(std::random_device{}()) {}

NodeHost::~NodeHost() { stop(); }

void NodeHost::start() {
  if (ring) diskThread = std::thread([this] { runDisk(); });
  tick();
}

void NodeHost::stop() {
  {
    std::lock_guard<std::mutex> guard(diskLock);
    if (stopping) return;
    stopping = true;
  }
  diskWake.notify_all();
  if (diskThread.joinable()) diskThread.join();
}

void NodeHost::tick() {
  with([this](Effects& effects) {
    if (reportSyncWait) reportSyncWait(diskWait());
    node.tick(effects);
  });
  timer.expires_after(every);
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
  finish(effects);
}

void NodeHost::finish(Effects& effects) {
  if (!effects.saves.empty()) {
    std::lock_guard<std::mutex> guard(diskLock);
    if (saves.empty() && oldestSave == TimePoint{}) oldestSave = Clock::now();
    for (auto& save : effects.saves) saves.push_back(std::move(save));
    diskWake.notify_one();
  }
  for (auto& [to, message] : effects.sends) sendMessage(to, std::move(message));
}

Duration NodeHost::diskWait() const {
  std::lock_guard<std::mutex> guard(diskLock);
  return oldestSave == TimePoint{} ? Duration(0) : Clock::now() - oldestSave;
}

void NodeHost::runDisk() {
  while (true) {
    std::vector<Effects::Save> batch;
    {
      std::unique_lock<std::mutex> guard(diskLock);
      diskWake.wait(guard, [this] { return stopping || !saves.empty(); });
      if (saves.empty()) return;
      batch.swap(saves);
      oldestSave = Clock::now();
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
      oldestSave = saves.empty() ? TimePoint{} : Clock::now();
    }
    with([&](Effects& effects) {
      for (auto& save : batch)
        if (save.then) save.then(effects);
    });
  }
}

}  // namespace tt
