#pragma once
#include "json.hpp"

namespace tt {

/// Turns edits into complete items as they will be after the change, in place. Edits do not depend on the version of
/// the configuration that their author saw:
///
/// - `at` is the position of an item in the sections `routes`, `services` and `tenants`. In an edit it only orders the
/// new
///   items among themselves: they follow all present items, and a present item keeps its position.
/// - An item of the section `extra` is an object of edits of the present item:
///   `{"set": {MEMBER: VALUE}, "drop": [MEMBER], "upsert": {MEMBER: {"by": FIELD, "rows": [...]}},
///   "remove": {MEMBER: {"by": FIELD, "keys": [...]}}}`. They are applied in the order drop, set, upsert, remove.
///   `upsert` puts rows into a list: each replaces the row with the same FIELD, or is appended if there is none.
///   `remove` removes the rows whose FIELD is one of the keys; it creates no list.
Result<void> resolveEdits(JsonObject& change, const std::map<std::string, JsonObject>& sections);

}  // namespace tt
