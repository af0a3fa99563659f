/// Simulated operators, whose changes and reads are checked for linearizability at the end of a run.
#include "actor.hpp"

namespace tt {
namespace {
/// How long an operator's client waits for a response before it sends its request again.
constexpr Duration responseTimeout = 1s;
/// After this time a client stops sending its request again.
constexpr Duration retryTimeout = 40s;
/// The time between two reads of the configuration through random cores.
constexpr Duration readInterval = 100ms;
/// Of configurations with more bytes than this, only every 24th is digested, as that is slow.
constexpr std::size_t largeConfigurationBytes = 48 * 1024;
constexpr std::uint64_t largeDigestInterval = 24;
/// The model whose weights operators' clients announce. No worker runs it.
constexpr const char* announcedModel = "names-llm";

/// Nanoseconds since the start of the simulation.
std::int64_t sinceStart(TimePoint at) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(at - simulationStart).count();
}
/// The request's id without the number of the attempt that sendAttempt adds.
std::string withoutAttempt(const std::string& requestId) { return requestId.substr(0, requestId.find('#')); }
/// A route of a merge patch; without fields it removes the route.
std::string routeItem(const std::string& name, const std::string& fields) {
  return "\"" + name + "\":" + (fields.empty() ? std::string("null") : "{" + fields + "}");
}
}  // namespace

/// Clients that follow one plan until they have begun as many changes as it says.
struct World::OperatorGroup {
  OperatorPlan plan;
  int changesBegun{0};
  /// The number of the last announced weights.
  std::uint64_t lastAnnounced{0};
  std::vector<std::unique_ptr<OperatorClient>> clients;
};

/// One operator's client. It has one request at a time: a change, or an announcement of weights.
struct World::OperatorClient {
  OperatorGroup* group{nullptr};
  std::string name, lastCore;
  /// The newest revision that the client knows; 0 makes it read the configuration first.
  std::uint64_t knownRevision{0};
  int changesMade{0}, attempts{0};
  /// Whether the request has no definite response yet.
  bool awaitsResponse{false};
  OperatorRequest request;
  /// The route that the present change adds, and those that earlier ones have added.
  std::string ownRoute;
  std::vector<std::string> routes;
  TimePoint requestStartedAt{};
};

void World::submitChange(const std::string& body, bool complete, const std::string& changeId, std::int64_t ifRevision,
                         int coreNumber, bool loseResponse) {
  OperatorRequest request{};
  request.requestId = "ask-" + std::to_string(++operatorRequestCount);
  request.body = body;
  request.complete = complete;
  request.ifRevision = ifRevision;
  request.changeId = changeId.empty() ? "change-" + std::to_string(++changeCount) : changeId;
  ChangeRecord record;
  record.changeId = request.changeId;
  record.sentAt = clock;
  std::size_t recordIndex = changeRecords.size();
  changeByRequestId[request.requestId] = recordIndex;
  changeRecords.push_back(record);
  if (loseResponse) responsesToLose.insert(request.requestId);
  sendChange(request, recordIndex, coreNumber);
}

void World::sendChange(const OperatorRequest& request, std::size_t recordIndex, int coreNumber) {
  if (changeRecords[recordIndex].acked || clock > changeRecords[recordIndex].sentAt + retryTimeout) return;
  sendAttempt(request, request.requestId, "core-" + std::to_string((coreNumber - 1) % shape.cores + 1));
  schedule(1500ms, [this, request, recordIndex, coreNumber] { sendChange(request, recordIndex, coreNumber + 1); });
}

void World::sendAttempt(const OperatorRequest& request, const std::string& client, const std::string& coreName) {
  auto& actor = *actors.at(coreName);
  if (!actor.alive) return;
  OperatorRequest attempt = request;
  attempt.requestId = withoutAttempt(request.requestId) + "#" + std::to_string(++attemptCount);
  Operation operation = operationOf(attempt);
  operation.client = client;
  operation.through = coreName;
  operation.began = sinceStart(clock);
  if (attempt.toRevision < 0) {
    operation.kind = OperationKind::nameWeights;
    operation.model = announcedModel;
    operation.revision = weightsNumber(attempt.changeId);
  }
  operationByAttemptId[attempt.requestId] = recordedOperations.begin(std::move(operation));
  schedule(1ms, [this, coreName, incarnation = actor.incarnation, attempt] {
    auto& process = *actors.at(coreName);
    if (process.alive && process.incarnation == incarnation) dispatch(process, "operator", attempt);
  });
}

