#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <mutex>
#include <new>
#include <thread>

#include <unistd.h>

#include <fmt/format.h>
#include <CLI/CLI.hpp>

#include "host.hpp"
#include "scale.hpp"

namespace {
constexpr std::int64_t chunkHead = 8;

void* take(std::size_t bytes) {
  void* block = std::malloc(bytes ? bytes : 1);
  if (!block) std::abort();
  if (tt::heapAccount) *tt::heapAccount += static_cast<std::int64_t>(::malloc_usable_size(block)) + chunkHead;
  return block;
}
void give(void* block) {
  if (!block) return;
  if (tt::heapAccount) *tt::heapAccount -= static_cast<std::int64_t>(::malloc_usable_size(block)) + chunkHead;
  std::free(block);
}
}  // namespace

void* operator new(std::size_t bytes) { return take(bytes); }
void* operator new[](std::size_t bytes) { return take(bytes); }
void* operator new(std::size_t bytes, const std::nothrow_t&) noexcept { return take(bytes); }
void* operator new[](std::size_t bytes, const std::nothrow_t&) noexcept { return take(bytes); }
void operator delete(void* block) noexcept { give(block); }
void operator delete[](void* block) noexcept { give(block); }
void operator delete(void* block, std::size_t) noexcept { give(block); }
void operator delete[](void* block, std::size_t) noexcept { give(block); }

using namespace tt;

