#include "cluster_view.hpp"

#include <algorithm>

namespace tt {
namespace {
/// The largest number of open requests to a core that are remembered; responses to older ones are ignored.
constexpr std::size_t maxOpenRequests = 16;
/// How old a core's newest response may be for the core to count as reachable.
constexpr Duration maxResponseAge = 1s;
}  // namespace

ClusterView::ClusterView(ReaderSettings readerSettings) : settings(std::move(readerSettings)) {}

Strings ClusterView::coreAddresses(const Configuration& view) const {
  std::set<std::string> addresses(reportedAddresses.begin(), reportedAddresses.end());
  for (const auto& member : view.members()) addresses.insert(member.address);
  if (addresses.empty() || wasStale)
    for (const auto& seed : settings.seeds) addresses.insert(seed);
  return Strings(addresses.begin(), addresses.end());
}

void ClusterView::requestLogEnds(Effects& effects, Uint64 applied, const std::vector<CellVersion>& cells,
                                 const Configuration& view) {
  wasStale = !fresh(effects.now);
  if (!settings.defences.isEnabled(Defence::freshnessWeighed)) updateCompleteness(effects.now, view);
  auto addresses = coreAddresses(view);
  for (auto row = cores.begin(); row != cores.end();)
    row = std::find(addresses.begin(), addresses.end(), row->first) == addresses.end() ? cores.erase(row)
                                                                                       : std::next(row);
  for (const auto& address : addresses) {
    auto& core = cores[address];
    while (core.requestTimes.size() > maxOpenRequests) core.requestTimes.erase(core.requestTimes.begin());
    core.requestTimes[++requestCount] = effects.now;
    effects.send(address, LogEndRequest{requestCount, settings.name, settings.zone, applied, cells, fresh(effects.now),
                                        settings.relays, listDigest});
  }
}

void ClusterView::handle(Effects& effects, const std::string& from, const LogEndResponse& reply,
                         const Configuration& view) {
  auto found = cores.find(from);
  if (found == cores.end()) return;
  auto& core = found->second;
  auto openRequest = core.requestTimes.find(reply.requestId);
  if (openRequest == core.requestTimes.end()) return;
  TimePoint requestedAt = openRequest->second;
  core.requestTimes.erase(core.requestTimes.begin(), std::next(openRequest));
  if (reply.machineListKnown && reply.machineListAgeNs >= 0) {
    TimePoint listTime = requestedAt - Duration(reply.machineListAgeNs);
    if (reply.machineListDigest == listDigest && machineListKnown())
      listRequestedAt = std::max(listRequestedAt, listTime);
    else if (digestOfMachineList(reply.machines) == reply.machineListDigest)
      offerMachineList(reply.machines, listTime);
  } else if (!reply.machineListKnown && machineListKnown()) {
    effects.send(from, MarksMsg{(effects.now - listRequestedAt).count(), machineList});
  }
  if (!core.responded || requestedAt >= core.requestedAt) {
    core.requestedAt = requestedAt;
    core.reply = reply;
    core.reply.machines.clear();
    core.responded = true;
  }
  mergeAnnouncementsFrom(effects, from, reply, requestedAt);
  highestCommit = std::max(highestCommit, reply.commit);
  if (reply.commit >= reportedCommit) {
    reportedCommit = reply.commit;
    reportedAddresses.clear();
    for (const auto& member : reply.members) reportedAddresses.push_back(member.address);
  }
  upstreams = reply.upstreamCandidates;
  updateCompleteness(effects.now, view);
}

bool ClusterView::offerMachineList(const std::vector<Machine>& machines, TimePoint requestedAt) {
  if (machines.empty()) return false;
  if (machineListKnown() && requestedAt <= listRequestedAt && settings.defences.isEnabled(Defence::listOrder))
    return false;
  listRequestedAt = requestedAt;
  Uint64 newDigest = digestOfMachineList(machines);
  if (newDigest == listDigest) return false;
  listDigest = newDigest;
  machineList = machines;
  return true;
}

std::string ClusterView::furthestCore(TimePoint now, Uint64 beyond) const {
  std::string best;
  Uint64 maxCommit = beyond;
  for (const auto& [address, core] : cores)
    if (core.responded && now - core.requestedAt < maxResponseAge && core.reply.commit > maxCommit) {
      maxCommit = core.reply.commit;
      best = address;
    }
  return best;
}

std::optional<Uint64> ClusterView::requiredIndex(const std::vector<const CoreState*>& replies,
                                                 std::size_t voters) const {
  std::size_t quorum = voters / 2 + 1;
  if (replies.size() < voters - quorum + 1) return std::nullopt;
  Uint64 highest = 0;
  for (auto* core : replies) highest = std::max(highest, core->reply.term);
  for (auto* core : replies)
    if (core->reply.leads && core->reply.term == highest) return core->reply.commit;
  std::vector<Uint64> ends;
  for (auto* core : replies) ends.push_back(core->reply.lastIndex);
  std::sort(ends.rbegin(), ends.rend());
  /// No leader's commit index is known. An index may be committed if a quorum has it, counting every voter that did not
  /// respond.
  std::size_t silent = voters - replies.size();
  return ends[quorum - silent - 1];
}

std::vector<const ClusterView::CoreState*> ClusterView::newestReplies(const std::vector<Member>& members) const {
  std::vector<const CoreState*> replies;
  for (const auto& member : members) {
    if (!member.votes) continue;
    const CoreState* newest = nullptr;
    for (const auto& [address, core] : cores)
      if (core.responded && core.reply.core == member.id && (!newest || core.requestedAt > newest->requestedAt))
        newest = &core;
    if (newest) replies.push_back(newest);
  }
  std::sort(replies.begin(), replies.end(),
            [](const CoreState* one, const CoreState* other) { return one->requestedAt > other->requestedAt; });
  return replies;
}

TimePoint ClusterView::completenessTime(const std::vector<const CoreState*>& replies, std::size_t minReplies,
                                        std::size_t voters, Uint64 applied) const {
  for (std::size_t count = minReplies; count <= replies.size(); ++count) {
    std::vector<const CoreState*> newest(replies.begin(), replies.begin() + static_cast<std::ptrdiff_t>(count));
    auto required = requiredIndex(newest, voters);
    if (required && *required <= applied) return newest.back()->requestedAt;
  }
  return TimePoint{};
}

void ClusterView::recordAnnouncements(const Configuration& view) {
  if (view.index() == notedIndex) return;
  notedIndex = view.index();
  const auto* models = view.findSection("models");
  if (!models) return;
  auto complete = completeUntil == TimePoint{} ? std::nullopt : std::optional<TimePoint>(completeUntil);
  for (const auto& [model, item] : *models) timeline.observe(model, stringOr(item, "weights"), complete, view.index());
}

void ClusterView::mergeAnnouncementsFrom(Effects& effects, const std::string& from, const LogEndResponse& reply,
                                         TimePoint requestedAt) {
  timeline.mergeFrom(reply.weightsAnnouncements, requestedAt);
  for (const auto& own : timeline.newestWithKnownTime(effects.now))
    if (hasForgotten(reply, own)) return effects.send(from, NamingsMsg{timeline.exportAll(effects.now)});
}

bool ClusterView::hasForgotten(const LogEndResponse& reply, const WeightsAnnouncement& newest) {
  return std::any_of(reply.weightsAnnouncements.begin(), reply.weightsAnnouncements.end(),
                     [&](const WeightsAnnouncement& announcement) {
                       return announcement.model == newest.model && announcement.weights == newest.weights &&
                              announcement.age < 0;
                     });
}

void ClusterView::updateCompleteness(TimePoint now, const Configuration& view) {
  recordAnnouncements(view);
  timeline.pruneExpired(now, timing.oldWeightsTimeout);
  if (!settings.defences.isEnabled(Defence::freshnessWeighed)) {
    completeUntil = majorityCompleteUntil = view.members().empty() ? TimePoint{} : now;
    return;
  }
  std::size_t voters = static_cast<std::size_t>(
      std::count_if(view.members().begin(), view.members().end(), [](const Member& member) { return member.votes; }));
  if (voters == 0) return;
  std::size_t quorum = voters / 2 + 1;
  auto replies = newestReplies(view.members());
  completeUntil = std::max(completeUntil, completenessTime(replies, voters - quorum + 1, voters, view.index()));
  majorityCompleteUntil = std::max(majorityCompleteUntil, completenessTime(replies, quorum, voters, view.index()));
}

}  // namespace tt
