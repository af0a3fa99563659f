#include "http_syntax.hpp"

namespace tt {
namespace {

constexpr std::size_t maxDecimalDigits = 18, maxChunkSizeDigits = 16;

bool isTokenByte(unsigned char byte) {
  if ((byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z')) return true;
  return byte && std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(byte)) != std::string_view::npos;
}

bool isRequestTarget(std::string_view target) {
  if (target.empty() || target.front() != '/') return false;
  for (char character : target)
    if (character <= ' ' || character > '~' || character == '#') return false;
  return true;
}

bool isRequestLine(std::string_view line) {
  auto first = line.find(' ');
  if (first == std::string_view::npos || !isToken(line.substr(0, first))) return false;
  auto second = line.find(' ', first + 1);
  if (second == std::string_view::npos) return false;
  auto target = line.substr(first + 1, second - first - 1), version = line.substr(second + 1);
  return isRequestTarget(target) && (version == "HTTP/1.1" || version == "HTTP/1.0");
}

std::optional<unsigned> hexDigit(char character) {
  if (character >= '0' && character <= '9') return static_cast<unsigned>(character - '0');
  if (character >= 'a' && character <= 'f') return static_cast<unsigned>(character - 'a' + 10);
  if (character >= 'A' && character <= 'F') return static_cast<unsigned>(character - 'A' + 10);
  return std::nullopt;
}

}  // namespace

bool isToken(std::string_view text) {
  for (char character : text)
    if (!isTokenByte(static_cast<unsigned char>(character))) return false;
  return !text.empty();
}

bool isControl(unsigned char byte) { return (byte < 0x20 && byte != '\t') || byte == 0x7f; }

bool containsControl(std::string_view text) {
  for (char character : text)
    if (isControl(static_cast<unsigned char>(character))) return true;
  return false;
}

std::string_view trimWhitespace(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

bool isFieldLine(std::string_view line) {
  auto colon = line.find(':');
  return colon != std::string_view::npos && isToken(line.substr(0, colon)) && !containsControl(line.substr(colon + 1));
}

bool isRequestHead(std::string_view head) {
  auto end = head.find("\r\n");
  if (!isRequestLine(head.substr(0, end))) return false;
  for (head.remove_prefix(end + 2); (end = head.find("\r\n")) != 0; head.remove_prefix(end + 2))
    if (end == std::string_view::npos || !isFieldLine(head.substr(0, end))) return false;
  return head.size() == 2;
}

bool isHost(std::string_view host) {
  for (char character : host)
    if (character <= ' ' || character > '~' ||
        std::string_view(",/\\@?#<>\"").find(character) != std::string_view::npos)
      return false;
  return true;
}

std::optional<std::uint64_t> parseDecimal(std::string_view text) {
  if (text.empty() || text.size() > maxDecimalDigits) return std::nullopt;
  std::uint64_t number = 0;
  for (char character : text) {
    if (character < '0' || character > '9') return std::nullopt;
    number = number * 10 + static_cast<std::uint64_t>(character - '0');
  }
  return number;
}

std::optional<std::uint64_t> parseChunkSize(std::string_view line) {
  std::uint64_t size = 0;
  std::size_t digits = 0;
  for (; digits < line.size(); ++digits) {
    auto value = hexDigit(line[digits]);
    if (!value) break;
    size = size << 4 | *value;
  }
  if (digits == 0 || digits > maxChunkSizeDigits) return std::nullopt;
  if (digits < line.size() && (line[digits] != ';' || containsControl(line.substr(digits)))) return std::nullopt;
  return size;
}

}  // namespace tt
