#pragma once
#include "item_edits.hpp"

namespace tt {

/// The configuration's content: the items of each section, by the section's name.
using Sections = std::map<std::string, JsonObject>;

/// Whether a section's items are checked field by field where the logic reads them, and not when they are declared.
bool isFreeSection(const std::string& section);

/// Checks that an operator's patch has only known sections, items and fields of the right shape, whatever the
/// configuration holds. Secrets of keys are replaced by their hashes, and a section that is null by a removal of each
/// of its items. A whole configuration may hold no null.
Result<void> normalizeShape(JsonObject& patch, const Sections& sections, bool whole);

/// Reduces a whole configuration to the merge patch that makes the present one into it.
void reduceWhole(JsonObject& patch, const Sections& sections);

/// Reduces whole items to what differs from the present ones; items that the patch doesn't name are removed on request.
void reduceItems(JsonObject& patch, const Sections& sections, bool removeUnnamed);

}  // namespace tt
