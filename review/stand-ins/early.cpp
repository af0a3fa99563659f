// Workers answer before they have read a long body, keep the connection and read on later: do the answers arrive?
#include "rig.hpp"

using namespace rig;

namespace {
constexpr std::size_t bodyBytes = 4194304 - 304;
constexpr int clientsEach = 5;
constexpr long readOnAfterMs = 3000;

std::string config() {
  return "{\"Revision\":1,\"Routes\":[{\"Name\":\"r-1\",\"Hostname\":\"one.example\",\"PathPrefix\":\"/check/\","
         "\"RouteKind\":\"non_idempotent\",\"TimeoutMs\":9000,\"TargetLatencyMs\":400,\"Priority\":1,\"Backend\":"
         "\"wallet\",\"MaxAttempts\":1,\"Public\":true}],\"Backends\":[{\"Name\":\"wallet\",\"HealthPath\":\"/health\","
         "\"MaxConns\":100,\"Protocol\":\"h1\",\"Tls\":false}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":"
         "4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
}

/// A sound worker that answers a long request at once and reads its body on after a while.
class EarlyWorker {
 public:
  std::atomic<long> readOnAfter{0};
  std::atomic<int> passedOn{0}, readWhole{0}, broken{0};
  void start(const std::string& ip, int port, const std::string& id) {
    servers.push_back(std::make_unique<Server>());
    servers.back()->start(ip, port, [this, id](Stream& stream) {
      while (serve(stream, id)) {
      }
    });
  }

 private:
  std::vector<std::unique_ptr<Server>> servers;
  bool serve(Stream& stream, const std::string& id) {
    std::string line, body;
    Headers headers;
    if (!stream.line(line) || !readHeaders(stream, headers)) return false;
    auto attempt = headerOf(headers, "X-Attempt-Id");
    auto length = std::strtoul(headerOf(headers, "Content-Length").c_str(), nullptr, 10);
    Headers answer{{"X-Attempt-Id", attempt}, {"X-Server-Seal", id + "." + attempt}};
    if (auto target = headerOf(headers, "X-Target-Instance"); target != id) {
      answer.emplace_back("X-Not-Executed", "another worker is meant");
      return stream.exactly(length, body) && stream.write(answerText(421, answer, "{}"));
    }
    if (length < 100000) return stream.exactly(length, body) && stream.write(answerText(200, answer, "taken"));
    ++passedOn;
    bool said = stream.write(answerText(200, answer, "taken"));
    REC("worker %s answered %s, whose body of %lu it has not read yet%s", id.c_str(), attempt.c_str(), length,
        said ? "" : ": failed");
    sleepMs(readOnAfter);
    bool whole = stream.exactly(length, body);
    ++(whole ? readWhole : broken);
    REC("worker %s has read on for %s: %s, %zu bytes", id.c_str(), attempt.c_str(), whole ? "whole" : "reset",
        whole ? body.size() : stream.buffer.size());
    return whole;
  }
};
}  // namespace

int main(int count, char** words) {
  Setting setting = begin(count, words);
  Fleet fleet(setting.root);
  Platform platform;
  platform.ip = fleet.cloudIp();
  platform.port = fleet.cloudPort;
  std::vector<std::unique_ptr<Worker>> rows;
  EarlyWorker early;
  early.readOnAfter = setting.trouble ? readOnAfterMs : 0;
  for (int number = 1; number <= 2; ++number) {
    auto row = std::make_unique<Worker>();
    row->id = "i-" + std::to_string(number);
    row->service = "wallet";
    row->zone = fleet.zone;
    row->ip = fleet.workerIp(number);
    row->port = fleet.workerPort;
    row->slots = 64;
    early.start(row->ip, row->port, row->id);
    platform.workers.push_back(row.get());
    rows.push_back(std::move(row));
  }
  platform.start();
  fleet.addCores(3);
  fleet.addEdges(2);
  fleet.launchAll();
  if (fleet.operate("PUT", "/config", config(), {{"If-Match", "0"}}, 3).status != 200)
    cannotRun(fleet, "the configuration was not taken");
  if (!fleet.waitReady(2)) cannotRun(fleet, "the proxies are not ready");
  // Machines are in touch once they have run undisturbed for ContactMs.
  sleepMs(4000);
  std::atomic<int> lost[2]{{0}, {0}}, served{0}, firstFailed{0};
  std::vector<std::thread> crowd;
  for (int client = 0; client < 2 * clientsEach; ++client)
    crowd.emplace_back([&, client] {
      int edge = client % 2;
      Stream stream(connectTo(fleet.edgeIp(edge + 1), fleet.frontPort, 1000));
      stream.waitAtMost(12000);
      auto send = [&](const std::string& body) {
        auto attempt = freshId();
        long from = nowMs();
        bool sent = stream.write(
            requestText("POST", "/check/payee",
                        {{"Host", "one.example"}, {"X-Attempt-Id", attempt}, {"X-Deadline-Ms", "9000"}}, body));
        auto reply = readReply(stream);
        REC("request %s of %zu bytes at edge-%d%s: %s after %ld ms", attempt.c_str(), body.size(), edge + 1,
            sent ? "" : " (not sent whole)",
            reply.whole ? ("answered " + std::to_string(reply.status)).c_str()
                        : ("closed without a whole answer, of which came: " + std::to_string(reply.status)).c_str(),
            nowMs() - from);
        return reply;
      };
      if (send("payee").status != 200) ++firstFailed;
      auto reply = send(std::string(bodyBytes, 'p'));
      if (!reply.whole) ++lost[edge];
      if (reply.whole && reply.status == 200) ++served;
    });
  for (auto& client : crowd) client.join();
  sleepMs(1500);
  if (firstFailed > 0) cannotRun(fleet, "a short request was not served");
  std::ostringstream said;
  said << "long requests passed on to workers " << early.passedOn << ", answered 200 by them at once; served " << served
       << ", connections closed without a whole answer " << lost[0] << " at edge-1 and " << lost[1]
       << " at edge-2; bodies read whole " << early.readWhole << ", reset " << early.broken;
  finish(fleet, std::max(lost[0].load(), lost[1].load()) > 3, said.str());
}
