#include "model_world.hpp"

#include <algorithm>

#include "members.hpp"

namespace tt::model {
namespace {
const TimePoint startOfTime = TimePoint(std::chrono::hours(100));
const std::string clientAddress = "client";
constexpr Duration roundSpan = 20ms;
constexpr Duration leaderSilent = 3s;
constexpr Duration livenessSpan = 15s, livenessStep = 500ms;
/// A longer wait, in which nothing happens at all, is no calm.
constexpr int mostCalmWait = 100;
constexpr std::uint64_t luckSpread = 0x9e3779b97f4a7c15ull;

int numberAt(const std::string& address) { return address.size() == 3 && address[0] == '~' ? address[1] - '1' : -1; }

std::string nameOf(int number) { return "replica~" + std::to_string(number + 1); }

RecoveredState recoveredFrom(const Machine& machine) {
  RecoveredState sum = machine.synced;
  for (const auto& record : machine.written) (void)sum.applyRecord(record);
  return sum;
}
}  // namespace

ModelWorld::ModelWorld(const Setup& modelSetup)
    : worldSetup(modelSetup),
      defences(modelSetup.defences().value()),
      machines(static_cast<std::size_t>(modelSetup.machines())),
      images(machines.size()),
      dumps(machines.size()) {
  reset();
}

std::string ModelWorld::addressOf(int number) { return "~" + std::to_string(number + 1) + ":"; }

std::string ModelWorld::idOf(int number) const {
  return "~" + std::to_string(number + 1) +
         std::string(1, static_cast<char>('a' + machines[static_cast<std::size_t>(number)].disk % 26));
}

void ModelWorld::changed(int number) {
  images[static_cast<std::size_t>(number)].reset();
  dumps[static_cast<std::size_t>(number)].reset();
}

History& ModelWorld::writeHistory() {
  historyImage.reset();
  return *history;
}

void ModelWorld::reset() {
  clock = startOfTime;
  packets.clear();
  history.emplace(worldSetup.changes + 1, worldSetup.ignoredRules);
  historyImage.reset();
  std::vector<Member> first;
  for (int number = 0; number < worldSetup.machines(); ++number) {
    machines[static_cast<std::size_t>(number)] = Machine{};
    machines[static_cast<std::size_t>(number)].synced.identity = idOf(number);
    if (number < worldSetup.voters) first.push_back(Member{idOf(number), nameOf(number), addressOf(number), {}, true});
  }
  for (int number = 0; number < worldSetup.machines(); ++number) {
    if (number < worldSetup.voters)
      machines[static_cast<std::size_t>(number)].synced.entries.push_back(
          LogEntry{1, 0, static_cast<int>(EntryKind::members), encodeMembers(first), {}, 0});
    boot(number);
  }
}

void ModelWorld::boot(int number) {
  auto& machine = machines[static_cast<std::size_t>(number)];
  changed(number);
  if (machine.synced.identity.empty()) machine.synced.identity = idOf(number);
  RecoveredState recovered = recoveredFrom(machine);
  if (worldSetup.syncsOnStart) {
    machine.synced = recovered;
    machine.written.clear();
  }
  machine.log.emplace(Member{recovered.identity, nameOf(number), addressOf(number), {}, true},
                      worldSetup.maxRecordBytes, defences);
  machine.log->onEntryApplied = [this, number](Effects&, const LogEntry& entry) {
    const auto& log = *machines[static_cast<std::size_t>(number)].log;
    if (entry.kind == static_cast<int>(EntryKind::complete))
      return writeHistory().agreedUpTo(idOf(number), entry.index, entry.term);
    checkAgreed(entry);
    writeHistory().agreed(idOf(number), entry, log.election.term());
  };
  machine.log->restore(recovered, clock);
}

void ModelWorld::halt(int number, std::size_t kept, bool powerGone) {
  auto& machine = machines[static_cast<std::size_t>(number)];
  changed(number);
  std::vector<Record> batch;
  for (const auto& save : machine.writing) batch.push_back(save.record);
  if (!machine.written.empty() && kept > 0 && powerGone) {
    for (const auto& record : machine.written) (void)machine.synced.applyRecord(record);
    --kept;
  }
  if (powerGone) machine.written.clear();
  if (kept == 0) batch.clear();
  for (auto& record : batch) {
    if (powerGone)
      (void)machine.synced.applyRecord(record);
    else
      machine.written.push_back(std::move(record));
  }
  breakCalm();
  machine.log.reset();
  machine.waiting.clear();
  machine.writing.clear();
  machine.frozen = false;
}

void ModelWorld::drive(int number, const std::function<void(Effects&)>& action) {
  auto& machine = machines[static_cast<std::size_t>(number)];
  changed(number);
  Effects effects{clock, random, journal, {}, {}};
  action(effects);
  for (auto& save : effects.saves) machine.waiting.push_back(std::move(save));
  if (machine.writing.empty()) machine.writing.swap(machine.waiting);
  for (auto& [address, message] : effects.sends) post(number, address, std::move(message));
  checkMachine(number);
}

void ModelWorld::post(int from, const std::string& address, Message message) {
  if (address == clientAddress) {
    if (auto* answer = std::get_if<ChangeResponse>(&message)) toClient(from, *answer);
    return;
  }
  int to = numberAt(address);
  if (to < 0 || to >= worldSetup.machines()) return;
  packets.push_back(Packet{from, to, std::make_shared<const Letter>(Letter{std::move(message), {}})});
  if (packets.size() > worldSetup.maxPacketsInFlight) packets.erase(packets.begin());
}

void ModelWorld::toClient(int from, const ChangeResponse& answer) {
  auto change = changeNumber(answer.requestId);
  if (!change) return;
  const auto& log = *machines[static_cast<std::size_t>(from)].log;
  std::uint64_t newestIndex = 0, newestTerm = 0;
  for (const auto& entry : log.entries())
    if (entry.kind == static_cast<int>(EntryKind::change)) {
      newestIndex = entry.index;
      newestTerm = entry.term;
    }
  if (tell)
    say("  client hears of change-" + std::to_string(*change) + ": " + codeName(static_cast<Code>(answer.code)) +
        ", revision " + std::to_string(answer.revision));
  writeHistory().answered(*change, answer, newestIndex, newestTerm);
  if (answer.code == static_cast<int>(Code::changeTaken)) checkAcknowledged(*change);
}

bool ModelWorld::holdsEntry(const Machine& machine, const History::AgreedRow& row) const {
  if (machine.synced.snapshot && machine.synced.snapshot->index >= row.index) return true;
  for (const auto& entry : machine.synced.entries)
    if (entry.index == row.index && entry.term == row.term) return true;
  return false;
}

void ModelWorld::checkAgreed(const LogEntry& entry) {
  std::vector<Member> members;
  for (const auto& row : history->agreedRows()) {
    if (row.index >= entry.index) return;
    if (row.kind == static_cast<int>(EntryKind::members)) members = decodeMembers(row.body);
  }
  checkMajority(entry, members);
  if (entry.kind == static_cast<int>(EntryKind::members)) checkMajority(entry, decodeMembers(entry.body));
}

void ModelWorld::checkMajority(const LogEntry& entry, const std::vector<Member>& members) {
  History::AgreedRow row;
  row.index = entry.index;
  row.term = entry.term;
  std::size_t voters = 0, holders = 0;
  for (const auto& member : members) {
    if (!member.votes) continue;
    ++voters;
    for (int number = 0; number < worldSetup.machines(); ++number)
      if (idOf(number) == member.id) holders += holdsEntry(machines[static_cast<std::size_t>(number)], row);
  }
  if (voters > 0 && holders + static_cast<std::size_t>(lostDisks()) < voters / 2 + 1)
    writeHistory().breakRule("agreed-by-few", "index " + std::to_string(entry.index) + " is agreed while " +
                                                  std::to_string(holders) + " of " + std::to_string(voters) +
                                                  " voters hold it");
}

void ModelWorld::checkAcknowledged(int change) {
  for (const auto& row : history->agreedRows()) {
    if (changeNumber(row.changeId) != change) continue;
    int disks = 0, lost = lostDisks();
    for (const auto& machine : machines) disks += holdsEntry(machine, row);
    if (disks + lost < worldSetup.faultBudget + 1)
      writeHistory().breakRule("too-few-disks", row.changeId + " is acknowledged while only " + std::to_string(disks) +
                                                    " disks hold it and " + std::to_string(lost) + " are lost");
  }
}

std::optional<int> ModelWorld::leader() const {
  for (int number = 0; number < worldSetup.machines(); ++number) {
    const auto& machine = machines[static_cast<std::size_t>(number)];
    if (machine.up() && machine.log->leads(clock)) return number;
  }
  return std::nullopt;
}

void ModelWorld::checkMachine(int number) {
  const auto& machine = machines[static_cast<std::size_t>(number)];
  if (!machine.up()) return;
  const auto& log = *machine.log;
  for (int other = 0; other < worldSetup.machines(); ++other) {
    const auto& fellow = machines[static_cast<std::size_t>(other)];
    if (other == number || !fellow.up()) continue;
    checkLogs(log, *fellow.log);
    if (log.leads(clock) && fellow.log->leads(clock))
      writeHistory().breakRule("two-leases", log.self().id + " leads in term " + std::to_string(log.election.term()) +
                                                 " and " + fellow.log->self().id + " in term " +
                                                 std::to_string(fellow.log->election.term()));
  }
  if (!log.election.won()) return;
  writeHistory().won(log.self().id, log.election.term());
  checkComplete(log);
  if (log.leads(clock) && log.hasCommittedInTerm() && log.configuration().index() < history->mostAcknowledged())
    writeHistory().breakRule("old-read",
                             log.self().id + " would read at index " + std::to_string(log.configuration().index()) +
                                 " what was acknowledged at " + std::to_string(history->mostAcknowledged()));
}

void ModelWorld::checkLogs(const ReplicatedLog& one, const ReplicatedLog& other) {
  const auto& mine = one.entries();
  const auto& theirs = other.entries();
  if (mine.empty() || theirs.empty()) return;
  std::uint64_t first = std::max(mine.front().index, theirs.front().index);
  bool shared = false;
  for (std::uint64_t index = std::min(mine.back().index, theirs.back().index); index >= first && index > 0; --index) {
    const auto& left = mine[index - mine.front().index];
    const auto& right = theirs[index - theirs.front().index];
    if (shared && left.term != right.term)
      return writeHistory().breakRule("logs-differ", one.self().id + " and " + other.self().id +
                                                         " agree later but differ at index " + std::to_string(index));
    if (left.term != right.term) continue;
    shared = true;
    if (left.kind != right.kind || left.body != right.body || left.changeId != right.changeId ||
        left.revision != right.revision)
      return writeHistory().breakRule("logs-differ", one.self().id + " and " + other.self().id +
                                                         " hold different entries at index " + std::to_string(index) +
                                                         " of term " + std::to_string(left.term));
  }
}

void ModelWorld::checkComplete(const ReplicatedLog& log) {
  const auto& base = StateDump::base(log);
  const auto& entries = log.entries();
  for (const auto& row : history->agreedRows()) {
    if (row.inTerm >= log.election.term() || row.index <= base.index) continue;
    bool held = !entries.empty() && row.index >= entries.front().index && row.index <= entries.back().index &&
                entries[row.index - entries.front().index].term == row.term;
    if (!held)
      writeHistory().breakRule("agreed-entry-lost", log.self().id + " leads in term " +
                                                        std::to_string(log.election.term()) + " without index " +
                                                        std::to_string(row.index) + " '" + row.changeId +
                                                        "' agreed in term " + std::to_string(row.inTerm));
  }
}

std::optional<std::size_t> ModelWorld::find(const Choice& choice) const {
  int place = 0;
  for (std::size_t at = 0; at < packets.size(); ++at) {
    const auto& packet = packets[at];
    if (packet.from != choice.replica || packet.to != choice.other ||
        static_cast<int>(packet.letter->message.index()) != choice.messageType)
      continue;
    if (place++ == choice.number) return at;
  }
  return std::nullopt;
}

bool ModelWorld::deliver(std::size_t at, bool keep) {
  Packet packet = packets[at];
  const auto& machine = machines[static_cast<std::size_t>(packet.to)];
  if (machine.frozen) return false;
  if (!keep) packets.erase(packets.begin() + static_cast<std::ptrdiff_t>(at));
  if (!machine.up()) return true;
  const auto& message = packet.letter->message;
  drive(packet.to, [&](Effects& effects) {
    auto& log = *machines[static_cast<std::size_t>(packet.to)].log;
    std::string leader = log.leaderAddress();
    if (auto* join = std::get_if<JoinRequest>(&message); join && !log.leads(clock)) {
      if (!leader.empty() && leader != addressOf(packet.to) && addressOf(packet.from) == join->self.address)
        effects.send(leader, message);
      return;
    }
    log.handle(effects, addressOf(packet.from), message);
  });
  return true;
}

bool ModelWorld::syncDisk(int number) {
  auto& machine = machines[static_cast<std::size_t>(number)];
  if (!machine.up() || machine.frozen || machine.writing.empty()) return false;
  for (const auto& record : machine.written) (void)machine.synced.applyRecord(record);
  machine.written.clear();
  auto done = std::move(machine.writing);
  machine.writing.clear();
  for (const auto& save : done) (void)machine.synced.applyRecord(save.record);
  drive(number, [&](Effects& effects) {
    for (auto& save : done)
      if (save.onSynced) save.onSynced(effects);
  });
  return true;
}

bool ModelWorld::mayJoin(int number) const {
  const auto& machine = machines[static_cast<std::size_t>(number)];
  if (!machine.up() || machine.frozen) return false;
  for (const auto& row : machine.log->members())
    if (row.id == machine.log->self().id)
      return !machine.log->election.won() && clock - machine.log->lastLeaderContact() >= leaderSilent;
  return true;
}

void ModelWorld::sendJoin(int number, int other) {
  drive(number, [&](Effects& effects) {
    effects.send(addressOf(other), JoinRequest{machines[static_cast<std::size_t>(number)].log->self()});
  });
}

void ModelWorld::sendChange(int number, int change) {
  auto ask = writeHistory().request(change);
  drive(number, [&](Effects& effects) {
    machines[static_cast<std::size_t>(number)].log->proposeChange(effects, clientAddress, ask);
  });
}

int ModelWorld::lostDisks() const {
  int lost = 0;
  for (const auto& machine : machines) lost += machine.lost;
  return lost;
}

bool ModelWorld::mayLoseDisk() const { return lostDisks() < worldSetup.faultBudget; }

void ModelWorld::countCalm() {
  for (const auto& machine : machines)
    if (!machine.up() || machine.frozen) return breakCalm();
  for (int number = 0; number < worldSetup.machines(); ++number) {
    auto& machine = machines[static_cast<std::size_t>(number)];
    if (!machine.lost) continue;
    machine.calm += roundSpan;
    if (machine.calm >= worldSetup.catchUp) machine.lost = false;
    changed(number);
  }
}

void ModelWorld::breakCalm() {
  for (int number = 0; number < worldSetup.machines(); ++number) {
    auto& machine = machines[static_cast<std::size_t>(number)];
    if (machine.calm == Duration(0)) continue;
    machine.calm = Duration(0);
    changed(number);
  }
}

void ModelWorld::fairRounds(Duration span, bool allUp) {
  TimePoint until = clock + span;
  while (clock < until && !violation()) {
    clock += roundSpan;
    bool joins = (clock - startOfTime) % timing.joinInterval < roundSpan;
    for (int number = 0; number < worldSetup.machines(); ++number) {
      auto& machine = machines[static_cast<std::size_t>(number)];
      if (allUp && machine.frozen) {
        machine.frozen = false;
        changed(number);
      }
      if (allUp && !machine.up()) boot(number);
      if (!machine.up() || machine.frozen) continue;
      drive(number, [&](Effects& effects) { machine.log->tick(effects); });
      if (joins && mayJoin(number))
        for (int other = 0; other < worldSetup.machines(); ++other)
          if (other != number) sendJoin(number, other);
    }
    for (int pass = 0; pass < 2; ++pass) {
      std::size_t at = 0;
      for (std::size_t left = packets.size(); left > 0 && at < packets.size(); --left)
        if (!deliver(at, false)) ++at;
      for (int number = 0; number < worldSetup.machines(); ++number) (void)syncDisk(number);
    }
    countCalm();
  }
}

void ModelWorld::checkLiveness() {
  int last = worldSetup.changes;
  TimePoint until = clock + livenessSpan;
  while (clock < until && !violation() && !history->acknowledged(last)) {
    fairRounds(livenessStep, true);
    if (auto leading = leader(); leading && !violation()) sendChange(*leading, last);
  }
  if (!history->acknowledged(last))
    writeHistory().breakRule("no-majority", std::string(leader() ? "a change is not agreed" : "nobody leads") +
                                                " after " + std::to_string(toMilliseconds(livenessSpan)) +
                                                " ms in which all was well");
}

bool ModelWorld::apply(const Choice& choice) {
  int number = choice.replica;
  if (number < 0 || number >= worldSetup.machines() || choice.other < 0 || choice.other >= worldSetup.machines())
    return false;
  random.seed(luckSpread * (choice.luck + 1));
  auto& machine = machines[static_cast<std::size_t>(number)];
  bool awake = machine.up() && !machine.frozen;
  auto kept = static_cast<std::size_t>(std::max(choice.number, 0));
  switch (choice.kind) {
    case ChoiceKind::deliver:
    case ChoiceKind::duplicate: {
      auto found = find(choice);
      return found && deliver(*found, choice.kind == ChoiceKind::duplicate);
    }
    case ChoiceKind::drop: {
      auto found = find(choice);
      if (found) packets.erase(packets.begin() + static_cast<std::ptrdiff_t>(*found));
      return found.has_value();
    }
    case ChoiceKind::sync:
      return syncDisk(number);
    case ChoiceKind::tick:
      if (!awake) return false;
      drive(number, [&](Effects& effects) { machine.log->tick(effects); });
      return true;
    case ChoiceKind::wait:
      if (choice.number > mostCalmWait) breakCalm();
      clock += std::chrono::milliseconds(choice.number);
      for (int at = 0; at < worldSetup.machines(); ++at) checkMachine(at);
      return true;
    case ChoiceKind::run:
      fairRounds(std::chrono::milliseconds(choice.number), false);
      return true;
    case ChoiceKind::settle:
      fairRounds(std::chrono::milliseconds(choice.number), true);
      return true;
    case ChoiceKind::live:
      if (!history->acknowledged(worldSetup.changes)) checkLiveness();
      return true;
    case ChoiceKind::kill:
    case ChoiceKind::power:
      if (!machine.up() && (choice.kind == ChoiceKind::kill || machine.written.empty())) return false;
      halt(number, kept, choice.kind == ChoiceKind::power);
      return true;
    case ChoiceKind::start:
      if (machine.up()) return false;
      boot(number);
      return true;
    case ChoiceKind::wipe:
      if (!mayLoseDisk() || number >= worldSetup.voters) return false;
      halt(number, 0, true);
      machine.synced = RecoveredState{};
      ++machine.disk;
      machine.lost = true;
      return true;
    case ChoiceKind::freeze:
      if (!awake) return false;
      machine.frozen = true;
      breakCalm();
      changed(number);
      return true;
    case ChoiceKind::wake:
      if (!machine.up() || !machine.frozen) return false;
      machine.frozen = false;
      changed(number);
      return true;
    case ChoiceKind::change:
      if (!awake || choice.number < 0 || choice.number > worldSetup.changes) return false;
      sendChange(number, choice.number);
      return true;
    case ChoiceKind::join:
      if (!mayJoin(number) || number == choice.other) return false;
      sendJoin(number, choice.other);
      return true;
    case ChoiceKind::leave:
      if (!awake) return false;
      drive(number, [&](Effects& effects) { machine.log->leave(effects); });
      halt(number, 1, false);
      return true;
  }
  return false;
}

ModelWorld::State ModelWorld::save() {
  for (std::size_t at = 0; at < machines.size(); ++at) {
    if (!images[at]) images[at] = std::make_shared<const Machine>(machines[at]);
    (void)dump(static_cast<int>(at));
  }
  if (!historyImage) historyImage = std::make_shared<const History>(*history);
  return State{images, dumps, packets, historyImage, clock};
}

void ModelWorld::load(const State& state) {
  for (std::size_t at = 0; at < machines.size(); ++at) {
    if (images[at] == state.machines[at]) continue;
    machines[at] = *state.machines[at];
    images[at] = state.machines[at];
  }
  dumps = state.dumps;
  packets = state.packets;
  if (historyImage != state.history) {
    history = *state.history;
    historyImage = state.history;
  }
  clock = state.clock;
}

namespace {
/// Mixes bytes in which the replicas' names are put as labels say.
class Mixer {
 public:
  explicit Mixer(const std::vector<int>& machineLabels) : labels(machineLabels) {}
  void number(std::uint64_t value) {
    sum ^= value + luckSpread + (sum << 6) + (sum >> 2);
    sum *= 0xff51afd7ed558ccdull;
    sum ^= sum >> 32;
  }
  void text(const std::string& bytes) {
    std::uint64_t word = 0;
    int filled = 0;
    bool name = false;
    for (unsigned char byte : bytes) {
      if (name && byte >= '1' && byte <= '9' && static_cast<std::size_t>(byte - '1') < labels.size())
        byte = static_cast<unsigned char>('1' + labels[static_cast<std::size_t>(byte - '1')]);
      name = byte == '~';
      word = word << 8 | byte;
      if (++filled == 8) {
        number(word);
        word = 0;
        filled = 0;
      }
    }
    number(word);
    number(bytes.size());
  }
  /// Mixes rows whose order does not matter.
  void group(const std::vector<std::string>& rows) {
    std::uint64_t all = 0;
    for (const auto& row : rows) {
      Mixer one(labels);
      one.text(row);
      all += one.sum;
    }
    number(all);
    number(rows.size());
  }
  std::uint64_t sum{0x2545f4914f6cdd1dull};

