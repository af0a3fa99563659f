#include <fstream>
#include <sstream>

#include "json_bodies.hpp"
#include "process.hpp"
#include "standin.hpp"

using namespace tt;

int main(int count, char** arguments) {
  std::string name = "platform", address, listFile;
  double threads = 1;
  Settings reader("trouttally-platform",
                  "A stand-in platform, for tests and trials: lists machines and marks those that leave");
  reader.text("name", &name, "name of this process")
      .address("address", &address, "address of the HTTP server")
      .text("list", &listFile, "JSON file with the initial list of machines")
      .number("threads", &threads, 1, 64, "threads of the I/O pool");
  if (auto code = reader.read(count, arguments)) return *code;
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
  WebServer server(context, address, [&](WebRequest request, std::shared_ptr<WebResponse> response) {
    auto deny = [&](const Error& error) { response->finish(codeStatus(error.code), errorJson(error)); };
    if (request.path != "/v1/machines") return deny(makeError(Code::unknownPath, request.path));
    if (request.method == "GET") {
      MachinesReply reply;
      host.with([&](Effects&) {
        for (const auto& [machineName, machine] : platform.machines()) reply.machines.push_back(machine);
      });
      return response->finish(200, writeMachines(reply));
    }
    auto read = parseJson(request.body);
    if (!read) return deny(read.error());
    if (request.method == "POST") {
      auto machine = readMachine(read.value());
      if (!machine) return deny(machine.error());
      host.with([&](Effects&) { platform.set(machine.value()); });
    } else if (request.method == "PATCH") {
      host.with(
          [&](Effects&) { platform.mark(stringOr(read.value(), "name"), boolOr(read.value(), "leaving", true)); });
    } else if (request.method == "DELETE") {
      host.with([&](Effects&) { platform.remove(stringOr(read.value(), "name")); });
    } else {
      return deny(makeError(Code::unknownPath, request.method));
    }
    response->finish(200, "{}");
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
