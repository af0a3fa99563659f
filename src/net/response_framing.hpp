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

/// Whether the connection stays open after the response, and the idle timeout to announce to the client; 0: none.
struct KeepAlive {
  bool enabled{false};
  std::chrono::seconds timeout{0};
};

/// A piece of the body, with the framing that is sent before and after it.
struct FramedBytes {
  std::string before;
  std::string_view bytes;
  std::string_view after;
};

/// Formats a response head and frames the body. The last bytes of the response are withheld until the response is
/// complete, so that clients can always distinguish a complete response from an aborted one. Does no I/O.
class ResponseFraming {
 public:
  /// Chooses how the end of the body is marked: by its length if that is given, otherwise by chunked encoding, or by
  /// the end of the connection for HTTP/1.0 clients.
  void start(int status, std::optional<std::size_t> length, RequestTraits request);
  /// Returns to the state before start().
  void reset();
  bool isStarted() const { return body != Body::unstarted; }
  bool endsWithConnection() const { return body == Body::untilClose; }
  /// Whether the response has a body.
  bool hasBody() const { return isStarted() && body != Body::empty; }
  /// Whether all announced bytes have been framed.
  bool isComplete() const { return isStarted() && !(body == Body::length && bytesLeft > 0); }

  /// Formats the head. Hop-by-hop header fields and fields with a malformed name or value are omitted.
  std::string head(const HttpHeaders& headers, KeepAlive keepAlive);
  /// Frames a piece of the body. Returns nothing if the body would exceed its announced length.
  std::optional<FramedBytes> frame(std::string_view bytes);
  /// Returns the withheld bytes. Sending them completes the response.
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

/// Formats an error response that has no body and announces that the connection will be closed.
std::string errorResponse(int status);

}  // namespace tt
