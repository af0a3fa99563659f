#include "http_client.hpp"

#include <curl/curl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <utility>

namespace tt {
namespace {

/// Connections that libcurl keeps open for reuse.
constexpr long maxConnections = 1024;
/// Easy handles kept for reuse.
constexpr std::size_t maxFreeHandles = 256;
/// For peers that announce no Keep-Alive timeout.
constexpr long defaultKeepAliveSeconds = 15;
/// How long the client remembers that a peer closes idle connections early.
constexpr Duration earlyCloseMemory = 30s;

std::string_view trimWhitespace(std::string_view text) {
  auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}
bool isToken(std::string_view text) {
  constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](unsigned char character) {
    return std::isalnum(character) || punctuation.find(static_cast<char>(character)) != std::string_view::npos;
  });
}
bool isFieldValue(std::string_view text) {
  return text.find_first_of(std::string_view("\r\n\0", 3)) == std::string_view::npos;
}
bool isTarget(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(),
                                      [](unsigned char character) { return character > ' ' && character != 0x7f; });
}
bool isFraming(std::string_view name) {
  return equalIgnoringCase(name, "Content-Length") || equalIgnoringCase(name, "Transfer-Encoding") ||
         equalIgnoringCase(name, "Expect");
}
/// Parses the timeout of a Keep-Alive header, in seconds.
std::optional<long> keepAliveTimeout(std::string_view value) {
  while (!value.empty()) {
    auto comma = value.find(',');
    auto part = trimWhitespace(value.substr(0, comma));
    value = comma == std::string_view::npos ? std::string_view() : value.substr(comma + 1);
    auto equals = part.find('=');
    if (equals == std::string_view::npos || !equalIgnoringCase(trimWhitespace(part.substr(0, equals)), "timeout"))
      continue;
    auto number = trimWhitespace(part.substr(equals + 1));
    if (number.empty() || number.size() > 6 || number.find_first_not_of("0123456789") != std::string_view::npos)
      return std::nullopt;
    return std::stol(std::string(number));
  }
  return std::nullopt;
}

/// Parses an HTTP/1.x status line. Returns 0 if it is malformed, out of range or 101, as protocols are never switched.
int parseStatusLine(std::string_view line) {
  constexpr std::string_view version = "HTTP/1.";
  constexpr std::size_t statusAt = version.size() + 2;
  if (line.substr(0, version.size()) != version || line.size() < statusAt + 3) return 0;
  auto digits = line.substr(statusAt, 3);
  if (line[statusAt - 1] != ' ' || digits.find_first_not_of("0123456789") != std::string_view::npos) return 0;
  if (line.size() > statusAt + 3 && line[statusAt + 3] != ' ') return 0;
  int status = (digits[0] - '0') * 100 + (digits[1] - '0') * 10 + (digits[2] - '0');
  return status >= 100 && status <= 599 && status != 101 ? status : 0;
}
/// How the end of a response body is marked. `malformed`: by contradicting headers, or in a way that parsers interpret
/// differently.
enum class BodyEnd { delimited, untilClose, malformed };
BodyEnd bodyEndOf(const HttpResponseHead& head, std::string_view method) {
  const std::string *length = nullptr, *encoding = nullptr;
  for (const auto& [name, value] : head.headers) {
    if (equalIgnoringCase(name, "Content-Length")) {
      if (length && *length != value) return BodyEnd::malformed;
      length = &value;
    } else if (equalIgnoringCase(name, "Transfer-Encoding")) {
      if (encoding || !equalIgnoringCase(value, "chunked")) return BodyEnd::malformed;
      encoding = &value;
    }
  }
  if (length && encoding) return BodyEnd::malformed;
  constexpr std::size_t maxDigits = 15;
  if (length &&
      (length->empty() || length->size() > maxDigits || length->find_first_not_of("0123456789") != std::string::npos))
    return BodyEnd::malformed;
  bool hasNoBody = method == "HEAD" || head.status == 204 || head.status == 304;
  return length || encoding || hasNoBody ? BodyEnd::delimited : BodyEnd::untilClose;
}

}  // namespace

