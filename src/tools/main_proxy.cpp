#include "json_bodies.hpp"
#include "old_weights_timeout.hpp"
#include "process.hpp"
#include "proxy_router.hpp"

using namespace tt;

namespace {
/// At shutdown: how long open requests may take, and how long the last responses may take to be sent.
constexpr Duration openRequestTimeout = 10s, responseFlushTime = 100ms;

/// Length of the prefix "http/" of the ids that PendingResponses makes.
constexpr std::size_t pendingIdPrefixBytes = 5;

/// The longest time that a call to a worker, which streams the whole response, may take.
constexpr Duration workerCallTimeout = 120s;

/// The HTTP calls to workers that are in progress, by the id of the attempt. Thread-safe.
class WorkerCalls {
 public:
  /// Starts a call while the lock is held, so that the call cannot end before it is listed.
  void start(const std::string& sendId, const std::function<std::uint64_t()>& startCall) {
    std::lock_guard<std::mutex> guard(lock);
    callIds[sendId] = startCall();
  }
  std::optional<std::uint64_t> remove(const std::string& sendId) {
    std::lock_guard<std::mutex> guard(lock);
    auto found = callIds.find(sendId);
    if (found == callIds.end()) return std::nullopt;
    auto callId = found->second;
    callIds.erase(found);
    return callId;
  }

 private:
  std::mutex lock;
  std::map<std::string, std::uint64_t> callIds;
};
}  // namespace

