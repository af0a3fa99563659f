#pragma once
#include "http_server.hpp"

namespace tt {

/// Incremental parser for the requests of one connection. Rejects malformed and too large requests. Does no I/O and
/// reads no clock. Used by HttpServer::Connection on the server's thread.
class RequestReader {
 public:
  /// `none`: no byte of a request has arrived; `incomplete`: more bytes are needed; `rejected`: see rejectionStatus().
  enum class Progress { none, incomplete, complete, rejected };

  /// Adds bytes that were read from the connection.
  void append(const char* bytes, std::size_t size) { buffer.append(bytes, size); }
  /// Bytes appended and not yet consumed, such as those of a pipelined request.
  std::size_t unreadBytes() const { return buffer.size(); }

  /// Starts a new request with these limits.
  void beginRequest(const HttpServerLimits& serverLimits);
  const HttpServerLimits& limits() const { return requestLimits; }
  /// Parses the buffered bytes. Call readHead() until it is complete, then readBody().
  Progress readHead();
  Progress readBody() { return isChunked ? readChunks() : readFixedLengthBody(); }
  /// HTTP status to answer a rejected request with.
  int rejectionStatus() const { return rejectedWith; }
  /// Moves the complete request out.
  HttpRequest takeRequest() { return std::move(request); }
  /// Discards the request and all buffered bytes.
  void discard();
  /// Discards the buffered bytes.
  void discardBuffered() { buffer = std::string(); }
  /// Ends a request, so that the next one can begin, and frees a large empty buffer.
  void finishRequest();

  /// Whether the client waits for "100 Continue" before it sends the body.
  bool awaitsContinue() const;
  /// These describe the request whose head was read last.
  bool isHttp10() const { return http10; }
  bool isHead() const { return headMethod; }
  /// Whether the client allows the connection to be kept open.
  bool allowsKeepAlive() const { return keepAliveAllowed; }

 private:
  enum class ChunkPart { size, data, dataEnd, trailer };

  /// Bytes read from the connection and not yet consumed; `scannedBytes` of them have been checked as part of a head.
  std::string buffer;
  HttpServerLimits requestLimits;
  HttpRequest request;
  std::size_t scannedBytes{0};
  bool blankLineSkipped{false};
  int rejectedWith{0};
  bool http10{false}, headMethod{false}, keepAliveAllowed{false}, isChunked{false};
  std::uint64_t bodyLeft{0};
  ChunkPart chunkPart{ChunkPart::size};
  /// Chunk framing bytes beyond the allowance so far, see parseSizeLine().
  std::size_t excessOverhead{0}, trailerBytes{0};

  Progress reject(int status);
  /// Skips one empty line before a request, as some clients send. Returns whether it did.
  bool skipBlankLine();
  /// Parses a complete head of the given size.
  Progress parseHead(std::size_t size);
  /// Determines from the headers where the body ends. Rejects whatever two parsers could interpret differently.
  Progress parseFraming(unsigned parserFlags);
  Progress readFixedLengthBody();
  Progress readChunks();
  /// Longest line that is accepted in the current part of a chunked body.
  std::size_t maxLineBytes() const;
  /// These consume bytes of `left`, and return nothing while the parsing of the chunked body can go on.
  std::optional<Progress> readChunkData(std::string_view& left);
  std::optional<Progress> readChunkLine(std::string_view& left);
  std::optional<Progress> parseSizeLine(std::string_view line);
  std::optional<Progress> parseTrailerLine(std::string_view line);
};

}  // namespace tt
