#include "model_world.hpp"

#include <algorithm>

#include "members.hpp"

namespace tt::model {
namespace {
const TimePoint startOfTime = TimePoint(std::chrono::hours(100));
const std::string clientAddress = "client";
/// Time that passes in one round of runWithoutFaults().
constexpr Duration roundDuration = 20ms;
/// How long a member must be without contact to a leader before it sends join requests.
constexpr Duration leaderContactTimeout = 3s;
/// Within which time a change must be committed in a fleet without faults, and how often it is sent.
constexpr Duration livenessTimeout = 15s, livenessInterval = 500ms;
/// A wait of more milliseconds counts as a fault, because nothing runs during it.
constexpr int maxFaultFreeWaitMs = 100;
/// 2^64 divided by the golden ratio; spreads consecutive numbers over the range of seeds.
constexpr std::uint64_t goldenRatio64 = 0x9e3779b97f4a7c15ull;

/// The machine with an address as in ModelWorld::addressOf(); -1 for other addresses.
int numberOf(const std::string& address) { return address.size() == 3 && address[0] == '~' ? address[1] - '1' : -1; }

std::string nameOf(int number) { return "replica~" + std::to_string(number + 1); }

/// The state that a process finds on its disk.
RecoveredState recoveredFrom(const ModelMachine& machine) {
  RecoveredState recovered = machine.synced;
  for (const auto& record : machine.written) (void)recovered.applyRecord(record);
  return recovered;
}
}  // namespace

ModelWorld::ModelWorld(const Setup& modelSetup)
    : initialSetup(modelSetup),
      defences(modelSetup.defences().value()),
      machines(static_cast<std::size_t>(modelSetup.machines())),
      machineCopies(machines.size()),
      dumps(machines.size()) {
  reset();
}

std::string ModelWorld::addressOf(int number) { return "~" + std::to_string(number + 1) + ":"; }

std::string ModelWorld::idOf(int number) const {
  return "~" + std::to_string(number + 1) +
         std::string(1, static_cast<char>('a' + machines[static_cast<std::size_t>(number)].disk % 26));
}

void ModelWorld::discardCopies(int number) {
  machineCopies[static_cast<std::size_t>(number)].reset();
  dumps[static_cast<std::size_t>(number)].reset();
}

History& ModelWorld::mutableHistory() {
  historyCopy.reset();
  return *history;
}

void ModelWorld::reset() {
  clock = startOfTime;
  packets.clear();
  history.emplace(initialSetup.changes + 1, initialSetup.ignoredRules);
  historyCopy.reset();
  std::vector<Member> voters;
  for (int number = 0; number < initialSetup.machines(); ++number) {
    machines[static_cast<std::size_t>(number)] = ModelMachine{};
    machines[static_cast<std::size_t>(number)].synced.identity = idOf(number);
    if (number < initialSetup.voters)
      voters.push_back(Member{idOf(number), nameOf(number), addressOf(number), {}, true});
  }
  for (int number = 0; number < initialSetup.machines(); ++number) {
    if (number < initialSetup.voters)
      machines[static_cast<std::size_t>(number)].synced.entries.push_back(
          LogEntry{1, 0, static_cast<int>(EntryKind::members), encodeMembers(voters), {}, 0});
    startProcess(number);
  }
}

void ModelWorld::startProcess(int number) {
  auto& machine = machines[static_cast<std::size_t>(number)];
  discardCopies(number);
  if (machine.synced.identity.empty()) machine.synced.identity = idOf(number);
  RecoveredState recovered = recoveredFrom(machine);
  if (initialSetup.syncsOnStart) {
    machine.synced = recovered;
    machine.written.clear();
  }
  machine.log.emplace(Member{recovered.identity, nameOf(number), addressOf(number), {}, true},
                      initialSetup.maxRecordBytes, defences);
  machine.log->onEntryApplied = [this, number](Effects&, const LogEntry& entry) {
    const auto& log = *machines[static_cast<std::size_t>(number)].log;
    if (entry.kind == static_cast<int>(EntryKind::snapshotBoundary))
      return mutableHistory().snapshotInstalled(idOf(number), entry.index, entry.term);
    checkCommitted(entry);
    mutableHistory().committed(idOf(number), entry, log.election.term());
  };
  machine.log->restore(recovered, clock);
}

void ModelWorld::stopProcess(int number, std::size_t survivingBatches, bool powerFailed) {
  auto& machine = machines[static_cast<std::size_t>(number)];
  discardCopies(number);
  std::vector<Record> batch;
  for (const auto& save : machine.writing) batch.push_back(save.record);
  if (!machine.written.empty() && survivingBatches > 0 && powerFailed) {
    for (const auto& record : machine.written) (void)machine.synced.applyRecord(record);
    --survivingBatches;
  }
  if (powerFailed) machine.written.clear();
  if (survivingBatches == 0) batch.clear();
  for (auto& record : batch) {
    if (powerFailed)
      (void)machine.synced.applyRecord(record);
    else
      machine.written.push_back(std::move(record));
  }
  resetFaultFreeTime();
  machine.log.reset();
  machine.waiting.clear();
  machine.writing.clear();
  machine.frozen = false;
}

void ModelWorld::runReplica(int number, const std::function<void(Effects&)>& action) {
  auto& machine = machines[static_cast<std::size_t>(number)];
  discardCopies(number);
  Effects effects{clock, random, journal, {}, {}};
  action(effects);
  for (auto& save : effects.saves) machine.waiting.push_back(std::move(save));
  if (machine.writing.empty()) machine.writing.swap(machine.waiting);
  for (auto& [address, message] : effects.sends) sendMessage(number, address, std::move(message));
  checkMachine(number);
}

void ModelWorld::sendMessage(int from, const std::string& address, Message message) {
  if (address == clientAddress) {
    if (auto* response = std::get_if<ChangeResponse>(&message)) deliverToClient(from, *response);
    return;
  }
  int to = numberOf(address);
  if (to < 0 || to >= initialSetup.machines()) return;
  packets.push_back(Packet{from, to, std::make_shared<const SentMessage>(SentMessage{std::move(message), {}})});
  if (packets.size() > initialSetup.maxPacketsInFlight) packets.erase(packets.begin());
}

void ModelWorld::deliverToClient(int from, const ChangeResponse& response) {
  auto change = changeNumber(response.requestId);
  if (!change) return;
  const auto& log = *machines[static_cast<std::size_t>(from)].log;
  std::uint64_t newestIndex = 0, newestTerm = 0;
  for (const auto& entry : log.entries())
    if (entry.kind == static_cast<int>(EntryKind::change)) {
      newestIndex = entry.index;
      newestTerm = entry.term;
    }
  if (onEvent)
    trace("  response to change-" + std::to_string(*change) + ": " + codeName(static_cast<Code>(response.code)) +
          ", revision " + std::to_string(response.revision));
  mutableHistory().responded(*change, response, newestIndex, newestTerm);
  if (response.code == static_cast<int>(Code::changeTaken)) checkAcknowledged(*change);
}

bool ModelWorld::hasSyncedEntry(const ModelMachine& machine, const History::CommittedEntry& row) const {
  if (machine.synced.snapshot && machine.synced.snapshot->index >= row.index) return true;
  for (const auto& entry : machine.synced.entries)
    if (entry.index == row.index && entry.term == row.term) return true;
  return false;
}

void ModelWorld::checkCommitted(const LogEntry& entry) {
  std::vector<Member> members;
  for (const auto& row : history->committedEntries()) {
    if (row.index >= entry.index) return;
    if (row.kind == static_cast<int>(EntryKind::members)) members = decodeMembers(row.body);
  }
  checkMajority(entry, members);
  if (entry.kind == static_cast<int>(EntryKind::members)) checkMajority(entry, decodeMembers(entry.body));
}

void ModelWorld::checkMajority(const LogEntry& entry, const std::vector<Member>& members) {
  History::CommittedEntry row;
  row.index = entry.index;
  row.term = entry.term;
  std::size_t voters = 0, syncedVoters = 0;
  for (const auto& member : members) {
    if (!member.votes) continue;
    ++voters;
    for (int number = 0; number < initialSetup.machines(); ++number)
      if (idOf(number) == member.id) syncedVoters += hasSyncedEntry(machines[static_cast<std::size_t>(number)], row);
  }
  if (voters > 0 && syncedVoters + static_cast<std::size_t>(lostDisks()) < voters / 2 + 1)
    mutableHistory().reportViolation("agreed-by-few",
                                     "index " + std::to_string(entry.index) + " is committed, but synced by only " +
                                         std::to_string(syncedVoters) + " of " + std::to_string(voters) + " voters");
}

void ModelWorld::checkAcknowledged(int change) {
  for (const auto& row : history->committedEntries()) {
    if (changeNumber(row.changeId) != change) continue;
    int disks = 0, lost = lostDisks();
    for (const auto& machine : machines) disks += hasSyncedEntry(machine, row);
    if (disks + lost < initialSetup.faultBudget + 1)
      mutableHistory().reportViolation("too-few-disks", row.changeId + " is acknowledged, but on only " +
                                                            std::to_string(disks) + " disks, with " +
                                                            std::to_string(lost) + " disks lost");
  }
}

std::optional<int> ModelWorld::leader() const {
  for (int number = 0; number < initialSetup.machines(); ++number) {
    const auto& machine = machines[static_cast<std::size_t>(number)];
    if (machine.up() && machine.log->leads(clock)) return number;
  }
  return std::nullopt;
}

void ModelWorld::checkMachine(int number) {
  const auto& machine = machines[static_cast<std::size_t>(number)];
  if (!machine.up()) return;
  const auto& log = *machine.log;
  for (int other = 0; other < initialSetup.machines(); ++other) {
    const auto& otherMachine = machines[static_cast<std::size_t>(other)];
    if (other == number || !otherMachine.up()) continue;
    checkLogMatching(log, *otherMachine.log);
    if (log.leads(clock) && otherMachine.log->leads(clock))
      mutableHistory().reportViolation("two-leases", log.self().id + " leads in term " +
                                                         std::to_string(log.election.term()) + " and " +
                                                         otherMachine.log->self().id + " in term " +
                                                         std::to_string(otherMachine.log->election.term()));
  }
  if (!log.election.won()) return;
  mutableHistory().elected(log.self().id, log.election.term());
  checkLeaderCompleteness(log);
  if (log.leads(clock) && log.hasCommittedInTerm() && log.configuration().index() < history->maxAcknowledgedIndex())
    mutableHistory().reportViolation(
        "old-read", log.self().id + " would serve reads at index " + std::to_string(log.configuration().index()) +
                        ", but index " + std::to_string(history->maxAcknowledgedIndex()) + " is acknowledged");
}

void ModelWorld::checkLogMatching(const ReplicatedLog& one, const ReplicatedLog& other) {
  const auto& mine = one.entries();
  const auto& theirs = other.entries();
  if (mine.empty() || theirs.empty()) return;
  std::uint64_t first = std::max(mine.front().index, theirs.front().index);
  bool foundCommon = false;
  for (std::uint64_t index = std::min(mine.back().index, theirs.back().index); index >= first && index > 0; --index) {
    const auto& left = mine[index - mine.front().index];
    const auto& right = theirs[index - theirs.front().index];
    if (foundCommon && left.term != right.term)
      return mutableHistory().reportViolation("logs-differ", one.self().id + " and " + other.self().id +
                                                                 " have a later entry in common but differ at index " +
                                                                 std::to_string(index));
    if (left.term != right.term) continue;
    foundCommon = true;
    if (left.kind != right.kind || left.body != right.body || left.changeId != right.changeId ||
        left.revision != right.revision)
      return mutableHistory().reportViolation(
          "logs-differ", one.self().id + " and " + other.self().id + " have different entries at index " +
                             std::to_string(index) + " of term " + std::to_string(left.term));
  }
}

void ModelWorld::checkLeaderCompleteness(const ReplicatedLog& log) {
  const auto& base = StateDump::base(log);
  const auto& entries = log.entries();
  for (const auto& row : history->committedEntries()) {
    if (row.appliedInTerm >= log.election.term() || row.index <= base.index) continue;
    bool hasEntry = !entries.empty() && row.index >= entries.front().index && row.index <= entries.back().index &&
                    entries[row.index - entries.front().index].term == row.term;
    if (!hasEntry)
      mutableHistory().reportViolation("agreed-entry-lost",
                                       log.self().id + " leads in term " + std::to_string(log.election.term()) +
                                           " without index " + std::to_string(row.index) + " '" + row.changeId +
                                           "', which was committed in term " + std::to_string(row.appliedInTerm));
  }
}

std::optional<std::size_t> ModelWorld::findPacket(const Choice& choice) const {
  int position = 0;
  for (std::size_t index = 0; index < packets.size(); ++index) {
    const auto& packet = packets[index];
    if (packet.from != choice.replica || packet.to != choice.receiver ||
        static_cast<int>(packet.content->message.index()) != choice.messageType)
      continue;
    if (position++ == choice.number) return index;
  }
  return std::nullopt;
}

bool ModelWorld::deliver(std::size_t index, bool keepCopy) {
  Packet packet = packets[index];
  const auto& machine = machines[static_cast<std::size_t>(packet.to)];
  if (machine.frozen) return false;
  if (!keepCopy) packets.erase(packets.begin() + static_cast<std::ptrdiff_t>(index));
  if (!machine.up()) return true;
  const auto& message = packet.content->message;
  runReplica(packet.to, [&](Effects& effects) {
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
  runReplica(number, [&](Effects& effects) {
    for (auto& save : done)
      if (save.onSynced) save.onSynced(effects);
  });
  return true;
}

bool ModelWorld::wantsToJoin(int number) const {
  const auto& machine = machines[static_cast<std::size_t>(number)];
  if (!machine.up() || machine.frozen) return false;
  for (const auto& row : machine.log->members())
    if (row.id == machine.log->self().id)
      return !machine.log->election.won() && clock - machine.log->lastLeaderContact() >= leaderContactTimeout;
  return true;
}

void ModelWorld::sendJoin(int number, int other) {
  runReplica(number, [&](Effects& effects) {
    effects.send(addressOf(other), JoinRequest{machines[static_cast<std::size_t>(number)].log->self()});
  });
}

void ModelWorld::sendChange(int number, int change) {
  auto changeRequest = mutableHistory().request(change);
  runReplica(number, [&](Effects& effects) {
    machines[static_cast<std::size_t>(number)].log->proposeChange(effects, clientAddress, changeRequest);
  });
}

int ModelWorld::lostDisks() const {
  int lost = 0;
  for (const auto& machine : machines) lost += machine.lost;
  return lost;
}

bool ModelWorld::mayLoseDisk() const { return lostDisks() < initialSetup.faultBudget; }

void ModelWorld::countFaultFreeRound() {
  for (const auto& machine : machines)
    if (!machine.up() || machine.frozen) return resetFaultFreeTime();
  for (int number = 0; number < initialSetup.machines(); ++number) {
    auto& machine = machines[static_cast<std::size_t>(number)];
    if (!machine.lost) continue;
    machine.faultFreeTime += roundDuration;
    if (machine.faultFreeTime >= initialSetup.catchUp) machine.lost = false;
    discardCopies(number);
  }
}

void ModelWorld::resetFaultFreeTime() {
  for (int number = 0; number < initialSetup.machines(); ++number) {
    auto& machine = machines[static_cast<std::size_t>(number)];
    if (machine.faultFreeTime == Duration(0)) continue;
    machine.faultFreeTime = Duration(0);
    discardCopies(number);
  }
}

void ModelWorld::runWithoutFaults(Duration span, bool restartAll) {
  TimePoint until = clock + span;
  while (clock < until && !violation()) {
    clock += roundDuration;
    bool joins = (clock - startOfTime) % timing.joinInterval < roundDuration;
    for (int number = 0; number < initialSetup.machines(); ++number) {
      auto& machine = machines[static_cast<std::size_t>(number)];
      if (restartAll && machine.frozen) {
        machine.frozen = false;
        discardCopies(number);
      }
      if (restartAll && !machine.up()) startProcess(number);
      if (!machine.up() || machine.frozen) continue;
      runReplica(number, [&](Effects& effects) { machine.log->tick(effects); });
      if (joins && wantsToJoin(number))
        for (int other = 0; other < initialSetup.machines(); ++other)
          if (other != number) sendJoin(number, other);
    }
    for (int pass = 0; pass < 2; ++pass) {
      std::size_t index = 0;
      for (std::size_t left = packets.size(); left > 0 && index < packets.size(); --left)
        if (!deliver(index, false)) ++index;
      for (int number = 0; number < initialSetup.machines(); ++number) (void)syncDisk(number);
    }
    countFaultFreeRound();
  }
}

void ModelWorld::checkLiveness() {
  int last = initialSetup.changes;
  TimePoint until = clock + livenessTimeout;
  while (clock < until && !violation() && !history->isAcknowledged(last)) {
    runWithoutFaults(livenessInterval, true);
    if (auto leaderNumber = leader(); leaderNumber && !violation()) sendChange(*leaderNumber, last);
  }
  if (!history->isAcknowledged(last))
    mutableHistory().reportViolation(
        "no-majority", std::string(leader() ? "a change is not committed" : "there is no leader") + " after " +
                           std::to_string(toMilliseconds(livenessTimeout)) + " ms without faults");
}

bool ModelWorld::apply(const Choice& choice) {
  int number = choice.replica;
  if (number < 0 || number >= initialSetup.machines() || choice.receiver < 0 ||
      choice.receiver >= initialSetup.machines())
    return false;
  random.seed(goldenRatio64 * (choice.randomSeed + 1));
  auto& machine = machines[static_cast<std::size_t>(number)];
  bool awake = machine.up() && !machine.frozen;
  auto survivingBatches = static_cast<std::size_t>(std::max(choice.number, 0));
  switch (choice.kind) {
    case ChoiceKind::deliver:
    case ChoiceKind::duplicate: {
      auto found = findPacket(choice);
      return found && deliver(*found, choice.kind == ChoiceKind::duplicate);
    }
    case ChoiceKind::drop: {
      auto found = findPacket(choice);
      if (found) packets.erase(packets.begin() + static_cast<std::ptrdiff_t>(*found));
      return found.has_value();
    }
    case ChoiceKind::sync:
      return syncDisk(number);
    case ChoiceKind::tick:
      if (!awake) return false;
      runReplica(number, [&](Effects& effects) { machine.log->tick(effects); });
      return true;
    case ChoiceKind::wait:
      if (choice.number > maxFaultFreeWaitMs) resetFaultFreeTime();
      clock += std::chrono::milliseconds(choice.number);
      for (int index = 0; index < initialSetup.machines(); ++index) checkMachine(index);
      return true;
    case ChoiceKind::run:
      runWithoutFaults(std::chrono::milliseconds(choice.number), false);
      return true;
    case ChoiceKind::settle:
      runWithoutFaults(std::chrono::milliseconds(choice.number), true);
      return true;
    case ChoiceKind::live:
      if (!history->isAcknowledged(initialSetup.changes)) checkLiveness();
      return true;
    case ChoiceKind::kill:
    case ChoiceKind::power:
      if (!machine.up() && (choice.kind == ChoiceKind::kill || machine.written.empty())) return false;
      stopProcess(number, survivingBatches, choice.kind == ChoiceKind::power);
      return true;
    case ChoiceKind::start:
      if (machine.up()) return false;
      startProcess(number);
      return true;
    case ChoiceKind::wipe:
      if (!mayLoseDisk() || number >= initialSetup.voters) return false;
      stopProcess(number, 0, true);
      machine.synced = RecoveredState{};
      ++machine.disk;
      machine.lost = true;
      return true;
    case ChoiceKind::freeze:
      if (!awake) return false;
      machine.frozen = true;
      resetFaultFreeTime();
      discardCopies(number);
      return true;
    case ChoiceKind::wake:
      if (!machine.up() || !machine.frozen) return false;
      machine.frozen = false;
      discardCopies(number);
      return true;
    case ChoiceKind::change:
      if (!awake || choice.number < 0 || choice.number > initialSetup.changes) return false;
      sendChange(number, choice.number);
      return true;
    case ChoiceKind::join:
      if (!wantsToJoin(number) || number == choice.receiver) return false;
      sendJoin(number, choice.receiver);
      return true;
    case ChoiceKind::leave:
      if (!awake) return false;
      runReplica(number, [&](Effects& effects) { machine.log->leave(effects); });
      stopProcess(number, 1, false);
      return true;
  }
  return false;
}

ModelWorld::State ModelWorld::save() {
  for (std::size_t index = 0; index < machines.size(); ++index) {
    if (!machineCopies[index]) machineCopies[index] = std::make_shared<const ModelMachine>(machines[index]);
    (void)dump(static_cast<int>(index));
  }
  if (!historyCopy) historyCopy = std::make_shared<const History>(*history);
  return State{machineCopies, dumps, packets, historyCopy, clock};
}

void ModelWorld::load(const State& state) {
  for (std::size_t index = 0; index < machines.size(); ++index) {
    if (machineCopies[index] == state.machines[index]) continue;
    machines[index] = *state.machines[index];
    machineCopies[index] = state.machines[index];
  }
  dumps = state.dumps;
  packets = state.packets;
  if (historyCopy != state.history) {
    history = *state.history;
    historyCopy = state.history;
  }
  clock = state.clock;
}

namespace {
/// A hash function for states. In texts it replaces the numbers of machines (the digit after "~") by their labels.
class StateHasher {
 public:
  explicit StateHasher(const std::vector<int>& machineLabels) : labels(machineLabels) {}
  void number(std::uint64_t value) {
    sum ^= value + goldenRatio64 + (sum << 6) + (sum >> 2);
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
  /// Hashes rows so that their order does not matter.
  void group(const std::vector<std::string>& rows) {
    std::uint64_t rowSum = 0;
    for (const auto& row : rows) {
      StateHasher one(labels);
      one.text(row);
      rowSum += one.sum;
    }
    number(rowSum);
    number(rows.size());
  }
  std::uint64_t sum{0x2545f4914f6cdd1dull};

 private:
  const std::vector<int>& labels;
};

/// The age of a time point in milliseconds, limited to what matters, as a number for the hash. The offset keeps it
/// positive for time points in the future, and apart from the number for an unset one.
std::uint64_t ageNumber(const StateDump::Timestamp& timestamp, TimePoint now) {
  if (timestamp.at == TimePoint{}) return 1;
  Duration age = std::min<Duration>(now - timestamp.at, timestamp.maxAge);
  return static_cast<std::uint64_t>(toMilliseconds(age) + 1'000'000);
}
}  // namespace

std::string ModelWorld::describe() const {
  std::string text = "at " + std::to_string(toMilliseconds(clock - startOfTime)) + " ms, " +
                     std::to_string(packets.size()) + " messages in the network\n";
  for (int number = 0; number < initialSetup.machines(); ++number) {
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
  auto& cached = dumps[static_cast<std::size_t>(number)];
  if (cached) return *cached;
  const auto& machine = machines[static_cast<std::size_t>(number)];
  StateBytes bytes;
  if (machine.up()) bytes = StateDump::bytes(*machine.log);
  bytes.addNumber(machine.up() + 2 * machine.frozen + 4 * machine.lost);
  auto addRecord = [&](const Record& record) {
    bytes.addNumber(static_cast<std::uint64_t>(record.kind));
    auto entry = record.kind == RecordKind::entry ? decodeEntry(record.bytes) : Result<LogEntry>(Error{});
    if (entry)
      bytes.addEntry(entry.value());
    else
      bytes.addText(record.bytes);
  };
  bytes.addText(machine.synced.identity);
  for (const auto& [duty, vote] : machine.synced.votes) {
    bytes.addNumber(vote.term);
    bytes.addText(vote.votedFor);
  }
  if (machine.synced.snapshot) addRecord(snapshotRecord(*machine.synced.snapshot));
  for (const auto& entry : machine.synced.entries) bytes.addEntry(entry);
  bytes.addNumber(machine.written.size());
  for (const auto& record : machine.written) addRecord(record);
  bytes.addNumber(machine.writing.size());
  for (const auto& save : machine.writing) addRecord(save.record);
  bytes.addNumber(machine.waiting.size());
  for (const auto& save : machine.waiting) addRecord(save.record);
  cached = std::make_shared<const StateBytes>(std::move(bytes));
  return *cached;
}

std::uint64_t ModelWorld::fingerprint() const {
  /// The machines are numbered anew by a hash that does not depend on their numbers: in it the machine itself has label
  /// 0 and all others label 1. The state is then hashed with the new numbers.
  std::size_t count = machines.size();
  std::vector<std::pair<std::uint64_t, int>> order;
  std::vector<int> labels(count, 1);
  auto hashMachine = [&](StateHasher& hasher, std::size_t index) {
    const auto& machine = machines[index];
    const auto& bytes = dump(static_cast<int>(index));
    hasher.text(bytes.text);
    for (const auto& group : bytes.groups) hasher.group(group);
    if (machine.lost) hasher.number(static_cast<std::uint64_t>(toMilliseconds(machine.faultFreeTime)));
    if (!machine.up()) return;
    std::uint64_t memberSum = 0;
    for (const auto& timestamp : StateDump::timestamps(*machine.log)) {
      if (timestamp.member.empty()) {
        hasher.number(ageNumber(timestamp, clock));
        continue;
      }
      StateHasher one(labels);
      one.text(timestamp.member);
      one.number(ageNumber(timestamp, clock) + static_cast<std::uint64_t>(timestamp.maxAge.count()));
      memberSum += one.sum;
    }
    hasher.number(memberSum);
  };
  for (std::size_t index = 0; index < count; ++index) {
    labels.assign(count, 1);
    labels[index] = 0;
    StateHasher hasher(labels);
    hashMachine(hasher, index);
    order.emplace_back(hasher.sum, static_cast<int>(index));
  }
  std::sort(order.begin(), order.end());
  for (std::size_t position = 0; position < count; ++position)
    labels[static_cast<std::size_t>(order[position].second)] = static_cast<int>(position);
  StateHasher stateHasher(labels);
  for (const auto& [sum, index] : order) hashMachine(stateHasher, static_cast<std::size_t>(index));
  std::uint64_t packetSum = 0;
  for (const auto& packet : packets) {
    const auto& content = *packet.content;
    /// Only the age of the time in a heartbeat matters, so the time is left out of the encoding.
    Message message = content.message;
    std::int64_t sentAt = 0;
    if (auto* heartbeat = std::get_if<Heartbeat>(&message)) std::swap(sentAt, heartbeat->sentAt);
    if (auto* response = std::get_if<HeartbeatResponse>(&message)) std::swap(sentAt, response->sentAt);
    if (content.bytes.empty()) content.bytes = encodeMessage(message);
    StateHasher one(labels);
    one.number(static_cast<std::uint64_t>(labels[static_cast<std::size_t>(packet.from)] * 16 +
                                          labels[static_cast<std::size_t>(packet.to)]));
    one.text(content.bytes);
    if (sentAt > 0) one.number(ageNumber({fromNanoseconds(sentAt), timing.lease, {}}, clock));
    if (sentAt < 0) one.number(2);
    packetSum += one.sum;
  }
  stateHasher.number(packetSum);
  stateHasher.text(history->serialized());
  return stateHasher.sum;
}

}  // namespace tt::model
