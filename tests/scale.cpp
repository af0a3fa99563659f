#include <criterion/criterion.h>

#include "fleet_trial.hpp"
#include "plot.hpp"
#include "statistics.hpp"
#include "trials.hpp"

using namespace tt;

Test(scale, a_line_is_fitted_through_points) {
  auto line = fitLine({{0, 3}, {10, 23}, {20, 43}});
  cr_assert(line.has_value());
  cr_assert_float_eq(line->slope, 2, 1e-9);
  cr_assert_float_eq(line->intercept, 3, 1e-9);
  cr_assert(!fitLine({{5, 1}}).has_value());
  cr_assert(!fitLine({{5, 1}, {5, 9}}).has_value(), "points with the same x have no slope");
}

Test(scale, a_spread_holds_minimum_median_and_maximum) {
  auto odd = spreadOf({9, 1, 4});
  cr_assert_eq(odd.min, 1);
  cr_assert_eq(odd.median, 4);
  cr_assert_eq(odd.max, 9);
  cr_assert_eq(spreadOf({1, 3}).median, 2);
  cr_assert_eq(spreadOf({}).max, 0);
}

Test(scale, the_memory_estimate_grows_with_every_size) {
  FleetSize size;
  auto smallest = estimatedBytes(size);
  for (auto count : {&FleetSize::daemons, &FleetSize::cores, &FleetSize::workers, &FleetSize::tenants}) {
    FleetSize larger = size;
    larger.*count *= 10;
    cr_assert_gt(estimatedBytes(larger), smallest);
  }
  FleetSize larger = size;
  larger.blocks = 1000000;
  cr_assert_geq(estimatedBytes(larger) - smallest, 60000000);
}

Test(scale, a_simulated_fleet_forms_applies_changes_and_serves_requests, .timeout = 60) {
  FleetSize size;
  size.daemons = 5;
  size.workers = 24;
  size.zones = 8;
  size.blocks = 2400;
  size.eventsPerSecond = 240;
  size.changesPerHour = 3600;
  size.requestsPerSecond = 10;
  auto result = measureFleet(size, 7);
  cr_assert(bool(result), "%s", result ? "" : result.error().text.c_str());
  const auto& cost = result.value();
  cr_assert_eq(cost.voters, size.cores);
  cr_assert_eq(cost.freshDaemons, size.daemons);
  cr_assert_eq(cost.cellsWithLease, size.zones);
  cr_assert_eq(cost.ackMs.size(), 3u);
  cr_assert_eq(cost.proxiesMs.size(), 3u);
  cr_assert_float_eq(static_cast<double>(cost.eventsReceived), 720, 72);
  cr_assert_geq(cost.indexedBlocks, 2400);
  cr_assert_geq(cost.requestsDone, 25);
  for (const char* role : {"agent", "proxy", "core"}) {
    cr_assert_eq(cost.processesByRole.count(role), 1u);
    for (const auto& process : cost.processesByRole.at(role)) cr_assert_gt(process.total.cpuNs, 0);
  }
  cr_assert_eq(cost.processesByRole.at("agent").size(), 5u);
}

Test(scale, index_worker_selection_and_configuration_are_measured) {
  for (const auto& metric : measureIndex(20000, 1)) cr_assert_geq(metric.value, 0, "%s", metric.name.c_str());
  bool done = false;
  for (const auto& metric : measureWorkerSelection(60, 1))
    if (metric.name == "requests done") done = metric.value == 1;
  cr_assert(done, "every request must complete");
  cr_assert_geq(measureConfiguration(8, 1).size(), 8u);
}

Test(scale, a_plot_contains_every_point) {
  auto svg = plotSvg("agent", "daemons", "ms", {{1, 2}, {3, 4}});
  cr_assert_eq(svg.rfind("<svg", 0), 0u);
  std::size_t circles = 0;
  for (auto at = svg.find("<circle"); at != std::string::npos; at = svg.find("<circle", at + 1)) ++circles;
  cr_assert_eq(circles, 2u);
}
