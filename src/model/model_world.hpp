#pragma once
#include <array>

#include "history.hpp"
#include "state_dump.hpp"

namespace tt::model {

/// A machine of the model: its disk and, while its process runs, a real ReplicatedLog with its Election.
struct ModelMachine {
  std::optional<ReplicatedLog> log;
  bool frozen{false};
  /// Number of the disk, counted from 0. A process with a new disk has a new id.
  int disk{0};
  /// Records that wait for the disk, and the batch that is being written.
  std::vector<Effects::Save> waiting, writing;
  /// The state that survives a power failure, and a batch that was written but not synced and may survive. A batch
  /// survives completely or not at all; the ring log ensures this.
  RecoveredState synced;
  std::vector<Record> written;
  /// Whether the disk counts as lost since it was replaced, and for how long all machines have run without a fault.
  bool lost{false};
  Duration faultFreeTime{0};
  bool up() const { return log.has_value(); }
};

/// A message as it was sent, and its encoding, which is made when it is first needed.
struct SentMessage {
  Message message;
  mutable std::string bytes;
};

/// A message in the network.
struct Packet {
  int from{0}, to{0};
  std::shared_ptr<const SentMessage> content;
};

/// The model: real replicated logs with simulated network, disks, clock and clients. It executes one event at a time
/// and checks after each that no rule is violated.
///
/// A replica contains callbacks that refer to the replica itself, so it must stay at its address. A saved state is a
/// copy that is not run; it can only be copied back to the same machine of the same ModelWorld.
class ModelWorld {
 public:
  explicit ModelWorld(const Setup& modelSetup);
  ModelWorld(const ModelWorld&) = delete;
  ModelWorld& operator=(const ModelWorld&) = delete;

  /// Returns to the initial state: the voters have formed a group that has no leader.
  void reset();
  /// Executes an event. Returns false, with nothing changed, if the event is not possible in this state.
  bool apply(const Choice& choice);
  /// The first violation, if there was one.
  const std::optional<Violation>& violation() const { return history->violation(); }
  /// A hash of the state. It is equal for states that differ only by a permutation of the replicas.
  std::uint64_t fingerprint() const;

  const Setup& setup() const { return initialSetup; }
  const std::vector<Packet>& network() const { return packets; }
  const ModelMachine& machine(int number) const { return machines[static_cast<std::size_t>(number)]; }
  const History& recordedHistory() const { return *history; }
  TimePoint now() const { return clock; }
  /// The machine that holds a valid lease as leader; nothing if there is none.
  std::optional<int> leader() const;
  /// Describes the state for people, with one line for each machine.
  std::string describe() const;
  /// Whether another disk may be lost without exceeding the fault budget.
  bool mayLoseDisk() const;

  /// A saved state of this ModelWorld. States share the copies of machines that did not change between them.
  struct State {
    std::vector<std::shared_ptr<const ModelMachine>> machines;
    std::vector<std::shared_ptr<const StateBytes>> dumps;
    std::vector<Packet> packets;
    std::shared_ptr<const History> history;
    TimePoint clock;
  };
  State save();
  void load(const State& state);

  /// If set, called with descriptions of what happens during events.
  std::function<void(const std::string&)> onEvent;

 private:
  Setup initialSetup;
  Defences defences;
  std::vector<ModelMachine> machines;
  /// Copies of machines for saved states; null where the machine has changed since.
  std::vector<std::shared_ptr<const ModelMachine>> machineCopies;
  /// Cached serializations of machines; null where the machine has changed since.
  mutable std::vector<std::shared_ptr<const StateBytes>> dumps;
  std::vector<Packet> packets;
  std::optional<History> history;
  std::shared_ptr<const History> historyCopy;
  TimePoint clock;
  std::mt19937_64 random;
  Journal journal;

  /// The replica's id: "~", a digit for the machine and a letter for the disk. The digit is what fingerprint()
  /// replaces.
  std::string idOf(int number) const;
  static std::string addressOf(int number);
  /// Starts a process with the state that is on its disk.
  void startProcess(int number);
  /// Stops a process. `survivingBatches`: number of unsynced batches that survive. `powerFailed`: what was not synced
  /// may be lost; otherwise only the process ends, and what it has written stays.
  void stopProcess(int number, std::size_t survivingBatches, bool powerFailed);
  /// Runs an action of a replica, performs its effects and checks the rules.
  void runReplica(int number, const std::function<void(Effects&)>& action);
  /// Puts a message into the network, or hands it to the client.
  void sendMessage(int from, const std::string& address, Message message);
  void deliverToClient(int from, const ChangeResponse& response);
  /// Delivers the message at an index of the network. `keepCopy`: a copy stays in the network.
  bool deliver(std::size_t index, bool keepCopy);
  /// Completes the sync of the batch that is being written.
  bool syncDisk(int number);
  /// Index of the message that an event names.
  std::optional<std::size_t> findPacket(const Choice& choice) const;
  /// Whether a replica would send join requests: it is not a member, or has not heard from a leader for long.
  bool wantsToJoin(int number) const;
  void sendJoin(int number, int other);
  void sendChange(int number, int change);
  /// Runs the fleet without faults and sends a new change. Reports a violation of no-majority if the change is not
  /// committed in time.
  void checkLiveness();
  /// Runs rounds in which time passes, all timers run, and all messages and syncs complete. `restartAll`: stopped
  /// machines are started and frozen ones woken.
  void runWithoutFaults(Duration span, bool restartAll);
  /// Discards the copies of a machine that has changed.
  void discardCopies(int number);
  /// Counts a round without faults. A replaced disk no longer counts as lost after enough of them in sequence.
  void countFaultFreeRound();
  /// Starts this count again at zero.
  void resetFaultFreeTime();
  int lostDisks() const;
  History& mutableHistory();
  const StateBytes& dump(int number) const;
  /// Checks the rules that concern a replica after it has run.
  void checkMachine(int number);
  /// Checks that two logs with an entry of the same index and term are identical up to it.
  void checkLogMatching(const ReplicatedLog& one, const ReplicatedLog& other);
  /// Checks that a leader has all entries that were committed in earlier terms.
  void checkLeaderCompleteness(const ReplicatedLog& log);
  /// Checks that an acknowledged change is on enough disks to survive the fault budget.
  void checkAcknowledged(int change);
  /// Checks that a majority of the members before an entry, and for a membership entry of the new members too, has it.
  void checkCommitted(const LogEntry& entry);
  void checkMajority(const LogEntry& entry, const std::vector<Member>& members);
  /// Whether an entry is synced to a machine's disk.
  bool hasSyncedEntry(const ModelMachine& machine, const History::CommittedEntry& row) const;
  void trace(const std::string& text) const {
    if (onEvent) onEvent(text);
  }
};

}  // namespace tt::model
