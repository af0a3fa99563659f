#include "json.hpp"

#include <cmath>

namespace tt {
namespace {
const Json* findMember(const JsonObject& object, const std::string& name) {
  auto found = object.find(name);
  return found == object.end() ? nullptr : &found->second;
}
}  // namespace

Result<Json> parseJson(std::string_view text) {
  Json value;
  std::string problem;
  const char* start = text.data();
  try {
    const char* end = picojson::parse(value, start, start + text.size(), &problem);
    if (!problem.empty()) {
      while (!problem.empty() && problem.back() == '\n') problem.pop_back();
      return makeError(Code::badJson, "body", problem);
    }
    for (; end < start + text.size(); ++end)
      if (!std::isspace(static_cast<unsigned char>(*end)))
        return makeError(Code::badJson, "body", "unexpected text after the value");
  } catch (const std::exception& exception) {
    return makeError(Code::badJson, "body", exception.what());
  }
  return value;
}

Result<JsonObject> parseObject(std::string_view text, const std::set<std::string>& knownFields) {
  auto value = parseJson(text);
  if (!value) return value.error();
  if (!value.value().is<JsonObject>()) return makeError(Code::badField, "body", "must be an object");
  auto object = value.value().get<JsonObject>();
  for (const auto& [name, ignored] : object)
    if (!knownFields.count(name)) return makeError(Code::unknownField, name);
  return object;
}

void mergePatch(Json& target, const Json& patch) {
  if (!patch.is<JsonObject>()) {
    target = patch;
    return;
  }
  if (!target.is<JsonObject>()) target = Json(JsonObject());
  auto& object = target.get<JsonObject>();
  for (const auto& [name, value] : patch.get<JsonObject>()) {
    if (value.is<picojson::null>())
      object.erase(name);
    else
      mergePatch(object[name], value);
  }
}

Result<std::string> stringField(const JsonObject& object, const std::string& name, const std::string& path) {
  auto* value = findMember(object, name);
  if (!value) return makeError(Code::missingField, fieldPath(path, name));
  if (!value->is<std::string>()) return makeError(Code::badField, fieldPath(path, name), "must be a string");
  return value->get<std::string>();
}

Result<std::int64_t> integerField(const JsonObject& object, const std::string& name, std::int64_t fallback,
                                  std::int64_t min, std::int64_t max, const std::string& path) {
  auto* value = findMember(object, name);
  if (!value) return fallback;
  if (!value->is<double>() || std::floor(value->get<double>()) != value->get<double>())
    return makeError(Code::badField, fieldPath(path, name), "must be an integer");
  double number = value->get<double>();
  if (number < static_cast<double>(min) || number > static_cast<double>(max))
    return makeError(Code::badField, fieldPath(path, name),
                     "must be from " + std::to_string(min) + " to " + std::to_string(max));
  return static_cast<std::int64_t>(number);
}

Result<bool> boolField(const JsonObject& object, const std::string& name, bool fallback, const std::string& path) {
  auto* value = findMember(object, name);
  if (!value) return fallback;
  if (!value->is<bool>()) return makeError(Code::badField, fieldPath(path, name), "must be true or false");
  return value->get<bool>();
}

Result<std::vector<std::string>> stringListField(const JsonObject& object, const std::string& name,
                                                 const std::string& path) {
  auto* value = findMember(object, name);
  if (!value) return makeError(Code::missingField, fieldPath(path, name));
  if (!value->is<JsonArray>()) return makeError(Code::badField, fieldPath(path, name), "must be a list of strings");
  std::vector<std::string> strings;
  for (const auto& item : value->get<JsonArray>()) {
    if (!item.is<std::string>())
      return makeError(Code::badField, fieldPath(path, name) + "[" + std::to_string(strings.size()) + "]",
                       "must be a string");
    strings.push_back(item.get<std::string>());
  }
  return strings;
}

std::string stringOr(const Json& object, const std::string& name, const std::string& fallback) {
  if (!object.is<JsonObject>()) return fallback;
  auto* value = findMember(object.get<JsonObject>(), name);
  return value && value->is<std::string>() ? value->get<std::string>() : fallback;
}
std::int64_t integerOr(const Json& object, const std::string& name, std::int64_t fallback) {
  if (!object.is<JsonObject>()) return fallback;
  auto* value = findMember(object.get<JsonObject>(), name);
  if (!value || !value->is<double>()) return fallback;
  double number = value->get<double>();
  return std::abs(number) < 9e15 ? static_cast<std::int64_t>(number) : fallback;
}
bool boolOr(const Json& object, const std::string& name, bool fallback) {
  if (!object.is<JsonObject>()) return fallback;
  auto* value = findMember(object.get<JsonObject>(), name);
  return value && value->is<bool>() ? value->get<bool>() : fallback;
}

}  // namespace tt
