#pragma once
#include <boost/signals2/dummy_mutex.hpp>
#include <boost/signals2/signal_type.hpp>
#include <deque>

#include "messages.hpp"

/// The interface between the logic of a node and its host. The logic reads no clock, does no I/O and starts no thread:
/// each call brings the time and random numbers in, and returns the messages to send and the records to store. So its
/// runs can be replayed in the simulator.

namespace tt {

/// One thing that happened in a process.
struct Event {
  TimePoint at;
  /// One of a fixed set of kinds, which are also the names of counters in status reports and simulator results.
  std::string kind;
  std::string subject;
  std::int64_t number{0};
};

/// The events of a process in the order in which they happened, in memory only.
class Journal {
 public:
  /// Emitted for each appended event, after it was added to events() and counts().
  boost::signals2::signal_type<void(const Event&),
                               boost::signals2::keywords::mutex_type<boost::signals2::dummy_mutex>>::type appended;
  void append(TimePoint at, std::string kind, std::string subject = {}, std::int64_t number = 0);
  /// The last 2048 events, the oldest first.
  const std::deque<Event>& events() const { return recentEvents; }
  /// The number of events of each kind since the process started.
  const std::map<std::string, std::int64_t>& counts() const { return countByKind; }

 private:
  std::deque<Event> recentEvents;
  std::map<std::string, std::int64_t> countByKind;
};

/// The kinds of records in the ring log. The numbers are stored on disk.
enum class RecordKind : int {
  /// The id that a process generates at its first start.
  identity = 1,
  /// The process's vote: a duty, the term, and the candidate voted for.
  vote = 2,
  /// An entry of the replicated log. It replaces entries of the same or a higher index.
  entry = 3,
  /// A truncation of the log: all entries from an index on are removed.
  truncation = 4,
  /// A snapshot that replaces the entries up to its index; later entries stay.
  snapshot = 5,
  /// Marks that the records before it are a complete copy of the state (a checkpoint).
  checkpointEnd = 6,
  /// A snapshot that replaces the entire log, including later entries.
  installedSnapshot = 7
};
/// One record as the ring log stores it.
struct Record {
  RecordKind kind{RecordKind::identity};
  std::string bytes;
};
/// A vote. It is persisted because a process that forgot it at a restart could vote twice in one term.
struct Vote {
  std::uint64_t term{0};
  std::string votedFor;
};
/// The persistent state of a process, recovered by applying the records of the ring log.
struct RecoveredState {
  std::string identity;
  /// The latest vote by duty.
  std::map<std::string, Vote> votes;
  std::optional<Snapshot> snapshot;
  /// The log entries after the snapshot, in order of their index.
  std::vector<LogEntry> entries;
  /// Applies the next record. Returns false and changes nothing if it cannot be decoded.
  bool applyRecord(const Record& record);
  /// Returns the records of a checkpoint: applied to an empty state, they restore this one.
  std::vector<Record> records() const;
  /// Whether no identity is stored, as at the first start.
  bool empty() const { return identity.empty(); }
};

/// These create the records of each kind.
Record identityRecord(const std::string& id);
Record voteRecord(const std::string& duty, const Vote& vote);
Record entryRecord(const LogEntry& entry);
/// firstRemoved is the index of the first removed entry.
Record truncationRecord(std::uint64_t firstRemoved);
Record snapshotRecord(const Snapshot& snapshot);
/// A snapshot that replaces the entire log, including later entries. It is a single record, as a crash could leave just
/// one of two records for the snapshot and the truncation.
Record installedRecord(const Snapshot& snapshot);

/// The context of one call into a node's logic. It provides the time and random numbers, and collects the messages to
/// send and the records to persist, which the host sends and stores after the call has returned.
struct Effects {
  struct Save {
    Record record;
    /// Called once the record is synced to disk.
    std::function<void(Effects&)> onSynced;
  };
  /// The time of the call.
  TimePoint now;
  std::mt19937_64& randomSource;
  Journal& journal;
  /// Messages with their receivers' addresses, in the order of sending. Delivery is not guaranteed.
  std::vector<std::pair<std::string, Message>> sends;
  /// Records to persist, in this order.
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
  /// Called at short intervals to do what depends on time, such as timeouts.
  virtual void tick(Effects& effects) = 0;
  Journal journal;
};

}  // namespace tt
