#include "web.hpp"

#include "contract.hpp"

#include <curl/curl.h>

#include <condition_variable>
#include <restinio/all.hpp>

namespace tt {
namespace {

constexpr std::size_t hardBodyMost = 8u << 20;
constexpr int unwrittenMost = 512;

struct Traits : public restinio::default_traits_t {
  using request_handler_t = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
};
using Chunked = restinio::response_builder_t<restinio::chunked_output_t>;

class RestAnswer : public WebResponse, public std::enable_shared_from_this<RestAnswer> {
 public:
  explicit RestAnswer(restinio::request_handle_t request) : asked(std::move(request)) {}

  void finish(int status, const std::string& body, int retryAfterMs) override {
    std::lock_guard<std::mutex> guard(lock);
    if (ended || chunked) return;
    ended = true;
    auto response = asked->create_response(
        restinio::http_status_line_t(restinio::http_status_code_t(static_cast<std::uint16_t>(status)), reason(status)));
    response.append_header(restinio::http_field::content_type, "application/json");
    if (retryAfterMs > 0)
      response.append_header(restinio::http_field::retry_after, std::to_string((retryAfterMs + 999) / 1000));
    response.set_body(body + "\n");
    response.done();
  }

  bool line(const std::string& text) override {
    std::lock_guard<std::mutex> guard(lock);
    if (ended || broken || unwritten > unwrittenMost) return false;
    startStream();
    chunked->append_chunk(text + "\n");
    ++unwritten;
    std::weak_ptr<RestAnswer> weak = shared_from_this();
    chunked->flush([weak](const asio::error_code& error) {
      if (auto self = weak.lock()) {
        if (error) self->broken = true;
        --self->unwritten;
      }
    });
    return true;
  }

  void endStream(const std::string& lastLine) override {
    std::lock_guard<std::mutex> guard(lock);
    if (ended) return;
    startStream();
    ended = true;
    chunked->append_chunk(lastLine + "\n");
    chunked->done();
  }
  bool streaming() const override { return chunked.has_value(); }

 private:
  restinio::request_handle_t asked;
  std::optional<Chunked> chunked;
  std::mutex lock;
  std::atomic<int> unwritten{0};
  std::atomic<bool> broken{false};
  bool ended{false};

  void startStream() {
    if (chunked) return;
    chunked.emplace(asked->create_response<restinio::chunked_output_t>());
    chunked->append_header(restinio::http_field::content_type, "application/x-ndjson");
  }
  static const char* reason(int status) {
    switch (status) {
      case 200:
        return "OK";
      case 400:
        return "Bad Request";
      case 401:
        return "Unauthorized";
      case 403:
        return "Forbidden";
      case 404:
        return "Not Found";
      case 409:
        return "Conflict";
      case 412:
        return "Precondition Failed";
      case 413:
        return "Payload Too Large";
      case 429:
        return "Too Many Requests";
      case 503:
        return "Service Unavailable";
      case 504:
        return "Gateway Timeout";
      default:
        return status < 500 ? "Denied" : "Failed";
    }
  }
};

std::map<std::string, std::string> readQuery(std::string_view text) {
  std::map<std::string, std::string> rows;
  try {
    for (const auto& [name, value] : restinio::parse_query(text)) rows[std::string(name)] = std::string(value);
  } catch (const std::exception&) {
  }
  return rows;
}

}  // namespace

struct WebServer::Inner {
  std::string ip;
  unsigned short port{0};
  std::unique_ptr<restinio::http_server_t<Traits>> server;
};

WebServer::WebServer(asio::io_context& context, const std::string& address, WebHandler handler)
    : inner(std::make_unique<Inner>()) {
  auto read = parseAddress(address);
  if (!read) return;
  inner->ip = read.value().ip;
  inner->port = read.value().port;
  restinio::server_settings_t<Traits> settings;
  settings.address(inner->ip)
      .port(inner->port)
      .buffer_size(16 * 1024)
      .max_pipelined_requests(1)
      .read_next_http_message_timelimit(120s)
      .write_http_response_timelimit(10s)
      .handle_request_timeout(600s)
      .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t()
                                    .max_body_size(hardBodyMost)
                                    .max_url_size(4096)
                                    .max_field_value_size(8192))
      .acceptor_options_setter([](auto& options) { options.set_option(asio::socket_base::reuse_address(true)); })
      .socket_options_setter([](auto& options) { options.set_option(asio::ip::tcp::no_delay(true)); })
      .request_handler([handler](restinio::request_handle_t request) {
        WebRequest ask;
        ask.method = request->header().method().c_str();
        ask.path = std::string(request->header().path());
        ask.query = readQuery(request->header().query());
        ask.body = request->body();
        request->header().for_each_field(
            [&](const auto& field) { ask.headers.emplace_back(field.name(), field.value()); });
        std::string authorization = request->header().get_field_or(restinio::http_field::authorization, "");
        if (authorization.rfind("Bearer ", 0) == 0) ask.bearer = authorization.substr(7);
        handler(std::move(ask), std::make_shared<RestAnswer>(request));
        return restinio::request_accepted();
      });
  inner->server =
      std::make_unique<restinio::http_server_t<Traits>>(restinio::external_io_context(context), std::move(settings));
}

