#include "response_framing.hpp"

#include <http_parser.h>
#include <cstdio>

#include "http_syntax.hpp"

namespace tt {
namespace {

constexpr int noContent = 204, notModified = 304, serverError = 500;
constexpr int minStatus = 200, maxStatus = 599;

/// Hop-by-hop header fields. The server sets its own.
bool isHopByHop(std::string_view name) {
  for (auto other : {"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "TE", "Trailer", "Upgrade"})
    if (equalIgnoringCase(name, other)) return true;
  return name.size() >= 6 && equalIgnoringCase(name.substr(0, 6), "Proxy-");
}

const char* reasonPhrase(int status) {
  const char* reason = http_status_str(static_cast<http_status>(status));
  if (reason[0] != '<') return reason;
  return status < 300 ? "Success" : status < 400 ? "Redirection" : status < 500 ? "Client Error" : "Server Error";
}

std::string statusLine(int status) {
  return "HTTP/1.1 " + std::to_string(status) + " " + reasonPhrase(status) + "\r\n";
}

void appendField(std::string& text, std::string_view name, std::string_view value) {
  text += name;
  text += ": ";
  text += value;
  text += "\r\n";
}

}  // namespace

void ResponseFraming::start(int status, std::optional<std::size_t> length, RequestTraits request) {
  statusCode = status < minStatus || status > maxStatus ? serverError : status;
  statusForbidsBody = statusCode == noContent || statusCode == notModified;
  isHttp10 = request.isHttp10;
  bodyLength = length;
  bytesLeft = length.value_or(0);
  if (statusForbidsBody || request.isHead || (length && *length == 0))
    body = Body::empty;
  else if (length)
    body = Body::length;
  else
    body = isHttp10 ? Body::untilClose : Body::chunks;
}

void ResponseFraming::reset() { body = Body::unstarted; }

std::string ResponseFraming::head(const HttpHeaders& headers, KeepAlive keepAlive) {
  std::string text = statusLine(statusCode);
  for (const auto& [name, value] : headers)
    if (!isHopByHop(name) && isToken(name) && !containsControl(value)) appendField(text, name, value);
  if (bodyLength && !statusForbidsBody)
    appendField(text, "Content-Length", std::to_string(*bodyLength));
  else if (!statusForbidsBody && !isHttp10)
    appendField(text, "Transfer-Encoding", "chunked");
  appendField(text, "Connection", keepAlive.enabled ? "keep-alive" : "close");
  if (keepAlive.enabled && keepAlive.timeout.count() > 0)
    appendField(text, "Keep-Alive", "timeout=" + std::to_string(keepAlive.timeout.count()));
  if (body == Body::empty)
    finalBytes = "\r\n";
  else
    text += "\r\n";
  if (body == Body::chunks) finalBytes = "0\r\n\r\n";
  return text;
}

std::optional<FramedBytes> ResponseFraming::frame(std::string_view bytes) {
  if (body == Body::length) {
    if (bytes.size() > bytesLeft) return std::nullopt;
    bytesLeft -= bytes.size();
    if (bytesLeft > 0) return FramedBytes{{}, bytes, {}};
    finalBytes = bytes.back();
    bytes.remove_suffix(1);
    return FramedBytes{{}, bytes, {}};
  }
  if (body == Body::chunks) {
    char size[2 * sizeof(std::size_t) + 3];
    auto written = static_cast<std::size_t>(std::snprintf(size, sizeof size, "%zx\r\n", bytes.size()));
    return FramedBytes{std::string(size, written), bytes, "\r\n"};
  }
  return FramedBytes{{}, bytes, {}};
}

std::string errorResponse(int status) { return statusLine(status) + "Connection: close\r\nContent-Length: 0\r\n\r\n"; }

}  // namespace tt
