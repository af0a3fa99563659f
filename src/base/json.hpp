#pragma once
#include <picojson.h>

#include "base.hpp"

namespace tt {

using Json = picojson::value;
using JsonObject = picojson::object;
using JsonArray = picojson::array;

/// Reads a whole JSON text; a fault says where it is malformed.
Result<Json> parseJson(std::string_view text);
/// Reads a JSON text that must be one object with known fields only.
Result<JsonObject> parseObject(std::string_view text, const std::set<std::string>& knownFields);
/// Merges a patch into a value as RFC 7396 says.
void mergePatch(Json& target, const Json& patch);

Result<std::string> stringField(const JsonObject& object, const std::string& name, const std::string& path = {});
Result<std::int64_t> integerField(const JsonObject& object, const std::string& name, std::int64_t fallback,
                                  std::int64_t least, std::int64_t most, const std::string& path = {});
Result<bool> boolField(const JsonObject& object, const std::string& name, bool fallback, const std::string& path = {});
Result<std::vector<std::string>> stringListField(const JsonObject& object, const std::string& name,
                                                 const std::string& path = {});
inline Json jsonString(const std::string& text) { return Json(text); }
inline Json jsonNumber(double number) { return Json(number); }
inline std::string fieldPath(const std::string& path, const std::string& name) {
  return path.empty() ? name : path + "." + name;
}
/// An object's text member, or the empty text.
std::string stringOr(const Json& object, const std::string& name, const std::string& fallback = {});
std::int64_t integerOr(const Json& object, const std::string& name, std::int64_t fallback);
bool boolOr(const Json& object, const std::string& name, bool fallback);

}  // namespace tt
