#include <CLI/CLI.hpp>

#include "sweep.hpp"

using namespace tt;

namespace {

/// Adds an option that takes a list of values; each value is measured.
template <class Value>
void addListOption(CLI::App& app, const std::string& name, std::vector<Value>& values, const std::string& text,
                   Value minValue, Value maxValue) {
  app.add_option(name, values, text)->delimiter(',')->check(CLI::Range(minValue, maxValue));
}

void addSizeOptions(CLI::App& app, SweepOptions& options) {
  addListOption(app, "--daemons", options.daemons, "proxies, each with its agent", 1, 4000);
  addListOption(app, "--cores", options.cores, "cores, all of them voters", 1, 64);
  addListOption(app, "--workers", options.workers, "workers in the platform's machine list", 1, 50000);
  addListOption(app, "--tenants", options.tenants, "tenants in the configuration, each with a route", 1, 20000);
  addListOption(app, "--blocks", options.blocks, "cached blocks in the whole index", 0.0, 1e9);
  addListOption(app, "--eventsPerSecond", options.eventsPerSecond, "cache events in the whole fleet", 0.0, 1e7);
  addListOption(app, "--changesPerHour", options.changesPerHour, "changes of the configuration", 0.0, 1e6);
  addListOption(app, "--requestsPerSecond", options.requestsPerSecond, "requests to all proxies", 0.0, 1e5);
  addListOption(app, "--markChangesPerHour", options.machineListChangesPerHour,
                "changes of the platform's machine list", 0.0, 1e6);
  app.add_option("--zones", options.zones, "zones, each with a cell")->check(CLI::Range(1, 250));
  app.add_option("--regions", options.regions, "regions")->check(CLI::Range(1, 50));
}

void addRunOptions(CLI::App& app, SweepOptions& options) {
  app.add_option("--seconds", options.seconds, "duration of the measurement in simulated time")
      ->check(CLI::Range(0.1, 600.0));
  app.add_option("--linkMs", options.linkDelayMs, "one-way network latency between daemons")
      ->check(CLI::Range(0.01, 1000.0));
  app.add_option("--repeats", options.repeats, "runs of each size, each with its own seed")->check(CLI::Range(1, 100));
  app.add_option("--seed", options.seed, "the first run's seed");
  app.add_option("--threads", options.threads, "fleets measured concurrently")->check(CLI::Range(1, 64));
  app.add_option("--frames", options.frames, "frames sent over real connections in the links trial")
      ->check(CLI::Range(1, 10000000));
  app.add_option("--label", options.label, "base name of the report files");
  app.add_option("--out", options.outputFolder, "directory for the report: CSV, JSON, a table and SVG plots");
}

}  // namespace

int main(int count, char** arguments) {
  CLI::App app("Measures the cost of each role against the size of the fleet: the real logic, with simulated workers",
               "trouttally-scale");
  app.set_version_flag("--version", std::string("trouttally-scale ") + TROUTTALLY_VERSION);
  SweepOptions options;
  app.add_option("--trial", options.trial, "fleet, index, draw, blueprint or links")
      ->check(CLI::IsMember({"fleet", "index", "draw", "blueprint", "links"}));
  addSizeOptions(app, options);
  addRunOptions(app, options);
  try {
    app.parse(count, arguments);
  } catch (const CLI::ParseError& parseError) {
    return app.exit(parseError) == 0 ? 0 : 2;
  }
  return Sweep(options).run();
}
