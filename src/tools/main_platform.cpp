#include <fstream>
#include <sstream>

#include "json_bodies.hpp"
#include "process.hpp"
#include "standin.hpp"

using namespace tt;

int main(int count, char** words) {
  std::string name = "platform", address, listFile;
  double threads = 1;
  Settings reader("trouttally-platform", "A stand-in platform that lists machines and marks those that leave");
  reader.text("name", &name, "this machine's name")
      .address("address", &address, "where it is reached over HTTP")
      .text("list", &listFile, "JSON file with the first list of machines")
      .number("threads", &threads, 1, 64, "threads in the pool");
  if (auto code = reader.read(count, words)) return *code;
  startLog("platform", name, false);
  StandInPlatform platform;
  if (!listFile.empty()) {
    std::ifstream source(listFile);
    std::stringstream bytes;
    bytes << source.rdbuf();
    auto list = readMachines(bytes.str());
    if (!list)
      return reportStartFailure(makeError(Code::badProps, "list", list.error().subject + ": " + list.error().text));
    for (const auto& machine : list.value().machines) platform.set(machine);
  }
  asio::io_context context;
  NodeHost host(platform, context, 1s);
  host.sendMessage = [](const std::string&, Message&&) {};
  WebServer server(context, address, [&](WebRequest ask, std::shared_ptr<WebResponse> answer) {
    auto deny = [&](const Error& trouble) { answer->finish(codeStatus(trouble.code), errorJson(trouble)); };
    if (ask.path != "/v1/machines") return deny(makeError(Code::unknownPath, ask.path));
    if (ask.method == "GET") {
      MachinesReply reply;
      host.with([&](Effects&) {
        for (const auto& [machineName, machine] : platform.machines()) reply.machines.push_back(machine);
      });
      return answer->finish(200, writeMachines(reply));
    }
    auto read = parseJson(ask.body);
    if (!read) return deny(read.error());
    if (ask.method == "POST") {
      auto machine = readMachine(read.value());
      if (!machine) return deny(machine.error());
      host.with([&](Effects&) { platform.set(machine.value()); });
    } else if (ask.method == "PATCH") {
      host.with(
          [&](Effects&) { platform.mark(stringOr(read.value(), "name"), boolOr(read.value(), "leaving", true)); });
    } else if (ask.method == "DELETE") {
      host.with([&](Effects&) { platform.remove(stringOr(read.value(), "name")); });
    } else {
      return deny(makeError(Code::unknownPath, ask.method));
    }
    answer->finish(200, "{}");
  });
  if (auto done = server.open(); !done) return reportStartFailure(done.error());
  host.start();
  logInfo("Serving at " + address + ".");
  runThreadPool(context, static_cast<std::size_t>(threads), [&] {
    server.close();
    host.stop();
  });
  return 0;
}
