#include "calls.hpp"

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

constexpr long connectionsKept = 1024;
constexpr std::size_t easyHandlesKept = 256;
constexpr long keepAliveUntold = 15;
/// How long a peer is taken for one that forgets idle connections early.
constexpr Duration forgetfulFor = 30s;

std::string_view trimmed(std::string_view text) {
  auto from = text.find_first_not_of(" \t");
  if (from == std::string_view::npos) return {};
  return text.substr(from, text.find_last_not_of(" \t") - from + 1);
}
bool isToken(std::string_view text) {
  constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](unsigned char letter) {
    return std::isalnum(letter) || marks.find(static_cast<char>(letter)) != std::string_view::npos;
  });
}
bool isFieldValue(std::string_view text) {
  return text.find_first_of(std::string_view("\r\n\0", 3)) == std::string_view::npos;
}
bool isTarget(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](unsigned char letter) { return letter > ' ' && letter != 0x7f; });
}
bool isFraming(std::string_view name) {
  return equalIgnoringCase(name, "Content-Length") || equalIgnoringCase(name, "Transfer-Encoding") ||
         equalIgnoringCase(name, "Expect");
}
/// The seconds that a Keep-Alive header names.
std::optional<long> keepAliveTimeout(std::string_view value) {
  while (!value.empty()) {
    auto comma = value.find(',');
    auto part = trimmed(value.substr(0, comma));
    value = comma == std::string_view::npos ? std::string_view() : value.substr(comma + 1);
    auto equals = part.find('=');
    if (equals == std::string_view::npos || !equalIgnoringCase(trimmed(part.substr(0, equals)), "timeout")) continue;
    auto number = trimmed(part.substr(equals + 1));
    if (number.empty() || number.size() > 6 || number.find_first_not_of("0123456789") != std::string_view::npos)
      return std::nullopt;
    return std::stol(std::string(number));
  }
  return std::nullopt;
}

/// The status of a sound status line of HTTP/1, or 0.
int statusOfLine(std::string_view line) {
  constexpr std::string_view version = "HTTP/1.";
  constexpr std::size_t statusAt = version.size() + 2;
  if (line.substr(0, version.size()) != version || line.size() < statusAt + 3) return 0;
  auto digits = line.substr(statusAt, 3);
  if (line[statusAt - 1] != ' ' || digits.find_first_not_of("0123456789") != std::string_view::npos) return 0;
  if (line.size() > statusAt + 3 && line[statusAt + 3] != ' ') return 0;
  int status = (digits[0] - '0') * 100 + (digits[1] - '0') * 10 + (digits[2] - '0');
  return status >= 100 && status <= 599 && status != 101 ? status : 0;
}
/// Where a head says that its body ends; nothing if it says so twice, or not in a way that all readers take alike.
enum class BodyEnd { told, byClose, unsound };
BodyEnd bodyEndOf(const HttpResponseHead& head, std::string_view method) {
  const std::string *length = nullptr, *coding = nullptr;
  for (const auto& [name, value] : head.headers) {
    if (equalIgnoringCase(name, "Content-Length")) {
      if (length && *length != value) return BodyEnd::unsound;
      length = &value;
    } else if (equalIgnoringCase(name, "Transfer-Encoding")) {
      if (coding || !equalIgnoringCase(value, "chunked")) return BodyEnd::unsound;
      coding = &value;
    }
  }
  if (length && coding) return BodyEnd::unsound;
  constexpr std::size_t mostDigits = 15;
  if (length &&
      (length->empty() || length->size() > mostDigits || length->find_first_not_of("0123456789") != std::string::npos))
    return BodyEnd::unsound;
  bool bare = method == "HEAD" || head.status == 204 || head.status == 304;
  return length || coding || bare ? BodyEnd::told : BodyEnd::byClose;
}

}  // namespace

const std::string* HttpResponseHead::find(std::string_view name) const { return findHeader(headers, name); }

struct HttpClient::Inner : std::enable_shared_from_this<Inner> {
  explicit Inner(asio::io_context& context) : io(context), timer(context) {}