void World::onOperatorResponse(const OperatorResponse& response) {
  std::string requestId = withoutAttempt(response.requestId);
  auto client = clientByRequestId.find(requestId);
  auto outcome = outcomeOf(static_cast<Code>(response.code));
  if (outcome != OperationOutcome::unclear && responsesToLose.erase(requestId)) return;
  if (client != clientByRequestId.end() && operatorRandomBelow(100) < client->second->group->plan.lostResponsePercent)
    return;
  if (auto found = operationByAttemptId.find(response.requestId); found != operationByAttemptId.end())
    recordedOperations.end(found->second, sinceStart(clock), response);
  if (auto found = changeByRequestId.find(requestId); found != changeByRequestId.end()) {
    auto& record = changeRecords[found->second];
    auto code = static_cast<Code>(response.code);
    bool retryable = code == Code::notLeading || code == Code::changeUnsure || code == Code::changesFull;
    if (!record.acked && !retryable) {
      record.acked = true;
      record.code = response.code;
      record.ackedAt = clock;
      record.revision = response.revision;
      if (code == Code::changeTaken) onChangeAcked(found->second);
    }
  }
  if (outcome == OperationOutcome::taken) readFromAllCores();
  if (client != clientByRequestId.end()) onClientResponse(*client->second, response);
}

void World::onChangeAcked(std::size_t recordIndex) {
  auto& record = changeRecords[recordIndex];
  for (const auto& [name, actor] : actors)
    if (auto* node = core(name))
      for (const auto& entry : node->consensusLog().entries())
        if (entry.changeId == record.changeId) record.index = entry.index;
  if (auto applied = indexByChange.find(record.changeId); record.index == 0 && applied != indexByChange.end())
    record.index = applied->second;
  if (auto action = ackActions.find(record.changeId); action != ackActions.end()) {
    schedule(Duration(0), std::move(action->second));
    ackActions.erase(action);
  }
  if (nextAckAction) {
    schedule(Duration(0), std::move(nextAckAction));
    nextAckAction = nullptr;
  }
  if (startsWith(record.changeId, "revoke ") && !restoredTenants.count(record.changeId.substr(7)))
    revokedAt[record.changeId.substr(7)] = clock;
  onIsolationAcked(record);
  onWeightsAcked(record);
  trackReach(recordIndex);
}

int World::operatorRandomBelow(int below) {
  return static_cast<int>(operatorRandom() % static_cast<std::uint64_t>(below));
}
std::string World::randomCore() { return "core-" + std::to_string(1 + operatorRandomBelow(shape.cores)); }
Duration World::randomOperatorPause(Duration mean) {
  return mean / 2 + std::chrono::microseconds(operatorRandomBelow(static_cast<int>(toMilliseconds(mean)) * 1000 + 1));
}

void World::runOperators(const OperatorPlan& plan) {
  operatorGroups.push_back(std::make_shared<OperatorGroup>());
  auto& group = *operatorGroups.back();
  group.plan = plan;
  for (int number = 1; number <= plan.clients; ++number) {
    auto client = std::make_unique<OperatorClient>();
    client->group = &group;
    client->name = "operator-" + std::to_string(operatorGroups.size()) + "." + std::to_string(number);
    group.clients.push_back(std::move(client));
    schedule(randomOperatorPause(50ms), [this, at = group.clients.back().get()] { startNextOperation(*at); });
  }
}

