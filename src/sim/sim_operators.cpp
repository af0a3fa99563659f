#include "actor.hpp"

namespace tt {
namespace {
constexpr Duration answerWait = 1s;
constexpr Duration giveUpAfter = 40s;
constexpr Duration readEvery = 100ms;
constexpr std::size_t bigConfiguration = 48 * 1024;
constexpr std::uint64_t digestEvery = 24;
constexpr const char* namedModel = "names-llm";

std::int64_t sinceStart(TimePoint at) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(at - dayStart).count();
}
std::string withoutAttempt(const std::string& requestId) { return requestId.substr(0, requestId.find('#')); }
std::string routeItem(const std::string& name, const std::string& fields) {
  return "\"" + name + "\":" + (fields.empty() ? std::string("null") : "{" + fields + "}");
}
}  // namespace

/// Clients that make changes by one plan, until as many are made as it says.
struct World::OperatorCrew {
  OperatorPlan plan;
  int begun{0};
  std::uint64_t namedMost{0};
  std::vector<std::unique_ptr<OperatorClient>> clients;
};

/// One operator's client, with one change or one naming of weights under way.
struct World::OperatorClient {
  OperatorCrew* crew{nullptr};
  std::string name, lastCore;
  std::uint64_t known{0};
  int made{0}, tries{0};
  bool open{false};
  OperatorRequest request;
  std::string ownRoute;
  std::vector<std::string> routes;
  TimePoint begunAt{};
};

void World::change(const std::string& body, bool complete, const std::string& changeId, std::int64_t ifRevision,
                   int coreNumber, bool loseAnswer) {
  OperatorRequest ask{};
  ask.requestId = "ask-" + std::to_string(++askCount);
  ask.body = body;
  ask.complete = complete;
  ask.ifRevision = ifRevision;
  ask.changeId = changeId.empty() ? "change-" + std::to_string(++changeCount) : changeId;
  AckRow row;
  row.changeId = ask.changeId;
  row.askedAt = clock;
  std::size_t at = ackRows.size();
  ackByAsk[ask.requestId] = at;
  ackRows.push_back(row);
  if (loseAnswer) lostAnswers.insert(ask.requestId);
  askCore(ask, at, coreNumber);
}

void World::askCore(const OperatorRequest& ask, std::size_t at, int number) {
  if (ackRows[at].acked || clock > ackRows[at].askedAt + giveUpAfter) return;
  sendAttempt(ask, ask.requestId, "core-" + std::to_string((number - 1) % shape.cores + 1));
  later(1500ms, [this, ask, at, number] { askCore(ask, at, number + 1); });
}

void World::sendAttempt(const OperatorRequest& ask, const std::string& client, const std::string& coreName) {
  auto& actor = *actors.at(coreName);
  if (!actor.alive) return;
  OperatorRequest attempt = ask;
  attempt.requestId = withoutAttempt(ask.requestId) + "#" + std::to_string(++attemptCount);
  Operation operation = operationOf(attempt);
  operation.client = client;
  operation.through = coreName;
  operation.began = sinceStart(clock);
  if (attempt.toRevision < 0) {
    operation.kind = OperationKind::nameWeights;
    operation.model = namedModel;
    operation.revision = weightsNumber(attempt.changeId);
  }
  operationByAttempt[attempt.requestId] = operations.begin(std::move(operation));
  later(1ms, [this, coreName, life = actor.life, attempt] {
    auto& there = *actors.at(coreName);
    if (there.alive && there.life == life) give(there, "operator", attempt);
  });
}

void World::operatorAnswer(const OperatorResponse& reply) {
  std::string requestId = withoutAttempt(reply.requestId);
  auto client = clientByAsk.find(requestId);
  auto outcome = outcomeOf(static_cast<Code>(reply.code));
  if (outcome != OperationOutcome::unclear && lostAnswers.erase(requestId)) return;
  if (client != clientByAsk.end() && rollOperators(100) < client->second->crew->plan.lostResponsePercent) return;
  if (auto found = operationByAttempt.find(reply.requestId); found != operationByAttempt.end())
    operations.end(found->second, sinceStart(clock), reply);
  if (auto found = ackByAsk.find(requestId); found != ackByAsk.end()) {
    auto& ack = ackRows[found->second];
    auto code = static_cast<Code>(reply.code);
    bool again = code == Code::notLeading || code == Code::changeUnsure || code == Code::changesFull;
    if (!ack.acked && !again) {
      ack.acked = true;
      ack.code = reply.code;
      ack.at = clock;
      ack.revision = reply.revision;
      if (code == Code::changeTaken) acknowledged(found->second);
    }
  }
  if (outcome == OperationOutcome::taken) readEverywhere();
  if (client != clientByAsk.end()) clientAnswered(*client->second, reply);
}

