#pragma once

#include <span>
#include <string_view>

#include <json/value.h>

namespace jacinthroad {

/// The fields that this build knows of an object in the platform's store.
struct KnownFields
{
    std::span<const std::string_view> names;
    /// The field that holds a list of objects; empty for none.
    std::string_view list = {};
    /// The fields of these objects; null for none.
    const KnownFields *item = nullptr;
    /// The fields of these objects that together identify one.
    std::span<const std::string_view> itemKey = {};
};

/// Copies the fields that newer builds have written from `stored` to `spec`, which is to replace
/// it, also in objects of lists that both have. Copies none of the last ones if they are very long.
void keepUnknownFields(Json::Value &spec, const Json::Value &stored, const KnownFields &known);

} // namespace jacinthroad
