#include <atomic>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>
#include <thread>

#include <CLI/CLI.hpp>

#include "scenario.hpp"

using namespace tt;

int main(int count, char** words) {
  CLI::App app("Runs scenarios of a whole fleet on simulated time and checks all that must never happen",
               "trouttally-sim");
  app.set_version_flag("--version", std::string("trouttally-sim ") + TROUTTALLY_VERSION);
  std::vector<std::string> files;
  std::uint64_t seed = 0, firstSeed = 1, seeds = 0, repeats = 1;
  std::size_t threads = std::max(1u, std::thread::hardware_concurrency());
  std::string keepFolder, trace;
  bool codes = false, figures = false, printRandom = false;
  app.add_option("files", files, "scenario files");
  app.add_option("--seed", seed, "run with this seed instead of the files' own");
  app.add_option("--random", seeds, "also run this many scenarios of random faults");
  app.add_option("--first-seed", firstSeed, "the first random scenario's seed");
  app.add_option("--repeats", repeats, "run each file with this many seeds, from its own on");
  app.add_option("--keep", keepFolder, "reduce each failing random scenario and keep it in this folder");
  app.add_option("--threads", threads, "scenarios at a time");
  app.add_option("--trace", trace, "print journal events whose kind holds this text (* for all)");
  app.add_flag("--figures", figures, "print each scenario's figures");
  app.add_flag("--codes", codes, "print the table of result codes and end");
  app.add_flag("--print-random", printRandom, "print the random scenario of --first-seed and end");
  try {
    app.parse(count, words);
  } catch (const CLI::ParseError& thrown) {
    return app.exit(thrown) == 0 ? 0 : 2;
  }
  if (codes) {
    std::cout << codeTable();
    return 0;
  }
  if (printRandom) {
    std::cout << randomScenario(firstSeed);
    return 0;
  }
  struct Job {
    std::string name, text;
    std::optional<std::uint64_t> seed;
    bool random{false}, controls{true};
  };
  std::vector<Job> jobs;
  for (const auto& file : files) {
    std::ifstream source(file);
    if (!source) {
      std::cerr << "cannot read " << file << "\n";
      return 2;
    }
    std::stringstream bytes;
    bytes << source.rdbuf();
    Job job{file, bytes.str(), std::nullopt, false};
    if (seed) job.seed = seed;
    for (std::uint64_t round = 0; round < repeats; ++round) {
      if (round > 0) job.seed = 1000 + round;
      job.controls = round == 0;
      jobs.push_back(job);
    }
  }
  for (std::uint64_t number = 0; number < seeds; ++number)
    jobs.push_back(
        {"random-" + std::to_string(firstSeed + number), randomScenario(firstSeed + number), firstSeed + number, true});
  std::atomic<std::size_t> next{0};
  std::mutex lock;
  std::size_t passed = 0, failed = 0, operations = 0, unclear = 0;
  auto work = [&] {
    for (std::size_t at; (at = next++) < jobs.size();) {
      const auto& job = jobs[at];
      auto result = runScenario(job.text, job.seed, trace, job.controls);
      std::string reduced;
      if (!result.passed && job.random && !keepFolder.empty()) reduced = reduceScenario(job.text, result.seed);
      std::lock_guard<std::mutex> guard(lock);
      (result.passed ? passed : failed) += 1;
      operations += result.operations;
      unclear += result.unclear;
      if (!result.passed || !job.random || figures)
        std::cout << (result.passed ? "pass " : "FAIL ") << job.name << " seed " << result.seed << "\n";
      if (figures) std::cout << "     " << result.figures << "\n";
      std::size_t shown = 0;
      for (const auto& trouble : result.troubles)
        if (++shown <= 6) std::cout << "     " << trouble << "\n";
      if (!reduced.empty())
        std::ofstream(keepFolder + "/" + job.name + ".scenario") << "# Found by a random run, reduced.\n" << reduced;
    }
  };
  std::vector<std::thread> pool;
  for (std::size_t number = 0; number < std::min(threads, jobs.size()); ++number) pool.emplace_back(work);
  for (auto& thread : pool) thread.join();
  std::cout << "operators: " << operations << " operations checked, " << unclear << " of them without a clear answer\n";
  std::cout << passed << " passed, " << failed << " failed\n";
  return failed == 0 && passed > 0 ? 0 : 1;
}
