#pragma once
#include "effects.hpp"

namespace tt {

/// A snapshot as it is sent: its bytes, and the digest that tells it from any other.
struct SnapshotImage {
  Uint64 index{0}, term{0};
  std::string bytes, digest;
};
std::shared_ptr<const SnapshotImage> imageOf(const Snapshot& snapshot);

/// The leader's side of a snapshot's way to one follower. One piece is under way at a time. If its acknowledgement
/// stays out, the follower is asked what it has, after a pause that grows, and only what it lacks is sent again.
class SnapshotSender {
 public:
  static constexpr std::size_t pieceBytes = 128 * 1024;
  explicit SnapshotSender(std::shared_ptr<const SnapshotImage> sentImage) : image_(std::move(sentImage)) {}
  const SnapshotImage& image() const { return *image_; }
  /// The message that is due, if any; the leader fills in who it is.
  std::optional<InstallSnapshot> due(TimePoint now);
  void handle(const InstallSnapshotResponse& response, TimePoint now);
  Uint64 acknowledged() const { return acknowledgedBytes; }

 private:
  std::shared_ptr<const SnapshotImage> image_;
  Uint64 acknowledgedBytes{0}, attempt{0};
  bool waiting{false};
  TimePoint sentAt{};
  Duration pause{leastPause};
  static constexpr Duration leastPause = 300ms, mostPause = 2400ms;
  bool whole() const { return acknowledgedBytes == image_->bytes.size(); }
};

/// The follower's side: the pieces of one snapshot so far. Nothing of it counts before it is whole and its digest fits.
class SnapshotReceiver {
 public:
  /// Takes a piece that follows on what is here. Returns how many bytes of this snapshot are here.
  Uint64 handle(const InstallSnapshot& piece, std::size_t mostBytes);
  /// The snapshot, once it is whole and sound; one that is not sound is given up.
  std::optional<Snapshot> finished();
  std::size_t heldBytes() const { return bytes.size(); }

 private:
  Uint64 index{0}, term{0}, total{0};
  std::string digest, bytes;
};

}  // namespace tt
