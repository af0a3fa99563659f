#pragma once
#include <picojson.h>

#include "base.hpp"

namespace tt {

using Json = picojson::value;
using JsonObject = picojson::object;
using JsonArray = picojson::array;

/// Parses a text that consists of one JSON value. The error of a malformed text says where it is malformed.
Result<Json> parseJson(std::string_view text);
/// Parses a text that must be a JSON object with no fields but the known ones.
Result<JsonObject> parseObject(std::string_view text, const std::set<std::string>& knownFields);
/// Applies a JSON merge patch (RFC 7396).
void mergePatch(Json& target, const Json& patch);

/// These read a field of an object that a client has sent. A value of another type gives badField. A missing field
/// gives the fallback, or missingField if there is no fallback. `path` is the path of the object within the body;
/// errors name the field by its path.
Result<std::string> stringField(const JsonObject& object, const std::string& name, const std::string& path = {});
/// A number with a fraction or outside [min, max] gives badField, too.
Result<std::int64_t> integerField(const JsonObject& object, const std::string& name, std::int64_t fallback,
                                  std::int64_t min, std::int64_t max, const std::string& path = {});
Result<bool> boolField(const JsonObject& object, const std::string& name, bool fallback, const std::string& path = {});
Result<std::vector<std::string>> stringListField(const JsonObject& object, const std::string& name,
                                                 const std::string& path = {});
inline Json jsonString(const std::string& text) { return Json(text); }
inline Json jsonNumber(double number) { return Json(number); }
/// The path of a field in an object, such as "routes.chat.model"; the name alone if the path is empty.
inline std::string fieldPath(const std::string& path, const std::string& name) {
  return path.empty() ? name : path + "." + name;
}
/// These read a field of a value that was checked before or comes from a peer. They return the fallback if the value is
/// not an object, the field is missing or has another type, or the absolute value of the number is 9e15 or more (just
/// below 2^53, up to which doubles represent every integer). Fractions are dropped.
std::string stringOr(const Json& object, const std::string& name, const std::string& fallback = {});
std::int64_t integerOr(const Json& object, const std::string& name, std::int64_t fallback);
bool boolOr(const Json& object, const std::string& name, bool fallback);

}  // namespace tt