namespace {

struct Sample {
  std::string trial, about;
  double x{0};
  int repeat{0};
  std::string subject, name;
  double value{0};
};

struct Asked {
  std::string trial{"fleet"}, out{"capacity"}, label;
  std::vector<int> daemons{36}, cores{16}, workers{600}, tenants{200};
  std::vector<double> blocks{0}, events{0}, changes{0}, requests{0}, marks{0};
  int zones{40}, regions{4}, repeats{3}, threads{1}, frames{20000}, seed{1};
  double seconds{3}, linkMs{1};
};

std::vector<Figure> measureLinks(int frames, std::size_t bytes) {
  std::vector<Figure> figures;
  asio::io_context sending, receiving;
  std::atomic<int> taken{0};
  std::atomic<std::int64_t> sendNs{0}, takeNs{0};
  asio::ip::tcp::acceptor probe(receiving, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  std::string address = "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
  probe.close();
  Hub target(receiving, address, [&](const std::string&, Message) { ++taken; });
  if (auto done = target.listen(); !done) return figures;
  Hub source(sending, "127.0.0.1:1", [](const std::string&, Message) {});
  std::thread receiver([&] {
    std::int64_t start = threadCpuNs();
    while (taken < frames) receiving.run_for(5ms);
    takeNs = threadCpuNs() - start;
    target.stop();
  });
  NewsMsg message{1, {Entry{1, 1, 1, std::string(bytes, 'x'), "change", 1}}, {}};
  int openMost = static_cast<int>(std::clamp<std::size_t>((4u << 20) / (bytes + 64), 8, 200));
  std::thread sender([&] {
    std::int64_t start = threadCpuNs();
    int sent = 0;
    Moment by = Clock::now() + 60s;
    while (taken < frames && Clock::now() < by) {
      for (int turn = 0; turn < 20 && sent < frames && sent - taken < openMost; ++turn, ++sent)
        source.send(address, message);
      sending.run_for(1ms);
      sending.restart();
    }
    sendNs = threadCpuNs() - start;
    if (taken < frames) std::_Exit(3);
  });
  sender.join();
  receiver.join();
  figures.push_back({"us per frame sent", static_cast<double>(sendNs) / frames / 1000});
  figures.push_back({"us per frame taken", static_cast<double>(takeNs) / frames / 1000});
  figures.push_back({"bytes per frame", static_cast<double>(encodeMessage(message).size() + 4)});
  return figures;
}

class Scale {
 public:
  explicit Scale(Asked given) : asked(std::move(given)) {}

  int run() {
    std::error_code ignored;
    std::filesystem::create_directories(asked.out, ignored);
    if (asked.trial == "fleet") {
      if (!runFleets()) return 2;
    } else if (!runFigures()) {
      return 2;
    }
    write();
    return failed ? 1 : 0;
  }

 private:
  struct Job {
    FleetSize size;
    double x{0};
    int repeat{0};
  };
  Asked asked;
  std::vector<Sample> samples;
  std::mutex lock;
  std::string xName{"size"};
  bool failed{false};

  bool fits(std::int64_t bytes, const std::string& about) {
    auto half = static_cast<std::int64_t>(::sysconf(_SC_PHYS_PAGES)) * ::sysconf(_SC_PAGESIZE) / 2;
    if (bytes <= half) return true;
    std::cerr << fmt::format("Not started: {} would take about {} MB, and half of this machine's memory is {} MB.\n",
                             about, bytes >> 20, half >> 20);
    return false;
  }

  bool runFleets() {
    std::vector<Job> jobs;
    auto sweep = [&](const std::string& name, std::size_t count) {
      if (count > 1) xName = name;
    };
    sweep("tenants", asked.tenants.size());
    sweep("blocks", asked.blocks.size());
    sweep("events per second", asked.events.size());
    sweep("requests per second", asked.requests.size());
    sweep("changes per hour", asked.changes.size());
    sweep("list changes per hour", asked.marks.size());
    sweep("workers", asked.workers.size());
    sweep("cores", asked.cores.size());
    sweep("daemons", asked.daemons.size());
    for (int repeat = 0; repeat < asked.repeats; ++repeat)
      for (int daemons : asked.daemons)
        for (int cores : asked.cores)
          for (int workers : asked.workers)
            for (int tenants : asked.tenants)
              for (double blocks : asked.blocks)
                for (double events : asked.events)
                  for (double changes : asked.changes)
                    for (double requests : asked.requests)
                      for (double marks : asked.marks) {
                        Job job;
                        job.size.daemons = daemons;
                        job.size.cores = cores;
                        job.size.workers = workers;
                        job.size.tenants = tenants;
                        job.size.zones = asked.zones;
                        job.size.regions = asked.regions;
                        job.size.blocks = static_cast<std::int64_t>(blocks);
                        job.size.eventsPerSecond = events;
                        job.size.changesPerHour = changes;
                        job.size.requestsPerSecond = requests;
                        job.size.markChangesPerHour = marks;
                        job.size.measured =
                            std::chrono::duration_cast<Span>(std::chrono::duration<double>(asked.seconds));
                        job.size.link =
                            std::chrono::duration_cast<Span>(std::chrono::duration<double, std::milli>(asked.linkMs));
                        job.repeat = repeat;
                        job.x = xName == "daemons"                 ? daemons
                                : xName == "cores"                 ? cores
                                : xName == "workers"               ? workers
                                : xName == "tenants"               ? tenants
                                : xName == "blocks"                ? blocks
                                : xName == "events per second"     ? events
                                : xName == "requests per second"   ? requests
                                : xName == "changes per hour"      ? changes
                                : xName == "list changes per hour" ? marks
                                                                   : daemons;
                        jobs.push_back(job);
                      }
    std::int64_t most = 0;
    for (const auto& job : jobs) most = std::max(most, estimatedBytes(job.size));
    if (!fits(most * asked.threads, fmt::format("{} fleet(s) at a time, the largest", asked.threads))) return false;
    std::sort(jobs.begin(), jobs.end(),
              [](const Job& one, const Job& other) { return estimatedBytes(one.size) > estimatedBytes(other.size); });
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> pool;
    for (int number = 0; number < asked.threads; ++number)
      pool.emplace_back([&] {
        for (std::size_t at = next++; at < jobs.size(); at = next++) measure(jobs[at]);
      });
    for (auto& thread : pool) thread.join();
    return true;
  }

  void measure(const Job& job) {
    Moment start = Clock::now();
    auto result = measureFleet(job.size, static_cast<std::uint64_t>(asked.seed + job.repeat));
    double took = std::chrono::duration<double>(Clock::now() - start).count();
    std::lock_guard<std::mutex> guard(lock);
    std::string about = fmt::format(
        "daemons={} cores={} workers={} zones={} tenants={} blocks={} events={} changes={} requests={} marks={}",
        job.size.daemons, job.size.cores, job.size.workers, job.size.zones, job.size.tenants, job.size.blocks,
        job.size.eventsPerSecond, job.size.changesPerHour, job.size.requestsPerSecond, job.size.markChangesPerHour);
    if (!result) {
      failed = true;
      std::cerr << fmt::format("{}: {} ({})\n", about, result.error().text, result.error().subject);
      return;
    }
    const auto& cost = result.value();
    auto add = [&](const std::string& subject, const std::string& name, double value) {
      samples.push_back(Sample{asked.trial, about, job.x, job.repeat, subject, name, value});
    };
    for (const auto& [role, daemons] : cost.daemonsByRole) {
      std::map<std::string, std::vector<double>> rows;
      std::map<std::string, Cost> byMessage;
      for (const auto& daemon : daemons) {
        rows["cpu ms per s"].push_back(static_cast<double>(daemon.fleet.cpuNs) / 1e6 / cost.seconds);
        rows["bytes in per s"].push_back(static_cast<double>(daemon.fleet.bytesIn) / cost.seconds);
        rows["bytes out per s"].push_back(static_cast<double>(daemon.fleet.bytesOut) / cost.seconds);
        rows["local bytes per s"].push_back(static_cast<double>(daemon.localBytes) / cost.seconds);
        rows["worker messages per s"].push_back(static_cast<double>(daemon.workerMessages) / cost.seconds);
        rows["heap bytes"].push_back(static_cast<double>(daemon.heapBytes));
        rows["disk bytes per s"].push_back(static_cast<double>(daemon.diskBytes) / cost.seconds);
        rows["cells"].push_back(static_cast<double>(daemon.cells));
        rows["followers"].push_back(static_cast<double>(daemon.followers));
        for (const auto& [kind, row] : daemon.byMessage) {
          auto& sum = byMessage[kind];
          sum.count += row.count;
          sum.cpuNs += row.cpuNs;
          sum.bytesIn += row.bytesIn;
          sum.bytesOut += row.bytesOut;
        }
      }
      double count = static_cast<double>(daemons.size());
      for (const auto& [name, values] : rows) {
        double sum = 0;
        for (double value : values) sum += value;
        add(role, name + ", mean", sum / count);
        add(role, name + ", max", spreadOf(values).max);
      }
      for (const auto& [kind, row] : byMessage) {
        if (row.cpuNs) add(role, kind + ": cpu ms per s", static_cast<double>(row.cpuNs) / 1e6 / cost.seconds / count);
        if (row.bytesIn) add(role, kind + ": bytes in per s", static_cast<double>(row.bytesIn) / cost.seconds / count);
        if (row.bytesOut)
          add(role, kind + ": bytes out per s", static_cast<double>(row.bytesOut) / cost.seconds / count);
        add(role, kind + ": count per s", static_cast<double>(row.count) / cost.seconds / count);
      }
    }
    auto spread = [&](const std::string& name, const std::vector<double>& values) {
      if (values.empty()) return;
      auto found = spreadOf(values);
      add("fleet", name + ", median", found.median);
      add("fleet", name + ", max", found.max);
    };
    spread("ms to acknowledge", cost.ackMs);
    spread("ms to last agent", cost.agentsMs);
    spread("ms to last proxy", cost.proxiesMs);
    add("fleet", "cells held", static_cast<double>(cost.cellsHeld));
    add("fleet", "blocks indexed", static_cast<double>(cost.blocksIndexed));
    add("fleet", "events taken per s", static_cast<double>(cost.eventsTaken) / cost.seconds);
    add("fleet", "requests done per s", static_cast<double>(cost.requestsDone) / cost.seconds);
    add("fleet", "blueprint bytes", static_cast<double>(cost.configurationBytes));
    add("fleet", "real seconds", took);
    std::cerr << fmt::format("{}: took {:.1f} s\n", about, took);
  }

  bool runFigures() {
    xName = asked.trial == "index"       ? "blocks"
            : asked.trial == "draw"      ? "workers"
            : asked.trial == "blueprint" ? "tenants"
                                         : "body bytes";
    std::vector<double> sizes;
    if (asked.trial == "index")
      sizes = asked.blocks;
    else if (asked.trial == "draw")
      sizes.assign(asked.workers.begin(), asked.workers.end());
    else if (asked.trial == "blueprint")
      sizes.assign(asked.tenants.begin(), asked.tenants.end());
    else
      sizes = {100, 1000, 10000, 100000};
    for (double size : sizes) {
      if (asked.trial == "index" &&
          !fits(static_cast<std::int64_t>(size) * 90, fmt::format("an index of {} blocks", size)))
        return false;
      for (int repeat = 0; repeat < asked.repeats; ++repeat) {
        auto seed = static_cast<std::uint64_t>(asked.seed + repeat);
        auto figures = asked.trial == "index"       ? measureIndex(static_cast<std::int64_t>(size), seed)
                       : asked.trial == "draw"      ? measureDraw(static_cast<int>(size), seed)
                       : asked.trial == "blueprint" ? measureConfiguration(static_cast<int>(size), seed)
                                                    : measureLinks(asked.frames, static_cast<std::size_t>(size));
        if (figures.empty()) failed = true;
        for (const auto& figure : figures)
          samples.push_back(Sample{asked.trial, fmt::format("{}={}", xName, size), size, repeat, asked.trial,
                                   figure.name, figure.value});
      }
    }
    return true;
  }

  void write() {
    std::string label = asked.label.empty() ? asked.trial : asked.label;
    std::ofstream csv(asked.out + "/" + label + ".csv");
    csv << "trial,about,x,repeat,subject,name,value\n";
    std::map<std::pair<std::string, std::string>, std::vector<Sample>> series;
    for (const auto& sample : samples) {
      csv << fmt::format("{},{},{:g},{},{},\"{}\",{:.6g}\n", sample.trial, sample.about, sample.x, sample.repeat,
                         sample.subject, sample.name, sample.value);
      series[{sample.subject, sample.name}].push_back(sample);
    }
    JsonArray rows;
    std::ofstream table(asked.out + "/" + label + ".txt");
    for (const auto& [key, list] : series) {
      std::map<double, std::vector<double>> byX;
      std::map<int, std::vector<std::pair<double, double>>> byRepeat;
      std::vector<std::pair<double, double>> points;
      for (const auto& sample : list) {
        byX[sample.x].push_back(sample.value);
        byRepeat[sample.repeat].emplace_back(sample.x, sample.value);
        points.emplace_back(sample.x, sample.value);
      }
      JsonObject row;
      row["subject"] = Json(key.first);
      row["name"] = Json(key.second);
      row["against"] = Json(xName);
      table << key.first << " | " << key.second;
      JsonArray values;
      for (const auto& [x, each] : byX) {
        auto spread = spreadOf(each);
        JsonObject value;
        value["x"] = jsonNumber(x);
        value["min"] = jsonNumber(spread.min);
        value["median"] = jsonNumber(spread.median);
        value["max"] = jsonNumber(spread.max);
        values.push_back(Json(value));
        table << fmt::format(" | {:g}: {:.4g} ({:.4g}-{:.4g})", x, spread.median, spread.min, spread.max);
      }
      row["values"] = Json(values);
      std::vector<double> slopes, bases;
      for (const auto& [repeat, each] : byRepeat)
        if (auto line = fitLine(each)) {
          slopes.push_back(line->slope);
          bases.push_back(line->base);
        }
      if (!slopes.empty()) {
        auto slope = spreadOf(slopes), base = spreadOf(bases);
        JsonObject fit;
        fit["slopeMin"] = jsonNumber(slope.min);
        fit["slopeMedian"] = jsonNumber(slope.median);
        fit["slopeMax"] = jsonNumber(slope.max);
        fit["baseMedian"] = jsonNumber(base.median);
        row["fit"] = Json(fit);
        table << fmt::format(" || slope {:.4g} ({:.4g}-{:.4g}) base {:.4g}", slope.median, slope.min, slope.max,
                             base.median);
        if (key.second.find(':') == std::string::npos) {
          std::string file = label + "-" + key.first + "-" + key.second;
          std::replace_if(
              file.begin(), file.end(), [](char letter) { return letter == ' ' || letter == ','; }, '-');
          std::ofstream(asked.out + "/" + file + ".svg")
              << plotSvg(key.first + ": " + key.second, xName, key.second, points);
        }
      }
      table << "\n";
      rows.push_back(Json(row));
    }
    std::ofstream(asked.out + "/" + label + ".json") << Json(rows).serialize(true);
    std::cout << "Written to " << asked.out << " as " << label << ".\n";
  }
};

}  // namespace

int main(int count, char** words) {
  CLI::App app("Measures what each role costs against the size of the fleet, with the real logic before hollow workers",
               "trouttally-scale");
  app.set_version_flag("--version", std::string("trouttally-scale ") + TROUTTALLY_VERSION);
  Asked asked;
  app.add_option("--trial", asked.trial, "fleet, index, draw, blueprint or links")
      ->check(CLI::IsMember({"fleet", "index", "draw", "blueprint", "links"}));
  app.add_option("--daemons", asked.daemons, "proxies, each with its agent")
      ->delimiter(',')
      ->check(CLI::Range(1, 4000));
  app.add_option("--cores", asked.cores, "cores, all of which vote")->delimiter(',')->check(CLI::Range(1, 64));
  app.add_option("--workers", asked.workers, "workers on the platform's list")
      ->delimiter(',')
      ->check(CLI::Range(1, 50000));
  app.add_option("--tenants", asked.tenants, "tenants in the blueprint, each with a route")
      ->delimiter(',')
      ->check(CLI::Range(1, 20000));
  app.add_option("--blocks", asked.blocks, "kept blocks in the whole index")
      ->delimiter(',')
      ->check(CLI::Range(0.0, 1e9));
  app.add_option("--eventsPerSecond", asked.events, "events on kept blocks in the whole fleet")
      ->delimiter(',')
      ->check(CLI::Range(0.0, 1e7));
  app.add_option("--changesPerHour", asked.changes, "changes of the blueprint")
      ->delimiter(',')
      ->check(CLI::Range(0.0, 1e6));
  app.add_option("--requestsPerSecond", asked.requests, "requests to all proxies")
      ->delimiter(',')
      ->check(CLI::Range(0.0, 1e5));
  app.add_option("--markChangesPerHour", asked.marks, "changes of the platform's list")
      ->delimiter(',')
      ->check(CLI::Range(0.0, 1e6));
  app.add_option("--zones", asked.zones, "zones, each with a cell")->check(CLI::Range(1, 250));
  app.add_option("--regions", asked.regions, "regions")->check(CLI::Range(1, 50));
  app.add_option("--seconds", asked.seconds, "simulated seconds that are measured")->check(CLI::Range(0.1, 600.0));
  app.add_option("--linkMs", asked.linkMs, "one way between daemons")->check(CLI::Range(0.01, 1000.0));
  app.add_option("--repeats", asked.repeats, "runs of each size, each with its own seed")->check(CLI::Range(1, 100));
  app.add_option("--seed", asked.seed, "the first run's seed");
  app.add_option("--threads", asked.threads, "fleets measured at a time")->check(CLI::Range(1, 64));
  app.add_option("--frames", asked.frames, "frames sent over real links")->check(CLI::Range(1, 10000000));
  app.add_option("--label", asked.label, "the name of the files written");
  app.add_option("--out", asked.out, "folder for CSV, JSON, a table and SVG plots");
  try {
    app.parse(count, words);
  } catch (const CLI::ParseError& thrown) {
    return app.exit(thrown) == 0 ? 0 : 2;
  }
  return Scale(asked).run();
}
