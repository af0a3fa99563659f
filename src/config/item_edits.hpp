#pragma once
#include "json.hpp"

namespace tt {

/// Replaces edits by complete items as they will be after the change. Edits have the same meaning whatever revision of
/// the configuration they are applied to:
///
/// - `at` is the position of an item in the sections `routes`, `services` and `tenants`. In an edit it only determines
///   the order of new items among themselves: they follow all present items, and present items keep their position.
/// - An item of the section `extra` is an object that contains edits of the present item:
///   `{"set": {MEMBER: VALUE}, "drop": [MEMBER], "upsert": {MEMBER: {"by": FIELD, "rows": [...]}},
///   "remove": {MEMBER: {"by": FIELD, "keys": [...]}}}`. They are applied in the order drop, set, upsert, remove.
///   `upsert` writes rows to a list: each replaces the row with the same FIELD, or is appended if there is none.
///   `remove` removes the rows whose FIELD is one of the keys, and does nothing if there is no such list.
Result<void> resolveEdits(JsonObject& change, const std::map<std::string, JsonObject>& sections);

}  // namespace tt
