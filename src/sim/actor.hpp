#pragma once
#include "sim.hpp"

namespace tt {

inline const TimePoint dayStart = TimePoint(std::chrono::hours(100));
inline int numberOf(const std::string& name) { return std::atoi(name.substr(name.rfind('-') + 1).c_str()); }
inline bool starts(const std::string& text, const char* start) { return text.rfind(start, 0) == 0; }
/// The caller's order that an order sent to a worker belongs to.
inline std::string baseOrder(const std::string& sendId) { return sendId.substr(0, sendId.rfind('.')); }

/// One process in the sim, with its machine's clock and disk.
struct World::Actor {
  std::string name, address, zone;
  std::unique_ptr<Node> node;
  std::unique_ptr<SimDisk> disk;
  std::unique_ptr<Ring> ring;
  std::vector<Effects::Save> saves, syncing;
  bool alive{false}, syncBusy{false}, freezeAtSending{false};
  Duration freezeSpan{};
  TimePoint frozenUntil{}, oldestSave{}, startedAt{};
  std::uint64_t life{0};
  Duration offset{};
  double drift{1};
  Duration tickEvery{20ms};
  std::vector<std::function<void()>> held;
  std::vector<std::pair<std::string, Message>> heldSends;
  StandInFaults faults;
  TimePoint local(TimePoint world) const {
    auto since = std::chrono::duration<double, std::nano>(world - dayStart) * drift;
    return dayStart + offset + std::chrono::duration_cast<Duration>(since);
  }
};

}  // namespace tt
