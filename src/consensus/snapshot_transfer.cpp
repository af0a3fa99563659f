#include "snapshot_transfer.hpp"

#include <algorithm>

namespace tt {

std::shared_ptr<const SnapshotImage> makeSnapshotImage(const Snapshot& snapshot) {
  auto image = std::make_shared<SnapshotImage>();
  image->index = snapshot.index;
  image->term = snapshot.term;
  image->bytes = encodeSnapshot(snapshot);
  image->digest = sha256Hex(image->bytes);
  return image;
}

std::optional<InstallSnapshot> SnapshotSender::nextMessage(TimePoint now) {
  if (awaitingResponse && now - sentAt < retryDelay) return std::nullopt;
  if (awaitingResponse) retryDelay = std::min(2 * retryDelay, maxRetryDelay);
  InstallSnapshot message;
  message.index = image_->index;
  message.snapshotTerm = image_->term;
  message.digest = image_->digest;
  message.total = image_->bytes.size();
  message.offset = acknowledgedBytes;
  message.attempt = ++attempt;
  if (!awaitingResponse) message.bytes = image_->bytes.substr(acknowledgedBytes, maxChunkBytes);
  awaitingResponse = true;
  sentAt = now;
  return message;
}

void SnapshotSender::handle(const InstallSnapshotResponse& response, TimePoint now) {
  if (response.digest != image_->digest || response.offset > image_->bytes.size()) return;
  bool hasProgress = response.offset > acknowledgedBytes;
  if (!hasProgress && response.attempt != attempt) return;
  if (hasProgress) retryDelay = std::clamp<Duration>(4 * (now - sentAt), minRetryDelay, maxRetryDelay);
  acknowledgedBytes = response.offset;
  awaitingResponse = allAcknowledged();
  if (allAcknowledged()) sentAt = now;
}

Uint64 SnapshotReceiver::handle(const InstallSnapshot& chunk, std::size_t maxBytes) {
  bool sameSnapshot =
      chunk.index == index && chunk.snapshotTerm == term && chunk.digest == digest && chunk.total == totalBytes;
  if (!sameSnapshot) {
    *this = SnapshotReceiver();
    if (chunk.total > maxBytes) return 0;
    index = chunk.index;
    term = chunk.snapshotTerm;
    digest = chunk.digest;
    totalBytes = chunk.total;
  }
  bool fits = chunk.offset == bytes.size() && chunk.bytes.size() <= totalBytes - bytes.size();
  if (fits) bytes += chunk.bytes;
  return bytes.size();
}

std::optional<Snapshot> SnapshotReceiver::takeCompleteSnapshot() {
  if (totalBytes == 0 || bytes.size() < totalBytes) return std::nullopt;
  auto snapshot = decodeSnapshot(bytes);
  bool valid =
      snapshot && sha256Hex(bytes) == digest && snapshot.value().index == index && snapshot.value().term == term;
  *this = SnapshotReceiver();
  if (!valid) return std::nullopt;
  return std::move(snapshot).value();
}

}  // namespace tt
