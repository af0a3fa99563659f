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

/// Types and functions that every part of the program uses: time, errors, hashes and prompts.

namespace tt {

/// All time points of the program are on the steady clock, which never jumps. A time point of one process has no
/// meaning in another.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using namespace std::chrono_literals;

/// Numbered result codes. They are defined in codes.def, from which docs/codes.md is generated too.
enum class Code : int {
#define TT_CODE(number, name, text, status) name = number,
#include "codes.def"
#undef TT_CODE
};

/// Returns the identifier of a code, such as "badJson". An unknown number gives the identifier of code 0.
const char* codeName(Code code);
/// Returns a sentence for clients that says what a code means.
const char* codeText(Code code);
/// Returns the HTTP status of a response that carries the code.
int codeStatus(Code code);
/// Returns all codes as a Markdown table; docs/codes.md must hold exactly this text.
std::string codeTable();

/// The reason why an operation failed.
struct Error {
  Code code{Code::done};
  /// The field, file or other thing that the error is about, such as "routes.chat.model".
  std::string subject;
  /// One short sentence for a person.
  std::string text;
};
/// A value or an error. Accessing the one that is absent is undefined behaviour, so callers check first.
template <class T>
using Result = boost::outcome_v2::unchecked<T, Error>;
/// Makes an error. The default text is the one of the code. If a field with an empty name is unknown, the subject is
/// `""`, so that a client always sees a subject.
Error makeError(Code code, std::string subject = {}, std::string text = {});

/// The chained hash of a block of a prompt: the first 128 bits of a SHA-256 sum.
struct BlockHash {
  std::uint64_t high{0};
  std::uint64_t low{0};
  bool operator==(const BlockHash& other) const { return high == other.high && low == other.low; }
  bool operator<(const BlockHash& other) const { return high != other.high ? high < other.high : low < other.low; }
  /// Returns 32 lower-case hexadecimal digits.
  std::string hex() const;
  /// Parses the result of hex(). Returns nothing for any other text.
  static std::optional<BlockHash> parse(std::string_view text);
};
/// Hash function for unordered containers. Block hashes are evenly distributed, so 64 of their bits suffice.
struct BlockHashHasher {
  std::size_t operator()(const BlockHash& hash) const { return hash.low; }
};

/// Returns the SHA-256 sum of the bytes as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view bytes);
/// Returns the first 128 bits of the SHA-256 sum of the bytes.
BlockHash sha256Block(std::string_view bytes);
/// Returns a 64-bit hash of an ordered pair of names for rendezvous (highest random weight) hashing. The value is the
/// same on every machine and in every release, since processes must agree on it.
std::uint64_t rendezvousHash(std::string_view one, std::string_view other);

/// The size of one block of an encoded prompt.
constexpr std::size_t blockBytes = 128;
/// Joins the parts of a prompt into one byte string. Each part ends with a separator byte, which is escaped within
/// parts, so that different lists of parts never give the same bytes.
std::string encodePromptParts(const std::vector<std::string>& parts);
/// Returns one hash for each full block of the encoded prompt. Each hash covers the salt (see cacheSalt), the block and
/// all blocks before it, so that equal hashes mean equal prefixes under the same salt.
std::vector<BlockHash> hashPrompt(const std::vector<std::string>& parts, std::string_view salt);
/// Returns the salt under which blocks may be shared. It differs for each combination of model, weights version and
/// tenant domain, so that no cached block is used under other weights or by a tenant of another domain.
std::string cacheSalt(std::string_view model, std::string_view weights, std::string_view domain);
/// Returns the hash of a prompt part that is given by its id instead of its text.
BlockHash hashPromptPart(std::string_view salt, std::string_view partId);
/// Returns the beginning of a prompt, up to the end of its first `blocks` blocks, or all of it if it is shorter.
std::vector<std::string> truncatePrompt(const std::vector<std::string>& parts, std::size_t blocks);

/// Converts a duration to milliseconds, rounding towards 0.
inline std::int64_t toMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}
/// Converts a time point to nanoseconds since the epoch of the steady clock, the form that messages use. Only the
/// process that has sent a time point can interpret it.
inline std::int64_t toNanoseconds(TimePoint time) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count();
}
/// The inverse of toNanoseconds.
inline TimePoint fromNanoseconds(std::int64_t ns) { return TimePoint(std::chrono::nanoseconds(ns)); }

}  // namespace tt
