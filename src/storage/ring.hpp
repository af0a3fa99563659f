#pragma once
#include "effects.hpp"

namespace tt {

/// The few file actions that the ring needs, so that it runs over a real folder and over sim's memory alike.
class RingFiles {
 public:
  virtual ~RingFiles() = default;
  virtual Result<std::string> readAll(int file) = 0;
  virtual Result<void> write(int file, std::size_t offset, std::string_view bytes) = 0;
  virtual Result<void> sync(int file) = 0;
  virtual int count() const = 0;
  virtual std::size_t size() const = 0;
};

/// A folder of preallocated files.
class DirectoryFiles : public RingFiles {
 public:
  static Result<std::unique_ptr<DirectoryFiles>> open(const std::string& folder, int files, std::size_t bytes);
  ~DirectoryFiles() override;
  Result<std::string> readAll(int file) override;
  Result<void> write(int file, std::size_t offset, std::string_view bytes) override;
  Result<void> sync(int file) override;
  int count() const override { return static_cast<int>(handles.size()); }
  std::size_t size() const override { return fileBytes; }

 private:
  std::vector<int> handles;
  std::size_t fileBytes{0};
};

/// Passes on to other files, but for what a file of faults says at the moment: "slow MS", "stall", "full" or "well".
/// For tries on real processes; without such a file it only passes on.
class FaultInjectingFiles : public RingFiles {
 public:
  FaultInjectingFiles(RingFiles& innerFiles, std::string faultFile) : inner(innerFiles), file_(std::move(faultFile)) {}
  Result<std::string> readAll(int file) override { return inner.readAll(file); }
  Result<void> write(int file, std::size_t offset, std::string_view bytes) override;
  Result<void> sync(int file) override;
  int count() const override { return inner.count(); }
  std::size_t size() const override { return inner.size(); }

 private:
  RingFiles& inner;
  std::string file_;
  std::pair<std::string, int> word() const;
};

/// A ring of preallocated files. Each file starts with a checkpoint of all that still counts and goes on with
/// records; a full file is left for the next one, whose old content is no longer needed.
///
/// What is appended at once is one batch: after a loss of power it is there whole or not at all. Each batch says which
/// one before it had surely been synced, so that recovery tells a batch that was never synced from real damage.
class Ring {
 public:
  /// Reads what the files hold, syncs it and writes it down afresh in the next file. An unsynced end is dropped. Real
  /// damage is `ringDamaged`; files that cannot be read or written are `diskFault`.
  static Result<std::unique_ptr<Ring>> open(RingFiles& files);
  /// What `openOrReset` came to: the ring, and the damage for which it had to be emptied.
  struct Opened;
  /// Opens a ring; one that is damaged is emptied for good, so that its owner joins anew. A disk that cannot be read or
  /// written at the moment empties nothing.
  static Result<Opened> openOrReset(RingFiles& files);
  const RecoveredState& held() const { return mirror; }
  /// Writes records and syncs them all at once. After a failure the ring takes nothing more: it is to be opened again.
  Result<void> append(const std::vector<Record>& records);
  bool tornTailDropped() const { return torn; }
  std::uint64_t generation() const { return currentGeneration; }
  /// How many bytes one checkpoint may take.
  std::size_t maxCheckpointBytes() const { return files.size() / 2; }
  /// Empties the ring for good. A stop in the middle never leaves an older state that can be opened.
  static Result<void> wipe(RingFiles& files);

 private:
  explicit Ring(RingFiles& ringFiles) : files(ringFiles), usedBytes(static_cast<std::size_t>(ringFiles.count()), 0) {}
  RingFiles& files;
  RecoveredState mirror;
  /// Up to where each file may hold bytes other than zero.
  std::vector<std::size_t> usedBytes;
  int currentFile{0};
  std::uint64_t currentGeneration{0};
  std::uint64_t nextSequence{1};
  std::uint32_t turns{0};
  std::size_t offset{0};
  bool torn{false}, failed{false};
  Result<void> turn(std::uint64_t syncedGeneration, std::uint64_t syncedSequence);
  Result<void> writeBatch(const std::vector<Record>& records);
  Result<void> writeThrough(int file, std::size_t at, std::string_view bytes);
};

struct Ring::Opened {
  std::unique_ptr<Ring> ring;
  std::optional<Error> damage;
};

}  // namespace tt