const std::string* HttpResponseHead::find(std::string_view name) const { return findHeader(headers, name); }

struct HttpClient::Impl : std::enable_shared_from_this<Impl> {
  explicit Impl(asio::io_context& context) : io(context), timer(context) {}

  /// A socket opened for libcurl, and the events that libcurl wants to be notified of.
  struct SocketState {
    explicit SocketState(asio::io_context& context) : descriptor(context) {}
    asio::posix::stream_descriptor descriptor;
    int pollEvents{0};
    bool reading{false}, writing{false}, closed{false};
    /// Local and remote address, set once a request was sent.
    std::string endpoints;
    /// Close with a reset, so that the system sends nothing more of an abandoned request.
    bool resetOnClose{false};
    /// When a call last ended on this connection.
    TimePoint lastUsedAt{};
  };
  /// A call in progress.
  struct Transfer {
    Impl* owner{nullptr};
    std::uint64_t id{0};
    HttpClientRequest call;
    OnHead onHead;
    OnBytes onBytes;
    OnEnd onEnd;
    HttpResponseHead head;
    CURL* easy{nullptr};
    curl_slist* headers{nullptr};
    bool added{false}, headComplete{false}, sent{false}, resendRefused{false}, dropped{false}, staleConnection{false};
    bool connectionReused{false}, anyByteReceived{false}, malformed{false}, sendRefused{false};
    curl_socket_t openedSocket{CURL_SOCKET_BAD}, usedSocket{CURL_SOCKET_BAD};
    Duration idleTime{};
    /// Marks the response as malformed. Returns the value by which a libcurl callback ends the transfer.
    std::size_t rejectResponse() {
      malformed = true;
      head = {};
      return 0;
    }
    char errorText[CURL_ERROR_SIZE]{};
  };

  asio::io_context& io;
  asio::steady_timer timer;
  std::uint64_t timerGeneration{0};
  CURLM* multi{nullptr};
  std::unordered_map<std::uint64_t, std::unique_ptr<Transfer>> transfers;
  std::unordered_map<curl_socket_t, std::shared_ptr<SocketState>> socketStates;
  /// Sockets by local and remote address: libcurl does not tell which socket it is about to use for a request.
  std::unordered_map<std::string, curl_socket_t> socketOf;
  std::vector<CURL*> freeHandles;
  /// Calls started and dropped within a libcurl callback, which must not re-enter libcurl.
  std::vector<std::uint64_t> starting, dropping;
  /// Keep-Alive timeouts last announced, by peer.
  std::unordered_map<std::string, long> keepAliveSeconds;
  /// A peer that closed an idle connection early: the idle time up to which connections to it are still reused, and
  /// when this was learned.
  struct EarlyCloser {
    Duration maxIdle{};
    TimePoint learnedAt{};
  };
  std::unordered_map<std::string, EarlyCloser> earlyClosers;
  std::uint64_t lastId{0}, opened{0};
  bool insideLibrary{false}, timerSet{false};

  static int onSocket(CURL*, curl_socket_t socket, int what, void* owner, void*) {
    auto* self = static_cast<Impl*>(owner);
    auto found = self->socketStates.find(socket);
    if (found == self->socketStates.end()) return 0;
    found->second->pollEvents = what == CURL_POLL_REMOVE ? 0 : what;
    self->waitForEvents(socket, found->second);
    return 0;
  }
  static int onTimer(CURLM*, long ms, void* owner) {
    static_cast<Impl*>(owner)->setTimer(ms);
    return 0;
  }

  void setTimer(long ms) {
    auto generation = ++timerGeneration;
    timerSet = true;
    if (ms < 0) {
      timer.cancel();
      return;
    }
    auto fire = [weak = weak_from_this(), generation](const asio::error_code& error = {}) {
      auto self = weak.lock();
      if (!self || error || generation != self->timerGeneration) return;
      self->runSocketAction(CURL_SOCKET_TIMEOUT, 0);
    };
    if (ms == 0) {
      asio::post(io, fire);
      return;
    }
    timer.expires_after(std::chrono::milliseconds(ms));
    timer.async_wait(fire);
  }

