#include "exchanges.hpp"
#include "raw_server.hpp"

using namespace tt;
using namespace raw;

namespace {
/// The translation between callers and workers alone: the test plays the logic.
struct LeaveBench : Bench {
  std::vector<Message> told;
  Exchanges exchanges{calls, "proxy-1",
                      [this](const std::string&, const Message& message) { told.push_back(message); }};
  HttpServer gate{io, "127.0.0.1:0", [this](HttpRequest request, std::shared_ptr<ResponseWriter> answer) {
                    exchanges.handle(std::move(request), std::move(answer));
                  }};
  RawServer worker{io, [](const RawServer::Held& held, const std::string&) { held->say(okay("well")); }};
  asio::ip::tcp::socket caller{io};
  int asked{0};

  LeaveBench() { cr_assert(bool(gate.open())); }
  ~LeaveBench() { gate.close(); }
  template <class T>
  const T* lastTold() const {
    for (auto row = told.rbegin(); row != told.rend(); ++row)
      if (auto* found = std::get_if<T>(&*row)) return found;
    return nullptr;
  }
  /// A caller's request, made into the order that the logic would send.
  WorkerOrder nextOrder() {
    told.clear();
    asio::error_code ignored;
    caller.close(ignored);
    caller.connect({asio::ip::address_v4::loopback(), gate.port()});
    std::string attempt = "a-" + std::to_string(++asked);
    asio::write(caller, asio::buffer("GET /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + attempt + "\r\n\r\n"));
    cr_assert(until([&] { return lastTold<CallerOrder>() != nullptr; }));
    WorkerOrder order;
    order.callerOrderId = lastTold<CallerOrder>()->orderId;
    order.orderId = order.callerOrderId + ".1";
    order.deadlineMs = 4000;
    return order;
  }
  void send(const WorkerOrder& order) { cr_assert(exchanges.sendMessage(worker.address(), order)); }
  std::size_t arrived() const { return worker.copies("X-Attempt-Id: a-" + std::to_string(asked) + "\r\n"); }
  void expectUnsent() {
    cr_assert(until([&] { return lastTold<WorkerEnd>() != nullptr; }), "the logic is told of the end");
    cr_expect_eq(lastTold<WorkerEnd>()->outcome, static_cast<int>(OrderOutcome::brokenBeforeSend));
    pass(50ms);
    cr_expect_eq(arrived(), 0u);
  }
};
}  // namespace

Test(leave_by, an_order_without_a_last_moment_or_before_it_leaves) {
  LeaveBench bench;
  for (std::int64_t sendDeadline : {std::int64_t{0}, toNanoseconds(Clock::now() + 1h)}) {
    auto order = bench.nextOrder();
    order.sendDeadline = sendDeadline;
    bench.send(order);
    cr_assert(bench.until([&] { return bench.arrived() == 1; }));
  }
}

Test(leave_by, an_order_past_its_last_moment_is_not_sent) {
  LeaveBench bench;
  auto order = bench.nextOrder();
  order.sendDeadline = toNanoseconds(Clock::now() - 1ms);
  bench.send(order);
  bench.expectUnsent();
}

Test(leave_by, an_order_whose_last_moment_passes_before_it_is_written_is_not_sent) {
  LeaveBench bench;
  auto order = bench.nextOrder();
  order.sendDeadline = toNanoseconds(Clock::now() + 20ms);
  bench.send(order);
  std::this_thread::sleep_for(30ms);
  bench.expectUnsent();
}
