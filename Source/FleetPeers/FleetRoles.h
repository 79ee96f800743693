#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace jacinthroad {

/// True if `self` is one of the at most `most` nodes of `live` that perform tasks for the fleet
/// which only a few nodes need to do: frequent store polling and lease requests. Nodes that reach
/// each other select the same ones; in a network partition, each side selects its own.
[[nodiscard]] bool isFleetDelegate(std::string_view self, std::span<const std::string> live,
                                   std::size_t most);

} // namespace jacinthroad