void World::acknowledged(std::size_t at) {
  auto& ack = ackRows[at];
  for (const auto& [name, actor] : actors)
    if (auto* node = core(name))
      for (const auto& entry : node->consensusLog().entries())
        if (entry.changeId == ack.changeId) ack.index = entry.index;
  if (auto applied = canonByChange.find(ack.changeId); ack.index == 0 && applied != canonByChange.end())
    ack.index = applied->second;
  if (auto action = ackActions.find(ack.changeId); action != ackActions.end()) {
    later(Duration(0), std::move(action->second));
    ackActions.erase(action);
  }
  if (nextAckAction) {
    later(Duration(0), std::move(nextAckAction));
    nextAckAction = nullptr;
  }
  if (starts(ack.changeId, "revoke ") && !restored.count(ack.changeId.substr(7)))
    revokedAt[ack.changeId.substr(7)] = clock;
  weightsAcknowledged(ack);
  watchReach(at);
}

int World::rollOperators(int below) { return static_cast<int>(operatorRandom() % static_cast<std::uint64_t>(below)); }
std::string World::someCore() { return "core-" + std::to_string(1 + rollOperators(shape.cores)); }
Duration World::operatorPause(Duration mean) {
  return mean / 2 + std::chrono::microseconds(rollOperators(static_cast<int>(toMilliseconds(mean)) * 1000 + 1));
}

void World::runOperators(const OperatorPlan& plan) {
  crews.push_back(std::make_shared<OperatorCrew>());
  auto& crew = *crews.back();
  crew.plan = plan;
  for (int number = 1; number <= plan.clients; ++number) {
    auto client = std::make_unique<OperatorClient>();
    client->crew = &crew;
    client->name = "operator-" + std::to_string(crews.size()) + "." + std::to_string(number);
    crew.clients.push_back(std::move(client));
    later(operatorPause(50ms), [this, at = crew.clients.back().get()] { nextOperation(*at); });
  }
}

void World::nextOperation(OperatorClient& client) {
  if (client.crew->begun >= client.crew->plan.changes) return;
  if (client.crew->plan.announcesWeights && rollOperators(6) == 0) return beginNaming(client);
  if (client.known > 0 && rollOperators(10) < 3) return beginChange(client);
  auto answered = std::make_shared<bool>(false);
  readThrough(someCore(), [this, &client, answered](std::uint64_t revision) {
    if (*answered) return;
    *answered = true;
    client.known = revision;
    beginChange(client);
  });
  later(300ms, [this, &client, answered] {
    if (*answered) return;
    *answered = true;
    nextOperation(client);
  });
}

void World::beginChange(OperatorClient& client) {
  const auto& plan = client.crew->plan;
  ++client.crew->begun;
  ++client.made;
  client.ownRoute = "op-" + client.name.substr(9) + "-" + std::to_string(client.made);
  std::string fields = R"("model":"rooster-llm")";
  std::string rows = routeItem(client.ownRoute, fields + (rollOperators(2) ? R"(,"policy":"p")" : ""));
  if (rollOperators(3) == 0)
    rows += "," + routeItem("op-shared", fields + R"(,"kind":")" + (rollOperators(2) ? "app" : "language") + "\"");
  if (client.routes.size() > 2 && rollOperators(3) == 0) {
    rows += "," + routeItem(client.routes.front(), {});
    client.routes.erase(client.routes.begin());
  }
  client.request = OperatorRequest{};
  client.request.body = "{\"routes\":{" + rows + "}}";
  client.request.ifRevision = static_cast<std::int64_t>(client.known);
  client.request.toRevision =
      static_cast<std::int64_t>(client.known) + 1 + (plan.consecutiveRevisions ? 0 : rollOperators(3));
  client.request.changeId = client.name + "/" + std::to_string(client.made);
  beginRequest(client);
}

void World::beginNaming(OperatorClient& client) {
  ++client.crew->begun;
  std::string weights = std::string(namedModel) + "/" + std::to_string(++client.crew->namedMost);
  client.request = OperatorRequest{};
  client.request.body = "{\"weights\":{\"" + weights + "\":{\"model\":\"" + namedModel +
                        "\",\"number\":" + std::to_string(client.crew->namedMost) + "}},\"models\":{\"" + namedModel +
                        "\":{\"weights\":\"" + weights + "\"}}}";
  client.request.ifRevision = -1;
  client.request.toRevision = -1;
  client.request.changeFormat = static_cast<int>(ChangeFormat::weights);
  client.request.changeId = "weights/" + weights;
  beginRequest(client);
}

void World::beginRequest(OperatorClient& client) {
  client.request.requestId = "ask-" + std::to_string(++askCount);
  client.tries = 0;
  client.open = true;
  client.begunAt = clock;
  clientByAsk[client.request.requestId] = &client;
  if (client.request.toRevision >= 0) {
    AckRow row;
    row.changeId = client.request.changeId;
    row.askedAt = clock;
    ackByAsk[client.request.requestId] = ackRows.size();
    ackRows.push_back(row);
  }
  sendTry(client);
}

