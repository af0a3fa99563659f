#include "base.hpp"

#include <openssl/evp.h>

#include <cstdio>
#include <cstring>

namespace tt {

namespace {
struct CodeRow {
  int number;
  const char* name;
  const char* text;
  int status;
};
constexpr CodeRow codeRows[] = {
#define TT_CODE(number, name, text, status) {number, #name, text, status},
#include "codes.def"
#undef TT_CODE
};
/// Returns the row of a code, or row 0 if the number is not in the table.
const CodeRow& rowOf(Code code) {
  for (const auto& row : codeRows)
    if (row.number == static_cast<int>(code)) return row;
  return codeRows[0];
}
std::array<unsigned char, 32> sha256(std::string_view bytes) {
  std::array<unsigned char, 32> sum{};
  unsigned int length = 0;
  EVP_Digest(bytes.data(), bytes.size(), sum.data(), &length, EVP_sha256(), nullptr);
  return sum;
}
/// Returns the value of a lower-case hexadecimal digit, or -1 for any other character.
int hexDigitValue(char digit) {
  if (digit >= '0' && digit <= '9') return digit - '0';
  if (digit >= 'a' && digit <= 'f') return digit - 'a' + 10;
  return -1;
}
}  // namespace

const char* codeName(Code code) { return rowOf(code).name; }
const char* codeText(Code code) { return rowOf(code).text; }
int codeStatus(Code code) { return rowOf(code).status; }

std::string codeTable() {
  std::string table = "| code | name | meaning | HTTP status |\n|---|---|---|---|\n";
  for (const auto& row : codeRows)
    table += "| " + std::to_string(row.number) + " | " + row.name + " | " + row.text + " | " +
             std::to_string(row.status) + " |\n";
  return table;
}

Error makeError(Code code, std::string subject, std::string text) {
  if (text.empty()) text = codeText(code);
  if (subject.empty() && code == Code::unknownField) subject = "\"\"";
  return Error{code, std::move(subject), std::move(text)};
}

std::string BlockHash::hex() const {
  char text[33];
  std::snprintf(text, sizeof text, "%016llx%016llx", static_cast<unsigned long long>(high),
                static_cast<unsigned long long>(low));
  return text;
}

std::optional<BlockHash> BlockHash::parse(std::string_view text) {
  if (text.size() != 32) return std::nullopt;
  BlockHash hash;
  for (std::size_t at = 0; at < 32; ++at) {
    int value = hexDigitValue(text[at]);
    if (value < 0) return std::nullopt;
    auto& half = at < 16 ? hash.high : hash.low;
    half = (half << 4) | static_cast<std::uint64_t>(value);
  }
  return hash;
}

std::string sha256Hex(std::string_view bytes) {
  std::string text;
  for (unsigned char byte : sha256(bytes)) {
    char pair[3];
    std::snprintf(pair, sizeof pair, "%02x", byte);
    text += pair;
  }
  return text;
}

BlockHash sha256Block(std::string_view bytes) {
  auto sum = sha256(bytes);
  BlockHash hash;
  for (int at = 0; at < 8; ++at) hash.high = (hash.high << 8) | sum[at];
  for (int at = 8; at < 16; ++at) hash.low = (hash.low << 8) | sum[at];
  return hash;
}

/// FNV-1a with another offset basis over both names, each followed by the byte 0xff, which does not occur in UTF-8
/// text; then the 64-bit finalizer of MurmurHash3.
std::uint64_t rendezvousHash(std::string_view one, std::string_view other) {
  std::uint64_t mixed = 1469598103934665603ULL;
  auto mixIn = [&](std::string_view text) {
    for (unsigned char byte : text) mixed = (mixed ^ byte) * 1099511628211ULL;
    mixed = (mixed ^ 0xff) * 1099511628211ULL;
  };
  mixIn(one);
  mixIn(other);
  mixed ^= mixed >> 33;
  mixed *= 0xff51afd7ed558ccdULL;
  mixed ^= mixed >> 33;
  mixed *= 0xc4ceb9fe1a85ec53ULL;
  return mixed ^ (mixed >> 33);
}

/// Each part ends with 0x1e. Within a part, 0x1e is encoded as 0x1f 0x01 and 0x1f as 0x1f 0x02.
std::string encodePromptParts(const std::vector<std::string>& parts) {
  std::string encoded;
  for (const auto& part : parts) {
    for (char byte : part) {
      if (byte == '\x1e')
        encoded += "\x1f\x01";
      else if (byte == '\x1f')
        encoded += "\x1f\x02";
      else
        encoded += byte;
    }
    encoded += '\x1e';
  }
  return encoded;
}

std::vector<BlockHash> hashPrompt(const std::vector<std::string>& parts, std::string_view salt) {
  std::string encoded = encodePromptParts(parts);
  std::vector<BlockHash> hashes;
  BlockHash last = sha256Block(salt);
  for (std::size_t at = 0; at + blockBytes <= encoded.size(); at += blockBytes) {
    std::string chained(reinterpret_cast<const char*>(&last), sizeof last);
    chained.append(encoded, at, blockBytes);
    last = sha256Block(chained);
    hashes.push_back(last);
  }
  return hashes;
}

std::string cacheSalt(std::string_view model, std::string_view weights, std::string_view domain) {
  std::string seed;
  for (auto word : {model, weights, domain}) seed += std::to_string(word.size()) + ":" + std::string(word) + ";";
  return sha256Hex(seed);
}

BlockHash hashPromptPart(std::string_view salt, std::string_view partId) {
  std::string seed(salt);
  seed += '\n';
  seed += partId;
  return sha256Block(seed);
}

/// Counts bytes of the encoded form (see encodePromptParts): two for an escaped byte, one for the separator after a
/// part.
std::vector<std::string> truncatePrompt(const std::vector<std::string>& parts, std::size_t blocks) {
  std::vector<std::string> truncated;
  std::size_t remainingBytes = blocks * blockBytes;
  for (const auto& part : parts) {
    std::string prefix;
    for (char byte : part) {
      std::size_t width = byte == '\x1e' || byte == '\x1f' ? 2 : 1;
      if (remainingBytes < width) {
        remainingBytes = 0;
        break;
      }
      prefix += byte;
      remainingBytes -= width;
    }
    if (!prefix.empty() || remainingBytes) truncated.push_back(prefix);
    if (remainingBytes == 0) break;
    remainingBytes -= 1;
    if (remainingBytes == 0) break;
  }
  return truncated;
}

}  // namespace tt
