#pragma once
#include "sim.hpp"

namespace tt {

/// The time at which each simulation starts. It is not the epoch, which stands for "never".
inline const TimePoint dayStart = TimePoint(std::chrono::hours(100));
/// The number at the end of a process's name.
inline int numberOf(const std::string& name) { return std::atoi(name.substr(name.rfind('-') + 1).c_str()); }
inline bool starts(const std::string& text, const char* start) { return text.rfind(start, 0) == 0; }
/// The client request that a request to a worker belongs to. Each attempt at a worker has the id REQUEST.ATTEMPT.
inline std::string baseOrder(const std::string& sendId) { return sendId.substr(0, sendId.rfind('.')); }

/// One simulated process with the clock and the disk of its machine.
struct World::Actor {
  std::string name, address, zone;
  std::unique_ptr<Node> node;
  std::unique_ptr<SimDisk> disk;
  std::unique_ptr<Ring> ring;
  /// Records that wait for the next sync, and those whose sync is under way.
  std::vector<Effects::Save> saves, syncing;
  /// `freezeAtSending`: the process is to be suspended for `freezeSpan` when it next sends a command or a request to a
  /// worker.
  bool alive{false}, syncBusy{false}, freezeAtSending{false};
  Duration freezeSpan{};
  /// `oldestSave`: since when a sync is due or under way; the epoch if everything is synced.
  TimePoint frozenUntil{}, oldestSave{}, startedAt{};
  /// Changes at each start and stop, so that actions scheduled for an earlier run of the process are dropped.
  std::uint64_t life{0};
  /// How the machine's clock differs from the world's: `drift` is its rate.
  Duration offset{};
  double drift{1};
  Duration tickEvery{20ms};
  /// What a suspended process does when it resumes: first it sends `heldSends`, then it runs `held`.
  std::vector<std::function<void()>> held;
  std::vector<std::pair<std::string, Message>> heldSends;
  /// The faults that a worker has at each start.
  StandInFaults faults;
  /// The time on the machine's clock at a time of the world's clock.
  TimePoint local(TimePoint world) const {
    auto since = std::chrono::duration<double, std::nano>(world - dayStart) * drift;
    return dayStart + offset + std::chrono::duration_cast<Duration>(since);
  }
};

}  // namespace tt
