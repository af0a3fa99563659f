#include "core.hpp"

namespace tt {
namespace {
/// How long a read waits for a majority. Clients try another core after a second without a response, so this must be
/// shorter.
constexpr Duration readTimeout = 800ms;
/// How often the log ends are requested again while reads wait.
constexpr Duration readRetryInterval = 20ms;
constexpr std::size_t maxPendingReads = 256;
}  // namespace

void Core::requestLogEnds(Effects& effects) {
  logEndsRequestedAt = effects.now;
  clusterView->requestLogEnds(effects, replicatedLog->configuration().index(), {}, replicatedLog->configuration());
}

void Core::onReadRequest(Effects& effects, const std::string& from, const ReadRequest& request) {
  if (pendingReads.size() >= maxPendingReads || !replicatedLog->formed()) {
    effects.send(from, ReadResponse{request.requestId, false, 0, 0});
    return;
  }
  pendingReads.push_back(PendingRead{from, request.requestId, effects.now});
  completeReads(effects);
}

void Core::completeReads(Effects& effects) {
  if (pendingReads.empty()) return;
  const auto& view = replicatedLog->configuration();
  clusterView->updateCompleteness(effects.now, view);
  while (!pendingReads.empty()) {
    const auto& read = pendingReads.front();
    bool confirmed = clusterView->majorityCompleteAsOf() >= read.receivedAt;
    if (!confirmed && effects.now - read.receivedAt < readTimeout) break;
    effects.send(read.from, ReadResponse{read.requestId, confirmed, view.revision(), view.index()});
    pendingReads.pop_front();
  }
  bool retryDue = !pendingReads.empty() && effects.now - logEndsRequestedAt >= readRetryInterval;
  if (retryDue) requestLogEnds(effects);
}

}  // namespace tt
