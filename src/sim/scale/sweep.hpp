#pragma once
#include <mutex>
#include <string>
#include <vector>

#include "fleet_cost.hpp"
#include "fleet_size.hpp"
#include "sample_report.hpp"
#include "trials.hpp"

namespace tt {

/// What is measured, at which sizes, and where the report is written. A fleet trial measures every combination of the
/// listed sizes; the other trials sweep one size each.
struct SweepOptions {
  /// The trial (fleet, index, draw for worker selection, blueprint for the configuration, or links), the folder of the
  /// report, and the start of its file names, which is the name of the trial if empty.
  std::string trial{"fleet"}, outputFolder{"capacity"}, label;
  std::vector<int> daemons{36}, cores{16}, workers{600}, tenants{200};
  /// Cached blocks, and the rates of cache events, configuration changes, requests and machine list changes.
  std::vector<double> blocks{0}, eventsPerSecond{0}, changesPerHour{0}, requestsPerSecond{0},
      machineListChangesPerHour{0};
  /// `threads`: fleets measured at a time. `frames`: frames that the link trial sends.
  int zones{40}, regions{4}, repeats{3}, threads{1}, frames{20000}, seed{1};
  /// Simulated time that is measured, and the one-way delay between hosts.
  double seconds{3}, linkDelayMs{1};
};

/// Runs one trial at all requested sizes and writes the report. It refuses sizes that would take more than half of the
/// machine's memory: all fleets before the first one starts, an index before its own run.
class Sweep {
 public:
  explicit Sweep(SweepOptions sweepOptions) : options(std::move(sweepOptions)) {}
  /// Returns the exit code of the program: 0 on success, 1 if a trial failed, 2 if a size was refused.
  int run();

 private:
  /// One run of a fleet. `x` is the value of the swept parameter.
  struct Job {
    FleetSize size;
    double x{0};
    int repeat{0};
  };
  const SweepOptions options;
  std::vector<Sample> samples;
  /// Guards `samples` and `failed` while fleets are measured in parallel.
  std::mutex samplesMutex;
  std::string axis{"size"};
  bool failed{false};

  bool runFleets();
  std::vector<Job> fleetJobs();
  FleetSize baseSize() const;
  void measureFleets(const std::vector<Job>& jobs);
  void measureJob(const Job& job);

  bool runTrials();
  std::vector<double> trialSizes() const;
  std::vector<Metric> runTrial(double size, std::uint64_t seed) const;
};

}  // namespace tt
