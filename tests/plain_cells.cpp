#include "cell_harness.hpp"
#include "machine_list_reader.hpp"
#include "raw_server.hpp"

using namespace tt;

namespace {
CellSettings platformCellSettings() {
  CellSettings settings;
  settings.separateStatus = settings.singleLoadCommand = true;
  settings.publishSummaries = false;
  settings.reportInterval = 100ms;
  return settings;
}

Machine plainMachine(const std::string& name) {
  Machine machine;
  machine.name = name;
  machine.address = name + ":80";
  machine.zone = "north-a";
  machine.kind = "app";
  machine.service = "weir";
  machine.slots = 6;
  return machine;
}

const WorkerView* findWorker(const CellNews& state, const std::string& name) {
  for (const auto& worker : state.workers)
    if (worker.name == name) return &worker;
  return nullptr;
}

/// Returns the state of a reader that has applied all updates that the cell's lease holder has published.
CellNews publishedBy(CellHarness& harness) {
  CellNews state;
  for (auto& [address, core] : harness.cores)
    for (const auto& update : core.updates) applyCellUpdate(state, update);
  return state;
}
}  // namespace

Test(plain_cells, a_plain_worker_is_never_polled_and_is_alive_while_listed) {
  CellHarness harness(1, platformCellSettings());
  for (auto& [address, core] : harness.cores) core.cell->setMachines({plainMachine("c1"), plainMachine("c2")});
  harness.runUntilLeaseHeld();
  harness.run(5s);
  for (const auto& row : harness.sent) {
    cr_expect_neq(row.to, "c1:80", "a plain worker has neither reports nor an index");
    cr_expect_neq(row.to, "c2:80");
  }
  auto state = publishedBy(harness);
  cr_assert_not_null(findWorker(state, "c1"));
  cr_expect(findWorker(state, "c1")->alive);
  cr_expect_not(findWorker(state, "c1")->withheld);
  cr_expect_eq(findWorker(state, "c1")->slots, 6);
  for (auto& [address, core] : harness.cores) core.cell->setMachines({plainMachine("c2")});
  harness.run(1s);
  state = publishedBy(harness);
  cr_expect_null(findWorker(state, "c1"));
  cr_expect_not_null(findWorker(state, "c2"));
}

Test(plain_cells, lookups_report_the_queue_and_pending_blocks_but_no_hits_for_these) {
  CellHarness harness(1, platformCellSettings());
  harness.listWorkers(1);
  harness.runUntilLeaseHeld();
  harness.run(1s);
  std::string leaseHolder;
  for (auto& [address, core] : harness.cores)
    if (core.cell->election.holdsLease(harness.now)) leaseHolder = address;
  cr_assert_not(leaseHolder.empty());
  Hashes hashes{blockHash("a"), blockHash("b")};
  auto lookUp = [&] {
    harness.sent.clear();
    harness.runOn(leaseHolder, [&](Effects& effects, Cell& cell) {
      cell.handle(effects, "reader", LookupMsg{"l", "north-a", "w1", "moss/3", hashes, "reader"});
    });
    for (const auto& row : harness.sent)
      if (auto* reply = std::get_if<LookupReply>(&row.message)) return *reply;
    return LookupReply{};
  };
  cr_expect_eq(lookUp().waitingTokens, 0);
  harness.runOn(leaseHolder, [&](Effects& effects, Cell& cell) {
    cell.handle(effects, "reader", PrefillStarted{"o.1", "north-a", "w1", hashes, 5000});
    cell.handle(effects, "reader", PrefillStarted{"o.2", "north-a", "unlisted", hashes, 5000});
  });
  auto reply = lookUp();
  cr_expect_eq(reply.waitingTokens, 5000);
  cr_expect_eq(reply.pendingHits, 2);
  cr_expect(reply.hits == (std::vector<int>{0, 0}), "blocks in prefill are not confirmed");
  harness.runOn(leaseHolder, [&](Effects& effects, Cell& cell) {
    cell.handle(effects, "reader", PrefillEnded{"o.1", "north-a", "w1", hashes, false});
  });
  cr_expect_eq(lookUp().waitingTokens, 0);
  cr_expect_eq(lookUp().pendingHits, 0);
}

Test(plain_cells, the_machine_list_distinguishes_engines_from_plain_workers) {
  raw::HttpClientHarness harness;
  std::vector<MachinesReply> lists;
  raw::RawServer server(harness.io, [](const raw::RawServer::ConnectionPtr& client, const std::string&) {
    client->send(raw::successResponse(
        R"({"Instances":[{"Id":"e","Backend":"mill","Address":"10.1.0.1:80","Zone":"z","Models":[{"Name":"moss","Revision":3}]},)"
        R"({"Id":"p","Backend":"weir","Address":"10.1.0.2:80","Zone":"z","Slots":6}],"NextToken":null})"));
  });
  std::make_shared<MachineListReader>(harness.calls, server.address(), 1, [&](const MachinesReply& reply) {
    lists.push_back(reply);
  })->start();
  cr_assert(harness.waitUntil([&] { return lists.size() == 1; }));
  cr_assert_eq(lists[0].machines.size(), 2u);
  cr_expect_eq(lists[0].machines[0].kind, "language");
  cr_expect_eq(lists[0].machines[0].weights, "moss/3");
  cr_expect_eq(lists[0].machines[1].kind, "app");
  cr_expect_eq(lists[0].machines[1].weights, "");
}

Test(plain_cells, a_service_is_added_changed_and_removed_by_configuration) {
  Configuration view;
  Uint64 index = 0;
  auto change = [&](const std::string& text) {
    auto patch = view.preparePatch(text, ChangeFormat::patch);
    cr_assert(bool(patch), "%s", patch ? "" : patch.error().text.c_str());
    view.apply(LogEntry{++index, 1, static_cast<int>(EntryKind::change), patch.value(), {}, 0});
  };
  cr_expect_null(view.findService("mill"));
  change(
      R"({"services":{"mill":{"engine":{"slots":128,"tokens":1000,"tokenBytes":35136,"linkMbps":550000}},"weir":{"healthPath":"/h"},)"
      R"("barn":{"storeAddress":"10.0.0.9:80","locality":"z","linkMbps":120000,"tokens":4000}}})");
  cr_assert_not_null(view.findService("mill"));
  cr_expect(view.findService("mill")->kind == ServiceKind::engine);
  cr_expect_eq(view.findService("mill")->tokenBytes, 35136);
  cr_expect_eq(view.findService("mill")->linkMbps, 550000);
  cr_expect(view.findService("weir")->kind == ServiceKind::plain);
  cr_expect_eq(view.findService("weir")->linkMbps, 0);
  cr_expect(view.findService("barn")->kind == ServiceKind::store);
  cr_expect_eq(view.findService("barn")->linkMbps, 120000);
  change(R"({"services":{"weir":{"engine":{"slots":4}}}})");
  cr_expect(view.findService("weir")->kind == ServiceKind::engine);
  change(R"({"services":{"weir":null}})");
  cr_expect_null(view.findService("weir"));
  Configuration again;
  cr_assert(bool(again.installSnapshot(view.snapshot())));
  cr_assert_not_null(again.findService("mill"));
  cr_expect(again.findService("mill")->kind == ServiceKind::engine);
}
