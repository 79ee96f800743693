#pragma once

#include "Core/Schema.h"

namespace jacinthroad {

/// The table of operators' objects: teams, models, backend servers and services.
[[nodiscard]] const ObjectSchema &configurationSchema();
/// The table of one team.
[[nodiscard]] const ObjectSchema &teamSchema();
/// The table of one model.
[[nodiscard]] const ObjectSchema &modelSchema();
/// The table of one backend server.
[[nodiscard]] const ObjectSchema &backendServerSchema();
/// The table of one plain service.
[[nodiscard]] const ObjectSchema &serviceSchema();

} // namespace jacinthroad
