#pragma once
#include "json.hpp"

namespace tt {

/// Turns edits, which say nothing of the version that they build on, into whole items as they stand after it.
///
/// - An item's `at` only orders the items that are new: they come after all that are there, and an item that is there
///   keeps its place.
/// - An item of the section `extra` is an object of edits of the one that is there:
///   `{"set": {MEMBER: VALUE}, "drop": [MEMBER], "upsert": {MEMBER: {"by": FIELD, "rows": [...]}},
///   "remove": {MEMBER: {"by": FIELD, "keys": [...]}}}`. `upsert` puts rows into a list, each in the place of the one
///   whose FIELD is the same, else at the end; `remove` takes out the rows whose FIELD is among the keys, and makes no
///   list where there is none.
Result<void> resolveEdits(JsonObject& asked, const std::map<std::string, JsonObject>& sections);

}  // namespace tt
