#include "configuration.hpp"

#include <algorithm>
#include <limits>

#include "item_edits.hpp"

namespace tt {
namespace {
const std::set<std::string> sectionNames{"models",   "weights",  "tenants", "keys", "routes",
                                         "policies", "services", "limits",  "extra"};
/// Sections whose items hold what a translator gave, checked by field here where the logic reads them.
const std::set<std::string> freeSections{"limits", "extra"};
const std::map<std::string, std::set<std::string>> itemFields{
    {"models", {"weights"}},
    {"weights", {"model", "number"}},
    {"tenants", {"isolated", "at", "secrets", "priority", "extra"}},
    {"keys", {"tenant", "hash", "secret"}},
    {"routes",
     {"model", "kind", "tenants", "policy", "at", "host", "prefix", "repeat", "timeoutMs", "aimMs", "priority", "tries",
      "gapMs", "open", "sticky", "resumable", "service", "split", "extra"}},
    {"services",
     {"at", "healthPath", "connections", "protocol", "tls", "engine", "storeAddress", "locality", "tokens", "linkMbps",
      "reports", "extra"}},
};
constexpr std::size_t changesRemembered = 4096;
constexpr std::size_t refusalsRemembered = 1024;
constexpr std::size_t longestName = 128;

/// The merge patch that makes one value into another; nothing if they are the same.
std::optional<Json> differenceOf(const Json& old, const Json& wanted) {
  if (old == wanted) return std::nullopt;
  if (!old.is<JsonObject>() || !wanted.is<JsonObject>()) return wanted;
  JsonObject rows;
  for (const auto& [name, value] : wanted.get<JsonObject>()) {
    const auto& known = old.get<JsonObject>();
    auto found = known.find(name);
    if (found == known.end()) {
      rows[name] = value;
    } else if (auto difference = differenceOf(found->second, value)) {
      rows[name] = *difference;
    }
  }
  for (const auto& [name, value] : old.get<JsonObject>())
    if (!wanted.get<JsonObject>().count(name)) rows[name] = Json();
  return Json(rows);
}

std::string wholePrefix(const std::string& prefix) {
  return prefix.empty() || prefix.back() == '/' ? prefix : prefix + "/";
}

/// A span in milliseconds; no clock reaches further than the most.
Span spanOr(const Json& item, const std::string& name, std::int64_t fallbackMs) {
  constexpr std::int64_t mostMs = 1000000000000;
  return std::chrono::milliseconds(std::clamp(numberOr(item, name, fallbackMs), -mostMs, mostMs));
}
std::size_t bytesOr(const Json& item, const std::string& name, std::int64_t fallback) {
  return static_cast<std::size_t>(std::max<std::int64_t>(0, numberOr(item, name, fallback)));
}
int intOr(const Json& item, const std::string& name, int fallback) {
  constexpr std::int64_t least = std::numeric_limits<int>::min(), most = std::numeric_limits<int>::max();
  return static_cast<int>(std::clamp(numberOr(item, name, fallback), least, most));
}

RouteView readRoute(const std::string& name, const Json& item) {
  RouteView route;
  route.name = name;
  route.model = textOr(item, "model");
  route.app = textOr(item, "kind") == "app";
  route.policy = textOr(item, "policy");
  route.host = textOr(item, "host");
  route.prefix = wholePrefix(textOr(item, "prefix"));
  const auto& fields = item.get<JsonObject>();
  if (auto tenants = fields.find("tenants"); tenants != fields.end() && tenants->second.is<JsonArray>())
    for (const auto& tenant : tenants->second.get<JsonArray>()) route.tenants.insert(tenant.to_str());
  if (auto service = textOr(item, "service"); !service.empty()) route.split.emplace_back(service, 1);
  if (auto split = fields.find("split"); split != fields.end() && split->second.is<JsonArray>())
    for (const auto& row : split->second.get<JsonArray>())
      route.split.emplace_back(textOr(row, "service"), static_cast<double>(numberOr(row, "weight", 0)));
  std::string repeat = textOr(item, "repeat");
  route.repeat = repeat == "safe" ? Repeat::safe : repeat == "stream" ? Repeat::stream : Repeat::once;
  route.timeout = spanOr(item, "timeoutMs", 0);
  route.aim = spanOr(item, "aimMs", 0);
  route.gap = spanOr(item, "gapMs", 0);
  route.tries = intOr(item, "tries", 0);
  route.priority = intOr(item, "priority", 5);
  route.open = flagOr(item, "open", false);
  route.resumable = flagOr(item, "resumable", false);
  return route;
}
}  // namespace

Result<std::string> Configuration::preparePatch(const std::string& text, Manner manner) const {
  bool whole = manner == Manner::whole;
  auto read = readJson(text);
  if (!read) return read.error();
  if (!read.value().is<JsonObject>()) return fault(Code::badField, "body", "must be an object");
  JsonObject asked = read.value().get<JsonObject>();
  if (manner == Manner::edits)
    if (auto resolved = resolveEdits(asked, sections); !resolved) return resolved.error();
  for (auto& [sectionName, content] : asked) {
    if (!sectionNames.count(sectionName)) return fault(Code::unknownField, sectionName);
    if (!whole && content.is<picojson::null>()) {
      JsonObject nothing;
      if (auto found = sections.find(sectionName); found != sections.end())
        for (const auto& [name, item] : found->second) nothing[name] = Json();
      content = Json(nothing);
    }
    if (!content.is<JsonObject>()) return fault(Code::badField, sectionName, "must be an object");
    for (auto& [name, item] : content.get<JsonObject>()) {
      std::string path = sectionName + "." + name;
      if (name.empty() || name.size() > longestName) return fault(Code::badField, path, "names have 1 to 128 letters");
      if (item.is<picojson::null>()) {
        if (whole) return fault(Code::badField, path, "a whole blueprint has no null");
        continue;
      }
      if (sectionName == "policies") {
        if (!item.is<std::string>()) return fault(Code::badField, path, "must be a text");
        continue;
      }
      if (!item.is<JsonObject>()) return fault(Code::badField, path, "must be an object");
      if (freeSections.count(sectionName)) continue;
      auto& fields = item.get<JsonObject>();
      for (const auto& [fieldName, value] : fields)
        if (!itemFields.at(sectionName).count(fieldName)) return fault(Code::unknownField, path + "." + fieldName);
      if (sectionName == "keys" && fields.count("secret")) {
        if (fields.count("hash")) return fault(Code::badField, path + ".hash", "not beside a secret");
        auto secret = textField(fields, "secret", path);
        if (!secret) return secret.error();
        if (secret.value().size() < 8) return fault(Code::badField, path + ".secret", "must have 8 letters or more");
        fields["hash"] = Json(sha256Hex(secret.value()));
        fields.erase("secret");
      }
    }
  }
  if (whole) {
    for (const auto& [sectionName, items] : sections)
      for (const auto& [name, item] : items) {
        auto& content = asked[sectionName];
        if (!content.is<JsonObject>()) content = Json(JsonObject());
        auto& wanted = content.get<JsonObject>();
        auto found = wanted.find(name);
        if (found == wanted.end()) {
          wanted[name] = Json();
        } else if (found->second == item) {
          wanted.erase(found);
        } else if (item.is<JsonObject>() && found->second.is<JsonObject>()) {
          for (const auto& [fieldName, value] : item.get<JsonObject>())
            if (!found->second.get<JsonObject>().count(fieldName)) found->second.get<JsonObject>()[fieldName] = Json();
        }
      }
  }
  if (manner == Manner::sections || manner == Manner::items || manner == Manner::edits) {
    for (auto& [sectionName, content] : asked) {
      auto& wanted = content.get<JsonObject>();
      auto known = sections.find(sectionName);
      if (known == sections.end()) continue;
      for (const auto& [name, item] : known->second) {
        auto found = wanted.find(name);
        if (found == wanted.end()) {
          if (manner == Manner::sections) wanted[name] = Json();
        } else if (!found->second.is<picojson::null>()) {
          if (auto difference = differenceOf(item, found->second))
            found->second = *difference;
          else
            wanted.erase(found);
        }
      }
    }
  }

  std::map<std::string, std::map<std::string, std::optional<Json>>> overlay;
  for (const auto& [sectionName, content] : asked)
    for (const auto& [name, item] : content.get<JsonObject>()) {
      if (item.is<picojson::null>()) {
        overlay[sectionName][name] = std::nullopt;
        continue;
      }
      Json merged;
      auto found = sections.find(sectionName);
      if (found != sections.end())
        if (auto old = found->second.find(name); old != found->second.end()) merged = old->second;
      mergePatch(merged, item);
      overlay[sectionName][name] = merged;
    }
  auto find = [&](const std::string& sectionName, const std::string& name) -> const Json* {
    if (auto changed = overlay.find(sectionName); changed != overlay.end())
      if (auto item = changed->second.find(name); item != changed->second.end())
        return item->second ? &*item->second : nullptr;
    auto found = sections.find(sectionName);
    if (found == sections.end()) return nullptr;
    auto item = found->second.find(name);
    return item == found->second.end() ? nullptr : &item->second;
  };
  std::map<std::string, std::string> secretOwners, hashOwners;
  std::map<std::pair<std::string, std::string>, std::string> prefixOwners;
  auto untouched = [&](const std::string& sectionName, const auto& action) {
    auto found = sections.find(sectionName);
    auto changed = overlay.find(sectionName);
    if (found == sections.end() || changed == overlay.end()) return;
    for (const auto& [name, item] : found->second)
      if (!changed->second.count(name)) action(name, item);
  };
  untouched("tenants", [&](const std::string& name, const Json& item) {
    const auto& fields = item.get<JsonObject>();
    auto secrets = fields.find("secrets");
    if (secrets == fields.end() || !secrets->second.is<JsonArray>()) return;
    for (const auto& secret : secrets->second.get<JsonArray>()) secretOwners[secret.to_str()] = name;
  });
  untouched("routes", [&](const std::string& name, const Json& item) {
    if (auto prefix = textOr(item, "prefix"); !prefix.empty())
      prefixOwners[{textOr(item, "host"), wholePrefix(prefix)}] = name;
  });
  auto checkItem = [&](const std::string& sectionName, const std::string& name, const Json& item) -> Result<void> {
    std::string path = sectionName + "." + name;
    if (sectionName == "policies") {
      auto policy = Policy::read(item.get<std::string>());
      if (!policy) return fault(Code::badField, path, policy.error().subject + ": " + policy.error().text);
      return boost::outcome_v2::success();
    }
    if (freeSections.count(sectionName)) return boost::outcome_v2::success();
    const auto& fields = item.get<JsonObject>();
    if (sectionName == "models") {
      auto weights = textField(fields, "weights", path);
      if (!weights) return weights.error();
      auto* version = find("weights", weights.value());
      if (!version) return fault(Code::blueprintBad, path + ".weights", "no such weights: " + weights.value());
      if (textOr(*version, "model") != name)
        return fault(Code::blueprintBad, path + ".weights", "these weights belong to another model");
    } else if (sectionName == "weights") {
      auto model = textField(fields, "model", path);
      if (!model) return model.error();
      auto number = numberField(fields, "number", 0, 0, std::int64_t(1) << 53, path);
      if (!number) return number.error();
    } else if (sectionName == "tenants") {
      auto isolated = flagField(fields, "isolated", false, path);
      if (!isolated) return isolated.error();
      if (fields.count("secrets")) {
        auto secrets = textsField(fields, "secrets", path);
        if (!secrets) return secrets.error();
        for (const auto& secret : secrets.value()) {
          if (secret.empty()) return fault(Code::badField, path + ".secrets", "a key is empty");
          auto owner = secretOwners.emplace(secret, name).first->second;
          if (owner != name)
            return fault(Code::blueprintBad, path + ".secrets", "tenant " + owner + " has this key too");
        }
      }
    } else if (sectionName == "keys") {
      auto tenant = textField(fields, "tenant", path);
      if (!tenant) return tenant.error();
      if (!find("tenants", tenant.value()))
        return fault(Code::blueprintBad, path + ".tenant", "no such tenant: " + tenant.value());
      auto hash = textField(fields, "hash", path);
      if (!hash) return fault(hash.error().code, path + ".secret", hash.error().text);
      if (hash.value().size() != 64 || hash.value().find_first_not_of("0123456789abcdef") != std::string::npos)
        return fault(Code::badField, path + ".hash", "must be 64 hexadecimal digits");
      auto known = keyIdByHash.find(hash.value());
      if (known != keyIdByHash.end() && known->second != name && find("keys", known->second) &&
          textOr(*find("keys", known->second), "hash") == hash.value())
        return fault(Code::blueprintBad, path + ".secret", "another key has this secret");
      if (!hashOwners.emplace(hash.value(), name).second)
        return fault(Code::blueprintBad, path + ".secret", "another key has this secret");
    } else if (sectionName == "services") {
      auto store = textOr(item, "storeAddress");
      if (fields.count("storeAddress") && store.empty())
        return fault(Code::badField, path + ".storeAddress", "must be ip:port");
    } else if (sectionName == "routes" && fields.count("prefix")) {
      auto host = textField(fields, "host", path);
      if (!host) return host.error();
      auto prefix = textField(fields, "prefix", path);
      if (!prefix) return prefix.error();
      auto route = readRoute(name, item);
      auto owner = prefixOwners.emplace(std::make_pair(route.host, route.prefix), name).first->second;
      if (owner != name) return fault(Code::blueprintBad, path, "route " + owner + " has the same host and prefix");
      if (fields.count("timeoutMs") && route.timeout <= Span(0))
        return fault(Code::blueprintBad, path + ".timeoutMs", "must be more than 0");
      double sum = 0;
      for (const auto& [service, weight] : route.split) {
        if (!find("services", service))
          return fault(Code::blueprintBad, path + ".service", "no such service: " + service);
        if (weight < 0) return fault(Code::blueprintBad, path + ".split", "a weight is below 0");
        sum += weight;
      }
      if (sum <= 0) return fault(Code::blueprintBad, path + ".split", "the weights sum to 0");
    } else if (sectionName == "routes") {
      auto model = textField(fields, "model", path);
      if (!model) return model.error();
      if (!find("models", model.value()))
        return fault(Code::blueprintBad, path + ".model", "no such model: " + model.value());
      if (fields.count("kind")) {
        auto kind = textField(fields, "kind", path);
        if (!kind) return kind.error();
        if (kind.value() != "language" && kind.value() != "app")
          return fault(Code::badField, path + ".kind", "must be language or app");
      }
      if (fields.count("tenants")) {
        auto tenants = textsField(fields, "tenants", path);
        if (!tenants) return tenants.error();
        for (const auto& tenant : tenants.value())
          if (!find("tenants", tenant))
            return fault(Code::blueprintBad, path + ".tenants", "no such tenant: " + tenant);
      }
      if (fields.count("policy")) {
        auto policy = textField(fields, "policy", path);
        if (!policy) return policy.error();
        if (!find("policies", policy.value()))
          return fault(Code::blueprintBad, path + ".policy", "no such policy: " + policy.value());
      }
    }
    return boost::outcome_v2::success();
  };
  std::set<std::string> disturbed;
  for (const auto& [sectionName, items] : overlay)
    for (const auto& [name, item] : items) {
      if (!item || sectionName == "weights") disturbed.insert(sectionName);
      if (!item) continue;
      auto checked = checkItem(sectionName, name, *item);
      if (!checked) return checked.error();
    }
  static const std::vector<std::pair<std::string, std::set<std::string>>> pointers{
      {"models", {"weights"}}, {"keys", {"tenants"}}, {"routes", {"models", "tenants", "policies", "services"}}};
  for (const auto& [pointing, pointed] : pointers) {
    bool again = false;
    for (const auto& sectionName : pointed) again = again || disturbed.count(sectionName);
    auto found = sections.find(pointing);
    if (!again || found == sections.end()) continue;
    for (const auto& [name, item] : found->second) {
      if (overlay.count(pointing) && overlay.at(pointing).count(name)) continue;
      auto checked = checkItem(pointing, name, item);
      if (!checked) return checked.error();
    }
  }
  return Json(asked).serialize();
}

void Configuration::setItem(const std::string& sectionName, const std::string& name, const Json* value) {
  auto& items = sections[sectionName];
  auto old = items.find(name);
  foldItem(sectionName, name, old == items.end() ? nullptr : &old->second, value);
  if (old != items.end()) {
    weight -= std::min(weight, name.size() + old->second.serialize().size());
    if (sectionName == "keys")
      if (auto known = keyIdByHash.find(textOr(old->second, "hash"));
          known != keyIdByHash.end() && known->second == name)
        keyIdByHash.erase(known);
    if (sectionName == "policies") policies.erase(name);
  }
  if (!value) {
    if (old != items.end()) items.erase(old);
    return;
  }
  items[name] = *value;
  weight += name.size() + value->serialize().size();
  if (sectionName == "keys") keyIdByHash[textOr(*value, "hash")] = name;
  if (sectionName == "policies" && value->is<std::string>())
    if (auto policy = Policy::read(value->get<std::string>())) policies[name] = policy.value();
}

void Configuration::foldItem(const std::string& sectionName, const std::string& name, const Json* old,
                             const Json* value) {
  auto secretsOf = [](const Json& item) {
    Strings rows;
    const auto& fields = item.get<JsonObject>();
    auto secrets = fields.find("secrets");
    if (secrets != fields.end() && secrets->second.is<JsonArray>())
      for (const auto& secret : secrets->second.get<JsonArray>()) rows.push_back(secret.to_str());
    return rows;
  };
  if (sectionName == "tenants") {
    if (old && old->is<JsonObject>())
      for (const auto& secret : secretsOf(*old))
        if (auto found = tenantByHash.find(sha256Hex(secret)); found != tenantByHash.end() && found->second == name)
          tenantByHash.erase(found);
    if (value && value->is<JsonObject>())
      for (const auto& secret : secretsOf(*value)) tenantByHash[sha256Hex(secret)] = name;
  } else if (sectionName == "routes") {
    if (auto known = routeRows.find(name); known != routeRows.end()) {
      if (known->second.byPath()) {
        auto& prefixes = routeByPrefix[known->second.host];
        if (auto found = prefixes.find(known->second.prefix); found != prefixes.end() && found->second == name)
          prefixes.erase(found);
        if (prefixes.empty()) routeByPrefix.erase(known->second.host);
      }
      routeRows.erase(known);
    }
    if (value && value->is<JsonObject>()) {
      auto route = readRoute(name, *value);
      if (route.byPath()) routeByPrefix[route.host][route.prefix] = name;
      routeRows[name] = std::move(route);
    }
  } else if (sectionName == "services") {
    for (auto row = storeRows.begin(); row != storeRows.end();)
      row = row->service == name ? storeRows.erase(row) : std::next(row);
    if (value && !textOr(*value, "storeAddress").empty())
      storeRows.push_back(StoreView{name, textOr(*value, "storeAddress"), textOr(*value, "locality")});
  } else if (sectionName == "limits" && name == "callers") {
    limitsRow = CallerLimits();
    if (value) {
      limitsRow.headerBytes = bytesOr(*value, "headerBytes", 16384);
      limitsRow.bodyBytes = bytesOr(*value, "bodyBytes", 4 << 20);
      limitsRow.headerWait = std::max(Span(0), spanOr(*value, "headerMs", 3000));
      limitsRow.idleWait = std::max(Span(0), spanOr(*value, "idleMs", 15000));
    }
  }
}

void Configuration::applyPatch(const JsonObject& patch) {
  for (const auto& [sectionName, content] : patch) {
    if (!content.is<JsonObject>()) continue;
    for (bool removing : {true, false})
      for (const auto& [name, item] : content.get<JsonObject>()) {
        if (item.is<picojson::null>() != removing) continue;
        if (removing) {
          setItem(sectionName, name, nullptr);
          continue;
        }
        auto& items = sections[sectionName];
        Json merged;
        if (auto old = items.find(name); old != items.end()) merged = old->second;
        mergePatch(merged, item);
        setItem(sectionName, name, &merged);
      }
  }
}

void Configuration::apply(const Entry& entry) {
  if (entry.index <= appliedIndex) return;
  appliedIndex = entry.index;
  appliedTerm = entry.term;
  auto kind = static_cast<EntryKind>(entry.kind);
  if (kind == EntryKind::members) {
    Entry unpacked = entry;
    auto snapshot = decodeSnapshot(unpacked.body);
    if (snapshot) memberRows = snapshot.value().members;
  } else if (kind == EntryKind::change) {
    currentRevision = entry.revision ? entry.revision : currentRevision + 1;
    auto patch = readJson(entry.body);
    if (patch && patch.value().is<JsonObject>()) applyPatch(patch.value().get<JsonObject>());
    if (!entry.changeId.empty()) rememberChange(entry.changeId);
  } else if (kind == EntryKind::refusal) {
    rememberRefusal(entry);
  }
}

void Configuration::rememberChange(const std::string& changeId) {
  changeRevisions[changeId] = currentRevision;
  changeOrder.push_back(changeId);
  if (changeOrder.size() <= changesRemembered) return;
  changeRevisions.erase(changeOrder.front());
  changeOrder.pop_front();
}

void Configuration::rememberRefusal(const Entry& entry) {
  auto refusal = decodeRefusal(entry.body);
  if (!refusal) return;
  refusals.push_back(std::move(refusal).value());
  refusals.back().index = entry.index;
  if (refusals.size() <= refusalsRemembered) return;
  refusalsForgottenIndex = refusals.front().index;
  refusals.pop_front();
}

Snapshot Configuration::snapshot() const {
  Snapshot made;
  made.index = appliedIndex;
  made.term = appliedTerm;
  made.revision = currentRevision;
  made.configuration = text();
  made.members = memberRows;
  for (const auto& id : changeOrder) {
    made.changeIds.push_back(id);
    made.changeRevisions.push_back(changeRevisions.at(id));
  }
  made.refusals.assign(refusals.begin(), refusals.end());
  made.refusalsForgotten = refusalsForgottenIndex;
  return made;
}

Result<void> Configuration::adopt(const Snapshot& snapshot) {
  auto read = readJson(snapshot.configuration);
  if (!read) return read.error();
  if (!read.value().is<JsonObject>()) return fault(Code::badField, "capture");
  *this = Configuration();
  applyPatch(read.value().get<JsonObject>());
  appliedIndex = snapshot.index;
  appliedTerm = snapshot.term;
  currentRevision = snapshot.revision;
  memberRows = snapshot.members;
  for (std::size_t at = 0; at < snapshot.changeIds.size() && at < snapshot.changeRevisions.size(); ++at) {
    changeOrder.push_back(snapshot.changeIds[at]);
    changeRevisions[snapshot.changeIds[at]] = snapshot.changeRevisions[at];
  }
  refusals.assign(snapshot.refusals.begin(), snapshot.refusals.end());
  refusalsForgottenIndex = snapshot.refusalsForgotten;
  return boost::outcome_v2::success();
}

std::optional<std::uint64_t> Configuration::takenAs(const std::string& changeId) const {
  auto found = changeRevisions.find(changeId);
  if (changeId.empty() || found == changeRevisions.end()) return std::nullopt;
  return found->second;
}

std::uint64_t Configuration::forgottenRevision() const {
  return changeOrder.size() < changesRemembered ? 0 : changeRevisions.at(changeOrder.front()) - 1;
}

const Refusal* Configuration::refusedAfter(const std::string& changeId, std::uint64_t index) const {
  if (changeId.empty()) return nullptr;
  auto found = std::find_if(refusals.rbegin(), refusals.rend(),
                            [&](const Refusal& row) { return row.changeId == changeId && row.index > index; });
  return found == refusals.rend() ? nullptr : &*found;
}

std::int64_t Configuration::weightsNumber(const std::string& model) const {
  auto weights = weightsOf(model);
  auto found = sections.find("weights");
  if (!weights || found == sections.end()) return 0;
  auto row = found->second.find(*weights);
  return row == found->second.end() ? 0 : numberOr(row->second, "number", 0);
}

bool Configuration::hasWeights(const std::string& change) const {
  auto read = readJson(change);
  if (!read || !read.value().is<JsonObject>()) return false;
  const auto& named = read.value().get("weights");
  if (!named.is<JsonObject>() || named.get<JsonObject>().empty()) return false;
  for (const auto& [name, row] : named.get<JsonObject>()) {
    std::int64_t number = numberOr(row, "number", 0);
    if (number == 0 || number > weightsNumber(textOr(row, "model"))) return false;
  }
  return true;
}

std::string Configuration::text() const {
  JsonObject whole;
  for (const auto& [name, items] : sections)
    if (!items.empty()) whole[name] = Json(items);
  return Json(whole).serialize();
}

JsonObject Configuration::section(const std::string& name) const {
  auto found = sections.find(name);
  return found == sections.end() ? JsonObject() : found->second;
}

const JsonObject* Configuration::sectionAt(const std::string& name) const {
  auto found = sections.find(name);
  return found == sections.end() || found->second.empty() ? nullptr : &found->second;
}

bool Configuration::asksKeys() const { return sectionAt("tenants") || sectionAt("keys"); }

std::optional<TenantView> Configuration::findTenant(const std::string& name) const {
  const auto* tenants = sectionAt("tenants");
  if (!tenants) return std::nullopt;
  auto found = tenants->find(name);
  if (found == tenants->end()) return std::nullopt;
  TenantView tenant;
  if (auto priority = numberOr(found->second, "priority", -1); priority >= 0)
    tenant.priority = static_cast<int>(priority);
  return tenant;
}

const RouteView* Configuration::routeFor(const std::string& host, const std::string& path) const {
  auto prefixes = routeByPrefix.find(host);
  if (prefixes == routeByPrefix.end()) return nullptr;
  std::string known = path.substr(0, path.find('?'));
  for (auto slash = known.rfind('/'); slash != std::string::npos;
       slash = slash == 0 ? std::string::npos : known.rfind('/', slash - 1)) {
    known.resize(slash + 1);
    if (auto found = prefixes->second.find(known); found != prefixes->second.end()) return &routeRows.at(found->second);
  }
  return nullptr;
}

std::optional<KeyView> Configuration::findKey(const std::string& secretHash) const {
  if (auto own = tenantByHash.find(secretHash); own != tenantByHash.end()) return KeyView{own->second, own->second};
  auto found = keyIdByHash.find(secretHash);
  if (found == keyIdByHash.end()) return std::nullopt;
  return KeyView{found->second, textOr(sections.at("keys").at(found->second), "tenant")};
}

std::optional<RouteView> Configuration::findRoute(const std::string& name) const {
  auto found = routeRows.find(name);
  if (found == routeRows.end()) return std::nullopt;
  return found->second;
}

std::optional<std::string> Configuration::weightsOf(const std::string& model) const {
  auto found = sections.find("models");
  if (found == sections.end() || !found->second.count(model)) return std::nullopt;
  return textOr(found->second.at(model), "weights");
}

bool Configuration::knowsModel(const std::string& model) const { return weightsOf(model).has_value(); }

std::string Configuration::domainOf(const std::string& tenant) const {
  auto found = sections.find("tenants");
  if (found == sections.end() || !found->second.count(tenant)) return "own:" + tenant;
  return flagOr(found->second.at(tenant), "isolated", false) ? "own:" + tenant : "shared";
}

Policy Configuration::policyOf(const std::string& name) const {
  auto found = policies.find(name);
  return found == policies.end() ? Policy() : found->second;
}

}  // namespace tt
