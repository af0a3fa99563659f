#include "cluster_view.hpp"

#include <algorithm>

namespace tt {

ClusterView::ClusterView(ReaderSettings readerSettings) : settings(std::move(readerSettings)) {}

Strings ClusterView::coreAddresses(const Configuration& view) const {
  std::set<std::string> addresses(toldAddresses.begin(), toldAddresses.end());
  for (const auto& member : view.members()) addresses.insert(member.address);
  if (addresses.empty() || outOfTouch)
    for (const auto& seed : settings.seeds) addresses.insert(seed);
  return Strings(addresses.begin(), addresses.end());
}

void ClusterView::ask(Effects& effects, Uint64 applied, const std::vector<CellVersion>& cells,
                      const Configuration& view) {
  outOfTouch = !fresh(effects.now);
  if (!settings.defences.isEnabled(Defence::freshnessWeighed)) updateCompleteness(effects.now, view);
  auto addresses = coreAddresses(view);
  for (auto row = cores.begin(); row != cores.end();)
    row = std::find(addresses.begin(), addresses.end(), row->first) == addresses.end() ? cores.erase(row)
                                                                                       : std::next(row);
  for (const auto& address : addresses) {
    auto& core = cores[address];
    while (core.asks.size() > 16) core.asks.erase(core.asks.begin());
    core.asks[++askCount] = effects.now;
    effects.send(address, LogEndRequest{askCount, settings.name, settings.zone, applied, cells, fresh(effects.now),
                                        settings.relays, digest});
  }
}

void ClusterView::handle(Effects& effects, const std::string& from, const LogEndResponse& reply,
                         const Configuration& view) {
  auto found = cores.find(from);
  if (found == cores.end()) return;
  auto& core = found->second;
  auto asked = core.asks.find(reply.requestId);
  if (asked == core.asks.end()) return;
  TimePoint askedAt = asked->second;
  core.asks.erase(core.asks.begin(), std::next(asked));
  if (reply.machineListKnown && reply.machineListAgeNs >= 0) {
    TimePoint listedAt = askedAt - Duration(reply.machineListAgeNs);
    if (reply.machineListDigest == digest && machineListKnown())
      marksAskedAt = std::max(marksAskedAt, listedAt);
    else if (digestOfMachineList(reply.machines) == reply.machineListDigest)
      offerMarks(reply.machines, listedAt);
  } else if (!reply.machineListKnown && machineListKnown()) {
    effects.send(from, MarksMsg{(effects.now - marksAskedAt).count(), machineRows});
  }
  if (!core.heard || askedAt >= core.askedAt) {
    core.askedAt = askedAt;
    core.reply = reply;
    core.reply.machines.clear();
    core.heard = true;
  }
  learnFrom(effects, from, reply, askedAt);
  highestCommit = std::max(highestCommit, reply.commit);
  if (reply.commit >= toldCommit) {
    toldCommit = reply.commit;
    toldAddresses.clear();
    for (const auto& member : reply.members) toldAddresses.push_back(member.address);
  }
  watchRows = reply.watch;
  updateCompleteness(effects.now, view);
}

bool ClusterView::offerMarks(const std::vector<Machine>& machines, TimePoint askedAt) {
  if (machines.empty()) return false;
  if (machineListKnown() && askedAt <= marksAskedAt && settings.defences.isEnabled(Defence::listOrder)) return false;
  marksAskedAt = askedAt;
  Uint64 newDigest = digestOfMachineList(machines);
  if (newDigest == digest) return false;
  digest = newDigest;
  machineRows = machines;
  return true;
}

std::string ClusterView::furthestCore(TimePoint now, Uint64 beyond) const {
  std::string best;
  Uint64 most = beyond;
  for (const auto& [address, core] : cores)
    if (core.heard && now - core.askedAt < 1s && core.reply.commit > most) {
      most = core.reply.commit;
      best = address;
    }
  return best;
}

std::optional<Uint64> ClusterView::neededBy(const std::vector<const CoreRow*>& heard, std::size_t voters) const {
  std::size_t quorum = voters / 2 + 1;
  if (heard.size() < voters - quorum + 1) return std::nullopt;
  Uint64 highest = 0;
  for (auto* core : heard) highest = std::max(highest, core->reply.term);
  for (auto* core : heard)
    if (core->reply.leads && core->reply.term == highest) return core->reply.commit;
  std::vector<Uint64> ends;
  for (auto* core : heard) ends.push_back(core->reply.lastIndex);
  std::sort(ends.rbegin(), ends.rend());
  std::size_t silent = voters - heard.size();
  return ends[quorum - silent - 1];
}

std::vector<const ClusterView::CoreRow*> ClusterView::heardOf(const std::vector<Member>& members) const {
  std::vector<const CoreRow*> heard;
  for (const auto& member : members) {
    if (!member.votes) continue;
    const CoreRow* newest = nullptr;
    for (const auto& [address, core] : cores)
      if (core.heard && core.reply.core == member.id && (!newest || core.askedAt > newest->askedAt)) newest = &core;
    if (newest) heard.push_back(newest);
  }
  std::sort(heard.begin(), heard.end(),
            [](const CoreRow* one, const CoreRow* other) { return one->askedAt > other->askedAt; });
  return heard;
}

TimePoint ClusterView::completeBy(const std::vector<const CoreRow*>& heard, std::size_t least, std::size_t voters,
                                  Uint64 applied) const {
  for (std::size_t number = least; number <= heard.size(); ++number) {
    std::vector<const CoreRow*> newest(heard.begin(), heard.begin() + static_cast<std::ptrdiff_t>(number));
    auto needed = neededBy(newest, voters);
    if (needed && *needed <= applied) return newest.back()->askedAt;
  }
  return TimePoint{};
}

void ClusterView::noteVersions(const Configuration& view) {
  if (view.index() == notedIndex) return;
  notedIndex = view.index();
  const auto* models = view.findSection("models");
  if (!models) return;
  auto complete = completeUntil == TimePoint{} ? std::nullopt : std::optional<TimePoint>(completeUntil);
  for (const auto& [model, item] : *models) timeline.observe(model, stringOr(item, "weights"), complete, view.index());
}

void ClusterView::learnFrom(Effects& effects, const std::string& from, const LogEndResponse& reply, TimePoint askedAt) {
  timeline.mergeFrom(reply.namings, askedAt);
  for (const auto& mine : timeline.newestWithKnownTime(effects.now))
    if (forgot(reply, mine)) return effects.send(from, NamingsMsg{timeline.exportAll(effects.now)});
}

bool ClusterView::forgot(const LogEndResponse& reply, const WeightsAnnouncement& newest) {
  return std::any_of(reply.namings.begin(), reply.namings.end(), [&](const WeightsAnnouncement& naming) {
    return naming.model == newest.model && naming.weights == newest.weights && naming.age < 0;
  });
}

void ClusterView::updateCompleteness(TimePoint now, const Configuration& view) {
  noteVersions(view);
  timeline.pruneExpired(now, timing.oldWeightsTimeout);
  if (!settings.defences.isEnabled(Defence::freshnessWeighed)) {
    completeUntil = majorityUntil = view.members().empty() ? TimePoint{} : now;
    return;
  }
  std::size_t voters = static_cast<std::size_t>(
      std::count_if(view.members().begin(), view.members().end(), [](const Member& member) { return member.votes; }));
  if (voters == 0) return;
  std::size_t quorum = voters / 2 + 1;
  auto heard = heardOf(view.members());
  completeUntil = std::max(completeUntil, completeBy(heard, voters - quorum + 1, voters, view.index()));
  majorityUntil = std::max(majorityUntil, completeBy(heard, quorum, voters, view.index()));
}

}  // namespace tt
