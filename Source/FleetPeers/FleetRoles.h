#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace jacinthroad {

/// True where `self` is among the `most` nodes of `live` that do for all what needs no more than a
/// few: asking the store often, and asking for the lease. Nodes that hear each other agree; each
/// side of a cut chooses among its own.
[[nodiscard]] bool isFleetDelegate(std::string_view self, std::span<const std::string> live,
                                   std::size_t most);

} // namespace jacinthroad
