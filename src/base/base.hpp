#pragma once
#include <array>
#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/result.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

namespace tt {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using namespace std::chrono_literals;

/// Numbered result codes; the table is codes.def and docs/codes.md is made from it.
enum class Code : int {
#define TT_CODE(number, name, text, status) name = number,
#include "codes.def"
#undef TT_CODE
};

/// The short name of a code.
const char* codeName(Code code);
/// What a code means, in one sentence.
const char* codeText(Code code);
/// The HTTP status that a code is sent with.
int codeStatus(Code code);
/// The whole table in Markdown, as docs/codes.md holds it.
std::string codeTable();

/// Why something was not done: a code, the field or thing it is about, and a short sentence.
struct Error {
  Code code{Code::done};
  std::string subject;
  std::string text;
};
template <class T>
using Result = boost::outcome_v2::unchecked<T, Error>;
/// Makes a fault, using the code's own text where no other is given.
Error fault(Code code, std::string subject = {}, std::string text = {});

/// A block's chained hash: 128 bits of SHA-256.
struct BlockHash {
  std::uint64_t high{0};
  std::uint64_t low{0};
  bool operator==(const BlockHash& other) const { return high == other.high && low == other.low; }
  bool operator<(const BlockHash& other) const { return high != other.high ? high < other.high : low < other.low; }
  std::string hex() const;
  static std::optional<BlockHash> parse(std::string_view text);
};
struct BlockHashHasher {
  std::size_t operator()(const BlockHash& hash) const { return hash.low; }
};

/// SHA-256 of some bytes, as lower-case hex.
std::string sha256Hex(std::string_view bytes);
/// The first 128 bits of SHA-256 of some bytes.
BlockHash sha256Block(std::string_view bytes);
/// A stable 64-bit mix of two names, for rendezvous hashing.
std::uint64_t rendezvousHash(std::string_view one, std::string_view other);

constexpr std::size_t blockBytes = 128;
/// Lays a prompt's parts out as one run of bytes in which part ends cannot be forged.
std::string encodePromptParts(const std::vector<std::string>& parts);
/// The chained hashes of a prompt's whole blocks, seeded by model, weights and tenant domain.
std::vector<BlockHash> hashPrompt(const std::vector<std::string>& parts, std::string_view salt);
/// The seed and cache salt of a model, weight version and tenant domain.
std::string cacheSalt(std::string_view model, std::string_view weights, std::string_view domain);
/// The hash of one part of a prompt that is told by its id, seeded by a salt.
BlockHash hashPromptPart(std::string_view salt, std::string_view partId);
/// Cuts a prompt so that it covers just its first blocks.
std::vector<std::string> truncatePrompt(const std::vector<std::string>& parts, std::size_t blocks);

/// Milliseconds of a span.
inline std::int64_t toMilliseconds(Duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}
inline std::int64_t toNanoseconds(TimePoint moment) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(moment.time_since_epoch()).count();
}
inline TimePoint fromNanoseconds(std::int64_t ns) { return TimePoint(std::chrono::nanoseconds(ns)); }

}  // namespace tt
