#include "request_reader.hpp"

#include <http_parser.h>
#include <algorithm>

#include "http_syntax.hpp"

namespace tt {
namespace {

/// An empty buffer with a larger capacity is freed after a request.
constexpr std::size_t maxRetainedCapacity = 64 * 1024;
constexpr std::size_t maxSizeLineBytes = 256, maxExcessOverhead = 16 * 1024;
/// Framing bytes that a chunk may have before they count as excess: a constant plus a multiple of its data bytes.
constexpr std::size_t overheadPerChunk = 16, overheadPerDataByte = 2;
constexpr std::size_t typicalHeaderCount = 12;
constexpr int badRequest = 400, bodyTooLarge = 413, headTooLarge = 431;

/// http_parser takes any field whose name begins with "Transfer-Encoding" for that field, and rejects a Content-Length
/// beside it. Its checks can be disabled, because RequestReader has already validated every byte of the head, and
/// checks the framing fields by their full names.
void disableFramingChecks(http_parser& parser) {
  parser.lenient_http_headers = 1;
  parser.allow_chunked_length = 1;
}

/// Parses a request head into an HttpRequest with http_parser.
class HeadParser {
 public:
  explicit HeadParser(HttpRequest& target) : request(target) {
    http_parser_init(&parser, HTTP_REQUEST);
    disableFramingChecks(parser);
    parser.data = this;
  }

  /// Returns the HTTP status with which to reject the head, or 0 if it is valid.
  int parse(std::string_view head) {
    std::size_t parsed = http_parser_execute(&parser, &settings(), head.data(), head.size());
    if (HTTP_PARSER_ERRNO(&parser) == HPE_HEADER_OVERFLOW) return headTooLarge;
    bool isValid = HTTP_PARSER_ERRNO(&parser) == HPE_OK && parsed == head.size() && complete;
    return isValid && parser.method != HTTP_CONNECT ? 0 : badRequest;
  }
  http_method method() const { return static_cast<http_method>(parser.method); }
  bool isHttp10() const { return parser.http_minor == 0; }
  unsigned flags() const { return headFlags; }

 private:
  HttpRequest& request;
  http_parser parser;
  unsigned headFlags{0};
  bool afterValue{true}, complete{false};

