#include "ring_format.hpp"

#include <boost/crc.hpp>
#include <cstring>

namespace tt {
namespace {

constexpr std::uint32_t markedWord = 0x54544c5a;
constexpr std::uint32_t unmarkedWord = 0x54544c59;

struct MarkedHeader {
  std::uint32_t word, turns;
  std::uint64_t generation, sequence, syncedGeneration, syncedSequence;
  std::uint32_t length, sum;
};
struct UnmarkedHeader {
  std::uint32_t word, kind;
  std::uint64_t generation, sequence;
  std::uint32_t length, sum;
};
/// What stands before each record within a batch.
struct RecordHeader {
  std::uint32_t kind, length;
};

template <class Header>
std::uint32_t sumOf(Header header, std::string_view bytes) {
  header.sum = 0;
  boost::crc_32_type sum;
  sum.process_bytes(&header, sizeof header);
  sum.process_bytes(bytes.data(), bytes.size());
  return sum.checksum();
}

template <class Header>
void appendHeader(std::string& bytes, const Header& header) {
  bytes.append(reinterpret_cast<const char*>(&header), sizeof header);
}

template <class Header>
std::string withHeader(Header header, std::string_view body) {
  header.length = static_cast<std::uint32_t>(body.size());
  header.sum = sumOf(header, body);
  std::string bytes;
  bytes.reserve(sizeof header + body.size());
  appendHeader(bytes, header);
  bytes.append(body);
  return bytes;
}

/// The header at an offset, if what it tells of lies within the bytes and its sum fits.
template <class Header>
std::optional<Header> soundHeaderAt(const std::string& bytes, std::size_t offset, std::uint32_t word) {
  if (offset + sizeof(Header) > bytes.size()) return std::nullopt;
  Header header;
  std::memcpy(&header, bytes.data() + offset, sizeof header);
  if (header.word != word || header.length > bytes.size() - offset - sizeof header) return std::nullopt;
  auto body = std::string_view(bytes).substr(offset + sizeof header, header.length);
  if (sumOf(header, body) != header.sum) return std::nullopt;
  return header;
}

std::optional<std::vector<Record>> unpackRecords(std::string_view body) {
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

/// Where the next batch's first word stands behind an offset. Both formats' words differ in their first byte only.
std::size_t nextBatchWord(const std::string& bytes, std::size_t offset) {
  std::string shared(reinterpret_cast<const char*>(&markedWord) + 1, sizeof markedWord - 1);
  for (std::size_t found = bytes.find(shared, offset + 2); found != std::string::npos;
       found = bytes.find(shared, found + 1))
    if (batchBeginsAt(bytes, found - 1)) return found - 1;
  return std::string::npos;
}

}  // namespace

std::string packBatch(const BatchMark& mark, const std::vector<Record>& records) {
  std::string body;
  for (const auto& record : records) {
    appendHeader(
        body, RecordHeader{static_cast<std::uint32_t>(record.kind), static_cast<std::uint32_t>(record.bytes.size())});
    body += record.bytes;
  }
  MarkedHeader header{
      markedWord, mark.turns, mark.generation, mark.sequence, mark.syncedGeneration, mark.syncedSequence, 0, 0};
  return withHeader(header, body);
}

std::string packUnmarked(std::uint64_t generation, std::uint64_t sequence, const Record& record) {
  UnmarkedHeader header{unmarkedWord, static_cast<std::uint32_t>(record.kind), generation, sequence, 0, 0};
  return withHeader(header, record.bytes);
}

bool batchBeginsAt(const std::string& bytes, std::size_t offset) {
  std::uint32_t word = 0;
  if (offset + sizeof word <= bytes.size()) std::memcpy(&word, bytes.data() + offset, sizeof word);
  return word == markedWord || word == unmarkedWord;
}

std::optional<StoredBatch> soundBatchAt(const std::string& bytes, std::size_t offset) {
  StoredBatch batch;
  if (auto header = soundHeaderAt<MarkedHeader>(bytes, offset, markedWord)) {
    batch.end = offset + sizeof *header + header->length;
    auto records = unpackRecords(std::string_view(bytes).substr(offset + sizeof *header, header->length));
    if (!records) return std::nullopt;
    batch.records = std::move(*records);
    batch.mark = BatchMark{header->generation, header->sequence, header->syncedGeneration, header->syncedSequence,
                           header->turns};
    return batch;
  }
  if (auto header = soundHeaderAt<UnmarkedHeader>(bytes, offset, unmarkedWord)) {
    batch.end = offset + sizeof *header + header->length;
    batch.records.push_back(
        Record{static_cast<RecordKind>(header->kind), bytes.substr(offset + sizeof *header, header->length)});
    batch.mark.generation = header->generation;
    batch.mark.sequence = header->sequence;
    batch.unmarked = true;
    return batch;
  }
  return std::nullopt;
}

std::vector<StoredBatch> soundBatchesFrom(const std::string& bytes, std::size_t offset) {
  std::vector<StoredBatch> found;
  std::size_t at = batchBeginsAt(bytes, offset) ? offset : nextBatchWord(bytes, offset);
  while (at != std::string::npos) {
    if (auto batch = soundBatchAt(bytes, at)) {
      batch->records.clear();
      found.push_back(std::move(*batch));
    }
    at = nextBatchWord(bytes, at);
  }
  return found;
}

}  // namespace tt
