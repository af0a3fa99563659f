#include "ring.hpp"

#include <fstream>
#include <thread>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <boost/crc.hpp>
#include <cerrno>
#include <cstring>

namespace tt {
namespace {

struct Header {
  std::uint32_t magic;
  std::uint32_t kind;
  std::uint64_t generation;
  std::uint64_t sequence;
  std::uint32_t length;
  std::uint32_t sum;
};
constexpr std::uint32_t magicWord = 0x54544c59;

std::uint32_t sumOf(Header header, std::string_view bytes) {
  header.sum = 0;
  boost::crc_32_type sum;
  sum.process_bytes(&header, sizeof header);
  sum.process_bytes(bytes.data(), bytes.size());
  return sum.checksum();
}

struct Scan {
  std::uint64_t generation{0};
  std::uint64_t newestFound{0};
  bool checkpoint{false};
  bool damaged{false};
  bool torn{false};
  std::size_t end{0};
  std::uint64_t nextSequence{1};
  Recovered sum;
};

std::optional<Header> soundAt(const std::string& bytes, std::size_t at) {
  if (at + sizeof(Header) > bytes.size()) return std::nullopt;
  Header header;
  std::memcpy(&header, bytes.data() + at, sizeof header);
  if (header.magic != magicWord || header.length > bytes.size() - at - sizeof header) return std::nullopt;
  if (sumOf(header, std::string_view(bytes).substr(at + sizeof header, header.length)) != header.sum)
    return std::nullopt;
  return header;
}

Scan scanFile(const std::string& bytes) {
  Scan scan;
  std::size_t at = 0;
  while (auto header = soundAt(bytes, at)) {
    if (at == 0) {
      scan.generation = header->generation;
      scan.nextSequence = header->sequence;
    }
    if (header->generation != scan.generation || header->sequence != scan.nextSequence) break;
    Record record{static_cast<RecordKind>(header->kind), bytes.substr(at + sizeof(Header), header->length)};
    if (!scan.sum.fold(record)) {
      scan.damaged = true;
      return scan;
    }
    scan.checkpoint = scan.checkpoint || record.kind == RecordKind::checkpointEnd;
    at += sizeof(Header) + header->length;
    ++scan.nextSequence;
  }
  scan.end = at;
  Header next{};
  if (at + sizeof next <= bytes.size()) std::memcpy(&next, bytes.data() + at, sizeof next);
  scan.torn = next.magic == magicWord && next.generation == scan.generation;
  std::string word(reinterpret_cast<const char*>(&magicWord), sizeof magicWord);
  for (std::size_t found = bytes.find(word, at + 1); found != std::string::npos; found = bytes.find(word, found + 1)) {
    auto header = soundAt(bytes, found);
    if (!header) continue;
    scan.newestFound = std::max(scan.newestFound, header->generation);
    if (header->generation >= scan.generation && header->sequence > scan.nextSequence) scan.damaged = true;
  }
  scan.newestFound = std::max(scan.newestFound, scan.generation);
  return scan;
}

Fault diskFault(const std::string& what) { return fault(Code::diskFault, what, std::strerror(errno)); }

}  // namespace

Result<std::unique_ptr<FolderFiles>> FolderFiles::open(const std::string& folder, int files, std::size_t bytes) {
  std::unique_ptr<FolderFiles> made(new FolderFiles);
  made->fileBytes = bytes;
  if (::mkdir(folder.c_str(), 0755) != 0 && errno != EEXIST) return diskFault(folder);
  for (int number = 0; number < files; ++number) {
    std::string path = folder + "/ring-" + std::to_string(number);
    int handle = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
    if (handle < 0) return diskFault(path);
    made->handles.push_back(handle);
    struct stat facts {};
    if (::fstat(handle, &facts) != 0) return diskFault(path);
    if (static_cast<std::size_t>(facts.st_size) < bytes) {
      if (int error = ::posix_fallocate(handle, 0, static_cast<off_t>(bytes)); error != 0) {
        errno = error;
        return diskFault(path);
      }
      if (::fsync(handle) != 0) return diskFault(path);
    }
  }
  int folderHandle = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folderHandle < 0) return diskFault(folder);
  int synced = ::fsync(folderHandle);
  ::close(folderHandle);
  if (synced != 0) return diskFault(folder);
  return made;
}

FolderFiles::~FolderFiles() {
  for (int handle : handles) ::close(handle);
}

Result<std::string> FolderFiles::readAll(int file) {
  std::string bytes(fileBytes, '\0');
  std::size_t got = 0;
  while (got < fileBytes) {
    ssize_t step = ::pread(handles[file], bytes.data() + got, fileBytes - got, static_cast<off_t>(got));
    if (step < 0 && errno == EINTR) continue;
    if (step < 0) return diskFault("read");
    if (step == 0) break;
    got += static_cast<std::size_t>(step);
  }
  return bytes;
}