WebServer::~WebServer() = default;

Result<void> WebServer::open() {
  if (!inner->server) return fault(Code::badProps, "address");
  try {
    inner->server->open_sync();
  } catch (const std::exception& thrown) {
    return fault(Code::badProps, inner->ip + ":" + std::to_string(inner->port), thrown.what());
  }
  return boost::outcome_v2::success();
}

void WebServer::close() {
  try {
    if (inner->server) inner->server->close_sync();
  } catch (const std::exception&) {
  }
}

struct WebClient::Inner {
  struct Row {
    std::uint64_t id{0};
    WebCall call;
    OnDone onDone;
    OnLine onLine;
    CURL* easy{nullptr};
    curl_slist* headers{nullptr};
    std::string buffer, body;
    int retryAfterMs{0};
    bool scanned{false};
    int status{0};
  };
  CURLM* multi{nullptr};
  std::thread thread;
  std::mutex lock;
  std::vector<std::unique_ptr<Row>> fresh;
  std::vector<std::uint64_t> drops;
  std::uint64_t lastId{0};
  bool stopping{false};
  std::map<std::uint64_t, std::unique_ptr<Row>> rows;

  static std::size_t onBytes(char* start, std::size_t size, std::size_t count, void* owner) {
    auto* row = static_cast<Row*>(owner);
    if (!row->scanned) {
      long status = 0;
      curl_easy_getinfo(row->easy, CURLINFO_RESPONSE_CODE, &status);
      row->status = static_cast<int>(status);
      row->scanned = true;
    }
    std::size_t bytes = size * count;
    if (row->onLine && row->status == 200) {
      row->buffer.append(start, bytes);
      std::size_t from = 0;
      for (std::size_t end; (end = row->buffer.find('\n', from)) != std::string::npos; from = end + 1)
        row->onLine(row->buffer.substr(from, end - from));
      row->buffer.erase(0, from);
      return row->buffer.size() > hardBodyMost ? 0 : bytes;
    }
    row->body.append(start, bytes);
    return row->body.size() > 4 * hardBodyMost ? 0 : bytes;
  }
  static std::size_t onHeader(char* start, std::size_t size, std::size_t count, void* owner) {
    std::string text(start, size * count);
    for (auto& letter : text) letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    if (text.rfind("retry-after:", 0) == 0)
      static_cast<Row*>(owner)->retryAfterMs = std::atoi(text.c_str() + 12) * 1000;
    return size * count;
  }

  void begin(std::unique_ptr<Row> row) {
    row->easy = curl_easy_init();
    CURL* easy = row->easy;
    curl_easy_setopt(easy, CURLOPT_URL, row->call.url.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(toMilliseconds(row->call.connectTimeout)));
    if (row->call.totalTimeout > Duration(0))
      curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(toMilliseconds(row->call.totalTimeout)));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Inner::onBytes);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, row.get());
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Inner::onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, row.get());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, row.get());
    if (row->call.noResend) {
      curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    row->headers = curl_slist_append(row->headers, "Expect:");
    row->headers = curl_slist_append(row->headers, "Content-Type: application/json");
    if (!row->call.bearer.empty())
      row->headers = curl_slist_append(row->headers, ("Authorization: Bearer " + row->call.bearer).c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, row->headers);
    if (row->call.method != "GET") {
      curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, row->call.method.c_str());
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(row->call.body.size()));
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, row->call.body.c_str());
    }
    curl_multi_add_handle(multi, easy);
    rows[row->id] = std::move(row);
  }

  void finish(std::uint64_t id, std::optional<CURLcode> code) {
    auto found = rows.find(id);
    if (found == rows.end()) return;
    auto row = std::move(found->second);
    rows.erase(found);
    WebResult result;
    if (code) {
      long status = 0, sent = 0;
      curl_easy_getinfo(row->easy, CURLINFO_RESPONSE_CODE, &status);
      curl_easy_getinfo(row->easy, CURLINFO_REQUEST_SIZE, &sent);
      result.reached = *code == CURLE_OK;
      result.requestUnsent = *code == CURLE_COULDNT_CONNECT || (*code != CURLE_OK && sent == 0);
      result.status = static_cast<int>(status);
      result.body = std::move(row->body);
      result.retryAfterMs = row->retryAfterMs;
      if (*code != CURLE_OK) result.trouble = curl_easy_strerror(*code);
    }
    curl_multi_remove_handle(multi, row->easy);
    curl_easy_cleanup(row->easy);
    curl_slist_free_all(row->headers);
    if (code && row->onDone) row->onDone(result);
  }

  void run() {
    while (true) {
      std::vector<std::unique_ptr<Row>> starting;
      std::vector<std::uint64_t> dropping;
      {
        std::lock_guard<std::mutex> guard(lock);
        if (stopping) break;
        starting.swap(fresh);
        dropping.swap(drops);
      }
      for (auto& row : starting) begin(std::move(row));
      for (auto id : dropping) finish(id, std::nullopt);
      int active = 0;
      curl_multi_perform(multi, &active);
      int left = 0;
      while (CURLMsg* message = curl_multi_info_read(multi, &left)) {
        if (message->msg != CURLMSG_DONE) continue;
        Row* row = nullptr;
        CURLcode code = message->data.result;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &row);
        finish(row->id, code);
      }
      curl_multi_poll(multi, nullptr, 0, 100, nullptr);
    }
    std::vector<std::uint64_t> ids;
    for (const auto& [id, row] : rows) ids.push_back(id);
    for (auto id : ids) finish(id, std::nullopt);
  }
};

