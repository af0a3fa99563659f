#pragma once
#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "http.hpp"

namespace tt {

/// Properties of the request that decide how the response is framed.
struct RequestTraits {
  bool isHttp10{false}, isHead{false};
};

/// Whether the connection stays open after the response, and the announced idle timeout; 0 announces none.
struct KeepAlive {
  bool enabled{false};
  std::chrono::seconds timeout{0};
};

/// Body bytes as they are sent: with the framing before and after them.
struct FramedBytes {
  std::string before;
  std::string_view bytes;
  std::string_view after;
};

/// Formats a response head and frames its body. The last bytes of the response are held back until it is ended, so that
/// a client can always tell a complete response from an aborted one. Does no I/O.
class ResponseFraming {
 public:
  /// Chooses how the end of the body is marked: by its length if that is given, else by chunks, or by the end of the
  /// connection for an HTTP/1.0 client.
  void start(int status, std::optional<std::size_t> length, RequestTraits request);
  /// Returns to the state before start().
  void reset();
  bool isStarted() const { return body != Body::unstarted; }
  bool endsWithConnection() const { return body == Body::untilClose; }
  /// Whether the response has a body.
  bool hasBody() const { return isStarted() && body != Body::empty; }
  /// Whether all announced bytes have been framed.
  bool isComplete() const { return isStarted() && !(body == Body::length && bytesLeft > 0); }

  /// Text of the head. Leaves out hop-by-hop header fields and fields whose name or value is not well-formed.
  std::string head(const HttpHeaders& headers, KeepAlive keepAlive);
  /// Frames a piece of the body. Returns nothing if it exceeds the announced length.
  std::optional<FramedBytes> frame(std::string_view bytes);
  /// The bytes held back so far. Writing them completes the response.
  std::string takeFinalBytes() { return std::exchange(finalBytes, {}); }
  std::size_t finalByteCount() const { return finalBytes.size(); }

 private:
  enum class Body { unstarted, empty, length, chunks, untilClose };
  Body body{Body::unstarted};
  int statusCode{0};
  /// Responses with status 204 or 304 have neither a body nor headers that describe its length.
  bool statusForbidsBody{false}, isHttp10{false};
  std::optional<std::size_t> bodyLength;
  std::size_t bytesLeft{0};
  std::string finalBytes;
};

/// An error response without a body, which announces that the connection will be closed.
std::string errorResponse(int status);

}  // namespace tt
