#include <cstdlib>

#include "core.hpp"
#include "json_bodies.hpp"
#include "old_weights_timeout.hpp"
#include "process.hpp"

using namespace tt;

namespace {

/// At shutdown: how long open operator requests may take, and how long the last responses may take to be sent.
constexpr Duration operatorRequestTimeout = 3s, responseFlushTime = 100ms;

/// Retry-After that operators are given with a change, and with a read, that failed for now.
constexpr int changeRetryAfterMs = 1000, readRetryAfterMs = 500;
/// How long a call to a worker or to the platform may take.
constexpr Duration backendCallTimeout = 2s;
/// Limits of the parameters of a change.
constexpr std::size_t maxChangeIdBytes = 128, maxRevisionDigits = 15;

/// The command-line options.
struct CoreOptions {
  CoreSettings settings;
  std::string listenAddress, diskFaults, operatorAddress, operatorKeyHash, dataFolder;
  double ringFiles{4}, ringFileKiB{4096}, threads{3}, versionMs{defaultVersionMs};
};

/// The body of the response to a read of the configuration.
std::string blueprintBody(const Core& core, bool confirmed) {
  const auto& view = core.consensusLog().configuration();
  return "{\"revision\":" + std::to_string(view.revision()) + ",\"index\":" + std::to_string(view.index()) +
         ",\"confirmed\":" + (confirmed ? "true" : "false") + ",\"blueprint\":" + view.text() + "}";
}

/// The body of the response to a change.
std::string operatorBody(const OperatorResponse& reply) {
  JsonObject body;
  body["code"] = jsonNumber(reply.code);
  body["name"] = Json(std::string(codeName(static_cast<Code>(reply.code))));
  body["text"] = Json(reply.text);
  if (!reply.subject.empty()) body["field"] = Json(reply.subject);
  if (reply.revision) body["revision"] = jsonNumber(static_cast<double>(reply.revision));
  body["agentsReached"] = jsonNumber(static_cast<double>(reply.reached));
  return Json(body).serialize();
}

}  // namespace

