#pragma once
#include <cstdint>
#include <optional>
#include <string_view>

namespace tt {

/// The grammar of HTTP/1.1 messages, as strict as a server must be whose requests others read again: what two parsers
/// could read differently is refused.

bool isToken(std::string_view text);
/// Whether a byte may not stand in a head, besides the ends of its lines.
bool isControl(unsigned char byte);
bool hasControl(std::string_view text);
/// A text without the spaces and tabs around it.
std::string_view trimmed(std::string_view text);
/// Whether a line is a header field or trailer field, without its line end.
bool isFieldLine(std::string_view line);
/// Whether a head, up to and with its empty line, has the lines that HTTP/1.1 asks for and nothing that parsers read
/// differently.
bool isRequestHead(std::string_view head);
bool isHost(std::string_view host);
/// A decimal number of at most 18 digits.
std::optional<std::uint64_t> readDigits(std::string_view text);
/// The size at the start of a chunk's line; extensions after a semicolon are left alone.
std::optional<std::uint64_t> readChunkSize(std::string_view line);

}  // namespace tt
