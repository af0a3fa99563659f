#include <algorithm>

#include "core.hpp"

namespace tt {
namespace {
constexpr Duration helloEvery = 300ms;
constexpr Duration copiesEvery = 50ms;
}  // namespace

void Core::seekFleet(Effects& effects) {
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
      (replicatedLog->election.won() || effects.now - replicatedLog->lastLeaderContact() < timing.successorWait))
    return;
  if (effects.now - helloAt >= helloEvery) {
    helloAt = effects.now;
    for (const auto& seed : settings.seeds)
      if (seed != self.address) effects.send(seed, HelloRequest{self, replicatedLog->formed()});
    considerForming(effects);
  }
  if (effects.now - joinAt < timing.joinInterval || leaveAt != TimePoint{}) return;
  std::set<std::string> told;
  for (const auto& [seed, hello] : hellos)
    for (const auto& row : hello.members) told.insert(row.address);
  for (const auto& row : replicatedLog->members()) told.insert(row.address);
  told.erase(self.address);
  if (!told.empty()) joinAt = effects.now;
  for (const auto& address : told) effects.send(address, JoinRequest{self});
}

void Core::considerForming(Effects& effects) {
  if (replicatedLog->formed() || !settings.mayForm) return;
  std::vector<Member> first{self};
  if (std::find(settings.seeds.begin(), settings.seeds.end(), self.address) == settings.seeds.end() &&
      settings.cell.onlySeedsBootstrap)
    return;
  for (const auto& seed : settings.seeds) {
    if (seed == self.address) continue;
    auto found = hellos.find(seed);
    if (found == hellos.end() || found->second.formed) return;
    first.push_back(found->second.self);
  }
  std::sort(first.begin(), first.end(), [](const Member& one, const Member& other) { return one.id < other.id; });
  if (first.front().id != self.id) return;
  for (const auto& row : first)
    if (row.id != self.id) effects.send(row.address, FormRequest{first});
  replicatedLog->form(effects, first);
}

void Core::askCopies(Effects& effects) {
  if (leaveAt == TimePoint{} || safeToStop() || effects.now - copiesAt < copiesEvery) return;
  copiesAt = effects.now;
  Uint64 end = replicatedLog->lastSyncedIndex();
  Uint64 term = replicatedLog->election.logEnd().first;
  for (const auto& member : replicatedLog->members())
    if (member.votes && member.id != self.id) effects.send(member.address, ReadersRequest{copiesRound, end, term});
}

void Core::onCopiesReply(const ReadersResponse& reply) {
  if (reply.has && leaveAt != TimePoint{} && reply.core != self.id) copyHolders.insert(reply.core);
}

bool Core::safeToStop() const { return !replicatedLog->formed() || copyHolders.size() >= timing.copiesLeast(); }

}  // namespace tt
