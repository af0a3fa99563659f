#include "web.hpp"

#include "json_bodies.hpp"

#include <curl/curl.h>

#include <condition_variable>
#include <restinio/all.hpp>

namespace tt {
namespace {

/// Limit of a request body and of a line of a streamed response; a response read in one piece may have four times this.
constexpr std::size_t maxBodyBytes = 8u << 20;
/// A streamed response fails when more lines than this wait for a slow client.
constexpr int maxUnwrittenChunks = 512;

struct Traits : public restinio::default_traits_t {
  using request_handler_t = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
};
using Chunked = restinio::response_builder_t<restinio::chunked_output_t>;

/// WebResponse on a RESTinio request.
class RestinioResponse : public WebResponse, public std::enable_shared_from_this<RestinioResponse> {
 public:
  explicit RestinioResponse(restinio::request_handle_t handle) : request(std::move(handle)) {}

  void finish(int status, const std::string& body, int retryAfterMs) override {
    std::lock_guard<std::mutex> guard(lock);
    if (ended || chunkedResponse) return;
    ended = true;
    auto response = request->create_response(restinio::http_status_line_t(
        restinio::http_status_code_t(static_cast<std::uint16_t>(status)), reasonPhrase(status)));
    response.append_header(restinio::http_field::content_type, "application/json");
    if (retryAfterMs > 0)
      response.append_header(restinio::http_field::retry_after, std::to_string((retryAfterMs + 999) / 1000));
    response.set_body(body + "\n");
    response.done();
  }

  bool line(const std::string& text) override {
    std::lock_guard<std::mutex> guard(lock);
    if (ended || writeFailed || unwrittenChunks > maxUnwrittenChunks) return false;
    startStream();
    chunkedResponse->append_chunk(text + "\n");
    ++unwrittenChunks;
    std::weak_ptr<RestinioResponse> weak = shared_from_this();
    chunkedResponse->flush([weak](const asio::error_code& error) {
      if (auto self = weak.lock()) {
        if (error) self->writeFailed = true;
        --self->unwrittenChunks;
      }
    });
    return true;
  }

  void endStream(const std::string& lastLine) override {
    std::lock_guard<std::mutex> guard(lock);
    if (ended) return;
    startStream();
    ended = true;
    chunkedResponse->append_chunk(lastLine + "\n");
    chunkedResponse->done();
  }
  bool streaming() const override { return chunkedResponse.has_value(); }

 private:
  restinio::request_handle_t request;
  std::optional<Chunked> chunkedResponse;
  std::mutex lock;
  std::atomic<int> unwrittenChunks{0};
  std::atomic<bool> writeFailed{false};
  bool ended{false};

  void startStream() {
    if (chunkedResponse) return;
    chunkedResponse.emplace(request->create_response<restinio::chunked_output_t>());
    chunkedResponse->append_header(restinio::http_field::content_type, "application/x-ndjson");
  }
  static const char* reasonPhrase(int status) {
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
  std::map<std::string, std::string> parameters;
  try {
    for (const auto& [name, value] : restinio::parse_query(text)) parameters[std::string(name)] = std::string(value);
  } catch (const std::exception&) {
  }
  return parameters;
}

}  // namespace

struct WebServer::Impl {
  std::string ip;
  unsigned short port{0};
  std::unique_ptr<restinio::http_server_t<Traits>> server;
};

WebServer::WebServer(asio::io_context& context, const std::string& address, WebHandler handler)
    : impl(std::make_unique<Impl>()) {
  auto parsed = parseAddress(address);
  if (!parsed) return;
  impl->ip = parsed.value().ip;
  impl->port = parsed.value().port;
  restinio::server_settings_t<Traits> settings;
  settings.address(impl->ip)
      .port(impl->port)
      .buffer_size(16 * 1024)
      .max_pipelined_requests(1)
      .read_next_http_message_timelimit(120s)
      .write_http_response_timelimit(10s)
      .handle_request_timeout(600s)
      .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t()
                                    .max_body_size(maxBodyBytes)
                                    .max_url_size(4096)
                                    .max_field_value_size(8192))
      .acceptor_options_setter([](auto& options) { options.set_option(asio::socket_base::reuse_address(true)); })
      .socket_options_setter([](auto& options) { options.set_option(asio::ip::tcp::no_delay(true)); })
      .request_handler([handler](restinio::request_handle_t request) {
        WebRequest webRequest;
        webRequest.method = request->header().method().c_str();
        webRequest.path = std::string(request->header().path());
        webRequest.query = readQuery(request->header().query());
        webRequest.body = request->body();
        request->header().for_each_field(
            [&](const auto& field) { webRequest.headers.emplace_back(field.name(), field.value()); });
        std::string authorization = request->header().get_field_or(restinio::http_field::authorization, "");
        if (authorization.rfind("Bearer ", 0) == 0) webRequest.bearer = authorization.substr(7);
        handler(std::move(webRequest), std::make_shared<RestinioResponse>(request));
        return restinio::request_accepted();
      });
  impl->server =
      std::make_unique<restinio::http_server_t<Traits>>(restinio::external_io_context(context), std::move(settings));
}

WebServer::~WebServer() = default;

Result<void> WebServer::open() {
  if (!impl->server) return makeError(Code::badProps, "address");
  try {
    impl->server->open_sync();
  } catch (const std::exception& exception) {
    return makeError(Code::badProps, impl->ip + ":" + std::to_string(impl->port), exception.what());
  }
  return boost::outcome_v2::success();
}

void WebServer::close() {
  try {
    if (impl->server) impl->server->close_sync();
  } catch (const std::exception&) {
  }
}

struct WebClient::Impl {
  struct Transfer {
    std::uint64_t id{0};
    WebCall call;
    OnDone onDone;
    OnLine onLine;
    CURL* easy{nullptr};
    curl_slist* headers{nullptr};
    std::string buffer, body;
    int retryAfterMs{0};
    bool statusRead{false};
    int status{0};
  };
  CURLM* multi{nullptr};
  std::thread thread;
  std::mutex lock;
  std::vector<std::unique_ptr<Transfer>> toStart;
  std::vector<std::uint64_t> toDrop;
  std::uint64_t lastId{0};
  bool stopping{false};
  std::map<std::uint64_t, std::unique_ptr<Transfer>> transfers;

