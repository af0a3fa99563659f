#include "core.hpp"

namespace tt {
namespace {
/// How long a read waits for a majority; those who ask go on to another core after a second of silence.
constexpr Duration readMost = 800ms;
/// How often a majority is asked anew while reads wait.
constexpr Duration readAgain = 20ms;
constexpr std::size_t mostReads = 256;
}  // namespace

void Core::askLogEnds(Effects& effects) {
  endsAt = effects.now;
  clusterView->ask(effects, replicatedLog->configuration().index(), {}, replicatedLog->configuration());
}

void Core::onRead(Effects& effects, const std::string& from, const ReadRequest& ask) {
  if (pendingReads.size() >= mostReads || !replicatedLog->formed()) {
    effects.send(from, ReadResponse{ask.requestId, false, 0, 0});
    return;
  }
  pendingReads.push_back(PendingRead{from, ask.requestId, effects.now});
  settleReads(effects);
}

void Core::settleReads(Effects& effects) {
  if (pendingReads.empty()) return;
  const auto& view = replicatedLog->configuration();
  clusterView->updateCompleteness(effects.now, view);
  while (!pendingReads.empty()) {
    const auto& read = pendingReads.front();
    bool confirmed = clusterView->majorityStamp() >= read.at;
    if (!confirmed && effects.now - read.at < readMost) break;
    effects.send(read.from, ReadResponse{read.requestId, confirmed, view.revision(), view.index()});
    pendingReads.pop_front();
  }
  bool asksAgain = !pendingReads.empty() && effects.now - endsAt >= readAgain;
  if (asksAgain) askLogEnds(effects);
}

}  // namespace tt