void World::startNextOperation(OperatorClient& client) {
  if (client.group->changesBegun >= client.group->plan.changes) return;
  if (client.group->plan.announcesWeights && operatorRandomBelow(6) == 0) return startAnnouncement(client);
  if (client.knownRevision > 0 && operatorRandomBelow(10) < 3) return startChange(client);
  auto answered = std::make_shared<bool>(false);
  readFrom(randomCore(), [this, &client, answered](std::uint64_t revision) {
    if (*answered) return;
    *answered = true;
    client.knownRevision = revision;
    startChange(client);
  });
  schedule(300ms, [this, &client, answered] {
    if (*answered) return;
    *answered = true;
    startNextOperation(client);
  });
}

void World::startChange(OperatorClient& client) {
  const auto& plan = client.group->plan;
  ++client.group->changesBegun;
  ++client.changesMade;
  client.ownRoute = "op-" + client.name.substr(9) + "-" + std::to_string(client.changesMade);
  std::string fields = R"("model":"rooster-llm")";
  std::string routes = routeItem(client.ownRoute, fields + (operatorRandomBelow(2) ? R"(,"policy":"p")" : ""));
  if (operatorRandomBelow(3) == 0)
    routes +=
        "," + routeItem("op-shared", fields + R"(,"kind":")" + (operatorRandomBelow(2) ? "app" : "language") + "\"");
  if (client.routes.size() > 2 && operatorRandomBelow(3) == 0) {
    routes += "," + routeItem(client.routes.front(), {});
    client.routes.erase(client.routes.begin());
  }
  client.request = OperatorRequest{};
  client.request.body = "{\"routes\":{" + routes + "}}";
  client.request.ifRevision = static_cast<std::int64_t>(client.knownRevision);
  client.request.toRevision =
      static_cast<std::int64_t>(client.knownRevision) + 1 + (plan.consecutiveRevisions ? 0 : operatorRandomBelow(3));
  client.request.changeId = client.name + "/" + std::to_string(client.changesMade);
  startRequest(client);
}

void World::startAnnouncement(OperatorClient& client) {
  ++client.group->changesBegun;
  std::string weights = std::string(announcedModel) + "/" + std::to_string(++client.group->lastAnnounced);
  client.request = OperatorRequest{};
  client.request.body = "{\"weights\":{\"" + weights + "\":{\"model\":\"" + announcedModel +
                        "\",\"number\":" + std::to_string(client.group->lastAnnounced) + "}},\"models\":{\"" +
                        announcedModel + "\":{\"weights\":\"" + weights + "\"}}}";
  client.request.ifRevision = -1;
  client.request.toRevision = -1;
  client.request.changeFormat = static_cast<int>(ChangeFormat::weights);
  client.request.changeId = "weights/" + weights;
  startRequest(client);
}

void World::startRequest(OperatorClient& client) {
  client.request.requestId = "ask-" + std::to_string(++operatorRequestCount);
  client.attempts = 0;
  client.awaitsResponse = true;
  client.requestStartedAt = clock;
  clientByRequestId[client.request.requestId] = &client;
  if (client.request.toRevision >= 0) {
    ChangeRecord record;
    record.changeId = client.request.changeId;
    record.sentAt = clock;
    changeByRequestId[client.request.requestId] = changeRecords.size();
    changeRecords.push_back(record);
  }
  sendToRandomCore(client);
}

void World::sendToRandomCore(OperatorClient& client) {
  if (clock > client.requestStartedAt + retryTimeout) {
    client.awaitsResponse = false;
    return startNextOperation(client);
  }
  int attempt = ++client.attempts;
  std::string coreName = randomCore();
  if (coreName == client.lastCore) coreName = randomCore();
  client.lastCore = coreName;
  sendAttempt(client.request, client.name, coreName);
  if (operatorRandomBelow(10) == 0) sendAttempt(client.request, client.name, randomCore());
  schedule(responseTimeout + randomOperatorPause(std::min<Duration>(1600ms, 100ms * attempt)),
           [this, &client, attempt, requestId = client.request.requestId] {
             if (client.awaitsResponse && client.attempts == attempt && client.request.requestId == requestId)
               sendToRandomCore(client);
           });
}

