#include <algorithm>

#include "core.hpp"

namespace tt {
namespace {
/// How often a core that is not yet a member contacts the seeds.
constexpr Duration helloInterval = 300ms;
/// How often a core that shuts down asks which cores have its log.
constexpr Duration replicaCheckInterval = 50ms;
}  // namespace

void Core::seekMembership(Effects& effects) {
  if (!idSynced) {
    if (idSavedAt == TimePoint{}) {
      idSavedAt = effects.now;
      effects.save(identityRecord(self.id), [this](Effects&) { idSynced = true; });
    }
    return;
  }
  bool member = false;
  for (const auto& row : replicatedLog->members())
    member = member || (row.id == self.id && row.address == self.address);
  if (replicatedLog->formed() && member &&
      (replicatedLog->election.won() ||
       effects.now - replicatedLog->lastLeaderContact() < timing.sameNameReplaceTimeout))
    return;
  if (effects.now - helloSentAt >= helloInterval) {
    helloSentAt = effects.now;
    for (const auto& seed : settings.seeds)
      if (seed != self.address) effects.send(seed, HelloRequest{self, replicatedLog->formed()});
    tryForming(effects);
  }
  if (effects.now - joinSentAt < timing.joinInterval || leavingSince != TimePoint{}) return;
  std::set<std::string> targets;
  for (const auto& [seed, hello] : helloResponses)
    for (const auto& row : hello.members) targets.insert(row.address);
  for (const auto& row : replicatedLog->members()) targets.insert(row.address);
  targets.erase(self.address);
  if (!targets.empty()) joinSentAt = effects.now;
  for (const auto& address : targets) effects.send(address, JoinRequest{self});
}

void Core::tryForming(Effects& effects) {
  if (replicatedLog->formed() || !settings.mayBootstrap) return;
  std::vector<Member> initialMembers{self};
  if (std::find(settings.seeds.begin(), settings.seeds.end(), self.address) == settings.seeds.end() &&
      settings.cell.onlySeedsBootstrap)
    return;
  for (const auto& seed : settings.seeds) {
    if (seed == self.address) continue;
    auto found = helloResponses.find(seed);
    if (found == helloResponses.end() || found->second.formed) return;
    initialMembers.push_back(found->second.self);
  }
  std::sort(initialMembers.begin(), initialMembers.end(),
            [](const Member& one, const Member& other) { return one.id < other.id; });
  if (initialMembers.front().id != self.id) return;
  for (const auto& row : initialMembers)
    if (row.id != self.id) effects.send(row.address, FormRequest{initialMembers});
  replicatedLog->form(effects, initialMembers);
}

void Core::requestReplicaCheck(Effects& effects) {
  if (leavingSince == TimePoint{} || safeToStop() || effects.now - replicaCheckSentAt < replicaCheckInterval) return;
  replicaCheckSentAt = effects.now;
  Uint64 end = replicatedLog->lastSyncedIndex();
  Uint64 term = replicatedLog->election.logEnd().first;
  for (const auto& member : replicatedLog->members())
    if (member.votes && member.id != self.id)
      effects.send(member.address, ReadersRequest{replicaCheckRound, end, term});
}

void Core::onReplicaCheckResponse(const ReadersResponse& reply) {
  if (reply.hasEntry && leavingSince != TimePoint{} && reply.core != self.id) replicaHolders.insert(reply.core);
}

bool Core::safeToStop() const { return !replicatedLog->formed() || replicaHolders.size() >= timing.minReplicas(); }

}  // namespace tt
