#include <CLI/CLI.hpp>

#include "sweep.hpp"

using namespace tt;

namespace {

/// Adds an option that takes a list of values; each value is measured.
template <class Value>
void addSwept(CLI::App& app, const std::string& name, std::vector<Value>& values, const std::string& text, Value least,
              Value most) {
  app.add_option(name, values, text)->delimiter(',')->check(CLI::Range(least, most));
}

void addSizes(CLI::App& app, SweepOptions& options) {
  addSwept(app, "--daemons", options.daemons, "proxies, each with its agent", 1, 4000);
  addSwept(app, "--cores", options.cores, "cores, all of them voters", 1, 64);
  addSwept(app, "--workers", options.workers, "workers in the platform's machine list", 1, 50000);
  addSwept(app, "--tenants", options.tenants, "tenants in the configuration, each with a route", 1, 20000);
  addSwept(app, "--blocks", options.blocks, "cached blocks in the whole index", 0.0, 1e9);
  addSwept(app, "--eventsPerSecond", options.events, "cache events in the whole fleet", 0.0, 1e7);
  addSwept(app, "--changesPerHour", options.changes, "changes of the configuration", 0.0, 1e6);
  addSwept(app, "--requestsPerSecond", options.requests, "requests to all proxies", 0.0, 1e5);
  addSwept(app, "--markChangesPerHour", options.marks, "changes of the platform's machine list", 0.0, 1e6);
  app.add_option("--zones", options.zones, "zones, each with a cell")->check(CLI::Range(1, 250));
  app.add_option("--regions", options.regions, "regions")->check(CLI::Range(1, 50));
}

void addRuns(CLI::App& app, SweepOptions& options) {
  app.add_option("--seconds", options.seconds, "duration of the measurement in simulated time")
      ->check(CLI::Range(0.1, 600.0));
  app.add_option("--linkMs", options.linkMs, "one-way network latency between daemons")
      ->check(CLI::Range(0.01, 1000.0));
  app.add_option("--repeats", options.repeats, "runs of each size, each with its own seed")->check(CLI::Range(1, 100));
  app.add_option("--seed", options.seed, "the first run's seed");
  app.add_option("--threads", options.threads, "fleets measured concurrently")->check(CLI::Range(1, 64));
  app.add_option("--frames", options.frames, "frames sent over real connections in the links trial")
      ->check(CLI::Range(1, 10000000));
  app.add_option("--label", options.label, "base name of the report files");
  app.add_option("--out", options.out, "directory for the report: CSV, JSON, a table and SVG plots");
}

}  // namespace

int main(int count, char** words) {
  CLI::App app("Measures the cost of each role against the size of the fleet: the real logic, with simulated workers",
               "trouttally-scale");
  app.set_version_flag("--version", std::string("trouttally-scale ") + TROUTTALLY_VERSION);
  SweepOptions options;
  app.add_option("--trial", options.trial, "fleet, index, draw, blueprint or links")
      ->check(CLI::IsMember({"fleet", "index", "draw", "blueprint", "links"}));
  addSizes(app, options);
  addRuns(app, options);
  try {
    app.parse(count, words);
  } catch (const CLI::ParseError& thrown) {
    return app.exit(thrown) == 0 ? 0 : 2;
  }
  return Sweep(options).run();
}
