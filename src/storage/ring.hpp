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
class FolderFiles : public RingFiles {
 public:
  static Result<std::unique_ptr<FolderFiles>> open(const std::string& folder, int files, std::size_t bytes);
  ~FolderFiles() override;
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
class FaultyFiles : public RingFiles {
 public:
  FaultyFiles(RingFiles& innerFiles, std::string faultFile) : inner(innerFiles), file_(std::move(faultFile)) {}
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
class Ring {
 public:
  /// Reads what the files hold. A torn end is dropped; damage with sound records behind it is a fault.
  static Result<std::unique_ptr<Ring>> open(RingFiles& files);
  const Recovered& held() const { return mirror; }
  /// Writes records and syncs them all at once.
  Result<void> append(const std::vector<Record>& records);
  bool tornEnd() const { return torn; }
  std::uint64_t generation() const { return currentGeneration; }
  /// How many bytes one checkpoint may take.
  std::size_t room() const { return files.size() / 2; }
  /// Empties the ring for good, as a core does that finds it damaged.
  static Result<void> wipe(RingFiles& files);

 private:
  explicit Ring(RingFiles& ringFiles) : files(ringFiles) {}
  RingFiles& files;
  Recovered mirror;
  int currentFile{0};
  std::uint64_t currentGeneration{0};
  std::uint64_t nextSequence{1};
  std::size_t offset{0};
  bool torn{false};
  std::string pack(const Record& record);
  Result<void> turn();
};

}  // namespace tt
