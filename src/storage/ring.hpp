#pragma once
/// The on-disk log of a core.
#include "effects.hpp"

namespace tt {

/// The file operations that the ring log needs. It runs on a real directory and on the simulator's memory alike.
class RingFiles {
 public:
  virtual ~RingFiles() = default;
  virtual Result<std::string> readAll(int file) = 0;
  virtual Result<void> write(int file, std::size_t offset, std::string_view bytes) = 0;
  /// Returns once everything that was written to the file is on the disk.
  virtual Result<void> sync(int file) = 0;
  /// The number of files.
  virtual int count() const = 0;
  /// The size of each file in bytes.
  virtual std::size_t size() const = 0;
};

/// A directory of preallocated files, named ring-0, ring-1 and so on.
class DirectoryFiles : public RingFiles {
 public:
  /// Creates the directory and its files where they are missing. Errors are `diskFault` with the path as subject.
  static Result<std::unique_ptr<DirectoryFiles>> open(const std::string& directory, int files, std::size_t bytes);
  ~DirectoryFiles() override;
  Result<std::string> readAll(int file) override;
  Result<void> write(int file, std::size_t offset, std::string_view bytes) override;
  Result<void> sync(int file) override;
  int count() const override { return static_cast<int>(descriptors.size()); }
  std::size_t size() const override { return fileBytes; }

 private:
  std::vector<int> descriptors;
  std::size_t fileBytes{0};
};

/// Forwards to other files and injects the fault that a control file currently names: "slow MS" delays each sync,
/// "stall" blocks it, "full" fails each write, "well" injects none. For tests of real processes; without a control file
/// it only forwards.
class FaultInjectingFiles : public RingFiles {
 public:
  FaultInjectingFiles(RingFiles& innerFiles, std::string faultFile)
      : inner(innerFiles), controlFile(std::move(faultFile)) {}
  Result<std::string> readAll(int file) override { return inner.readAll(file); }
  Result<void> write(int file, std::size_t offset, std::string_view bytes) override;
  Result<void> sync(int file) override;
  int count() const override { return inner.count(); }
  std::size_t size() const override { return inner.size(); }

 private:
  RingFiles& inner;
  std::string controlFile;
  /// The fault to inject and its argument.
  std::pair<std::string, int> readFault() const;
};

/// A log of records in a ring of preallocated files. Each file starts with a checkpoint, which holds all records that
/// are still needed, followed by new records. When a file is full, the log rotates to the next one, whose old content
/// is no longer needed.
///
/// The records of one append form a batch, which survives a power loss completely or not at all. Each batch names the
/// last batch that had certainly been synced when it was written. So recovery can tell a batch that was never synced
/// from real damage.
class Ring {
 public:
  /// Recovers the log from its files, syncs it and writes a new checkpoint to the next file. A tail that was never
  /// synced is dropped. Fails with `ringDamaged` on real damage and with `diskFault` if a file cannot be read or
  /// written.
  static Result<std::unique_ptr<Ring>> open(RingFiles& files);
  /// The result of `openOrReset`: the ring, and the damage because of which it was erased, if any.
  struct Opened;
  /// Opens the ring. A damaged ring is erased, so that its owner joins the fleet as a new member. If the disk cannot
  /// currently be read or written, nothing is erased.
  static Result<Opened> openOrReset(RingFiles& files);
  /// The state after all records up to the last append.
  const RecoveredState& recoveredState() const { return logState; }
  /// Writes records as one batch and syncs them. After a failure every further append fails until the ring is opened
  /// again.
  Result<void> append(const std::vector<Record>& records);
  /// Whether recovery dropped a tail that was never synced.
  bool tornTailDropped() const { return droppedTornTail; }
  /// The number of the current file, counted in the order in which files were started.
  std::uint64_t generation() const { return currentGeneration; }
  /// The largest allowed size of a checkpoint: half a file.
  std::size_t maxCheckpointBytes() const { return files.size() / 2; }
  /// Erases the ring. If it is interrupted at any point, no older state can be opened afterwards.
  static Result<void> wipe(RingFiles& files);

 private:
  explicit Ring(RingFiles& ringFiles) : files(ringFiles), usedBytes(static_cast<std::size_t>(ringFiles.count()), 0) {}
  RingFiles& files;
  RecoveredState logState;
  /// For each file, the length of the part that may contain nonzero bytes.
  std::vector<std::size_t> usedBytes;
  int currentFile{0};
  std::uint64_t currentGeneration{0};
  std::uint64_t nextSequence{1};
  std::uint32_t rotations{0};
  /// Where the next batch is written in the current file.
  std::size_t offset{0};
  bool droppedTornTail{false}, failed{false};
  /// Writes a checkpoint to the next file and continues there. The arguments name the last batch known to be synced.
  Result<void> rotate(std::uint64_t syncedGeneration, std::uint64_t syncedSequence);
  Result<void> writeBatch(const std::vector<Record>& records);
  Result<void> writeAndSync(int file, std::size_t start, std::string_view bytes);
};

struct Ring::Opened {
  std::unique_ptr<Ring> ring;
  std::optional<Error> damage;
};

}  // namespace tt
