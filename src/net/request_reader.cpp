#include "request_reader.hpp"

#include <http_parser.h>
#include <algorithm>

#include "http_syntax.hpp"

namespace tt {
namespace {

constexpr std::size_t keptCapacity = 64 * 1024;
constexpr std::size_t chunkLineBytes = 256, chunkExcessBytes = 16 * 1024;
constexpr std::size_t fairChunkOverhead = 16, fairChunkShare = 2;
constexpr std::size_t usualHeaders = 12;
constexpr int badRequest = 400, bodyTooLarge = 413, headTooLarge = 431;

/// The parser takes a name that only begins with Transfer-Encoding for that field and refuses a length beside it. The
/// reader has checked every byte of the head before, and checks the framing fields by their whole names itself.
void leaveFramingToReader(http_parser& parser) {
  parser.lenient_http_headers = 1;
  parser.allow_chunked_length = 1;
}

/// Has http_parser fill a request from a head.
class HeadParser {
 public:
  explicit HeadParser(HttpRequest& filled) : request(filled) {
    http_parser_init(&parser, HTTP_REQUEST);
    leaveFramingToReader(parser);
    parser.data = this;
  }

  /// The status to refuse the head with, or 0.
  int parse(std::string_view head) {
    std::size_t parsed = http_parser_execute(&parser, &settings(), head.data(), head.size());
    if (HTTP_PARSER_ERRNO(&parser) == HPE_HEADER_OVERFLOW) return headTooLarge;
    bool isSound = HTTP_PARSER_ERRNO(&parser) == HPE_OK && parsed == head.size() && whole;
    return isSound && parser.method != HTTP_CONNECT ? 0 : badRequest;
  }
  http_method method() const { return static_cast<http_method>(parser.method); }
  bool isHttp10() const { return parser.http_minor == 0; }
  unsigned flags() const { return headFlags; }

 private:
  HttpRequest& request;
  http_parser parser;
  unsigned headFlags{0};
  bool afterValue{true}, whole{false};

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
    of(parser).whole = true;
    return skipBody;
  }
  static const http_parser_settings& settings() {
    static const http_parser_settings made = [] {
      http_parser_settings rows;
      http_parser_settings_init(&rows);
      rows.on_url = onTarget;
      rows.on_header_field = onName;
      rows.on_header_value = onValue;
      rows.on_headers_complete = onHead;
      return rows;
    }();
    return made;
  }
};

}  // namespace

void RequestReader::begin(const HttpServerLimits& given) {
  requestLimits = given;
  scanned = 0;
}

void RequestReader::drop() {
  in = std::string();
  request = HttpRequest{};
}

void RequestReader::finish() {
  skippedBlank = false;
  if (in.empty() && in.capacity() > keptCapacity) in = std::string();
}

RequestReader::Progress RequestReader::refuse(int status) {
  refusedStatus = status;
  return Progress::refused;
}

/// Passes over one empty line before a request, as some clients send; whether it did.
bool RequestReader::skipBlankLine() {
  if (skippedBlank || scanned > 2 || in.size() < 2 || in.compare(0, 2, "\r\n") != 0) return false;
  in.erase(0, 2);
  scanned = 0;
  skippedBlank = true;
  return true;
}

RequestReader::Progress RequestReader::takeHead() {
  if (skipBlankLine() && in.empty()) return Progress::none;
  for (; scanned < in.size(); ++scanned) {
    if (scanned >= requestLimits.maxHeaderBytes) return refuse(headTooLarge);
    auto byte = static_cast<unsigned char>(in[scanned]);
    bool afterCr = scanned > 0 && in[scanned - 1] == '\r';
    if ((byte == '\n') != afterCr) return refuse(badRequest);
    if (byte == '\n') {
      if (scanned >= 3 && in[scanned - 2] == '\n') return readHead(scanned + 1);
    } else if (byte != '\r' && isControl(byte)) {
      return refuse(badRequest);
    }
  }
  return Progress::part;
}

RequestReader::Progress RequestReader::readHead(std::size_t size) {
  std::string_view head(in.data(), size);
  if (!isRequestHead(head)) return refuse(badRequest);
  request = HttpRequest{};
  request.headers.reserve(usualHeaders);
  HeadParser parser(request);
  if (int status = parser.parse(head)) return refuse(status);
  in.erase(0, size);
  request.method = http_method_str(parser.method());
  oldVersion = parser.isHttp10();
  headOnly = parser.method() == HTTP_HEAD;
  return readFraming(parser.flags());
}