  void waitForEvents(curl_socket_t socket, const std::shared_ptr<SocketState>& socketState) {
    if (socketState->closed) return;
    if ((socketState->pollEvents & CURL_POLL_IN) && !socketState->reading) {
      socketState->reading = true;
      waitForEvent(socket, socketState, &SocketState::reading, asio::posix::stream_descriptor::wait_read, CURL_POLL_IN,
                   CURL_CSELECT_IN);
    }
    if ((socketState->pollEvents & CURL_POLL_OUT) && !socketState->writing) {
      socketState->writing = true;
      waitForEvent(socket, socketState, &SocketState::writing, asio::posix::stream_descriptor::wait_write,
                   CURL_POLL_OUT, CURL_CSELECT_OUT);
    }
  }
  void waitForEvent(curl_socket_t socket, const std::shared_ptr<SocketState>& socketState, bool SocketState::*flag,
                    asio::posix::stream_descriptor::wait_type type, int poll, int select) {
    socketState->descriptor.async_wait(
        type, [weak = weak_from_this(), socket, socketState, flag, poll, select](const asio::error_code& error) {
          auto self = weak.lock();
          if (!self || socketState->closed) return;
          (*socketState).*flag = false;
          if (!(socketState->pollEvents & poll)) return;
          self->runSocketAction(socket, error ? CURL_CSELECT_ERR : select);
          self->waitForEvents(socket, socketState);
        });
  }