  struct Watch {
    explicit Watch(asio::io_context& context) : descriptor(context) {}
    asio::posix::stream_descriptor descriptor;
    int wanted{0};
    bool reading{false}, writing{false}, closed{false};
    /// Both ends' addresses, once a request has gone out.
    std::string ends;
    /// Closing resets, so that the system sends nothing of what was given up.
    bool resets{false};
    /// When it last carried something of a call.
    TimePoint usedAt{};
  };
  struct Row {
    Inner* owner{nullptr};
    std::uint64_t id{0};
    HttpClientRequest call;
    OnHead onHead;
    OnBytes onBytes;
    OnEnd onEnd;
    HttpResponseHead head;
    CURL* easy{nullptr};
    curl_slist* headers{nullptr};
    bool added{false}, headWhole{false}, sent{false}, resendRefused{false}, dropped{false}, foundStale{false};
    bool keptConnection{false}, heard{false}, unsound{false}, leaveRefused{false};
    curl_socket_t newSocket{CURL_SOCKET_BAD}, usedSocket{CURL_SOCKET_BAD};
    Duration idle{};
    /// Takes no more of an answer that nobody could be sure to read right; what a callback says to end the transfer.
    std::size_t refuseAnswer() {
      unsound = true;
      head = {};
      return 0;
    }
    char errorText[CURL_ERROR_SIZE]{};
  };

  asio::io_context& io;
  asio::steady_timer timer;
  std::uint64_t timerTurn{0};
  CURLM* multi{nullptr};
  std::unordered_map<std::uint64_t, std::unique_ptr<Row>> rows;
  std::unordered_map<curl_socket_t, std::shared_ptr<Watch>> watches;
  /// The sockets of connections by both ends' addresses, as the library does not name the socket it is about to use.
  std::unordered_map<std::string, curl_socket_t> socketOf;
  std::vector<CURL*> freeHandles;
  std::vector<std::uint64_t> starting, dropping;
  std::unordered_map<std::string, long> keepAlive;
  /// Peers that forgot a kept connection: how long one may be idle there to be used again, and since when that is
  /// known.
  struct Forgetful {
    Duration idleMost{};
    TimePoint since{};
  };
  std::unordered_map<std::string, Forgetful> forgetful;
  std::uint64_t lastId{0}, opened{0};
  bool insideLibrary{false}, timerSet{false};

  static int onSocket(CURL*, curl_socket_t socket, int what, void* owner, void*) {
    auto* self = static_cast<Inner*>(owner);
    auto found = self->watches.find(socket);
    if (found == self->watches.end()) return 0;
    found->second->wanted = what == CURL_POLL_REMOVE ? 0 : what;
    self->arm(socket, found->second);
    return 0;
  }
  static int onTimer(CURLM*, long ms, void* owner) {
    static_cast<Inner*>(owner)->setTimer(ms);
    return 0;
  }

  void setTimer(long ms) {
    auto turn = ++timerTurn;
    timerSet = true;
    if (ms < 0) {
      timer.cancel();
      return;
    }
    auto fire = [weak = weak_from_this(), turn](const asio::error_code& error = {}) {
      auto self = weak.lock();
      if (!self || error || turn != self->timerTurn) return;
      self->act(CURL_SOCKET_TIMEOUT, 0);
    };
    if (ms == 0) {
      asio::post(io, fire);
      return;
    }
    timer.expires_after(std::chrono::milliseconds(ms));
    timer.async_wait(fire);
  }

  void arm(curl_socket_t socket, const std::shared_ptr<Watch>& watch) {
    if (watch->closed) return;
    if ((watch->wanted & CURL_POLL_IN) && !watch->reading) {
      watch->reading = true;
      wait(socket, watch, &Watch::reading, asio::posix::stream_descriptor::wait_read, CURL_POLL_IN, CURL_CSELECT_IN);
    }
    if ((watch->wanted & CURL_POLL_OUT) && !watch->writing) {
      watch->writing = true;
      wait(socket, watch, &Watch::writing, asio::posix::stream_descriptor::wait_write, CURL_POLL_OUT, CURL_CSELECT_OUT);
    }
  }
  void wait(curl_socket_t socket, const std::shared_ptr<Watch>& watch, bool Watch::*flag,
            asio::posix::stream_descriptor::wait_type type, int poll, int select) {
    watch->descriptor.async_wait(
        type, [weak = weak_from_this(), socket, watch, flag, poll, select](const asio::error_code& error) {
          auto self = weak.lock();
          if (!self || watch->closed) return;
          (*watch).*flag = false;
          if (!(watch->wanted & poll)) return;
          self->act(socket, error ? CURL_CSELECT_ERR : select);
          self->arm(socket, watch);
        });
  }

