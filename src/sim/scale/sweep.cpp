#include "sweep.hpp"

#include <fmt/format.h>
#include <unistd.h>
#include <algorithm>
#include <atomic>
#include <filesystem>
#include <iostream>
#include <thread>

#include "fleet_metrics.hpp"
#include "fleet_trial.hpp"
#include "link_trial.hpp"

namespace tt {
namespace {

/// Approximate memory of a block in an index.
constexpr std::int64_t bytesPerBlock = 90;
/// Payload sizes of the link trial.
const std::vector<double> linkPayloadBytes{100, 1000, 10000, 100000};

/// A parameter of the fleet that can be swept, its values, and how one is set.
struct Dimension {
  const char* name;
  std::vector<double> values;
  void (*set)(FleetSize&, double);
};

std::vector<double> toDoubles(const std::vector<int>& values) { return {values.begin(), values.end()}; }

std::vector<Dimension> dimensionsOf(const SweepOptions& options) {
  return {
      {"daemons", toDoubles(options.daemons), [](FleetSize& s, double value) { s.daemons = static_cast<int>(value); }},
      {"cores", toDoubles(options.cores), [](FleetSize& s, double value) { s.cores = static_cast<int>(value); }},
      {"workers", toDoubles(options.workers), [](FleetSize& s, double value) { s.workers = static_cast<int>(value); }},
      {"tenants", toDoubles(options.tenants), [](FleetSize& s, double value) { s.tenants = static_cast<int>(value); }},
      {"blocks", options.blocks, [](FleetSize& s, double value) { s.blocks = static_cast<std::int64_t>(value); }},
      {"events per second", options.eventsPerSecond, [](FleetSize& s, double value) { s.eventsPerSecond = value; }},
      {"changes per hour", options.changesPerHour, [](FleetSize& s, double value) { s.changesPerHour = value; }},
      {"requests per second", options.requestsPerSecond,
       [](FleetSize& s, double value) { s.requestsPerSecond = value; }},
      {"list changes per hour", options.machineListChangesPerHour,
       [](FleetSize& s, double value) { s.machineListChangesPerHour = value; }},
  };
}

/// The x axis of the plots is the first of these dimensions that has more than one value.
const std::vector<std::string> axisPrecedence{
    "daemons",           "cores",  "workers", "list changes per hour", "changes per hour", "requests per second",
    "events per second", "blocks", "tenants"};

std::string chooseAxis(const std::vector<Dimension>& dimensions, const std::string& fallback) {
  for (const auto& name : axisPrecedence)
    for (const auto& dimension : dimensions)
      if (name == dimension.name && dimension.values.size() > 1) return name;
  return fallback;
}

/// A fleet size and its value on the x axis.
struct SizedPoint {
  FleetSize size;
  double x{0};
};

/// Returns every combination of the dimensions' values; the last dimension varies fastest. If no dimension is called
/// `axis`, x is the number of daemons.
std::vector<SizedPoint> combine(const FleetSize& base, const std::vector<Dimension>& dimensions,
                                const std::string& axis) {
  std::vector<SizedPoint> points{{base, 0}};
  for (const auto& dimension : dimensions) {
    std::vector<SizedPoint> extended;
    for (const auto& point : points)
      for (double value : dimension.values) {
        SizedPoint next = point;
        dimension.set(next.size, value);
        if (dimension.name == axis) next.x = value;
        extended.push_back(next);
      }
    points = std::move(extended);
  }
  bool axisFound = std::any_of(dimensions.begin(), dimensions.end(), [&](const auto& row) { return row.name == axis; });
  if (!axisFound)
    for (auto& point : points) point.x = point.size.daemons;
  return points;
}

std::string describeParameters(const FleetSize& size) {
  return fmt::format(
      "daemons={} cores={} workers={} zones={} tenants={} blocks={} events={} changes={} requests={} marks={}",
      size.daemons, size.cores, size.workers, size.zones, size.tenants, size.blocks, size.eventsPerSecond,
      size.changesPerHour, size.requestsPerSecond, size.machineListChangesPerHour);
}

/// Returns whether `bytes` are jobIndex most half of the machine's memory, and prints an error if they are more.
bool fitsMemory(std::int64_t bytes, const std::string& subject) {
  auto maxBytesAllowed = static_cast<std::int64_t>(::sysconf(_SC_PHYS_PAGES)) * ::sysconf(_SC_PAGESIZE) / 2;
  if (bytes <= maxBytesAllowed) return true;
  std::cerr << fmt::format("Not started: {} would take about {} MB, and half of this machine's memory is {} MB.\n",
                           subject, bytes >> 20, maxBytesAllowed >> 20);
  return false;
}

}  // namespace

int Sweep::run() {
  std::error_code ignored;
  std::filesystem::create_directories(options.outputFolder, ignored);
  bool started = options.trial == "fleet" ? runFleets() : runTrials();
  if (!started) return 2;
  std::string label = options.label.empty() ? options.trial : options.label;
  writeReport({options.outputFolder, label, axis}, samples);
  std::cout << "Written to " << options.outputFolder << " as " << label << ".\n";
  return failed ? 1 : 0;
}

bool Sweep::runFleets() {
  auto jobs = fleetJobs();
  std::int64_t maxBytes = 0;
  for (const auto& job : jobs) maxBytes = std::max(maxBytes, estimatedBytes(job.size));
  if (!fitsMemory(maxBytes * options.threads, fmt::format("{} fleet(s) at a time, the largest", options.threads)))
    return false;
  std::sort(jobs.begin(), jobs.end(), [](const Job& first, const Job& second) {
    return estimatedBytes(first.size) > estimatedBytes(second.size);
  });
  measureFleets(jobs);
  return true;
}

FleetSize Sweep::baseSize() const {
  FleetSize size;
  size.zones = options.zones;
  size.regions = options.regions;
  size.measuredDuration = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(options.seconds));
  size.linkDelay = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(options.linkDelayMs));
  return size;
}

