#pragma once
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "http.hpp"
#include "json.hpp"
#include "node_host.hpp"

namespace tt {

/// An HTTP request as a handler receives it. `bearer` is the token of an "Authorization: Bearer" header.
struct WebRequest {
  std::string method, path, body, bearer;
  std::map<std::string, std::string> query;
  HttpHeaders headers;
};
/// The response to an HTTP request: either a single body or a stream of lines. Thread-safe.
class WebResponse {
 public:
  virtual ~WebResponse() = default;
  /// Sends the complete response with a JSON body. Does nothing once a stream has begun.
  virtual void finish(int status, const std::string& body, int retryAfterMs = 0) = 0;
  /// Sends one line of a stream. Returns false if the client has disconnected or reads too slowly.
  virtual bool line(const std::string& text) = 0;
  /// Sends the last line and ends the stream.
  virtual void endStream(const std::string& lastLine) = 0;
  /// Whether a stream has begun.
  virtual bool streaming() const = 0;
};
using WebHandler = std::function<void(WebRequest, std::shared_ptr<WebResponse>)>;

/// HTTP/1.1 server on RESTinio, for operators and for the stand-ins of workers and platform.
class WebServer {
 public:
  WebServer(asio::io_context& context, const std::string& address, WebHandler handler);
  ~WebServer();
  /// Binds the address and starts to accept. Fails with badProps.
  Result<void> open();
  void close();
  struct Impl;

 private:
  std::unique_ptr<Impl> impl;
};

/// An HTTP request to be sent by WebClient. `bearer` is sent as "Authorization: Bearer". A totalTimeout of zero
/// means no limit.
struct WebCall {
  std::string method{"GET"}, url, body, bearer;
  Duration connectTimeout{1s}, totalTimeout{0};
  /// Use a new connection, on which libcurl never sends a request a second time.
  bool noResend{false};
};
struct WebResult {
  /// A complete HTTP response was received.
  bool reached{false};
  /// No byte of the request was sent.
  bool requestUnsent{false};
  int status{0};
  int retryAfterMs{0};
  /// `trouble`: text of the error if no complete response was received.
  std::string body, errorMessage;
};
/// HTTP client on libcurl with a thread of its own, on which all callbacks are made.
class WebClient {
 public:
  using OnLine = std::function<void(const std::string& line)>;
  using OnDone = std::function<void(const WebResult& result)>;
  WebClient();
  ~WebClient();
  /// Starts a call and returns its id. With onLine, the lines of a response with status 200 are passed to it as they
  /// arrive; otherwise the whole body is part of the result.
  std::uint64_t start(WebCall call, OnDone onDone, OnLine onLine = {});
  /// Cancels a call; onDone is not called.
  void drop(std::uint64_t callId);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

/// How an order ended, as far as the end of the HTTP call to the worker tells, if the worker's last line has not told
/// it: not sent only if no byte was sent, and denied only if the worker's denial was received completely.
WorkerEnd workerEndOfCall(const std::string& sendId, const WebResult& result);

/// Makes a call and blocks until it has ended. For tools.
WebResult callAndWait(WebClient& calls, WebCall call);

/// Responses that wait for an answer of the node, by the name under which the node knows the request. Thread-safe.
class PendingResponses {
 public:
  /// Adds a response under a new name, and returns the name.
  std::string add(std::shared_ptr<WebResponse> response);
  /// Returns a name that was not used before in this object.
  std::string newRequestId();
  void addWithId(const std::string& name, std::shared_ptr<WebResponse> response);
  /// find() and remove() return null if there is no response of that name.
  std::shared_ptr<WebResponse> find(const std::string& name);
  std::shared_ptr<WebResponse> remove(const std::string& name);
  /// Removes and returns all pending responses.
  std::vector<std::shared_ptr<WebResponse>> removeAll();
  std::size_t count();

 private:
  std::mutex lock;
  std::uint64_t lastNumber{0};
  std::map<std::string, std::shared_ptr<WebResponse>> responses;
};

/// JSON body that describes an error: code, name, field and text.
std::string errorJson(const Error& error);

}  // namespace tt