void World::sendTry(OperatorClient& client) {
  if (clock > client.begunAt + giveUpAfter) {
    client.open = false;
    return nextOperation(client);
  }
  int tries = ++client.tries;
  std::string coreName = someCore();
  if (coreName == client.lastCore) coreName = someCore();
  client.lastCore = coreName;
  sendAttempt(client.request, client.name, coreName);
  if (rollOperators(10) == 0) sendAttempt(client.request, client.name, someCore());
  later(answerWait + operatorPause(std::min<Duration>(1600ms, 100ms * tries)),
        [this, &client, tries, requestId = client.request.requestId] {
          if (client.open && client.tries == tries && client.request.requestId == requestId) sendTry(client);
        });
}

void World::clientAnswered(OperatorClient& client, const OperatorResponse& reply) {
  if (!client.open || withoutAttempt(reply.requestId) != client.request.requestId) return;
  auto outcome = outcomeOf(static_cast<Code>(reply.code));
  if (outcome == OperationOutcome::unclear) {
    later(operatorPause(200ms), [this, &client, tries = client.tries, requestId = client.request.requestId] {
      if (client.open && client.tries == tries && client.request.requestId == requestId) sendTry(client);
    });
    return;
  }
  client.open = false;
  bool names = client.request.toRevision < 0;
  if (outcome == OperationOutcome::taken && !names) {
    client.known = reply.revision;
    client.routes.push_back(client.ownRoute);
  } else if (!names) {
    client.known = 0;
  }
  if (outcome == OperationOutcome::taken && rollOperators(4) == 0) sendAgainLate(client);
  later(operatorPause(client.crew->plan.pause), [this, &client] { nextOperation(client); });
}

void World::sendAgainLate(const OperatorClient& client) {
  OperatorRequest again = client.request;
  again.requestId = "again-" + std::to_string(++askCount);
  Duration wait = rollOperators(2) ? Duration(0) : std::chrono::milliseconds(rollOperators(8000));
  for (int copies = 1 + rollOperators(8) / 7 * 7; copies > 0; --copies)
    later(wait, [this, again, name = client.name] { sendAttempt(again, name, someCore()); });
}

void World::readNowAndThen() {
  readThrough(someCore(), {});
  later(readEvery, [this] { readNowAndThen(); });
}

void World::readEverywhere() {
  for (int number = 1; number <= shape.cores; ++number) readThrough("core-" + std::to_string(number), {});
}

void World::readThrough(const std::string& coreName, std::function<void(std::uint64_t revision)> done) {
  auto& actor = *actors.at(coreName);
  if (!actor.alive) return;
  std::string requestId = "read-" + std::to_string(++readCount);
  readsOpen[requestId] = OpenRead{clock, std::move(done)};
  later(1ms, [this, coreName, requestId, life = actor.life] {
    auto& there = *actors.at(coreName);
    if (there.alive && there.life == life) give(there, "operator", ReadRequest{requestId});
  });
}

void World::readAnswered(const Actor& actor, const ReadResponse& response) {
  auto found = readsOpen.find(response.requestId);
  if (found == readsOpen.end()) return;
  auto read = std::move(found->second);
  readsOpen.erase(found);
  auto* node = core(actor.name);
  if (!response.confirmed || !node) return;
  const auto& configuration = node->consensusLog().configuration();
  if (configuration.revision() == 0) return;
  std::int64_t began = sinceStart(read.began), ended = sinceStart(clock + 1ms);
  operations.addRead(began, ended, actor.name, configuration.revision(), digestAt(actor.name, configuration));
  if (!crews.empty())
    operations.addWeightsRead(began, ended, actor.name, namedModel,
                              weightsNumber(configuration.weightsOf(namedModel).value_or("")));
  if (read.done) later(1ms, [done = read.done, revision = configuration.revision()] { done(revision); });
}

std::optional<std::uint64_t> World::digestAt(const std::string& coreName, const Configuration& configuration) {
  auto& row = digests[coreName];
  std::uint64_t life = actors.at(coreName)->life;
  if (row.index == configuration.index() && row.life == life) return row.digest;
  if (configuration.bytes() > bigConfiguration && ++digestCount % digestEvery != 0) return std::nullopt;
  row = {configuration.index(), life, contentDigest(trackedItems(configuration))};
  return row.digest;
}

void World::checkOperators() {
  History history = operations.recorded();
  history.linearizableReads = false;
  verdict = checkHistory(history);
  if (!verdict.linearizable) violate("operator-history", verdict.explanation);
  if (verdict.undecided) violate("operator-history-undecided", verdict.explanation);
}

}  // namespace tt
