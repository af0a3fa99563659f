#pragma once
#include "gate.hpp"

namespace tt {

/// Reads one request after another out of the bytes of a connection, and refuses what is not sound or too large. It
/// holds no socket and reads no clock. The gate's connection calls it, on the gate's thread.
class RequestReader {
 public:
  /// `none`: nothing of a request is here yet; `part`: more bytes are needed; `refused`: see `refusal`.
  enum class Progress { none, part, whole, refused };

  void append(const char* bytes, std::size_t size) { in.append(bytes, size); }
  /// Bytes read and not yet taken, such as those of the next request.
  std::size_t unreadBytes() const { return in.size(); }

  /// Begins to read a request within these limits.
  void begin(const HttpServerLimits& given);
  const HttpServerLimits& limits() const { return requestLimits; }
  Progress takeHead();
  Progress takeBody() { return isChunked ? takeChunks() : takeWholeBody(); }
  /// The status that a refused request is answered with.
  int refusal() const { return refusedStatus; }
  HttpRequest takeRequest() { return std::move(request); }
  /// Forgets the request and all bytes that came.
  void drop();
  /// Forgets the bytes that came and were not taken.
  void dropBytes() { in = std::string(); }
  /// Lets the next request begin, and gives large memory back.
  void finish();

  /// Whether the client waits for a word before it sends the body.
  bool awaitsContinue() const;
  /// Of the request whose head was taken last.
  bool isHttp10() const { return oldVersion; }
  bool isHead() const { return headOnly; }
  /// Whether the client lets the connection be kept.
  bool mayKeep() const { return keepable; }

 private:
  enum class ChunkPart { size, data, dataEnd, trailer };

  std::string in;
  HttpServerLimits requestLimits;
  HttpRequest request;
  std::size_t scanned{0};
  bool skippedBlank{false};
  int refusedStatus{0};
  bool oldVersion{false}, headOnly{false}, keepable{false}, isChunked{false};
  std::uint64_t bodyLeft{0};
  ChunkPart chunkPart{ChunkPart::size};
  std::size_t chunkExcess{0}, trailerBytes{0};

  Progress refuse(int status);
  bool skipBlankLine();
  Progress readHead(std::size_t size);
  Progress readFraming(unsigned parserFlags);
  Progress takeWholeBody();
  Progress takeChunks();
  std::size_t longestChunkLine() const;
  std::optional<Progress> takeChunkData(std::string_view& left);
  std::optional<Progress> takeChunkLine(std::string_view& left);
  std::optional<Progress> takeSizeLine(std::string_view line);
  std::optional<Progress> takeTrailerLine(std::string_view line);
};

}  // namespace tt