  static curl_socket_t onOpen(void* owner, curlsocktype, curl_sockaddr* address) {
    auto* row = static_cast<Row*>(owner);
    auto* self = row->owner;
    if (row->call.once && row->sent) {
      row->resendRefused = true;
      return CURL_SOCKET_BAD;
    }
    int socket = ::socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    if (socket < 0) return CURL_SOCKET_BAD;
    auto watch = std::make_shared<Watch>(self->io);
    watch->resets = row->call.exclusiveConnection;
    asio::error_code error;
    watch->descriptor.assign(socket, error);
    if (error) {
      ::close(socket);
      return CURL_SOCKET_BAD;
    }
    self->watches[socket] = std::move(watch);
    row->newSocket = socket;
    return socket;
  }
  static int onTune(void* owner, curl_socket_t socket, curlsocktype) {
    const auto& call = static_cast<Row*>(owner)->call;
    int on = 1, idle = 5, every = 1, unanswered = 2000;
    if (call.exclusiveConnection && call.totalTimeout > Duration(0))
      unanswered = static_cast<int>(std::min<std::int64_t>(unanswered, toMilliseconds(call.totalTimeout)));
    ::setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle);
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &every, sizeof every);
    ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &unanswered, sizeof unanswered);
    return CURL_SOCKOPT_OK;
  }
  static int onClose(void* owner, curl_socket_t socket) {
    auto* self = static_cast<Inner*>(owner);
    auto found = self->watches.find(socket);
    if (found != self->watches.end()) {
      found->second->closed = true;
      linger resetting{1, 0};
      if (found->second->resets) ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &resetting, sizeof resetting);
      found->second->descriptor.release();
      if (auto named = self->socketOf.find(found->second->ends);
          named != self->socketOf.end() && named->second == socket)
        self->socketOf.erase(named);
      self->watches.erase(found);
    }
    return ::close(socket);
  }

  static int onRequest(void* owner, char* peerIp, char* localIp, int peerPort, int localPort) {
    auto* row = static_cast<Row*>(owner);
    auto* self = row->owner;
    if (row->dropped) return CURL_PREREQFUNC_ABORT;
    if (row->call.once && row->sent) {
      row->resendRefused = true;
      return CURL_PREREQFUNC_ABORT;
    }
    if (row->call.maySend && !row->call.maySend()) {
      row->leaveRefused = true;
      return CURL_PREREQFUNC_ABORT;
    }
    std::string ends =
        std::string(localIp) + " " + std::to_string(localPort) + " " + peerIp + " " + std::to_string(peerPort);
    if (auto fresh = std::exchange(row->newSocket, CURL_SOCKET_BAD); fresh != CURL_SOCKET_BAD) {
      ++self->opened;
      self->socketOf[ends] = fresh;
      if (auto found = self->watches.find(fresh); found != self->watches.end()) found->second->ends = ends;
      row->keptConnection = false;
      row->usedSocket = fresh;
    } else if (self->isStale(ends) || self->mayBeForgotten(*row, ends)) {
      row->foundStale = true;
      return CURL_PREREQFUNC_ABORT;
    } else {
      row->keptConnection = true;
      row->usedSocket = self->socketOf.at(ends);
    }
    row->sent = true;
    return CURL_PREREQFUNC_OK;
  }
  /// Whether the peer has closed a kept connection or said something on it unasked; libcurl 7.88 takes both for alive.
  bool isStale(const std::string& ends) const {
    auto found = socketOf.find(ends);
    if (found == socketOf.end()) return true;
    char byte;
    auto got = ::recv(found->second, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }
  /// Whether the peer lately forgot a connection that had been idle for not much longer than this one.
  bool mayBeForgotten(Row& row, const std::string& ends) {
    TimePoint now = Clock::now();
    auto watch = watches.find(socketOf.at(ends));
    row.idle = watch == watches.end() ? Duration(0) : now - watch->second->usedAt;
    auto peer = forgetful.find(row.call.address);
    if (peer == forgetful.end()) return false;
    if (now - peer->second.since > forgetfulFor) {
      forgetful.erase(peer);
      return false;
    }
    return row.idle >= peer->second.idleMost;
  }
  void noteUse(const Row& row, bool forgotten) {
    TimePoint now = Clock::now();
    if (auto watch = watches.find(row.usedSocket); watch != watches.end()) watch->second->usedAt = now;
    if (forgotten) forgetful[row.call.address] = Forgetful{row.idle / 2, now};
  }
  static std::size_t onHeader(char* start, std::size_t size, std::size_t count, void* owner) {
    auto* row = static_cast<Row*>(owner);
    std::size_t bytes = size * count;
    if (row->dropped || row->unsound) return 0;
    row->heard = true;
    if (row->headWhole) return bytes;
    std::string_view line(start, bytes);
    while (!line.empty() && (line.back() == '\n' || line.back() == '\r')) line.remove_suffix(1);
    if (line.empty()) {
      row->owner->finishHead(*row);
      return row->dropped || row->unsound ? 0 : bytes;
    }
    auto& headers = row->head.headers;
    if (row->head.status == 0) {
      row->head.status = statusOfLine(line);
      if (row->head.status == 0) return row->refuseAnswer();
    } else if ((line[0] == ' ' || line[0] == '\t') && !headers.empty()) {
      headers.back().second += " " + std::string(trimmed(line));
    } else if (auto colon = line.find(':'); colon != std::string_view::npos) {
      headers.emplace_back(line.substr(0, colon), trimmed(line.substr(colon + 1)));
    }
    return bytes;
  }
  void finishHead(Row& row) {
    if (row.head.status < 200) {
      row.head = {};
      return;
    }
    auto bodyEnd = bodyEndOf(row.head, row.call.method);
    if (bodyEnd == BodyEnd::unsound) {
      row.refuseAnswer();
      return;
    }
    row.head.delimited = bodyEnd == BodyEnd::told;
    row.headWhole = true;
    curl_easy_setopt(row.easy, CURLOPT_VERBOSE, 1L);
    if (auto* told = row.head.find("Keep-Alive"))
      if (auto seconds = keepAliveTimeout(*told)) {
        keepAlive[row.call.address] = *seconds;
        if (*seconds <= 1) curl_easy_setopt(row.easy, CURLOPT_FORBID_REUSE, 1L);
      }
    if (row.onHead) row.onHead(row.head);
  }
  static std::size_t onBody(char* start, std::size_t size, std::size_t count, void* owner) {
    auto* row = static_cast<Row*>(owner);
    std::size_t bytes = size * count;
    if (row->dropped || row->unsound) return 0;
    if (!row->headWhole) return row->refuseAnswer();
    if (row->onBytes) row->onBytes(std::string_view(start, bytes));
    return row->dropped ? 0 : bytes;
  }

  /// Hears, from the head's end on, what the library notes of a transfer: libcurl 7.88 keeps a connection on which more
  /// came after a chunked or an empty answer, and says so only here.
  static int onNote(CURL* easy, curl_infotype kind, char* start, std::size_t size, void*) {
    if (kind != CURLINFO_TEXT) return 0;
    std::string_view note(start, size);
    for (std::string_view surplus : {"Leftovers after chunking", "Excess found"})
      if (note.substr(0, surplus.size()) == surplus) curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    return 0;
  }

  void act(curl_socket_t socket, int events) {
    insideLibrary = true;
    timerSet = false;
    int active = 0;
    curl_multi_socket_action(multi, socket, events, &active);
    insideLibrary = false;
    settle();
    if (socket == CURL_SOCKET_TIMEOUT && !timerSet) {
      long ms = -1;
      curl_multi_timeout(multi, &ms);
      if (ms >= 0) setTimer(ms);
    }
  }
  void settle() {
    for (auto id : std::exchange(dropping, {})) remove(id);
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi, &left)) {
      if (message->msg != CURLMSG_DONE) continue;
      Row* row = nullptr;
      CURLcode code = message->data.result;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &row);
      finish(row->id, code);
    }
    for (auto id : std::exchange(starting, {})) begin(id);
  }

  /// Nothing has been written yet, so the call can go over a new connection.
  bool beginAfresh(std::uint64_t id) {
    auto found = rows.find(id);
    if (found == rows.end()) return false;
    Row& row = *found->second;
    if (!row.foundStale || row.sent || row.dropped) return false;
    row.foundStale = false;
    row.errorText[0] = 0;
    curl_multi_remove_handle(multi, row.easy);
    curl_easy_setopt(row.easy, CURLOPT_FRESH_CONNECT, 1L);
    row.added = curl_multi_add_handle(multi, row.easy) == CURLM_OK;
    return row.added;
  }
  void finish(std::uint64_t id, CURLcode code) {
    if (beginAfresh(id)) return;
    auto row = remove(id);
    if (!row || row->dropped || !row->onEnd) return;
    HttpCallResult end;
    end.outcome = code == CURLE_OK && row->headWhole ? HttpCallOutcome::whole
                  : row->sent                        ? HttpCallOutcome::broken
                                                     : HttpCallOutcome::unsent;
    end.head = std::move(row->head);
    bool ended =
        row->resendRefused || code == CURLE_GOT_NOTHING || code == CURLE_RECV_ERROR || code == CURLE_SEND_ERROR;
    end.forgotten = end.outcome == HttpCallOutcome::broken && row->keptConnection && !row->heard && ended;
    noteUse(*row, end.forgotten);
    if (row->leaveRefused) {
      end.trouble = "the call could not leave in time";
    } else if (row->unsound) {
      end.trouble = "the answer is not sound HTTP/1";
    } else if (row->resendRefused) {
      end.trouble = "the connection ended without an answer, and the call is not sent again";
    } else if (code != CURLE_OK) {
      end.trouble = row->errorText[0] ? row->errorText : curl_easy_strerror(code);
    } else if (!row->headWhole) {
      end.trouble = "the head of the answer was cut";
    }
    row->onEnd(end);
  }
  std::unique_ptr<Row> remove(std::uint64_t id) {
    auto found = rows.find(id);
    if (found == rows.end()) return nullptr;
    auto row = std::move(found->second);
    rows.erase(found);
    if (row->easy) {
      if (row->added) curl_multi_remove_handle(multi, row->easy);
      curl_easy_reset(row->easy);
      if (freeHandles.size() < easyHandlesKept) {
        freeHandles.push_back(row->easy);
      } else {
        curl_easy_cleanup(row->easy);
      }
      row->easy = nullptr;
    }
    curl_slist_free_all(row->headers);
    row->headers = nullptr;
    return row;
  }

  void refuse(Row& row, std::string why) {
    asio::post(io, [weak = weak_from_this(), id = row.id, why = std::move(why)] {
      auto self = weak.lock();
      if (!self) return;
      auto refused = self->remove(id);
      if (refused && refused->onEnd) refused->onEnd(HttpCallResult{HttpCallOutcome::unsent, {}, why});
    });
  }

  void begin(std::uint64_t id) {
    auto found = rows.find(id);
    if (found == rows.end()) return;
    Row& row = *found->second;
    const HttpClientRequest& call = row.call;
    auto address = parseAddress(call.address);
    if (!address) return refuse(row, "the address is not ip:port");
    if (!isToken(call.method) || !isTarget(call.target)) return refuse(row, "the method or target is not valid");
    for (const auto& [name, value] : call.headers)
      if (!isToken(name) || !isFieldValue(value)) return refuse(row, "a header is not valid");
    if (freeHandles.empty()) {
      row.easy = curl_easy_init();
    } else {
      row.easy = freeHandles.back();
      freeHandles.pop_back();
    }
    if (!row.easy) return refuse(row, "no handle for the call");
    const std::string& ip = address.value().ip;
    bool wide = ip.find(':') != std::string::npos;
    std::string url = "http://" + (wide ? "[" + ip + "]" : ip) + ":" + std::to_string(address.value().port) + "/";
    prepare(row, url);
    if (curl_multi_add_handle(multi, row.easy) != CURLM_OK) return refuse(row, "the library did not take the call");
    row.added = true;
  }

  void prepare(Row& row, const std::string& url) {
    const HttpClientRequest& call = row.call;
    CURL* easy = row.easy;
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
    curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, row.errorText);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &row);

    auto wholeMs = [](Duration span) { return std::max(1L, static_cast<long>(toMilliseconds(span))); };
    if (call.connectTimeout > Duration(0))
      curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, wholeMs(call.connectTimeout));
    if (call.totalTimeout > Duration(0)) curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, wholeMs(call.totalTimeout));

    if (call.exclusiveConnection) {
      curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    auto told = keepAlive.find(call.address);
    long keep = told == keepAlive.end() ? keepAliveUntold : told->second - 1;
    if (keep <= 0) {
      curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    } else {
      curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, keep - 1);
    }

    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &Inner::onOpen);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, &row);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &Inner::onTune);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, &row);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &Inner::onClose);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &Inner::onRequest);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &row);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Inner::onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &row);
    curl_easy_setopt(easy, CURLOPT_DEBUGFUNCTION, &Inner::onNote);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Inner::onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &row);

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

    auto add = [&](const std::string& line) { row.headers = curl_slist_append(row.headers, line.c_str()); };
    bool accept = false, contentType = false;
    for (const auto& [name, value] : call.headers) {
      if (isFraming(name)) continue;
      accept = accept || equalIgnoringCase(name, "Accept");
      contentType = contentType || equalIgnoringCase(name, "Content-Type");
      add(trimmed(value).empty() ? name + ";" : name + ": " + value);
    }
    add("Expect:");
    if (!accept) add("Accept:");
    if (!contentType) add("Content-Type:");
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, row.headers);
  }

  void close() {
    for (auto& [id, row] : rows) row->dropped = true;
    while (!rows.empty()) remove(rows.begin()->first);
    curl_multi_cleanup(multi);
    for (auto* easy : freeHandles) curl_easy_cleanup(easy);
    freeHandles.clear();
    timer.cancel();
  }
};

