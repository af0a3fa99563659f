#pragma once
#include <boost/signals2/dummy_mutex.hpp>
#include <boost/signals2/signal_type.hpp>
#include <deque>

#include "messages.hpp"

namespace tt {

/// What happened in a process, in order.
struct Event {
  TimePoint at;
  std::string kind;
  std::string subject;
  std::int64_t number{0};
};

/// The journal in memory: parts append, views fold what they are told through the signal.
class Journal {
 public:
  boost::signals2::signal_type<void(const Event&),
                               boost::signals2::keywords::mutex_type<boost::signals2::dummy_mutex>>::type appended;
  void append(TimePoint at, std::string kind, std::string subject = {}, std::int64_t number = 0);
  const std::deque<Event>& events() const { return rows; }
  /// How often each kind was appended: the view that counters are read from.
  const std::map<std::string, std::int64_t>& counts() const { return countRows; }

 private:
  std::deque<Event> rows;
  std::map<std::string, std::int64_t> countRows;
};

/// One record for the ring.
enum class RecordKind : int {
  identity = 1,
  vote = 2,
  entry = 3,
  cut = 4,
  snapshot = 5,
  checkpointEnd = 6,
  installed = 7
};
struct Record {
  RecordKind kind{RecordKind::identity};
  std::string bytes;
};
struct Vote {
  std::uint64_t term{0};
  std::string votedFor;
};
/// What the ring's records add up to.
struct RecoveredState {
  std::string identity;
  std::map<std::string, Vote> votes;
  std::optional<Snapshot> snapshot;
  std::vector<LogEntry> entries;
  bool applyRecord(const Record& record);
  std::vector<Record> records() const;
  bool empty() const { return identity.empty(); }
};
Record identityRecord(const std::string& id);
Record voteRecord(const std::string& duty, const Vote& vote);
Record entryRecord(const LogEntry& entry);
Record cutRecord(std::uint64_t firstGone);
Record snapshotRecord(const Snapshot& snapshot);
/// A snapshot that takes the place of the whole log, entries behind it included: one record, so it is done or not.
Record installedRecord(const Snapshot& snapshot);

/// What a part of the logic may do: send, save, look at the clock, throw random source. The host carries it out.
struct Effects {
  struct Save {
    Record record;
    std::function<void(Effects&)> then;
  };
  TimePoint now;
  std::mt19937_64& randomSource;
  Journal& journal;
  std::vector<std::pair<std::string, Message>> sends;
  std::vector<Save> saves;

  void send(const std::string& to, Message message) { sends.emplace_back(to, std::move(message)); }
  void save(Record record, std::function<void(Effects&)> then = {}) {
    saves.push_back({std::move(record), std::move(then)});
  }
  std::uint64_t randomBelow(std::uint64_t below) { return below ? randomSource() % below : 0; }
  void note(std::string kind, std::string subject = {}, std::int64_t number = 0) {
    journal.append(now, std::move(kind), std::move(subject), number);
  }
};

/// Logic that a host drives, in sim or in a real process.
class Node {
 public:
  virtual ~Node() = default;
  virtual void handle(Effects& effects, const std::string& from, const Message& message) = 0;
  virtual void tick(Effects& effects) = 0;
  Journal journal;
};

}  // namespace tt
