#pragma once
#include "json.hpp"

namespace tt {

/// Turns HTTPRoute manifests in the manner of the Gateway API (one, or a List, as JSON) into an ordinary patch of
/// routes. What the fleet has no meaning for is denied by name.
Result<std::string> patchFromManifests(const std::string& text);

}  // namespace tt