/// Finds where the body ends, and refuses what could be read in two ways.
RequestReader::Progress RequestReader::readFraming(unsigned parserFlags) {
  int hosts = 0, lengths = 0, codings = 0;
  bodyLeft = 0;
  for (auto& [name, value] : request.headers) {
    if (auto bare = trimmed(value); bare.size() != value.size()) value = std::string(bare);
    if (equalIgnoringCase(name, "Host")) {
      ++hosts;
      if (!isHost(value)) return refuse(badRequest);
    } else if (equalIgnoringCase(name, "Content-Length")) {
      ++lengths;
      auto length = readDigits(value);
      if (!length) return refuse(badRequest);
      bodyLeft = *length;
    } else if (equalIgnoringCase(name, "Transfer-Encoding")) {
      ++codings;
      if (!equalIgnoringCase(value, "chunked")) return refuse(badRequest);
    }
  }
  bool isHostless = hosts == 0 && !oldVersion, isChunkedTooEarly = codings > 0 && oldVersion;
  if (hosts > 1 || isHostless || lengths + codings > 1 || isChunkedTooEarly) return refuse(badRequest);
  isChunked = codings == 1;
  if (isChunked != ((parserFlags & F_CHUNKED) != 0)) return refuse(badRequest);
  keepable = !(parserFlags & F_CONNECTION_CLOSE) && (!oldVersion || (parserFlags & F_CONNECTION_KEEP_ALIVE));
  if (bodyLeft > requestLimits.maxBodyBytes) return refuse(bodyTooLarge);
  chunkPart = ChunkPart::size;
  chunkExcess = trailerBytes = 0;
  return Progress::whole;
}

bool RequestReader::awaitsContinue() const {
  if (!in.empty() || !request.body.empty() || oldVersion) return false;
  const auto* expected = findHeader(request.headers, "Expect");
  return expected && equalIgnoringCase(*expected, "100-continue");
}

RequestReader::Progress RequestReader::takeWholeBody() {
  if (request.body.capacity() < bodyLeft && request.body.empty()) request.body.reserve(bodyLeft);
  auto size = static_cast<std::size_t>(std::min<std::uint64_t>(bodyLeft, in.size()));
  request.body.append(in, 0, size);
  in.erase(0, size);
  bodyLeft -= size;
  return bodyLeft == 0 ? Progress::whole : Progress::part;
}

RequestReader::Progress RequestReader::takeChunks() {
  std::string_view left(in);
  std::optional<Progress> progress;
  while (!progress) progress = chunkPart == ChunkPart::data ? takeChunkData(left) : takeChunkLine(left);
  if (*progress != Progress::refused) in.erase(0, in.size() - left.size());
  return *progress;
}

std::optional<RequestReader::Progress> RequestReader::takeChunkData(std::string_view& left) {
  auto size = static_cast<std::size_t>(std::min<std::uint64_t>(bodyLeft, left.size()));
  request.body.append(left.data(), size);
  left.remove_prefix(size);
  bodyLeft -= size;
  if (bodyLeft > 0) return Progress::part;
  chunkPart = ChunkPart::dataEnd;
  return std::nullopt;
}

std::size_t RequestReader::longestChunkLine() const {
  switch (chunkPart) {
    case ChunkPart::trailer:
      return requestLimits.maxHeaderBytes - trailerBytes;
    case ChunkPart::size:
      return chunkLineBytes;
    default:
      return 2;
  }
}

std::optional<RequestReader::Progress> RequestReader::takeChunkLine(std::string_view& left) {
  auto feed = left.find('\n');
  bool isWhole = feed != std::string_view::npos;
  if ((isWhole ? feed + 1 : left.size()) > longestChunkLine())
    return refuse(chunkPart == ChunkPart::trailer ? headTooLarge : badRequest);
  if (!isWhole) {
    bool isBroken = chunkPart == ChunkPart::dataEnd && !left.empty() && left[0] != '\r';
    return isBroken ? refuse(badRequest) : Progress::part;
  }
  if (feed == 0 || left[feed - 1] != '\r') return refuse(badRequest);
  auto line = left.substr(0, feed - 1);
  left.remove_prefix(feed + 1);
  if (chunkPart == ChunkPart::size) return takeSizeLine(line);
  if (chunkPart == ChunkPart::trailer) return takeTrailerLine(line);
  if (!line.empty()) return refuse(badRequest);
  chunkPart = ChunkPart::size;
  return std::nullopt;
}

std::optional<RequestReader::Progress> RequestReader::takeTrailerLine(std::string_view line) {
  trailerBytes += line.size() + 2;
  if (line.empty()) return Progress::whole;
  if (!isFieldLine(line)) return refuse(badRequest);
  return std::nullopt;
}

/// A client that sends far more bytes of chunk lines than of data is refused.
std::optional<RequestReader::Progress> RequestReader::takeSizeLine(std::string_view line) {
  auto size = readChunkSize(line);
  if (!size) return refuse(badRequest);
  if (*size > requestLimits.maxBodyBytes - request.body.size()) return refuse(bodyTooLarge);
  std::size_t excess = chunkExcess + line.size() + 2;
  std::size_t fair = fairChunkOverhead + fairChunkShare * static_cast<std::size_t>(*size);
  chunkExcess = excess > fair ? excess - fair : 0;
  if (chunkExcess > chunkExcessBytes) return refuse(badRequest);
  bodyLeft = *size;
  chunkPart = *size == 0 ? ChunkPart::trailer : ChunkPart::data;
  return std::nullopt;
}

}  // namespace tt
