#include "raw_server.hpp"
#include "roles.hpp"
#include "timing_guard.hpp"
#include "worker_commands.hpp"

using namespace tt;
using namespace raw;

namespace {

/// Sends commands to a scripted worker and records the replies that are delivered to the core.
struct CommandHarness : Bench {
  std::vector<ControlReply> replies;
  bool leaseValid{true};
  WorkerCommands commands{
      calls, [this](const std::string&, const Message& message) { replies.push_back(std::get<ControlReply>(message)); },
      [this](const ControlAsk&) { return leaseValid; }};
  static ControlAsk order(Uint64 number, const std::string& weights = "moss/4", Uint64 term = 5) {
    ControlAsk made{term, "core-1", "load", "moss", weights, "1", "w1"};
    made.number = number;
    return made;
  }
};

std::string accepted(const std::string& headers = {}) {
  return "HTTP/1.1 202 Accepted\r\n" + headers + "Content-Length: 0\r\n\r\n";
}
std::string responseWith(int status) {
  return "HTTP/1.1 " + std::to_string(status) + " As told\r\nContent-Length: 0\r\n\r\n";
}

}  // namespace

Test(order_faults, each_status_is_reported_with_its_result_code) {
  for (auto [status, code] : {std::pair(202, Code::done),
                              {200, Code::done},
                              {412, Code::termOld},
                              {409, Code::weightsMismatch},
                              {400, Code::weightsMismatch},
                              {421, Code::weightsMismatch},
                              {503, Code::weightsMismatch}}) {
    CommandHarness harness;
    RawServer server(harness.io, [status = status](const RawServer::ConnectionPtr& held, const std::string&) {
      held->say(responseWith(status));
    });
    auto order = CommandHarness::order(3);
    order.checksCommandCount = true;
    order.expectedCommandCount = 7;
    harness.commands.send(server.address(), order);
    cr_assert(harness.until([&] { return harness.replies.size() == 1; }));
    cr_expect_eq(harness.replies[0].code, static_cast<int>(code), "status %d reported as code %d", status,
                 harness.replies[0].code);
    cr_expect_eq(harness.replies[0].number, 3u);
    cr_expect_eq(harness.replies[0].term, 5u);
    cr_expect_eq(harness.replies[0].worker, "w1");
    cr_expect_eq(server.copies("\"ExpectedCount\":7"), 1u);
    cr_expect_eq(server.copies("\"FenceToken\":5"), 1u);
  }
}

Test(order_faults, an_equal_command_is_not_sent_while_one_is_open) {
  CommandHarness harness;
  RawServer::ConnectionPtr open;
  RawServer server(harness.io, [&](const RawServer::ConnectionPtr& held, const std::string&) { open = held; });
  harness.commands.send(server.address(), CommandHarness::order(1));
  cr_assert(harness.until([&] { return open != nullptr; }));
  harness.commands.send(server.address(), CommandHarness::order(2));
  harness.pass(10ms);
  cr_expect_eq(server.copies("POST /order"), 1u);
  open->say(accepted());
  cr_assert(harness.until([&] { return !harness.replies.empty(); }));
  cr_expect_eq(harness.replies[0].number, 2u, "the reply must have the number of the newest equal command");
}

Test(order_faults, the_response_to_a_command_is_never_taken_for_that_to_the_next) {
  CommandHarness harness;
  std::vector<RawServer::ConnectionPtr> open;
  RawServer server(harness.io, [&](const RawServer::ConnectionPtr& held, const std::string&) { open.push_back(held); });
  harness.commands.send(server.address(), CommandHarness::order(1, "moss/4"));
  cr_assert(harness.until([&] { return open.size() == 1; }));
  harness.commands.send(server.address(), CommandHarness::order(2, "moss/5"));
  cr_assert(harness.until([&] { return open.size() == 2; }));
  open[0]->say(accepted());
  harness.pass(10ms);
  cr_expect(harness.replies.empty(), "the first command was cancelled and its connection reset");
  open[1]->say(responseWith(409));
  cr_assert(harness.until([&] { return !harness.replies.empty(); }));
  cr_expect_eq(harness.replies[0].number, 2u);
  cr_expect_eq(harness.replies[0].code, static_cast<int>(Code::weightsMismatch));
}