  static HeadParser& of(http_parser* parser) { return *static_cast<HeadParser*>(parser->data); }
  static int onTarget(http_parser* parser, const char* at, std::size_t size) {
    of(parser).request.target.append(at, size);
    return 0;
  }
  static int onName(http_parser* parser, const char* at, std::size_t size) {
    auto& self = of(parser);
    if (self.afterValue) self.request.headers.emplace_back();
    self.afterValue = false;
    self.request.headers.back().first.append(at, size);
    return 0;
  }
  static int onValue(http_parser* parser, const char* at, std::size_t size) {
    auto& self = of(parser);
    self.afterValue = true;
    if (self.request.headers.empty()) return 1;
    self.request.headers.back().second.append(at, size);
    return 0;
  }
  static int onHead(http_parser* parser) {
    constexpr int skipBody = 1;
    of(parser).headFlags = parser->flags;
    of(parser).complete = true;
    return skipBody;
  }
  static const http_parser_settings& settings() {
    static const http_parser_settings callbacks = [] {
      http_parser_settings created;
      http_parser_settings_init(&created);
      created.on_url = onTarget;
      created.on_header_field = onName;
      created.on_header_value = onValue;
      created.on_headers_complete = onHead;
      return created;
    }();
    return callbacks;
  }
};

}  // namespace

void RequestReader::beginRequest(const HttpServerLimits& serverLimits) {
  requestLimits = serverLimits;
  scannedBytes = 0;
}

void RequestReader::discard() {
  buffer = std::string();
  request = HttpRequest{};
}

void RequestReader::finishRequest() {
  blankLineSkipped = false;
  if (buffer.empty() && buffer.capacity() > maxRetainedCapacity) buffer = std::string();
}

RequestReader::Progress RequestReader::reject(int status) {
  rejectedWith = status;
  return Progress::rejected;
}

bool RequestReader::skipBlankLine() {
  if (blankLineSkipped || scannedBytes > 2 || buffer.size() < 2 || buffer.compare(0, 2, "\r\n") != 0) return false;
  buffer.erase(0, 2);
  scannedBytes = 0;
  blankLineSkipped = true;
  return true;
}

RequestReader::Progress RequestReader::readHead() {
  if (skipBlankLine() && buffer.empty()) return Progress::none;
  for (; scannedBytes < buffer.size(); ++scannedBytes) {
    if (scannedBytes >= requestLimits.maxHeaderBytes) return reject(headTooLarge);
    auto byte = static_cast<unsigned char>(buffer[scannedBytes]);
    bool afterCr = scannedBytes > 0 && buffer[scannedBytes - 1] == '\r';
    if ((byte == '\n') != afterCr) return reject(badRequest);
    if (byte == '\n') {
      if (scannedBytes >= 3 && buffer[scannedBytes - 2] == '\n') return parseHead(scannedBytes + 1);
    } else if (byte != '\r' && isControl(byte)) {
      return reject(badRequest);
    }
  }
  return Progress::incomplete;
}

RequestReader::Progress RequestReader::parseHead(std::size_t size) {
  std::string_view head(buffer.data(), size);
  if (!isRequestHead(head)) return reject(badRequest);
  request = HttpRequest{};
  request.headers.reserve(typicalHeaderCount);
  HeadParser parser(request);
  if (int status = parser.parse(head)) return reject(status);
  buffer.erase(0, size);
  request.method = http_method_str(parser.method());
  http10 = parser.isHttp10();
  headMethod = parser.method() == HTTP_HEAD;
  return parseFraming(parser.flags());
}

RequestReader::Progress RequestReader::parseFraming(unsigned parserFlags) {
  int hosts = 0, lengths = 0, encodings = 0;
  bodyLeft = 0;
  for (auto& [name, value] : request.headers) {
    if (auto trimmed = trimWhitespace(value); trimmed.size() != value.size()) value = std::string(trimmed);
    if (equalIgnoringCase(name, "Host")) {
      ++hosts;
      if (!isHost(value)) return reject(badRequest);
    } else if (equalIgnoringCase(name, "Content-Length")) {
      ++lengths;
      auto length = parseDecimal(value);
      if (!length) return reject(badRequest);
      bodyLeft = *length;
    } else if (equalIgnoringCase(name, "Transfer-Encoding")) {
      ++encodings;
      if (!equalIgnoringCase(value, "chunked")) return reject(badRequest);
    }
  }
  bool isHostMissing = hosts == 0 && !http10, isChunkedHttp10 = encodings > 0 && http10;
  if (hosts > 1 || isHostMissing || lengths + encodings > 1 || isChunkedHttp10) return reject(badRequest);
  isChunked = encodings == 1;
  if (isChunked != ((parserFlags & F_CHUNKED) != 0)) return reject(badRequest);
  keepAliveAllowed = !(parserFlags & F_CONNECTION_CLOSE) && (!http10 || (parserFlags & F_CONNECTION_KEEP_ALIVE));
  if (bodyLeft > requestLimits.maxBodyBytes) return reject(bodyTooLarge);
  chunkPart = ChunkPart::size;
  excessOverhead = trailerBytes = 0;
  return Progress::complete;
}

bool RequestReader::awaitsContinue() const {
  if (!buffer.empty() || !request.body.empty() || http10) return false;
  const auto* expected = findHeader(request.headers, "Expect");
  return expected && equalIgnoringCase(*expected, "100-continue");
}

RequestReader::Progress RequestReader::readFixedLengthBody() {
  if (request.body.capacity() < bodyLeft && request.body.empty()) request.body.reserve(bodyLeft);
  auto size = static_cast<std::size_t>(std::min<std::uint64_t>(bodyLeft, buffer.size()));
  request.body.append(buffer, 0, size);
  buffer.erase(0, size);
  bodyLeft -= size;
  return bodyLeft == 0 ? Progress::complete : Progress::incomplete;
}

RequestReader::Progress RequestReader::readChunks() {
  std::string_view left(buffer);
  std::optional<Progress> progress;
  while (!progress) progress = chunkPart == ChunkPart::data ? readChunkData(left) : readChunkLine(left);
  if (*progress != Progress::rejected) buffer.erase(0, buffer.size() - left.size());
  return *progress;
}

std::optional<RequestReader::Progress> RequestReader::readChunkData(std::string_view& left) {
  auto size = static_cast<std::size_t>(std::min<std::uint64_t>(bodyLeft, left.size()));
  request.body.append(left.data(), size);
  left.remove_prefix(size);
  bodyLeft -= size;
  if (bodyLeft > 0) return Progress::incomplete;
  chunkPart = ChunkPart::dataEnd;
  return std::nullopt;
}

std::size_t RequestReader::maxLineBytes() const {
  switch (chunkPart) {
    case ChunkPart::trailer:
      return requestLimits.maxHeaderBytes - trailerBytes;
    case ChunkPart::size:
      return maxSizeLineBytes;
    default:
      return 2;
  }
}

std::optional<RequestReader::Progress> RequestReader::readChunkLine(std::string_view& left) {
  auto lineFeed = left.find('\n');
  bool isComplete = lineFeed != std::string_view::npos;
  if ((isComplete ? lineFeed + 1 : left.size()) > maxLineBytes())
    return reject(chunkPart == ChunkPart::trailer ? headTooLarge : badRequest);
  if (!isComplete) {
    bool isMalformed = chunkPart == ChunkPart::dataEnd && !left.empty() && left[0] != '\r';
    return isMalformed ? reject(badRequest) : Progress::incomplete;
  }
  if (lineFeed == 0 || left[lineFeed - 1] != '\r') return reject(badRequest);
  auto line = left.substr(0, lineFeed - 1);
  left.remove_prefix(lineFeed + 1);
  if (chunkPart == ChunkPart::size) return parseSizeLine(line);
  if (chunkPart == ChunkPart::trailer) return parseTrailerLine(line);
  if (!line.empty()) return reject(badRequest);
  chunkPart = ChunkPart::size;
  return std::nullopt;
}

std::optional<RequestReader::Progress> RequestReader::parseTrailerLine(std::string_view line) {
  trailerBytes += line.size() + 2;
  if (line.empty()) return Progress::complete;
  if (!isFieldLine(line)) return reject(badRequest);
  return std::nullopt;
}

/// Rejects requests with far more bytes of chunk framing than of data, which cost much work for little payload.
std::optional<RequestReader::Progress> RequestReader::parseSizeLine(std::string_view line) {
  auto size = parseChunkSize(line);
  if (!size) return reject(badRequest);
  if (*size > requestLimits.maxBodyBytes - request.body.size()) return reject(bodyTooLarge);
  std::size_t overhead = excessOverhead + line.size() + 2;
  std::size_t allowance = overheadPerChunk + overheadPerDataByte * static_cast<std::size_t>(*size);
  excessOverhead = overhead > allowance ? overhead - allowance : 0;
  if (excessOverhead > maxExcessOverhead) return reject(badRequest);
  bodyLeft = *size;
  chunkPart = *size == 0 ? ChunkPart::trailer : ChunkPart::data;
  return std::nullopt;
}

}  // namespace tt
