#include <cstdlib>

#include "core.hpp"
#include "json_bodies.hpp"
#include "process.hpp"
#include "version_span.hpp"

using namespace tt;

namespace {

/// How long operators' calls that are open when the process is told to stop may take, and the last answers to leave.
constexpr Duration answersMost = 3s, lastAnswers = 100ms;

struct CoreMain {
  CoreSettings settings;
  std::string listenAddress, diskFaults, operatorAddress, operatorKeyHash, dataFolder;
  double ringFiles{4}, ringFileKiB{4096}, threads{3}, versionMs{versionMsUsual};
};

std::string blueprintBody(const Core& core, bool confirmed) {
  const auto& view = core.consensusLog().configuration();
  return "{\"revision\":" + std::to_string(view.revision()) + ",\"index\":" + std::to_string(view.index()) +
         ",\"confirmed\":" + (confirmed ? "true" : "false") + ",\"blueprint\":" + view.text() + "}";
}

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

int main(int count, char** words) {
  CoreMain given;
  bool chatty = false;
  Settings reader("trouttally-core", "A core of the fleet: accord, cells, operator API");
  reader.text("name", &given.settings.name, "this machine's name", true)
      .address("address", &given.settings.address, "where other processes reach this one")
      .address("listen", &given.listenAddress, "where it listens, if not at its address", false)
      .text("diskFaults", &given.diskFaults,
            "for tries only: a file whose word the ring obeys: slow MS, stall, full, well")
      .text("locality", &given.settings.zone, "this machine's locality", true)
      .addresses("seeds", &given.settings.seeds, "the other first cores")
      .texts("localities", &given.settings.zones, "all localities that cells stand for")
      .address("platform", &given.settings.platformAddress, "the platform's HTTP address", false)
      .address("operatorAddress", &given.operatorAddress, "where operators reach this core")
      .text("operatorKeyHash", &given.operatorKeyHash, "SHA-256 of the operator key, in hex", true)
      .text("dataFolder", &given.dataFolder, "the folder that all files live under", true)
      .number("ringFiles", &given.ringFiles, 3, 64, "how many files the ring has")
      .number("ringFileKiB", &given.ringFileKiB, 3072, 262144, "the size of each ring file")
      .number("versionMs", &given.versionMs, versionMsLeast, versionMsMost,
              "milliseconds after a naming for which requests may begin on older weights; the same at every process")
      .number("threads", &given.threads, 1, 64, "threads in the pool")
      .flag("chatty", &chatty, "log more");
  if (auto code = reader.read(count, words)) return *code;
  if (auto done = setVersionSpan(given.versionMs); !done) return reportStartFailure(done.error());
  if (given.operatorKeyHash.size() != 64)
    return reportStartFailure(makeError(Code::badProps, "operatorKeyHash", "must be 64 hexadecimal digits"));
  startLog("core", given.settings.name, chatty);

  auto files = DirectoryFiles::open(given.dataFolder, static_cast<int>(given.ringFiles),
                                    static_cast<std::size_t>(given.ringFileKiB) * 1024);
  if (!files) return reportStartFailure(files.error());
  FaultInjectingFiles ringFiles(*files.value(), given.diskFaults);
  auto opened = Ring::openOrReset(ringFiles);
  if (!opened) return reportDiskFailure(opened.error());
  auto& ring = opened.value().ring;
  if (ring->tornTailDropped()) logInfo("Torn end dropped.");
  given.settings.maxRecordBytes = ring->maxCheckpointBytes() / 2;
  if (given.settings.zones.empty()) given.settings.zones.push_back(given.settings.zone);

  asio::io_context context;
  std::mt19937_64 randomSource(std::random_device{}());
  Core core(given.settings, ring->held(), randomSource, Clock::now());
  WebClient calls;
  PendingResponses answers;
  NodeHost host(core, context, 20ms);
  PeerTransport hub(
      context, given.settings.address, [&](const std::string& from, Message message) { host.handle(from, message); },
      given.listenAddress);

  auto call = [&](const std::string& to, WebCall made, std::function<void(const std::string&)> onBody) {
    made.totalTimeout = 2s;
    calls.start(std::move(made), [to, onBody](const WebResult& result) {
      if (result.reached && (result.status == 200 || result.status == 409)) onBody(result.body);
    });
  };
  host.ring = ring.get();
  host.reportSyncWait = [&](Duration span) { core.reportSyncWait(span); };
  host.onDiskFailure = [](const Error& trouble) { std::_Exit(reportDiskFailure(trouble)); };
  host.sendMessage = [&](const std::string& to, Message&& message) {
    if (auto* machinesAsk = std::get_if<MachinesAsk>(&message)) {
      WebCall made;
      made.url = "http://" + to + "/v1/machines";
      call(to, made, [&, to, askedAt = machinesAsk->askedAt](const std::string& body) {
        auto reply = readMachines(body);
        if (!reply) return logWarning("Malformed list from the platform (" + reply.error().subject + ").");
        reply.value().askedAt = askedAt;
        host.handle(to, reply.value());
      });
    } else if (auto* ask = std::get_if<ReportAsk>(&message)) {
      WebCall made;
      made.url = "http://" + to + "/v1/reports?after=" + std::to_string(ask->after) +
                 "&incarnation=" + ask->incarnation + (ask->complete ? "&whole=1" : "");
      call(to, made, [&, to](const std::string& body) {
        if (auto report = readReport(body))
          host.handle(to, report.value());
        else
          logWarning("Malformed report from " + to + " (" + report.error().subject + ").");
      });
    } else if (auto* control = std::get_if<ControlAsk>(&message)) {
      WebCall made;
      made.method = "POST";
      made.url = "http://" + to + "/v1/control";
      made.body = writeControl(*control);
      call(to, made, [&, to, number = control->number](const std::string& body) {
        auto reply = readControlReply(body);
        if (!reply) return;
        reply.value().number = number;
        host.handle(to, reply.value());
      });
    } else if (auto* reply = std::get_if<OperatorResponse>(&message)) {
      if (auto answer = answers.remove(to))
        answer->finish(
            codeStatus(static_cast<Code>(reply->code)), operatorBody(*reply),
            codeStatus(static_cast<Code>(reply->code)) == 429 || codeStatus(static_cast<Code>(reply->code)) == 503
                ? 1000
                : 0);
    } else if (auto* read = std::get_if<ReadResponse>(&message)) {
      auto answer = answers.remove(to);
      if (!answer) return;
      if (read->confirmed) return answer->finish(200, blueprintBody(core, true));
      auto trouble = makeError(Code::readUnconfirmed, "blueprint");
      answer->finish(codeStatus(trouble.code), errorJson(trouble), 500);
    } else if (to == given.settings.address) {
      asio::post(context, [&, message = std::move(message)] { host.handle(given.settings.address, message); });
    } else {
      hub.send(to, message);
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

  WebServer server(context, given.operatorAddress, [&](WebRequest ask, std::shared_ptr<WebResponse> answer) {
    auto deny = [&](const Error& trouble) { answer->finish(codeStatus(trouble.code), errorJson(trouble)); };
    if (ask.path == "/v1/counters" && ask.method == "GET") {
      JsonObject rows;
      host.with([&](Effects&) {
        for (const auto& [kind, number] : core.journal.counts()) rows[kind] = jsonNumber(static_cast<double>(number));
      });
      rows["bytes sent"] = jsonNumber(static_cast<double>(hub.bytesOut.load()));
      rows["frames sent"] = jsonNumber(static_cast<double>(hub.framesOut.load()));
      return answer->finish(200, Json(rows).serialize());
    }
    if (sha256Hex(ask.bearer) != given.operatorKeyHash) return deny(makeError(Code::operatorDenied, "authorization"));
    if (ask.path == "/v1/condition" && ask.method == "GET") {
      std::string text;
      host.with([&](Effects& effects) { text = core.condition(effects.now); });
      return answer->finish(200, text);
    }
    if (ask.path != "/v1/blueprint") return deny(makeError(Code::unknownPath, ask.path));
    if (ask.method == "GET") {
      if (ask.query.count("unconfirmed") > 0) {
        std::string text;
        host.with([&](Effects& effects) { text = blueprintBody(core, core.readsConfirmed(effects.now)); });
        return answer->finish(200, text);
      }
      ReadRequest read{answers.add(answer)};
      return host.handle(read.requestId, read);
    }
    if (ask.method != "PUT" && ask.method != "PATCH") return deny(makeError(Code::unknownPath, ask.method));
    if (ask.body.size() > given.settings.maxRecordBytes) return deny(makeError(Code::tooLarge, "body"));
    OperatorRequest change{{}, ask.body, ask.method == "PUT", -1, {}, 0};
    for (const auto& [name, value] : ask.query) {
      if (name == "changeId" && value.size() <= 128) {
        change.changeId = value;
      } else if ((name == "ifRevision" || name == "sinceRevision") && !value.empty() && value.size() < 16 &&
                 value.find_first_not_of("0123456789") == std::string::npos) {
        (name == "ifRevision" ? change.ifRevision : change.sinceRevision) = std::stoll(value);
      } else {
        bool known = name == "changeId" || name == "ifRevision" || name == "sinceRevision";
        return deny(makeError(known ? Code::badField : Code::unknownField, name));
      }
    }
    std::string name = answers.add(answer);
    change.requestId = name;
    host.handle(name, change);
  });

  if (auto done = hub.listen(); !done) return reportStartFailure(done.error());
  if (auto done = server.open(); !done) return reportStartFailure(done.error());
  host.start();
  logInfo("Serving as " + core.id() + " at " + given.settings.address + ", operators at " + given.operatorAddress +
          ".");
  runThreadPool(context, static_cast<std::size_t>(given.threads), [&] {
    host.with([&](Effects& effects) { core.resign(effects); });
    TimePoint answersBy = Clock::now() + answersMost;
    do {
      std::this_thread::sleep_for(lastAnswers);
    } while (answers.count() > 0 && Clock::now() < answersBy);
    auto trouble = makeError(Code::stopping, "core");
    for (const auto& answer : answers.removeAll()) answer->finish(codeStatus(trouble.code), errorJson(trouble), 1000);
    std::this_thread::sleep_for(lastAnswers);
    server.close();
    hub.stop();
    host.stop();
  });
  return 0;
}