int main(int count, char** arguments) {
  ProxyRouterSettings settings;
  std::string callerAddress, operatorKeyHash;
  double threads = 3, maxPending = 64, blockMs = 4, versionMs = defaultVersionMs;
  bool verbose = false;
  Settings reader(
      "trouttally-proxy",
      "A proxy of the fleet: accepts requests of callers, routes them to workers and streams the responses");
  reader.text("name", &settings.name, "name of this proxy", true)
      .address("address", &settings.address, "address at which the agent reaches this process")
      .text("locality", &settings.zone, "zone of this machine", true)
      .address("agentAddress", &settings.agentAddress, "address of the agent beside this proxy")
      .address("callerAddress", &callerAddress, "address of the HTTP server for callers")
      .text("operatorKeyHash", &operatorKeyHash,
            "SHA-256 of the operator key in hex, for reading the configuration here")
      .flag("fetching", &settings.fetching, "fetch cached prefixes from other workers and the store")
      .number("pendingMost", &maxPending, 1, 100000, "maximum number of requests that wait for a worker")
      .number("blockMs", &blockMs, 0.01, 10000, "milliseconds that a worker needs to compute one block")
      .number("versionMs", &versionMs, minVersionMs, maxVersionMs,
              "milliseconds after newer weights are announced during which requests may still start on older ones; "
              "must be the same for all processes")
      .number("threads", &threads, 1, 64, "threads of the I/O pool")
      .flag("chatty", &verbose, "log more detail");
  if (auto code = reader.read(count, arguments)) return *code;
  if (auto done = setOldWeightsTimeout(versionMs); !done) return reportStartFailure(done.error());
  settings.maxPending = static_cast<std::size_t>(maxPending);
  settings.blockMs = blockMs;
  startLog("proxy", settings.name, verbose);

  asio::io_context context;
  ProxyRouter router(settings);
  WebClient calls;
  PendingResponses pendingResponses;
  WorkerCalls workerCalls;
  NodeHost host(router, context, 10ms);
  PeerTransport transport(context, settings.address,
                          [&](const std::string& from, Message message) { host.handle(from, message); });

  router.journal.appended.connect([](const Event& event) {
    if (event.kind == "fresh" || event.kind == "stale") logInfo(event.kind + ": " + event.subject + ".");
  });
  host.sendMessage = [&](const std::string& to, Message&& message) {
    if (auto* order = std::get_if<WorkerOrder>(&message)) {
      WebCall call;
      call.method = "POST";
      call.url = "http://" + to + "/v1/orders";
      call.body = writeWorkerOrder(*order);
      call.noResend = true;
      call.totalTimeout = workerCallTimeout;
      std::string sendId = order->requestId;
      if (order->sendDeadline != 0) {
        Duration remaining = fromNanoseconds(order->sendDeadline) - Clock::now();
        if (remaining <= Duration(0)) {
          WorkerEnd unsent{
              sendId, static_cast<int>(AttemptOutcome::brokenBeforeSend), static_cast<int>(Code::workerBroke), 0, 0, 0};
          return asio::post(context, [&host, unsent] { host.handle("worker", unsent); });
        }
        call.connectTimeout = std::min(call.connectTimeout, remaining);
      }
      auto ended = std::make_shared<bool>(false);
      auto startCall = [&, call = std::move(call), sendId, ended]() mutable {
        return calls.start(
            std::move(call),
            [&, sendId, ended](const WebResult& result) {
              workerCalls.remove(sendId);
              if (*ended) return;
              host.handle("worker", workerEndOfCall(sendId, result));
            },
            [&, sendId, ended](const std::string& line) {
              if (*ended) return;
              auto read = readWorkerLine(sendId, line);
              if (auto* chunk = std::get_if<WorkerChunk>(&read)) {
                host.handle("worker", *chunk);
              } else if (auto* end = std::get_if<WorkerEnd>(&read)) {
                *ended = true;
                host.handle("worker", *end);
              }
            });
      };
      workerCalls.start(sendId, startCall);
    } else if (auto* dropped = std::get_if<WorkerDrop>(&message)) {
      if (auto callId = workerCalls.remove(dropped->requestId)) calls.drop(*callId);
    } else if (auto* chunk = std::get_if<CallerChunk>(&message)) {
      auto response = pendingResponses.find(chunk->requestId);
      if (response && !response->line(writeChunk(*chunk)))
        asio::post(context, [&, requestId = chunk->requestId] {
          auto response = pendingResponses.remove(requestId);
          if (!response) return;
          host.handle("caller", CallerGone{requestId});
          CallerVerdict status;
          status.requestId = requestId;
          status.verdict = "failed";
          status.code = static_cast<int>(Code::callerGone);
          status.text = "The caller went away or read too slowly";
          response->endStream(writeVerdict(status));
        });
    } else if (auto* status = std::get_if<CallerVerdict>(&message)) {
      auto response = pendingResponses.remove(status->requestId);
      if (!response) return;
      int httpStatus = codeStatus(static_cast<Code>(status->code));
      if (response->streaming() || status->verdict == "done")
        response->endStream(writeVerdict(*status));
      else
        response->finish(httpStatus, writeVerdict(*status), status->retryAfterMs);
    } else {
      transport.send(to, message);
    }
  };

  WebServer server(context, callerAddress, [&](WebRequest request, std::shared_ptr<WebResponse> response) {
    auto deny = [&](const Error& error) {
      CallerVerdict status;
      status.verdict = "not run";
      status.code = static_cast<int>(error.code);
      status.subject = error.subject;
      status.text = error.text;
      response->finish(codeStatus(error.code), writeVerdict(status));
    };
    if (request.path == "/v1/orders" && request.method == "POST") {
      auto order = readCallerOrder(request.body);
      if (!order) return deny(order.error());
      order.value().key = request.bearer;
      order.value().requestId = settings.name + "/" + std::to_string(toNanoseconds(Clock::now())) + "/" +
                                pendingResponses.newRequestId().substr(pendingIdPrefixBytes);
      pendingResponses.addWithId(order.value().requestId, response);
      return host.handle("caller", order.value());
    }
    if (request.method == "GET" && request.path == "/v1/counters") {
      JsonObject counters;
      host.with([&](Effects&) {
        for (const auto& [kind, number] : router.journal.counts())
          counters[kind] = jsonNumber(static_cast<double>(number));
      });
      return response->finish(200, Json(counters).serialize());
    }
    if (request.method == "GET" && request.path == "/v1/condition") {
      std::string text;
      host.with([&](Effects& effects) { text = router.condition(effects.now); });
      return response->finish(200, text);
    }
    if (request.method == "GET" && request.path == "/v1/blueprint") {
      if (operatorKeyHash.empty() || sha256Hex(request.bearer) != operatorKeyHash)
        return deny(makeError(Code::operatorDenied, "authorization"));
      std::string text;
      host.with([&](Effects& effects) {
        const auto& view = router.configuration();
        text = "{\"revision\":" + std::to_string(view.revision()) + ",\"index\":" + std::to_string(view.index()) +
               ",\"fresh\":" + (router.fresh(effects.now) ? "true" : "false") + ",\"blueprint\":" + view.text() + "}";
      });
      return response->finish(200, text);
    }
    deny(makeError(Code::unknownPath, request.path));
  });

  if (auto done = transport.listen(); !done) return reportStartFailure(done.error());
  if (auto done = server.open(); !done) return reportStartFailure(done.error());
  host.start();
  logInfo("Serving callers at " + callerAddress + ".");
  runThreadPool(context, static_cast<std::size_t>(threads), [&] {
    DrainPlan plan;
    plan.startedAt = plan.refusesFrom = Clock::now();
    plan.endsAt = plan.startedAt + openRequestTimeout;
    plan.exitsBy = plan.endsAt + responseFlushTime;
    host.with([&](Effects&) { router.drain(plan); });
    for (std::size_t open = 1; open > 0 && Clock::now() < plan.exitsBy;) {
      std::this_thread::sleep_for(50ms);
      host.with([&](Effects&) { open = router.openRequests(); });
    }
    std::this_thread::sleep_for(responseFlushTime);
    server.close();
    transport.stop();
    host.stop();
  });
  return 0;
}
