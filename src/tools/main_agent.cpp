#include "agent.hpp"
#include "old_weights_timeout.hpp"
#include "process.hpp"

using namespace tt;

int main(int count, char** arguments) {
  AgentSettings settings;
  std::string webAddress, listenAddress;
  double threads = 2, versionMs = defaultVersionMs;
  bool verbose = false;
  Settings reader(
      "trouttally-agent",
      "The agent beside a proxy: receives configuration and cache index from the control plane and relays them");
  reader.text("name", &settings.name, "name of this process", true)
      .address("address", &settings.address, "address at which other processes reach this one")
      .address("listen", &listenAddress, "address to listen on, if it differs from the address", false)
      .text("locality", &settings.zone, "zone of this machine", true)
      .addresses("seeds", &settings.seeds, "addresses of three cores to contact first")
      .address("webAddress", &webAddress, "address of the HTTP server for /v1/condition and /v1/counters", false)
      .number("versionMs", &versionMs, minVersionMs, maxVersionMs,
              "milliseconds after newer weights are announced during which requests may still start on older ones; "
              "must be the same for all processes")
      .number("threads", &threads, 1, 64, "threads of the I/O pool")
      .flag("chatty", &verbose, "log more detail");
  if (auto code = reader.read(count, arguments)) return *code;
  if (auto done = setOldWeightsTimeout(versionMs); !done) return reportStartFailure(done.error());
  startLog("agent", settings.name, verbose);
  asio::io_context context;
  Agent agent(settings);
  NodeHost host(agent, context, 20ms);
  PeerTransport transport(
      context, settings.address, [&](const std::string& from, Message message) { host.handle(from, message); },
      listenAddress);
  host.sendMessage = [&](const std::string& to, Message&& message) { transport.send(to, message); };
  agent.journal.appended.connect([](const Event& event) {
    if (event.kind == "follows" || event.kind == "parent dropped" || event.kind == "capture taken" ||
        event.kind == "fresh" || event.kind == "stale")
      logInfo(event.kind + ": " + event.subject + ".");
  });
  std::unique_ptr<WebServer> server;
  if (!webAddress.empty()) {
    server = std::make_unique<WebServer>(
        context, webAddress, [&](WebRequest request, std::shared_ptr<WebResponse> response) {
          if (request.path != "/v1/condition" && request.path != "/v1/counters" && request.path != "/v1/blueprint")
            return response->finish(404, errorJson(makeError(Code::unknownPath, request.path)));
          std::string text;
          host.with([&](Effects& effects) {
            text = request.path == "/v1/blueprint"
                       ? "{\"revision\":" + std::to_string(agent.configuration().revision()) + "}"
                       : agent.condition(effects.now);
          });
          response->finish(200, text);
        });
    if (auto done = server->open(); !done) return reportStartFailure(done.error());
  }
  if (auto done = transport.listen(); !done) return reportStartFailure(done.error());
  host.start();
  logInfo("Serving at " + settings.address + ".");
  runThreadPool(context, static_cast<std::size_t>(threads), [&] {
    if (server) server->close();
    transport.stop();
    host.stop();
  });
  return 0;
}
