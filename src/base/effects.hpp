#pragma once
#include <boost/signals2/dummy_mutex.hpp>
#include <boost/signals2/signal_type.hpp>
#include <deque>

#include "messages.hpp"

/// The interface between node logic and what runs it. The logic reads no clock, does no I/O and starts no thread: it is
/// given the time and random numbers with each call, and returns what is to be sent and stored. That makes its runs
/// repeatable in the simulator.

namespace tt {

/// One thing that happened in a process.
struct Event {
  TimePoint at;
  /// One of a fixed set of kinds. Counters, the operators' interface and the simulator's figures are named after them.
  std::string kind;
  std::string subject;
  std::int64_t number{0};
};

/// The events of a process, in the order in which they happened. It is kept in memory only.
class Journal {
 public:
  /// Is raised for each appended event, after it was added to events() and counts().
  boost::signals2::signal_type<void(const Event&),
                               boost::signals2::keywords::mutex_type<boost::signals2::dummy_mutex>>::type appended;
  void append(TimePoint at, std::string kind, std::string subject = {}, std::int64_t number = 0);
  /// The last 2048 events, the oldest first.
  const std::deque<Event>& events() const { return keptEvents; }
  /// How many events of each kind were appended since the process started.
  const std::map<std::string, std::int64_t>& counts() const { return countByKind; }

 private:
  std::deque<Event> keptEvents;
  std::map<std::string, std::int64_t> countByKind;
};

/// The kinds of records in the ring log. The numbers are stored on disk.
enum class RecordKind : int {
  /// The id that a process gives itself at its first start.
  identity = 1,
  /// The term of a duty and the candidate that got this process's vote in it.
  vote = 2,
  /// An entry of the replicated log. It replaces entries of the same or a higher index.
  entry = 3,
  /// Entries from an index on were removed from the end of the log.
  cut = 4,
  /// A snapshot that replaces the entries up to its index.
  snapshot = 5,
  /// Marks that the records before it are a complete copy of the state (a checkpoint).
  checkpointEnd = 6,
  /// A snapshot that replaces the entire log.
  installedSnapshot = 7
};
/// One record as the ring log stores it.
struct Record {
  RecordKind kind{RecordKind::identity};
  std::string bytes;
};
/// A vote as it must survive a restart: without it a process could vote twice in one term.
struct Vote {
  std::uint64_t term{0};
  std::string votedFor;
};
/// The persistent state of a process, as it follows from the ring log's records.
struct RecoveredState {
  std::string identity;
  /// The latest vote by duty.
  std::map<std::string, Vote> votes;
  std::optional<Snapshot> snapshot;
  /// The log's entries behind the snapshot, in order of their index.
  std::vector<LogEntry> entries;
  /// Applies the next record; false if it cannot be decoded, and then nothing has changed.
  bool applyRecord(const Record& record);
  /// Returns records that give this state when they are applied to an empty one, for a checkpoint.
  std::vector<Record> records() const;
  /// Whether no identity was stored yet, as at a first start.
  bool empty() const { return identity.empty(); }
};

/// These make the records of each kind.
Record identityRecord(const std::string& id);
Record voteRecord(const std::string& duty, const Vote& vote);
Record entryRecord(const LogEntry& entry);
/// The index is that of the first removed entry.
Record truncationRecord(std::uint64_t firstRemoved);
Record snapshotRecord(const Snapshot& snapshot);
/// A snapshot that replaces the entire log, also entries behind its index. This is one record and not a snapshot and a
/// cut, so that a crash cannot leave just one of the two.
Record installedRecord(const Snapshot& snapshot);

/// The context of one call into node logic: it brings the time and random numbers in, and collects the messages to send
/// and the records to persist. The host carries these out after the call returns.
struct Effects {
  struct Save {
    Record record;
    /// Is called once the record is synced to disk.
    std::function<void(Effects&)> onSynced;
  };
  /// The time of the call.
  TimePoint now;
  std::mt19937_64& randomSource;
  Journal& journal;
  /// Addresses and messages, in the order of sending. Delivery is not guaranteed.
  std::vector<std::pair<std::string, Message>> sends;
  /// Records to persist, in order.
  std::vector<Save> saves;

  void send(const std::string& to, Message message) { sends.emplace_back(to, std::move(message)); }
  void save(Record record, std::function<void(Effects&)> onSynced = {}) {
    saves.push_back({std::move(record), std::move(onSynced)});
  }
  /// Returns a random number from 0 to below - 1, or 0 if `below` is 0.
  std::uint64_t randomBelow(std::uint64_t below) { return below ? randomSource() % below : 0; }
  /// Appends an event to the journal.
  void note(std::string kind, std::string subject = {}, std::int64_t number = 0) {
    journal.append(now, std::move(kind), std::move(subject), number);
  }
};

/// The logic of a process. A host drives it: NodeHost in a real process, the simulator or a test otherwise.
class Node {
 public:
  virtual ~Node() = default;
  /// Handles a message from an address.
  virtual void handle(Effects& effects, const std::string& from, const Message& message) = 0;
  /// Is called at short intervals for all that is due by time.
  virtual void tick(Effects& effects) = 0;
  Journal journal;
};

}  // namespace tt
