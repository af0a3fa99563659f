#include <atomic>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>
#include <thread>

#include <CLI/CLI.hpp>

#include "scenario.hpp"

using namespace tt;

namespace {

constexpr std::size_t mostTroublesShown = 6;
constexpr std::uint64_t repeatSeeds = 1000;

/// What is run and printed, as the flags say.
struct SimOptions {
  std::vector<std::string> files;
  std::uint64_t seed{0}, firstSeed{1}, randomScenarios{0}, repeats{1};
  std::size_t threads{std::max(1u, std::thread::hardware_concurrency())};
  std::string keepFolder, trace;
  bool codes{false}, figures{false}, printRandom{false};
};

/// One run of one scenario.
struct Job {
  std::string name, text;
  std::optional<std::uint64_t> seed;
  bool random{false}, controls{true};
};

void addOptions(CLI::App& app, SimOptions& options) {
  app.add_option("files", options.files, "scenario files");
  app.add_option("--seed", options.seed, "run with this seed instead of the files' own");
  app.add_option("--random", options.randomScenarios, "also run this many scenarios of random faults");
  app.add_option("--first-seed", options.firstSeed, "the first random scenario's seed");
  app.add_option("--repeats", options.repeats, "run each file with this many seeds, from its own on");
  app.add_option("--keep", options.keepFolder, "reduce each failing random scenario and keep it in this folder");
  app.add_option("--threads", options.threads, "scenarios at a time");
  app.add_option("--trace", options.trace, "print journal events whose kind holds this text (* for all)");
  app.add_flag("--figures", options.figures, "print each scenario's figures");
  app.add_flag("--codes", options.codes, "print the table of result codes and end");
  app.add_flag("--print-random", options.printRandom, "print the random scenario of --first-seed and end");
}

/// A file's runs: the first with its own seed and its control runs, the others with other seeds. Whether it was read.
bool addFileJobs(const SimOptions& options, const std::string& file, std::vector<Job>& jobs) {
  std::ifstream source(file);
  if (!source) {
    std::cerr << "cannot read " << file << "\n";
    return false;
  }
  std::stringstream bytes;
  bytes << source.rdbuf();
  Job job{file, bytes.str(), std::nullopt, false};
  if (options.seed) job.seed = options.seed;
  for (std::uint64_t round = 0; round < options.repeats; ++round) {
    if (round > 0) job.seed = repeatSeeds + round;
    job.controls = round == 0;
    jobs.push_back(job);
  }
  return true;
}

void addRandomJobs(const SimOptions& options, std::vector<Job>& jobs) {
  for (std::uint64_t number = 0; number < options.randomScenarios; ++number) {
    std::uint64_t seed = options.firstSeed + number;
    jobs.push_back({"random-" + std::to_string(seed), randomScenario(seed), seed, true});
  }
}

/// Runs scenarios on several threads, prints those that fail, and counts.
class ScenarioRunner {
 public:
  ScenarioRunner(const SimOptions& given, std::vector<Job> list) : options(given), jobs(std::move(list)) {}

  /// Whether all scenarios passed, and there was one.
  bool run() {
    std::vector<std::thread> pool;
    for (std::size_t number = 0; number < std::min(options.threads, jobs.size()); ++number)
      pool.emplace_back([this] { work(); });
    for (auto& thread : pool) thread.join();
    std::cout << "operators: " << operations << " operations checked, " << unclear
              << " of them without a clear answer\n";
    std::cout << passed << " passed, " << failed << " failed\n";
    return failed == 0 && passed > 0;
  }

 private:
  const SimOptions& options;
  const std::vector<Job> jobs;
  std::atomic<std::size_t> next{0};
  /// Guards the counts and what is printed.
  std::mutex lock;
  std::size_t passed{0}, failed{0}, operations{0}, unclear{0};

  void work() {
    for (std::size_t at = next++; at < jobs.size(); at = next++) runJob(jobs[at]);
  }

  void runJob(const Job& job) {
    auto result = runScenario(job.text, job.seed, options.trace, job.controls);
    std::string reduced;
    if (!result.passed && job.random && !options.keepFolder.empty()) reduced = reduceScenario(job.text, result.seed);
    std::lock_guard<std::mutex> guard(lock);
    (result.passed ? passed : failed) += 1;
    operations += result.operations;
    unclear += result.unclear;
    print(job, result);
    if (reduced.empty()) return;
    std::ofstream(options.keepFolder + "/" + job.name + ".scenario") << "# Found by a random run, reduced.\n"
                                                                     << reduced;
  }

  void print(const Job& job, const ScenarioResult& result) const {
    if (!result.passed || !job.random || options.figures)
      std::cout << (result.passed ? "pass " : "FAIL ") << job.name << " seed " << result.seed << "\n";
    if (options.figures) std::cout << "     " << result.figures << "\n";
    std::size_t shown = 0;
    for (const auto& trouble : result.failures)
      if (++shown <= mostTroublesShown) std::cout << "     " << trouble << "\n";
  }
};

int run(const SimOptions& options) {
  if (options.codes) {
    std::cout << codeTable();
    return 0;
  }
  if (options.printRandom) {
    std::cout << randomScenario(options.firstSeed);
    return 0;
  }
  std::vector<Job> jobs;
  for (const auto& file : options.files)
    if (!addFileJobs(options, file, jobs)) return 2;
  addRandomJobs(options, jobs);
  return ScenarioRunner(options, std::move(jobs)).run() ? 0 : 1;
}

}  // namespace

int main(int count, char** words) {
  CLI::App app("Runs scenarios of a whole fleet on simulated time and checks all that must never happen",
               "trouttally-sim");
  app.set_version_flag("--version", std::string("trouttally-sim ") + TROUTTALLY_VERSION);
  SimOptions options;
  addOptions(app, options);
  try {
    app.parse(count, words);
  } catch (const CLI::ParseError& thrown) {
    return app.exit(thrown) == 0 ? 0 : 2;
  }
  return run(options);
}
