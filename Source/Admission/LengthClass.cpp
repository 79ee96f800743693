#include "Admission/LengthClass.h"

#include <array>

namespace jacinthroad {

LengthClass lengthClassOf(std::uint32_t outputTokens)
{
    if (outputTokens <= ShortOutputTokens) {
        return LengthClass::Short;
    }
    return outputTokens < LongOutputTokens ? LengthClass::Normal : LengthClass::Long;
}

std::string_view lengthClassName(LengthClass lengthClass)
{
    constexpr std::array<std::string_view, LengthClassCount> Names { "short", "normal", "long" };
    return Names[static_cast<std::size_t>(lengthClass)];
}

} // namespace jacinthroad
