#pragma once
#include "host.hpp"
#include "http.hpp"

namespace tt {

/// One HTTP/1.1 request. Headers go out as given and in order, except that Host comes first and that Content-Length,
/// Transfer-Encoding and Expect are left out, as the framing is the client's; only Host and Content-Length are added.
struct HttpClientRequest {
  std::string method{"GET"};
  /// ip:port; names are not looked up.
  std::string address;
  /// Path and query, sent byte for byte.
  std::string target{"/"};
  std::string body;
  HttpHeaders headers;
  /// Zero means no bound.
  Duration connectTimeout{1s}, totalTimeout{0};
  /// The other side must never get this call a second time through the library's own resend.
  bool once{false};
  /// Takes a connection of its own that is reset afterwards: nothing said to another call can be taken for its answer,
  /// and nothing of a call that was given up is sent any more.
  bool exclusiveConnection{false};
  /// Asked in the instant before the request is written, also after a connect that took long or a freeze of this
  /// process; a call that may not leave ends unsent.
  std::function<bool()> maySend;
};
struct HttpResponseHead {
  int status{0};
  HttpHeaders headers;
  /// Whether the head tells where the body ends; otherwise an answer that was cut cannot be told from a whole one.
  bool delimited{false};
  /// The first value under a name in any case, or null.
  const std::string* find(std::string_view name) const;
};
/// How a call ended: unsent only if for certain no byte of the request was written to a connection that stood.
enum class HttpCallOutcome { whole, unsent, broken };
struct HttpCallResult {
  HttpCallOutcome outcome{HttpCallOutcome::broken};
  HttpResponseHead head;
  std::string trouble;
  /// The call went over a kept connection that ended without a byte of answer: the peer may have forgotten it.
  bool forgotten{false};
};

/// An HTTP/1.1 client on an io_context, with kept connections and no thread of its own: libcurl's multi socket
/// interface. Everything is called on the context's thread. Callbacks may start and drop calls, their own too, but not
/// destroy the client. Kept connections keep a wait on the context until the client goes.
class HttpClient {
 public:
  explicit HttpClient(asio::io_context& context);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  /// Once per call, after the final (non-1xx) head.
  using OnHead = std::function<void(const HttpResponseHead&)>;
  /// Body bytes as they come, chunks undone, content encoding left as it is.
  using OnBytes = std::function<void(std::string_view)>;
  /// Exactly once unless the call is dropped; never from within start.
  using OnEnd = std::function<void(const HttpCallResult&)>;
  std::uint64_t start(HttpClientRequest call, OnHead onHead, OnBytes onBytes, OnEnd onEnd);
  /// Ends a call at once: its connection is closed, no callback comes any more.
  void drop(std::uint64_t callId);
  /// Connections that stood and took a request.
  std::uint64_t connectionsOpened() const;
  std::uint64_t callsStarted() const;

 private:
  struct Inner;
  std::shared_ptr<Inner> inner;
};

}  // namespace tt
