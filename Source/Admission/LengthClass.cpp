#include "Admission/LengthClass.h"

namespace jacinthroad {

LengthClass lengthClassOf(std::uint32_t outputTokens)
{
    if (outputTokens <= ShortOutputTokens) {
        return LengthClass::Short;
    }
    return outputTokens < LongOutputTokens ? LengthClass::Normal : LengthClass::Long;
}

} // namespace jacinthroad
