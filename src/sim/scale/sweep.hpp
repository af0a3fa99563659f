#pragma once
#include <mutex>
#include <string>
#include <vector>

#include "fleet_cost.hpp"
#include "fleet_size.hpp"
#include "sample_report.hpp"
#include "trials.hpp"

namespace tt {

/// What is measured, at which sizes, and where the report goes.
struct SweepOptions {
  std::string trial{"fleet"}, out{"capacity"}, label;
  std::vector<int> daemons{36}, cores{16}, workers{600}, tenants{200};
  std::vector<double> blocks{0}, events{0}, changes{0}, requests{0}, marks{0};
  int zones{40}, regions{4}, repeats{3}, threads{1}, frames{20000}, seed{1};
  double seconds{3}, linkMs{1};
};

/// Runs one trial at every size that is asked, and writes the report. A size that would take more than half of the
/// machine's memory is refused before anything starts.
class Sweep {
 public:
  explicit Sweep(SweepOptions sweepOptions) : options(std::move(sweepOptions)) {}
  /// The program's exit code: 0, 1 if a trial failed, 2 if the sizes were refused.
  int run();

 private:
  struct Job {
    FleetSize size;
    double x{0};
    int repeat{0};
  };
  const SweepOptions options;
  std::vector<Sample> samples;
  /// Guards the samples and the mark of failure while fleets are measured side by side.
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
