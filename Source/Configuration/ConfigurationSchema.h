#pragma once

#include "Core/Schema.h"

namespace jacinthroad {

/// Schema of the operators' configuration: teams, models, backend servers and services.
[[nodiscard]] const ObjectSchema &configurationSchema();
/// Schema of a team.
[[nodiscard]] const ObjectSchema &teamSchema();
/// Schema of a model.
[[nodiscard]] const ObjectSchema &modelSchema();
/// Schema of a backend server.
[[nodiscard]] const ObjectSchema &backendServerSchema();
/// Schema of a plain service.
[[nodiscard]] const ObjectSchema &serviceSchema();

} // namespace jacinthroad
