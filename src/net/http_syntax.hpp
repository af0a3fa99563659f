#pragma once
#include <cstdint>
#include <optional>
#include <string_view>

namespace tt {

/// Grammar of HTTP/1.1 messages. It is strict, because requests are passed on and parsed again by workers: whatever two
/// parsers could interpret differently (request smuggling) is rejected.

/// Whether a text is a token according to RFC 9110, such as a method or a header name.
bool isToken(std::string_view text);
/// Whether a byte is a control character other than a tab. Within a head these are allowed only as line ends.
bool isControl(unsigned char byte);
bool containsControl(std::string_view text);
/// Strips leading and trailing spaces and tabs.
std::string_view trimWhitespace(std::string_view text);
/// Whether a line, without its line end, is a valid header or trailer field.
bool isFieldLine(std::string_view line);
/// Whether a request head, including the empty line at its end, consists of a valid request line with an absolute path
/// and valid header fields.
bool isRequestHead(std::string_view head);
/// Whether a value of the Host header is valid.
bool isHost(std::string_view host);
/// Parses a decimal number of at most 18 digits, which cannot overflow.
std::optional<std::uint64_t> parseDecimal(std::string_view text);
/// Parses the hexadecimal size at the start of a chunk's size line. Extensions after a semicolon are ignored.
std::optional<std::uint64_t> parseChunkSize(std::string_view line);

}  // namespace tt