Result<void> FolderFiles::write(int file, std::size_t offset, std::string_view bytes) {
  while (!bytes.empty()) {
    ssize_t step = ::pwrite(handles[file], bytes.data(), bytes.size(), static_cast<off_t>(offset));
    if (step < 0 && errno == EINTR) continue;
    if (step <= 0) return diskFault("write");
    bytes.remove_prefix(static_cast<std::size_t>(step));
    offset += static_cast<std::size_t>(step);
  }
  return boost::outcome_v2::success();
}

Result<void> FolderFiles::sync(int file) {
  if (::fdatasync(handles[file]) != 0) return diskFault("sync");
  return boost::outcome_v2::success();
}

std::pair<std::string, int> FaultyFiles::word() const {
  std::pair<std::string, int> said{"well", 0};
  if (file_.empty()) return said;
  std::ifstream source(file_);
  source >> said.first >> said.second;
  return said;
}

Result<void> FaultyFiles::write(int file, std::size_t offset, std::string_view bytes) {
  if (word().first == "full") return fault(Code::diskFault, "write", "no space (tried)");
  return inner.write(file, offset, bytes);
}

Result<void> FaultyFiles::sync(int file) {
  auto said = word();
  if (said.first == "slow") std::this_thread::sleep_for(std::chrono::milliseconds(said.second));
  while (word().first == "stall") std::this_thread::sleep_for(50ms);
  return inner.sync(file);
}

std::string Ring::pack(const Record& record) {
  Header header{magicWord,      static_cast<std::uint32_t>(record.kind),         currentGeneration,
                nextSequence++, static_cast<std::uint32_t>(record.bytes.size()), 0};
  header.sum = sumOf(header, record.bytes);
  return std::string(reinterpret_cast<const char*>(&header), sizeof header) + record.bytes;
}

Result<std::unique_ptr<Ring>> Ring::open(RingFiles& files) {
  std::unique_ptr<Ring> ring(new Ring(files));
  std::vector<Scan> scans;
  for (int file = 0; file < files.count(); ++file) {
    auto bytes = files.readAll(file);
    if (!bytes) return bytes.error();
    scans.push_back(scanFile(bytes.value()));
  }
  Scan* best = nullptr;
  std::uint64_t newest = 0;
  for (int file = 0; file < files.count(); ++file) {
    auto& scan = scans[file];
    if (scan.damaged) continue;
    newest = std::max(newest, scan.generation);
    if (scan.checkpoint && (!best || scan.generation > best->generation)) {
      ring->currentFile = file;
      best = &scan;
    }
  }
  for (int file = 0; file < files.count(); ++file)
    if (scans[file].damaged && (!best || scans[file].newestFound > best->generation))
      return fault(Code::diskFault, "ring-" + std::to_string(file), "damaged");
  int following = (ring->currentFile + 1) % files.count();
  if (best && best->generation >= static_cast<std::uint64_t>(files.count()) && scans[following].newestFound == 0)
    return fault(Code::diskFault, "ring-" + std::to_string(following), "its records are gone");
  if (best) {
    if (newest > best->generation + 1) return fault(Code::diskFault, "ring", "a file is missing");
    ring->mirror = std::move(best->sum);
    ring->currentGeneration = best->generation;
    ring->nextSequence = best->nextSequence;
    ring->offset = best->end;
    ring->torn = best->torn || newest > best->generation;
    if (ring->torn) {
      ring->currentGeneration = newest;
      auto turned = ring->turn();
      if (!turned) return turned.error();
    }
  } else {
    ring->currentGeneration = newest;
    ring->offset = files.size();
  }
  return ring;
}

Result<void> Ring::turn() {
  currentFile = (currentFile + 1) % files.count();
  ++currentGeneration;
  std::string bytes;
  for (const auto& record : mirror.records()) bytes += pack(record);
  bytes += pack(Record{RecordKind::checkpointEnd, {}});
  if (bytes.size() > files.size()) return fault(Code::diskFault, "ring", "the checkpoint outgrows a file");
  offset = bytes.size();
  bytes.resize(files.size(), '\0');
  auto written = files.write(currentFile, 0, bytes);
  if (!written) return written.error();
  return files.sync(currentFile);
}

Result<void> Ring::append(const std::vector<Record>& records) {
  std::string bytes;
  for (const auto& record : records) {
    if (!mirror.fold(record)) return fault(Code::diskFault, "record");
    bytes += pack(record);
  }
  if (offset + bytes.size() > files.size()) return turn();
  auto written = files.write(currentFile, offset, bytes);
  if (!written) return written.error();
  offset += bytes.size();
  return files.sync(currentFile);
}

Result<void> Ring::wipe(RingFiles& files) {
  std::string nothing(files.size(), '\0');
  for (int file = 0; file < files.count(); ++file) {
    auto written = files.write(file, 0, nothing);
    if (!written) return written.error();
    auto synced = files.sync(file);
    if (!synced) return synced.error();
  }
  return boost::outcome_v2::success();
}

}  // namespace tt
