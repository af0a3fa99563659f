#include "linearizability.hpp"

#include <algorithm>
#include <limits>
#include <unordered_map>
#include <unordered_set>

namespace tt {
namespace {
constexpr std::int64_t never = std::numeric_limits<std::int64_t>::max();
constexpr std::size_t mostLinesShown = 12;
constexpr std::uint32_t noValue = 0;

std::uint64_t mixed(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

std::uint64_t itemDigest(const std::string& name, const std::string& value) {
  return mixed(rendezvousHash(name, value));
}

std::optional<std::string> itemAfter(const std::optional<std::string>& before, const ItemChange& change,
                                     bool complete) {
  if (!change.value || complete || !before) return change.value;
  auto target = parseJson(*before), patch = parseJson(*change.value);
  if (!target || !patch) return change.value;
  mergePatch(target.value(), patch.value());
  return target.value().serialize();
}

/// What changes the register, or asks whether it answered rightly. All attempts of one change are one step: the first
/// that took effect is the change, and the others show only that it had taken effect by then, or that it never does.
struct Step {
  bool changes{false}, optional{false};
  std::int64_t began{0}, ended{never};
  std::size_t operation{0};
  std::optional<std::uint64_t> base;
  std::uint64_t asked{0}, seen{0};
  std::optional<std::uint64_t> digest;
  bool refusal{false};
  /// The place that a read went through, as a number.
  std::size_t place{0};
  bool reads() const { return !changes && !refusal; }
};

struct State {
  std::uint64_t revision{0}, digest{0};
  std::vector<std::uint32_t> values;
};

/// The items of all versions as numbers, so that states are small and content is merged once for each pair.
class ItemTable {
 public:
  explicit ItemTable(const RegisterItems& initial) {
    for (const auto& [name, value] : initial) first.emplace_back(columnOf(name), valueOf(value));
  }
  State initialState(std::uint64_t revision) const {
    State state;
    state.revision = revision;
    for (auto [column, value] : first) set(state, column, value);
    return state;
  }
  void apply(State& state, const Operation& change) {
    if (change.complete) {
      state.values.clear();
      state.digest = 0;
    }
    for (const auto& item : change.items) {
      std::uint32_t column = columnOf(item.name);
      std::uint32_t before = column < state.values.size() ? state.values[column] : noValue;
      set(state, column, merged(before, item, change.complete));
    }
  }

 private:
  std::unordered_map<std::string, std::uint32_t> columns, valueIds;
  std::vector<std::string> columnNames, values{std::string()};
  std::vector<std::pair<std::uint32_t, std::uint32_t>> first;
  std::map<std::pair<std::uint32_t, std::uint32_t>, std::uint32_t> mergedValues;
  mutable std::map<std::pair<std::uint32_t, std::uint32_t>, std::uint64_t> digests;

  std::uint32_t columnOf(const std::string& name) {
    auto [row, fresh] = columns.try_emplace(name, static_cast<std::uint32_t>(columnNames.size()));
    if (fresh) columnNames.push_back(name);
    return row->second;
  }
  std::uint32_t valueOf(const std::string& value) {
    auto [row, fresh] = valueIds.try_emplace(value, static_cast<std::uint32_t>(values.size()));
    if (fresh) values.push_back(value);
    return row->second;
  }
  std::uint32_t merged(std::uint32_t before, const ItemChange& item, bool complete) {
    if (!item.value) return noValue;
    std::uint32_t patch = valueOf(*item.value);
    if (complete || before == noValue || before == patch) return patch;
    auto [row, fresh] = mergedValues.try_emplace({before, patch}, noValue);
    if (fresh) row->second = valueOf(*itemAfter(values[before], item, false));
    return row->second;
  }
  std::uint64_t digestAt(std::uint32_t column, std::uint32_t value) const {
    auto [row, fresh] = digests.try_emplace({column, value}, 0);
    if (fresh) row->second = itemDigest(columnNames[column], values[value]);
    return row->second;
  }
  void set(State& state, std::uint32_t column, std::uint32_t value) const {
    if (column >= state.values.size()) state.values.resize(column + 1, noValue);
    auto& current = state.values[column];
    if (current != noValue) state.digest -= digestAt(column, current);
    current = value;
    if (current != noValue) state.digest += digestAt(column, current);
  }
};

struct SearchResult {
  bool found{false}, ranOut{false};
  std::size_t steps{0}, deepest{0};
  std::vector<std::size_t> order;
  std::uint64_t deepestRevision{0};
};

/// Wing and Gong's search with Lowe's memory of what was tried: operations are put in order one by one, each only when
/// no other that has to come has ended before it began. Those that leave the register as it is go first whenever they
/// can, which loses no order; only changes branch, and revisions leave few of them to choose from.
class Search {
 public:
  Search(const std::vector<Operation>& allOperations, std::vector<Step> allSteps, ItemTable& itemTable,
         bool weightsOnly, bool orderReads, std::size_t stepLimit)
      : operations(allOperations),
        steps(std::move(allSteps)),
        items(itemTable),
        weights(weightsOnly),
        linearizableReads(orderReads),
        mostSteps(stepLimit),
        closed(steps.size(), false) {
    std::sort(steps.begin(), steps.end(), [](const Step& one, const Step& other) { return one.began < other.began; });
    for (std::size_t at = 0; at < steps.size(); ++at) {
      (steps[at].optional ? optionals : musts).push_back(at);
      keys.emplace_back(mixed(2 * at + 1), mixed(~(2 * at)));
    }
    open = musts.size();
  }

  SearchResult run(const State& initial) {
    result.found = explore(initial, 0);
    return result;
  }

 private:
  struct KeyHash {
    std::size_t operator()(const std::pair<std::uint64_t, std::uint64_t>& key) const { return key.first ^ key.second; }
  };
  const std::vector<Operation>& operations;
  std::vector<Step> steps;
  ItemTable& items;
  bool weights, linearizableReads;
  std::size_t mostSteps;
  std::vector<bool> closed;
  std::vector<std::size_t> musts, optionals, order;
  std::vector<std::pair<std::uint64_t, std::uint64_t>> keys;
  std::pair<std::uint64_t, std::uint64_t> closedKey{0, 0};
  std::unordered_set<std::pair<std::uint64_t, std::uint64_t>, KeyHash> tried;
  std::size_t open{0};
  SearchResult result;

  void toggle(std::size_t at) {
    closed[at] = !closed[at];
    if (!steps[at].optional) open += closed[at] ? std::size_t(-1) : 1;
    closedKey.first ^= keys[at].first;
    closedKey.second ^= keys[at].second;
  }

  /// When the first of those ends that have to come, or only of the changes among them.
  std::int64_t firstEnd(std::size_t from, bool onlyChanges) const {
    std::int64_t end = never;
    for (std::size_t row = from; row < musts.size() && steps[musts[row]].began <= end; ++row)
      if (!closed[musts[row]] && (steps[musts[row]].changes || !onlyChanges))
        end = std::min(end, steps[musts[row]].ended);
    return end;
  }

  std::uint64_t revisionAfter(const Step& step, const State& state) const {
    if (weights) return std::max(state.revision, step.asked);
    return step.asked ? step.asked : state.revision + 1;
  }

  bool fits(const Step& step, const State& state) const {
    if (weights) return true;
    if (step.base && *step.base != state.revision) return false;
    if (step.asked && step.asked <= state.revision) return false;
    return !step.seen || step.seen == revisionAfter(step, state);
  }

  bool leavesAlone(const Step& step, const State& state) const {
    if (step.changes) return weights && step.asked <= state.revision;
    if (step.refusal && weights) return step.asked < state.revision;
    if (step.refusal)
      return (step.base && *step.base != state.revision) || (step.asked && step.asked <= state.revision);
    return step.seen == state.revision && (!step.digest || *step.digest == state.digest);
  }

  void closeAllThatLeaveAlone(const State& state, std::size_t& from, std::vector<std::size_t>& closedHere) {
    for (bool again = true; again;) {
      again = false;
      while (from < musts.size() && closed[musts[from]]) ++from;
      std::int64_t end = firstEnd(from, false);
      std::int64_t endForReads = linearizableReads ? end : firstEnd(from, true);
      std::map<std::size_t, std::int64_t> endByPlace;
      for (std::size_t row = from; row < musts.size() && steps[musts[row]].began <= endForReads; ++row) {
        std::size_t at = musts[row];
        if (closed[at]) continue;
        const auto& step = steps[at];
        auto held = step.reads() ? endByPlace.try_emplace(step.place, never).first : endByPlace.end();
        std::int64_t bound = step.reads() ? std::min(endForReads, held->second) : end;
        if (step.began <= bound && leavesAlone(step, state)) {
          toggle(at);
          closedHere.push_back(at);
          again = true;
        } else if (step.reads()) {
          held->second = std::min(held->second, step.ended);
        }
      }
    }
  }

  std::vector<std::size_t> candidates(const State& state, std::size_t from) const {
    std::int64_t end = firstEnd(from, false);
    std::vector<std::size_t> rows;
    for (std::size_t row = from; row < musts.size() && steps[musts[row]].began <= end; ++row)
      if (!closed[musts[row]] && steps[musts[row]].changes && fits(steps[musts[row]], state))
        rows.push_back(musts[row]);
    std::stable_sort(rows.begin(), rows.end(), [&](std::size_t one, std::size_t other) {
      return weights ? steps[one].asked < steps[other].asked : steps[one].ended < steps[other].ended;
    });
    for (std::size_t at : optionals) {
      if (steps[at].began > end) break;
      if (!closed[at] && fits(steps[at], state) && !(weights && leavesAlone(steps[at], state))) rows.push_back(at);
    }
    return rows;
  }

  void rememberDeepest(const State& state) {
    std::size_t depth = musts.size() - open;
    if (depth < result.deepest) return;
    result.deepest = depth;
    result.deepestRevision = state.revision;
    result.order.clear();
    for (std::size_t at : order) result.order.push_back(steps[at].operation);
  }

  bool explore(const State& state, std::size_t from) {
    if (++result.steps > mostSteps) {
      result.ranOut = true;
      return false;
    }
    std::vector<std::size_t> closedHere;
    closeAllThatLeaveAlone(state, from, closedHere);
    rememberDeepest(state);
    if (open == 0) return true;
    bool found = false;
    std::uint64_t stateKey = mixed(state.revision * 31 + mixed(state.digest));
    if (tried.insert({closedKey.first ^ stateKey, closedKey.second + mixed(stateKey)}).second) {
      for (std::size_t at : candidates(state, from)) {
        State next = state;
        next.revision = revisionAfter(steps[at], state);
        if (!weights) items.apply(next, operations[steps[at].operation]);
        toggle(at);
        order.push_back(at);
        found = explore(next, from);
        order.pop_back();
        toggle(at);
        if (found || result.ranOut) break;
      }
    }
    for (std::size_t at : closedHere) toggle(at);
    return found;
  }
};

/// One register's operations, made into steps; what is wrong by itself needs no search.
class RegisterCheck {
 public:
  RegisterCheck(std::vector<Operation> registerOperations, const History& history, bool weightsOnly)
      : operations(std::move(registerOperations)),
        items(history.initialItems),
        weights(weightsOnly),
        linearizableReads(history.linearizableReads) {
    initial = items.initialState(weights ? 0 : history.initialRevision);
  }

  HistoryCheckResult run(std::size_t mostSteps) {
    HistoryCheckResult verdict;
    std::string wrong = weights ? wrongWeights() : wrongByItself();
    if (!wrong.empty()) {
      verdict.linearizable = false;
      verdict.explanation = wrong;
      return verdict;
    }
    makeSteps();
    verdict.nonMonotonicReads = countBehind();
    auto result = search(never, mostSteps);
    verdict.steps = result.steps;
    if (result.found) return verdict;
    if (result.ranOut) {
      verdict.undecided = true;
      verdict.explanation = "the search ended after " + std::to_string(result.steps) + " steps without an answer";
      return verdict;
    }
    verdict.linearizable = false;
    verdict.explanation = offendingWindow(mostSteps);
    return verdict;
  }

 private:
  std::vector<Operation> operations;
  ItemTable items;
  bool weights, linearizableReads;
  std::map<std::string, std::size_t> places;
  State initial;
  std::vector<Step> steps;

  std::string lines(const std::string& reason, std::vector<std::size_t> rows) const {
    std::sort(rows.begin(), rows.end());
    rows.erase(std::unique(rows.begin(), rows.end()), rows.end());
    std::stable_sort(rows.begin(), rows.end(), [&](std::size_t one, std::size_t other) {
      return operations[one].began < operations[other].began;
    });
    std::string text = reason;
    std::size_t left = rows.size() > mostLinesShown ? rows.size() - mostLinesShown : 0;
    if (left) text += "\n  (" + std::to_string(left) + " earlier ones left out)";
    for (std::size_t at = left; at < rows.size(); ++at) text += "\n  " + describeOperation(operations[rows[at]]);
    return text;
  }

  std::map<std::string, std::vector<std::size_t>> attemptsByChange() const {
    std::map<std::string, std::vector<std::size_t>> attempts;
    for (std::size_t at = 0; at < operations.size(); ++at)
      if (operations[at].kind == OperationKind::change) attempts[operations[at].changeId].push_back(at);
    return attempts;
  }

  std::string wrongWeights() const {
    std::map<std::uint64_t, std::size_t> taken, refused;
    for (std::size_t at = 0; at < operations.size(); ++at) {
      if (operations[at].kind != OperationKind::nameWeights) continue;
      if (operations[at].outcome == OperationOutcome::refusedInvalid && operations[at].valid.value_or(false))
        return lines("valid weights were refused as invalid", {at});
      if (operations[at].outcome == OperationOutcome::taken) taken[operations[at].revision] = at;
      if (refusedAt(at)) refused[operations[at].revision] = at;
    }
    for (auto [revision, at] : refused)
      if (auto other = taken.find(revision); other != taken.end())
        return lines("the same weights were both acknowledged and refused", {other->second, at});
    return {};
  }

  std::string wrongByItself() const {
    std::map<std::uint64_t, std::size_t> acknowledged;
    for (const auto& [changeId, attempts] : attemptsByChange()) {
      std::optional<std::size_t> taken, refused;
      for (std::size_t at : attempts) {
        const auto& operation = operations[at];
        if (operation.outcome == OperationOutcome::refusedInvalid && operation.valid.value_or(false))
          return lines("a valid change was refused as invalid", {at});
        if (operation.outcome == OperationOutcome::refusedStale ||
            operation.outcome == OperationOutcome::refusedInvalid)
          refused = at;
        if (operation.outcome != OperationOutcome::taken) continue;
        if (!operation.valid.value_or(true)) return lines("an invalid change was acknowledged", {at});
        std::uint64_t revision = operation.resultRevision;
        if (revision && operation.revision && revision != operation.revision)
          return lines("a change was acknowledged under another revision than it asked for", {at});
        if (revision && operation.base && revision <= *operation.base)
          return lines("a change was acknowledged under a revision not above the one that it builds on", {at});
        if (taken && revision && operations[*taken].resultRevision && operations[*taken].resultRevision != revision)
          return lines("one change was acknowledged under two revisions", {*taken, at});
        taken = at;
        if (!revision) continue;
        auto [first, alone] = acknowledged.try_emplace(revision, at);
        if (!alone && operations[first->second].changeId != changeId)
          return lines("two changes were acknowledged under one revision", {first->second, at});
      }
      if (taken && refused) return lines("one change was both acknowledged and refused", {*taken, *refused});
    }
    return {};
  }

  void makeSteps() {
    if (!weights)
      for (const auto& [changeId, attempts] : attemptsByChange()) addChange(attempts);
    std::set<std::uint64_t> refusedRevisions;
    for (std::size_t at = 0; at < operations.size(); ++at)
      if (operations[at].kind == OperationKind::nameWeights && refusedAt(at))
        refusedRevisions.insert(operations[at].revision);
    for (std::size_t at = 0; at < operations.size(); ++at) {
      const auto& operation = operations[at];
      Step step;
      step.operation = at;
      step.began = operation.began;
      if (operation.kind == OperationKind::nameWeights) {
        step.changes = true;
        step.asked = operation.revision;
        step.optional = operation.outcome != OperationOutcome::taken;
        if (!step.optional) step.ended = operation.ended.value_or(never);
        if (refusedAt(at)) {
          if (operation.outcome == OperationOutcome::refusedInvalid) continue;
          step.changes = step.optional = false;
          step.refusal = true;
          step.ended = operation.ended.value_or(never);
        } else if (refusedRevisions.count(operation.revision)) {
          continue;
        }
        steps.push_back(step);
      } else if (operation.kind != OperationKind::change && operation.outcome == OperationOutcome::seen) {
        step.ended = operation.ended.value_or(never);
        step.seen = operation.resultRevision;
        step.digest = operation.resultDigest;
        step.place = places.try_emplace(operation.through, places.size()).first->second;
        steps.push_back(step);
      }
    }
  }

  bool refusedAt(std::size_t at) const {
    return operations[at].outcome == OperationOutcome::refusedStale ||
           operations[at].outcome == OperationOutcome::refusedInvalid;
  }

  void addChange(const std::vector<std::size_t>& attempts) {
    bool refused = false;
    Step change;
    change.changes = change.optional = true;
    change.began = never;
    change.operation = attempts.front();
    change.base = operations[attempts.front()].base;
    change.asked = operations[attempts.front()].revision;
    for (std::size_t at : attempts) {
      const auto& operation = operations[at];
      change.began = std::min(change.began, operation.began);
      if (operation.outcome == OperationOutcome::taken) {
        change.optional = false;
        std::int64_t ended = operation.ended.value_or(never);
        if (ended < change.ended) change.operation = at;
        change.ended = std::min(change.ended, ended);
        change.seen = std::max(change.seen, operation.resultRevision);
      }
      if (!refusedAt(at)) continue;
      refused = true;
      if (operation.outcome == OperationOutcome::refusedInvalid) continue;
      Step query;
      query.refusal = true;
      query.began = operation.began;
      query.ended = operation.ended.value_or(never);
      query.operation = at;
      query.base = operation.base;
      query.asked = operation.revision;
      steps.push_back(query);
    }
    if (!refused && operations[attempts.front()].valid.value_or(true)) steps.push_back(change);
  }

  /// Looks at the history as it stood at a moment: what had not ended then may or may not have taken effect.
  SearchResult search(std::int64_t until, std::size_t mostSteps) {
    std::vector<Step> known;
    for (auto step : steps) {
      if (step.began > until) continue;
      if (step.ended > until) {
        if (!step.changes) continue;
        step.optional = true;
        step.ended = never;
      }
      known.push_back(step);
    }
    return Search(operations, std::move(known), items, weights, linearizableReads, mostSteps).run(initial);
  }

  std::size_t countBehind() const {
    std::vector<std::pair<std::int64_t, std::uint64_t>> ended;
    std::vector<const Step*> began;
    for (const auto& step : steps)
      if (step.reads()) {
        ended.emplace_back(step.ended, step.seen);
        began.push_back(&step);
      }
    std::sort(ended.begin(), ended.end());
    std::sort(began.begin(), began.end(), [](const Step* one, const Step* other) { return one->began < other->began; });
    std::size_t behind = 0, next = 0;
    std::uint64_t shown = 0;
    for (const auto* step : began) {
      for (; next < ended.size() && ended[next].first < step->began; ++next)
        shown = std::max(shown, ended[next].second);
      behind += step->seen < shown;
    }
    return behind;
  }

  std::string offendingWindow(std::size_t mostSteps) {
    std::vector<std::int64_t> ends;
    for (const auto& step : steps)
      if (!step.optional && step.ended != never) ends.push_back(step.ended);
    std::sort(ends.begin(), ends.end());
    std::size_t good = 0, bad = ends.size() - 1;
    while (good < bad) {
      std::size_t middle = (good + bad) / 2;
      auto result = search(ends[middle], mostSteps);
      if (result.found || result.ranOut)
        good = middle + 1;
      else
        bad = middle;
    }
    std::int64_t end = ends[bad];
    auto failed = search(end, mostSteps);
    std::optional<Step> culprit;
    for (const auto& step : steps)
      if (step.ended == end && (!culprit || !step.changes)) culprit = step;
    std::vector<std::size_t> rows{culprit->operation};
    for (std::size_t at = failed.order.size(); at-- > 0 && rows.size() < 4;) rows.push_back(failed.order[at]);
    for (const auto& step : steps)
      if (step.changes && step.began <= end && step.ended >= culprit->began) rows.push_back(step.operation);
    addOverlooked(*culprit, rows);
    return lines("no order explains: " + describeOperation(operations[culprit->operation]) + "; " + reasonOf(*culprit) +
                     "; the longest order that can be made of what came before ends at revision " +
                     std::to_string(failed.deepestRevision),
                 rows);
  }

  /// What was acknowledged or read before an operation began, and is newer than what it was told.
  void addOverlooked(const Step& culprit, std::vector<std::size_t>& rows) const {
    const Step* newest = newestBefore(culprit);
    if (newest) rows.push_back(newest->operation);
  }
  const Step* newestBefore(const Step& culprit) const {
    const Step* newest = nullptr;
    for (const auto& step : steps) {
      if (step.refusal || step.ended >= culprit.began) continue;
      if (step.reads() && !linearizableReads && culprit.reads() && step.place != culprit.place) continue;
      if (!newest || shownBy(step) > shownBy(*newest)) newest = &step;
    }
    return newest;
  }
  std::uint64_t shownBy(const Step& step) const { return step.seen ? step.seen : step.asked; }

  std::string reasonOf(const Step& culprit) const {
    const Step* newest = newestBefore(culprit);
    std::uint64_t known = newest ? shownBy(*newest) : 0;
    if (culprit.refusal)
      return culprit.base && *culprit.base >= known ? "it was refused while the revision that it builds on was current"
                                                    : "it was refused, and no state in its time allows that";
    if (culprit.changes) {
      if (culprit.base && *culprit.base < known) return "it was taken on a revision that was no longer current";
      return "it was acknowledged, and no state in its time allows that";
    }
    if (culprit.seen < known) return "it is older than revision " + std::to_string(known) + ", known before it began";
    if (culprit.seen == known) return "its content is not what that revision has";
    return "nothing known can have made that revision and content by then";
  }
};

bool isWeights(const Operation& operation) {
  return operation.kind == OperationKind::nameWeights || operation.kind == OperationKind::readWeights;
}

std::string secondsText(std::int64_t nanoseconds) {
  char text[32];
  std::snprintf(text, sizeof text, "%.6f", static_cast<double>(nanoseconds) / 1e9);
  return text;
}
}  // namespace

RegisterItems itemsAfter(const RegisterItems& before, const Operation& change) {
  RegisterItems after = change.complete ? RegisterItems() : before;
  for (const auto& item : change.items) {
    auto old = after.find(item.name);
    auto value = itemAfter(old == after.end() ? std::nullopt : std::optional(old->second), item, change.complete);
    if (value)
      after[item.name] = *value;
    else
      after.erase(item.name);
  }
  return after;
}

std::uint64_t contentDigest(const RegisterItems& items) {
  std::uint64_t digest = 0;
  for (const auto& [name, value] : items) digest += itemDigest(name, value);
  return digest;
}

std::string describeOperation(const Operation& operation) {
  std::string text = operation.client + " " + secondsText(operation.began) + ".." +
                     (operation.ended ? secondsText(*operation.ended) : std::string("?"));
  if (!operation.through.empty()) text += " through " + operation.through;
  switch (operation.kind) {
    case OperationKind::change:
      text += " change " + operation.changeId;
      if (operation.base) text += " on " + std::to_string(*operation.base);
      if (operation.revision) text += " as " + std::to_string(operation.revision);
      break;
    case OperationKind::nameWeights:
      text += " name " + operation.model + " " + std::to_string(operation.revision);
      break;
    case OperationKind::readConfiguration:
      text += " read";
      break;
    case OperationKind::readWeights:
      text += " read weights of " + operation.model;
      break;
  }
  switch (operation.outcome) {
    case OperationOutcome::unclear:
      return text + ": unclear";
    case OperationOutcome::taken:
      return text + ": taken" + (operation.resultRevision ? " as " + std::to_string(operation.resultRevision) : "");
    case OperationOutcome::refusedStale:
      return text + ": refused, another revision is current";
    case OperationOutcome::refusedInvalid:
      return text + ": refused, not valid";
    case OperationOutcome::seen:
      return text + ": revision " + std::to_string(operation.resultRevision);
  }
  return text;
}

HistoryCheckResult checkHistory(const History& history, std::size_t mostSteps) {
  std::vector<Operation> configuration;
  std::map<std::string, std::vector<Operation>> weightsByModel;
  HistoryCheckResult complete;
  for (const auto& operation : history.operations) {
    ++complete.operations;
    complete.unclear += operation.outcome == OperationOutcome::unclear;
    (isWeights(operation) ? weightsByModel[operation.model] : configuration).push_back(operation);
  }
  auto add = [&](HistoryCheckResult part) {
    complete.steps += part.steps;
    complete.nonMonotonicReads += part.nonMonotonicReads;
    complete.undecided = complete.undecided || part.undecided;
    complete.linearizable = complete.linearizable && part.linearizable;
    if (part.explanation.empty()) return;
    complete.explanation += (complete.explanation.empty() ? "" : "\n") + part.explanation;
  };
  add(RegisterCheck(std::move(configuration), history, false).run(mostSteps));
  for (auto& [model, operations] : weightsByModel)
    add(RegisterCheck(std::move(operations), history, true).run(mostSteps));
  return complete;
}

}  // namespace tt
