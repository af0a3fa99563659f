#pragma once
#include "item_edits.hpp"
#include "messages.hpp"

namespace tt {

/// The content of a configuration: the items of each section, by the section's name.
using Sections = std::map<std::string, JsonObject>;

/// Whether the items of a section may have any fields. Their readers must accept invalid values.
bool isFreeSection(const std::string& section);

/// Checks that an operator's patch consists of known sections, and of items of the right type with known fields, and
/// normalizes it in place: secrets of keys are replaced by their hashes, and null in place of a section is replaced by
/// a removal of each of its items. With `complete` the patch is a complete configuration, which must not contain null.
Result<void> normalizeShape(JsonObject& patch, const Sections& sections, bool complete);

/// Turns a complete configuration into the merge patch that leads to it from the present one. Returns the present
/// sections that it does not declare.
Strings reduceCompleteConfig(JsonObject& patch, const Sections& sections);

/// Turns complete items into the merge patch that leads to them from the present ones. With removeUnnamed, present
/// items that are absent from the patch are removed if the patch contains their section.
void reduceItems(JsonObject& patch, const Sections& sections, bool removeUnnamed);

}  // namespace tt