void World::onClientResponse(OperatorClient& client, const OperatorResponse& response) {
  if (!client.awaitsResponse || withoutAttempt(response.requestId) != client.request.requestId) return;
  auto outcome = outcomeOf(static_cast<Code>(response.code));
  if (outcome == OperationOutcome::unclear) {
    schedule(randomOperatorPause(200ms),
             [this, &client, attempt = client.attempts, requestId = client.request.requestId] {
               if (client.awaitsResponse && client.attempts == attempt && client.request.requestId == requestId)
                 sendToRandomCore(client);
             });
    return;
  }
  client.awaitsResponse = false;
  bool announces = client.request.toRevision < 0;
  if (outcome == OperationOutcome::taken && !announces) {
    client.knownRevision = response.revision;
    client.routes.push_back(client.ownRoute);
  } else if (!announces) {
    client.knownRevision = 0;
  }
  if (outcome == OperationOutcome::taken && operatorRandomBelow(4) == 0) resendAcknowledged(client);
  schedule(randomOperatorPause(client.group->plan.pause), [this, &client] { startNextOperation(client); });
}

void World::resendAcknowledged(const OperatorClient& client) {
  OperatorRequest copy = client.request;
  copy.requestId = "again-" + std::to_string(++operatorRequestCount);
  Duration wait = operatorRandomBelow(2) ? Duration(0) : std::chrono::milliseconds(operatorRandomBelow(8000));
  for (int copies = 1 + operatorRandomBelow(8) / 7 * 7; copies > 0; --copies)
    schedule(wait, [this, copy, name = client.name] { sendAttempt(copy, name, randomCore()); });
}

void World::readPeriodically() {
  readFrom(randomCore(), {});
  schedule(readInterval, [this] { readPeriodically(); });
}

void World::readFromAllCores() {
  for (int number = 1; number <= shape.cores; ++number) readFrom("core-" + std::to_string(number), {});
}

void World::readFrom(const std::string& coreName, std::function<void(std::uint64_t revision)> done) {
  auto& actor = *actors.at(coreName);
  if (!actor.alive) return;
  std::string requestId = "read-" + std::to_string(++readCount);
  openReads[requestId] = OpenRead{clock, std::move(done)};
  schedule(1ms, [this, coreName, requestId, incarnation = actor.incarnation] {
    auto& process = *actors.at(coreName);
    if (process.alive && process.incarnation == incarnation) dispatch(process, "operator", ReadRequest{requestId});
  });
}

void World::onReadResponse(const Actor& actor, const ReadResponse& response) {
  auto found = openReads.find(response.requestId);
  if (found == openReads.end()) return;
  auto read = std::move(found->second);
  openReads.erase(found);
  auto* node = core(actor.name);
  if (!response.confirmed || !node) return;
  const auto& configuration = node->consensusLog().configuration();
  if (configuration.revision() == 0) return;
  std::int64_t began = sinceStart(read.began), ended = sinceStart(clock + 1ms);
  recordedOperations.addRead(began, ended, actor.name, configuration.revision(), digestAt(actor.name, configuration));
  if (!operatorGroups.empty())
    recordedOperations.addWeightsRead(began, ended, actor.name, announcedModel,
                                      weightsNumber(configuration.weightsOf(announcedModel).value_or("")));
  if (read.done) schedule(1ms, [done = read.done, revision = configuration.revision()] { done(revision); });
}

std::optional<std::uint64_t> World::digestAt(const std::string& coreName, const Configuration& configuration) {
  auto& cached = digestByCore[coreName];
  std::uint64_t incarnation = actors.at(coreName)->incarnation;
  if (cached.index == configuration.index() && cached.incarnation == incarnation) return cached.digest;
  if (configuration.bytes() > largeConfigurationBytes && ++digestCount % largeDigestInterval != 0) return std::nullopt;
  cached = {configuration.index(), incarnation, contentDigest(trackedItems(configuration))};
  return cached.digest;
}

void World::checkOperatorHistory() {
  History history = recordedOperations.recorded();
  history.linearizableReads = false;
  historyResult = checkHistory(history);
  if (!historyResult.linearizable) reportViolation("operator-history", historyResult.explanation);
  if (historyResult.undecided) reportViolation("operator-history-undecided", historyResult.explanation);
}

}  // namespace tt
