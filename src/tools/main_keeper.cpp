#include <cstdlib>
#include <fstream>

#include "json_bodies.hpp"
#include "process.hpp"
#include "standin.hpp"

using namespace tt;

#ifdef TT_STORE
constexpr const char* programName = "trouttally-store";
#else
constexpr const char* programName = "trouttally-worker";
#endif

int main(int count, char** words) {
  StandInSettings settings;
  std::string recordFile;
  double slots = 8, maxCachedBlocks = 4000, loadMs = 1500, threads = 2;
  bool chatty = false;
  Settings reader(programName, "A stand-in back end for trying and testing the fleet");
  reader.text("name", &settings.name, "this machine's name", true)
      .address("address", &settings.address, "where this back end is reached over HTTP")
#ifndef TT_STORE
      .text("kind", &settings.kind, "language or app")
      .text("model", &settings.model, "the model this worker serves")
      .text("weights", &settings.weights, "the weights it starts with")
      .address("store", &settings.storeAddress, "the store's HTTP address", false)
      .number("slots", &slots, 1, 1024, "orders it runs at a time")
      .number("blockMs", &settings.blockMs, 0, 10000, "milliseconds to compute one block")
      .number("tokenMs", &settings.tokenMs, 0, 10000, "milliseconds between tokens")
      .number("linkMs", &settings.linkMs, 0, 10000, "milliseconds to pull one block")
      .number("loadMs", &loadMs, 0, 600000, "milliseconds to load weights")
#endif
      .text("recordFile", &recordFile, "a file that what this back end did is added to")
      .number("keepMost", &maxCachedBlocks, 1, 10000000, "blocks it keeps at most")
      .number("threads", &threads, 1, 64, "threads in the pool")
      .flag("chatty", &chatty, "log more");
  if (auto code = reader.read(count, words)) return *code;
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
  startLog(settings.kind == "store" ? "store" : "worker", settings.name, chatty);

  asio::io_context context;
  std::random_device device;
  StandInBackend keeper(settings, std::to_string(device()) + std::to_string(device()));
  std::ofstream record;
  if (!recordFile.empty()) {
    record.open(recordFile, std::ios::app);
    if (!record) return reportStartFailure(makeError(Code::badProps, "recordFile", "cannot be written"));
    record << "\n" << std::flush;
    keeper.journal.appended.connect([&](const Event& event) {
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
  PendingResponses answers;
  NodeHost host(keeper, context, 5ms);
  host.sendMessage = [&](const std::string& to, Message&& message) {
    if (auto* chunk = std::get_if<WorkerChunk>(&message)) {
      auto answer = answers.find(to);
      if (answer && !answer->line(writeWorkerChunk(*chunk)))
        asio::post(context, [&, to, requestId = chunk->requestId] {
          answers.remove(to);
          host.handle(to, WorkerDrop{requestId});
        });
    } else if (auto* end = std::get_if<WorkerEnd>(&message)) {
      auto answer = answers.remove(to);
      if (!answer) return;
      if (end->outcome == static_cast<int>(AttemptOutcome::denied))
        answer->finish(codeStatus(static_cast<Code>(end->code)), writeWorkerEnd(*end));
      else
        answer->endStream(writeWorkerEnd(*end));
    } else if (auto* report = std::get_if<Report>(&message)) {
      if (auto answer = answers.remove(to)) answer->finish(200, writeReport(*report));
    } else if (auto* control = std::get_if<ControlReply>(&message)) {
      if (auto answer = answers.remove(to))
        answer->finish(codeStatus(static_cast<Code>(control->code)), writeControlReply(*control));
    } else if (auto* pulled = std::get_if<PullReply>(&message)) {
      if (auto answer = answers.remove(to)) answer->finish(200, writeBlocks(pulled->hashes, pulled->origins));
    } else if (auto* pull = std::get_if<PullAsk>(&message)) {
      WebCall call;
      call.method = "POST";
      call.url = "http://" + to + "/v1/blocks/pull";
      call.body = writeBlocks(pull->hashes, {});
      call.totalTimeout = 2s;
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
      call.totalTimeout = 2s;
      calls.start(std::move(call), {});
    }
  };

  WebServer server(context, settings.address, [&](WebRequest ask, std::shared_ptr<WebResponse> answer) {
    auto deny = [&](const Error& trouble) { answer->finish(codeStatus(trouble.code), errorJson(trouble)); };
    auto pass = [&](const Message& message) {
      std::string name = answers.add(answer);
      host.handle(name, message);
    };
    std::string way = ask.method + " " + ask.path;
    if (way == "POST /v1/orders") {
      auto order = readWorkerOrder(ask.body);
      if (!order) return deny(order.error());
      return pass(order.value());
    }
    if (way == "GET /v1/reports") {
      ReportAsk report;
      report.after = std::strtoull(ask.query["after"].c_str(), nullptr, 10);
      report.incarnation = ask.query["incarnation"];
      report.complete = ask.query.count("whole") > 0;
      return pass(report);
    }
    if (way == "POST /v1/control") {
      auto control = readControl(ask.body);
      if (!control) return deny(control.error());
      return pass(control.value());
    }
    if (way == "POST /v1/blocks/pull") {
      auto blocks = readBlocks(ask.body);
      if (!blocks) return deny(blocks.error());
      return pass(PullAsk{"pull", blocks.value().hashes});
    }
    if (way == "POST /v1/blocks") {
      auto blocks = readBlocks(ask.body);
      if (!blocks) return deny(blocks.error());
      host.handle("peer", blocks.value());
      return answer->finish(200, "{}");
    }
    if (way == "GET /v1/runs") {
      JsonObject body;
      host.with([&](Effects&) {
        JsonArray rows;
        for (const auto& run : keeper.runs()) {
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
        body["crossWeights"] = jsonNumber(static_cast<double>(keeper.crossWeights));
        JsonObject tenants;
        for (const auto& [pair, number] : keeper.crossTenants) tenants[pair] = jsonNumber(static_cast<double>(number));
        body["crossTenants"] = Json(tenants);
      });
      return answer->finish(200, Json(body).serialize());
    }
    if (way == "POST /v1/faults") {
      auto read = parseObject(ask.body, {"lagMs", "loseEvents", "forgetEvents", "stalled", "loadFails", "silentReports",
                                         "linkMs", "forget", "crash"});
      if (!read) return deny(read.error());
      Json body(read.value());
      if (boolOr(body, "crash", false)) std::_Exit(9);
      host.with([&](Effects& effects) {
        keeper.faults.lagMs = static_cast<int>(integerOr(body, "lagMs", keeper.faults.lagMs));
        keeper.faults.loseEvents = static_cast<int>(integerOr(body, "loseEvents", keeper.faults.loseEvents));
        keeper.faults.forgetEvents = static_cast<int>(integerOr(body, "forgetEvents", keeper.faults.forgetEvents));
        keeper.faults.stalled = boolOr(body, "stalled", keeper.faults.stalled);
        keeper.faults.loadFails = boolOr(body, "loadFails", keeper.faults.loadFails);
        keeper.faults.silentReports = boolOr(body, "silentReports", keeper.faults.silentReports);
        keeper.faults.linkMs =
            static_cast<double>(integerOr(body, "linkMs", static_cast<std::int64_t>(keeper.faults.linkMs)));
        if (boolOr(body, "forget", false)) keeper.clearCache(effects, true);
      });
      return answer->finish(200, "{}");
    }
    deny(makeError(Code::unknownPath, ask.path));
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