  static curl_socket_t onOpenSocket(void* owner, curlsocktype, curl_sockaddr* address) {
    auto* transfer = static_cast<Transfer*>(owner);
    auto* self = transfer->owner;
    if (transfer->call.once && transfer->sent) {
      transfer->resendRefused = true;
      return CURL_SOCKET_BAD;
    }
    int socket = ::socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    if (socket < 0) return CURL_SOCKET_BAD;
    auto socketState = std::make_shared<SocketState>(self->io);
    socketState->resetOnClose = transfer->call.exclusiveConnection;
    asio::error_code error;
    socketState->descriptor.assign(socket, error);
    if (error) {
      ::close(socket);
      return CURL_SOCKET_BAD;
    }
    self->socketStates[socket] = std::move(socketState);
    transfer->openedSocket = socket;
    return socket;
  }
  static int onSocketOptions(void* owner, curl_socket_t socket, curlsocktype) {
    const auto& call = static_cast<Transfer*>(owner)->call;
    int on = 1, idleSeconds = 5, intervalSeconds = 1, userTimeoutMs = 2000;
    if (call.exclusiveConnection && call.totalTimeout > Duration(0))
      userTimeoutMs = static_cast<int>(std::min<std::int64_t>(userTimeoutMs, toMilliseconds(call.totalTimeout)));
    ::setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &idleSeconds, sizeof idleSeconds);
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &intervalSeconds, sizeof intervalSeconds);
    ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMs, sizeof userTimeoutMs);
    return CURL_SOCKOPT_OK;
  }
  static int onCloseSocket(void* owner, curl_socket_t socket) {
    auto* self = static_cast<Impl*>(owner);
    auto found = self->socketStates.find(socket);
    if (found != self->socketStates.end()) {
      found->second->closed = true;
      linger resetting{1, 0};
      if (found->second->resetOnClose) ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &resetting, sizeof resetting);
      found->second->descriptor.release();
      if (auto named = self->socketOf.find(found->second->endpoints);
          named != self->socketOf.end() && named->second == socket)
        self->socketOf.erase(named);
      self->socketStates.erase(found);
    }
    return ::close(socket);
  }

  static int onBeforeRequest(void* owner, char* peerIp, char* localIp, int peerPort, int localPort) {
    auto* transfer = static_cast<Transfer*>(owner);
    auto* self = transfer->owner;
    if (transfer->dropped) return CURL_PREREQFUNC_ABORT;
    if (transfer->call.once && transfer->sent) {
      transfer->resendRefused = true;
      return CURL_PREREQFUNC_ABORT;
    }
    if (transfer->call.maySend && !transfer->call.maySend()) {
      transfer->sendRefused = true;
      return CURL_PREREQFUNC_ABORT;
    }
    std::string endpoints =
        std::string(localIp) + " " + std::to_string(localPort) + " " + peerIp + " " + std::to_string(peerPort);
    if (auto opened = std::exchange(transfer->openedSocket, CURL_SOCKET_BAD); opened != CURL_SOCKET_BAD) {
      ++self->opened;
      self->socketOf[endpoints] = opened;
      if (auto found = self->socketStates.find(opened); found != self->socketStates.end())
        found->second->endpoints = endpoints;
      transfer->connectionReused = false;
      transfer->usedSocket = opened;
    } else if (self->isStale(endpoints) || self->isLikelyClosedByPeer(*transfer, endpoints)) {
      transfer->staleConnection = true;
      return CURL_PREREQFUNC_ABORT;
    } else {
      transfer->connectionReused = true;
      transfer->usedSocket = self->socketOf.at(endpoints);
    }
    transfer->sent = true;
    return CURL_PREREQFUNC_OK;
  }
  /// Whether the peer has closed an idle connection or sent unsolicited bytes on it. libcurl 7.88 regards both as
  /// alive.
  bool isStale(const std::string& endpoints) const {
    auto found = socketOf.find(endpoints);
    if (found == socketOf.end()) return true;
    char byte;
    auto got = ::recv(found->second, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }
  /// Whether the peer recently closed a connection after an idle time not much longer than that of this one: the peer
  /// may have closed this one too, and the request would be lost.
  bool isLikelyClosedByPeer(Transfer& transfer, const std::string& endpoints) {
    TimePoint now = Clock::now();
    auto socketState = socketStates.find(socketOf.at(endpoints));
    transfer.idleTime = socketState == socketStates.end() ? Duration(0) : now - socketState->second->lastUsedAt;
    auto peer = earlyClosers.find(transfer.call.address);
    if (peer == earlyClosers.end()) return false;
    if (now - peer->second.learnedAt > earlyCloseMemory) {
      earlyClosers.erase(peer);
      return false;
    }
    return transfer.idleTime >= peer->second.maxIdle;
  }
  /// Updates what is known of the connection and its peer when a call ends.
  void recordUse(const Transfer& transfer, bool closedEarly) {
    TimePoint now = Clock::now();
    if (auto socketState = socketStates.find(transfer.usedSocket); socketState != socketStates.end())
      socketState->second->lastUsedAt = now;
    if (closedEarly) earlyClosers[transfer.call.address] = EarlyCloser{transfer.idleTime / 2, now};
  }
  static std::size_t onHeader(char* start, std::size_t size, std::size_t count, void* owner) {
    auto* transfer = static_cast<Transfer*>(owner);
    std::size_t bytes = size * count;
    if (transfer->dropped || transfer->malformed) return 0;
    transfer->anyByteReceived = true;
    if (transfer->headComplete) return bytes;
    std::string_view line(start, bytes);
    while (!line.empty() && (line.back() == '\n' || line.back() == '\r')) line.remove_suffix(1);
    if (line.empty()) {
      transfer->owner->finishHead(*transfer);
      return transfer->dropped || transfer->malformed ? 0 : bytes;
    }
    auto& headers = transfer->head.headers;
    if (transfer->head.status == 0) {
      transfer->head.status = parseStatusLine(line);
      if (transfer->head.status == 0) return transfer->rejectResponse();
    } else if ((line[0] == ' ' || line[0] == '\t') && !headers.empty()) {
      headers.back().second += " " + std::string(trimWhitespace(line));
    } else if (auto colon = line.find(':'); colon != std::string_view::npos) {
      headers.emplace_back(line.substr(0, colon), trimWhitespace(line.substr(colon + 1)));
    }
    return bytes;
  }
  void finishHead(Transfer& transfer) {
    if (transfer.head.status < 200) {
      transfer.head = {};
      return;
    }
    auto bodyEnd = bodyEndOf(transfer.head, transfer.call.method);
    if (bodyEnd == BodyEnd::malformed) {
      transfer.rejectResponse();
      return;
    }
    transfer.head.delimited = bodyEnd == BodyEnd::delimited;
    transfer.headComplete = true;
    curl_easy_setopt(transfer.easy, CURLOPT_VERBOSE, 1L);
    if (auto* announced = transfer.head.find("Keep-Alive"))
      if (auto seconds = keepAliveTimeout(*announced)) {
        keepAliveSeconds[transfer.call.address] = *seconds;
        if (*seconds <= 1) curl_easy_setopt(transfer.easy, CURLOPT_FORBID_REUSE, 1L);
      }
    if (transfer.onHead) transfer.onHead(transfer.head);
  }
  static std::size_t onBody(char* start, std::size_t size, std::size_t count, void* owner) {
    auto* transfer = static_cast<Transfer*>(owner);
    std::size_t bytes = size * count;
    if (transfer->dropped || transfer->malformed) return 0;
    if (!transfer->headComplete) return transfer->rejectResponse();
    if (transfer->onBytes) transfer->onBytes(std::string_view(start, bytes));
    return transfer->dropped ? 0 : bytes;
  }

  /// Receives libcurl's debug messages from the end of the head on. libcurl 7.88 reuses a connection on which surplus
  /// bytes followed a chunked or empty response, and mentions them only there; such a connection must not be reused.
  static int onDebugText(CURL* easy, curl_infotype kind, char* start, std::size_t size, void*) {
    if (kind != CURLINFO_TEXT) return 0;
    std::string_view text(start, size);
    for (std::string_view prefix : {"Leftovers after chunking", "Excess found"})
      if (text.substr(0, prefix.size()) == prefix) curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    return 0;
  }

  void runSocketAction(curl_socket_t socket, int events) {
    insideLibrary = true;
    timerSet = false;
    int active = 0;
    curl_multi_socket_action(multi, socket, events, &active);
    insideLibrary = false;
    processFinished();
    if (socket == CURL_SOCKET_TIMEOUT && !timerSet) {
      long ms = -1;
      curl_multi_timeout(multi, &ms);
      if (ms >= 0) setTimer(ms);
    }
  }
  /// Handles what libcurl's callbacks deferred and the transfers that have ended.
  void processFinished() {
    for (auto id : std::exchange(dropping, {})) remove(id);
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi, &left)) {
      if (message->msg != CURLMSG_DONE) continue;
      Transfer* transfer = nullptr;
      CURLcode code = message->data.result;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
      finish(transfer->id, code);
    }
    for (auto id : std::exchange(starting, {})) startTransfer(id);
  }

  /// Restarts a call that found its reused connection stale before anything was written.
  bool restartOnNewConnection(std::uint64_t id) {
    auto found = transfers.find(id);
    if (found == transfers.end()) return false;
    Transfer& transfer = *found->second;
    if (!transfer.staleConnection || transfer.sent || transfer.dropped) return false;
    transfer.staleConnection = false;
    transfer.errorText[0] = 0;
    curl_multi_remove_handle(multi, transfer.easy);
    curl_easy_setopt(transfer.easy, CURLOPT_FRESH_CONNECT, 1L);
    transfer.added = curl_multi_add_handle(multi, transfer.easy) == CURLM_OK;
    return transfer.added;
  }
  void finish(std::uint64_t id, CURLcode code) {
    if (restartOnNewConnection(id)) return;
    auto transfer = remove(id);
    if (!transfer || transfer->dropped || !transfer->onEnd) return;
    HttpCallResult end;
    end.outcome = code == CURLE_OK && transfer->headComplete ? HttpCallOutcome::complete
                  : transfer->sent                           ? HttpCallOutcome::broken
                                                             : HttpCallOutcome::unsent;
    end.head = std::move(transfer->head);
    bool connectionEnded =
        transfer->resendRefused || code == CURLE_GOT_NOTHING || code == CURLE_RECV_ERROR || code == CURLE_SEND_ERROR;
    end.lostOnIdleConnection = end.outcome == HttpCallOutcome::broken && transfer->connectionReused &&
                               !transfer->anyByteReceived && connectionEnded;
    recordUse(*transfer, end.lostOnIdleConnection);
    if (transfer->sendRefused) {
      end.errorMessage = "request not sent: its send condition no longer held";
    } else if (transfer->malformed) {
      end.errorMessage = "malformed HTTP/1 response";
    } else if (transfer->resendRefused) {
      end.errorMessage = "connection closed without a response; the request is not sent again";
    } else if (code != CURLE_OK) {
      end.errorMessage = transfer->errorText[0] ? transfer->errorText : curl_easy_strerror(code);
    } else if (!transfer->headComplete) {
      end.errorMessage = "response head truncated";
    }
    transfer->onEnd(end);
  }
  std::unique_ptr<Transfer> remove(std::uint64_t id) {
    auto found = transfers.find(id);
    if (found == transfers.end()) return nullptr;
    auto transfer = std::move(found->second);
    transfers.erase(found);
    if (transfer->easy) {
      if (transfer->added) curl_multi_remove_handle(multi, transfer->easy);
      curl_easy_reset(transfer->easy);
      if (freeHandles.size() < maxFreeHandles) {
        freeHandles.push_back(transfer->easy);
      } else {
        curl_easy_cleanup(transfer->easy);
      }
      transfer->easy = nullptr;
    }
    curl_slist_free_all(transfer->headers);
    transfer->headers = nullptr;
    return transfer;
  }

  /// Ends a call that cannot be sent, from the event loop and not from within start().
  void failBeforeSend(Transfer& transfer, std::string reason) {
    asio::post(io, [weak = weak_from_this(), id = transfer.id, reason = std::move(reason)] {
      auto self = weak.lock();
      if (!self) return;
      auto removed = self->remove(id);
      if (removed && removed->onEnd) removed->onEnd(HttpCallResult{HttpCallOutcome::unsent, {}, reason});
    });
  }

  void startTransfer(std::uint64_t id) {
    auto found = transfers.find(id);
    if (found == transfers.end()) return;
    Transfer& transfer = *found->second;
    const HttpClientRequest& call = transfer.call;
    auto address = parseAddress(call.address);
    if (!address) return failBeforeSend(transfer, "the address is not ip:port");
    if (!isToken(call.method) || !isTarget(call.target)) return failBeforeSend(transfer, "invalid method or target");
    for (const auto& [name, value] : call.headers)
      if (!isToken(name) || !isFieldValue(value)) return failBeforeSend(transfer, "invalid header field");
    if (freeHandles.empty()) {
      transfer.easy = curl_easy_init();
    } else {
      transfer.easy = freeHandles.back();
      freeHandles.pop_back();
    }
    if (!transfer.easy) return failBeforeSend(transfer, "libcurl could not create a handle");
    const std::string& ip = address.value().ip;
    bool isIpv6 = ip.find(':') != std::string::npos;
    std::string url = "http://" + (isIpv6 ? "[" + ip + "]" : ip) + ":" + std::to_string(address.value().port) + "/";
    prepare(transfer, url);
    if (curl_multi_add_handle(multi, transfer.easy) != CURLM_OK)
      return failBeforeSend(transfer, "libcurl rejected the transfer");
    transfer.added = true;
  }

  void prepare(Transfer& transfer, const std::string& url) {
    const HttpClientRequest& call = transfer.call;
    CURL* easy = transfer.easy;
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, call.target.c_str());
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_HTTP09_ALLOWED, 0L);
    curl_easy_setopt(easy, CURLOPT_HTTP_CONTENT_DECODING, 0L);
    curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, transfer.errorText);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);

    auto wholeMs = [](Duration span) { return std::max(1L, static_cast<long>(toMilliseconds(span))); };
    if (call.connectTimeout > Duration(0))
      curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, wholeMs(call.connectTimeout));
    if (call.totalTimeout > Duration(0)) curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, wholeMs(call.totalTimeout));

    if (call.exclusiveConnection) {
      curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    auto announced = keepAliveSeconds.find(call.address);
    long maxIdleSeconds = announced == keepAliveSeconds.end() ? defaultKeepAliveSeconds : announced->second - 1;
    if (maxIdleSeconds <= 0) {
      curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    } else {
      curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, maxIdleSeconds - 1);
    }

    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &Impl::onOpenSocket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &Impl::onSocketOptions);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &Impl::onCloseSocket);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &Impl::onBeforeRequest);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Impl::onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_DEBUGFUNCTION, &Impl::onDebugText);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Impl::onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);

    bool expectsBody = call.method == "POST" || call.method == "PUT" || call.method == "PATCH";
    if (!call.body.empty() || expectsBody) {
      curl_easy_setopt(easy, CURLOPT_POST, 1L);
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.c_str());
    } else if (call.method == "HEAD") {
      curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    } else {
      curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());

    auto add = [&](const std::string& line) { transfer.headers = curl_slist_append(transfer.headers, line.c_str()); };
    bool accept = false, contentType = false;
    for (const auto& [name, value] : call.headers) {
      if (isFraming(name)) continue;
      accept = accept || equalIgnoringCase(name, "Accept");
      contentType = contentType || equalIgnoringCase(name, "Content-Type");
      add(trimWhitespace(value).empty() ? name + ";" : name + ": " + value);
    }
    add("Expect:");
    if (!accept) add("Accept:");
    if (!contentType) add("Content-Type:");
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers);
  }

  void close() {
    for (auto& [id, transfer] : transfers) transfer->dropped = true;
    while (!transfers.empty()) remove(transfers.begin()->first);
    curl_multi_cleanup(multi);
    for (auto* easy : freeHandles) curl_easy_cleanup(easy);
    freeHandles.clear();
    timer.cancel();
  }
};

