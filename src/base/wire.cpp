/// The binary form of messages, snapshots, entries and rejections: a 16-bit number of the type (0 for structs that are
/// not messages), then the fields in order. Strings and lists begin with a 32-bit count. Numbers are in the byte order
/// of the machine, which must be little-endian.

#include <boost/archive/binary_iarchive.hpp>
#include <boost/archive/binary_oarchive.hpp>
#include <streambuf>

#include "messages.hpp"

namespace tt {
namespace {

/// Reads bytes without copying them; they must outlive it.
class FrameSource : public std::streambuf {
 public:
  explicit FrameSource(std::string_view frame) {
    char* start = const_cast<char*>(frame.data());
    setg(start, start, start + frame.size());
  }
  std::size_t remaining() const { return static_cast<std::size_t>(egptr() - gptr()); }
};
/// Collects what is written in a string.
class FrameSink : public std::streambuf {
 public:
  std::string bytes;

 protected:
  int overflow(int character) override {
    bytes.push_back(static_cast<char>(character));
    return character;
  }
  std::streamsize xsputn(const char* start, std::streamsize count) override {
    bytes.append(start, static_cast<std::size_t>(count));
    return count;
  }
};

using Encoder = boost::archive::binary_oarchive;
using Decoder = boost::archive::binary_iarchive;
constexpr auto archiveFlags = boost::archive::no_header | boost::archive::no_codecvt | boost::archive::no_tracking;

template <class T>
struct IsVector : std::false_type {};
template <class T>
struct IsVector<std::vector<T>> : std::true_type {};

}  // namespace

/// While loading, strings grow by at most 4096 bytes at a time and lists by one element, so that a frame with a false
/// length fails before much memory is allocated.
template <class Archive, class T>
void serializeField(Archive& archive, T& value) {
  constexpr bool loading = Archive::is_loading::value;
  if constexpr (std::is_same_v<T, std::string>) {
    std::uint32_t size = static_cast<std::uint32_t>(value.size());
    archive& size;
    if constexpr (loading) {
      value.clear();
      while (value.size() < size) {
        std::size_t start = value.size();
        std::size_t step = std::min<std::size_t>(size - start, 4096);
        value.resize(start + step);
        archive.load_binary(value.data() + start, step);
      }
    } else {
      archive.save_binary(value.data(), value.size());
    }
  } else if constexpr (IsVector<T>::value) {
    std::uint32_t size = static_cast<std::uint32_t>(value.size());
    archive& size;
    if constexpr (loading) {
      value.clear();
      for (std::uint32_t at = 0; at < size; ++at) {
        value.emplace_back();
        serializeField(archive, value.back());
      }
    } else {
      for (auto& item : value) serializeField(archive, item);
    }
  } else if constexpr (std::is_same_v<T, BlockHash>) {
    archive& value.high;
    archive& value.low;
  } else if constexpr (std::is_arithmetic_v<T>) {
    if constexpr (std::is_same_v<T, bool>) {
      std::uint8_t byte = value ? 1 : 0;
      archive& byte;
      value = byte != 0;
    } else {
      archive& value;
    }
  } else {
    value.serialize(archive, 0);
  }
}

namespace {
template <class T>
std::string encode(const T& value, std::uint16_t kind) {
  FrameSink sink;
  {
    Encoder encoder(sink, archiveFlags);
    encoder& kind;
    serializeField(encoder, const_cast<T&>(value));
  }
  return std::move(sink.bytes);
}
/// Missing and surplus bytes are errors.
template <class T>
Result<T> decode(std::string_view bytes) {
  try {
    FrameSource source(bytes);
    Decoder decoder(source, archiveFlags);
    std::uint16_t kind = 0;
    decoder& kind;
    T value{};
    serializeField(decoder, value);
    if (source.remaining() != 0) return makeError(Code::badFrame, "length");
    return value;
  } catch (const std::exception&) {
    return makeError(Code::badFrame, "end");
  }
}
/// Decodes a message whose type is the alternative of Message with the number `kind`. Tries the alternatives from `at`
/// on.
template <std::size_t at = 1>
Result<Message> decodeKind(std::uint16_t kind, std::string_view frame) {
  if constexpr (at < std::variant_size_v<Message>) {
    if (kind != at) return decodeKind<at + 1>(kind, frame);
    auto value = decode<std::variant_alternative_t<at, Message>>(frame);
    if (!value) return value.error();
    return Message(std::move(value).value());
  } else {
    return makeError(Code::badFrame, "kind");
  }
}
constexpr const char* messageNames[] = {"none"
#define TT_MESSAGE_TEXT(Name, fields) , #Name
                                        TT_MESSAGES(TT_MESSAGE_TEXT)};
}  // namespace

const char* messageName(const Message& message) { return messageNames[message.index()]; }

std::string encodeMessage(const Message& message) {
  return std::visit(
      [&](const auto& value) -> std::string {
        if constexpr (std::is_same_v<std::decay_t<decltype(value)>, std::monostate>)
          return {};
        else
          return encode(value, static_cast<std::uint16_t>(message.index()));
      },
      message);
}

Result<Message> decodeMessage(std::string_view frame) {
  if (frame.size() < 2) return makeError(Code::badFrame, "length");
  std::uint16_t kind =
      static_cast<std::uint16_t>(static_cast<unsigned char>(frame[0]) | (static_cast<unsigned char>(frame[1]) << 8));
  return decodeKind<>(kind, frame);
}

std::string encodeSnapshot(const Snapshot& snapshot) { return encode(snapshot, 0); }
Result<Snapshot> decodeSnapshot(std::string_view bytes) { return decode<Snapshot>(bytes); }
std::string encodeRefusal(const Refusal& refusal) { return encode(refusal, 0); }
Result<Refusal> decodeRefusal(std::string_view bytes) { return decode<Refusal>(bytes); }
std::string encodeEntry(const LogEntry& entry) { return encode(entry, 0); }
Result<LogEntry> decodeEntry(std::string_view bytes) { return decode<LogEntry>(bytes); }

}  // namespace tt