HttpClient::HttpClient(asio::io_context& context) : inner(std::make_shared<Inner>(context)) {
  static const CURLcode ready = curl_global_init(CURL_GLOBAL_DEFAULT);
  (void)ready;
  inner->multi = curl_multi_init();
  curl_multi_setopt(inner->multi, CURLMOPT_SOCKETFUNCTION, &Inner::onSocket);
  curl_multi_setopt(inner->multi, CURLMOPT_SOCKETDATA, inner.get());
  curl_multi_setopt(inner->multi, CURLMOPT_TIMERFUNCTION, &Inner::onTimer);
  curl_multi_setopt(inner->multi, CURLMOPT_TIMERDATA, inner.get());
  curl_multi_setopt(inner->multi, CURLMOPT_MAXCONNECTS, connectionsKept);
  curl_multi_setopt(inner->multi, CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
}

HttpClient::~HttpClient() { inner->close(); }

std::uint64_t HttpClient::start(HttpClientRequest call, OnHead onHead, OnBytes onBytes, OnEnd onEnd) {
  auto row = std::make_unique<Inner::Row>();
  row->owner = inner.get();
  row->id = ++inner->lastId;
  row->call = std::move(call);
  row->onHead = std::move(onHead);
  row->onBytes = std::move(onBytes);
  row->onEnd = std::move(onEnd);
  auto id = row->id;
  inner->rows[id] = std::move(row);
  if (inner->insideLibrary) {
    inner->starting.push_back(id);
  } else {
    inner->begin(id);
  }
  return id;
}

void HttpClient::drop(std::uint64_t callId) {
  auto found = inner->rows.find(callId);
  if (found == inner->rows.end()) return;
  found->second->dropped = true;
  if (inner->insideLibrary) {
    inner->dropping.push_back(callId);
  } else {
    inner->remove(callId);
  }
}

std::uint64_t HttpClient::connectionsOpened() const { return inner->opened; }
std::uint64_t HttpClient::callsStarted() const { return inner->lastId; }

}  // namespace tt
