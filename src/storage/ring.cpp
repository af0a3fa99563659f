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

/// The smallest unit that a disk writes or loses completely.
constexpr std::size_t sectorSize = 512;

Error diskFault(const std::string& what) { return makeError(Code::diskFault, what, std::strerror(errno)); }

}  // namespace

Result<std::unique_ptr<DirectoryFiles>> DirectoryFiles::open(const std::string& directory, int files,
                                                             std::size_t bytes) {
  std::unique_ptr<DirectoryFiles> result(new DirectoryFiles);
  result->fileBytes = bytes;
  if (::mkdir(directory.c_str(), 0755) != 0 && errno != EEXIST) return diskFault(directory);
  for (int number = 0; number < files; ++number) {
    std::string path = directory + "/ring-" + std::to_string(number);
    int descriptor = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
    if (descriptor < 0) return diskFault(path);
    result->descriptors.push_back(descriptor);
    struct stat status {};
    if (::fstat(descriptor, &status) != 0) return diskFault(path);
    if (static_cast<std::size_t>(status.st_size) < bytes) {
      if (int error = ::posix_fallocate(descriptor, 0, static_cast<off_t>(bytes)); error != 0) {
        errno = error;
        return diskFault(path);
      }
      if (::fsync(descriptor) != 0) return diskFault(path);
    }
  }
  int directoryDescriptor = ::open(directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (directoryDescriptor < 0) return diskFault(directory);
  int synced = ::fsync(directoryDescriptor);
  ::close(directoryDescriptor);
  if (synced != 0) return diskFault(directory);
  return result;
}

DirectoryFiles::~DirectoryFiles() {
  for (int descriptor : descriptors) ::close(descriptor);
}

Result<std::string> DirectoryFiles::readAll(int file) {
  std::string bytes(fileBytes, '\0');
  std::size_t bytesRead = 0;
  while (bytesRead < fileBytes) {
    ssize_t step =
        ::pread(descriptors[file], bytes.data() + bytesRead, fileBytes - bytesRead, static_cast<off_t>(bytesRead));
    if (step < 0 && errno == EINTR) continue;
    if (step < 0) return diskFault("read");
    if (step == 0) break;
    bytesRead += static_cast<std::size_t>(step);
  }
  return bytes;
}

Result<void> DirectoryFiles::write(int file, std::size_t offset, std::string_view bytes) {
  while (!bytes.empty()) {
    ssize_t step = ::pwrite(descriptors[file], bytes.data(), bytes.size(), static_cast<off_t>(offset));
    if (step < 0 && errno == EINTR) continue;
    if (step <= 0) return diskFault("write");
    bytes.remove_prefix(static_cast<std::size_t>(step));
    offset += static_cast<std::size_t>(step);
  }
  return boost::outcome_v2::success();
}

Result<void> DirectoryFiles::sync(int file) {
  if (::fdatasync(descriptors[file]) != 0) return diskFault("sync");
  return boost::outcome_v2::success();
}

std::pair<std::string, int> FaultInjectingFiles::readFault() const {
  std::pair<std::string, int> injected{"well", 0};
  if (controlFile.empty()) return injected;
  std::ifstream source(controlFile);
  source >> injected.first >> injected.second;
  return injected;
}

Result<void> FaultInjectingFiles::write(int file, std::size_t offset, std::string_view bytes) {
  if (readFault().first == "full") return makeError(Code::diskFault, "write", "no space left (injected fault)");
  return inner.write(file, offset, bytes);
}

Result<void> FaultInjectingFiles::sync(int file) {
  auto injected = readFault();
  if (injected.first == "slow") std::this_thread::sleep_for(std::chrono::milliseconds(injected.second));
  while (readFault().first == "stall") std::this_thread::sleep_for(50ms);
  return inner.sync(file);
}

namespace {

/// The length of the contents without the zeros at the end.
std::size_t usedLength(const std::string& bytes) {
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
  auto recovered = recoverRing(contents.value());
  if (!recovered) return recovered.error();
  std::unique_ptr<Ring> ring(new Ring(files));
  for (std::size_t file = 0; file < contents.value().size(); ++file)
    ring->usedBytes[file] = usedLength(contents.value()[file]);
  auto& state = recovered.value();
  ring->offset = files.size();
  if (!state.hasCheckpoint) return ring;
  ring->logState = std::move(state.recovered);
  ring->currentFile = state.file;
  ring->currentGeneration = state.generation;
  ring->nextSequence = state.nextSequence;
  ring->rotations = state.rotations;
  ring->droppedTornTail = state.droppedTornTail;
  if (auto synced = files.sync(state.file); !synced) return synced.error();
  auto rotated = ring->rotate(state.syncedGeneration, state.syncedSequence);
  if (!rotated) return rotated.error();
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

Result<void> Ring::writeAndSync(int file, std::size_t start, std::string_view bytes) {
  auto& used = usedBytes[static_cast<std::size_t>(file)];
  used = std::max(used, start + bytes.size());
  auto written = files.write(file, start, bytes);
  if (!written) return written.error();
  return files.sync(file);
}

Result<void> Ring::rotate(std::uint64_t syncedGeneration, std::uint64_t syncedSequence) {
  auto records = logState.records();
  records.push_back(Record{RecordKind::checkpointEnd, {}});
  BatchInfo info;
  info.generation = currentGeneration + 1;
  info.sequence = nextSequence;
  info.syncedGeneration = syncedGeneration;
  info.syncedSequence = syncedSequence;
  info.rotations = rotations + 1;
  std::string bytes = encodeBatch(info, records);
  if (bytes.size() > files.size())
    return makeError(Code::diskFault, "ring", "the checkpoint is larger than a ring file");
  int nextFile = (currentFile + 1) % files.count();
  auto& used = usedBytes[static_cast<std::size_t>(nextFile)];
  std::size_t checkpointBytes = bytes.size();
  bytes.resize(std::max(used, checkpointBytes), '\0');
  if (auto written = writeAndSync(nextFile, 0, bytes); !written) return written.error();
  used = checkpointBytes;
  offset = checkpointBytes;
  currentFile = nextFile;
  currentGeneration = info.generation;
  rotations = info.rotations;
  ++nextSequence;
  return boost::outcome_v2::success();
}

Result<void> Ring::writeBatch(const std::vector<Record>& records) {
  for (const auto& record : records)
    if (!logState.applyRecord(record)) return makeError(Code::diskFault, "record");
  BatchInfo info;
  info.generation = info.syncedGeneration = currentGeneration;
  info.sequence = nextSequence;
  info.syncedSequence = nextSequence - 1;
  info.rotations = rotations;
  std::string bytes = encodeBatch(info, records);
  if (offset + bytes.size() > files.size()) return rotate(info.syncedGeneration, info.syncedSequence);
  if (auto written = writeAndSync(currentFile, offset, bytes); !written) return written.error();
  offset += bytes.size();
  ++nextSequence;
  return boost::outcome_v2::success();
}

Result<void> Ring::append(const std::vector<Record>& records) {
  if (failed) return makeError(Code::diskFault, "ring", "an earlier write failed; the ring must be opened again");
  if (records.empty()) return boost::outcome_v2::success();
  auto written = writeBatch(records);
  failed = !written;
  return written;
}

Result<void> Ring::wipe(RingFiles& files) {
  auto contents = readFiles(files);
  if (!contents) return contents.error();
  auto oldestFirst = filesByAge(contents.value());
  for (int file : oldestFirst)
    if (auto done = writeZeros(files, file, std::min(sectorSize, files.size())); !done) return done.error();
  for (int file : oldestFirst)
    if (auto done = writeZeros(files, file, files.size()); !done) return done.error();
  return boost::outcome_v2::success();
}

}  // namespace tt