WebClient::WebClient() : inner(std::make_unique<Inner>()) {
  static std::once_flag once;
  std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
  inner->multi = curl_multi_init();
  curl_multi_setopt(inner->multi, CURLMOPT_MAXCONNECTS, 256L);
  inner->thread = std::thread([this] { inner->run(); });
}

WebClient::~WebClient() {
  {
    std::lock_guard<std::mutex> guard(inner->lock);
    inner->stopping = true;
  }
  curl_multi_wakeup(inner->multi);
  inner->thread.join();
  curl_multi_cleanup(inner->multi);
}

std::uint64_t WebClient::start(WebCall call, OnDone onDone, OnLine onLine) {
  auto row = std::make_unique<Inner::Row>();
  row->call = std::move(call);
  row->onDone = std::move(onDone);
  row->onLine = std::move(onLine);
  std::uint64_t id;
  {
    std::lock_guard<std::mutex> guard(inner->lock);
    id = row->id = ++inner->lastId;
    inner->fresh.push_back(std::move(row));
  }
  curl_multi_wakeup(inner->multi);
  return id;
}

void WebClient::drop(std::uint64_t callId) {
  {
    std::lock_guard<std::mutex> guard(inner->lock);
    inner->drops.push_back(callId);
  }
  curl_multi_wakeup(inner->multi);
}

WorkerEnd workerEndOfCall(const std::string& sendId, const WebResult& result) {
  WorkerEnd end{sendId, static_cast<int>(OrderOutcome::broken), static_cast<int>(Code::workerBroke), 0, 0, 0};
  if (result.requestUnsent) {
    end.outcome = static_cast<int>(OrderOutcome::brokenBeforeSend);
  } else if (result.reached && (result.status == 409 || result.status == 503 || result.status == 400)) {
    end.outcome = static_cast<int>(OrderOutcome::denied);
    auto said = readWorkerLine(sendId, result.body);
    if (auto* denied = std::get_if<WorkerEnd>(&said)) end.code = denied->code;
  }
  return end;
}

WebResult callAndWait(WebClient& calls, WebCall call) {
  std::mutex lock;
  std::condition_variable wake;
  std::optional<WebResult> got;
  calls.start(std::move(call), [&](const WebResult& result) {
    std::lock_guard<std::mutex> guard(lock);
    got = result;
    wake.notify_one();
  });
  std::unique_lock<std::mutex> guard(lock);
  wake.wait(guard, [&] { return got.has_value(); });
  return *got;
}

std::string PendingResponses::newName() {
  std::lock_guard<std::mutex> guard(lock);
  return "http/" + std::to_string(++lastNumber);
}
void PendingResponses::addAs(const std::string& name, std::shared_ptr<WebResponse> answer) {
  std::lock_guard<std::mutex> guard(lock);
  rows[name] = std::move(answer);
}
std::string PendingResponses::add(std::shared_ptr<WebResponse> answer) {
  std::string name = newName();
  addAs(name, std::move(answer));
  return name;
}
std::shared_ptr<WebResponse> PendingResponses::find(const std::string& name) {
  std::lock_guard<std::mutex> guard(lock);
  auto found = rows.find(name);
  return found == rows.end() ? nullptr : found->second;
}
std::shared_ptr<WebResponse> PendingResponses::remove(const std::string& name) {
  std::lock_guard<std::mutex> guard(lock);
  auto found = rows.find(name);
  if (found == rows.end()) return nullptr;
  auto answer = found->second;
  rows.erase(found);
  return answer;
}
std::vector<std::shared_ptr<WebResponse>> PendingResponses::removeAll() {
  std::lock_guard<std::mutex> guard(lock);
  std::vector<std::shared_ptr<WebResponse>> all;
  for (auto& [name, answer] : rows) all.push_back(std::move(answer));
  rows.clear();
  return all;
}
std::size_t PendingResponses::count() {
  std::lock_guard<std::mutex> guard(lock);
  return rows.size();
}

std::string faultBody(const Error& fault) {
  JsonObject body;
  body["code"] = jsonNumber(static_cast<int>(fault.code));
  body["name"] = Json(std::string(codeName(fault.code)));
  body["field"] = Json(fault.subject);
  body["text"] = Json(fault.text);
  return Json(body).serialize();
}

}  // namespace tt
