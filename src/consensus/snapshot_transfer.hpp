#pragma once
#include "effects.hpp"

namespace tt {

/// An encoded snapshot, identified by the SHA-256 digest of its bytes.
struct SnapshotImage {
  Uint64 index{0}, term{0};
  std::string bytes, digest;
};
std::shared_ptr<const SnapshotImage> makeSnapshotImage(const Snapshot& snapshot);

/// The leader's side of a snapshot transfer to one follower. One chunk is in flight at a time. If it is not
/// acknowledged in time, the sender asks the follower how many bytes it has, with a growing delay, and sends only what
/// is missing.
class SnapshotSender {
 public:
  static constexpr std::size_t maxChunkBytes = 128 * 1024;
  explicit SnapshotSender(std::shared_ptr<const SnapshotImage> sentImage) : image_(std::move(sentImage)) {}
  const SnapshotImage& image() const { return *image_; }
  /// The next message to send, if one is due; the caller fills in the term and the leader.
  std::optional<InstallSnapshot> nextMessage(TimePoint now);
  void handle(const InstallSnapshotResponse& response, TimePoint now);
  Uint64 acknowledged() const { return acknowledgedBytes; }

 private:
  std::shared_ptr<const SnapshotImage> image_;
  Uint64 acknowledgedBytes{0}, attempt{0};
  bool awaitingResponse{false};
  TimePoint sentAt{};
  Duration retryDelay{minRetryDelay};
  static constexpr Duration minRetryDelay = 300ms, maxRetryDelay = 2400ms;
  bool allAcknowledged() const { return acknowledgedBytes == image_->bytes.size(); }
};

/// The follower's side of a snapshot transfer. It collects chunks; the snapshot is used only if it is complete and its
/// digest matches.
class SnapshotReceiver {
 public:
  /// Appends a chunk if it continues the received bytes; a chunk of another snapshot discards them first. Snapshots
  /// larger than `maxBytes` are ignored. Returns the number of bytes received of this snapshot.
  Uint64 handle(const InstallSnapshot& chunk, std::size_t maxBytes);
  /// Returns the snapshot once it is complete and valid, and discards the received bytes; an invalid snapshot is
  /// discarded too.
  std::optional<Snapshot> takeCompleteSnapshot();
  std::size_t receivedBytes() const { return bytes.size(); }

 private:
  Uint64 index{0}, term{0}, totalBytes{0};
  std::string digest, bytes;
};

}  // namespace tt
