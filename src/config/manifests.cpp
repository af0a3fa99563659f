#include "manifests.hpp"

namespace tt {
namespace {

Result<void> checkKnownFields(const JsonObject& object, const std::set<std::string>& known, const std::string& path) {
  for (const auto& [name, value] : object)
    if (!known.count(name))
      return makeError(Code::unknownField, fieldPath(path, name), "this field of a manifest is not supported");
  return boost::outcome_v2::success();
}

Result<const JsonObject*> objectAt(const JsonObject& object, const std::string& name, const std::string& path) {
  auto found = object.find(name);
  if (found == object.end()) return makeError(Code::missingField, fieldPath(path, name));
  if (!found->second.is<JsonObject>()) return makeError(Code::badField, fieldPath(path, name), "must be an object");
  return &found->second.get<JsonObject>();
}

/// Returns the only element of a list, which must be an object.
Result<const JsonObject*> singleObject(const JsonObject& object, const std::string& name, const std::string& path) {
  auto found = object.find(name);
  if (found == object.end()) return makeError(Code::missingField, fieldPath(path, name));
  if (!found->second.is<JsonArray>() || found->second.get<JsonArray>().size() != 1 ||
      !found->second.get<JsonArray>().front().is<JsonObject>())
    return makeError(Code::badField, fieldPath(path, name), "must be a list of one object");
  return &found->second.get<JsonArray>().front().get<JsonObject>();
}

/// Adds the route that a manifest declares. `path` is the path of the manifest within the body; empty if the manifest
/// is the body.
Result<void> addRoute(const Json& manifest, const std::string& path, JsonObject& routes) {
  if (!manifest.is<JsonObject>()) return makeError(Code::badField, path.empty() ? "body" : path, "must be an object");
  const auto& fields = manifest.get<JsonObject>();
  if (auto known = checkKnownFields(fields, {"apiVersion", "kind", "metadata", "spec"}, path); !known)
    return known.error();
  if (stringOr(manifest, "apiVersion") != "gateway.networking.k8s.io/v1")
    return makeError(Code::badField, fieldPath(path, "apiVersion"), "must be gateway.networking.k8s.io/v1");
  if (stringOr(manifest, "kind") != "HTTPRoute")
    return makeError(Code::badField, fieldPath(path, "kind"), "only HTTPRoute is supported");
  auto metadata = objectAt(fields, "metadata", path);
  if (!metadata) return metadata.error();
  if (auto known = checkKnownFields(*metadata.value(), {"name", "annotations"}, fieldPath(path, "metadata")); !known)
    return known.error();
  auto name = stringField(*metadata.value(), "name", fieldPath(path, "metadata"));
  if (!name) return name.error();
  JsonObject route;
  if (metadata.value()->count("annotations")) {
    std::string annotationsPath = fieldPath(path, "metadata.annotations");
    auto annotations = objectAt(*metadata.value(), "annotations", fieldPath(path, "metadata"));
    if (!annotations) return annotations.error();
    if (auto known = checkKnownFields(*annotations.value(), {"trouttally/policy", "trouttally/kind"}, annotationsPath);
        !known)
      return known.error();
    for (const char* field : {"policy", "kind"}) {
      std::string annotation = std::string("trouttally/") + field;
      if (!annotations.value()->count(annotation)) continue;
      auto text = stringField(*annotations.value(), annotation, annotationsPath);
      if (!text) return text.error();
      route[field] = Json(text.value());
    }
  }
  auto spec = objectAt(fields, "spec", path);
  if (!spec) return spec.error();
  std::string specPath = fieldPath(path, "spec");
  if (auto known = checkKnownFields(*spec.value(), {"rules"}, specPath); !known) return known.error();
  auto rule = singleObject(*spec.value(), "rules", specPath);
  if (!rule) return rule.error();
  std::string rulePath = fieldPath(specPath, "rules[0]");
  if (auto known = checkKnownFields(*rule.value(), {"backendRefs"}, rulePath); !known) return known.error();
  auto backend = singleObject(*rule.value(), "backendRefs", rulePath);
  if (!backend) return backend.error();
  std::string backendPath = fieldPath(rulePath, "backendRefs[0]");
  if (auto known = checkKnownFields(*backend.value(), {"name"}, backendPath); !known) return known.error();
  auto model = stringField(*backend.value(), "name", backendPath);
  if (!model) return model.error();
  route["model"] = Json(model.value());
  if (!routes.emplace(name.value(), Json(route)).second)
    return makeError(Code::badField, fieldPath(path, "metadata.name"), "duplicate route: " + name.value());
  return boost::outcome_v2::success();
}

}  // namespace

Result<std::string> patchFromManifests(const std::string& text) {
  auto read = parseJson(text);
  if (!read) return read.error();
  JsonObject routes;
  if (stringOr(read.value(), "kind") == "List") {
    const auto& list = read.value().get<JsonObject>();
    if (auto known = checkKnownFields(list, {"apiVersion", "kind", "items"}, {}); !known) return known.error();
    auto items = list.find("items");
    if (items == list.end() || !items->second.is<JsonArray>()) return makeError(Code::missingField, "items");
    std::size_t at = 0;
    for (const auto& item : items->second.get<JsonArray>())
      if (auto added = addRoute(item, "items[" + std::to_string(at++) + "]", routes); !added) return added.error();
  } else if (auto added = addRoute(read.value(), {}, routes); !added) {
    return added.error();
  }
  JsonObject patch;
  patch["routes"] = Json(routes);
  return Json(patch).serialize();
}

}  // namespace tt
