#include "fuzz.hpp"

namespace tt {
namespace {

/// A random message of the type with this index in the variant.
template <std::size_t at = 1>
Message randomMessage(RandomFiller& filler, std::size_t variantIndex) {
  if constexpr (at < std::variant_size_v<Message>) {
    if (variantIndex != at) return randomMessage<at + 1>(filler, variantIndex);
    std::variant_alternative_t<at, Message> message{};
    serializeField(filler, message);
    return message;
  } else {
    return std::monostate{};
  }
}

std::string randomFrame(Mutator& mutator) {
  RandomFiller filler(mutator);
  return encodeMessage(randomMessage(filler, 1 + mutator.randomBelow(std::variant_size_v<Message> - 1)));
}
template <class T>
T randomValue(Mutator& mutator) {
  RandomFiller filler(mutator);
  T value{};
  serializeField(filler, value);
  return value;
}

/// Decoding must not allocate much more memory than its input is long, whatever sizes the input claims. Lists of small
/// items take up to about thirty times their encoded size. Allocations up to minAllocationLimit are always accepted.
constexpr std::size_t maxAllocationPerByte = 64, minAllocationLimit = 16 * 1024;

/// Checks the allocation limit, and that accepted bytes have the same encoded form after a round trip.
template <class Decode, class Encode>
FuzzOutcome tryBytes(const std::string& bytes, Decode decode, Encode encode) {
  std::size_t before = allocatedBytes();
  auto read = decode(bytes);
  std::size_t allocated = allocatedBytes() - before;
  if (allocated > minAllocationLimit + maxAllocationPerByte * bytes.size())
    return broken(
        "decoding " + std::to_string(bytes.size()) + " bytes allocated " + std::to_string(allocated) + " bytes", bytes);
  if (!read) return rejectedWith(read.error(), bytes);
  std::string encoded = encode(read.value());
  auto reread = decode(encoded);
  if (!reread) return broken("the encoded form cannot be decoded", bytes);
  if (encode(reread.value()) != encoded)
    return broken("the encoded form differs when decoded and encoded again", bytes);
  return accepted();
}

FuzzOutcome tryFrame(Mutator& mutator) {
  std::string valid = randomFrame(mutator);
  if (auto read = decodeMessage(valid); !read || encodeMessage(read.value()) != valid)
    return broken("a message differs after it was encoded and decoded", valid);
  return tryBytes(mutator.mutatedBytes(valid, randomFrame(mutator)), decodeMessage, encodeMessage);
}
FuzzOutcome tryEntry(Mutator& mutator) {
  std::string valid = encodeEntry(randomValue<LogEntry>(mutator));
  if (auto read = decodeEntry(valid); !read || encodeEntry(read.value()) != valid)
    return broken("a log entry differs after it was encoded and decoded", valid);
  return tryBytes(mutator.mutatedBytes(valid, encodeEntry(randomValue<LogEntry>(mutator))), decodeEntry, encodeEntry);
}
FuzzOutcome trySnapshot(Mutator& mutator) {
  std::string valid = encodeSnapshot(randomValue<Snapshot>(mutator));
  if (auto read = decodeSnapshot(valid); !read || encodeSnapshot(read.value()) != valid)
    return broken("a snapshot differs after it was encoded and decoded", valid);
  return tryBytes(mutator.mutatedBytes(valid, encodeSnapshot(randomValue<Snapshot>(mutator))), decodeSnapshot,
                  encodeSnapshot);
}

}  // namespace

void addFrameTargets(FuzzTargets& targets) {
  targets.push_back({"frames", 20000, tryFrame});
  targets.push_back({"entries", 10000, tryEntry});
  targets.push_back({"snapshots", 10000, trySnapshot});
}

}  // namespace tt
