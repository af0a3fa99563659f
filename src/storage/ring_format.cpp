#include "ring_format.hpp"

#include <boost/crc.hpp>
#include <cstring>

namespace tt {
namespace {

/// The magic numbers at the start of a batch and of a record in the legacy format.
constexpr std::uint32_t batchMagic = 0x54544c5a;
constexpr std::uint32_t legacyMagic = 0x54544c59;

struct BatchHeader {
  std::uint32_t magic, rotations;
  std::uint64_t generation, sequence, syncedGeneration, syncedSequence;
  std::uint32_t length, checksum;
};
struct LegacyHeader {
  std::uint32_t magic, kind;
  std::uint64_t generation, sequence;
  std::uint32_t length, checksum;
};
/// Precedes each record within a batch.
struct RecordHeader {
  std::uint32_t kind, length;
};

template <class Header>
std::uint32_t checksumOf(Header header, std::string_view bytes) {
  header.checksum = 0;
  boost::crc_32_type crc;
  crc.process_bytes(&header, sizeof header);
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

template <class Header>
void appendHeader(std::string& bytes, const Header& header) {
  bytes.append(reinterpret_cast<const char*>(&header), sizeof header);
}

template <class Header>
std::string prependHeader(Header header, std::string_view body) {
  header.length = static_cast<std::uint32_t>(body.size());
  header.checksum = checksumOf(header, body);
  std::string bytes;
  bytes.reserve(sizeof header + body.size());
  appendHeader(bytes, header);
  bytes.append(body);
  return bytes;
}

/// The header at an offset, if its body lies within the bytes and the checksum matches.
template <class Header>
std::optional<Header> validHeaderAt(const std::string& bytes, std::size_t offset, std::uint32_t magic) {
  if (offset + sizeof(Header) > bytes.size()) return std::nullopt;
  Header header;
  std::memcpy(&header, bytes.data() + offset, sizeof header);
  if (header.magic != magic || header.length > bytes.size() - offset - sizeof header) return std::nullopt;
  auto body = std::string_view(bytes).substr(offset + sizeof header, header.length);
  if (checksumOf(header, body) != header.checksum) return std::nullopt;
  return header;
}

std::optional<std::vector<Record>> decodeRecords(std::string_view body) {
  std::vector<Record> records;
  while (!body.empty()) {
    RecordHeader header;
    if (body.size() < sizeof header) return std::nullopt;
    std::memcpy(&header, body.data(), sizeof header);
    body.remove_prefix(sizeof header);
    if (header.length > body.size()) return std::nullopt;
    records.push_back(Record{static_cast<RecordKind>(header.kind), std::string(body.substr(0, header.length))});
    body.remove_prefix(header.length);
  }
  return records;
}

/// The offset of the next magic number after an offset. The two formats' magic numbers differ only in their first byte.
std::size_t findNextMagic(const std::string& bytes, std::size_t offset) {
  std::string commonBytes(reinterpret_cast<const char*>(&batchMagic) + 1, sizeof batchMagic - 1);
  for (std::size_t found = bytes.find(commonBytes, offset + 2); found != std::string::npos;
       found = bytes.find(commonBytes, found + 1))
    if (hasMagicAt(bytes, found - 1)) return found - 1;
  return std::string::npos;
}

}  // namespace

std::string encodeBatch(const BatchInfo& info, const std::vector<Record>& records) {
  std::string body;
  for (const auto& record : records) {
    appendHeader(
        body, RecordHeader{static_cast<std::uint32_t>(record.kind), static_cast<std::uint32_t>(record.bytes.size())});
    body += record.bytes;
  }
  BatchHeader header{
      batchMagic, info.rotations, info.generation, info.sequence, info.syncedGeneration, info.syncedSequence, 0, 0};
  return prependHeader(header, body);
}

std::string encodeLegacyRecord(std::uint64_t generation, std::uint64_t sequence, const Record& record) {
  LegacyHeader header{legacyMagic, static_cast<std::uint32_t>(record.kind), generation, sequence, 0, 0};
  return prependHeader(header, record.bytes);
}

bool hasMagicAt(const std::string& bytes, std::size_t offset) {
  std::uint32_t magic = 0;
  if (offset + sizeof magic <= bytes.size()) std::memcpy(&magic, bytes.data() + offset, sizeof magic);
  return magic == batchMagic || magic == legacyMagic;
}

std::optional<StoredBatch> batchAt(const std::string& bytes, std::size_t offset) {
  StoredBatch batch;
  if (auto header = validHeaderAt<BatchHeader>(bytes, offset, batchMagic)) {
    batch.end = offset + sizeof *header + header->length;
    auto records = decodeRecords(std::string_view(bytes).substr(offset + sizeof *header, header->length));
    if (!records) return std::nullopt;
    batch.records = std::move(*records);
    batch.info = BatchInfo{header->generation, header->sequence, header->syncedGeneration, header->syncedSequence,
                           header->rotations};
    return batch;
  }
  if (auto header = validHeaderAt<LegacyHeader>(bytes, offset, legacyMagic)) {
    batch.end = offset + sizeof *header + header->length;
    batch.records.push_back(
        Record{static_cast<RecordKind>(header->kind), bytes.substr(offset + sizeof *header, header->length)});
    batch.info.generation = header->generation;
    batch.info.sequence = header->sequence;
    batch.legacy = true;
    return batch;
  }
  return std::nullopt;
}

std::vector<StoredBatch> findBatches(const std::string& bytes, std::size_t offset) {
  std::vector<StoredBatch> found;
  std::size_t start = hasMagicAt(bytes, offset) ? offset : findNextMagic(bytes, offset);
  while (start != std::string::npos) {
    if (auto batch = batchAt(bytes, start)) {
      batch->records.clear();
      found.push_back(std::move(*batch));
    }
    start = findNextMagic(bytes, start);
  }
  return found;
}

}  // namespace tt
