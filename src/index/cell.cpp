#include "cell.hpp"

#include <algorithm>

namespace tt {
namespace {
constexpr Duration askAgain = 700ms;
constexpr Duration droppedKept = 30s;
constexpr std::size_t droppedMost = 50000;
constexpr Duration weighEvery = 500ms;
constexpr Duration movingEvery = 250ms;
constexpr Duration publishIdle = 500ms;
constexpr Duration summariesEvery = 250ms;
constexpr Duration speedKept = 30s;
constexpr std::size_t summaryMost = 8192;
}  // namespace

std::string BloomFilter::make(const std::unordered_set<BlockHash, BlockHashHasher>& kept) {
  if (kept.empty()) return {};
  std::size_t bytes = 16;
  while (bytes < kept.size() + kept.size() / 4 && bytes < summaryMost) bytes *= 2;
  std::string bits(bytes, '\0');
  for (const auto& hash : kept)
    for (std::uint64_t probe : {hash.high, hash.low, hash.high >> 32 ^ hash.low >> 16}) {
      std::size_t bit = probe % (bytes * 8);
      bits[bit / 8] = static_cast<char>(bits[bit / 8] | (1 << bit % 8));
    }
  return bits;
}

bool BloomFilter::mayContain(const std::string& bits, const BlockHash& hash) {
  if (bits.empty()) return false;
  for (std::uint64_t probe : {hash.high, hash.low, hash.high >> 32 ^ hash.low >> 16}) {
    std::size_t bit = probe % (bits.size() * 8);
    if (!(bits[bit / 8] >> bit % 8 & 1)) return false;
  }
  return true;
}

const Cell::WatchActions& Cell::watchActions() {
  static const WatchActions table{{"tellDone", &Cell::tellDone}, {"tellFailed", &Cell::tellFailed}};
  return table;
}

Cell::Cell(std::string zone, const Member& self, bool local, Defences defencesGiven, CellSettings cellSettings)
    : election("cell/" + zone, self.id, local ? Duration(0) : Duration(600ms), defencesGiven),
      place(std::move(zone)),
      selfId(self.id),
      selfAddress(self.address),
      defences(defencesGiven),
      settings(cellSettings) {
  election.changed = [this](Effects& effects, bool won) { whenHolds(effects, won); };
}

void Cell::whenHolds(Effects& effects, bool) {
  wonAt = effects.now;
  for (auto& [name, keeper] : rows) {
    keeper.confirmed = false;
    keeper.askPending = false;
    keeper.kept.clear();
    keeper.summaryStale = true;
    keeper.heardAt = effects.now;
    keeper.known = false;
    keeper.last.countsOrders = false;
    keeper.conditionAt = keeper.conditionAskedAt = TimePoint{};
  }
  rollouts.clear();
  watches.clear();
  agentMarks.clear();
  prefills.clear();
  sequence = 0;
  said.clear();
  newsDue = true;
}

void Cell::setMachines(const std::vector<Machine>& machines) {
  std::set<std::string> listed;
  for (const auto& machine : machines) {
    if (machine.zone != place) continue;
    listed.insert(machine.name);
    auto& keeper = rows[machine.name];
    if (keeper.machine.address != machine.address) keeper = CacheNode{};
    if (keeper.machine.leaving != machine.leaving || keeper.machine.name.empty()) newsDue = true;
    if (settings.separateStatus && keeper.conditionAt == TimePoint{}) {
      keeper.last.weights = machine.weights;
      keeper.last.model = machine.model;
      keeper.last.slots = machine.slots;
    }
    keeper.machine = machine;
  }
  prefills.keepOnly(listed);
  for (auto row = rows.begin(); row != rows.end();) {
    if (listed.count(row->first)) {
      ++row;
      continue;
    }
    rollouts.erase(row->first);
    row = rows.erase(row);
    newsDue = true;
  }
}

void Cell::doubt(Effects& effects, CacheNode& keeper, const char* why) {
  if (!keeper.confirmed) return;
  keeper.confirmed = false;
  keeper.kept.clear();
  keeper.summaryStale = true;
  newsDue = true;
  effects.note("keeper unconfirmed", keeper.machine.name + " " + why);
}

bool Cell::reports(const CacheNode& keeper) const { return !settings.separateStatus || keeper.machine.kind != "app"; }

void Cell::askReports(Effects& effects) {
  for (auto& [name, keeper] : rows) {
    if (!reports(keeper)) continue;
    if (keeper.known && effects.now - keeper.heardAt > settings.reportTimeout) doubt(effects, keeper, "late");
    if (settings.separateStatus) askCondition(effects, keeper);
    if (keeper.askPending ? effects.now - keeper.askedAt < askAgain
                          : effects.now - keeper.askedAt < settings.reportInterval)
      continue;
    bool sweeping = false;
    if (keeper.confirmed && settings.fullReportInterval > Duration(0) &&
        effects.now - sweptAt > settings.fullReportInterval && name > sweptLast) {
      sweeping = true;
      sweptAt = effects.now;
      sweptLast = name;
    }
    keeper.askPending = true;
    keeper.askedAt = effects.now;
    effects.send(keeper.machine.address,
                 ReportAsk{keeper.applied, keeper.last.incarnation, sweeping || !keeper.confirmed,
                           static_cast<int>(settings.separateStatus ? ReportScope::index : ReportScope::all), name});
  }
  if (effects.now - sweptAt > 2 * settings.fullReportInterval) sweptLast.clear();
}

void Cell::askCondition(Effects& effects, CacheNode& keeper) {
  if (keeper.machine.kind != "language" || keeper.machine.leaving) return;
  auto rollout = rollouts.find(keeper.machine.name);
  bool moving =
      rollout != rollouts.end() && !rollout->second.walk->in("serving") && !rollout->second.walk->in("marking");
  if (keeper.conditionAt != TimePoint{} && !moving && settings.statusInterval == Duration(0)) return;
  Duration every = moving ? movingEvery : keeper.conditionAt == TimePoint{} ? askAgain : settings.statusInterval;
  if (effects.now - keeper.conditionAskedAt < every) return;
  keeper.conditionAskedAt = effects.now;
  effects.send(keeper.machine.address,
               ReportAsk{0, {}, false, static_cast<int>(ReportScope::condition), keeper.machine.name});
}

void Cell::onCondition(Effects& effects, CacheNode& keeper, const Report& report) {
  bool changed = keeper.last.weights != report.weights || keeper.last.draining != report.draining ||
                 keeper.conditionAt == TimePoint{} || keeper.last.waiting != report.waiting ||
                 keeper.last.running / 4 != report.running / 4;
  keeper.conditionAt = effects.now;
  keeper.last.weights = report.weights;
  keeper.last.model = report.model;
  keeper.last.running = report.running;
  keeper.last.waiting = report.waiting;
  keeper.last.memory = report.memory;
  keeper.last.slots = report.slots;
  keeper.last.draining = report.draining;
  keeper.last.countsOrders = report.countsOrders;
  keeper.last.orders = report.orders;
  newsDue = newsDue || changed;
  moveRollouts(effects, *lastConfiguration);
}

void Cell::onReport(Effects& effects, const Report& report) {
  auto found = rows.find(report.worker);
  if (found == rows.end()) {
    effects.note("report denied", report.worker);
    return;
  }
  auto& keeper = found->second;
  if (report.scope == static_cast<int>(ReportScope::condition)) return onCondition(effects, keeper, report);
  keeper.askPending = false;
  if (effects.now - keeper.askedAt > settings.reportTimeout) {
    effects.note("report late", report.worker);
    return;
  }
  bool indexOnly = report.scope == static_cast<int>(ReportScope::index);
  bool changed =
      !keeper.known || (!indexOnly && (keeper.last.running != report.running || keeper.last.weights != report.weights ||
                                       keeper.last.draining != report.draining));
  if (keeper.known && keeper.last.incarnation != report.incarnation) {
    doubt(effects, keeper, "new incarnation");
    keeper.applied = 0;
  }
  if (keeper.confirmed && !indexOnly && keeper.last.weights != report.weights) doubt(effects, keeper, "other weights");
  keeper.heardAt = effects.now;
  keeper.known = true;
  if (indexOnly) {
    keeper.last.incarnation = report.incarnation;
    keeper.last.sequence = report.sequence;
    if (report.lost) doubt(effects, keeper, "gap");
    if (keeper.confirmed && !report.whole && report.sequence < keeper.applied)
      return effects.note("report late", report.worker);
  } else {
    keeper.last = report;
    keeper.last.kept.clear();
    keeper.last.events.clear();
  }
  newsDue = newsDue || changed;
  if (report.whole) {
    std::unordered_set<BlockHash, BlockHashHasher> kept(report.kept.begin(), report.kept.end());
    if (keeper.confirmed) {
      std::int64_t mended = 0;
      for (const auto& hash : kept) mended += !keeper.kept.count(hash);
      for (const auto& hash : keeper.kept) mended += !kept.count(hash);
      effects.note("swept", report.worker, mended);
      if (mended) effects.note("sweep mended", report.worker, mended);
    } else {
      effects.note("keeper confirmed", report.worker, static_cast<std::int64_t>(kept.size()));
    }
    keeper.kept = std::move(kept);
    keeper.applied = report.sequence;
    keeper.confirmed = true;
    keeper.summaryStale = true;
    newsDue = true;
    return;
  }
  if (!keeper.confirmed) return;
  for (const auto& event : report.events) {
    if (event.sequence <= keeper.applied && !report.gaps) continue;
    if (event.sequence != keeper.applied + 1 && !report.gaps) {
      doubt(effects, keeper, "gap");
      return;
    }
    keeper.applied = event.sequence;
    switch (static_cast<CacheEventKind>(event.kind)) {
      case CacheEventKind::stored:
        keeper.kept.insert(event.hashes.begin(), event.hashes.end());
        break;
      case CacheEventKind::removed:
        for (const auto& hash : event.hashes) {
          if (!keeper.kept.erase(hash) || keeper.machine.kind != "store") continue;
          if (keeper.dropped.size() > droppedMost) keeper.dropped.clear();
          keeper.dropped[hash] = effects.now;
        }
        break;
      case CacheEventKind::cleared:
        keeper.kept.clear();
        break;
    }
    keeper.summaryStale = true;
    newsDue = newsDue || settings.publishSummaries;
  }
  if (report.gaps) keeper.applied = report.sequence;
  if (report.sequence != keeper.applied) doubt(effects, keeper, "gap");
}

void Cell::weighStore(CacheNode& keeper, const BlockHash& prefix, TimePoint now) {
  if (keeper.kept.count(prefix))
    ++keeper.found;
  else if (auto gone = keeper.dropped.find(prefix); gone != keeper.dropped.end() && now - gone->second < droppedKept)
    ++keeper.regretted;
  if (now - keeper.weighedAt < weighEvery) return;
  keeper.weighedAt = now;
  if (keeper.regretted * 10 > keeper.found + keeper.regretted)
    keeper.savedPermille = std::max(20, keeper.savedPermille * 9 / 10);
  else
    keeper.savedPermille = std::min(1000, keeper.savedPermille + keeper.savedPermille / 50 + 1);
  keeper.found = keeper.regretted = 0;
  newsDue = true;
}

void Cell::onLookup(Effects& effects, const LookupMsg& ask) {
  if (!election.holdsLease(effects.now)) return;
  auto found = rows.find(ask.keeper);
  LookupReply reply{ask.lookupId, ask.keeper, {}, 0, 0, 0};
  if (found != rows.end()) {
    auto& keeper = found->second;
    if (keeper.machine.kind == "store" && keeper.confirmed && !ask.hashes.empty())
      weighStore(keeper, ask.hashes.back(), effects.now);
    bool usable = keeper.confirmed && effects.now - keeper.heardAt < settings.reportTimeout &&
                  (!keeper.last.draining || settings.separateStatus) && !keeper.machine.leaving &&
                  (keeper.machine.kind == "store" || keeper.last.weights == ask.weights);
    for (const auto& hash : ask.hashes) reply.hits.push_back(usable && keeper.kept.count(hash) ? 1 : 0);
    auto load = prefills.loadOf(ask.keeper, effects.now);
    reply.waitingTokens = load.tokens;
    reply.tokensPerMs = load.tokensPerMs;
    reply.pendingHits = prefills.pendingHits(ask.keeper, ask.hashes, effects.now);
  }
  effects.note("lookup", ask.keeper, static_cast<std::int64_t>(ask.hashes.size()));
  effects.send(ask.replyTo, reply);
}

bool Cell::mayCommand(const ControlAsk& command, TimePoint now) const {
  return rows.count(command.worker) > 0 && command.term == election.term() && election.holdsLease(now);
}

std::int64_t Cell::unconfirmedCount() const {
  std::int64_t count = 0;
  for (const auto& [name, keeper] : rows) count += keeper.machine.kind != "app" && !keeper.confirmed;
  return count;
}

void Cell::recordAgentMark(const std::string& agent, const CellVersion& mark, TimePoint now) {
  agentMarks[agent] = AgentMark{mark, now};
}

void Cell::tellDone(Effects& effects, Watch& watch) {
  double seconds = std::chrono::duration<double>(effects.now - watch.startedAt).count();
  speeds[{watch.ask.source, watch.ask.target}] =
      Speed{static_cast<double>(watch.ask.hashes.size()) / std::max(seconds, 0.001), effects.now};
  newsDue = true;
  effects.note("transfer done", watch.ask.moveId, toMilliseconds(effects.now - watch.startedAt));
  effects.send(watch.ask.replyTo, TransferDone{watch.ask.moveId, true});
}

void Cell::tellFailed(Effects& effects, Watch& watch) {
  double seconds = std::max(std::chrono::duration<double>(effects.now - watch.startedAt).count(), 0.001);
  auto& speed = speeds[{watch.ask.source, watch.ask.target}];
  speed = Speed{static_cast<double>(watch.ask.hashes.size()) / seconds / 2, effects.now};
  newsDue = true;
  if (auto source = rows.find(watch.ask.source); source != rows.end() && !settings.separateStatus)
    doubt(effects, source->second, "move came short");
  effects.note("transfer failed", watch.ask.moveId);
  effects.send(watch.ask.replyTo, TransferDone{watch.ask.moveId, false});
}

void Cell::moveWatches(Effects& effects) {
  for (auto row = watches.begin(); row != watches.end();) {
    auto& watch = row->second;
    auto found = rows.find(watch.ask.target);
    if (found == rows.end()) {
      watch.walk->dispatch(*this, "denied", effects, watch);
    } else {
      const auto& kept = found->second.kept;
      bool all = found->second.confirmed && std::all_of(watch.ask.hashes.begin(), watch.ask.hashes.end(),
                                                        [&](const BlockHash& hash) { return kept.count(hash) > 0; });
      if (all)
        watch.walk->dispatch(*this, "done", effects, watch);
      else if (effects.now >= watch.deadline)
        watch.walk->dispatch(*this, "overdue", effects, watch);
      else
        watch.walk->dispatch(*this, "accepted", effects, watch);
    }
    row = watch.walk->in("finished") || watch.walk->in("failed") ? watches.erase(row) : std::next(row);
  }
}

void Cell::tellChanges(CellNews& news) {
  std::map<std::string, WorkerView> now;
  for (auto& worker : news.workers) {
    worker.kept = worker.reportSequence = 0;
    worker.running = std::min(worker.running, 8) + std::max(0, worker.running - 8) / 4 * 4;
    now[worker.name] = worker;
  }
  bool whole = sequence <= 1 || said.empty();
  auto stated = [](const WorkerView& row) {
    return std::tie(row.address, row.kind, row.weights, row.model, row.running, row.slots, row.held, row.alive,
                    row.confirmed, row.service, row.waiting, row.savedPermille);
  };
  if (!whole) {
    news.base = news.sequence - 1;
    news.workers.clear();
    for (const auto& [name, worker] : now)
      if (auto old = said.find(name); old == said.end() || stated(old->second) != stated(worker))
        news.workers.push_back(worker);
    for (const auto& [name, worker] : said)
      if (!now.count(name)) news.gone.push_back(name);
  }
  said = std::move(now);
}

void Cell::publishNews(Effects& effects) {
  if (effects.now - publishedAt < (newsDue ? settings.publishInterval : publishIdle)) return;
  if (!election.holdsLease(effects.now)) return;
  publishedAt = effects.now;
  bool omitsSummaries = sequence > 0 && effects.now - summariesAt < summariesEvery;
  if (!omitsSummaries) summariesAt = effects.now;
  newsDue = omitsSummaries;
  CellNews news{place, election.term(), ++sequence, selfAddress, {}, {}, omitsSummaries};
  for (auto& [name, keeper] : rows) {
    if (keeper.summaryStale && !omitsSummaries && settings.publishSummaries) {
      keeper.summary = BloomFilter::make(keeper.kept);
      keeper.summaryStale = false;
    }
    auto rollout = rollouts.find(name);
    auto wanted = lastConfiguration ? lastConfiguration->weightsOf(keeper.last.model) : std::nullopt;
    bool right = !wanted || keeper.last.weights == *wanted;
    bool held = (keeper.last.draining && (!settings.singleLoadCommand || !right)) ||
                (rollout != rollouts.end() && !rollout->second.walk->in("serving"));
    bool alive = !reports(keeper) || (keeper.known && effects.now - keeper.heardAt < settings.workerTimeout);
    news.workers.push_back(WorkerView{name, keeper.machine.address, place, keeper.machine.kind, keeper.last.weights,
                                      keeper.last.model, keeper.last.running, keeper.last.slots, held, alive,
                                      keeper.confirmed, keeper.kept.size(), keeper.last.sequence,
                                      omitsSummaries ? std::string() : keeper.summary, keeper.machine.service,
                                      keeper.last.waiting, keeper.last.memory, keeper.savedPermille});
  }
  if (!settings.publishSummaries) tellChanges(news);
  for (auto speed = speeds.begin(); speed != speeds.end();) {
    if (effects.now - speed->second.at > speedKept) {
      speed = speeds.erase(speed);
      continue;
    }
    news.links.push_back(LinkSpeed{speed->first.first, speed->first.second, speed->second.blocksPerSecond});
    ++speed;
  }
  if (publish) publish(effects, news);
}

void Cell::tick(Effects& effects, const Configuration& configuration) {
  election.tick(effects);
  lastConfiguration = &configuration;
  if (!election.holdsLease(effects.now)) return;
  askReports(effects);
  moveRollouts(effects, configuration);
  moveWatches(effects);
  publishNews(effects);
}

void Cell::handle(Effects& effects, const std::string& from, const Message& message) {
  if (auto* report = std::get_if<Report>(&message)) {
    if (election.holdsLease(effects.now)) {
      onReport(effects, *report);
      moveWatches(effects);
    }
  } else if (auto* lookup = std::get_if<LookupMsg>(&message)) {
    onLookup(effects, *lookup);
  } else if (auto* started = std::get_if<PrefillStarted>(&message)) {
    if (election.holdsLease(effects.now) && rows.count(started->worker)) prefills.start(*started, effects.now);
  } else if (auto* ended = std::get_if<PrefillEnded>(&message)) {
    prefills.end(*ended, effects.now);
  } else if (auto* watch = std::get_if<WatchMsg>(&message)) {
    if (!election.holdsLease(effects.now)) return;
    Watch made;
    made.ask = *watch;
    made.startedAt = effects.now;
    made.deadline = effects.now + std::chrono::milliseconds(std::clamp<std::int64_t>(watch->deadlineMs, 1, 10000));
    made.walk = std::make_unique<StateMachine<Cell, Effects&, Watch&>>("transfer", watchActions(), "asked");
    if (watches.size() < 4096) watches[watch->moveId] = std::move(made);
  } else if (auto* reply = std::get_if<ControlReply>(&message)) {
    if (reply->code == static_cast<int>(Code::termOld)) election.observeTerm(effects, reply->term);
    auto rollout = rollouts.find(reply->worker);
    if (reply->code != static_cast<int>(Code::done) || rollout == rollouts.end()) return;
    bool answersLast =
        reply->term == election.term() && (reply->number == 0 || reply->number == rollout->second.commandNumber);
    if (!answersLast) return effects.note("command answered late", reply->worker);
    rollout->second.takenAt = effects.now;
  } else {
    election.handle(effects, from, message);
  }
}

}  // namespace tt