  static std::size_t onBytes(char* start, std::size_t size, std::size_t count, void* owner) {
    auto* transfer = static_cast<Transfer*>(owner);
    if (!transfer->statusRead) {
      long status = 0;
      curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
      transfer->status = static_cast<int>(status);
      transfer->statusRead = true;
    }
    std::size_t bytes = size * count;
    if (transfer->onLine && transfer->status == 200) {
      transfer->buffer.append(start, bytes);
      std::size_t from = 0;
      for (std::size_t end; (end = transfer->buffer.find('\n', from)) != std::string::npos; from = end + 1)
        transfer->onLine(transfer->buffer.substr(from, end - from));
      transfer->buffer.erase(0, from);
      return transfer->buffer.size() > maxBodyBytes ? 0 : bytes;
    }
    transfer->body.append(start, bytes);
    return transfer->body.size() > 4 * maxBodyBytes ? 0 : bytes;
  }
  static std::size_t onHeader(char* start, std::size_t size, std::size_t count, void* owner) {
    std::string text(start, size * count);
    for (auto& character : text) character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
    if (text.rfind("retry-after:", 0) == 0)
      static_cast<Transfer*>(owner)->retryAfterMs = std::atoi(text.c_str() + 12) * 1000;
    return size * count;
  }

  void begin(std::unique_ptr<Transfer> transfer) {
    transfer->easy = curl_easy_init();
    CURL* easy = transfer->easy;
    curl_easy_setopt(easy, CURLOPT_URL, transfer->call.url.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(toMilliseconds(transfer->call.connectTimeout)));
    if (transfer->call.totalTimeout > Duration(0))
      curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(toMilliseconds(transfer->call.totalTimeout)));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Impl::onBytes);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Impl::onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer.get());
    if (transfer->call.noResend) {
      curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    transfer->headers = curl_slist_append(transfer->headers, "Expect:");
    transfer->headers = curl_slist_append(transfer->headers, "Content-Type: application/json");
    if (!transfer->call.bearer.empty())
      transfer->headers =
          curl_slist_append(transfer->headers, ("Authorization: Bearer " + transfer->call.bearer).c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
    if (transfer->call.method != "GET") {
      curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, transfer->call.method.c_str());
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(transfer->call.body.size()));
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, transfer->call.body.c_str());
    }
    curl_multi_add_handle(multi, easy);
    transfers[transfer->id] = std::move(transfer);
  }

  void finish(std::uint64_t id, std::optional<CURLcode> code) {
    auto found = transfers.find(id);
    if (found == transfers.end()) return;
    auto transfer = std::move(found->second);
    transfers.erase(found);
    WebResult result;
    if (code) {
      long status = 0, sent = 0;
      curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
      curl_easy_getinfo(transfer->easy, CURLINFO_REQUEST_SIZE, &sent);
      result.reached = *code == CURLE_OK;
      result.requestUnsent = *code == CURLE_COULDNT_CONNECT || (*code != CURLE_OK && sent == 0);
      result.status = static_cast<int>(status);
      result.body = std::move(transfer->body);
      result.retryAfterMs = transfer->retryAfterMs;
      if (*code != CURLE_OK) result.errorMessage = curl_easy_strerror(*code);
    }
    curl_multi_remove_handle(multi, transfer->easy);
    curl_easy_cleanup(transfer->easy);
    curl_slist_free_all(transfer->headers);
    if (code && transfer->onDone) transfer->onDone(result);
  }

  void run() {
    while (true) {
      std::vector<std::unique_ptr<Transfer>> starting;
      std::vector<std::uint64_t> dropping;
      {
        std::lock_guard<std::mutex> guard(lock);
        if (stopping) break;
        starting.swap(toStart);
        dropping.swap(toDrop);
      }
      for (auto& transfer : starting) begin(std::move(transfer));
      for (auto id : dropping) finish(id, std::nullopt);
      int active = 0;
      curl_multi_perform(multi, &active);
      int left = 0;
      while (CURLMsg* message = curl_multi_info_read(multi, &left)) {
        if (message->msg != CURLMSG_DONE) continue;
        Transfer* transfer = nullptr;
        CURLcode code = message->data.result;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
        finish(transfer->id, code);
      }
      curl_multi_poll(multi, nullptr, 0, 100, nullptr);
    }
    std::vector<std::uint64_t> ids;
    for (const auto& [id, transfer] : transfers) ids.push_back(id);
    for (auto id : ids) finish(id, std::nullopt);
  }
};

