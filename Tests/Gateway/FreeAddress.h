#pragma once

#include <string>

namespace jacinthroad {

/// Returns `127.0.0.1:port` of a port that no socket is bound to at present, neither for TCP nor
/// for UDP. Each call returns another port.
[[nodiscard]] std::string freeAddress();

} // namespace jacinthroad
