#pragma once
#include <array>

#include "history.hpp"
#include "state_dump.hpp"

namespace tt::model {

/// One machine of the model: a real ReplicatedLog with its Election, and its disk.
struct Machine {
  std::optional<ReplicatedLog> log;
  bool frozen{false};
  /// Which disk it has, counted from 0; a new disk comes with a new id.
  int disk{0};
  /// What waits for the disk, and the batch that is being written.
  std::vector<Effects::Save> waiting, writing;
  /// What a loss of power leaves for sure, and a batch that was written but never synced. A batch is kept whole or not
  /// at all, as the ring sees to.
  RecoveredState synced;
  std::vector<Record> written;
  /// Whether its disk counts as lost, and how long it has been back with all well since.
  bool lost{false};
  Duration calm{0};
  bool up() const { return log.has_value(); }
};

/// A message as it was sent, with its bytes once they were needed.
struct Letter {
  Message message;
  mutable std::string bytes;
};

/// A message under way between two machines.
struct Packet {
  int from{0}, to{0};
  std::shared_ptr<const Letter> letter;
};

/// A fleet's agreement with its network, disks, clock and clients made up: it does what choices say, one at a time, on
/// the real objects, and checks after each that no rule is broken.
///
/// The replicas hold functions that refer to themselves, so a replica lives in its place here and a saved state is a
/// passive copy of it, to be copied back into the same place of the same world.
class ModelWorld {
 public:
  explicit ModelWorld(const Setup& modelSetup);
  ModelWorld(const ModelWorld&) = delete;
  ModelWorld& operator=(const ModelWorld&) = delete;

  /// Back to the start: the voters have formed, nobody leads.
  void reset();
  /// Lets one event happen; false where it cannot happen now, and then nothing has changed.
  bool apply(const Choice& choice);
  /// Whether a rule is broken, and which.
  const std::optional<Violation>& violation() const { return history->violation(); }
  /// What all that matters adds up to; equal for states that differ only in the replicas' names.
  std::uint64_t fingerprint() const;

  const Setup& setup() const { return worldSetup; }
  const std::vector<Packet>& network() const { return packets; }
  const Machine& machine(int number) const { return machines[static_cast<std::size_t>(number)]; }
  const History& past() const { return *history; }
  TimePoint now() const { return clock; }
  /// The machine that leads with a good lease; nothing if none does.
  std::optional<int> leader() const;
  /// One line on each machine, for people.
  std::string describe() const;
  /// Whether a disk may be lost now without going over the budget.
  bool mayLoseDisk() const;

  /// A state that can be gone back to, in this world only. Machines that did not change are shared between states.
  struct State {
    std::vector<std::shared_ptr<const Machine>> machines;
    std::vector<std::shared_ptr<const StateBytes>> dumps;
    std::vector<Packet> packets;
    std::shared_ptr<const History> history;
    TimePoint clock;
  };
  State save();
  void load(const State& state);

  /// Told of each event in words, when set.
  std::function<void(const std::string&)> tell;

 private:
  Setup worldSetup;
  Defences defences;
  std::vector<Machine> machines;
  std::vector<std::shared_ptr<const Machine>> images;
  /// Each machine's state as bytes, where it was asked for since the last change.
  mutable std::vector<std::shared_ptr<const StateBytes>> dumps;
  std::vector<Packet> packets;
  std::optional<History> history;
  std::shared_ptr<const History> historyImage;
  TimePoint clock;
  std::mt19937_64 random;
  Journal journal;

  std::string idOf(int number) const;
  static std::string addressOf(int number);
  void boot(int number);
  void halt(int number, std::size_t kept, bool powerGone);
  void drive(int number, const std::function<void(Effects&)>& action);
  void post(int from, const std::string& address, Message message);
  void toClient(int from, const ChangeResponse& answer);
  bool deliver(std::size_t at, bool keep);
  bool syncDisk(int number);
  std::optional<std::size_t> find(const Choice& choice) const;
  bool mayJoin(int number) const;
  void sendJoin(int number, int other);
  void sendChange(int number, int change);
  /// Lets all be well and asks for a new change: breaks the rule no-majority where it is not agreed in time.
  void checkLiveness();
  void fairRounds(Duration span, bool allUp);
  void changed(int number);
  /// A new disk stops counting as lost once all was well for long enough without a break.
  void countCalm();
  void breakCalm();
  int lostDisks() const;
  History& writeHistory();
  const StateBytes& dump(int number) const;
  void checkMachine(int number);
  void checkLogs(const ReplicatedLog& one, const ReplicatedLog& other);
  void checkComplete(const ReplicatedLog& log);
  void checkAcknowledged(int change);
  void checkAgreed(const LogEntry& entry);
  void checkMajority(const LogEntry& entry, const std::vector<Member>& members);
  bool holdsEntry(const Machine& machine, const History::AgreedRow& row) const;
  void say(const std::string& text) const {
    if (tell) tell(text);
  }
};

}  // namespace tt::model