std::vector<Sweep::Job> Sweep::fleetJobs() {
  auto dimensions = dimensionsOf(options);
  axis = chooseAxis(dimensions, axis);
  std::vector<Job> jobs;
  for (int repeat = 0; repeat < options.repeats; ++repeat)
    for (const auto& point : combine(baseSize(), dimensions, axis)) jobs.push_back({point.size, point.x, repeat});
  return jobs;
}

void Sweep::measureFleets(const std::vector<Job>& jobs) {
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> pool;
  for (int number = 0; number < options.threads; ++number)
    pool.emplace_back([&] {
      for (std::size_t jobIndex = next++; jobIndex < jobs.size(); jobIndex = next++) measureJob(jobs[jobIndex]);
    });
  for (auto& thread : pool) thread.join();
}

void Sweep::measureJob(const Job& job) {
  TimePoint start = Clock::now();
  auto result = measureFleet(job.size, static_cast<std::uint64_t>(options.seed + job.repeat));
  double elapsedSeconds = std::chrono::duration<double>(Clock::now() - start).count();
  std::string parameters = describeParameters(job.size);
  std::lock_guard<std::mutex> guard(samplesMutex);
  if (!result) {
    failed = true;
    std::cerr << fmt::format("{}: {} ({})\n", parameters, result.error().text, result.error().subject);
    return;
  }
  auto metrics = fleetMetrics(result.value());
  metrics.push_back({"fleet", "real seconds", elapsedSeconds});
  for (const auto& metric : metrics)
    samples.push_back(Sample{options.trial, parameters, job.x, job.repeat, metric.subject, metric.name, metric.value});
  std::cerr << fmt::format("{}: took {:.1f} s\n", parameters, elapsedSeconds);
}

std::vector<double> Sweep::trialSizes() const {
  if (options.trial == "index") return options.blocks;
  if (options.trial == "draw") return toDoubles(options.workers);
  if (options.trial == "blueprint") return toDoubles(options.tenants);
  return linkPayloadBytes;
}

std::vector<Metric> Sweep::runTrial(double size, std::uint64_t seed) const {
  if (options.trial == "index") return measureIndex(static_cast<std::int64_t>(size), seed);
  if (options.trial == "draw") return measureWorkerSelection(static_cast<int>(size), seed);
  if (options.trial == "blueprint") return measureConfiguration(static_cast<int>(size), seed);
  return measureLinks(options.frames, static_cast<std::size_t>(size));
}

bool Sweep::runTrials() {
  static const std::map<std::string, std::string> axisByTrial{
      {"index", "blocks"}, {"draw", "workers"}, {"blueprint", "tenants"}, {"links", "body bytes"}};
  axis = axisByTrial.at(options.trial);
  for (double size : trialSizes()) {
    if (options.trial == "index" &&
        !fitsMemory(static_cast<std::int64_t>(size) * bytesPerBlock, fmt::format("an index of {} blocks", size)))
      return false;
    for (int repeat = 0; repeat < options.repeats; ++repeat) {
      auto metrics = runTrial(size, static_cast<std::uint64_t>(options.seed + repeat));
      if (metrics.empty()) failed = true;
      for (const auto& metric : metrics)
        samples.push_back(Sample{options.trial, fmt::format("{}={}", axis, size), size, repeat, options.trial,
                                 metric.name, metric.value});
    }
  }
  return true;
}

}  // namespace tt
