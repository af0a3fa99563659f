#include "item_edits.hpp"

#include <algorithm>
#include <limits>

namespace tt {
namespace {
constexpr const char* editedSection = "extra";
const std::set<std::string> orderedSections{"routes", "services", "tenants"};
const std::set<std::string> editNames{"set", "drop", "upsert", "remove"};

/// Returns a member that is an object; null if it is missing or of another type.
const JsonObject* objectAt(const JsonObject& object, const std::string& name) {
  auto found = object.find(name);
  return found == object.end() || !found->second.is<JsonObject>() ? nullptr : &found->second.get<JsonObject>();
}

/// Returns the first position after all present items.
double nextPosition(const JsonObject& items) {
  double position = 0;
  for (const auto& [name, item] : items)
    position = std::max(position, static_cast<double>(integerOr(item, "at", -1)) + 1);
  return position;
}

/// Gives new items positions after all present ones, and present items their old position. Among the new items, those
/// without a position come last, in the order of their names.
void assignPositions(JsonObject& change, const JsonObject& present) {
  std::vector<std::pair<std::int64_t, std::string>> added;
  for (auto& [name, item] : change) {
    if (!item.is<JsonObject>()) continue;
    auto& fields = item.get<JsonObject>();
    const auto* old = objectAt(present, name);
    if (!old) {
      added.emplace_back(integerOr(item, "at", std::numeric_limits<std::int64_t>::max()), name);
      continue;
    }
    fields.erase("at");
    if (auto position = old->find("at"); position != old->end()) fields["at"] = position->second;
  }
  std::sort(added.begin(), added.end());
  double position = nextPosition(present);
  for (const auto& row : added) change[row.second].get<JsonObject>()["at"] = Json(position++);
}

/// Checks the shape of one edit of a list and returns the name of the field that identifies rows.
Result<std::string> identifyingField(const Json& edit, const std::string& rowsName, const std::string& path) {
  if (!edit.is<JsonObject>()) return makeError(Code::badField, path, "must be an object");
  const auto& fields = edit.get<JsonObject>();
  auto rows = fields.find(rowsName);
  if (rows == fields.end() || !rows->second.is<JsonArray>())
    return makeError(Code::badField, path + "." + rowsName, "must be a list");
  return stringField(fields, "by", path);
}

/// Replaces the rows that have the same value of the identifying field, and appends all others, including rows without
/// that field.
void upsertRows(Json& list, const std::string& field, const JsonArray& rows) {
  if (!list.is<JsonArray>()) list = Json(JsonArray());
  auto& target = list.get<JsonArray>();
  for (const auto& row : rows) {
    auto key = stringOr(row, field);
    auto same = std::find_if(target.begin(), target.end(),
                             [&](const Json& old) { return !key.empty() && stringOr(old, field) == key; });
    if (same == target.end())
      target.push_back(row);
    else
      *same = row;
  }
}

void removeRows(Json& list, const std::string& field, const JsonArray& keys) {
  if (!list.is<JsonArray>()) return;
  auto& target = list.get<JsonArray>();
  for (const auto& key : keys)
    target.erase(std::remove_if(target.begin(), target.end(),
                                [&](const Json& row) {
                                  return key.is<std::string>() && stringOr(row, field) == key.get<std::string>();
                                }),
                 target.end());
}

Result<void> editRows(JsonObject& item, const JsonObject& edits, const std::string& path) {
  if (const auto* upserts = objectAt(edits, "upsert"))
    for (const auto& [member, edit] : *upserts) {
      auto field = identifyingField(edit, "rows", path + ".upsert." + member);
      if (!field) return field.error();
      upsertRows(item[member], field.value(), edit.get("rows").get<JsonArray>());
    }
  if (const auto* removals = objectAt(edits, "remove"))
    for (const auto& [member, edit] : *removals) {
      auto field = identifyingField(edit, "keys", path + ".remove." + member);
      if (!field) return field.error();
      if (auto list = item.find(member); list != item.end())
        removeRows(list->second, field.value(), edit.get("keys").get<JsonArray>());
    }
  return boost::outcome_v2::success();
}

Result<void> editItem(JsonObject& item, const JsonObject& edits, const std::string& path) {
  for (const auto& [name, edit] : edits) {
    if (!editNames.count(name)) return makeError(Code::unknownField, path + "." + name);
    bool wellFormed = name == "drop" ? edit.is<JsonArray>() : edit.is<JsonObject>();
    if (!wellFormed) return makeError(Code::badField, path + "." + name);
  }
  if (auto dropped = edits.find("drop"); dropped != edits.end())
    for (const auto& member : dropped->second.get<JsonArray>()) item.erase(member.to_str());
  if (const auto* members = objectAt(edits, "set"))
    for (const auto& [member, value] : *members) item[member] = value;
  return editRows(item, edits, path);
}

/// Replaces the edits of each item by the edited item. If this leaves a new item empty, the edits are removed instead.
Result<void> editItems(JsonObject& change, const JsonObject& present) {
  for (auto row = change.begin(); row != change.end();) {
    auto& [name, edits] = *row;
    std::string path = std::string(editedSection) + "." + name;
    if (edits.is<picojson::null>()) {
      ++row;
      continue;
    }
    if (!edits.is<JsonObject>()) return makeError(Code::badField, path, "must be an object");
    const auto* old = objectAt(present, name);
    JsonObject item = old ? *old : JsonObject();
    if (auto edited = editItem(item, edits.get<JsonObject>(), path); !edited) return edited.error();
    if (!old && item.empty()) {
      row = change.erase(row);
      continue;
    }
    edits = Json(item);
    ++row;
  }
  return boost::outcome_v2::success();
}
}  // namespace

Result<void> resolveEdits(JsonObject& change, const std::map<std::string, JsonObject>& sections) {
  static const JsonObject noItems;
  for (auto& [sectionName, content] : change) {
    if (!content.is<JsonObject>()) continue;
    auto found = sections.find(sectionName);
    const auto& present = found == sections.end() ? noItems : found->second;
    if (orderedSections.count(sectionName)) assignPositions(content.get<JsonObject>(), present);
    if (sectionName != editedSection) continue;
    if (auto edited = editItems(content.get<JsonObject>(), present); !edited) return edited.error();
  }
  return boost::outcome_v2::success();
}

}  // namespace tt
