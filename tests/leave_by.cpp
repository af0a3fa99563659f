#include "exchanges.hpp"
#include "raw_server.hpp"

using namespace tt;
using namespace raw;

namespace {
/// Drives the translation between clients and workers alone; the test stands in for the router.
struct SendDeadlineHarness : Bench {
  std::vector<Message> delivered;
  Exchanges exchanges{calls, "proxy-1",
                      [this](const std::string&, const Message& message) { delivered.push_back(message); }};
  HttpServer server{io, "127.0.0.1:0", [this](HttpRequest request, std::shared_ptr<ResponseWriter> response) {
                      exchanges.handle(std::move(request), std::move(response));
                    }};
  RawServer worker{
      io, [](const RawServer::ConnectionPtr& held, const std::string&) { held->say(successResponse("well")); }};
  asio::ip::tcp::socket client{io};
  int requestCount{0};

  SendDeadlineHarness() { cr_assert(bool(server.open())); }
  ~SendDeadlineHarness() { server.close(); }
  template <class T>
  const T* lastDelivered() const {
    for (auto row = delivered.rbegin(); row != delivered.rend(); ++row)
      if (auto* found = std::get_if<T>(&*row)) return found;
    return nullptr;
  }
  /// Sends a client's request and returns the message with which the router would pass it to a worker.
  WorkerOrder nextRequest() {
    delivered.clear();
    asio::error_code ignored;
    client.close(ignored);
    client.connect({asio::ip::address_v4::loopback(), server.port()});
    std::string attempt = "a-" + std::to_string(++requestCount);
    asio::write(client, asio::buffer("GET /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + attempt + "\r\n\r\n"));
    cr_assert(until([&] { return lastDelivered<CallerOrder>() != nullptr; }));
    WorkerOrder order;
    order.clientRequestId = lastDelivered<CallerOrder>()->requestId;
    order.requestId = order.clientRequestId + ".1";
    order.deadlineMs = 4000;
    return order;
  }
  void send(const WorkerOrder& order) { cr_assert(exchanges.sendMessage(worker.address(), order)); }
  std::size_t arrived() const { return worker.copies("X-Attempt-Id: a-" + std::to_string(requestCount) + "\r\n"); }
  void expectUnsent() {
    cr_assert(until([&] { return lastDelivered<WorkerEnd>() != nullptr; }), "the end must be delivered to the router");
    cr_expect_eq(lastDelivered<WorkerEnd>()->outcome, static_cast<int>(AttemptOutcome::brokenBeforeSend));
    pass(50ms);
    cr_expect_eq(arrived(), 0u);
  }
};
}  // namespace

Test(leave_by, a_request_without_a_send_deadline_or_before_it_is_sent) {
  SendDeadlineHarness harness;
  for (std::int64_t sendDeadline : {std::int64_t{0}, toNanoseconds(Clock::now() + 1h)}) {
    auto order = harness.nextRequest();
    order.sendDeadline = sendDeadline;
    harness.send(order);
    cr_assert(harness.until([&] { return harness.arrived() == 1; }));
  }
}

Test(leave_by, a_request_past_its_send_deadline_is_not_sent) {
  SendDeadlineHarness harness;
  auto order = harness.nextRequest();
  order.sendDeadline = toNanoseconds(Clock::now() - 1ms);
  harness.send(order);
  harness.expectUnsent();
}

Test(leave_by, a_request_whose_send_deadline_passes_before_it_is_written_is_not_sent) {
  SendDeadlineHarness harness;
  auto order = harness.nextRequest();
  order.sendDeadline = toNanoseconds(Clock::now() + 20ms);
  harness.send(order);
  std::this_thread::sleep_for(30ms);
  harness.expectUnsent();
}
