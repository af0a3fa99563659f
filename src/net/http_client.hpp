#pragma once
#include "http.hpp"
#include "node_host.hpp"

namespace tt {

/// One HTTP/1.1 request. Headers are sent as given and in order, except that Host comes first and that Content-Length,
/// Transfer-Encoding and Expect are left out, because the client does the framing. Only Host and Content-Length are
/// added.
struct HttpClientRequest {
  std::string method{"GET"};
  /// ip:port. Host names are not resolved.
  std::string address;
  /// Path and query, sent byte for byte.
  std::string target{"/"};
  std::string body;
  HttpHeaders headers;
  /// Longest time to connect, and for the whole call from start to end. Zero means no limit.
  Duration connectTimeout{1s}, totalTimeout{0};
  /// Never send this request a second time, as libcurl does by itself when a reused connection turns out to be closed.
  bool once{false};
  /// Use a new connection for this request only, and reset it afterwards. A response to another request cannot be taken
  /// for the response to this one, and nothing more of the request is sent once it is dropped.
  bool exclusiveConnection{false};
  /// Called immediately before the request is written, also after a slow connect or a freeze of this process. If it
  /// returns false, the call ends as `unsent`.
  std::function<bool()> maySend;
};
struct HttpResponseHead {
  int status{0};
  HttpHeaders headers;
  /// Whether the head tells where the body ends. Otherwise a truncated response cannot be distinguished from a complete
  /// one.
  bool delimited{false};
  /// Returns the first value of a header, ignoring the case of its name, or null.
  const std::string* find(std::string_view name) const;
};
/// How a call ended. `whole`: with a complete response. `unsent`: certainly no byte of the request was written to an
/// established connection. `broken`: otherwise; the peer may have processed the request.
enum class HttpCallOutcome { complete, unsent, broken };
struct HttpCallResult {
  HttpCallOutcome outcome{HttpCallOutcome::broken};
  HttpResponseHead head;
  /// Text of the error, for log lines.
  std::string errorMessage;
  /// The request was sent on a reused connection that closed without a byte of response: the peer probably closed it as
  /// idle and never read the request.
  bool lostOnIdleConnection{false};
};

/// HTTP/1.1 client on an io_context, with persistent connections and no thread of its own, built on libcurl's
/// multi-socket interface. All calls and callbacks happen on the io_context's single thread. Callbacks may start and
/// drop calls, including their own, but must not destroy the client. Idle connections keep asynchronous waits pending
/// on the io_context until the client is destroyed.
class HttpClient {
 public:
  explicit HttpClient(asio::io_context& context);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  /// Called once, when the final (non-1xx) head is complete.
  using OnHead = std::function<void(const HttpResponseHead&)>;
  /// Called with body bytes as they arrive. Chunks are decoded; the content encoding is not.
  using OnBytes = std::function<void(std::string_view)>;
  /// Called exactly once unless the call is dropped, and never from within start().
  using OnEnd = std::function<void(const HttpCallResult&)>;
  /// Starts a call and returns its id.
  std::uint64_t start(HttpClientRequest call, OnHead onHead, OnBytes onBytes, OnEnd onEnd);
  /// Cancels a call: closes its connection and makes no further callback. Unknown ids are ignored.
  void drop(std::uint64_t callId);
  /// Number of connections that were established and used for a request.
  std::uint64_t connectionsOpened() const;
  std::uint64_t callsStarted() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace tt
