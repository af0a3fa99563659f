#pragma once
#include "ring.hpp"

namespace tt {

/// Ring log files in memory that count the written bytes. Reads, writes and syncs always succeed.
class CountingRingFiles : public RingFiles {
 public:
  CountingRingFiles(int fileCount, std::size_t fileBytes)
      : contents(static_cast<std::size_t>(fileCount), std::string(fileBytes, '\0')) {}
  Result<std::string> readAll(int file) override { return contents[static_cast<std::size_t>(file)]; }
  Result<void> write(int file, std::size_t offset, std::string_view bytes) override {
    contents[static_cast<std::size_t>(file)].replace(offset, bytes.size(), bytes);
    bytesWritten += static_cast<std::int64_t>(bytes.size());
    return boost::outcome_v2::success();
  }
  Result<void> sync(int) override { return boost::outcome_v2::success(); }
  int count() const override { return static_cast<int>(contents.size()); }
  std::size_t size() const override { return contents[0].size(); }
  std::int64_t writtenBytes() const { return bytesWritten; }

 private:
  std::vector<std::string> contents;
  std::int64_t bytesWritten{0};
};

}  // namespace tt
