#include <cstdlib>
#include <fstream>

#include "json_bodies.hpp"
#include "process.hpp"
#include "standin.hpp"

using namespace tt;

namespace {
constexpr Duration blockTransferTimeout = 2s;
/// Exit code of a crash that a test injects.
constexpr int crashExitCode = 9;
}  // namespace

#ifdef TT_STORE
constexpr const char* programName = "trouttally-store";
#else
constexpr const char* programName = "trouttally-worker";
#endif

int main(int count, char** arguments) {
  StandInSettings settings;
  std::string recordFile;
  double slots = 8, maxCachedBlocks = 4000, loadMs = 1500, threads = 2;
  bool verbose = false;
  Settings reader(programName, "A stand-in worker or store, for tests and trials of a fleet");
  reader.text("name", &settings.name, "name of this process", true)
      .address("address", &settings.address, "address of the HTTP server")
#ifndef TT_STORE
      .text("kind", &settings.kind, "language or app")
      .text("model", &settings.model, "model that this worker serves")
      .text("weights", &settings.weights, "weights at the start")
      .address("store", &settings.storeAddress, "HTTP address of the store", false)
      .number("slots", &slots, 1, 1024, "requests that run concurrently")
      .number("blockMs", &settings.blockMs, 0, 10000, "milliseconds to compute one block")
      .number("tokenMs", &settings.tokenMs, 0, 10000, "milliseconds between tokens")
      .number("linkMs", &settings.linkMs, 0, 10000, "milliseconds to pull one block")
      .number("loadMs", &loadMs, 0, 600000, "milliseconds to load weights")
#endif
      .text("recordFile", &recordFile, "file to append events to, for trouttally-audit")
      .number("keepMost", &maxCachedBlocks, 1, 10000000, "capacity of the cache in blocks")
      .number("threads", &threads, 1, 64, "threads of the I/O pool")
      .flag("chatty", &verbose, "log more detail");
  if (auto code = reader.read(count, arguments)) return *code;
#ifdef TT_STORE
  settings.kind = "store";
#else
  if (settings.kind != "language" && settings.kind != "app")
    return reportStartFailure(makeError(Code::badProps, "kind", "must be language or app"));
  if (settings.kind == "language" && settings.model.empty())
    return reportStartFailure(makeError(Code::badProps, "model", "must be given"));
#endif
  settings.slots = static_cast<int>(slots);
  settings.maxCachedBlocks = static_cast<std::size_t>(maxCachedBlocks);
  settings.loadMs = static_cast<int>(loadMs);
  startLog(settings.kind == "store" ? "store" : "worker", settings.name, verbose);

  asio::io_context context;
  std::random_device device;
  StandInBackend node(settings, std::to_string(device()) + std::to_string(device()));
  std::ofstream record;
  if (!recordFile.empty()) {
    record.open(recordFile, std::ios::app);
    if (!record) return reportStartFailure(makeError(Code::badProps, "recordFile", "cannot be written"));
    /// Starts a new line, as a process that was killed may have left an incomplete one.
    record << "\n" << std::flush;
    node.journal.appended.connect([&](const Event& event) {
      /// The kinds that trouttally-audit evaluates.
      static const std::set<std::string> kinds{"ran for",      "order began",   "move ran",
                                               "pulled",       "worker denied", "cross weights",
                                               "cross tenant", "command taken", "weights loaded"};
      if (!kinds.count(event.kind)) return;
      JsonObject row;
      row["at"] = Json(std::to_string(toNanoseconds(event.at)));
      row["worker"] = Json(settings.name);
      row["model"] = Json(settings.model);
      row["event"] = Json(event.kind);
      row["subject"] = Json(event.subject);
      row["number"] = jsonNumber(static_cast<double>(event.number));
      record << Json(row).serialize() << "\n" << std::flush;
    });
  }
  WebClient calls;
  PendingResponses pendingResponses;
  NodeHost host(node, context, 5ms);
  host.sendMessage = [&](const std::string& to, Message&& message) {
    if (auto* chunk = std::get_if<WorkerChunk>(&message)) {
      auto response = pendingResponses.find(to);
      if (response && !response->line(writeWorkerChunk(*chunk)))
        asio::post(context, [&, to, requestId = chunk->requestId] {
          pendingResponses.remove(to);
          host.handle(to, WorkerDrop{requestId});
        });
    } else if (auto* end = std::get_if<WorkerEnd>(&message)) {
      auto response = pendingResponses.remove(to);
      if (!response) return;
      if (end->outcome == static_cast<int>(AttemptOutcome::denied))
        response->finish(codeStatus(static_cast<Code>(end->code)), writeWorkerEnd(*end));
      else
        response->endStream(writeWorkerEnd(*end));
    } else if (auto* report = std::get_if<Report>(&message)) {
      if (auto response = pendingResponses.remove(to)) response->finish(200, writeReport(*report));
    } else if (auto* control = std::get_if<ControlReply>(&message)) {
      if (auto response = pendingResponses.remove(to))
        response->finish(codeStatus(static_cast<Code>(control->code)), writeControlReply(*control));
    } else if (auto* pulled = std::get_if<PullReply>(&message)) {
      if (auto response = pendingResponses.remove(to))
        response->finish(200, writeBlocks(pulled->hashes, pulled->origins));
    } else if (auto* pull = std::get_if<PullAsk>(&message)) {
      WebCall call;
      call.method = "POST";
      call.url = "http://" + to + "/v1/blocks/pull";
      call.body = writeBlocks(pull->hashes, {});
      call.totalTimeout = blockTransferTimeout;
      calls.start(std::move(call), [&, pullId = pull->pullId](const WebResult& result) {
        if (!result.reached || result.status != 200) return;
        if (auto blocks = readBlocks(result.body))
          host.handle("source", PullReply{pullId, blocks.value().hashes, blocks.value().origins});
      });
    } else if (auto* stored = std::get_if<StoreMsg>(&message)) {
      WebCall call;
      call.method = "POST";
      call.url = "http://" + to + "/v1/blocks";
      call.body = writeBlocks(stored->hashes, stored->origins);
      call.totalTimeout = blockTransferTimeout;
      calls.start(std::move(call), {});
    }
  };

  WebServer server(context, settings.address, [&](WebRequest request, std::shared_ptr<WebResponse> response) {
    auto deny = [&](const Error& error) { response->finish(codeStatus(error.code), errorJson(error)); };
    auto forward = [&](const Message& message) {
      std::string requestId = pendingResponses.add(response);
      host.handle(requestId, message);
    };
    std::string endpoint = request.method + " " + request.path;
    if (endpoint == "POST /v1/orders") {
      auto order = readWorkerOrder(request.body);
      if (!order) return deny(order.error());
      return forward(order.value());
    }
    if (endpoint == "GET /v1/reports") {
      ReportAsk report;
      report.after = std::strtoull(request.query["after"].c_str(), nullptr, 10);
      report.incarnation = request.query["incarnation"];
      report.complete = request.query.count("whole") > 0;
      return forward(report);
    }
    if (endpoint == "POST /v1/control") {
      auto control = readControl(request.body);
      if (!control) return deny(control.error());
      return forward(control.value());
    }
    if (endpoint == "POST /v1/blocks/pull") {
      auto blocks = readBlocks(request.body);
      if (!blocks) return deny(blocks.error());
      return forward(PullAsk{"pull", blocks.value().hashes});
    }
    if (endpoint == "POST /v1/blocks") {
      auto blocks = readBlocks(request.body);
      if (!blocks) return deny(blocks.error());
      host.handle("peer", blocks.value());
      return response->finish(200, "{}");
    }
    if (endpoint == "GET /v1/runs") {
      JsonObject body;
      host.with([&](Effects&) {
        JsonArray rows;
        for (const auto& run : node.runs()) {
          JsonObject row;
          row["orderId"] = Json(run.requestId);
          row["weights"] = Json(run.weights);
          row["tenant"] = Json(run.tenant);
          row["source"] = Json(run.source);
          row["move"] = Json(run.move);
          row["outcome"] = Json(run.outcome);
          row["local"] = jsonNumber(run.local);
          row["fetched"] = jsonNumber(run.fetched);
          row["computed"] = jsonNumber(run.computed);
          rows.push_back(Json(row));
        }
        body["runs"] = Json(rows);
        body["crossWeights"] = jsonNumber(static_cast<double>(node.crossWeights));
        JsonObject tenants;
        for (const auto& [pair, number] : node.crossTenants) tenants[pair] = jsonNumber(static_cast<double>(number));
        body["crossTenants"] = Json(tenants);
      });
      return response->finish(200, Json(body).serialize());
    }
    if (endpoint == "POST /v1/faults") {
      auto read = parseObject(request.body, {"lagMs", "loseEvents", "forgetEvents", "stalled", "loadFails",
                                             "silentReports", "linkMs", "forget", "crash"});
      if (!read) return deny(read.error());
      Json body(read.value());
      if (boolOr(body, "crash", false)) std::_Exit(crashExitCode);
      host.with([&](Effects& effects) {
        node.faults.lagMs = static_cast<int>(integerOr(body, "lagMs", node.faults.lagMs));
        node.faults.loseEvents = static_cast<int>(integerOr(body, "loseEvents", node.faults.loseEvents));
        node.faults.forgetEvents = static_cast<int>(integerOr(body, "forgetEvents", node.faults.forgetEvents));
        node.faults.stalled = boolOr(body, "stalled", node.faults.stalled);
        node.faults.loadFails = boolOr(body, "loadFails", node.faults.loadFails);
        node.faults.silentReports = boolOr(body, "silentReports", node.faults.silentReports);
        node.faults.linkMs =
            static_cast<double>(integerOr(body, "linkMs", static_cast<std::int64_t>(node.faults.linkMs)));
        if (boolOr(body, "forget", false)) node.clearCache(effects, true);
      });
      return response->finish(200, "{}");
    }
    deny(makeError(Code::unknownPath, request.path));
  });
  if (auto done = server.open(); !done) return reportStartFailure(done.error());
  host.start();
  logInfo("Serving at " + settings.address + ".");
  runThreadPool(context, static_cast<std::size_t>(threads), [&] {
    server.close();
    host.stop();
  });
  return 0;
}
