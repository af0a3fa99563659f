#pragma once
#include "sim.hpp"

namespace tt {

/// The time at which each simulation starts. It is not the epoch, which stands for "never".
inline const TimePoint simulationStart = TimePoint(std::chrono::hours(100));
/// The number at the end of a process's name.
inline int numberOf(const std::string& name) { return std::atoi(name.substr(name.rfind('-') + 1).c_str()); }
inline bool startsWith(const std::string& text, const char* start) { return text.rfind(start, 0) == 0; }
/// The client request that a request to a worker belongs to. Each attempt at a worker has the id REQUEST.ATTEMPT.
inline std::string clientRequestId(const std::string& sendId) { return sendId.substr(0, sendId.rfind('.')); }

/// One simulated process with the clock and the disk of its machine.
struct World::Actor {
  std::string name, address, zone;
  std::unique_ptr<Node> node;
  std::unique_ptr<SimDisk> disk;
  std::unique_ptr<Ring> ring;
  /// Records that wait for the next sync, and those whose sync is under way.
  std::vector<Effects::Save> saves, syncing;
  /// `freezeAtNextSend`: the process is to be suspended for `freezeTime` when it next sends a command or a request to a
  /// worker.
  bool alive{false}, syncRunning{false}, freezeAtNextSend{false};
  Duration freezeTime{};
  /// `oldestSave`: since when a sync is due or under way; the epoch if everything is synced.
  TimePoint frozenUntil{}, oldestSave{}, startedAt{};
  /// Changes at each start and stop, so that actions scheduled for an earlier run of the process are dropped.
  std::uint64_t incarnation{0};
  /// How the machine's clock differs from the world's: `drift` is its rate.
  Duration offset{};
  double drift{1};
  Duration tickInterval{20ms};
  /// What a suspended process does when it resumes: first it sends `deferredSends`, then it runs `deferred`.
  std::vector<std::function<void()>> deferred;
  std::vector<std::pair<std::string, Message>> deferredSends;
  /// The faults that a worker has at each start.
  StandInFaults faults;
  /// The time on the machine's clock at a time of the world's clock.
  TimePoint localTime(TimePoint world) const {
    auto since = std::chrono::duration<double, std::nano>(world - simulationStart) * drift;
    return simulationStart + offset + std::chrono::duration_cast<Duration>(since);
  }
};

}  // namespace tt
