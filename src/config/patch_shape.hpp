#pragma once
#include "item_edits.hpp"

namespace tt {

/// The content of a configuration: the items of each section, by the section's name.
using Sections = std::map<std::string, JsonObject>;

/// Whether a section accepts items with any fields. Their readers must cope with unusable values.
bool isFreeSection(const std::string& section);

/// Checks that an operator's patch consists of known sections, and of items with known fields and of the right type,
/// and normalizes it in place: secrets of keys are replaced by their hashes, and a section that is null by a removal of
/// each of its items. With `whole` the patch is a complete configuration, which may hold no null.
Result<void> normalizeShape(JsonObject& patch, const Sections& sections, bool complete);

/// Turns a complete configuration into the merge patch that leads to it from the present one.
void reduceWhole(JsonObject& patch, const Sections& sections);

/// Turns complete items into the merge patch that leads to them from the present ones. With removeUnnamed, the present
/// items that a touched section of the patch does not name are removed.
void reduceItems(JsonObject& patch, const Sections& sections, bool removeUnnamed);

}  // namespace tt
