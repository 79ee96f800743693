#pragma once

#include <memory>

#include "Core/MemoryBudget.h"

namespace jacinthroad {

/// Memory for received data that no test uses up.
[[nodiscard]] inline std::shared_ptr<MemoryBudget> unlimitedMemory()
{
    constexpr std::size_t Limit = 1'000'000'000;
    return std::make_shared<MemoryBudget>(Limit);
}

} // namespace jacinthroad
