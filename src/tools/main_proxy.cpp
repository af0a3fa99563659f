#include "json_bodies.hpp"
#include "process.hpp"
#include "proxy_router.hpp"
#include "version_span.hpp"

using namespace tt;

namespace {
/// How long orders that are open when the process is told to stop may take, and the last answers to leave.
constexpr Duration openOrdersMost = 10s, lastAnswers = 100ms;

class WorkerCalls {
 public:
  void start(const std::string& sendId, const std::function<std::uint64_t()>& startCall) {
    std::lock_guard<std::mutex> guard(lock);
    rows[sendId] = startCall();
  }
  std::optional<std::uint64_t> remove(const std::string& sendId) {
    std::lock_guard<std::mutex> guard(lock);
    auto found = rows.find(sendId);
    if (found == rows.end()) return std::nullopt;
    auto callId = found->second;
    rows.erase(found);
    return callId;
  }

 private:
  std::mutex lock;
  std::map<std::string, std::uint64_t> rows;
};
}  // namespace

int main(int count, char** words) {
  ProxyRouterSettings settings;
  std::string callerAddress, operatorKeyHash;
  double threads = 3, maxPending = 64, blockMs = 4, versionMs = versionMsUsual;
  bool chatty = false;
  Settings reader("trouttally-proxy", "A proxy of the fleet: takes orders from callers, plans them, carries them out");
  reader.text("name", &settings.name, "this machine's name", true)
      .address("address", &settings.address, "where the agent reaches this process")
      .text("locality", &settings.zone, "this machine's locality", true)
      .address("agentAddress", &settings.agentAddress, "the agent beside this proxy")
      .address("callerAddress", &callerAddress, "where callers reach this proxy")
      .text("operatorKeyHash", &operatorKeyHash, "SHA-256 of the operator key, for reading what is in force")
      .flag("fetching", &settings.fetching, "fetch prefixes from peers and the store")
      .number("pendingMost", &maxPending, 1, 100000, "orders that may be pending here")
      .number("blockMs", &blockMs, 0.01, 10000, "milliseconds a worker needs for one block")
      .number("versionMs", &versionMs, versionMsLeast, versionMsMost,
              "milliseconds after a naming for which requests may begin on older weights; the same at every process")
      .number("threads", &threads, 1, 64, "threads in the pool")
      .flag("chatty", &chatty, "log more");
  if (auto code = reader.read(count, words)) return *code;
  if (auto done = setVersionSpan(versionMs); !done) return reportStartFailure(done.error());
  settings.maxPending = static_cast<std::size_t>(maxPending);
  settings.blockMs = blockMs;
  startLog("proxy", settings.name, chatty);

  asio::io_context context;
  ProxyRouter edge(settings);
  WebClient calls;
  PendingResponses answers;
  WorkerCalls workerCalls;
  NodeHost host(edge, context, 10ms);
  PeerTransport hub(context, settings.address,
                    [&](const std::string& from, Message message) { host.handle(from, message); });

  edge.journal.appended.connect([](const Event& event) {
    if (event.kind == "fresh" || event.kind == "stale") logInfo(event.kind + ": " + event.subject + ".");
  });
  host.sendMessage = [&](const std::string& to, Message&& message) {
    if (auto* order = std::get_if<WorkerOrder>(&message)) {
      WebCall call;
      call.method = "POST";
      call.url = "http://" + to + "/v1/orders";
      call.body = writeWorkerOrder(*order);
      call.noResend = true;
      call.totalTimeout = 120s;
      std::string sendId = order->requestId;
      if (order->sendDeadline != 0) {
        Duration left = fromNanoseconds(order->sendDeadline) - Clock::now();
        if (left <= Duration(0)) {
          WorkerEnd unsent{
              sendId, static_cast<int>(AttemptOutcome::brokenBeforeSend), static_cast<int>(Code::workerBroke), 0, 0, 0};
          return asio::post(context, [&host, unsent] { host.handle("worker", unsent); });
        }
        call.connectTimeout = std::min(call.connectTimeout, left);
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
    } else if (auto* gone = std::get_if<WorkerDrop>(&message)) {
      if (auto callId = workerCalls.remove(gone->requestId)) calls.drop(*callId);
    } else if (auto* chunk = std::get_if<CallerChunk>(&message)) {
      auto answer = answers.find(chunk->requestId);
      if (answer && !answer->line(writeChunk(*chunk)))
        asio::post(context, [&, requestId = chunk->requestId] {
          auto gone = answers.remove(requestId);
          if (!gone) return;
          host.handle("caller", CallerGone{requestId});
          CallerVerdict verdict;
          verdict.requestId = requestId;
          verdict.verdict = "failed";
          verdict.code = static_cast<int>(Code::callerGone);
          verdict.text = "The caller went away or read too slowly";
          gone->endStream(writeVerdict(verdict));
        });
    } else if (auto* verdict = std::get_if<CallerVerdict>(&message)) {
      auto answer = answers.remove(verdict->requestId);
      if (!answer) return;
      int status = codeStatus(static_cast<Code>(verdict->code));
      if (answer->streaming() || verdict->verdict == "done")
        answer->endStream(writeVerdict(*verdict));
      else
        answer->finish(status, writeVerdict(*verdict), verdict->retryAfterMs);
    } else {
      hub.send(to, message);
    }
  };

  WebServer server(context, callerAddress, [&](WebRequest ask, std::shared_ptr<WebResponse> answer) {
    auto deny = [&](const Error& trouble) {
      CallerVerdict verdict;
      verdict.verdict = "not run";
      verdict.code = static_cast<int>(trouble.code);
      verdict.subject = trouble.subject;
      verdict.text = trouble.text;
      answer->finish(codeStatus(trouble.code), writeVerdict(verdict));
    };
    if (ask.path == "/v1/orders" && ask.method == "POST") {
      auto order = readCallerOrder(ask.body);
      if (!order) return deny(order.error());
      order.value().key = ask.bearer;
      order.value().requestId =
          settings.name + "/" + std::to_string(toNanoseconds(Clock::now())) + "/" + answers.newRequestId().substr(5);
      answers.addWithId(order.value().requestId, answer);
      return host.handle("caller", order.value());
    }
    if (ask.method == "GET" && ask.path == "/v1/counters") {
      JsonObject rows;
      host.with([&](Effects&) {
        for (const auto& [kind, number] : edge.journal.counts()) rows[kind] = jsonNumber(static_cast<double>(number));
      });
      return answer->finish(200, Json(rows).serialize());
    }
    if (ask.method == "GET" && ask.path == "/v1/condition") {
      std::string text;
      host.with([&](Effects& effects) { text = edge.condition(effects.now); });
      return answer->finish(200, text);
    }
    if (ask.method == "GET" && ask.path == "/v1/blueprint") {
      if (operatorKeyHash.empty() || sha256Hex(ask.bearer) != operatorKeyHash)
        return deny(makeError(Code::operatorDenied, "authorization"));
      std::string text;
      host.with([&](Effects& effects) {
        const auto& view = edge.configuration();
        text = "{\"revision\":" + std::to_string(view.revision()) + ",\"index\":" + std::to_string(view.index()) +
               ",\"fresh\":" + (edge.fresh(effects.now) ? "true" : "false") + ",\"blueprint\":" + view.text() + "}";
      });
      return answer->finish(200, text);
    }
    deny(makeError(Code::unknownPath, ask.path));
  });

  if (auto done = hub.listen(); !done) return reportStartFailure(done.error());
  if (auto done = server.open(); !done) return reportStartFailure(done.error());
  host.start();
  logInfo("Serving callers at " + callerAddress + ".");
  runThreadPool(context, static_cast<std::size_t>(threads), [&] {
    DrainPlan plan;
    plan.startedAt = plan.refusesFrom = Clock::now();
    plan.endsAt = plan.startedAt + openOrdersMost;
    plan.exitsBy = plan.endsAt + lastAnswers;
    host.with([&](Effects&) { edge.drain(plan); });
    for (std::size_t open = 1; open > 0 && Clock::now() < plan.exitsBy;) {
      std::this_thread::sleep_for(50ms);
      host.with([&](Effects&) { open = edge.openRequests(); });
    }
    std::this_thread::sleep_for(lastAnswers);
    server.close();
    hub.stop();
    host.stop();
  });
  return 0;
}
