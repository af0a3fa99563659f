#include "ring.hpp"

#include "ring_format.hpp"
#include "ring_recovery.hpp"

#include <fstream>
#include <thread>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace tt {
namespace {

/// The smallest piece that a disk keeps or loses as one.
constexpr std::size_t sectorBytes = 512;

Error diskFault(const std::string& what) { return fault(Code::diskFault, what, std::strerror(errno)); }

}  // namespace

Result<std::unique_ptr<DirectoryFiles>> DirectoryFiles::open(const std::string& folder, int files, std::size_t bytes) {
  std::unique_ptr<DirectoryFiles> made(new DirectoryFiles);
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

DirectoryFiles::~DirectoryFiles() {
  for (int handle : handles) ::close(handle);
}

Result<std::string> DirectoryFiles::readAll(int file) {
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

Result<void> DirectoryFiles::write(int file, std::size_t offset, std::string_view bytes) {
  while (!bytes.empty()) {
    ssize_t step = ::pwrite(handles[file], bytes.data(), bytes.size(), static_cast<off_t>(offset));
    if (step < 0 && errno == EINTR) continue;
    if (step <= 0) return diskFault("write");
    bytes.remove_prefix(static_cast<std::size_t>(step));
    offset += static_cast<std::size_t>(step);
  }
  return boost::outcome_v2::success();
}

Result<void> DirectoryFiles::sync(int file) {
  if (::fdatasync(handles[file]) != 0) return diskFault("sync");
  return boost::outcome_v2::success();
}

std::pair<std::string, int> FaultInjectingFiles::word() const {
  std::pair<std::string, int> said{"well", 0};
  if (file_.empty()) return said;
  std::ifstream source(file_);
  source >> said.first >> said.second;
  return said;
}

Result<void> FaultInjectingFiles::write(int file, std::size_t offset, std::string_view bytes) {
  if (word().first == "full") return fault(Code::diskFault, "write", "no space (tried)");
  return inner.write(file, offset, bytes);
}

Result<void> FaultInjectingFiles::sync(int file) {
  auto said = word();
  if (said.first == "slow") std::this_thread::sleep_for(std::chrono::milliseconds(said.second));
  while (word().first == "stall") std::this_thread::sleep_for(50ms);
  return inner.sync(file);
}

namespace {

std::size_t usedIn(const std::string& bytes) {
  std::size_t last = bytes.find_last_not_of('\0');
  return last == std::string::npos ? 0 : last + 1;
}

Result<std::vector<std::string>> readFiles(RingFiles& files) {
  std::vector<std::string> contents;
  for (int file = 0; file < files.count(); ++file) {
    auto bytes = files.readAll(file);
    if (!bytes) return bytes.error();
    contents.push_back(std::move(bytes).value());
  }
  return contents;
}

Result<void> writeZeros(RingFiles& files, int file, std::size_t bytes) {
  auto written = files.write(file, 0, std::string(bytes, '\0'));
  if (!written) return written.error();
  return files.sync(file);
}

}  // namespace

Result<std::unique_ptr<Ring>> Ring::open(RingFiles& files) {
  auto contents = readFiles(files);
  if (!contents) return contents.error();
  auto found = recoverRing(contents.value());
  if (!found) return found.error();
  std::unique_ptr<Ring> ring(new Ring(files));
  for (std::size_t file = 0; file < contents.value().size(); ++file)
    ring->usedBytes[file] = usedIn(contents.value()[file]);
  auto& state = found.value();
  ring->offset = files.size();
  if (!state.any) return ring;
  ring->mirror = std::move(state.held);
  ring->currentFile = state.file;
  ring->currentGeneration = state.generation;
  ring->nextSequence = state.nextSequence;
  ring->turns = state.turns;
  ring->torn = state.torn;
  if (auto synced = files.sync(state.file); !synced) return synced.error();
  auto turned = ring->turn(state.syncedGeneration, state.syncedSequence);
  if (!turned) return turned.error();
  return ring;
}

Result<Ring::Opened> Ring::openOrReset(RingFiles& files) {
  Opened opened;
  auto ring = open(files);
  if (!ring && ring.error().code == Code::ringDamaged) {
    opened.damage = ring.error();
    if (auto wiped = wipe(files); !wiped) return wiped.error();
    ring = open(files);
  }
  if (!ring) return ring.error();
  opened.ring = std::move(ring).value();
  return opened;
}

Result<void> Ring::writeThrough(int file, std::size_t at, std::string_view bytes) {
  auto& used = usedBytes[static_cast<std::size_t>(file)];
  used = std::max(used, at + bytes.size());
  auto written = files.write(file, at, bytes);
  if (!written) return written.error();
  return files.sync(file);
}

Result<void> Ring::turn(std::uint64_t syncedGeneration, std::uint64_t syncedSequence) {
  auto records = mirror.records();
  records.push_back(Record{RecordKind::checkpointEnd, {}});
  BatchMark mark;
  mark.generation = currentGeneration + 1;
  mark.sequence = nextSequence;
  mark.syncedGeneration = syncedGeneration;
  mark.syncedSequence = syncedSequence;
  mark.turns = turns + 1;
  std::string bytes = packBatch(mark, records);
  if (bytes.size() > files.size()) return fault(Code::diskFault, "ring", "the checkpoint outgrows a file");
  int following = (currentFile + 1) % files.count();
  auto& used = usedBytes[static_cast<std::size_t>(following)];
  std::size_t checkpointBytes = bytes.size();
  bytes.resize(std::max(used, checkpointBytes), '\0');
  if (auto written = writeThrough(following, 0, bytes); !written) return written.error();
  used = checkpointBytes;
  offset = checkpointBytes;
  currentFile = following;
  currentGeneration = mark.generation;
  turns = mark.turns;
  ++nextSequence;
  return boost::outcome_v2::success();
}

Result<void> Ring::writeBatch(const std::vector<Record>& records) {
  for (const auto& record : records)
    if (!mirror.applyRecord(record)) return fault(Code::diskFault, "record");
  BatchMark mark;
  mark.generation = mark.syncedGeneration = currentGeneration;
  mark.sequence = nextSequence;
  mark.syncedSequence = nextSequence - 1;
  mark.turns = turns;
  std::string bytes = packBatch(mark, records);
  if (offset + bytes.size() > files.size()) return turn(mark.syncedGeneration, mark.syncedSequence);
  if (auto written = writeThrough(currentFile, offset, bytes); !written) return written.error();
  offset += bytes.size();
  ++nextSequence;
  return boost::outcome_v2::success();
}

Result<void> Ring::append(const std::vector<Record>& records) {
  if (failed) return fault(Code::diskFault, "ring", "an earlier write failed");
  if (records.empty()) return boost::outcome_v2::success();
  auto written = writeBatch(records);
  failed = !written;
  return written;
}

Result<void> Ring::wipe(RingFiles& files) {
  auto contents = readFiles(files);
  if (!contents) return contents.error();
  auto order = oldestFirst(contents.value());
  for (int file : order)
    if (auto done = writeZeros(files, file, std::min(sectorBytes, files.size())); !done) return done.error();
  for (int file : order)
    if (auto done = writeZeros(files, file, files.size()); !done) return done.error();
  return boost::outcome_v2::success();
}

}  // namespace tt
