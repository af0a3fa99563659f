#pragma once
#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "http.hpp"

namespace tt {

/// What of the request decides how its answer is framed.
struct AnsweredRequest {
  bool isHttp10{false}, isHead{false};
};

/// Whether the connection is kept after the answer, and for how long that is promised; 0 promises nothing.
struct KeepAlive {
  bool keeps{false};
  std::chrono::seconds promised{0};
};

/// Bytes of a body as they go on the wire: with what stands before and after them.
struct FramedBytes {
  std::string before;
  std::string_view bytes;
  std::string_view after;
};

/// Writes one answer's head and frames its body, so that a client can always tell a whole answer from a cut one: the
/// last bytes are held back until the end. It holds no socket.
class AnswerFraming {
 public:
  /// Decides how the end of an answer is told. Without a length the body goes in chunks, or, to an old client, until
  /// the connection closes.
  void start(int status, std::optional<std::size_t> length, AnsweredRequest request);
  /// Forgets the answer; nothing is started.
  void reset();
  bool isStarted() const { return body != Body::unstarted; }
  bool endsWithConnection() const { return body == Body::untilClose; }
  /// Whether the answer has a body at all.
  bool hasBody() const { return isStarted() && body != Body::empty; }
  /// Whether all the bytes that were promised have been framed.
  bool isFilled() const { return isStarted() && !(body == Body::length && bytesLeft > 0); }

  /// The head's text; header fields that hold for one connection only, or could break the head, are left out.
  std::string head(const HttpHeaders& headers, KeepAlive keepAlive);
  /// Nothing, if there are more bytes than were promised.
  std::optional<FramedBytes> frame(std::string_view bytes);
  /// What was held back. The answer is whole once it is written.
  std::string takeTail() { return std::exchange(tail, {}); }
  std::size_t tailBytes() const { return tail.size(); }

 private:
  enum class Body { unstarted, empty, length, chunks, untilClose };
  Body body{Body::unstarted};
  int statusCode{0};
  /// Answers of some statuses have neither a body nor a word about its length.
  bool bodiless{false}, isHttp10{false};
  std::optional<std::size_t> bodyLength;
  std::size_t bytesLeft{0};
  std::string tail;
};

/// An answer without a body, after which the connection closes.
std::string refusalText(int status);

}  // namespace tt