WebClient::WebClient() : impl(std::make_unique<Impl>()) {
  static std::once_flag once;
  std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
  impl->multi = curl_multi_init();
  curl_multi_setopt(impl->multi, CURLMOPT_MAXCONNECTS, 256L);
  impl->thread = std::thread([this] { impl->run(); });
}

WebClient::~WebClient() {
  {
    std::lock_guard<std::mutex> guard(impl->lock);
    impl->stopping = true;
  }
  curl_multi_wakeup(impl->multi);
  impl->thread.join();
  curl_multi_cleanup(impl->multi);
}

std::uint64_t WebClient::start(WebCall call, OnDone onDone, OnLine onLine) {
  auto transfer = std::make_unique<Impl::Transfer>();
  transfer->call = std::move(call);
  transfer->onDone = std::move(onDone);
  transfer->onLine = std::move(onLine);
  std::uint64_t id;
  {
    std::lock_guard<std::mutex> guard(impl->lock);
    id = transfer->id = ++impl->lastId;
    impl->toStart.push_back(std::move(transfer));
  }
  curl_multi_wakeup(impl->multi);
  return id;
}

void WebClient::drop(std::uint64_t callId) {
  {
    std::lock_guard<std::mutex> guard(impl->lock);
    impl->toDrop.push_back(callId);
  }
  curl_multi_wakeup(impl->multi);
}

WorkerEnd workerEndOfCall(const std::string& sendId, const WebResult& result) {
  WorkerEnd end{sendId, static_cast<int>(AttemptOutcome::broken), static_cast<int>(Code::workerBroke), 0, 0, 0};
  if (result.requestUnsent) {
    end.outcome = static_cast<int>(AttemptOutcome::brokenBeforeSend);
  } else if (result.reached && (result.status == 409 || result.status == 503 || result.status == 400)) {
    end.outcome = static_cast<int>(AttemptOutcome::denied);
    auto parsed = readWorkerLine(sendId, result.body);
    if (auto* denied = std::get_if<WorkerEnd>(&parsed)) end.code = denied->code;
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

std::string PendingResponses::newRequestId() {
  std::lock_guard<std::mutex> guard(lock);
  return "http/" + std::to_string(++lastNumber);
}
void PendingResponses::addWithId(const std::string& name, std::shared_ptr<WebResponse> response) {
  std::lock_guard<std::mutex> guard(lock);
  responses[name] = std::move(response);
}
std::string PendingResponses::add(std::shared_ptr<WebResponse> response) {
  std::string name = newRequestId();
  addWithId(name, std::move(response));
  return name;
}
std::shared_ptr<WebResponse> PendingResponses::find(const std::string& name) {
  std::lock_guard<std::mutex> guard(lock);
  auto found = responses.find(name);
  return found == responses.end() ? nullptr : found->second;
}
std::shared_ptr<WebResponse> PendingResponses::remove(const std::string& name) {
  std::lock_guard<std::mutex> guard(lock);
  auto found = responses.find(name);
  if (found == responses.end()) return nullptr;
  auto response = found->second;
  responses.erase(found);
  return response;
}
std::vector<std::shared_ptr<WebResponse>> PendingResponses::removeAll() {
  std::lock_guard<std::mutex> guard(lock);
  std::vector<std::shared_ptr<WebResponse>> all;
  for (auto& [name, response] : responses) all.push_back(std::move(response));
  responses.clear();
  return all;
}
std::size_t PendingResponses::count() {
  std::lock_guard<std::mutex> guard(lock);
  return responses.size();
}

std::string errorJson(const Error& error) {
  JsonObject body;
  body["code"] = jsonNumber(static_cast<int>(error.code));
  body["name"] = Json(std::string(codeName(error.code)));
  body["field"] = Json(error.subject);
  body["text"] = Json(error.text);
  return Json(body).serialize();
}

}  // namespace tt