HttpClient::HttpClient(asio::io_context& context) : impl(std::make_shared<Impl>(context)) {
  static const CURLcode ready = curl_global_init(CURL_GLOBAL_DEFAULT);
  (void)ready;
  impl->multi = curl_multi_init();
  curl_multi_setopt(impl->multi, CURLMOPT_SOCKETFUNCTION, &Impl::onSocket);
  curl_multi_setopt(impl->multi, CURLMOPT_SOCKETDATA, impl.get());
  curl_multi_setopt(impl->multi, CURLMOPT_TIMERFUNCTION, &Impl::onTimer);
  curl_multi_setopt(impl->multi, CURLMOPT_TIMERDATA, impl.get());
  curl_multi_setopt(impl->multi, CURLMOPT_MAXCONNECTS, maxConnections);
  curl_multi_setopt(impl->multi, CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
}

HttpClient::~HttpClient() { impl->close(); }

std::uint64_t HttpClient::start(HttpClientRequest call, OnHead onHead, OnBytes onBytes, OnEnd onEnd) {
  auto transfer = std::make_unique<Impl::Transfer>();
  transfer->owner = impl.get();
  transfer->id = ++impl->lastId;
  transfer->call = std::move(call);
  transfer->onHead = std::move(onHead);
  transfer->onBytes = std::move(onBytes);
  transfer->onEnd = std::move(onEnd);
  auto id = transfer->id;
  impl->transfers[id] = std::move(transfer);
  if (impl->insideLibrary) {
    impl->starting.push_back(id);
  } else {
    impl->startTransfer(id);
  }
  return id;
}

void HttpClient::drop(std::uint64_t callId) {
  auto found = impl->transfers.find(callId);
  if (found == impl->transfers.end()) return;
  found->second->dropped = true;
  if (impl->insideLibrary) {
    impl->dropping.push_back(callId);
  } else {
    impl->remove(callId);
  }
}

std::uint64_t HttpClient::connectionsOpened() const { return impl->opened; }
std::uint64_t HttpClient::callsStarted() const { return impl->lastId; }

}  // namespace tt
