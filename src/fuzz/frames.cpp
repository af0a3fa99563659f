#include "fuzz.hpp"

namespace tt {
namespace {

/// A random message of the type with this index in the variant.
template <std::size_t at = 1>
Message drawMessage(Filler& filler, std::size_t wanted) {
  if constexpr (at < std::variant_size_v<Message>) {
    if (wanted != at) return drawMessage<at + 1>(filler, wanted);
    std::variant_alternative_t<at, Message> made{};
    serializeField(filler, made);
    return made;
  } else {
    return std::monostate{};
  }
}

std::string drawFrame(Mutator& mutator) {
  Filler filler(mutator);
  return encodeMessage(drawMessage(filler, 1 + mutator.randomBelow(std::variant_size_v<Message> - 1)));
}
template <class T>
T drawn(Mutator& mutator) {
  Filler filler(mutator);
  T made{};
  serializeField(filler, made);
  return made;
}

/// Decoding must not allocate much more memory than its input is long, whatever sizes the input claims. Lists of small
/// items take up to about thirty times their encoded size.
constexpr std::size_t memoryPerByte = 64, memoryAtLeast = 16 * 1024;

template <class Decode, class Encode>
FuzzOutcome tryBytes(const std::string& bytes, Decode decode, Encode encode) {
  std::size_t before = allocatedBytes();
  auto read = decode(bytes);
  std::size_t spent = allocatedBytes() - before;
  if (spent > memoryAtLeast + memoryPerByte * bytes.size())
    return broken("decoding " + std::to_string(bytes.size()) + " bytes allocated " + std::to_string(spent) + " bytes",
                  bytes);
  if (!read) return rejectedWith(read.error(), bytes);
  std::string written = encode(read.value());
  auto again = decode(written);
  if (!again) return broken("the encoded form cannot be decoded", bytes);
  if (encode(again.value()) != written) return broken("the encoded form differs when decoded and encoded again", bytes);
  return accepted();
}

FuzzOutcome tryFrame(Mutator& mutator) {
  std::string good = drawFrame(mutator);
  if (auto read = decodeMessage(good); !read || encodeMessage(read.value()) != good)
    return broken("a message differs after it was encoded and decoded", good);
  return tryBytes(mutator.bentBytes(good, drawFrame(mutator)), decodeMessage, encodeMessage);
}
FuzzOutcome tryEntry(Mutator& mutator) {
  std::string good = encodeEntry(drawn<LogEntry>(mutator));
  if (auto read = decodeEntry(good); !read || encodeEntry(read.value()) != good)
    return broken("a log entry differs after it was encoded and decoded", good);
  return tryBytes(mutator.bentBytes(good, encodeEntry(drawn<LogEntry>(mutator))), decodeEntry, encodeEntry);
}
FuzzOutcome trySnapshot(Mutator& mutator) {
  std::string good = encodeSnapshot(drawn<Snapshot>(mutator));
  if (auto read = decodeSnapshot(good); !read || encodeSnapshot(read.value()) != good)
    return broken("a snapshot differs after it was encoded and decoded", good);
  return tryBytes(mutator.bentBytes(good, encodeSnapshot(drawn<Snapshot>(mutator))), decodeSnapshot, encodeSnapshot);
}

}  // namespace

void addFrameTargets(FuzzTargets& targets) {
  targets.push_back({"frames", 20000, tryFrame});
  targets.push_back({"entries", 10000, tryEntry});
  targets.push_back({"snapshots", 10000, trySnapshot});
}

}  // namespace tt