 private:
  const std::vector<int>& labels;
};

std::uint64_t inPlace(const StateDump::Mark& mark, TimePoint now) {
  if (mark.at == TimePoint{}) return 1;
  Duration since = std::min<Duration>(now - mark.at, mark.matters);
  return static_cast<std::uint64_t>(toMilliseconds(since) + 1'000'000);
}
}  // namespace

std::string ModelWorld::describe() const {
  std::string text = "at " + std::to_string(toMilliseconds(clock - startOfTime)) + " ms, " +
                     std::to_string(packets.size()) + " messages under way\n";
  for (int number = 0; number < worldSetup.machines(); ++number) {
    const auto& machine = machines[static_cast<std::size_t>(number)];
    text += "  " + idOf(number) + (machine.lost ? " (disk counts as lost)" : "");
    if (!machine.up()) {
      text += " down\n";
      continue;
    }
    const auto& log = *machine.log;
    text += (machine.frozen ? " frozen, " : " ") + log.election.state() + " term " +
            std::to_string(log.election.term()) + " follows '" + log.election.holder() + "' commit " +
            std::to_string(log.commit()) + " synced " + std::to_string(log.lastSyncedIndex()) + " end " +
            std::to_string(log.logEnd()) + " members";
    for (const auto& member : log.members()) text += " " + member.id + (member.votes ? "" : "(learns)");
    text += "; log";
    for (const auto& entry : log.entries())
      text += " " + std::to_string(entry.index) + "/" + std::to_string(entry.term) + "=" +
              (entry.kind == static_cast<int>(EntryKind::change)    ? entry.changeId
               : entry.kind == static_cast<int>(EntryKind::members) ? "members"
                                                                    : "empty");
    text += "; writing " + std::to_string(machine.writing.size()) + "\n";
  }
  return text;
}

const StateBytes& ModelWorld::dump(int number) const {
  auto& kept = dumps[static_cast<std::size_t>(number)];
  if (kept) return *kept;
  const auto& machine = machines[static_cast<std::size_t>(number)];
  StateBytes bytes;
  if (machine.up()) bytes = StateDump::bytes(*machine.log);
  bytes.number(machine.up() + 2 * machine.frozen + 4 * machine.lost);
  auto addRecord = [&](const Record& record) {
    bytes.number(static_cast<std::uint64_t>(record.kind));
    auto entry = record.kind == RecordKind::entry ? decodeEntry(record.bytes) : Result<LogEntry>(Error{});
    if (entry)
      bytes.entry(entry.value());
    else
      bytes.word(record.bytes);
  };
  bytes.word(machine.synced.identity);
  for (const auto& [duty, vote] : machine.synced.votes) {
    bytes.number(vote.term);
    bytes.word(vote.votedFor);
  }
  if (machine.synced.snapshot) addRecord(snapshotRecord(*machine.synced.snapshot));
  for (const auto& entry : machine.synced.entries) bytes.entry(entry);
  bytes.number(machine.written.size());
  for (const auto& record : machine.written) addRecord(record);
  bytes.number(machine.writing.size());
  for (const auto& save : machine.writing) addRecord(save.record);
  bytes.number(machine.waiting.size());
  for (const auto& save : machine.waiting) addRecord(save.record);
  kept = std::make_shared<const StateBytes>(std::move(bytes));
  return *kept;
}

std::uint64_t ModelWorld::fingerprint() const {
  std::size_t count = machines.size();
  std::vector<std::pair<std::uint64_t, int>> order;
  std::vector<int> labels(count, 1);
  auto mixMachine = [&](Mixer& mixer, std::size_t at) {
    const auto& machine = machines[at];
    const auto& bytes = dump(static_cast<int>(at));
    mixer.text(bytes.text);
    for (const auto& group : bytes.groups) mixer.group(group);
    if (machine.lost) mixer.number(static_cast<std::uint64_t>(toMilliseconds(machine.calm)));
    if (!machine.up()) return;
    std::uint64_t ofMembers = 0;
    for (const auto& mark : StateDump::marks(*machine.log)) {
      if (mark.member.empty()) {
        mixer.number(inPlace(mark, clock));
        continue;
      }
      Mixer one(labels);
      one.text(mark.member);
      one.number(inPlace(mark, clock) + static_cast<std::uint64_t>(mark.matters.count()));
      ofMembers += one.sum;
    }
    mixer.number(ofMembers);
  };
  for (std::size_t at = 0; at < count; ++at) {
    labels.assign(count, 1);
    labels[at] = 0;
    Mixer mixer(labels);
    mixMachine(mixer, at);
    order.emplace_back(mixer.sum, static_cast<int>(at));
  }
  std::sort(order.begin(), order.end());
  for (std::size_t place = 0; place < count; ++place)
    labels[static_cast<std::size_t>(order[place].second)] = static_cast<int>(place);
  Mixer complete(labels);
  for (const auto& [sum, at] : order) mixMachine(complete, static_cast<std::size_t>(at));
  std::uint64_t letters = 0;
  for (const auto& packet : packets) {
    const auto& letter = *packet.letter;
    Message message = letter.message;
    std::int64_t sentAt = 0;
    if (auto* hold = std::get_if<Heartbeat>(&message)) std::swap(sentAt, hold->sentAt);
    if (auto* kept = std::get_if<HeartbeatResponse>(&message)) std::swap(sentAt, kept->sentAt);
    if (letter.bytes.empty()) letter.bytes = encodeMessage(message);
    Mixer one(labels);
    one.number(static_cast<std::uint64_t>(labels[static_cast<std::size_t>(packet.from)] * 16 +
                                          labels[static_cast<std::size_t>(packet.to)]));
    one.text(letter.bytes);
    if (sentAt > 0) one.number(inPlace({fromNanoseconds(sentAt), timing.lease, {}}, clock));
    if (sentAt < 0) one.number(2);
    letters += one.sum;
  }
  complete.number(letters);
  complete.text(history->bytes());
  return complete.sum;
}

}  // namespace tt::model
