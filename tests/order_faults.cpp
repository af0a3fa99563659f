#include "raw_server.hpp"
#include "roles.hpp"
#include "timing_kept.hpp"
#include "worker_orders.hpp"

using namespace tt;
using namespace raw;

namespace {

/// The orders to one worker that answers with a script, and what the logic is told of them.
struct OrderBench : Bench {
  std::vector<ControlReply> replies;
  bool leaseGood{true};
  WorkerOrders orders{
      calls, [this](const std::string&, const Message& message) { replies.push_back(std::get<ControlReply>(message)); },
      [this](const ControlAsk&) { return leaseGood; }};
  static ControlAsk order(Uint64 number, const std::string& weights = "moss/4", Uint64 term = 5) {
    ControlAsk made{term, "core-1", "load", "moss", weights, "1", "w1"};
    made.number = number;
    return made;
  }
};

std::string accepted(const std::string& headers = {}) {
  return "HTTP/1.1 202 Accepted\r\n" + headers + "Content-Length: 0\r\n\r\n";
}
std::string saying(int status) {
  return "HTTP/1.1 " + std::to_string(status) + " As told\r\nContent-Length: 0\r\n\r\n";
}

}  // namespace

Test(order_faults, each_answer_is_told_as_what_it_is) {
  for (auto [status, code] : {std::pair(202, Code::done),
                              {200, Code::done},
                              {412, Code::termOld},
                              {409, Code::weightsMismatch},
                              {400, Code::weightsMismatch},
                              {421, Code::weightsMismatch},
                              {503, Code::weightsMismatch}}) {
    OrderBench bench;
    RawServer server(bench.io,
                     [status = status](const RawServer::Held& held, const std::string&) { held->say(saying(status)); });
    auto order = OrderBench::order(3);
    order.expects = true;
    order.expected = 7;
    bench.orders.send(server.address(), order);
    cr_assert(bench.until([&] { return bench.replies.size() == 1; }));
    cr_expect_eq(bench.replies[0].code, static_cast<int>(code), "%d told as %d", status, bench.replies[0].code);
    cr_expect_eq(bench.replies[0].number, 3u);
    cr_expect_eq(bench.replies[0].term, 5u);
    cr_expect_eq(bench.replies[0].worker, "w1");
    cr_expect_eq(server.copies("\"ExpectedCount\":7"), 1u);
    cr_expect_eq(server.copies("\"FenceToken\":5"), 1u);
  }
}

Test(order_faults, an_order_that_is_asked_again_while_it_is_under_way_is_not_sent_twice) {
  OrderBench bench;
  RawServer::Held open;
  RawServer server(bench.io, [&](const RawServer::Held& held, const std::string&) { open = held; });
  bench.orders.send(server.address(), OrderBench::order(1));
  cr_assert(bench.until([&] { return open != nullptr; }));
  bench.orders.send(server.address(), OrderBench::order(2));
  bench.pass(10ms);
  cr_expect_eq(server.copies("POST /order"), 1u);
  open->say(accepted());
  cr_assert(bench.until([&] { return !bench.replies.empty(); }));
  cr_expect_eq(bench.replies[0].number, 2u, "it answers the newest that says the same");
}

Test(order_faults, the_answer_to_an_order_is_never_taken_for_that_of_the_next) {
  OrderBench bench;
  std::vector<RawServer::Held> open;
  RawServer server(bench.io, [&](const RawServer::Held& held, const std::string&) { open.push_back(held); });
  bench.orders.send(server.address(), OrderBench::order(1, "moss/4"));
  cr_assert(bench.until([&] { return open.size() == 1; }));
  bench.orders.send(server.address(), OrderBench::order(2, "moss/5"));
  cr_assert(bench.until([&] { return open.size() == 2; }));
  open[0]->say(accepted());
  bench.pass(10ms);
  cr_expect(bench.replies.empty(), "the first was given up and its connection reset");
  open[1]->say(saying(409));
  cr_assert(bench.until([&] { return !bench.replies.empty(); }));
  cr_expect_eq(bench.replies[0].number, 2u);
  cr_expect_eq(bench.replies[0].code, static_cast<int>(Code::weightsMismatch));
}

Test(order_faults, a_surplus_answer_to_another_call_is_not_taken_for_an_order_s) {
  OrderBench bench;
  RawServer server(bench.io, [&](const RawServer::Held& held, const std::string& request) {
    if (request.find("/report") != std::string::npos) return held->say(okay("{}"));
    if (held->requests > 1) return held->say(accepted() + saying(409));
    held->say(saying(409));
  });
  bench.finish(bench.call(server, "/report"));
  bench.orders.send(server.address(), OrderBench::order(1));
  cr_assert(bench.until([&] { return !bench.replies.empty(); }));
  cr_expect_eq(bench.replies[0].code, static_cast<int>(Code::weightsMismatch));
  bench.finish(bench.call(server, "/report"));
  cr_expect_eq(server.connections[0]->requests, 2u, "an order takes no kept connection and leaves none");
}

Test(order_faults, silence_reset_and_close_are_no_answer) {
  TimingGuard kept;
  timing.commandTimeout = 40ms;
  for (int fault = 0; fault < 4; ++fault) {
    OrderBench bench;
    RawServer server(bench.io, [&](const RawServer::Held& held, const std::string&) {
      if (fault == 1) return held->reset();
      if (fault == 2) return held->close();
      if (fault == 3) held->say("HTTP/1.1 202 Acc");
    });
    bench.orders.send(server.address(), OrderBench::order(1));
    cr_assert(bench.until([&] { return server.connections.size() == 1 && server.connections[0]->ended; }) ||
              fault == 1 || fault == 2);
    bench.pass(80ms);
    cr_expect(bench.replies.empty());
    cr_expect_eq(server.copies("POST /order"), 1u, "not sent again by itself");
    if (fault == 0 || fault == 3) cr_expect(server.connections[0]->wasReset, "what was given up ends with a reset");
    bench.orders.send(server.address(), OrderBench::order(2));
    cr_expect(bench.until([&] { return server.copies("POST /order") == 2; }), "it can be sent again then");
  }
}

Test(order_faults, an_order_whose_lease_ran_out_while_it_waited_does_not_leave) {
  OrderBench bench;
  RawServer server(bench.io, [](const RawServer::Held& held, const std::string&) { held->say(accepted()); });
  bench.orders.send(server.address(), OrderBench::order(1));
  bench.leaseGood = false;
  bench.pass(30ms);
  cr_expect_eq(server.copies("POST /order"), 0u);
  cr_expect(bench.replies.empty());
  bench.leaseGood = true;
  bench.orders.send(server.address(), OrderBench::order(2));
  cr_assert(bench.until([&] { return !bench.replies.empty(); }));
  cr_expect_eq(bench.replies[0].number, 2u);
}

Test(order_faults, an_order_is_given_up_before_a_new_holder_may_send_one) {
  TimingGuard kept;
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