int main(int count, char** arguments) {
  CoreOptions options;
  bool verbose = false;
  Settings reader("trouttally-core", "A core of the fleet: replicated log, cells, operator API");
  reader.text("name", &options.settings.name, "name of this core", true)
      .address("address", &options.settings.address, "address at which other processes reach this one")
      .address("listen", &options.listenAddress, "address to listen on, if it differs from the address", false)
      .text("diskFaults", &options.diskFaults,
            "for fault injection in trials: a file that names the disk fault: slow MS, stall, full or well (no fault)")
      .text("locality", &options.settings.zone, "zone of this machine", true)
      .addresses("seeds", &options.settings.seeds, "addresses of the other initial cores")
      .texts("localities", &options.settings.zones, "all zones; each has a cell")
      .address("platform", &options.settings.platformAddress, "HTTP address of the platform", false)
      .address("operatorAddress", &options.operatorAddress, "address of the HTTP server for operators")
      .text("operatorKeyHash", &options.operatorKeyHash, "SHA-256 of the operator key, in hex", true)
      .text("dataFolder", &options.dataFolder, "directory of the on-disk log", true)
      .number("ringFiles", &options.ringFiles, 3, 64, "number of files of the ring log")
      .number("ringFileKiB", &options.ringFileKiB, 3072, 262144, "size of each of these files in KiB")
      .number("versionMs", &options.versionMs, minVersionMs, maxVersionMs,
              "milliseconds after newer weights are announced during which requests may still start on older ones; "
              "must be the same for all processes")
      .number("threads", &options.threads, 1, 64, "threads of the I/O pool")
      .flag("chatty", &verbose, "log more detail");
  if (auto code = reader.read(count, arguments)) return *code;
  if (auto done = setOldWeightsTimeout(options.versionMs); !done) return reportStartFailure(done.error());
  if (options.operatorKeyHash.size() != 64)
    return reportStartFailure(makeError(Code::badProps, "operatorKeyHash", "must be 64 hexadecimal digits"));
  startLog("core", options.settings.name, verbose);

  auto files = DirectoryFiles::open(options.dataFolder, static_cast<int>(options.ringFiles),
                                    static_cast<std::size_t>(options.ringFileKiB) * 1024);
  if (!files) return reportStartFailure(files.error());
  FaultInjectingFiles ringFiles(*files.value(), options.diskFaults);
  auto opened = Ring::openOrReset(ringFiles);
  if (!opened) return reportDiskFailure(opened.error());
  auto& ring = opened.value().ring;
  if (ring->tornTailDropped()) logInfo("Dropped a tail of the ring log that was never synced.");
  options.settings.maxRecordBytes = ring->maxCheckpointBytes() / 2;
  if (options.settings.zones.empty()) options.settings.zones.push_back(options.settings.zone);

  asio::io_context context;
  std::mt19937_64 randomSource(std::random_device{}());
  Core core(options.settings, ring->recoveredState(), randomSource, Clock::now());
  WebClient calls;
  PendingResponses pendingResponses;
  NodeHost host(core, context, 20ms);
  PeerTransport transport(
      context, options.settings.address, [&](const std::string& from, Message message) { host.handle(from, message); },
      options.listenAddress);

  auto call = [&](const std::string& to, WebCall webCall, std::function<void(const std::string&)> onBody) {
    webCall.totalTimeout = backendCallTimeout;
    calls.start(std::move(webCall), [to, onBody](const WebResult& result) {
      if (result.reached && (result.status == 200 || result.status == 409)) onBody(result.body);
    });
  };
  host.ring = ring.get();
  host.reportSyncWait = [&](Duration wait) { core.reportSyncWait(wait); };
  host.onDiskFailure = [](const Error& error) { std::_Exit(reportDiskFailure(error)); };
  host.sendMessage = [&](const std::string& to, Message&& message) {
    if (auto* machinesAsk = std::get_if<MachinesAsk>(&message)) {
      WebCall webCall;
      webCall.url = "http://" + to + "/v1/machines";
      call(to, webCall, [&, to, askedAt = machinesAsk->askedAt](const std::string& body) {
        auto reply = readMachines(body);
        if (!reply) return logWarning("Malformed machine list from the platform (" + reply.error().subject + ").");
        reply.value().askedAt = askedAt;
        host.handle(to, reply.value());
      });
    } else if (auto* request = std::get_if<ReportAsk>(&message)) {
      WebCall webCall;
      webCall.url = "http://" + to + "/v1/reports?after=" + std::to_string(request->after) +
                    "&incarnation=" + request->incarnation + (request->complete ? "&whole=1" : "");
      call(to, webCall, [&, to](const std::string& body) {
        if (auto report = readReport(body))
          host.handle(to, report.value());
        else
          logWarning("Malformed report from " + to + " (" + report.error().subject + ").");
      });
    } else if (auto* control = std::get_if<ControlAsk>(&message)) {
      WebCall webCall;
      webCall.method = "POST";
      webCall.url = "http://" + to + "/v1/control";
      webCall.body = writeControl(*control);
      call(to, webCall, [&, to, number = control->number](const std::string& body) {
        auto reply = readControlReply(body);
        if (!reply) return;
        reply.value().number = number;
        host.handle(to, reply.value());
      });
    } else if (auto* reply = std::get_if<OperatorResponse>(&message)) {
      if (auto response = pendingResponses.remove(to))
        response->finish(
            codeStatus(static_cast<Code>(reply->code)), operatorBody(*reply),
            codeStatus(static_cast<Code>(reply->code)) == 429 || codeStatus(static_cast<Code>(reply->code)) == 503
                ? changeRetryAfterMs
                : 0);
    } else if (auto* read = std::get_if<ReadResponse>(&message)) {
      auto response = pendingResponses.remove(to);
      if (!response) return;
      if (read->confirmed) return response->finish(200, blueprintBody(core, true));
      auto error = makeError(Code::readUnconfirmed, "blueprint");
      response->finish(codeStatus(error.code), errorJson(error), readRetryAfterMs);
    } else if (to == options.settings.address) {
      asio::post(context, [&, message = std::move(message)] { host.handle(options.settings.address, message); });
    } else {
      transport.send(to, message);
    }
  };
  core.journal.appended.connect([](const Event& event) {
    if (event.kind == "duty won" || event.kind == "change in force" || event.kind == "duty lost" ||
        event.kind == "formed" || event.kind == "core joins" || event.kind == "core votes" ||
        event.kind == "core replaced" || event.kind == "disk stalled" || event.kind == "disk well" ||
        event.kind == "keeper unconfirmed" || event.kind == "weights in use" || event.kind == "weights failed" ||
        event.kind == "capture" || event.kind == "caught up by capture")
      logInfo(event.kind + ": " + event.subject + " (" + std::to_string(event.number) + ").");
  });

  if (opened.value().damage) reportRingDamage(core.journal, *opened.value().damage);

  WebServer server(context, options.operatorAddress, [&](WebRequest request, std::shared_ptr<WebResponse> response) {
    auto deny = [&](const Error& error) { response->finish(codeStatus(error.code), errorJson(error)); };
    if (request.path == "/v1/counters" && request.method == "GET") {
      JsonObject counters;
      host.with([&](Effects&) {
        for (const auto& [kind, number] : core.journal.counts())
          counters[kind] = jsonNumber(static_cast<double>(number));
      });
      counters["bytes sent"] = jsonNumber(static_cast<double>(transport.bytesOut.load()));
      counters["frames sent"] = jsonNumber(static_cast<double>(transport.framesOut.load()));
      return response->finish(200, Json(counters).serialize());
    }
    if (sha256Hex(request.bearer) != options.operatorKeyHash)
      return deny(makeError(Code::operatorDenied, "authorization"));
    if (request.path == "/v1/condition" && request.method == "GET") {
      std::string text;
      host.with([&](Effects& effects) { text = core.condition(effects.now); });
      return response->finish(200, text);
    }
    if (request.path != "/v1/blueprint") return deny(makeError(Code::unknownPath, request.path));
    if (request.method == "GET") {
      if (request.query.count("unconfirmed") > 0) {
        std::string text;
        host.with([&](Effects& effects) { text = blueprintBody(core, core.readsConfirmed(effects.now)); });
        return response->finish(200, text);
      }
      ReadRequest read{pendingResponses.add(response)};
      return host.handle(read.requestId, read);
    }
    if (request.method != "PUT" && request.method != "PATCH") return deny(makeError(Code::unknownPath, request.method));
    if (request.body.size() > options.settings.maxRecordBytes) return deny(makeError(Code::tooLarge, "body"));
    OperatorRequest change{{}, request.body, request.method == "PUT", -1, {}, 0};
    for (const auto& [name, value] : request.query) {
      if (name == "changeId" && value.size() <= maxChangeIdBytes) {
        change.changeId = value;
      } else if ((name == "ifRevision" || name == "sinceRevision") && !value.empty() &&
                 value.size() <= maxRevisionDigits && value.find_first_not_of("0123456789") == std::string::npos) {
        (name == "ifRevision" ? change.ifRevision : change.sinceRevision) = std::stoll(value);
      } else {
        bool known = name == "changeId" || name == "ifRevision" || name == "sinceRevision";
        return deny(makeError(known ? Code::badField : Code::unknownField, name));
      }
    }
    std::string requestId = pendingResponses.add(response);
    change.requestId = requestId;
    host.handle(requestId, change);
  });

  if (auto done = transport.listen(); !done) return reportStartFailure(done.error());
  if (auto done = server.open(); !done) return reportStartFailure(done.error());
  host.start();
  logInfo("Serving as " + core.id() + " at " + options.settings.address + ", operators at " + options.operatorAddress +
          ".");
  runThreadPool(context, static_cast<std::size_t>(options.threads), [&] {
    host.with([&](Effects& effects) { core.resign(effects); });
    TimePoint deadline = Clock::now() + operatorRequestTimeout;
    do {
      std::this_thread::sleep_for(responseFlushTime);
    } while (pendingResponses.count() > 0 && Clock::now() < deadline);
    auto error = makeError(Code::stopping, "core");
    for (const auto& response : pendingResponses.removeAll())
      response->finish(codeStatus(error.code), errorJson(error), changeRetryAfterMs);
    std::this_thread::sleep_for(responseFlushTime);
    server.close();
    transport.stop();
    host.stop();
  });
  return 0;
}
