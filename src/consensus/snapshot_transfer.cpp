#include "snapshot_transfer.hpp"

#include <algorithm>

namespace tt {

std::shared_ptr<const SnapshotImage> imageOf(const Snapshot& snapshot) {
  auto image = std::make_shared<SnapshotImage>();
  image->index = snapshot.index;
  image->term = snapshot.term;
  image->bytes = encodeSnapshot(snapshot);
  image->digest = sha256Hex(image->bytes);
  return image;
}

std::optional<InstallSnapshot> SnapshotSender::due(TimePoint now) {
  if (waiting && now - sentAt < pause) return std::nullopt;
  if (waiting) pause = std::min(2 * pause, mostPause);
  InstallSnapshot message;
  message.index = image_->index;
  message.snapshotTerm = image_->term;
  message.digest = image_->digest;
  message.total = image_->bytes.size();
  message.offset = acknowledgedBytes;
  message.attempt = ++attempt;
  if (!waiting) message.bytes = image_->bytes.substr(acknowledgedBytes, pieceBytes);
  waiting = true;
  sentAt = now;
  return message;
}

void SnapshotSender::handle(const InstallSnapshotResponse& response, TimePoint now) {
  if (response.digest != image_->digest || response.offset > image_->bytes.size()) return;
  bool further = response.offset > acknowledgedBytes;
  if (!further && response.attempt != attempt) return;
  if (further) pause = std::clamp<Duration>(4 * (now - sentAt), leastPause, mostPause);
  acknowledgedBytes = response.offset;
  waiting = whole();
  if (whole()) sentAt = now;
}

Uint64 SnapshotReceiver::handle(const InstallSnapshot& piece, std::size_t mostBytes) {
  bool same = piece.index == index && piece.snapshotTerm == term && piece.digest == digest && piece.total == total;
  if (!same) {
    *this = SnapshotReceiver();
    if (piece.total > mostBytes) return 0;
    index = piece.index;
    term = piece.snapshotTerm;
    digest = piece.digest;
    total = piece.total;
  }
  bool fits = piece.offset == bytes.size() && piece.bytes.size() <= total - bytes.size();
  if (fits) bytes += piece.bytes;
  return bytes.size();
}

std::optional<Snapshot> SnapshotReceiver::finished() {
  if (total == 0 || bytes.size() < total) return std::nullopt;
  auto snapshot = decodeSnapshot(bytes);
  bool sound =
      snapshot && sha256Hex(bytes) == digest && snapshot.value().index == index && snapshot.value().term == term;
  *this = SnapshotReceiver();
  if (!sound) return std::nullopt;
  return std::move(snapshot).value();
}

}  // namespace tt