Test(order_faults, a_surplus_response_to_another_call_is_not_taken_for_that_to_a_command) {
  CommandHarness harness;
  RawServer server(harness.io, [&](const RawServer::ConnectionPtr& held, const std::string& request) {
    if (request.find("/report") != std::string::npos) return held->say(successResponse("{}"));
    if (held->requests > 1) return held->say(accepted() + responseWith(409));
    held->say(responseWith(409));
  });
  harness.finish(harness.call(server, "/report"));
  harness.commands.send(server.address(), CommandHarness::order(1));
  cr_assert(harness.until([&] { return !harness.replies.empty(); }));
  cr_expect_eq(harness.replies[0].code, static_cast<int>(Code::weightsMismatch));
  harness.finish(harness.call(server, "/report"));
  cr_expect_eq(server.connections[0]->requests, 2u, "a command must neither use a pooled connection nor leave one");
}

Test(order_faults, a_timeout_reset_or_close_is_not_reported_as_a_response) {
  TimingGuard timingGuard;
  timing.commandTimeout = 40ms;
  for (int fault = 0; fault < 4; ++fault) {
    CommandHarness harness;
    RawServer server(harness.io, [&](const RawServer::ConnectionPtr& held, const std::string&) {
      if (fault == 1) return held->reset();
      if (fault == 2) return held->close();
      if (fault == 3) held->say("HTTP/1.1 202 Acc");
    });
    harness.commands.send(server.address(), CommandHarness::order(1));
    cr_assert(harness.until([&] { return server.connections.size() == 1 && server.connections[0]->ended; }) ||
              fault == 1 || fault == 2);
    harness.pass(80ms);
    cr_expect(harness.replies.empty());
    cr_expect_eq(server.copies("POST /order"), 1u, "a command must not be resent automatically");
    if (fault == 0 || fault == 3)
      cr_expect(server.connections[0]->wasReset, "a cancelled command must reset its connection");
    harness.commands.send(server.address(), CommandHarness::order(2));
    cr_expect(harness.until([&] { return server.copies("POST /order") == 2; }),
              "a new command must be sent afterwards");
  }
}

Test(order_faults, a_command_whose_lease_expired_while_it_waited_is_not_sent) {
  CommandHarness harness;
  RawServer server(harness.io, [](const RawServer::ConnectionPtr& held, const std::string&) { held->say(accepted()); });
  harness.commands.send(server.address(), CommandHarness::order(1));
  harness.leaseValid = false;
  harness.pass(30ms);
  cr_expect_eq(server.copies("POST /order"), 0u);
  cr_expect(harness.replies.empty());
  harness.leaseValid = true;
  harness.commands.send(server.address(), CommandHarness::order(2));
  cr_assert(harness.until([&] { return !harness.replies.empty(); }));
  cr_expect_eq(harness.replies[0].number, 2u);
}

Test(order_faults, a_command_times_out_before_a_new_lease_holder_may_send_one) {
  TimingGuard timingGuard;
  SiteSettings settings;
  for (bool checked : {true, false})
    for (Duration lease : {600ms, 3000ms, 9000ms}) {
      settings.bounds.fenceChecked = checked;
      settings.bounds.lease = lease;
      cr_expect(bool(setTiming(settings)));
      cr_expect(timing.commandTimeout < lease);
      cr_expect(timing.commandHoldoff >= lease + settings.bounds.thawSlack);
      if (!checked) cr_expect(timing.commandHoldoff >= lease + timing.commandTimeout);
    }
}
