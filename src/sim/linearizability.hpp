#pragma once
#include "json.hpp"

namespace tt {

/// The operations that operators' clients invoke on a register. There is one register for the configuration and one for
/// each model's weights; `nameWeights` announces new weights for a model.
enum class OperationKind : int { change = 0, nameWeights = 1, readConfiguration = 2, readWeights = 3 };
/// The outcome of an operation as its client saw it. `unclear`: no definite response; the operation may take effect at
/// any time after its start, or never. `taken`: acknowledged. `refusedStale`: refused because its condition on the
/// current revision was not met, or because newer weights were announced. `seen`: a read that returned.
enum class OperationOutcome : int { unclear = 0, taken = 1, refusedStale = 2, refusedInvalid = 3, seen = 4 };

/// An item that a change sets or, if it has no value, removes. Values are serialized JSON.
struct ItemChange {
  std::string name;
  std::optional<std::string> value;
};
/// The values of the configuration's items by name, as serialized JSON.
using RegisterItems = std::map<std::string, std::string>;

/// One attempt of one client. A change that is sent again is another operation with the same change id. The times of
/// all operations are nanoseconds of one clock.
struct Operation {
  /// `through`: name or address of the core that the client sent the operation to.
  std::string client, through;
  OperationKind kind{OperationKind::change};
  std::int64_t began{0};
  std::optional<std::int64_t> ended;
  /// Identifies a change across its attempts.
  std::string changeId;
  /// The revision that must be current for the change to be applied; without it, any revision.
  std::optional<std::uint64_t> base;
  /// The requested revision of a change, or the number of the announced weights. 0 requests the revision that follows
  /// the current one.
  std::uint64_t revision{0};
  /// Whether a change replaces all items. Otherwise it is merged into the items that it names (JSON merge patch, RFC
  /// 7396).
  bool replacesAll{false};
  std::vector<ItemChange> items;
  /// Whether the client knows that the change is valid in every state (true) or in none (false).
  std::optional<bool> valid;
  /// The model whose weights are announced or read.
  std::string model;
  OperationOutcome outcome{OperationOutcome::unclear};
  /// The revision and the digest of the items that the response contained. The revision is 0 if an acknowledgement
  /// contained none.
  std::uint64_t resultRevision{0};
  std::optional<std::uint64_t> resultDigest;
};

/// The operations of all clients, and the state before the first of them.
struct History {
  std::uint64_t initialRevision{0};
  RegisterItems initialItems;
  std::vector<Operation> operations;
  /// Whether a read must reflect all that other reads and refusals had shown before it began. If not, a read must
  /// reflect the changes that were acknowledged before it began and what earlier reads through the same core had shown,
  /// but it may miss a change that is not yet acknowledged although a read through another core has already shown it.
  bool linearizableReads{true};
};

/// The result of a check. A check that reaches its step limit is undecided.
struct HistoryCheckResult {
  bool linearizable{true}, undecided{false};
  /// If a check fails: a line with the reason, then the operations for which no valid order exists, one per line.
  std::string explanation;
  /// Number of operations, of those with the outcome `unclear`, and of states that the search visited.
  std::size_t operations{0}, unclear{0}, steps{0};
  /// Number of reads that returned an older revision than another read had returned before they began.
  std::size_t nonMonotonicReads{0};
};

/// Default limit of the states that the search for an order may visit.
constexpr std::size_t defaultMaxSteps = 400'000;

/// Checks whether the history is linearizable: whether there is an order of the operations that respects real time and
/// in which a register with compare-and-set would have given the same responses. The configuration and the weights of
/// each model are separate registers.
HistoryCheckResult checkHistory(const History& history, std::size_t maxSteps = defaultMaxSteps);
/// Returns the digest that a read of these items reports. It does not depend on the order of the items.
std::uint64_t contentDigest(const RegisterItems& items);
/// Returns the items after a change.
RegisterItems itemsAfter(const RegisterItems& before, const Operation& change);
/// Describes an operation in one line of text.
std::string describeOperation(const Operation& operation);

}  // namespace tt
