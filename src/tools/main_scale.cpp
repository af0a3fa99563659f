#include <CLI/CLI.hpp>

#include "sweep.hpp"

using namespace tt;

namespace {

/// An option that takes several values, each of which is measured.
template <class Value>
void addSwept(CLI::App& app, const std::string& name, std::vector<Value>& values, const std::string& text, Value least,
              Value most) {
  app.add_option(name, values, text)->delimiter(',')->check(CLI::Range(least, most));
}

void addSizes(CLI::App& app, SweepOptions& options) {
  addSwept(app, "--daemons", options.daemons, "proxies, each with its agent", 1, 4000);
  addSwept(app, "--cores", options.cores, "cores, all of which vote", 1, 64);
  addSwept(app, "--workers", options.workers, "workers on the platform's list", 1, 50000);
  addSwept(app, "--tenants", options.tenants, "tenants in the blueprint, each with a route", 1, 20000);
  addSwept(app, "--blocks", options.blocks, "kept blocks in the whole index", 0.0, 1e9);
  addSwept(app, "--eventsPerSecond", options.events, "events on kept blocks in the whole fleet", 0.0, 1e7);
  addSwept(app, "--changesPerHour", options.changes, "changes of the blueprint", 0.0, 1e6);
  addSwept(app, "--requestsPerSecond", options.requests, "requests to all proxies", 0.0, 1e5);
  addSwept(app, "--markChangesPerHour", options.marks, "changes of the platform's list", 0.0, 1e6);
  app.add_option("--zones", options.zones, "zones, each with a cell")->check(CLI::Range(1, 250));
  app.add_option("--regions", options.regions, "regions")->check(CLI::Range(1, 50));
}

void addRuns(CLI::App& app, SweepOptions& options) {
  app.add_option("--seconds", options.seconds, "simulated seconds that are measured")->check(CLI::Range(0.1, 600.0));
  app.add_option("--linkMs", options.linkMs, "one way between daemons")->check(CLI::Range(0.01, 1000.0));
  app.add_option("--repeats", options.repeats, "runs of each size, each with its own seed")->check(CLI::Range(1, 100));
  app.add_option("--seed", options.seed, "the first run's seed");
  app.add_option("--threads", options.threads, "fleets measured at a time")->check(CLI::Range(1, 64));
  app.add_option("--frames", options.frames, "frames sent over real links")->check(CLI::Range(1, 10000000));
  app.add_option("--label", options.label, "the name of the files written");
  app.add_option("--out", options.out, "folder for CSV, JSON, a table and SVG plots");
}

}  // namespace

int main(int count, char** words) {
  CLI::App app("Measures what each role costs against the size of the fleet, with the real logic before hollow workers",
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
