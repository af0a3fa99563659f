#include "linearizability.hpp"

#include <algorithm>
#include <limits>
#include <unordered_map>
#include <unordered_set>

namespace tt {
namespace {
constexpr std::int64_t never = std::numeric_limits<std::int64_t>::max();
/// How many operations an explanation lists at most: in total, and as the culprit with the last changes of the longest
/// valid order.
constexpr std::size_t maxOperationsShown = 12;
constexpr std::size_t maxOrderLines = 4;
/// The value number of an item that does not exist.
constexpr std::uint32_t noValue = 0;

/// The hash function of SplitMix64.
std::uint64_t mixBits(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

std::uint64_t itemDigest(const std::string& name, const std::string& value) {
  return mixBits(rendezvousHash(name, value));
}

/// The value of an item after a change; `before` is empty if the item did not exist.
std::optional<std::string> itemAfter(const std::optional<std::string>& before, const ItemChange& change,
                                     bool replacesAll) {
  if (!change.value || replacesAll || !before) return change.value;
  auto target = parseJson(*before), patch = parseJson(*change.value);
  if (!target || !patch) return change.value;
  mergePatch(target.value(), patch.value());
  return target.value().serialize();
}

/// An element of the order to be found: a change of the register, a read or a refusal. All attempts of a change are one
/// step, because only the first attempt that takes effect changes the register; the others show only that it had taken
/// effect by their end.
struct Step {
  /// `isChange`: changes the register. `optional`: it is not known whether it took effect.
  bool isChange{false}, optional{false};
  std::int64_t began{0}, ended{never};
  /// Index of the operation that represents the step in explanations.
  std::size_t operation{0};
  std::optional<std::uint64_t> base;
  /// The requested revision and the revision in the response; 0 if there is none.
  std::uint64_t requestedRevision{0}, resultRevision{0};
  std::optional<std::uint64_t> digest;
  bool isRefusal{false};
  /// Number of the core that a read was sent to.
  std::size_t core{0};
  bool isRead() const { return !isChange && !isRefusal; }
};

/// A state of the register: `values` holds the value number of each item, by the item's column.
struct State {
  std::uint64_t revision{0}, digest{0};
  std::vector<std::uint32_t> values;
};

/// Numbers the items and their values, so that states are small and each pair of a value and a patch is merged once.
class ItemTable {
 public:
  explicit ItemTable(const RegisterItems& initial) {
    for (const auto& [name, value] : initial) initialValues.emplace_back(columnOf(name), valueOf(value));
  }
  State initialState(std::uint64_t revision) const {
    State state;
    state.revision = revision;
    for (auto [column, value] : initialValues) set(state, column, value);
    return state;
  }
  void apply(State& state, const Operation& change) {
    if (change.replacesAll) {
      state.values.clear();
      state.digest = 0;
    }
    for (const auto& item : change.items) {
      std::uint32_t column = columnOf(item.name);
      std::uint32_t before = column < state.values.size() ? state.values[column] : noValue;
      set(state, column, merged(before, item, change.replacesAll));
    }
  }

 private:
  /// The columns of items by name, and the numbers of values; the names and values by these numbers.
  std::unordered_map<std::string, std::uint32_t> columns, valueIds;
  std::vector<std::string> columnNames, values{std::string()};
  std::vector<std::pair<std::uint32_t, std::uint32_t>> initialValues;
  /// Caches: merged values by value and patch, and digests of items by column and value.
  std::map<std::pair<std::uint32_t, std::uint32_t>, std::uint32_t> mergedValues;
  mutable std::map<std::pair<std::uint32_t, std::uint32_t>, std::uint64_t> digests;

  std::uint32_t columnOf(const std::string& name) {
    auto [row, inserted] = columns.try_emplace(name, static_cast<std::uint32_t>(columnNames.size()));
    if (inserted) columnNames.push_back(name);
    return row->second;
  }
  std::uint32_t valueOf(const std::string& value) {
    auto [row, inserted] = valueIds.try_emplace(value, static_cast<std::uint32_t>(values.size()));
    if (inserted) values.push_back(value);
    return row->second;
  }
  std::uint32_t merged(std::uint32_t before, const ItemChange& item, bool replacesAll) {
    if (!item.value) return noValue;
    std::uint32_t patch = valueOf(*item.value);
    if (replacesAll || before == noValue || before == patch) return patch;
    auto [row, inserted] = mergedValues.try_emplace({before, patch}, noValue);
    if (inserted) row->second = valueOf(*itemAfter(values[before], item, false));
    return row->second;
  }
  std::uint64_t digestAt(std::uint32_t column, std::uint32_t value) const {
    auto [row, inserted] = digests.try_emplace({column, value}, 0);
    if (inserted) row->second = itemDigest(columnNames[column], values[value]);
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

/// `longestLength`: number of required steps in the longest order found; `order` and `longestRevision`: its changes, as
/// indexes of operations, and the revision that it ends at.
struct SearchResult {
  bool found{false}, limitReached{false};
  std::size_t steps{0}, longestLength{0};
  std::vector<std::size_t> order;
  std::uint64_t longestRevision{0};
};

/// The linearizability search of Wing and Gong with Lowe's cache of visited configurations. The search appends steps to
/// the order one by one. A step may be next if no other required step that is not yet in the order ended before it
/// began. Steps that do not change the register are appended as soon as they are valid; no order is missed by this.
/// The search branches only over changes, and their revisions leave few candidates.
class Search {
 public:
  Search(const std::vector<Operation>& allOperations, std::vector<Step> allSteps, ItemTable& itemTable,
         bool weightsOnly, bool orderReads, std::size_t stepLimit)
      : operations(allOperations),
        steps(std::move(allSteps)),
        items(itemTable),
        isWeightsRegister(weightsOnly),
        linearizableReads(orderReads),
        maxSteps(stepLimit),
        ordered(steps.size(), false) {
    std::sort(steps.begin(), steps.end(), [](const Step& one, const Step& other) { return one.began < other.began; });
    for (std::size_t index = 0; index < steps.size(); ++index) {
      (steps[index].optional ? optionalSteps : requiredSteps).push_back(index);
      stepKeys.emplace_back(mixBits(2 * index + 1), mixBits(~(2 * index)));
    }
    remaining = requiredSteps.size();
  }

  SearchResult run(const State& initial) {
    result.found = explore(initial, 0);
    return result;
  }

 private:
  /// Combines the halves of a key, which are hashes already.
  struct KeyHash {
    std::size_t operator()(const std::pair<std::uint64_t, std::uint64_t>& key) const { return key.first ^ key.second; }
  };
  const std::vector<Operation>& operations;
  std::vector<Step> steps;
  ItemTable& items;
  bool isWeightsRegister, linearizableReads;
  std::size_t maxSteps;
  /// Whether each step is in the order.
  std::vector<bool> ordered;
  /// Indexes of the required and of the optional steps, by the time at which they began; and the changes in the order.
  std::vector<std::size_t> requiredSteps, optionalSteps, order;
  /// A pseudo-random 128-bit key for each step; the XOR of the keys of the steps in the order identifies their set.
  std::vector<std::pair<std::uint64_t, std::uint64_t>> stepKeys;
  std::pair<std::uint64_t, std::uint64_t> orderedKey{0, 0};
  /// The visited configurations: hashes of the set of steps in the order and the state that they lead to.
  std::unordered_set<std::pair<std::uint64_t, std::uint64_t>, KeyHash> visited;
  /// Number of required steps that are not yet in the order.
  std::size_t remaining{0};
  SearchResult result;

  /// Adds a step to the order or takes it out again.
  void toggle(std::size_t index) {
    ordered[index] = !ordered[index];
    if (!steps[index].optional) remaining += ordered[index] ? std::size_t(-1) : 1;
    orderedKey.first ^= stepKeys[index].first;
    orderedKey.second ^= stepKeys[index].second;
  }

  /// The earliest end of the required steps (or only of the changes among them) that are not yet in the order. `from`
  /// is the first index in `requiredSteps` that may not yet be in the order.
  std::int64_t earliestEnd(std::size_t from, bool onlyChanges) const {
    std::int64_t end = never;
    for (std::size_t row = from; row < requiredSteps.size() && steps[requiredSteps[row]].began <= end; ++row)
      if (!ordered[requiredSteps[row]] && (steps[requiredSteps[row]].isChange || !onlyChanges))
        end = std::min(end, steps[requiredSteps[row]].ended);
    return end;
  }

  std::uint64_t revisionAfter(const Step& step, const State& state) const {
    if (isWeightsRegister) return std::max(state.revision, step.requestedRevision);
    return step.requestedRevision ? step.requestedRevision : state.revision + 1;
  }

  /// Whether a change can be applied to a state.
  bool isApplicable(const Step& step, const State& state) const {
    if (isWeightsRegister) return true;
    if (step.base && *step.base != state.revision) return false;
    if (step.requestedRevision && step.requestedRevision <= state.revision) return false;
    return !step.resultRevision || step.resultRevision == revisionAfter(step, state);
  }

  /// Whether a step is valid in a state and leaves it unchanged.
  bool leavesStateUnchanged(const Step& step, const State& state) const {
    if (step.isChange) return isWeightsRegister && step.requestedRevision <= state.revision;
    if (step.isRefusal && isWeightsRegister) return step.requestedRevision < state.revision;
    if (step.isRefusal)
      return (step.base && *step.base != state.revision) ||
             (step.requestedRevision && step.requestedRevision <= state.revision);
    return step.resultRevision == state.revision && (!step.digest || *step.digest == state.digest);
  }

  /// Appends all steps that may be next, are valid and leave the state unchanged; repeats this, as each may allow
  /// others.
  void appendUnchangingSteps(const State& state, std::size_t& from, std::vector<std::size_t>& appended) {
    for (bool progressed = true; progressed;) {
      progressed = false;
      while (from < requiredSteps.size() && ordered[requiredSteps[from]]) ++from;
      std::int64_t end = earliestEnd(from, false);
      std::int64_t endForReads = linearizableReads ? end : earliestEnd(from, true);
      std::map<std::size_t, std::int64_t> earliestReadEndByCore;
      for (std::size_t row = from; row < requiredSteps.size() && steps[requiredSteps[row]].began <= endForReads;
           ++row) {
        std::size_t index = requiredSteps[row];
        if (ordered[index]) continue;
        const auto& step = steps[index];
        auto earliestReadEnd =
            step.isRead() ? earliestReadEndByCore.try_emplace(step.core, never).first : earliestReadEndByCore.end();
        std::int64_t bound = step.isRead() ? std::min(endForReads, earliestReadEnd->second) : end;
        if (step.began <= bound && leavesStateUnchanged(step, state)) {
          toggle(index);
          appended.push_back(index);
          progressed = true;
        } else if (step.isRead()) {
          earliestReadEnd->second = std::min(earliestReadEnd->second, step.ended);
        }
      }
    }
  }

  /// The changes that may be next: the required ones by their end (weights: by their number), then the optional ones.
  std::vector<std::size_t> candidates(const State& state, std::size_t from) const {
    std::int64_t end = earliestEnd(from, false);
    std::vector<std::size_t> rows;
    for (std::size_t row = from; row < requiredSteps.size() && steps[requiredSteps[row]].began <= end; ++row)
      if (!ordered[requiredSteps[row]] && steps[requiredSteps[row]].isChange &&
          isApplicable(steps[requiredSteps[row]], state))
        rows.push_back(requiredSteps[row]);
    std::stable_sort(rows.begin(), rows.end(), [&](std::size_t one, std::size_t other) {
      return isWeightsRegister ? steps[one].requestedRevision < steps[other].requestedRevision
                               : steps[one].ended < steps[other].ended;
    });
    for (std::size_t index : optionalSteps) {
      if (steps[index].began > end) break;
      if (!ordered[index] && isApplicable(steps[index], state) &&
          !(isWeightsRegister && leavesStateUnchanged(steps[index], state)))
        rows.push_back(index);
    }
    return rows;
  }

  void recordLongest(const State& state) {
    std::size_t depth = requiredSteps.size() - remaining;
    if (depth < result.longestLength) return;
    result.longestLength = depth;
    result.longestRevision = state.revision;
    result.order.clear();
    for (std::size_t index : order) result.order.push_back(steps[index].operation);
  }

  /// Extends the order from a state; returns whether all required steps could be appended.
  bool explore(const State& state, std::size_t from) {
    if (++result.steps > maxSteps) {
      result.limitReached = true;
      return false;
    }
    std::vector<std::size_t> appended;
    appendUnchangingSteps(state, from, appended);
    recordLongest(state);
    if (remaining == 0) return true;
    bool found = false;
    std::uint64_t stateKey = mixBits(state.revision * 31 + mixBits(state.digest));
    if (visited.insert({orderedKey.first ^ stateKey, orderedKey.second + mixBits(stateKey)}).second) {
      for (std::size_t index : candidates(state, from)) {
        State next = state;
        next.revision = revisionAfter(steps[index], state);
        if (!isWeightsRegister) items.apply(next, operations[steps[index].operation]);
        toggle(index);
        order.push_back(index);
        found = explore(next, from);
        order.pop_back();
        toggle(index);
        if (found || result.limitReached) break;
      }
    }
    for (std::size_t index : appended) toggle(index);
    return found;
  }
};

/// Checks the operations of one register. Contradictions that show without a search are reported first; then the
/// operations are turned into steps, and a valid order of them is searched for.
class RegisterCheck {
 public:
  RegisterCheck(std::vector<Operation> registerOperations, const History& history, bool weightsOnly)
      : operations(std::move(registerOperations)),
        items(history.initialItems),
        isWeightsRegister(weightsOnly),
        linearizableReads(history.linearizableReads) {
    initial = items.initialState(isWeightsRegister ? 0 : history.initialRevision);
  }

  HistoryCheckResult run(std::size_t maxSteps) {
    HistoryCheckResult checkResult;
    std::string contradiction = isWeightsRegister ? findWeightsContradiction() : findContradiction();
    if (!contradiction.empty()) {
      checkResult.linearizable = false;
      checkResult.explanation = contradiction;
      return checkResult;
    }
    makeSteps();
    checkResult.nonMonotonicReads = countNonMonotonicReads();
    auto result = search(never, maxSteps);
    checkResult.steps = result.steps;
    if (result.found) return checkResult;
    if (result.limitReached) {
      checkResult.undecided = true;
      checkResult.explanation =
          "the search for an order reached its limit after " + std::to_string(result.steps) + " steps";
      return checkResult;
    }
    checkResult.linearizable = false;
    checkResult.explanation = explainFailure(maxSteps);
    return checkResult;
  }

 private:
  std::vector<Operation> operations;
  ItemTable items;
  bool isWeightsRegister, linearizableReads;
  std::map<std::string, std::size_t> coreNumbers;
  State initial;
  std::vector<Step> steps;

  /// A reason, followed by the given operations in order of time.
  std::string describeOperations(const std::string& reason, std::vector<std::size_t> rows) const {
    std::sort(rows.begin(), rows.end());
    rows.erase(std::unique(rows.begin(), rows.end()), rows.end());
    std::stable_sort(rows.begin(), rows.end(), [&](std::size_t one, std::size_t other) {
      return operations[one].began < operations[other].began;
    });
    std::string text = reason;
    std::size_t left = rows.size() > maxOperationsShown ? rows.size() - maxOperationsShown : 0;
    if (left) text += "\n  (" + std::to_string(left) + " earlier operations omitted)";
    for (std::size_t index = left; index < rows.size(); ++index)
      text += "\n  " + describeOperation(operations[rows[index]]);
    return text;
  }

  std::map<std::string, std::vector<std::size_t>> attemptsByChange() const {
    std::map<std::string, std::vector<std::size_t>> attempts;
    for (std::size_t index = 0; index < operations.size(); ++index)
      if (operations[index].kind == OperationKind::change) attempts[operations[index].changeId].push_back(index);
    return attempts;
  }

  /// Contradictions between responses about weights; empty if there are none.
  std::string findWeightsContradiction() const {
    std::map<std::uint64_t, std::size_t> taken, refused;
    for (std::size_t index = 0; index < operations.size(); ++index) {
      if (operations[index].kind != OperationKind::nameWeights) continue;
      if (operations[index].outcome == OperationOutcome::refusedInvalid && operations[index].valid.value_or(false))
        return describeOperations("valid weights were refused as invalid", {index});
      if (operations[index].outcome == OperationOutcome::taken) taken[operations[index].revision] = index;
      if (isRefused(index)) refused[operations[index].revision] = index;
    }
    for (auto [revision, index] : refused)
      if (auto other = taken.find(revision); other != taken.end())
        return describeOperations("the same weights were both acknowledged and refused", {other->second, index});
    return {};
  }

  /// Contradictions between responses to changes; empty if there are none.
  std::string findContradiction() const {
    std::map<std::uint64_t, std::size_t> acknowledged;
    for (const auto& [changeId, attempts] : attemptsByChange()) {
      std::optional<std::size_t> taken, refused;
      for (std::size_t index : attempts) {
        const auto& operation = operations[index];
        if (operation.outcome == OperationOutcome::refusedInvalid && operation.valid.value_or(false))
          return describeOperations("a valid change was refused as invalid", {index});
        if (operation.outcome == OperationOutcome::refusedStale ||
            operation.outcome == OperationOutcome::refusedInvalid)
          refused = index;
        if (operation.outcome != OperationOutcome::taken) continue;
        if (!operation.valid.value_or(true)) return describeOperations("an invalid change was acknowledged", {index});
        std::uint64_t revision = operation.resultRevision;
        if (revision && operation.revision && revision != operation.revision)
          return describeOperations("a change was acknowledged under another revision than the requested one", {index});
        if (revision && operation.base && revision <= *operation.base)
          return describeOperations("a change was acknowledged under a revision not above its base revision", {index});
        if (taken && revision && operations[*taken].resultRevision && operations[*taken].resultRevision != revision)
          return describeOperations("one change was acknowledged under two revisions", {*taken, index});
        taken = index;
        if (!revision) continue;
        auto [first, alone] = acknowledged.try_emplace(revision, index);
        if (!alone && operations[first->second].changeId != changeId)
          return describeOperations("two changes were acknowledged under one revision", {first->second, index});
      }
      if (taken && refused)
        return describeOperations("one change was both acknowledged and refused", {*taken, *refused});
    }
    return {};
  }

  void makeSteps() {
    if (!isWeightsRegister)
      for (const auto& [changeId, attempts] : attemptsByChange()) addChange(attempts);
    std::set<std::uint64_t> refusedRevisions;
    for (std::size_t index = 0; index < operations.size(); ++index)
      if (operations[index].kind == OperationKind::nameWeights && isRefused(index))
        refusedRevisions.insert(operations[index].revision);
    for (std::size_t index = 0; index < operations.size(); ++index) {
      const auto& operation = operations[index];
      Step step;
      step.operation = index;
      step.began = operation.began;
      if (operation.kind == OperationKind::nameWeights) {
        step.isChange = true;
        step.requestedRevision = operation.revision;
        step.optional = operation.outcome != OperationOutcome::taken;
        if (!step.optional) step.ended = operation.ended.value_or(never);
        if (isRefused(index)) {
          if (operation.outcome == OperationOutcome::refusedInvalid) continue;
          step.isChange = step.optional = false;
          step.isRefusal = true;
          step.ended = operation.ended.value_or(never);
        } else if (refusedRevisions.count(operation.revision)) {
          continue;
        }
        steps.push_back(step);
      } else if (operation.kind != OperationKind::change && operation.outcome == OperationOutcome::seen) {
        step.ended = operation.ended.value_or(never);
        step.resultRevision = operation.resultRevision;
        step.digest = operation.resultDigest;
        step.core = coreNumbers.try_emplace(operation.through, coreNumbers.size()).first->second;
        steps.push_back(step);
      }
    }
  }

  bool isRefused(std::size_t index) const {
    return operations[index].outcome == OperationOutcome::refusedStale ||
           operations[index].outcome == OperationOutcome::refusedInvalid;
  }

  /// Adds the steps of one change, which was sent in these attempts: one for each refusal, and the change itself unless
  /// it was refused or is known to be invalid.
  void addChange(const std::vector<std::size_t>& attempts) {
    bool refused = false;
    Step change;
    change.isChange = change.optional = true;
    change.began = never;
    change.operation = attempts.front();
    change.base = operations[attempts.front()].base;
    change.requestedRevision = operations[attempts.front()].revision;
    for (std::size_t index : attempts) {
      const auto& operation = operations[index];
      change.began = std::min(change.began, operation.began);
      if (operation.outcome == OperationOutcome::taken) {
        change.optional = false;
        std::int64_t ended = operation.ended.value_or(never);
        if (ended < change.ended) change.operation = index;
        change.ended = std::min(change.ended, ended);
        change.resultRevision = std::max(change.resultRevision, operation.resultRevision);
      }
      if (!isRefused(index)) continue;
      refused = true;
      if (operation.outcome == OperationOutcome::refusedInvalid) continue;
      Step refusedAttempt;
      refusedAttempt.isRefusal = true;
      refusedAttempt.began = operation.began;
      refusedAttempt.ended = operation.ended.value_or(never);
      refusedAttempt.operation = index;
      refusedAttempt.base = operation.base;
      refusedAttempt.requestedRevision = operation.revision;
      steps.push_back(refusedAttempt);
    }
    if (!refused && operations[attempts.front()].valid.value_or(true)) steps.push_back(change);
  }

  /// Searches for an order of the operations that began by a time. Changes that had not ended by then are optional.
  SearchResult search(std::int64_t until, std::size_t maxSteps) {
    std::vector<Step> stepsUntil;
    for (auto step : steps) {
      if (step.began > until) continue;
      if (step.ended > until) {
        if (!step.isChange) continue;
        step.optional = true;
        step.ended = never;
      }
      stepsUntil.push_back(step);
    }
    return Search(operations, std::move(stepsUntil), items, isWeightsRegister, linearizableReads, maxSteps)
        .run(initial);
  }

  /// Counts the reads that returned an older revision than another read that ended before they began.
  std::size_t countNonMonotonicReads() const {
    std::vector<std::pair<std::int64_t, std::uint64_t>> ended;
    std::vector<const Step*> began;
    for (const auto& step : steps)
      if (step.isRead()) {
        ended.emplace_back(step.ended, step.resultRevision);
        began.push_back(&step);
      }
    std::sort(ended.begin(), ended.end());
    std::sort(began.begin(), began.end(), [](const Step* one, const Step* other) { return one->began < other->began; });
    std::size_t staleReads = 0, next = 0;
    std::uint64_t shown = 0;
    for (const auto* step : began) {
      for (; next < ended.size() && ended[next].first < step->began; ++next)
        shown = std::max(shown, ended[next].second);
      staleReads += step->resultRevision < shown;
    }
    return staleReads;
  }

  /// Finds by bisection the shortest beginning of the history that has no valid order, and explains the operation at
  /// its end with the operations around it. A part on which the search reaches its limit counts as valid.
  std::string explainFailure(std::size_t maxSteps) {
    std::vector<std::int64_t> ends;
    for (const auto& step : steps)
      if (!step.optional && step.ended != never) ends.push_back(step.ended);
    std::sort(ends.begin(), ends.end());
    std::size_t low = 0, high = ends.size() - 1;
    while (low < high) {
      std::size_t middle = (low + high) / 2;
      auto result = search(ends[middle], maxSteps);
      if (result.found || result.limitReached)
        low = middle + 1;
      else
        high = middle;
    }
    std::int64_t end = ends[high];
    auto failed = search(end, maxSteps);
    std::optional<Step> culprit;
    for (const auto& step : steps)
      if (step.ended == end && (!culprit || !step.isChange)) culprit = step;
    std::vector<std::size_t> rows{culprit->operation};
    for (std::size_t index = failed.order.size(); index-- > 0 && rows.size() < maxOrderLines;)
      rows.push_back(failed.order[index]);
    for (const auto& step : steps)
      if (step.isChange && step.began <= end && step.ended >= culprit->began) rows.push_back(step.operation);
    addNewestKnown(*culprit, rows);
    return describeOperations("no valid order contains: " + describeOperation(operations[culprit->operation]) + "; " +
                                  reasonFor(*culprit) +
                                  "; the longest valid order of the operations before it ends at revision " +
                                  std::to_string(failed.longestRevision),
                              rows);
  }

  /// Adds the operation that ended before the culprit began and showed the newest revision.
  void addNewestKnown(const Step& culprit, std::vector<std::size_t>& rows) const {
    const Step* newest = newestBefore(culprit);
    if (newest) rows.push_back(newest->operation);
  }
  const Step* newestBefore(const Step& culprit) const {
    const Step* newest = nullptr;
    for (const auto& step : steps) {
      if (step.isRefusal || step.ended >= culprit.began) continue;
      if (step.isRead() && !linearizableReads && culprit.isRead() && step.core != culprit.core) continue;
      if (!newest || shownRevision(step) > shownRevision(*newest)) newest = &step;
    }
    return newest;
  }
  /// The revision that a step shows to be current at its end.
  std::uint64_t shownRevision(const Step& step) const {
    return step.resultRevision ? step.resultRevision : step.requestedRevision;
  }

  std::string reasonFor(const Step& culprit) const {
    const Step* newest = newestBefore(culprit);
    std::uint64_t newestRevision = newest ? shownRevision(*newest) : 0;
    if (culprit.isRefusal)
      return culprit.base && *culprit.base >= newestRevision
                 ? "it was refused as stale while its base revision was current"
                 : "it was refused as stale, but in no possible state was it stale";
    if (culprit.isChange) {
      if (culprit.base && *culprit.base < newestRevision)
        return "it was accepted on a base revision that was no longer current";
      return "it was acknowledged, but could be applied to no possible state";
    }
    if (culprit.resultRevision < newestRevision)
      return "it is older than revision " + std::to_string(newestRevision) + ", known before it began";
    if (culprit.resultRevision == newestRevision) return "its items differ from those of that revision";
    return "no known operation can have produced that revision with these items by then";
  }
};

/// Whether an operation belongs to the register of a model's weights.
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
  RegisterItems after = change.replacesAll ? RegisterItems() : before;
  for (const auto& item : change.items) {
    auto old = after.find(item.name);
    auto value = itemAfter(old == after.end() ? std::nullopt : std::optional(old->second), item, change.replacesAll);
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
      if (operation.base) text += " with base revision " + std::to_string(*operation.base);
      if (operation.revision) text += " as revision " + std::to_string(operation.revision);
      break;
    case OperationKind::nameWeights:
      text += " announce weights " + operation.model + "/" + std::to_string(operation.revision);
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
      return text + ": outcome unknown";
    case OperationOutcome::taken:
      return text + ": acknowledged" +
             (operation.resultRevision ? " as revision " + std::to_string(operation.resultRevision) : "");
    case OperationOutcome::refusedStale:
      return text + ": refused as stale";
    case OperationOutcome::refusedInvalid:
      return text + ": refused as invalid";
    case OperationOutcome::seen:
      return text + ": revision " + std::to_string(operation.resultRevision);
  }
  return text;
}

HistoryCheckResult checkHistory(const History& history, std::size_t maxSteps) {
  std::vector<Operation> configuration;
  std::map<std::string, std::vector<Operation>> weightsByModel;
  HistoryCheckResult total;
  for (const auto& operation : history.operations) {
    ++total.operations;
    total.unclear += operation.outcome == OperationOutcome::unclear;
    (isWeights(operation) ? weightsByModel[operation.model] : configuration).push_back(operation);
  }
  auto add = [&](HistoryCheckResult part) {
    total.steps += part.steps;
    total.nonMonotonicReads += part.nonMonotonicReads;
    total.undecided = total.undecided || part.undecided;
    total.linearizable = total.linearizable && part.linearizable;
    if (part.explanation.empty()) return;
    total.explanation += (total.explanation.empty() ? "" : "\n") + part.explanation;
  };
  add(RegisterCheck(std::move(configuration), history, false).run(maxSteps));
  for (auto& [model, operations] : weightsByModel)
    add(RegisterCheck(std::move(operations), history, true).run(maxSteps));
  return total;
}

}  // namespace tt
